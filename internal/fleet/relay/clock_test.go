package relay

import "time"

// advanceClock advances a node's clock.
func (n *Node) advanceClock(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startTime = n.startTime.Add(-d)
}
