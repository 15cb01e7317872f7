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
	Tier
	id         Addr
	hash       uint64
	zone       int
	cell       int
	weight     float64
	listedAt   float64 // start of its process by the list
	startedAt  float64 // the same, or later where a restart is assumed
	usable     bool    // listed as ready
	near       bool    // in the aperture
	lostAt     float64 // first failed connect since it last answered; 0: none
	silentFrom float64 // when the attempt was sent that it fell silent on
	suspect    bool    // taken for silent as others of its zone are
	probing    bool
	sampled    bool       // by the probe under way
	out        []*attempt // attempts out, oldest first
	heard      float64    // when it last answered anything
	lat        float64    // mean answer time as a part of the aim
	samples    int
	window     float64 // attempts it may hold of this agent
	cutAt      float64
	sentAt     float64 // last attempt
	crowds     int     // how often in a row it was met crowded
	restUntil  float64 // passed over in its tier
	rtt        float64 // mean answer time
	failing    float64 // part of its attempts that fail
	toldAt     float64 // when the last of them ended
	credit     float64 // work a cold server may still be sent
	score      float64 // place in a request's order; lower is nearer
	without    float64 // part of its share that the site's agents take from it, until
	withoutTo  float64
	pull       float64 // what it weighs for the site's traffic, as a part of the mean, until the same
	tryTo      float64 // it is to be tried before
}

// attempt is one send of a request.
type attempt struct {
	r      *request
	s      *server
	index  int
	sentAt float64
	alone  bool // no other of this agent was out on its server
	done   bool
}

// request is one try of a client, kept until it is answered and no attempt is out.
type request struct {
	id         RequestID
	class      int
	tenant     int
	key        uint64
	spot       uint64  // the key, or one of its parts
	first      float64 // when the client's first try came, as far as known
	arrived    float64
	again      int     // the client's tries before
	luck       float64 // refused for want of room while under the part that is refused
	aimAt      float64
	deadline   float64 // margin already taken off
	attempts   []*attempt
	open       int // attempts out
	risky      int // attempts that may have run
	ranAt      float64
	ranOn      *server
	near       [keyServers]*server // nearest its key, as of epoch
	epoch      uint64
	tierWeight float64 // of the tier at its last pick
	value      float64
	wrote      bool // an attempt reached a server
	closed     bool // over, or a streamed answer belongs to the client now
}

// past is what is remembered of an unserved request, to know its retry.
type past struct {
	class int
	key   uint64
	first float64
	luck  float64
	again int // tries before
}

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	set                  Settings
	rng                  *rand.Rand
	now                  float64
	out                  []Action
	servers              []*server // by address
	byAddr               map[Addr]*server
	requests             map[RequestID]*request
	held                 []*request
	keys                 map[uint64]float64 // requests of each key, of keyed in all, halved now and then
	keyed                float64
	tier                 []*server // scratch of pick
	pasts                []past
	ring                 []*server // by hash
	near                 []*server // of them the aperture
	listed, focused      uint64
	came, cameAt, wanted float64
	sampleOf             []*server // scratch of window
	surveyed             uint64    // one more than the epoch of the last survey, which found:
	tries                []*server // that are to be tried
	within               float64   // part of the fleet that the site reaches
	parted               bool      // between zones, by the standings
	ill                  []*server // UnhealthyPending or Unhealthy
	cold                 []*server
	warmTop              float64 // weight of the usable warm servers of the top tier
	warmAll              float64 // and of those not Unhealthy
	cap                  float64 // weight of usable servers by ramp, at capAt and capEpoch
	peak                 float64 // the most of it of late, fading over the cold time
	capAt                float64
	capEpoch             uint64
	epoch                uint64  // counts changes of tiers and list
	own                  float64 // how much more a server of the own zone weighs
	inflight             int
	failing              float64 // part of all attempts that fail
	load                 float64 // mean reported requests for weight one
	sentAt               float64 // last attempt
	gap                  float64 // mean time between attempts
	tried                float64 // ended tries, fading, and what they gained
	gained               float64
	again                float64 // further attempts that may be made
	probes               int
	validates            bool    // the last probe earned was left to validation
	mayProbe             float64 // probes that may be sent
	sampled              float64 // load reports taken
	demand               float64 // load on the fleet were nothing refused, in warm servers of weight one
	full                 float64
	admitted             float64   // part of requests not shed
	expect               []float64 // per class: mean answer time
	answers              float64   // served so far
	fleetLat             float64   // mean answer time as a part of the aim, all servers
	calmLat              float64   // the same when nothing is crowded
	usage                []float64 // tenants' shares of requests
	asked                []float64 // classes' shares of requests
	won                  []float64 // and of those served in time
	worst                int       // the class served worst
	credit               float64   // mean worth of a request
	aimMin               float64
	lookedAt             float64 // last fetch of the list
	follows              int     // failed calls in a row
	flow                 float64 // work sent to a warm server of weight one, fading over the cold time
	flowAt               float64
	ticking              bool
	scarce               bool // requests that would take any server find no room
}

