// Package daemon assembles one process of the router fleet: the gateway that clients connect to, the
// control address of servers and operators, the relay that replicates between agents and, on machines
// with a disk, a member of the core.
package daemon

import (
	"hash/fnv"
	"net"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/assembly"
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/controlapi"
	"chalkdoor.example/chalkdoor/internal/fleet/controlplane"
	"chalkdoor.example/chalkdoor/internal/fleet/gateway"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/quota"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	// savedServersName is the name of the record with the saved server list.
	savedServersName = "servers"
	// savedMembersName is the name of the record with the members' addresses.
	savedMembersName = "members"
	// submitTimeout and readTimeout bound operators' calls: within a second they have an answer.
	submitTimeout = 950 * time.Millisecond
	readTimeout   = 900 * time.Millisecond

	// supportedDiscovery and supportedEntry are the values of the settings that this process works with.
	supportedDiscovery, supportedEntry = "self_register", "vip"

	bytesPerMB = 1 << 20
	// memoryLimitTenths is the part of the machine's memory limit that the heap may take. Peaks above
	// it are paid for, and a process over the machine's limit is killed.
	memoryLimitTenths = 6
)

// knownContracts are the values of active-contracts that this version knows.
var knownContracts = map[string]bool{"base": true, "drain": true, "config": true, "cost": true, "retry": true, "recover": true,
	"health": true, "pool": true, "engine": true, "stream": true,
	settings.ContractTenants: true, settings.ContractQuota: true}

// Daemon is one process. Run may be called once.
type Daemon struct {
	settingsPath  string
	settings      atomic.Pointer[settings.Settings]
	peerPool      *rpc.Pool
	core          *controlplane.Member
	relay         *relay.Node
	gateway       *gateway.Gateway
	quotaBroker   *quota.Broker // nil where the contract on quotas is not active
	quotaClient   *quota.Client // as quotaBroker
	controlServer *controlapi.Server
	recovery      *recoveryTracker
	draining      atomic.Bool // set once the process has begun to shut down
}

// New assembles a process by the settings file at a path. It opens the state of the core, if the
// machine has a disk, and no sockets.
func New(path string) (*Daemon, error) {
	current, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	logUnsupported(current)
	debug.SetMemoryLimit(current.Limits.MemoryMB * bytesPerMB * memoryLimitTenths / 10)
	d := &Daemon{settingsPath: path, peerPool: rpc.NewPool(), recovery: newRecoveryTracker()}
	d.settings.Store(current)
	d.gateway = gateway.New(current, seedOf(current.Name))
	if d.core, err = d.openCore(current); err != nil {
		return nil, errors.Wrap(err, "open the control state")
	}
	d.openQuotas(current)
	d.relay = d.newRelay(current)
	d.gateway.KeysFreshAsOf = d.relay.ConfigFreshAsOf
	d.gateway.OnSent = d.relay.BroadcastNotice
	d.gateway.OnFirstServed = d.recovery.requestServed
	d.controlServer = controlapi.NewServer(d.newControlBackend(), controlapi.Options{SubmitTimeout: submitTimeout, ReadTimeout: readTimeout})
	return d, nil
}

// newControlBackend returns what carries out the calls of servers and operators. The relay must be open.
func (d *Daemon) newControlBackend() *controlBackend {
	calls := assembly.ControlBackend{Member: d.core, Relay: d.relay, Draining: d.draining.Load}
	return &controlBackend{ControlBackend: calls, daemon: d}
}

// logUnsupported logs the settings that this version does not know.
func logUnsupported(current *settings.Settings) {
	for _, contract := range current.ActiveContracts {
		if !knownContracts[contract] {
			logevent.UnknownContract.Log("contract", contract)
		}
	}
	if current.DiscoverySource != supportedDiscovery || current.EntryKind != supportedEntry {
		logevent.UnknownDiscovery.Log("discovery", current.DiscoverySource, "entry", current.EntryKind)
	}
}

// seedOf returns the seed of the gateway's random choices: each node has its own.
func seedOf(node string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(node))
	return hash.Sum64()
}

// openCore opens this process's member of the core, which is a client of the core on machines without
// a disk.
func (d *Daemon) openCore(current *settings.Settings) (*controlplane.Member, error) {
	return controlplane.Open(controlplane.Options{
		Addr:           peerAddr(current),
		Zone:           current.Zone,
		Region:         current.Region,
		StateDir:       current.StateDir,
		HasDisk:        current.HasDisk(),
		FirstStart:     current.FirstStart,
		Seeds:          d.seedAddrs,
		KnownAddresses: func() []string { return assembly.KnownCoreAddrs(d.relay) },
		Unreached:      func() []string { return assembly.UnreachedAddrs(d.relay) },
		Tolerance: view.Tolerance{
			Machines: current.Tolerance.Machines,
			Zones:    current.Tolerance.Zones,
			Regions:  current.Tolerance.Regions,
		},
		Counted:    current.CountedLoss,
		Pool:       d.peerPool,
		Transition: applyUpdate,
		OnView:     d.recovery.viewKnown,
		OnCommit:   func(committed chain.Value) { d.relay.ApplyConfig(committed.Seq, committed.Body) },
	})
}

// applyUpdate returns the configuration and its revision after an operator's update.
func applyUpdate(current []byte, update *chain.Update) (next []byte, revision int64, err error) {
	return config.Apply(current, update.Patch, update.Body)
}

// newRelay returns the node that replicates to other agents. The core must be open.
func (d *Daemon) newRelay(current *settings.Settings) *relay.Node {
	options := relay.Options{
		Self: relay.Member{
			Name:        current.Name,
			Addr:        peerAddr(current),
			Zone:        current.Zone,
			Region:      current.Region,
			ControlAddr: current.Listen.Control,
		},
		HeartbeatInterval: time.Duration(current.HeartbeatPeriodMs) * time.Millisecond,
		Core:              assembly.RelayCore{Member: d.core},
		SeedAddrs:         d.seedAddrs,
		OnChange:          d.applySnapshot,
		OnAttached:        d.recovery.coreReachable,
		OnNotice:          d.gateway.ObserveRemotePrefill,
		LinkMbps:          current.Limits.LinkMbps,
	}
	if confirmsConfig(current) {
		options.ConfirmConfig = d.core.Confirm
	}
	if current.HasDisk() {
		options.SaveServers = func(list []byte) error { return d.core.SaveRecord(savedServersName, list) }
		options.SavedServers, _ = d.core.LoadRecord(savedServersName)
		options.SaveMembers = func(list []byte) error { return d.core.SaveRecord(savedMembersName, list) }
		options.SavedMembers, _ = d.core.LoadRecord(savedMembersName)
	}
	return relay.New(options)
}

// applySnapshot puts a new snapshot into force.
func (d *Daemon) applySnapshot(snapshot *relay.Snapshot) {
	if d.quotaBroker != nil && snapshot.Config != nil && snapshot.Config != d.gateway.Config() {
		d.quotaBroker.Update(snapshot.Config)
	}
	d.gateway.Update(snapshot)
	d.recovery.snapshotChanged(snapshot)
}

// peerAddr is the address at which other agents call this one.
func peerAddr(current *settings.Settings) string {
	return net.JoinHostPort(current.IP, strconv.Itoa(current.PeerPort()))
}

// seedAddrs returns the agents' addresses on the seed machines, by the settings as they are now.
func (d *Daemon) seedAddrs() []string {
	current := d.settings.Load()
	addrs := make([]string, len(current.Seeds))
	for i, seed := range current.Seeds {
		addrs[i] = current.PeerAddress(seed)
	}
	return addrs
}
