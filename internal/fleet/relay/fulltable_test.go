package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// A hub whose table is full answers no call of a server that it can't keep as taken, and takes those
// of the servers that it knows.
func TestAFullTableTakesNoUnknownServer(t *testing.T) {
	const more = 10_000 // than any table takes
	h := newStill("h", true, Peer{Addr: "addr of h"})
	require.True(t, h.Beat(t.Context(), server("known", 1)))
	var items []any
	for i := range more {
		items = append(items, instPrefix+fmt.Sprint("s", i), server(fmt.Sprint("s", i), 1))
	}
	x := h.meet("addr of a", "a/1", false)
	h.says(x, &message{Deltas: []deltasync.Delta{delta("a/1", items...)}})
	require.Less(t, len(h.last.List.ByID), more)
	require.False(t, h.Beat(t.Context(), server("late", 1)))
	assert.NotContains(t, h.last.List.ByID, "late")
	assert.False(t, h.Beat(t.Context(), drains("late", 1)))
	assert.False(t, h.Leave(t.Context(), "late"))
	assert.True(t, h.Beat(t.Context(), server("known", 2)))
	assert.True(t, h.Beat(t.Context(), drains("known", 3)))
	assert.True(t, h.Leave(t.Context(), "known"))
}
