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
	// submitTimeout and readTimeout bound operators' calls, so that each is answered within a second.
	submitTimeout = 950 * time.Millisecond
	readTimeout   = 900 * time.Millisecond

	// supportedDiscovery and supportedEntry are the only values of discovery-source and entry-kind that
	// this version supports.
	supportedDiscovery, supportedEntry = "self_register", "vip"

	bytesPerMB = 1 << 20
	// memoryLimitTenths is the fraction of limits.memory-mb, in tenths, that is set as the memory limit
	// of the Go runtime. Peaks above that fraction are charged for, and a process that exceeds
	// memory-mb is killed.
	memoryLimitTenths = 6
)

// knownContracts are the values of active-contracts that this version knows.
var knownContracts = map[string]bool{
	"base": true, "drain": true, "config": true, "cost": true, "retry": true, "recover": true,
	"health": true, "pool": true, "engine": true, "stream": true,
	settings.ContractTenants: true, settings.ContractQuota: true,
}

// Daemon is one process of the router fleet. Run may be called once.
type Daemon struct {
	settingsPath  string
	settings      atomic.Pointer[settings.Settings]
	peerPool      *rpc.Pool
	peerStats     rpc.ServerStats // of the server of other agents' calls
	core          *controlplane.Member
	relay         *relay.Node
	gateway       *gateway.Gateway
	quotaBroker   *quota.Broker // nil unless active-contracts includes the contract on quotas
	quotaClient   *quota.Client // nil if quotaBroker is nil
	controlServer *controlapi.Server
	recovery      *recoveryTracker
	draining      atomic.Bool // true once the process has begun to shut down
}

// New assembles a process from the settings file at path. If the machine has a disk, New opens the
// state of the core. It opens no sockets.
func New(path string) (*Daemon, error) {
	nodeSettings, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	logUnsupported(nodeSettings)
	debug.SetMemoryLimit(nodeSettings.Limits.MemoryMB * bytesPerMB * memoryLimitTenths / 10)
	d := &Daemon{settingsPath: path, peerPool: rpc.NewPool(), recovery: newRecoveryTracker()}
	d.settings.Store(nodeSettings)
	d.gateway = gateway.New(nodeSettings, randomSeed(nodeSettings.Name))
	if d.core, err = d.openCore(nodeSettings); err != nil {
		return nil, errors.Wrap(err, "open the state of the core")
	}
	d.openQuotas(nodeSettings)
	d.relay = d.newRelay(nodeSettings)
	d.gateway.ConfigFreshAsOf = d.relay.ConfigFreshAsOf
	d.gateway.OnSent = d.relay.BroadcastNotice
	d.gateway.OnFirstServed = d.recovery.requestServed
	d.controlServer = controlapi.NewServer(d.newControlBackend(),
		controlapi.Options{SubmitTimeout: submitTimeout, ReadTimeout: readTimeout})
	return d, nil
}

// newControlBackend returns the backend that handles the calls of servers and operators. d.core and
// d.relay must be set.
func (d *Daemon) newControlBackend() *controlBackend {
	backend := assembly.ControlBackend{Member: d.core, Relay: d.relay, Draining: d.draining.Load}
	return &controlBackend{ControlBackend: backend, daemon: d}
}

// logUnsupported logs the settings whose values this version does not support.
func logUnsupported(nodeSettings *settings.Settings) {
	for _, contract := range nodeSettings.ActiveContracts {
		if !knownContracts[contract] {
			logevent.UnknownContract.Log("contract", contract)
		}
	}
	if nodeSettings.DiscoverySource != supportedDiscovery || nodeSettings.EntryKind != supportedEntry {
		logevent.UnknownDiscovery.Log("discovery", nodeSettings.DiscoverySource, "entry", nodeSettings.EntryKind)
	}
}

// randomSeed returns the seed of the gateway's random choices. It is derived from the node's name, so
// that nodes make different choices.
func randomSeed(nodeName string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(nodeName))
	return hash.Sum64()
}

