package hollownode

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/testbed/process"
)

// host is where nodes run: in this process or in one of their own.
type host interface {
	Do(ctx context.Context, q *Request) (*Reply, error)
	// Lose ends it at once with all its nodes, Restore starts it again with their disks.
	Lose(ctx context.Context) error
	Restore(ctx context.Context) error
	Pid() int // 0: this process
	Close()
}

// local runs nodes in this process.
type local struct{ *Host }

func (l local) Pid() int { return 0 }
func (l local) Lose(ctx context.Context) error {
	return l.each(func(n *node) error { n.end(ctx, false); return nil })
}
func (l local) Restore(context.Context) error {
	return l.each(func(n *node) error { return n.start(false) })
}

const (
	callDo, callPlan = "hollow.do", "hollow.plan"
	// upWithin is how long a process may take until it answers, and upEvery the pause between tries.
	upWithin, upEvery = 10 * time.Second, 20 * time.Millisecond
)

// Serve runs one host that is steered at an address, until its parent has gone.
func Serve(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "steering")
	}
	var mu sync.Mutex
	var h *Host
	get := func() *Host { mu.Lock(); defer mu.Unlock(); return h }
	t := rpc.NewMux()
	rpc.HandleUnary(t, callPlan, func(_ context.Context, p *HostPlan) (*Reply, error) {
		mu.Lock()
		defer mu.Unlock()
		if h != nil {
			return nil, errors.New("the host has a plan")
		}
		h = NewHost(*p)
		return &Reply{}, nil
	})
	rpc.HandleUnary(t, callDo, func(ctx context.Context, q *Request) (*Reply, error) {
		if h := get(); h != nil {
			return h.Do(ctx, q)
		}
		return nil, errors.New("the host has no plan yet")
	})
	err = rpc.Serve(ctx, ln, t)
	if h := get(); h != nil {
		h.Close()
	}
	return err
}

// remote is a host in a process of its own.
type remote struct {
	group *process.Group
	pool  *rpc.Pool
	spec  process.Spec
	addr  string
	plan  HostPlan

	mu   sync.Mutex
	proc *process.Proc
}

// startRemote starts the process: program with args and the steering address.
func startRemote(ctx context.Context, g *process.Group, pool *rpc.Pool, name, program string, args []string, addr, dir string, plan HostPlan) (*remote, error) {
	r := &remote{group: g, pool: pool, addr: addr, plan: plan, spec: process.Spec{Name: name, Path: program, Args: append(args[:len(args):len(args)], addr),
		Env: os.Environ(), Log: filepath.Join(dir, name+".log")}}
	return r, r.up(ctx)
}

// up starts the process and gives it its plan.
func (r *remote) up(ctx context.Context) error {
	p, err := r.group.Start(r.spec)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.proc = p
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, upWithin)
	defer cancel()
	tick := time.NewTicker(upEvery)
	defer tick.Stop()
	for {
		if _, err = rpc.Call[HostPlan, Reply](ctx, r.pool, r.addr, callPlan, &r.plan); err == nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-p.Ended():
			return errors.Errorf("%s ended: see %s", r.spec.Name, r.spec.Log)
		case <-ctx.Done():
			return errors.Wrapf(err, "%s does not answer", r.spec.Name)
		}
	}
}

func (r *remote) Do(ctx context.Context, q *Request) (*Reply, error) {
	a, err := rpc.Call[Request, Reply](ctx, r.pool, r.addr, callDo, q)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: %s", r.spec.Name, q.Do)
	}
	return a, nil
}

func (r *remote) process() *process.Proc {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proc
}

func (r *remote) Pid() int { return r.process().Pid }

func (r *remote) Lose(context.Context) error { r.process().Kill(); return nil }

func (r *remote) Restore(ctx context.Context) error {
	if err := r.up(ctx); err != nil {
		return err
	}
	_, err := r.Do(ctx, &Request{Do: doStart})
	return err
}

func (r *remote) Close() {
	if p := r.process(); p != nil {
		p.Kill()
	}
}

// subnet is a network on loopback that no other fleet uses while it is held.
type subnet struct {
	prefix string
	lock   net.Listener
}

// claim finds a free one.
func claim() (*subnet, error) {
	for i := range 30 {
		prefix := fmt.Sprintf("127.%d.", 220+(os.Getpid()+i)%30)
		if ln, err := net.Listen("tcp", prefix+"0.1:7299"); err == nil {
			return &subnet{prefix, ln}, nil
		}
	}
	return nil, errors.New("no free network on loopback: end other fleets")
}

// ip is the address of a machine.
func (s *subnet) ip(n int) string { return fmt.Sprintf("%s%d.%d", s.prefix, 1+n/250, 1+n%250) }

// steer is where a host is steered.
func (s *subnet) steer(n int) string { return fmt.Sprintf("%s0.2:%d", s.prefix, 7400+n) }
