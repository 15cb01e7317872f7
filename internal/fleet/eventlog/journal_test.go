package eventlog

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestSubscribersGetEventsInOrder(t *testing.T) {
	journal := New[string](2)
	var firstNumbers, secondNumbers []uint64
	text := ""
	journal.Subscribe(func(number uint64, event string) {
		firstNumbers, text = append(firstNumbers, number), text+event
	})
	assert.Equal(t, uint64(0), journal.Append("a"))
	journal.Subscribe(func(number uint64, _ string) { secondNumbers = append(secondNumbers, number) })
	assert.Equal(t, uint64(1), journal.Append("b"))
	assert.Equal(t, uint64(2), journal.Append("c"))
	assert.Equal(t, []uint64{0, 1, 2}, firstNumbers)
	assert.Equal(t, []uint64{1, 2}, secondNumbers, "only the events that were appended after the subscription")
	assert.Equal(t, "abc", text)
}

// Since accepts any number: one of a dropped event, of a retained event or of a future event.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, count := rapid.IntRange(-1, 9).Draw(t, "capacity"), rapid.IntRange(0, 30).Draw(t, "events")
		journal := New[int](capacity)
		for i := range count {
			journal.Append(i)
		}
		from := rapid.Uint64Range(0, 40).Draw(t, "from")
		events, first := journal.Since(from)
		wantFirst := max(count-max(capacity, 1), 0, int(from))
		assert.Equal(t, uint64(wantFirst), first)
		assert.Len(t, events, max(count-wantFirst, 0))
		for i, event := range events {
			assert.Equal(t, wantFirst+i, event)
		}
	})
}

// The retained form of an event may be smaller than the form that subscribers get.
func TestSetCompaction(t *testing.T) {
	journal := New[string](4)
	received := ""
	journal.Subscribe(func(_ uint64, event string) { received += event })
	journal.SetCompaction(func(event string) string { return event[:1] })
	journal.Append("large")
	journal.Append("too")
	events, _ := journal.Since(0)
	assert.Equal(t, []string{"l", "t"}, events)
	assert.Equal(t, "largetoo", received)
}
