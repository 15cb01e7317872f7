package view

import (
	"fmt"
	"time"
)

// machine is one machine of a simulated control plane with its disk and its process.
type machine struct {
	peer           Peer
	decommissioned bool // it never comes back
	partitioned    bool // its process runs, but all its messages are lost

	// State on disk.
	view      View
	acceptor  AcceptorState
	valueView uint64 // number of the view in which it received its value
	valueSeq  int    // number of the newest update in its value

	// State of the process. Times count from the start of the simulation.
	up             bool
	leaving        bool
	leaveDeadline  time.Duration // a leaving process ends at this time at the latest
	leaveNotBefore time.Duration // a process that is not a voter stays until then, as it may be about to become one
	idleChecks     int           // consecutive checks of the shutdown without anything to do
	reconnectedAt  time.Duration // end of its last partition
	startedAt      time.Duration
	acceptedAt     time.Duration // when it first accepted the undecided view
	viewLearnedAt  time.Duration
	peers          map[string]*peerState // by peer ID
	connectedTo    []string              // IDs of the voters that it is in contact with
	incarnation    int
	round          uint32           // the highest round of a proposal number that it used or met
	proposal       *pendingProposal // nil if none is under way
	dueReason      string           // Reason of the step that is due; empty if none is
	dueSince       time.Duration    // when that step became due
	retryNotBefore time.Duration    // no proposal starts before this time
	activatedView  uint64           // number of the view that it has activated as its head
}

// never stands for the time of an event that has not happened.
const never = time.Duration(-1)

// peerState is what a machine knows about a peer.
type peerState struct {
	discoveredAt time.Duration
	lastContact  time.Duration // never if there was no contact
	stableSince  time.Duration // start of the uninterrupted contact
	report       Health        // the last report of the peer
	reportedView uint64        // number of the peer's view in that report
}

// addMachine creates a machine that is not started yet.
func (s *simulation) addMachine(zone, region string) *machine {
	name := s.nextName()
	m := &machine{peer: Peer{ID: name, Addr: name + ":1", Zone: zone, Region: region, Disk: true, Counted: true}}
	s.machines = append(s.machines, m)
	return m
}

func (s *simulation) nextName() string {
	s.lastName++
	return fmt.Sprintf("m%02d", s.lastName)
}

// start starts a machine's process, with a new, empty disk if wiped is set.
func (s *simulation) start(m *machine, wiped bool) {
	if wiped {
		m.peer.ID = s.nextName()
		m.view, m.acceptor, m.valueView, m.valueSeq = View{}, AcceptorState{}, 0, 0
	}
	s.logf("start %s in %s/%s, wiped %v", m.peer.ID, m.peer.Region, m.peer.Zone, wiped)
	m.up, m.leaving, m.partitioned, m.startedAt = true, false, false, s.now
	m.peers, m.proposal, m.dueReason, m.activatedView, m.retryNotBefore, m.round =
		map[string]*peerState{}, nil, "", 0, 0, 0
	m.acceptedAt, m.viewLearnedAt = s.now, s.now
	m.incarnation++
}

func (s *simulation) stop(m *machine) {
	s.logf("stop %s", m.peer.ID)
	m.up, m.proposal = false, nil
	s.stoppedAt[m.peer.ID] = s.now
}

// terminate starts the graceful shutdown of a machine's process and announces it to the others.
func (s *simulation) terminate(m *machine) {
	s.logf("terminate %s", m.peer.ID)
	m.leaving, m.idleChecks, m.leaveDeadline, m.leaveNotBefore = true, 0, s.now+shutdownGrace, s.now
	if !m.isVoter() {
		m.leaveNotBefore += proposalPhase
	}
	for _, other := range s.machines {
		s.exchangeReports(m, other)
	}
}

func (s *simulation) reaches(a, b *machine) bool {
	return a == b || a.up && b.up && !a.partitioned && !b.partitioned
}

func (s *simulation) machineByID(id string) *machine {
	for _, m := range s.machines {
		if m.peer.ID == id {
			return m
		}
	}
	return nil
}

func (m *machine) isComplete(v View) bool {
	position := v.Position(m.peer.ID)
	return position >= 0 && (v.Chain[position].JoinedIn == 1 || m.valueView >= v.Chain[position].JoinedIn)
}

func (m *machine) isUndecided() bool {
	return m.acceptor.Accepted != nil && m.acceptor.Instance == m.view.Number+1
}

func (m *machine) isVoter() bool {
	_, found := m.view.Voter(m.peer.ID)
	return found
}

func (m *machine) isConnected(id string, now time.Duration) bool {
	peer := m.peers[id]
	return peer != nil && peer.lastContact >= 0 && now-peer.lastContact < contactTimeout
}

