package rollout

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// makeup is what a fleet is made of. Rates are sampled ones: one of scale requests is played, of one of
// scale prompts, and servers keep and read as many fewer.
type makeup struct {
	zones    []string // "region/zone"
	servers  int
	agents   int
	rate     float64 // requests a second, as played
	prompts  int     // shared prompts, as played
	keep     int     // of them that a server keeps
	readMs   float64 // to read one
	firstMs  float64 // a first token without that
	workMs   float64 // a request takes of its server, as played
	stream   time.Duration
	load     time.Duration // a new incarnation takes to come up
	seed     uint64
	scale    float64 // one of so many requests and prompts is played; 0: all
	newSlow  float64 // times slower the new revision is
	newFails float64 // part of its requests that fail
	spec     func(*Spec)
}

// fleet is the machine, the rules, the trackers and meters of agents and the folds of a holder, with
// servers, a platform and traffic in simulated time, a second at a time.
type fleet struct {
	t       *testing.T
	m       makeup
	rng     *rand.Rand
	zipf    *rand.Zipf
	now     time.Duration
	rec     *Record
	rules   *RoutingRules
	machine *Controller
	watch   *ReportAggregator
	holding bool
	servers []*simServer
	byID    map[string]*simServer
	agents  []*simAgent
	ends    map[time.Duration][]running
	burst   float64
	started time.Duration
	nextID  int
	dead    map[string]bool // zones

	// What came of it.
	requests, late, failed, reads, newReads, unserved int
	writes, recordBytes, mostOut, flips, fed          int
	rest                                              string
	leastServing                                      float64
	sides                                             map[uint64]bool // of sessions: true is new
	short, looked                                     int             // live prompts with too few replicas when a server was closed, of so many
	asked                                             map[uint64][]sent
	mostReads, readsAt                                int // in ten seconds
	closed                                            map[string]bool
	turnedAt                                          time.Duration
}

type sent struct {
	at time.Duration
	to *simServer
}

type simServer struct {
	Server
	cache   map[uint64]uint64 // prompt to its last use
	uses    uint64
	work    float64 // ms in this second
	running int
	hash    uint64
	upAt    time.Duration
	goneAt  time.Duration
}

type simAgent struct {
	id       string
	region   string
	rules    *RoutingRules
	tracker  *SendTracker
	meter    *SampleRecorder
	sessions *SessionAffinity
	filler   *WarmupLimiter
	held     map[string]int
	seq      uint64
	cut      bool
	member   bool
}

type running struct {
	a      *simAgent
	s      *simServer
	sample Sample
	isNew  bool
}

func newFleet(t *testing.T, m makeup) *fleet {
	f := &fleet{t: t, m: m, rng: rand.New(rand.NewPCG(m.seed, 7)), now: time.Hour, burst: 1, byID: map[string]*simServer{},
		ends: map[time.Duration][]running{}, dead: map[string]bool{}, leastServing: 1, holding: true,
		asked: map[uint64][]sent{}, closed: map[string]bool{},
		sides: map[uint64]bool{}}
	f.zipf = rand.NewZipf(f.rng, 1.1, 20, uint64(m.prompts-1))
	for i := range m.servers {
		f.serve(i, 1)
	}
	for i := range m.agents {
		region, _, _ := cut(m.zones[i%len(m.zones)])
		f.agents = append(f.agents, &simAgent{id: fmt.Sprintf("a%d", i), region: region, tracker: NewSendTracker(), meter: NewSampleRecorder(),
			sessions: &SessionAffinity{}, filler: NewWarmupLimiter(), held: map[string]int{}, member: true, rules: (&Record{}).Rules()})
	}
	f.rec = &Record{}
	return f
}

func cut(zone string) (region, name string, ok bool) {
	for i := range zone {
		if zone[i] == '/' {
			return zone[:i], zone, true
		}
	}
	return zone, zone, false
}

