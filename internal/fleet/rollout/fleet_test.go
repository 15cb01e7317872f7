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

// fleetConfig is what a fleet is made of. Rates are sampled ones: one of scale requests is played, of one of
// scale prompts, and servers keep and read as many fewer.
type fleetConfig struct {
	zones          []string // "region/zone"
	servers        int
	agents         int
	rate           float64 // requests a second, as played
	prompts        int     // shared prompts, as played
	cachedPrompts  int     // of them that a server keeps
	prefillMs      float64 // to read one
	firstTokenMs   float64 // a first token without that
	requestMs      float64 // a request takes of its server, as played
	streamTime     time.Duration
	startupTime    time.Duration // a new incarnation takes to come up
	seed           uint64
	sampling       float64 // one of so many requests and prompts is played; 0: all
	newSlowdown    float64 // times slower the new revision is
	newFailureRate float64 // part of its requests that fail
	spec           func(*Spec)
}

// fleet is the machine, the rules, the trackers and meters of agents and the folds of a holder, with
// servers, a platform and traffic in simulated time, a second at a time.
type fleet struct {
	t          *testing.T
	config     fleetConfig
	rng        *rand.Rand
	zipf       *rand.Zipf
	now        time.Duration
	record     *Record
	rules      *RoutingRules
	controller *Controller
	reports    *ReportAggregator
	hasHolder  bool
	servers    []*simServer
	byID       map[string]*simServer
	agents     []*simAgent
	endsAt     map[time.Duration][]runningRequest
	loadFactor float64
	started    time.Duration
	nextID     int
	dead       map[string]bool // zones

	// What came of it.
	requests, late, failed, prefills, newPrefills, unserved           int
	writes, recordBytes, maxTransitions, revisionChanges, syncedBytes int
	lastStablePart                                                    string
	minServingShare                                                   float64
	sessionRevisions                                                  map[uint64]bool // of sessions: true is new
	shortPrompts, checkedPrompts                                      int             // live prompts with too few replicas when a server was closed, of so many
	requestsByPrompt                                                  map[uint64][]sentRequest
	maxPrefills, prefillsAtWindow                                     int // in ten seconds
	checkedServers                                                    map[string]bool
	rolledBackAt                                                      time.Duration
}

type sentRequest struct {
	at     time.Duration
	server *simServer
}

type simServer struct {
	Server
	cache     map[uint64]uint64 // prompt to its last use
	useCount  uint64
	workMs    float64 // ms in this second
	running   int
	hash      uint64
	readyAt   time.Duration
	removedAt time.Duration
}

type simAgent struct {
	id          string
	region      string
	rules       *RoutingRules
	tracker     *SendTracker
	meter       *SampleRecorder
	sessions    *SessionAffinity
	filler      *WarmupLimiter
	inFlight    map[string]int
	seq         uint64
	partitioned bool
	member      bool
}

type runningRequest struct {
	agent  *simAgent
	server *simServer
	sample Sample
	isNew  bool
}

func newFleet(t *testing.T, config fleetConfig) *fleet {
	f := &fleet{t: t, config: config, rng: rand.New(rand.NewPCG(config.seed, 7)), now: time.Hour, loadFactor: 1, byID: map[string]*simServer{},
		endsAt: map[time.Duration][]runningRequest{}, dead: map[string]bool{}, minServingShare: 1, hasHolder: true,
		requestsByPrompt: map[uint64][]sentRequest{}, checkedServers: map[string]bool{},
		sessionRevisions: map[uint64]bool{}}
	f.zipf = rand.NewZipf(f.rng, 1.1, 20, uint64(config.prompts-1))
	for i := range config.servers {
		f.addServer(i, 1)
	}
	for i := range config.agents {
		region, _, _ := splitZone(config.zones[i%len(config.zones)])
		f.agents = append(f.agents, &simAgent{id: fmt.Sprintf("a%d", i), region: region, tracker: NewSendTracker(), meter: NewSampleRecorder(),
			sessions: &SessionAffinity{}, filler: NewWarmupLimiter(), inFlight: map[string]int{}, member: true, rules: (&Record{}).Rules()})
	}
	f.record = &Record{}
	return f
}

func splitZone(zone string) (region, name string, ok bool) {
	for i := range zone {
		if zone[i] == '/' {
			return zone[:i], zone, true
		}
	}
	return zone, zone, false
}

