package policy

import (
	"fmt"
	"math"
	"testing"
)

// testAgent drives one Balancer by hand.
type testAgent struct {
	t        *testing.T
	balancer *Balancer
	now      float64
	lastID   RequestID
	// splitKeys lets keys be split; elsewhere each is taken for one of very many.
	splitKeys bool
}

func addr(i int) Addr { return Addr{10, 0, byte(i >> 8), byte(i), 0x13, 0x8b} }

func testSettings() Settings {
	s := Settings{
		Classes: []Class{
			{Name: "free", LatencyTargetMs: 300, ClientTimeoutMs: 1000, Idempotency: Idempotent, Value: 1},
			{Name: "once", LatencyTargetMs: 300, ClientTimeoutMs: 1000, Idempotency: NonIdempotent, Value: 4},
			{Name: "keyed", LatencyTargetMs: 300, ClientTimeoutMs: 1000, Idempotency: Deduplicated, DedupScope: DedupWithinCell, DedupWindowMs: 500, Value: 2},
		},
		Limits: Limits{AllowCancel: true, MaxAttempts: 3, MaxRetryAfterMs: 500, AllowParallelAttempts: true,
			ConnectTimeoutMs: 100},
		Contract: Contract{ResponseGraceMs: 20, DiscoveryDeadlineMs: 8000, SlowStartFloor: 0.2, SlowStartMs: 10000, DrainGraceMs: 500,
			CollapseLoadFactor: 3, CollapseAfterMs: 1000},
		Membership: "pushed", AgentCount: 3, RoundMs: 5, ValueBy: "request", Weights: "nominal",
	}
	s.Clients.MarksRetry = true
	return s
}

func newTestAgent(t *testing.T, s Settings, servers int) *testAgent {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &testAgent{t: t, balancer: b, now: 1e6}
	b.Start(r.now, nil)
	entries := make([]Endpoint, servers)
	for i := range entries {
		entries[i] = Endpoint{Server: addr(i), Status: Ready, Weight: 1, Cell: i % 2, Zone: i % 2}
	}
	r.updateList(UpdateCached, entries...)
	return r
}

func (r *testAgent) handle(ev Event) []Action { return r.balancer.Handle(r.now, &ev, nil) }

func (r *testAgent) updateList(kind UpdateKind, entries ...Endpoint) []Action {
	return r.handle(Event{Kind: EventDiscovery, Update: kind, Endpoints: entries})
}

func (r *testAgent) request(class int, key uint64) (RequestID, []Action) {
	r.lastID++
	if !r.splitKeys {
		r.balancer.keys = keyPopularity{counts: map[uint64]float64{}, total: keyHistoryFactor*float64(len(r.balancer.servers))/maxKeyShare - 1}
	}
	return r.lastID, r.handle(Event{Kind: EventRequest, Request: r.lastID, Class: class, Key: key, RemainingMs: 600})
}

func (r *testAgent) endAttempt(id RequestID, try int, s Addr, st Status, rtt float64) []Action {
	return r.handle(Event{Kind: EventAttemptEnded, Request: id, Attempt: try, Server: s, Status: st, LatencyMs: rtt, Final: st == OK})
}

func findAction(actions []Action, kind ActionKind) *Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}

// mustSend asks once and returns where the request went.
func (r *testAgent) mustSend(class int, key uint64) (RequestID, Addr) {
	r.t.Helper()
	id, actions := r.request(class, key)
	a := findAction(actions, ActionSend)
	if a == nil {
		r.t.Fatalf("request %d of class %d was not sent: %+v", id, class, actions)
	}
	return id, a.Server
}

// fireTimer fires the running timer after ms.
func (r *testAgent) fireTimer(ms float64) []Action {
	r.now += ms
	return r.handle(Event{Kind: EventTimer, Token: maintenanceTimer})
}

func TestStateTransitions(t *testing.T) {
	r := newTestAgent(t, testSettings(), 4)
	id, s := r.mustSend(0, 7)
	srv := r.balancer.serverByAddr[s]
	if srv.state != Unknown {
		t.Fatalf("a listed server starts in state %d, want Unknown", srv.state)
	}
	r.now += 50
	r.endAttempt(id, 0, s, OK, 50)
	if srv.state != Connected {
		t.Fatalf("served: state %d, want Connected", srv.state)
	}
	id, s2 := r.mustSend(0, 7)
	if s2 != s {
		t.Fatalf("key moved from %v to %v without a cause", s, s2)
	}
	srv.failureRate = 0.5 // more than happens to any
	actions := r.endAttempt(id, 0, s, Error, 5)
	if srv.state != Unhealthy {
		t.Fatalf("error: state %d, want Unhealthy", srv.state)
	}
	if findAction(actions, ActionFetch) == nil {
		t.Error("a demotion did not force a refresh of the list")
	}
	if a := findAction(actions, ActionSend); a == nil || a.Server == s {
		t.Errorf("the free request did not go on to another server: %+v", actions)
	}
	// While it is Unhealthy its key goes elsewhere; after its hold the next
	// request makes it pending, and a served answer Connected.
	if _, s3 := r.mustSend(0, 7); s3 == s {
		t.Error("an Unhealthy server was chosen before the better tier")
	}
	r.now += r.balancer.ejectionTime(srv) + 1
	id, s4 := r.mustSend(0, 7)
	if srv.state != UnhealthyPending || s4 != s {
		t.Fatalf("after the hold: state %d, sent to %v; want pending and the first send to check it", srv.state, s4)
	}
	r.now += 50
	r.endAttempt(id, 0, s, OK, 50)
	if srv.state != Connected {
		t.Fatalf("validated: state %d, want Connected", srv.state)
	}
}

func TestRejectionDoesNotEject(t *testing.T) {
	r := newTestAgent(t, testSettings(), 3)
	id, s := r.mustSend(1, 7)
	actions := r.endAttempt(id, 0, s, Rejected, 1)
	if got := r.balancer.serverByAddr[s].state; got == Unhealthy {
		t.Error("full demoted the server")
	}
	if a := findAction(actions, ActionSend); a == nil || a.Server == s {
		t.Errorf("a request that was turned away did not go elsewhere: %+v", actions)
	}
}

