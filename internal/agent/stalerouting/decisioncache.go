package stalerouting

import (
	"cmp"
	"fmt"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

// Decision is a decision of the consensus group as agents exchange it. It is encoded as an array, so the
// order of the fields is part of the protocol.
type Decision struct {
	Version int
	Term    uint64             // Term and Index are the position of the decision in the log
	Index   uint64             // 0 if there is no decision
	Age     time.Duration      // how long ago a majority last confirmed that the decision is the newest
	Table   zonefailover.Table // the complete table
}

// Validate returns an error if a decision from another process is invalid.
func (d *Decision) Validate() error {
	if d.Version != Version || d.Age < 0 || d.Index == 0 {
		return fmt.Errorf("decision: invalid version %d, index %d or age %v", d.Version, d.Index, d.Age)
	}
	return d.Table.Validate()
}

// DecisionCache holds the newest decision of the consensus group that an agent knows. The decision is
// valid up to a maximum age; after that the agent acts as if there were none. An older decision never
// replaces a newer one, whoever sends it, and passing a decision on never lowers its age. It is not safe
// for concurrent use.
type DecisionCache struct {
	maxAge      time.Duration
	newest      Decision
	confirmedAt time.Duration // lower bound of the time of the last confirmation by a majority
}

// NewDecisionCache returns an empty cache.
func NewDecisionCache(maxAge time.Duration) *DecisionCache { return &DecisionCache{maxAge: maxAge} }

// Offer processes a decision from another process, or from the consensus group in this process (local), and
// reports whether it replaced the cached one. If the decision is stale or invalid, Offer returns an error.
func (c *DecisionCache) Offer(now time.Duration, d Decision, local bool) (changed bool, err error) {
	if err := d.Validate(); err != nil {
		return false, err
	}
	confirmedAt := now - min(d.Age, UnknownAge)
	if !local {
		confirmedAt -= maxLinkDelay
	}
	switch order := cmp.Or(cmp.Compare(d.Term, c.newest.Term), cmp.Compare(d.Index, c.newest.Index)); {
	case order < 0:
		return false, fmt.Errorf("decision: index %d of term %d is older than index %d of term %d", d.Index, d.Term,
			c.newest.Index, c.newest.Term)
	case order == 0:
		c.confirmedAt = max(c.confirmedAt, confirmedAt)
		return false, nil
	}
	c.newest, c.confirmedAt = d, confirmedAt
	return true, nil
}

// Current returns the cached decision with its current age, and whether it is still valid.
func (c *DecisionCache) Current(now time.Duration) (d Decision, valid bool) {
	d = c.newest
	d.Age = now - c.confirmedAt
	return d, d.Index > 0 && d.Age <= c.maxAge
}

// ValidFor returns how long the cached decision remains valid.
func (c *DecisionCache) ValidFor(now time.Duration) time.Duration {
	return max(c.confirmedAt+c.maxAge-now, 0)
}
