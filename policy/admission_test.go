package policy

import "testing"

// Observed when six of ten servers were replaced: the agents sent all requests to the remaining servers,
// which were overloaded before any agent had seen a late response from them.
func TestAdmissionFollowsTheListedCapacity(t *testing.T) {
	for _, c := range []struct {
		name        string
		util        float32
		removed     int
		least, most int
	}{
		{"capacity for all", 0.5, 0, 0, 0},
		{"capacity after a small loss", 0.5, 2, 0, 0},
		{"more than half lost", 0.5, 6, 300, 750},
		{"saturated even though requests are rejected", 1, 0, 200, 800},
	} {
		t.Run(c.name, func(t *testing.T) {
			agent := newLoadedAgent(t, c.util)
			for i := range c.removed {
				agent.updateList(UpdateDelta, Endpoint{Server: addr(i), Status: Removed})
			}
			if got := agent.countRejected(1000); got < c.least || got > c.most {
				t.Errorf("%d of 1000 rejected, want %d to %d", got, c.least, c.most)
			}
		})
	}
}

// If the first sample is of an overloaded server, the agent does not assume that the fleet has no capacity.
func TestOneOverloadedServerIsNoOverloadedFleet(t *testing.T) {
	agent := newLoadedAgent(t, 0)
	agent.balancer.admission.samples, agent.balancer.admission.demand = 0, 0
	agent.balancer.recordUtilization(agent.balancer.servers[0], []float32{3, 1})
	if got := agent.countRejected(1000); got > 0 {
		t.Errorf("%d of 1000 rejected", got)
	}
}

// Observed in the scenario zone+mass: one of eight servers was slow and had a long queue, the others were at
// 60 % utilization, and 6.4 % of the requests were rejected for lack of capacity.
func TestFewSlowServersAreNoLackOfCapacity(t *testing.T) {
	set := testSettings()
	set.Limits.AllowProbes = true
	set.LoadReport = LoadReport{Mode: "on_probe", Metrics: []string{"inflight", "util"}}
	agent := newTestAgent(t, set, 200)
	agent.balancer.admission.admittedShare = 1
	admitted := 0.0
	for i := range 1000 {
		s, report := agent.balancer.servers[1+i%7], []float32{1, 0.6}
		if i%8 == 0 {
			s, report = agent.balancer.servers[0], []float32{60, 1}
		}
		agent.balancer.recordUtilization(s, report)
		admitted += agent.balancer.admissionShare() / 1000
	}
	if admitted < 0.99 {
		t.Errorf("%.3f of the requests are admitted, want all", admitted)
	}
	for i := range 100 { // with such queues on most servers the fleet does lack capacity
		agent.balancer.recordUtilization(agent.balancer.servers[i], []float32{60, 1})
	}
	if got := agent.balancer.admissionShare(); got > 0.5 {
		t.Errorf("%.2f of the requests are admitted to an overloaded fleet, want half at most", got)
	}
}

// While servers are overloaded, they work for clients that have left, and each rejection by a server causes a
// retry. The agent therefore rejects requests itself. Errors are no sign of overload, nor are requests for
// which the agent finds no capacity.
func TestLoadIsShedWhileAnswersAreLate(t *testing.T) {
	for _, c := range []struct {
		status    Status
		latencyMs float64
		sheds     bool
	}{{OK, 20, false}, {OK, 500, true}, {Rejected, 1, true}, {Timeout, 600, true}, {Error, 5, false}} {
		set := testSettings()
		set.Limits.MaxAttempts = 1
		agent := newTestAgent(t, set, 6)
		rejected := 0
		for range 200 {
			agent.now += 500
			id, actions := agent.request(0, agent.balancer.rng.Uint64())
			if a := findAction(actions, ActionSend); a != nil {
				agent.now += c.latencyMs
				agent.endAttempt(id, 0, a.Server, c.status, c.latencyMs)
			} else if findAction(actions, ActionReject) != nil {
				rejected++
			}
		}
		if c.sheds && (rejected < 100 || rejected > 170) || !c.sheds && rejected > 0 {
			t.Errorf("all attempts end with status %d after %.0f ms: %d of 200 requests rejected", c.status,
				c.latencyMs, rejected)
		}
	}
}