func (f *fleet) serve(i, revision int) *simServer {
	region, zone, _ := cut(f.m.zones[i%len(f.m.zones)])
	f.nextID++
	s := &simServer{Server: Server{ID: fmt.Sprintf("s%04d-%d", i, f.nextID), Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: zone, Region: region,
		Revision: revision, Capacity: 10, Healthy: true}, cache: map[uint64]uint64{}}
	s.hash = inference.HashString(s.Addr)
	f.servers = append(f.servers, s)
	f.byID[s.ID] = s
	return s
}

func (f *fleet) start(change ...func(*Spec)) {
	spec := defaultSpec()
	spec.Service, spec.Model, spec.From, spec.To = "s", "m", 1, 2
	if f.m.spec != nil {
		f.m.spec(&spec)
	}
	for _, c := range change {
		c(&spec)
	}
	require.Empty(f.t, spec.validationErrors())
	rec, err := f.rec.Start(&spec)
	require.NoError(f.t, err)
	f.keep(rec)
	f.takeOver()
	f.started, f.mostReads, f.readsAt = f.now, 0, f.reads
}

// takeOver is another holder, which knows the record and nothing else.
func (f *fleet) takeOver() {
	f.machine, f.watch = NewController(), NewReportAggregator(f.rec)
}

func (f *fleet) keep(rec *Record) {
	require.Equal(f.t, f.rec.Version+1, rec.Version)
	require.NoError(f.t, rec.Validate())
	raw, err := rec.Encode()
	require.NoError(f.t, err)
	back, err := Decode(raw)
	require.NoError(f.t, err)
	f.rec = back
	f.writes++
	moving, rest, err := rec.Split()
	require.NoError(f.t, err)
	f.fed += len(moving)
	if string(rest) != f.rest {
		f.rest = string(rest)
		f.fed += len(rest)
	}
	f.recordBytes = max(f.recordBytes, len(raw))
}

func (f *fleet) facts() *Observation {
	facts := &Observation{Reports: f.watch}
	for _, s := range f.servers {
		if s.State != registry.Deregistered && s.upAt <= f.now {
			x := s.Server
			x.InFlight = s.running
			facts.Servers = append(facts.Servers, x)
		}
	}
	var members []string
	for _, a := range f.agents {
		if a.member {
			members = append(members, a.id)
		}
	}
	facts.Agents = f.watch.Agents(members)
	return facts
}

// compiled is the newest record's rules, which all agents share here.
func (f *fleet) compiled() *RoutingRules {
	if f.rules == nil || f.rules.Version != f.rec.Version {
		f.rules = f.rec.Rules()
	}
	return f.rules
}

// second plays one second.
func (f *fleet) second() {
	f.now += time.Second
	if f.rec.Active() {
		for _, a := range f.agents {
			if a.cut {
				continue
			}
			if a.rules.Version != f.rec.Version {
				a.rules = f.compiled()
			}
			a.seq++
			r := &Report{Source: a.id, Seq: a.seq, Region: a.region, Rollout: f.rec.Number, AppliedVersion: a.rules.Version, InFlight: map[string]int{}, Sends: a.tracker.Take(), Samples: a.meter.Take()}
			for id, n := range a.held {
				if n > 0 && a.rules.IsDraining(id) {
					r.InFlight[id] = n
				}
			}
			require.NoError(f.t, f.watch.Add(r))
		}
		f.watch.Tick(f.now)
		if f.holding {
			for range 3 {
				next := f.machine.Reconcile(f.now, f.rec, f.facts())
				if next == nil {
					break
				}
				f.keep(next)
			}
		}
		f.mostOut = max(f.mostOut, len(f.rec.Draining)+len(f.rec.Ramping))
	} else {
		for _, a := range f.agents {
			if !a.cut {
				a.rules = f.compiled()
			}
		}
	}
	f.platform()
	f.traffic()
	f.stock()
	if f.now%(10*time.Second) == 0 {
		f.mostReads, f.readsAt = max(f.mostReads, f.reads-f.readsAt), f.reads
	}
}

