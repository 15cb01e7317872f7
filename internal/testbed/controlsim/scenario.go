package controlsim

import (
	"math/rand/v2"
	"time"
)

// ScenarioCount are the operators' five points.
const ScenarioCount = 5

// scenario is what a run plays: it follows from the point and the seed.
type scenario struct {
	number          int
	seed            uint64
	coreCount       int // machines with a disk
	agentCount      int
	toleratedLosses int
	faultDuration   time.Duration // of the faults
	quietPeriod     time.Duration // quiet time after them

	operatorCount     int
	serverCount       int
	maxHeartbeats     int // of a server before it drains
	echoClientCount   int
	updateInterval    time.Duration // of one operator, on average
	readShare         float64
	lostResponseShare float64
	bodySize          int
	bandwidth         int
	faults            []Fault
}

// largeFleetEvery is how often a seed's fleet is a large one.
const largeFleetEvery = 16

// newScenario is the run of a point and a seed.
func newScenario(point int, seed uint64) scenario {
	random := rand.New(rand.NewPCG(seed, uint64(point)))
	s := scenario{number: point, seed: seed, coreCount: 3 + random.IntN(3), agentCount: 3 + random.IntN(4), toleratedLosses: 1, quietPeriod: 12 * time.Second,
		operatorCount: 2, serverCount: 2, updateInterval: 400 * time.Millisecond, readShare: 0.5, maxHeartbeats: 12}
	if seed%largeFleetEvery == largeFleetEvery-1 {
		s.coreCount, s.agentCount = 5+random.IntN(5), 20+random.IntN(21)
	}
	switch point {
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

func pickOne[T any](random *rand.Rand, of ...T) T { return of[random.IntN(len(of))] }

// randomDuration is a time from a range.
func randomDuration(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)))
}

// newPartition is a cut of a machine of the core, both ways or one way.
func (s *scenario) newPartition(random *rand.Rand, at, lasts time.Duration) Fault {
	way := pickOne(random, [2]bool{true, true}, [2]bool{true, false}, [2]bool{false, true})
	return Fault{Kind: Partition, Target: pickOne(random, coreTargets...), Index: random.IntN(s.coreCount), At: at, Duration: lasts,
		Outbound: way[0], Inbound: way[1], Reject: random.IntN(3) == 0, IncludesAgents: random.IntN(2) == 0}
}

// longPartition is point 1: a machine of the core is cut off for about twenty seconds, orders race at its
// return, and it, or another one, is cut off again.
func (s *scenario) longPartition(random *rand.Rand) {
	s.operatorCount, s.serverCount, s.maxHeartbeats = 3, 10, 2
	s.faultDuration = 34 * time.Second
	first := s.newPartition(random, randomDuration(random, 2*time.Second, 4*time.Second), randomDuration(random, 17*time.Second, 22*time.Second))
	again := s.newPartition(random, first.At+first.Duration+randomDuration(random, 50*time.Millisecond, 4*time.Second), randomDuration(random, time.Second, 4*time.Second))
	if random.IntN(2) == 0 {
		again.Target, again.Index = Member, first.Index
	}
	s.faults = []Fault{first, again}
	for i := range random.IntN(4) { // agents that end just after their hub was cut off: what they took has to be known
		s.faults = append(s.faults, Fault{Kind: pickOne(random, Kill, PowerLoss), Target: Agent, Index: i, At: first.At + randomDuration(random, 50*time.Millisecond, 900*time.Millisecond),
			Duration: randomDuration(random, time.Second, 3*time.Second)})
	}
}

// concurrentUpdates is point 2: operators race under one number and repeat orders whose answers were lost, while
// the head changes.
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

// competingProposers cuts the ends of a chain of three from each other, so that both want a next view. The voter
// between them loses power in the moments of its vote and comes back at once; the head is cut off from
// all in the same moments, so that only that vote knows what it had decided.
func (s *scenario) competingProposers(random *rand.Rand) {
	s.coreCount = 3
	both := Fault{Kind: Partition, Target: Head, Outbound: true, Inbound: true}
	for at := 2 * time.Second; at < s.faultDuration-6*time.Second; at += 6 * time.Second {
		apart := both
		apart.Peer, apart.At, apart.Duration = Tail, at, randomDuration(random, 1500*time.Millisecond, 3*time.Second)
		lone := both
		lone.At, lone.Duration, lone.IncludesAgents = at+callWatchLead, randomDuration(random, time.Second, 3*time.Second), random.IntN(2) == 0
		loss := Fault{Kind: PowerLoss, Target: Middle, At: at + callWatchLead, Duration: randomDuration(random, time.Millisecond, 60*time.Millisecond)}
		for _, f := range []*Fault{&lone, &loss} {
			f.AfterCall, f.CallTarget, f.Delay = "core.accept", Middle, randomDuration(random, 400*time.Microsecond, 5*time.Millisecond)
		}
		if random.IntN(4) == 0 {
			loss.AfterCall = pickOne(random, "core.prepare", "core.learn", "core.push")
		}
		s.faults = append(s.faults, apart, lone, loss)
	}
}

// callWatchLead is how long before the machines that are cut apart want a next view the faults that follow
// its votes begin to wait.
const callWatchLead = 300 * time.Millisecond

// recoveryTime is how long after a loss and its repair the fleet bears the next one.
const recoveryTime = 4 * time.Second

// consecutiveLosses is point 3: losses that follow each other at exactly recoveryTime after what came back, a
// replacement whose new machine dies, members that end by themselves.
func (s *scenario) consecutiveLosses(random *rand.Rand) {
	s.toleratedLosses = random.IntN(3)
	s.coreCount = max(3, 2*s.toleratedLosses+1+random.IntN(5))
	at := 4 * time.Second
	for range 4 {
		f := Fault{Kind: pickOne(random, lossKinds...), Target: pickOne(random, coreTargets...), Index: random.IntN(s.coreCount), At: at, Duration: randomDuration(random, 200*time.Millisecond, 4*time.Second)}
		s.faults = append(s.faults, f)
		if f.Kind == Replace && random.IntN(2) == 0 {
			s.faults = append(s.faults, Fault{Kind: PowerLoss, Target: Newest, At: at + f.Duration + randomDuration(random, 100*time.Millisecond, 3*time.Second), Duration: 2 * time.Second})
			at += 5 * time.Second
		}
		at += f.Duration + recoveryTime
		if f.Kind == Terminate {
			at += handoverTimeout
		}
	}
	s.faultDuration = at
}

// longRunEvery is how often a seed of point 4 makes well over a thousand changes.
const longRunEvery = 8

// catchUp is point 4: hundreds of changes with restarts, wipes and losses of power meanwhile.
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
		f := Fault{Kind: pickOne(random, Kill, PowerLoss, Wipe, Replace, SlowDisk, FullDisk), Target: pickOne(random, coreTargets...), Index: random.IntN(s.coreCount),
			At: at, Duration: randomDuration(random, 200*time.Millisecond, 6*time.Second)}
		if random.IntN(4) == 0 {
			f.Kind, f.Target = Kill, Agent
		}
		s.faults = append(s.faults, f)
	}
	s.faults = append(s.faults, Fault{Kind: CoreOutage, Target: Head, At: s.faultDuration + time.Second, Duration: randomDuration(random, 200*time.Millisecond, 3*time.Second),
		Delay: randomDuration(random, 0, 500*time.Millisecond)})
}

// connectionResets is point 5: connections between processes are reset, hold their bytes up and bring them late,
// while calls run whose answers tell whose they are.
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
