package hollownode

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/controlplane"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
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
	host *Host
	tap  *trafficCounter

	mu           sync.Mutex
	current      *incarnation   // nil: none runs
	incarnations []*incarnation // all so far
}

// start starts an incarnation; first is true in a new fleet.
func (n *node) start(first bool) error {
	p := &n.host.plan
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", n.Addr)
	if err != nil {
		return errors.Wrapf(err, "%s", n.Name)
	}
	l := &incarnation{node: n, startedAt: now(), done: make(chan struct{}), removedAt: map[string]time.Duration{}, changed: make(chan struct{})}
	pool := rpc.NewPool()
	seeds := func() []string { return slices.Clone(p.Seeds) }
	l.core, err = controlplane.Open(controlplane.Options{Addr: n.Addr, Zone: n.Zone, StateDir: n.Dir, HasDisk: n.Dir != "", FirstStart: first, Seeds: seeds,
		KnownAddresses: func() []string {
			var out []string
			if l.relay != nil {
				for _, m := range l.relay.OtherMembers(true) {
					out = append(out, m.Addr)
				}
			}
			return out
		},
		Tolerance: view.Tolerance{Machines: p.ToleratedLosses}, Counted: n.Dir != "", Pool: pool,
		Transition: func(cur []byte, o *chain.Update) ([]byte, int64, error) { return config.Apply(cur, o.Patch, o.Body) },
		OnCommit:   func(v chain.Value) { l.relay.ApplyConfig(v.Seq, v.Body) }})
	if err != nil {
		ln.Close()
		return errors.Wrapf(err, "%s", n.Name)
	}
	o := relay.Options{Self: relay.Member{Name: n.Name, Addr: n.Addr, Zone: n.Zone, Region: n.Region, ControlAddr: n.Addr}, HeartbeatInterval: p.HeartbeatInterval,
		Core: coreMembership{l.core}, SeedAddrs: seeds, OnChange: l.snapshotChanged}
	if n.Dir != "" {
		o.SaveServers = func(b []byte) error { return l.core.SaveRecord(savedServersKey, b) }
		o.SavedServers, _ = l.core.LoadRecord(savedServersKey)
	}
	l.relay = relay.New(o)
	l.source = l.relay.Report().Source
	table := rpc.NewMux()
	l.core.RegisterHandlers(table)
	l.relay.RegisterHandlers(table)
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	n.mu.Lock()
	n.current, n.incarnations = l, append(n.incarnations, l)
	n.mu.Unlock()
	go func() {
		defer close(l.done)
		var wg sync.WaitGroup
		wg.Go(func() { _ = rpc.Serve(ctx, n.tap.listener(ln), table) }) // fails only with its listener
		wg.Go(func() { _ = l.core.Run(ctx) })
		wg.Go(func() { _ = l.relay.Run(ctx) })
		wg.Go(func() { l.readNewestConfig(ctx) })
		<-ctx.Done()
		pool.Close()
		wg.Wait()
	}()
	return nil
}

// stop ends the current incarnation, after an announcement to the others if graceful.
func (n *node) stop(ctx context.Context, graceful bool) {
	n.mu.Lock()
	l := n.current
	n.current = nil
	n.mu.Unlock()
	if l == nil {
		return
	}
	if graceful {
		l.relay.AnnounceDraining()
		bye, cancel := context.WithTimeout(ctx, departTimeout)
		l.relay.Depart(bye)
		cancel()
	}
	l.mu.Lock()
	l.endedAt = now()
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	l.stop()
	<-l.done
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
