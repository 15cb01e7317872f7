package controlplane

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(member *testing.M) { leaktest.Main(member) }

// waitLimit bounds each wait of a test; it is reached only where something is broken.
const waitLimit = 20 * time.Second

// applyNumber takes bodies that are numbers above the current one.
func applyNumber(current []byte, update *chain.Update) ([]byte, int64, error) {
	revision, err := strconv.ParseInt(string(update.Body), 10, 64)
	if err != nil || revision <= 0 {
		return nil, 0, errors.New("no number")
	}
	return update.Body, revision, nil
}

// testNode is one process of a site on loopback; its machine keeps its address and its folder.
type testNode struct {
	tb      testing.TB
	addr    string
	zone    string
	dir     string
	member  *Member
	cancel  context.CancelFunc
	done    chan struct{}
	mu      sync.Mutex
	commits []uint64
	changes chan struct{} // a view or a value came
	disk    *faultyDisk
	ack     time.Duration // RequestTimeout
}

type testCluster struct {
	tb            testing.TB
	seeds         []string
	nodes         []*testNode
	machineLosses int // of machines
	zoneLosses    int // losses of zones
	check         chain.Transition

	mu                sync.Mutex
	partitions        map[[2]string]bool                     // what is sent from one address to the other is lost
	partitionsChanged chan struct{}                          // closed when cuts change
	unpushable        *testNode                              // no push of a value reaches it
	observeCall       func(from, name string, answered bool) // sees each call as it is sent and as it is answered
}

func (cluster *testCluster) setObserveCall(tap func(from, name string, answered bool)) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.observeCall = tap
}

// partition loses what is sent from one process to others, until it is whole again.
func (cluster *testCluster) partition(from, to *testNode, lost bool) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.partitions[[2]string{from.addr, to.addr}] = lost
	close(cluster.partitionsChanged)
	cluster.partitionsChanged = make(chan struct{})
}

// isolate cuts a process from all others, both ways or only what it sends.
func (cluster *testCluster) isolate(node *testNode, lost, bothWays bool) {
	for _, other := range cluster.nodes {
		if other != node {
			cluster.partition(node, other, lost)
			if bothWays {
				cluster.partition(other, node, lost)
			}
		}
	}
}

