package controlsim

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	// rpcPort is the port for calls between machines.
	rpcPort = ":7400"
	// controlPort is the port of the control API.
	controlPort = ":8262"
	// handoverTimeout bounds the handover of a process after SIGTERM.
	handoverTimeout = 4 * time.Second
	// departTimeout bounds the announcement of the departure that follows the handover.
	departTimeout = 500 * time.Millisecond
)

// machine is one machine of the fleet: a host on the network, a disk if it belongs to the core, and the process
// that runs on it.
type machine struct {
	sim          *simulation
	index        int
	name         string
	zone, region string
	host         *host
	media        *media // nil if the machine is an agent without a disk
	incarnations int    // number of processes started so far

	// The following fields are guarded by the simulation's lock.
	addedAt    time.Time
	replacedAt time.Time  // zero if the machine has not been replaced
	seeds      []*machine // the machines that its settings file names

	mu      sync.Mutex
	process *process // nil if none runs
}

func newMachine(s *simulation, index int, withDisk bool) *machine {
	kind := "agent"
	if withDisk {
		kind = "core"
	}
	zone := index % s.scenario.zoneCount
	m := &machine{sim: s, index: index, addedAt: time.Now(), name: fmt.Sprintf("%s-%d", kind, index),
		zone: fmt.Sprintf("z%d", zone), region: fmt.Sprintf("r%d", zone/s.scenario.zonesPerRegion)}
	m.host = s.network.addHost(fmt.Sprintf("10.0.0.%d%s", index+1, rpcPort))
	m.host.processor = s.scenario.agentProcessor
	if withDisk {
		m.host.processor = s.scenario.coreProcessor
		m.media = newMedia(s.newRandom("disk", index))
	}
	return m
}

// controlAddr returns the address of the machine's control API.
func (m *machine) controlAddr() string { return strings.TrimSuffix(m.host.addr, rpcPort) + controlPort }

// running returns the machine's process; nil if none runs.
func (m *machine) running() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// start powers the machine on and starts a process on it, which runs until ctx ends or kill is called.
func (m *machine) start(ctx context.Context, firstStart bool) {
	m.sim.network.powerOn(m.host)
	m.incarnations++
	p := &process{machine: m, incarnation: m.incarnations, startedAt: time.Now(), done: make(chan struct{})}
	ctx, p.cancel = context.WithCancel(ctx)
	dial := dialer{host: m.host, done: ctx.Done()}
	p.pool = rpc.NewPoolWithDialer(dial)
	if err := p.open(dial, firstStart); err != nil {
		m.sim.checker.reportViolation(m.name, "the process does not start: %v", err)
		p.cancel()
		return
	}
	mux := rpc.NewMux()
	p.core.RegisterHandlers(mux)
	p.relay.RegisterHandlers(mux)
	if p.tenants != nil {
		p.tenants.registerHandlers(mux)
	}
	registerEchoHandler(mux, m.sim.newRandom("echo", m.index))
	listener, control := m.host.listen(), m.host.listenControl(m.controlAddr())
	m.mu.Lock()
	m.process = p
	m.mu.Unlock()
	m.sim.logEvent("%s starts incarnation %d", m.name, p.incarnation)
	go p.serve(ctx, listener, control, mux) // ends with ctx; simulation.stop waits for p.done
}

// kill ends the process at once. With powerLoss it also powers the machine off until its next start.
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
	m.sim.recordStopped(p.done)
	m.sim.logEvent("%s ends incarnation %d (power loss: %v)", m.name, p.incarnation, powerLoss)
}

// terminate shuts the process down gracefully, as the daemon does after SIGTERM.
func (m *machine) terminate(ctx context.Context) {
	p := m.running()
	if p == nil {
		return
	}
	m.sim.logEvent("%s gets SIGTERM", m.name)
	p.relay.AnnounceDraining()
	handoverCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	p.core.Handover(handoverCtx)
	cancel()
	departCtx, cancel := context.WithTimeout(ctx, departTimeout)
	p.relay.Depart(departCtx)
	cancel()
	if m.running() == p {
		m.kill(false)
	}
}

// sleep waits for a duration of virtual time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
