package view

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The times of the control plane (package controlplane) and of its settings, and the extent of the test.
const (
	tickInterval   = 100 * time.Millisecond
	contactTimeout = 400 * time.Millisecond
	proposalPhase  = 500 * time.Millisecond
	proposerDelay  = 400 * time.Millisecond
	recoveryTime   = 4 * time.Second         // bounds.settle-s: a loss counts until this long after its end
	ackTime        = 4 * time.Second         // bounds.ack-ms
	shutdownGrace  = 7300 * time.Millisecond // from SIGTERM to the end of a shutdown
	maxIdleChecks  = 10                      // a shutdown ends after this many checks without anything to do

	faultsPerRun  = 4
	seedCount     = 2000
	seedCountRace = 60
)

// defect is a deliberate defect in planning that the simulation has to detect.
type defect int

const (
	noDefect defect = iota
	ignoreRequiredSpread
	countIncompleteMembers
	replacePresentVoter
	addVoterWhileOneIsAbsent
	keepLeavingVoter
	discardOlderReports // reports that a member sent in an older view are ignored
)

// simulation is a control plane in simulated time. Its machines plan, vote and propose with the code of
// this package.
type simulation struct {
	random       *rand.Rand
	defect       defect
	tolerance    Tolerance
	shortfall    Shortfall     // the shortfall of the initial voters
	transferTime time.Duration // how long it takes until a joining member has the value
	now          time.Duration // time since the start of the simulation
	machines     []*machine
	lastName     int

	decided      map[uint64]View // by number
	newest       View            // the decided view with the highest number
	ackedSeq     int             // number of the newest acknowledged update
	decidedSteps map[StepKind]int
	stoppedAt    map[string]time.Duration // when each peer last stopped, by ID

	log             []string
	failure         string        // the first violation; empty if there is none
	slowestRecovery time.Duration // longest time from the end of a fault until all losses were tolerated again
}

// newSimulation starts a control plane with a random number of machines, zones, regions and losses to
// tolerate.
func newSimulation(seed uint64, defect defect) *simulation {
	s := &simulation{
		random:       rand.New(rand.NewPCG(seed, 22)),
		defect:       defect,
		decided:      map[uint64]View{},
		decidedSteps: map[StepKind]int{},
		stoppedAt:    map[string]time.Duration{},
	}
	zones := 1 + s.random.IntN(5)
	regions := 1 + s.random.IntN(3)
	s.tolerance = Tolerance{Machines: s.random.IntN(3), Zones: s.random.IntN(2), Regions: s.random.IntN(2)}
	s.transferTime = time.Duration(s.random.IntN(10)) * tickInterval
	var discovered []Peer
	even, machines := s.random.IntN(2) == 0, 1+s.random.IntN(9)
	if s.random.IntN(4) == 0 { // enough machines for voters on standby in each zone
		even, machines, zones, s.tolerance.Zones = true, 6+s.random.IntN(4), 3, 1
	}
	for i := range machines {
		zone := s.random.IntN(zones)
		if even {
			zone = i % zones
		}
		discovered = append(discovered, s.addMachine(fmt.Sprint("z", zone), fmt.Sprint("r", zone%regions)).peer)
	}
	s.newest, _ = InitialView(discovered, s.tolerance)
	s.shortfall = s.newest.Shortfall(s.tolerance)
	s.decided[1] = s.newest
	for _, m := range s.machines {
		s.start(m, false)
		s.learnView(m, s.newest)
	}
	s.logf("%d machines, %+v, shortfall %+v, voters %s",
		len(discovered), s.tolerance, s.shortfall, joinIDs(s.newest.Voters))
	return s
}

// fail records a violation, unless there was one before.
func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

func (s *simulation) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%6d ms ", s.now.Milliseconds())+fmt.Sprintf(format, args...))
}

func (s *simulation) policy() Policy {
	policy := testPolicy
	policy.Tolerance = s.tolerance
	return policy
}

// tick advances the simulation by one interval. It reports whether any machine has something to do.
func (s *simulation) tick() (busy bool) {
	s.now += tickInterval
	for _, m := range s.machines {
		m.connectedTo = m.connectedTo[:0:0]
		for _, voter := range m.view.Voters {
			if m.up && m.isConnected(voter.ID, s.now) {
				m.connectedTo = append(m.connectedTo, voter.ID)
			}
		}
	}
	for i, a := range s.machines {
		for _, b := range s.machines[i+1:] {
			if s.random.IntN(50) > 0 {
				s.exchangeReports(a, b)
			}
		}
	}
	s.pushValues()
	s.transferValues()
	for _, m := range s.machines {
		if m.up {
			busy = s.repair(m) || busy
		}
	}
	return busy
}

