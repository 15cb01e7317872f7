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
	// boundedLoadFactor is how far above its even share of the agent's attempts a server may go
	// before a key's request moves on to the next in hash order: the c of Mirrokni, Thorup and
	// Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016.
	boundedLoadFactor = 4.0
	// maxFullScan is the number of servers up to which all are ranked for each request; of more,
	// ringSampleSize are.
	maxFullScan, ringSampleSize = 64, 48
	// fallbackCandidates are the servers after a key's subset that are considered, and
	// randomCandidates those that are drawn: agents that know the same loads must not all pick the
	// same server.
	fallbackCandidates, randomCandidates = 2, 2
	maxCandidates                        = maxSubsetSize + fallbackCandidates + randomCandidates
	// minKeyTokens is the length from which shared segments are worth an affinity.
	minKeyTokens = 128
	// minRetryAfter is the least advice of a rejection, and maxRetryAfterShare the most as a part of
	// the time left: clients wait no longer.
	minRetryAfter      = 50 * time.Millisecond
	maxRetryAfterShare = 1.0 / 3
	// noServerRetryAfter is the advice where no server is known: lists change within seconds.
	noServerRetryAfter = time.Second
	// defaultServerPriority is what servers assume of a request without a priority, and
	// maxServerPriority the least urgent.
	defaultServerPriority, maxServerPriority = 5, 9
)

// Segment is a part of a prompt, by the ID that clients give it.
type Segment = inference.Segment

// Load is the load that a server reports with a response.
type Load = inference.Load

// Request is a request that has to be picked a server for, for its first attempt or a retry.
type Request struct {
	Route           *config.Route
	Service         string // of the route's splits, the one that was drawn
	Model           string
	Segments        []Segment // of the prompt, in order; the last is the request's or session's own
	PromptTokens    int
	MaxOutputTokens int
	TimeLeft        time.Duration // until the client's deadline
	LatencyTarget   time.Duration // for the first token, from Elapsed 0; 0: none
	Elapsed         time.Duration // since the request was read
	Tried           []string      // IDs of the instances that it was offered to
	// Ranked tells that Rank, from 0 to 9, counts in place of the route's priority: it combines that
	// with the tenant's.
	Ranked bool
	Rank   int
}

// Action is what is to become of a request.
type Action uint8

// The actions.
const (
	Forward Action = iota // to Instance; the Attempt has begun and must be ended
	Reject                // nothing has run; RetryAfter says when there may be capacity
)

// String is the action's name.
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
	Priority   int           // for the server, from 0, the most urgent, to 9
	RetryAfter time.Duration // of a rejection
	Reason     string        // of a rejection
}

// pickContext is what of a request decides where it goes.
type pickContext struct {
	*Request
	priorityClass int
	key           uint64        // prefix that is worth an affinity; 0: none
	sharedTokens  int           // of the segments before the last
	keySeenAt     time.Duration // when the key came last, negative if unknown
	nonIdempotent bool
}

// Pick decides where the request goes. It is forwarded unless it has no chance in its time, the
// servers are full, or they are overloaded and it is less urgent or late anyway.
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
	if len(r.Tried) == 0 {
		svc.lateness[pick.priorityClass].recordExpected(now, chosen.lateProbability)
	}
	if reason := p.rejectionReason(now, svc, &pick, &chosen); reason != "" {
		return reject(r, chosen.firstToken-max(r.LatencyTarget-r.Elapsed, 0)/2, reason)
	}
	attempt := p.beginAttempt(now, &pick, &chosen)
	return Decision{Action: Forward, Instance: chosen.server.instance, Attempt: attempt, Priority: pick.serverPriority()}
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
// its own. The prefixes are left in prefixScratch.
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

// timeToTarget is the time in which the first token has its full value.
func (c *pickContext) timeToTarget() time.Duration {
	if c.LatencyTarget <= 0 {
		return c.TimeLeft
	}
	return min(c.TimeLeft, c.LatencyTarget-c.Elapsed)
}

// serverPriority is the priority that is sent to a server: the rank where there is one, otherwise that of
// the class.
func (c *pickContext) serverPriority() int {
	if c.Ranked {
		return min(c.priorityClass, maxServerPriority)
	}
	return serverPriority(c.priorityClass)
}

