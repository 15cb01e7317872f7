package relay

import (
	"cmp"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// Report is what this process knows, for operators.
type Report struct {
	Source    string          `json:"source"`
	Synced    bool            `json:"fresh"`
	ConfigSeq uint64          `json:"config-seq"`
	Revision  int64           `json:"revision"`
	Members   []MemberReport  `json:"members"`
	Servers   []registry.View `json:"servers"`
	Sessions  []SessionReport `json:"sessions"`
}

// MemberReport is one member; Held: someone holds a lease of it.
type MemberReport struct {
	Member
	Source       string `json:"source"`
	LeaseGranted bool   `json:"held"`
	Self         bool   `json:"self"`
}

// SessionReport is one session; Age is since it said something.
type SessionReport struct {
	PeerAddr         string        `json:"peer"`
	HasQuorum        bool          `json:"linked"`
	SinceLastMessage time.Duration `json:"age"`
}

// Report tells what this process knows.
func (h *Node) Report() Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	r := Report{Source: h.items.OwnSource(), Synced: h.synced, ConfigSeq: h.configSeq, Servers: h.servers.Views(now)}
	if h.config != nil {
		r.Revision = h.config.Revision
	}
	for source, m := range h.members {
		r.Members = append(r.Members, MemberReport{m, source, h.leases.Granted(source), source == h.items.OwnSource()})
	}
	slices.SortFunc(r.Members, func(a, b MemberReport) int { return cmp.Compare(a.Name, b.Name) })
	for s := range h.sessions {
		r.Sessions = append(r.Sessions, SessionReport{s.peerAddr, s.peerHasQuorum, now - s.lastMessage})
	}
	slices.SortFunc(r.Sessions, func(a, b SessionReport) int { return cmp.Compare(a.PeerAddr, b.PeerAddr) })
	return r
}
