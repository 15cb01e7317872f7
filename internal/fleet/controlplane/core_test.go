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

func TestMain(m *testing.M) { leaktest.Main(m) }

// waitLimit bounds each wait of a test; it is reached only where something is broken.
const waitLimit = 20 * time.Second

// applyNumber takes bodies that are numbers above the current one.
func applyNumber(cur []byte, o *chain.Update) ([]byte, int64, error) {
	n, err := strconv.ParseInt(string(o.Body), 10, 64)
	if err != nil || n <= 0 {
		return nil, 0, errors.New("no number")
	}
	return o.Body, n, nil
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

func (s *testCluster) setObserveCall(tap func(from, name string, answered bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeCall = tap
}

// partition loses what is sent from one process to others, until it is whole again.
func (s *testCluster) partition(from, to *testNode, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions[[2]string{from.addr, to.addr}] = lost
	close(s.partitionsChanged)
	s.partitionsChanged = make(chan struct{})
}

// isolate cuts a process from all others, both ways or only what it sends.
func (s *testCluster) isolate(p *testNode, lost, bothWays bool) {
	for _, o := range s.nodes {
		if o != p {
			s.partition(p, o, lost)
			if bothWays {
				s.partition(o, p, lost)
			}
		}
	}
}

// awaitDelivery waits until what is sent from one process to another arrives.
func (s *testCluster) awaitDelivery(ctx context.Context, from, to string) error {
	for {
		s.mu.Lock()
		lost, heal := s.partitions[[2]string{from, to}], s.partitionsChanged
		s.mu.Unlock()
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
	s := &testCluster{tb: t, machineLosses: 1, check: applyNumber, partitions: map[[2]string]bool{}, partitionsChanged: make(chan struct{})}
	for i := range disks + others {
		// An address of its own: no outgoing connection ever has its port.
		n := addressCount.Add(1)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n/250, 1+n%250))
		require.NoError(t, err)
		p := &testNode{tb: t, zone: "z", addr: ln.Addr().String()}
		require.NoError(t, ln.Close())
		if i < disks {
			p.dir = stateDir(t)
		}
		s.nodes = append(s.nodes, p)
		if i < 3 {
			s.seeds = append(s.seeds, p.addr)
		}
	}
	t.Cleanup(func() {
		for _, p := range s.nodes {
			p.kill()
		}
	})
	return s
}

// start starts a process; it answers calls when start returns.
func (s *testCluster) start(p *testNode, first bool) {
	ln, err := net.Listen("tcp", p.addr)
	require.NoError(s.tb, err)
	pool := rpc.NewPool()
	p.changes = make(chan struct{}, 1)
	note := func() {
		select {
		case p.changes <- struct{}{}:
		default:
		}
	}
	if p.ack == 0 {
		p.ack = 5 * time.Second
	}
	m, err := Open(Options{Addr: p.addr, Zone: p.zone, StateDir: p.dir, HasDisk: p.dir != "", FirstStart: first,
		Seeds: func() []string { return s.seeds }, Losses: s.machineLosses, ZoneLosses: s.zoneLosses, Counted: true, Pool: pool, Validate: s.check, RequestTimeout: p.ack,
		OnCommit: func(v chain.Value) {
			p.mu.Lock()
			p.commits = append(p.commits, v.Seq)
			p.mu.Unlock()
			note()
		}, OnView: func(view.View) { note() }})
	require.NoError(s.tb, err)
	p.disk = &faultyDisk{Store: m.disk.(*store.Store)}
	m.disk = p.disk
	m.intercept = func(ctx context.Context, to, name string, do func() error) error {
		s.mu.Lock()
		deaf, tap := s.unpushable != nil && s.unpushable.addr == to && name == "core.push", s.observeCall
		s.mu.Unlock()
		if tap != nil {
			tap(p.addr, name, false)
			defer tap(p.addr, name, true)
		}
		if deaf {
			<-ctx.Done()
			return ctx.Err()
		}
		if err := s.awaitDelivery(ctx, p.addr, to); err != nil {
			return err
		}
		if err := do(); err != nil {
			return err
		}
		return s.awaitDelivery(ctx, to, p.addr)
	}
	t := rpc.NewTable()
	m.RegisterHandlers(t)
	ctx, cancel := context.WithCancel(context.Background())
	p.member, p.cancel, p.done = m, cancel, make(chan struct{})
	done := p.done
	go func() {
		defer close(done)
		defer pool.Close()
		var wg sync.WaitGroup
		wg.Add(1)
		go func() { defer wg.Done(); _ = rpc.Serve(ctx, ln, t) }()
		_ = m.Run(ctx)
		wg.Wait()
	}()
}

// kill ends a process; what it kept stays on its disk.
func (p *testNode) kill() {
	if p.member != nil {
		p.cancel()
		<-p.done
		p.member = nil
	}
}

func (s *testCluster) startAll(first bool) {
	for _, p := range s.nodes {
		s.start(p, first)
	}
}

// waitUntil waits for something that views or values of a process bring.
func (p *testNode) waitUntil(what string, ok func() bool) {
	p.tb.Helper()
	end := time.NewTimer(waitLimit)
	defer end.Stop()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for !ok() {
		select {
		case <-p.changes:
		case <-poll.C:
		case <-end.C:
			require.FailNow(p.tb, "waited in vain", "%s; %+v", what, p.member.Status())
		}
	}
}

func (p *testNode) submitRevision(ifMatch, body int64) chain.Result {
	return p.submitUntilClear(revisionUpdate(ifMatch, body))
}

// submitUntilClear sends an order until it is clear what became of it.
func (p *testNode) submitUntilClear(o *chain.Update) chain.Result {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for {
		if v := p.member.Submit(ctx, o); v.Kind != chain.OutcomeUnknown || ctx.Err() != nil {
			return v
		}
	}
}

func (p *testNode) read() chain.Value {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for {
		v, err := p.member.Read(ctx)
		if err == nil || ctx.Err() != nil {
			require.NoError(p.tb, err)
			return v
		}
	}
}

func (p *testNode) chainLen() int {
	v, _ := p.member.View()
	return len(v.Chain)
}

func TestBootstrapAndUpdates(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 4, 2)
	s.startAll(true)
	for _, p := range s.nodes {
		p.waitUntil("view 1", func() bool { _, ok := p.member.View(); return ok })
	}
	v, _ := s.nodes[0].member.View()
	require.Len(t, v.Voters, 4)
	require.Len(t, v.Chain, 4)
	rev := int64(0)
	for i, p := range s.nodes {
		next := int64(10 * (i + 1))
		require.Equal(t, chain.Result{Kind: chain.OutcomeCommitted, Revision: next}, p.submitRevision(rev, next))
		require.Equal(t, chain.Result{Kind: chain.OutcomeCommitted, Revision: next}, s.nodes[0].submitRevision(rev, next), "the same again")
		require.Equal(t, chain.OutcomeConflict, p.submitRevision(rev, next+5).Kind)
		rev = next
	}
	require.Equal(t, chain.OutcomeInvalid, s.nodes[5].submitRevision(rev, 3).Kind)
	for _, p := range s.nodes {
		require.Equal(t, rev, p.read().Revision)
	}
}