func TestProbesValidateWhereAllowed(t *testing.T) {
	set := testSettings()
	set.Limits.AllowProbes = true
	r := newTestAgent(t, set, 3)
	id, s := r.mustSend(0, 7)
	r.endAttempt(id, 0, s, ConnectFailed, 100)
	r.now += 2 * r.balancer.ejectionTime(r.balancer.serverByAddr[s])
	_, actions := r.request(0, 7)
	if p := findAction(actions, ActionProbe); p == nil || p.Server != s {
		t.Fatalf("no probe of the pending server: %+v", actions)
	}
	if a := findAction(actions, ActionSend); a == nil || a.Server == s {
		t.Error("a request went to a pending server before its probe")
	}
	r.handle(Event{Kind: EventProbeEnded, Server: s, Status: Timeout, LatencyMs: 100})
	if r.balancer.serverByAddr[s].state != Unhealthy {
		t.Error("a failed probe did not demote")
	}
	r.now += 10 * r.balancer.ejectionTime(r.balancer.serverByAddr[s])
	r.request(0, 8)
	r.handle(Event{Kind: EventProbeEnded, Server: s, Status: OK, LatencyMs: 5})
	if r.balancer.serverByAddr[s].state != Connected {
		t.Error("a good probe did not set Connected")
	}
}

func TestEmptyBestTierFallsBackToTheNext(t *testing.T) {
	r := newTestAgent(t, testSettings(), 2)
	for range 2 {
		id, s := r.mustSend(1, 3)
		r.endAttempt(id, 0, s, Error, 5)
	}
	if _, s := r.mustSend(0, 3); s == (Addr{}) {
		t.Error("nothing was sent though Unhealthy servers are the only ones")
	}
}

func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	for _, st := range []Status{Error, Timeout, Reset, Cancelled} {
		r := newTestAgent(t, testSettings(), 3)
		id, s := r.mustSend(1, 5)
		actions := r.endAttempt(id, 0, s, st, 50)
		if findAction(actions, ActionSend) != nil || findAction(actions, ActionReject) != nil || findAction(actions, ActionFail) == nil {
			t.Errorf("ending %d: want a failure and nothing else, got %+v", st, actions)
		}
	}
	r := newTestAgent(t, testSettings(), 3)
	id, s := r.mustSend(1, 5)
	if actions := r.endAttempt(id, 0, s, ConnectFailed, 50); findAction(actions, ActionSend) == nil {
		t.Errorf("an attempt that never ran was not repeated: %+v", actions)
	}
}

func TestDeduplicatedRetryStaysInScopeAndWindow(t *testing.T) {
	r := newTestAgent(t, testSettings(), 6)
	id, s := r.mustSend(2, 5)
	actions := r.endAttempt(id, 0, s, Error, 20)
	a := findAction(actions, ActionSend)
	if a == nil || r.balancer.serverByAddr[a.Server].cell != r.balancer.serverByAddr[s].cell {
		t.Fatalf("a guarded repeat did not stay in its cell: %+v", actions)
	}
	r.now += 496 // just inside the 500 ms less the margin
	actions = r.endAttempt(id, 1, a.Server, Error, 20)
	if findAction(actions, ActionSend) != nil || findAction(actions, ActionFail) == nil && len(r.balancer.pending) == 0 {
		t.Errorf("a guarded repeat went out after its time: %+v", actions)
	}
}

func TestDrainingAndRemovedServersGetNoRequests(t *testing.T) {
	r := newTestAgent(t, testSettings(), 2)
	r.updateList(UpdateDelta, Endpoint{Server: addr(0), Status: Draining, Weight: 1})
	for key := range uint64(20) {
		id, s := r.mustSend(0, key+1)
		if s == addr(0) {
			t.Fatal("sent to a draining server")
		}
		r.endAttempt(id, 0, s, OK, 20)
	}
	r.updateList(UpdateFull, Endpoint{Server: addr(0), Status: Ready, Weight: 1})
	for key := range uint64(20) {
		id, s := r.mustSend(0, key+1)
		if s == addr(1) {
			t.Fatal("sent to a server that left the list")
		}
		r.endAttempt(id, 0, s, OK, 20)
	}
}

func TestRequestWithoutServersIsRejectedInTime(t *testing.T) {
	r := newTestAgent(t, testSettings(), 0)
	id, actions := r.request(1, 1)
	for range 130 {
		if a := findAction(actions, ActionReject); a != nil {
			if a.Request != id {
				t.Fatalf("refused %d, want %d", a.Request, id)
			}
			return
		}
		actions = r.fireTimer(10)
	}
	t.Error("a request with an empty list was never answered")
}

// A cold server gets no more than its share by ramp, even after a quiet time.
func TestSlowStartLimitsAServersShare(t *testing.T) {
	r := newTestAgent(t, testSettings(), 5)
	r.updateList(UpdateDelta, Endpoint{Server: addr(4), Status: Ready, Weight: 1, StartedMs: r.now - 10})
	got, all := 0, 2000
	for range all {
		r.now++
		id, s := r.mustSend(0, uint64(r.balancer.rng.Int64()))
		if s == addr(4) {
			got++
		}
		r.endAttempt(id, 0, s, OK, 20)
	}
	even, ramp := float64(all)/5, (0.2+0.36)/2
	if share := even * ramp; float64(got) > 1.2*share || float64(got) < 0.4*share {
		t.Errorf("a cold server got %d of %d sends; its share by its ramp is %.0f", got, all, share)
	}
}

// A day with one agent and four servers: the first answers were quick (a few hot
// keys), and what came after counted as crowded at one attempt a server, for good.
func TestLoneAgentRaisesTheLatencyBaseline(t *testing.T) {
	for _, agents := range []int{1, 5} {
		set := testSettings()
		set.AgentCount = agents
		r := newTestAgent(t, set, 4)
		for i := range 2500 {
			rtt := 20.0
			if i > 100 {
				rtt = 60
			}
			id, s := r.mustSend(0, uint64(r.balancer.rng.Int64()))
			r.now += rtt
			r.endAttempt(id, 0, s, OK, rtt)
		}
		if grown := r.balancer.latency.baseline > 0.15; grown != (agents == 1) {
			t.Errorf("%d agents: after 2400 answers in 0.2 of the aim, one at a time, calm is %.3f", agents, r.balancer.latency.baseline)
		}
	}
}

