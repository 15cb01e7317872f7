package chain_test

import (
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// powerOff ends a machine's process. The state on its disk remains.
func (s *simulation) powerOff(m *machine) {
	m.up, m.suspended, m.incarnation = false, false, m.incarnation+1
	m.activatedView, m.pendingClient, m.pendingUpdate, m.proposal, m.confirmations = 0, nil, nil, nil, nil
	if s.defect == loseVotes {
		m.acceptor = view.AcceptorState{}
	}
	if s.defect == loseViews {
		m.view = s.decided[1]
	}
}

// changeConnection disconnects, suspends, reconnects or resumes a machine, or does nothing.
func (s *simulation) changeConnection(m *machine) {
	switch s.random.IntN(s.profile.partitionOneIn) {
	case 0:
		switch s.random.IntN(4) {
		case 0:
			m.inboundCut = true
		case 1:
			m.outboundCut = true
		case 2:
			m.inboundCut, m.outboundCut = true, true
		case 3:
			m.suspended = true
		}
	case 1, 2:
		m.inboundCut, m.outboundCut, m.suspended = false, false, false
	}
}

// injectDisaster makes a machine lose its disk or all machines lose power, or does nothing.
func (s *simulation) injectDisaster(m *machine) {
	if s.random.IntN(4) == 0 {
		s.loseDisk(m)
	} else if s.random.IntN(8) == 0 {
		for _, other := range s.machines {
			s.powerOff(other)
		}
	}
}

// loseDisk replaces a machine's disk by an empty one, unless that would exceed the tolerated losses (see
// toleratesDiskLoss).
func (s *simulation) loseDisk(m *machine) {
	newest := s.newestView()
	if !s.toleratesDiskLoss(newest) {
		return
	}
	s.wiped = append(s.wiped, m)
	s.powerOff(m)
	id := m.id
	m.view, m.acceptor, m.record, m.round = view.View{}, view.AcceptorState{}, chain.Record{}, 0
	s.assignNewDisk(m)
	if s.defect == keepIDAfterDiskLoss {
		m.id = id
	}
}

func (s *simulation) newestView() (newest view.View) {
	for _, decided := range s.decided {
		if decided.Number > newest.Number {
			newest = decided
		}
	}
	return newest
}

// toleratesDiskLoss reports whether the loss of one more disk is tolerated in the newest view: enough
// members must be complete, no voter's disk may be lost, and each machine that lost its disk before must
// have become a voter with its new one.
func (s *simulation) toleratesDiskLoss(newest view.View) bool {
	complete := 0
	for _, voter := range newest.Voters {
		m := s.machineOfDisk(voter.ID)
		if m == nil {
			return false
		}
		if replica := s.replica(m); m.view.Number == newest.Number && replica.Complete() {
			complete++
		}
	}
	if s.defect != dropBelowRequiredLength && complete <= toleratedLosses {
		return false
	}
	// A machine that is a voter with its new disk has no vote with its former disk in any later view.
	for _, wiped := range s.wiped {
		if _, voter := newest.Voter(wiped.id); !voter {
			return false
		}
	}
	return true
}

func (s *simulation) machineOfDisk(id string) *machine {
	for _, m := range s.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}
