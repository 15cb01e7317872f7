package balancer

import (
	"math"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
)

const (
	// capFactor is c: how far above its even share of the agent's attempts a server may go
	// before a key's request moves on to the next in hash order.
	capFactor = 4.0
	// tierMost is the number of servers up to which tiers are formed of all, and tierSample of
	// how many they are formed where there are more.
	tierMost, tierSample = 64, 48
	// nextInOrder is how many servers after a key's own are looked at, strays how many that
	// are drawn: many agents know the same loads, and must not all run to the same server.
	nextInOrder, strays = 2, 2
	// keyLeast is the tokens from which shared parts are worth keeping together.
	keyLeast = 128

	// Losses are parts of a request's worth: lateLoss that of one that comes late, readLoss a
	// thousand shared tokens that are read again, zoneLoss to leave the zone, connLoss to open a
	// connection, coldLoss a cold server. workLoss is what a ms of a server's reading takes from
	// the requests after it, and crowdLoss that again where all come late.
	lateLoss, readLoss           = 0.7, 0.06
	zoneLoss, connLoss, coldLoss = 0.01, 0.004, 0.3
	workLoss, crowdLoss          = 0.0005, 0.02
	// wideShare and wideErr are how far a first token strays from its estimate, as parts of it
	// and of the usual error.
	wideShare, wideErr = 0.1, 0.6

	// sure is the part of an estimate, less the usual error, that must fit into the time left.
	sure = 0.7
	// shedFrom is the part of a more urgent kind that is late from which requests are refused,
	// shedSlope how steeply. Where it is over shedOwn of their own kind, those are that would be
	// late. At most shedMost are refused.
	shedFrom, shedSlope, shedOwn, shedMost = 0.15, 2.0, 0.5, 0.6
	// loadFresh is for how long the load that a server told proves that something waits there,
	// waitsLeast the part of such loads that must have told so.
	loadFresh, waitsLeast = time.Second, 0.5
	// afterLeast bounds the advice of a refusal below, afterPart as a part of the time left above:
	// clients wait no longer.
	afterLeast, afterPart = 50 * time.Millisecond, 1.0 / 3
	// noServer is the advice where no server is known: lists change in seconds.
	noServer = time.Second
)

// candidate is a server that is looked at for a request.
type candidate struct {
	s     *server
	score uint64
	home  bool // one of those that the key belongs to
	loss  float64
	late  float64 // chance to be late
	first time.Duration
}

// prompt is what of a request decides where it goes.
type prompt struct {
	*Request
	urgency int
	key     uint64 // of the parts worth keeping together; 0: none
	shared  int    // their tokens
	seen    time.Duration
	once    bool // it must not run twice
}

// Place decides where the request goes. It is sent unless it has no chance in its time, or the
// servers are full, or overloaded and it is less urgent or late anyway.
func (p *Picker) Place(now time.Duration, r *Request) Decision {
	v := p.services[r.Service]
	if v == nil || len(v.servers) == 0 {
		return refuse(r, noServer, "no server of the service is known")
	}
	q := p.prompt(v, r)
	tier, servers, full := p.topTier(now, v, &q)
	switch {
	case len(tier) == 0 && full > 0:
		return refuse(r, full, "all servers are full")
	case len(tier) == 0:
		return refuse(r, afterLeast, "every server was tried")
	}
	best := p.best(now, v, &q, tier, servers)
	if len(r.Tried) == 0 {
		v.late[q.urgency].expect(now, best.late)
	}
	if why := p.inadmissible(now, v, &q, &best); why != "" {
		return refuse(r, best.first-max(r.Setpoint-r.Elapsed, 0)/2, why)
	}
	s := best.s
	a := &Attempt{p: p, s: s, seq: s.inst.Seq, at: now, first: best.first, chain: slices.Clone(p.chain), prompt: r.Prompt,
		urgency: q.urgency, aimAt: now + q.aim(), run: s.engine.Begin(now, p.chain, r.Prompt, r.Out)}
	s.out = append(s.out, a)
	s.inflight++
	v.inflight++
	s.opened(now)
	if q.key != 0 {
		v.keys.add(now, q.key, millis(a.run.Work()))
	}
	return Decision{Kind: Send, Server: s.inst, Attempt: a, Priority: priority(q.urgency)}
}

