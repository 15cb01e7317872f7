package relay

import (
	"cmp"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// Report is the state of this process as it is shown to operators.
type Report struct {
	Source    string          `json:"source"` // the source of this process's incarnation
	Synced    bool            `json:"fresh"`  // see Snapshot
	ConfigSeq uint64          `json:"config-seq"`
	Revision  int64           `json:"revision"`
	Members   []MemberReport  `json:"members"`  // sorted by name
	Servers   []registry.View `json:"servers"`  // sorted by ID
	Sessions  []SessionReport `json:"sessions"` // sorted by address
}

// MemberReport describes one agent.
type MemberReport struct {
	Member
	Source       string `json:"source"`
	LeaseGranted bool   `json:"held"` // whether any core member grants it a lease
	Self         bool   `json:"self"` // whether it is this process
}

// SessionReport describes one session.
type SessionReport struct {
	PeerAddr         string        `json:"peer"`
	HasQuorum        bool          `json:"linked"` // whether the peer is a core member with a quorum
	SinceLastMessage time.Duration `json:"age"`
}

// Figures returns what the sessions of this node take, by name.
func (n *Node) Figures() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	pendingNotices := 0
	for s := range n.sessions {
		pendingNotices += len(s.pendingNotices)
	}
	return map[string]int64{
		"sessions":          int64(len(n.sessions)),
		"sessions-starting": int64(len(n.admission.slots)),
		"sessions-waiting":  n.admission.waiting.Load(),
		"sessions-refused":  n.admission.refused.Load(),
		"notices-pending":   int64(pendingNotices),
	}
}

// Report returns the state of this process for operators.
func (n *Node) Report() Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, ownSource := n.now(), n.items.OwnSource()
	report := Report{
		Source:    ownSource,
		Synced:    n.readiness.synced,
		ConfigSeq: n.config.seq,
		Revision:  n.config.revision(),
		Servers:   n.servers.Views(now),
	}
	for source, member := range n.members {
		report.Members = append(report.Members, MemberReport{member, source, n.leases.Granted(source), source == ownSource})
	}
	slices.SortFunc(report.Members, func(a, b MemberReport) int { return cmp.Compare(a.Name, b.Name) })
	for s := range n.sessions {
		report.Sessions = append(report.Sessions, SessionReport{s.peerAddr, s.peerHasQuorum, now - s.lastMessage})
	}
	slices.SortFunc(report.Sessions, func(a, b SessionReport) int { return cmp.Compare(a.PeerAddr, b.PeerAddr) })
	return report
}
