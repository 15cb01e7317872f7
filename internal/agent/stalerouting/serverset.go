package stalerouting

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a server by discovery, in the order in which one process passes through it.
type State uint8

// The states.
const (
	Up State = iota
	Draining
	Removed
)

// String returns discovery's name of the state.
func (s State) String() string { return [...]string{"up", "draining", "removed"}[s] }

const (
	// MaxEntries bounds a set, and the entries that are merged from a peer.
	MaxEntries = 4096
	// maxName bounds the names of servers and agents, in bytes.
	maxName = 128
	// tombstoneTTL is how long a removal is remembered, longer than a site may route by its set.
	tombstoneTTL = 15 * time.Minute
	// UnknownAge is the age of entries without a known one, as those of the list in the configuration.
	UnknownAge = 24 * time.Hour
)

// Entry is one process of a server as discovery reported it. Its JSON keys are part of stored state.
type Entry struct {
	ID          string        `json:"ID"`
	Incarnation int64         `json:"Incarnation"` // its start time by discovery, in Unix ms: a label, never compared with a clock
	State       State         `json:"State"`
	Age         time.Duration `json:"Age"` // time since discovery reported it to some agent of the site
}

// validate returns an error that names the first invalid field of an entry of another process.
func (e *Entry) validate() error {
	switch {
	case e.ID == "" || len(e.ID) > maxName:
		return fmt.Errorf("id: a name of %d bytes", len(e.ID))
	case e.State > Removed:
		return fmt.Errorf("state: unknown %d", e.State)
	case e.Age < 0:
		return fmt.Errorf("age: %v is negative", e.Age)
	}
	return nil
}

// record is a stored entry.
type record struct {
	incarnation int64
	state       State
	learnedAt   time.Duration // when it was reported; may be before the clock's start
}

// newerThan reports whether a record of the same server supersedes another.
func (r record) newerThan(other record) bool {
	return cmp.Or(cmp.Compare(r.incarnation, other.incarnation), cmp.Compare(r.state, other.state)) > 0
}

// ServerSet is what discovery reported to a site about its servers, as one member knows it. It is not safe
// for concurrent use.
type ServerSet struct {
	servers map[string]record
	digest  uint64
}

// NewServerSet returns an empty set.
func NewServerSet() *ServerSet { return &ServerSet{servers: map[string]record{}} }

// ApplyDiscovery applies what the agent's own discovery reports: changes, or the complete list. A server
// that a complete list does not name is removed.
func (s *ServerSet) ApplyDiscovery(now time.Duration, list []Entry, complete bool) {
	listed := make(map[string]bool, len(list))
	for _, e := range list[:min(len(list), MaxEntries)] {
		listed[e.ID] = true
		k := record{e.Incarnation, e.State, now}
		if known, ok := s.servers[e.ID]; ok && known.incarnation == k.incarnation && known.state == k.state {
			continue // keeps its age
		}
		s.servers[e.ID] = k
	}
	for id, k := range s.servers {
		if complete && !listed[id] && k.state != Removed {
			s.servers[id] = record{k.incarnation, Removed, now}
		}
	}
	s.expireTombstones(now)
}

// Merge applies the entries of a peer and returns those that changed the set. Of two equal entries the
// lesser age is kept. If any entry is invalid, nothing is applied.
func (s *ServerSet) Merge(now time.Duration, other []Entry) (changed []Entry, err error) {
	if len(other) > MaxEntries {
		return nil, fmt.Errorf("stalerouting: set: %d entries, at most %d are allowed", len(other), MaxEntries)
	}
	for i := range other {
		if err := other[i].validate(); err != nil {
			return nil, fmt.Errorf("stalerouting: set[%d].%w", i, err)
		}
	}
	for _, e := range other {
		k := record{e.Incarnation, e.State, now - e.Age}
		known, ok := s.servers[e.ID]
		switch {
		case !ok && len(s.servers) >= MaxEntries:
			continue
		case !ok || k.newerThan(known):
			changed = append(changed, e)
		case known.newerThan(k) || known.learnedAt >= k.learnedAt:
			continue
		}
		s.servers[e.ID] = k
	}
	s.expireTombstones(now)
	return changed, nil
}

// Entries returns all entries, ordered by ID.
func (s *ServerSet) Entries(now time.Duration) []Entry {
	out := make([]Entry, 0, len(s.servers))
	for id, k := range s.servers {
		out = append(out, Entry{id, k.incarnation, k.state, max(now-k.learnedAt, 0)})
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Digest returns a hash that is equal for two sets with the same servers in the same states, removed
// ones and ages left out.
func (s *ServerSet) Digest() uint64 { return s.digest }

// expireTombstones drops removals older than tombstoneTTL and recomputes the digest.
func (s *ServerSet) expireTombstones(now time.Duration) {
	s.digest = 0
	var raw [9]byte
	for id, k := range s.servers {
		if k.state == Removed {
			if now-k.learnedAt > tombstoneTTL {
				delete(s.servers, id)
			}
			continue
		}
		binary.BigEndian.PutUint64(raw[:], uint64(k.incarnation))
		raw[8] = byte(k.state)
		h := xxhash.New()
		_, _ = h.WriteString(id) // a hash never fails
		_, _ = h.Write(raw[:])
		s.digest += h.Sum64() // a sum does not depend on the order
	}
}
