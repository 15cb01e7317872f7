package relay

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// Member is what an agent tells of itself.
type Member struct {
	Name    string `msgpack:"n" json:"name"`
	Addr    string `msgpack:"a" json:"addr"` // for calls of other agents
	Zone    string `msgpack:"z" json:"zone"`
	Region  string `msgpack:"r" json:"region"`
	Core    bool   `msgpack:"c" json:"core"`
	Ending  bool   `msgpack:"e" json:"ending"`
	Control string `msgpack:"o" json:"control"`
}

// isAgent tells whether a source is an agent's.
func isAgent(source string) bool { return source != "" && source != configSource }

func (h *Hub) newSource() string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // never fails
	return h.o.Self.Name + "/" + hex.EncodeToString(b[:])
}

func (h *Hub) announceSelf() { h.announce(memberKey, encode(&h.o.Self)) }

// Ending tells the others that this agent is about to end.
func (h *Hub) Ending() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.o.Self.Ending = true
	h.announceSelf()
}

// Bye tells that it ends now; it waits until a hub knows, which tells the others.
func (h *Hub) Bye(ctx context.Context) {
	h.mu.Lock()
	h.leaving = true
	life := h.set.OwnSource()
	ver := h.announce(endPrefix+life, []byte{1})
	h.mu.Unlock()
	h.awaitReceived(ctx, life, ver)
}

// Others are the agents' addresses of other members that are not ending, core or not.
func (h *Hub) Others(core bool) []Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Member
	for source, m := range h.members {
		if source != h.set.OwnSource() && !m.Ending && (!core || m.Core) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// end drops a source that a hub has ended. If it is the own one, this agent was taken for gone
// and goes on as a new life.
func (h *Hub) end(source string) {
	now := h.now()
	if source == h.set.OwnSource() {
		if !h.leaving {
			h.rebase()
		}
		return
	}
	if h.set.Ended(source) {
		return
	}
	h.set.EndSource(source)
	h.leases.End(now, source)
	delete(h.members, source)
	h.table.SourceEnded(now, source)
	for s := range h.sessions {
		delete(s.has, source)
		delete(s.held, source)
		delete(s.unacked, source)
	}
}

// announceEnd announces that a source has ended; only machines of the core do.
func (h *Hub) announceEnd(source string) {
	if _, told := h.ended[source]; told || !h.o.Self.Core {
		return
	}
	h.ended[source] = h.now()
	h.announce(endPrefix+source, []byte{1})
}

func (h *Hub) rebase() {
	logevent.OwnLapsed.Log("old", h.set.OwnSource())
	now, old := h.now(), h.set.OwnSource()
	h.set.StartIncarnation(h.newSource())
	h.leases.End(now, old)
	delete(h.members, old)
	h.table.RenameOwnSource(now, h.set.OwnSource())
	for agent := range h.granted { // the new life holds them on
		h.leases.Grant(now, agent, h.set.OwnSource())
	}
	for s := range h.sessions {
		s.cancel() // it began with the old name, and what the peer has is of that
		delete(h.sessions, s)
	}
	h.announceSelf()
}

// lapse ends sources that nobody holds a lease of. A machine of the core does so for all, once it
// has been linked for as long as a lease lasts: before, it may not have heard of leases that others
// hold. Another agent drops for itself what the core must have ended while it could not hear it.
func (h *Hub) lapse(now time.Duration, core bool) {
	lapsed := h.leases.Lapsed(now)
	tells := core && h.linked > 0 && now-h.linked > leaseLasts
	if !tells && (core || h.attached == 0 || now-h.attached <= 2*leaseLasts) {
		return
	}
	here := map[string]bool{h.set.OwnSource(): true}
	for s := range h.sessions {
		here[s.source] = true
	}
	for _, source := range lapsed {
		if here[source] {
			continue
		}
		logevent.Lapsed.Log("source", source)
		if tells {
			h.announceEnd(source)
		}
		h.end(source)
	}
}

// grant tells whose leases this machine of the core holds: of all that it has a session with. Its
// own others hold: it would outlive it.
func (h *Hub) grant(core bool) {
	held := map[string]bool{}
	for s := range h.sessions {
		if core && !h.set.Ended(s.source) {
			held[s.source] = true
		}
	}
	for source := range held {
		if !h.granted[source] {
			h.granted[source] = true
			h.announce(leasePrefix+source, []byte{1})
		}
	}
	for source := range h.granted {
		if !held[source] {
			delete(h.granted, source)
			h.announce(leasePrefix+source, nil)
		}
	}
}
