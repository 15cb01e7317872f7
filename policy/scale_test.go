package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// smallAgents are agents of one fleet with few requests each, and settings by which a
// connection has a price.
func smallAgents(t *testing.T, agents, servers int) []*rig {
	set := testSettings()
	set.Replicas, set.Prices.Handshake, set.Limits.KeepaliveMs = agents, 0.08, 10000
	var rigs []*rig
	for i := range agents {
		set.Index = i
		r := newRig(t, set, servers)
		r.b.rng = rand.New(rand.NewPCG(uint64(i), 2))
		r.popular = true
		rigs = append(rigs, r)
	}
	return rigs
}

// spend lets each agent have a request every so often, and returns where they went.
func spend(rigs []*rig, every, until float64, rng *rand.Rand) map[Addr]int {
	got := map[Addr]int{}
	for _, r := range rigs {
		end := r.now + until
		for r.now += every * rng.Float64(); r.now < end; r.now += every {
			id, s := r.sent(0, 1+rng.Uint64N(500))
			got[s]++
			r.outcome(id, 0, s, OK, 20)
		}
	}
	return got
}

// zone+mass: of 300 agents each earned a cold server a request in 100 s and then waited for
// a key that was the server's own: it had warmed up before it got its share.
func TestColdServerGetsItsShareOfManySmallAgentsAtOnce(t *testing.T) {
	const servers = 60
	rigs := smallAgents(t, 300, servers)
	rng := rand.New(rand.NewPCG(5, 5))
	spend(rigs, 70, 2000, rng)
	for _, r := range rigs {
		r.list(ListDelta, Entry{Server: addr(7), Health: Ready, Weight: 1, SinceMs: 1e6 + 1990})
	}
	got := spend(rigs, 70, 3000, rng)
	all := 0
	for _, n := range got {
		all += n
	}
	ramp := 0.2 + 0.8*1500/10000 // on the mean of the 3 s
	if share := float64(all) / servers * ramp; float64(got[addr(7)]) < 0.35*share || float64(got[addr(7)]) > 1.5*share {
		t.Errorf("a cold server got %d requests of %d, its share by its ramp is %.0f", got[addr(7)], all, share)
	}
}

// Agents with few requests keep to few servers, all agents together to all alike.
func TestApertureFollowsTrafficAndIsEven(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 6))
	rigs := smallAgents(t, 300, 100)
	got := spend(rigs, 70, 6000, rng)
	for i := range 100 {
		if n := got[addr(i)]; n < 100 || n > 500 {
			t.Errorf("server %d got %d requests, the mean is %d", i, n, 300*6000/70/100)
		}
	}
	few, many := len(rigs[0].b.near), smallAgents(t, 1, 100)
	if few > 50 {
		t.Errorf("an agent with 14 requests a second keeps to %d of 100 servers, want some 30", few)
	}
	if spend(many, 4, 6000, rng); len(many[0].b.near) < 75 {
		t.Errorf("an agent with 250 requests a second keeps to %d of 100 servers, want most", len(many[0].b.near))
	}
	kept := slices.Clone(rigs[0].b.near)
	rigs[0].list(ListDelta, Entry{Server: addr(200), Health: Ready, Weight: 1})
	for _, s := range kept {
		if !slices.Contains(rigs[0].b.near, s) && len(rigs[0].b.near) >= len(kept) {
			t.Errorf("a new server took %v's place", s.id)
		}
	}
}

// An aperture without a healthy server is no reason to fail: the request goes elsewhere.
func TestLostApertureIsLeft(t *testing.T) {
	r := smallAgents(t, 300, 100)[0]
	spend([]*rig{r}, 70, 6000, rand.New(rand.NewPCG(8, 8)))
	for _, s := range r.b.near {
		r.b.demote(s, true)
	}
	if _, s := r.sent(0, 5); r.b.byAddr[s].near {
		t.Errorf("sent to %v of an aperture that is lost", s)
	}
}