// Observed in the scenario join+mass: clients that retried rejected requests were all admitted in the end,
// and their rejections were counted as late responses.
func TestRepeatedRetriesDoNotPassAdmission(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 10)
	// There is capacity for less than half of the demand.
	agent.balancer.admission.demand, agent.balancer.admission.admittedShare =
		2*agent.balancer.currentCapacity(), 1
	admitted, endedBefore := 0, agent.balancer.admission.endedCount
	for client := range uint64(300) {
		for attempt := range 8 {
			agent.now++
			agent.lastID++
			id := agent.lastID
			ev := Event{Kind: EventRequest, Request: id, Class: 0, Key: 1 + client, RemainingMs: 600,
				IsRetry: attempt > 0}
			if a := findAction(agent.handle(ev), ActionSend); a != nil {
				admitted++
				agent.endAttempt(id, 0, a.Server, Cancelled, 1)
				break
			}
		}
	}
	if admitted > 250 || admitted < 150 { // with a new draw for each of eight attempts nearly all would be
		t.Errorf("%d of 300 clients were admitted by retries, want as many as two draws admit", admitted)
	}
	if agent.balancer.admission.sheddingShare() > 0 || endedBefore == 0 {
		t.Errorf("rejections for lack of capacity were counted as overload: shedding share %.2f",
			agent.balancer.admission.sheddingShare())
	}
}

// An agent that still rejects requests when the others no longer do admits more again, because its probes see
// free capacity. Otherwise it would take the free capacity for the effect of its own rejections.
func TestAdmissionRecoversWithTheFleet(t *testing.T) {
	agent := newLoadedAgent(t, 0.7)
	if rejected := agent.countRejected(200); rejected > 0 {
		t.Fatalf("%d of 200 rejected at a utilization of 0.7", rejected)
	}
	agent.balancer.admission.admittedShare, agent.balancer.admission.demand = 0.3,
		0.92*agent.balancer.currentCapacity()/0.3
	s := agent.balancer.servers[0]
	for range int(4 * utilizationWindow) {
		agent.balancer.admission.admittedShare = agent.balancer.admissionShare()
		agent.balancer.recordUtilization(s, []float32{1, 0.7}) // the other agents admit everything
	}
	if share := agent.balancer.admissionShare(); share < 0.97 {
		t.Errorf("admits %.2f after %d probes that saw capacity for all", share, int(4*utilizationWindow))
	}
}

// A request that has not enough time left for a response is rejected at once and costs the servers no work.
// While many requests are rejected, so is a request with hardly enough time.
func TestRequestWithoutTimeIsRejectedAtOnce(t *testing.T) {
	agent := newLoadedAgent(t, 0.7)
	expectedMs := agent.balancer.latency.expectedMs[1]
	for _, c := range []struct {
		// latencies is the remaining time in expected latencies, demand a multiple of the capacity.
		latencies, demand float64
		sent              bool
	}{{0.8, 0.5, false}, {1.4, 0.5, true}, {1.4, 3, false}} {
		agent.balancer.admission.demand = c.demand * agent.balancer.currentCapacity()
		sent := false
		for range 60 { // some are rejected for lack of capacity
			agent.lastID++
			a := findAction(agent.handle(Event{Kind: EventRequest, Request: agent.lastID, Class: 1,
				RemainingMs: c.latencies*expectedMs + 5}), ActionSend)
			if sent = sent || a != nil; a != nil {
				agent.endAttempt(agent.lastID, 0, a.Server, Cancelled, 1)
			}
		}
		if sent != c.sent {
			t.Errorf("%.1f expected latencies left at a demand of %.1f: sent %v, want %v", c.latencies,
				c.demand, sent, c.sent)
		}
	}
}
