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
	ID           string         `json:"ID"`
	Addr         string         `json:"Addr"`
	StateDir     string         `json:"Dir"`
	View         view.View      `json:"View"`
	Position     int            `json:"Place"`   // in the chain, from 0; -1: not in it
	Voter        bool           `json:"Voter"`   // of View
	HasQuorum    bool           `json:"Linked"`  // in contact with a majority of the voters
	Complete     bool           `json:"Whole"`   // holds all that was acknowledged
	RecordSeq    uint64         `json:"Record"`  // sequence number of the value on disk
	CommittedSeq uint64         `json:"Commit"`  // sequence number of the newest value known as committed
	Shortfall    view.Shortfall `json:"Short"`   // the losses that the voters of View don't survive
	Undecided    bool           `json:"Pending"` // a next view was accepted here and its decision is not known
	Leaving      bool           `json:"Ending"`  // the member is shutting down
	Disk         store.Health   `json:"Disk"`
	Peers        []PeerStatus   `json:"Peers"` // by ID
}

// PeerStatus is what a member knows of another one.
type PeerStatus struct {
	Peer          view.Peer     `json:"Peer"`
	SinceContact  time.Duration `json:"Silent"` // since the last contact
	LearnedView   uint64        `json:"View"`   // number of the view that it has learned
	CommittedSeq  uint64        `json:"Commit"` // sequence number of the newest value that it knows as committed
	DiskUnhealthy bool          `json:"Sick"`   // its disk is unhealthy
	Leaving       bool          `json:"Ending"` // it is shutting down
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
		ID:           m.self.ID,
		Addr:         m.self.Addr,
		StateDir:     m.options.StateDir,
		View:         learned,
		Position:     learned.Position(m.self.ID),
		Voter:        m.views.isVoter(m.self.ID),
		HasQuorum:    m.hasQuorumLocked(now),
		Complete:     replica.Complete(),
		RecordSeq:    m.register.record.Value.Seq,
		CommittedSeq: m.register.committed.Seq,
		Shortfall:    learned.Shortfall(m.options.Tolerance),
		Undecided:    m.acceptor.undecided(learned.Number) != 0,
		Leaving:      m.leaving,
		Disk:         disk,
		Peers:        m.peers.status(m.pauses.resumedAt, now),
	}
}

// status is the status of all peers, by ID.
func (t *peerTable) status(resumedAt, now time.Time) []PeerStatus {
	var peers []PeerStatus
	for _, peer := range t.byID {
		received := &peer.lastHeartbeat
		peers = append(peers, PeerStatus{
			Peer:          received.Peer,
			SinceContact:  peer.sinceContact(resumedAt, now),
			LearnedView:   received.View,
			CommittedSeq:  received.CommittedSeq,
			DiskUnhealthy: received.DiskUnhealthy,
			Leaving:       received.Leaving,
		})
	}
	slices.SortFunc(peers, func(a, b PeerStatus) int { return cmp.Compare(a.Peer.ID, b.Peer.ID) })
	return peers
}
