package stalerouting

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a server as discovery reports it. The values are in the order in which one process
// goes through the states.
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
	// MaxEntries bounds the number of entries of a set, and of a list that is merged or applied.
	MaxEntries = 4096
	// maxName bounds the names of servers and agents, in bytes.
	maxName = 128
	// tombstoneTTL is how long a removal is remembered. It is longer than the default MaxIsolation.
	tombstoneTTL = 15 * time.Minute
	// UnknownAge is the age of entries whose age is not known, like those of the list in the configuration.
	UnknownAge = 24 * time.Hour
)

// Entry is one process of a server as discovery reported it. Its JSON keys are part of the stored state.
type Entry struct {
	ID          string        `json:"ID"`
	Incarnation int64         `json:"Incarnation"` // start time from discovery, in Unix ms; never compared with a clock
	State       State         `json:"State"`
	Age         time.Duration `json:"Age"` // time since discovery reported it to an agent of the site
}

// validate returns an error that names the first invalid field of an entry from another process.
func (e *Entry) validate() error {
	switch {
	case e.ID == "" || len(e.ID) > maxName:
		return fmt.Errorf("id: invalid name length %d", len(e.ID))
	case e.State > Removed:
		return fmt.Errorf("state: unknown value %d", e.State)
	case e.Age < 0:
		return fmt.Errorf("age: %v is negative", e.Age)
	}
	return nil
}

// record is an entry in a ServerSet.
type record struct {
	incarnation int64
	state       State
	learnedAt   time.Duration // when discovery reported it; negative if that was before the clock's start
}

// newerThan reports whether this record replaces another one of the same server.
func (r record) newerThan(other record) bool {
	return cmp.Or(cmp.Compare(r.incarnation, other.incarnation), cmp.Compare(r.state, other.state)) > 0
}

// ServerSet is one member's knowledge of what discovery reported to the agents of its site about servers. It
// is not safe for concurrent use.
type ServerSet struct {
	servers map[string]record
	digest  uint64
}

// NewServerSet returns an empty set.
func NewServerSet() *ServerSet { return &ServerSet{servers: map[string]record{}} }

// ApplyDiscovery applies a report of the agent's own discovery: changes or, if complete is true, the complete
// list. A server that is not in a complete list is removed.
func (s *ServerSet) ApplyDiscovery(now time.Duration, list []Entry, complete bool) {
	listed := make(map[string]bool, len(list))
	for _, e := range list[:min(len(list), MaxEntries)] {
		listed[e.ID] = true
		reported := record{e.Incarnation, e.State, now}
		if known, ok := s.servers[e.ID]; ok && known.incarnation == reported.incarnation &&
			known.state == reported.state {
			continue // keep the age of the known record
		}
		s.servers[e.ID] = reported
	}
	for id, r := range s.servers {
		if complete && !listed[id] && r.state != Removed {
			s.servers[id] = record{r.incarnation, Removed, now}
		}
	}
	s.expireTombstones(now)
}

// Merge applies the entries of a peer and returns those that are new or replaced older ones. Of two equal
// entries the lower age is kept. If any entry is invalid, nothing is applied.
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
		reported := record{e.Incarnation, e.State, now - e.Age}
		known, ok := s.servers[e.ID]
		switch {
		case !ok && len(s.servers) >= MaxEntries:
			continue
		case !ok || reported.newerThan(known):
			changed = append(changed, e)
		case known.newerThan(reported) || known.learnedAt >= reported.learnedAt:
			continue
		}
		s.servers[e.ID] = reported
	}
	s.expireTombstones(now)
	return changed, nil
}

// Entries returns all entries, ordered by ID.
func (s *ServerSet) Entries(now time.Duration) []Entry {
	out := make([]Entry, 0, len(s.servers))
	for id, r := range s.servers {
		out = append(out, Entry{id, r.incarnation, r.state, max(now-r.learnedAt, 0)})
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Digest returns a hash of the servers and their states, without removed servers and ages. It is equal for
// sets that agree on these.
func (s *ServerSet) Digest() uint64 { return s.digest }

// expireTombstones deletes removals older than tombstoneTTL and recomputes the digest.
func (s *ServerSet) expireTombstones(now time.Duration) {
	s.digest = 0
	var raw [9]byte
	for id, r := range s.servers {
		if r.state == Removed {
			if now-r.learnedAt > tombstoneTTL {
				delete(s.servers, id)
			}
			continue
		}
		binary.BigEndian.PutUint64(raw[:], uint64(r.incarnation))
		raw[8] = byte(r.state)
		h := xxhash.New()
		_, _ = h.WriteString(id) // writing to a hash never fails
		_, _ = h.Write(raw[:])
		s.digest += h.Sum64() // a sum does not depend on the order of iteration
	}
}
