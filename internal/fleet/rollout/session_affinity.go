package rollout

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

const (
	// sessionFilterBits is the size of one Bloom filter, sessionFilterCapacity how many sessions it
	// takes, and filterHashes how many bits each sets: one of a hundred strangers is mistaken.
	sessionFilterBits, sessionFilterCapacity, filterHashes = 1 << 18, 1 << 14, 4
	// wordBits is the size of a word of a filter.
	wordBits = 64
	// sessionWindow is for how long an idle session is remembered, at least.
	sessionWindow = 10 * time.Minute
	// sessionSeed makes the hash of sessions independent of others of the same value.
	sessionSeed = 0x5e55
)

// SessionAffinity keeps sessions on one revision while a server of it serves: by what this agent
// sent before and, where it knows nothing, by a hash against the new revision's part of the
// capacity. A session that no agent remembers moves once, when that part passes its hash. It takes
// 128 KB and is not safe for concurrent use. The zero value remembers nothing.
type SessionAffinity struct {
	startedAt time.Duration // of the younger filters
	count     int           // sessions in the younger filters
	seen      [2][2]bloomFilter
}

// Indices of SessionAffinity.seen.
const (
	younger, older         = 0, 1
	byOldRevision, byNewer = 0, 1
)

// bloomFilter is a set of sessions. The zero value is empty.
type bloomFilter struct{ words []uint64 }

// forEachBit calls visit with the word and the mask of each of a session's bits.
func (f *bloomFilter) forEachBit(session uint64, visit func(word *uint64, mask uint64)) {
	if f.words == nil {
		f.words = make([]uint64, sessionFilterBits/wordBits)
	}
	hash := inference.Mix64(session)
	step := inference.Mix64(hash) | 1
	for range filterHashes {
		visit(&f.words[hash%sessionFilterBits/wordBits], 1<<(hash%wordBits))
		hash += step
	}
}

func (f *bloomFilter) contains(session uint64) bool {
	if f.words == nil {
		return false
	}
	all := true
	f.forEachBit(session, func(word *uint64, mask uint64) { all = all && *word&mask != 0 })
	return all
}

func (f *bloomFilter) add(session uint64) {
	f.forEachBit(session, func(word *uint64, mask uint64) { *word |= mask })
}

// Record records that a request of a session was answered by a revision.
func (s *SessionAffinity) Record(now time.Duration, session uint64, isNew bool) {
	revision := byOldRevision
	if isNew {
		revision = byNewer
	}
	if s.count >= sessionFilterCapacity || now-s.startedAt > sessionWindow {
		s.seen[older] = s.seen[younger]
		s.seen[younger] = [2]bloomFilter{}
		s.count, s.startedAt = 0, now
	}
	filter := &s.seen[younger][revision]
	if !filter.contains(session) {
		s.count++
	}
	filter.add(session)
}

// PrefersNew reports whether a session is to run at the new revision first, which has the part
// newShare of the capacity.
func (s *SessionAffinity) PrefersNew(session uint64, newShare float64) bool {
	for age := range s.seen {
		filters := &s.seen[age]
		wasOld, wasNew := filters[byOldRevision].contains(session), filters[byNewer].contains(session)
		if wasOld != wasNew {
			return wasNew
		}
	}
	return unitInterval(inference.Mix64(session^sessionSeed)) < newShare
}

// NewCapacityShare is the new revision's part of the capacity, by the sums over the servers of each
// revision of their capacities, each times its share.
func NewCapacityShare(oldCapacity, newCapacity float64) float64 {
	if oldCapacity+newCapacity <= 0 {
		return 0
	}
	return newCapacity / (oldCapacity + newCapacity)
}
