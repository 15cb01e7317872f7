package relay

import (
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// Snapshot is the state that the data plane uses. It is immutable and consistent: all of its fields
// describe the same moment.
type Snapshot struct {
	ConfigSeq uint64           // sequence number of Config; 0 before the first configuration
	Config    *config.Document // nil before the first configuration
	Servers   *registry.List
	Agents    int  // number of agents in the fleet, at least 1 as it counts this process
	Synced    bool // whether this process has ever been complete, see readiness
}

// publishSnapshotLocked passes the state to the data plane if it has changed.
func (n *Node) publishSnapshotLocked() {
	snapshot := Snapshot{
		ConfigSeq: n.config.seq,
		Config:    n.config.document,
		Servers:   n.servers.List(),
		Agents:    max(len(n.members), 1),
		Synced:    n.readiness.synced,
	}
	if snapshot != n.publishedSnapshot {
		n.publishedSnapshot = snapshot
		n.options.OnChange(&snapshot)
	}
}