// Few agents see most of the load: what answers well within the aim is not crowded,
// however low calm was taken. Cold servers are slower before they are.
func TestOverloadLatencyFallsWithTheNumberOfAgents(t *testing.T) {
	limit := func(agents int, calm float64) float64 {
		set := testSettings()
		set.AgentCount = agents
		r := newTestAgent(t, set, 1)
		r.balancer.latency.baseline = calm
		return r.balancer.overloadLatency(r.balancer.serverByAddr[addr(0)])
	}
	if one, many := limit(1, 0.01), limit(20, 0.01); one < 0.3 || many > 0.1 {
		t.Errorf("least limits: %.2f for one agent, want about a third; %.2f for twenty, want little", one, many)
	}
	if l := limit(1, 0.9); l != overloadTargetShare {
		t.Errorf("limit %.2f with a high calm, want %.2f", l, overloadTargetShare)
	}
	r := newTestAgent(t, testSettings(), 1)
	r.updateList(UpdateDelta, Endpoint{Server: addr(1), Status: Ready, Weight: 1, StartedMs: r.now})
	r.balancer.latency.baseline = 0.2
	if cold, warm := r.balancer.overloadLatency(r.balancer.serverByAddr[addr(1)]), r.balancer.overloadLatency(r.balancer.serverByAddr[addr(0)]); cold < 2*warm {
		t.Errorf("limit %.2f of a cold server, %.2f of a warm one", cold, warm)
	}
}

// id08146: agents restarted one by one while the fleet was crowded.
func TestOverloadAtTheStartIsNotTheBaseline(t *testing.T) {
	r := newTestAgent(t, testSettings(), 4)
	for range baselineResponses {
		id, s := r.mustSend(0, uint64(r.balancer.rng.Int64()))
		r.now += 270
		r.endAttempt(id, 0, s, OK, 270)
	}
	if r.balancer.latency.baseline > overloadTargetShare/2 {
		t.Errorf("answers in 0.9 of the aim were taken for calm: %.2f", r.balancer.latency.baseline)
	}
}

// i5d0607: a zone was lost and only cold servers were left.
func TestWarmingUpServersServeWhenWarmOnesFail(t *testing.T) {
	r := newTestAgent(t, testSettings(), 2)
	for range 200 {
		r.now += 10
		id, s := r.mustSend(0, uint64(r.balancer.rng.Int64()))
		r.endAttempt(id, 0, s, OK, 20)
	}
	r.updateList(UpdateDelta, Endpoint{Server: addr(2), Status: Ready, Weight: 1, StartedMs: r.now})
	r.balancer.serverByAddr[addr(2)].lastSentAt = 0
	for i := range 2 {
		r.balancer.eject(r.balancer.serverByAddr[addr(i)], true)
	}
	if _, s := r.mustSend(0, 9); s != addr(2) {
		t.Errorf("sent to %v, want the cold server", s)
	}
}

// i958eff: servers came back from silence cold, before the list told.
func TestServerBackFromATimeoutIsInSlowStart(t *testing.T) {
	r := newTestAgent(t, testSettings(), 3)
	id, s := r.mustSend(0, 9)
	r.endAttempt(id, 0, s, ConnectFailed, 100)
	r.now += r.balancer.settings.Contract.CollapseAfterMs + 500
	for key := uint64(9); ; key++ {
		id, to := r.mustSend(0, 9)
		r.now += 20
		r.endAttempt(id, 0, to, OK, 20)
		if to == s {
			break
		}
		if key > 50 {
			t.Fatal("the silent server was never checked again")
		}
	}
	if srv := r.balancer.serverByAddr[s]; r.balancer.slowStartFactor(srv) >= 0.5 {
		t.Errorf("a server back from silence is taken for warm: ramp %.2f", r.balancer.slowStartFactor(srv))
	}
}

// Hung servers stay Connected in the source's scheme; silence demotes them.
func TestHungServerIsEjected(t *testing.T) {
	r := newTestAgent(t, testSettings(), 4)
	for range 200 { // learn what an answer takes
		id, s := r.mustSend(0, uint64(r.balancer.rng.Int64()))
		r.now += 10
		r.endAttempt(id, 0, s, OK, 10)
	}
	_, s := r.mustSend(0, 9)
	for range 30 {
		if r.fireTimer(10); r.balancer.serverByAddr[s].state == Unhealthy {
			return
		}
	}
	t.Error("a server that answers nothing for 300 ms was not demoted")
}

// South's rough days: a server that failed often rests long while others can take
// its requests, but is tried again at once while they are full.
func TestFailingServerIsValidatedAtOnceWhileOthersLackCapacity(t *testing.T) {
	for _, full := range []bool{false, true} {
		r := newTestAgent(t, testSettings(), 4)
		bad := r.balancer.serverByAddr[addr(0)]
		bad.failureRate = 1
		for range 3 {
			r.balancer.transition(bad, Connected)
			r.balancer.eject(bad, false)
		}
		if full {
			for range 40 { // more than the other windows hold
				r.request(0, 0)
			}
		}
		r.now += r.balancer.minLatencyTarget + 1
		r.request(0, 0)
		if tried := bad.state == UnhealthyPending; tried != full {
			t.Errorf("others full: %v; failing server tried after one aim: %v", full, tried)
		}
	}
}

// Kyushu's and south's failing servers: what must not run twice would be lost on a
// server that is only being checked.
func TestNonIdempotentRequestsValidateNoServer(t *testing.T) {
	r := newTestAgent(t, testSettings(), 4)
	bad := r.balancer.serverByAddr[addr(0)]
	r.balancer.transition(bad, UnhealthyPending)
	bad.failureRate = 1
	free, once := 0, 0
	for range 200 {
		r.now += 10
		for class, n := range []*int{&free, &once} {
			id, s := r.mustSend(class, uint64(r.balancer.rng.Int64()))
			if s == bad.addr {
				*n++
			}
			r.endAttempt(id, 0, s, OK, 5)
			r.balancer.transition(bad, UnhealthyPending)
			bad.failureRate = 1
		}
	}
	if free == 0 || once > 0 {
		t.Errorf("a pending server was checked by %d free and %d single shot requests; want some and none", free, once)
	}
}

// i8d4be0, ifafc7b: held requests that wait for their key's servers must not
// keep others from servers that have room.
func TestAffinityWaitBlocksNoOtherRequest(t *testing.T) {
	r := newTestAgent(t, testSettings(), 6)
	for range 30 {
		r.request(0, 42) // one key: fills its two servers, the rest are held
	}
	if len(r.balancer.pending) == 0 {
		t.Fatal("nothing is held; the test does not test what it says")
	}
	free := 0
	for key := uint64(100); key < 140; key++ {
		if _, actions := r.request(0, key); findAction(actions, ActionSend) != nil {
			free++
		}
	}
	if free == 0 {
		t.Error("requests for idle servers were held behind a crowded key")
	}
}

