package policy

import "testing"

// Observed with one agent and four servers: the first responses were quick, as few keys were in use,
// and later ones counted as overload at one attempt a server, for good.
func TestLoneAgentRaisesTheLatencyBaseline(t *testing.T) {
	for _, agents := range []int{1, 5} {
		set := testSettings()
		set.AgentCount = agents
		agent := newTestAgent(t, set, 4)
		for i := range 2500 {
			rtt := 20.0
			if i > 100 {
				rtt = 60
			}
			id, s := agent.mustSend(0, uint64(agent.balancer.rng.Int64()))
			agent.now += rtt
			agent.endAttempt(id, 0, s, OK, rtt)
		}
		if grown := agent.balancer.latency.baseline > 0.15; grown != (agents == 1) {
			t.Errorf("%d agents: after 2400 answers in 0.2 of the aim, one at a time, calm is %.3f", agents,
				agent.balancer.latency.baseline)
		}
	}
}

// Observed (id08146): agents restarted one by one while the fleet was overloaded.
func TestOverloadAtTheStartIsNotTheBaseline(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 4)
	for range baselineResponses {
		id, s := agent.mustSend(0, uint64(agent.balancer.rng.Int64()))
		agent.now += 270
		agent.endAttempt(id, 0, s, OK, 270)
	}
	if agent.balancer.latency.baseline > overloadTargetShare/2 {
		t.Errorf("answers in 0.9 of the aim were taken for calm: %.2f", agent.balancer.latency.baseline)
	}
}
