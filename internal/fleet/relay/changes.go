package relay

import (
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// Keys and key prefixes of the items in an agent's source.
const (
	memberKey    = "m"  // the agent's member entry
	serverPrefix = "i/" // a server that sends the agent heartbeats, by its ID
	leasePrefix  = "l/" // a lease that the agent grants, by the holder's source
	endPrefix    = "e/" // an end that the agent announces, by the ended source
)

// presentData is the data of items for which only the key matters.
var presentData = []byte{1}

// isAgentSource reports whether a source is an agent's.
func isAgentSource(source string) bool { return source != "" && source != configSource }

// publishItemLocked sets an item of the own source and replicates it; nil data removes the item.
func (n *Node) publishItemLocked(key string, data []byte) {
	version := n.items.Put(key, data)
	n.changeLog.Append(deltasync.Change{Source: n.items.OwnSource(), Item: deltasync.Item{Key: key, Version: version, Data: data}})
	n.notifyWaitersLocked()
}

// applyDeltasLocked applies the deltas that a peer sent.
func (n *Node) applyDeltasLocked(deltas []deltasync.Delta) {
	if len(deltas) == 0 {
		return
	}
	for _, change := range n.items.Apply(deltas) {
		n.changeLog.Append(change)
	}
	n.publishSnapshotLocked()
	n.notifyWaitersLocked()
}

// applyChangeLocked updates the state by one change of any source. Items that are invalid or of an
// unknown kind are ignored: a faulty source must not affect others.
func (n *Node) applyChangeLocked(_ uint64, change deltasync.Change) {
	now, source, key, data := n.now(), change.Source, change.Item.Key, change.Item.Data
	if source == configSource {
		if key == configKey {
			n.configHistory.add(change.Item, n.options.Self.IsCore)
			n.needsWholeConfig = false
			n.applyConfigItemLocked(change.Item)
		}
		return
	}
	n.leases.Observe(now, source)
	if key == memberKey {
		n.applyMemberLocked(source, data)
	} else if id, ok := strings.CutPrefix(key, serverPrefix); ok {
		n.applyServerLocked(now, source, id, data)
	} else if holder, ok := strings.CutPrefix(key, leasePrefix); ok {
		n.applyLeaseLocked(now, source, holder, data != nil)
	} else if endedSource, ok := strings.CutPrefix(key, endPrefix); ok && data != nil {
		n.applyEndLocked(source, endedSource)
	}
}

// applyServerLocked records another source's report about a server. It ignores the own source, whose
// reports came from the table.
func (n *Node) applyServerLocked(now time.Duration, source, id string, data []byte) {
	if source == n.items.OwnSource() {
		return
	}
	if data == nil {
		n.servers.Withdraw(now, source, id)
		return
	}
	instance := new(registry.Instance)
	if err := msgpack.Unmarshal(data, instance); err != nil || instance.ID != id || !instance.Valid() {
		return
	}
	if !n.servers.Report(now, source, instance) {
		n.logTableFullLocked(id)
	}
}

// applyLeaseLocked records that a source grants a lease to an agent, or has released it.
func (n *Node) applyLeaseLocked(now time.Duration, source, holder string, granted bool) {
	switch {
	case !isAgentSource(holder):
	case n.items.Ended(holder):
		if granted && source != n.items.OwnSource() {
			n.publishEndLocked(holder) // the granting source has not received the end
		}
	case granted:
		n.leases.Grant(now, holder, source)
	default:
		n.leases.Revoke(now, holder, source)
	}
}

// applyEndLocked ends a source whose end was announced, by another source or by itself.
func (n *Node) applyEndLocked(announcer, endedSource string) {
	departing := announcer == n.items.OwnSource() && announcer == endedSource // see Depart
	if !isAgentSource(endedSource) || departing {
		return
	}
	n.endSourceLocked(endedSource)
	if endedSource == announcer {
		n.publishEndLocked(endedSource) // ending the source has deleted its own announcement
	}
}
