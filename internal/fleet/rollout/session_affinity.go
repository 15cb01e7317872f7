package rollout

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

const (
	// sessionFilterBits is the size of a Bloom filter, sessionFilterCapacity the maximum number of
	// sessions in it, and filterHashes the number of bits that each session sets. The rate of false
	// positives is about one in a hundred.
	sessionFilterBits, sessionFilterCapacity, filterHashes = 1 << 18, 1 << 14, 4
	// wordBits is the size of a filter's words, in bits.
	wordBits = 64
	// sessionWindow is the minimum time for which an idle session is remembered.
	sessionWindow = 10 * time.Minute
	// sessionSeed makes this hash of a session independent of other hashes of the same value.
	sessionSeed = 0x5e55
)

// SessionAffinity keeps each session on one revision while a server of that revision serves. It
// remembers the revision that answered the session at this agent. For a session that it does not
// remember, it compares a hash of the session with the new revision's share of the capacity, so that
// such a session moves once, when the share exceeds its hash. It takes 128 KB and is not safe for
// concurrent use. The zero value remembers nothing.
type SessionAffinity struct {
	startedAt time.Duration // when the younger filters were started
	count     int           // sessions in the younger filters
	filters   [2][2]bloomFilter
}

// Indices of SessionAffinity.filters: by age, then by the revision that answered.
const (
	younger, older               = 0, 1
	answeredByOld, answeredByNew = 0, 1
)

// bloomFilter is a Bloom filter of sessions. The zero value is empty.
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

// Record notes that the new or the old revision answered a request of a session.
func (s *SessionAffinity) Record(now time.Duration, session uint64, isNew bool) {
	revision := answeredByOld
	if isNew {
		revision = answeredByNew
	}
	if s.count >= sessionFilterCapacity || now-s.startedAt > sessionWindow {
		s.filters[older] = s.filters[younger]
		s.filters[younger] = [2]bloomFilter{}
		s.count, s.startedAt = 0, now
	}
	filter := &s.filters[younger][revision]
	if !filter.contains(session) {
		s.count++
	}
	filter.add(session)
}

// PrefersNew reports whether the new revision is to be tried first for a session. newShare is the new
// revision's share of the capacity.
func (s *SessionAffinity) PrefersNew(session uint64, newShare float64) bool {
	for age := range s.filters {
		byRevision := &s.filters[age]
		wasOld, wasNew := byRevision[answeredByOld].contains(session), byRevision[answeredByNew].contains(session)
		if wasOld != wasNew {
			return wasNew
		}
	}
	return unitInterval(inference.Mix64(session^sessionSeed)) < newShare
}

// NewCapacityShare returns the new revision's share of the capacity. The arguments are, for each
// revision, the sum of its servers' capacities, each multiplied by the server's share of its requests.
func NewCapacityShare(oldCapacity, newCapacity float64) float64 {
	if oldCapacity+newCapacity <= 0 {
		return 0
	}
	return newCapacity / (oldCapacity + newCapacity)
}
