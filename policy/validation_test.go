package policy

import "testing"

func TestProbesValidateWhereAllowed(t *testing.T) {
	set := testSettings()
	set.Limits.AllowProbes = true
	agent := newTestAgent(t, set, 3)
	id, s := agent.mustSend(0, 7)
	agent.endAttempt(id, 0, s, ConnectFailed, 100)
	agent.now += 2 * agent.balancer.ejectionTime(agent.balancer.serverByAddr[s])
	_, actions := agent.request(0, 7)
	if p := findAction(actions, ActionProbe); p == nil || p.Server != s {
		t.Fatalf("no probe of the pending server: %+v", actions)
	}
	if a := findAction(actions, ActionSend); a == nil || a.Server == s {
		t.Error("a request went to a pending server before its probe")
	}
	agent.handle(Event{Kind: EventProbeEnded, Server: s, Status: Timeout, LatencyMs: 100})
	if agent.balancer.serverByAddr[s].state != Unhealthy {
		t.Error("a failed probe did not eject")
	}
	agent.now += 10 * agent.balancer.ejectionTime(agent.balancer.serverByAddr[s])
	agent.request(0, 8)
	agent.handle(Event{Kind: EventProbeEnded, Server: s, Status: OK, LatencyMs: 5})
	if agent.balancer.serverByAddr[s].state != Connected {
		t.Error("a successful probe did not set Connected")
	}
}

// An unresponsive server that the site does not reach is not probed: it would use up the probes for those
// that the site reaches.
func TestUnreachableServersAreNotProbed(t *testing.T) {
	for _, reachableShare := range []float64{1, 0.5} {
		set := testSettings()
		set.Limits.AllowProbes = true
		agent := newTestAgent(t, set, 4)
		s := agent.balancer.serverByAddr[addr(1)]
		s.state, s.timedOut, s.since = UnhealthyPending, true, agent.now
		agent.balancer.generation++
		agent.handle(Event{Kind: EventOverrides, ReachableShare: reachableShare,
			Overrides: []Override{{Server: addr(1), ExpiresMs: agent.now + 1e6}}})
		agent.balancer.actions, agent.balancer.probes.tokens = nil, maxProbesInFlight
		agent.balancer.validateUnhealthy()
		if probed := findAction(agent.balancer.actions, ActionProbe) != nil; probed != (reachableShare == 1) {
			t.Errorf("reachable share %v: probed %v", reachableShare, probed)
		}
	}
}
