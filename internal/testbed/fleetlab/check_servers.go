package fleetlab

import (
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// readRecords collects the runs from the records of the servers. It checks that each executed request was sent by a
// client (UNASKED) and that a configuration routes it to the service of the server (ROUTE).
func (c *checker) readRecords() {
	for _, record := range c.Records {
		switch record.Kind {
		case modelserver.Started:
			run := &serverRun{Record: record, events: record.FirstEvent - 1}
			c.runs[record.Attempt] = append(c.runs[record.Attempt], run)
			c.runsBySeal[record.Seal] = run
			attempt := c.attempts[record.Attempt]
			if attempt == nil {
				c.addViolation("UNASKED", record.At, "%s executed %q, which no client sent",
					record.Instance, record.Attempt)
				continue
			}
			if attempt.Method != record.Method || attempt.Target != record.Target || attempt.Host != record.Host || attempt.Prompt.BodyHash != record.BodyHash {
				c.addViolation("UNASKED", record.At, "%s executed %s as %s %s%s (body hash %x), but it was sent as %s %s%s (body hash %x)", record.Instance, record.Attempt,
					record.Method, record.Host, record.Target, record.BodyHash, attempt.Method, attempt.Host, attempt.Target, attempt.Prompt.BodyHash)
			}
			if !slices.ContainsFunc(c.Changes, func(change *ConfigChange) bool {
				return slices.Contains(change.Doc.services(record.Host, record.Target), record.Service)
			}) {
				c.addViolation("ROUTE", record.At, "%s of %s executed %s for %s%s, which no configuration allows", record.Instance, record.Service, record.Attempt, record.Host, record.Target)
			}
		case modelserver.Ended:
			if run := c.runsBySeal[record.Seal]; run != nil {
				run.ended, run.events, run.complete = record.At, record.LastEvent, record.Complete
			}
		case modelserver.InvalidRequest:
			if c.attempts[record.Attempt] == nil {
				c.addViolation("UNASKED", record.At, "%s received a request (%s %s) with the id %q, which no client sent", record.Instance, record.Method, record.Target, record.Attempt)
			}
		case modelserver.Crashed:
			for _, run := range c.runsBySeal {
				if run.Instance == record.Instance && (run.ended == 0 || run.ended >= record.At) && !run.complete {
					run.serverCrashed = true
				}
			}
		}
	}
}

// checkDrains checks that agents send no request to a server after the acknowledgement of its drain (DRAIN).
func (c *checker) checkDrains() {
	acknowledged, rejected := map[string]modelserver.Record{}, map[[2]string]bool{}
	for _, record := range c.Records {
		if record.Kind == modelserver.Rejected && record.Status == 421 {
			rejected[[2]string{record.Instance, record.Attempt}] = true
		}
	}
	for _, record := range c.Records {
		switch record.Kind {
		case modelserver.Draining, modelserver.Deregistered:
			if _, ok := acknowledged[record.Instance]; !ok && c.isInContact(ipOf(record.Agent), record.At) {
				acknowledged[record.Instance] = record
			}
		case modelserver.Arrived:
			ack, ok := acknowledged[record.Instance]
			if !ok || record.At <= ack.At+c.rules.Drain+c.rules.Slack || rejected[[2]string{record.Instance, record.Attempt}] {
				continue
			}
			if attempt := c.attempts[record.Attempt]; attempt != nil && c.isInContact(attempt.Agent, record.At) {
				c.addViolation("DRAIN", record.At, "%s by %s reached %s %v after %s acknowledged its drain", record.Attempt, attempt.Agent, record.Instance, record.At-ack.At, ack.Agent)
			}
		}
	}
}

// checkRetryBudget checks that the repeated requests of each service stay within the retry budget (BUDGET).
func (c *checker) checkRetryBudget() {
	seen := map[string]bool{}
	repeated, requested := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, record := range c.Records {
		if record.Kind != modelserver.Arrived {
			continue
		}
		if seen[record.Attempt] {
			repeated[record.Service] = append(repeated[record.Service], record.At)
		}
		seen[record.Attempt] = true
	}
	for _, attempt := range c.Attempts {
		services := map[string]bool{}
		for _, change := range c.Changes {
			for _, s := range change.Doc.services(attempt.Host, attempt.Target) {
				services[s] = true
			}
		}
		for s := range services {
			requested[s] = append(requested[s], attempt.StartedAt)
		}
	}
	countBetween := func(at []time.Duration, from, to time.Duration) int {
		a, _ := slices.BinarySearch(at, from)
		b, _ := slices.BinarySearch(at, to)
		return b - a
	}
	window := c.rules.RetryWindow
	for service, at := range repeated {
		for _, end := range at {
			from, to := end-window, end+1
			repeats := countBetween(at, from, to)
			requests := max(countBetween(requested[service], from, to), countBetween(requested[service], from-window, to-window), countBetween(requested[service], from-window/2, to-window/2))
			if float64(repeats) > c.rules.RetryRatio*float64(requests)+c.rules.RetrySlack {
				c.addViolation("BUDGET", end, "%s: %d repeats within %v, with %d requests", service, repeats, window, requests)
				break
			}
		}
	}
}
