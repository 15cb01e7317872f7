package controlplane

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	// waitLimit bounds each wait of a test; it is reached only if something is broken.
	waitLimit = 20 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// testRequestTimeout is the default of testNode.requestTimeout.
	testRequestTimeout = 5 * time.Second
	// maxSeeds is the maximum number of seeds in a cluster.
	maxSeeds = 3
)

// testNode is one process of a cluster on loopback. It keeps its address and its state folder over restarts.
type testNode struct {
	tb             testing.TB
	addr           string
	zone           string
	dir            string
	requestTimeout time.Duration
	member         *Member // nil while the process does not run
	disk           *faultyDisk
	cancel         context.CancelFunc
	done           chan struct{} // closed when the process has ended
	changes        chan struct{} // signaled when a view was learned or a value committed
}

// link is the direction from one address to another.
type link struct{ from, to string }

// callObserver is called when a node sends a call, and again when that call has succeeded.
type callObserver func(from, name string, answered bool)

// testCluster holds the nodes of a test and the faults between them.
type testCluster struct {
	tb         testing.TB
	seeds      []string
	nodes      []*testNode
	tolerance  view.Tolerance
	transition chain.Transition

	mu                sync.Mutex
	partitions        map[link]bool // messages in this direction are lost
	partitionsChanged chan struct{} // closed when partitions change
	unpushable        *testNode     // a node that no push of a value reaches; nil if there is none
	unreached         []string      // addresses to which all nodes announce the view; immutable while nodes run
	observeCall       callObserver
	unknownCall       string // name of a call that no node knows, as in an earlier version; empty if there is none
}

// addressCount counts the addresses of all tests.
var addressCount atomic.Int32

// unusedAddress returns an address on a loopback IP that no other node uses, so that no outgoing connection
// ever takes its port.
func unusedAddress(t testing.TB) string {
	t.Helper()
	n := addressCount.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n/250, 1+n%250))
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// newTestCluster makes a cluster of nodes with a disk, followed by diskless ones. None of them runs yet.
func newTestCluster(t testing.TB, withDisk, diskless int) *testCluster {
	t.Helper()
	cluster := &testCluster{
		tb:                t,
		tolerance:         view.Tolerance{Machines: 1},
		transition:        applyNumber,
		partitions:        map[link]bool{},
		partitionsChanged: make(chan struct{}),
	}
	for i := range withDisk + diskless {
		node := &testNode{tb: t, zone: "z", addr: unusedAddress(t), requestTimeout: testRequestTimeout}
		if i < withDisk {
			node.dir = stateDir(t)
		}
		cluster.nodes = append(cluster.nodes, node)
		if i < maxSeeds {
			cluster.seeds = append(cluster.seeds, node.addr)
		}
	}
	t.Cleanup(func() {
		for _, node := range cluster.nodes {
			node.kill()
		}
	})
	return cluster
}

func (cluster *testCluster) setObserveCall(observe callObserver) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.observeCall = observe
}

func (cluster *testCluster) setUnknownCall(name string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.unknownCall = name
}

// setPartition makes messages from one node to another get lost, or arrive again.
func (cluster *testCluster) setPartition(from, to *testNode, lost bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.partitions[link{from.addr, to.addr}] = lost
	close(cluster.partitionsChanged)
	cluster.partitionsChanged = make(chan struct{})
}

// setIsolated is setPartition between a node and all others, both ways or only for messages that it sends.
func (cluster *testCluster) setIsolated(node *testNode, lost, bothWays bool) {
	for _, other := range cluster.nodes {
		if other == node {
			continue
		}
		cluster.setPartition(node, other, lost)
		if bothWays {
			cluster.setPartition(other, node, lost)
		}
	}
}

