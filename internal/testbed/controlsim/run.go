package controlsim

import (
	"cmp"
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

// event is a line of the run's log.
type event struct {
	at   time.Duration
	text string
}

// formatEvents are the events as text: those of one moment have no order of their own.
func formatEvents(events []event) (out []string) {
	slices.SortFunc(events, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.text, b.text)) })
	for _, e := range events {
		out = append(out, fmt.Sprintf("%v %s", e.at, e.text))
	}
	return out
}

// activeFault is a time in which a machine is hit by a fault.
type activeFault struct {
	machine    *machine
	kind       FaultKind
	begin, end time.Time // end zero: it lasts
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

func (r *simulation) addMachine(withDisk bool) *machine {
	r.mu.Lock()
	index := len(r.machines)
	r.mu.Unlock()
	m := newMachine(r, index, withDisk)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machines = append(r.machines, m)
	return m
}

func (r *simulation) allMachines() []*machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.machines)
}

// coreMachines are the machines with a disk, agents the others.
func (r *simulation) coreMachines() []*machine {
	return slices.DeleteFunc(r.allMachines(), func(m *machine) bool { return m.media == nil })
}

func (r *simulation) agentMachines() []*machine {
	return slices.DeleteFunc(r.allMachines(), func(m *machine) bool { return m.media != nil })
}

func (r *simulation) machineByAddr(addr string) *machine {
	for _, m := range r.allMachines() {
		if m.host.addr == addr {
			return m
		}
	}
	return nil
}

// newestView is the newest view that any process knows.
func (r *simulation) newestView() (newest view.View) {
	for _, m := range r.allMachines() {
		if p := m.running(); p != nil {
			if v, ok := p.core.View(); ok && v.Number > newest.Number {
				newest = v
			}
		}
	}
	return newest
}

// pickProcess is one of the processes that run, another one than the last if there is one.
func (r *simulation) pickProcess(random *rand.Rand, last *process) *process {
	var running []*process
	for _, m := range r.allMachines() {
		if p := m.running(); p != nil && p != last {
			running = append(running, p)
		}
	}
	if len(running) == 0 {
		return last
	}
	return running[random.IntN(len(running))]
}

// healthySince are the processes that have run, and whose machines were in no fault, since a time.
func (r *simulation) healthySince(since time.Time) (out []*process) {
	hit := map[*machine]bool{}
	r.mu.Lock()
	for _, t := range r.activeFaults {
		if t.end.IsZero() || t.end.After(since) {
			hit[t.machine] = true
		}
	}
	r.mu.Unlock()
	for _, m := range r.allMachines() {
		if p := m.running(); p != nil && !hit[m] && !p.startedAt.After(since) {
			out = append(out, p)
		}
	}
	return out
}

// stableBetween tells whether no fault began or ended in a time of the run.
func (r *simulation) stableBetween(from, to time.Duration) bool {
	within := func(t time.Time) bool { at := t.Sub(r.startedAt); return at >= from && at <= to }
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.activeFaults, func(t *activeFault) bool { return within(t.begin) || within(t.end) })
}

// beginFault notes that a machine is hit by a fault, until the function that it returns is called.
func (r *simulation) beginFault(m *machine, kind FaultKind) (end func()) {
	t := &activeFault{machine: m, kind: kind, begin: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeFaults = append(r.activeFaults, t)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		t.end = time.Now()
	}
}

// canInject tells whether one more machine of the core may be hit: fewer than half are then. A disk
// that was lost counts until recoveryTime after its machine, or what replaces it, started; not for the
// loss of the replacement, which takes the same place.
func (r *simulation) canInject(m *machine, replacement bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	hit := map[*machine]bool{m: true}
	for _, t := range r.activeFaults {
		lost := (t.kind == Wipe || t.kind == Replace) && !replacement
		if t.machine.media != nil && (t.end.IsZero() || lost && now.Sub(t.end) < recoveryTime) {
			hit[t.machine] = true
		}
	}
	return 2*len(hit) < r.scenario.coreCount
}

// noteDiskLoss notes that a disk was lost.
func (r *simulation) noteDiskLoss() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastDiskLoss = time.Now()
}

// diskLostSince tells whether a disk was lost after a time.
func (r *simulation) diskLostSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastDiskLoss.After(t)
}

// elapsed is the time of the run.
func (r *simulation) elapsed() time.Duration { return time.Since(r.startedAt) }

// logEvent adds an event.
func (r *simulation) logEvent(format string, args ...any) {
	e := event{at: r.elapsed(), text: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// newRandom is the random source of one part of the run.
func (r *simulation) newRandom(part string, index int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", part, index, r.scenario.number)
	return rand.New(rand.NewPCG(r.scenario.seed, h.Sum64()))
}
