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
	disk := m.store.Health(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.replicaLocked()
	_, voter := m.view.Voter(m.me.ID)
	s := Status{ID: m.me.ID, Addr: m.me.Addr, Dir: m.o.Dir, View: m.view, Place: m.view.Place(m.me.ID), Voter: voter,
		Linked: m.majorityLocked(now), Whole: r.Complete(), Record: m.record.Value.Seq, Commit: m.committed.Seq,
		Short: m.view.Shortfall(m.tolerance()), Pending: m.pendingLocked() != 0, Ending: m.ending, Disk: disk}
	for _, p := range m.peers {
		s.Peers = append(s.Peers, PeerStatus{Peer: p.said.Peer, Silent: p.silent(now, m.awake), View: p.said.View, Commit: p.said.Seq, Sick: p.said.Sick, Ending: p.said.Ending})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int {
		if a.Peer.ID < b.Peer.ID {
			return -1
		}
		return 1
	})
	return s
}
