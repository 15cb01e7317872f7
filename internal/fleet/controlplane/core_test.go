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

// patience bounds each wait of a test; it is reached only where something is broken.
const patience = 20 * time.Second

// checkNumber takes bodies that are numbers above the current one.
func checkNumber(cur []byte, o *chain.Order) ([]byte, int64, error) {
	n, err := strconv.ParseInt(string(o.Body), 10, 64)
	if err != nil || n <= 0 {
		return nil, 0, errors.New("no number")
	}
	return o.Body, n, nil
}

// proc is one process of a site on loopback; its machine keeps its address and its folder.
type proc struct {
	t       testing.TB
	addr    string
	zone    string
	dir     string
	m       *Member
	stop    context.CancelFunc
	done    chan struct{}
	mu      sync.Mutex
	commits []uint64
	changes chan struct{} // a view or a value came
	disk    *badDisk
	ack     time.Duration // AckWithin
}

type site struct {
	t     testing.TB
	seeds []string
	procs []*proc
	loss  int // of machines
	zones int // losses of zones
	check chain.Check

	mu   sync.Mutex
	cuts map[[2]string]bool                     // what is sent from one address to the other is lost
	heal chan struct{}                          // closed when cuts change
	deaf *proc                                  // no push of a value reaches it
	tap  func(from, name string, answered bool) // sees each call as it is sent and as it is answered
}

func (s *site) setTap(tap func(from, name string, answered bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tap = tap
}

// cut loses what is sent from one process to others, until it is whole again.
func (s *site) cut(from, to *proc, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[[2]string{from.addr, to.addr}] = lost
	close(s.heal)
	s.heal = make(chan struct{})
}

// isolate cuts a process from all others, both ways or only what it sends.
func (s *site) isolate(p *proc, lost, bothWays bool) {
	for _, o := range s.procs {
		if o != p {
			s.cut(p, o, lost)
			if bothWays {
				s.cut(o, p, lost)
			}
		}
	}
}

// through waits until what is sent from one process to another arrives.
func (s *site) through(ctx context.Context, from, to string) error {
	for {
		s.mu.Lock()
		lost, heal := s.cuts[[2]string{from, to}], s.heal
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

// badDisk is a store whose disk can be made to refuse or to hold up all writes.
type badDisk struct {
	*store.Store
	mu      sync.Mutex
	full    bool
	stalled chan struct{} // writes wait for its end
	since   time.Time     // the oldest write that waits
	failing time.Time
}

func (d *badDisk) Put(key string, val []byte) error {
	d.mu.Lock()
	full, stalled := d.full, d.stalled
	if now := time.Now(); full && d.failing.IsZero() {
		d.failing = now
	} else if stalled != nil && d.since.IsZero() {
		d.since = now
	} else if !full {
		d.failing = time.Time{}
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

func (d *badDisk) Probe() error { return d.Put("probe", nil) }

func (d *badDisk) Health(now time.Time) store.Health {
	h := d.Store.Health(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.failing.IsZero() {
		h.Failing = max(1, now.Sub(d.failing))
	}
	if !d.since.IsZero() {
		h.Oldest = now.Sub(d.since)
	}
	return h
}

// holds tells whether a write waits.
func (d *badDisk) holds() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.since.IsZero()
}

func (d *badDisk) setFull(full bool) {
	d.mu.Lock()
	d.full = full
	d.mu.Unlock()
}

func (d *badDisk) stall(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		d.stalled = make(chan struct{})
		return
	}
	close(d.stalled)
	d.stalled, d.since = nil, time.Time{}
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

// machines counts all of the tests.
var machines atomic.Int32

func newSite(t testing.TB, disks, others int) *site {
	s := &site{t: t, loss: 1, check: checkNumber, cuts: map[[2]string]bool{}, heal: make(chan struct{})}
	for i := range disks + others {
		// An address of its own: no outgoing connection ever has its port.
		n := machines.Add(1)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n/250, 1+n%250))
		require.NoError(t, err)
		p := &proc{t: t, zone: "z", addr: ln.Addr().String()}
		require.NoError(t, ln.Close())
		if i < disks {
			p.dir = stateDir(t)
		}
		s.procs = append(s.procs, p)
		if i < 3 {
			s.seeds = append(s.seeds, p.addr)
		}
	}
	t.Cleanup(func() {
		for _, p := range s.procs {
			p.kill()
		}
	})
	return s
}

// start starts a process; it answers calls when start returns.
func (s *site) start(p *proc, first bool) {
	ln, err := net.Listen("tcp", p.addr)
	require.NoError(s.t, err)
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
	m, err := Open(Options{Addr: p.addr, Zone: p.zone, Dir: p.dir, HasDisk: p.dir != "", FirstStart: first,
		Seeds: func() []string { return s.seeds }, Losses: s.loss, ZoneLosses: s.zones, Counted: true, Pool: pool, Check: s.check, AckWithin: p.ack,
		OnCommit: func(v chain.Value) {
			p.mu.Lock()
			p.commits = append(p.commits, v.Seq)
			p.mu.Unlock()
			note()
		}, OnView: func(view.View) { note() }})
	require.NoError(s.t, err)
	p.disk = &badDisk{Store: m.store.(*store.Store)}
	m.store = p.disk
	m.link = func(ctx context.Context, to, name string, do func() error) error {
		s.mu.Lock()
		deaf, tap := s.deaf != nil && s.deaf.addr == to && name == "core.push", s.tap
		s.mu.Unlock()
		if tap != nil {
			tap(p.addr, name, false)
			defer tap(p.addr, name, true)
		}
		if deaf {
			<-ctx.Done()
			return ctx.Err()
		}
		if err := s.through(ctx, p.addr, to); err != nil {
			return err
		}
		if err := do(); err != nil {
			return err
		}
		return s.through(ctx, to, p.addr)
	}
	t := rpc.NewTable()
	m.Declare(t)
	ctx, cancel := context.WithCancel(context.Background())
	p.m, p.stop, p.done = m, cancel, make(chan struct{})
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
func (p *proc) kill() {
	if p.m != nil {
		p.stop()
		<-p.done
		p.m = nil
	}
}

func (s *site) startAll(first bool) {
	for _, p := range s.procs {
		s.start(p, first)
	}
}

// until waits for something that views or values of a process bring.
func (p *proc) until(what string, ok func() bool) {
	p.t.Helper()
	end := time.NewTimer(patience)
	defer end.Stop()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for !ok() {
		select {
		case <-p.changes:
		case <-poll.C:
		case <-end.C:
			require.FailNow(p.t, "waited in vain", "%s; %+v", what, p.m.Status())
		}
	}
}

func (p *proc) order(ifMatch, body int64) chain.Verdict { return p.submit(orderOf(ifMatch, body)) }

// submit sends an order until it is clear what became of it.
func (p *proc) submit(o *chain.Order) chain.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		if v := p.m.Submit(ctx, o); v.Kind != chain.Unclear || ctx.Err() != nil {
			return v
		}
	}
}

func (p *proc) read() chain.Value {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		v, err := p.m.Read(ctx)
		if err == nil || ctx.Err() != nil {
			require.NoError(p.t, err)
			return v
		}
	}
}

func (p *proc) chainLen() int {
	v, _ := p.m.View()
	return len(v.Chain)
}

func TestFoundingAndOrders(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 2)
	s.startAll(true)
	for _, p := range s.procs {
		p.until("view 1", func() bool { _, ok := p.m.View(); return ok })
	}
	v, _ := s.procs[0].m.View()
	require.Len(t, v.Voters, 4)
	require.Len(t, v.Chain, 4)
	rev := int64(0)
	for i, p := range s.procs {
		next := int64(10 * (i + 1))
		require.Equal(t, chain.Verdict{Kind: chain.Taken, Revision: next}, p.order(rev, next))
		require.Equal(t, chain.Verdict{Kind: chain.Taken, Revision: next}, s.procs[0].order(rev, next), "the same again")
		require.Equal(t, chain.Conflict, p.order(rev, next+5).Kind)
		rev = next
	}
	require.Equal(t, chain.Invalid, s.procs[5].order(rev, 3).Kind)
	for _, p := range s.procs {
		require.Equal(t, rev, p.read().Revision)
	}
}

