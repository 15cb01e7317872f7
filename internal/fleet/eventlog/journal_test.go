package eventlog

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestSubscribersGetEventsInOrder(t *testing.T) {
	journal := New[string](2)
	var early, late []uint64
	text := ""
	journal.Subscribe(func(number uint64, event string) { early, text = append(early, number), text+event })
	assert.Equal(t, uint64(0), journal.Append("a"))
	journal.Subscribe(func(number uint64, _ string) { late = append(late, number) })
	assert.Equal(t, uint64(1), journal.Append("b"))
	assert.Equal(t, uint64(2), journal.Append("c"))
	assert.Equal(t, []uint64{0, 1, 2}, early)
	assert.Equal(t, []uint64{1, 2}, late, "only what was appended after the subscription")
	assert.Equal(t, "abc", text)
}

// Since returns what is retained of the events from a number on, for any number.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, count := rapid.IntRange(-1, 9).Draw(t, "capacity"), rapid.IntRange(0, 30).Draw(t, "events")
		journal := New[int](capacity)
		for i := range count {
			journal.Append(i)
		}
		from := rapid.Uint64Range(0, 40).Draw(t, "from")
		events, first := journal.Since(from)
		oldest := max(count-max(capacity, 1), 0, int(from))
		assert.Equal(t, uint64(oldest), first)
		assert.Len(t, events, max(count-oldest, 0))
		for i, event := range events {
			assert.Equal(t, oldest+i, event)
		}
	})
}

// The retained form of an event may be smaller than the form that subscribers get.
func TestSetCompaction(t *testing.T) {
	journal := New[string](4)
	complete := ""
	journal.Subscribe(func(_ uint64, event string) { complete += event })
	journal.SetCompaction(func(event string) string { return event[:1] })
	journal.Append("large")
	journal.Append("too")
	events, _ := journal.Since(0)
	assert.Equal(t, []string{"l", "t"}, events)
	assert.Equal(t, "largetoo", complete)
}
