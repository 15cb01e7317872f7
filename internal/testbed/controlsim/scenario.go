package controlsim

import (
	"math/rand/v2"
	"time"
)

// ScenarioCount is the number of scenarios: one for each of the five points in which the operators describe their
// worst days.
const ScenarioCount = 5

const (
	// A seed has a large fleet if it is largeFleetEvery-1 modulo largeFleetEvery.
	largeFleetEvery = 16
	// A seed of scenario 4 makes well over a thousand updates if it is longRunEvery-1 modulo longRunEvery.
	longRunEvery = 8
	// recoveryTime is how long after a loss and its repair the fleet has to tolerate the next one.
	recoveryTime = 4 * time.Second
	// callWatchLead is how long before separated machines propose a next view the faults that follow its votes begin
	// to watch for calls.
	callWatchLead = 300 * time.Millisecond
)

// scenario determines a run. It follows from its number and the seed alone; the order of the random draws is part of
// it.
type scenario struct {
	number          int // 1 to ScenarioCount
	seed            uint64
	coreCount       int           // machines with a disk
	agentCount      int           // machines without
	toleratedLosses int           // of machines, at once
	faultDuration   time.Duration // faults begin in this time
	quietPeriod     time.Duration // time without faults that follows; the workload runs for half of it

	operatorCount     int
	serverCount       int
	maxHeartbeats     int // of a server before it drains
	echoClientCount   int
	updateInterval    time.Duration // mean pause between two operations of one operator
	readShare         float64       // of an operator's operations, 0 to 1
	lostResponseShare float64       // of the responses to updates, 0 to 1
	bodySize          int           // bytes of a configuration's padding
	bandwidth         int           // bytes per second and direction of a connection; 0: unlimited
	faults            []Fault
}

// newScenario derives the scenario of a number and a seed.
func newScenario(number int, seed uint64) scenario {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	s := scenario{number: number, seed: seed, coreCount: 3 + random.IntN(3), agentCount: 3 + random.IntN(4),
		toleratedLosses: 1, quietPeriod: 12 * time.Second, operatorCount: 2, serverCount: 2,
		updateInterval: 400 * time.Millisecond, readShare: 0.5, maxHeartbeats: 12}
	if seed%largeFleetEvery == largeFleetEvery-1 {
		s.coreCount, s.agentCount = 5+random.IntN(5), 20+random.IntN(21)
	}
	switch number {
	case 1:
		s.longPartition(random)
	case 2:
		s.concurrentUpdates(random)
	case 3:
		s.consecutiveLosses(random)
	case 4:
		s.catchUp(random)
	case 5:
		s.connectionResets(random)
	}
	return s
}

var (
	coreTargets = []Target{Head, Middle, Tail, Member}
	lossKinds   = []FaultKind{Kill, PowerLoss, Wipe, Replace, Terminate}
)

// pickOne picks one of several values with equal probability.
func pickOne[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }

// randomDuration is uniformly distributed from shortest up to, but not including, longest.
func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// newPartition is a partition of a machine of the core, in one direction or in both.
func (s *scenario) newPartition(random *rand.Rand, at, duration time.Duration) Fault {
	lost := pickOne(random, [2]bool{true, true}, [2]bool{true, false}, [2]bool{false, true})
	return Fault{Kind: Partition, Target: pickOne(random, coreTargets...), Index: random.IntN(s.coreCount), At: at,
		Duration: duration, Outbound: lost[0], Inbound: lost[1], Reject: random.IntN(3) == 0,
		IncludesAgents: random.IntN(2) == 0}
}

// longPartition is scenario 1: a machine of the core is partitioned for about twenty seconds, updates race when it
// returns, and it, or another one, is partitioned again.
func (s *scenario) longPartition(random *rand.Rand) {
	s.operatorCount, s.serverCount, s.maxHeartbeats = 3, 10, 2
	s.faultDuration = 34 * time.Second
	first := s.newPartition(random, randomDuration(random, 2*time.Second, 4*time.Second),
		randomDuration(random, 17*time.Second, 22*time.Second))
	firstEnd := first.At + first.Duration
	second := s.newPartition(random, firstEnd+randomDuration(random, 50*time.Millisecond, 4*time.Second),
		randomDuration(random, time.Second, 4*time.Second))
	if random.IntN(2) == 0 {
		second.Target, second.Index = Member, first.Index
	}
	s.faults = []Fault{first, second}
	for i := range random.IntN(4) { // agents that end just after their relay was partitioned: what they accepted must not be lost
		s.faults = append(s.faults, Fault{Kind: pickOne(random, Kill, PowerLoss), Target: Agent, Index: i,
			At:       first.At + randomDuration(random, 50*time.Millisecond, 900*time.Millisecond),
			Duration: randomDuration(random, time.Second, 3*time.Second)})
	}
}

// concurrentUpdates is scenario 2: operators race for the same revision and retry updates whose responses were lost,
// while the head changes.
func (s *scenario) concurrentUpdates(random *rand.Rand) {
	s.operatorCount, s.updateInterval, s.readShare, s.lostResponseShare = 5, 200*time.Millisecond, 0.25, 0.4
	s.faultDuration = 20 * time.Second
	if random.IntN(3) == 0 {
		s.competingProposers(random)
		return
	}
	for at := 2 * time.Second; at < s.faultDuration-4*time.Second; at += randomDuration(random, 2*time.Second, 5*time.Second) {
		f := s.newPartition(random, at, randomDuration(random, 300*time.Millisecond, 3*time.Second))
		f.Kind = pickOne(random, Partition, Kill, PowerLoss, Terminate, Pause, StallDisk)
		f.Target = pickOne(random, Head, Head, Middle, Tail)
		s.faults = append(s.faults, f)
	}
}

