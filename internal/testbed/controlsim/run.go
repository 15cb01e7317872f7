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
	// foundWithin is how long a fleet may take to found its first view.
	foundWithin = 10 * time.Second
	pollEvery   = 20 * time.Millisecond
	// caughtUpWithin is how long after the last fault everybody has the newest configuration.
	caughtUpWithin = 10 * time.Second
)

// Result is what became of a run.
type Result struct {
	Violations []Violation
	Events     []string
	Orders     int // that were taken
	Reads      int
	Drains     int
	Calls      int // between processes
	Virtual    time.Duration
}

// run is one run under way.
type run struct {
	setup   setup
	network *network
	referee *referee
	begun   time.Time
	playing context.Context // ends before the processes are stopped
	checks  sync.WaitGroup  // of the referee

	mu       sync.Mutex
	machines []*machine
	cuts     map[*cut]bool
	troubles []*trouble
	wiped    time.Time // when a disk was last lost
	events   []event
	ended    []chan struct{} // processes that were stopped
}

// event is a line of the run's log.
type event struct {
	at   time.Duration
	text string
}

// sorted are the events as text: those of one moment have no order of their own.
func sorted(events []event) (out []string) {
	slices.SortFunc(events, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.text, b.text)) })
	for _, e := range events {
		out = append(out, fmt.Sprintf("%v %s", e.at, e.text))
	}
	return out
}

// trouble is a time in which a machine is hit by a fault.
type trouble struct {
	machine  *machine
	kind     FaultKind
	from, to time.Time // to zero: it lasts
}

// play plays a setup in a bubble of virtual time.
func play(t *testing.T, s setup) (result Result) {
	defer seedNames(s.seed)()
	synctest.Test(t, func(t *testing.T) {
		r := &run{setup: s, network: newNetwork(), begun: time.Now(), cuts: map[*cut]bool{}}
		r.network.bandwidth = s.bandwidth
		r.referee = newReferee(r)
		ctx, cancel := context.WithCancel(context.Background())
		var wire sync.WaitGroup
		wire.Go(func() { r.network.run(ctx) })
		playing, endPlay := context.WithCancel(ctx)
		r.playing = playing
		r.scenario(ctx)
		result.Virtual = r.now()
		endPlay()
		r.checks.Wait()
		r.stop()
		cancel()
		wire.Wait()
		r.referee.checkHistory()
		result.Violations, result.Events = r.referee.violations, sorted(r.events)
		result.Orders, result.Reads = r.referee.taken, r.referee.reads
		result.Drains, result.Calls = r.referee.drains, r.referee.calls
	})
	return result
}

// scenario founds the fleet, plays faults and work beside each other, and looks at what is left.
func (r *run) scenario(ctx context.Context) {
	for range r.setup.core {
		r.addMachine(true)
	}
	for range r.setup.agents {
		r.addMachine(false)
	}
	for _, m := range r.all() {
		m.start(ctx, true)
	}
	if !r.until(ctx, foundWithin, r.founded) {
		r.referee.violate("core", "no first view within %v", foundWithin)
		return
	}
	work, stopWork := context.WithCancel(ctx)
	var workers, faults sync.WaitGroup
	for i := range r.setup.operators {
		o := &operator{run: r, index: i, random: r.random("operator", i)}
		workers.Go(func() { o.work(work) })
	}
	for i := range r.setup.servers {
		s := &server{run: r, index: i, random: r.random("server", i)}
		workers.Go(func() { s.work(work) })
	}
	for i := range r.setup.callers {
		c := &caller{run: r, index: i, random: r.random("caller", i)}
		workers.Go(func() { c.work(work) })
	}
	for _, f := range r.setup.faults {
		faults.Go(func() { r.play(work, f) })
	}
	pause(ctx, r.setup.length)
	faults.Wait()
	pause(ctx, r.setup.settle/2)
	stopWork()
	workers.Wait()
	if !r.until(ctx, caughtUpWithin, func() bool { return r.behind() == "" }) {
		r.referee.violate("fleet", "not caught up %v after the last order: %s", caughtUpWithin, r.behind())
	}
	pause(ctx, inForceWithin) // the last checks of the referee
}

// founded tells whether all machines of the core know a view and are in touch.
func (r *run) founded() bool {
	for _, m := range r.members() {
		if p := m.running(); p == nil || !p.core.HasQuorum() {
			return false
		}
	}
	return true
}

