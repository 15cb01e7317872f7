package fleetlab

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
)

// WaitAllReady waits until the load balancer finds all agents ready.
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
			return errors.Wrapf(ctx.Err(), "server %d: no heartbeat was acknowledged", i+1)
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
		t := f.Probe(ctx, a, c)
		if t.Status == 200 && t.Complete {
			return nil
		}
		timer := time.NewTimer(defaultRetryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return errors.Wrapf(ctx.Err(), "%s does not serve %s: status %d, %v %s", a.Name, c.Name, t.Status, t.EndReason, t.ProtocolError)
		}
	}
}

// WaitStreams waits until n of the streams in progress satisfy a condition.
func (f *Fleet) WaitStreams(ctx context.Context, n int, want func(Stream) bool) error {
	for {
		list, more := f.recorder.streams()
		got := 0
		for _, s := range list {
			if want(s) {
				got++
			}
		}
		if got >= n {
			return nil
		}
		select {
		case <-more:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d of %d streams", got, n)
		}
	}
}

// Probe sends one request of a class directly to an agent, without the load balancer and without retries.
func (f *Fleet) Probe(ctx context.Context, a *Agent, c *Class) *Attempt {
	n := int(f.probeCount.Add(1))
	clients := newClients([]*Class{c}, nil, f.Now, f.recorder, f.cfg.Seed, f.zones, "p")
	of := clients.newRequest(&loadgen.Ask{Number: n})
	d := a.Endpoint()
	t := &Attempt{ID: fmt.Sprintf("p%06x", n), Agent: a.IP, Class: "probe", Method: "POST", Host: c.Host, Target: fmt.Sprintf("%sgen?p=%d", c.Path, n),
		Prompt: of.prompt, Idempotent: c.Resumable, Resumable: c.Resumable, StartedAt: f.Now(), Timeout: c.Timeout}
	t.Deadline = t.StartedAt + c.Deadline
	k, _, err := dial(ctx, &d)
	if err != nil {
		t.EndReason, t.EndedAt = NoConnect, f.Now()
	} else {
		k.exchange(ctx, f.Now, t, of.body, false, c.idleTimeout())
		k.Close()
	}
	f.recorder.attemptEnded(t)
	return t
}
