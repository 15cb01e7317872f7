package balancer

import (
	"math"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/inference"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

const (
	// boundedLoadFactor times its even share of the agent's attempts is how many attempts a server
	// may have in flight before a key's request moves on to the next server in hash order. It is
	// the c of Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016.
	boundedLoadFactor = 4.0
	// Up to maxFullScan servers are all ranked for each request. Of more servers, a sample of
	// ringSampleSize is ranked first.
	maxFullScan, ringSampleSize = 64, 48
	// fallbackCandidates is the number of servers after a key's subset that are considered too, and
	// randomCandidates the number that are drawn at random: agents that know the same loads must
	// not all pick the same server.
	fallbackCandidates, randomCandidates = 2, 2
	maxCandidates                        = maxSubsetSize + fallbackCandidates + randomCandidates
	// minKeyTokens is the least length of the shared segments, in tokens, for which a request
	// prefers the servers that are likely to have them cached.
	minKeyTokens = 128
	// minRetryAfter is the shortest RetryAfter of a rejection. maxRetryAfterShare is the longest one
	// as a fraction of the time left, since clients wait no longer than that.
	minRetryAfter      = 50 * time.Millisecond
	maxRetryAfterShare = 1.0 / 3
	// noServerRetryAfter is the RetryAfter if no server is known: lists change within seconds.
	noServerRetryAfter = time.Second
	// defaultServerPriority is the priority that servers assume for a request without one, and
	// maxServerPriority is the least urgent priority.
	defaultServerPriority, maxServerPriority = 5, 9
)

// Segment is a part of a prompt, identified by the ID that clients give it.
type Segment = inference.Segment

// Load is the load that a server reports with a response.
type Load = inference.Load

// Request describes a request that needs a server, for its first attempt or for a retry.
type Request struct {
	Route           *config.Route
	Service         string // the service that was drawn from the route's traffic splits
	Model           string
	Segments        []Segment // of the prompt, in order; only the last is specific to the request or session
	PromptTokens    int
	MaxOutputTokens int
	TimeLeft        time.Duration // until the client's deadline
	LatencyTarget   time.Duration // for the first token, since the request was read; zero if there is none
	Elapsed         time.Duration // since the request was read
	TriedInstances  []string      // IDs of the instances that earlier attempts were sent to
	// Ranked is set if Rank replaces the route's priority. Rank, from 0 to 9, combines the
	// priorities of the route and of the tenant.
	Ranked bool
	Rank   int
}

// Action is what to do with a request.
type Action uint8

// The actions.
const (
	Forward Action = iota // forward it to Instance; the caller must end the Attempt
	Reject                // reject it; RetryAfter says when there may be capacity
)

// String returns the action's name.
func (a Action) String() string {
	if a == Forward {
		return "forward"
	}
	return "reject"
}

// The reasons of rejections.
const (
	reasonNoServer   = "no server of the service is known"
	reasonAllFull    = "all servers are full"
	reasonAllTried   = "every server was tried"
	reasonNoTime     = "no server can answer in the time left"
	reasonOverloaded = "the servers are overloaded, and what is more urgent goes first"
)

// Decision is the result of a pick.
type Decision struct {
	Action     Action
	Instance   *registry.Instance
	Attempt    *Attempt
	Priority   int           // to send to the server, from 0 (the most urgent) to 9
	RetryAfter time.Duration // if rejected: when the client should retry
	Reason     string        // if rejected: why
}

// pickContext is a request with the values that a pick derives from it.
type pickContext struct {
	*Request
	priorityClass int
	key           uint64        // ID of the shared prefix; zero if that has fewer than minKeyTokens
	sharedTokens  int           // tokens of all segments but the last
	keySeenAt     time.Duration // when the key was last forwarded; negative if it is not tracked
	nonIdempotent bool
}

// Pick decides where the request goes. It is forwarded unless no server is available, it cannot be
// answered in the time left, or the servers are overloaded and it is less urgent or would be late
// anyway.
func (p *Picker) Pick(now time.Duration, r *Request) Decision {
	svc := p.services[r.Service]
	if svc == nil || len(svc.servers) == 0 {
		return reject(r, noServerRetryAfter, reasonNoServer)
	}
	pick := p.newPickContext(svc, r)
	best := p.bestTier(now, svc, &pick)
	switch {
	case len(best.servers) == 0 && best.freeIn > 0:
		return reject(r, best.freeIn, reasonAllFull)
	case len(best.servers) == 0:
		return reject(r, minRetryAfter, reasonAllTried)
	}
	chosen := p.bestCandidate(now, svc, &pick, best)
	if len(r.TriedInstances) == 0 {
		svc.lateness[pick.priorityClass].recordExpected(now, chosen.lateProbability)
	}
	if reason := p.rejectionReason(now, svc, &pick, &chosen); reason != "" {
		return reject(r, chosen.firstToken-max(r.LatencyTarget-r.Elapsed, 0)/2, reason)
	}
	attempt := p.beginAttempt(now, &pick, &chosen)
	return Decision{
		Action:   Forward,
		Instance: chosen.server.instance,
		Attempt:  attempt,
		Priority: pick.serverPriority(),
	}
}

// beginAttempt records that the request is forwarded to the candidate.
func (p *Picker) beginAttempt(now time.Duration, pick *pickContext, chosen *candidate) *Attempt {
	s := chosen.server
	a := &Attempt{
		picker:        p,
		server:        s,
		sequence:      s.inference.Begin(now, p.prefixScratch, pick.PromptTokens, pick.MaxOutputTokens),
		prefixes:      slices.Clone(p.prefixScratch),
		sentAt:        now,
		targetAt:      now + pick.timeToTarget(),
		estimate:      chosen.firstToken,
		promptTokens:  pick.PromptTokens,
		instanceSeq:   s.instance.Seq,
		priorityClass: pick.priorityClass,
	}
	s.addAttempt(now, a)
	if pick.key != 0 {
		s.service.keyLoads.add(now, pick.key, millis(a.sequence.PrefillTime()))
	}
	return a
}

func reject(r *Request, retryAfter time.Duration, reason string) Decision {
	retryAfter = max(min(retryAfter, duration(millis(r.TimeLeft)*maxRetryAfterShare)), minRetryAfter)
	return Decision{Action: Reject, Reason: reason, RetryAfter: retryAfter}
}

// newPickContext derives the request's key: the prefix of all its segments but the last, which is
// specific to the request. It stores the request's prefixes in prefixScratch.
func (p *Picker) newPickContext(svc *service, r *Request) pickContext {
	pick := pickContext{Request: r}
	if r.Route != nil {
		pick.priorityClass = min(max(r.Route.Priority, 0), priorityClasses-1)
		if r.Ranked {
			pick.priorityClass = min(max(r.Rank, 0), priorityClasses-1)
		}
		pick.nonIdempotent = !r.Route.Idempotent()
	}
	p.prefixScratch = inference.AppendPrefixes(p.prefixScratch[:0], r.Model, r.Segments)
	shared := len(p.prefixScratch) - 1
	if shared < 1 {
		return pick
	}
	for _, prefix := range p.prefixScratch[:shared] {
		pick.sharedTokens += prefix.Tokens
	}
	if pick.sharedTokens >= minKeyTokens {
		pick.key = p.prefixScratch[shared-1].ID
		pick.keySeenAt = svc.keyLoads.lastSeen(pick.key)
	}
	return pick
}

// timeToTarget returns the time that is left until the first token is late: until the latency target
// or the client's deadline, whichever comes first.
func (c *pickContext) timeToTarget() time.Duration {
	if c.LatencyTarget <= 0 {
		return c.TimeLeft
	}
	return min(c.TimeLeft, c.LatencyTarget-c.Elapsed)
}

// serverPriority returns the priority that is sent to a server: the rank if there is one, otherwise
// the priority of the class.
func (c *pickContext) serverPriority() int {
	if c.Ranked {
		return min(c.priorityClass, maxServerPriority)
	}
	return serverPriority(c.priorityClass)
}

// serverPriority returns the priority for a class: 0 for the most urgent class, the servers'
// default for the next, and up to 9 for those after it.
func serverPriority(class int) int {
	if class == 0 {
		return 0
	}
	return min(defaultServerPriority-1+class, maxServerPriority)
}

// tier holds the servers that a request may go to, all of one health rank.
type tier struct {
	servers       []*server
	estimatedSize int           // estimated number of such servers in the service; servers may be a sample
	freeIn        time.Duration // time until the first full server may have capacity; zero if none is full
}

// bestTier returns the servers of the best rank: those of a sample of the ring if the sample has
// healthy servers, otherwise those of the whole ring.
func (p *Picker) bestTier(now time.Duration, svc *service, pick *pickContext) tier {
	for _, pool := range [2][]*server{p.sampleRing(svc, pick.key), svc.ring} {
		rank, freeIn := p.collectTier(now, pool, pick)
		if len(p.tierScratch) > 0 && rank == 0 || len(pool) == len(svc.ring) {
			return tier{p.tierScratch, len(p.tierScratch) * len(svc.ring) / len(pool), freeIn}
		}
	}
	return tier{}
}

// collectTier finds the best rank among the servers of the pool that were not tried, and stores
// those of that rank that are not full in tierScratch. freeIn is the time until the first full
// server of that rank may have capacity; zero if none is full.
func (p *Picker) collectTier(
	now time.Duration, pool []*server, pick *pickContext,
) (bestRank int, freeIn time.Duration) {
	bestRank = 2 * healthTiers
	p.tierScratch = p.tierScratch[:0]
	for _, s := range pool {
		rank := p.serverRank(now, s, pick)
		if rank > bestRank || slices.Contains(pick.TriedInstances, s.instance.ID) {
			continue
		}
		if rank < bestRank {
			bestRank, freeIn, p.tierScratch = rank, 0, p.tierScratch[:0]
		}
		if now < s.fullUntil {
			if wait := s.fullUntil - now; freeIn == 0 || wait < freeIn {
				freeIn = wait
			}
			continue
		}
		p.tierScratch = append(p.tierScratch, s)
	}
	return bestRank, freeIn
}

// sampleRing returns the whole ring if it is small. Of a large ring it returns ringSampleSize
// consecutive servers from the key's position on, which is the same at all agents; without a key
// the position is random. If one server is added or removed, a sample changes by one server at most.
func (p *Picker) sampleRing(svc *service, key uint64) []*server {
	if len(svc.ring) <= maxFullScan {
		return svc.ring
	}
	position := inference.Mix64(key)
	if key == 0 {
		position = p.rng.Uint64()
	}
	start := int(float64(position>>11) / (1 << 53) * float64(len(svc.ring)))
	p.sampleScratch = append(p.sampleScratch[:0], svc.ring[start:min(start+ringSampleSize, len(svc.ring))]...)
	return append(p.sampleScratch, svc.ring[:ringSampleSize-len(p.sampleScratch)]...)
}

// candidate is a server that is considered for a request.
type candidate struct {
	server          *server
	score           uint64 // rendezvous hash
	inSubset        bool   // the server belongs to the key's subset
	cost            float64
	lateProbability float64       // probability that the first token is late
	firstToken      time.Duration // estimated time to the first token
}

// candidates is a list of candidates of bounded length.
type candidates struct {
	list [maxCandidates]candidate
	n    int
}

// insert adds a server, keeping at most limit servers: those with the highest scores, in
// descending order.
func (c *candidates) insert(s *server, score uint64, limit int) {
	if c.n == limit && score <= c.list[c.n-1].score {
		return
	}
	i := min(c.n, limit-1)
	for ; i > 0 && c.list[i-1].score < score; i-- {
		c.list[i] = c.list[i-1]
	}
	c.list[i] = candidate{server: s, score: score}
	c.n = min(c.n+1, limit)
}

// append adds a server at the end.
func (c *candidates) append(s *server) {
	c.list[c.n] = candidate{server: s}
	c.n++
}

func (c *candidates) contains(s *server) bool {
	return slices.ContainsFunc(c.list[:c.n], func(other candidate) bool { return other.server == s })
}

// bestCandidate considers the key's subset of the tier, the servers that follow it in hash order
// and some random ones, and returns the one of lowest cost.
func (p *Picker) bestCandidate(now time.Duration, svc *service, pick *pickContext, t tier) candidate {
	subset := 1
	if pick.key != 0 {
		subset = min(svc.keyLoads.subsetSize(now, pick.key, t.estimatedSize), len(t.servers))
	}
	var shortlist candidates
	p.addCandidates(&shortlist, pick.key, t, subset, svc.inFlight)
	prefillCostPerMs := prefillCost + congestionCost*svc.worstExpectedLateness(now)
	best := &shortlist.list[0]
	for i := range shortlist.n {
		c := &shortlist.list[i]
		c.inSubset = pick.key != 0 && i < subset
		p.estimateCost(now, svc, pick, c, prefillCostPerMs)
		if c.cost < best.cost {
			best = c
		}
	}
	return *best
}

// addCandidates adds the servers of the tier that come first in the key's hash order (in a random
// order without a key) and some random ones. Only servers below the load bound are added; if there
// is none, one random server is.
func (p *Picker) addCandidates(shortlist *candidates, key uint64, t tier, subset, inFlight int) {
	bound := int(math.Ceil(boundedLoadFactor * float64(inFlight+1) / float64(t.estimatedSize)))
	for _, s := range t.servers {
		if s.inFlight >= bound {
			continue
		}
		score := inference.Mix64(key ^ s.ringHash)
		if key == 0 {
			score = p.rng.Uint64()
		}
		shortlist.insert(s, score, subset+fallbackCandidates)
	}
	for range randomCandidates {
		s := t.servers[p.rng.IntN(len(t.servers))]
		if s.inFlight < bound && !shortlist.contains(s) {
			shortlist.append(s)
		}
	}
	if shortlist.n == 0 { // all servers are at the bound
		shortlist.append(t.servers[p.rng.IntN(len(t.servers))])
	}
}