func refuse(r *Request, after time.Duration, why string) Decision {
	after = max(min(after, duration(millis(r.Left)*afterPart)), afterLeast)
	return Decision{Kind: Refuse, Why: why, After: after}
}

// prompt works out the request's key: the chain of all its parts but the last, which is its own.
func (p *Picker) prompt(v *service, r *Request) prompt {
	q := prompt{Request: r}
	if r.Route != nil {
		q.urgency = min(max(r.Route.Priority, 0), urgencies-1)
		q.once = !r.Route.Idempotent()
	}
	p.chain = inference.Chain(p.chain[:0], r.Model, r.Parts)
	if n := len(p.chain); n > 1 {
		for _, part := range p.chain[:n-1] {
			q.shared += part.Tokens
		}
		if q.shared >= keyLeast {
			q.key = p.chain[n-2].ID
			q.seen = v.keys.last(q.key)
		}
	}
	return q
}

// aim is the time in which an answer is worth its full value.
func (q *prompt) aim() time.Duration {
	if q.Setpoint <= 0 {
		return q.Left
	}
	return min(q.Left, q.Setpoint-q.Elapsed)
}

// priority is what a server is told: the most urgent 0, the next what servers take where
// nothing is said, those after it up to 9.
func priority(urgency int) int {
	if urgency == 0 {
		return 0
	}
	return min(4+urgency, 9)
}

// topTier is the servers of the best tier that may take the request, and of how many they are a
// sample. Where all of the tier are full it is empty, and tells when the first may have room.
func (p *Picker) topTier(now time.Duration, v *service, q *prompt) (tier []*server, of int, full time.Duration) {
	for _, pool := range [2][]*server{p.window(v, q.key), v.ring} {
		best := 2 * tiers
		full, p.tier = 0, p.tier[:0]
		for _, s := range pool {
			rank := p.rank(now, s, q)
			if rank > best || slices.Contains(q.Tried, s.inst.ID) {
				continue
			}
			if rank < best {
				best, full, p.tier = rank, 0, p.tier[:0]
			}
			if now < s.fullTo {
				if wait := s.fullTo - now; full == 0 || wait < full {
					full = wait
				}
				continue
			}
			p.tier = append(p.tier, s)
		}
		if len(p.tier) > 0 && best == 0 || len(pool) == len(v.ring) {
			return p.tier, len(p.tier) * len(v.ring) / len(pool), full
		}
	}
	return nil, 0, 0
}

// window is the sample of a large fleet for a key: the servers that follow its place on the
// ring, the same at all agents. A change of the list moves each sample by one at the most.
func (p *Picker) window(v *service, key uint64) []*server {
	if len(v.ring) <= tierMost {
		return v.ring
	}
	x := inference.Mix(key)
	if key == 0 {
		x = p.rng.Uint64()
	}
	at := int(float64(x>>11) / (1 << 53) * float64(len(v.ring)))
	p.draw = append(p.draw[:0], v.ring[at:min(at+tierSample, len(v.ring))]...)
	return append(p.draw, v.ring[:tierSample-len(p.draw)]...)
}

