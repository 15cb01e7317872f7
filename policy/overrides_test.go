package policy

import "testing"

// override applies overrides that expire after a time in ms.
func (r *testAgent) override(durationMs float64, overrides ...Override) []Action {
	for i := range overrides {
		overrides[i].ExpiresMs = r.now + durationMs
	}
	return r.handle(Event{Kind: EventOverrides, Overrides: overrides})
}

// An ejected server gets nothing, not even as the last resort, until the override expires or is
// replaced.
func TestEjectedServerIsNoLastResort(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 1)
	agent.override(500, Override{Server: addr(0)})
	id, actions := agent.request(0, 1)
	if findAction(actions, ActionSend) != nil {
		t.Fatal("sent to an ejected server")
	}
	answered := false
	for range 30 {
		if a := findAction(agent.fireTimer(10), ActionReject); a != nil && a.Request == id {
			answered = true
		}
	}
	if !answered {
		t.Error("not refused in time")
	}
	agent.now += 500
	if _, to := agent.mustSend(0, 2); to != addr(0) {
		t.Error("not sent to again after the ejection's time")
	}
}

// A returning server gets its part, and keys that return at one step stay at the next.
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
	// By its odds against the others with its entire share.
	odds := float64(len(keys[3])) / float64(4000-len(keys[3]))
	for step, factor := range []float64{0, 0.1, 0.3} {
		if got, want := float64(len(keys[step]))/4000, factor*odds/(1+factor*odds); got < 0.75*want || got > 1.25*want {
			t.Errorf("at a share factor of %v it got %.3f of the keys, want %.3f", factor, got, want)
		}
	}
	// Keys are split at random while little is known of them: few move for that reason.
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

// A server on trial gets one request that may be repeated, ejected or not.
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
				t.Fatal("a second trial without an override")
			}
			agent.endAttempt(id, 0, to, OK, 20)
		}
	}
}

// Ejected servers are no capacity.
func TestEjectedServersAreNoCapacity(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 4)
	before := agent.balancer.currentCapacity()
	agent.override(1e6, Override{Server: addr(0)}, Override{Server: addr(1), ShareFactor: 0.3})
	if got, want := agent.balancer.currentCapacity(), before*2.3/4; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("a capacity of %v, want %v", got, want)
	}
}

// Servers out of reach take their part of the demand with them: a site that is cut off with a third of
// the servers admits as much as before, where a fleet that has lost the others admits less. The
// earlier demand holds again when they are back.
func TestUnreachableServersTakeTheirDemand(t *testing.T) {
	admitted := func(within float64) (cut, back float64) {
		agent := newTestAgent(t, testSettings(), 6)
		agent.balancer.admission.demand = 0.6 * agent.balancer.currentCapacity()
		var out []Override
		for i := range 2 * len(agent.balancer.servers) / 3 {
			out = append(out, Override{Server: agent.balancer.servers[i].addr})
		}
		for i := range out {
			out[i].ExpiresMs = agent.now + 1e6
		}
		agent.handle(Event{Kind: EventOverrides, Overrides: out, ReachableShare: within})
		cut = agent.balancer.admissionShare()
		agent.handle(Event{Kind: EventOverrides, ReachableShare: 1})
		return cut, agent.balancer.admissionShare()
	}
	if cut, back := admitted(1.0 / 3); cut < 0.99 || back < 0.99 {
		t.Errorf("a site by itself admits %v, and %v when the others are back", cut, back)
	}
	if cut, back := admitted(1); cut > 0.7 || back < 0.99 {
		t.Errorf("a fleet of a third admits %v, and %v when the others are back", cut, back)
	}
}

// Where traffic is placed between zones a server gets requests by its traffic weight, in whichever
// zone it is, and the capacity that a lost zone takes is by its servers' weights alone.
func TestTrafficWeights(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 4) // zones 0 and 1 in turn; the own is 0
	out := make([]Override, 4)
	override := func(factor, own, other float64) {
		for i := range out {
			out[i] = Override{Server: addr(i), ShareFactor: 1, TrafficWeight: own, ExpiresMs: agent.now + 1e6}
			if i%2 == 1 {
				out[i].TrafficWeight = other
			} else {
				out[i].ShareFactor = factor
			}
		}
		agent.handle(Event{Kind: EventOverrides, Overrides: out, ReachableShare: 1, ZoneWeighted: true})
	}
	for _, c := range []struct{ own, other float64 }{{1.6, 0.4}, {0.5, 1.5}} {
		override(1, c.own, c.other)
		n := 0
		for key := range uint64(4000) {
			agent.now++
			id, to := agent.mustSend(1, mixBits(key+1))
			if to == addr(0) || to == addr(2) {
				n++
			}
			agent.endAttempt(id, 0, to, OK, 20)
		}
		if got, want := float64(n)/4000, c.own/(c.own+c.other); got < want-0.05 || got > want+0.05 {
			t.Errorf("traffic weights of %v and %v: %.3f in the own zone, want %.3f", c.own, c.other, got, want)
		}
	}
	before := agent.balancer.currentCapacity()
	override(0, 1.6, 0.4)
	if got := agent.balancer.currentCapacity(); got != before/2 {
		t.Errorf("a capacity of %v without the own zone, %v with it", got, before)
	}
}