func TestConcurrencyLimitShrinksUnderOverload(t *testing.T) {
	set := testSettings()
	set.AgentCount = 20 // many, as on ie9df20: each sees little of the load
	r := newTestAgent(t, set, 1)
	srv := r.balancer.servers[0]
	for range 300 { // long enough to know the calm answer time
		id, s := r.mustSend(0, 1)
		r.now += 20
		r.endAttempt(id, 0, s, OK, 20)
	}
	grown := srv.concurrencyLimit
	for range 200 {
		if id, actions := r.request(0, 1); findAction(actions, ActionSend) != nil {
			r.now += 140
			r.endAttempt(id, 0, srv.addr, OK, 140)
		}
		r.now += 10
	}
	if srv.concurrencyLimit >= grown {
		t.Errorf("answers took seven times as long and the window went from %.2f to %.2f", grown, srv.concurrencyLimit)
	}
	// ie9df20: with many agents one attempt of each keeps a tipped server busy.
	if srv.concurrencyLimit >= 1 {
		t.Errorf("a tipped server is not left to rest: window %.2f", srv.concurrencyLimit)
	}
}

// The client's retry of a hopeless request is judged by the client's time.
func TestRetryIsJudgedByTheClientsFirstAttempt(t *testing.T) {
	r := newTestAgent(t, testSettings(), 1)
	id, s := r.mustSend(0, 5)
	r.now += 200
	r.handle(Event{Kind: EventClientGone, Request: id})
	r.endAttempt(id, 0, s, Cancelled, 200)
	r.lastID++
	r.handle(Event{Kind: EventRequest, Request: r.lastID, Class: 0, Key: 5, RemainingMs: 600, IsRetry: true})
	if q := r.balancer.requests[r.lastID]; q == nil || q.targetAt-r.now > 101 {
		t.Error("a retry was given the whole aim again")
	}
}

func TestWatchIsRetriedWithinTheDeadline(t *testing.T) {
	set := testSettings()
	set.Membership = "on_request"
	b, err := New(set, 3)
	if err != nil {
		t.Fatal(err)
	}
	first := findAction(b.Start(0, nil), ActionTimer)
	if first == nil || first.DurationMs > set.Contract.DiscoveryDeadlineMs {
		t.Fatalf("no subscription within the contract's time: %+v", first)
	}
	if findAction(b.Handle(first.DurationMs, &Event{Kind: EventTimer, Token: first.Token}, nil), ActionWatch) == nil {
		t.Fatal("the timer did not subscribe")
	}
	for range 8 {
		again := findAction(b.Handle(first.DurationMs, &Event{Kind: EventDiscovery, Update: UpdateFailed}, nil), ActionTimer)
		if again == nil || again.DurationMs > set.Contract.DiscoveryDeadlineMs {
			t.Fatalf("a failed call was not repeated in the contract's time: %+v", again)
		}
	}
}

func TestInvalidSettings(t *testing.T) {
	for key, spoil := range map[string]func(*Settings){
		"classes":             func(s *Settings) { s.Classes = nil },
		"classes[0].aimMs":    func(s *Settings) { s.Classes[0].LatencyTargetMs = math.NaN() },
		"classes[1].giveUpMs": func(s *Settings) { s.Classes[1].ClientTimeoutMs = -1 },
		"classes[0].effect":   func(s *Settings) { s.Classes[0].Idempotency = "maybe" },
		"classes[2].group":    func(s *Settings) { s.Classes[2].DedupScope = "moon" },
		"contract.coldMs":     func(s *Settings) { s.Contract.SlowStartMs = -5 },
		"membershipMode":      func(s *Settings) { s.Membership = "" },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !contains(err.Error(), key) {
			t.Errorf("spoilt %s: error %v does not name it", key, err)
		}
	}
}

func contains(s, part string) bool {
	for i := 0; i+len(part) <= len(s); i++ {
		if s[i:i+len(part)] == part {
			return true
		}
	}
	return false
}

func ExampleBalancer() {
	settings := Settings{
		Classes:    []Class{{Name: "read", LatencyTargetMs: 200, ClientTimeoutMs: 800, Idempotency: Idempotent, Value: 1}},
		Limits:     Limits{MaxAttempts: 3},
		Membership: "pushed",
		RoundMs:    5,
	}
	b, err := New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000.0
	b.Start(now, nil)
	list := []Endpoint{{Server: Addr{10, 0, 0, 1, 0x1f, 0x90}, Status: Ready, Weight: 1}}
	b.Handle(now, &Event{Kind: EventDiscovery, Update: UpdateFull, Endpoints: list}, nil)
	for _, a := range b.Handle(now, &Event{Kind: EventRequest, Request: 1, Key: 7, RemainingMs: 800}, nil) {
		if a.Kind == ActionSend {
			fmt.Println("send request", a.Request, "to", a.Server)
		}
	}
	// Output: send request 1 to [10 0 0 1 31 144]
}

// i452d3e: windows that grew before calm was known crowded the servers, and the
// crowded time became the measure of calm.
func TestConcurrencyStaysUntilTheBaselineIsKnown(t *testing.T) {
	r := newTestAgent(t, testSettings(), 2)
	for range baselineResponses - 1 {
		id, s := r.mustSend(0, r.balancer.rng.Uint64())
		r.now += 20
		r.endAttempt(id, 0, s, OK, 20)
		if w := r.balancer.serverByAddr[s].concurrencyLimit; w > initialConcurrency {
			t.Fatalf("window %.2f after %.0f answers", w, r.balancer.latency.responses)
		}
	}
	var ids []RequestID
	var tos []Addr
	for range 40 {
		ids, tos = ids[:0], tos[:0]
		for range 3 {
			if id, actions := r.request(0, r.balancer.rng.Uint64()); findAction(actions, ActionSend) != nil {
				ids, tos = append(ids, id), append(tos, findAction(actions, ActionSend).Server)
			}
		}
		r.now += 20
		for i := range ids {
			r.endAttempt(ids[i], 0, tos[i], OK, 20)
		}
	}
	if w := max(r.balancer.servers[0].concurrencyLimit, r.balancer.servers[1].concurrencyLimit); w <= initialConcurrency {
		t.Errorf("no window grew once calm was known: %.2f", w)
	}
}

// i7e1314: the class of least worth was starved though the worst class counts.
func TestWorstClassRanksHigherAmongPending(t *testing.T) {
	set := testSettings()
	set.Objective = Objective{Overall: 0.5, WorstClass: 0.5}
	r := newTestAgent(t, set, 2)
	once, free := &request{class: 1, targetAt: r.now + 500}, &request{class: 0, targetAt: r.now + 500}
	for range 500 { // of class 1 all are served, of class 0 none
		r.balancer.mix.countClass(r.balancer.settings.Classes, 0)
		r.balancer.mix.countClass(r.balancer.settings.Classes, 1)
		r.balancer.mix.classOnTime[1] += 1 - mixDecay
	}
	with := r.balancer.valueOf(free) / r.balancer.valueOf(once)
	r.balancer.mix.worstClass = 1
	if without := r.balancer.valueOf(free) / r.balancer.valueOf(once); with <= without {
		t.Errorf("the starved class weighs %.2f, when served well %.2f", with, without)
	}
}

