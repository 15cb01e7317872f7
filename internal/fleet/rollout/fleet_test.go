package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/inference"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// fleetConfig configures a simulated fleet. If sampling is set, only one of that many requests and prompts
// is simulated, and servers cache correspondingly fewer prompts.
type fleetConfig struct {
	zones          []string // "region/zone"
	servers        int
	agents         int
	rate           float64       // simulated requests a second
	prompts        int           // number of simulated shared prompts
	cachedPrompts  int           // number of simulated shared prompts that fit into a server's cache
	prefillMs      float64       // time to prefill a shared prompt
	firstTokenMs   float64       // time to the first token without prefilling a shared prompt
	requestMs      float64       // server time of a simulated request
	streamTime     time.Duration // maximum duration of a stream
	startupTime    time.Duration // startup time of a new incarnation
	seed           uint64
	sampling       float64     // one of so many requests and prompts is simulated; 0 for all
	newSlowdown    float64     // factor on the latencies of the new revision, if it is more than 1
	newFailureRate float64     // fraction of requests that fail at the new revision
	spec           func(*Spec) // changes the default spec; may be nil
}

// The revisions of the simulated rollout.
const simOldRevision, simNewRevision = 1, 2

const (
	// simServerCapacity is the capacity of each simulated server.
	simServerCapacity = 10
	// drainTime is the time that the platform takes to stop a server.
	drainTime = 2 * time.Second
	// deregisteredTime is the time for which a stopped server is still known.
	deregisteredTime = 90 * time.Second
	// maxPlayTime is the simulated time after which playUntil gives up.
	maxPlayTime = 6 * time.Hour
)

// fleet simulates a rollout in steps of a second. The lease holder's controller and aggregator and the
// agents' rules, trackers and recorders are real; servers, platform and traffic are simulated.
type fleet struct {
	t          *testing.T
	config     fleetConfig
	rng        *rand.Rand
	zipf       *rand.Zipf
	now        time.Duration
	started    time.Duration
	record     *Record
	rules      *RoutingRules // cached by currentRules
	controller *Controller
	reports    *ReportAggregator
	hasHolder  bool // a process holds the lease
	servers    []*simServer
	byID       map[string]*simServer
	nextID     int
	agents     []*simAgent
	loadFactor float64                            // factor on the configured rate
	endsAt     map[time.Duration][]runningRequest // by the time at which they end
	fleetFigures
}

// fleetFigures are the measurements of a simulation.
type fleetFigures struct {
	requests, late, failed, unserved int
	prefills, newPrefills            int // prefills of shared prompts, by all servers and by new ones
	maxPrefills, prefillsAtWindow    int // maximum in ten seconds, and prefills when these ten began
	writes, recordBytes, syncedBytes int
	lastStablePart                   string
	maxTransitions                   int           // maximum number of draining and ramping servers
	minServingShare                  float64       // minimum fraction of the capacity that serves
	rolledBackAt                     time.Duration // start of the rollback; 0 if there was none

	sessionIsNew    map[uint64]bool // by session: whether its last request ran at the new revision
	revisionChanges int             // number of requests at another revision than the session's last one

	requestsByPrompt             map[uint64][]sentRequest
	checkedServers               map[string]bool
	checkedPrompts, shortPrompts int // live prompts of closed servers, and those of them with too few replicas
}

type simServer struct {
	Server
	hash      uint64
	cache     map[uint64]uint64 // by prompt: the useCount of its last use
	useCount  uint64            // number of cache lookups
	workMs    float64           // server time of the requests of this second
	running   int               // number of requests in flight
	readyAt   time.Duration
	removedAt time.Duration // when it has drained or crashed
}

type simAgent struct {
	id          string
	region      string
	rules       *RoutingRules
	tracker     *SendTracker
	recorder    *SampleRecorder
	affinity    *SessionAffinity
	warmup      *WarmupLimiter
	inFlight    map[string]int
	reportSeq   uint64
	partitioned bool
	member      bool
}