// openCore opens this process's member of the core. On a machine without a disk it is only a client
// of the core.
func (d *Daemon) openCore(nodeSettings *settings.Settings) (*controlplane.Member, error) {
	return controlplane.Open(controlplane.Options{
		Addr:               peerAddr(nodeSettings),
		Zone:               nodeSettings.Zone,
		Region:             nodeSettings.Region,
		StateDir:           nodeSettings.StateDir,
		HasDisk:            nodeSettings.HasDisk(),
		FirstStart:         nodeSettings.FirstStart,
		Seeds:              d.seedAddrs,
		KnownAddresses:     func() []string { return assembly.KnownCoreAddrs(d.relay) },
		UnreachedAddresses: func() []string { return assembly.UnreachedAddrs(d.relay) },
		RelayAddress:       func() string { return assembly.RelayAddr(d.relay) },
		Tolerance: view.Tolerance{
			Machines: nodeSettings.Tolerance.Machines,
			Zones:    nodeSettings.Tolerance.Zones,
			Regions:  nodeSettings.Tolerance.Regions,
		},
		Counted:    nodeSettings.CountedLoss,
		Pool:       d.peerPool,
		Transition: applyUpdate,
		OnView:     d.recovery.viewKnown,
		OnCommit:   func(committed chain.Value) { d.relay.ApplyConfig(committed.Seq, committed.Body) },
	})
}

// applyUpdate returns the configuration and its revision after an operator's update.
func applyUpdate(previousConfig []byte, update *chain.Update) (nextConfig []byte, revision int64, err error) {
	return config.Apply(previousConfig, update.Patch, update.Body)
}

// newRelay returns the relay node, which replicates data between agents. d.core must be set.
func (d *Daemon) newRelay(nodeSettings *settings.Settings) *relay.Node {
	options := relay.Options{
		Self: relay.Member{
			Name:        nodeSettings.Name,
			Addr:        peerAddr(nodeSettings),
			Zone:        nodeSettings.Zone,
			Region:      nodeSettings.Region,
			ControlAddr: nodeSettings.Listen.Control,
		},
		HeartbeatInterval: time.Duration(nodeSettings.HeartbeatPeriodMs) * time.Millisecond,
		Core:              assembly.RelayCore{Member: d.core},
		SeedAddrs:         d.seedAddrs,
		OnChange:          d.applySnapshot,
		OnAttached:        d.recovery.coreReachable,
		OnNotice:          d.gateway.ObserveRemotePrefill,
		LinkMbps:          nodeSettings.Limits.LinkMbps,
		MemoryBytes:       nodeSettings.Limits.MemoryMB * bytesPerMB,

		ConfirmConfig:      d.core.Confirm,
		ConfirmInterval:    confirmInterval(nodeSettings),
		AwaitsConfirmation: awaitsConfirmation(nodeSettings),
	}
	if nodeSettings.HasDisk() {
		options.SaveServers = func(list []byte) error { return d.core.SaveRecord(savedServersName, list) }
		options.SavedServers, _ = d.core.LoadRecord(savedServersName)
		options.SaveMembers = func(list []byte) error { return d.core.SaveRecord(savedMembersName, list) }
		options.SavedMembers, _ = d.core.LoadRecord(savedMembersName)
	}
	return relay.New(options)
}

// applySnapshot passes a new snapshot of the relay to the components that use it.
func (d *Daemon) applySnapshot(snapshot *relay.Snapshot) {
	if d.quotaBroker != nil && snapshot.Config != nil && snapshot.Config != d.gateway.Config() {
		d.quotaBroker.Update(snapshot.Config)
	}
	d.gateway.Update(snapshot)
	d.recovery.snapshotChanged(snapshot)
}

// peerAddr returns the address at which other agents call this one.
func peerAddr(nodeSettings *settings.Settings) string {
	return net.JoinHostPort(nodeSettings.IP, strconv.Itoa(nodeSettings.PeerPort()))
}

// seedAddrs returns the addresses of the agents on the seed machines in the current settings.
func (d *Daemon) seedAddrs() []string {
	nodeSettings := d.settings.Load()
	addrs := make([]string, len(nodeSettings.Seeds))
	for i, seed := range nodeSettings.Seeds {
		addrs[i] = nodeSettings.PeerAddress(seed)
	}
	return addrs
}
