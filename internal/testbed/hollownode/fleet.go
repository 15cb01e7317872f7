package hollownode

import (
	"context"
	"fmt"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/testbed/process"
)

const (
	// Bounds of a Config.
	maxAgents, maxCore, maxServers, maxProcesses = 400, 9, 2000, 20
	// The machines are spread over so many zones and regions.
	zones, regions = 5, 2
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 120 * time.Second
	// callTimeout bounds one request to a host.
	callTimeout = 15 * time.Second
	// propagationTimeout bounds the wait for the last change after the window.
	propagationTimeout = 20 * time.Second
	// departureTime is how long a stopped agent stays away.
	departureTime = time.Second
	// maxErrors bounds the errors in a Result.
	maxErrors = 20
)

// fleet is a running fleet.
type fleet struct {
	cfg          Config
	subnet       *subnet
	processes    *process.Group
	pool         *rpc.Pool
	coreHosts    []host // of one node each
	agentHosts   []host
	nodesPerHost []int // of the agentHosts
	daemons      []*daemon
	serverHosts  []int // index in agentHosts, of each server

	mu                 sync.Mutex
	measured           []interface{ Pid() int } // processes whose memory is watched
	revision           int64                    // of the newest configuration
	seq                uint64                   // of the newest configuration
	changes            []Change
	drains             []Change
	serverIncarnations []int // of each server
	errs               []string
	loss               *Loss // nil: no member was killed
}

// Run starts a fleet, measures it for the window and returns the result. It ends early if the fleet takes half of the
// machine's memory. progress may be nil.
func Run(ctx context.Context, cfg Config, progress func(string)) (*Result, error) {
	if cfg.Lose == "" {
		cfg.Lose = LoseNone
	}
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if progress == nil {
		progress = func(string) {}
	}
	subnet, err := claimSubnet()
	if err != nil {
		return nil, err
	}
	f := &fleet{cfg: cfg, subnet: subnet, processes: process.NewGroup(), pool: rpc.NewPool(), serverIncarnations: make([]int, cfg.Servers)}
	defer f.close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var watching sync.WaitGroup
	defer watching.Wait()
	defer cancel(nil)
	watching.Go(func() { f.watchMemory(ctx, cancel) })
	if err := f.start(ctx); err != nil {
		return nil, cause(ctx, err)
	}
	progress(fmt.Sprintf("%d agents, %d of the core and %d real ones are ready", cfg.Agents, cfg.Core, cfg.Real))
	result, err := f.measureWindow(ctx)
	return result, cause(ctx, err)
}

// cause is the cause of the cancellation of ctx, if that made the run fail, else err.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); err != nil && c != ctx.Err() {
		return c
	}
	return err
}

// close stops all processes and releases the subnet.
func (f *fleet) close() {
	for _, d := range f.daemons {
		d.close()
	}
	for _, h := range f.hosts() {
		h.Close()
	}
	f.pool.Close()
	f.processes.Close()
	f.subnet.lock.Close()
}

// hosts are the hosts of the core, then those of the agents.
func (f *fleet) hosts() []host { return append(append([]host(nil), f.coreHosts...), f.agentHosts...) }

// askAll sends a request to all hosts at once.
func (f *fleet) askAll(ctx context.Context, q *Request) error {
	return ask(ctx, f.hosts(), q, nil)
}

// ask sends a request to hosts at once, and passes the reply of each to received, one at a time, with its index.
// received may be nil.
func ask(ctx context.Context, hosts []host, q *Request, received func(index int, reply *Reply)) error {
	type answer struct {
		index int
		reply *Reply
		err   error
	}
	answers := make(chan answer, len(hosts))
	for i, h := range hosts {
		go func() {
			reply, err := h.Do(ctx, q)
			answers <- answer{i, reply, err}
		}()
	}
	var err error
	for range hosts {
		a := <-answers
		if a.err != nil {
			err = a.err
		} else if received != nil {
			received(a.index, a.reply)
		}
	}
	return err
}

// recordError adds an error to the result, if it isn't nil. There may be too many.
func (f *fleet) recordError(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.errs) < maxErrors {
		f.errs = append(f.errs, err.Error())
	}
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
