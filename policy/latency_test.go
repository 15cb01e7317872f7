package policy

import "testing"

// Observed with one agent and four servers: the first responses were quick, as few keys were in use. All
// later ones counted as overload, even with one attempt in flight on each server.
func TestLoneAgentRaisesTheLatencyBaseline(t *testing.T) {
	for _, agents := range []int{1, 5} {
		set := testSettings()
		set.AgentCount = agents
		agent := newTestAgent(t, set, 4)
		for i := range 2500 {
			latencyMs := 20.0
			if i > 100 {
				latencyMs = 60
			}
			id, s := agent.mustSend(0, uint64(agent.balancer.rng.Int64()))
			agent.now += latencyMs
			agent.endAttempt(id, 0, s, OK, latencyMs)
		}
		if rose := agent.balancer.latency.baseline > 0.15; rose != (agents == 1) {
			t.Errorf("%d agents: the baseline is %.3f after 2400 sequential responses in 0.2 of the target",
				agents, agent.balancer.latency.baseline)
		}
	}
}

// Observed when agents were restarted one by one while the fleet was overloaded.
func TestOverloadAtTheStartIsNotTheBaseline(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 4)
	for range baselineResponses {
		id, s := agent.mustSend(0, uint64(agent.balancer.rng.Int64()))
		agent.now += 270
		agent.endAttempt(id, 0, s, OK, 270)
	}
	if agent.balancer.latency.baseline > overloadTargetShare/2 {
		t.Errorf("responses in 0.9 of the target gave a baseline of %.2f", agent.balancer.latency.baseline)
	}
}