// platform replaces what is handed over, and takes down what drains.
func (f *fleet) platform() {
	for _, l := range f.rec.Draining {
		if s := f.byID[l.ID]; s != nil && l.Step == DrainReplacing && s.State == registry.Ready {
			for _, a := range f.agents {
				require.Zero(f.t, a.held[s.ID], "%s is replaced while %s holds requests there", s.ID, a.id)
			}
			s.State = registry.Draining
			s.goneAt = f.now + 2*time.Second
		}
	}
	for _, s := range f.servers {
		if s.State == registry.Draining && s.goneAt <= f.now {
			s.State = registry.Deregistered
			var i int
			_, err := fmt.Sscanf(s.ID, "s%d-", &i)
			require.NoError(f.t, err)
			n := f.serve(i, f.rec.targetRevision())
			n.upAt = f.now + f.m.load
			n.State = registry.Ready
		}
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *simServer) bool {
		if s.State == registry.Deregistered && f.now-s.goneAt > 90*time.Second {
			delete(f.byID, s.ID)
			return true
		}
		return false
	})
}

// crash takes a server away that says nothing; the platform brings the revision back that it had.
func (f *fleet) crash(s *simServer, back time.Duration) {
	s.State, s.goneAt = registry.Deregistered, f.now
	for _, rs := range f.ends {
		for _, r := range rs {
			if r.s == s {
				r.a.held[s.ID] = 0
			}
		}
	}
	if back > 0 {
		var i int
		_, err := fmt.Sscanf(s.ID, "s%d-", &i)
		require.NoError(f.t, err)
		n := f.serve(i, s.Revision)
		n.upAt = f.now + back
	}
}

// drop takes out the oldest of a few, so that runs repeat.
func (s *simServer) drop() {
	keys := make([]uint64, 0, len(s.cache))
	for k := range s.cache {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b uint64) int { return cmp.Compare(s.cache[a], s.cache[b]) })
	for _, k := range keys[:len(keys)/8+1] { // and some more, so that it is seldom done
		delete(s.cache, k)
	}
}

func (s *simServer) up(now time.Duration) bool { return s.State == registry.Ready && s.upAt <= now }

// traffic plays a second's requests.
func (f *fleet) traffic() {
	for _, r := range f.ends[f.now] {
		if r.s.State == registry.Deregistered {
			continue
		}
		if r.a.held[r.s.ID]--; r.a.held[r.s.ID] <= 0 {
			delete(r.a.held, r.s.ID)
		}
		r.s.running--
		r.a.meter.Record(&r.sample, r.isNew, r.a.rules.IsRamping(r.s.ID))
	}
	delete(f.ends, f.now)
	// Windows of a ring, as the picker forms them.
	ring := map[string][]*simServer{}
	for _, s := range f.servers {
		if s.up(f.now) {
			ring[s.Region] = append(ring[s.Region], s)
		}
	}
	for _, list := range ring {
		slices.SortFunc(list, func(a, b *simServer) int { return cmp.Compare(a.hash, b.hash) })
	}
	n := f.m.rate * f.burst
	count := int(n)
	if f.rng.Float64() < n-float64(count) {
		count++
	}
	for range count {
		f.request(ring)
	}
	for _, s := range f.servers {
		s.Utilization = 0.8*s.Utilization + 0.2*min(s.work/1000, 2)
		s.work = 0
	}
}

