package controlsim

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	// initialViewTimeout bounds the time until the fleet has its first view.
	initialViewTimeout = 10 * time.Second
	// catchUpTimeout bounds the time from the last update until every process has the newest configuration.
	catchUpTimeout = 10 * time.Second
	// pollInterval is the pause between two evaluations of a condition.
	pollInterval = 20 * time.Millisecond
)

// Result is the outcome of one run. The JSON keys are those of a worker's reports.
type Result struct {
	Violations  []Violation
	Events      []string      // the log of the run, ordered by virtual time
	Updates     int           `json:"Orders"` // configuration updates that were committed
	Reads       int           // configuration reads that were answered
	Drains      int           // drains that were acknowledged
	Calls       int           // echo calls between processes that were answered
	VirtualTime time.Duration `json:"Virtual"`
}

// simulation is one run of a scenario.
type simulation struct {
	scenario   scenario
	network    *network
	checker    *checker
	startedAt  time.Time
	processCtx context.Context // context of all processes; it outlives the faults, as a fault may start processes
	checkCtx   context.Context // context of the pending checks; it ends before the processes are stopped
	checks     sync.WaitGroup  // pending checks of the checker

	mu           sync.Mutex
	machines     []*machine // in the order of their addition, including replaced ones
	partitions   map[*partition]bool
	faultPeriods []*faultPeriod
	lastDiskLoss time.Time // zero if no disk was lost
	events       []event
	stopped      []chan struct{} // one per killed process; closed once its goroutines have ended
}

// simulate runs a scenario in a synctest bubble, in virtual time.
func simulate(t *testing.T, scenario scenario) (result Result) {
	defer seedCryptoRand(scenario.seed)()
	synctest.Test(t, func(t *testing.T) {
		s := &simulation{scenario: scenario, startedAt: time.Now(), partitions: map[*partition]bool{}}
		s.network = newNetwork(s.newRandom("links", 0))
		s.network.bandwidth = scenario.bandwidth
		s.checker = newChecker(s)
		ctx, cancel := context.WithCancel(context.Background())
		s.processCtx = ctx
		var expiring sync.WaitGroup
		expiring.Go(func() { s.network.expireConns(ctx) })
		checkCtx, endChecks := context.WithCancel(ctx)
		s.checkCtx = checkCtx
		s.execute(ctx)
		result.VirtualTime = s.elapsed()
		endChecks()
		s.checks.Wait()
		s.stop()
		cancel()
		expiring.Wait()
		s.checker.checkHistory()
		result.Violations, result.Events = s.checker.violations, formatEvents(s.events)
		result.Updates, result.Reads = s.checker.updates, s.checker.reads
		result.Drains, result.Calls = s.checker.drains, s.checker.calls
	})
	return result
}

// execute starts the fleet, runs the workload and the faults concurrently, and checks that the fleet catches up
// afterwards.
func (s *simulation) execute(ctx context.Context) {
	for range s.scenario.coreCount {
		s.addMachine(true)
	}
	for range s.scenario.agentCount {
		s.addMachine(false)
	}
	for _, m := range s.allMachines() {
		m.start(ctx, true)
	}
	if !s.waitUntil(ctx, initialViewTimeout, s.hasInitialView) {
		s.checker.reportViolation("core", "no initial view within %v", initialViewTimeout)
		return
	}
	workloadCtx, endWorkload := context.WithCancel(ctx)
	var workload, faults sync.WaitGroup
	s.startWorkload(workloadCtx, &workload)
	for _, f := range s.scenario.faults {
		faults.Go(func() { s.inject(workloadCtx, f) })
	}
	sleep(ctx, s.scenario.faultDuration)
	faults.Wait()
	sleep(ctx, s.scenario.quietPeriod/2)
	endWorkload()
	workload.Wait()
	if !s.waitUntil(ctx, catchUpTimeout, func() bool { return s.catchUpProblem() == "" }) {
		s.checker.reportViolation("fleet", "not caught up %v after the last update: %s", catchUpTimeout,
			s.catchUpProblem())
	}
	sleep(ctx, propagationTimeout) // for the last checks of the checker
}

// startWorkload starts operators, model servers, tenants and echo clients, which run until ctx ends. A seed's run
// depends on the names of their random sources.
func (s *simulation) startWorkload(ctx context.Context, workload *sync.WaitGroup) {
	for i := range s.scenario.operatorCount {
		operator := newOperator(s, i)
		workload.Go(func() { operator.run(ctx) })
	}
	for i := range s.scenario.serverCount {
		server := newModelServer(s, i)
		workload.Go(func() { server.run(ctx) })
	}
	for i := range s.scenario.tenantCount {
		client := &tenantClient{sim: s, index: i, random: s.newRandom("tenant", i)}
		workload.Go(func() { client.run(ctx) })
	}
	for i := range s.scenario.echoClientCount {
		client := &echoClient{sim: s, index: i, random: s.newRandom("caller", i)}
		workload.Go(func() { client.run(ctx) })
	}
}

// hasInitialView tells whether all machines of the core run and have a quorum.
func (s *simulation) hasInitialView() bool {
	for _, m := range s.coreMachines() {
		if p := m.running(); p == nil || !p.core.HasQuorum() {
			return false
		}
	}
	return true
}

// catchUpProblem describes the first process without the newest acknowledged configuration or without a quorum, or a
// chain with too few complete members. It returns "" if the fleet has caught up.
func (s *simulation) catchUpProblem() string {
	acked := s.checker.highestAckedRevision()
	v := s.newestView()
	complete := 0
	for _, m := range s.allMachines() {
		p := m.running()
		if p == nil {
			continue
		}
		snapshot := p.snapshot.Load()
		status := p.core.Status()
		switch _, voter := v.Voter(status.ID); {
		case acked > 0 && (snapshot == nil || snapshot.Config == nil || snapshot.Config.Revision < acked):
			return fmt.Sprintf("%s lacks revision %d", m.name, acked)
		case status.Position >= 0 && status.Complete:
			complete++
		case voter && !status.HasQuorum:
			return m.name + " has no quorum"
		}
	}
	if want := min(len(v.Voters), view.MaxChainLength(s.scenario.tolerance())); complete < want {
		return fmt.Sprintf("the chain has %d complete members, not %d", complete, want)
	}
	return ""
}

// waitUntil polls a condition and tells whether it became true within the timeout.
func (s *simulation) waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); !condition(); {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return false
		}
		sleep(ctx, pollInterval)
	}
	return true
}

// stop kills all processes and waits for their goroutines.
func (s *simulation) stop() {
	for _, m := range s.allMachines() {
		if m.media != nil {
			m.media.setStalled(false)
		}
		m.kill(false)
	}
	s.mu.Lock()
	stopped := slices.Clone(s.stopped)
	s.mu.Unlock()
	for _, done := range stopped {
		<-done
	}
}

// recordStopped adds the done channel of a killed process, for which stop waits.
func (s *simulation) recordStopped(done chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = append(s.stopped, done)
}

// elapsed returns the virtual time since the start of the run.
func (s *simulation) elapsed() time.Duration { return time.Since(s.startedAt) }

// newRandom returns the random source of one component of the run. It depends only on the seed, the scenario's number,
// and the component's name and index.
func (s *simulation) newRandom(component string, index int) *rand.Rand {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%d/%d", component, index, s.scenario.number)
	return rand.New(rand.NewPCG(s.scenario.seed, hash.Sum64()))
}
