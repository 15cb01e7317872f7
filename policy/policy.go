// The decisions are in eight files: this one with what they are tuned by, the events and the
// list; tiers.go, admission.go, pick.go, guards.go, verdicts.go, recall.go and standings.go. Their
// interface, the settings, events, actions and states, is in policy/types.go.

package policy

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// capFactor is c: how far above its even share of the agent's attempts a
	// server may go before a key's request moves on to the next in hash order.
	capFactor = 3.0
	// crowdShare is the part of the aim that a mean answer time may take, crowdFactor how many
	// times the fleet's calm one, before a server counts as crowded.
	crowdShare, crowdFactor = 0.5, 1.5
	// firstWindow is the number of attempts an unmeasured server may hold, learnFor the number
	// of answers before any window grows: a start must not crowd what it measures.
	firstWindow, learnFor = 2.0, 50
	// leastWindow is what is left to a server however crowded it is: enough to see
	// when it is not.
	leastWindow, tipFactor = 0.1, 2.5
	// keyWait is the part of its aim that a request may wait for one of the keyServers nearest
	// its key: going on at once would warm the key up elsewhere, just when time is short.
	keyWait, keyServers = 0.25, 2
	// silence is how many of the usual answer times a time-out must have lasted to tell of its
	// server; one that lasted a whole aim always does.
	silence = 4.0
	// keyPart is the most of a server's even share that one part of a key may bring, keyMemory
	// the number of requests, for each part there may be, by which a key's share is known.
	keyPart, keyMemory = 0.25, 2.0
	// ownLeast and ownMost bound how much more a server of the agent's own zone weighs in a
	// key's order: crossing takes time and may have a price. ownStep is how fast it moves.
	ownLeast, ownMost, ownStep = 1.5, 8.0, 0.1
	// maxStrikes bounds the doubling of a bad server's hold, holdMost that hold in ms.
	maxStrikes, holdMost = 5, 8000.0
	// strayMost is the part of its attempts that a server may fail, beyond strayFactor times
	// what the others do, before a failure puts it out. failMemory is how long, in ms, what it
	// did before still tells of it.
	strayMost, strayFactor, straySmooth, failMemory = 0.2, 1.5, 0.15, 5000.0
	// zoneLost is the number of silent servers that make an agent suspect all of their zone.
	zoneLost = 2
	// unsent is the part of its time after which a request of which nothing was sent is
	// given up: from half of it on the client counts the wait as worse than a refusal.
	unsent = 0.46
	// againShare is the further attempts that a served request earns, againMost what may be
	// saved up, and what an agent starts with.
	againShare, againMost = 0.25, 4.0
	// shedMemory is the number of tries by which an agent knows what part of them is served
	// in time; under 1/shedFactor of them it refuses some, never more than shedMost.
	shedMemory, shedFactor, shedMost = 20.0, 1.5, 0.8
	// loadFactor is how many times the mean of the reported requests a server may hold.
	loadFactor = 1.5
	// smooth is the weight of one answer in a server's mean, slowSmooth in a fleet-wide one;
	// fade lets requests count less for shares with age, over about 500.
	smooth, slowSmooth, fade = 0.2, 0.005, 0.998
	// maxHeld bounds the requests held for room, and so the work of a decision.
	maxHeld = 512
	// coldBurst bounds what a cold server's credit saves up, in requests: all agents may spend
	// theirs at once. coldPull is how much more than by its weight such a server draws keys: of
	// many agents each earns a request a minute, which must not wait for the server's own key.
	coldBurst, coldPull = 1.0, 8.0
	// coldMargin is how much of what topples it an even share of a calm fleet may be to a
	// cold server: it knows no keys, has new connections to make, and chance adds to both.
	coldMargin = 6.0
	// probeCap bounds the probes under way, probeShare those for each request, and probeSpend
	// what they may take off the result, refusingProbes times as much while requests are
	// refused: to refuse what there is room for costs more.
	probeCap, probeShare, probeSpend, refusingProbes = 2, 0.1, 0.006, 3.0
	// crowdsMost bounds the doubling of a crowded server's rest.
	crowdsMost = 4
	// queueMost is the requests for a weight of one that a server holds before its queue
	// counts as overload.
	queueMost = 4.0
	// sampleTries is how many servers are drawn for one that can be sampled.
	sampleTries = 4
	// tierMost is the number of servers up to which a request's tiers are formed of all, and
	// tierSample of how many they are formed where there are more.
	tierMost, tierSample = 64, 48
	// busyMost is the utilization that admission keeps warm servers to, lossCaution what is
	// taken off it by the part of the capacity that was lost of late: moved keys cost more.
	// busyMemory is the number of probes that tell it, busyDoubt of those taken for idle
	// at a start, so that one hot server is not taken for all.
	busyMost, lossCaution, busyMemory, busyDoubt = 0.92, 0.8, 4.0, 1.0
	// aperture is the part of the keepalive in which an agent's requests come to as many as the
	// servers that it keeps to, apertureLeast how many those are at the least. cameMemory is
	// the time in ms by which its traffic is known.
	aperture, apertureLeast, cameMemory = 0.2, 16, 2000.0
	// recallMost is the age in ms up to which what an earlier life knew of servers and of the
	// load is believed, recallKeys that for the popularity of keys and usual answer times.
	recallMost, recallKeys = 30e3, 600e3
	// tryMemory is for how long in ms a server that is to be tried waits for a request.
	tryMemory = 2000.0

	tickToken, followToken = 1, 2
)

