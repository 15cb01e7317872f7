package eventlog

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestViewsTakeEventsInOrder(t *testing.T) {
	j := New[string](2)
	var early, late []uint64
	text := ""
	j.Subscribe(func(n uint64, e string) { early, text = append(early, n), text+e })
	assert.Equal(t, uint64(0), j.Append("a"))
	j.Subscribe(func(n uint64, _ string) { late = append(late, n) })
	assert.Equal(t, uint64(1), j.Append("b"))
	assert.Equal(t, uint64(2), j.Append("c"))
	assert.Equal(t, []uint64{0, 1, 2}, early)
	assert.Equal(t, []uint64{1, 2}, late, "only what came after it")
	assert.Equal(t, "abc", text)
}

// Since gives what is kept of the events from a number on, whatever number is asked for.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keep, n := rapid.IntRange(-1, 9).Draw(t, "keep"), rapid.IntRange(0, 30).Draw(t, "events")
		j := New[int](keep)
		for i := range n {
			j.Append(i)
		}
		from := rapid.Uint64Range(0, 40).Draw(t, "from")
		got, first := j.Since(from)
		low := max(n-max(keep, 1), 0, int(from))
		assert.Equal(t, uint64(low), first)
		assert.Len(t, got, max(n-low, 0))
		for i, e := range got {
			assert.Equal(t, low+i, e)
		}
	})
}

// What is kept of a large event may be less than what views take.
func TestSlim(t *testing.T) {
	j := New[string](4)
	whole := ""
	j.Subscribe(func(_ uint64, e string) { whole += e })
	j.SetCompaction(func(e string) string { return e[:1] })
	j.Append("large")
	j.Append("too")
	got, _ := j.Since(0)
	assert.Equal(t, []string{"l", "t"}, got)
	assert.Equal(t, "largetoo", whole)
}
