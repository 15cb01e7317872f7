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
	// savedServers is the name of the list of servers on disk, as in the daemon.
	savedServers = "servers"
	// newestWait and newestPause bound the tries to read the newest configuration at a start.
	newestWait, newestPause = time.Second, 200 * time.Millisecond
	// byeWait is how long an agent that ends waits for a hub to know.
	byeWait = 350 * time.Millisecond
)

// now is the steady clock of the machine, which all its processes share.
func now() time.Duration {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) // does not fail
	return time.Duration(ts.Nano())
}

// NodeSpec is one machine of the fleet.
type NodeSpec struct {
	Name   string `msgpack:"n"`
	Addr   string `msgpack:"a"` // for calls of other agents
	Zone   string `msgpack:"z"`
	Region string `msgpack:"r"`
	Dir    string `msgpack:"d"` // of the state; "": no machine of the core
}

// node is one machine; its process has one life after the other.
type node struct {
	NodeSpec
	host *Host
	tap  *tap

	mu    sync.Mutex
	life  *life   // nil: it does not run
	lives []*life // all there were
}

// life is one life of a node's process.
type life struct {
	node   *node
	began  time.Duration
	core   *controlplane.Member
	hub    *relay.Node
	source string // by which it began
	stop   context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	last     relay.Snapshot
	ready    time.Duration // when it could serve; 0: not yet
	full     time.Duration // when it had all servers
	ended    time.Duration
	arrivals []arrival // of configurations, by rising seq
	gone     map[string]time.Duration
	changed  chan struct{} // closed and made anew when ready or arrivals change
}

type arrival struct {
	seq uint64
	at  time.Duration
}

