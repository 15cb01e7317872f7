package policy

import "testing"

// Crossing zones costs time and has a price: of many keys more stay in the own zone than its servers'
// part, and still all servers are used.
func TestOwnZoneIsPreferred(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 6) // zones 0 and 1 in turn; this agent is in 0
	own, used, all := 0, map[Addr]bool{}, 600
	for key := range uint64(all) {
		id, s := agent.mustSend(0, mixBits(key+1))
		agent.endAttempt(id, 0, s, OK, 20)
		used[s] = true
		if agent.balancer.serverByAddr[s].zone == 0 {
			own++
		}
	}
	if share := float64(own) / float64(all); share < 0.53 || share > 0.68 || len(used) != 6 {
		t.Errorf("own zone got %.2f of the keys over %d servers, want about 0.6 over 6", share, len(used))
	}
}

// Observed: crossing has a price, but one zone has more traffic than its servers can serve. A fixed
// weight by the price was better on some runs and worse on others.
func TestLocalWeightGrowsWhileTheZoneIsOnTime(t *testing.T) {
	weight := func(price, rtt float64) float64 {
		set := testSettings()
		set.Prices.CrossZone = price
		agent := newTestAgent(t, set, 6)
		for range 400 {
			agent.now += 500
			id, actions := agent.request(0, agent.balancer.rng.Uint64())
			if a := findAction(actions, ActionSend); a != nil {
				agent.now += rtt
				agent.endAttempt(id, 0, a.Server, OK, rtt)
			}
		}
		return agent.balancer.localWeight
	}
	if w := weight(0.1, 20); w < 4 {
		t.Errorf("own zone in time: weight %.1f, want much", w)
	}
	for _, w := range []float64{weight(0.1, 500), weight(0, 20)} {
		if w != localWeightMin {
			t.Errorf("own zone late, or crossing free: weight %.1f, want the least", w)
		}
	}
}

// Observed: 80 agents found the loss of a zone of 20 servers one server and one lost request at a
// time. Two unresponsive servers, without a response from the zone since, suffice.
func TestUnresponsiveZoneIsSuspected(t *testing.T) {
	for _, answers := range []bool{false, true} {
		set := testSettings()
		set.Limits.AllowProbes = true
		agent := newTestAgent(t, set, 12) // the odd ones in zone 1
		timeOut := func(i int) {
			id, s := agent.mustSend(0, agent.balancer.rng.Uint64())
			for agent.balancer.serverByAddr[s].zone != 1 || agent.balancer.serverByAddr[s].state > Unknown {
				agent.now++
				agent.endAttempt(id, 0, s, OK, 1)
				id, s = agent.mustSend(0, agent.balancer.rng.Uint64())
			}
			agent.now += 100
			if answers && i > 0 {
				for _, o := range agent.balancer.servers {
					o.lastResponseAt = agent.now
				}
			}
			agent.endAttempt(id, 0, s, ConnectFailed, 100)
		}
		suspects := func() (n int) {
			for _, s := range agent.balancer.servers {
				if s.zoneSuspected {
					n++
				}
			}
			return n
		}
		// The responses that the search above gets from zone 1 are older than these attempts.
		timeOut(0)
		agent.now += 10
		first := agent.balancer.now
		for _, s := range agent.balancer.servers {
			if s.timedOut {
				s.timedOutFrom = first
			}
			s.lastResponseAt = min(s.lastResponseAt, first-1)
		}
		timeOut(1)
		if got := suspects(); answers == (got > 0) {
			t.Fatalf("the zone responds: %v, %d servers suspected", answers, got)
		}
		if answers {
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
		if got := suspects(); got > 0 {
			t.Errorf("%d servers still suspected after a response from the zone", got)
		}
	}
}
