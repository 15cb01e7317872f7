// Package view owns the agreed view of the core: its number, who votes on the next one, and the
// chain that keeps the configuration. It is pure.
//
// View n+1 is one decision of single-decree Paxos, its instance numbered n+1, among the voters of
// view n: a strict majority, each with its promise and its acceptance on disk before it answers.
// View 1 is decided in the same way by the processes at the seeds' addresses, whose acceptors are
// in memory only: a process that was started again is told so (first-start = false) and never
// votes on view 1 again, so each such acceptor either keeps its word or is silent for good. Two
// different first views would need two majorities of the same seeds, which share an acceptor.
//
// Guaranteed by a step (Drop, Join, Admit, Swap) together with Plan:
//   - views are numbered without gaps, and there is one view of each number;
//   - the members of the chain are voters, and those that hold everything that was acknowledged
//     stand before those that may not yet (a member joins at the tail only), so a head that is
//     complete holds everything;
//   - the head of the next view is a complete member of the chain before, so it refuses older
//     words from the moment on at which it knows the next view, and what it holds then is all that
//     was or can be acknowledged in the older one;
//   - a drop leaves healthy members that hold everything and cover Floor: not all of them are lost
//     with any loss that Tolerance names, as far as the voters' zones and regions allow it.
//
// Not guaranteed: that a majority exists. A voter that is away is never just removed, as that would
// let a minority become a majority step by step: it is swapped for a newcomer. One that says itself
// that it is about to end is swapped, or retired where fewer voters bear more.
package view

import (
	"slices"

	"github.com/go-faster/errors"
)

const (
	// MaxVoters bounds the voters of a view.
	MaxVoters = 9
	maxText   = 128 // bytes of an id, an address, a zone or a region
)

// Peer is one machine of the core, known by the id of its disk: a lost disk comes back as another
// peer at the same address.
type Peer struct {
	ID      string `msgpack:"i" json:"ID"`   // random, made with the disk's first file
	Addr    string `msgpack:"a" json:"Addr"` // HOST:PORT at which its agent is called
	Zone    string `msgpack:"z" json:"Zone"`
	Region  string `msgpack:"r,omitempty" json:"Region"`  // "" in records of versions that did not keep it
	Disk    bool   `msgpack:"d,omitempty" json:"Disk"`    // what it has promised outlives its process
	Counted bool   `msgpack:"c,omitempty" json:"Counted"` // its loss is one of those to be borne
}

// Member is one member of the chain.
type Member struct {
	Peer
	JoinedIn uint64 `msgpack:"Since" json:"Since"` // number of the view in which it joined
}

// View is immutable once decided.
type View struct {
	Number   uint64   `msgpack:"Number" json:"Number"` // from 1; 0 is no view
	Voters   []Peer   `msgpack:"Voters" json:"Voters"` // at most MaxVoters, by ID
	Chain    []Member `msgpack:"Chain" json:"Chain"`   // head first
	InMemory bool     `msgpack:"Memory" json:"Memory"` // no machine had a disk: the state lives as long as a majority does
}

// Clone shares nothing with v.
func (v View) Clone() View {
	v.Voters, v.Chain = slices.Clone(v.Voters), slices.Clone(v.Chain)
	return v
}

// Equal tells whether two views say the same.
func (v View) Equal(o View) bool {
	return v.Number == o.Number && v.InMemory == o.InMemory && slices.Equal(v.Voters, o.Voters) && slices.Equal(v.Chain, o.Chain)
}

// Validate refuses a view that can't have been decided.
func (v View) Validate() error {
	switch {
	case v.Number == 0:
		return errors.New("view without a number")
	case len(v.Voters) == 0 || len(v.Voters) > MaxVoters:
		return errors.Errorf("view %d has %d voters: 1 to %d", v.Number, len(v.Voters), MaxVoters)
	case len(v.Chain) == 0 || len(v.Chain) > len(v.Voters):
		return errors.Errorf("view %d has %d voters and a chain of %d", v.Number, len(v.Voters), len(v.Chain))
	}
	for i, p := range v.Voters {
		if p.ID == "" || p.Addr == "" || len(p.ID) > maxText || len(p.Addr) > maxText || len(p.Zone) > maxText || len(p.Region) > maxText {
			return errors.Errorf("view %d: voter %d lacks an id or an address, or one is too long", v.Number, i)
		}
		if i > 0 && v.Voters[i-1].ID >= p.ID {
			return errors.Errorf("view %d: its voters are not in order", v.Number)
		}
	}
	seen := map[string]bool{}
	for _, l := range v.Chain {
		if p, ok := v.Voter(l.ID); !ok || p != l.Peer || seen[l.ID] || l.JoinedIn == 0 || l.JoinedIn > v.Number {
			return errors.Errorf("view %d: %s is no proper member of the chain", v.Number, l.ID)
		}
		seen[l.ID] = true
	}
	return nil
}

// Voter is the voter of that id.
func (v View) Voter(id string) (Peer, bool) {
	for _, p := range v.Voters {
		if p.ID == id {
			return p, true
		}
	}
	return Peer{}, false
}

// Quorum is how many voters decide.
func (v View) Quorum() int { return len(v.Voters)/2 + 1 }

// Position is the index of a member in the chain, or -1.
func (v View) Position(id string) int {
	return slices.IndexFunc(v.Chain, func(l Member) bool { return l.ID == id })
}

// Head orders what is written; a view has one.
func (v View) Head() Member { return v.Chain[0] }

// Tail commits and answers.
func (v View) Tail() Member { return v.Chain[len(v.Chain)-1] }

// Successor is the member after id, if there is one.
func (v View) Successor(id string) (Member, bool) {
	i := v.Position(id)
	if i < 0 || i+1 >= len(v.Chain) {
		return Member{}, false
	}
	return v.Chain[i+1], true
}

func comparePeers(a, b Peer) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}

func (v View) next() View {
	n := v.Clone()
	n.Number++
	return n
}

// RemoveMember is the next view without a member of the chain; it stays a voter.
func (v View) RemoveMember(id string) View {
	n := v.next()
	n.Chain = slices.DeleteFunc(n.Chain, func(l Member) bool { return l.ID == id })
	return n
}

// AppendMember is the next view with a voter at the tail.
func (v View) AppendMember(id string) View {
	n := v.next()
	if p, ok := v.Voter(id); ok && v.Position(id) < 0 {
		n.Chain = append(n.Chain, Member{Peer: p, JoinedIn: n.Number})
	}
	return n
}

// AddVoter is the next view with a newcomer as a voter.
func (v View) AddVoter(p Peer) View {
	n := v.next()
	n.Voters = append(n.Voters, p)
	slices.SortFunc(n.Voters, comparePeers)
	return n
}

// ReplaceVoter is the next view with a newcomer in a voter's place; the voter must not be in the chain.
func (v View) ReplaceVoter(old string, p Peer) View {
	n := v.next()
	n.Voters = slices.DeleteFunc(n.Voters, func(q Peer) bool { return q.ID == old })
	n.Voters = append(n.Voters, p)
	slices.SortFunc(n.Voters, comparePeers)
	return n
}

// RemoveVoter is the next view without a voter; it must not be in the chain.
func (v View) RemoveVoter(id string) View {
	n := v.next()
	n.Voters = slices.DeleteFunc(n.Voters, func(q Peer) bool { return q.ID == id })
	return n
}