func newFleet(t *testing.T, config fleetConfig) *fleet {
	f := &fleet{
		t:          t,
		config:     config,
		rng:        rand.New(rand.NewPCG(config.seed, 7)),
		now:        time.Hour,
		record:     &Record{},
		hasHolder:  true,
		byID:       map[string]*simServer{},
		loadFactor: 1,
		endsAt:     map[time.Duration][]runningRequest{},
		fleetFigures: fleetFigures{
			minServingShare:  1,
			sessionIsNew:     map[uint64]bool{},
			requestsByPrompt: map[uint64][]sentRequest{},
			checkedServers:   map[string]bool{},
		},
	}
	f.zipf = rand.NewZipf(f.rng, 1.1, 20, uint64(config.prompts-1))
	for i := range config.servers {
		f.addServer(i, simOldRevision)
	}
	for i := range config.agents {
		f.agents = append(f.agents, &simAgent{
			id:       fmt.Sprintf("a%d", i),
			region:   regionOf(config.zones[i%len(config.zones)]),
			rules:    (&Record{}).Rules(),
			tracker:  NewSendTracker(),
			recorder: NewSampleRecorder(),
			affinity: &SessionAffinity{},
			warmup:   NewWarmupLimiter(),
			inFlight: map[string]int{},
			member:   true,
		})
	}
	return f
}

// regionOf returns the region of a "region/zone".
func regionOf(zone string) string {
	region, _, _ := strings.Cut(zone, "/")
	return region
}

// addServer adds a new incarnation of the server with an index.
func (f *fleet) addServer(index, revision int) *simServer {
	zone := f.config.zones[index%len(f.config.zones)]
	f.nextID++
	addr := fmt.Sprintf("10.0.%d.%d:80", index/250, index%250)
	s := &simServer{
		Server: Server{
			ID:       fmt.Sprintf("s%04d-%d", index, f.nextID),
			Addr:     addr,
			Zone:     zone,
			Region:   regionOf(zone),
			Revision: revision,
			Capacity: simServerCapacity,
			Healthy:  true,
		},
		hash:  inference.HashString(addr),
		cache: map[uint64]uint64{},
	}
	f.servers = append(f.servers, s)
	f.byID[s.ID] = s
	return s
}

// replaceServer starts a new incarnation of a server, which is ready after startupTime.
func (f *fleet) replaceServer(s *simServer, revision int, startupTime time.Duration) {
	var index int
	_, err := fmt.Sscanf(s.ID, "s%d-", &index)
	require.NoError(f.t, err)
	f.addServer(index, revision).readyAt = f.now + startupTime
}

func (s *simServer) isReady(now time.Duration) bool {
	return s.State == registry.Ready && s.readyAt <= now
}

// start starts a rollout.
func (f *fleet) start(changes ...func(*Spec)) {
	spec := defaultSpec()
	spec.Service, spec.Model, spec.From, spec.To = "s", "m", simOldRevision, simNewRevision
	if f.config.spec != nil {
		f.config.spec(&spec)
	}
	for _, change := range changes {
		change(&spec)
	}
	require.Empty(f.t, spec.validationErrors())
	record, err := f.record.Start(&spec)
	require.NoError(f.t, err)
	f.commit(record)
	f.replaceHolder()
	f.started, f.maxPrefills, f.prefillsAtWindow = f.now, 0, f.prefills
}

// replaceHolder passes the lease to another process, which knows only the record.
func (f *fleet) replaceHolder() {
	f.controller, f.reports = NewController(), NewReportAggregator(f.record)
}

// commit stores a record, from which agents take their rules, and measures its size.
func (f *fleet) commit(record *Record) {
	require.Equal(f.t, f.record.Version+1, record.Version)
	require.NoError(f.t, record.Validate())
	raw, err := record.Encode()
	require.NoError(f.t, err)
	f.record, err = Decode(raw)
	require.NoError(f.t, err)
	f.writes++
	f.recordBytes = max(f.recordBytes, len(raw))
	dynamic, stable, err := record.Split()
	require.NoError(f.t, err)
	f.syncedBytes += len(dynamic)
	if string(stable) != f.lastStablePart {
		f.lastStablePart = string(stable)
		f.syncedBytes += len(stable)
	}
}

