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
	// watchBackoffMs is the base of the exponential backoff after failed subscriptions: the first retry
	// waits at most twice as long.
	watchBackoffMs = 500
	// restartConcurrency is the concurrency limit of a server that has just restarted.
	restartConcurrency = 1
)

// server holds what the agent knows about one listed server.
type server struct {
	EndpointHealth
	addr  Addr
	hash  uint64
	zone  int
	cell  int
	ready bool // listed as Ready

	weight         float64
	listedStartAt  float64 // start of its process as listed; zero if long ago
	assumedStartAt float64 // listedStartAt, or later if a restart is assumed
	inAperture     bool

	inFlight       []*attempt // oldest first
	lastSentAt     float64
	lastResponseAt float64 // time of its last response, whatever its status

	unreachableSince float64 // time of the first failed connect since its last response; zero if none failed
	timedOutSentAt   float64 // send time of the last attempt that found it unresponsive; zero if none did
	zoneSuspected    bool    // assumed to be unresponsive because other servers of its zone are
	failureRate      float64 // fraction of its attempts that fail
	lastOutcomeAt    float64

	probing      bool // a probe is in flight
	samplingLoad bool // the probe in flight samples the load

	relativeLatency  float64 // mean relative latency; zero if none is known
	latencySamples   int
	meanLatencyMs    float64
	concurrencyLimit float64 // attempts to it that this agent may have in flight
	limitReducedAt   float64
	overloadStreak   int     // how often it was found overloaded, less its responses without overload
	pausedUntil      float64 // until this time other servers of its tier are preferred

	slowStartCredit float64 // requests that it may be sent during slow start

	rendezvous float64 // score for the request that is being dispatched; the lowest wins

	withheldShare     float64 // fraction of its share that an override withholds
	trafficWeight     float64 // weight for traffic between zones by an override, relative to the mean
	overrideExpiresAt float64
	trialExpiresAt    float64 // time until which it is due for a trial request; zero after the trial
}

// discoveryState is the state of the endpoint list and of its subscription.
type discoveryState struct {
	updates       uint64 // number of applied updates
	lastFetchAt   float64
	watchFailures int // consecutive failures
}

// fetchList requests the full list, unless it did so recently: the stream of updates is as fresh, and every
// fetch puts load on discovery.
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

// retryWatch schedules another subscription after an exponential backoff with jitter, within the contract's
// discovery deadline. Pushed updates need no subscription.
func (b *Balancer) retryWatch() {
	b.discovery.watchFailures++
	if b.settings.Membership != MembershipOnRequest {
		return
	}
	backoff := min(watchBackoffMs*math.Pow(2, float64(b.discovery.watchFailures)),
		b.settings.Contract.DiscoveryDeadlineMs)
	b.emit(Action{Kind: ActionTimer, DurationMs: backoff * (0.5 + 0.5*b.rng.Float64()), Token: watchTimer})
}

// updateServer applies one listed endpoint and adds its server if it is new.
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

// resetRestarted discards what was learned about the server's previous process; the new one is in slow start.
func (b *Balancer) resetRestarted(srv *server, startedAt float64) {
	srv.listedStartAt, srv.assumedStartAt = startedAt, startedAt
	srv.EndpointHealth, srv.zoneSuspected = NewEndpointHealth(b.now), false
	srv.relativeLatency, srv.latencySamples = 0, 0
	srv.concurrencyLimit, srv.overloadStreak = restartConcurrency, 0
	srv.slowStartCredit = b.drawSlowStartCredit()
}

// insertServer inserts a server into a slice that is ordered by key, then by address.
func insertServer(servers []*server, srv *server, key func(*server) uint64) []*server {
	i, _ := slices.BinarySearchFunc(servers, srv, func(x, y *server) int {
		return cmp.Or(cmp.Compare(key(x), key(y)), bytes.Compare(x.addr[:], y.addr[:]))
	})
	return slices.Insert(servers, i, srv)
}

// addressBits returns the address as a number; addresses and their numbers sort in the same order.
func addressBits(addr Addr) uint64 {
	bits := uint64(0)
	for _, octet := range addr {
		bits = bits<<8 | uint64(octet)
	}
	return bits
}