// New returns the balancer of one agent, or an error that names the setting
// that makes no sense. All its randomness comes from the seed.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, mix(seed))), byAddr: map[Addr]*server{},
		requests: map[RequestID]*request{}, keys: map[uint64]float64{}, mayProbe: probeCap,
		own: ownLeast, again: againMost, within: 1, tried: shedMemory / 2, gained: shedMemory / 2,
		usage:  make([]float64, len(set.Tenants)),
		aimMin: math.Inf(1), lookedAt: math.Inf(-1)}
	for _, c := range set.Classes {
		b.expect = append(b.expect, c.AimMs*crowdShare/2)
		b.aimMin = min(b.aimMin, c.AimMs)
		b.asked, b.won = append(b.asked, 1), append(b.won, 1)
	}
	return b, nil
}

// Start gives the first actions of a new agent and appends them to out.
func (b *Balancer) Start(now float64, out []Action) []Action {
	b.now, b.out = now, out
	if b.set.Membership == "on_request" {
		// Spread over a part of the contract's time: agents that start together
		// must not all call at once.
		b.do(Action{Kind: ActTimer, Ms: b.rng.Float64() * b.set.Contract.AskWithinMs / 8, Token: followToken})
	}
	return b.out
}

// Handle takes one event and appends the actions it calls for to out. Events
// for what is finished or unknown are ignored.
func (b *Balancer) Handle(now float64, event *Event, out []Action) []Action {
	b.now, b.out = now, out
	ev := event.finite()
	switch ev.Kind {
	case EvRequest:
		b.onRequest(ev)
	case EvOutcome:
		b.onOutcome(ev)
	case EvStarted: // a streamed answer belongs to the client now
		if r := b.requests[ev.Request]; r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
			r.closed, r.attempts[ev.Attempt].s.heard = true, now
		}
	case EvDropped:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			b.remember(r)
			if r.open > 0 && b.now > r.aimAt { // who leaves sooner tells nothing of crowds
				b.gain(0)
			}
			b.close(r)
		}
	case EvList:
		b.onList(ev)
	case EvProbed:
		b.onProbed(ev)
	case EvRecall:
		b.recollect(ev.Memory)
	case EvStandings:
		b.onStandings(ev)
	case EvTimer:
		b.onTimer(ev.Token)
	}
	b.dispatch()
	b.arm()
	return b.out
}

// arm keeps one timer running while there is something to watch.
func (b *Balancer) arm() {
	if !b.ticking && (len(b.held) > 0 || b.inflight > 0) {
		b.ticking = true
		b.do(Action{Kind: ActTimer, Ms: max(2*b.set.RoundMs, 5), Token: tickToken})
	}
}

func (b *Balancer) onTimer(token uint32) {
	switch token {
	case followToken:
		b.do(Action{Kind: ActFollow})
	case tickToken:
		b.ticking = false
		b.watchSilence()
		b.expire()
	}
}

// refetch asks for the whole list, seldom: the stream of changes is as fresh,
// and every call loads discovery.
func (b *Balancer) refetch() {
	if b.now-b.lookedAt >= max(b.set.Contract.AskWithinMs, 1000) {
		b.lookedAt = b.now
		b.do(Action{Kind: ActFetch})
	}
}

func (b *Balancer) onList(ev *Event) {
	if ev.List == ListFailed {
		b.follows++
		if b.set.Membership == "on_request" {
			wait := min(500*math.Pow(2, float64(b.follows)), b.set.Contract.AskWithinMs)
			b.do(Action{Kind: ActTimer, Ms: wait * (0.5 + 0.5*b.rng.Float64()), Token: followToken})
		}
		return
	}
	b.follows = 0
	b.epoch++
	named := map[Addr]bool{}
	for i := range ev.Entries {
		named[ev.Entries[i].Server] = true
		b.update(&ev.Entries[i])
	}
	if ev.List != ListDelta {
		for _, s := range b.servers {
			s.usable = s.usable && named[s.id]
		}
	}
	forget := func(s *server) bool { return !s.usable && len(s.out) == 0 && !s.probing }
	maps.DeleteFunc(b.byAddr, func(_ Addr, s *server) bool { return forget(s) })
	b.ring, b.servers = slices.DeleteFunc(b.ring, forget), slices.DeleteFunc(b.servers, forget)
	b.listed++
	b.focus()
}

func (b *Balancer) update(e *Entry) {
	s, since := b.byAddr[e.Server], min(finite(e.SinceMs), b.now)
	if s == nil {
		s = &server{Tier: NewTier(b.now), id: e.Server, hash: mix(hashAddr(e.Server)),
			window: firstWindow, startedAt: since, listedAt: since, toldAt: b.now}
		b.byAddr[s.id] = s
		s.credit = b.rng.Float64()
		b.servers = insert(b.servers, s, func(x *server) uint64 { return hashAddr(x.id) })
		b.ring = insert(b.ring, s, func(x *server) uint64 { return x.hash })
	}
	if since > s.listedAt {
		// A new process: nothing known of the old one holds, and it is cold.
		s.listedAt = since
		s.Tier, s.startedAt, s.suspect = NewTier(b.now), since, false
		s.lat, s.samples, s.window, s.crowds = 0, 0, 1, 0
		// A part of a request by chance: of many agents that never earn a whole one, as
		// many send one as together earned one.
		s.credit = b.rng.Float64()
	}
	s.zone, s.cell, s.usable = e.Zone, e.Cell, e.Health == Ready
	if s.weight = finite(e.Weight); s.weight <= 0 {
		s.weight = 1
	}
}
