package core

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/chain"
	"chalkdoor.example/chalkdoor/internal/leak"
	"chalkdoor.example/chalkdoor/internal/rpc"
	"chalkdoor.example/chalkdoor/internal/view"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) { leak.Main(m) }

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
	t       *testing.T
	addr    string
	dir     string
	m       *Member
	stop    context.CancelFunc
	done    chan struct{}
	mu      sync.Mutex
	commits []uint64
	changes chan struct{} // a view or a value came
}

type site struct {
	t     *testing.T
	seeds []string
	procs []*proc
	loss  int
}

func newSite(t *testing.T, disks, others int) *site {
	s := &site{t: t, loss: 1}
	for i := range disks + others {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		p := &proc{t: t, addr: ln.Addr().String()}
		require.NoError(t, ln.Close())
		if i < disks {
			p.dir = t.TempDir()
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
	m, err := Open(Options{Addr: p.addr, Zone: "z", Dir: p.dir, HasDisk: p.dir != "", FirstStart: first,
		Seeds: func() []string { return s.seeds }, Losses: s.loss, Counted: true, Pool: pool, Check: checkNumber, AckWithin: 5 * time.Second,
		OnCommit: func(v chain.Value) {
			p.mu.Lock()
			p.commits = append(p.commits, v.Seq)
			p.mu.Unlock()
			note()
		}, OnView: func(view.View) { note() }})
	require.NoError(s.t, err)
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

func (p *proc) order(ifMatch, body int64) chain.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	o := &chain.Order{IfMatch: ifMatch, Body: []byte(strconv.FormatInt(body, 10))}
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
	s := newSite(t, 4, 1)
	s.startAll(true)
	out := s.procs[4]
	require.Equal(t, chain.Taken, out.order(0, 1).Kind)
	p := s.procs[1]
	was := p.m.Status().ID
	p.kill()
	p.dir = t.TempDir()
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
