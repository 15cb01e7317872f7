package controlsim

import (
	"math/rand/v2"
	"time"
)

// Points are the operators' five points.
const Points = 5

// setup is what a run plays: it follows from the point and the seed.
type setup struct {
	point  int
	seed   uint64
	core   int // machines with a disk
	agents int
	losses int
	length time.Duration // of the faults
	settle time.Duration // quiet time after them

	operators   int
	servers     int
	beatsAtMost int // of a server before it drains
	callers     int
	orderEvery  time.Duration // of one operator, on average
	readShare   float64
	lostAnswers float64
	bodySize    int
	bandwidth   int
	faults      []Fault
}

// largeEvery is how often a seed's fleet is a large one.
const largeEvery = 16

// newSetup is the run of a point and a seed.
func newSetup(point int, seed uint64) setup {
	random := rand.New(rand.NewPCG(seed, uint64(point)))
	s := setup{point: point, seed: seed, core: 3 + random.IntN(3), agents: 3 + random.IntN(4), losses: 1, settle: 12 * time.Second,
		operators: 2, servers: 2, orderEvery: 400 * time.Millisecond, readShare: 0.5, beatsAtMost: 12}
	if seed%largeEvery == largeEvery-1 {
		s.core, s.agents = 5+random.IntN(5), 20+random.IntN(21)
	}
	switch point {
	case 1:
		s.cutOff(random)
	case 2:
		s.races(random)
	case 3:
		s.secondLoss(random)
	case 4:
		s.catchUp(random)
	case 5:
		s.resets(random)
	}
	return s
}

var (
	corePlaces = []Place{Head, Middle, Tail, Member}
	lossKinds  = []FaultKind{Kill, PowerLoss, Wipe, Replace, Terminate}
)

func one[T any](random *rand.Rand, of ...T) T { return of[random.IntN(len(of))] }

// between is a time from a range.
func between(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)))
}

// newCut is a cut of a machine of the core, both ways or one way.
func (s *setup) newCut(random *rand.Rand, at, lasts time.Duration) Fault {
	way := one(random, [2]bool{true, true}, [2]bool{true, false}, [2]bool{false, true})
	return Fault{Kind: Cut, Place: one(random, corePlaces...), Index: random.IntN(s.core), At: at, For: lasts,
		Out: way[0], In: way[1], Loud: random.IntN(3) == 0, Wide: random.IntN(2) == 0}
}

// cutOff is point 1: a machine of the core is cut off for about twenty seconds, orders race at its
// return, and it, or another one, is cut off again.
func (s *setup) cutOff(random *rand.Rand) {
	s.operators, s.servers, s.beatsAtMost = 3, 10, 2
	s.length = 34 * time.Second
	first := s.newCut(random, between(random, 2*time.Second, 4*time.Second), between(random, 17*time.Second, 22*time.Second))
	again := s.newCut(random, first.At+first.For+between(random, 50*time.Millisecond, 4*time.Second), between(random, time.Second, 4*time.Second))
	if random.IntN(2) == 0 {
		again.Place, again.Index = Member, first.Index
	}
	s.faults = []Fault{first, again}
	for i := range random.IntN(4) { // agents that end just after their hub was cut off: what they took has to be known
		s.faults = append(s.faults, Fault{Kind: one(random, Kill, PowerLoss), Place: Agent, Index: i, At: first.At + between(random, 50*time.Millisecond, 900*time.Millisecond),
			For: between(random, time.Second, 3*time.Second)})
	}
}

// races is point 2: operators race under one number and repeat orders whose answers were lost, while
// the head changes.
func (s *setup) races(random *rand.Rand) {
	s.operators, s.orderEvery, s.readShare, s.lostAnswers = 5, 200*time.Millisecond, 0.25, 0.4
	s.length = 20 * time.Second
	if random.IntN(3) == 0 {
		s.duels(random)
		return
	}
	for at := 2 * time.Second; at < s.length-4*time.Second; at += between(random, 2*time.Second, 5*time.Second) {
		f := s.newCut(random, at, between(random, 300*time.Millisecond, 3*time.Second))
		f.Kind = one(random, Cut, Kill, PowerLoss, Terminate, Freeze, StallDisk)
		f.Place = one(random, Head, Head, Middle, Tail)
		s.faults = append(s.faults, f)
	}
}

