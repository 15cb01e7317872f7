package balancer

import (
	"math"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

const (
	// boundedLoadFactor is c: how far above its even share of the agent's attempts a server may go
	// before a key's request moves on to the next in hash order.
	boundedLoadFactor = 4.0
	// maxFullScan is the number of servers up to which tiers are formed of all, and ringSampleSize of
	// how many they are formed where there are more.
	maxFullScan, ringSampleSize = 64, 48
	// fallbackCandidates is how many servers after a key's own are looked at, strays how many that
	// are drawn: many agents know the same loads, and must not all run to the same server.
	fallbackCandidates, randomCandidates = 2, 2
	// minKeyTokens is the tokens from which shared parts are worth keeping together.
	minKeyTokens = 128

	// Losses are parts of a request's worth: latenessCost that of one that comes late, recomputeCost a
	// thousand shared tokens that are read again, crossZoneCost to leave the zone, connectionCost to open a
	// connection, slowStartCost a cold server. prefillCost is what a ms of a server's reading takes from
	// the requests after it, and congestionCost that again where all come late.
	latenessCost, recomputeCost                  = 0.7, 0.06
	crossZoneCost, connectionCost, slowStartCost = 0.01, 0.004, 0.3
	prefillCost, congestionCost                  = 0.0005, 0.02
	// spreadShare and spreadErrorShare are how far a first token strays from its estimate, as parts of it
	// and of the usual error.
	spreadShare, spreadErrorShare = 0.1, 0.6

	// admissionConfidence is the part of an estimate, less the usual error, that must fit into the time left.
	admissionConfidence = 0.7
	// shedThreshold is the part of a more urgent kind that is late from which requests are refused,
	// shedSlope how steeply. Where it is over shedOwnThreshold of their own kind, those are that would be
	// late. At most maxShedRatio are refused.
	shedThreshold, shedSlope, shedOwnThreshold, maxShedRatio = 0.15, 2.0, 0.5, 0.6
	// loadReportLifetime is for how long the load that a server told proves that something waits there,
	// minQueueingRatio the part of such loads that must have told so.
	loadReportLifetime, minQueueingRatio = time.Second, 0.5
	// minRetryAfter bounds the advice of a refusal below, maxRetryAfterShare as a part of the time left above:
	// clients wait no longer.
	minRetryAfter, maxRetryAfterShare = 50 * time.Millisecond, 1.0 / 3
	// noServerRetryAfter is the advice where no server is known: lists change in seconds.
	noServerRetryAfter = time.Second
)

// candidate is a server that is looked at for a request.
type candidate struct {
	server          *server
	score           uint64
	inSubset        bool // one of those that the key belongs to
	cost            float64
	lateProbability float64 // chance to be late
	firstToken      time.Duration
}

// pickContext is what of a request decides where it goes.
type pickContext struct {
	*Request
	priorityClass int
	key           uint64 // of the parts worth keeping together; 0: none
	sharedTokens  int    // their tokens
	keySeenAt     time.Duration
	nonIdempotent bool // it must not run twice
}

// Pick decides where the request goes. It is sent unless it has no chance in its time, or the
// servers are full, or overloaded and it is less urgent or late anyway.
func (p *Picker) Pick(now time.Duration, r *Request) Decision {
	v := p.services[r.Service]
	if v == nil || len(v.servers) == 0 {
		return reject(r, noServerRetryAfter, "no server of the service is known")
	}
	q := p.newPickContext(v, r)
	tier, servers, full := p.bestTier(now, v, &q)
	switch {
	case len(tier) == 0 && full > 0:
		return reject(r, full, "all servers are full")
	case len(tier) == 0:
		return reject(r, minRetryAfter, "every server was tried")
	}
	best := p.bestCandidate(now, v, &q, tier, servers)
	if len(r.Tried) == 0 {
		v.lateness[q.priorityClass].recordExpected(now, best.lateProbability)
	}
	if why := p.rejectionReason(now, v, &q, &best); why != "" {
		return reject(r, best.firstToken-max(r.LatencyTarget-r.Elapsed, 0)/2, why)
	}
	s := best.server
	a := &Attempt{picker: p, server: s, instanceSeq: s.instance.Seq, sentAt: now, estimate: best.firstToken, prefixes: slices.Clone(p.prefixScratch), promptTokens: r.PromptTokens,
		priorityClass: q.priorityClass, targetAt: now + q.timeToTarget(), sequence: s.inference.Begin(now, p.prefixScratch, r.PromptTokens, r.MaxOutputTokens)}
	s.attempts = append(s.attempts, a)
	s.inFlight++
	v.inFlight++
	s.recordConnection(now)
	if q.key != 0 {
		v.keyLoads.add(now, q.key, millis(a.sequence.PrefillTime()))
	}
	return Decision{Action: Forward, Instance: s.instance, Attempt: a, Priority: serverPriority(q.priorityClass)}
}

func reject(r *Request, after time.Duration, why string) Decision {
	after = max(min(after, duration(millis(r.TimeLeft)*maxRetryAfterShare)), minRetryAfter)
	return Decision{Action: Reject, Reason: why, RetryAfter: after}
}

// newPickContext works out the request's key: the chain of all its parts but the last, which is its own.
func (p *Picker) newPickContext(v *service, r *Request) pickContext {
	q := pickContext{Request: r}
	if r.Route != nil {
		q.priorityClass = min(max(r.Route.Priority, 0), priorityClasses-1)
		q.nonIdempotent = !r.Route.Idempotent()
	}
	p.prefixScratch = inference.AppendPrefixes(p.prefixScratch[:0], r.Model, r.Segments)
	if n := len(p.prefixScratch); n > 1 {
		for _, part := range p.prefixScratch[:n-1] {
			q.sharedTokens += part.Tokens
		}
		if q.sharedTokens >= minKeyTokens {
			q.key = p.prefixScratch[n-2].ID
			q.keySeenAt = v.keyLoads.lastSeen(q.key)
		}
	}
	return q
}

// timeToTarget is the time in which an answer is worth its full value.
func (q *pickContext) timeToTarget() time.Duration {
	if q.LatencyTarget <= 0 {
		return q.TimeLeft
	}
	return min(q.TimeLeft, q.LatencyTarget-q.Elapsed)
}

// serverPriority is what a server is told: the most urgent 0, the next what servers take where
// nothing is said, those after it up to 9.
func serverPriority(urgency int) int {
	if urgency == 0 {
		return 0
	}
	return min(4+urgency, 9)
}

// bestTier is the servers of the best tier that may take the request, and of how many they are a
// sample. Where all of the tier are full it is empty, and tells when the first may have room.
func (p *Picker) bestTier(now time.Duration, v *service, q *pickContext) (tier []*server, of int, full time.Duration) {
	for _, pool := range [2][]*server{p.sampleRing(v, q.key), v.ring} {
		best := 2 * healthTiers
		full, p.tierScratch = 0, p.tierScratch[:0]
		for _, s := range pool {
			rank := p.serverRank(now, s, q)
			if rank > best || slices.Contains(q.Tried, s.instance.ID) {
				continue
			}
			if rank < best {
				best, full, p.tierScratch = rank, 0, p.tierScratch[:0]
			}
			if now < s.fullUntil {
				if wait := s.fullUntil - now; full == 0 || wait < full {
					full = wait
				}
				continue
			}
			p.tierScratch = append(p.tierScratch, s)
		}
		if len(p.tierScratch) > 0 && best == 0 || len(pool) == len(v.ring) {
			return p.tierScratch, len(p.tierScratch) * len(v.ring) / len(pool), full
		}
	}
	return nil, 0, 0
}

// sampleRing is the sample of a large fleet for a key: the servers that follow its place on the
// ring, the same at all agents. A change of the list moves each sample by one at the most.
func (p *Picker) sampleRing(v *service, key uint64) []*server {
	if len(v.ring) <= maxFullScan {
		return v.ring
	}
	x := inference.Mix64(key)
	if key == 0 {
		x = p.rng.Uint64()
	}
	at := int(float64(x>>11) / (1 << 53) * float64(len(v.ring)))
	p.sampleScratch = append(p.sampleScratch[:0], v.ring[at:min(at+ringSampleSize, len(v.ring))]...)
	return append(p.sampleScratch, v.ring[:ringSampleSize-len(p.sampleScratch)]...)
}

// bestCandidate looks at the servers that come first for the key, at some after them and at some drawn,
// and takes the one where the request loses least. The tier is a sample of so many servers.
func (p *Picker) bestCandidate(now time.Duration, v *service, q *pickContext, tier []*server, servers int) candidate {
	homes := 1
	if q.key != 0 {
		homes = min(v.keyLoads.subsetSize(now, q.key, servers), len(tier))
	}
	limit := int(math.Ceil(boundedLoadFactor * float64(v.inFlight+1) / float64(servers)))
	var order [maxSubsetSize + fallbackCandidates + randomCandidates]candidate
	n, most := 0, homes+fallbackCandidates
	for _, s := range tier {
		if s.inFlight >= limit {
			continue
		}
		score := inference.Mix64(q.key ^ s.ringHash)
		if q.key == 0 {
			score = p.rng.Uint64()
		}
		if n == most && score <= order[n-1].score {
			continue
		}
		i := min(n, most-1)
		for ; i > 0 && order[i-1].score < score; i-- {
			order[i] = order[i-1]
		}
		order[i] = candidate{server: s, score: score}
		n = min(n+1, most)
	}
	for range randomCandidates {
		s := tier[p.rng.IntN(len(tier))]
		if s.inFlight < limit && !slices.ContainsFunc(order[:n], func(c candidate) bool { return c.server == s }) {
			order[n] = candidate{server: s}
			n++
		}
	}
	if n == 0 { // those that are not full are at the cap: any of them
		order[0], n = candidate{server: tier[p.rng.IntN(len(tier))]}, 1
	}
	crowd := prefillCost + congestionCost*v.worstExpectedLateness(now)
	best := &order[0]
	for i := range n {
		c := &order[i]
		c.inSubset = q.key != 0 && i < homes
		p.estimateCost(now, v, q, c, crowd)
		if c.cost < best.cost {
			best = c
		}
	}
	return *best
}

// estimateCost works out what the request loses at the candidate, where a ms of reading loses so much.
func (p *Picker) estimateCost(now time.Duration, v *service, q *pickContext, c *candidate, work float64) {
	s := c.server
	cached := s.inference.CachedTokens(p.prefixScratch)
	again := 0 // shared tokens that some server has read before
	if cached < q.sharedTokens && q.key != 0 {
		if !c.inSubset {
			again = q.sharedTokens - cached
		} else if q.keySeenAt > s.listedAt {
			cached = q.sharedTokens // other agents send it here, too
		}
	}
	uncached := 0
	c.firstToken, uncached = s.inference.EstimateFirstTokenCached(now, cached, q.PromptTokens, q.MaxOutputTokens)
	first := millis(c.firstToken)
	wide := spreadShare*first + spreadErrorShare*millis(v.latency.FirstTokenError())
	c.lateProbability = 1 / (1 + math.Exp((millis(q.timeToTarget())-first)/wide))
	// A first token that is sooner but in time is worth little, yet more than nothing.
	c.cost = latenessCost*c.lateProbability + recomputeCost*float64(again)/1e3 +
		work*millis(v.latency.PrefillTime(q.PromptTokens-uncached, uncached)) + first*1e-5 + p.rng.Float64()*1e-6
	if s.instance.Zone != p.options.Zone {
		c.cost += crossZoneCost
	}
	if s.inFlight >= s.openConnections {
		c.cost += connectionCost
	}
	if now < s.slowStartUntil {
		c.cost += slowStartCost
	}
}

// rejectionReason tells why the request is not to be sent, or nothing.
func (p *Picker) rejectionReason(now time.Duration, v *service, q *pickContext, best *candidate) string {
	if millis(best.firstToken)*admissionConfidence-millis(v.latency.FirstTokenError()) > millis(q.TimeLeft) && v.isLoaded(now) {
		return "no server can answer in the time left"
	}
	// Less urgent kinds first, and those that come late anyway; but some of all are sent.
	shed := 0.0
	for i := range q.priorityClass {
		shed = max(shed, shedSlope*(v.lateness[i].agreed(now)-shedThreshold))
	}
	if best.lateProbability > 0.5 {
		shed = max(shed, v.lateness[q.priorityClass].agreed(now)-shedOwnThreshold)
	}
	if shed > 0 && p.rng.Float64() < min(shed, maxShedRatio) && v.isLoaded(now) {
		return "the servers are overloaded, and what is more urgent goes first"
	}
	return ""
}

// isLoaded tells whether what is known of the servers shows that half of their places are taken, or
// that something waits there: where less is, nothing is refused.
func (v *service) isLoaded(now time.Duration) bool {
	running, slots := 0, 0
	for _, s := range v.servers {
		running += max(s.inference.Running(now), s.inFlight)
		slots += s.inference.Slots()
		load, age, ok := s.inference.Load(now)
		if ok && age < loadReportLifetime && load.Waiting > 0 && v.queueingRatio > minQueueingRatio && s.inference.QueuedPrefills(now) > 0 {
			return true
		}
	}
	return slots > 0 && 2*running >= slots
}

// recordConnection notes that one more connection may be open.
func (s *server) recordConnection(now time.Duration) {
	if s.inFlight >= s.openConnections || now-s.openConnectionsAt > connectionIdleTime {
		s.openConnections, s.openConnectionsAt = s.inFlight, now
	}
}
