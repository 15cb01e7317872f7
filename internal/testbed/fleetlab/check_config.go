package fleetlab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// checkChanges judges what was acknowledged, and what was read back.
func (j *checker) checkChanges() {
	var newest *ConfigChange
	for i, c := range j.Changes {
		if c.AckedAt == 0 {
			continue
		}
		if !c.Valid {
			j.addViolation("CONFIG", c.AckedAt, "an invalid configuration (%d) was acknowledged", c.Doc.Revision)
		}
		for _, o := range j.Changes[:i] {
			if o.AckedAt > 0 && o.BaseRevision == c.BaseRevision && o.Doc.Revision != c.Doc.Revision {
				j.addViolation("CONFIG", c.AckedAt, "%d and %d were both acknowledged on top of %d", o.Doc.Revision, c.Doc.Revision, c.BaseRevision)
			}
		}
		if newest == nil || c.Doc.Revision > newest.Doc.Revision {
			newest = c
		}
	}
	if newest == nil || j.ReadBack == nil && j.ReadErr == nil {
		return
	}
	if j.ReadErr != nil {
		j.addViolation("CONFIG", newest.AckedAt, "%d was acknowledged, and cannot be read back: %v", newest.Doc.Revision, j.ReadErr)
		return
	}
	rev, err := revisionOf(j.ReadBack)
	if err != nil {
		j.addViolation("CONFIG", newest.AckedAt, "%v", err)
		return
	}
	if rev < newest.Doc.Revision {
		j.addViolation("CONFIG", newest.AckedAt, "%d was acknowledged, %d is read back", newest.Doc.Revision, rev)
		return
	}
	var why error
	for _, c := range j.Changes {
		if c.Doc.Revision != rev {
			continue
		}
		if c.isRejected() {
			why = fmt.Errorf("it was refused")
		} else if why = c.Doc.matchesJSON(j.ReadBack); why == nil {
			return
		}
	}
	j.addViolation("CONFIG", newest.AckedAt, "%d is read back, which is not what was sent: %v", rev, why)
}

// checkAppliedConfig judges which configuration agents act by: not older than what was acknowledged
// long enough ago, and never back within a life.
func (j *checker) checkAppliedConfig() {
	var all []handling
	for _, t := range j.Attempts {
		for _, x := range j.runs[t.ID] {
			all = append(all, handling{t, x.At, x.Service})
		}
		if t.Status == 404 && t.Seal == "" && len(j.runs[t.ID]) == 0 {
			all = append(all, handling{t, t.EndedAt, ""})
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
		for _, c := range j.Changes {
			if c.AckedAt > 0 && c.AckedAt+j.rules.Converge+j.rules.Slack < h.attempt.StartedAt {
				acked = max(acked, c.Doc.Revision)
			}
			switch {
			case c.SentAt > h.at || !h.matches(c.Doc):
			case c.isRejected():
				wrong = true
			default:
				if lowest == nil || c.Doc.Revision < lowest.Doc.Revision {
					lowest = c
				}
				if newest == nil || c.Doc.Revision > newest.Doc.Revision {
					newest = c
				}
			}
		}
		if newest == nil {
			if wrong {
				j.addViolation("CONFIG", h.at, "%s by %s: %v, as only a refused configuration has it", h.attempt.ID, agent, h)
			}
			continue // else none was there yet, or ROUTE tells
		}
		if newest.Doc.Revision < acked && j.isInContact(agent, h.at) {
			j.addViolation("CONFIG", h.at, "%s by %s: %v, as %d has it, sent after %d was in force for long enough", h.attempt.ID, agent, h, newest.Doc.Revision, acked)
		}
		life := j.incarnationStart(agent, h.at)
		for _, f := range floors[agent] {
			if f.at >= life && f.at+j.rules.RevertSlack+j.rules.Slack < h.attempt.StartedAt && newest.Doc.Revision < f.revision && j.isInContact(agent, h.at) {
				j.addViolation("CONFIG", h.at, "%s by %s: %v, as %d has it, after it acted by %d", h.attempt.ID, agent, h, newest.Doc.Revision, f.revision)
				break
			}
		}
		if fs := floors[agent]; h.service != "" && (len(fs) == 0 || fs[len(fs)-1].revision < lowest.Doc.Revision || fs[len(fs)-1].at < life) {
			floors[agent] = append(fs, floor{lowest.Doc.Revision, h.at})
		}
	}
}

// checkDenied judges own 3xx and 4xx on requests that every configuration in force allows.
func (j *checker) checkDenied() {
	var of []*Attempt
	for _, t := range j.Attempts {
		if t.Status < 300 || t.Status >= 500 || t.Status == 408 || t.Status == 421 || t.Status == 429 || t.Seal != "" || !j.isInContact(t.Agent, t.EndedAt) {
			continue
		}
		if slices.ContainsFunc(j.Records, func(r modelserver.Record) bool { return r.Kind == modelserver.Unrunnable && r.Attempt == t.ID }) {
			continue // the server's own
		}
		allowed, any := true, false
		for _, c := range j.Changes {
			if !c.isRejected() && c.SentAt <= t.EndedAt {
				any = true
				allowed = allowed && c.Doc.route(t.Host, t.Target) != nil
			}
		}
		if any && allowed {
			of = append(of, t)
		}
	}
	if len(of) > 5+len(j.Attempts)/500 {
		j.addViolation("DENIED", of[0].EndedAt, "%d proper requests of %d, the first with %d: %s", len(of), len(j.Attempts), of[0].Status, of[0].ID)
	}
}

// incarnationStart is when the life of an agent's process began that it is in at a time.
func (j *checker) incarnationStart(agent string, at time.Duration) (from time.Duration) {
	for _, t := range j.Faults {
		if t.ProcessStart && t.Agent == agent && t.Begin <= at {
			from = max(from, t.Begin)
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
