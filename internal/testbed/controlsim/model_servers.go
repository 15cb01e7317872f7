package controlsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

const (
	// heartbeatTimeout bounds one call of a server.
	heartbeatTimeout = 950 * time.Millisecond
	// deregisterTimeout is how long a server repeats a drain or a leave without an answer.
	deregisterTimeout = 10 * time.Second
)

// modelServer is a model server: it beats at one agent, goes on at another one without an answer, drains,
// leaves, and comes back as a new incarnation.
type modelServer struct {
	sim    *simulation
	index  int
	random *rand.Rand
	agent  *process
	seq    uint64
}

// run goes on until ctx ends.
func (s *modelServer) run(ctx context.Context) {
	for life := 1; ctx.Err() == nil; life++ {
		id := fmt.Sprintf("server-%d-%d", s.index, life)
		for range 1 + s.random.IntN(s.sim.scenario.maxHeartbeats) {
			s.sendHeartbeat(ctx, id, registry.Ready)
			sleep(ctx, heartbeatInterval/2+time.Duration(s.random.Int64N(int64(heartbeatInterval))))
		}
		if s.retry(ctx, func() bool { return s.sendHeartbeat(ctx, id, registry.Draining) }) {
			s.sim.checker.drainAcknowledged(id)
			sleep(ctx, heartbeatInterval)
			s.retry(ctx, func() bool { return s.deregister(ctx, id) })
		}
	}
}

// retry makes a call until it is answered.
func (s *modelServer) retry(ctx context.Context, call func() bool) bool {
	for begun := time.Now(); ctx.Err() == nil && time.Since(begun) < deregisterTimeout; sleep(ctx, retryPause) {
		if call() {
			return true
		}
	}
	return false
}

func (s *modelServer) sendHeartbeat(ctx context.Context, id string, state registry.State) bool {
	s.seq++
	in := &registry.Instance{ID: id, Service: "service", Addr: fmt.Sprintf("10.1.0.%d:80", s.index+1), Zone: "z0", Slots: 4, State: state, Seq: s.seq}
	return s.call(ctx, func(ctx context.Context, p *process) bool { return p.relay.Heartbeat(ctx, in) })
}

func (s *modelServer) deregister(ctx context.Context, id string) bool {
	return s.call(ctx, func(ctx context.Context, p *process) bool { return p.relay.Deregister(ctx, id) })
}

// call makes one call at the server's agent; without an answer the next one goes to another agent.
func (s *modelServer) call(ctx context.Context, ask func(context.Context, *process) bool) bool {
	if s.agent == nil || s.agent.ended.Load() {
		s.agent = s.sim.pickProcess(s.random, s.agent)
	}
	p := s.agent
	if p == nil {
		return false
	}
	answered := externalCall(ctx, p, heartbeatTimeout, func(ctx context.Context) bool { return ask(ctx, p) })
	if !answered {
		s.agent = nil
	}
	return answered
}
