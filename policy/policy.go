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
	// loadCapFactor is c: how far above its even share of the agent's attempts a
	// server may go before a key's request moves on to the next in hash order.
	loadCapFactor = 3.0
	// overloadTargetShare is the part of the aim that a mean answer time may take, overloadBaselineFactor how many
	// times the fleet's calm one, before a server counts as crowded.
	overloadTargetShare, overloadBaselineFactor = 0.5, 1.5
	// initialConcurrency is the number of attempts an unmeasured server may hold, baselineResponses the number
	// of answers before any window grows: a start must not crowd what it measures.
	initialConcurrency, baselineResponses = 2.0, 50
	// minConcurrency is what is left to a server however crowded it is: enough to see
	// when it is not.
	minConcurrency, severeOverloadFactor = 0.1, 2.5
	// affinityWaitShare is the part of its aim that a request may wait for one of the affinityServers nearest
	// its key: going on at once would warm the key up elsewhere, just when time is short.
	affinityWaitShare, affinityServers = 0.25, 2
	// timeoutLatencyFactor is how many of the usual answer times a time-out must have lasted to tell of its
	// server; one that lasted a whole aim always does.
	timeoutLatencyFactor = 4.0
	// maxKeyShare is the most of a server's even share that one part of a key may bring, keyHistoryFactor
	// the number of requests, for each part there may be, by which a key's share is known.
	maxKeyShare, keyHistoryFactor = 0.25, 2.0
	// localWeightMin and localWeightMax bound how much more a server of the agent's own zone weighs in a
	// key's order: crossing takes time and may have a price. localWeightStep is how fast it moves.
	localWeightMin, localWeightMax, localWeightStep = 1.5, 8.0, 0.1
	// maxEjections bounds the doubling of a bad server's hold, maxEjectionMs that hold in ms.
	maxEjections, maxEjectionMs = 5, 8000.0
	// baseFailureTolerance is the part of its attempts that a server may fail, beyond failureToleranceFactor times
	// what the others do, before a failure puts it out. failureRateWindowMs is how long, in ms, what it
	// did before still tells of it.
	baseFailureTolerance, failureToleranceFactor, failureRateWeight, failureRateWindowMs = 0.2, 1.5, 0.15, 5000.0
	// zoneSuspicionCount is the number of silent servers that make an agent suspect all of their zone.
	zoneSuspicionCount = 2
	// unsentTimeShare is the part of its time after which a request of which nothing was sent is
	// given up: from half of it on the client counts the wait as worse than a refusal.
	unsentTimeShare = 0.46
	// retryBudgetRatio is the further attempts that a served request earns, retryBudgetMax what may be
	// saved up, and what an agent starts with.
	retryBudgetRatio, retryBudgetMax = 0.25, 4.0
	// goodputWindow is the number of tries by which an agent knows what part of them is served
	// in time; under 1/sheddingFactor of them it refuses some, never more than maxRejection.
	goodputWindow, sheddingFactor, maxRejection = 20.0, 1.5, 0.8
	// overloadInFlightFactor is how many times the mean of the reported requests a server may hold.
	overloadInFlightFactor = 1.5
	// serverMeanWeight is the weight of one answer in a server's mean, fleetMeanWeight in a fleet-wide one;
	// fade lets requests count less for shares with age, over about 500.
	serverMeanWeight, fleetMeanWeight, mixDecay = 0.2, 0.005, 0.998
	// maxPending bounds the requests held for room, and so the work of a decision.
	maxPending = 512
	// slowStartBurst bounds what a cold server's credit saves up, in requests: all agents may spend
	// theirs at once. slowStartKeyFactor is how much more than by its weight such a server draws keys: of
	// many agents each earns a request a minute, which must not wait for the server's own key.
	slowStartBurst, slowStartKeyFactor = 1.0, 8.0
	// slowStartLoadMargin is how much of what topples it an even share of a calm fleet may be to a
	// cold server: it knows no keys, has new connections to make, and chance adds to both.
	slowStartLoadMargin = 6.0
	// maxProbesInFlight bounds the probes under way, maxProbesPerRequest those for each request, and probeCostBudget
	// what they may take off the result, rejectingProbeFactor times as much while requests are
	// refused: to refuse what there is room for costs more.
	maxProbesInFlight, maxProbesPerRequest, probeCostBudget, rejectingProbeFactor = 2, 0.1, 0.006, 3.0
	// maxOverloadStreak bounds the doubling of a crowded server's rest.
	maxOverloadStreak = 4
	// queueLimitPerWeight is the requests for a weight of one that a server holds before its queue
	// counts as overload.
	queueLimitPerWeight = 4.0
	// sampleDraws is how many servers are drawn for one that can be sampled.
	sampleDraws = 4
	// subsetThreshold is the number of servers up to which a request's tiers are formed of all, and
	// subsetSize of how many they are formed where there are more.
	subsetThreshold, subsetSize = 64, 48
	// targetUtilization is the utilization that admission keeps warm servers to, capacityLossMargin what is
	// taken off it by the part of the capacity that was lost of late: moved keys cost more.
	// utilizationWindow is the number of probes that tell it, utilizationPrior of those taken for idle
	// at a start, so that one hot server is not taken for all.
	targetUtilization, capacityLossMargin, utilizationWindow, utilizationPrior = 0.92, 0.8, 4.0, 1.0
	// apertureKeepaliveShare is the part of the keepalive in which an agent's requests come to as many as the
	// servers that it keeps to, minAperture how many those are at the least. arrivalWindowMs is
	// the time in ms by which its traffic is known.
	apertureKeepaliveShare, minAperture, arrivalWindowMs = 0.2, 16, 2000.0
	// snapshotMaxAgeMs is the age in ms up to which what an earlier life knew of servers and of the
	// load is believed, snapshotKeysMaxAgeMs that for the popularity of keys and usual answer times.
	snapshotMaxAgeMs, snapshotKeysMaxAgeMs = 30e3, 600e3
	// trialTimeoutMs is for how long in ms a server that is to be tried waits for a request.
	trialTimeoutMs = 2000.0

	maintenanceTimer, watchTimer = 1, 2
)

