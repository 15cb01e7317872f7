package policy

import (
	"bytes"
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// This file holds what a Balancer remembers and plain arithmetic on it; the
// decisions are in the files that policy.go names.

// server is what the agent knows of one listed server.
type server struct {
	EndpointHealth
	addr              Addr
	hash              uint64
	zone              int
	cell              int
	weight            float64
	listedStartAt     float64 // start of its process by the list
	assumedStartAt    float64 // the same, or later where a restart is assumed
	ready             bool    // listed as ready
	inAperture        bool    // in the aperture
	unreachableSince  float64 // first failed connect since it last answered; 0: none
	timedOutFrom      float64 // when the attempt was sent that it fell silent on
	zoneSuspected     bool    // taken for silent as others of its zone are
	probing           bool
	samplingLoad      bool       // by the probe under way
	inFlight          []*attempt // attempts out, oldest first
	lastResponseAt    float64    // when it last answered anything
	latency           float64    // mean answer time as a part of the aim
	latencySamples    int
	concurrencyLimit  float64 // attempts it may hold of this agent
	limitReducedAt    float64
	lastSentAt        float64 // last attempt
	overloadStreak    int     // how often in a row it was met crowded
	pausedUntil       float64 // passed over in its tier
	meanLatencyMs     float64 // mean answer time
	failureRate       float64 // part of its attempts that fail
	lastOutcomeAt     float64 // when the last of them ended
	slowStartCredit   float64 // work a cold server may still be sent
	rendezvous        float64 // place in a request's order; lower is nearer
	withheldShare     float64 // part of its share that the site's agents take from it, until
	overrideExpiresAt float64
	trafficWeight     float64 // what it weighs for the site's traffic, as a part of the mean, until the same
	trialExpiresAt    float64 // it is to be tried before
}

// attempt is one send of a request.
type attempt struct {
	request      *request
	server       *server
	index        int
	sentAt       float64
	soleInFlight bool // no other of this agent was out on its server
	ended        bool
}

// request is one try of a client, kept until it is answered and no attempt is out.
type request struct {
	id             RequestID
	class          int
	tenant         int
	key            uint64
	hashKey        uint64  // the key, or one of its parts
	firstArrivedAt float64 // when the client's first try came, as far as known
	arrivedAt      float64
	clientRetries  int     // the client's tries before
	admissionDraw  float64 // refused for want of room while under the part that is refused
	targetAt       float64
	deadline       float64 // margin already taken off
	attempts       []*attempt
	inFlight       int // attempts out
	maybeExecuted  int // attempts that may have run
	executedAt     float64
	executedOn     *server
	preferred      [affinityServers]*server // nearest its key, as of epoch
	preferredAt    uint64
	tierWeight     float64 // of the tier at its last pick
	value          float64
	reachedServer  bool // an attempt reached a server
	finished       bool // over, or a streamed answer belongs to the client now
}

// unservedRequest is what is remembered of an unserved request, to know its retry.
type unservedRequest struct {
	class          int
	key            uint64
	firstArrivedAt float64
	admissionDraw  float64
	clientRetries  int // tries before
}

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	settings                                 Settings
	rng                                      *rand.Rand
	now                                      float64
	actions                                  []Action
	servers                                  []*server // by address
	serverByAddr                             map[Addr]*server
	requests                                 map[RequestID]*request
	pending                                  []*request
	keyCounts                                map[uint64]float64 // requests of each key, of keyed in all, halved now and then
	keyTotal                                 float64
	candidates                               []*server // scratch of pick
	unserved                                 []unservedRequest
	hashRing                                 []*server // by hash
	aperture                                 []*server // of them the aperture
	listVersion, apertureVersion             uint64
	recentArrivals, arrivalsAt, apertureSize float64
	subset                                   []*server // scratch of window
	surveyVersion                            uint64    // one more than the epoch of the last survey, which found:
	trials                                   []*server // that are to be tried
	reachableShare                           float64   // part of the fleet that the site reaches
	zoneWeighted                             bool      // between zones, by the standings
	unhealthy                                []*server // UnhealthyPending or Unhealthy
	warmingUp                                []*server
	warmHealthyWeight                        float64 // weight of the usable warm servers of the top tier
	warmWeight                               float64 // and of those not Unhealthy
	capacityWeight                           float64 // weight of usable servers by ramp, at capacityAt and capacityEpoch
	peakCapacity                             float64 // the most of it of late, fading over the cold time
	capacityAt                               float64
	capacityEpoch                            uint64
	generation                               uint64  // counts changes of tiers and list
	localWeight                              float64 // how much more a server of the own zone weighs
	inFlight                                 int
	failureRate                              float64 // part of all attempts that fail
	meanReported                             float64 // mean reported requests for weight one
	lastSentAt                               float64 // last attempt
	sendInterval                             float64 // mean time between attempts
	attempted                                float64 // ended tries, fading, and what they gained
	goodput                                  float64
	retryTokens                              float64 // further attempts that may be made
	probesInFlight                           int
	validationTurn                           bool    // the last probe earned was left to validation
	probeTokens                              float64 // probes that may be sent
	loadSamples                              float64 // load reports taken
	demand                                   float64 // load on the fleet were nothing refused, in warm servers of weight one
	saturation                               float64
	admittedShare                            float64   // part of requests not shed
	expectedLatency                          []float64 // per class: mean answer time
	responses                                float64   // served so far
	fleetLatency                             float64   // mean answer time as a part of the aim, all servers
	baselineLatency                          float64   // the same when nothing is crowded
	tenantShares                             []float64 // tenants' shares of requests
	classShares                              []float64 // classes' shares of requests
	classOnTime                              []float64 // and of those served in time
	worstClass                               int       // the class served worst
	meanValue                                float64   // mean worth of a request
	minLatencyTarget                         float64
	lastFetchAt                              float64 // last fetch of the list
	watchFailures                            int     // failed calls in a row
	warmSendRate                             float64 // work sent to a warm server of weight one, fading over the cold time
	warmSendRateAt                           float64
	timerRunning                             bool
	saturated                                bool // requests that would take any server find no room
}

