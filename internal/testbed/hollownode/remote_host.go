package hollownode

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/testbed/process"
)

const (
	rpcDo, rpcPlan = "hollow.do", "hollow.plan"
	// startTimeout bounds the time until a process answers, startRetryPause is between two attempts.
	startTimeout, startRetryPause = 10 * time.Second, 20 * time.Millisecond
)

// Serve runs a host that is controlled at an address, until ctx ends.
func Serve(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen for control")
	}
	var mu sync.Mutex
	var current *Host
	currentHost := func() *Host { mu.Lock(); defer mu.Unlock(); return current }
	mux := rpc.NewMux()
	rpc.HandleUnary(mux, rpcPlan, func(_ context.Context, p *HostPlan) (*Reply, error) {
		mu.Lock()
		defer mu.Unlock()
		if current != nil {
			return nil, errors.New("the host has a plan")
		}
		current = NewHost(*p)
		return &Reply{}, nil
	})
	rpc.HandleUnary(mux, rpcDo, func(ctx context.Context, q *Request) (*Reply, error) {
		if current := currentHost(); current != nil {
			return current.Do(ctx, q)
		}
		return nil, errors.New("the host has no plan yet")
	})
	err = rpc.Serve(ctx, listener, mux)
	if current := currentHost(); current != nil {
		current.Close()
	}
	return err
}

// remoteHost is a host in a process of its own.
type remoteHost struct {
	group *process.Group
	pool  *rpc.Pool
	spec  process.Spec
	addr  string
	plan  HostPlan

	mu      sync.Mutex
	current *process.Proc
}

// startRemoteHost starts a process: program with args and the address for Serve.
func startRemoteHost(ctx context.Context, g *process.Group, pool *rpc.Pool, name, program string, args []string, addr, dir string, plan HostPlan) (*remoteHost, error) {
	r := &remoteHost{group: g, pool: pool, addr: addr, plan: plan, spec: process.Spec{Name: name, Path: program, Args: append(args[:len(args):len(args)], addr),
		Env: os.Environ(), Log: filepath.Join(dir, name+".log")}}
	return r, r.start(ctx)
}

// start starts the process and sends it its plan.
func (r *remoteHost) start(ctx context.Context) error {
	started, err := r.group.Start(r.spec)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.current = started
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	tick := time.NewTicker(startRetryPause)
	defer tick.Stop()
	for {
		if _, err = rpc.Call[HostPlan, Reply](ctx, r.pool, r.addr, rpcPlan, &r.plan); err == nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-started.Ended():
			return errors.Errorf("%s ended: see %s", r.spec.Name, r.spec.Log)
		case <-ctx.Done():
			return errors.Wrapf(err, "%s does not answer", r.spec.Name)
		}
	}
}

// Do does one thing.
func (r *remoteHost) Do(ctx context.Context, q *Request) (*Reply, error) {
	a, err := rpc.Call[Request, Reply](ctx, r.pool, r.addr, rpcDo, q)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: %s", r.spec.Name, q.Do)
	}
	return a, nil
}

func (r *remoteHost) process() *process.Proc {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Pid is the id of the host's process.
func (r *remoteHost) Pid() int { return r.process().Pid }

// Kill kills the process.
func (r *remoteHost) Kill(context.Context) error { r.process().Kill(); return nil }

// Restore starts the process and its nodes again.
func (r *remoteHost) Restore(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return err
	}
	_, err := r.Do(ctx, &Request{Do: doStart})
	return err
}

// Close kills the process.
func (r *remoteHost) Close() {
	if p := r.process(); p != nil {
		p.Kill()
	}
}