func (f *fleet) addServer(i, revision int) *simServer {
	region, zone, _ := splitZone(f.config.zones[i%len(f.config.zones)])
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
	if f.config.spec != nil {
		f.config.spec(&spec)
	}
	for _, c := range change {
		c(&spec)
	}
	require.Empty(f.t, spec.validationErrors())
	rec, err := f.record.Start(&spec)
	require.NoError(f.t, err)
	f.commit(rec)
	f.replaceHolder()
	f.started, f.maxPrefills, f.prefillsAtWindow = f.now, 0, f.prefills
}

// replaceHolder is another holder, which knows the record and nothing else.
func (f *fleet) replaceHolder() {
	f.controller, f.reports = NewController(), NewReportAggregator(f.record)
}

func (f *fleet) commit(rec *Record) {
	require.Equal(f.t, f.record.Version+1, rec.Version)
	require.NoError(f.t, rec.Validate())
	raw, err := rec.Encode()
	require.NoError(f.t, err)
	back, err := Decode(raw)
	require.NoError(f.t, err)
	f.record = back
	f.writes++
	moving, rest, err := rec.Split()
	require.NoError(f.t, err)
	f.syncedBytes += len(moving)
	if string(rest) != f.lastStablePart {
		f.lastStablePart = string(rest)
		f.syncedBytes += len(rest)
	}
	f.recordBytes = max(f.recordBytes, len(raw))
}

func (f *fleet) observation() *Observation {
	facts := &Observation{Reports: f.reports}
	for _, s := range f.servers {
		if s.State != registry.Deregistered && s.readyAt <= f.now {
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
	facts.Agents = f.reports.Agents(members)
	return facts
}

// currentRules is the newest record's rules, which all agents share here.
func (f *fleet) currentRules() *RoutingRules {
	if f.rules == nil || f.rules.Version != f.record.Version {
		f.rules = f.record.Rules()
	}
	return f.rules
}

// playSecond plays one second.
func (f *fleet) playSecond() {
	f.now += time.Second
	if f.record.Active() {
		for _, a := range f.agents {
			if a.partitioned {
				continue
			}
			if a.rules.Version != f.record.Version {
				a.rules = f.currentRules()
			}
			a.seq++
			r := &Report{Source: a.id, Seq: a.seq, Region: a.region, Rollout: f.record.Number, AppliedVersion: a.rules.Version, InFlight: map[string]int{}, Sends: a.tracker.Take(), Samples: a.meter.Take()}
			for id, n := range a.inFlight {
				if n > 0 && a.rules.IsDraining(id) {
					r.InFlight[id] = n
				}
			}
			require.NoError(f.t, f.reports.Add(r))
		}
		f.reports.Tick(f.now)
		if f.hasHolder {
			for range 3 {
				next := f.controller.Reconcile(f.now, f.record, f.observation())
				if next == nil {
					break
				}
				f.commit(next)
			}
		}
		f.maxTransitions = max(f.maxTransitions, len(f.record.Draining)+len(f.record.Ramping))
	} else {
		for _, a := range f.agents {
			if !a.partitioned {
				a.rules = f.currentRules()
			}
		}
	}
	f.runPlatform()
	f.runTraffic()
	f.checkInvariants()
	if f.now%(10*time.Second) == 0 {
		f.maxPrefills, f.prefillsAtWindow = max(f.maxPrefills, f.prefills-f.prefillsAtWindow), f.prefills
	}
}

// runPlatform replaces what is handed over, and takes down what drains.
func (f *fleet) runPlatform() {
	for _, l := range f.record.Draining {
		if s := f.byID[l.ID]; s != nil && l.Step == DrainReplacing && s.State == registry.Ready {
			for _, a := range f.agents {
				require.Zero(f.t, a.inFlight[s.ID], "%s is replaced while %s holds requests there", s.ID, a.id)
			}
			s.State = registry.Draining
			s.removedAt = f.now + 2*time.Second
		}
	}
	for _, s := range f.servers {
		if s.State == registry.Draining && s.removedAt <= f.now {
			s.State = registry.Deregistered
			var i int
			_, err := fmt.Sscanf(s.ID, "s%d-", &i)
			require.NoError(f.t, err)
			n := f.addServer(i, f.record.targetRevision())
			n.readyAt = f.now + f.config.startupTime
			n.State = registry.Ready
		}
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *simServer) bool {
		if s.State == registry.Deregistered && f.now-s.removedAt > 90*time.Second {
			delete(f.byID, s.ID)
			return true
		}
		return false
	})
}

// crash takes a server away that says nothing; the platform brings the revision back that it had.
func (f *fleet) crash(s *simServer, back time.Duration) {
	s.State, s.removedAt = registry.Deregistered, f.now
	for _, rs := range f.endsAt {
		for _, r := range rs {
			if r.server == s {
				r.agent.inFlight[s.ID] = 0
			}
		}
	}
	if back > 0 {
		var i int
		_, err := fmt.Sscanf(s.ID, "s%d-", &i)
		require.NoError(f.t, err)
		n := f.addServer(i, s.Revision)
		n.readyAt = f.now + back
	}
}

// evict takes out the oldest of a few, so that runs repeat.
func (s *simServer) evict() {
	keys := make([]uint64, 0, len(s.cache))
	for k := range s.cache {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b uint64) int { return cmp.Compare(s.cache[a], s.cache[b]) })
	for _, k := range keys[:len(keys)/8+1] { // and some more, so that it is seldom done
		delete(s.cache, k)
	}
}

