package chain_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// defect is a rule of the protocol that is left out, to test that the checks of the simulation detect
// that.
type defect int

const (
	noDefect                defect = iota
	acceptOlderViews               // replicas accept pushes of views that are superseded
	loseVotes                      // votes are not persisted
	acknowledgeEarly               // the head acknowledges an update as soon as it has persisted it itself
	readWithoutQuorum              // the tail answers reads without the confirmation of a quorum
	dropToIncompleteMembers        // a chain may be reduced to members that are not complete
	answerFromStaleTail            // a new tail answers before the head's value has arrived
	rejectWithoutQuorum            // a head rejects updates without the confirmation of a quorum
	rejectForgottenUpdates         // a head rejects updates that are older than its history
	keepIDAfterDiskLoss            // a machine that lost its disk continues to vote under its former ID
	acceptOlderValues              // replicas accept older values of their view
	loseViews                      // views are not persisted
	confirmBySeqOnly               // a head confirms a pending update by the Seq of the value, not by its digest
	dropBelowRequiredLength        // the chain may be reduced below the required number of complete members
)

const (
	toleratedLosses = 1
	// maxRecoverySteps is the largest number of steps that a recovery may take.
	maxRecoverySteps = 60_000
)

// simulation executes the machines of a control plane with random events. Messages may be reordered,
// lost, delayed and duplicated. A machine may lose power at each write, and its disk within the tolerated
// losses. The view changes at random, as far as the rules allow it.
type simulation struct {
	random     *rand.Rand
	defect     defect
	profile    profile
	machines   []*machine
	inFlight   []message
	lastID     int
	wiped      []*machine         // machines that lost their disk
	isDelayed  func(message) bool // set by scenarios; nil if no message is delayed
	recovering bool               // the run is about to end, and no more faults are injected

	decided   map[uint64]view.View   // by number
	committed map[uint64]chain.Value // by Seq
	newestSeq uint64                 // the highest Seq that was acknowledged or read
	outcomes  map[chain.Digest]*updateOutcome
	clients   []*client
	reads     int   // number of reads that were answered
	err       error // the first violation; nil if there is none
}

// profile has the frequencies of the events of a run, so that events that are rare in one run are common
// in another.
type profile struct {
	reordering        reordering
	lossOneIn         int // one in this many messages is lost, and as many are duplicated
	powerLossOneIn    int // one in this many writes is interrupted by a power loss
	viewChangePercent int // percentage of the steps that propose a change of the view
	partitionOneIn    int // one in this many partition steps disconnects or suspends a machine
	historyLength     int // number of recent updates that a value records
}

// reordering is the order in which messages tend to arrive.
type reordering int

const (
	olderFirst reordering = iota
	anyOrder
	newerFirst
)

func newSimulation(seed uint64, d defect, machines int) *simulation {
	s := &simulation{
		random:    rand.New(rand.NewPCG(seed, 7)),
		defect:    d,
		decided:   map[uint64]view.View{},
		committed: map[uint64]chain.Value{},
		outcomes:  map[chain.Digest]*updateOutcome{},
	}
	pick := func(options ...int) int { return options[s.random.IntN(len(options))] }
	s.profile = profile{
		reordering:        reordering(pick(int(olderFirst), int(anyOrder), int(newerFirst))),
		lossOneIn:         pick(5, 12, 60),
		powerLossOneIn:    pick(30, 60, 400),
		viewChangePercent: pick(1, 3, 6),
		partitionOneIn:    pick(4, 16),
		historyLength:     pick(1, 3, chain.MaxRecentUpdates),
	}
	var peers []view.Peer
	for i := range machines {
		m := &machine{addr: fmt.Sprint("m", i), up: true}
		s.assignNewDisk(m)
		s.machines = append(s.machines, m)
		if i < max(3, machines-1) {
			peers = append(peers, peerOf(m))
		}
	}
	initial, _ := view.InitialView(peers, view.Tolerance{Machines: toleratedLosses})
	s.decided[1] = initial
	for _, m := range s.machines[:len(peers)] {
		if s.random.IntN(4) > 0 { // the other machines learn the view from messages
			m.view = initial
		}
	}
	s.machines[0].view = initial
	for range 3 {
		s.clients = append(s.clients, &client{})
	}
	return s
}

