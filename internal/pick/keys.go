package pick

import (
	"math"
	"time"
)

const (
	// maxHomes bounds the servers that a key belongs to, keyPart is the most of a server's even
	// share of the work that one key may bring to each.
	maxHomes, keyPart = 8, 0.5
	// keyMemory is the time by which a key's share is known, maxKeys bounds the keys, and
	// keyDoubt is the work in ms that is counted for others while little is known.
	keyMemory, maxKeys, keyDoubt = 10 * time.Second, 8192, 2000.0
	// lateMemory is the time by which the lateness of a kind is known.
	lateMemory = 2 * time.Second
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

// known tells whether the key came of late.
func (k *keys) known(now time.Duration, key uint64) bool {
	f, ok := k.each[key]
	return ok && now-f.at < 3*keyMemory
}

// lateness is the part of a kind of requests that is expected late, fading to 0.
type lateness struct {
	part float64
	last time.Duration
}

func (l *lateness) add(now time.Duration, late float64) {
	l.part = l.at(now) + 0.1*(late-l.at(now))
	l.last = now
}

func (l *lateness) at(now time.Duration) float64 {
	return l.part * math.Exp(-float64(now-l.last)/float64(lateMemory))
}