// learnView gives a decided view to a machine, which ignores it unless it is newer than its own. It fails
// the simulation if another view was decided under the same number.
func (s *simulation) learnView(m *machine, v View) {
	if v.Number <= m.view.Number {
		return
	}
	if decided, known := s.decided[v.Number]; known && !decided.Equal(v) {
		s.fail("two different views have the number %d", v.Number)
	}
	s.decided[v.Number] = v
	if v.Number > s.newest.Number {
		s.newest = v
	}
	m.view, m.viewLearnedAt, m.dueReason = v, s.now, ""
	for _, voter := range v.Voters {
		s.stateOf(m, voter)
	}
}

// stateOf returns what a machine knows about a peer, with a new entry for an unknown one. It returns nil
// for the machine itself.
func (s *simulation) stateOf(m *machine, peer Peer) *peerState {
	if m.peers[peer.ID] == nil && peer.ID != m.peer.ID {
		m.peers[peer.ID] = &peerState{discoveredAt: s.now, lastContact: never, report: Health{Peer: peer}}
	}
	return m.peers[peer.ID]
}

// exchangeReports simulates a heartbeat and its response, with which two machines exchange their newest
// view and their reports.
func (s *simulation) exchangeReports(a, b *machine) {
	if a == b || !s.reaches(a, b) || !a.up || !b.up {
		return
	}
	if a.view.Number < b.view.Number {
		s.learnView(a, b.view)
	} else {
		s.learnView(b, a.view)
	}
	s.receiveReport(a, b)
	s.receiveReport(b, a)
}

func (s *simulation) receiveReport(m, from *machine) {
	state := s.stateOf(m, from.peer)
	if state.lastContact < 0 || s.now-state.lastContact > testPolicy.FailAfter {
		state.stableSince = s.now
	}
	state.lastContact, state.reportedView = s.now, from.view.Number
	state.report = Health{
		Peer:        from.peer,
		Leaving:     from.leaving,
		Complete:    from.isComplete(from.view),
		ConnectedTo: from.connectedTo,
		Uptime:      s.now - from.startedAt,
		Undecided:   from.isUndecided() && s.now-from.acceptedAt > testPolicy.StableAfter,
	}
}

// health returns the health of all peers that a machine knows, as the input of its plan.
func (s *simulation) health(m *machine) map[string]Health {
	health := make(map[string]Health, len(m.peers)+1)
	for id, state := range m.peers {
		health[id] = s.healthOf(m, id, state)
	}
	health[m.peer.ID] = Health{
		Peer:        m.peer,
		StableFor:   max(1, s.now-m.startedAt),
		Leaving:     m.leaving,
		ConnectedTo: m.connectedTo,
		Uptime:      s.now - m.startedAt,
		Complete:    m.isComplete(m.view),
		Undecided:   m.isUndecided() && s.now-m.acceptedAt > testPolicy.StableAfter,
	}
	if s.defect == countIncompleteMembers {
		for _, member := range m.view.Chain {
			if h, known := health[member.ID]; known {
				h.Complete = true
				health[member.ID] = h
			}
		}
	}
	return health
}

func (s *simulation) healthOf(m *machine, id string, state *peerState) Health {
	h := state.report
	h.SinceContact = s.now - max(state.lastContact, state.discoveredAt, m.startedAt)
	if h.SinceContact < testPolicy.FailAfter && state.lastContact >= 0 {
		h.StableFor = max(1, s.now-state.stableSince)
	}
	h.Complete = false
	if position := m.view.Position(id); position >= 0 {
		joinedIn := m.view.Chain[position].JoinedIn
		h.Complete = joinedIn == 1 ||
			state.report.Complete && state.reportedView >= joinedIn && state.reportedView <= m.view.Number
		if s.defect == discardOlderReports {
			h.Complete = joinedIn == 1 || state.report.Complete && state.reportedView == m.view.Number
		}
	}
	h.Undecided = h.Undecided && state.reportedView == m.view.Number
	return h
}

func (s *simulation) hasQuorum(m *machine) bool {
	if !m.isVoter() {
		return false
	}
	connected := 0
	for _, voter := range m.view.Voters {
		if voter.ID == m.peer.ID || m.isConnected(voter.ID, s.now) {
			connected++
		}
	}
	return connected >= m.view.Quorum()
}

// proposersBefore returns the number of healthy voters whose turn to propose is before that of a machine:
// the members of the chain come first, head first, and then the other voters.
func (m *machine) proposersBefore(health map[string]Health) (n int) {
	order := make([]string, 0, len(m.view.Voters))
	for _, member := range m.view.Chain {
		order = append(order, member.ID)
	}
	for _, voter := range m.view.Voters {
		if m.view.Position(voter.ID) < 0 {
			order = append(order, voter.ID)
		}
	}
	for _, id := range order {
		if id == m.peer.ID {
			return n
		}
		if h, known := health[id]; known && h.SinceContact < testPolicy.FailAfter && !h.Leaving {
			n++
		}
	}
	return n
}
