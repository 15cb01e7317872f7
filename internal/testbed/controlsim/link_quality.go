package controlsim

import (
	"math/rand/v2"
	"time"
)

const (
	// retransmissionTimeout is the time until a lost segment is sent again. It doubles with each further loss.
	retransmissionTimeout = 200 * time.Millisecond
	// maxRetransmissions bounds the losses of a segment, so that it arrives before ackTimeout.
	maxRetransmissions = 3
)

// linkQuality describes the losses and the bandwidth of an open link. The zero value is a good link.
type linkQuality struct {
	loss      float64 // probability that a segment is lost when it is sent, 0 to 1
	bandwidth int     // bytes per second and direction of a connection; 0 if it is that of the network
}

// qualities has the links that are not good, and the random source of their losses. The network's lock guards it.
type qualities struct {
	byDirection map[direction]linkQuality
	random      *rand.Rand
}

func newQualities(random *rand.Rand) qualities {
	return qualities{byDirection: map[direction]linkQuality{}, random: random}
}

// setQuality sets the quality of both directions between two hosts.
func (n *network) setQuality(a, b string, quality linkQuality) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range []direction{{a, b}, {b, a}} {
		if quality == (linkQuality{}) {
			delete(n.qualities.byDirection, link)
		} else {
			n.qualities.byDirection[link] = quality
		}
	}
}

// isLost draws whether a segment of a link is lost.
func (q *qualities) isLost(link direction) bool {
	loss := q.byDirection[link].loss
	return loss > 0 && q.random.Float64() < loss
}

// retransmissionDelay draws the delay of a segment by losses and retransmissions.
func (q *qualities) retransmissionDelay(link direction) (delay time.Duration) {
	for attempt := 0; attempt < maxRetransmissions && q.isLost(link); attempt++ {
		delay += retransmissionTimeout << attempt
	}
	return delay
}

// bandwidthOf returns the bandwidth of a link; 0 if it is unlimited.
func (n *network) bandwidthOf(link direction) int {
	limited := n.qualities.byDirection[link].bandwidth
	if limited == 0 || n.bandwidth > 0 && n.bandwidth < limited {
		return n.bandwidth
	}
	return limited
}
