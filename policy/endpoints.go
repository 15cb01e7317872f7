package policy

import (
	"bytes"
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// minFetchIntervalMs is the shortest time between two fetches of the full list.
	minFetchIntervalMs = 1000
	// watchBackoffMs is half of the longest pause before the first repetition of a failed subscription.
	watchBackoffMs = 500
	// restartConcurrency is the concurrency limit of a server that started again.
	restartConcurrency = 1
)

// server is what the agent knows of one listed server.
type server struct {
	EndpointHealth
	addr  Addr
	hash  uint64
	zone  int
	cell  int
	ready bool // as listed

	weight         float64
	listedStartAt  float64 // start of its process by the list; 0: long ago
	assumedStartAt float64 // the same, or later where a restart is assumed
	inAperture     bool

	inFlight       []*attempt // oldest first
	lastSentAt     float64
	lastResponseAt float64 // when it last answered anything

	unreachableSince float64 // first failed connect since its last response; 0: none
	timedOutFrom     float64 // when the attempt was sent on which it was found unresponsive
	zoneSuspected    bool    // taken for unresponsive as others of its zone are
	failureRate      float64 // part of its attempts that fail
	lastOutcomeAt    float64

	probing      bool // a probe is in flight
	samplingLoad bool // which samples the load

	latency          float64 // mean, as a part of the latency target
	latencySamples   int
	meanLatencyMs    float64
	concurrencyLimit float64 // attempts that this agent may have in flight there
	limitReducedAt   float64
	overloadStreak   int     // how often in a row it was found overloaded
	pausedUntil      float64 // passed over in its tier

	slowStartCredit float64 // requests that it may be sent while it warms up

	rendezvous float64 // score for the request that is being placed; the lowest wins

	withheldShare     float64 // part of its share that an override takes away
	trafficWeight     float64 // what it weighs by an override, as a part of the mean
	overrideExpiresAt float64
	trialExpiresAt    float64 // it is to get a trial request before
}

// discoveryState is what the agent knows of its endpoint list.
type discoveryState struct {
	updates       uint64 // that were applied
	lastFetchAt   float64
	watchFailures int // in a row
}

// fetchList asks for the full list, seldom: the stream of changes is as fresh, and every call loads
// discovery.
func (b *Balancer) fetchList() {
	if b.now-b.discovery.lastFetchAt >= max(b.settings.Contract.DiscoveryDeadlineMs, minFetchIntervalMs) {
		b.discovery.lastFetchAt = b.now
		b.emit(Action{Kind: ActionFetch})
	}
}

// onDiscovery applies an update of the endpoint list.
func (b *Balancer) onDiscovery(event *Event) {
	if event.Update == UpdateFailed {
		b.retryWatch()
		return
	}
	b.discovery.watchFailures = 0
	b.generation++
	listed := map[Addr]bool{}
	for i := range event.Endpoints {
		listed[event.Endpoints[i].Server] = true
		b.updateServer(&event.Endpoints[i])
	}
	if event.Update != UpdateDelta {
		for _, srv := range b.servers {
			srv.ready = srv.ready && listed[srv.addr]
		}
	}
	unused := func(srv *server) bool { return !srv.ready && len(srv.inFlight) == 0 && !srv.probing }
	maps.DeleteFunc(b.serverByAddr, func(_ Addr, srv *server) bool { return unused(srv) })
	b.hashRing = slices.DeleteFunc(b.hashRing, unused)
	b.servers = slices.DeleteFunc(b.servers, unused)
	b.discovery.updates++
	b.updateAperture()
}

// retryWatch subscribes again after a pause: exponential backoff with jitter, within the contract's
// deadline. Pushed updates need no subscription.
func (b *Balancer) retryWatch() {
	b.discovery.watchFailures++
	if b.settings.Membership != MembershipOnRequest {
		return
	}
	backoff := min(watchBackoffMs*math.Pow(2, float64(b.discovery.watchFailures)),
		b.settings.Contract.DiscoveryDeadlineMs)
	b.emit(Action{Kind: ActionTimer, DurationMs: backoff * (0.5 + 0.5*b.rng.Float64()), Token: watchTimer})
}

// updateServer takes over one endpoint, which may be new.
func (b *Balancer) updateServer(endpoint *Endpoint) {
	srv, startedAt := b.serverByAddr[endpoint.Server], min(finiteOrZero(endpoint.StartedMs), b.now)
	if srv == nil {
		srv = b.addServer(endpoint.Server, startedAt)
	}
	if startedAt > srv.listedStartAt {
		b.resetRestarted(srv, startedAt)
	}
	srv.zone, srv.cell, srv.ready = endpoint.Zone, endpoint.Cell, endpoint.Status == Ready
	if srv.weight = finiteOrZero(endpoint.Weight); srv.weight <= 0 {
		srv.weight = 1
	}
}

func (b *Balancer) addServer(addr Addr, startedAt float64) *server {
	srv := &server{
		EndpointHealth:   NewEndpointHealth(b.now),
		addr:             addr,
		hash:             mixBits(addressBits(addr)),
		concurrencyLimit: initialConcurrency,
		listedStartAt:    startedAt,
		assumedStartAt:   startedAt,
		lastOutcomeAt:    b.now,
	}
	b.serverByAddr[addr] = srv
	srv.slowStartCredit = b.drawSlowStartCredit()
	b.servers = insertServer(b.servers, srv, func(other *server) uint64 { return addressBits(other.addr) })
	b.hashRing = insertServer(b.hashRing, srv, func(other *server) uint64 { return other.hash })
	return srv
}

// resetRestarted drops what was known of the server's earlier process; the new one is warming up.
func (b *Balancer) resetRestarted(srv *server, startedAt float64) {
	srv.listedStartAt, srv.assumedStartAt = startedAt, startedAt
	srv.EndpointHealth, srv.zoneSuspected = NewEndpointHealth(b.now), false
	srv.latency, srv.latencySamples = 0, 0
	srv.concurrencyLimit, srv.overloadStreak = restartConcurrency, 0
	srv.slowStartCredit = b.drawSlowStartCredit()
}

// insertServer inserts a server into servers that are ordered by key, then by address.
func insertServer(servers []*server, srv *server, key func(*server) uint64) []*server {
	i, _ := slices.BinarySearchFunc(servers, srv, func(x, y *server) int {
		return cmp.Or(cmp.Compare(key(x), key(y)), bytes.Compare(x.addr[:], y.addr[:]))
	})
	return slices.Insert(servers, i, srv)
}

// addressBits is the address as a number; equal order, equal number.
func addressBits(addr Addr) uint64 {
	bits := uint64(0)
	for _, octet := range addr {
		bits = bits<<8 | uint64(octet)
	}
	return bits
}