func TestHeadStopsAndRejoins(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 1)
	s.startAll(true)
	out := s.procs[4]
	require.Equal(t, chain.Taken, out.order(0, 1).Kind)
	v, _ := out.m.View()
	head := s.at(v.Head().Addr)
	head.kill()
	require.Equal(t, chain.Taken, out.order(1, 2).Kind)
	require.Equal(t, int64(2), out.read().Revision)
	out.until("the head is left out", func() bool { return out.chainLen() == 3 })
	s.start(head, false)
	head.until("the chain is whole again", func() bool { return head.chainLen() == 4 })
	require.Equal(t, chain.Taken, head.order(2, 3).Kind)
	head.until("the value comes", func() bool { c, _ := head.m.Committed(); return c.Revision == 3 })
}

func TestWipedDiskIsANewcomer(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 1)
	s.startAll(true)
	out := s.procs[4]
	require.Equal(t, chain.Taken, out.order(0, 1).Kind)
	p := s.procs[1]
	was := p.m.Status().ID
	p.kill()
	p.dir = stateDir(t)
	s.start(p, false)
	require.NotEqual(t, was, p.m.Status().ID)
	p.until("the newcomer votes and is in the chain", func() bool {
		v, _ := p.m.View()
		return p.m.IsCore() && len(v.Voters) == 4 && len(v.Chain) == 4
	})
	require.Equal(t, chain.Taken, p.order(1, 2).Kind)
}

func (s *site) at(addr string) *proc {
	for _, p := range s.procs {
		if p.addr == addr {
			return p
		}
	}
	require.FailNow(s.t, "no process at "+addr)
	return nil
}