// observation returns what the lease holder knows.
func (f *fleet) observation() *Observation {
	observation := &Observation{Reports: f.reports}
	for _, s := range f.servers {
		if s.State != registry.Deregistered && s.readyAt <= f.now {
			server := s.Server
			server.InFlight = s.running
			observation.Servers = append(observation.Servers, server)
		}
	}
	var members []string
	for _, a := range f.agents {
		if a.member {
			members = append(members, a.id)
		}
	}
	observation.Agents = f.reports.Agents(members)
	return observation
}

// currentRules returns the latest record's rules.
func (f *fleet) currentRules() *RoutingRules {
	if f.rules == nil || f.rules.Version != f.record.Version {
		f.rules = f.record.Rules()
	}
	return f.rules
}

// playSecond simulates one second.
func (f *fleet) playSecond() {
	f.now += time.Second
	f.syncAgents()
	if f.record.Active() {
		f.reconcile()
	}
	f.runPlatform()
	f.runTraffic()
	f.checkInvariants()
	if f.now%(10*time.Second) == 0 {
		f.maxPrefills, f.prefillsAtWindow = max(f.maxPrefills, f.prefills-f.prefillsAtWindow), f.prefills
	}
}

// syncAgents lets all agents that are not partitioned apply the record and, during a rollout, report.
func (f *fleet) syncAgents() {
	active := f.record.Active()
	for _, a := range f.agents {
		if a.partitioned {
			continue
		}
		a.rules = f.currentRules()
		if active {
			require.NoError(f.t, f.reports.Add(a.report()))
		}
	}
}

// report returns the agent's next report.
func (a *simAgent) report() *Report {
	a.reportSeq++
	r := &Report{
		Source:         a.id,
		Seq:            a.reportSeq,
		Region:         a.region,
		Rollout:        a.rules.Rollout,
		AppliedVersion: a.rules.Version,
		InFlight:       map[string]int{},
		Sends:          a.tracker.Take(),
		Samples:        a.recorder.Take(),
	}
	for id, n := range a.inFlight {
		if n > 0 && a.rules.IsDraining(id) {
			r.InFlight[id] = n
		}
	}
	return r
}

// reconcile lets the lease holder, if there is one, take its steps.
func (f *fleet) reconcile() {
	const maxSteps = 3
	f.reports.Tick(f.now)
	for range maxSteps {
		if !f.hasHolder {
			break
		}
		next := f.controller.Reconcile(f.now, f.record, f.observation())
		if next == nil {
			break
		}
		f.commit(next)
	}
	f.maxTransitions = max(f.maxTransitions, len(f.record.Draining)+len(f.record.Ramping))
}

// runPlatform drains servers that are handed over and replaces those that have drained.
func (f *fleet) runPlatform() {
	for _, d := range f.record.Draining {
		if s := f.byID[d.ID]; s != nil && d.Step == DrainReplacing && s.State == registry.Ready {
			for _, a := range f.agents {
				require.Zero(f.t, a.inFlight[s.ID], "%s is replaced while %s has requests in flight there", s.ID, a.id)
			}
			s.State, s.removedAt = registry.Draining, f.now+drainTime
		}
	}
	for _, s := range f.servers {
		if s.State == registry.Draining && s.removedAt <= f.now {
			s.State = registry.Deregistered
			f.replaceServer(s, f.record.targetRevision(), f.config.startupTime)
		}
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *simServer) bool {
		isOver := s.State == registry.Deregistered && f.now-s.removedAt > deregisteredTime
		if isOver {
			delete(f.byID, s.ID)
		}
		return isOver
	})
}

// crash removes a server without notice. Unless restartTime is 0, the platform restarts it with the same
// revision.
func (f *fleet) crash(s *simServer, restartTime time.Duration) {
	s.State, s.removedAt = registry.Deregistered, f.now
	for _, requests := range f.endsAt {
		for _, r := range requests {
			if r.server == s {
				r.agent.inFlight[s.ID] = 0
			}
		}
	}
	if restartTime > 0 {
		f.replaceServer(s, s.Revision, restartTime)
	}
}

// checkInvariants measures the serving capacity and, once a server is closed, the replicas of its prompts.
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
	for _, d := range f.record.Draining {
		if d.Step >= DrainClosed && d.Step < DrainReplacing && f.record.Phase == PhaseForward && !f.checkedServers[d.ID] {
			f.checkedServers[d.ID] = true
			f.checkReplicas(f.byID[d.ID])
		}
	}
}

