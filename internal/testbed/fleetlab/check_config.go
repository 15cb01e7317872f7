package fleetlab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// checkChanges judges what was acknowledged, and what was read back.
func (c *checker) checkChanges() {
	var newest *ConfigChange
	for i, change := range c.Changes {
		if change.AckedAt == 0 {
			continue
		}
		if !change.Valid {
			c.addViolation("CONFIG", change.AckedAt, "an invalid configuration (%d) was acknowledged", change.Doc.Revision)
		}
		for _, o := range c.Changes[:i] {
			if o.AckedAt > 0 && o.BaseRevision == change.BaseRevision && o.Doc.Revision != change.Doc.Revision {
				c.addViolation("CONFIG", change.AckedAt, "%d and %d were both acknowledged on top of %d", o.Doc.Revision, change.Doc.Revision, change.BaseRevision)
			}
		}
		if newest == nil || change.Doc.Revision > newest.Doc.Revision {
			newest = change
		}
	}
	if newest == nil || c.ReadBack == nil && c.ReadErr == nil {
		return
	}
	if c.ReadErr != nil {
		c.addViolation("CONFIG", newest.AckedAt, "%d was acknowledged, and cannot be read back: %v", newest.Doc.Revision, c.ReadErr)
		return
	}
	rev, err := revisionOf(c.ReadBack)
	if err != nil {
		c.addViolation("CONFIG", newest.AckedAt, "%v", err)
		return
	}
	if rev < newest.Doc.Revision {
		c.addViolation("CONFIG", newest.AckedAt, "%d was acknowledged, %d is read back", newest.Doc.Revision, rev)
		return
	}
	var why error
	for _, change := range c.Changes {
		if change.Doc.Revision != rev {
			continue
		}
		if change.isRejected() {
			why = fmt.Errorf("it was refused")
		} else if why = change.Doc.matchesJSON(c.ReadBack); why == nil {
			return
		}
	}
	c.addViolation("CONFIG", newest.AckedAt, "%d is read back, which is not what was sent: %v", rev, why)
}

// checkAppliedConfig judges which configuration agents act by: not older than what was acknowledged
// long enough ago, and never back within a life.
func (c *checker) checkAppliedConfig() {
	var all []handling
	for _, attempt := range c.Attempts {
		for _, run := range c.runs[attempt.ID] {
			all = append(all, handling{attempt, run.At, run.Service})
		}
		if attempt.Status == 404 && attempt.Seal == "" && len(c.runs[attempt.ID]) == 0 {
			all = append(all, handling{attempt, attempt.EndedAt, ""})
		}
	}
	slices.SortStableFunc(all, func(a, b handling) int { return cmp.Compare(a.at, b.at) })
	type floor struct {
		revision int
		at       time.Duration
	}
	floors := map[string][]floor{} // by agent
	for i := range all {
		h := &all[i]
		agent := h.attempt.Agent
		var lowest, newest *ConfigChange // by which it may have been handled
		wrong := false                   // a refused configuration handles it so
		acked := 0                       // long enough ago
		for _, change := range c.Changes {
			if change.AckedAt > 0 && change.AckedAt+c.rules.Converge+c.rules.Slack < h.attempt.StartedAt {
				acked = max(acked, change.Doc.Revision)
			}
			switch {
			case change.SentAt > h.at || !h.matches(change.Doc):
			case change.isRejected():
				wrong = true
			default:
				if lowest == nil || change.Doc.Revision < lowest.Doc.Revision {
					lowest = change
				}
				if newest == nil || change.Doc.Revision > newest.Doc.Revision {
					newest = change
				}
			}
		}
		if newest == nil {
			if wrong {
				c.addViolation("CONFIG", h.at, "%s by %s: %v, as only a refused configuration has it", h.attempt.ID, agent, h)
			}
			continue // else none was there yet, or ROUTE tells
		}
		if newest.Doc.Revision < acked && c.isInContact(agent, h.at) {
			c.addViolation("CONFIG", h.at, "%s by %s: %v, as %d has it, sent after %d was in force for long enough", h.attempt.ID, agent, h, newest.Doc.Revision, acked)
		}
		life := c.incarnationStart(agent, h.at)
		for _, f := range floors[agent] {
			if f.at >= life && f.at+c.rules.RevertSlack+c.rules.Slack < h.attempt.StartedAt && newest.Doc.Revision < f.revision && c.isInContact(agent, h.at) {
				c.addViolation("CONFIG", h.at, "%s by %s: %v, as %d has it, after it acted by %d", h.attempt.ID, agent, h, newest.Doc.Revision, f.revision)
				break
			}
		}
		if fs := floors[agent]; h.service != "" && (len(fs) == 0 || fs[len(fs)-1].revision < lowest.Doc.Revision || fs[len(fs)-1].at < life) {
			floors[agent] = append(fs, floor{lowest.Doc.Revision, h.at})
		}
	}
}

// checkDenied judges own 3xx and 4xx on requests that every configuration in force allows.
func (c *checker) checkDenied() {
	var of []*Attempt
	for _, attempt := range c.Attempts {
		if attempt.Status < 300 || attempt.Status >= 500 || attempt.Status == 408 || attempt.Status == 421 || attempt.Status == 429 || attempt.Seal != "" || !c.isInContact(attempt.Agent, attempt.EndedAt) {
			continue
		}
		if slices.ContainsFunc(c.Records, func(record modelserver.Record) bool {
			return record.Kind == modelserver.Unrunnable && record.Attempt == attempt.ID
		}) {
			continue // the server's own
		}
		allowed, any := true, false
		for _, change := range c.Changes {
			if !change.isRejected() && change.SentAt <= attempt.EndedAt {
				any = true
				allowed = allowed && change.Doc.route(attempt.Host, attempt.Target) != nil
			}
		}
		if any && allowed {
			of = append(of, attempt)
		}
	}
	if len(of) > 5+len(c.Attempts)/500 {
		c.addViolation("DENIED", of[0].EndedAt, "%d proper requests of %d, the first with %d: %s", len(of), len(c.Attempts), of[0].Status, of[0].ID)
	}
}

// incarnationStart is when the life of an agent's process began that it is in at a time.
func (c *checker) incarnationStart(agent string, at time.Duration) (from time.Duration) {
	for _, attempt := range c.Faults {
		if attempt.ProcessStart && attempt.Agent == agent && attempt.Begin <= at {
			from = max(from, attempt.Begin)
		}
	}
	return from
}

// handling is what a request's handling tells of the configuration that was in force.
type handling struct {
	attempt *Attempt
	at      time.Duration
	service string // that ran it; "": 404
}

func (h *handling) matches(d *Document) bool {
	if h.service == "" {
		return d.route(h.attempt.Host, h.attempt.Target) == nil
	}
	return slices.Contains(d.services(h.attempt.Host, h.attempt.Target), h.service)
}

func (h *handling) String() string {
	if h.service == "" {
		return "answered 404"
	}
	return "run by " + h.service
}
