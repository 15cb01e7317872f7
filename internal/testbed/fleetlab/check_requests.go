package fleetlab

import (
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// checkResponse judges MIXED and ORDER.
func (j *checker) checkResponse(t *Attempt) {
	if t.ExtraBytes {
		j.addViolation("MIXED", t.EndedAt, "%s: bytes after the answer", t.ID)
	}
	if t.ProtocolError != "" && !j.serverFailed(t) {
		j.addViolation("MIXED", t.EndedAt, "%s: no answer in the protocol: %s", t.ID, t.ProtocolError)
	}
	if t.AttemptHeader != "" && t.AttemptHeader != t.ID {
		j.addViolation("MIXED", t.EndedAt, "%s: the answer belongs to %s", t.ID, t.AttemptHeader)
	}
	if t.Status/100 != 2 {
		return
	}
	of := j.runsBySeal[t.Seal]
	switch {
	case t.Seal == "":
		j.addViolation("MIXED", t.EndedAt, "%s: status %d without a seal", t.ID, t.Status)
		return
	case of == nil:
		j.addViolation("MIXED", t.EndedAt, "%s: the seal %s is no server's", t.ID, t.Seal)
		return
	case of.Attempt != t.ID:
		j.addViolation("MIXED", t.EndedAt, "%s: the seal %s is of %s", t.ID, t.Seal, of.Attempt)
		return
	case t.Encoded:
		j.addViolation("MIXED", t.EndedAt, "%s: an encoding that no server made", t.ID)
	}
	next, seal := t.AfterEvent+1, ""
	for _, e := range t.Events {
		if e.N != next {
			j.addViolation("ORDER", e.ReceivedAt, "%s: event %d where %d is due", t.ID, e.N, next)
			return
		}
		if e.Text != t.Prompt.Text(e.N) {
			j.addViolation("MIXED", e.ReceivedAt, "%s: event %d says what no server made", t.ID, e.N)
			return
		}
		if e.Seal != seal {
			x := j.runsBySeal[e.Seal]
			switch {
			case x == nil || x.Attempt != t.ID:
				j.addViolation("MIXED", e.ReceivedAt, "%s: event %d is of another request's run %s", t.ID, e.N, e.Seal)
				return
			case seal == "" && e.Seal != t.Seal:
				j.addViolation("MIXED", e.ReceivedAt, "%s: its head is of %s, its first event of %s", t.ID, t.Seal, e.Seal)
			case seal != "" && (!t.Resumable || x.First != e.N):
				j.addViolation("ORDER", e.ReceivedAt, "%s: event %d of run %s joined to those of %s", t.ID, e.N, e.Seal, seal)
				return
			}
			seal = e.Seal
		}
		if last := t.Prompt.Pieces(j.rules.Stride); e.Last != (e.N == last) {
			j.addViolation("ORDER", e.ReceivedAt, "%s: event %d of %d marked as last: %v", t.ID, e.N, last, e.Last)
		}
		next++
	}
	if t.Complete && (len(t.Events) == 0 || !t.Events[len(t.Events)-1].Last) {
		j.addViolation("ORDER", t.EndedAt, "%s: ends as complete after event %d of %d", t.ID, next-1, t.Prompt.Pieces(j.rules.Stride))
	}
}

// checkExecutions judges TWICE and REFUSED.
func (j *checker) checkExecutions(t *Attempt) {
	runs := j.runs[t.ID]
	if t.Idempotent {
		return
	}
	if len(runs) > 1 {
		j.addViolation("TWICE", runs[1].At, "%s ran by %s and by %s", t.ID, runs[0].Instance, runs[1].Instance)
	}
	switch t.Status {
	case 503, 429, 408, 421:
		if len(runs) > 0 {
			j.addViolation("REFUSED", t.EndedAt, "%s: answered %d, but %s ran it", t.ID, t.Status, runs[0].Instance)
		}
	}
}

// checkLosses judges what was cut around an ordered end.
func (j *checker) checkLosses(t *Attempt) {
	if t.SentAt == 0 || t.Complete || t.EndReason != Closed || t.EndedAt >= t.Deadline || t.Timeout > 0 && t.EndedAt >= t.SentAt+t.Timeout {
		return
	}
	for _, x := range j.Faults {
		if !x.Graceful || x.Agent != t.Agent || t.EndedAt < x.Begin || t.EndedAt > x.Begin+j.rules.Grace+time.Second {
			continue
		}
		if slices.ContainsFunc(j.Faults, func(o Fault) bool {
			return !o.Graceful && !o.ProcessStart && (o.Agent == t.Agent || o.Core) && o.Begin <= t.EndedAt && (o.Active || o.End+j.rules.Contact > t.StartedAt)
		}) || j.serverFailed(t) {
			return
		}
		// Still at work in the second half of the grace: it was too long.
		work := slices.ContainsFunc(j.runs[t.ID], func(r *serverRun) bool { return r.ended == 0 || r.ended >= x.Begin+j.rules.Grace/2 })
		if work && t.EndedAt >= x.Begin+j.rules.Grace/2 {
			return
		}
		passed := slices.ContainsFunc(j.Records, func(r modelserver.Record) bool { return r.Kind == modelserver.Arrived && r.Attempt == t.ID })
		if passed || t.EndedAt > t.SentAt+j.rules.LossSlack+j.rules.Slack {
			j.addViolation("LOST", t.EndedAt, "%s: cut %v after the SIGTERM of %s, with %d events", t.ID, t.EndedAt-x.Begin, t.Agent, len(t.Events))
			return
		}
	}
}

// serverFailed tells whether a server broke off a run of the try itself.
func (j *checker) serverFailed(t *Attempt) bool {
	return slices.ContainsFunc(j.runs[t.ID], func(x *serverRun) bool {
		return x.serverCrashed || x.ended > 0 && !x.complete && x.ended >= t.Deadline
	})
}
