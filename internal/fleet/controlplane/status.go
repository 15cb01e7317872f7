package controlplane

import (
	"cmp"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/store"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// Status is the state of a member as shown to operators. It is encoded as JSON.
type Status struct {
	ID           string         `json:"ID"`
	Addr         string         `json:"Addr"`
	StateDir     string         `json:"Dir"`
	View         view.View      `json:"View"`
	Position     int            `json:"Place"`   // the member's position in the chain, from 0; -1 if it is not in it
	Voter        bool           `json:"Voter"`   // the member is a voter of View
	HasQuorum    bool           `json:"Linked"`  // the member is a voter in contact with a majority of the voters
	Complete     bool           `json:"Whole"`   // the member holds every acknowledged update
	RecordSeq    uint64         `json:"Record"`  // sequence number of the value on disk
	CommittedSeq uint64         `json:"Commit"`  // sequence number of the newest value known as committed
	Shortfall    view.Shortfall `json:"Short"`   // the tolerated losses that the voters of View would not survive
	Undecided    bool           `json:"Pending"` // the member accepted a next view that is not known to be decided
	Leaving      bool           `json:"Ending"`  // the member is shutting down
	Disk         store.Health   `json:"Disk"`
	Peers        []PeerStatus   `json:"Peers"` // sorted by ID
}

// PeerStatus is what a member knows about a peer.
type PeerStatus struct {
	Peer          view.Peer     `json:"Peer"`
	SinceContact  time.Duration `json:"Silent"` // time since the last contact, in nanoseconds
	LearnedView   uint64        `json:"View"`   // number of the view that the peer has learned
	CommittedSeq  uint64        `json:"Commit"` // sequence number of the newest value that the peer knows as committed
	DiskUnhealthy bool          `json:"Sick"`   // the peer's disk fails or stalls
	Leaving       bool          `json:"Ending"` // the peer is shutting down
}

// Status returns the state of the member without waiting for the disk or another process.
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

// status returns the status of all peers, sorted by ID.
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