func (f *fleet) request(rings map[string][]*simServer) {
	f.requests++
	key := inference.Mix64(f.zipf.Uint64() + 1)
	// Sessions live for ten minutes.
	session := inference.Mix64(key + f.rng.Uint64N(20)<<8 + uint64((f.now+time.Duration(key%600)*time.Second)/(10*time.Minute)))
	// A client comes to one agent, but for a few that came anew.
	a := f.agents[session%uint64(len(f.agents))]
	if f.rng.Float64() < 0.02 {
		a = f.agents[f.rng.IntN(len(f.agents))]
	}
	s := f.pick(a, rings[a.region], key, session)
	if s == nil {
		f.unserved++
		return
	}
	if f.m.scale == 0 {
		all := append(f.asked[key], sent{f.now, s})
		f.asked[key] = all[max(0, len(all)-64):]
	}
	isNew := s.Revision == 2
	if was, ok := f.sides[session]; ok && was != isNew {
		f.flips++
	}
	if len(f.sides) < 1<<22 {
		f.sides[session] = isNew
	}
	a.sessions.Record(f.now, session, isNew)
	group := Group{Route: "r", Key: key}
	a.tracker.Record(f.now, s.ID, group)
	slow, fails := 1.0, 0.0
	if isNew {
		slow, fails = max(f.m.newSlow, 1), f.m.newFails
	}
	cold := false
	first := f.m.firstMs * slow * (0.8 + 0.4*f.rng.Float64())
	work := f.m.workMs * slow
	s.uses++
	if _, kept := s.cache[key]; !kept {
		cold = true
		first += f.m.readMs * slow
		work += f.m.readMs * slow * f.m.workMs / f.m.firstMs
		f.reads++
		if isNew {
			f.newReads++
		}
		if len(s.cache) >= f.m.keep {
			s.drop()
		}
	}
	s.cache[key] = s.uses
	s.work += work
	// A queue as long as the server is busy.
	busy := min(s.Utilization, 0.98)
	first += f.m.firstMs * busy * busy / (1 - busy) / 4
	end := f.now + time.Second*time.Duration(1+f.rng.IntN(max(int(f.m.stream/time.Second), 1)))
	sample := Sample{Group: group, PromptTokens: 5000, Server: s.ID, FirstToken: time.Duration(first * float64(time.Millisecond)), FirstTokenTarget: 800 * time.Millisecond, Events: 50, CacheMiss: cold, Failed: f.rng.Float64() < fails}
	if first > 800 {
		f.late++
	}
	if sample.Failed {
		f.failed++
	}
	s.running++
	a.held[s.ID]++
	f.ends[end] = append(f.ends[end], running{a, s, sample, isNew})
}

// best is the servers that come first for a key, by hash.
type best struct {
	order    [4]*simServer
	score    [4]uint64
	n        int
	capacity float64
}

func (b *best) add(s *simServer, x uint64) {
	for j := range b.order {
		if j >= b.n || x > b.score[j] {
			copy(b.order[j+1:], b.order[j:3])
			copy(b.score[j+1:], b.score[j:3])
			b.order[j], b.score[j] = s, x
			b.n = min(b.n+1, len(b.order))
			return
		}
	}
}

// pick is the picker's way in short: the session's side, there of the key's window the server that
// comes first by hash and has the key in its share; while that is on its way out, for a part of its
// requests one of those that come next.
func (f *fleet) pick(a *simAgent, ring []*simServer, key, session uint64) *simServer {
	const window = 48
	at, n := 0, len(ring)
	if n == 0 {
		return nil
	}
	if n > window {
		at, n = int(key%uint64(n)), window
	}
	var sides [2]best
	for i := range n {
		s := ring[(at+i)%len(ring)]
		side := &sides[s.Revision-1]
		share := 1.0
		if a.rules.Active {
			share = a.rules.Share(s.ID, s.Addr, s.Revision)
			if share == 0 {
				continue
			}
			if a.rules.IsDraining(s.ID) {
				side.capacity += s.Capacity * share
			} else if !AcceptsSession(s.ID, session, share) {
				continue
			} else { // it takes a share of the sessions whole
				side.capacity += s.Capacity
			}
		}
		x := inference.Mix64(key ^ s.hash)
		if a.rules.IsWarming(s.ID) {
			if _, kept := s.cache[key]; !kept && (side.n == 0 || x > side.score[0]) && !a.filler.Allow(f.now, a.rules, s.ID, len(f.agents)) {
				continue
			}
		}
		side.add(s, x)
	}
	first, other := &sides[0], &sides[1]
	if a.rules.Active && a.sessions.PrefersNew(session, NewCapacityShare(sides[0].capacity, sides[1].capacity)) {
		first, other = other, first
	}
	for _, b := range []*best{first, other} { // the other side only rather than a queue
		if s := f.among(a, b); s != nil && s.Utilization < 0.85 {
			return s
		}
	}
	if s := f.among(a, first); s != nil {
		return s
	}
	return f.among(a, other)
}

