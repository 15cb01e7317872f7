package balancer

import (
	"math"
	"time"
)

const (
	// maxSubsetSize bounds the servers that a key belongs to.
	maxSubsetSize = 8
	// maxKeyShare is the part of a server's even share of the work that one key may bring to each
	// server of its subset.
	maxKeyShare = 0.5
	// keyLoadWindow is the time constant by which a key's work fades.
	keyLoadWindow = 10 * time.Second
	// maxKeys bounds the tracked keys.
	maxKeys = 8192
	// priorOtherWorkMs is the work that is assumed of other keys while little is known.
	priorOtherWorkMs = 2000.0
)

// keyLoads tracks the recent prefill work in ms that each key brought.
type keyLoads struct {
	total decayingSum
	byKey map[uint64]decayingSum
}

// decayingSum is a sum that fades with age.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

func (s decayingSum) value(now time.Duration) float64 {
	return s.sum * math.Exp(-float64(now-s.updatedAt)/float64(keyLoadWindow))
}

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

// evict drops the keys of little work, and in any case more than a half of all.
func (k *keyLoads) evict(now time.Duration) {
	least := 2 * k.total.value(now) / maxKeys
	for key, load := range k.byKey {
		if load.value(now) < least {
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

// subsetSize is the number of servers, of so many, that the key belongs to: the first ones in its
// hash order.
func (k *keyLoads) subsetSize(now time.Duration, key uint64, servers int) int {
	share := k.byKey[key].value(now) / (k.total.value(now) + priorOtherWorkMs)
	return min(max(int(math.Ceil(share*float64(servers)/maxKeyShare)), 1), maxSubsetSize, servers)
}

// lastSeen is when the key came last, -1 if it is not tracked.
func (k *keyLoads) lastSeen(key uint64) time.Duration {
	if load, ok := k.byKey[key]; ok {
		return load.updatedAt
	}
	return -1
}
