// Package stalerouting is what the agents of a site route by and did not find out alone, and how
// they keep it while their uplink is lost: what discovery last told any of them of each server
// (Set), and whether the site is cut off from all that lies outside (Uplink). Both are pure:
// times are given, as time since some start on the monotonic clock.
//
// # What is guaranteed
//
// A Set only moves forward: of two tellings of one server the one of the later process wins,
// and of one process removed wins over draining over up. So the order in which neighbours
// exchange what they know, repeats and losses do not matter, and all that exchange hold the
// same in the end. What the agent's own discovery tells goes before all of that, whatever it
// says: it is the authority whenever it can be heard.
//
// A site counts as cut off at a member only while a strict majority of its roll says so in
// words no older than four beats, and this member has itself heard nothing from outside for
// Quiet; it stays so until a majority, or this member for twice Quiet, hears something, and no
// longer than Hold after the last majority. One agent that is cut off alone never makes a
// site, and a share that rests on it lapses by itself.
//
// # What the page of rules asks of an agent that cannot know
//
// A change of the list counts as told once discovery has sent it to the agent's own view of
// it, or, where a watch fell silent, 6 s later whether or not it arrived (2 s after its wait
// for a call that may wait). While discovery is down nothing is told and nothing counts: an
// agent of a dark site may go on sending to servers that were up when it last heard, and must
// not send to those of which it, or its earlier life, was told that they drain. What a
// neighbour was told does not count as told here; it is taken all the same, as a server that
// drains turns away what is new. When discovery is back what it tells counts at once, so it is
// asked at once, with jitter.
//
// # What is not guaranteed
//
// That a server which discovery took back from draining to up during the loss, at one member
// only, is used by the others before they hear discovery themselves: they take the word that
// asks for less.
package stalerouting

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what discovery says of a server, in the order in which one process goes through it.
type State uint8

// The states.
const (
	Up State = iota
	Draining
	Removed
)

// String is the state as discovery has it.
func (s State) String() string { return [...]string{"up", "draining", "removed"}[s] }

const (
	// MaxEntries bounds a set, and what is taken of a neighbour's.
	MaxEntries = 4096
	// maxName bounds the names of servers and agents, in bytes.
	maxName = 128
	// tombstoneTTL is how long a removal is remembered: longer than a site is to live by its set.
	tombstoneTTL = 15 * time.Minute
	// UnknownAge is the age of what nobody can date, as of a list that came with the start.
	UnknownAge = 24 * time.Hour
)

// Entry is one process of a server as discovery told of it.
type Entry struct {
	ID          string        `json:"ID"`
	Incarnation int64         `json:"Incarnation"` // when it started by the list, in Unix ms: a label, never compared to a clock
	State       State         `json:"State"`
	Age         time.Duration `json:"Age"` // since somebody of the site was told so
}

// validate tells what is wrong with an entry of another process, by field.
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

// record is an entry as it is kept.
type record struct {
	incarnation int64
	state       State
	learnedAt   time.Duration // when it was told; may lie before the clock's start
}

// newerThan tells whether a telling of the same server comes after another.
func (r record) newerThan(other record) bool {
	return cmp.Or(cmp.Compare(r.incarnation, other.incarnation), cmp.Compare(r.state, other.state)) > 0
}

// ServerSet is what a site was told of servers, as one member knows it. It is not safe for
// concurrent use.
type ServerSet struct {
	servers map[string]record
	digest  uint64
}

// NewServerSet returns an empty one.
func NewServerSet() *ServerSet { return &ServerSet{servers: map[string]record{}} }

// ApplyDiscovery takes what the agent's own discovery tells now: changes, or the whole list. What a
// whole one does not name any more is removed.
func (s *ServerSet) ApplyDiscovery(now time.Duration, list []Entry, complete bool) {
	listed := make(map[string]bool, len(list))
	for _, e := range list[:min(len(list), MaxEntries)] {
		listed[e.ID] = true
		k := record{e.Incarnation, e.State, now}
		if known, ok := s.servers[e.ID]; ok && known.incarnation == k.incarnation && known.state == k.state {
			continue // as old as it was
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

// Merge takes what a neighbour knows and returns what is new by it. A telling of which the
// same is known keeps the lesser age. A record that makes no sense fails the whole, and
// nothing is taken.
func (s *ServerSet) Merge(now time.Duration, other []Entry) (changed []Entry, err error) {
	if len(other) > MaxEntries {
		return nil, fmt.Errorf("decisions: set: %d entries, at most %d are taken", len(other), MaxEntries)
	}
	for i := range other {
		if err := other[i].validate(); err != nil {
			return nil, fmt.Errorf("decisions: set[%d].%w", i, err)
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

// Entries are all that is known, by id.
func (s *ServerSet) Entries(now time.Duration) []Entry {
	out := make([]Entry, 0, len(s.servers))
	for id, k := range s.servers {
		out = append(out, Entry{id, k.incarnation, k.state, max(now-k.learnedAt, 0)})
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Digest is the same for two sets that tell the same of all servers that are not removed,
// whatever the ages.
func (s *ServerSet) Digest() uint64 { return s.digest }

// expireTombstones forgets old removals and takes the digest anew.
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
		_, _ = h.WriteString(id) // a hash takes all
		_, _ = h.Write(raw[:])
		s.digest += h.Sum64() // a sum has no order
	}
}