// awaitDelivery waits until messages from one address to another arrive.
func (cluster *testCluster) awaitDelivery(ctx context.Context, from, to string) error {
	for {
		cluster.mu.Lock()
		lost, changed := cluster.partitions[link{from, to}], cluster.partitionsChanged
		cluster.mu.Unlock()
		if !lost {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// interceptorOf returns the interceptor that applies the cluster's faults to the calls of a node.
func (cluster *testCluster) interceptorOf(node *testNode) interceptor {
	return func(ctx context.Context, to, name string, do func() error) (err error) {
		cluster.mu.Lock()
		lost := cluster.unpushable != nil && cluster.unpushable.addr == to && (name == callPush || name == callPushDiff)
		unknown := cluster.unknownCall == name
		observe := cluster.observeCall
		cluster.mu.Unlock()
		if observe != nil {
			observe(node.addr, name, false)
			defer func() {
				if err == nil {
					observe(node.addr, name, true)
				}
			}()
		}
		if lost {
			<-ctx.Done()
			return ctx.Err()
		}
		if err := cluster.awaitDelivery(ctx, node.addr, to); err != nil {
			return err
		}
		if unknown {
			return rpc.ErrUnknownMethod
		}
		if err := do(); err != nil {
			return err
		}
		return cluster.awaitDelivery(ctx, to, node.addr)
	}
}

// open opens the member of a node.
func (cluster *testCluster) open(node *testNode, pool *rpc.Pool, firstStart bool) *Member {
	cluster.tb.Helper()
	changes := make(chan struct{}, 1)
	notify := func() {
		select {
		case changes <- struct{}{}:
		default:
		}
	}
	member, err := Open(Options{
		Addr:               node.addr,
		Zone:               node.zone,
		StateDir:           node.dir,
		HasDisk:            node.dir != "",
		FirstStart:         firstStart,
		Seeds:              func() []string { return cluster.seeds },
		UnreachedAddresses: func() []string { return cluster.unreached },
		Tolerance:          cluster.tolerance,
		Counted:            true,
		Pool:               pool,
		Transition:         cluster.transition,
		RequestTimeout:     node.requestTimeout,
		OnCommit:           func(chain.Value) { notify() },
		OnView:             func(view.View) { notify() },
	})
	require.NoError(cluster.tb, err)
	node.changes = changes
	node.disk = &faultyDisk{Store: member.disk.(*store.Store)}
	member.disk = node.disk
	member.intercept = cluster.interceptorOf(node)
	return member
}

// start starts a node. Its listener accepts connections when start returns.
func (cluster *testCluster) start(node *testNode, firstStart bool) {
	cluster.tb.Helper()
	listener, err := net.Listen("tcp", node.addr)
	require.NoError(cluster.tb, err)
	pool := rpc.NewPool()
	member := cluster.open(node, pool, firstStart)
	table := rpc.NewMux()
	member.RegisterHandlers(table)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	node.member, node.cancel, node.done = member, cancel, done
	go func() {
		defer close(done)
		defer pool.Close()
		var serving sync.WaitGroup
		serving.Go(func() { _ = rpc.Serve(ctx, listener, table, rpc.ServerOptions{}) })
		_ = member.Run(ctx)
		serving.Wait()
	}()
}

func (cluster *testCluster) startAll(firstStart bool) {
	cluster.tb.Helper()
	for _, node := range cluster.nodes {
		cluster.start(node, firstStart)
	}
}

// kill stops a node; its state stays on its disk.
func (node *testNode) kill() {
	if node.member != nil {
		node.cancel()
		<-node.done
		node.member = nil
	}
}

// restart stops a node and starts it again with the state on its disk.
func (cluster *testCluster) restart(node *testNode) {
	cluster.tb.Helper()
	node.kill()
	cluster.start(node, false)
}

// nodeAt returns the node with an address.
func (cluster *testCluster) nodeAt(addr string) *testNode {
	cluster.tb.Helper()
	for _, node := range cluster.nodes {
		if node.addr == addr {
			return node
		}
	}
	require.FailNow(cluster.tb, "no process at "+addr)
	return nil
}

// chainMember returns the node at a position in the chain that the last node knows.
func (cluster *testCluster) chainMember(position int) *testNode {
	cluster.tb.Helper()
	current, _ := cluster.nodes[len(cluster.nodes)-1].member.View()
	return cluster.nodeAt(current.Chain[position].Addr)
}

// awaitFullChain waits until a node knows a chain of the greatest possible length.
func (cluster *testCluster) awaitFullChain(node *testNode) {
	cluster.tb.Helper()
	maxLength := view.MaxChainLength(view.Tolerance{Machines: cluster.tolerance.Machines})
	node.waitUntil("the chain is complete again", func() bool {
		current, _ := node.member.View()
		return len(current.Chain) == min(len(current.Voters), maxLength)
	})
}

// bootstrapCluster starts a cluster and commits a first update. It returns the cluster and its last node.
func bootstrapCluster(t testing.TB, withDisk, diskless int) (*testCluster, *testNode) {
	t.Helper()
	cluster := newTestCluster(t, withDisk, diskless)
	cluster.startAll(true)
	last := cluster.nodes[len(cluster.nodes)-1]
	require.Equal(t, chain.OutcomeCommitted, last.submitRevision(0, 1).Outcome)
	for _, node := range cluster.nodes[:withDisk] {
		node.waitUntil("in contact with a majority", node.member.HasQuorum)
	}
	cluster.awaitFullChain(last)
	return cluster, last
}

// waitUntil waits until ok returns true. It checks at each new view or value of the node, and periodically.
func (node *testNode) waitUntil(what string, ok func() bool) {
	node.tb.Helper()
	limit := time.NewTimer(waitLimit)
	defer limit.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for !ok() {
		select {
		case <-node.changes:
		case <-poll.C:
		case <-limit.C:
			require.FailNow(node.tb, "timed out waiting", "%s; %+v", what, node.member.Status())
		}
	}
}

// pollUntil waits until ok returns true or ctx ends.
func pollUntil(ctx context.Context, ok func() bool) {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for !ok() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

// submitRevision submits an update from one revision to another until its outcome is known.
func (node *testNode) submitRevision(ifMatch, revision int64) chain.Result {
	return node.submitUntilKnown(revisionUpdate(ifMatch, revision))
}

// submitUntilKnown submits an update until its outcome is known.
func (node *testNode) submitUntilKnown(update *chain.Update) chain.Result {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for {
		result := node.member.Submit(ctx, update)
		if result.Outcome != chain.OutcomeUnknown || ctx.Err() != nil {
			return result
		}
	}
}

// submitInTime submits an update and fails the test if it is not committed within faultUpdateLimit.
func (node *testNode) submitInTime(ifMatch, revision int64) {
	node.tb.Helper()
	startedAt := time.Now()
	require.Equal(node.tb, chain.OutcomeCommitted, node.submitRevision(ifMatch, revision).Outcome)
	took := time.Since(startedAt)
	node.tb.Logf("committed after %v", took)
	require.Less(node.tb, took, faultUpdateLimit)
}

// read repeats Read until it succeeds.
func (node *testNode) read() chain.Value {
	node.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for {
		value, err := node.member.Read(ctx)
		if err == nil || ctx.Err() != nil {
			require.NoError(node.tb, err)
			return value
		}
	}
}

// knowsView reports whether a node knows a view.
func (node *testNode) knowsView() bool {
	_, known := node.member.View()
	return known
}

// hasRevision reports whether a node knows a revision as committed.
func (node *testNode) hasRevision(revision int64) bool {
	committed, _ := node.member.Committed()
	return committed.Revision == revision
}

// chainLength returns the length of the chain that a node knows.
func (node *testNode) chainLength() int {
	current, _ := node.member.View()
	return len(current.Chain)
}

func (node *testNode) chainPosition() int { return node.member.Status().Position }

// isMemberOf reports whether a node is a voter of a view with the given numbers of voters and chain members.
func (node *testNode) isMemberOf(voters, members int) bool {
	current, _ := node.member.View()
	return node.member.IsVoter() && len(current.Voters) == voters && len(current.Chain) == members
}

func (node *testNode) id() string { return node.member.self.ID }

// learnedView returns the view that a node has learned.
func (node *testNode) learnedView() view.View { return node.member.replica().View }

// storedRevision returns the revision of the value on a node's disk.
func (node *testNode) storedRevision() int64 { return node.member.replica().Record.Value.Revision }

// prepare asks a node for a promise. disk is the ID of the disk that the request is for.
func (node *testNode) prepare(ctx context.Context, disk string, base view.View, number view.ProposalNumber) (*view.Response, error) {
	return node.member.handlePrepare(ctx, &prepareRequest{To: disk, Prepare: view.PrepareRequest{Base: base, Number: number}})
}

// accept asks a node to accept a view. disk is the ID of the disk that the request is for.
func (node *testNode) accept(ctx context.Context, disk string, base view.View, number view.ProposalNumber, next view.View) (*view.Response, error) {
	return node.member.handleAccept(ctx, &acceptRequest{To: disk, Accept: view.AcceptRequest{Base: base, Number: number, View: next}})
}

// push pushes a value to a node. disk is the ID of the disk that the push is for.
func (node *testNode) push(ctx context.Context, disk string, current view.View, value *chain.Value) (*pushResponse, error) {
	return node.member.handlePush(ctx, &pushRequest{To: disk, Push: chain.Push{View: current, Value: *value}})
}

// valueAfter returns the value that results from applying an update to the node's stored value.
func (node *testNode) valueAfter(update *chain.Update) *chain.Value {
	replica := node.member.replica()
	next, _, _ := chain.Apply(&replica.Record.Value, update, applyNumber)
	return next
}
