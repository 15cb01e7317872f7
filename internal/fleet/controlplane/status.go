package controlplane

import (
	"cmp"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/store"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// Status is the state of a member as it is shown to operators. It is encoded as JSON.
type Status struct {
	ID      string         `json:"ID"`
	Addr    string         `json:"Addr"`
	Dir     string         `json:"Dir"`
	View    view.View      `json:"View"`
	Place   int            `json:"Place"`   // in the chain, from 0; -1: not in it
	Voter   bool           `json:"Voter"`   // of View
	Linked  bool           `json:"Linked"`  // in contact with a majority of the voters
	Whole   bool           `json:"Whole"`   // holds all that was acknowledged
	Record  uint64         `json:"Record"`  // sequence number of the value on disk
	Commit  uint64         `json:"Commit"`  // sequence number of the newest value known as committed
	Short   view.Shortfall `json:"Short"`   // the losses that the voters of View don't survive
	Pending bool           `json:"Pending"` // a next view was accepted here and its decision is not known
	Ending  bool           `json:"Ending"`  // the member is shutting down
	Disk    store.Health   `json:"Disk"`
	Peers   []PeerStatus   `json:"Peers"` // by ID
}

// PeerStatus is what a member knows of another one.
type PeerStatus struct {
	Peer   view.Peer     `json:"Peer"`
	Silent time.Duration `json:"Silent"` // since the last contact
	View   uint64        `json:"View"`   // number of the view that it has learned
	Commit uint64        `json:"Commit"` // sequence number of the newest value that it knows as committed
	Sick   bool          `json:"Sick"`   // its disk is unhealthy
	Ending bool          `json:"Ending"` // it is shutting down
}

// Status returns without waiting for the disk or another process.
func (m *Member) Status() Status {
	now := time.Now()
	disk := m.disk.Health(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	learned := m.views.learned
	replica := m.replicaLocked()
	return Status{
		ID:      m.self.ID,
		Addr:    m.self.Addr,
		Dir:     m.options.StateDir,
		View:    learned,
		Place:   learned.Position(m.self.ID),
		Voter:   m.views.isVoter(m.self.ID),
		Linked:  m.hasQuorumLocked(now),
		Whole:   replica.Complete(),
		Record:  m.register.record.Value.Seq,
		Commit:  m.register.committed.Seq,
		Short:   learned.Shortfall(m.options.tolerance()),
		Pending: m.acceptor.undecided(learned.Number) != 0,
		Ending:  m.shuttingDown,
		Disk:    disk,
		Peers:   m.peers.status(m.pauses.resumedAt, now),
	}
}

// status is the status of all peers, by ID.
func (t *peerTable) status(resumedAt, now time.Time) []PeerStatus {
	var peers []PeerStatus
	for _, peer := range t.byID {
		received := &peer.lastHeartbeat
		peers = append(peers, PeerStatus{
			Peer:   received.Peer,
			Silent: peer.silence(resumedAt, now),
			View:   received.View,
			Commit: received.Seq,
			Sick:   received.Sick,
			Ending: received.Ending,
		})
	}
	slices.SortFunc(peers, func(a, b PeerStatus) int { return cmp.Compare(a.Peer.ID, b.Peer.ID) })
	return peers
}