// checkReplicas counts the frequently requested prompts that a closed server was recently sent, and those
// of them that fewer than two other servers actually have cached.
func (f *fleet) checkReplicas(closed *simServer) {
	minRequests := 1.5 * replicaWindow.Seconds() / f.record.Spec.Safety.LiveSeconds
	for prompt, requests := range f.requestsByPrompt {
		count, recent := 0, false
		for _, r := range requests {
			if f.now-r.at <= replicaWindow {
				count++
			}
			recent = recent || r.server == closed && f.now-r.at < epochDuration
		}
		if float64(count) < minRequests || !recent {
			continue
		}
		f.checkedPrompts++
		if f.replicasOf(prompt, closed) < 2 {
			f.shortPrompts++
		}
	}
}

// replicasOf returns the number of servers, other than the closed one, that have a prompt cached in its
// region.
func (f *fleet) replicasOf(prompt uint64, closed *simServer) (replicas int) {
	for _, s := range f.servers {
		if _, cached := s.cache[prompt]; cached && s != closed && s.isReady(f.now) && s.Region == closed.Region {
			replicas++
		}
	}
	return replicas
}

// play simulates a number of seconds.
func (f *fleet) play(seconds int) {
	for range seconds {
		f.playSecond()
	}
}

// playUntil simulates until a condition holds, and returns the simulated time that this took.
func (f *fleet) playUntil(condition string, holds func() bool) time.Duration {
	begin := f.now
	for !holds() {
		if f.now-begin > maxPlayTime {
			require.FailNow(f.t, "time-out waiting for "+condition, "%s %+v, draining %v, ramping %v, waiting for %q",
				f.record.Phase, f.record.Reason, f.record.Draining, f.record.Ramping, f.controller.waitReasons)
		}
		f.playSecond()
	}
	return f.now - begin
}

// ended reports whether the rollout has ended.
func (f *fleet) ended() bool { return !f.record.Active() }

// countRevisions returns the number of servers of each revision.
func (f *fleet) countRevisions() (old, updated int) {
	for _, s := range f.servers {
		switch {
		case s.State == registry.Deregistered:
		case s.Revision == simNewRevision:
			updated++
		default:
			old++
		}
	}
	return old, updated
}

// logFigures logs the measurements of a simulation.
func (f *fleet) logFigures(t *testing.T, name string, took time.Duration) {
	t.Helper()
	t.Logf("%s: %v; %d requests, %d late, %d unserved, %d failed, %d prefills (%d by new servers); %d of %d sessions changed revision; "+
		"min serving share %.3f, max transitions %d; %d writes, record %d B; %d of %d prompts short, max prefills %d",
		name, took, f.requests, f.late, f.unserved, f.failed, f.prefills, f.newPrefills, f.revisionChanges, len(f.sessionIsNew),
		f.minServingShare, f.maxTransitions, f.writes, f.recordBytes, f.shortPrompts, f.checkedPrompts, f.maxPrefills)
}

// site18 configures a small site: 18 servers in 4 zones at half of their capacity.
func site18(seed uint64) fleetConfig {
	return fleetConfig{
		zones:         []string{"k/a", "k/b", "k/c", "k/d"},
		servers:       18,
		agents:        9,
		rate:          75,
		prompts:       400,
		cachedPrompts: 120,
		prefillMs:     79,
		firstTokenMs:  60,
		requestMs:     120,
		streamTime:    4 * time.Second,
		startupTime:   30 * time.Second,
		seed:          seed,
		spec:          func(s *Spec) { s.Safety.PeakLoad = 0.6 },
	}
}

// site6 configures a third of site18.
func site6(seed uint64) fleetConfig {
	config := site18(seed)
	config.zones, config.servers, config.agents, config.rate, config.prompts = config.zones[:3], 6, 3, 25, 130
	config.spec = func(s *Spec) { s.Safety.PeakLoad, s.Judge.MinSamples = 0.5, 100 }
	return config
}

// site3 configures three servers in one zone with three prompts.
func site3(seed uint64) fleetConfig {
	config := site6(seed)
	config.servers, config.zones, config.rate, config.prompts = 3, []string{"k/a"}, 5, 3
	return config
}