// best looks at the servers that come first for the key, at some after them and at some drawn,
// and takes the one where the request loses least. The tier is a sample of so many servers.
func (p *Picker) best(now time.Duration, v *service, q *prompt, tier []*server, servers int) candidate {
	homes := 1
	if q.key != 0 {
		homes = min(v.keys.homes(now, q.key, servers), len(tier))
	}
	limit := int(math.Ceil(capFactor * float64(v.inflight+1) / float64(servers)))
	var order [maxHomes + nextInOrder + strays]candidate
	n, most := 0, homes+nextInOrder
	for _, s := range tier {
		if s.inflight >= limit {
			continue
		}
		score := inference.Mix(q.key ^ s.hash)
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
		order[i] = candidate{s: s, score: score}
		n = min(n+1, most)
	}
	for range strays {
		s := tier[p.rng.IntN(len(tier))]
		if s.inflight < limit && !slices.ContainsFunc(order[:n], func(c candidate) bool { return c.s == s }) {
			order[n] = candidate{s: s}
			n++
		}
	}
	if n == 0 { // those that are not full are at the cap: any of them
		order[0], n = candidate{s: tier[p.rng.IntN(len(tier))]}, 1
	}
	crowd := workLoss + crowdLoss*v.crowded(now)
	best := &order[0]
	for i := range n {
		c := &order[i]
		c.home = q.key != 0 && i < homes
		p.weigh(now, v, q, c, crowd)
		if c.loss < best.loss {
			best = c
		}
	}
	return *best
}

// weigh works out what the request loses at the candidate, where a ms of reading loses so much.
func (p *Picker) weigh(now time.Duration, v *service, q *prompt, c *candidate, work float64) {
	s := c.s
	cached := s.engine.Cached(p.chain)
	again := 0 // shared tokens that some server has read before
	if cached < q.shared && q.key != 0 {
		if !c.home {
			again = q.shared - cached
		} else if q.seen > s.since {
			cached = q.shared // other agents send it here, too
		}
	}
	uncached := 0
	c.first, uncached = s.engine.EstimateWith(now, cached, q.Prompt, q.Out)
	first := millis(c.first)
	wide := wideShare*first + wideErr*millis(v.speeds.Error())
	c.late = 1 / (1 + math.Exp((millis(q.aim())-first)/wide))
	// A first token that is sooner but in time is worth little, yet more than nothing.
	c.loss = lateLoss*c.late + readLoss*float64(again)/1e3 +
		work*millis(v.speeds.ReadTime(q.Prompt-uncached, uncached)) + first*1e-5 + p.rng.Float64()*1e-6
	if s.inst.Zone != p.opt.Zone {
		c.loss += zoneLoss
	}
	if s.inflight >= s.conns {
		c.loss += connLoss
	}
	if now < s.coldTo {
		c.loss += coldLoss
	}
}

// inadmissible tells why the request is not to be sent, or nothing.
func (p *Picker) inadmissible(now time.Duration, v *service, q *prompt, best *candidate) string {
	if millis(best.first)*sure-millis(v.speeds.Error()) > millis(q.Left) && v.taken(now) {
		return "no server can answer in the time left"
	}
	// Less urgent kinds first, and those that come late anyway; but some of all are sent.
	shed := 0.0
	for i := range q.urgency {
		shed = max(shed, shedSlope*(v.late[i].at(now)-shedFrom))
	}
	if best.late > 0.5 {
		shed = max(shed, v.late[q.urgency].at(now)-shedOwn)
	}
	if shed > 0 && p.rng.Float64() < min(shed, shedMost) && v.taken(now) {
		return "the servers are overloaded, and what is more urgent goes first"
	}
	return ""
}

// taken tells whether what is known of the servers shows that half of their places are taken, or
// that something waits there: where less is, nothing is refused.
func (v *service) taken(now time.Duration) bool {
	running, slots := 0, 0
	for _, s := range v.servers {
		running += max(s.engine.Running(now), s.inflight)
		slots += s.engine.Slots()
		load, age, ok := s.engine.Load(now)
		if ok && age < loadFresh && load.Waiting > 0 && v.waits > waitsLeast && s.engine.Queued(now) > 0 {
			return true
		}
	}
	return slots > 0 && 2*running >= slots
}

// opened notes that one more connection may be open.
func (s *server) opened(now time.Duration) {
	if s.inflight >= s.conns || now-s.connsAt > connMemory {
		s.conns, s.connsAt = s.inflight, now
	}
}
