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
	// initialViewTimeout is how long a fleet may take to found its first view.
	initialViewTimeout = 10 * time.Second
	pollInterval       = 20 * time.Millisecond
	// catchUpTimeout is how long after the last fault everybody has the newest configuration.
	catchUpTimeout = 10 * time.Second
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

// simulation is one run under way.
type simulation struct {
	scenario  scenario
	network   *network
	checker   *checker
	startedAt time.Time
	checking  context.Context // ends before the processes are stopped
	checks    sync.WaitGroup  // of the referee

	mu           sync.Mutex
	machines     []*machine
	partitions   map[*partition]bool
	activeFaults []*activeFault
	lastDiskLoss time.Time // when a disk was last lost
	events       []event
	stopped      []chan struct{} // processes that were stopped
}

// simulate plays a setup in a bubble of virtual time.
func simulate(t *testing.T, s scenario) (result Result) {
	defer seedCryptoRand(s.seed)()
	synctest.Test(t, func(t *testing.T) {
		r := &simulation{scenario: s, network: newNetwork(), startedAt: time.Now(), partitions: map[*partition]bool{}}
		r.network.bandwidth = s.bandwidth
		r.checker = newChecker(r)
		ctx, cancel := context.WithCancel(context.Background())
		var wire sync.WaitGroup
		wire.Go(func() { r.network.expireConns(ctx) })
		playing, endPlay := context.WithCancel(ctx)
		r.checking = playing
		r.execute(ctx)
		result.VirtualTime = r.elapsed()
		endPlay()
		r.checks.Wait()
		r.stop()
		cancel()
		wire.Wait()
		r.checker.checkHistory()
		result.Violations, result.Events = r.checker.violations, formatEvents(r.events)
		result.Updates, result.Reads = r.checker.updates, r.checker.reads
		result.Drains, result.Calls = r.checker.drains, r.checker.calls
	})
	return result
}

// execute founds the fleet, plays faults and work beside each other, and looks at what is left.
func (r *simulation) execute(ctx context.Context) {
	for range r.scenario.coreCount {
		r.addMachine(true)
	}
	for range r.scenario.agentCount {
		r.addMachine(false)
	}
	for _, m := range r.allMachines() {
		m.start(ctx, true)
	}
	if !r.waitUntil(ctx, initialViewTimeout, r.hasInitialView) {
		r.checker.reportViolation("core", "no first view within %v", initialViewTimeout)
		return
	}
	work, stopWork := context.WithCancel(ctx)
	var workers, faults sync.WaitGroup
	for i := range r.scenario.operatorCount {
		o := &operator{sim: r, index: i, random: r.newRandom("operator", i)}
		workers.Go(func() { o.run(work) })
	}
	for i := range r.scenario.serverCount {
		s := &modelServer{sim: r, index: i, random: r.newRandom("server", i)}
		workers.Go(func() { s.run(work) })
	}
	for i := range r.scenario.echoClientCount {
		c := &echoClient{sim: r, index: i, random: r.newRandom("caller", i)}
		workers.Go(func() { c.run(work) })
	}
	for _, f := range r.scenario.faults {
		faults.Go(func() { r.inject(work, f) })
	}
	sleep(ctx, r.scenario.faultDuration)
	faults.Wait()
	sleep(ctx, r.scenario.quietPeriod/2)
	stopWork()
	workers.Wait()
	if !r.waitUntil(ctx, catchUpTimeout, func() bool { return r.catchUpProblem() == "" }) {
		r.checker.reportViolation("fleet", "not caught up %v after the last order: %s", catchUpTimeout, r.catchUpProblem())
	}
	sleep(ctx, propagationTimeout) // the last checks of the referee
}

// hasInitialView tells whether all machines of the core know a view and are in touch.
func (r *simulation) hasInitialView() bool {
	for _, m := range r.coreMachines() {
		if p := m.running(); p == nil || !p.core.HasQuorum() {
			return false
		}
	}
	return true
}

// catchUpProblem names what is not as it should be long after the last fault; "" if all is.
func (r *simulation) catchUpProblem() string {
	r.checker.mu.Lock()
	acked := r.checker.ackedRevision
	r.checker.mu.Unlock()
	v := r.newestView()
	whole := 0
	for _, m := range r.allMachines() {
		p := m.running()
		if p == nil {
			continue
		}
		s := p.snapshot.Load()
		status := p.core.Status()
		switch _, voter := v.Voter(status.ID); {
		case acked > 0 && (s == nil || s.Config == nil || s.Config.Revision < acked):
			return fmt.Sprintf("%s lacks revision %d", m.name, acked)
		case status.Position >= 0 && status.Complete:
			whole++
		case voter && !status.HasQuorum:
			return m.name + " is not in touch with the core"
		}
	}
	if want := min(len(v.Voters), view.MaxChainLength(view.Tolerance{Machines: r.scenario.toleratedLosses})); whole < want {
		return fmt.Sprintf("the chain has %d complete members, not %d", whole, want)
	}
	return ""
}

// waitUntil polls a condition.
func (r *simulation) waitUntil(ctx context.Context, within time.Duration, ok func() bool) bool {
	for end := time.Now().Add(within); !ok(); {
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
		sleep(ctx, pollInterval)
	}
	return true
}

// stop ends all processes and waits for them.
func (r *simulation) stop() {
	for _, m := range r.allMachines() {
		if m.media != nil {
			m.media.setStalled(false)
		}
		m.kill(false)
	}
	r.mu.Lock()
	ended := slices.Clone(r.stopped)
	r.mu.Unlock()
	for _, done := range ended {
		<-done
	}
}

// noteStopped notes a process that was stopped: the run waits for its last goroutine.
func (r *simulation) noteStopped(done chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = append(r.stopped, done)
}

// elapsed is the time of the run.
func (r *simulation) elapsed() time.Duration { return time.Since(r.startedAt) }

// newRandom is the random source of one part of the run.
func (r *simulation) newRandom(part string, index int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", part, index, r.scenario.number)
	return rand.New(rand.NewPCG(r.scenario.seed, h.Sum64()))
}
