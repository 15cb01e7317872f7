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
		c.addViolation("MIXED", attempt.EndedAt, "%s: bytes after the answer", attempt.ID)
	}
	if attempt.ProtocolError != "" && !c.serverFailed(attempt) {
		c.addViolation("MIXED", attempt.EndedAt, "%s: no answer in the protocol: %s", attempt.ID, attempt.ProtocolError)
	}
	if attempt.AttemptHeader != "" && attempt.AttemptHeader != attempt.ID {
		c.addViolation("MIXED", attempt.EndedAt, "%s: the answer belongs to %s", attempt.ID, attempt.AttemptHeader)
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
		c.addViolation("MIXED", attempt.EndedAt, "%s: the seal %s is no server's", attempt.ID, attempt.Seal)
		return
	case headRun.Attempt != attempt.ID:
		c.addViolation("MIXED", attempt.EndedAt, "%s: the seal %s is of %s", attempt.ID, attempt.Seal, headRun.Attempt)
		return
	case attempt.Encoded:
		c.addViolation("MIXED", attempt.EndedAt, "%s: an encoding that no server made", attempt.ID)
	}
	next, seal := attempt.AfterEvent+1, ""
	for _, event := range attempt.Events {
		if event.N != next {
			c.addViolation("ORDER", event.ReceivedAt, "%s: event %d where %d is due", attempt.ID, event.N, next)
			return
		}
		if event.Text != attempt.Prompt.Text(event.N) {
			c.addViolation("MIXED", event.ReceivedAt, "%s: event %d says what no server made", attempt.ID, event.N)
			return
		}
		if event.Seal != seal {
			run := c.runsBySeal[event.Seal]
			switch {
			case run == nil || run.Attempt != attempt.ID:
				c.addViolation("MIXED", event.ReceivedAt, "%s: event %d is of another request's run %s", attempt.ID, event.N, event.Seal)
				return
			case seal == "" && event.Seal != attempt.Seal:
				c.addViolation("MIXED", event.ReceivedAt, "%s: its head is of %s, its first event of %s", attempt.ID, attempt.Seal, event.Seal)
			case seal != "" && (!attempt.Resumable || run.First != event.N):
				c.addViolation("ORDER", event.ReceivedAt, "%s: event %d of run %s joined to those of %s", attempt.ID, event.N, event.Seal, seal)
				return
			}
			seal = event.Seal
		}
		if last := attempt.Prompt.Pieces(c.rules.Stride); event.Last != (event.N == last) {
			c.addViolation("ORDER", event.ReceivedAt, "%s: event %d of %d marked as last: %v", attempt.ID, event.N, last, event.Last)
		}
		next++
	}
	if attempt.Complete && (len(attempt.Events) == 0 || !attempt.Events[len(attempt.Events)-1].Last) {
		c.addViolation("ORDER", attempt.EndedAt, "%s: ends as complete after event %d of %d", attempt.ID, next-1, attempt.Prompt.Pieces(c.rules.Stride))
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
		c.addViolation("TWICE", runs[1].At, "%s ran by %s and by %s", attempt.ID, runs[0].Instance, runs[1].Instance)
	}
	switch attempt.Status {
	case 503, 429, 408, 421:
		if len(runs) > 0 {
			c.addViolation("REFUSED", attempt.EndedAt, "%s: answered %d, but %s ran it", attempt.ID, attempt.Status, runs[0].Instance)
		}
	}
}

// checkLosses checks that the graceful shutdown of an agent breaks no request off (LOST).
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
		// A request that is still executed in the second half of the grace was too long.
		executing := slices.ContainsFunc(c.runs[attempt.ID], func(run *serverRun) bool { return run.ended == 0 || run.ended >= fault.Begin+c.rules.Grace/2 })
		if executing && attempt.EndedAt >= fault.Begin+c.rules.Grace/2 {
			return
		}
		forwarded := slices.ContainsFunc(c.Records, func(record modelserver.Record) bool {
			return record.Kind == modelserver.Arrived && record.Attempt == attempt.ID
		})
		if forwarded || attempt.EndedAt > attempt.SentAt+c.rules.LossSlack+c.rules.Slack {
			c.addViolation("LOST", attempt.EndedAt, "%s: cut %v after the SIGTERM of %s, with %d events", attempt.ID, attempt.EndedAt-fault.Begin, attempt.Agent, len(attempt.Events))
			return
		}
	}
}

// serverFailed tells whether a server itself broke off an execution of the attempt.
func (c *checker) serverFailed(attempt *Attempt) bool {
	return slices.ContainsFunc(c.runs[attempt.ID], func(run *serverRun) bool {
		return run.serverCrashed || run.ended > 0 && !run.complete && run.ended >= attempt.Deadline
	})
}