// Crossing zones costs time and a price: of many keys more stay in the own zone
// than its servers' part, and still most other servers are used.
func TestOwnZoneIsPreferred(t *testing.T) {
	r := newTestAgent(t, testSettings(), 6) // zones 0 and 1 in turn; this agent is in 0
	own, used, all := 0, map[Addr]bool{}, 600
	for key := range uint64(all) {
		id, s := r.mustSend(0, mixBits(key+1))
		r.endAttempt(id, 0, s, OK, 20)
		used[s] = true
		if r.balancer.serverByAddr[s].zone == 0 {
			own++
		}
	}
	if share := float64(own) / float64(all); share < 0.53 || share > 0.68 || len(used) != 6 {
		t.Errorf("own zone got %.2f of the keys over %d servers, want about 0.6 over 6", share, len(used))
	}
}

// A started stream belongs to the client: nothing more is sent or answered for it.
func TestStartedStreamBelongsToTheClient(t *testing.T) {
	set := testSettings()
	set.Classes[0].Streaming = true
	r := newTestAgent(t, set, 4)
	id, s := r.mustSend(0, 3)
	r.now += 30
	r.handle(Event{Kind: EventStreamStarted, Request: id, Attempt: 0, Server: s, LatencyMs: 30})
	for range 200 {
		for _, a := range r.fireTimer(10) {
			if a.Request == id && a.Kind != ActionTimer {
				t.Fatalf("action %+v for a request whose answer streams", a)
			}
		}
	}
	actions := r.handle(Event{Kind: EventAttemptEnded, Request: id, Attempt: 0, Server: s, Status: Reset, LatencyMs: 2000, Final: true})
	if findAction(actions, ActionSend) != nil || findAction(actions, ActionFail) != nil || len(r.balancer.requests) != 0 {
		t.Errorf("a stream that broke: %+v, %d requests kept", actions, len(r.balancer.requests))
	}
}

// ifa9784: in a crowd most attempts were turned away, and counting them as flow gave a
// cold server many times its share. A request counts once, however often it is sent.
func TestSlowStartCreditAccruesByRequestNotByAttempt(t *testing.T) {
	r := newTestAgent(t, testSettings(), 4)
	r.updateList(UpdateDelta, Endpoint{Server: addr(4), Status: Ready, Weight: 1, StartedMs: r.now})
	cold := r.balancer.serverByAddr[addr(4)]
	const asked = 10
	attempts := 0
	for range asked {
		r.now += 5
		cold.slowStartCredit = 0
		id, actions := r.request(1, r.balancer.rng.Uint64())
		for try := 0; ; try++ {
			a := findAction(actions, ActionSend)
			if a == nil {
				break
			}
			attempts++
			actions = r.endAttempt(id, try, a.Server, Rejected, 1)
		}
		if share := r.balancer.slowStartFactor(cold) / r.balancer.currentCapacity(); cold.slowStartCredit > share+1e-9 {
			t.Fatalf("credit %.3f for one request, its share is %.3f", cold.slowStartCredit, share)
		}
	}
	if attempts <= asked {
		t.Fatalf("%d attempts for %d requests", attempts, asked)
	}
}

// newLoadedAgent is an agent whose probes have all found the utilization on its ten servers.
func newLoadedAgent(t *testing.T, util float32) *testAgent {
	set := testSettings()
	set.Limits.AllowProbes = true
	set.LoadReport = LoadReport{Mode: "on_probe", Metrics: []string{"inflight", "util"}}
	r := newTestAgent(t, set, 10)
	for range 1000 {
		r.now += 20
		id, actions := r.request(1, r.balancer.rng.Uint64())
		if a := findAction(actions, ActionSend); a != nil {
			r.endAttempt(id, 0, a.Server, OK, 20)
		}
		if a := findAction(actions, ActionProbe); a != nil {
			r.handle(Event{Kind: EventProbeEnded, Server: a.Server, Status: OK, LatencyMs: 1, LoadReport: []float32{1, util}})
		}
	}
	return r
}

// countRejected asks so often, serves all that is sent at once, and counts refusals.
func (r *testAgent) countRejected(n int) (refused int) {
	for range n {
		r.now += 0.1
		id, actions := r.request(1, r.balancer.rng.Uint64())
		if findAction(actions, ActionReject) != nil {
			refused++
		} else if a := findAction(actions, ActionSend); a != nil {
			r.endAttempt(id, 0, a.Server, OK, 20)
		}
	}
	return refused
}

// On a day on which six in ten servers were replaced the agents went on sending all they
// had to those left, which tipped before any agent had seen one late answer there.
func TestAdmissionFollowsTheListedCapacity(t *testing.T) {
	for _, c := range []struct {
		name        string
		util        float32
		gone        int
		least, most int
	}{
		{"room for all", 0.5, 0, 0, 0},
		{"room after a small loss", 0.5, 2, 0, 0},
		{"more than half lost", 0.5, 6, 300, 750},
		{"full whatever is refused", 1, 0, 200, 800},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newLoadedAgent(t, c.util)
			for i := range c.gone {
				r.updateList(UpdateDelta, Endpoint{Server: addr(i), Status: Removed})
			}
			if got := r.countRejected(1000); got < c.least || got > c.most {
				t.Errorf("%d of 1000 refused, want %d to %d", got, c.least, c.most)
			}
		})
	}
}

// One hot server, met first, is not taken for a fleet without room.
func TestOneOverloadedServerIsNoOverloadedFleet(t *testing.T) {
	r := newLoadedAgent(t, 0)
	r.balancer.admission.samples, r.balancer.admission.demand = 0, 0
	r.balancer.recordUtilization(r.balancer.servers[0], []float32{3, 1})
	if got := r.countRejected(1000); got > 0 {
		t.Errorf("%d of 1000 refused", got)
	}
}