func (f *fleet) among(a *simAgent, b *best) *simServer {
	if b.n == 0 {
		return nil
	}
	if first := b.order[0]; a.rules.IsDraining(first.ID) && f.rng.Float64() >= a.rules.Share(first.ID, first.Addr, first.Revision) {
		if b.n == 1 {
			return nil // the last of its side
		}
		return b.order[1+f.rng.IntN(min(b.n-1, max(a.rules.SpreadServers, 1)))]
	}
	for _, s := range b.order[:b.n] {
		if s.Utilization < 0.85 {
			return s
		}
	}
	return b.order[0]
}

// stock looks at what has to hold.
func (f *fleet) stock() {
	whole, serving, rules := 0.0, 0.0, f.compiled()
	for _, s := range f.servers {
		if s.State == registry.Deregistered {
			continue
		}
		whole += s.Capacity
		if s.up(f.now) {
			serving += s.Capacity * rules.Share(s.ID, s.Addr, s.Revision)
		}
	}
	if !f.rec.Active() {
		return
	}
	f.leastServing = min(f.leastServing, serving/whole)
	if f.rec.Phase == PhaseRollback && f.turnedAt == 0 {
		f.turnedAt = f.now
	}
	for _, l := range f.rec.Draining {
		if l.Step >= DrainClosed && l.Step < DrainReplacing && f.rec.Phase == PhaseForward && !f.closed[l.ID] {
			f.closed[l.ID] = true
			f.truth(f.byID[l.ID])
		}
	}
}

// truth looks at the prompts that were asked for often, and of late at a server that is closed: how
// many of them two others keep, in fact.
func (f *fleet) truth(x *simServer) {
	for key, all := range f.asked {
		n, lately := 0, false
		for _, s := range all {
			if f.now-s.at <= replicaWindow {
				n++
			}
			lately = lately || s.to == x && f.now-s.at < epochDuration
		}
		if float64(n) < 1.5*replicaWindow.Seconds()/f.rec.Spec.Safety.LiveSeconds || !lately {
			continue
		}
		have := 0
		for _, s := range f.servers {
			if _, kept := s.cache[key]; kept && s != x && s.up(f.now) && s.Region == x.Region {
				have++
			}
		}
		f.looked++
		if have < 2 {
			f.short++
		}
	}
}

func (f *fleet) play(seconds int) {
	for range seconds {
		f.second()
	}
}

// until plays until something holds, for a day at most.
func (f *fleet) until(what string, ok func() bool) time.Duration {
	from := f.now
	for !ok() {
		if f.now-from > 6*time.Hour {
			require.FailNow(f.t, "waited in vain for "+what, "%s %+v out %v in %v waits %q", f.rec.Phase, f.rec.Reason, f.rec.Draining, f.rec.Ramping, f.machine.waitReasons)
		}
		f.second()
	}
	return f.now - from
}

func (f *fleet) over() bool { return !f.rec.Active() }

// revisions counts the servers of each revision.
func (f *fleet) revisions() (old, fresh int) {
	for _, s := range f.servers {
		if s.State != registry.Deregistered {
			if s.Revision == 2 {
				fresh++
			} else {
				old++
			}
		}
	}
	return old, fresh
}

// small18 is a site like the small ones: 18 servers in 4 zones at half of what they can do.
func small18(seed uint64) makeup {
	return makeup{zones: []string{"k/a", "k/b", "k/c", "k/d"}, servers: 18, agents: 9, rate: 75, prompts: 400, keep: 120, readMs: 79, firstMs: 60,
		workMs: 120, stream: 4 * time.Second, load: 30 * time.Second, seed: seed,
		spec: func(s *Spec) { s.Safety.PeakLoad = 0.6 }}
}

// small6 is a third of it.
func small6(seed uint64) makeup {
	m := small18(seed)
	m.zones, m.servers, m.agents, m.rate, m.prompts = m.zones[:3], 6, 3, 25, 130
	m.spec = func(s *Spec) { s.Safety.PeakLoad, s.Judge.MinSamples = 0.5, 100 }
	return m
}