// countClass keeps the classes' shares of requests and of those served in time.
func (b *Balancer) countClass(class int) {
	b.meanValue = 0
	for i, c := range b.settings.Classes {
		b.classShares[i] *= mixDecay
		b.classOnTime[i] *= mixDecay
		if i == class {
			b.classShares[i] += 1 - mixDecay
		}
		b.meanValue += b.classShares[i] * c.Value
	}
}

// countTenant keeps the tenants' shares of this agent's requests.
func (b *Balancer) countTenant(tenant int) {
	if tenant < 0 || tenant >= len(b.tenantShares) {
		return
	}
	for i := range b.tenantShares {
		b.tenantShares[i] *= mixDecay
	}
	b.tenantShares[tenant] += 1 - mixDecay
}

// countKey counts a request of the key; counts are halved when there are too many.
func (b *Balancer) countKey(key uint64, most float64) {
	if b.keyTotal >= most {
		b.keyTotal /= 2
		for k := range b.keyCounts {
			if b.keyCounts[k] /= 2; b.keyCounts[k] < 0.5 {
				delete(b.keyCounts, k)
			}
		}
	}
	b.keyTotal++
	b.keyCounts[key]++
}

// rememberUnserved keeps when an unserved request first came, so that its retry is
// judged by the time that has passed for the client.
func (b *Balancer) rememberUnserved(r *request) {
	if !b.settings.Clients.MarksRetry {
		return
	}
	b.unserved = slices.DeleteFunc(b.unserved, func(p unservedRequest) bool {
		return b.now-p.firstArrivedAt > b.settings.Classes[p.class].ClientTimeoutMs
	})
	if len(b.unserved) < maxPending {
		b.unserved = append(b.unserved, unservedRequest{r.class, r.key, r.firstArrivedAt, r.admissionDraw, r.clientRetries})
	}
}

// restoreRetry gives a retry what is remembered of its try before. A client that comes more often
// than once keeps its luck with admission: else all that come again would be let in.
func (b *Balancer) restoreRetry(r *request) {
	i := slices.IndexFunc(b.unserved, func(p unservedRequest) bool { return p.class == r.class && p.key == r.key })
	if i < 0 {
		return
	}
	p := b.unserved[i]
	b.unserved = slices.Delete(b.unserved, i, i+1)
	r.firstArrivedAt, r.clientRetries = p.firstArrivedAt, p.clientRetries+1
	if r.clientRetries > 1 {
		r.admissionDraw = p.admissionDraw
	}
}

// recordGoodput counts an ended try and the part of its worth that it earned.
func (b *Balancer) recordGoodput(part float64) {
	b.attempted += 1 - b.attempted/goodputWindow
	b.goodput += part - b.goodput/goodputWindow
}

