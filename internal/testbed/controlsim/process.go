package controlsim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/assembly"
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
	"chalkdoor.example/chalkdoor/internal/fleet/controlplane"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	heartbeatInterval = time.Second
	// savedServersKey is the key of the disk record with the servers that the relay knows.
	savedServersKey = "servers"
	// savedMembersKey is the key of the disk record with the members' addresses.
	savedMembersKey = "members"
)

// process is one incarnation of a machine's daemon. It connects core and relay in the same way as the daemon.
type process struct {
	machine     *machine
	incarnation int
	core        *controlplane.Member
	relay       *relay.Node
	pool        *rpc.Pool
	control     *controlapi.Server
	startedAt   time.Time
	disk        *disk        // nil if the machine is an agent without a disk
	tenants     *tenantGuard // nil if the scenario has no tenants
	cancel      context.CancelFunc
	done        chan struct{}                  // closed when all goroutines of the process have ended
	ended       atomic.Bool                    // whether the process was killed; its later reports are ignored
	snapshot    atomic.Pointer[relay.Snapshot] // the last snapshot that the relay published
}

// open creates the components of the process.
func (p *process) open(dial rpc.Dialer, firstStart bool) (err error) {
	m := p.machine
	coreOptions := controlplane.Options{Addr: m.host.addr, Zone: m.zone, Region: m.region, FirstStart: firstStart,
		Seeds:              m.seedAddrs,
		KnownAddresses:     func() []string { return assembly.KnownCoreAddrs(p.relay) },
		UnreachedAddresses: func() []string { return assembly.UnreachedAddrs(p.relay) },
		RelayAddress:       func() string { return assembly.RelayAddr(p.relay) },
		Tolerance:          m.sim.scenario.tolerance(), Counted: m.media != nil, Pool: p.pool, Transition: applyUpdate,
		OnCommit: func(v chain.Value) { p.relay.ApplyConfig(v.Seq, v.Body) },
		OnView:   func(v view.View) { m.sim.checker.viewLearned(p, v) }}
	relayOptions := relay.Options{Self: relay.Member{Name: m.name, Addr: m.host.addr, Zone: m.zone, Region: m.region},
		HeartbeatInterval: heartbeatInterval, SeedAddrs: m.seedAddrs, Dialer: dial, MemoryBytes: m.sim.scenario.memoryBytes,
		OnChange: func(snapshot *relay.Snapshot) {
			if p.tenants != nil {
				p.tenants.update(snapshot)
			}
			m.sim.checker.configApplied(p, snapshot)
		}}
	if m.media != nil {
		p.disk = openDisk(m.media, m.host)
		coreOptions.HasDisk, coreOptions.StateDir, coreOptions.Disk = true, m.name, p.disk
	}
	if p.core, err = controlplane.Open(coreOptions); err != nil {
		return err
	}
	if m.media != nil {
		relayOptions.SaveServers = func(b []byte) error { return p.core.SaveRecord(savedServersKey, b) }
		relayOptions.SavedServers, _ = p.core.LoadRecord(savedServersKey)
		relayOptions.SaveMembers = func(b []byte) error { return p.core.SaveRecord(savedMembersKey, b) }
		relayOptions.SavedMembers, _ = p.core.LoadRecord(savedMembersKey)
	}
	relayOptions.Core = assembly.RelayCore{Member: p.core}
	if m.sim.scenario.tenantCount > 0 {
		relayOptions.ConfirmConfig, relayOptions.AwaitsConfirmation = p.core.Confirm, true
		p.tenants = newTenantGuard(p, firstStart)
	}
	p.relay = relay.New(relayOptions)
	p.control = controlapi.NewServer(&controlBackend{assembly.ControlBackend{Member: p.core, Relay: p.relay,
		Draining: func() bool { return false }}}, controlapi.Options{})
	return nil
}

// serve runs the components until ctx ends, and waits for their goroutines.
func (p *process) serve(ctx context.Context, listener, control *listener, mux *rpc.Mux) {
	defer close(p.done)
	var components sync.WaitGroup
	components.Go(func() { _ = rpc.Serve(ctx, listener, mux, p.serverOptions()) })
	components.Go(func() { _ = p.control.Serve(ctx, control) })
	components.Go(func() { _ = p.core.Run(ctx) })
	components.Go(func() { _ = p.relay.Run(ctx) })
	components.Go(func() { assembly.LoadNewestConfig(ctx, p.core, p.relay) })
	if p.tenants != nil {
		components.Go(func() { _ = p.tenants.broker.Run(ctx) })
	}
	<-ctx.Done()
	p.pool.Close()
	components.Wait()
}

// serverOptions returns the options of a process, by default on a machine with little memory.
func (p *process) serverOptions() rpc.ServerOptions {
	members := assembly.RelayCore{Member: p.core}.Members
	return rpc.ServerOptions{MemoryBytes: p.machine.sim.scenario.memoryBytes, IsPriority: assembly.IsPriorityCaller(members, p.machine.seedAddrs)}
}

func applyUpdate(current []byte, update *chain.Update) ([]byte, int64, error) {
	return config.Apply(current, update.Patch, update.Body)
}