// competingProposers separates the ends of a chain of three, so that both propose a next view. The voter between them
// loses power just around its vote and is restarted at once; the head is isolated at the same time, so that only that
// vote knows what the head had decided.
func (s *scenario) competingProposers(random *rand.Rand) {
	s.coreCount = 3
	template := Fault{Kind: Partition, Target: Head, Outbound: true, Inbound: true}
	for at := 2 * time.Second; at < s.faultDuration-6*time.Second; at += 6 * time.Second {
		separation := template
		separation.Peer, separation.At, separation.Duration = Tail, at, randomDuration(random, 1500*time.Millisecond, 3*time.Second)
		isolation := template
		isolation.At = at + callWatchLead
		isolation.Duration = randomDuration(random, time.Second, 3*time.Second)
		isolation.IncludesAgents = random.IntN(2) == 0
		loss := Fault{Kind: PowerLoss, Target: Middle, At: at + callWatchLead,
			Duration: randomDuration(random, time.Millisecond, 60*time.Millisecond)}
		for _, f := range []*Fault{&isolation, &loss} {
			f.AfterCall, f.CallTarget = "core.accept", Middle
			f.Delay = randomDuration(random, 400*time.Microsecond, 5*time.Millisecond)
		}
		if random.IntN(4) == 0 {
			loss.AfterCall = pickOne(random, "core.prepare", "core.learn", "core.push")
		}
		s.faults = append(s.faults, separation, isolation, loss)
	}
}

// consecutiveLosses is scenario 3: each loss follows the repair of the one before by exactly recoveryTime, replacements
// fail, and members shut down.
func (s *scenario) consecutiveLosses(random *rand.Rand) {
	s.toleratedLosses = random.IntN(3)
	s.coreCount = max(3, 2*s.toleratedLosses+1+random.IntN(5))
	at := 4 * time.Second
	for range 4 {
		f := Fault{Kind: pickOne(random, lossKinds...), Target: pickOne(random, coreTargets...),
			Index: random.IntN(s.coreCount), At: at, Duration: randomDuration(random, 200*time.Millisecond, 4*time.Second)}
		s.faults = append(s.faults, f)
		if f.Kind == Replace && random.IntN(2) == 0 {
			s.faults = append(s.faults, Fault{Kind: PowerLoss, Target: Newest,
				At: at + f.Duration + randomDuration(random, 100*time.Millisecond, 3*time.Second), Duration: 2 * time.Second})
			at += 5 * time.Second
		}
		at += f.Duration + recoveryTime
		if f.Kind == Terminate {
			at += handoverTimeout
		}
	}
	s.faultDuration = at
}

// catchUp is scenario 4: hundreds of updates while machines restart, lose power and lose their disks.
func (s *scenario) catchUp(random *rand.Rand) {
	s.serverCount, s.operatorCount, s.readShare = 0, 1, 0.05
	s.faultDuration, s.updateInterval, s.bodySize = 30*time.Second, 50*time.Millisecond, 1<<10
	if s.seed%longRunEvery == longRunEvery-1 {
		s.faultDuration = 150 * time.Second
	}
	if random.IntN(4) == 0 {
		s.updateInterval, s.bodySize = 2*time.Second, 1<<20
	} else if random.IntN(2) == 0 {
		s.bandwidth = 640 << 10
	}
	for at := 2 * time.Second; at < s.faultDuration-8*time.Second; at += randomDuration(random, 4*time.Second, 8*time.Second) {
		f := Fault{Kind: pickOne(random, Kill, PowerLoss, Wipe, Replace, SlowDisk, FullDisk),
			Target: pickOne(random, coreTargets...), Index: random.IntN(s.coreCount), At: at,
			Duration: randomDuration(random, 200*time.Millisecond, 6*time.Second)}
		if random.IntN(4) == 0 {
			f.Kind, f.Target = Kill, Agent
		}
		s.faults = append(s.faults, f)
	}
	s.faults = append(s.faults, Fault{Kind: CoreOutage, Target: Head, At: s.faultDuration + time.Second,
		Duration: randomDuration(random, 200*time.Millisecond, 3*time.Second),
		Delay:    randomDuration(random, 0, 500*time.Millisecond)})
}

// connectionResets is scenario 5: connections between processes are reset, or their bytes delayed, while echo clients
// check which call each response belongs to.
func (s *scenario) connectionResets(random *rand.Rand) {
	s.echoClientCount, s.lostResponseShare = 4, 0.3
	s.faultDuration = 15 * time.Second
	for at := 2 * time.Second; at < s.faultDuration-3*time.Second; at += randomDuration(random, 100*time.Millisecond, 800*time.Millisecond) {
		f := s.newPartition(random, at, randomDuration(random, 20*time.Millisecond, 900*time.Millisecond))
		if f.Kind = pickOne(random, ResetConnections, ResetConnections, Partition); random.IntN(2) == 0 {
			f.Target = Agent
		}
		s.faults = append(s.faults, f)
	}
}
