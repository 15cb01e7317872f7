package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/policy"
)

const ms = time.Millisecond

var (
	urgentRoute = &config.Route{Name: "urgent", Kind: config.Streaming, Resumable: true, MaxAttempts: 2}
	draftRoute  = &config.Route{Name: "draft", Kind: config.Streaming, Priority: 1, MaxAttempts: 1}
)

func testInstances(n int) []*registry.Instance {
	var all []*registry.Instance
	for i := range n {
		all = append(all, &registry.Instance{
			ID:      fmt.Sprintf("i-%04d", i),
			Service: "llm",
			Zone:    fmt.Sprintf("z%d", i%3),
			Slots:   8,
			Seq:     1,
		})
	}
	return all
}

func instanceList(all ...*registry.Instance) *registry.List {
	l := &registry.List{ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
	for _, in := range all {
		l.ByService[in.Service] = append(l.ByService[in.Service], in)
		l.ByID[in.ID] = in
	}
	return l
}

func testConfig() *config.Document {
	return &config.Document{Services: map[string]*config.Service{"llm": {Name: "llm", HealthPath: "/health",
		Engine: &config.Engine{Slots: 8, CacheTokens: 400_000, TokensPerEvent: 4}}}}
}

func newTestPicker(seed uint64, n int) *Picker {
	p := New(Options{Zone: "z0", Seed: seed})
	p.UpdateConfig(0, testConfig())
	p.UpdateInstances(0, instanceList(testInstances(n)...))
	return p
}

// newTestRequest returns a request whose prompt has a shared segment and one of its own, with the
// given IDs.
func newTestRequest(sharedID, ownID uint64) *Request {
	return &Request{Route: urgentRoute, Service: "llm", Model: "m",
		Segments:     []Segment{{ID: sharedID, Tokens: 2000}, {ID: ownID, Tokens: 500}},
		PromptTokens: 2500, MaxOutputTokens: 20, TimeLeft: 3 * time.Second, LatencyTarget: 500 * ms}
}

func (p *Picker) stateOf(id string) policy.State { return p.servers[id].State() }

// mustForward picks a server for the request, requires that it is forwarded, and records it as sent.
func mustForward(t require.TestingT, p *Picker, now time.Duration, r *Request) *Attempt {
	d := p.Pick(now, r)
	require.Equal(t, Forward, d.Action, d.Reason)
	d.Attempt.Sent(now)
	return d.Attempt
}

// succeed ends an attempt successfully after its first token.
func succeed(a *Attempt, now time.Duration) {
	a.Headers(now, 200, nil)
	a.Events(now, 1)
	a.End(now+ms, Succeeded)
}

func TestHealthFollowsAttemptOutcomes(t *testing.T) {
	for outcome, want := range map[Outcome]policy.State{
		Succeeded:     policy.Connected,
		ClientError:   policy.Unknown,
		Rejected:      policy.Unknown,
		Cancelled:     policy.Unknown,
		ConnectFailed: policy.Unhealthy,
		Reset:         policy.Unhealthy,
		BadResponse:   policy.Unhealthy,
		ServerError:   policy.Unhealthy,
		Timeout:       policy.Unhealthy,
	} {
		t.Run(outcome.String(), func(t *testing.T) {
			p := newTestPicker(1, 3)
			a := mustForward(t, p, 0, newTestRequest(1, 2))
			id := a.server.instance.ID
			a.End(2*time.Second, outcome)
			assert.Equal(t, want, p.stateOf(id))
			a.End(3*time.Second, Reset)
			assert.Equal(t, want, p.stateOf(id), "only the first outcome of an attempt counts")
			assert.Zero(t, p.servers[id].inFlight+p.services["llm"].inFlight)
		})
	}
}

func TestTimeoutThatIsNotTheServersFault(t *testing.T) {
	for name, during := range map[string]func(p *Picker, a *Attempt) time.Duration{
		"the attempt was short": func(*Picker, *Attempt) time.Duration { return 100 * ms },
		"the server answered other attempts": func(p *Picker, a *Attempt) time.Duration {
			a.server.lastResponseAt = time.Second
			return 2 * time.Second
		},
		"the response had begun": func(p *Picker, a *Attempt) time.Duration {
			a.Headers(ms, 200, nil)
			return 2 * time.Second
		},
	} {
		p := newTestPicker(1, 3)
		a := mustForward(t, p, 0, newTestRequest(1, 2))
		a.End(during(p, a), Timeout)
		assert.Equal(t, policy.Unknown, p.stateOf(a.server.instance.ID), name)
	}
	p := newTestPicker(1, 3)
	a := mustForward(t, p, 0, newTestRequest(1, 2))
	a.Headers(time.Second, 504, nil)
	a.End(time.Second, ServerError)
	assert.Equal(t, policy.Unknown, p.stateOf(a.server.instance.ID),
		"a 504 for the client's deadline is not the server's fault")
}

func TestUnhealthyServerIsSkippedUntilChecked(t *testing.T) {
	p := newTestPicker(1, 3)
	a := mustForward(t, p, 0, newTestRequest(1, 2))
	bad := a.server
	a.End(10*ms, Reset)
	for i := range uint64(20) {
		b := mustForward(t, p, 20*ms, newTestRequest(1, 10+i))
		require.NotEqual(t, bad, b.server)
		succeed(b, 60*ms)
	}
	assert.Empty(t, p.DueHealthChecks(100*ms), "the server is still ejected")
	due := p.DueHealthChecks(300 * ms)
	require.Len(t, due, 1, "the ejection is over, and the server is checked in the background")
	assert.Equal(t, bad.instance, due[0])
	assert.Empty(t, p.DueHealthChecks(301*ms), "the server is checked only once")
	assert.Equal(t, 1, p.serverRank(310*ms, bad, &pickContext{Request: newTestRequest(1, 2)}))
	assert.Equal(t, 0, p.serverRank(time.Second, bad, &pickContext{Request: newTestRequest(1, 2)}),
		"without a result of the check the server counts as healthy after a while")
	p.HealthCheckDone(320*ms, bad.instance.ID, true, nil)
	assert.Equal(t, policy.Connected, bad.State())
}

func TestTimedOutServerWaitsForItsCheck(t *testing.T) {
	p := newTestPicker(1, 3)
	a := mustForward(t, p, 0, newTestRequest(1, 2))
	a.End(time.Second, Timeout)
	require.True(t, a.server.TimedOut())
	p.DueHealthChecks(2 * time.Second)
	q := &pickContext{Request: newTestRequest(1, 2)}
	assert.Equal(t, 1, p.serverRank(5*time.Second, a.server, q))
	p.HealthCheckDone(5*time.Second, a.server.instance.ID, false, nil)
	assert.Equal(t, policy.Unhealthy, a.server.State())
	assert.Greater(t, a.server.EjectionTime(baseEjectionMs, minEjectionMs), baseEjectionMs,
		"the next ejection is longer")
}

func TestNonIdempotentRequestAvoidsUncheckedServer(t *testing.T) {
	p := newTestPicker(1, 3)
	a := mustForward(t, p, 0, newTestRequest(1, 2))
	for range 10 { // raises the failure rate above the tolerable one
		p.updateFailureRate(0, a.server, true)
	}
	a.End(ms, Reset)
	p.DueHealthChecks(time.Second)
	require.Equal(t, policy.UnhealthyPending, a.server.State())
	r := newTestRequest(1, 2)
	r.Route = draftRoute
	assert.Equal(t, 1, p.serverRank(time.Minute, a.server, &pickContext{Request: r, nonIdempotent: true}))
	assert.Equal(t, 0, p.serverRank(time.Minute, a.server, &pickContext{Request: r}))
}

func TestAttemptsTakePrecedenceOverChecks(t *testing.T) {
	p := newTestPicker(1, 2)
	a, b := mustForward(t, p, 0, newTestRequest(1, 2)), mustForward(t, p, 0, newTestRequest(1, 3))
	for b.server != a.server {
		b = mustForward(t, p, 0, newTestRequest(1, 3))
	}
	a.End(ms, Reset)
	due := p.DueHealthChecks(time.Second)
	require.Len(t, due, 1)
	succeed(b, 1100*ms)
	require.Equal(t, policy.Connected, a.server.State(), "the server has answered a request since then")
	p.HealthCheckDone(1200*ms, due[0].ID, false, nil)
	assert.Equal(t, policy.Connected, a.server.State())
}

func TestSuccessSentBeforeAFailureIsIgnored(t *testing.T) {
	p := newTestPicker(1, 1)
	a, b := mustForward(t, p, 0, newTestRequest(1, 2)), mustForward(t, p, 0, newTestRequest(1, 3))
	a.End(10*ms, Reset)
	succeed(b, 20*ms)
	assert.Equal(t, policy.Unhealthy, a.server.State())
}

func TestUnhealthyServersServeIfThereAreNoOthers(t *testing.T) {
	p := newTestPicker(1, 2)
	for _, s := range p.servers {
		p.markUnhealthy(0, s, false)
	}
	a := mustForward(t, p, ms, newTestRequest(1, 2))
	assert.Equal(t, policy.Unhealthy, a.server.State(), "requests do not wait for health checks")
}

func TestRefusedConnectAndListChangeAllowEarlyChecks(t *testing.T) {
	p := newTestPicker(1, 4)
	all := testInstances(5)
	bad := p.servers["i-0003"]
	bad.RecordEjection()
	bad.RecordEjection()
	bad.RecordEjection()
	bad.RecordFailure(true, 0)
	p.UpdateInstances(300*ms, instanceList(all[:4]...))
	assert.Equal(t, policy.Unhealthy, bad.State(), "the list has not changed")
	p.UpdateInstances(300*ms, instanceList(all...))
	assert.Equal(t, policy.UnhealthyPending, bad.State(), "a server was added")

	bad.RecordFailure(true, 400)
	a := mustForward(t, p, 700*ms, newTestRequest(1, 2))
	a.End(701*ms, ConnectFailed)
	assert.Equal(t, policy.UnhealthyPending, bad.State(), "another server refused a connection")
	assert.Equal(t, policy.Unhealthy, a.server.State())
	assert.False(t, a.server.TimedOut(), "a refused connection is not a time-out")
}

func TestChecksAreRateLimited(t *testing.T) {
	p := newTestPicker(1, 20)
	for _, s := range p.servers {
		p.markUnhealthy(0, s, true)
	}
	now, started := time.Second, 0
	for ; now < 4*time.Second; now += 50 * ms {
		due := p.DueHealthChecks(now)
		started += len(due)
		assert.LessOrEqual(t, p.checksInFlight, maxChecksInFlight)
		for _, in := range due {
			p.HealthCheckDone(now+ms, in.ID, false, nil)
		}
	}
	assert.LessOrEqual(t, started, int(healthCheckBurst+3*healthCheckRate)+1)
	assert.Greater(t, started, 10)
	assert.Equal(t, unhealthyCheckInterval, p.HealthCheckInterval())
	p.DueHealthChecks(now)
	p.DueHealthChecks(now + 2*checkTimeout)
	assert.LessOrEqual(t, p.checksInFlight, maxChecksInFlight, "a check without a result is abandoned")
}

func TestUnresponsiveServerIsChecked(t *testing.T) {
	p := newTestPicker(1, 3)
	a := mustForward(t, p, 0, newTestRequest(1, 2))
	p.DueHealthChecks(500 * ms)
	assert.Equal(t, policy.Unknown, a.server.State())
	due := p.DueHealthChecks(2 * time.Second)
	require.Len(t, due, 1)
	assert.Equal(t, a.server.instance, due[0])
	assert.Equal(t, policy.UnhealthyPending, a.server.State())
	assert.NotEqual(t, a.server, mustForward(t, p, 2*time.Second, newTestRequest(1, 3)).server,
		"the server is skipped until its check has ended")
	succeed(a, 2100*ms)
	assert.Equal(t, policy.Connected, a.server.State())
}

func TestFullServersAreSkippedTemporarily(t *testing.T) {
	p := newTestPicker(1, 2)
	a := mustForward(t, p, 0, newTestRequest(1, 2))
	a.End(ms, Rejected)
	b := mustForward(t, p, 2*ms, newTestRequest(1, 3))
	assert.NotEqual(t, a.server, b.server)
	b.End(3*ms, Rejected)
	d := p.Pick(4*ms, newTestRequest(1, 4))
	assert.Equal(t, Reject, d.Action)
	assert.Greater(t, d.RetryAfter, 50*ms)
	assert.LessOrEqual(t, d.RetryAfter, 3*fullBackoff/2)
	mustForward(t, p, 400*ms, newTestRequest(1, 5))
}

func TestMisdirectedInstanceIsRemovedUntilListedAgain(t *testing.T) {
	p := newTestPicker(1, 2)
	a := mustForward(t, p, 0, newTestRequest(1, 2))
	in := *a.server.instance
	list := instanceList(testInstances(2)...)
	a.End(ms, Misdirected)
	assert.NotContains(t, p.servers, in.ID)
	p.UpdateInstances(2*ms, list)
	assert.NotContains(t, p.servers, in.ID, "the same list does not add it again")
	assert.Len(t, p.services["llm"].ring, 1)
	in.Seq++
	list.ByID[in.ID] = &in
	list.ByService["llm"] = []*registry.Instance{&in}
	p.UpdateInstances(3*ms, list)
	assert.Contains(t, p.servers, in.ID)
	assert.Empty(t, p.misdirected)
	p.UpdateInstances(4*ms, instanceList())
	assert.Empty(t, p.servers)
}

func TestInstanceListChanges(t *testing.T) {
	p := newTestPicker(1, 3)
	a := mustForward(t, p, 0, newTestRequest(1, 2))
	var remaining []*registry.Instance
	for _, in := range testInstances(3) {
		if in.ID != a.server.instance.ID {
			remaining = append(remaining, in)
		}
	}
	p.UpdateInstances(ms, instanceList(remaining...))
	for i := range uint64(20) {
		assert.NotEqual(t, a.server, mustForward(t, p, 2*ms, newTestRequest(1, i)).server,
			"a removed server gets no requests")
	}
	a.End(3*ms, Succeeded)
	assert.Equal(t, policy.Unknown, a.server.State(), "an attempt does not change the health of a removed server")
	p.UpdateInstances(4*ms, instanceList(testInstances(3)...))
	assert.NotSame(t, a.server, p.servers[a.server.instance.ID], "a server that is listed again starts without state")
	p.UpdateInstances(5*ms, nil)
	p.UpdateConfig(5*ms, nil)
	assert.Len(t, p.servers, 3)

	moved := *testInstances(1)[0]
	moved.Service = "other"
	p.UpdateInstances(6*ms, instanceList(&moved))
	assert.Equal(t, "other", p.servers[moved.ID].service.name)
	assert.Empty(t, p.services["llm"].servers)
	p.UpdateConfig(7*ms, &config.Document{})
	assert.NotContains(t, p.services, "removed")
	d := p.Pick(7*ms, newTestRequest(1, 2))
	assert.Equal(t, Reject, d.Action)
	assert.Equal(t, "no server of the service is known", d.Reason)
}

func TestTriedServersAreSkipped(t *testing.T) {
	p := newTestPicker(1, 3)
	r := newTestRequest(1, 2)
	for range 3 {
		a := mustForward(t, p, 0, r)
		require.NotContains(t, r.TriedInstances, a.server.instance.ID)
		r.TriedInstances = append(r.TriedInstances, a.server.instance.ID)
	}
	d := p.Pick(0, r)
	assert.Equal(t, Reject, d.Action)
	assert.Equal(t, "every server was tried", d.Reason)
}

func TestRequestsGoToServersOfTheirModel(t *testing.T) {
	all := testInstances(4)
	for i, in := range all {
		in.Models = []registry.Model{{Name: []string{"m", "n"}[i%2], Revision: 1}}
	}
	p := newTestPicker(1, 0)
	p.UpdateInstances(0, instanceList(all...))
	for i := range uint64(30) {
		assert.Equal(t, "m", mustForward(t, p, 0, newTestRequest(i, 100+i)).server.instance.Models[0].Name)
	}
	r := newTestRequest(1, 2)
	r.Model = "unknown"
	mustForward(t, p, 0, r)
	s := p.servers["i-0000"]
	s.inference.Begin(0, inference.AppendPrefixes(nil, "m", r.Segments), 2500, 1)
	require.NotZero(t, s.inference.CachedTokens(inference.AppendPrefixes(nil, "m", r.Segments)))
	next := *all[0]
	next.Models = []registry.Model{{Name: "m", Revision: 2}}
	p.UpdateInstances(ms, instanceList(append([]*registry.Instance{&next}, all[1:]...)...))
	assert.Zero(t, s.inference.CachedTokens(inference.AppendPrefixes(nil, "m", r.Segments)),
		"the cache is invalid after a change of the weights")
}

func TestAgentsAgreeOnAKeysServer(t *testing.T) {
	for _, n := range []int{12, 100} {
		used := map[string]bool{}
		for key := range uint64(50) {
			var want *registry.Instance
			for agent := range uint64(8) {
				p := newTestPicker(agent, n)
				p.options.Zone = ""
				a := mustForward(t, p, 0, newTestRequest(key, agent))
				if want == nil {
					want = a.server.instance
				}
				require.Equal(t, want.ID, a.server.instance.ID, "key %d", key)
			}
			used[want.ID] = true
		}
		assert.Greater(t, len(used), min(n, 50)/2, "keys are spread over the servers")
	}
}

func TestListChangeMovesFewKeys(t *testing.T) {
	moved := 0
	const keys = 200
	for key := range uint64(keys) {
		p, q := newTestPicker(1, 12), newTestPicker(1, 11)
		a, b := mustForward(t, p, 0, newTestRequest(key, 1)), mustForward(t, q, 0, newTestRequest(key, 1))
		if a.server.instance.ID != b.server.instance.ID {
			assert.Equal(t, "i-0011", a.server.instance.ID, "only keys of the removed server move")
			moved++
		}
	}
	assert.Less(t, moved, keys/5)
}

func TestBoundedLoad(t *testing.T) {
	p := newTestPicker(1, 10)
	attempts := map[string]int{} // by instance ID
	for i := range uint64(100) {
		a := mustForward(t, p, 0, newTestRequest(7, i))
		attempts[a.server.instance.ID]++
		assert.LessOrEqual(t, a.server.inFlight, int(boundedLoadFactor*float64(i+1)/10)+1)
	}
	assert.GreaterOrEqual(t, len(attempts), 3)
}

func TestHotKeyHasALargerSubset(t *testing.T) {
	p := newTestPicker(1, 10)
	now := time.Duration(0)
	for i := range uint64(400) { // every second request has the hot key
		key := 1000 + i%20
		if i%2 == 0 {
			key = 7
		}
		succeed(mustForward(t, p, now, newTestRequest(key, i)), now+40*ms)
		now += 50 * ms
	}
	hot := inference.AppendPrefixes(nil, "m", newTestRequest(7, 0).Segments)[0].ID
	assert.Greater(t, p.services["llm"].keyLoads.subsetSize(now, hot, 10), 2)
	assert.Equal(t, 1, p.services["llm"].keyLoads.subsetSize(now, 12345, 10))
	assert.Equal(t, 1, p.services["llm"].keyLoads.subsetSize(now+10*time.Minute, hot, 10), "its load has decayed")
}

func TestTrackedKeysAreBounded(t *testing.T) {
	var k keyLoads
	for i := range uint64(5 * maxKeys) {
		k.add(time.Duration(i)*ms, i, 10)
		require.LessOrEqual(t, len(k.byKey), maxKeys)
	}
	assert.Equal(t, time.Duration(5*maxKeys-1)*ms, k.lastSeen(5*maxKeys-1))
	assert.Equal(t, time.Duration(-1), k.lastSeen(0))
}

func TestShortSharedSegmentsHaveNoAffinity(t *testing.T) {
	p := newTestPicker(1, 12)
	used := map[*server]bool{}
	for i := range uint64(30) {
		r := newTestRequest(1, i)
		r.Segments[0].Tokens, r.PromptTokens = 20, 520
		a := mustForward(t, p, 0, r)
		used[a.server] = true
		succeed(a, 0)
	}
	assert.Greater(t, len(used), 5)
}

func TestNothingIsRejectedWithFreeCapacity(t *testing.T) {
	p := newTestPicker(1, 4)
	r := newTestRequest(1, 2)
	r.TimeLeft, r.LatencyTarget = ms, ms
	for i := range p.services["llm"].lateness {
		p.services["llm"].lateness[i] = lateness{decayingMean{1, 0}, decayingMean{1, 0}}
	}
	for range 8 {
		mustForward(t, p, 0, r)
	}
}

func reportOverload(p *Picker) {
	for _, s := range p.servers {
		s.inference.ObserveLoad(0, Load{Running: 8, Waiting: 20, Slots: 8})
	}
}

func TestRequestWithoutAChanceIsRejected(t *testing.T) {
	p := newTestPicker(1, 4)
	reportOverload(p)
	r := newTestRequest(1, 2)
	d := p.Pick(0, r)
	require.Equal(t, Forward, d.Action, "the request may be late, but can be answered in the time left")
	r.TimeLeft = 100 * ms
	d = p.Pick(0, r)
	require.Equal(t, Reject, d.Action)
	assert.Nil(t, d.Attempt)
	assert.Equal(t, "no server can answer in the time left", d.Reason)
	assert.LessOrEqual(t, d.RetryAfter, 51*ms, "clients wait up to a third of their time")
}

func TestLessUrgentRequestsAreShedFirst(t *testing.T) {
	// rejectedRatio returns the fraction of a route's requests that are rejected while the most urgent
	// class has the given lateness. If observed is false, the lateness is only expected.
	rejectedRatio := func(route *config.Route, lateRatio float64, observed bool) float64 {
		p := newTestPicker(1, 4)
		reportOverload(p)
		rejected := 0
		for i := range uint64(1000) {
			v := p.services["llm"]
			v.lateness[0] = lateness{decayingMean{lateRatio, 0}, decayingMean{lateRatio, 0}}
			v.lateness[1] = lateness{}
			if !observed {
				v.lateness[0].observed = decayingMean{}
			}
			r := newTestRequest(i, i)
			r.Route, r.TimeLeft = route, time.Minute
			d := p.Pick(0, r)
			if d.Action == Reject {
				rejected++
				continue
			}
			d.Attempt.End(0, Cancelled)
		}
		return float64(rejected) / 1000
	}
	assert.Zero(t, rejectedRatio(draftRoute, 0.1, true), "lateness is below shedThreshold")
	assert.InDelta(t, 0.3, rejectedRatio(draftRoute, 0.3, true), 0.06)
	assert.InDelta(t, maxShedRatio, rejectedRatio(draftRoute, 1, true), 0.06, "a fraction is always forwarded")
	assert.Zero(t, rejectedRatio(draftRoute, 1, false), "an estimate alone sheds nothing")
	assert.Zero(t, rejectedRatio(urgentRoute, 0.4, true))
	assert.InDelta(t, 0.5, rejectedRatio(urgentRoute, 1, true), 0.06, "requests that would be late anyway are shed")
}

func TestServerPriority(t *testing.T) {
	last := -1
	for class := range priorityClasses {
		got := serverPriority(class)
		assert.GreaterOrEqual(t, got, last)
		assert.LessOrEqual(t, got, 9)
		last = got
	}
	assert.Equal(t, 0, serverPriority(0))
	assert.Equal(t, 5, serverPriority(1), "the second class has the servers' default priority")
}

func TestServersInSlowStartGetFewerRequests(t *testing.T) {
	p := newTestPicker(1, 0)
	all := testInstances(4)
	all[0].WarmUp = 10 * time.Second
	p.UpdateInstances(0, instanceList(all...))
	count := func(now time.Duration) (n int) {
		for i := range uint64(200) {
			a := mustForward(t, p, now, newTestRequest(i, i))
			if a.server.instance == all[0] {
				n++
			}
			succeed(a, now)
		}
		return n
	}
	duringSlowStart := count(0)
	assert.Less(t, duringSlowStart, 15)
	assert.Greater(t, count(11*time.Second), 2*duringSlowStart+10)
}

func TestPrefillNoticesDivertRequests(t *testing.T) {
	sender, receiver := newTestPicker(1, 3), newTestPicker(2, 3)
	long := newTestRequest(1, 2)
	long.Segments[1].Tokens, long.PromptTokens = 30_000, 32_000
	a := mustForward(t, sender, 0, long)
	notice, work := a.PrefillNotice()
	assert.Equal(t, 32_000, notice.UncachedTokens)
	assert.Greater(t, work, 300*ms)
	before := mustForward(t, receiver, 0, newTestRequest(1, 3))
	before.End(0, Cancelled)
	require.Equal(t, a.server.instance.ID, before.server.instance.ID, "both requests have the same key")
	receiver.ObserveRemotePrefill(5*ms, 5*ms, &notice)
	assert.NotEqual(t, a.server.instance.ID,
		mustForward(t, receiver, 5*ms, newTestRequest(1, 4)).server.instance.ID,
		"an urgent request goes to another server")
	assert.Equal(t, 2000, receiver.servers[notice.Instance].inference.CachedTokens(notice.Prefixes),
		"the notice's prefixes are cached there now")
	receiver.ObserveRemotePrefill(5*ms, 0, &PrefillNotice{Instance: "unknown"})
	receiver.ObserveRemotePrefill(5*ms, 0, &PrefillNotice{
		Instance:     notice.Instance,
		Prefixes:     make([]Segment, maxNoticePrefixes+1),
		PromptTokens: 1,
	})
	assert.Equal(t, 1, receiver.servers[notice.Instance].inference.QueuedPrefills(6*ms))
}

func TestSnapshot(t *testing.T) {
	p := newTestPicker(1, 3)
	a := mustForward(t, p, 0, newTestRequest(1, 2))
	a.Headers(10*ms, 200, &Load{Running: 1, Waiting: 2, Slots: 8})
	b := mustForward(t, p, 0, newTestRequest(3, 4))
	b.End(20*ms, Reset)
	statuses := p.Snapshot(120 * ms)
	require.Len(t, statuses, 3)
	for i, status := range statuses {
		assert.Equal(t, fmt.Sprintf("i-%04d", i), status.ID)
		assert.Equal(t, "llm", status.Service)
		assert.Greater(t, status.FirstTokenEstimate, time.Duration(0))
		switch status.ID {
		case b.server.instance.ID:
			assert.Equal(t, "unhealthy", status.State)
			assert.Equal(t, 100*ms, status.TimeInState)
		case a.server.instance.ID:
			assert.Equal(t, 1, status.InFlight)
			assert.Equal(t, Load{Running: 1, Waiting: 2, Slots: 8}, status.Load)
			assert.Equal(t, 110*ms, status.LoadAge)
		default:
			assert.Equal(t, "unknown", status.State)
			assert.Equal(t, time.Duration(-1), status.LoadAge)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 112, 850} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			p := newTestPicker(1, n)
			i, now := uint64(0), time.Duration(0)
			var out []*Attempt
			for b.Loop() {
				i++
				now += 50 * time.Microsecond
				d := p.Pick(now, newTestRequest(i%500, i))
				if d.Action == Forward {
					out = append(out, d.Attempt)
				}
				if len(out) > 20 {
					succeed(out[0], now)
					out = out[1:]
				}
			}
		})
	}
}
