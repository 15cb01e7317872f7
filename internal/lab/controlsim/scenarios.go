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
	orderEvery  time.Duration // of one operator, on average
	readShare   float64
	lostAnswers float64
	bodySize    int
	bandwidth   int
	faults      []Fault
}

// newSetup is the run of a point and a seed.
func newSetup(point int, seed uint64) setup {
	random := rand.New(rand.NewPCG(seed, uint64(point)))
	s := setup{point: point, seed: seed, core: 3, agents: 4, losses: 1, settle: 12 * time.Second,
		operators: 1, orderEvery: 400 * time.Millisecond, readShare: 0.5}
	switch point {
	case 1:
		s.cutOff(random)
	}
	return s
}

// cutOff is point 1: a machine of the core is cut off for about twenty seconds, and again.
func (s *setup) cutOff(random *rand.Rand) {
	s.operators = 2
	s.length = 30 * time.Second
	places := []Place{Head, Middle, Tail, Member}
	ways := [][2]bool{{true, true}, {true, false}, {false, true}}
	way := ways[random.IntN(len(ways))]
	s.faults = append(s.faults, Fault{Kind: Cut, Place: places[random.IntN(len(places))], Index: random.IntN(s.core), At: between(random, 3*time.Second, 6*time.Second),
		For: between(random, 17*time.Second, 22*time.Second), Out: way[0], In: way[1], Loud: random.IntN(3) == 0, Wide: random.IntN(2) == 0})
}

// between is a time from a range.
func between(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)))
}
