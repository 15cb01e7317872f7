package hollownode

import (
	"context"
	"slices"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/controlplane"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// incarnation is one incarnation of a node's process: core and relay, connected as the daemon connects them.
type incarnation struct {
	node      *node
	startedAt time.Duration
	core      *controlplane.Member
	relay     *relay.Node
	source    string // at its start
	stop      context.CancelFunc
	done      chan struct{}

	mu             sync.Mutex
	snapshot       relay.Snapshot
	readyAt        time.Duration // 0: not yet
	serversKnownAt time.Duration // 0: not yet
	endedAt        time.Duration
	arrivals       []appliedConfig // ordered by seq
	removedAt      map[string]time.Duration
	changed        chan struct{} // closed and replaced when a field above changes
}

// snapshotChanged takes the snapshot that the data plane would use. The relay calls it with its lock held.
func (i *incarnation) snapshotChanged(snapshot *relay.Snapshot) {
	at := now()
	i.mu.Lock()
	defer i.mu.Unlock()
	notify := false
	if snapshot.ConfigSeq > i.snapshot.ConfigSeq {
		i.arrivals = append(i.arrivals, appliedConfig{snapshot.ConfigSeq, at})
		notify = true
	}
	servers := i.node.host.plan.AllServers
	if snapshot.Servers != i.snapshot.Servers && snapshot.Servers != nil {
		for _, id := range *i.node.host.watched.Load() {
			if i.snapshot.Servers != nil && i.snapshot.Servers.ByID[id] != nil && snapshot.Servers.ByID[id] == nil {
				i.removedAt[id] = at
				notify = true
			}
		}
		if i.serversKnownAt == 0 && len(snapshot.Servers.ByID) >= servers {
			i.serversKnownAt = at
			notify = true
		}
	}
	if i.readyAt == 0 && snapshot.Synced && snapshot.Config != nil && snapshot.Servers != nil && len(snapshot.Servers.ByID) >= min(servers, 1) {
		i.readyAt = at
		notify = true
	}
	i.snapshot = *snapshot
	if notify {
		close(i.changed)
		i.changed = make(chan struct{})
	}
}

// hasApplied tells whether the configuration of a request is applied and none of its instances is listed. The lock is
// held.
func (i *incarnation) hasApplied(q *Request) bool {
	return i.snapshot.ConfigSeq >= q.Seq && !slices.ContainsFunc(q.IDs, func(id string) bool { return i.snapshot.Servers != nil && i.snapshot.Servers.ByID[id] != nil })
}

// wait waits for a condition, which is evaluated with the lock held, or for the end of the incarnation.
func (i *incarnation) wait(ctx context.Context, condition func() bool) error {
	for {
		i.mu.Lock()
		satisfied, changed := condition() || i.endedAt > 0, i.changed
		i.mu.Unlock()
		if satisfied {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// readNewestConfig reads the newest configuration from the core once after the start, as the daemon does.
func (i *incarnation) readNewestConfig(ctx context.Context) {
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, configReadTimeout)
		value, err := i.core.Read(readCtx)
		cancel()
		if err == nil {
			if value.Seq > 0 {
				i.relay.ApplyConfig(value.Seq, value.Body)
			}
			i.relay.MarkConfigCurrent()
			return
		}
		t := time.NewTimer(configRetryPause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// appliedConfig is a configuration that was applied at a time.
type appliedConfig struct {
	seq uint64
	at  time.Duration
}

// coreMembership is what the relay needs to know of the core's member, as in the daemon.
type coreMembership struct{ member *controlplane.Member }

func (c coreMembership) IsMember() bool { return c.member.IsVoter() }

func (c coreMembership) HasQuorum() bool { return c.member.HasQuorum() }

func (c coreMembership) Members() []relay.Peer {
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

// open creates the core member and the relay of the incarnation.
func (i *incarnation) open(first bool, pool *rpc.Pool) (err error) {
	n, plan := i.node, &i.node.host.plan
	seeds := func() []string { return slices.Clone(plan.Seeds) }
	i.core, err = controlplane.Open(controlplane.Options{Addr: n.Addr, Zone: n.Zone, StateDir: n.Dir, HasDisk: n.Dir != "",
		FirstStart: first, Seeds: seeds, KnownAddresses: i.knownAddresses,
		Tolerance: view.Tolerance{Machines: plan.ToleratedLosses}, Counted: n.Dir != "", Pool: pool,
		Transition: func(current []byte, update *chain.Update) ([]byte, int64, error) {
			return config.Apply(current, update.Patch, update.Body)
		},
		OnCommit: func(v chain.Value) { i.relay.ApplyConfig(v.Seq, v.Body) }})
	if err != nil {
		return err
	}
	options := relay.Options{Self: relay.Member{Name: n.Name, Addr: n.Addr, Zone: n.Zone, Region: n.Region, ControlAddr: n.Addr},
		HeartbeatInterval: plan.HeartbeatInterval, Core: coreMembership{i.core}, SeedAddrs: seeds, OnChange: i.snapshotChanged}
	if n.Dir != "" {
		options.SaveServers = func(b []byte) error { return i.core.SaveRecord(savedServersKey, b) }
		options.SavedServers, _ = i.core.LoadRecord(savedServersKey)
	}
	i.relay = relay.New(options)
	i.source = i.relay.Report().Source
	return nil
}

// knownAddresses are the addresses of the other machines that the relay knows.
func (i *incarnation) knownAddresses() (addrs []string) {
	if i.relay == nil {
		return nil
	}
	for _, m := range i.relay.OtherMembers(true) {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}
