package balancer

import (
	"math"
	"time"
)

const (
	// maxHomes bounds the servers that a key belongs to, keyPart is the part of a server's even
	// share of the work that one key may bring to each of them.
	maxHomes, keyPart = 8, 0.5
	// keyMemory is the time by which a key's share is known, maxKeys bounds the keys, and
	// keyDoubt is the work in ms that is counted for others while little is known.
	keyMemory, maxKeys, keyDoubt = 10 * time.Second, 8192, 2000.0
	// lateMemory is the time by which the lateness of a kind is known.
	lateMemory = 2 * time.Second
	// urgencies is the number of ranks that are told apart.
	urgencies = 10
	// lateSmooth is the weight of one request in its kind's lateness.
	lateSmooth = 0.1
)

// keys holds the work in ms that each key brought of late, fading.
type keys struct {
	all  fading
	each map[uint64]fading
}

// fading is a sum that fades with age.
type fading struct {
	sum float64
	at  time.Duration
}

func (f fading) value(now time.Duration) float64 {
	return f.sum * math.Exp(-float64(now-f.at)/float64(keyMemory))
}

func (k *keys) add(now time.Duration, key uint64, work float64) {
	if k.each == nil {
		k.each = map[uint64]fading{}
	}
	if len(k.each) >= maxKeys {
		k.forget(now)
	}
	k.all = fading{k.all.value(now) + work, now}
	k.each[key] = fading{k.each[key].value(now) + work, now}
}

// forget drops the keys that bring little, and more than a half of all in any case.
func (k *keys) forget(now time.Duration) {
	least := 2 * k.all.value(now) / maxKeys
	for key, f := range k.each {
		if f.value(now) < least {
			delete(k.each, key)
		}
	}
	for key := range k.each {
		if len(k.each) <= maxKeys/2 {
			break
		}
		delete(k.each, key)
	}
}

// homes is the number of servers that the key belongs to, of so many.
func (k *keys) homes(now time.Duration, key uint64, servers int) int {
	share := k.each[key].value(now) / (k.all.value(now) + keyDoubt)
	return min(max(int(math.Ceil(share*float64(servers)/keyPart)), 1), maxHomes, servers)
}

// last is when the key came last, -1 if that is not remembered.
func (k *keys) last(key uint64) time.Duration {
	if f, ok := k.each[key]; ok {
		return f.at
	}
	return -1
}

// lateness is the part of a kind of requests that comes late, as expected when it is placed and
// as met, each fading to 0.
type lateness struct{ expected, real part }

// part is a mean that fades to 0.
type part struct {
	x    float64
	last time.Duration
}

func (l *lateness) expect(now time.Duration, late float64) { l.expected.add(now, late) }

func (l *lateness) met(now time.Duration, late bool) {
	x := 0.0
	if late {
		x = 1
	}
	l.real.add(now, x)
}

// at is what both agree on: an estimate alone refuses nothing.
func (l *lateness) at(now time.Duration) float64 { return min(l.expected.at(now), l.real.at(now)) }

func (p *part) add(now time.Duration, x float64) {
	p.x, p.last = p.at(now)+lateSmooth*(x-p.at(now)), now
}

func (p *part) at(now time.Duration) float64 {
	return p.x * math.Exp(-float64(now-p.last)/float64(lateMemory))
}

// crowded is the part that is expected late of the kind that fares worst.
func (v *service) crowded(now time.Duration) (most float64) {
	for i := range v.late {
		most = max(most, v.late[i].expected.at(now))
	}
	return most
}