// effectiveShare is the part of its weight that a server is let have now; 0 is ejected.
func (b *Balancer) effectiveShare(s *server) float64 {
	if b.now >= s.overrideExpiresAt {
		return 1
	}
	return 1 - s.withheldShare
}

// effectiveTraffic is what a server weighs beside its share where zones are parted; it is no capacity.
func (b *Balancer) effectiveTraffic(s *server) float64 {
	if !b.zoneWeighted || b.now >= s.overrideExpiresAt {
		return 1
	}
	return s.trafficWeight
}

// reportedMetric is a value of a load report; false if it has none of that name.
func (b *Balancer) reportedMetric(report []float32, name string) (float64, bool) {
	i := slices.Index(b.settings.LoadReport.Metrics, name)
	if i < 0 || i >= len(report) {
		return 0, false
	}
	return finiteOrZero(float64(report[i])), true
}

// overQuota tells whether a tenant sends more than its portion of what comes.
func (b *Balancer) overQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenantShares) {
		return false
	}
	return b.tenantShares[tenant] > 1.1*b.settings.Tenants[tenant].QuotaShare
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) sendProbe(s *server) {
	s.probing = true
	b.probesInFlight++
	b.probeTokens--
	b.emit(Action{Kind: ActionProbe, Server: s.addr})
}

// slowStartFactor is the part of its capacity that a started server has by the contract.
func (b *Balancer) slowStartFactor(s *server) float64 {
	c := &b.settings.Contract
	age := b.now - s.assumedStartAt
	if s.assumedStartAt <= 0 || age >= c.SlowStartMs || s.assumedStartAt != s.listedStartAt && age > c.DiscoveryDeadlineMs {
		return 1 // long past, or assumed and not borne out by the list in its time
	}
	return c.SlowStartFloor + (1-c.SlowStartFloor)*max(age, 0)/c.SlowStartMs
}

// survey notes, once for each change of tiers and list, the servers that most decisions
// turn on: those not healthy, and those not yet warm; of the others the weight is enough.
func (b *Balancer) survey() {
	if b.surveyVersion == b.generation+1 {
		return
	}
	b.surveyVersion = b.generation + 1
	b.unhealthy, b.warmingUp, b.warmHealthyWeight, b.warmWeight = b.unhealthy[:0], b.warmingUp[:0], 0, 0
	for _, s := range b.servers {
		if s.state > Unknown {
			b.unhealthy = append(b.unhealthy, s)
		}
		switch {
		case b.slowStartFactor(s) < 1:
			b.warmingUp = append(b.warmingUp, s)
		case s.ready && s.state <= Unknown:
			b.warmHealthyWeight += s.weight * b.effectiveShare(s)
			b.warmWeight += s.weight * b.effectiveShare(s)
		case s.ready && s.state < Unhealthy:
			b.warmWeight += s.weight * b.effectiveShare(s)
		}
	}
}

// currentWarmWeight is the weight of the servers of the top tier that are not cold.
func (b *Balancer) currentWarmWeight() float64 {
	b.survey()
	warm := b.warmHealthyWeight
	for _, s := range b.warmingUp { // some of them are warm by now
		if s.ready && s.state <= Unknown && b.slowStartFactor(s) == 1 {
			warm += s.weight * b.effectiveShare(s)
		}
	}
	return warm
}

// currentCapacity is the weight of the servers that may be sent to, each by its ramp, counted
// once for all decisions of a moment.
func (b *Balancer) currentCapacity() float64 {
	if b.capacityAt != b.now || b.capacityEpoch != b.generation {
		b.survey()
		b.peakCapacity *= math.Exp((b.capacityAt - b.now) / max(b.settings.Contract.SlowStartMs, 1))
		b.capacityWeight, b.capacityAt, b.capacityEpoch = b.warmWeight, b.now, b.generation
		for _, s := range b.warmingUp {
			if s.ready && s.state < Unhealthy {
				b.capacityWeight += s.weight * b.slowStartFactor(s) * b.effectiveShare(s)
			}
		}
		b.peakCapacity = max(b.peakCapacity, b.capacityWeight)
	}
	return b.capacityWeight
}

// relativeLatency is an answer time as a part of the aim.
func (b *Balancer) relativeLatency(r *request, rtt float64) float64 {
	return min(rtt/b.settings.Classes[r.class].LatencyTargetMs, 2)
}

