package controlplane

import (
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/store"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// Status is what an operator may want to know of a member.
type Status struct {
	ID      string
	Addr    string
	Dir     string
	View    view.View
	Place   int // in the chain, from 0; -1: not in it
	Voter   bool
	Linked  bool
	Whole   bool // holds everything that was acknowledged
	Record  uint64
	Commit  uint64
	Short   view.Shortfall // losses that the voters of View don't bear
	Pending bool           // a next view was accepted here and its decision is not known
	Ending  bool
	Disk    store.Health
	Peers   []PeerStatus
}

// PeerStatus is what a member knows of another one.
type PeerStatus struct {
	Peer   view.Peer
	Silent time.Duration
	View   uint64
	Commit uint64
	Sick   bool
	Ending bool
}

// Status waits for nothing.
func (m *Member) Status() Status {
	now := time.Now()
	disk := m.disk.Health(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.replicaLocked()
	_, voter := m.learned.Voter(m.self.ID)
	s := Status{ID: m.self.ID, Addr: m.self.Addr, Dir: m.options.StateDir, View: m.learned, Place: m.learned.Place(m.self.ID), Voter: voter,
		Linked: m.hasQuorumLocked(now), Whole: r.Complete(), Record: m.record.Value.Seq, Commit: m.committed.Seq,
		Short: m.learned.Shortfall(m.tolerance()), Pending: m.undecidedLocked() != 0, Ending: m.shuttingDown, Disk: disk}
	for _, p := range m.peers {
		s.Peers = append(s.Peers, PeerStatus{Peer: p.lastHeartbeat.Peer, Silent: p.silence(now, m.awakeSince), View: p.lastHeartbeat.View, Commit: p.lastHeartbeat.Seq, Sick: p.lastHeartbeat.Sick, Ending: p.lastHeartbeat.Ending})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int {
		if a.Peer.ID < b.Peer.ID {
			return -1
		}
		return 1
	})
	return s
}