// duels cuts the ends of a chain of three from each other, so that both want a next view. The voter
// between them loses power in the moments of its vote and comes back at once; the head is cut off from
// all in the same moments, so that only that vote knows what it had decided.
func (s *setup) duels(random *rand.Rand) {
	s.core = 3
	both := Fault{Kind: Cut, Place: Head, Out: true, In: true}
	for at := 2 * time.Second; at < s.length-6*time.Second; at += 6 * time.Second {
		apart := both
		apart.Peer, apart.At, apart.For = Tail, at, between(random, 1500*time.Millisecond, 3*time.Second)
		lone := both
		lone.At, lone.For, lone.Wide = at+duelLead, between(random, time.Second, 3*time.Second), random.IntN(2) == 0
		loss := Fault{Kind: PowerLoss, Place: Middle, At: at + duelLead, For: between(random, time.Millisecond, 60*time.Millisecond)}
		for _, f := range []*Fault{&lone, &loss} {
			f.On, f.OnAt, f.Lag = "core.accept", Middle, between(random, 400*time.Microsecond, 5*time.Millisecond)
		}
		if random.IntN(4) == 0 {
			loss.On = one(random, "core.prepare", "core.learn", "core.push")
		}
		s.faults = append(s.faults, apart, lone, loss)
	}
}

// duelLead is how long before the machines that are cut apart want a next view the faults that follow
// its votes begin to wait.
const duelLead = 300 * time.Millisecond

// settleTime is how long after a loss and its repair the fleet bears the next one.
const settleTime = 4 * time.Second

// secondLoss is point 3: losses that follow each other at exactly settleTime after what came back, a
// replacement whose new machine dies, members that end by themselves.
func (s *setup) secondLoss(random *rand.Rand) {
	s.losses = random.IntN(3)
	s.core = max(3, 2*s.losses+1+random.IntN(5))
	at := 4 * time.Second
	for range 4 {
		f := Fault{Kind: one(random, lossKinds...), Place: one(random, corePlaces...), Index: random.IntN(s.core), At: at, For: between(random, 200*time.Millisecond, 4*time.Second)}
		s.faults = append(s.faults, f)
		if f.Kind == Replace && random.IntN(2) == 0 {
			s.faults = append(s.faults, Fault{Kind: PowerLoss, Place: Newest, At: at + f.For + between(random, 100*time.Millisecond, 3*time.Second), For: 2 * time.Second})
			at += 5 * time.Second
		}
		at += f.For + settleTime
		if f.Kind == Terminate {
			at += endGrace
		}
	}
	s.length = at
}

// longEvery is how often a seed of point 4 makes well over a thousand changes.
const longEvery = 8

// catchUp is point 4: hundreds of changes with restarts, wipes and losses of power meanwhile.
func (s *setup) catchUp(random *rand.Rand) {
	s.servers, s.operators, s.readShare = 0, 1, 0.05
	s.length, s.orderEvery, s.bodySize = 30*time.Second, 50*time.Millisecond, 1<<10
	if s.seed%longEvery == longEvery-1 {
		s.length = 150 * time.Second
	}
	if random.IntN(4) == 0 {
		s.orderEvery, s.bodySize = 2*time.Second, 1<<20
	} else if random.IntN(2) == 0 {
		s.bandwidth = 640 << 10
	}
	for at := 2 * time.Second; at < s.length-8*time.Second; at += between(random, 4*time.Second, 8*time.Second) {
		f := Fault{Kind: one(random, Kill, PowerLoss, Wipe, Replace, SlowDisk, FullDisk), Place: one(random, corePlaces...), Index: random.IntN(s.core),
			At: at, For: between(random, 200*time.Millisecond, 6*time.Second)}
		if random.IntN(4) == 0 {
			f.Kind, f.Place = Kill, Agent
		}
		s.faults = append(s.faults, f)
	}
	s.faults = append(s.faults, Fault{Kind: Blackout, Place: Head, At: s.length + time.Second, For: between(random, 200*time.Millisecond, 3*time.Second),
		Lag: between(random, 0, 500*time.Millisecond)})
}

// resets is point 5: connections between processes are reset, hold their bytes up and bring them late,
// while calls run whose answers tell whose they are.
func (s *setup) resets(random *rand.Rand) {
	s.callers, s.lostAnswers = 4, 0.3
	s.length = 15 * time.Second
	for at := 2 * time.Second; at < s.length-3*time.Second; at += between(random, 100*time.Millisecond, 800*time.Millisecond) {
		f := s.newCut(random, at, between(random, 20*time.Millisecond, 900*time.Millisecond))
		if f.Kind = one(random, Reset, Reset, Cut); random.IntN(2) == 0 {
			f.Place = Agent
		}
		s.faults = append(s.faults, f)
	}
}
