package balancer

import (
	"math"
	"time"
)

const (
	// maxSubsetSize bounds the number of servers in a key's subset.
	maxSubsetSize = 8
	// maxKeyShare is the largest fraction of a server's even share of the work that one key may add
	// to each server of its subset.
	maxKeyShare = 0.5
	// keyLoadWindow is the time constant with which a key's past work decays.
	keyLoadWindow = 10 * time.Second
	// maxKeys bounds the number of tracked keys.
	maxKeys = 8192
	// priorOtherWorkMs is work of other keys that is assumed in addition to the recorded work. It
	// matters while little is recorded.
	priorOtherWorkMs = 2000.0
)

// keyLoads tracks the recent prefill work, in milliseconds, of the requests with each key.
type keyLoads struct {
	total decayingSum
	byKey map[uint64]decayingSum
}

// decayingSum is a sum that decays exponentially with time.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

func (s decayingSum) value(now time.Duration) float64 {
	return s.sum * math.Exp(-float64(now-s.updatedAt)/float64(keyLoadWindow))
}

// add records the prefill work of a request with the key.
func (k *keyLoads) add(now time.Duration, key uint64, workMs float64) {
	if k.byKey == nil {
		k.byKey = map[uint64]decayingSum{}
	}
	if len(k.byKey) >= maxKeys {
		k.evict(now)
	}
	k.total = decayingSum{k.total.value(now) + workMs, now}
	k.byKey[key] = decayingSum{k.byKey[key].value(now) + workMs, now}
}

// evict removes the keys with little work, and then further keys until at most half of maxKeys are
// left.
func (k *keyLoads) evict(now time.Duration) {
	minWorkMs := 2 * k.total.value(now) / maxKeys
	for key, load := range k.byKey {
		if load.value(now) < minWorkMs {
			delete(k.byKey, key)
		}
	}
	for key := range k.byKey {
		if len(k.byKey) <= maxKeys/2 {
			break
		}
		delete(k.byKey, key)
	}
}

// subsetSize returns the size of the key's subset, given the number of servers. The subset is the
// first servers in the key's hash order.
func (k *keyLoads) subsetSize(now time.Duration, key uint64, servers int) int {
	share := k.byKey[key].value(now) / (k.total.value(now) + priorOtherWorkMs)
	return min(max(int(math.Ceil(share*float64(servers)/maxKeyShare)), 1), maxSubsetSize, servers)
}

// lastSeen returns when work of the key was last recorded, or -1 if the key is not tracked.
func (k *keyLoads) lastSeen(key uint64) time.Duration {
	if load, ok := k.byKey[key]; ok {
		return load.updatedAt
	}
	return -1
}
