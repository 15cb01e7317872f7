package hollownode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// server is a model server, as far as the registry knows it.
type server struct {
	host          *Host
	number        int
	nodeIndex     int // of the node that it sends heartbeats to
	incarnation   int
	seq           uint64
	drainRequests chan chan drainResult
}

func (s *server) id() string { return fmt.Sprintf("i-%05d-%02d", s.number, s.incarnation) }

// instance is the next heartbeat of the server.
func (s *server) instance(state registry.State) *registry.Instance {
	s.seq++
	return &registry.Instance{ID: s.id(), Service: fmt.Sprintf("service-%d", s.number%max(s.host.plan.Services, 1)),
		Addr: fmt.Sprintf("10.128.%d.%d:8080", s.number/250, s.number%250), Zone: fmt.Sprintf("zone-%d", s.number%5), Revision: "v1", Slots: 64,
		State: state, Seq: s.seq, Models: []registry.Model{{Name: fmt.Sprintf("model-%d", s.number%6), Revision: 1}}}
}

// sendHeartbeat sends a heartbeat to the server's node, or to the next ones until one answers.
func (s *server) sendHeartbeat(ctx context.Context, state registry.State) bool {
	instance := s.instance(state)
	for range s.host.nodes {
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		ok := s.host.nodes[s.nodeIndex%len(s.host.nodes)].heartbeat(callCtx, instance)
		cancel()
		if ok {
			s.host.answeredHeartbeats.Add(1)
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		s.nodeIndex++
	}
	return false
}

// run sends heartbeats and drains on request until ctx ends.
func (s *server) run(ctx context.Context) {
	heartbeat := time.NewTimer(rand.N(s.host.plan.HeartbeatInterval)) // servers must not be synchronized
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			s.sendHeartbeat(ctx, registry.Ready)
			period := float64(s.host.plan.HeartbeatInterval)
			heartbeat.Reset(time.Duration(period * (1 + heartbeatJitter*(rand.Float64()-0.5))))
		case answer := <-s.drainRequests:
			result := drainResult{id: s.id()}
			if s.sendHeartbeat(ctx, registry.Draining) {
				result.ackedAt = now()
			}
			answer <- result
			if !s.deregister(ctx) {
				return
			}
		}
	}
}

// deregister ends the incarnation after its drain and starts the next one. It returns false if ctx ends first.
func (s *server) deregister(ctx context.Context) bool {
	for _, wait := range []time.Duration{drainDuration, restartDelay} {
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return false
		}
		if running := s.host.nodes[s.nodeIndex%len(s.host.nodes)].running(); running != nil && wait == drainDuration {
			callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			running.relay.Deregister(callCtx, s.id())
			cancel()
		}
	}
	s.incarnation++
	s.seq = 0
	return true
}

// requestDrain makes the server drain, and fills in the reply.
func (s *server) requestDrain(ctx context.Context, a *Reply) error {
	answer := make(chan drainResult, 1)
	select {
	case s.drainRequests <- answer:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "server %d is busy", s.number)
	}
	select {
	case d := <-answer:
		a.ID, a.At = d.id, d.ackedAt
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drainResult is the outcome of a drain.
type drainResult struct {
	id      string
	ackedAt time.Duration // 0: not acknowledged
}