// zone+mass: one of eight servers was slow and had a long queue, the others were at six
// tenths, and 6.4 of 100 requests were refused for want of room.
func TestFewSlowServersAreNoLackOfCapacity(t *testing.T) {
	set := testSettings()
	set.Limits.AllowProbes = true
	set.LoadReport = LoadReport{Mode: "on_probe", Metrics: []string{"inflight", "util"}}
	r := newTestAgent(t, set, 200)
	r.balancer.admission.admittedShare = 1
	admitted := 0.0
	for i := range 1000 {
		s, report := r.balancer.servers[1+i%7], []float32{1, 0.6}
		if i%8 == 0 {
			s, report = r.balancer.servers[0], []float32{60, 1}
		}
		r.balancer.recordUtilization(s, report)
		admitted += r.balancer.admissionShare() / 1000
	}
	if admitted < 0.99 {
		t.Errorf("%.3f of the requests are admitted, want all", admitted)
	}
	for i := range 100 { // where most have such queues there is none
		r.balancer.recordUtilization(r.balancer.servers[i], []float32{60, 1})
	}
	if got := r.balancer.admissionShare(); got > 0.5 {
		t.Errorf("%.2f of the requests are admitted to a full fleet, want half at most", got)
	}
}

// ia9314f: one key drew a tenth of the traffic and one server got all of it, as no agent
// had more than one of its requests in flight. Other keys keep to few servers.
func TestPopularKeyIsSpreadByItsShare(t *testing.T) {
	r := newTestAgent(t, testSettings(), 20)
	r.splitKeys = true
	popular, rare := map[Addr]bool{}, map[Addr]bool{}
	for i := range 4000 {
		r.now += 20
		key := 1000 + r.balancer.rng.Uint64N(1000)
		if i%5 == 0 {
			key = 7
		} else if i%100 == 1 {
			key = 8
		}
		id, s := r.mustSend(0, key)
		r.endAttempt(id, 0, s, OK, 10)
		switch key {
		case 7:
			popular[s] = true
		case 8:
			rare[s] = true
		}
	}
	if len(popular) < 8 || len(rare) > 5 {
		t.Errorf("a fifth of all requests went to %d servers, a hundredth to %d", len(popular), len(rare))
	}
}

// ia9314f, ifa9784: where nothing is served, further attempts only multiply the load.
func TestRetryBudgetIsEarnedByServedRequests(t *testing.T) {
	for _, served := range []bool{true, false} {
		r := newTestAgent(t, testSettings(), 8)
		further := 0
		for i := range 100 {
			r.now += 500
			r.balancer.admission.ended = 0 // nothing is shed
			id, s := r.mustSend(0, r.balancer.rng.Uint64())
			if served && i%5 > 0 {
				r.endAttempt(id, 0, s, OK, 10)
				continue
			}
			for try := 0; ; try++ {
				a := findAction(r.endAttempt(id, try, s, Rejected, 1), ActionSend)
				if a == nil {
					break
				}
				s, further = a.Server, further+1
			}
		}
		if served && further < 15 || !served && further > int(retryBudgetMax) {
			t.Errorf("four of five served: %v; %d further attempts", served, further)
		}
	}
}

// Seen on a busy day elsewhere: 3.5 probes a request, as a crowded server turns probes away too
// and each request sent the next.
func TestProbesAreFewerThanRequests(t *testing.T) {
	set := testSettings()
	set.Limits.AllowProbes = true
	r := newTestAgent(t, set, 6)
	for i := range 4 {
		r.balancer.eject(r.balancer.serverByAddr[addr(i)], true)
	}
	probes := 0
	for range 200 {
		r.now += 50
		id, actions := r.request(0, r.balancer.rng.Uint64())
		sent := findAction(actions, ActionSend)
		for _, a := range actions {
			if a.Kind == ActionProbe {
				probes++
				r.handle(Event{Kind: EventProbeEnded, Server: a.Server, Status: Rejected, LatencyMs: 1})
			}
		}
		if sent != nil {
			r.endAttempt(id, 0, sent.Server, Rejected, 1)
		}
	}
	if probes == 0 || probes > 30 {
		t.Errorf("%d probes in 200 requests", probes)
	}
}

// Seen at other deployments: crowded servers work for clients that have left, and
// each refusal brings a retry. Errors are no crowd, nor is what finds no room here.
func TestLoadIsShedWhileAnswersAreLate(t *testing.T) {
	for _, c := range []struct {
		end  Status
		rtt  float64
		want bool
	}{{OK, 20, false}, {OK, 500, true}, {Rejected, 1, true}, {Timeout, 600, true}, {Error, 5, false}} {
		set := testSettings()
		set.Limits.MaxAttempts = 1
		r := newTestAgent(t, set, 6)
		refused := 0
		for range 200 {
			r.now += 500
			id, actions := r.request(0, r.balancer.rng.Uint64())
			if a := findAction(actions, ActionSend); a != nil {
				r.now += c.rtt
				r.endAttempt(id, 0, a.Server, c.end, c.rtt)
			} else if findAction(actions, ActionReject) != nil {
				refused++
			}
		}
		if c.want && (refused < 100 || refused > 170) || !c.want && refused > 0 {
			t.Errorf("all end with %d after %.0f ms: %d of 200 refused", c.end, c.rtt, refused)
		}
	}
}

// Seen on a busy day: an agent that meets a server twice a minute cannot follow its
// crowd by window. One that was full, late or reports far more than the mean is passed
// over for about a turn, and where most of the tier would be, none is.
func TestOverloadedServerIsPaused(t *testing.T) {
	for _, c := range []struct {
		crowd  string
		passed bool
	}{{"calm", false}, {"full", true}, {"late", true}, {"reported", true}, {"all", false}} {
		set := testSettings()
		set.LoadReport = LoadReport{Mode: "inline", Metrics: []string{"eps", "inflight"}}
		r := newTestAgent(t, set, 6)
		for range 40 {
			r.now += 500
			id, s := r.mustSend(0, r.balancer.rng.Uint64())
			r.handle(Event{Kind: EventAttemptEnded, Request: id, Server: s, Status: OK, LatencyMs: 20, Final: true,
				LoadReport: []float32{0, 2}})
		}
		id, s := r.mustSend(0, 7)
		ev := Event{Kind: EventAttemptEnded, Request: id, Server: s, Status: OK, LatencyMs: 20, Final: true}
		switch c.crowd {
		case "full":
			ev.Status, ev.Final = Rejected, false
		case "late":
			ev.LatencyMs = 400
		case "reported":
			ev.LoadReport = []float32{0, 40}
		case "all":
			ev.LatencyMs = 400
			for i := range 6 {
				r.balancer.serverByAddr[addr(i)].pausedUntil = r.now + 5000
			}
		}
		r.now += ev.LatencyMs
		r.handle(ev)
		r.balancer.serverByAddr[s].concurrencyLimit = 9
		if _, again := r.mustSend(0, 7); (again != s) != c.passed {
			t.Errorf("%s: the key's next request went to %v after %v", c.crowd, again, s)
		}
	}
}

