package controlsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

const (
	// heartbeatTimeout bounds a call by a server.
	heartbeatTimeout = 950 * time.Millisecond
	// deregisterTimeout bounds the retries of a drain or a deregistration.
	deregisterTimeout = 10 * time.Second
)

// modelServer sends heartbeats to an agent, switches to another agent after a call without a response, drains,
// deregisters, and starts again as a new instance.
type modelServer struct {
	sim    *simulation
	index  int
	random *rand.Rand
	agent  *process   // nil if the next call picks an agent
	seq    uint64     // of the last heartbeat
	api    *apiClient // nil if the server calls the backend of the control API
}

// newModelServer returns the server with an index.
func newModelServer(s *simulation, index int) *modelServer {
	server := &modelServer{sim: s, index: index, random: s.newRandom("server", index)}
	if s.scenario.overHTTP {
		server.api = newAPIClient(s, "server", index)
	}
	return server
}

// run runs one instance after the other until ctx ends.
func (s *modelServer) run(ctx context.Context) {
	if s.api != nil {
		defer s.api.Close()
	}
	for incarnation := 1; ctx.Err() == nil; incarnation++ {
		id := fmt.Sprintf("server-%d-%d", s.index, incarnation)
		for range 1 + s.random.IntN(s.sim.scenario.maxHeartbeats) {
			if ctx.Err() != nil {
				return
			}
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

// retry repeats a call until there is a response. It returns false if there is none within deregisterTimeout.
func (s *modelServer) retry(ctx context.Context, call func() bool) bool {
	for startedAt := time.Now(); ctx.Err() == nil && time.Since(startedAt) < deregisterTimeout; sleep(ctx, retryPause) {
		if call() {
			return true
		}
	}
	return false
}

func (s *modelServer) sendHeartbeat(ctx context.Context, id string, state registry.State) bool {
	s.seq++
	instance := &registry.Instance{ID: id, Service: "service", Addr: fmt.Sprintf("10.1.0.%d:80", s.index+1), Zone: "z0",
		Slots: 4, State: state, Seq: s.seq}
	if s.api != nil {
		return s.callAgent(func(agent *process) bool { return s.api.heartbeat(ctx, agent, instance) })
	}
	return s.callBackend(ctx, func(ctx context.Context, agent *process) bool {
		return agent.relay.Heartbeat(ctx, instance)
	})
}

func (s *modelServer) deregister(ctx context.Context, id string) bool {
	if s.api != nil {
		return s.callAgent(func(agent *process) bool { return s.api.deregister(ctx, agent, id) })
	}
	return s.callBackend(ctx, func(ctx context.Context, agent *process) bool { return agent.relay.Deregister(ctx, id) })
}

// callBackend calls the backend of the control API at the server's agent.
func (s *modelServer) callBackend(ctx context.Context, call func(context.Context, *process) bool) bool {
	return s.callAgent(func(agent *process) bool {
		return externalCall(ctx, agent, heartbeatTimeout, func(ctx context.Context) bool { return call(ctx, agent) })
	})
}

// callAgent makes one call to the server's agent. If there is no response, the next call goes to another agent.
func (s *modelServer) callAgent(call func(agent *process) bool) bool {
	if s.agent == nil || s.agent.ended.Load() {
		s.agent = s.sim.pickProcess(s.random, s.agent)
	}
	agent := s.agent
	if agent == nil {
		return false
	}
	answered := call(agent)
	if !answered {
		s.agent = nil
	}
	return answered
}
