package controlsim

import (
	"context"
	"sync/atomic"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/controlplane"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// process is one life of a machine's daemon: core and hub as the daemon joins them.
type process struct {
	machine     *machine
	incarnation int
	core        *controlplane.Member
	relay       *relay.Node
	pool        *rpc.Pool
	startedAt   time.Time
	disk        *disk
	cancel      context.CancelFunc
	done        chan struct{}
	ended       atomic.Bool // what it says and does counts no more
	snapshot    atomic.Pointer[relay.Snapshot]
}

// open makes the parts of the process.
func (p *process) open(over rpc.Dialer, first bool) (err error) {
	m := p.machine
	o := controlplane.Options{Addr: m.host.addr, Zone: m.zone, FirstStart: first, Seeds: m.seedAddrs, KnownAddresses: p.knownAddrs,
		Tolerance: view.Tolerance{Machines: m.sim.scenario.toleratedLosses}, Counted: m.media != nil, Pool: p.pool, Transition: applyUpdate,
		OnCommit: func(v chain.Value) { p.relay.ApplyConfig(v.Seq, v.Body) },
		OnView:   func(v view.View) { m.sim.checker.viewLearned(p, v) }}
	h := relay.Options{Self: relay.Member{Name: m.name, Addr: m.host.addr, Zone: m.zone, Region: "r"}, HeartbeatInterval: heartbeatInterval,
		SeedAddrs: m.seedAddrs, Dialer: over, OnChange: func(s *relay.Snapshot) { m.sim.checker.configApplied(p, s) }}
	if m.media != nil {
		p.disk = openDisk(m.media, m.host)
		o.HasDisk, o.StateDir, o.Disk = true, m.name, p.disk
	}
	if p.core, err = controlplane.Open(o); err != nil {
		return err
	}
	if m.media != nil {
		h.SaveServers = func(b []byte) error { return p.core.SaveRecord(savedServersKey, b) }
		h.SavedServers, _ = p.core.LoadRecord(savedServersKey)
	}
	h.Core = coreMembership{p.core}
	p.relay = relay.New(h)
	return nil
}

func (p *process) knownAddrs() (out []string) {
	if p.relay == nil {
		return nil
	}
	for _, m := range p.relay.OtherMembers(true) {
		out = append(out, m.Addr)
	}
	return out
}

// readNewestConfig asks the core once for the newest configuration, as the daemon does.
func (p *process) readNewestConfig(ctx context.Context) {
	for ctx.Err() == nil {
		once, cancel := context.WithTimeout(ctx, configReadTimeout)
		v, err := p.core.Read(once)
		cancel()
		if err == nil {
			if v.Seq > 0 {
				p.relay.ApplyConfig(v.Seq, v.Body)
			}
			p.relay.MarkConfigCurrent()
			return
		}
		sleep(ctx, configRetryPause)
	}
}

// coreMembership is what the hub asks of the core's member, as in the daemon.
type coreMembership struct{ member *controlplane.Member }

func (c coreMembership) IsMember() bool { return c.member.IsVoter() }

func (c coreMembership) HasQuorum() bool { return c.member.HasQuorum() }

func (c coreMembership) Members() (out []relay.Peer) {
	v, _ := c.member.View()
	for _, p := range v.Voters {
		out = append(out, relay.Peer{Addr: p.Addr, Zone: p.Zone})
	}
	return out
}

func applyUpdate(current []byte, o *chain.Update) ([]byte, int64, error) {
	return config.Apply(current, o.Patch, o.Body)
}
