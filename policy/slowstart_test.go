package policy

import (
	"math/rand/v2"
	"testing"
)

// A server in slow start gets no more than its share.
func TestSlowStartLimitsAServersShare(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 5)
	agent.updateList(UpdateDelta, Endpoint{Server: addr(4), Status: Ready, Weight: 1,
		StartedMs: agent.now - 10})
	got, total := 0, 2000
	for range total {
		agent.now++
		id, s := agent.mustSend(0, uint64(agent.balancer.rng.Int64()))
		if s == addr(4) {
			got++
		}
		agent.endAttempt(id, 0, s, OK, 20)
	}
	evenShare, factor := float64(total)/5, (0.2+0.36)/2
	if share := evenShare * factor; float64(got) > 1.2*share || float64(got) < 0.4*share {
		t.Errorf("a server in slow start got %d of %d requests; its share is %.0f", got, total, share)
	}
}

// Observed when a zone was lost and only servers in slow start remained.
func TestWarmingUpServersServeWhenWarmOnesFail(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 2)
	for range 200 {
		agent.now += 10
		id, s := agent.mustSend(0, uint64(agent.balancer.rng.Int64()))
		agent.endAttempt(id, 0, s, OK, 20)
	}
	agent.updateList(UpdateDelta, Endpoint{Server: addr(2), Status: Ready, Weight: 1, StartedMs: agent.now})
	agent.balancer.serverByAddr[addr(2)].lastSentAt = 0
	for i := range 2 {
		agent.balancer.eject(agent.balancer.serverByAddr[addr(i)], true)
	}
	if _, s := agent.mustSend(0, 9); s != addr(2) {
		t.Errorf("sent to %v, want the server in slow start", s)
	}
}

// Observed: servers that had timed out were back as new processes before they were listed as such.
func TestServerBackFromATimeoutIsInSlowStart(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 3)
	id, s := agent.mustSend(0, 9)
	agent.endAttempt(id, 0, s, ConnectFailed, 100)
	agent.now += agent.balancer.settings.Contract.CollapseAfterMs + 500
	for key := uint64(9); ; key++ {
		id, to := agent.mustSend(0, 9)
		agent.now += 20
		agent.endAttempt(id, 0, to, OK, 20)
		if to == s {
			break
		}
		if key > 50 {
			t.Fatal("the unresponsive server was never validated")
		}
	}
	if srv := agent.balancer.serverByAddr[s]; agent.balancer.slowStartFactor(srv) >= 0.5 {
		t.Errorf("a server that is back from a timeout counts as warm: factor %.2f",
			agent.balancer.slowStartFactor(srv))
	}
}

// Observed: under overload most attempts were rejected, and credit for each attempt gave a server in slow
// start many times its share. A request must count once, however often it is sent.
func TestSlowStartCreditAccruesByRequestNotByAttempt(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 4)
	agent.updateList(UpdateDelta, Endpoint{Server: addr(4), Status: Ready, Weight: 1, StartedMs: agent.now})
	newServer := agent.balancer.serverByAddr[addr(4)]
	const requests = 10
	attempts := 0
	for range requests {
		agent.now += 5
		newServer.slowStartCredit = 0
		id, actions := agent.request(1, agent.balancer.rng.Uint64())
		for index := 0; ; index++ {
			a := findAction(actions, ActionSend)
			if a == nil {
				break
			}
			attempts++
			actions = agent.endAttempt(id, index, a.Server, Rejected, 1)
		}
		if share := agent.balancer.slowStartFactor(newServer) /
			agent.balancer.currentCapacity(); newServer.slowStartCredit > share+1e-9 {
			t.Fatalf("credit %.3f for one request, its share is %.3f", newServer.slowStartCredit, share)
		}
	}
	if attempts <= requests {
		t.Fatalf("%d attempts for %d requests, want more attempts than requests", attempts, requests)
	}
}

