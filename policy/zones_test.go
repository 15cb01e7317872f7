package policy

import "testing"

// Crossing zones takes time and has a price: the agent's own zone gets more than its servers' share of the
// keys, and all servers are used.
func TestOwnZoneIsPreferred(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 6) // servers alternate between zones 0 and 1; the agent is in 0
	local, used, total := 0, map[Addr]bool{}, 600
	for key := range uint64(total) {
		id, s := agent.mustSend(0, mixBits(key+1))
		agent.endAttempt(id, 0, s, OK, 20)
		used[s] = true
		if agent.balancer.serverByAddr[s].zone == 0 {
			local++
		}
	}
	if share := float64(local) / float64(total); share < 0.53 || share > 0.68 || len(used) != 6 {
		t.Errorf("the agent's zone got %.2f of the keys, and %d servers were used; want about 0.6 and 6",
			share, len(used))
	}
}

// Crossing zones has a price, but a zone may have more traffic than its servers can serve. Observed: a fixed
// weight by the price was better in some runs and worse in others.
func TestLocalWeightGrowsWhileTheZoneIsOnTime(t *testing.T) {
	weight := func(price, latencyMs float64) float64 {
		set := testSettings()
		set.Prices.CrossZone = price
		agent := newTestAgent(t, set, 6)
		for range 400 {
			agent.now += 500
			id, actions := agent.request(0, agent.balancer.rng.Uint64())
			if a := findAction(actions, ActionSend); a != nil {
				agent.now += latencyMs
				agent.endAttempt(id, 0, a.Server, OK, latencyMs)
			}
		}
		return agent.balancer.localWeight
	}
	if w := weight(0.1, 20); w < 4 {
		t.Errorf("the agent's zone answers in time: weight %.1f, want 4 or more", w)
	}
	for _, w := range []float64{weight(0.1, 500), weight(0, 20)} {
		if w != localWeightMin {
			t.Errorf("the agent's zone is late, or crossing zones is free: weight %.1f, want the minimum", w)
		}
	}
}

// Observed: 80 agents detected the loss of a zone with 20 servers one by one, and lost a request for each
// server. Two unresponsive servers are enough to suspect the zone if it has not responded since.
func TestUnresponsiveZoneIsSuspected(t *testing.T) {
	for _, responds := range []bool{false, true} {
		set := testSettings()
		set.Limits.AllowProbes = true
		agent := newTestAgent(t, set, 12) // servers alternate between zones 0 and 1
		timeOut := func(i int) {
			id, s := agent.mustSend(0, agent.balancer.rng.Uint64())
			for agent.balancer.serverByAddr[s].zone != 1 || agent.balancer.serverByAddr[s].state > Unknown {
				agent.now++
				agent.endAttempt(id, 0, s, OK, 1)
				id, s = agent.mustSend(0, agent.balancer.rng.Uint64())
			}
			agent.now += 100
			if responds && i > 0 {
				for _, other := range agent.balancer.servers {
					other.lastResponseAt = agent.now
				}
			}
			agent.endAttempt(id, 0, s, ConnectFailed, 100)
		}
		suspected := func() (n int) {
			for _, s := range agent.balancer.servers {
				if s.zoneSuspected {
					n++
				}
			}
			return n
		}
		// Makes the responses that timeOut gets from zone 1 older than the attempts that time out.
		timeOut(0)
		agent.now += 10
		firstTimeoutAt := agent.balancer.now
		for _, s := range agent.balancer.servers {
			if s.timedOut {
				s.timedOutSentAt = firstTimeoutAt
			}
			s.lastResponseAt = min(s.lastResponseAt, firstTimeoutAt-1)
		}
		timeOut(1)
		if got := suspected(); responds == (got > 0) {
			t.Fatalf("the zone responds: %v, %d servers suspected", responds, got)
		}
		if responds {
			continue
		}
		for _, s := range agent.balancer.servers {
			if s.zone == 1 && s.state <= Unknown || s.zone == 0 && s.state > Unknown {
				t.Errorf("server of zone %d in state %d", s.zone, s.state)
			}
		}
		for _, s := range agent.balancer.servers {
			if s.zoneSuspected {
				s.probing = true
				agent.balancer.probes.inFlight++
				agent.handle(Event{Kind: EventProbeEnded, Server: s.addr, Status: OK, LatencyMs: 1})
				break
			}
		}
		if got := suspected(); got > 0 {
			t.Errorf("%d servers still suspected after a response from the zone", got)
		}
	}
}