// tally keeps the classes' shares of requests and of those served in time.
func (b *Balancer) tally(class int) {
	b.credit = 0
	for i, c := range b.set.Classes {
		b.asked[i] *= fade
		b.won[i] *= fade
		if i == class {
			b.asked[i] += 1 - fade
		}
		b.credit += b.asked[i] * c.Credit
	}
}

// count keeps the tenants' shares of this agent's requests.
func (b *Balancer) count(tenant int) {
	if tenant < 0 || tenant >= len(b.usage) {
		return
	}
	for i := range b.usage {
		b.usage[i] *= fade
	}
	b.usage[tenant] += 1 - fade
}

// countKey counts a request of the key; counts are halved when there are too many.
func (b *Balancer) countKey(key uint64, most float64) {
	if b.keyed >= most {
		b.keyed /= 2
		for k := range b.keys {
			if b.keys[k] /= 2; b.keys[k] < 0.5 {
				delete(b.keys, k)
			}
		}
	}
	b.keyed++
	b.keys[key]++
}

// remember keeps when an unserved request first came, so that its retry is
// judged by the time that has passed for the client.
func (b *Balancer) remember(r *request) {
	if !b.set.Clients.MarksRetry {
		return
	}
	b.pasts = slices.DeleteFunc(b.pasts, func(p past) bool {
		return b.now-p.first > b.set.Classes[p.class].GiveUpMs
	})
	if len(b.pasts) < maxHeld {
		b.pasts = append(b.pasts, past{r.class, r.key, r.first, r.luck, r.again})
	}
}

// recall gives a retry what is remembered of its try before. A client that comes more often
// than once keeps its luck with admission: else all that come again would be let in.
func (b *Balancer) recall(r *request) {
	i := slices.IndexFunc(b.pasts, func(p past) bool { return p.class == r.class && p.key == r.key })
	if i < 0 {
		return
	}
	p := b.pasts[i]
	b.pasts = slices.Delete(b.pasts, i, i+1)
	r.first, r.again = p.first, p.again+1
	if r.again > 1 {
		r.luck = p.luck
	}
}

// gain counts an ended try and the part of its worth that it earned.
func (b *Balancer) gain(part float64) {
	b.tried += 1 - b.tried/shedMemory
	b.gained += part - b.gained/shedMemory
}

// share is the part of its weight that a server is let have now; 0 is ejected.
func (b *Balancer) share(s *server) float64 {
	if b.now >= s.withoutTo {
		return 1
	}
	return 1 - s.without
}

// pull is what a server weighs beside its share where zones are parted; it is no capacity.
func (b *Balancer) pull(s *server) float64 {
	if !b.parted || b.now >= s.withoutTo {
		return 1
	}
	return s.pull
}

// reported is a value of a load report; false if it has none of that name.
func (b *Balancer) reported(report []float32, name string) (float64, bool) {
	i := slices.Index(b.set.Report.Names, name)
	if i < 0 || i >= len(report) {
		return 0, false
	}
	return finite(float64(report[i])), true
}

// overShare tells whether a tenant sends more than its portion of what comes.
func (b *Balancer) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.usage) {
		return false
	}
	return b.usage[tenant] > 1.1*b.set.Tenants[tenant].Portion
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) probe(s *server) {
	s.probing = true
	b.probes++
	b.mayProbe--
	b.do(Action{Kind: ActProbe, Server: s.id})
}

// ramp is the part of its capacity that a started server has by the contract.
func (b *Balancer) ramp(s *server) float64 {
	c := &b.set.Contract
	age := b.now - s.startedAt
	if s.startedAt <= 0 || age >= c.ColdMs || s.startedAt != s.listedAt && age > c.AskWithinMs {
		return 1 // long past, or assumed and not borne out by the list in its time
	}
	return c.ColdFrom + (1-c.ColdFrom)*max(age, 0)/c.ColdMs
}

// survey notes, once for each change of tiers and list, the servers that most decisions
// turn on: those not healthy, and those not yet warm; of the others the weight is enough.
func (b *Balancer) survey() {
	if b.surveyed == b.epoch+1 {
		return
	}
	b.surveyed = b.epoch + 1
	b.ill, b.cold, b.warmTop, b.warmAll = b.ill[:0], b.cold[:0], 0, 0
	for _, s := range b.servers {
		if s.state > Unknown {
			b.ill = append(b.ill, s)
		}
		switch {
		case b.ramp(s) < 1:
			b.cold = append(b.cold, s)
		case s.usable && s.state <= Unknown:
			b.warmTop += s.weight * b.share(s)
			b.warmAll += s.weight * b.share(s)
		case s.usable && s.state < Unhealthy:
			b.warmAll += s.weight * b.share(s)
		}
	}
}