// transition notes a server's new state and its time; tiers have changed.
func (b *Balancer) transition(s *server, to State) {
	if s.Transition(to, b.now) {
		b.generation++
	}
}

// recordFailureRate counts an attempt's end as a failure, or not, of the server and of them all.
func (b *Balancer) recordFailureRate(s *server, x float64) {
	s.failureRate += max(failureRateWeight, 1-math.Exp((s.lastOutcomeAt-b.now)/failureRateWindowMs)) * (x - s.failureRate)
	s.lastOutcomeAt = b.now
	b.failureRate += fleetMeanWeight * (x - b.failureRate)
}

// recordLatency keeps a server's mean answer time, cut makes its window smaller.
func (b *Balancer) recordLatency(s *server, x float64) {
	s.latencySamples++
	s.latency = movingMean(s.latency, x, max(serverMeanWeight, 1/float64(s.latencySamples)))
}

func (b *Balancer) reduceConcurrency(s *server, by, least float64) {
	s.concurrencyLimit, s.limitReducedAt = min(s.concurrencyLimit, max(s.concurrencyLimit*by, least)), b.now
}

// finiteOrZero is the number, or 0 where it is negative or none.
func finiteOrZero(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

// sanitized is the event with numbers that make sense.
func (ev *Event) sanitized() *Event {
	e := *ev
	e.RemainingMs, e.LatencyMs = finiteOrZero(e.RemainingMs), finiteOrZero(e.LatencyMs)
	return &e
}

// movingMean moves a running mean towards x; the first value is taken whole.
func movingMean(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}

// insertServer puts a server in its place by key.
func insertServer(servers []*server, s *server, key func(*server) uint64) []*server {
	i, _ := slices.BinarySearchFunc(servers, s, func(x, y *server) int {
		return cmp.Or(cmp.Compare(key(x), key(y)), bytes.Compare(x.addr[:], y.addr[:]))
	})
	return slices.Insert(servers, i, s)
}

func addressBits(a Addr) uint64 {
	h := uint64(0)
	for _, x := range a {
		h = h<<8 | uint64(x)
	}
	return h
}

// mixBits is the finalizer of splitmix64.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// maxSnapshotKeys bounds the keys that are remembered.
const maxSnapshotKeys = 10_000

// Snapshot is what the Balancer has learned by now, for its next life.
func (b *Balancer) Snapshot(now float64) *Snapshot {
	m := &Snapshot{Demand: b.demand, Peak: b.peakCapacity, Admitted: b.admittedShare, CalmLat: b.baselineLatency, FleetLat: b.fleetLatency,
		Answers: b.responses, Expect: slices.Clone(b.expectedLatency)}
	for _, s := range b.servers {
		m.Servers = append(m.Servers, ServerSnapshot{Server: s.addr, StartedMs: s.listedStartAt, State: s.state, InStateMs: max(now-s.since, 0),
			Silent: s.timedOut, Strikes: s.ejections, Failing: s.failureRate, Lat: s.latency, RTTMs: s.meanLatencyMs, Samples: s.latencySamples, Window: s.concurrencyLimit})
	}
	for k, n := range b.keyCounts {
		m.Keys = append(m.Keys, KeyCount{k, n})
	}
	slices.SortFunc(m.Keys, func(x, y KeyCount) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Key, y.Key))
	})
	m.Keys = m.Keys[:min(len(m.Keys), maxSnapshotKeys)]
	return m
}

// BalancerStats is what a Balancer believes of the fleet, for reports: nothing decides by it.
type BalancerStats struct {
	LoadShedding         float64 // part of the requests refused for being served late
	Admission            float64 // part of them that there is room for
	Demand               float64 // load were nothing refused, and
	Capacity             float64 // what the listed servers can do, in warm servers of weight one
	Aperture             int     // servers that it keeps to
	Pending              int     // requests that wait for room
	Unhealthy, WarmingUp int     // servers
	States               [4]int  // servers in each state, in tier order
}

// Stats tells what it believes at its last event.
func (b *Balancer) Stats() BalancerStats {
	b.survey()
	f := BalancerStats{LoadShedding: b.sheddingShare(), Admission: b.admissionShare(), Demand: b.demand, Capacity: b.currentCapacity(),
		Aperture: len(b.aperture), Pending: len(b.pending), Unhealthy: len(b.unhealthy), WarmingUp: len(b.warmingUp)}
	for _, s := range b.servers {
		f.States[s.state]++
	}
	return f
}