func (s *simServer) isReady(now time.Duration) bool {
	return s.State == registry.Ready && s.readyAt <= now
}

// runTraffic plays a second's requests.
func (f *fleet) runTraffic() {
	for _, r := range f.endsAt[f.now] {
		if r.server.State == registry.Deregistered {
			continue
		}
		if r.agent.inFlight[r.server.ID]--; r.agent.inFlight[r.server.ID] <= 0 {
			delete(r.agent.inFlight, r.server.ID)
		}
		r.server.running--
		r.agent.meter.Record(&r.sample, r.isNew, r.agent.rules.IsRamping(r.server.ID))
	}
	delete(f.endsAt, f.now)
	// Windows of a ring, as the picker forms them.
	ring := map[string][]*simServer{}
	for _, s := range f.servers {
		if s.isReady(f.now) {
			ring[s.Region] = append(ring[s.Region], s)
		}
	}
	for _, list := range ring {
		slices.SortFunc(list, func(a, b *simServer) int { return cmp.Compare(a.hash, b.hash) })
	}
	n := f.config.rate * f.loadFactor
	count := int(n)
	if f.rng.Float64() < n-float64(count) {
		count++
	}
	for range count {
		f.playRequest(ring)
	}
	for _, s := range f.servers {
		s.Utilization = 0.8*s.Utilization + 0.2*min(s.workMs/1000, 2)
		s.workMs = 0
	}
}

func (f *fleet) playRequest(rings map[string][]*simServer) {
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
	if f.config.sampling == 0 {
		all := append(f.requestsByPrompt[key], sentRequest{f.now, s})
		f.requestsByPrompt[key] = all[max(0, len(all)-64):]
	}
	isNew := s.Revision == 2
	if was, ok := f.sessionRevisions[session]; ok && was != isNew {
		f.revisionChanges++
	}
	if len(f.sessionRevisions) < 1<<22 {
		f.sessionRevisions[session] = isNew
	}
	a.sessions.Record(f.now, session, isNew)
	group := Group{Route: "r", Key: key}
	a.tracker.Record(f.now, s.ID, group)
	slowdown, failureRate := 1.0, 0.0
	if isNew {
		slowdown, failureRate = max(f.config.newSlowdown, 1), f.config.newFailureRate
	}
	cacheMiss := false
	firstTokenMs := f.config.firstTokenMs * slowdown * (0.8 + 0.4*f.rng.Float64())
	workMs := f.config.requestMs * slowdown
	s.useCount++
	if _, cached := s.cache[key]; !cached {
		cacheMiss = true
		firstTokenMs += f.config.prefillMs * slowdown
		workMs += f.config.prefillMs * slowdown * f.config.requestMs / f.config.firstTokenMs
		f.prefills++
		if isNew {
			f.newPrefills++
		}
		if len(s.cache) >= f.config.cachedPrompts {
			s.evict()
		}
	}
	s.cache[key] = s.useCount
	s.workMs += workMs
	// A queue as long as the server is busy.
	busy := min(s.Utilization, 0.98)
	firstTokenMs += f.config.firstTokenMs * busy * busy / (1 - busy) / 4
	end := f.now + time.Second*time.Duration(1+f.rng.IntN(max(int(f.config.streamTime/time.Second), 1)))
	sample := Sample{Group: group, PromptTokens: 5000, Server: s.ID, FirstToken: time.Duration(firstTokenMs * float64(time.Millisecond)), FirstTokenTarget: 800 * time.Millisecond, Events: 50, CacheMiss: cacheMiss, Failed: f.rng.Float64() < failureRate}
	if firstTokenMs > 800 {
		f.late++
	}
	if sample.Failed {
		f.failed++
	}
	s.running++
	a.inFlight[s.ID]++
	f.endsAt[end] = append(f.endsAt[end], runningRequest{a, s, sample, isNew})
}

// candidateList is the servers that come first for a key, by hash.
type candidateList struct {
	order    [4]*simServer
	score    [4]uint64
	n        int
	capacity float64
}

