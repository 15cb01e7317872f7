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

// saved is the list of servers on disk.
type saved struct {
	Format  int                  `msgpack:"f"`
	Servers []*registry.Instance `msgpack:"s"`
}

const savedFormat = 1

// restore goes by the servers that an earlier life knew until their next beats are due: after a
// loss of everything requests need not wait for them. Each is sent to by its id, so that another
// one at its address takes nothing.
func (h *Hub) restore() {
	var s saved
	if len(h.o.Saved) == 0 || msgpack.Unmarshal(h.o.Saved, &s) != nil || s.Format != savedFormat {
		return
	}
	for _, in := range s.Servers {
		if in == nil || !in.Valid() || in.State != registry.Ready {
			continue
		}
		if h.table.Restore(h.now(), in) {
			h.announce(instPrefix+in.ID, encode(in))
		}
	}
	logevent.Restored.Log("servers", len(s.Servers))
}

// save keeps the list on disk as it changes, at most once in a while.
func (h *Hub) save(ctx context.Context) {
	tick := time.NewTicker(saveEvery)
	defer tick.Stop()
	done := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h.mu.Lock()
		l, synced := h.table.List(), h.synced
		h.mu.Unlock()
		if !synced || l.Version == done || len(l.ByID) == 0 {
			continue
		}
		s := saved{Format: savedFormat}
		for _, in := range l.ByID {
			s.Servers = append(s.Servers, in)
		}
		slices.SortFunc(s.Servers, func(a, b *registry.Instance) int { return cmp.Compare(a.ID, b.ID) })
		if err := h.o.Save(encode(&s)); err == nil { // a disk in trouble: the next time
			done = l.Version
		}
	}
}

// Beat takes a server's call; in is not to be changed after. A server that says it drains is
// answered once a majority of the core holds that; false: it is not known to, and the server had
// better call another agent. So it had if what it says is out of bounds.
func (h *Hub) Beat(ctx context.Context, in *registry.Instance) bool {
	if !in.Valid() {
		return false
	}
	h.mu.Lock()
	told, err := h.table.Heartbeat(h.now(), in)
	life, ver := h.announceServer(in.ID, told, err)
	h.mu.Unlock()
	if err != nil {
		return false
	}
	return in.State == registry.Ready || h.awaitReplicated(ctx, life, ver)
}

// Leave takes a server's word that it ends, as Beat does.
func (h *Hub) Leave(ctx context.Context, id string) bool {
	if in := (&registry.Instance{ID: id}); !in.Valid() {
		return false
	}
	h.mu.Lock()
	told, err := h.table.Deregister(h.now(), id)
	life, ver := h.announceServer(id, told, err)
	h.mu.Unlock()
	return err == nil && h.awaitReplicated(ctx, life, ver)
}

// announceServer tells all what a server's call changed, if anything, and returns the life and the
// version of the own source that has it. The lock is held.
func (h *Hub) announceServer(id string, told *registry.Instance, err error) (life string, version uint64) {
	if err != nil {
		h.reportFull(id)
	}
	if told != nil {
		h.announce(instPrefix+id, encode(told))
		h.publish()
	}
	return h.set.OwnSource(), h.set.OwnVersion()
}

// reportFull logs now and then that a server found no room.
func (h *Hub) reportFull(id string) {
	h.fullReports.Do(func() { logevent.ServersFull.Log("id", id) })
}
