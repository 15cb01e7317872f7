package chain_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// newScenario returns a simulation of four machines in view 1 without random events.
func newScenario(d defect) *simulation {
	s := newSimulation(1, d, 4)
	s.recovering, s.inFlight = true, nil
	var peers []view.Peer
	for _, m := range s.machines {
		peers = append(peers, peerOf(m))
	}
	initial, _ := view.InitialView(peers, view.Tolerance{Machines: toleratedLosses})
	s.decided[1] = initial
	for _, m := range s.machines {
		m.view = initial
	}
	s.resendPush(s.machines[0])
	s.deliverAll()
	return s
}

// changeView makes a machine propose a view, and delivers all messages that this causes.
func (s *simulation) changeView(m *machine, next view.View) {
	m.round++
	m.proposal = view.NewProposal(m.view, view.ProposalNumber{Round: m.round, Proposer: m.id}, &next)
	for _, voter := range m.view.Voters {
		s.send(m, voter, prepareMessage{m.proposal})
	}
	s.deliverAll()
	for _, other := range s.machines {
		s.resendPush(other)
	}
	s.deliverAll()
}

// submitUpdate makes a client submit an update to a machine, and delivers all messages that this causes.
func (s *simulation) submitUpdate(clientIndex int, m *machine, ifMatch, revision int64) {
	c := s.clients[clientIndex]
	c.update = &chain.Update{IfMatch: ifMatch, Body: []byte(strconv.FormatInt(revision, 10))}
	c.minSeq = s.newestSeq
	s.submit(m, c)
	s.deliverAll()
}

func isPush(msg message) bool {
	_, ok := msg.body.(pushMessage)
	return ok
}

func isPushOfView(number uint64) func(message) bool {
	return func(msg message) bool {
		body, ok := msg.body.(pushMessage)
		return ok && body.push.View.Number == number
	}
}

// delayedPush is the scenario in which a push of an older view arrives after the next view was activated.
func delayedPush(s *simulation, a, b, _, _ *machine) {
	s.isDelayed = isPushOfView(1)
	s.submitUpdate(0, a, 0, 10) // its push to b is delayed
	s.changeView(b, b.view.RemoveMember(a.id))
	delayedMessages := s.inFlight
	s.inFlight, s.isDelayed = nil, isPushOfView(2)
	s.submitUpdate(1, b, 0, 20)
	s.inFlight = append(delayedMessages, s.inFlight...)
	s.deliverAll()
	s.isDelayed = nil
	s.deliverAll()
}

// powerLossBetweenProposals is the scenario in which a majority loses power between two proposals of the
// same Paxos instance.
func powerLossBetweenProposals(s *simulation, a, b, c, d *machine) {
	s.isDelayed = func(msg message) bool {
		_, isView := msg.body.(viewMessage)
		return isView || isPush(msg) || msg.toAddr == d.addr
	}
	s.changeView(a, a.view.RemoveMember(d.id)) // only a learns that the view is decided
	s.inFlight = nil
	for _, m := range []*machine{b, c} {
		s.powerOff(m)
		m.up = true
	}
	s.isDelayed = func(msg message) bool { return msg.toAddr == a.addr }
	s.changeView(d, d.view.RemoveMember(a.id))
}

// resumedTail is the scenario in which a tail receives a read although it was removed while it was
// suspended.
func resumedTail(s *simulation, a, _, _, d *machine) {
	d.suspended = true
	s.changeView(a, a.view.RemoveMember(d.id))
	s.submitUpdate(0, a, 0, 10)
	d.suspended = false
	s.read(d)
	s.deliverAll()
}

// resumedHead is the scenario in which a head receives an update that it would reject, although it was
// removed while it was suspended.
func resumedHead(s *simulation, a, b, _, _ *machine) {
	s.submitUpdate(0, a, 0, 10)
	a.suspended = true
	s.changeView(b, b.view.RemoveMember(a.id))
	s.submitUpdate(1, b, 10, 20)
	a.suspended = false
	s.submitUpdate(2, a, 20, 30)
}

// reinstatedHead is the scenario in which a machine becomes the head again while an update that it accepted
// earlier is still pending there. Meanwhile another head has committed a different update with the same Seq.
func reinstatedHead(s *simulation, a, b, c, d *machine) {
	s.isDelayed = isPush
	s.submitUpdate(0, a, 0, 10)
	s.inFlight, s.isDelayed = nil, nil // the push is lost, so only a has the update
	s.changeView(b, b.view.RemoveMember(a.id))
	s.submitUpdate(1, b, 0, 20)
	s.changeView(b, b.view.AppendMember(a.id))
	s.changeView(b, b.view.RemoveMember(b.id))
	s.changeView(c, c.view.RemoveMember(c.id))
	s.changeView(d, d.view.AppendMember(b.id))
	s.changeView(d, d.view.RemoveMember(d.id))
}

// Each scenario is a rare interleaving that violates the guarantees if one rule of the protocol is left
// out.
func TestRareInterleavings(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		defect defect
		run    func(s *simulation, a, b, c, d *machine)
	}{
		{"a delayed push of an older view", acceptOlderViews, delayedPush},
		{"a majority loses power between two proposals", loseVotes, powerLossBetweenProposals},
		{"a removed tail resumes and receives a read", readWithoutQuorum, resumedTail},
		{"a removed head resumes and receives an update", rejectWithoutQuorum, resumedHead},
		{"a former head becomes the head again", confirmBySeqOnly, reinstatedHead},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			for _, d := range []defect{noDefect, scenario.defect} {
				s := newScenario(d)
				scenario.run(s, s.machines[0], s.machines[1], s.machines[2], s.machines[3])
				if d == noDefect {
					require.NoError(t, s.checkHistory())
				} else {
					require.Error(t, s.checkHistory(), "no violation was found without the rule")
				}
			}
		})
	}
}