// Nor is one of cold servers alone: they may not be sent all that an agent has.
func TestColdApertureIsLeft(t *testing.T) {
	r := smallAgents(t, 300, 100)[0]
	spend([]*rig{r}, 70, 6000, rand.New(rand.NewPCG(8, 8)))
	var started []Entry
	for _, s := range r.b.near {
		started = append(started, Entry{Server: s.id, Health: Ready, Weight: 1, SinceMs: r.now})
	}
	r.list(ListDelta, started...)
	for range 20 { // which all stay out
		if _, s := r.sent(0, 0); r.b.ramp(r.b.byAddr[s]) < 1 && r.b.byAddr[s].credit < -1 {
			t.Errorf("a cold server got more than its credit")
		}
	}
}

// Without a price for connections, or where they are not kept, each agent uses all servers.
func TestNoApertureWithoutAPrice(t *testing.T) {
	set := testSettings()
	for _, c := range []struct{ price, keep float64 }{{0, 10000}, {0.08, 0}} {
		set.Prices.Handshake, set.Limits.KeepaliveMs = c.price, c.keep
		r := newRig(t, set, 100)
		spend([]*rig{r}, 500, 6000, rand.New(rand.NewPCG(9, 9)))
		if len(r.b.near) != 100 {
			t.Errorf("price %v and keepalive %v: keeps to %d of 100", c.price, c.keep, len(r.b.near))
		}
	}
}

// On a large fleet the sample for a key is the same at all agents, and each server is in
// as many samples as the next.
func TestSampleOfALargeFleet(t *testing.T) {
	a, b := newRig(t, testSettings(), 1000), newRig(t, testSettings(), 1000)
	count := map[Addr]int{}
	for key := range uint64(4000) {
		req := &request{key: key + 1, spot: key + 1}
		x, y := a.b.window(req, a.b.near), b.b.window(req, b.b.near)
		if len(x) != tierSample {
			t.Fatalf("a sample of %d, want %d", len(x), tierSample)
		}
		for i, s := range x {
			if s.id != y[i].id {
				t.Fatalf("key %d: agents sample differently", key)
			}
			count[s.id]++
		}
	}
	for id, n := range count {
		if mean := 4000 * tierSample / 1000; n < mean/2 || n > 2*mean {
			t.Errorf("server %v is in %d samples, the mean is %d", id, n, mean)
		}
	}
}

// What the survey counts once is what counting anew would tell, through all that changes it.
func TestSurveyIsCurrent(t *testing.T) {
	r := newRig(t, testSettings(), 30)
	rng := rand.New(rand.NewPCG(4, 4))
	for step := range 3000 {
		r.now += 20 * rng.Float64()
		switch s := addr(rng.IntN(35)); rng.IntN(12) {
		case 0:
			r.list(ListDelta, Entry{Server: s, Health: Health(rng.IntN(3)), Weight: 1 + rng.Float64(), SinceMs: r.now})
		default:
			id, actions := r.ask(0, 1+rng.Uint64N(99))
			if a := find(actions, ActSend); a != nil {
				r.now += 5
				r.outcome(id, 0, a.Server, []Status{OK, OK, OK, Error, ConnectFailed}[rng.IntN(5)], 5)
			}
		}
		ill, warm, all := 0, 0.0, 0.0
		for _, s := range r.b.servers {
			if s.state > Unknown {
				ill++
			}
			if s.usable && s.state <= Unknown && r.b.ramp(s) == 1 {
				warm += s.weight
			}
			if s.usable && s.state < Unhealthy {
				all += s.weight * r.b.ramp(s)
			}
		}
		r.b.capAt = 0
		if gotWarm, gotAll := r.b.warmWeight(), r.b.capacity(); len(r.b.ill) != ill ||
			max(gotWarm-warm, warm-gotWarm, gotAll-all, all-gotAll) > 1e-6 {
			t.Fatalf("step %d: %d ill, %.3f warm, %.3f in all; counted anew %d, %.3f, %.3f", step,
				len(r.b.ill), gotWarm, gotAll, ill, warm, all)
		}
	}
}