// warmWeight is the weight of the servers of the top tier that are not cold.
func (b *Balancer) warmWeight() float64 {
	b.survey()
	warm := b.warmTop
	for _, s := range b.cold { // some of them are warm by now
		if s.usable && s.state <= Unknown && b.ramp(s) == 1 {
			warm += s.weight * b.share(s)
		}
	}
	return warm
}

// capacity is the weight of the servers that may be sent to, each by its ramp, counted
// once for all decisions of a moment.
func (b *Balancer) capacity() float64 {
	if b.capAt != b.now || b.capEpoch != b.epoch {
		b.survey()
		b.peak *= math.Exp((b.capAt - b.now) / max(b.set.Contract.ColdMs, 1))
		b.cap, b.capAt, b.capEpoch = b.warmAll, b.now, b.epoch
		for _, s := range b.cold {
			if s.usable && s.state < Unhealthy {
				b.cap += s.weight * b.ramp(s) * b.share(s)
			}
		}
		b.peak = max(b.peak, b.cap)
	}
	return b.cap
}

// partOfAim is an answer time as a part of the aim.
func (b *Balancer) partOfAim(r *request, rtt float64) float64 {
	return min(rtt/b.set.Classes[r.class].AimMs, 2)
}

// enter notes a server's new state and its time; tiers have changed.
func (b *Balancer) enter(s *server, to State) {
	if s.Enter(to, b.now) {
		b.epoch++
	}
}

// fails counts an attempt's end as a failure, or not, of the server and of them all.
func (b *Balancer) fails(s *server, x float64) {
	s.failing += max(straySmooth, 1-math.Exp((s.toldAt-b.now)/failMemory)) * (x - s.failing)
	s.toldAt = b.now
	b.failing += slowSmooth * (x - b.failing)
}

// learn keeps a server's mean answer time, cut makes its window smaller.
func (b *Balancer) learn(s *server, x float64) {
	s.samples++
	s.lat = mean(s.lat, x, max(smooth, 1/float64(s.samples)))
}

func (b *Balancer) cut(s *server, by, least float64) {
	s.window, s.cutAt = min(s.window, max(s.window*by, least)), b.now
}

// finite is the number, or 0 where it is negative or none.
func finite(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

// finite is the event with numbers that make sense.
func (ev *Event) finite() *Event {
	e := *ev
	e.LeftMs, e.LatencyMs = finite(e.LeftMs), finite(e.LatencyMs)
	return &e
}

// mean moves a running mean towards x; the first value is taken whole.
func mean(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}

// insert puts a server in its place by key.
func insert(servers []*server, s *server, key func(*server) uint64) []*server {
	i, _ := slices.BinarySearchFunc(servers, s, func(x, y *server) int {
		return cmp.Or(cmp.Compare(key(x), key(y)), bytes.Compare(x.id[:], y.id[:]))
	})
	return slices.Insert(servers, i, s)
}

func hashAddr(a Addr) uint64 {
	h := uint64(0)
	for _, x := range a {
		h = h<<8 | uint64(x)
	}
	return h
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// maxKeys bounds the keys that are remembered.
const maxKeys = 10_000

// Memory is what the Balancer has learned by now, for its next life.
func (b *Balancer) Memory(now float64) *Memory {
	m := &Memory{Demand: b.demand, Peak: b.peak, Admitted: b.admitted, CalmLat: b.calmLat, FleetLat: b.fleetLat,
		Answers: b.answers, Expect: slices.Clone(b.expect)}
	for _, s := range b.servers {
		m.Servers = append(m.Servers, ServerMemory{Server: s.id, StartedMs: s.listedAt, State: s.state, InStateMs: max(now-s.since, 0),
			Silent: s.silent, Strikes: s.strikes, Failing: s.failing, Lat: s.lat, RTTMs: s.rtt, Samples: s.samples, Window: s.window})
	}
	for k, n := range b.keys {
		m.Keys = append(m.Keys, KeyMemory{k, n})
	}
	slices.SortFunc(m.Keys, func(x, y KeyMemory) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Key, y.Key))
	})
	m.Keys = m.Keys[:min(len(m.Keys), maxKeys)]
	return m
}

// Figures is what a Balancer believes of the fleet, for reports: nothing decides by it.
type Figures struct {
	Shed      float64 // part of the requests refused for being served late
	Admission float64 // part of them that there is room for
	Demand    float64 // load were nothing refused, and
	Capacity  float64 // what the listed servers can do, in warm servers of weight one
	Aperture  int     // servers that it keeps to
	Held      int     // requests that wait for room
	Ill, Cold int     // servers
	States    [4]int  // servers in each state, in tier order
}

// Figures tells what it believes at its last event.
func (b *Balancer) Figures() Figures {
	b.survey()
	f := Figures{Shed: b.shed(), Admission: b.admission(), Demand: b.demand, Capacity: b.capacity(),
		Aperture: len(b.near), Held: len(b.held), Ill: len(b.ill), Cold: len(b.cold)}
	for _, s := range b.servers {
		f.States[s.state]++
	}
	return f
}
