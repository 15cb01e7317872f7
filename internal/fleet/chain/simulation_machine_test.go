package chain_test

import (
	"fmt"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// machine is one simulated machine. The state on its disk survives a power loss.
type machine struct {
	addr        string
	up          bool
	incarnation int  // raised with each end of its process
	inboundCut  bool // messages of other machines don't arrive at it, but those of clients do
	outboundCut bool // its messages don't arrive at other machines
	suspended   bool // its process is suspended, and will resume in the same state

	// State on disk.
	id       string
	view     view.View
	acceptor view.AcceptorState
	record   chain.Record

	// State in memory.
	activatedView uint64  // number of the view in which it was the head and its value was committed
	pendingClient *client // the client whose update is not committed yet; nil if there is none
	pendingUpdate *chain.Update
	pendingSeq    uint64
	proposal      *view.Proposal
	round         uint32
	confirmations []*confirmation
}

// peerOf returns the peer that a machine is with its current disk.
func peerOf(m *machine) view.Peer {
	return view.Peer{ID: m.id, Addr: m.addr, Disk: true, Counted: true}
}

func (s *simulation) assignNewDisk(m *machine) {
	s.lastID++
	m.id = fmt.Sprintf("d%03d", s.lastID)
}

func (s *simulation) replica(m *machine) chain.Replica {
	return chain.Replica{ID: m.id, View: m.view, Record: m.record}
}

// persist writes to a machine's disk. It returns false if the machine loses power before or after the
// write.
func (s *simulation) persist(m *machine, write func()) bool {
	if s.recovering || s.random.IntN(s.profile.powerLossOneIn) > 0 {
		write()
		return true
	}
	if s.random.IntN(2) == 0 {
		write()
	}
	s.powerOff(m)
	return false
}

// handlePush persists a pushed value, and forwards it unless the push is direct.
func (s *simulation) handlePush(m *machine, push chain.Push) {
	if s.defect == acceptOlderViews && push.View.Number < m.view.Number && push.View.Position(m.id) > 0 {
		if push.Value.Seq > m.record.Value.Seq {
			m.record = chain.Record{View: m.view.Number, Value: push.Value}
		}
	} else if !s.receivePush(m, push) {
		return
	}
	if !push.Direct {
		s.forward(m, push)
	}
}

// receivePush makes a machine receive a push. It reports whether the push was accepted and persisted.
func (s *simulation) receivePush(m *machine, push chain.Push) bool {
	if !s.learnView(m, push.View) {
		return false
	}
	replica := s.replica(m)
	record, changed, err := replica.Receive(&push)
	if err != nil {
		return false
	}
	if s.defect == acceptOlderValues && m.record.View == push.View.Number {
		record, changed = chain.Record{View: push.View.Number, Value: push.Value}, true
	}
	return !changed || s.persist(m, func() { m.record = record })
}

// transferValue makes a complete member transfer its value directly to a random member of the chain.
func (s *simulation) transferValue(m *machine) {
	if replica := s.replica(m); m.view.Number > 0 && replica.Complete() {
		to := m.view.Chain[s.random.IntN(len(m.view.Chain))]
		s.send(m, to.Peer, pushMessage{chain.Push{View: m.view, Value: m.record.Value, Direct: true}})
	}
}

// forward sends a pushed value to the successor, or acknowledges it if the machine is the tail.
func (s *simulation) forward(m *machine, push chain.Push) {
	if successor, found := push.View.Successor(m.id); found {
		s.send(m, successor.Peer, pushMessage{push})
		return
	}
	s.handleAck(m, push)
}

// handleAck handles the acknowledgement of a push. It sends it on towards the head, and at the head it
// activates the view and answers the pending client.
func (s *simulation) handleAck(m *machine, push chain.Push) {
	position := push.View.Position(m.id)
	if position < 0 {
		return
	}
	s.recordCommit(push.Value)
	if position > 0 {
		s.send(m, push.View.Chain[position-1].Peer, ackMessage{push})
		return
	}
	if push.View.Number == m.view.Number && push.Value.Seq >= m.record.Value.Seq {
		m.activatedView = m.view.Number
	}
	if m.pendingClient != nil && push.Value.Seq >= m.pendingSeq {
		if _, applied := push.Value.RevisionOf(m.pendingUpdate.Digest()); applied || s.defect == confirmBySeqOnly {
			s.confirmUpdate(m.pendingClient, m.pendingUpdate, m.pendingSeq)
		}
		m.pendingClient = nil
	}
}

// resendPush makes a head push its value along the chain again, as long as that is not acknowledged.
func (s *simulation) resendPush(m *machine) {
	if replica := s.replica(m); m.view.Number > 0 && replica.IsHead() &&
		(m.activatedView != m.view.Number || m.pendingClient != nil) {
		s.forward(m, chain.Push{View: m.view, Value: m.record.Value})
	}
}