func TestHeadStopsAndRejoins(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 4, 1)
	s.startAll(true)
	out := s.nodes[4]
	require.Equal(t, chain.OutcomeCommitted, out.submitRevision(0, 1).Kind)
	v, _ := out.member.View()
	head := s.nodeAt(v.Head().Addr)
	head.kill()
	require.Equal(t, chain.OutcomeCommitted, out.submitRevision(1, 2).Kind)
	require.Equal(t, int64(2), out.read().Revision)
	out.waitUntil("the head is left out", func() bool { return out.chainLen() == 3 })
	s.start(head, false)
	head.waitUntil("the chain is whole again", func() bool { return head.chainLen() == 4 })
	require.Equal(t, chain.OutcomeCommitted, head.submitRevision(2, 3).Kind)
	head.waitUntil("the value comes", func() bool { c, _ := head.member.Committed(); return c.Revision == 3 })
}

func TestWipedDiskJoinsAsNewMember(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 4, 1)
	s.startAll(true)
	out := s.nodes[4]
	require.Equal(t, chain.OutcomeCommitted, out.submitRevision(0, 1).Kind)
	p := s.nodes[1]
	was := p.member.Status().ID
	p.kill()
	p.dir = stateDir(t)
	s.start(p, false)
	require.NotEqual(t, was, p.member.Status().ID)
	p.waitUntil("the newcomer votes and is in the chain", func() bool {
		v, _ := p.member.View()
		return p.member.IsVoter() && len(v.Voters) == 4 && len(v.Chain) == 4
	})
	require.Equal(t, chain.OutcomeCommitted, p.submitRevision(1, 2).Kind)
}

func (s *testCluster) nodeAt(addr string) *testNode {
	for _, p := range s.nodes {
		if p.addr == addr {
			return p
		}
	}
	require.FailNow(s.tb, "no process at "+addr)
	return nil
}