// New returns the balancer of one agent, or an error that names the setting
// that makes no sense. All its randomness comes from the seed.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: set, rng: rand.New(rand.NewPCG(seed, mixBits(seed))), serverByAddr: map[Addr]*server{},
		requests: map[RequestID]*request{}, keyCounts: map[uint64]float64{}, probeTokens: maxProbesInFlight,
		localWeight: localWeightMin, retryTokens: retryBudgetMax, reachableShare: 1, attempted: goodputWindow / 2, goodput: goodputWindow / 2,
		tenantShares:     make([]float64, len(set.Tenants)),
		minLatencyTarget: math.Inf(1), lastFetchAt: math.Inf(-1)}
	for _, c := range set.Classes {
		b.expectedLatency = append(b.expectedLatency, c.LatencyTargetMs*overloadTargetShare/2)
		b.minLatencyTarget = min(b.minLatencyTarget, c.LatencyTargetMs)
		b.classShares, b.classOnTime = append(b.classShares, 1), append(b.classOnTime, 1)
	}
	return b, nil
}

// Start gives the first actions of a new agent and appends them to out.
func (b *Balancer) Start(now float64, out []Action) []Action {
	b.now, b.actions = now, out
	if b.settings.Membership == "on_request" {
		// Spread over a part of the contract's time: agents that start together
		// must not all call at once.
		b.emit(Action{Kind: ActionTimer, DurationMs: b.rng.Float64() * b.settings.Contract.DiscoveryDeadlineMs / 8, Token: watchTimer})
	}
	return b.actions
}

// Handle takes one event and appends the actions it calls for to out. Events
// for what is finished or unknown are ignored.
func (b *Balancer) Handle(now float64, event *Event, out []Action) []Action {
	b.now, b.actions = now, out
	ev := event.sanitized()
	switch ev.Kind {
	case EventRequest:
		b.onRequest(ev)
	case EventAttemptEnded:
		b.onAttemptEnded(ev)
	case EventStreamStarted: // a streamed answer belongs to the client now
		if r := b.requests[ev.Request]; r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
			r.finished, r.attempts[ev.Attempt].server.lastResponseAt = true, now
		}
	case EventClientGone:
		if r := b.requests[ev.Request]; r != nil && !r.finished {
			b.rememberUnserved(r)
			if r.inFlight > 0 && b.now > r.targetAt { // who leaves sooner tells nothing of crowds
				b.recordGoodput(0)
			}
			b.finish(r)
		}
	case EventDiscovery:
		b.onDiscovery(ev)
	case EventProbeEnded:
		b.onProbeEnded(ev)
	case EventRestore:
		b.restore(ev.Snapshot)
	case EventOverrides:
		b.onOverrides(ev)
	case EventTimer:
		b.onTimer(ev.Token)
	}
	b.dispatch()
	b.startTimer()
	return b.actions
}

