package fleetlab

import (
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// checkResponse checks that a response belongs to its request (MIXED) and that its events are complete and in order
// (ORDER).
func (c *checker) checkResponse(attempt *Attempt) {
	if attempt.ExtraBytes {
		c.addViolation("MIXED", attempt.EndedAt, "%s: bytes after the response", attempt.ID)
	}
	if attempt.ProtocolError != "" && !c.serverFailed(attempt) {
		c.addViolation("MIXED", attempt.EndedAt, "%s: malformed response: %s", attempt.ID, attempt.ProtocolError)
	}
	if attempt.AttemptHeader != "" && attempt.AttemptHeader != attempt.ID {
		c.addViolation("MIXED", attempt.EndedAt, "%s: the response belongs to %s", attempt.ID, attempt.AttemptHeader)
	}
	if attempt.Status/100 != 2 {
		return
	}
	headRun := c.runsBySeal[attempt.Seal]
	switch {
	case attempt.Seal == "":
		c.addViolation("MIXED", attempt.EndedAt, "%s: status %d without a seal", attempt.ID, attempt.Status)
		return
	case headRun == nil:
		c.addViolation("MIXED", attempt.EndedAt, "%s: no server produced the seal %s", attempt.ID, attempt.Seal)
		return
	case headRun.Attempt != attempt.ID:
		c.addViolation("MIXED", attempt.EndedAt, "%s: seal %s belongs to %s", attempt.ID, attempt.Seal, headRun.Attempt)
		return
	case attempt.Encoded:
		c.addViolation("MIXED", attempt.EndedAt, "%s: content encoding, which servers don't use", attempt.ID)
	}
	next, seal := attempt.AfterEvent+1, ""
	for _, event := range attempt.Events {
		if event.N != next {
			c.addViolation("ORDER", event.ReceivedAt, "%s: event %d instead of %d", attempt.ID, event.N, next)
			return
		}
		if event.Text != attempt.Prompt.EventText(event.N) {
			c.addViolation("MIXED", event.ReceivedAt, "%s: event %d has an unknown text", attempt.ID, event.N)
			return
		}
		if event.Seal != seal {
			run := c.runsBySeal[event.Seal]
			switch {
			case run == nil || run.Attempt != attempt.ID:
				c.addViolation("MIXED", event.ReceivedAt, "%s: event %d comes from the run %s of another request", attempt.ID, event.N, event.Seal)
				return
			case seal == "" && event.Seal != attempt.Seal:
				c.addViolation("MIXED", event.ReceivedAt, "%s: header of run %s, but first event of run %s", attempt.ID, attempt.Seal, event.Seal)
			case seal != "" && (!attempt.Resumable || run.FirstEvent != event.N):
				c.addViolation("ORDER", event.ReceivedAt, "%s: event %d of run %s must not follow events of run %s", attempt.ID, event.N, event.Seal, seal)
				return
			}
			seal = event.Seal
		}
		if last := attempt.Prompt.EventCount(c.rules.Stride); event.Last != (event.N == last) {
			c.addViolation("ORDER", event.ReceivedAt, "%s: event %d of %d marked as last: %v", attempt.ID, event.N, last, event.Last)
		}
		next++
	}
	if attempt.Complete && (len(attempt.Events) == 0 || !attempt.Events[len(attempt.Events)-1].Last) {
		c.addViolation("ORDER", attempt.EndedAt, "%s: complete response ends after event %d of %d", attempt.ID, next-1, attempt.Prompt.EventCount(c.rules.Stride))
	}
}

// checkExecutions checks that a request that is not idempotent is executed at most once (TWICE), and not at all if it
// was rejected (REFUSED).
func (c *checker) checkExecutions(attempt *Attempt) {
	runs := c.runs[attempt.ID]
	if attempt.Idempotent {
		return
	}
	if len(runs) > 1 {
		c.addViolation("TWICE", runs[1].At, "%s was executed by %s and %s",
			attempt.ID, runs[0].Instance, runs[1].Instance)
	}
	switch attempt.Status {
	case 503, 429, 408, 421:
		if len(runs) > 0 {
			c.addViolation("REFUSED", attempt.EndedAt, "%s: rejected with status %d, but %s executed it", attempt.ID, attempt.Status, runs[0].Instance)
		}
	}
}

// checkLosses checks that the graceful shutdown of an agent cuts off no request (LOST).
func (c *checker) checkLosses(attempt *Attempt) {
	if attempt.SentAt == 0 || attempt.Complete || attempt.EndReason != Closed || attempt.EndedAt >= attempt.Deadline || attempt.Timeout > 0 && attempt.EndedAt >= attempt.SentAt+attempt.Timeout {
		return
	}
	for _, fault := range c.Faults {
		if !fault.Graceful || fault.Agent != attempt.Agent || attempt.EndedAt < fault.Begin || attempt.EndedAt > fault.Begin+c.rules.Grace+time.Second {
			continue
		}
		if slices.ContainsFunc(c.Faults, func(other Fault) bool {
			return !other.Graceful && !other.ProcessStart && (other.Agent == attempt.Agent || other.Core) && other.Begin <= attempt.EndedAt && (other.Active || other.End+c.rules.Contact > attempt.StartedAt)
		}) || c.serverFailed(attempt) {
			return
		}
		// A request that is still being executed in the second half of the grace period may be cut off there.
		executing := slices.ContainsFunc(c.runs[attempt.ID], func(run *serverRun) bool { return run.ended == 0 || run.ended >= fault.Begin+c.rules.Grace/2 })
		if executing && attempt.EndedAt >= fault.Begin+c.rules.Grace/2 {
			return
		}
		forwarded := slices.ContainsFunc(c.Records, func(record modelserver.Record) bool {
			return record.Kind == modelserver.Arrived && record.Attempt == attempt.ID
		})
		if forwarded || attempt.EndedAt > attempt.SentAt+c.rules.LossSlack+c.rules.Slack {
			c.addViolation("LOST", attempt.EndedAt, "%s: cut off %v after the SIGTERM to %s, after %d events", attempt.ID, attempt.EndedAt-fault.Begin, attempt.Agent, len(attempt.Events))
			return
		}
	}
}

// serverFailed reports whether a server cut off a run of the attempt by itself, by a crash or at the deadline.
func (c *checker) serverFailed(attempt *Attempt) bool {
	return slices.ContainsFunc(c.runs[attempt.ID], func(run *serverRun) bool {
		return run.serverCrashed || run.ended > 0 && !run.complete && run.ended >= attempt.Deadline
	})
}
