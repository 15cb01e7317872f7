package pick

import (
	"math"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/engine"
)

const (
	// capFactor is c: how far above its even share of the agent's attempts a server may go
	// before a key's request moves on to the next in hash order.
	capFactor = 3.0
	// tierMost is the number of servers up to which tiers are formed of all, and tierSample of
	// how many they are formed where there are more.
	tierMost, tierSample = 64, 48
	// nextInOrder is how many servers after a key's own are looked at, strays how many that
	// are drawn: many agents read the same loads, and must not all run to the same server.
	nextInOrder, strays = 2, 2
	// keyLeast is the tokens from which shared parts are worth keeping together.
	keyLeast = 128
	// shortPrompt is the prompt of an operator's estimate.
	shortPrompt = 1000

	// Losses are in parts of a request's worth. lateLoss is what one loses that comes late,
	// readLoss what a thousand shared tokens cost that are read again, workLoss what a ms of a
	// server's reading takes from others, zoneLoss what it costs to leave the zone and connLoss
	// to open a connection. coldLoss is what a cold server loses.
	lateLoss, readLoss, workLoss = 0.7, 0.06, 0.0007
	zoneLoss, connLoss, coldLoss = 0.01, 0.004, 0.3
	// sure is the part of an estimate, less its error, that must fit into the time left.
	sure = 0.7
	// shedFrom is the part of the most urgent requests that are late from which others are
	// refused, shedMost the most of those.
	shedFrom, shedMost = 0.3, 0.5
	// afterLeast bounds the advice of a refusal below, afterPart as a part of the time left above.
	afterLeast, afterPart = 50 * time.Millisecond, 1.0 / 3
)

// candidate is a server that is looked at for a request.
type candidate struct {
	s        *server
	score    uint64
	home     bool // one of those that the key belongs to
	loss     float64
	late     float64
	first    time.Duration
	uncached int
}

// Place decides where the request goes. It is sent unless it has no chance in its time, or the
// servers are full or overloaded by what is more urgent.
func (p *Picker) Place(now time.Duration, r *Request) Decision {
	v := p.services[r.Service]
	if v == nil || len(v.servers) == 0 {
		return refuse("no server of the service is known", r, time.Second)
	}
	p.chain = engine.Chain(p.chain[:0], r.Model, r.Parts)
	key, shared := uint64(0), 0
	if n := len(p.chain); n > 1 {
		for _, part := range p.chain[:n-1] {
			shared += part.Tokens
		}
		if shared >= keyLeast {
			key = p.chain[n-2].ID
		}
	}
	tier, full := p.topTier(now, v, key, r.Tried)
	if len(tier) == 0 {
		if full > 0 {
			return refuse("all servers are full", r, full)
		}
		return refuse("every server was tried", r, afterLeast)
	}
	u := urgency(r)
	heavy := v.split.heavy(u, r, millis(v.speeds.ReadTime(shared, max(r.Prompt-shared, 0))), now)
	best := p.best(now, v, r, tier, key, shared, heavy)
	if why := p.inadmissible(now, v, r, best, u); why != "" {
		return refuse(why, r, best.first-max(r.Setpoint-r.Elapsed, 0)/2)
	}
	s := best.s
	a := &Attempt{p: p, s: s, began: now, at: now, first: best.first, chain: slices.Clone(p.chain),
		run: s.engine.Begin(now, p.chain, r.Prompt, r.Out), prompt: r.Prompt}
	s.out = append(s.out, a)
	s.inflight++
	v.inflight++
	s.opened(now)
	if key != 0 {
		v.keys.add(now, key, millis(v.speeds.ReadTime(0, a.run.Uncached())))
	}
	return Decision{Kind: Send, Server: s.inst, Attempt: a, Priority: priority(u)}
}

func refuse(why string, r *Request, after time.Duration) Decision {
	return Decision{Kind: Refuse, Why: why, After: max(min(after, duration(millis(r.Left)*afterPart)), afterLeast)}
}

// urgency is the request's rank, 0 the most urgent.
func urgency(r *Request) int {
	if r.Route == nil {
		return 0
	}
	return min(max(r.Route.Priority, 0), len(service{}.late)-1)
}

// priority is what a server is told: the most urgent 0, the next what servers take where
// nothing is said, those after it up to 9.
func priority(urgency int) int {
	if urgency == 0 {
		return 0
	}
	return min(4+urgency, 9)
}

