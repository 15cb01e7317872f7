package relay

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// testTimeout bounds every wait of a test.
const testTimeout = 30 * time.Second

// testAgent is one agent of a cluster. It may be stopped and started again, as a new process.
type testAgent struct {
	*testCluster
	Member
	*fakeCore
	testClock
	backendAddr atomic.Pointer[string] // the address on which it listens behind its proxy; nil before its first start
	node        *Node                  // nil while the agent is stopped
	snapshot    atomic.Pointer[Snapshot]
	savedList   atomic.Pointer[[]byte] // the saved server list; nil if there is none
	seeds       func() []string
	confirm     func(context.Context) (uint64, error) // Options.ConfirmConfig
	stop        func()                                // stops the agent without any announcement
}

// testCluster is a core of relays and the agents outside of it, connected over loopback.
type testCluster struct {
	*testNetwork
	t                       *testing.T
	heartbeatInterval       time.Duration
	withDisks               bool
	coreMembers, edgeAgents []*testAgent
}

// newTestCluster returns a cluster in which no agent has been started. Its core has a quorum.
func newTestCluster(t *testing.T, relays, agents int) *testCluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cluster := &testCluster{t: t, heartbeatInterval: 500 * time.Millisecond, testNetwork: &testNetwork{ctx: ctx, cut: map[[2]string]bool{}, rates: map[[2]string]*rate.Limiter{}, changed: make(chan struct{})}}
	t.Cleanup(func() {
		for _, agent := range cluster.all() {
			agent.stop()
		}
		cancel()
		cluster.wg.Wait()
	})
	var peers []Peer
	for i := range relays + agents {
		agent := &testAgent{testCluster: cluster, stop: func() {}, Member: Member{Zone: "far", Region: "region"}}
		if i%3 == 0 {
			agent.Zone = "near"
		}
		if i < relays {
			agent.Name = fmt.Sprint("relay-", i)
			cluster.coreMembers = append(cluster.coreMembers, agent)
		} else {
			agent.Name = fmt.Sprint("agent-", i-relays)
			cluster.edgeAgents = append(cluster.edgeAgents, agent)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		agent.Addr, agent.ControlAddr = listener.Addr().String(), "control of "+agent.Name
		cluster.addrs = append(cluster.addrs, agent.Addr)
		if i < relays {
			peers = append(peers, Peer{agent.Addr, agent.Zone})
		}
		defer cluster.serveProxy(listener, agent) // deferred until all addresses are known
	}
	for i, agent := range cluster.all() {
		agent.fakeCore = newFakeCore(i < relays, i < relays, peers...)
		agent.seeds = func() []string { return []string{peers[0].Addr} }
	}
	return cluster
}

func (l *testCluster) all() []*testAgent {
	return append(l.coreMembers[:len(l.coreMembers):len(l.coreMembers)], l.edgeAgents...)
}

// start starts all agents, and marks the core's configuration as current.
func (l *testCluster) start() *testCluster {
	for _, agent := range l.all() {
		agent.start()
	}
	for _, relay := range l.coreMembers {
		relay.node.MarkConfigCurrent()
	}
	return l
}

// newSyncedCluster returns a cluster in which all agents are running and synced.
func newSyncedCluster(t *testing.T, relays, agents int) *testCluster {
	t.Helper()
	cluster := newTestCluster(t, relays, agents).start()
	cluster.awaitSynced(relays + agents)
	return cluster
}

// awaitSynced waits until all running agents are synced and know the given number of members.
func (l *testCluster) awaitSynced(members int) {
	l.t.Helper()
	l.eventually("is synced and knows all members", func(agent *testAgent) bool {
		s := agent.snapshot.Load()
		return s != nil && s.Synced && s.Agents == members
	})
}

// eventually waits until a condition holds for each of the given agents, or by default for each running one.
func (l *testCluster) eventually(what string, holds func(*testAgent) bool, agents ...*testAgent) {
	l.t.Helper()
	if len(agents) == 0 {
		for _, agent := range l.all() {
			if agent.node != nil {
				agents = append(agents, agent)
			}
		}
	}
	for _, agent := range agents {
		if !assert.Eventually(l.t, func() bool { return holds(agent) }, testTimeout, 10*time.Millisecond, "%s: %s", what, agent.Name) {
			for _, agent := range l.all() {
				if agent.node != nil {
					l.t.Logf("%s: %+v", agent.Name, agent.node.Report())
				}
			}
			l.t.FailNow()
		}
	}
}

