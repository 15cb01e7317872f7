package fleetlab

import (
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// readRecords pairs what servers say, and judges UNASKED and ROUTE.
func (j *checker) readRecords() {
	for _, r := range j.Records {
		switch r.Kind {
		case modelserver.Started:
			x := &serverRun{Record: r, events: r.First - 1}
			j.runs[r.Attempt] = append(j.runs[r.Attempt], x)
			j.runsBySeal[r.Seal] = x
			t := j.attempts[r.Attempt]
			if t == nil {
				j.addViolation("UNASKED", r.At, "%s ran %q, which no client sent", r.Instance, r.Attempt)
				continue
			}
			if t.Method != r.Method || t.Target != r.Target || t.Host != r.Host || t.Prompt.Body != r.Body {
				j.addViolation("UNASKED", r.At, "%s ran %s as %s %s%s (body %x), sent as %s %s%s (body %x)", r.Instance, r.Attempt,
					r.Method, r.Host, r.Target, r.Body, t.Method, t.Host, t.Target, t.Prompt.Body)
			}
			if !slices.ContainsFunc(j.Changes, func(c *ConfigChange) bool { return slices.Contains(c.Doc.services(r.Host, r.Target), r.Service) }) {
				j.addViolation("ROUTE", r.At, "%s of %s ran %s for %s%s, which no configuration allows", r.Instance, r.Service, r.Attempt, r.Host, r.Target)
			}
		case modelserver.Ended:
			if x := j.runsBySeal[r.Seal]; x != nil {
				x.ended, x.events, x.complete = r.At, r.Pieces, r.Whole
			}
		case modelserver.Unrunnable:
			if j.attempts[r.Attempt] == nil {
				j.addViolation("UNASKED", r.At, "%s got a request (%s %s) with the id %q, which no client sent", r.Instance, r.Method, r.Target, r.Attempt)
			}
		case modelserver.Crashed:
			for _, x := range j.runsBySeal {
				if x.Instance == r.Instance && (x.ended == 0 || x.ended >= r.At) && !x.complete {
					x.serverCrashed = true
				}
			}
		}
	}
}

// checkDrains judges DRAIN.
func (j *checker) checkDrains() {
	told, away := map[string]modelserver.Record{}, map[[2]string]bool{}
	for _, r := range j.Records {
		if r.Kind == modelserver.TurnedAway && r.Status == 421 {
			away[[2]string{r.Instance, r.Attempt}] = true
		}
	}
	for _, r := range j.Records {
		switch r.Kind {
		case modelserver.Draining, modelserver.Gone:
			if _, ok := told[r.Instance]; !ok && j.isInContact(ipOf(r.Agent), r.At) {
				told[r.Instance] = r
			}
		case modelserver.Arrived:
			at, ok := told[r.Instance]
			if !ok || r.At <= at.At+j.rules.Drain+j.rules.Slack || away[[2]string{r.Instance, r.Attempt}] {
				continue
			}
			if t := j.attempts[r.Attempt]; t != nil && j.isInContact(t.Agent, r.At) {
				j.addViolation("DRAIN", r.At, "%s by %s reached %s %v after %s acknowledged that it leaves", r.Attempt, t.Agent, r.Instance, r.At-at.At, at.Agent)
			}
		}
	}
}

// checkRetryBudget judges BUDGET, for each service.
func (j *checker) checkRetryBudget() {
	seen := map[string]bool{}
	again, asked := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, r := range j.Records {
		if r.Kind != modelserver.Arrived {
			continue
		}
		if seen[r.Attempt] {
			again[r.Service] = append(again[r.Service], r.At)
		}
		seen[r.Attempt] = true
	}
	for _, t := range j.Attempts {
		of := map[string]bool{}
		for _, c := range j.Changes {
			for _, s := range c.Doc.services(t.Host, t.Target) {
				of[s] = true
			}
		}
		for s := range of {
			asked[s] = append(asked[s], t.StartedAt)
		}
	}
	in := func(at []time.Duration, from, to time.Duration) int {
		a, _ := slices.BinarySearch(at, from)
		b, _ := slices.BinarySearch(at, to)
		return b - a
	}
	w := j.rules.RetryWindow
	for service, at := range again {
		for _, end := range at {
			from, to := end-w, end+1
			n := in(at, from, to)
			requests := max(in(asked[service], from, to), in(asked[service], from-w, to-w), in(asked[service], from-w/2, to-w/2))
			if float64(n) > j.rules.RetryRatio*float64(requests)+j.rules.RetrySlack {
				j.addViolation("BUDGET", end, "%s: %d repeats within %v of %d requests", service, n, w, requests)
				break
			}
		}
	}
}