// startTimer keeps one timer running while there is something to watch.
func (b *Balancer) startTimer() {
	if !b.timerRunning && (len(b.pending) > 0 || b.inFlight > 0) {
		b.timerRunning = true
		b.emit(Action{Kind: ActionTimer, DurationMs: max(2*b.settings.RoundMs, 5), Token: maintenanceTimer})
	}
}

func (b *Balancer) onTimer(token uint32) {
	switch token {
	case watchTimer:
		b.emit(Action{Kind: ActionWatch})
	case maintenanceTimer:
		b.timerRunning = false
		b.ejectTimedOut()
		b.expirePending()
	}
}

// fetchList asks for the whole list, seldom: the stream of changes is as fresh,
// and every call loads discovery.
func (b *Balancer) fetchList() {
	if b.now-b.lastFetchAt >= max(b.settings.Contract.DiscoveryDeadlineMs, 1000) {
		b.lastFetchAt = b.now
		b.emit(Action{Kind: ActionFetch})
	}
}

func (b *Balancer) onDiscovery(ev *Event) {
	if ev.Update == UpdateFailed {
		b.watchFailures++
		if b.settings.Membership == "on_request" {
			wait := min(500*math.Pow(2, float64(b.watchFailures)), b.settings.Contract.DiscoveryDeadlineMs)
			b.emit(Action{Kind: ActionTimer, DurationMs: wait * (0.5 + 0.5*b.rng.Float64()), Token: watchTimer})
		}
		return
	}
	b.watchFailures = 0
	b.generation++
	named := map[Addr]bool{}
	for i := range ev.Endpoints {
		named[ev.Endpoints[i].Server] = true
		b.updateServer(&ev.Endpoints[i])
	}
	if ev.Update != UpdateDelta {
		for _, s := range b.servers {
			s.ready = s.ready && named[s.addr]
		}
	}
	forget := func(s *server) bool { return !s.ready && len(s.inFlight) == 0 && !s.probing }
	maps.DeleteFunc(b.serverByAddr, func(_ Addr, s *server) bool { return forget(s) })
	b.hashRing, b.servers = slices.DeleteFunc(b.hashRing, forget), slices.DeleteFunc(b.servers, forget)
	b.listVersion++
	b.updateAperture()
}

func (b *Balancer) updateServer(e *Endpoint) {
	s, since := b.serverByAddr[e.Server], min(finiteOrZero(e.StartedMs), b.now)
	if s == nil {
		s = &server{EndpointHealth: NewEndpointHealth(b.now), addr: e.Server, hash: mixBits(addressBits(e.Server)),
			concurrencyLimit: initialConcurrency, assumedStartAt: since, listedStartAt: since, lastOutcomeAt: b.now}
		b.serverByAddr[s.addr] = s
		s.slowStartCredit = b.rng.Float64()
		b.servers = insertServer(b.servers, s, func(x *server) uint64 { return addressBits(x.addr) })
		b.hashRing = insertServer(b.hashRing, s, func(x *server) uint64 { return x.hash })
	}
	if since > s.listedStartAt {
		// A new process: nothing known of the old one holds, and it is cold.
		s.listedStartAt = since
		s.EndpointHealth, s.assumedStartAt, s.zoneSuspected = NewEndpointHealth(b.now), since, false
		s.latency, s.latencySamples, s.concurrencyLimit, s.overloadStreak = 0, 0, 1, 0
		// A part of a request by chance: of many agents that never earn a whole one, as
		// many send one as together earned one.
		s.slowStartCredit = b.rng.Float64()
	}
	s.zone, s.cell, s.ready = e.Zone, e.Cell, e.Status == Ready
	if s.weight = finiteOrZero(e.Weight); s.weight <= 0 {
		s.weight = 1
	}
}