// Reports may be nonsense; none of it reaches a decision.
func TestInvalidLoadReportsAreNoOverload(t *testing.T) {
	set := testSettings()
	set.LoadReport = LoadReport{Mode: "inline", Metrics: []string{"inflight"}}
	r := newTestAgent(t, set, 3)
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, report := range [][]float32{nil, {nan}, {inf}, {-inf}, {-3}} {
		if s := r.balancer.servers[0]; r.balancer.reportsOverload(s, report) || r.balancer.meanReported != 0 {
			t.Errorf("report %v: taken for a crowd, or the mean is %v", report, r.balancer.meanReported)
		}
	}
}

// ia9314f: of a thousand agents none earned a whole request for a new server, and the new
// half of the fleet stood idle until it was warm.
func TestManySmallAgentsWarmUpAServer(t *testing.T) {
	cold, all := 0, 0
	for seed := range uint64(200) {
		r := newTestAgent(t, testSettings(), 19)
		b, err := New(testSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		entries := make([]Endpoint, 20)
		for i := range entries {
			entries[i] = Endpoint{Server: addr(i), Status: Ready, Weight: 1}
		}
		r.balancer = b
		r.updateList(UpdateFull, entries...)
		entries[19].StartedMs = r.now - 2000
		r.updateList(UpdateFull, entries...)
		for range 20 {
			r.now += 100
			id, s := r.mustSend(0, r.balancer.rng.Uint64())
			if all++; s == addr(19) {
				cold++
			}
			r.endAttempt(id, 0, s, OK, 20)
		}
	}
	if even := all / 20; cold < even/20 || cold > even {
		t.Errorf("a cold server got %d of %d requests, where an even share is %d", cold, all, even)
	}
}

// Seen at another deployment: crossing has a price, but one hall has more traffic than its servers
// carry. A fixed weight by the price gained on some days and lost on others.
func TestLocalWeightGrowsWhileTheZoneIsOnTime(t *testing.T) {
	weight := func(price, rtt float64) float64 {
		set := testSettings()
		set.Prices.CrossZone = price
		r := newTestAgent(t, set, 6)
		for range 400 {
			r.now += 500
			id, actions := r.request(0, r.balancer.rng.Uint64())
			if a := findAction(actions, ActionSend); a != nil {
				r.now += rtt
				r.endAttempt(id, 0, a.Server, OK, rtt)
			}
		}
		return r.balancer.localWeight
	}
	if w := weight(0.1, 20); w < 4 {
		t.Errorf("own zone in time: weight %.1f, want much", w)
	}
	for _, w := range []float64{weight(0.1, 500), weight(0, 20)} {
		if w != localWeightMin {
			t.Errorf("own zone late, or crossing free: weight %.1f, want the least", w)
		}
	}
}

// A refusal tells the client that trying again is harmless: past the window in which
// repeats are dropped it is not.
func TestDeduplicatedRequestIsRejectedOnlyWithinItsWindow(t *testing.T) {
	for _, c := range []struct {
		after float64
		want  ActionKind
	}{{100, ActionReject}, {550, ActionFail}} {
		set := testSettings()
		set.Classes[2].DedupScope, set.Limits.MaxAttempts = DedupEverywhere, 1
		r := newTestAgent(t, set, 4)
		id, s := r.mustSend(2, 5)
		r.now += c.after
		if actions := r.endAttempt(id, 0, s, Error, c.after); findAction(actions, c.want) == nil {
			t.Errorf("failed after %.0f of 500 ms: %+v", c.after, actions)
		}
	}
}

// Numbers that are none reach no decision: every request is still sent and ended.
func TestInvalidNumbersReachNoDecision(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64} {
		r := newTestAgent(t, testSettings(), 3)
		r.updateList(UpdateFull, Endpoint{Server: addr(0), Status: Ready, Weight: x, StartedMs: x},
			Endpoint{Server: addr(1), Status: Ready, Weight: 1, StartedMs: -x})
		id, s := r.mustSend(0, 7)
		r.handle(Event{Kind: EventAttemptEnded, Request: id, Server: s, Status: OK, LatencyMs: x, Final: true})
		r.handle(Event{Kind: EventRequest, Request: 99, RemainingMs: x, WorkHintMs: x, HasWorkHint: true, Attempt: -1})
		r.handle(Event{Kind: EventAttemptEnded, Request: 99, Attempt: -1, Server: s, Status: OK})
		for _, srv := range r.balancer.servers {
			if w := r.balancer.rendezvousScore(&request{hashKey: 3}, srv); math.IsNaN(w) || math.IsNaN(srv.latency) || srv.assumedStartAt > r.now {
				t.Errorf("%v: server %v has score %v, time %v, start %v", x, srv.addr, w, srv.latency, srv.assumedStartAt)
			}
		}
	}
}

