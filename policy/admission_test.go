package policy

import "testing"

// Observed with six in ten servers replaced: the agents went on to send everything to the remaining
// ones, which were overloaded before any agent had seen one late response there.
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
		{"saturated whatever is rejected", 1, 0, 200, 800},
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

// One overloaded server, sampled first, is not taken for a fleet without capacity.
func TestOneOverloadedServerIsNoOverloadedFleet(t *testing.T) {
	agent := newLoadedAgent(t, 0)
	agent.balancer.admission.samples, agent.balancer.admission.demand = 0, 0
	agent.balancer.recordUtilization(agent.balancer.servers[0], []float32{3, 1})
	if got := agent.countRejected(1000); got > 0 {
		t.Errorf("%d of 1000 rejected", got)
	}
}

// Scenario zone+mass: one of eight servers was slow and had a long queue, the others were at 60 %
// utilization, and 6.4 % of the requests were rejected for lack of capacity.
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
	for i := range 100 { // with such queues on most servers there is none
		agent.balancer.recordUtilization(agent.balancer.servers[i], []float32{60, 1})
	}
	if got := agent.balancer.admissionShare(); got > 0.5 {
		t.Errorf("%.2f of the requests are admitted to a full fleet, want half at most", got)
	}
}

// Overloaded servers work for clients that have left, and each rejection causes a retry. Errors are no
// sign of overload, nor are requests that find no capacity here.
func TestLoadIsShedWhileAnswersAreLate(t *testing.T) {
	for _, c := range []struct {
		end  Status
		rtt  float64
		want bool
	}{{OK, 20, false}, {OK, 500, true}, {Rejected, 1, true}, {Timeout, 600, true}, {Error, 5, false}} {
		set := testSettings()
		set.Limits.MaxAttempts = 1
		agent := newTestAgent(t, set, 6)
		refused := 0
		for range 200 {
			agent.now += 500
			id, actions := agent.request(0, agent.balancer.rng.Uint64())
			if a := findAction(actions, ActionSend); a != nil {
				agent.now += c.rtt
				agent.endAttempt(id, 0, a.Server, c.end, c.rtt)
			} else if findAction(actions, ActionReject) != nil {
				refused++
			}
		}
		if c.want && (refused < 100 || refused > 170) || !c.want && refused > 0 {
			t.Errorf("all end with %d after %.0f ms: %d of 200 rejected", c.end, c.rtt, refused)
		}
	}
}

// Scenario join+mass: clients that retried what was rejected were all let in at last, and their
// rejections were taken for late responses.
func TestRepeatedRetriesDoNotPassAdmission(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 10)
	agent.balancer.admission.demand, agent.balancer.admission.admittedShare = 2*agent.balancer.currentCapacity(), 1 // capacity for less than half
	in, before := 0, agent.balancer.admission.ended
	for client := range uint64(300) {
		for attempt := range 8 {
			agent.now++
			agent.lastID++
			id := agent.lastID
			ev := Event{Kind: EventRequest, Request: id, Class: 0, Key: 1 + client, RemainingMs: 600,
				IsRetry: attempt > 0}
			if a := findAction(agent.handle(ev), ActionSend); a != nil {
				in++
				agent.endAttempt(id, 0, a.Server, Cancelled, 1)
				break
			}
		}
	}
	if in > 250 || in < 150 { // with a new draw for each of eight attempts nearly all would be
		t.Errorf("%d of 300 clients were let in by retries, want as many as two attempts let in", in)
	}
	if agent.balancer.admission.sheddingShare() > 0 || before == 0 {
		t.Errorf("rejections for lack of capacity were taken for overload: shed %.2f",
			agent.balancer.admission.sheddingShare())
	}
}

// An agent that rejects more than the others do by now returns to them by the free capacity that its
// probes see; by its own rejections alone it took that capacity for their effect.
func TestAdmissionRecoversWithTheFleet(t *testing.T) {
	agent := newLoadedAgent(t, 0.7)
	if refused := agent.countRejected(200); refused > 0 {
		t.Fatalf("%d of 200 rejected at 0.7 of the capacity", refused)
	}
	agent.balancer.admission.admittedShare, agent.balancer.admission.demand = 0.3,
		0.92*agent.balancer.currentCapacity()/0.3
	s := agent.balancer.servers[0]
	for range int(4 * utilizationWindow) {
		agent.balancer.admission.admittedShare = agent.balancer.admissionShare()
		agent.balancer.recordUtilization(s, []float32{1, 0.7}) // the others serve everything
	}
	if a := agent.balancer.admissionShare(); a < 0.97 {
		t.Errorf("admits %.2f after %d probes that saw capacity for all", a, int(4*utilizationWindow))
	}
}

// A request without the time for a response is rejected at once and costs no server any work; so is,
// while much is rejected, one with hardly the time.
func TestRequestWithoutTimeIsRejectedAtOnce(t *testing.T) {
	agent := newLoadedAgent(t, 0.7)
	usual := agent.balancer.latency.expected[1]
	for _, c := range []struct {
		times, demand float64
		sent          bool
	}{{0.8, 0.5, false}, {1.4, 0.5, true}, {1.4, 3, false}} {
		agent.balancer.admission.demand = c.demand * agent.balancer.currentCapacity()
		sent := false
		for range 60 { // some are rejected for lack of capacity
			agent.lastID++
			a := findAction(agent.handle(Event{Kind: EventRequest, Request: agent.lastID, Class: 1,
				RemainingMs: c.times*usual + 5}), ActionSend)
			if sent = sent || a != nil; a != nil {
				agent.endAttempt(agent.lastID, 0, a.Server, Cancelled, 1)
			}
		}
		if sent != c.sent {
			t.Errorf("%.1f of the expected latency left at a demand of %.1f: sent %v, want %v", c.times,
				c.demand, sent, c.sent)
		}
	}
}
