package relay

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// tableFullLogInterval is the minimum time between two log lines about a full server table.
const tableFullLogInterval = 10 * time.Second

// Heartbeat processes a heartbeat of a server and reports whether it is acknowledged. A server whose
// heartbeat is not acknowledged should call another agent.
//
// While this agent does not reach the core, it uses heartbeats itself but does not acknowledge them, as no
// other agent would learn of the server. A heartbeat that reports draining is acknowledged once a majority
// of the core has received it, and not at all if ctx ends first. Heartbeats of invalid instances, and of
// unknown servers while the table is full, are never acknowledged. The instance must not be changed
// afterwards.
func (n *Node) Heartbeat(ctx context.Context, instance *registry.Instance) bool {
	if !instance.Valid() {
		return false
	}
	isMember, hasQuorum, members := n.options.Core.IsMember(), n.options.Core.HasQuorum(), n.options.Core.Members()
	n.mu.Lock()
	now := n.now()
	n.observeAttachmentLocked(now, isMember && hasQuorum, members)
	n.attachment.countHeartbeat()
	reachesCore := n.attachment.reachesCore(now)
	update, err := n.servers.Heartbeat(now, instance)
	published := n.publishServerLocked(instance.ID, update, err)
	n.mu.Unlock()
	if err != nil {
		return false
	}
	if instance.State == registry.Ready {
		return reachesCore
	}
	return n.awaitQuorum(ctx, published)
}

// Deregister records that a server ends, and reports whether that is acknowledged: as for a draining server,
// a majority of the core must receive it before ctx ends.
func (n *Node) Deregister(ctx context.Context, id string) bool {
	if instance := (&registry.Instance{ID: id}); !instance.Valid() {
		return false
	}
	n.mu.Lock()
	update, err := n.servers.Deregister(n.now(), id)
	published := n.publishServerLocked(id, update, err)
	n.mu.Unlock()
	return err == nil && n.awaitQuorum(ctx, published)
}

// publishServerLocked publishes what a server's call changed, if anything, and returns the version of the
// own source that includes the change.
func (n *Node) publishServerLocked(id string, update *registry.Instance, err error) ownVersion {
	if err != nil {
		n.logTableFullLocked(id)
	}
	if update != nil {
		n.publishItemLocked(serverPrefix+id, encode(update))
		n.publishSnapshotLocked()
	}
	return n.currentOwnVersionLocked()
}

// expireServersLocked publishes which servers have missed their heartbeats, and withdraws the servers that
// the own source no longer needs to report. Nothing expires while suspended is set, that is while this node
// does not reach the core: its servers then move to other agents, so their silence here proves nothing.
func (n *Node) expireServersLocked(now time.Duration, suspended bool) {
	updates, withdrawn := n.servers.Tick(now, suspended)
	for _, instance := range updates {
		logevent.ServerTimedOut.Log("id", instance.ID)
		n.publishItemLocked(serverPrefix+instance.ID, encode(instance))
	}
	for _, id := range withdrawn {
		n.publishItemLocked(serverPrefix+id, nil)
	}
}

// logTableFullLocked logs, at a bounded rate, that the server table had no room for a server.
func (n *Node) logTableFullLocked(id string) {
	n.tableFullLog.Do(func() { logevent.ServerTableFull.Log("id", id) })
}