func (b *candidateList) add(s *simServer, x uint64) {
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
	var sides [2]candidateList
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
			if _, cached := s.cache[key]; !cached && (side.n == 0 || x > side.score[0]) && !a.filler.Allow(f.now, a.rules, s.ID, len(f.agents)) {
				continue
			}
		}
		side.add(s, x)
	}
	first, other := &sides[0], &sides[1]
	if a.rules.Active && a.sessions.PrefersNew(session, NewCapacityShare(sides[0].capacity, sides[1].capacity)) {
		first, other = other, first
	}
	for _, b := range []*candidateList{first, other} { // the other side only rather than a queue
		if s := f.pickAmong(a, b); s != nil && s.Utilization < 0.85 {
			return s
		}
	}
	if s := f.pickAmong(a, first); s != nil {
		return s
	}
	return f.pickAmong(a, other)
}

func (f *fleet) pickAmong(a *simAgent, b *candidateList) *simServer {
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

// checkInvariants looks at what has to hold.
func (f *fleet) checkInvariants() {
	total, serving, rules := 0.0, 0.0, f.currentRules()
	for _, s := range f.servers {
		if s.State == registry.Deregistered {
			continue
		}
		total += s.Capacity
		if s.isReady(f.now) {
			serving += s.Capacity * rules.Share(s.ID, s.Addr, s.Revision)
		}
	}
	if !f.record.Active() {
		return
	}
	f.minServingShare = min(f.minServingShare, serving/total)
	if f.record.Phase == PhaseRollback && f.rolledBackAt == 0 {
		f.rolledBackAt = f.now
	}
	for _, l := range f.record.Draining {
		if l.Step >= DrainClosed && l.Step < DrainReplacing && f.record.Phase == PhaseForward && !f.checkedServers[l.ID] {
			f.checkedServers[l.ID] = true
			f.checkReplicas(f.byID[l.ID])
		}
	}
}

// checkReplicas looks at the prompts that were asked for often, and of late at a server that is closed: how
// many of them two others keep, in fact.
func (f *fleet) checkReplicas(x *simServer) {
	for key, all := range f.requestsByPrompt {
		n, lately := 0, false
		for _, s := range all {
			if f.now-s.at <= replicaWindow {
				n++
			}
			lately = lately || s.server == x && f.now-s.at < epochDuration
		}
		if float64(n) < 1.5*replicaWindow.Seconds()/f.record.Spec.Safety.LiveSeconds || !lately {
			continue
		}
		have := 0
		for _, s := range f.servers {
			if _, cached := s.cache[key]; cached && s != x && s.isReady(f.now) && s.Region == x.Region {
				have++
			}
		}
		f.checkedPrompts++
		if have < 2 {
			f.shortPrompts++
		}
	}
}

func (f *fleet) play(seconds int) {
	for range seconds {
		f.playSecond()
	}
}

// playUntil plays until something holds, for a day at most.
func (f *fleet) playUntil(what string, ok func() bool) time.Duration {
	from := f.now
	for !ok() {
		if f.now-from > 6*time.Hour {
			require.FailNow(f.t, "waited in vain for "+what, "%s %+v out %v in %v waits %q", f.record.Phase, f.record.Reason, f.record.Draining, f.record.Ramping, f.controller.waitReasons)
		}
		f.playSecond()
	}
	return f.now - from
}

func (f *fleet) ended() bool { return !f.record.Active() }

// countRevisions counts the servers of each revision.
func (f *fleet) countRevisions() (old, updated int) {
	for _, s := range f.servers {
		if s.State != registry.Deregistered {
			if s.Revision == 2 {
				updated++
			} else {
				old++
			}
		}
	}
	return old, updated
}

// site18 is a site like the small ones: 18 servers in 4 zones at half of what they can do.
func site18(seed uint64) fleetConfig {
	return fleetConfig{zones: []string{"k/a", "k/b", "k/c", "k/d"}, servers: 18, agents: 9, rate: 75, prompts: 400, cachedPrompts: 120, prefillMs: 79, firstTokenMs: 60,
		requestMs: 120, streamTime: 4 * time.Second, startupTime: 30 * time.Second, seed: seed,
		spec: func(s *Spec) { s.Safety.PeakLoad = 0.6 }}
}

// site6 is a third of it.
func site6(seed uint64) fleetConfig {
	config := site18(seed)
	config.zones, config.servers, config.agents, config.rate, config.prompts = config.zones[:3], 6, 3, 25, 130
	config.spec = func(s *Spec) { s.Safety.PeakLoad, s.Judge.MinSamples = 0.5, 100 }
	return config
}