// start starts the agent as a new process.
func (a *testAgent) start() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(a.t, err)
	backendAddr := listener.Addr().String()
	a.backendAddr.Store(&backendAddr)
	ctx, cancel := context.WithCancel(a.ctx)
	options := Options{Self: a.Member, HeartbeatInterval: a.heartbeatInterval, Core: a.fakeCore, SeedAddrs: a.seeds, ConfirmConfig: a.confirm, AwaitsConfirmation: true, Now: a.testClock.currentTime}
	var last *Snapshot
	options.OnChange = func(s *Snapshot) { // called for one snapshot after the other
		if last != nil {
			assert.GreaterOrEqual(a.t, s.ConfigSeq, last.ConfigSeq, "%s: the configuration regressed", a.Name)
			assert.True(a.t, s.Synced || !last.Synced, "%s: was synced before and is not any more", a.Name)
			assert.GreaterOrEqual(a.t, s.Servers.Version, last.Servers.Version, "%s: the server list regressed", a.Name)
		}
		assert.Positive(a.t, s.Agents)
		last = s
		a.snapshot.Store(s)
	}
	if a.withDisks {
		options.SaveServers = func(b []byte) error { a.savedList.Store(&b); return nil }
		if b := a.savedList.Load(); b != nil {
			options.SavedServers = *b
		}
	}
	a.snapshot.Store(nil)
	a.node = New(options)
	table := rpc.NewMux()
	a.node.RegisterHandlers(table)
	var wg sync.WaitGroup
	wg.Go(func() { assert.NoError(a.t, rpc.Serve(ctx, listener, table, rpc.ServerOptions{})) })
	wg.Go(func() { assert.NoError(a.t, a.node.Run(ctx)) })
	a.stop = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
		a.node = nil
	})
}

// setPartitioned cuts the links between the agent and others in both directions, or restores them.
func (a *testAgent) setPartitioned(cut bool, from ...*testAgent) {
	for _, b := range from {
		if a != b {
			a.setCut(a.Addr, b.Addr, cut)
			a.setCut(b.Addr, a.Addr, cut)
		}
	}
}

func server(id string, seq uint64) *registry.Instance {
	return &registry.Instance{ID: id, Service: "llm", Addr: "10.0.0.1:80", Zone: "near", Slots: 8, Seq: seq}
}

func drainingServer(id string, seq uint64) *registry.Instance {
	in := server(id, seq)
	in.State = registry.Draining
	return in
}

// timeoutContext returns a context that ends after d, or at the end of the test.
func timeoutContext(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func (a *testAgent) heartbeat(in *registry.Instance) bool {
	return a.node.Heartbeat(timeoutContext(a.t, testTimeout), in)
}

// startHeartbeats sends the agent heartbeats of a server until stop is called.
func (a *testAgent) startHeartbeats(id string) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	tick := time.NewTicker(a.heartbeatInterval)
	seq, node := uint64(1), a.node
	assert.True(a.t, a.heartbeat(server(id, seq)))
	wg.Go(func() {
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				seq++
				node.Heartbeat(a.ctx, server(id, seq))
			}
		}
	})
	stop = sync.OnceFunc(func() { close(done); wg.Wait() })
	a.t.Cleanup(stop)
	return stop
}

func listsServer(id string) func(*testAgent) bool {
	return func(agent *testAgent) bool { s := agent.snapshot.Load(); return s != nil && s.Servers.ByID[id] != nil }
}

func not(is func(*testAgent) bool) func(*testAgent) bool {
	return func(agent *testAgent) bool { return !is(agent) }
}

func hasMembers(n int) func(*testAgent) bool {
	return func(agent *testAgent) bool { s := agent.snapshot.Load(); return s != nil && s.Agents == n }
}

// both reports whether two conditions hold.
func both(first, second func(*testAgent) bool) func(*testAgent) bool {
	return func(agent *testAgent) bool { return first(agent) && second(agent) }
}

// hasOtherRelay reports whether an agent has a session with a relay other than the given one.
func hasOtherRelay(oldRelay *testAgent) func(*testAgent) bool {
	return func(agent *testAgent) bool {
		relay := agent.relayOf(agent)
		return relay != nil && relay != oldRelay
	}
}

// hasSessions reports whether an agent has the given number of sessions.
func hasSessions(count int) func(*testAgent) bool {
	return func(agent *testAgent) bool { return len(agent.sessionPeers()) == count }
}

// hasSessionWith reports whether an agent has a session with the peer at an address.
func hasSessionWith(addr string) func(*testAgent) bool {
	return func(agent *testAgent) bool { return slices.Contains(agent.sessionPeers(), addr) }
}

func hasConfig(seq uint64) func(*testAgent) bool {
	return func(agent *testAgent) bool {
		s := agent.snapshot.Load()
		return s != nil && s.ConfigSeq == seq && s.Config != nil
	}
}

// documentOf returns an otherwise empty configuration with the given revision.
func documentOf(revision int) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"routes":[],"services":[]}`, revision)
}

// sessionPeers returns the addresses of the peers that the agent has sessions with.
func (a *testAgent) sessionPeers() (peers []string) {
	for _, s := range a.node.Report().Sessions {
		peers = append(peers, s.PeerAddr)
	}
	return peers
}

// hasItem reports whether the agent's store has an item of a source.
func (a *testAgent) hasItem(source, key string) bool {
	a.node.mu.Lock()
	defer a.node.mu.Unlock()
	return a.node.items.Item(source, key) != nil
}

// relayOf returns the relay that an agent has a session with, or nil.
func (l *testCluster) relayOf(agent *testAgent) *testAgent {
	for _, peer := range agent.sessionPeers() {
		for _, relay := range l.coreMembers {
			if relay.Addr == peer {
				return relay
			}
		}
	}
	return nil
}
