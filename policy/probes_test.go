package policy

import "testing"

// Observed: 3.5 probes for each request. An overloaded server rejects probes as well, and each request caused
// the next probe.
func TestProbesAreFewerThanRequests(t *testing.T) {
	set := testSettings()
	set.Limits.AllowProbes = true
	agent := newTestAgent(t, set, 6)
	for i := range 4 {
		agent.balancer.eject(agent.balancer.serverByAddr[addr(i)], true)
	}
	probes := 0
	for range 200 {
		agent.now += 50
		id, actions := agent.request(0, agent.balancer.rng.Uint64())
		sent := findAction(actions, ActionSend)
		for _, a := range actions {
			if a.Kind == ActionProbe {
				probes++
				agent.handle(Event{Kind: EventProbeEnded, Server: a.Server, Status: Rejected, LatencyMs: 1})
			}
		}
		if sent != nil {
			agent.endAttempt(id, 0, sent.Server, Rejected, 1)
		}
	}
	if probes == 0 || probes > 30 {
		t.Errorf("%d probes in 200 requests", probes)
	}
}

// While a zone is suspected, only the other servers, which get its load, are sampled. Probes of the lost
// servers time out, and the load would be known too late to reject requests.
func TestSuspectedServersAreNoLoadSample(t *testing.T) {
	set := testSettings()
	set.Limits.AllowProbes = true
	set.LoadReport = LoadReport{Mode: "on_probe", Metrics: []string{"inflight", "util"}}
	agent := newTestAgent(t, set, 10)
	for i, s := range agent.balancer.servers {
		if s.zoneSuspected = i%3 > 0; s.zoneSuspected {
			s.timedOut = true
			agent.balancer.transition(s, UnhealthyPending)
		}
	}
	sampled := 0
	for range 400 {
		agent.balancer.probes.tokens, agent.balancer.probes.validationTurn = 1, true
		agent.balancer.sampleLoad()
		for _, s := range agent.balancer.servers {
			if s.probing {
				if sampled++; s.zoneSuspected {
					t.Fatal("a suspected server is sampled")
				}
				agent.handle(Event{Kind: EventProbeEnded, Server: s.addr, Status: OK,
					LoadReport: []float32{1, 0.5}})
				break
			}
		}
		for _, s := range agent.balancer.servers {
			s.zoneSuspected = s.state == UnhealthyPending // as the response may have cleared the suspicion
		}
	}
	if sampled < 300 {
		t.Errorf("%d of 400 samples taken", sampled)
	}
}

// Only the load of warm servers is sampled. Observed: servers in slow start get no more than their credit,
// and samples of idle ones made overloaded warm servers look half utilized.
func TestWarmingUpServersAreNoLoadSample(t *testing.T) {
	set := testSettings()
	set.Limits.AllowProbes = true
	set.LoadReport = LoadReport{Mode: "on_probe", Metrics: []string{"util"}}
	agent := newTestAgent(t, set, 4)
	for i := range 6 {
		agent.updateList(UpdateDelta, Endpoint{Server: addr(4 + i), Status: Ready, Weight: 1,
			StartedMs: agent.now - 7000})
	}
	probed := 0
	for range 2000 {
		agent.now++
		_, actions := agent.request(0, 0)
		if a := findAction(actions, ActionProbe); a != nil {
			probed++
			if agent.balancer.slowStartFactor(agent.balancer.serverByAddr[a.Server]) < 1 {
				t.Fatalf("a server in slow start was sampled")
			}
			agent.handle(Event{Kind: EventProbeEnded, Server: a.Server, Status: OK, LatencyMs: 1,
				LoadReport: []float32{0.5}})
		}
	}
	if probed < 20 {
		t.Errorf("%d probes in 2000 requests", probed)
	}
}