// run advances the simulation by a duration, or until the first violation.
func (s *simulation) run(duration time.Duration) {
	for end := s.now + duration; s.now < end && s.failure == ""; {
		s.tick()
	}
}

// simulate runs the simulation of a seed until a violation or to its end.
func simulate(seed uint64, defect defect) *simulation {
	s := newSimulation(seed, defect)
	s.run(2 * time.Second)
	for range faultsPerRun {
		if s.failure != "" {
			break
		}
		s.injectFault()
		s.requireRecovery()
	}
	return s
}

// simulationResult is the combined result of the simulations of several seeds.
type simulationResult struct {
	firstFailed     *simulation // the failed simulation with the lowest seed; nil if none failed
	seed            uint64      // the seed of firstFailed
	slowestRecovery time.Duration
	decidedSteps    map[StepKind]int
}

func (r *simulationResult) add(seed uint64, s *simulation) {
	r.slowestRecovery = max(r.slowestRecovery, s.slowestRecovery)
	for kind, n := range s.decidedSteps {
		r.decidedSteps[kind] += n
	}
	if s.failure != "" && (r.firstFailed == nil || seed < r.seed) {
		r.firstFailed, r.seed = s, seed
	}
}

// simulateSeeds simulates a range of seeds in a few goroutines until one fails.
func simulateSeeds(from, seeds uint64, defect defect) *simulationResult {
	const workers = 6
	result := &simulationResult{decidedSteps: map[StepKind]int{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for worker := range uint64(workers) {
		wg.Go(func() {
			for seed := from + worker; seed < from+seeds; seed += workers {
				mu.Lock()
				stop := result.firstFailed != nil && result.seed < seed
				mu.Unlock()
				if stop {
					return
				}
				s := simulate(seed, defect)
				mu.Lock()
				result.add(seed, s)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return result
}

func seedsToRun() uint64 {
	if raceEnabled {
		return seedCountRace
	}
	return seedCount
}

// With CHALKDOOR_VIEW_SEED=N the test simulates only the seed N and prints its log.
func TestPlanToleratesSimulatedLosses(t *testing.T) {
	if seed, err := strconv.ParseUint(os.Getenv("CHALKDOOR_VIEW_SEED"), 10, 64); err == nil {
		s := simulate(seed, noDefect)
		t.Log(strings.Join(s.log, "\n"))
		require.Empty(t, s.failure)
		return
	}
	r := simulateSeeds(0, seedsToRun(), noDefect)
	if r.firstFailed != nil {
		require.FailNow(t, r.firstFailed.failure, "seed %d\n%s", r.seed, strings.Join(r.firstFailed.log, "\n"))
	}
	for _, kind := range []StepKind{
		MemberRemoval, MemberAddition, VoterReplacement, VoterAddition, VoterRemoval, CompleteUndecided,
	} {
		require.Positive(t, r.decidedSteps[kind], "no step was of this kind: %s", kind)
	}
	require.Less(t, r.slowestRecovery, recoveryTime)
	t.Logf("%d seeds, steps %v, slowest recovery from a fault %v", seedsToRun(), r.decidedSteps, r.slowestRecovery)
}

func TestSimulationFindsDefects(t *testing.T) {
	for name, defect := range map[string]defect{
		"the required spread is ignored":         ignoreRequiredSpread,
		"incomplete members are counted":         countIncompleteMembers,
		"a present voter is replaced":            replacePresentVoter,
		"a voter is added while one is absent":   addVoterWhileOneIsAbsent,
		"the last report of a member is ignored": discardOlderReports,
		"a leaving voter stays a voter":          keepLeavingVoter,
	} {
		t.Run(name, func(t *testing.T) {
			from := uint64(0)
			if defect == discardOlderReports {
				from = 400 // few seeds detect this defect
			}
			r := simulateSeeds(from, seedCountRace, defect)
			require.NotNil(t, r.firstFailed)
			t.Logf("seed %d: %s", r.seed, r.firstFailed.failure)
		})
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	for seed := range uint64(20) {
		require.Equal(t, simulate(seed, noDefect).log, simulate(seed, noDefect).log, "seed %d", seed)
	}
}
