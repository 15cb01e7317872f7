// Package daemon is one process of the router fleet: it puts together the door that clients come
// to, the control address of servers and operators, the feed between agents and, on machines with
// a disk, a member of the core.
package daemon

import (
	"context"
	"hash/fnv"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
	"chalkdoor.example/chalkdoor/internal/fleet/controlplane"
	"chalkdoor.example/chalkdoor/internal/fleet/gateway"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	// savedServersName is the name of the list of servers on disk.
	savedServersName = "servers"
	// settingsPollInterval is how often the settings file is looked at: it may change without a signal.
	settingsPollInterval = 2 * time.Second
)

// Daemon is one process.
type Daemon struct {
	settingsPath  string
	settings      atomic.Pointer[settings.Settings]
	peerPool      *rpc.Pool
	core          *controlplane.Member
	relay         *relay.Node
	gateway       *gateway.Gateway
	controlServer *controlapi.Server
	draining      atomic.Bool
}

// New puts a process together by its settings file.
func New(path string) (*Daemon, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	for _, c := range s.ActiveContracts {
		if !knownContracts[c] {
			logevent.UnknownContract.Log("contract", c)
		}
	}
	if s.DiscoverySource != "self_register" || s.EntryKind != "vip" {
		logevent.UnknownDiscovery.Log("discovery", s.DiscoverySource, "entry", s.EntryKind)
	}
	// Peaks of memory are paid for, and over the limit the process is killed.
	debug.SetMemoryLimit(s.Limits.MemoryMB << 20 * 6 / 10)
	d := &Daemon{settingsPath: path, peerPool: rpc.NewPool()}
	d.settings.Store(s)
	addr := peerAddr(s)
	f := fnv.New64a()
	f.Write([]byte(s.Name))
	d.gateway = gateway.New(s, f.Sum64())
	d.core, err = controlplane.Open(controlplane.Options{
		Addr: addr, Zone: s.Zone, Region: s.Region, StateDir: s.StateDir, HasDisk: s.HasDisk(), FirstStart: s.FirstStart,
		Seeds: d.seedAddrs, KnownAddresses: d.knownCoreAddrs, Tolerance: view.Tolerance{Machines: s.Tolerance.Machines, Zones: s.Tolerance.Zones, Regions: s.Tolerance.Regions}, Counted: s.CountedLoss, Pool: d.peerPool,
		Transition: func(cur []byte, o *chain.Update) ([]byte, int64, error) { return config.Apply(cur, o.Patch, o.Body) },
		OnCommit:   func(v chain.Value) { d.relay.ApplyConfig(v.Seq, v.Body) },
		OnView:     func(v view.View) {},
	})
	if err != nil {
		return nil, errors.Wrap(err, "open the control state")
	}
	var save func([]byte) error
	var saved []byte
	if s.HasDisk() {
		save = func(b []byte) error { return d.core.SaveRecord(savedServersName, b) }
		saved, _ = d.core.LoadRecord(savedServersName)
	}
	d.relay = relay.New(relay.Options{
		SaveServers: save, SavedServers: saved,
		Self:              relay.Member{Name: s.Name, Addr: addr, Zone: s.Zone, Region: s.Region, ControlAddr: s.Listen.Control},
		HeartbeatInterval: time.Duration(s.HeartbeatPeriodMs) * time.Millisecond, Core: coreAdapter{d.core}, SeedAddrs: d.seedAddrs, OnChange: d.gateway.Update,
		OnNotice: d.gateway.ObserveRemotePrefill, LinkMbps: s.Limits.LinkMbps,
	})
	d.gateway.OnSent = d.relay.BroadcastNotice
	d.controlServer = controlapi.NewServer(&controlBackend{d}, controlapi.Options{SubmitTimeout: 950 * time.Millisecond, ReadTimeout: 900 * time.Millisecond})
	return d, nil
}

var knownContracts = map[string]bool{"base": true, "drain": true, "config": true, "cost": true, "retry": true, "recover": true,
	"engine": true, "stream": true}

// seedAddrs are the agents' addresses on the machines of the seeds, by the settings as they are now.
func (d *Daemon) seedAddrs() []string {
	s := d.settings.Load()
	out := make([]string, len(s.Seeds))
	for i, seed := range s.Seeds {
		out[i] = s.PeerAddress(seed)
	}
	return out
}

// knownCoreAddrs are the agents' addresses of the members that are of the core, as the feed tells.
func (d *Daemon) knownCoreAddrs() []string {
	if d.relay == nil {
		return nil
	}
	var out []string
	for _, m := range d.relay.OtherMembers(true) {
		out = append(out, m.Addr)
	}
	return out
}

// coreAdapter is what the feed asks of the core's member.
type coreAdapter struct{ member *controlplane.Member }

func (c coreAdapter) IsMember() bool  { return c.member.IsVoter() }
func (c coreAdapter) HasQuorum() bool { return c.member.HasQuorum() }
func (c coreAdapter) Members() []relay.Peer {
	v, ok := c.member.View()
	if !ok {
		return nil
	}
	out := make([]relay.Peer, len(v.Voters))
	for i, p := range v.Voters {
		out[i] = relay.Peer{Addr: p.Addr, Zone: p.Zone}
	}
	return out
}

// loadNewestConfig asks the core once for the newest configuration, so that no older one is gone by.
func (d *Daemon) loadNewestConfig(ctx context.Context) {
	for ctx.Err() == nil {
		once, cancel := context.WithTimeout(ctx, time.Second)
		v, err := d.core.Read(once)
		cancel()
		if err == nil {
			if v.Seq > 0 {
				d.relay.ApplyConfig(v.Seq, v.Body)
			}
			d.relay.MarkConfigCurrent()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// watchSettings reads the settings file again when told, and when it has changed. Only the seeds are taken
// over: all else is bound to the machine and needs a new start. A file that can't be used leaves
// the old one in force.
func (d *Daemon) watchSettings(ctx context.Context, reload <-chan struct{}) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		told := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			told = true
		case <-tick.C:
		}
		s, err := settings.Load(d.settingsPath)
		if err != nil {
			logevent.SettingsInvalid.Error(err)
			continue
		}
		if old := d.settings.Load(); s.Digest != old.Digest || told {
			next := *old
			next.Seeds, next.Digest = s.Seeds, s.Digest
			d.settings.Store(&next)
			logevent.SettingsReloaded.Log("seeds", s.Seeds)
		}
	}
}