// topTier is the servers of the best tier that may take the request, in no order. Where all of
// it are full it is empty, and the time is given until the first may have room.
func (p *Picker) topTier(now time.Duration, v *service, key uint64, tried []string) ([]*server, time.Duration) {
	for _, pool := range [2][]*server{p.window(v, key), v.ring} {
		best, full := 3, time.Duration(0)
		p.tier = p.tier[:0]
		for _, s := range pool {
			rank := s.rank(now)
			if rank > best || slices.Contains(tried, s.inst.ID) {
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
			return p.tier, full
		}
	}
	return nil, 0
}

// window is the sample of a large fleet for a key: the servers that follow its place on the
// ring, the same at all agents. A change of the list moves each sample by one at the most.
func (p *Picker) window(v *service, key uint64) []*server {
	if len(v.ring) <= tierMost {
		return v.ring
	}
	x := engine.Mix(key)
	if key == 0 {
		x = p.rng.Uint64()
	}
	at := int(float64(x>>11) / (1 << 53) * float64(len(v.ring)))
	p.draw = append(p.draw[:0], v.ring[at:min(at+tierSample, len(v.ring))]...)
	return append(p.draw, v.ring[:tierSample-len(p.draw)]...)
}

// best looks at the servers that come first for the key, at some after them and at some drawn,
// and takes the one that loses least.
func (p *Picker) best(now time.Duration, v *service, r *Request, tier []*server, key uint64, shared int, heavy bool) candidate {
	homes := 1
	if key != 0 {
		homes = v.keys.homes(now, key, len(tier))
	}
	limit := int(math.Ceil(capFactor * float64(v.inflight+1) / float64(len(tier))))
	var order [maxHomes + nextInOrder + strays]candidate
	n, most := 0, homes+nextInOrder
	m := v.split.servers(now, len(tier))
	for i, s := range tier {
		if s.inflight >= limit || m > 0 && (i < m) != heavy {
			continue
		}
		score := engine.Mix(key ^ s.hash)
		if key == 0 {
			score = p.rng.Uint64()
		}
		if n == most && score <= order[n-1].score {
			continue
		}
		i := n
		if n == most {
			i--
		} else {
			n++
		}
		for ; i > 0 && order[i-1].score < score; i-- {
			order[i] = order[i-1]
		}
		order[i] = candidate{s: s, score: score}
	}
	for range strays {
		s := tier[p.rng.IntN(len(tier))]
		if s.inflight < limit && !slices.ContainsFunc(order[:n], func(c candidate) bool { return c.s == s }) {
			order[n] = candidate{s: s}
			n++
		}
	}
	if n == 0 { // all at the cap, which happens where most are full: the least loaded of some
		order[0], n = candidate{s: tier[p.rng.IntN(len(tier))]}, 1
	}
	seen := key != 0 && v.keys.known(now, key)
	best := &order[0]
	for i := range n {
		c := &order[i]
		c.home = i < homes && key != 0
		p.weigh(now, r, c, key, shared, seen)
		if c.loss < best.loss {
			best = c
		}
	}
	return *best
}

// weigh works out what the request loses at the candidate.
func (p *Picker) weigh(now time.Duration, r *Request, c *candidate, key uint64, shared int, seen bool) {
	s := c.s
	cached := s.engine.Cached(p.chain)
	again := 0.0 // thousands of shared tokens that are read once more
	if key != 0 && cached < shared {
		if c.home && seen {
			cached = shared // other agents send it here, too
		} else if !c.home {
			again = float64(shared-cached) / 1e3
		}
	}
	c.first, c.uncached = s.engine.EstimateWith(now, cached, r.Prompt, r.Out)
	aim := r.Left
	if r.Setpoint > 0 {
		aim = min(aim, r.Setpoint-r.Elapsed)
	}
	speeds := s.service.speeds
	wide := 0.1*millis(c.first) + 0.6*millis(speeds.Error())
	c.late = 1 / (1 + math.Exp((millis(aim)-millis(c.first))/wide))
	c.loss = lateLoss*c.late + readLoss*again + workLoss*millis(speeds.ReadTime(cached, c.uncached)) +
		1e-5*millis(c.first) + 1e-6*p.rng.Float64()
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
func (p *Picker) inadmissible(now time.Duration, v *service, r *Request, best candidate, u int) string {
	if len(r.Tried) == 0 {
		v.late[u].add(now, best.late)
	}
	if !p.taken(now, v, best.s) {
		return ""
	}
	if millis(best.first)*sure-millis(v.speeds.Error()) > millis(r.Left) {
		return "no server can answer in the time left"
	}
	for i := range u {
		over := v.late[i].at(now) - shedFrom
		if over > 0 && best.late > 0.5 && p.rng.Float64() < min(over, shedMost) {
			return "what is more urgent comes late"
		}
	}
	return ""
}

// taken tells whether what is known of the server shows that half of its places are taken, or
// that something waits there: less than that is not refused.
func (p *Picker) taken(now time.Duration, v *service, s *server) bool {
	slots := s.engine.Slots()
	if slots > 0 && 2*s.engine.Running(now) >= slots || s.inflight*2 >= slots && slots > 0 {
		return true
	}
	load, age, ok := s.engine.Load(now)
	return s.engine.Unread() > 0 && ok && age < time.Second && load.Waiting > 0 && v.busy > 0.5
}

// opened notes that one more connection may be open.
func (s *server) opened(now time.Duration) {
	if s.inflight >= s.conns || now-s.connsAt > connMemory {
		s.conns, s.connsAt = s.inflight, now
	}
}
