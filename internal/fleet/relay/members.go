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
	Name        string `msgpack:"n" json:"name"`
	Addr        string `msgpack:"a" json:"addr"` // for calls of other agents
	Zone        string `msgpack:"z" json:"zone"`
	Region      string `msgpack:"r" json:"region"`
	IsCore      bool   `msgpack:"c" json:"core"`
	Draining    bool   `msgpack:"e" json:"ending"`
	ControlAddr string `msgpack:"o" json:"control"`
}

// isAgentSource tells whether a source is an agent's.
func isAgentSource(source string) bool { return source != "" && source != configSource }

func (h *Node) newSourceName() string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // never fails
	return h.options.Self.Name + "/" + hex.EncodeToString(b[:])
}

func (h *Node) publishMemberLocked() { h.publishItemLocked(memberKey, encode(&h.options.Self)) }

// AnnounceDraining tells the others that this agent is about to end.
func (h *Node) AnnounceDraining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.options.Self.Draining = true
	h.publishMemberLocked()
}

// Depart tells that it ends now; it waits until a hub knows, which tells the others.
func (h *Node) Depart(ctx context.Context) {
	h.mu.Lock()
	h.departing = true
	life := h.items.OwnSource()
	ver := h.publishItemLocked(endPrefix+life, []byte{1})
	h.mu.Unlock()
	h.awaitReceived(ctx, life, ver)
}

// OtherMembers are the agents' addresses of other members that are not ending, core or not.
func (h *Node) OtherMembers(core bool) []Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Member
	for source, m := range h.members {
		if source != h.items.OwnSource() && !m.Draining && (!core || m.IsCore) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// endSourceLocked drops a source that a hub has ended. If it is the own one, this agent was taken for gone
// and goes on as a new life.
func (h *Node) endSourceLocked(source string) {
	now := h.now()
	if source == h.items.OwnSource() {
		if !h.departing {
			h.startIncarnationLocked()
		}
		return
	}
	if h.items.Ended(source) {
		return
	}
	h.items.EndSource(source)
	h.leases.Remove(now, source)
	delete(h.members, source)
	h.servers.SourceEnded(now, source)
	for s := range h.sessions {
		delete(s.sent, source)
		delete(s.acknowledged, source)
		delete(s.pendingAcks, source)
	}
}

// publishEndLocked announces that a source has ended; only machines of the core do.
func (h *Node) publishEndLocked(source string) {
	if _, told := h.publishedEnds[source]; told || !h.options.Self.IsCore {
		return
	}
	h.publishedEnds[source] = h.now()
	h.publishItemLocked(endPrefix+source, []byte{1})
}

func (h *Node) startIncarnationLocked() {
	logevent.OwnLeaseExpired.Log("old", h.items.OwnSource())
	now, old := h.now(), h.items.OwnSource()
	h.items.StartIncarnation(h.newSourceName())
	h.leases.Remove(now, old)
	delete(h.members, old)
	h.servers.RenameOwnSource(now, h.items.OwnSource())
	for agent := range h.grantedLeases { // the new life holds them on
		h.leases.Grant(now, agent, h.items.OwnSource())
	}
	for s := range h.sessions {
		s.cancel() // it began with the old name, and what the peer has is of that
		delete(h.sessions, s)
	}
	h.publishMemberLocked()
}

// expireLeasesLocked ends sources that nobody holds a lease of. A machine of the core does so for all, once it
// has been linked for as long as a lease lasts: before, it may not have heard of leases that others
// hold. Another agent drops for itself what the core must have ended while it could not hear it. It never
// accepts a dropped source again, so it allows the core as long again to end the source or to renew its
// lease, and drops nothing while its own relay is silent: the renewal may be on its way.
func (h *Node) expireLeasesLocked(now time.Duration, core bool) {
	lapsed := h.leases.Expired(now)
	tells := core && h.quorumSince > 0 && now-h.quorumSince > leaseDuration
	if !tells && (core || h.attachedSince == 0 || now-h.attachedSince <= sourceExpiry) {
		return
	}
	here := map[string]bool{h.items.OwnSource(): true}
	for s := range h.sessions {
		here[s.source] = true
	}
	for _, source := range lapsed {
		if here[source] || !tells && h.leases.UngrantedFor(now, source) <= sourceExpiry {
			continue
		}
		logevent.LeaseExpired.Log("source", source)
		if tells {
			h.publishEndLocked(source)
		}
		h.endSourceLocked(source)
	}
}

// updateGrantedLeasesLocked tells whose leases this machine of the core holds: of all that it has a session with. Its
// own others hold: it would outlive it.
func (h *Node) updateGrantedLeasesLocked(core bool) {
	held := map[string]bool{}
	for s := range h.sessions {
		if core && !h.items.Ended(s.source) {
			held[s.source] = true
		}
	}
	for source := range held {
		if !h.grantedLeases[source] {
			h.grantedLeases[source] = true
			h.publishItemLocked(leasePrefix+source, []byte{1})
		}
	}
	for source := range h.grantedLeases {
		if !held[source] {
			delete(h.grantedLeases, source)
			h.publishItemLocked(leasePrefix+source, nil)
		}
	}
}
