package policy

import "testing"

// Observed: one key had a tenth of the traffic, and one server got all of it, as no agent had more than one
// of its requests in flight. A popular key must use many servers, any other key few.
func TestPopularKeyIsSpreadByItsShare(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 20)
	agent.splitKeys = true
	popularServers, rareServers := map[Addr]bool{}, map[Addr]bool{}
	for i := range 4000 {
		agent.now += 20
		key := 1000 + agent.balancer.rng.Uint64N(1000)
		if i%5 == 0 {
			key = 7
		} else if i%100 == 1 {
			key = 8
		}
		id, s := agent.mustSend(0, key)
		agent.endAttempt(id, 0, s, OK, 10)
		switch key {
		case 7:
			popularServers[s] = true
		case 8:
			rareServers[s] = true
		}
	}
	if len(popularServers) < 8 || len(rareServers) > 5 {
		t.Errorf("a key with a fifth of all requests used %d servers, one with a hundredth %d",
			len(popularServers), len(rareServers))
	}
}