// A trace of a day on which connections broke and answers came spoilt, one of twelve from
// any server alike: each put its server out for an aim and more, and a quarter of the
// requests was refused for want of servers. Such a failure costs no capacity; more of
// them than happen to others does.
func TestToleratedFailuresEjectNoServer(t *testing.T) {
	r := newTestAgent(t, testSettings(), 4)
	refused, n := 0, 0
	for range 600 {
		r.now += 10
		id, s := r.mustSend(0, uint64(r.balancer.rng.Int64()))
		status := OK
		if n++; n%12 == 0 {
			status = Reset
		}
		for _, a := range r.endAttempt(id, 0, s, status, 5) {
			switch a.Kind {
			case ActionReject, ActionFail:
				refused++
			case ActionSend:
				r.endAttempt(id, 1, a.Server, OK, 5)
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d of 600 refused", refused)
	}
	for _, s := range r.balancer.servers {
		if s.ejections > 2 || !r.balancer.toleratesFailures(s) { // chance may put one out now and then
			t.Errorf("a server that fails as all do has %d strikes", s.ejections)
		}
	}
	bad := r.balancer.servers[0]
	r.balancer.saturated = false
	for range 4 {
		r.balancer.recordFailureRate(bad, 1)
		r.balancer.transition(bad, Connected)
		r.balancer.eject(bad, false)
	}
	if r.balancer.ejectionTime(bad) < r.balancer.minLatencyTarget {
		t.Error("a server that fails each time is not put out")
	}
}

// A trace of a day on which some connections fell silent: the one attempt that hung kept
// its server out until it ended, although it answered all others.
func TestOneHangingAttemptExcludesNoServer(t *testing.T) {
	r := newTestAgent(t, testSettings(), 1)
	srv := r.balancer.serverByAddr[addr(0)]
	hangs, s := r.mustSend(0, 7)
	id, _ := r.mustSend(1, 7) // which does not go again
	r.endAttempt(id, 0, s, Error, 5)
	if srv.state != Unhealthy || r.balancer.requests[hangs] == nil {
		t.Fatalf("state %d", srv.state)
	}
	r.now += 5
	if _, to := r.mustSend(0, 7); to != s || srv.state != UnhealthyPending {
		t.Errorf("not used again while an attempt hangs: state %d", srv.state)
	}
}

// A request of which nothing was sent is refused before half of its time is gone: from
// then on the client counts the wait as worse. One that reached a server may go on.
func TestUnsentRequestIsRejectedBeforeHalfItsTime(t *testing.T) {
	for _, reached := range []bool{false, true} {
		set := testSettings()
		set.Classes[0].LatencyTargetMs = 900 // which it is not too late for by then
		r := newTestAgent(t, set, 1)
		srv := r.balancer.serverByAddr[addr(0)]
		srv.concurrencyLimit = 1
		if reached {
			id, s := r.mustSend(0, 7)
			r.endAttempt(id, 0, s, Rejected, 1)
		}
		srv.ready = false // no room for anyone
		id, actions := r.request(0, 7)
		if findAction(actions, ActionSend) != nil {
			t.Fatal("sent to a server that is not usable")
		}
		q := r.balancer.requests[id]
		q.reachedServer = reached
		half := (q.deadline - q.arrivedAt) / 2
		ended := math.Inf(1)
		for from := r.now; r.now < q.deadline && math.IsInf(ended, 1); {
			for _, a := range r.fireTimer(5) {
				if a.Request == id && (a.Kind == ActionReject || a.Kind == ActionFail) {
					ended = r.now - from
				}
			}
		}
		if (ended < half) == reached {
			t.Errorf("reached a server: %v; ended after %v ms of %v", reached, ended, 2*half)
		}
	}
}

// On a day of 80 agents each met a server that failed fast every few seconds, had it back
// Connected by a probe, which such a server answers, and sent it the next request.
func TestEjectionLastsATurnOfARareAgent(t *testing.T) {
	set := testSettings()
	set.Limits.AllowProbes = true
	r := newTestAgent(t, set, 10)
	bad, turns, probes := addr(0), 0, 0
	const asked = 400
	for range asked {
		r.now += 200
		id, actions := r.request(0, 0)
		for try := 0; ; try++ {
			if p := findAction(actions, ActionProbe); p != nil {
				probes++
				r.handle(Event{Kind: EventProbeEnded, Server: p.Server, Status: OK, LatencyMs: 1})
			}
			a := findAction(actions, ActionSend)
			if a == nil {
				break
			}
			status := OK
			if a.Server == bad {
				status, turns = Error, turns+1
			}
			actions = r.endAttempt(id, try, a.Server, status, 20)
		}
	}
	if even := asked / 10; turns == 0 || turns > even/2 {
		t.Errorf("a server that always fails got %d attempts, an even share is %d", turns, even)
	}
	if probes > 0 {
		t.Errorf("%d probes of a server that answers", probes)
	}
}

// While a zone is suspected the servers that bear its load are sampled, not the lost ones:
// their probes run out, and the load was known too late to be refused.
func TestSuspectedServersAreNoLoadSample(t *testing.T) {
	set := testSettings()
	set.Limits.AllowProbes = true
	set.LoadReport = LoadReport{Mode: "on_probe", Metrics: []string{"inflight", "util"}}
	r := newTestAgent(t, set, 10)
	for i, s := range r.balancer.servers {
		if s.zoneSuspected = i%3 > 0; s.zoneSuspected {
			s.timedOut = true
			r.balancer.transition(s, UnhealthyPending)
		}
	}
	sampled := 0
	for range 400 {
		r.balancer.probes.tokens, r.balancer.probes.validationTurn = 1, true
		r.balancer.sampleLoad()
		for _, s := range r.balancer.servers {
			if s.probing {
				if sampled++; s.zoneSuspected {
					t.Fatal("a suspected server is sampled")
				}
				r.handle(Event{Kind: EventProbeEnded, Server: s.addr, Status: OK, LoadReport: []float32{1, 0.5}})
				break
			}
		}
		for _, s := range r.balancer.servers {
			s.zoneSuspected = s.state == UnhealthyPending // an answer clears them
		}
	}
	if sampled < 300 {
		t.Errorf("%d of 400 samples taken", sampled)
	}
}

// On a day that lost a zone of 20 servers 80 agents found that out one server at a time,
// at a lost request each. Two that are silent, with no word from the zone since, tell.
func TestUnresponsiveZoneIsSuspected(t *testing.T) {
	for _, answers := range []bool{false, true} {
		set := testSettings()
		set.Limits.AllowProbes = true
		r := newTestAgent(t, set, 12) // the odd ones are of zone 1
		lost := func(i int) {
			id, s := r.mustSend(0, r.balancer.rng.Uint64())
			for r.balancer.serverByAddr[s].zone != 1 || r.balancer.serverByAddr[s].state > Unknown {
				r.now++
				r.endAttempt(id, 0, s, OK, 1)
				id, s = r.mustSend(0, r.balancer.rng.Uint64())
			}
			r.now += 100
			if answers && i > 0 {
				for _, o := range r.balancer.servers {
					o.lastResponseAt = r.now
				}
			}
			r.endAttempt(id, 0, s, ConnectFailed, 100)
		}
		suspects := func() (n int) {
			for _, s := range r.balancer.servers {
				if s.zoneSuspected {
					n++
				}
			}
			return n
		}
		// The answers that the search above draws from zone 1 are older than these sends.
		lost(0)
		r.now += 10
		first := r.balancer.now
		for _, s := range r.balancer.servers {
			if s.timedOut {
				s.timedOutFrom = first
			}
			s.lastResponseAt = min(s.lastResponseAt, first-1)
		}
		lost(1)
		if got := suspects(); answers == (got > 0) {
			t.Fatalf("the zone answers: %v, %d servers suspected", answers, got)
		}
		if answers {
			continue
		}
		for _, s := range r.balancer.servers {
			if s.zone == 1 && s.state <= Unknown || s.zone == 0 && s.state > Unknown {
				t.Errorf("server of zone %d in state %d", s.zone, s.state)
			}
		}
		for _, s := range r.balancer.servers {
			if s.zoneSuspected {
				s.probing = true
				r.balancer.probes.inFlight++
				r.handle(Event{Kind: EventProbeEnded, Server: s.addr, Status: OK, LatencyMs: 1})
				break
			}
		}
		if got := suspects(); got > 0 {
			t.Errorf("%d servers still suspected after an answer from the zone", got)
		}
	}
}
