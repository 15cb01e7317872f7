package controlsim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	port              = ":7400"
	heartbeatInterval = time.Second
	savedServersKey   = "servers"
	// configReadTimeout bounds one read of the newest configuration at a start, configRetryPause is between two.
	configReadTimeout, configRetryPause = time.Second, 200 * time.Millisecond
	// handoverTimeout bounds a process's end after SIGTERM, departTimeout its last words.
	handoverTimeout, departTimeout = 4 * time.Second, 500 * time.Millisecond
)

// machine is one machine of the fleet: a host on the network, a disk if it is of the core, and the
// process that runs on it.
type machine struct {
	sim          *simulation
	index        int
	name         string
	zone         string
	host         *host
	media        *media // nil: an agent without a disk
	incarnations int

	// Of the run's lock: when the machine came, when it was replaced (zero: it was not), and the machines
	// that its settings file names.
	addedAt, replacedAt time.Time
	seeds               []*machine

	mu      sync.Mutex
	process *process
}

func newMachine(r *simulation, index int, withDisk bool) *machine {
	kind := "agent"
	if withDisk {
		kind = "core"
	}
	m := &machine{sim: r, index: index, addedAt: time.Now(), name: fmt.Sprintf("%s-%d", kind, index), zone: fmt.Sprintf("z%d", index%3)}
	m.host = r.network.addHost(fmt.Sprintf("10.0.0.%d%s", index+1, port))
	if withDisk {
		m.media = newMedia(r.newRandom("disk", index))
	}
	return m
}

// running is the process, nil if there is none.
func (m *machine) running() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// start begins a life. The machine has power then.
func (m *machine) start(ctx context.Context, first bool) {
	m.sim.network.powerOn(m.host)
	m.incarnations++
	p := &process{machine: m, incarnation: m.incarnations, startedAt: time.Now(), done: make(chan struct{})}
	ctx, p.cancel = context.WithCancel(ctx)
	over := dialer{host: m.host, done: ctx.Done()}
	p.pool = rpc.NewPoolWithDialer(over)
	if err := p.open(over, first); err != nil {
		m.sim.checker.reportViolation(m.name, "the process does not start: %v", err)
		p.cancel()
		return
	}
	table := rpc.NewMux()
	p.core.RegisterHandlers(table)
	p.relay.RegisterHandlers(table)
	registerEchoHandler(table, m.sim.newRandom("echo", m.index))
	listener := m.host.listen()
	m.mu.Lock()
	m.process = p
	m.mu.Unlock()
	m.sim.logEvent("%s starts life %d", m.name, p.incarnation)
	go func() { // ends with ctx; stop waits for it
		defer close(p.done)
		var parts sync.WaitGroup
		parts.Go(func() { _ = rpc.Serve(ctx, listener, table) })
		parts.Go(func() { _ = p.core.Run(ctx) })
		parts.Go(func() { _ = p.relay.Run(ctx) })
		parts.Go(func() { p.readNewestConfig(ctx) })
		<-ctx.Done()
		p.pool.Close()
		parts.Wait()
	}()
}

// kill ends the process at once; with powerLoss its machine falls silent, too, until its next start.
func (m *machine) kill(powerLoss bool) {
	m.mu.Lock()
	p := m.process
	m.process = nil
	m.mu.Unlock()
	if powerLoss {
		m.sim.network.powerOff(m.host)
	} else {
		m.sim.network.closeProcess(m.host)
	}
	if p == nil {
		return
	}
	p.ended.Store(true)
	if p.disk != nil {
		p.disk.stop()
	}
	p.cancel()
	m.sim.noteStopped(p.done)
	m.sim.logEvent("%s ends life %d (power loss: %v)", m.name, p.incarnation, powerLoss)
}

// terminate ends the process as the daemon does after SIGTERM.
func (m *machine) terminate(ctx context.Context) {
	p := m.running()
	if p == nil {
		return
	}
	m.sim.logEvent("%s is told to end", m.name)
	p.relay.AnnounceDraining()
	grace, cancel := context.WithTimeout(ctx, handoverTimeout)
	p.core.Handover(grace)
	cancel()
	bye, cancel := context.WithTimeout(ctx, departTimeout)
	p.relay.Depart(bye)
	cancel()
	if m.running() == p {
		m.kill(false)
	}
}

// sleep waits for a time or ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
