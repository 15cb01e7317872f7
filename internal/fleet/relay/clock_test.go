package relay

import "time"

// advanceClock has a hub's clock go ahead.
func (h *Node) advanceClock(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startTime = h.startTime.Add(-d)
}
