package policy

import "testing"

// override applies overrides that expire after durationMs.
func (r *testAgent) override(durationMs float64, overrides ...Override) []Action {
	for i := range overrides {
		overrides[i].ExpiresMs = r.now + durationMs
	}
	return r.handle(Event{Kind: EventOverrides, Overrides: overrides})
}

// A server that an override ejects gets no requests, even if there is no other server, until the override
// expires or is replaced.
func TestEjectedServerIsNoLastResort(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 1)
	agent.override(500, Override{Server: addr(0)})
	id, actions := agent.request(0, 1)
	if findAction(actions, ActionSend) != nil {
		t.Fatal("sent to an ejected server")
	}
	rejected := false
	for range 30 {
		if a := findAction(agent.fireTimer(10), ActionReject); a != nil && a.Request == id {
			rejected = true
		}
	}
	if !rejected {
		t.Error("not rejected in time")
	}
	agent.now += 500
	if _, to := agent.mustSend(0, 2); to != addr(0) {
		t.Error("gets no requests after the override expired")
	}
}

// A server gets the fraction of its share that the override sets. Keys that return to it when the fraction
// rises remain there when it rises further.
func TestShareFactor(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 5)
	var keys [4]map[uint64]bool
	for step, factor := range []float64{0, 0.1, 0.3, 1} {
		keys[step] = map[uint64]bool{}
		agent.override(1e6, Override{Server: addr(2), ShareFactor: factor})
		for key := range uint64(4000) {
			agent.now++
			id, to := agent.mustSend(1, mixBits(key+1))
			if to == addr(2) {
				keys[step][key] = true
			}
			agent.endAttempt(id, 0, to, OK, 20)
		}
	}
	// The ratio of its keys to those of the others, with its entire share.
	odds := float64(len(keys[3])) / float64(4000-len(keys[3]))
	for step, factor := range []float64{0, 0.1, 0.3} {
		if got, want := float64(len(keys[step]))/4000, factor*odds/(1+factor*odds); got < 0.75*want ||
			got > 1.25*want {
			t.Errorf("with a share factor of %v it got %.3f of the keys, want %.3f", factor, got, want)
		}
	}
	// Keys are split at random while few requests have been counted, so some move for that reason.
	moved := 0
	for key := range keys[2] {
		if !keys[3][key] {
			moved++
		}
	}
	if moved > len(keys[2])/3 {
		t.Errorf("%d of %d keys that had returned moved away again", moved, len(keys[2]))
	}
}

// A server that is due for a trial gets one request that may be repeated, whether it is ejected or not.
func TestTrial(t *testing.T) {
	for _, factor := range []float64{0, 1} {
		agent := newTestAgent(t, testSettings(), 6)
		agent.override(1e6, Override{Server: addr(3), ShareFactor: factor, Trial: true})
		for key := range uint64(50) { // of a class that must not be executed twice
			if id, to := agent.mustSend(1, mixBits(key)); factor == 0 && to == addr(3) {
				t.Fatal("a non-idempotent request was sent on trial")
			} else {
				agent.endAttempt(id, 0, to, OK, 20)
			}
		}
		id, to := agent.mustSend(0, 9)
		if to != addr(3) {
			t.Errorf("share factor %v: no trial", factor)
		}
		agent.endAttempt(id, 0, to, Error, 20)
		if factor > 0 {
			continue
		}
		for key := range uint64(50) {
			id, to := agent.mustSend(0, mixBits(key))
			if to == addr(3) {
				t.Fatal("a second trial request for one override")
			}
			agent.endAttempt(id, 0, to, OK, 20)
		}
	}
}

// Servers that are ejected by overrides do not count as capacity.
func TestEjectedServersAreNoCapacity(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 4)
	before := agent.balancer.currentCapacity()
	agent.override(1e6, Override{Server: addr(0)}, Override{Server: addr(1), ShareFactor: 0.3})
	if got, want := agent.balancer.currentCapacity(), before*2.3/4; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("a capacity of %v, want %v", got, want)
	}
}

// Servers out of reach take their share of the demand with them: a site that is cut off with a third of the
// servers admits as much as before, while a fleet that has lost two thirds of its servers admits less. When
// the servers are back, the earlier demand holds again.
func TestUnreachableServersTakeTheirDemand(t *testing.T) {
	admitted := func(reachableShare float64) (during, after float64) {
		agent := newTestAgent(t, testSettings(), 6)
		agent.balancer.admission.demand = 0.6 * agent.balancer.currentCapacity()
		var overrides []Override
		for i := range 2 * len(agent.balancer.servers) / 3 {
			overrides = append(overrides, Override{Server: agent.balancer.servers[i].addr})
		}
		for i := range overrides {
			overrides[i].ExpiresMs = agent.now + 1e6
		}
		agent.handle(Event{Kind: EventOverrides, Overrides: overrides, ReachableShare: reachableShare})
		during = agent.balancer.admissionShare()
		agent.handle(Event{Kind: EventOverrides, ReachableShare: 1})
		return during, agent.balancer.admissionShare()
	}
	if during, after := admitted(1.0 / 3); during < 0.99 || after < 0.99 {
		t.Errorf("a site that is cut off admits %v, and %v when the others are back", during, after)
	}
	if during, after := admitted(1); during > 0.7 || after < 0.99 {
		t.Errorf("a third of the fleet admits %v, and %v when the others are back", during, after)
	}
}

// If overrides distribute traffic between zones, a server gets requests by its traffic weight, whatever its
// zone. The capacity that is lost with a zone depends on its servers' weights alone.
func TestTrafficWeights(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 4) // servers alternate between zones 0 and 1; the agent is in 0
	overrides := make([]Override, 4)
	override := func(ownShare, ownWeight, otherWeight float64) {
		for i := range overrides {
			overrides[i] = Override{Server: addr(i), ShareFactor: 1, TrafficWeight: ownWeight,
				ExpiresMs: agent.now + 1e6}
			if i%2 == 1 {
				overrides[i].TrafficWeight = otherWeight
			} else {
				overrides[i].ShareFactor = ownShare
			}
		}
		agent.handle(Event{Kind: EventOverrides, Overrides: overrides, ReachableShare: 1, ZoneWeighted: true})
	}
	for _, c := range []struct{ ownWeight, otherWeight float64 }{{1.6, 0.4}, {0.5, 1.5}} {
		override(1, c.ownWeight, c.otherWeight)
		n := 0
		for key := range uint64(4000) {
			agent.now++
			id, to := agent.mustSend(1, mixBits(key+1))
			if to == addr(0) || to == addr(2) {
				n++
			}
			agent.endAttempt(id, 0, to, OK, 20)
		}
		if got, want := float64(n)/4000, c.ownWeight/(c.ownWeight+c.otherWeight); got < want-0.05 ||
			got > want+0.05 {
			t.Errorf("traffic weights of %v and %v: %.3f in the agent's zone, want %.3f", c.ownWeight,
				c.otherWeight, got, want)
		}
	}
	before := agent.balancer.currentCapacity()
	override(0, 1.6, 0.4)
	if got := agent.balancer.currentCapacity(); got != before/2 {
		t.Errorf("a capacity of %v without the agent's zone, %v with it", got, before)
	}
}
