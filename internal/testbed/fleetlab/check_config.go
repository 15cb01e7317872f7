package fleetlab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// checkChanges checks the acknowledged changes (CONFIG): they are valid, at most one is based on a revision, and the
// configuration that was read back is not older.
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

// appliedRevision is a revision that an agent had applied at a time.
type appliedRevision struct {
	revision int
	at       time.Duration
}

// checkAppliedConfig checks by the handling of requests which configuration agents apply (CONFIG): one that is not
// older than what was acknowledged long enough before, and within an incarnation never an older one than before.
func (c *checker) checkAppliedConfig() {
	applied := map[string][]appliedRevision{} // by agent, each higher than the one before within an incarnation
	for _, h := range c.handlings() {
		agent := h.attempt.Agent
		lowest, newest, byRejected := c.explain(&h)
		if newest == nil {
			if byRejected {
				c.addViolation("CONFIG", h.at, "%s by %s: %v, as only a refused configuration has it", h.attempt.ID, agent, &h)
			}
			continue // else there was no configuration yet, or it is a violation of ROUTE
		}
		if acked := c.ackedLongBefore(h.attempt.StartedAt); newest.Doc.Revision < acked && c.isInContact(agent, h.at) {
			c.addViolation("CONFIG", h.at, "%s by %s: %v, as %d has it, sent after %d was in force for long enough", h.attempt.ID, agent, &h, newest.Doc.Revision, acked)
		}
		incarnation := c.incarnationStart(agent, h.at)
		for _, a := range applied[agent] {
			longBefore := a.at >= incarnation && a.at+c.rules.RevertSlack+c.rules.Slack < h.attempt.StartedAt
			if longBefore && newest.Doc.Revision < a.revision && c.isInContact(agent, h.at) {
				c.addViolation("CONFIG", h.at, "%s by %s: %v, as %d has it, after it acted by %d", h.attempt.ID, agent, &h, newest.Doc.Revision, a.revision)
				break
			}
		}
		previous := applied[agent]
		if n := len(previous); h.service != "" && (n == 0 || previous[n-1].revision < lowest.Doc.Revision || previous[n-1].at < incarnation) {
			applied[agent] = append(previous, appliedRevision{lowest.Doc.Revision, h.at})
		}
	}
}

// handlings are the executed and the not found requests, ordered by time.
func (c *checker) handlings() (all []handling) {
	for _, attempt := range c.Attempts {
		for _, run := range c.runs[attempt.ID] {
			all = append(all, handling{attempt, run.At, run.Service})
		}
		if attempt.Status == 404 && attempt.Seal == "" && len(c.runs[attempt.ID]) == 0 {
			all = append(all, handling{attempt, attempt.EndedAt, ""})
		}
	}
	slices.SortStableFunc(all, func(a, b handling) int { return cmp.Compare(a.at, b.at) })
	return all
}

// explain returns the lowest and the newest revision that lead to a handling, nil if there is none, and whether a
// rejected change leads to it.
func (c *checker) explain(h *handling) (lowest, newest *ConfigChange, byRejected bool) {
	for _, change := range c.Changes {
		switch {
		case change.SentAt > h.at || !h.matches(change.Doc):
		case change.isRejected():
			byRejected = true
		default:
			if lowest == nil || change.Doc.Revision < lowest.Doc.Revision {
				lowest = change
			}
			if newest == nil || change.Doc.Revision > newest.Doc.Revision {
				newest = change
			}
		}
	}
	return lowest, newest, byRejected
}

// ackedLongBefore is the highest revision that was acknowledged so long before a time that all agents in contact have
// applied it; 0 if there is none.
func (c *checker) ackedLongBefore(at time.Duration) (revision int) {
	for _, change := range c.Changes {
		if change.AckedAt > 0 && change.AckedAt+c.rules.Converge+c.rules.Slack < at {
			revision = max(revision, change.Doc.Revision)
		}
	}
	return revision
}

// checkDenied checks that agents in contact don't reject requests that every configuration in force allows (DENIED).
// A few are tolerated.
func (c *checker) checkDenied() {
	var denied []*Attempt
	for _, attempt := range c.Attempts {
		if attempt.Status < 300 || attempt.Status >= 500 || attempt.Status == 408 || attempt.Status == 421 || attempt.Status == 429 || attempt.Seal != "" || !c.isInContact(attempt.Agent, attempt.EndedAt) {
			continue
		}
		if slices.ContainsFunc(c.Records, func(record modelserver.Record) bool {
			return record.Kind == modelserver.Unrunnable && record.Attempt == attempt.ID
		}) {
			continue // by the server
		}
		allowed, hasConfig := true, false
		for _, change := range c.Changes {
			if !change.isRejected() && change.SentAt <= attempt.EndedAt {
				hasConfig = true
				allowed = allowed && change.Doc.route(attempt.Host, attempt.Target) != nil
			}
		}
		if hasConfig && allowed {
			denied = append(denied, attempt)
		}
	}
	if len(denied) > 5+len(c.Attempts)/500 {
		c.addViolation("DENIED", denied[0].EndedAt, "%d proper requests of %d, the first with %d: %s", len(denied), len(c.Attempts), denied[0].Status, denied[0].ID)
	}
}

// incarnationStart is the start of the incarnation in which an agent's process is at a time.
func (c *checker) incarnationStart(agent string, at time.Duration) (from time.Duration) {
	for _, fault := range c.Faults {
		if fault.ProcessStart && fault.Agent == agent && fault.Begin <= at {
			from = max(from, fault.Begin)
		}
	}
	return from
}

// handling is how an agent handled a request, from which follows the configuration that it had applied.
type handling struct {
	attempt *Attempt
	at      time.Duration
	service string // that executed it; "": status 404
}

// matches tells whether a configuration leads to this handling.
func (h *handling) matches(d *Document) bool {
	if h.service == "" {
		return d.route(h.attempt.Host, h.attempt.Target) == nil
	}
	return slices.Contains(d.services(h.attempt.Host, h.attempt.Target), h.service)
}

// String describes the handling in a violation.
func (h *handling) String() string {
	if h.service == "" {
		return "answered 404"
	}
	return "run by " + h.service
}