// take is told of what the data plane would go by. It is called under the hub's lock.
func (l *life) take(s *relay.Snapshot) {
	t := now()
	l.mu.Lock()
	defer l.mu.Unlock()
	news := false
	if s.ConfigSeq > l.last.ConfigSeq {
		l.arrivals = append(l.arrivals, arrival{s.ConfigSeq, t})
		news = true
	}
	servers := l.node.host.plan.AllServers
	if s.Servers != l.last.Servers && s.Servers != nil {
		for _, id := range *l.node.host.watched.Load() {
			if l.last.Servers != nil && l.last.Servers.ByID[id] != nil && s.Servers.ByID[id] == nil {
				l.gone[id] = t
				news = true
			}
		}
		if l.full == 0 && len(s.Servers.ByID) >= servers {
			l.full = t
			news = true
		}
	}
	if l.ready == 0 && s.Synced && s.Config != nil && s.Servers != nil && len(s.Servers.ByID) >= min(servers, 1) {
		l.ready = t
		news = true
	}
	l.last = *s
	if news {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// has tells whether the life has a configuration, and lists none of some instances.
func (l *life) has(q *Request) bool {
	return l.last.ConfigSeq >= q.Seq && !slices.ContainsFunc(q.IDs, func(id string) bool { return l.last.Servers != nil && l.last.Servers.ByID[id] != nil })
}

// await waits until ok of the life, whose lock is held meanwhile, or its end.
func (l *life) await(ctx context.Context, ok func() bool) error {
	for {
		l.mu.Lock()
		yes, changed := ok() || l.ended > 0, l.changed
		l.mu.Unlock()
		if yes {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type coreView struct{ m *controlplane.Member }

func (c coreView) IsMember() bool  { return c.m.IsVoter() }
func (c coreView) HasQuorum() bool { return c.m.HasQuorum() }
func (c coreView) Members() []relay.Peer {
	v, ok := c.m.View()
	if !ok {
		return nil
	}
	out := make([]relay.Peer, len(v.Voters))
	for i, p := range v.Voters {
		out[i] = relay.Peer{Addr: p.Addr, Zone: p.Zone}
	}
	return out
}

// start begins a life as the daemon does; first tells that the whole system starts.
func (n *node) start(first bool) error {
	p := &n.host.plan
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", n.Addr)
	if err != nil {
		return errors.Wrapf(err, "%s", n.Name)
	}
	l := &life{node: n, began: now(), done: make(chan struct{}), gone: map[string]time.Duration{}, changed: make(chan struct{})}
	pool := rpc.NewPool()
	seeds := func() []string { return slices.Clone(p.Seeds) }
	l.core, err = controlplane.Open(controlplane.Options{Addr: n.Addr, Zone: n.Zone, StateDir: n.Dir, HasDisk: n.Dir != "", FirstStart: first, Seeds: seeds,
		KnownAddresses: func() []string {
			var out []string
			if l.hub != nil {
				for _, m := range l.hub.OtherMembers(true) {
					out = append(out, m.Addr)
				}
			}
			return out
		},
		Tolerance: view.Tolerance{Machines: p.Losses}, Counted: n.Dir != "", Pool: pool,
		Transition: func(cur []byte, o *chain.Update) ([]byte, int64, error) { return config.Apply(cur, o.Patch, o.Body) },
		OnCommit:   func(v chain.Value) { l.hub.ApplyConfig(v.Seq, v.Body) }})
	if err != nil {
		ln.Close()
		return errors.Wrapf(err, "%s", n.Name)
	}
	o := relay.Options{Self: relay.Member{Name: n.Name, Addr: n.Addr, Zone: n.Zone, Region: n.Region, ControlAddr: n.Addr}, HeartbeatInterval: p.Beat,
		Core: coreView{l.core}, SeedAddrs: seeds, OnChange: l.take}
	if n.Dir != "" {
		o.SaveServers = func(b []byte) error { return l.core.SaveRecord(savedServers, b) }
		o.SavedServers, _ = l.core.LoadRecord(savedServers)
	}
	l.hub = relay.New(o)
	l.source = l.hub.Report().Source
	table := rpc.NewMux()
	l.core.RegisterHandlers(table)
	l.hub.RegisterHandlers(table)
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	n.mu.Lock()
	n.life, n.lives = l, append(n.lives, l)
	n.mu.Unlock()
	go func() {
		defer close(l.done)
		var wg sync.WaitGroup
		wg.Go(func() { _ = rpc.Serve(ctx, n.tap.listener(ln), table) }) // it fails with its listener only
		wg.Go(func() { _ = l.core.Run(ctx) })
		wg.Go(func() { _ = l.hub.Run(ctx) })
		wg.Go(func() { l.newest(ctx) })
		<-ctx.Done()
		pool.Close()
		wg.Wait()
	}()
	return nil
}

// newest reads the newest configuration once, as the daemon does.
func (l *life) newest(ctx context.Context) {
	for ctx.Err() == nil {
		once, cancel := context.WithTimeout(ctx, newestWait)
		v, err := l.core.Read(once)
		cancel()
		if err == nil {
			if v.Seq > 0 {
				l.hub.ApplyConfig(v.Seq, v.Body)
			}
			l.hub.MarkConfigCurrent()
			return
		}
		t := time.NewTimer(newestPause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// end ends the node's process at once; after a word to the others, if it is polite.
func (n *node) end(ctx context.Context, polite bool) {
	n.mu.Lock()
	l := n.life
	n.life = nil
	n.mu.Unlock()
	if l == nil {
		return
	}
	if polite {
		l.hub.AnnounceDraining()
		bye, cancel := context.WithTimeout(ctx, byeWait)
		l.hub.Depart(bye)
		cancel()
	}
	l.mu.Lock()
	l.ended = now()
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	l.stop()
	<-l.done
}

// alive is the node's life, nil if it has none.
func (n *node) alive() *life {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life
}

// beat takes a server's call; false: the server calls the next agent.
func (n *node) beat(ctx context.Context, in *registry.Instance) bool {
	l := n.alive()
	return l != nil && l.hub.Heartbeat(ctx, in)
}
