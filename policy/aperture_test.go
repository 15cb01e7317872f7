package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Agents with few requests use few servers each, and all agents together use all servers evenly.
func TestApertureFollowsTrafficAndIsEven(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 6))
	agents := newSmallAgents(t, 300, 100)
	requests := sendSteadily(agents, 70, 6000, rng)
	for i := range 100 {
		if n := requests[addr(i)]; n < 100 || n > 500 {
			t.Errorf("server %d got %d requests, the mean is %d", i, n, 300*6000/70/100)
		}
	}
	size, busyAgent := len(agents[0].balancer.aperture.servers), newSmallAgents(t, 1, 100)
	if size > 50 {
		t.Errorf("an agent with 14 requests a second uses %d of 100 servers, want some 30", size)
	}
	if sendSteadily(busyAgent, 4, 6000, rng); len(busyAgent[0].balancer.aperture.servers) < 75 {
		t.Errorf("an agent with 250 requests a second uses %d of 100 servers, want most",
			len(busyAgent[0].balancer.aperture.servers))
	}
	before := slices.Clone(agents[0].balancer.aperture.servers)
	agents[0].updateList(UpdateDelta, Endpoint{Server: addr(200), Status: Ready, Weight: 1})
	for _, s := range before {
		if !slices.Contains(agents[0].balancer.aperture.servers, s) &&
			len(agents[0].balancer.aperture.servers) >= len(before) {
			t.Errorf("a new server replaced %v in the aperture", s.addr)
		}
	}
}

// If no server in the aperture is healthy, a request goes to a server outside it.
func TestRequestLeavesAnUnhealthyAperture(t *testing.T) {
	agent := newSmallAgents(t, 300, 100)[0]
	sendSteadily([]*testAgent{agent}, 70, 6000, rand.New(rand.NewPCG(8, 8)))
	for _, s := range agent.balancer.aperture.servers {
		agent.balancer.eject(s, true)
	}
	if _, s := agent.mustSend(0, 5); agent.balancer.serverByAddr[s].inAperture {
		t.Errorf("sent to %v, which is in an aperture without a healthy server", s)
	}
}

// If all servers in the aperture are in slow start, they do not get all requests.
func TestRequestLeavesAWarmingUpAperture(t *testing.T) {
	agent := newSmallAgents(t, 300, 100)[0]
	sendSteadily([]*testAgent{agent}, 70, 6000, rand.New(rand.NewPCG(8, 8)))
	var started []Endpoint
	for _, s := range agent.balancer.aperture.servers {
		started = append(started, Endpoint{Server: s.addr, Status: Ready, Weight: 1, StartedMs: agent.now})
	}
	agent.updateList(UpdateDelta, started...)
	for range 20 { // requests that all stay in flight
		if _, s := agent.mustSend(0, 0); agent.balancer.slowStartFactor(agent.balancer.serverByAddr[s]) < 1 &&
			agent.balancer.serverByAddr[s].slowStartCredit < -1 {
			t.Errorf("a server in slow start got more requests than its credit allows")
		}
	}
}

// If connections have no price, or if servers close them at once, each agent uses all servers.
func TestNoApertureWithoutAPrice(t *testing.T) {
	set := testSettings()
	for _, c := range []struct{ price, keepaliveMs float64 }{{0, 10000}, {0.08, 0}} {
		set.Prices.Handshake, set.Limits.KeepaliveMs = c.price, c.keepaliveMs
		agent := newTestAgent(t, set, 100)
		sendSteadily([]*testAgent{agent}, 500, 6000, rand.New(rand.NewPCG(9, 9)))
		if len(agent.balancer.aperture.servers) != 100 {
			t.Errorf("price %v and keepalive %v ms: uses %d of 100 servers", c.price, c.keepaliveMs,
				len(agent.balancer.aperture.servers))
		}
	}
}

// On a large fleet the subset for a key is the same at all agents, and the servers are in about equally many
// subsets.
func TestSubsetOfALargeFleet(t *testing.T) {
	a, b := newTestAgent(t, testSettings(), 1000), newTestAgent(t, testSettings(), 1000)
	count := map[Addr]int{}
	for key := range uint64(4000) {
		req := &request{key: key + 1, hashKey: key + 1}
		x, y := a.balancer.subsetFor(req, a.balancer.aperture.servers), b.balancer.subsetFor(req,
			b.balancer.aperture.servers)
		if len(x) != subsetSize {
			t.Fatalf("a subset of %d servers, want %d", len(x), subsetSize)
		}
		for i, s := range x {
			if s.addr != y[i].addr {
				t.Fatalf("key %d: the agents' subsets differ", key)
			}
			count[s.addr]++
		}
	}
	for id, n := range count {
		if mean := 4000 * subsetSize / 1000; n < mean/2 || n > 2*mean {
			t.Errorf("server %v is in %d subsets, the mean is %d", id, n, mean)
		}
	}
}