// join+mass: clients that came again and again for what was refused were let in at last, each
// of them, and their refusals were taken for requests served late.
func TestPushyClientsAreNotLetInByComingAgain(t *testing.T) {
	r := newRig(t, testSettings(), 10)
	r.b.demand, r.b.admitted = 2*r.b.capacity(), 1 // room for less than half
	in, before := 0, r.b.tried
	for client := range uint64(300) {
		for try := range 8 {
			r.now++
			r.id++
			id := r.id
			ev := Event{Kind: EvRequest, Request: id, Class: 0, Key: 1 + client, LeftMs: 600, Retry: try > 0}
			if a := find(r.do(ev), ActSend); a != nil {
				in++
				r.outcome(id, 0, a.Server, Cancelled, 1)
				break
			}
		}
	}
	if in > 250 || in < 150 { // with luck drawn anew for each of eight tries nearly all
		t.Errorf("%d of 300 clients were let in by coming again, want as many as two tries let in", in)
	}
	if r.b.shed() > 0 || before == 0 {
		t.Errorf("refusals for want of room were taken for a crowd: shed %.2f", r.b.shed())
	}
}

// join+mass: where half of what came was refused the cold servers that were to take over
// earned half, and the warm ones choked. A client that comes again earns nothing more.
func TestRefusalsTakeNothingFromColdServers(t *testing.T) {
	for _, c := range []struct {
		name          string
		retry, marked bool
		demand        float64 // times the capacity; half is refused at about 1.8
		least, most   float64 // of the share of what came
	}{
		{"room for all", false, true, 0.5, 0.95, 1.01},
		{"half refused", false, true, 1.8, 0.95, 1.01},
		{"half refused, all come again", true, true, 1.8, 0, 0.001},
		{"half refused, who comes again is not told", false, false, 1.8, 0.3, 0.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Clients.MarksRetry = c.marked
			r := newRig(t, set, 10)
			r.list(ListDelta, Entry{Server: addr(10), Health: Ready, Weight: 1, SinceMs: r.now})
			cold := r.b.byAddr[addr(10)]
			earned, share := 0.0, 0.0
			for range 400 {
				r.now++
				r.b.demand, r.b.admitted = c.demand*r.b.capacity(), 1
				cold.credit = 0
				id, ask := r.id+1, Event{Kind: EvRequest, Request: r.id + 1, Class: 1, LeftMs: 600, Retry: c.retry}
				r.id++
				if a := find(r.do(ask), ActSend); a != nil {
					r.outcome(id, 0, a.Server, OK, 5)
				}
				earned += cold.credit
				share += r.b.ramp(cold) / r.b.peak * set.Contract.FallMultiple / coldMargin
			}
			if part := earned / share; part < c.least || part > c.most {
				t.Errorf("earned %.2f of its share of what came, want %.2f to %.2f", part, c.least, c.most)
			}
		})
	}
}

// An agent that refuses more than the others do by now gets back to them by the room that its
// probes see; by its own refusals alone it took that room for its doing.
func TestWhoRefusesMoreThanOthersComesBack(t *testing.T) {
	r := loadedRig(t, 0.7)
	if refused := r.refusedOf(200); refused > 0 {
		t.Fatalf("%d of 200 refused at 0.7 of the capacity", refused)
	}
	r.b.admitted, r.b.demand = 0.3, 0.92*r.b.capacity()/0.3
	s := r.b.servers[0]
	for range int(4 * busyMemory) {
		r.b.admitted = r.b.admission()
		r.b.busy(s, []float32{1, 0.7}) // the others serve all that comes
	}
	if a := r.b.admission(); a < 0.97 {
		t.Errorf("lets in %.2f after %d probes that saw room for all", a, int(4*busyMemory))
	}
}

// The load is that of the warm servers: a cold one gets no more than its credit, and idle
// cold servers made an agent take crowded warm ones for half full.
func TestColdServersAreNoSampleOfTheLoad(t *testing.T) {
	set := testSettings()
	set.Limits.Probing = true
	set.Report = Report{How: "on_probe", Names: []string{"util"}}
	r := newRig(t, set, 4)
	for i := range 6 {
		r.list(ListDelta, Entry{Server: addr(4 + i), Health: Ready, Weight: 1, SinceMs: r.now - 7000})
	}
	probed := 0
	for range 2000 {
		r.now++
		_, actions := r.ask(0, 0)
		if a := find(actions, ActProbe); a != nil {
			probed++
			if r.b.ramp(r.b.byAddr[a.Server]) < 1 {
				t.Fatalf("a cold server was sampled")
			}
			r.do(Event{Kind: EvProbed, Server: a.Server, Status: OK, LatencyMs: 1, Report: []float32{0.5}})
		}
	}
	if probed < 20 {
		t.Errorf("%d probes in 2000 requests", probed)
	}
}

