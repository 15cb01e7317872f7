package controlsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

const (
	// beatWait bounds one call of a server.
	beatWait = 950 * time.Millisecond
	// leavePatience is how long a server repeats a drain or a leave without an answer.
	leavePatience = 10 * time.Second
)

// server is a model server: it beats at one agent, goes on at another one without an answer, drains,
// leaves, and comes back as a new incarnation.
type server struct {
	run    *run
	index  int
	random *rand.Rand
	home   *process
	seq    uint64
}

// work goes on until ctx ends.
func (s *server) work(ctx context.Context) {
	for life := 1; ctx.Err() == nil; life++ {
		id := fmt.Sprintf("server-%d-%d", s.index, life)
		for range 1 + s.random.IntN(s.run.setup.beatsAtMost) {
			s.beat(ctx, id, registry.Ready)
			pause(ctx, beatEvery/2+time.Duration(s.random.Int64N(int64(beatEvery))))
		}
		if s.repeat(ctx, func() bool { return s.beat(ctx, id, registry.Draining) }) {
			s.run.referee.drained(id)
			pause(ctx, beatEvery)
			s.repeat(ctx, func() bool { return s.leave(ctx, id) })
		}
	}
}

// repeat makes a call until it is answered.
func (s *server) repeat(ctx context.Context, call func() bool) bool {
	for begun := time.Now(); ctx.Err() == nil && time.Since(begun) < leavePatience; pause(ctx, repeatPause) {
		if call() {
			return true
		}
	}
	return false
}

func (s *server) beat(ctx context.Context, id string, state registry.State) bool {
	s.seq++
	in := &registry.Instance{ID: id, Service: "service", Addr: fmt.Sprintf("10.1.0.%d:80", s.index+1), Zone: "z0", Slots: 4, State: state, Seq: s.seq}
	return s.call(ctx, func(ctx context.Context, p *process) bool { return p.hub.Heartbeat(ctx, in) })
}

func (s *server) leave(ctx context.Context, id string) bool {
	return s.call(ctx, func(ctx context.Context, p *process) bool { return p.hub.Deregister(ctx, id) })
}

// call makes one call at the server's agent; without an answer the next one goes to another agent.
func (s *server) call(ctx context.Context, ask func(context.Context, *process) bool) bool {
	if s.home == nil || s.home.dead.Load() {
		s.home = s.run.pick(s.random, s.home)
	}
	p := s.home
	if p == nil {
		return false
	}
	answered := exchange(ctx, p, beatWait, func(ctx context.Context) bool { return ask(ctx, p) })
	if !answered {
		s.home = nil
	}
	return answered
}

// exchange makes a call from outside to a process. Its answer counts while the process lives, is not
// frozen and the caller waits.
func exchange(ctx context.Context, p *process, wait time.Duration, call func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	pause(ctx, callerDelay)
	if p.machine.host.awake(ctx) != nil || p.dead.Load() {
		return false
	}
	if !call(ctx) {
		return false
	}
	pause(ctx, callerDelay)
	return p.machine.host.awake(ctx) == nil && !p.dead.Load() && ctx.Err() == nil
}
