package stalerouting

import (
	"cmp"
	"fmt"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

// Decision is a decision of the council on its way between agents: the whole table, what it is
// the newest of, and how long ago a majority last vouched for it.
type Decision struct {
	Version int
	Term    uint64
	Index   uint64
	Age     time.Duration
	Table   zonefailover.Table
}

// Validate tells what is wrong with a decision of another process, by field.
func (d *Decision) Validate() error {
	if d.Version != Version || d.Age < 0 || d.Index == 0 {
		return fmt.Errorf("decided: version %d, index %d, age %v", d.Version, d.Index, d.Age)
	}
	return d.Table.Validate()
}

// DecisionCache is the newest decision of the council that an agent knows. It is acted on while it is
// no older than the bound; past it the agent does as if there were none. An older decision never
// takes the place of a newer one, whoever brings it, and an age only grows on its way. It is
// not safe for concurrent use.
type DecisionCache struct {
	maxAge      time.Duration
	newest      Decision
	confirmedAt time.Duration // when a majority vouched for it, at the latest by the stated bound of links
}

// NewDecisionCache returns one that knows nothing.
func NewDecisionCache(maxAge time.Duration) *DecisionCache { return &DecisionCache{maxAge: maxAge} }

// Offer takes a decision that came from another process, or from the agent's own council, and
// tells whether it is another than the one before.
func (p *DecisionCache) Offer(now time.Duration, d Decision, local bool) (changed bool, err error) {
	if err := d.Validate(); err != nil {
		return false, err
	}
	confirmedAt := now - min(d.Age, UnknownAge)
	if !local {
		confirmedAt -= maxLinkDelay
	}
	switch c := cmp.Or(cmp.Compare(d.Term, p.newest.Term), cmp.Compare(d.Index, p.newest.Index)); {
	case c < 0:
		return false, fmt.Errorf("decided: index: %d of term %d is older than %d of term %d", d.Index, d.Term, p.newest.Index, p.newest.Term)
	case c == 0:
		p.confirmedAt = max(p.confirmedAt, confirmedAt)
		return false, nil
	}
	p.newest, p.confirmedAt = d, confirmedAt
	return true, nil
}

// Current is the decision as it would be told now; false past its bound.
func (p *DecisionCache) Current(now time.Duration) (d Decision, valid bool) {
	d = p.newest
	d.Age = now - p.confirmedAt
	return d, d.Index > 0 && d.Age <= p.maxAge
}

// ValidFor is how long it holds.
func (p *DecisionCache) ValidFor(now time.Duration) time.Duration {
	return max(p.confirmedAt+p.maxAge-now, 0)
}
