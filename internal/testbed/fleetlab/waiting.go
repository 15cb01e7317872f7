package fleetlab

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
)

// WaitAllReady waits until all agents are ready according to the load balancer.
func (f *Fleet) WaitAllReady(ctx context.Context) error {
	if err := f.LoadBalancer.WaitReady(ctx, func(ready map[string]bool) bool { return len(ready) == len(f.Agents) }); err != nil {
		return errors.Wrapf(err, "%d of %d agents are ready", len(f.LoadBalancer.Ready()), len(f.Agents))
	}
	return nil
}

// WaitServing waits until all servers are registered and all agents are ready and serve each class.
func (f *Fleet) WaitServing(ctx context.Context) error {
	for i := range f.cfg.Servers {
		select {
		case <-f.Server(i).Registered():
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "server %d is not registered: no heartbeat was acknowledged", i+1)
		}
	}
	if err := f.WaitAllReady(ctx); err != nil {
		return err
	}
	errs := make(chan error, len(f.Agents)*len(f.cfg.Classes))
	for _, a := range f.Agents {
		for _, c := range f.cfg.Classes {
			f.background.Go(func() { errs <- f.waitServing(ctx, a, c) })
		}
	}
	for range cap(errs) {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// waitServing sends requests of a class to an agent until it serves one.
func (f *Fleet) waitServing(ctx context.Context, a *Agent, c *Class) error {
	for {
		attempt := f.Probe(ctx, a, c)
		if attempt.Status == 200 && attempt.Complete {
			return nil
		}
		timer := time.NewTimer(defaultRetryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return errors.Wrapf(ctx.Err(), "%s does not serve %s: status %d, %v %s", a.Name, c.Name, attempt.Status, attempt.EndReason, attempt.ProtocolError)
		}
	}
}

// WaitStreams waits until n of the streams in progress satisfy a condition.
func (f *Fleet) WaitStreams(ctx context.Context, n int, condition func(Stream) bool) error {
	for {
		list, changed := f.recorder.streams()
		matching := 0
		for _, s := range list {
			if condition(s) {
				matching++
			}
		}
		if matching >= n {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d of %d streams match", matching, n)
		}
	}
}

// Probe sends one request of a class directly to an agent, without the load balancer and without retries.
func (f *Fleet) Probe(ctx context.Context, a *Agent, c *Class) *Attempt {
	n := int(f.probeCount.Add(1))
	clients := newClients([]*Class{c}, nil, f.Now, f.recorder, f.cfg.Seed, f.zones, "p")
	request := clients.newRequest(&loadgen.PlannedRequest{Number: n})
	endpoint := a.Endpoint()
	attempt := &Attempt{ID: fmt.Sprintf("p%06x", n), Agent: a.IP, Class: "probe", Method: "POST", Host: c.Host, Target: fmt.Sprintf("%sgen?p=%d", c.Path, n),
		Prompt: request.prompt, Idempotent: c.Resumable, Resumable: c.Resumable, StartedAt: f.Now(), Timeout: c.Timeout}
	attempt.Deadline = attempt.StartedAt + c.Deadline
	conn, _, err := dial(ctx, &endpoint)
	if err != nil {
		attempt.EndReason, attempt.EndedAt = NoConnect, f.Now()
	} else {
		conn.exchange(ctx, f.Now, attempt, request.body, false, c.idleTimeout())
		conn.Close()
	}
	f.recorder.attemptEnded(attempt)
	return attempt
}