// fail records a violation, unless there was one before.
func (s *simulation) fail(format string, args ...any) {
	if s.err == nil {
		s.err = errors.Errorf(format, args...)
	}
}

// step executes one random event.
func (s *simulation) step() {
	m := s.machines[s.random.IntN(len(s.machines))]
	running := m.up && !m.suspended
	switch event := s.random.IntN(100); {
	case event < 68:
		s.deliverAny()
	case event < 78:
		s.submitAny(m, running)
	case event < 83:
		if running {
			s.resendPush(m)
		}
	case event < 84:
		if running {
			s.transferValue(m)
		}
	case event < 84+s.profile.viewChangePercent:
		if running {
			s.propose(m)
		}
	case event < 92:
		if running {
			s.read(m)
		}
	case event < 95:
		if to := s.machines[s.random.IntN(len(s.machines))]; running && m.view.Number > 0 {
			s.send(m, peerOf(to), viewMessage{m.view})
		}
	case event < 97:
		m.up = true
	case s.recovering:
	case event < 98:
		s.changeConnection(m)
	case event < 99:
		if s.random.IntN(2) == 0 {
			s.powerOff(m)
		}
	default:
		s.injectDisaster(m)
	}
}

var errNoProgress = errors.New("the newest value is not readable although all machines are running again")

// simulate executes a run of random events, then lets all machines recover, and returns the first
// violation.
func simulate(seed uint64, d defect, machines, steps int) (*simulation, error) {
	s := newSimulation(seed, d, machines)
	for range steps {
		if s.step(); s.err != nil {
			return s, s.err
		}
	}
	s.recovering = true
	for _, m := range s.machines {
		m.up, m.inboundCut, m.outboundCut, m.suspended = true, false, false, false
	}
	readsBefore := s.reads
	for i := 0; s.reads < readsBefore+3; i++ {
		if s.step(); s.err != nil {
			return s, s.err
		}
		if i > maxRecoverySteps {
			return s, errNoProgress
		}
	}
	return s, s.checkHistory()
}

func TestNoUpdateIsLostOrAppliedTwice(t *testing.T) {
	seeds, updates, views := 1500, 0, 0
	if testing.Short() {
		seeds = 300
	}
	for seed := range seeds {
		s, err := simulate(uint64(seed), noDefect, 4+seed%3, 2500)
		require.NoError(t, err, "seed %d", seed)
		updates += len(s.committed)
		views += len(s.decided)
	}
	require.Greater(t, updates, 4*seeds, "too few updates were committed")
	require.Greater(t, views, 5*seeds, "too few views were decided")
}

func TestSimulationFindsDefects(t *testing.T) {
	for d, name := range map[defect]string{
		acknowledgeEarly:        "an update is acknowledged before the tail has it",
		dropToIncompleteMembers: "the chain is reduced to incomplete members",
		answerFromStaleTail:     "a new tail answers at once",
		rejectForgottenUpdates:  "forgotten updates are rejected",
		keepIDAfterDiskLoss:     "a machine that lost its disk keeps its vote",
		acceptOlderValues:       "older values of a view are accepted",
		loseViews:               "views are not persisted",
		dropBelowRequiredLength: "the chain is too short",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range 20_000 {
				_, err := simulate(uint64(seed), d, 4+seed%3, 2500)
				// If a value is lost with the last disk that had it, the chain makes no progress. Only
				// dropBelowRequiredLength may be detected by that.
				if err != nil && (err != errNoProgress || d == dropBelowRequiredLength) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("the defect was not found")
		})
	}
}