// Observed: none of a thousand agents earned a whole request for a new server, and the new half of the fleet
// was idle until it was warm.
func TestManySmallAgentsWarmUpAServer(t *testing.T) {
	got, total := 0, 0
	for seed := range uint64(200) {
		agent := newTestAgent(t, testSettings(), 19)
		b, err := New(testSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		entries := make([]Endpoint, 20)
		for i := range entries {
			entries[i] = Endpoint{Server: addr(i), Status: Ready, Weight: 1}
		}
		agent.balancer = b
		agent.updateList(UpdateFull, entries...)
		entries[19].StartedMs = agent.now - 2000
		agent.updateList(UpdateFull, entries...)
		for range 20 {
			agent.now += 100
			id, s := agent.mustSend(0, agent.balancer.rng.Uint64())
			if total++; s == addr(19) {
				got++
			}
			agent.endAttempt(id, 0, s, OK, 20)
		}
	}
	if evenShare := total / 20; got < evenShare/20 || got > evenShare {
		t.Errorf("a server in slow start got %d of %d requests, an even share is %d", got, total, evenShare)
	}
}

// Observed in the scenario zone+mass: each of 300 agents earned one request in 100 s for a new server and
// then waited for a key of that server, which was warm before it got its share.
func TestManySmallAgentsSpendSlowStartCreditAtOnce(t *testing.T) {
	const servers = 60
	agents := newSmallAgents(t, 300, servers)
	rng := rand.New(rand.NewPCG(5, 5))
	sendSteadily(agents, 70, 2000, rng)
	for _, r := range agents {
		r.updateList(UpdateDelta, Endpoint{Server: addr(7), Status: Ready, Weight: 1, StartedMs: 1e6 + 1990})
	}
	requests := sendSteadily(agents, 70, 3000, rng)
	total := 0
	for _, n := range requests {
		total += n
	}
	factor := 0.2 + 0.8*1500/10000 // mean over the 3 s
	if share := float64(total) / servers * factor; float64(requests[addr(7)]) < 0.35*share ||
		float64(requests[addr(7)]) > 1.5*share {
		t.Errorf("a server in slow start got %d of %d requests, its share is %.0f", requests[addr(7)], total,
			share)
	}
}

// Observed in the scenario join+mass: while half of the requests was rejected, the new servers earned only
// half of their share, and the warm ones were overloaded. Rejected requests must earn credit, but retries
// must not.
func TestRejectionsAccrueSlowStartCredit(t *testing.T) {
	for _, c := range []struct {
		name          string
		retry, marked bool
		demand        float64 // as a multiple of the capacity; half is rejected at about 1.8
		least, most   float64 // bounds of the earned fraction of the server's share of the arrivals
	}{
		{"capacity for all", false, true, 0.5, 0.95, 1.01},
		{"half rejected", false, true, 1.8, 0.95, 1.01},
		{"half rejected, all are retries", true, true, 1.8, 0, 0.001},
		{"half rejected, retries are not marked", false, false, 1.8, 0.3, 0.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Clients.MarksRetry = c.marked
			agent := newTestAgent(t, set, 10)
			agent.updateList(UpdateDelta, Endpoint{Server: addr(10), Status: Ready, Weight: 1,
				StartedMs: agent.now})
			newServer := agent.balancer.serverByAddr[addr(10)]
			earned, share := 0.0, 0.0
			for range 400 {
				agent.now++
				agent.balancer.admission.demand, agent.balancer.admission.admittedShare =
					c.demand*agent.balancer.currentCapacity(), 1
				newServer.slowStartCredit = 0
				id, event := agent.lastID+1, Event{Kind: EventRequest, Request: agent.lastID + 1, Class: 1,
					RemainingMs: 600, IsRetry: c.retry}
				agent.lastID++
				if a := findAction(agent.handle(event), ActionSend); a != nil {
					agent.endAttempt(id, 0, a.Server, OK, 5)
				}
				earned += newServer.slowStartCredit
				share += agent.balancer.slowStartFactor(newServer) / agent.balancer.capacity.peak *
					set.Contract.CollapseLoadFactor / slowStartLoadMargin
			}
			if ratio := earned / share; ratio < c.least || ratio > c.most {
				t.Errorf("earned %.2f of its share of the arrivals, want %.2f to %.2f", ratio, c.least,
					c.most)
			}
		})
	}
}

// Slow-start credit accrues in proportion to the traffic that overrides give to a server. Otherwise an
// ejected server would accumulate credit that all agents spend as soon as the ejection ends; so would one
// with a low traffic weight.
func TestEjectedServersAccrueNoCredit(t *testing.T) {
	set := testSettings()
	set.Clients.MarksRetry = true
	agent := newTestAgent(t, set, 4)
	entries := make([]Endpoint, 4)
	for i := range entries {
		entries[i] = Endpoint{Server: addr(i), Status: Ready, Weight: 1}
		if i > 0 {
			entries[i].StartedMs = agent.now // warming up
		}
	}
	agent.updateList(UpdateFull, entries...)
	serverAt := func(i int) *server { return agent.balancer.serverByAddr[addr(i)] }
	for i := 1; i < 4; i++ {
		serverAt(i).slowStartCredit = 0
	}
	expires := agent.now + 1e6
	agent.handle(Event{Kind: EventOverrides, ReachableShare: 1, ZoneWeighted: true, Overrides: []Override{
		{Server: addr(0), ShareFactor: 1, TrafficWeight: 1, ExpiresMs: expires},
		{Server: addr(1), ShareFactor: 1, TrafficWeight: 1, ExpiresMs: expires},
		{Server: addr(2), ShareFactor: 0, TrafficWeight: 1, ExpiresMs: expires},
		{Server: addr(3), ShareFactor: 1, TrafficWeight: 0.01, ExpiresMs: expires},
	}})
	for range 3 {
		agent.now++
		agent.balancer.accrueSlowStart()
	}
	if serverAt(1).slowStartCredit <= 0 || serverAt(2).slowStartCredit != 0 ||
		serverAt(3).slowStartCredit > 0.011*serverAt(1).slowStartCredit {
		t.Errorf("credits %v, %v and %v of a server in use, an ejected one and one with a low traffic weight",
			serverAt(1).slowStartCredit, serverAt(2).slowStartCredit, serverAt(3).slowStartCredit)
	}
}