// behind names what is not as it should be long after the last fault; "" if all is.
func (r *run) behind() string {
	r.referee.mu.Lock()
	acked := r.referee.acked
	r.referee.mu.Unlock()
	v := r.view()
	whole := 0
	for _, m := range r.all() {
		p := m.running()
		if p == nil {
			continue
		}
		s := p.last.Load()
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
	if want := min(len(v.Voters), view.MaxChainLength(view.Tolerance{Machines: r.setup.losses})); whole < want {
		return fmt.Sprintf("the chain has %d complete members, not %d", whole, want)
	}
	return ""
}

// until polls a condition.
func (r *run) until(ctx context.Context, within time.Duration, ok func() bool) bool {
	for end := time.Now().Add(within); !ok(); {
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
		pause(ctx, pollEvery)
	}
	return true
}

// stop ends all processes and waits for them.
func (r *run) stop() {
	for _, m := range r.all() {
		if m.media != nil {
			m.media.setStalled(false)
		}
		m.kill(false)
	}
	r.mu.Lock()
	ended := slices.Clone(r.ended)
	r.mu.Unlock()
	for _, done := range ended {
		<-done
	}
}

// addEnded notes a process that was stopped: the run waits for its last goroutine.
func (r *run) addEnded(done chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, done)
}

func (r *run) addMachine(withDisk bool) *machine {
	r.mu.Lock()
	index := len(r.machines)
	r.mu.Unlock()
	m := newMachine(r, index, withDisk)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machines = append(r.machines, m)
	return m
}

func (r *run) all() []*machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.machines)
}

// members are the machines with a disk, agents the others.
func (r *run) members() []*machine {
	return slices.DeleteFunc(r.all(), func(m *machine) bool { return m.media == nil })
}

func (r *run) agents() []*machine {
	return slices.DeleteFunc(r.all(), func(m *machine) bool { return m.media != nil })
}

func (r *run) byAddr(addr string) *machine {
	for _, m := range r.all() {
		if m.host.addr == addr {
			return m
		}
	}
	return nil
}

// view is the newest view that any process knows.
func (r *run) view() (newest view.View) {
	for _, m := range r.all() {
		if p := m.running(); p != nil {
			if v, ok := p.core.View(); ok && v.Number > newest.Number {
				newest = v
			}
		}
	}
	return newest
}

// pick is one of the processes that run, another one than the last if there is one.
func (r *run) pick(random *rand.Rand, last *process) *process {
	var running []*process
	for _, m := range r.all() {
		if p := m.running(); p != nil && p != last {
			running = append(running, p)
		}
	}
	if len(running) == 0 {
		return last
	}
	return running[random.IntN(len(running))]
}

// inTouch are the processes that have run, and whose machines were in no fault, since a time.
func (r *run) inTouch(since time.Time) (out []*process) {
	hit := map[*machine]bool{}
	r.mu.Lock()
	for _, t := range r.troubles {
		if t.to.IsZero() || t.to.After(since) {
			hit[t.machine] = true
		}
	}
	r.mu.Unlock()
	for _, m := range r.all() {
		if p := m.running(); p != nil && !hit[m] && !p.begun.After(since) {
			out = append(out, p)
		}
	}
	return out
}

// stable tells whether no fault began or ended in a time of the run.
func (r *run) stable(from, to time.Duration) bool {
	within := func(t time.Time) bool { at := t.Sub(r.begun); return at >= from && at <= to }
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.troubles, func(t *trouble) bool { return within(t.from) || within(t.to) })
}

// trouble notes that a machine is hit by a fault, until the function that it returns is called.
func (r *run) trouble(m *machine, kind FaultKind) (end func()) {
	t := &trouble{machine: m, kind: kind, from: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.troubles = append(r.troubles, t)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		t.to = time.Now()
	}
}

// bearable tells whether one more machine of the core may be hit: fewer than half are then. A disk
// that was lost counts until settleTime after its machine, or what replaces it, started; not for the
// loss of the replacement, which takes the same place.
func (r *run) bearable(m *machine, replacement bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	hit := map[*machine]bool{m: true}
	for _, t := range r.troubles {
		lost := (t.kind == Wipe || t.kind == Replace) && !replacement
		if t.machine.media != nil && (t.to.IsZero() || lost && now.Sub(t.to) < settleTime) {
			hit[t.machine] = true
		}
	}
	return 2*len(hit) < r.setup.core
}

// lostDisk notes that a disk was lost.
func (r *run) lostDisk() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wiped = time.Now()
}

// lostDiskSince tells whether a disk was lost after a time.
func (r *run) lostDiskSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wiped.After(t)
}

// now is the time of the run.
func (r *run) now() time.Duration { return time.Since(r.begun) }

// log adds an event.
func (r *run) log(format string, args ...any) {
	e := event{at: r.now(), text: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// random is the random source of one part of the run.
func (r *run) random(part string, index int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", part, index, r.setup.point)
	return rand.New(rand.NewPCG(r.setup.seed, h.Sum64()))
}