// serverPriority is 0 for the most urgent class, the servers' default for the next, and up to 9 for
// those after it.
func serverPriority(class int) int {
	if class == 0 {
		return 0
	}
	return min(defaultServerPriority-1+class, maxServerPriority)
}

// tier is the servers that a request may go to, all of one health rank.
type tier struct {
	servers    []*server
	represents int           // the number of servers that servers are a sample of
	freeIn     time.Duration // if all are full: when the first may have capacity
}

// bestTier returns the servers of the best rank, of a sample of the ring if that has healthy ones.
func (p *Picker) bestTier(now time.Duration, svc *service, pick *pickContext) tier {
	for _, pool := range [2][]*server{p.sampleRing(svc, pick.key), svc.ring} {
		rank, freeIn := p.collectTier(now, pool, pick)
		if len(p.tierScratch) > 0 && rank == 0 || len(pool) == len(svc.ring) {
			return tier{p.tierScratch, len(p.tierScratch) * len(svc.ring) / len(pool), freeIn}
		}
	}
	return tier{}
}

// collectTier leaves the servers of the pool's best rank that are not full in tierScratch. freeIn
// is when the first full one of that rank may have capacity, 0 if none is full.
func (p *Picker) collectTier(now time.Duration, pool []*server, pick *pickContext) (best int, freeIn time.Duration) {
	best = 2 * healthTiers
	p.tierScratch = p.tierScratch[:0]
	for _, s := range pool {
		rank := p.serverRank(now, s, pick)
		if rank > best || slices.Contains(pick.Tried, s.instance.ID) {
			continue
		}
		if rank < best {
			best, freeIn, p.tierScratch = rank, 0, p.tierScratch[:0]
		}
		if now < s.fullUntil {
			if wait := s.fullUntil - now; freeIn == 0 || wait < freeIn {
				freeIn = wait
			}
			continue
		}
		p.tierScratch = append(p.tierScratch, s)
	}
	return best, freeIn
}

// sampleRing returns the part of a large ring that follows a key's position, which is the same at
// all agents, or a random one without a key. A change of the list moves each sample by one server
// at most.
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
	inSubset        bool   // it is one of those that the key belongs to
	cost            float64
	lateProbability float64
	firstToken      time.Duration // estimate
}

// candidates is a list of bounded length.
type candidates struct {
	list [maxCandidates]candidate
	n    int
}

// insert keeps the servers of the highest scores, up to limit, in descending order.
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
// and some random ones, and returns the one of least cost.
func (p *Picker) bestCandidate(now time.Duration, svc *service, pick *pickContext, t tier) candidate {
	subset := 1
	if pick.key != 0 {
		subset = min(svc.keyLoads.subsetSize(now, pick.key, t.represents), len(t.servers))
	}
	var considered candidates
	p.addByHash(&considered, pick.key, t, subset, svc.inFlight)
	prefillCostPerMs := prefillCost + congestionCost*svc.worstExpectedLateness(now)
	best := &considered.list[0]
	for i := range considered.n {
		c := &considered.list[i]
		c.inSubset = pick.key != 0 && i < subset
		p.estimateCost(now, svc, pick, c, prefillCostPerMs)
		if c.cost < best.cost {
			best = c
		}
	}
	return *best
}

// addByHash adds the servers of the tier that come first in the key's hash order (at random
// without a key) and some random ones, all below the load bound; if there is none, any one.
func (p *Picker) addByHash(considered *candidates, key uint64, t tier, subset, inFlight int) {
	bound := int(math.Ceil(boundedLoadFactor * float64(inFlight+1) / float64(t.represents)))
	for _, s := range t.servers {
		if s.inFlight >= bound {
			continue
		}
		score := inference.Mix64(key ^ s.ringHash)
		if key == 0 {
			score = p.rng.Uint64()
		}
		considered.insert(s, score, subset+fallbackCandidates)
	}
	for range randomCandidates {
		s := t.servers[p.rng.IntN(len(t.servers))]
		if s.inFlight < bound && !considered.contains(s) {
			considered.append(s)
		}
	}
	if considered.n == 0 { // all are at the bound
		considered.append(t.servers[p.rng.IntN(len(t.servers))])
	}
}
