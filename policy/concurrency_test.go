package policy

import (
	"math"
	"testing"
)

// Each of a few agents sees most of the load: to them, a server that answers well within the target is not
// overloaded, however low the baseline is. A server in slow start is slower before it is overloaded.
func TestOverloadLatencyFallsWithTheNumberOfAgents(t *testing.T) {
	overloadLatency := func(agents int, baseline float64) float64 {
		set := testSettings()
		set.AgentCount = agents
		agent := newTestAgent(t, set, 1)
		agent.balancer.latency.baseline = baseline
		return agent.balancer.overloadLatency(agent.balancer.serverByAddr[addr(0)])
	}
	if one, twenty := overloadLatency(1, 0.01), overloadLatency(20, 0.01); one < 0.3 || twenty > 0.1 {
		t.Errorf("overload latency: %.2f for one agent, %.2f for twenty; want at least 0.3, at most 0.1", one,
			twenty)
	}
	if l := overloadLatency(1, 0.9); l != overloadTargetShare {
		t.Errorf("overload latency %.2f with a high baseline, want %.2f", l, overloadTargetShare)
	}
	agent := newTestAgent(t, testSettings(), 1)
	agent.updateList(UpdateDelta, Endpoint{Server: addr(1), Status: Ready, Weight: 1, StartedMs: agent.now})
	agent.balancer.latency.baseline = 0.2
	if slowStartLatency, warmLatency := agent.balancer.overloadLatency(agent.balancer.serverByAddr[addr(1)]),
		agent.balancer.overloadLatency(
			agent.balancer.serverByAddr[addr(0)]); slowStartLatency < 2*warmLatency {
		t.Errorf("overload latency %.2f of a server in slow start, %.2f of a warm one", slowStartLatency,
			warmLatency)
	}
}

func TestConcurrencyLimitShrinksUnderOverload(t *testing.T) {
	set := testSettings()
	set.AgentCount = 20 // so many that each sees little of the load
	agent := newTestAgent(t, set, 1)
	srv := agent.balancer.servers[0]
	for range 300 { // enough responses to know the baseline
		id, s := agent.mustSend(0, 1)
		agent.now += 20
		agent.endAttempt(id, 0, s, OK, 20)
	}
	limitBefore := srv.concurrencyLimit
	for range 200 {
		if id, actions := agent.request(0, 1); findAction(actions, ActionSend) != nil {
			agent.now += 140
			agent.endAttempt(id, 0, srv.addr, OK, 140)
		}
		agent.now += 10
	}
	if srv.concurrencyLimit >= limitBefore {
		t.Errorf("responses took seven times as long and the limit went from %.2f to %.2f", limitBefore,
			srv.concurrencyLimit)
	}
	// Observed: with many agents, one attempt from each is enough to keep a collapsed server busy.
	if srv.concurrencyLimit >= 1 {
		t.Errorf("a collapsed server gets no idle time: limit %.2f", srv.concurrencyLimit)
	}
}

// Observed: limits that grew before the baseline was known overloaded the servers, and the overload became
// the baseline.
func TestConcurrencyStaysUntilTheBaselineIsKnown(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 2)
	for range baselineResponses - 1 {
		id, s := agent.mustSend(0, agent.balancer.rng.Uint64())
		agent.now += 20
		agent.endAttempt(id, 0, s, OK, 20)
		if limit := agent.balancer.serverByAddr[s].concurrencyLimit; limit > initialConcurrency {
			t.Fatalf("limit %.2f after %.0f responses", limit, agent.balancer.latency.responses)
		}
	}
	var ids []RequestID
	var servers []Addr
	for range 40 {
		ids, servers = ids[:0], servers[:0]
		for range 3 {
			if id, actions := agent.request(0, agent.balancer.rng.Uint64()); findAction(actions,
				ActionSend) != nil {
				ids, servers = append(ids, id), append(servers, findAction(actions, ActionSend).Server)
			}
		}
		agent.now += 20
		for i := range ids {
			agent.endAttempt(ids[i], 0, servers[i], OK, 20)
		}
	}
	if limit := max(agent.balancer.servers[0].concurrencyLimit,
		agent.balancer.servers[1].concurrencyLimit); limit <= initialConcurrency {
		t.Errorf("no limit grew once the baseline was known: %.2f", limit)
	}
}

