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

// savedServers is the list of servers on disk.
type savedServers struct {
	Format  int                  `msgpack:"f"`
	Servers []*registry.Instance `msgpack:"s"`
}

const savedServersFormat = 1

// restoreServersLocked goes by the servers that an earlier life knew until their next beats are due: after a
// loss of everything requests need not wait for them. Each is sent to by its id, so that another
// one at its address takes nothing.
func (h *Node) restoreServersLocked() {
	var s savedServers
	if len(h.options.SavedServers) == 0 || msgpack.Unmarshal(h.options.SavedServers, &s) != nil || s.Format != savedServersFormat {
		return
	}
	for _, in := range s.Servers {
		if in == nil || !in.Valid() || in.State != registry.Ready {
			continue
		}
		if h.servers.Restore(h.now(), in) {
			h.publishItemLocked(serverPrefix+in.ID, encode(in))
		}
	}
	logevent.ServersRestored.Log("servers", len(s.Servers))
}

// saveServers keeps the list on disk as it changes, at most once in a while.
func (h *Node) saveServers(ctx context.Context) {
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	done := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h.mu.Lock()
		l, synced := h.servers.List(), h.synced
		h.mu.Unlock()
		if !synced || l.Version == done || len(l.ByID) == 0 {
			continue
		}
		s := savedServers{Format: savedServersFormat}
		for _, in := range l.ByID {
			s.Servers = append(s.Servers, in)
		}
		slices.SortFunc(s.Servers, func(a, b *registry.Instance) int { return cmp.Compare(a.ID, b.ID) })
		if err := h.options.SaveServers(encode(&s)); err == nil { // a disk in trouble: the next time
			done = l.Version
		}
	}
}

// Heartbeat takes a server's call; in is not to be changed after. A server that says it drains is
// answered once a majority of the core holds that; false: it is not known to, and the server had
// better call another agent. So it had if what it says is out of bounds.
func (h *Node) Heartbeat(ctx context.Context, in *registry.Instance) bool {
	if !in.Valid() {
		return false
	}
	h.mu.Lock()
	told, err := h.servers.Heartbeat(h.now(), in)
	life, ver := h.publishServerLocked(in.ID, told, err)
	h.mu.Unlock()
	if err != nil {
		return false
	}
	return in.State == registry.Ready || h.awaitQuorum(ctx, life, ver)
}

// Deregister takes a server's word that it ends, as Beat does.
func (h *Node) Deregister(ctx context.Context, id string) bool {
	if in := (&registry.Instance{ID: id}); !in.Valid() {
		return false
	}
	h.mu.Lock()
	told, err := h.servers.Deregister(h.now(), id)
	life, ver := h.publishServerLocked(id, told, err)
	h.mu.Unlock()
	return err == nil && h.awaitQuorum(ctx, life, ver)
}

// publishServerLocked tells all what a server's call changed, if anything, and returns the life and the
// version of the own source that has it. The lock is held.
func (h *Node) publishServerLocked(id string, told *registry.Instance, err error) (life string, version uint64) {
	if err != nil {
		h.logTableFull(id)
	}
	if told != nil {
		h.publishItemLocked(serverPrefix+id, encode(told))
		h.publishSnapshotLocked()
	}
	return h.items.OwnSource(), h.items.OwnVersion()
}

// logTableFull logs now and then that a server found no room.
func (h *Node) logTableFull(id string) {
	h.tableFullLog.Do(func() { logevent.ServerTableFull.Log("id", id) })
}
