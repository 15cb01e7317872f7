package controlsim

import (
	"math/rand/v2"
	"time"
)

const (
	// retransmissionTimeout is how long after a lost segment it is sent again; it doubles with each loss.
	retransmissionTimeout = 200 * time.Millisecond
	// maxRetransmissions bounds how often a segment is lost in a row: the last one arrives before ackTimeout.
	maxRetransmissions = 3
)

// linkQuality is what an open link does to segments. The zero value is a good link.
type linkQuality struct {
	loss      float64 // share of the segments that are lost once, 0 to 1
	bandwidth int     // bytes per second and direction of a connection; 0: that of the network
}

// qualities are the links that are not good, and the source of their losses. The network's lock guards them.
type qualities struct {
	byDirection map[direction]linkQuality
	random      *rand.Rand
}

func newQualities(random *rand.Rand) qualities {
	return qualities{byDirection: map[direction]linkQuality{}, random: random}
}

// setQuality changes the quality of both directions between two hosts.
func (n *network) setQuality(a, b string, quality linkQuality) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, way := range []direction{{a, b}, {b, a}} {
		if quality == (linkQuality{}) {
			delete(n.qualities.byDirection, way)
		} else {
			n.qualities.byDirection[way] = quality
		}
	}
}

// isLost draws whether one segment of a link is lost.
func (q *qualities) isLost(way direction) bool {
	loss := q.byDirection[way].loss
	return loss > 0 && q.random.Float64() < loss
}

// retransmissionDelay draws how much later a segment arrives because it is lost and sent again.
func (q *qualities) retransmissionDelay(way direction) (delay time.Duration) {
	for attempt := 0; attempt < maxRetransmissions && q.isLost(way); attempt++ {
		delay += retransmissionTimeout << attempt
	}
	return delay
}

// bandwidthOf is the bandwidth of one direction, 0 if it is unlimited.
func (n *network) bandwidthOf(way direction) int {
	limited := n.qualities.byDirection[way].bandwidth
	if limited == 0 || n.bandwidth > 0 && n.bandwidth < limited {
		return n.bandwidth
	}
	return limited
}
