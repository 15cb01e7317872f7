package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/policy"
)

const ms = time.Millisecond

var (
	urgent = &config.Route{Name: "urgent", Kind: config.Streaming, Resumable: true, MaxAttempts: 2}
	draft  = &config.Route{Name: "draft", Kind: config.Streaming, Priority: 1, MaxAttempts: 1}
)

func instances(n int) []*registry.Instance {
	var all []*registry.Instance
	for i := range n {
		all = append(all, &registry.Instance{ID: fmt.Sprintf("i-%04d", i), Service: "llm", Zone: fmt.Sprintf("z%d", i%3), Slots: 8, Seq: 1})
	}
	return all
}

func listOf(all ...*registry.Instance) *registry.List {
	l := &registry.List{ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
	for _, in := range all {
		l.ByService[in.Service] = append(l.ByService[in.Service], in)
		l.ByID[in.ID] = in
	}
	return l
}

func document() *config.Doc {
	return &config.Doc{Services: map[string]*config.Service{"llm": {Name: "llm", HealthPath: "/health",
		Engine: &config.Engine{Slots: 8, CacheTokens: 400_000, Stride: 4}}}}
}

func picker(seed uint64, n int) *Picker {
	p := New(Options{Zone: "z0", Seed: seed})
	p.SetConf(0, document())
	p.SetList(0, listOf(instances(n)...))
	return p
}

// ask is a request whose prompt has a shared part, and one of its own.
func ask(shared, own uint64) *Request {
	return &Request{Route: urgent, Service: "llm", Model: "m", Parts: []Part{{ID: shared, Tokens: 2000}, {ID: own, Tokens: 500}},
		Prompt: 2500, Out: 20, Left: 3 * time.Second, Setpoint: 500 * ms}
}

func (p *Picker) state(id string) policy.State { return p.byID[id].State() }

// send places the request and lets it leave.
func send(t require.TestingT, p *Picker, now time.Duration, r *Request) *Attempt {
	d := p.Place(now, r)
	require.Equal(t, Send, d.Kind, d.Why)
	d.Attempt.Sent(now)
	return d.Attempt
}

func serve(a *Attempt, now time.Duration) {
	a.Head(now, 200, nil)
	a.Event(now, 1)
	a.End(now+ms, Served)
}

func TestTiersByOwnAttempts(t *testing.T) {
	for _, x := range []struct {
		end  End
		want policy.State
	}{
		{Served, policy.Connected}, {ClientError, policy.Unknown}, {NotRun, policy.Unknown}, {Cancelled, policy.Unknown},
		{ConnectFailed, policy.Unhealthy}, {Reset, policy.Unhealthy}, {Broken, policy.Unhealthy}, {ServerError, policy.Unhealthy},
		{Timeout, policy.Unhealthy},
	} {
		p := picker(1, 3)
		a := send(t, p, 0, ask(1, 2))
		id := a.s.inst.ID
		a.End(2*time.Second, x.end)
		assert.Equal(t, x.want, p.state(id), "end %d", x.end)
		a.End(3*time.Second, Reset)
		assert.Equal(t, x.want, p.state(id), "an attempt ends once")
		assert.Zero(t, p.byID[id].inflight+p.services["llm"].inflight)
	}
}

func TestTimeoutThatBlamesNobody(t *testing.T) {
	for name, during := range map[string]func(p *Picker, a *Attempt) time.Duration{
		"it was short": func(*Picker, *Attempt) time.Duration { return 100 * ms },
		"the server answered others": func(p *Picker, a *Attempt) time.Duration {
			a.s.heard = time.Second
			return 2 * time.Second
		},
		"the answer had begun": func(p *Picker, a *Attempt) time.Duration {
			a.Head(ms, 200, nil)
			return 2 * time.Second
		},
	} {
		p := picker(1, 3)
		a := send(t, p, 0, ask(1, 2))
		a.End(during(p, a), Timeout)
		assert.Equal(t, policy.Unknown, p.state(a.s.inst.ID), name)
	}
	p := picker(1, 3)
	a := send(t, p, 0, ask(1, 2))
	a.Head(time.Second, 504, nil)
	a.End(time.Second, ServerError)
	assert.Equal(t, policy.Unknown, p.state(a.s.inst.ID), "the client's deadline is no fault of the server")
}

func TestUnhealthyIsPassedOverAndComesBack(t *testing.T) {
	p := picker(1, 3)
	a := send(t, p, 0, ask(1, 2))
	bad := a.s
	a.End(10*ms, Reset)
	for i := range uint64(20) {
		b := send(t, p, 20*ms, ask(1, 10+i))
		require.NotEqual(t, bad, b.s)
		serve(b, 60*ms)
	}
	assert.Empty(t, p.Checks(100*ms), "held")
	due := p.Checks(300 * ms)
	require.Len(t, due, 1, "refreshed, and validated in the background")
	assert.Equal(t, bad.inst, due[0])
	assert.Empty(t, p.Checks(301*ms), "once")
	assert.Equal(t, 1, p.rank(310*ms, bad, &prompt{Request: ask(1, 2)}))
	assert.Equal(t, 0, p.rank(time.Second, bad, &prompt{Request: ask(1, 2)}), "it lapses")
	p.Checked(320*ms, bad.inst.ID, true, nil)
	assert.Equal(t, policy.Connected, bad.State())
}

func TestSilentServerIsNotTriedBeforeItsCheck(t *testing.T) {
	p := picker(1, 3)
	a := send(t, p, 0, ask(1, 2))
	a.End(time.Second, Timeout)
	require.True(t, a.s.Silent())
	p.Checks(2 * time.Second)
	q := &prompt{Request: ask(1, 2)}
	assert.Equal(t, 1, p.rank(5*time.Second, a.s, q))
	p.Checked(5*time.Second, a.s.inst.ID, false, nil)
	assert.Equal(t, policy.Unhealthy, a.s.State())
	assert.Greater(t, a.s.Hold(holdUnit, holdLeast), holdUnit, "the next hold is longer")
}

func TestWhatMustNotRunTwiceChecksNoServer(t *testing.T) {
	p := picker(1, 3)
	a := send(t, p, 0, ask(1, 2))
	for range 10 { // no stray failure
		p.fails(0, a.s, 1)
	}
	a.End(ms, Reset)
	p.Checks(time.Second)
	require.Equal(t, policy.UnhealthyPending, a.s.State())
	r := ask(1, 2)
	r.Route = draft
	assert.Equal(t, 1, p.rank(time.Minute, a.s, &prompt{Request: r, once: true}))
	assert.Equal(t, 0, p.rank(time.Minute, a.s, &prompt{Request: r}))
}

func TestOwnAttemptsOutrankHealthAnswers(t *testing.T) {
	p := picker(1, 2)
	a, b := send(t, p, 0, ask(1, 2)), send(t, p, 0, ask(1, 3))
	for b.s != a.s {
		b = send(t, p, 0, ask(1, 3))
	}
	a.End(ms, Reset)
	due := p.Checks(time.Second)
	require.Len(t, due, 1)
	serve(b, 1100*ms)
	require.Equal(t, policy.Connected, a.s.State(), "it served meanwhile")
	p.Checked(1200*ms, due[0].ID, false, nil)
	assert.Equal(t, policy.Connected, a.s.State())
}

func TestServedBeforeTheFailureSaysNothing(t *testing.T) {
	p := picker(1, 1)
	a, b := send(t, p, 0, ask(1, 2)), send(t, p, 0, ask(1, 3))
	a.End(10*ms, Reset)
	serve(b, 20*ms)
	assert.Equal(t, policy.Unhealthy, a.s.State())
}

func TestEmptyTierPassesDown(t *testing.T) {
	p := picker(1, 2)
	for _, s := range p.byID {
		p.demote(0, s, false)
	}
	a := send(t, p, ms, ask(1, 2))
	assert.Equal(t, policy.Unhealthy, a.s.State(), "requests never wait for validation")
}

func TestRefusedConnectAndListChangesRefresh(t *testing.T) {
	p := picker(1, 4)
	all := instances(5)
	bad := p.byID["i-0003"]
	bad.Strike()
	bad.Strike()
	bad.Strike()
	bad.Failed(true, 0)
	p.SetList(300*ms, listOf(all[:4]...))
	assert.Equal(t, policy.Unhealthy, bad.State(), "nothing has changed")
	p.SetList(300*ms, listOf(all...))
	assert.Equal(t, policy.UnhealthyPending, bad.State(), "a server came")

	bad.Failed(true, 400)
	a := send(t, p, 700*ms, ask(1, 2))
	a.End(701*ms, ConnectFailed)
	assert.Equal(t, policy.UnhealthyPending, bad.State(), "another one refused a connect")
	assert.Equal(t, policy.Unhealthy, a.s.State())
	assert.False(t, a.s.Silent(), "one that says no is there")
}

func TestChecksAreCapped(t *testing.T) {
	p := picker(1, 20)
	for _, s := range p.byID {
		p.demote(0, s, true)
	}
	now, begun := time.Second, 0
	for ; now < 4*time.Second; now += 50 * ms {
		due := p.Checks(now)
		begun += len(due)
		assert.LessOrEqual(t, p.checking, checkCap)
		for _, in := range due {
			p.Checked(now+ms, in.ID, false, nil)
		}
	}
	assert.LessOrEqual(t, begun, int(checkBurst+3*checkRate)+1)
	assert.Greater(t, begun, 10)
	assert.Equal(t, illNext, p.Next(now))
	p.Checks(now)
	p.Checks(now + 2*checkMost)
	assert.LessOrEqual(t, p.checking, checkCap, "what is never ended is given up")
}

func TestSilenceIsValidated(t *testing.T) {
	p := picker(1, 3)
	a := send(t, p, 0, ask(1, 2))
	p.Checks(500 * ms)
	assert.Equal(t, policy.Unknown, a.s.State())
	due := p.Checks(2 * time.Second)
	require.Len(t, due, 1)
	assert.Equal(t, a.s.inst, due[0])
	assert.Equal(t, policy.UnhealthyPending, a.s.State())
	assert.NotEqual(t, a.s, send(t, p, 2*time.Second, ask(1, 3)).s, "and passed over meanwhile")
	serve(a, 2100*ms)
	assert.Equal(t, policy.Connected, a.s.State())
}

func TestFullServersAreLeftAloneForAMoment(t *testing.T) {
	p := picker(1, 2)
	a := send(t, p, 0, ask(1, 2))
	a.End(ms, NotRun)
	b := send(t, p, 2*ms, ask(1, 3))
	assert.NotEqual(t, a.s, b.s)
	b.End(3*ms, NotRun)
	d := p.Place(4*ms, ask(1, 4))
	assert.Equal(t, Refuse, d.Kind)
	assert.Greater(t, d.After, 50*ms)
	assert.LessOrEqual(t, d.After, 3*fullFor/2)
	send(t, p, 400*ms, ask(1, 5))
}

func TestWrongInstanceIsGoneUntilNamedAnew(t *testing.T) {
	p := picker(1, 2)
	a := send(t, p, 0, ask(1, 2))
	in := *a.s.inst
	list := listOf(instances(2)...)
	a.End(ms, WrongInstance)
	assert.NotContains(t, p.byID, in.ID)
	p.SetList(2*ms, list)
	assert.NotContains(t, p.byID, in.ID, "the same news do not bring it back")
	assert.Len(t, p.services["llm"].ring, 1)
	in.Seq++
	list.ByID[in.ID] = &in
	list.ByService["llm"] = []*registry.Instance{&in}
	p.SetList(3*ms, list)
	assert.Contains(t, p.byID, in.ID)
	assert.Empty(t, p.wrong)
	p.SetList(4*ms, listOf())
	assert.Empty(t, p.byID)
}

func TestListChanges(t *testing.T) {
	p := picker(1, 3)
	a := send(t, p, 0, ask(1, 2))
	var rest []*registry.Instance
	for _, in := range instances(3) {
		if in.ID != a.s.inst.ID {
			rest = append(rest, in)
		}
	}
	p.SetList(ms, listOf(rest...))
	for i := range uint64(20) {
		assert.NotEqual(t, a.s, send(t, p, 2*ms, ask(1, i)).s, "one that is not listed any more gets nothing")
	}
	a.End(3*ms, Served)
	assert.Equal(t, policy.Unknown, a.s.State(), "its attempts end without a verdict")
	p.SetList(4*ms, listOf(instances(3)...))
	assert.NotSame(t, a.s, p.byID[a.s.inst.ID], "what comes back is new")
	p.SetList(5*ms, nil)
	p.SetConf(5*ms, nil)
	assert.Len(t, p.byID, 3)

	moved := *instances(1)[0]
	moved.Service = "other"
	p.SetList(6*ms, listOf(&moved))
	assert.Equal(t, "other", p.byID[moved.ID].service.name)
	assert.Empty(t, p.services["llm"].servers)
	p.SetConf(7*ms, &config.Doc{})
	assert.NotContains(t, p.services, "gone")
	d := p.Place(7*ms, ask(1, 2))
	assert.Equal(t, Refuse, d.Kind)
	assert.Equal(t, "no server of the service is known", d.Why)
}

func TestTriedServersAreSkipped(t *testing.T) {
	p := picker(1, 3)
	r := ask(1, 2)
	for range 3 {
		a := send(t, p, 0, r)
		require.NotContains(t, r.Tried, a.s.inst.ID)
		r.Tried = append(r.Tried, a.s.inst.ID)
	}
	d := p.Place(0, r)
	assert.Equal(t, Refuse, d.Kind)
	assert.Equal(t, "every server was tried", d.Why)
}

func TestModelsAreHeldByTheirServers(t *testing.T) {
	all := instances(4)
	for i, in := range all {
		in.Models = []registry.Model{{Name: []string{"m", "n"}[i%2], Revision: 1}}
	}
	p := picker(1, 0)
	p.SetList(0, listOf(all...))
	for i := range uint64(30) {
		assert.Equal(t, "m", send(t, p, 0, ask(i, 100+i)).s.inst.Models[0].Name)
	}
	r := ask(1, 2)
	r.Model = "unheard of"
	send(t, p, 0, r)
	s := p.byID["i-0000"]
	s.engine.Begin(0, inference.Chain(nil, "m", r.Parts), 2500, 1)
	require.NotZero(t, s.engine.Cached(inference.Chain(nil, "m", r.Parts)))
	next := *all[0]
	next.Models = []registry.Model{{Name: "m", Revision: 2}}
	p.SetList(ms, listOf(append([]*registry.Instance{&next}, all[1:]...)...))
	assert.Zero(t, s.engine.Cached(inference.Chain(nil, "m", r.Parts)), "other weights keep nothing of the old")
}

func TestAgentsAgreeOnAKeysServer(t *testing.T) {
	for _, n := range []int{12, 100} {
		used := map[string]bool{}
		for key := range uint64(50) {
			var want *registry.Instance
			for agent := range uint64(8) {
				p := picker(agent, n)
				p.opt.Zone = ""
				a := send(t, p, 0, ask(key, agent))
				if want == nil {
					want = a.s.inst
				}
				require.Equal(t, want.ID, a.s.inst.ID, "key %d", key)
			}
			used[want.ID] = true
		}
		assert.Greater(t, len(used), min(n, 50)/2, "keys are spread")
	}
}

func TestAChangeOfTheListMovesFewKeys(t *testing.T) {
	moved := 0
	const keys = 200
	for key := range uint64(keys) {
		p, q := picker(1, 12), picker(1, 11)
		a, b := send(t, p, 0, ask(key, 1)), send(t, q, 0, ask(key, 1))
		if a.s.inst.ID != b.s.inst.ID {
			assert.Equal(t, "i-0011", a.s.inst.ID, "only those of the server that went")
			moved++
		}
	}
	assert.Less(t, moved, keys/5)
}

func TestCapBoundsAServersShare(t *testing.T) {
	p := picker(1, 10)
	most := map[string]int{}
	for i := range uint64(100) {
		a := send(t, p, 0, ask(7, i))
		most[a.s.inst.ID]++
		assert.LessOrEqual(t, a.s.inflight, int(capFactor*float64(i+1)/10)+1)
	}
	assert.GreaterOrEqual(t, len(most), 3)
}

func TestHotKeysSpread(t *testing.T) {
	p := picker(1, 10)
	now := time.Duration(0)
	for i := range uint64(400) { // one key in two requests
		key := 1000 + i%20
		if i%2 == 0 {
			key = 7
		}
		serve(send(t, p, now, ask(key, i)), now+40*ms)
		now += 50 * ms
	}
	hot := inference.Chain(nil, "m", ask(7, 0).Parts)[0].ID
	assert.Greater(t, p.services["llm"].keys.homes(now, hot, 10), 2)
	assert.Equal(t, 1, p.services["llm"].keys.homes(now, 12345, 10))
	assert.Equal(t, 1, p.services["llm"].keys.homes(now+10*time.Minute, hot, 10), "it is forgotten")
}

func TestKeysAreBounded(t *testing.T) {
	var k keys
	for i := range uint64(5 * maxKeys) {
		k.add(time.Duration(i)*ms, i, 10)
		require.LessOrEqual(t, len(k.each), maxKeys)
	}
	assert.Equal(t, time.Duration(5*maxKeys-1)*ms, k.last(5*maxKeys-1))
	assert.Equal(t, time.Duration(-1), k.last(0))
}

func TestShortSharedPartsAreNoKey(t *testing.T) {
	p := picker(1, 12)
	used := map[*server]bool{}
	for i := range uint64(30) {
		r := ask(1, i)
		r.Parts[0].Tokens, r.Prompt = 20, 520
		a := send(t, p, 0, r)
		used[a.s] = true
		serve(a, 0)
	}
	assert.Greater(t, len(used), 5)
}

func TestNothingIsRefusedWhereHalfIsFreeAndNothingWaits(t *testing.T) {
	p := picker(1, 4)
	r := ask(1, 2)
	r.Left, r.Setpoint = ms, ms
	for i := range p.services["llm"].late {
		p.services["llm"].late[i] = lateness{part{1, 0}, part{1, 0}}
	}
	for range 8 {
		send(t, p, 0, r)
	}
}

func overload(p *Picker) {
	for _, s := range p.byID {
		s.engine.Heard(0, Load{Running: 8, Waiting: 20, Slots: 8})
	}
}

func TestNoChanceIsRefusedAtOnce(t *testing.T) {
	p := picker(1, 4)
	overload(p)
	r := ask(1, 2)
	d := p.Place(0, r)
	require.Equal(t, Send, d.Kind, "it may be late, yet it is served")
	r.Left = 100 * ms
	d = p.Place(0, r)
	require.Equal(t, Refuse, d.Kind)
	assert.Nil(t, d.Attempt)
	assert.Equal(t, "no server can answer in the time left", d.Why)
	assert.LessOrEqual(t, d.After, 51*ms, "clients wait up to a third of their time")
}

func TestLessUrgentIsRefusedFirstAndNeverAll(t *testing.T) {
	share := func(route *config.Route, late float64, expected bool) float64 {
		p := picker(1, 4)
		overload(p)
		refused := 0
		for i := range uint64(1000) {
			v := p.services["llm"]
			v.late[0] = lateness{part{late, 0}, part{late, 0}}
			v.late[1] = lateness{}
			if !expected {
				v.late[0].real = part{}
			}
			r := ask(i, i)
			r.Route, r.Left = route, time.Minute
			d := p.Place(0, r)
			if d.Kind == Refuse {
				refused++
				continue
			}
			d.Attempt.End(0, Cancelled)
		}
		return float64(refused) / 1000
	}
	assert.Zero(t, share(draft, 0.1, true), "nothing is short")
	assert.InDelta(t, 0.3, share(draft, 0.3, true), 0.06)
	assert.InDelta(t, shedMost, share(draft, 1, true), 0.06, "some are always sent")
	assert.Zero(t, share(draft, 1, false), "an estimate alone refuses nothing")
	assert.Zero(t, share(urgent, 0.4, true))
	assert.InDelta(t, 0.5, share(urgent, 1, true), 0.06, "those that come late anyway")
}

func TestPriority(t *testing.T) {
	last := -1
	for u := range urgencies {
		got := priority(u)
		assert.GreaterOrEqual(t, got, last)
		assert.LessOrEqual(t, got, 9)
		last = got
	}
	assert.Equal(t, 0, priority(0))
	assert.Equal(t, 5, priority(1), "what servers take where nothing is said")
}

func TestColdServersGetLess(t *testing.T) {
	p := picker(1, 0)
	all := instances(4)
	all[0].Cold = 10 * time.Second
	p.SetList(0, listOf(all...))
	count := func(now time.Duration) (n int) {
		for i := range uint64(200) {
			a := send(t, p, now, ask(i, i))
			if a.s.inst == all[0] {
				n++
			}
			serve(a, now)
		}
		return n
	}
	cold := count(0)
	assert.Less(t, cold, 15)
	assert.Greater(t, count(11*time.Second), 2*cold+10)
}

func TestNoticesTellOfLongPrompts(t *testing.T) {
	p, q := picker(1, 3), picker(2, 3)
	long := ask(1, 2)
	long.Parts[1].Tokens, long.Prompt = 30_000, 32_000
	a := send(t, p, 0, long)
	n, work := a.Notice()
	assert.Equal(t, 32_000, n.Uncached)
	assert.Greater(t, work, 300*ms)
	before := send(t, q, 0, ask(1, 3))
	before.End(0, Cancelled)
	require.Equal(t, a.s.inst.ID, before.s.inst.ID, "they share a key")
	q.Heard(5*ms, 5*ms, &n)
	assert.NotEqual(t, a.s.inst.ID, send(t, q, 5*ms, ask(1, 4)).s.inst.ID, "who has to be quick goes elsewhere")
	assert.Equal(t, 2000, q.byID[n.Instance].engine.Cached(n.Chain), "its parts are kept there now")
	q.Heard(5*ms, 0, &Notice{Instance: "unknown"})
	q.Heard(5*ms, 0, &Notice{Instance: n.Instance, Chain: make([]Part, maxNoticeParts+1), Prompt: 1})
	assert.Equal(t, 1, q.byID[n.Instance].engine.Queued(6*ms))
}

func TestSnapshot(t *testing.T) {
	p := picker(1, 3)
	a := send(t, p, 0, ask(1, 2))
	a.Head(10*ms, 200, &Load{Running: 1, Waiting: 2, Slots: 8})
	b := send(t, p, 0, ask(3, 4))
	b.End(20*ms, Reset)
	views := p.Snapshot(120 * ms)
	require.Len(t, views, 3)
	for i, v := range views {
		assert.Equal(t, fmt.Sprintf("i-%04d", i), v.ID)
		assert.Equal(t, "llm", v.Service)
		assert.Greater(t, v.Estimate, time.Duration(0))
		switch v.ID {
		case b.s.inst.ID:
			assert.Equal(t, "unhealthy", v.State)
			assert.Equal(t, 100*ms, v.InState)
		case a.s.inst.ID:
			assert.Equal(t, 1, v.InFlight)
			assert.Equal(t, Load{Running: 1, Waiting: 2, Slots: 8}, v.Load)
			assert.Equal(t, 110*ms, v.LoadAge)
		default:
			assert.Equal(t, "unknown", v.State)
			assert.Equal(t, time.Duration(-1), v.LoadAge)
		}
	}
}

// TestAnyHistory plays any order of events: counts hold, nothing goes to a server that is not
// listed or was tried, and while no server is loaded nothing is refused.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Options{Zone: "z1", Seed: rapid.Uint64().Draw(t, "seed"), PartBytes: 20_000})
		now, seq := time.Duration(0), uint64(1)
		listed := map[string]uint64{} // by id, the call-seq
		var out []*Attempt
		var checks []*registry.Instance
		pass := func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * ms }
		attempt := func(t *rapid.T) *Attempt {
			if len(out) == 0 {
				t.Skip("none")
			}
			return out[rapid.IntRange(0, len(out)-1).Draw(t, "attempt")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				pass(t)
				var all []*registry.Instance
				clear(listed)
				n := rapid.SampledFrom([]int{0, 1, 3, 10, 90}).Draw(t, "n")
				seq += uint64(rapid.IntRange(0, 1).Draw(t, "news"))
				for _, in := range instances(n) {
					if rapid.IntRange(0, 5).Draw(t, "in") > 0 {
						in.Seq, in.Cold = seq, time.Duration(rapid.IntRange(0, 2).Draw(t, "cold"))*time.Second
						all = append(all, in)
						listed[in.ID] = seq
					}
				}
				p.SetList(now, listOf(all...))
				for id, s := range p.wrong {
					if s >= seq {
						delete(listed, id)
					}
				}
			},
			"conf": func(*rapid.T) { p.SetConf(now, document()) },
			"place": func(t *rapid.T) {
				pass(t)
				r := ask(uint64(rapid.IntRange(0, 5).Draw(t, "key")), uint64(len(out)))
				r.Left = time.Duration(rapid.IntRange(-10, 5000).Draw(t, "left")) * ms
				r.Elapsed = time.Duration(rapid.IntRange(0, 1000).Draw(t, "elapsed")) * ms
				r.Route = rapid.SampledFrom([]*config.Route{urgent, draft, nil}).Draw(t, "route")
				if rapid.Bool().Draw(t, "plain") {
					r.Parts = nil
				}
				for i := range rapid.IntRange(0, 3).Draw(t, "tried") {
					r.Tried = append(r.Tried, fmt.Sprintf("i-%04d", i))
				}
				d := p.Place(now, r)
				if d.Kind == Refuse {
					require.Nil(t, d.Attempt)
					require.GreaterOrEqual(t, d.After, afterLeast)
					require.NotEmpty(t, d.Why)
					return
				}
				require.Contains(t, listed, d.Server.ID)
				require.NotContains(t, r.Tried, d.Server.ID)
				out = append(out, d.Attempt)
			},
			"sent": func(t *rapid.T) { attempt(t).Sent(now) },
			"head": func(t *rapid.T) {
				pass(t)
				attempt(t).Head(now, 200, &Load{Running: rapid.IntRange(0, 9).Draw(t, "run"), Waiting: rapid.IntRange(0, 9).Draw(t, "wait"), Slots: 8})
			},
			"event": func(t *rapid.T) { pass(t); attempt(t).Event(now, 1) },
			"end": func(t *rapid.T) {
				pass(t)
				a := attempt(t)
				end := End(rapid.IntRange(0, int(Cancelled)).Draw(t, "end"))
				if !a.ended && end == WrongInstance && listed[a.s.inst.ID] <= a.seq {
					delete(listed, a.s.inst.ID)
				}
				a.End(now, end)
			},
			"checks": func(t *rapid.T) {
				pass(t)
				checks = append(checks, p.Checks(now)...)
				require.Greater(t, p.Next(now), time.Duration(0))
			},
			"checked": func(t *rapid.T) {
				if len(checks) > 0 {
					p.Checked(now, checks[0].ID, rapid.Bool().Draw(t, "ok"), nil)
					checks = checks[1:]
				}
			},
			"heard": func(t *rapid.T) {
				p.Heard(now, 0, &Notice{Instance: fmt.Sprintf("i-%04d", rapid.IntRange(0, 9).Draw(t, "i")), Prompt: 9000, Uncached: 9000})
			},
			"": func(t *rapid.T) {
				require.Len(t, p.byID, len(listed))
				checking, inflight := 0, 0
				for id, s := range p.byID {
					require.Contains(t, listed, id)
					require.Len(t, s.out, s.inflight)
					if s.checking {
						checking++
					}
				}
				for _, a := range out {
					if !a.ended {
						inflight++
					}
				}
				require.Equal(t, checking, p.checking)
				require.LessOrEqual(t, checking, checkCap)
				sum := 0
				for _, v := range p.services {
					sum += v.inflight
					require.Len(t, v.ring, len(v.servers))
				}
				require.Equal(t, inflight, sum)
				require.Len(t, p.Snapshot(now), len(listed))
			},
		})
	})
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 112, 850} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			p := picker(1, n)
			i, now := uint64(0), time.Duration(0)
			var out []*Attempt
			for b.Loop() {
				i++
				now += 50 * time.Microsecond
				d := p.Place(now, ask(i%500, i))
				if d.Kind == Send {
					out = append(out, d.Attempt)
				}
				if len(out) > 20 {
					serve(out[0], now)
					out = out[1:]
				}
			}
		})
	}
}
