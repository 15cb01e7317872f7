package relay

import (
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// Snapshot is the state that the data plane works by. It is immutable, and consistent: all of it is
// of the same moment.
type Snapshot struct {
	ConfigSeq uint64           // position of Config in the core's chain
	Config    *config.Document // nil before the first
	Servers   *registry.List
	Agents    int  // number of members, at least one: this process
	Synced    bool // this process has once had everything that a relay knows
}

// publishSnapshotLocked passes the newest state to the data plane, if it has changed.
func (n *Node) publishSnapshotLocked() {
	next := Snapshot{
		ConfigSeq: n.config.seq,
		Config:    n.config.document,
		Servers:   n.servers.List(),
		Agents:    max(len(n.members), 1),
		Synced:    n.readiness.synced,
	}
	if next != n.published {
		n.published = next
		n.options.OnChange(&next)
	}
}
