package fleetlab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// checkChanges checks the acknowledged changes (CONFIG): they are valid, no two are based on the same revision, and the
// configuration that was read back is not older than any of them.
func (c *checker) checkChanges() {
	var newest *ConfigChange
	for i, change := range c.Changes {
		if change.AckedAt == 0 {
			continue
		}
		if !change.Valid {
			c.addViolation("CONFIG", change.AckedAt, "the invalid configuration %d was acknowledged", change.Doc.Revision)
		}
		for _, o := range c.Changes[:i] {
			if o.AckedAt > 0 && o.BaseRevision == change.BaseRevision && o.Doc.Revision != change.Doc.Revision {
				c.addViolation("CONFIG", change.AckedAt, "configurations %d and %d were both acknowledged on revision %d", o.Doc.Revision, change.Doc.Revision, change.BaseRevision)
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
		c.addViolation("CONFIG", newest.AckedAt, "configuration %d was acknowledged but cannot be read back: %v", newest.Doc.Revision, c.ReadErr)
		return
	}
	rev, err := revisionOf(c.ReadBack)
	if err != nil {
		c.addViolation("CONFIG", newest.AckedAt, "%v", err)
		return
	}
	if rev < newest.Doc.Revision {
		c.addViolation("CONFIG", newest.AckedAt, "configuration %d was acknowledged, but the older %d was read back",
			newest.Doc.Revision, rev)
		return
	}
	var mismatch error
	for _, change := range c.Changes {
		if change.Doc.Revision != rev {
			continue
		}
		if change.isRejected() {
			mismatch = fmt.Errorf("it was rejected")
		} else if mismatch = change.Doc.matchesJSON(c.ReadBack); mismatch == nil {
			return
		}
	}
	c.addViolation("CONFIG", newest.AckedAt, "configuration %d was read back, but differs from the one sent: %v",
		rev, mismatch)
}

// appliedRevision is the lowest revision that an agent may have applied at a time.
type appliedRevision struct {
	revision int
	at       time.Duration
}

// checkAppliedConfig derives from the handling of requests which configuration an agent had applied, and checks it
// (CONFIG): it is not older than a revision that was acknowledged long enough before, and within an incarnation it
// never becomes older.
func (c *checker) checkAppliedConfig() {
	applied := map[string][]appliedRevision{} // by agent; revisions increase within an incarnation
	for _, h := range c.handlings() {
		agent := h.attempt.Agent
		lowest, newest, byRejected := c.explain(&h)
		if newest == nil {
			if byRejected {
				c.addViolation("CONFIG", h.at, "%s by %s: %v, which only a rejected configuration allows", h.attempt.ID, agent, &h)
			}
			continue // if no rejected change explains it, there was no configuration yet or it is a violation of ROUTE
		}
		if acked := c.ackedLongBefore(h.attempt.StartedAt); newest.Doc.Revision < acked && c.isInContact(agent, h.at) {
			c.addViolation("CONFIG", h.at, "%s by %s: %v, which only configurations up to %d allow, but %d was acknowledged long before", h.attempt.ID, agent, &h, newest.Doc.Revision, acked)
		}
		incarnation := c.incarnationStart(agent, h.at)
		for _, a := range applied[agent] {
			longBefore := a.at >= incarnation && a.at+c.rules.RevertSlack+c.rules.Slack < h.attempt.StartedAt
			if longBefore && newest.Doc.Revision < a.revision && c.isInContact(agent, h.at) {
				c.addViolation("CONFIG", h.at, "%s by %s: %v, which only configurations up to %d allow, but the agent had applied %d before", h.attempt.ID, agent, &h, newest.Doc.Revision, a.revision)
				break
			}
		}
		previous := applied[agent]
		if n := len(previous); h.service != "" && (n == 0 || previous[n-1].revision < lowest.Doc.Revision || previous[n-1].at < incarnation) {
			applied[agent] = append(previous, appliedRevision{lowest.Doc.Revision, h.at})
		}
	}
}

// handlings returns the requests that were executed or answered with 404, ordered by time.
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

// explain returns the changes with the lowest and the highest revision that allow a handling, nil if there is none, and
// whether a rejected change allows it.
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

// ackedLongBefore returns the highest revision that was acknowledged so long before a time that all agents in contact
// must have applied it; 0 if there is none.
func (c *checker) ackedLongBefore(at time.Duration) (revision int) {
	for _, change := range c.Changes {
		if change.AckedAt > 0 && change.AckedAt+c.rules.Converge+c.rules.Slack < at {
			revision = max(revision, change.Doc.Revision)
		}
	}
	return revision
}

// checkDenied checks that agents in contact don't deny requests that all configurations sent so far allow, not counting
// rejected ones (DENIED). A few denials are tolerated.
func (c *checker) checkDenied() {
	var denied []*Attempt
	for _, attempt := range c.Attempts {
		if attempt.Status < 300 || attempt.Status >= 500 || attempt.Status == 408 || attempt.Status == 421 || attempt.Status == 429 || attempt.Seal != "" || !c.isInContact(attempt.Agent, attempt.EndedAt) {
			continue
		}
		if slices.ContainsFunc(c.Records, func(record modelserver.Record) bool {
			return record.Kind == modelserver.InvalidRequest && record.Attempt == attempt.ID
		}) {
			continue // the server rejected it
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
		c.addViolation("DENIED", denied[0].EndedAt, "%d of %d requests were denied although they are valid, the first with status %d: %s", len(denied), len(c.Attempts), denied[0].Status, denied[0].ID)
	}
}

// incarnationStart returns when the process of an agent that ran at a time was started.
func (c *checker) incarnationStart(agent string, at time.Duration) (start time.Duration) {
	for _, fault := range c.Faults {
		if fault.ProcessStart && fault.Agent == agent && fault.Begin <= at {
			start = max(start, fault.Begin)
		}
	}
	return start
}

// handling is how an agent handled a request. It shows which configurations the agent can have applied.
type handling struct {
	attempt *Attempt
	at      time.Duration
	service string // service that executed the request; empty if it was answered with 404
}

// matches reports whether a configuration allows the handling.
func (h *handling) matches(d *Document) bool {
	if h.service == "" {
		return d.route(h.attempt.Host, h.attempt.Target) == nil
	}
	return slices.Contains(d.services(h.attempt.Host, h.attempt.Target), h.service)
}

// String describes the handling for the text of a violation.
func (h *handling) String() string {
	if h.service == "" {
		return "answered with 404"
	}
	return "executed by " + h.service
}