// join+mass: clients that came again near their end had their requests time out after 60 to
// 100 ms, and each of these put out a server that had done nothing wrong, and its zone.
func TestTimeOutsOfTheImpatientPutNoServerOut(t *testing.T) {
	for _, c := range []struct {
		name    string
		left    float64 // times the usual answer time, 20 ms
		tries   int
		demoted bool
	}{
		{"hardly the time of an answer", 1.6, 3, false}, // sent, and cut to its deadline
		{"much more", 10, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testSettings(), 10)
			for range 400 {
				r.now += 5
				id, actions := r.ask(0, r.b.rng.Uint64())
				if a := find(actions, ActSend); a != nil {
					r.now += 20
					r.outcome(id, 0, a.Server, OK, 20)
				}
			}
			ill := 0
			for range c.tries {
				r.id++
				left := c.left * r.b.expect[0]
				a := find(r.do(Event{Kind: EvRequest, Request: r.id, Class: 0, LeftMs: left}), ActSend)
				if a == nil {
					t.Fatal("not sent")
				}
				r.now += left
				r.outcome(r.id, 0, a.Server, Timeout, left)
			}
			for _, s := range r.b.servers {
				if s.state > Unknown {
					ill++
				}
			}
			if (ill > 0) != c.demoted {
				t.Errorf("%d servers out, want some: %v", ill, c.demoted)
			}
		})
	}
}

// A request that has no time for an answer is refused at once and costs no server anything,
// and while much is refused one that has hardly the time.
func TestNoTimeLeftIsRefusedAtOnce(t *testing.T) {
	r := loadedRig(t, 0.7)
	usual := r.b.expect[1]
	for _, c := range []struct {
		times, demand float64
		sent          bool
	}{{0.8, 0.5, false}, {1.4, 0.5, true}, {1.4, 3, false}} {
		r.b.demand = c.demand * r.b.capacity()
		sent := false
		for range 60 { // some are refused for want of room
			r.id++
			a := find(r.do(Event{Kind: EvRequest, Request: r.id, Class: 1, LeftMs: c.times*usual + 5}), ActSend)
			if sent = sent || a != nil; a != nil {
				r.outcome(r.id, 0, a.Server, Cancelled, 1)
			}
		}
		if sent != c.sent {
			t.Errorf("%.1f of the usual time left at a demand of %.1f: sent %v, want %v", c.times, c.demand, sent, c.sent)
		}
	}
}

// A server that is met crowded again and again gets more than every second turn to recover;
// one that answers in time has none of that left.
func TestRestGrowsWhileAServerStaysCrowded(t *testing.T) {
	set := testSettings()
	set.Replicas = 300
	r := newRig(t, set, 4)
	r.b.gap = 10
	s := r.b.servers[0]
	var rests []float64
	for range 6 {
		r.b.now = r.now
		r.b.rest(s)
		rests = append(rests, s.restUntil-r.now)
	}
	turn := r.b.gap * 4
	if rests[0] > 1.5*turn || rests[3] < 4*turn || rests[5] > 1.5*16*turn {
		t.Errorf("rests of %.0f, a turn is %.0f", rests, turn)
	}
	for range 5 {
		r.b.served(&attempt{r: &request{aimAt: r.now + 100}, s: s, sentAt: r.now}, &Event{Status: OK, LatencyMs: 5})
	}
	if s.crowds != 0 {
		t.Errorf("still counts as crowded %d times in a row", s.crowds)
	}
	few := newRig(t, testSettings(), 4)
	for range 6 {
		few.b.rest(few.b.servers[0])
	}
	if n := few.b.servers[0].crowds; n != 0 {
		t.Errorf("one of 3 agents doubles rests %d times", n)
	}
}
