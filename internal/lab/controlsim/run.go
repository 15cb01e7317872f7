// Package controlsim plays whole control sides in one process: the real core, chain, view, hub, feed,
// registry, leases and rpc of each machine over a simulated network and simulated disks, in the
// virtual time of testing/synctest, from a seed.
package controlsim

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/cryptotest"
	"testing/synctest"
	"time"

	"chalkdoor.example/chalkdoor/internal/view"
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
	Virtual    time.Duration
}

// run is one run under way.
type run struct {
	setup   setup
	network *network
	referee *referee
	begun   time.Time

	mu       sync.Mutex
	machines []*machine
	cuts     map[*cut]bool
	troubles []*trouble
	wiped    time.Time // when a disk was last lost
	events   []string
	ended    []chan struct{} // processes that were stopped
}

// trouble is a time in which a machine is hit by a fault.
type trouble struct {
	machine  *machine
	from, to time.Time // to zero: it lasts
}

// play plays a setup in a bubble of virtual time.
func play(t *testing.T, s setup) (result Result) {
	cryptotest.SetGlobalRandom(t, s.seed)
	synctest.Test(t, func(t *testing.T) {
		r := &run{setup: s, network: newNetwork(), begun: time.Now(), cuts: map[*cut]bool{}}
		r.network.bandwidth = s.bandwidth
		r.referee = newReferee(r)
		ctx, cancel := context.WithCancel(context.Background())
		var wire sync.WaitGroup
		wire.Go(func() { r.network.run(ctx) })
		r.scenario(ctx)
		result.Virtual = r.now()
		r.stop()
		cancel()
		wire.Wait()
		r.referee.checkHistory()
		result.Violations, result.Events = r.referee.violations, r.events
		result.Orders, result.Reads = r.referee.taken, r.referee.reads
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
}

// founded tells whether all machines of the core know a view and are in touch.
func (r *run) founded() bool {
	for _, m := range r.members() {
		if p := m.running(); p == nil || !p.core.Linked() {
			return false
		}
	}
	return true
}

// behind names a machine that doesn't go by the newest acknowledged configuration.
func (r *run) behind() string {
	r.referee.mu.Lock()
	acked := r.referee.acked
	r.referee.mu.Unlock()
	for _, m := range r.all() {
		p := m.running()
		if p == nil {
			continue
		}
		s := p.last.Load()
		if acked > 0 && (s == nil || s.Doc == nil || s.Doc.Revision < acked) {
			return fmt.Sprintf("%s lacks revision %d", m.name, acked)
		}
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

// seedAddrs are the addresses that every machine's settings name.
func (r *run) seedAddrs() (out []string) {
	for _, m := range r.all()[:min(r.setup.core, 3)] {
		out = append(out, m.host.addr)
	}
	return out
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

// pick is one of the processes that run, nil if there is none.
func (r *run) pick(random *rand.Rand) *process {
	var running []*process
	for _, m := range r.all() {
		if p := m.running(); p != nil {
			running = append(running, p)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[random.IntN(len(running))]
}

// trouble notes that a machine is hit by a fault, until the function that it returns is called.
func (r *run) trouble(m *machine) (end func()) {
	t := &trouble{machine: m, from: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.troubles = append(r.troubles, t)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		t.to = time.Now()
	}
}

// bearable tells whether one more machine of the core may be hit: fewer than half are then.
func (r *run) bearable(m *machine) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hit := map[*machine]bool{m: true}
	for _, t := range r.troubles {
		if t.to.IsZero() && t.machine.media != nil {
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

// now is the time of the run.
func (r *run) now() time.Duration { return time.Since(r.begun) }

// log adds an event.
func (r *run) log(format string, args ...any) {
	line := fmt.Sprintf("%v ", r.now()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, line)
}

// random is the random source of one part of the run.
func (r *run) random(part string, index int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", part, index, r.setup.point)
	return rand.New(rand.NewPCG(r.setup.seed, h.Sum64()))
}
