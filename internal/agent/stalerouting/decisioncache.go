package stalerouting

import (
	"cmp"
	"fmt"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

// Decision is a decision of the consensus group as agents exchange it: the complete table, its position
// in the log, and how long ago a majority last confirmed that it is the newest. It is encoded as an
// array, so the order of the fields is part of the protocol.
type Decision struct {
	Version int
	Term    uint64
	Index   uint64
	Age     time.Duration
	Table   zonefailover.Table
}

// Validate returns an error that names the invalid fields of a decision of another process.
func (d *Decision) Validate() error {
	if d.Version != Version || d.Age < 0 || d.Index == 0 {
		return fmt.Errorf("decision: version %d, index %d, age %v", d.Version, d.Index, d.Age)
	}
	return d.Table.Validate()
}

// DecisionCache holds the newest decision of the consensus group that an agent knows. The decision is
// valid up to a maximum age; after that the agent acts as without one. An older decision never replaces
// a newer one, whoever sends it, and an age only grows as it is passed on. It is not safe for concurrent
// use.
type DecisionCache struct {
	maxAge      time.Duration
	newest      Decision
	confirmedAt time.Duration // lower bound of the time of the last confirmation by a majority
}

// NewDecisionCache returns an empty cache.
func NewDecisionCache(maxAge time.Duration) *DecisionCache { return &DecisionCache{maxAge: maxAge} }

// Offer takes a decision from another process, or from the consensus group in this process (local), and
// reports whether it replaced the cached one. A stale or invalid decision returns an error.
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
		return false, fmt.Errorf("decision: index: %d of term %d is older than %d of term %d", d.Index, d.Term, p.newest.Index, p.newest.Term)
	case c == 0:
		p.confirmedAt = max(p.confirmedAt, confirmedAt)
		return false, nil
	}
	p.newest, p.confirmedAt = d, confirmedAt
	return true, nil
}

// Current returns the cached decision with its current age, and whether it is still valid.
func (p *DecisionCache) Current(now time.Duration) (d Decision, valid bool) {
	d = p.newest
	d.Age = now - p.confirmedAt
	return d, d.Index > 0 && d.Age <= p.maxAge
}

// ValidFor returns how long the cached decision remains valid.
func (p *DecisionCache) ValidFor(now time.Duration) time.Duration {
	return max(p.confirmedAt+p.maxAge-now, 0)
}