// awaitDelivery waits until what is sent from one process to another arrives.
func (cluster *testCluster) awaitDelivery(ctx context.Context, from, to string) error {
	for {
		cluster.mu.Lock()
		lost, heal := cluster.partitions[[2]string{from, to}], cluster.partitionsChanged
		cluster.mu.Unlock()
		if !lost {
			return nil
		}
		select {
		case <-heal:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// faultyDisk is a store whose disk can be made to refuse or to hold up all writes.
type faultyDisk struct {
	*store.Store
	mu            sync.Mutex
	failWrites    bool
	writesBlocked chan struct{} // writes wait for its end
	blockedSince  time.Time     // the oldest write that waits
	failingSince  time.Time
}

func (d *faultyDisk) Put(key string, val []byte) error {
	d.mu.Lock()
	full, stalled := d.failWrites, d.writesBlocked
	if now := time.Now(); full && d.failingSince.IsZero() {
		d.failingSince = now
	} else if stalled != nil && d.blockedSince.IsZero() {
		d.blockedSince = now
	} else if !full {
		d.failingSince = time.Time{}
	}
	d.mu.Unlock()
	if full {
		return syscall.ENOSPC
	}
	if stalled != nil {
		<-stalled
	}
	return d.Store.Put(key, val)
}

func (d *faultyDisk) Probe() error { return d.Put("probe", nil) }

func (d *faultyDisk) Health(now time.Time) store.Health {
	h := d.Store.Health(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.failingSince.IsZero() {
		h.Failing = max(1, now.Sub(d.failingSince))
	}
	if !d.blockedSince.IsZero() {
		h.Oldest = now.Sub(d.blockedSince)
	}
	return h
}

// hasBlockedWrite tells whether a write waits.
func (d *faultyDisk) hasBlockedWrite() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.blockedSince.IsZero()
}

func (d *faultyDisk) setFailWrites(full bool) {
	d.mu.Lock()
	d.failWrites = full
	d.mu.Unlock()
}

func (d *faultyDisk) stall(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		d.writesBlocked = make(chan struct{})
		return
	}
	close(d.writesBlocked)
	d.writesBlocked, d.blockedSince = nil, time.Time{}
}

// stateDir is a folder for a machine's state, in memory where there is such a file system: the
// tests are about processes, and their disks are one that many of them share.
func stateDir(t testing.TB) string {
	dir, err := os.MkdirTemp("/dev/shm", "core")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { require.NoError(t, os.RemoveAll(dir)) })
	return dir
}

// addressCount counts all of the tests.
var addressCount atomic.Int32

func newTestCluster(t testing.TB, disks, others int) *testCluster {
	cluster := &testCluster{tb: t, machineLosses: 1, check: applyNumber, partitions: map[[2]string]bool{}, partitionsChanged: make(chan struct{})}
	for i := range disks + others {
		// An address of its own: no outgoing connection ever has its port.
		n := addressCount.Add(1)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n/250, 1+n%250))
		require.NoError(t, err)
		node := &testNode{tb: t, zone: "z", addr: ln.Addr().String()}
		require.NoError(t, ln.Close())
		if i < disks {
			node.dir = stateDir(t)
		}
		cluster.nodes = append(cluster.nodes, node)
		if i < 3 {
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

// start starts a process; it answers calls when start returns.
func (cluster *testCluster) start(node *testNode, first bool) {
	ln, err := net.Listen("tcp", node.addr)
	require.NoError(cluster.tb, err)
	pool := rpc.NewPool()
	node.changes = make(chan struct{}, 1)
	note := func() {
		select {
		case node.changes <- struct{}{}:
		default:
		}
	}
	if node.ack == 0 {
		node.ack = 5 * time.Second
	}
	member, err := Open(Options{Addr: node.addr, Zone: node.zone, StateDir: node.dir, HasDisk: node.dir != "", FirstStart: first,
		Seeds: func() []string { return cluster.seeds }, Losses: cluster.machineLosses, ZoneLosses: cluster.zoneLosses, Counted: true, Pool: pool, Validate: cluster.check, RequestTimeout: node.ack,
		OnCommit: func(v chain.Value) {
			node.mu.Lock()
			node.commits = append(node.commits, v.Seq)
			node.mu.Unlock()
			note()
		}, OnView: func(view.View) { note() }})
	require.NoError(cluster.tb, err)
	node.disk = &faultyDisk{Store: member.disk.(*store.Store)}
	member.disk = node.disk
	member.intercept = func(ctx context.Context, to, name string, do func() error) error {
		cluster.mu.Lock()
		deaf, tap := cluster.unpushable != nil && cluster.unpushable.addr == to && name == "core.push", cluster.observeCall
		cluster.mu.Unlock()
		if tap != nil {
			tap(node.addr, name, false)
			defer tap(node.addr, name, true)
		}
		if deaf {
			<-ctx.Done()
			return ctx.Err()
		}
		if err := cluster.awaitDelivery(ctx, node.addr, to); err != nil {
			return err
		}
		if err := do(); err != nil {
			return err
		}
		return cluster.awaitDelivery(ctx, to, node.addr)
	}
	t := rpc.NewTable()
	member.RegisterHandlers(t)
	ctx, cancel := context.WithCancel(context.Background())
	node.member, node.cancel, node.done = member, cancel, make(chan struct{})
	done := node.done
	go func() {
		defer close(done)
		defer pool.Close()
		var wg sync.WaitGroup
		wg.Add(1)
		go func() { defer wg.Done(); _ = rpc.Serve(ctx, ln, t) }()
		_ = member.Run(ctx)
		wg.Wait()
	}()
}

// kill ends a process; what it kept stays on its disk.
func (node *testNode) kill() {
	if node.member != nil {
		node.cancel()
		<-node.done
		node.member = nil
	}
}

func (cluster *testCluster) startAll(first bool) {
	for _, node := range cluster.nodes {
		cluster.start(node, first)
	}
}

// waitUntil waits for something that views or values of a process bring.
func (node *testNode) waitUntil(what string, ok func() bool) {
	node.tb.Helper()
	end := time.NewTimer(waitLimit)
	defer end.Stop()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for !ok() {
		select {
		case <-node.changes:
		case <-poll.C:
		case <-end.C:
			require.FailNow(node.tb, "waited in vain", "%s; %+v", what, node.member.Status())
		}
	}
}

func (node *testNode) submitRevision(ifMatch, body int64) chain.Result {
	return node.submitUntilClear(revisionUpdate(ifMatch, body))
}

// submitUntilClear sends an order until it is clear what became of it.
func (node *testNode) submitUntilClear(update *chain.Update) chain.Result {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for {
		if result := node.member.Submit(ctx, update); result.Kind != chain.OutcomeUnknown || ctx.Err() != nil {
			return result
		}
	}
}

func (node *testNode) read() chain.Value {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for {
		v, err := node.member.Read(ctx)
		if err == nil || ctx.Err() != nil {
			require.NoError(node.tb, err)
			return v
		}
	}
}

func (node *testNode) chainLen() int {
	v, _ := node.member.View()
	return len(v.Chain)
}

func TestBootstrapAndUpdates(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 4, 2)
	cluster.startAll(true)
	for _, node := range cluster.nodes {
		node.waitUntil("view 1", func() bool { _, ok := node.member.View(); return ok })
	}
	v, _ := cluster.nodes[0].member.View()
	require.Len(t, v.Voters, 4)
	require.Len(t, v.Chain, 4)
	rev := int64(0)
	for i, node := range cluster.nodes {
		next := int64(10 * (i + 1))
		require.Equal(t, chain.Result{Kind: chain.OutcomeCommitted, Revision: next}, node.submitRevision(rev, next))
		require.Equal(t, chain.Result{Kind: chain.OutcomeCommitted, Revision: next}, cluster.nodes[0].submitRevision(rev, next), "the same again")
		require.Equal(t, chain.OutcomeConflict, node.submitRevision(rev, next+5).Kind)
		rev = next
	}
	require.Equal(t, chain.OutcomeInvalid, cluster.nodes[5].submitRevision(rev, 3).Kind)
	for _, node := range cluster.nodes {
		require.Equal(t, rev, node.read().Revision)
	}
}

func TestHeadStopsAndRejoins(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 4, 1)
	cluster.startAll(true)
	client := cluster.nodes[4]
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(0, 1).Kind)
	v, _ := client.member.View()
	head := cluster.nodeAt(v.Head().Addr)
	head.kill()
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(1, 2).Kind)
	require.Equal(t, int64(2), client.read().Revision)
	client.waitUntil("the head is left out", func() bool { return client.chainLen() == 3 })
	cluster.start(head, false)
	head.waitUntil("the chain is whole again", func() bool { return head.chainLen() == 4 })
	require.Equal(t, chain.OutcomeCommitted, head.submitRevision(2, 3).Kind)
	head.waitUntil("the value comes", func() bool { c, _ := head.member.Committed(); return c.Revision == 3 })
}

func TestWipedDiskJoinsAsNewMember(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 4, 1)
	cluster.startAll(true)
	client := cluster.nodes[4]
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(0, 1).Kind)
	node := cluster.nodes[1]
	was := node.member.Status().ID
	node.kill()
	node.dir = stateDir(t)
	cluster.start(node, false)
	require.NotEqual(t, was, node.member.Status().ID)
	node.waitUntil("the newcomer votes and is in the chain", func() bool {
		v, _ := node.member.View()
		return node.member.IsVoter() && len(v.Voters) == 4 && len(v.Chain) == 4
	})
	require.Equal(t, chain.OutcomeCommitted, node.submitRevision(1, 2).Kind)
}

func (cluster *testCluster) nodeAt(addr string) *testNode {
	for _, node := range cluster.nodes {
		if node.addr == addr {
			return node
		}
	}
	require.FailNow(cluster.tb, "no process at "+addr)
	return nil
}
