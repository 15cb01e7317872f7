package stalerouting

import (
	"cmp"
	"fmt"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

// Decided is a decision of the council on its way between agents: the whole table, what it is
// the newest of, and how long ago a majority last vouched for it.
type Decided struct {
	Version int
	Term    uint64
	Index   uint64
	Age     time.Duration
	Table   zonefailover.Table
}

// Check tells what is wrong with a decision of another process, by field.
func (d *Decided) Check() error {
	if d.Version != Version || d.Age < 0 || d.Index == 0 {
		return fmt.Errorf("decided: version %d, index %d, age %v", d.Version, d.Index, d.Age)
	}
	return d.Table.Validate()
}

// Parts is the newest decision of the council that an agent knows. It is acted on while it is
// no older than the bound; past it the agent does as if there were none. An older decision never
// takes the place of a newer one, whoever brings it, and an age only grows on its way. It is
// not safe for concurrent use.
type Parts struct {
	bound time.Duration
	have  Decided
	at    time.Duration // when a majority vouched for it, at the latest by the stated bound of links
}

// NewParts returns one that knows nothing.
func NewParts(bound time.Duration) *Parts { return &Parts{bound: bound} }

// Take takes a decision that came from another process, or from the agent's own council, and
// tells whether it is another than the one before.
func (p *Parts) Take(now time.Duration, d Decided, own bool) (news bool, err error) {
	if err := d.Check(); err != nil {
		return false, err
	}
	at := now - min(d.Age, Undated)
	if !own {
		at -= linkMost
	}
	switch c := cmp.Or(cmp.Compare(d.Term, p.have.Term), cmp.Compare(d.Index, p.have.Index)); {
	case c < 0:
		return false, fmt.Errorf("decided: index: %d of term %d is older than %d of term %d", d.Index, d.Term, p.have.Index, p.have.Term)
	case c == 0:
		p.at = max(p.at, at)
		return false, nil
	}
	p.have, p.at = d, at
	return true, nil
}

// Now is the decision as it would be told now; false past its bound.
func (p *Parts) Now(now time.Duration) (d Decided, holds bool) {
	d = p.have
	d.Age = now - p.at
	return d, d.Index > 0 && d.Age <= p.bound
}

// Left is how long it holds.
func (p *Parts) Left(now time.Duration) time.Duration { return max(p.at+p.bound-now, 0) }