// An agent that sends to a server twice a minute cannot follow its load with a concurrency limit. It
// therefore skips a server that rejected a request, answered late or reports far more requests than the mean,
// for about the time between two attempts. If most of the tier is paused, it skips none.
func TestOverloadedServerIsPaused(t *testing.T) {
	for _, c := range []struct {
		overload string
		skipped  bool
	}{{"none", false}, {"rejected", true}, {"late", true}, {"reported", true}, {"all paused", false}} {
		set := testSettings()
		set.LoadReport = LoadReport{Mode: "inline", Metrics: []string{"eps", "inflight"}}
		agent := newTestAgent(t, set, 6)
		for range 40 {
			agent.now += 500
			id, s := agent.mustSend(0, agent.balancer.rng.Uint64())
			agent.handle(Event{Kind: EventAttemptEnded, Request: id, Server: s, Status: OK, LatencyMs: 20,
				Final: true, LoadReport: []float32{0, 2}})
		}
		id, s := agent.mustSend(0, 7)
		ev := Event{Kind: EventAttemptEnded, Request: id, Server: s, Status: OK, LatencyMs: 20, Final: true}
		switch c.overload {
		case "rejected":
			ev.Status, ev.Final = Rejected, false
		case "late":
			ev.LatencyMs = 400
		case "reported":
			ev.LoadReport = []float32{0, 40}
		case "all paused":
			ev.LatencyMs = 400
			for i := range 6 {
				agent.balancer.serverByAddr[addr(i)].pausedUntil = agent.now + 5000
			}
		}
		agent.now += ev.LatencyMs
		agent.handle(ev)
		agent.balancer.serverByAddr[s].concurrencyLimit = 9
		if _, next := agent.mustSend(0, 7); (next != s) != c.skipped {
			t.Errorf("overload %q: the key's next request went to %v after %v", c.overload, next, s)
		}
	}
}

// Invalid load reports have no effect.
func TestInvalidLoadReportsAreNoOverload(t *testing.T) {
	set := testSettings()
	set.LoadReport = LoadReport{Mode: "inline", Metrics: []string{"inflight"}}
	agent := newTestAgent(t, set, 3)
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, report := range [][]float32{nil, {nan}, {inf}, {-inf}, {-3}} {
		if s := agent.balancer.servers[0]; agent.balancer.reportsOverload(s, report) ||
			agent.balancer.meanReportedInFlight != 0 {
			t.Errorf("report %v: counted as overload, or changed the mean to %v", report,
				agent.balancer.meanReportedInFlight)
		}
	}
}

// The pause of a server grows while it is found overloaded repeatedly, so that it has time to recover.
// Responses in time reset that.
func TestPauseGrowsWhileAServerStaysOverloaded(t *testing.T) {
	set := testSettings()
	set.AgentCount = 300
	agent := newTestAgent(t, set, 4)
	agent.balancer.sending.meanIntervalMs = 10
	s := agent.balancer.servers[0]
	var pauses []float64
	for range 6 {
		agent.balancer.now = agent.now
		agent.balancer.pause(s)
		pauses = append(pauses, s.pausedUntil-agent.now)
	}
	interval := agent.balancer.sending.meanIntervalMs * 4
	if pauses[0] > 1.5*interval || pauses[3] < 4*interval || pauses[5] > 1.5*16*interval {
		t.Errorf("pauses of %.0f ms, the mean time between attempts on the server is %.0f ms", pauses,
			interval)
	}
	for range 5 {
		agent.balancer.onServed(&attempt{request: &request{targetAt: agent.now + 100}, server: s,
			sentAt: agent.now}, &Event{Status: OK, LatencyMs: 5})
	}
	if s.overloadStreak != 0 {
		t.Errorf("after responses in time the overload streak is %d", s.overloadStreak)
	}
	oneOfThree := newTestAgent(t, testSettings(), 4)
	for range 6 {
		oneOfThree.balancer.pause(oneOfThree.balancer.servers[0])
	}
	if n := oneOfThree.balancer.servers[0].overloadStreak; n != 0 {
		t.Errorf("an agent in a fleet of 3 agents doubles pauses %d times", n)
	}
}
