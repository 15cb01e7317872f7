package hollownode

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	// savedServersKey is the disk record of the servers that the relay knows, as in the daemon.
	savedServersKey = "servers"
	// configReadTimeout bounds one read of the newest configuration at a start, configRetryPause is between two.
	configReadTimeout, configRetryPause = time.Second, 200 * time.Millisecond
	// departTimeout bounds the announcement of a departure.
	departTimeout = 350 * time.Millisecond
)

// now is the machine's monotonic clock, which all its processes share.
func now() time.Duration {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) // does not fail
	return time.Duration(ts.Nano())
}

// NodeSpec describes a machine of the fleet.
type NodeSpec struct {
	Name   string `msgpack:"n"`
	Addr   string `msgpack:"a"` // of its rpc listener
	Zone   string `msgpack:"z"`
	Region string `msgpack:"r"`
	Dir    string `msgpack:"d"` // of its state; "": an agent without a disk
}

// node is a machine. Its process has one incarnation at a time.
type node struct {
	NodeSpec
	host    *Host
	traffic *trafficCounter

	mu           sync.Mutex
	current      *incarnation   // nil: none runs
	incarnations []*incarnation // all so far
}

// start starts an incarnation; first is true in a new fleet.
func (n *node) start(first bool) error {
	listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", n.Addr)
	if err != nil {
		return errors.Wrapf(err, "%s", n.Name)
	}
	started := &incarnation{node: n, startedAt: now(), done: make(chan struct{}), removedAt: map[string]time.Duration{}, changed: make(chan struct{})}
	pool := rpc.NewPool()
	if err := started.open(first, pool); err != nil {
		listener.Close()
		return errors.Wrapf(err, "%s", n.Name)
	}
	mux := rpc.NewMux()
	started.core.RegisterHandlers(mux)
	started.relay.RegisterHandlers(mux)
	ctx, cancel := context.WithCancel(context.Background())
	started.stop = cancel
	n.mu.Lock()
	n.current, n.incarnations = started, append(n.incarnations, started)
	n.mu.Unlock()
	go func() { // ends with ctx; node.stop waits for done
		defer close(started.done)
		var components sync.WaitGroup
		components.Go(func() { _ = rpc.Serve(ctx, n.traffic.listener(listener), mux) }) // fails only with its listener
		components.Go(func() { _ = started.core.Run(ctx) })
		components.Go(func() { _ = started.relay.Run(ctx) })
		components.Go(func() { started.readNewestConfig(ctx) })
		<-ctx.Done()
		pool.Close()
		components.Wait()
	}()
	return nil
}

// stop ends the current incarnation, after an announcement to the others if graceful.
func (n *node) stop(ctx context.Context, graceful bool) {
	n.mu.Lock()
	stopping := n.current
	n.current = nil
	n.mu.Unlock()
	if stopping == nil {
		return
	}
	if graceful {
		stopping.relay.AnnounceDraining()
		departCtx, cancel := context.WithTimeout(ctx, departTimeout)
		stopping.relay.Depart(departCtx)
		cancel()
	}
	stopping.mu.Lock()
	stopping.endedAt = now()
	close(stopping.changed)
	stopping.changed = make(chan struct{})
	stopping.mu.Unlock()
	stopping.stop()
	<-stopping.done
}

// running is the current incarnation, nil if none runs.
func (n *node) running() *incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// heartbeat takes a server's heartbeat. It returns false if the server has to try the next node.
func (n *node) heartbeat(ctx context.Context, in *registry.Instance) bool {
	l := n.running()
	return l != nil && l.relay.Heartbeat(ctx, in)
}
