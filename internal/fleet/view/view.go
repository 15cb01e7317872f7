package view

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"
)

const (
	// MaxVoters is the largest number of voters of a view.
	MaxVoters = 9
	// maxTextBytes is the largest length of an ID, an address, a zone or a region, in bytes.
	maxTextBytes = 128
)

// Peer is one machine of the control plane, identified by its disk. A machine that lost its disk
// becomes another peer with the same address.
type Peer struct {
	ID      string `msgpack:"i" json:"ID"`   // random, created with the first file on the disk
	Addr    string `msgpack:"a" json:"Addr"` // HOST:PORT of its agent
	Zone    string `msgpack:"z" json:"Zone"`
	Region  string `msgpack:"r,omitempty" json:"Region"`  // empty in records of versions that did not store it
	Disk    bool   `msgpack:"d,omitempty" json:"Disk"`    // it has a disk, so its promises survive a restart
	Counted bool   `msgpack:"c,omitempty" json:"Counted"` // its loss counts as one of the losses to tolerate
}

// Member is one member of the chain.
type Member struct {
	Peer
	JoinedIn uint64 `msgpack:"Since" json:"Since"` // number of the view in which it joined the chain
}

// View is one configuration of the control plane. It is immutable once decided.
type View struct {
	Number   uint64   `msgpack:"Number" json:"Number"` // counts from 1; 0 if there is no view
	Voters   []Peer   `msgpack:"Voters" json:"Voters"` // at most MaxVoters, sorted by ID
	Chain    []Member `msgpack:"Chain" json:"Chain"`   // head first
	InMemory bool     `msgpack:"Memory" json:"Memory"` // no peer had a disk, so losing a majority loses the state
}

// Clone returns a deep copy.
func (v View) Clone() View {
	v.Voters, v.Chain = slices.Clone(v.Voters), slices.Clone(v.Chain)
	return v
}

// Equal reports whether all fields of two views are equal.
func (v View) Equal(other View) bool {
	return v.Number == other.Number && v.InMemory == other.InMemory &&
		slices.Equal(v.Voters, other.Voters) && slices.Equal(v.Chain, other.Chain)
}

// Validate returns an error if the view is malformed, so that it can't have been decided.
func (v View) Validate() error {
	switch {
	case v.Number == 0:
		return errors.New("view without a number")
	case len(v.Voters) == 0 || len(v.Voters) > MaxVoters:
		return errors.Errorf("view %d has %d voters: 1 to %d", v.Number, len(v.Voters), MaxVoters)
	case len(v.Chain) == 0 || len(v.Chain) > len(v.Voters):
		return errors.Errorf("view %d has %d voters and a chain of %d", v.Number, len(v.Voters), len(v.Chain))
	}
	for i, voter := range v.Voters {
		if !voter.valid() {
			return errors.Errorf("view %d: voter %d lacks an ID or an address, or one of its fields is too long", v.Number, i)
		}
		if i > 0 && v.Voters[i-1].ID >= voter.ID {
			return errors.Errorf("view %d: the voters are not sorted by ID", v.Number)
		}
	}
	seen := map[string]bool{}
	for _, member := range v.Chain {
		voter, found := v.Voter(member.ID)
		if !found || voter != member.Peer || seen[member.ID] || member.JoinedIn == 0 || member.JoinedIn > v.Number {
			return errors.Errorf("view %d: %s is not a valid member of the chain", v.Number, member.ID)
		}
		seen[member.ID] = true
	}
	return nil
}

func (p Peer) valid() bool {
	return p.ID != "" && p.Addr != "" &&
		max(len(p.ID), len(p.Addr), len(p.Zone), len(p.Region)) <= maxTextBytes
}

// Voter returns the voter with the given ID.
func (v View) Voter(id string) (voter Peer, found bool) {
	for _, voter := range v.Voters {
		if voter.ID == id {
			return voter, true
		}
	}
	return Peer{}, false
}

// Quorum returns the number of voters that have to agree, which is a strict majority.
func (v View) Quorum() int { return len(v.Voters)/2 + 1 }

// Position returns the index of a member in the chain, or -1 if the chain has no member with that ID.
func (v View) Position(id string) int {
	return slices.IndexFunc(v.Chain, func(member Member) bool { return member.ID == id })
}

// Head returns the member that orders updates.
func (v View) Head() Member { return v.Chain[0] }

// Tail returns the member that commits updates and answers reads.
func (v View) Tail() Member { return v.Chain[len(v.Chain)-1] }

// Successor returns the member that follows the given one in the chain. Found is false for the tail and
// for an ID that is not in the chain.
func (v View) Successor(id string) (successor Member, found bool) {
	position := v.Position(id)
	if position < 0 || position+1 >= len(v.Chain) {
		return Member{}, false
	}
	return v.Chain[position+1], true
}

func comparePeers(a, b Peer) int { return cmp.Compare(a.ID, b.ID) }
