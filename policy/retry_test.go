package policy

import "testing"

// The latency target of a client's retry counts from the client's first attempt.
func TestRetryHasTheTargetOfTheFirstAttempt(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 1)
	id, s := agent.mustSend(0, 5)
	agent.now += 200
	agent.handle(Event{Kind: EventClientGone, Request: id})
	agent.endAttempt(id, 0, s, Cancelled, 200)
	agent.lastID++
	agent.handle(Event{Kind: EventRequest, Request: agent.lastID, Class: 0, Key: 5, RemainingMs: 600,
		IsRetry: true})
	if req := agent.balancer.requests[agent.lastID]; req == nil || req.targetAt-agent.now > 101 {
		t.Error("a retry was given the entire latency target again")
	}
}

// Observed: while nothing is served, retries only multiply the load.
func TestRetryBudgetIsEarnedByServedRequests(t *testing.T) {
	for _, served := range []bool{true, false} {
		agent := newTestAgent(t, testSettings(), 8)
		retries := 0
		for i := range 100 {
			agent.now += 500
			agent.balancer.admission.endedCount = 0 // so that no load is shed
			id, s := agent.mustSend(0, agent.balancer.rng.Uint64())
			if served && i%5 > 0 {
				agent.endAttempt(id, 0, s, OK, 10)
				continue
			}
			for index := 0; ; index++ {
				a := findAction(agent.endAttempt(id, index, s, Rejected, 1), ActionSend)
				if a == nil {
					break
				}
				s, retries = a.Server, retries+1
			}
		}
		if served && retries < 15 || !served && retries > int(retryBudgetMax) {
			t.Errorf("four of five requests served: %v (none otherwise); %d retries", served, retries)
		}
	}
}
