package policy

import (
	"math/rand/v2"
	"testing"
)

// The cached survey equals a recount after every kind of change.
func TestSurveyIsCurrent(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 30)
	rng := rand.New(rand.NewPCG(4, 4))
	for step := range 3000 {
		agent.now += 20 * rng.Float64()
		switch s := addr(rng.IntN(35)); rng.IntN(12) {
		case 0:
			agent.updateList(UpdateDelta, Endpoint{Server: s, Status: ListedStatus(rng.IntN(3)),
				Weight: 1 + rng.Float64(), StartedMs: agent.now})
		default:
			id, actions := agent.request(0, 1+rng.Uint64N(99))
			if a := findAction(actions, ActionSend); a != nil {
				agent.now += 5
				agent.endAttempt(id, 0, a.Server, []Status{OK, OK, OK, Error, ConnectFailed}[rng.IntN(5)], 5)
			}
		}
		unhealthy, warmWeight, capacity := 0, 0.0, 0.0
		for _, s := range agent.balancer.servers {
			if s.state > Unknown {
				unhealthy++
			}
			if s.ready && s.state <= Unknown && agent.balancer.slowStartFactor(s) == 1 {
				warmWeight += s.weight
			}
			if s.ready && s.state < Unhealthy {
				capacity += s.weight * agent.balancer.slowStartFactor(s)
			}
		}
		agent.balancer.capacity.totalAt = 0
		if gotWarm, gotCapacity := agent.balancer.currentWarmWeight(),
			agent.balancer.currentCapacity(); len(agent.balancer.capacity.unhealthyServers) != unhealthy ||
			max(gotWarm-warmWeight, warmWeight-gotWarm, gotCapacity-capacity, capacity-gotCapacity) > 1e-6 {
			t.Fatalf("step %d: %d unhealthy, warm weight %.3f, capacity %.3f; recounted %d, %.3f, %.3f", step,
				len(agent.balancer.capacity.unhealthyServers), gotWarm, gotCapacity, unhealthy, warmWeight,
				capacity)
		}
	}
}
