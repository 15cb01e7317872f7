package inference

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPrefillQueue compares the backlog with the time until a server without other work would be idle.
func TestPrefillQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue, now, busyUntil := prefillQueue{}, time.Duration(0), time.Duration(0)
		var ids []uint64
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				work := rapid.IntRange(0, 50).Draw(t, "work")
				ids = append(ids, queue.push(now, float64(work)))
				busyUntil = max(busyUntil, now) + time.Duration(work)*ms
			},
			"advance": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * ms },
			"complete": func(t *rapid.T) {
				if len(ids) > 0 {
					queue.complete(rapid.SampledFrom(ids).Draw(t, "id"), true)
					busyUntil = now + duration(queue.backlogMs(now, math.Inf(1)))
				}
			},
			"": func(t *rapid.T) {
				require.InDelta(t, millis(max(busyUntil-now, 0)), queue.backlogMs(now, math.Inf(1)), 1e-3)
				require.LessOrEqual(t, queue.backlogMs(now, 7), 7*float64(queue.len(now))+1e-9)
				require.LessOrEqual(t, len(queue.jobs), maxQueuedPrefills)
			},
		})
	})
}
