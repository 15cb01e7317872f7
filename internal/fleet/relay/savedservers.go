package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

const (
	// saveInterval is the minimum time between two writes of the server list.
	saveInterval = time.Second
	// savedServersFormat identifies the encoding of savedServers.
	savedServersFormat = 1
)

// savedServers is the server list as it is stored on disk.
type savedServers struct {
	Format  int                  `msgpack:"f"`
	Servers []*registry.Instance `msgpack:"s"` // by ID
}

// restoreServersLocked adds the servers that an earlier incarnation saved to the table. They remain until
// their next heartbeats are due, so that after a loss of the whole fleet requests need not wait for these
// heartbeats. A request names the instance that it is meant for, so another server that now has the same
// address does not serve it.
func (n *Node) restoreServersLocked() {
	var savedList savedServers
	if len(n.options.SavedServers) == 0 || msgpack.Unmarshal(n.options.SavedServers, &savedList) != nil || savedList.Format != savedServersFormat {
		return
	}
	for _, instance := range savedList.Servers {
		if instance == nil || !instance.Valid() || instance.State != registry.Ready {
			continue
		}
		if n.servers.Restore(n.now(), instance) {
			n.publishItemLocked(serverPrefix+instance.ID, encode(instance))
		}
	}
	logevent.ServersRestored.Log("servers", len(savedList.Servers))
}

// saveLoop writes the server list and the members' addresses to disk when they have changed, until ctx ends.
func (n *Node) saveLoop(ctx context.Context) {
	ticker := time.NewTicker(saveInterval)
	defer ticker.Stop()
	var serversVersion, membersVersion uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		serversVersion = n.saveServers(serversVersion)
		membersVersion = n.saveMembers(membersVersion)
	}
}

// saveServers writes the server list to disk if its version differs from savedVersion, and returns the version
// that is on disk afterwards. It writes no empty list, and none before this node has been complete, so that
// the saved list is not lost.
func (n *Node) saveServers(savedVersion uint64) uint64 {
	n.mu.Lock()
	list, synced := n.servers.List(), n.readiness.synced
	n.mu.Unlock()
	if !synced || list.Version == savedVersion || len(list.ByID) == 0 || n.options.SaveServers(encodeServers(list)) != nil {
		return savedVersion // a failed write is retried at the next tick
	}
	return list.Version
}

// saveMembers writes the members' addresses to disk if their version differs from savedVersion, and returns
// the version that is on disk afterwards.
func (n *Node) saveMembers(savedVersion uint64) uint64 {
	if n.options.SaveMembers == nil {
		return savedVersion
	}
	n.mu.Lock()
	version := n.memberAddrs.version
	if version == savedVersion {
		n.mu.Unlock()
		return savedVersion
	}
	encoded := n.memberAddrs.encoded()
	n.mu.Unlock()
	if n.options.SaveMembers(encoded) != nil {
		return savedVersion
	}
	return version
}

// encodeServers returns a server list in the format that is stored on disk.
func encodeServers(list *registry.List) []byte {
	savedList := savedServers{Format: savedServersFormat}
	for _, instance := range list.ByID {
		savedList.Servers = append(savedList.Servers, instance)
	}
	slices.SortFunc(savedList.Servers, func(a, b *registry.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return encode(&savedList)
}
