package balancer

import (
	"math"
	"time"
)

const (
	// maxSubsetSize bounds the servers that a key belongs to, maxKeyShare is the part of a server's even
	// share of the work that one key may bring to each of them.
	maxSubsetSize, maxKeyShare = 8, 0.5
	// keyLoadWindow is the time by which a key's share is known, maxKeys bounds the keys, and
	// priorOtherWorkMs is the work in ms that is counted for others while little is known.
	keyLoadWindow, maxKeys, priorOtherWorkMs = 10 * time.Second, 8192, 2000.0
	// latenessWindow is the time by which the lateness of a kind is known.
	latenessWindow = 2 * time.Second
	// priorityClasses is the number of ranks that are told apart.
	priorityClasses = 10
	// latenessSmoothing is the weight of one request in its kind's lateness.
	latenessSmoothing = 0.1
)

// keyLoads holds the work in ms that each key brought of late, fading.
type keyLoads struct {
	total decayingSum
	byKey map[uint64]decayingSum
}

// decayingSum is a sum that fades with age.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

func (f decayingSum) value(now time.Duration) float64 {
	return f.sum * math.Exp(-float64(now-f.updatedAt)/float64(keyLoadWindow))
}

func (k *keyLoads) add(now time.Duration, key uint64, work float64) {
	if k.byKey == nil {
		k.byKey = map[uint64]decayingSum{}
	}
	if len(k.byKey) >= maxKeys {
		k.evict(now)
	}
	k.total = decayingSum{k.total.value(now) + work, now}
	k.byKey[key] = decayingSum{k.byKey[key].value(now) + work, now}
}

// evict drops the keys that bring little, and more than a half of all in any case.
func (k *keyLoads) evict(now time.Duration) {
	least := 2 * k.total.value(now) / maxKeys
	for key, f := range k.byKey {
		if f.value(now) < least {
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

// subsetSize is the number of servers that the key belongs to, of so many.
func (k *keyLoads) subsetSize(now time.Duration, key uint64, servers int) int {
	share := k.byKey[key].value(now) / (k.total.value(now) + priorOtherWorkMs)
	return min(max(int(math.Ceil(share*float64(servers)/maxKeyShare)), 1), maxSubsetSize, servers)
}

// lastSeen is when the key came last, -1 if that is not remembered.
func (k *keyLoads) lastSeen(key uint64) time.Duration {
	if f, ok := k.byKey[key]; ok {
		return f.updatedAt
	}
	return -1
}

// lateness is the part of a kind of requests that comes late, as expected when it is placed and
// as met, each fading to 0.
type lateness struct{ expected, observed decayingMean }

// decayingMean is a mean that fades to 0.
type decayingMean struct {
	value     float64
	updatedAt time.Duration
}

func (l *lateness) recordExpected(now time.Duration, late float64) { l.expected.add(now, late) }

func (l *lateness) recordObserved(now time.Duration, late bool) {
	x := 0.0
	if late {
		x = 1
	}
	l.observed.add(now, x)
}

// agreed is what both agree on: an estimate alone refuses nothing.
func (l *lateness) agreed(now time.Duration) float64 {
	return min(l.expected.valueAt(now), l.observed.valueAt(now))
}

func (p *decayingMean) add(now time.Duration, x float64) {
	p.value, p.updatedAt = p.valueAt(now)+latenessSmoothing*(x-p.valueAt(now)), now
}

func (p *decayingMean) valueAt(now time.Duration) float64 {
	return p.value * math.Exp(-float64(now-p.updatedAt)/float64(latenessWindow))
}

// worstExpectedLateness is the part that is expected late of the kind that fares worst.
func (v *service) worstExpectedLateness(now time.Duration) (most float64) {
	for i := range v.lateness {
		most = max(most, v.lateness[i].expected.valueAt(now))
	}
	return most
}
