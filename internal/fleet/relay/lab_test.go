package relay

import (
	"bytes"
	"context"
	"fmt"
	"net"
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

// patience bounds every wait.
const patience = 30 * time.Second

// fakeCore is the core as a test wants it.
type fakeCore struct {
	core, linked atomic.Bool
	hubs         atomic.Pointer[[]Peer]
}

func newCore(core, linked bool, hubs ...Peer) *fakeCore {
	c := &fakeCore{}
	c.core.Store(core)
	c.linked.Store(linked)
	c.hubs.Store(&hubs)
	return c
}

func (c *fakeCore) IsCore() bool { return c.core.Load() }
func (c *fakeCore) Linked() bool { return c.linked.Load() }
func (c *fakeCore) Hubs() []Peer { return *c.hubs.Load() }

// wires is what lies between the agents of a lab: each is reached through a gate that knows who
// calls, by the address in the hello. A cut link holds all bytes up, without a word to either end.
type wires struct {
	ctx     context.Context
	wg      sync.WaitGroup
	mu      sync.Mutex
	addrs   []string
	cut     map[[2]string]bool          // from, to
	rates   map[[2]string]*rate.Limiter // of slow links, in bytes a second
	changed chan struct{}
}

// slow bounds what a link carries to so many bytes a second.
func (w *wires) slow(from, to string, bytesPerSecond int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rates[[2]string{from, to}] = rate.NewLimiter(rate.Limit(bytesPerSecond), copyBuffer)
}

// throttle waits until a link has carried so many bytes.
func (w *wires) throttle(from, to string, bytes int) bool {
	w.mu.Lock()
	limiter := w.rates[[2]string{from, to}]
	w.mu.Unlock()
	return limiter == nil || limiter.WaitN(w.ctx, bytes) == nil
}

// copyBuffer is how much a link carries at once.
const copyBuffer = 64 << 10

func (w *wires) set(from, to string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{from, to}] = cut
	close(w.changed)
	w.changed = make(chan struct{})
}

// pass waits until a link carries.
func (w *wires) pass(from, to string) bool {
	for {
		w.mu.Lock()
		cut, changed := w.cut[[2]string{from, to}], w.changed
		w.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-w.ctx.Done():
			return false
		}
	}
}

// gate carries connections to an agent, until the lab ends.
func (w *wires) gate(ln net.Listener, a *agent) {
	w.wg.Go(func() {
		<-w.ctx.Done()
		ln.Close()
	})
	w.wg.Go(func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			w.wg.Go(func() { w.carry(in, a) })
		}
	})
}

func (w *wires) carry(in net.Conn, a *agent) {
	behind := a.behind.Load()
	if behind == nil { // it has not started
		in.Close()
		return
	}
	out, err := net.Dial("tcp", *behind)
	if err != nil {
		in.Close()
		return
	}
	stop := context.AfterFunc(w.ctx, func() { in.Close(); out.Close() })
	defer stop()
	copying := func(dst, src net.Conn, pass func([]byte) bool) {
		defer dst.Close()
		defer src.Close()
		buf := make([]byte, copyBuffer)
		for {
			n, err := src.Read(buf)
			if n > 0 {
				if !pass(buf[:n]) {
					return
				}
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	var first []byte
	caller, known, knows := "", make(chan struct{}), func() {}
	knows = sync.OnceFunc(func() { close(known) })
	var wg sync.WaitGroup
	wg.Go(func() {
		defer knows()
		copying(out, in, func(p []byte) bool {
			if caller == "" {
				first = append(first, p...)
				for _, from := range w.addrs {
					if from != a.Addr && bytes.Contains(first, []byte(from)) {
						caller = from
						knows()
					}
				}
			}
			return w.pass(caller, a.Addr) && w.throttle(caller, a.Addr, len(p))
		})
	})
	wg.Go(func() {
		copying(in, out, func(p []byte) bool {
			<-known // the answering side says nothing before the hello
			return w.pass(a.Addr, caller) && w.throttle(a.Addr, caller, len(p))
		})
	})
	wg.Wait()
}

// agent is one process of a lab, over all its lives.
type agent struct {
	*lab
	Member
	*fakeCore
	behind atomic.Pointer[string] // where it listens behind its gate, once it has started
	hub    *Hub
	snap   atomic.Pointer[Snapshot]
	disk   atomic.Pointer[[]byte] // the list of servers, if it has one
	seeds  func() []string
	stop   func() // ends it without a word
}

// lab is a core of hubs and agents beside it, over loopback.
type lab struct {
	*wires
	t            *testing.T
	beat         time.Duration
	disks        bool
	hubs, agents []*agent
}

// newLab makes so many of both, and starts none. Their core is linked.
func newLab(t *testing.T, hubs, agents int) *lab {
	ctx, cancel := context.WithCancel(context.Background())
	l := &lab{t: t, beat: 500 * time.Millisecond, wires: &wires{ctx: ctx, cut: map[[2]string]bool{}, rates: map[[2]string]*rate.Limiter{}, changed: make(chan struct{})}}
	t.Cleanup(func() {
		for _, a := range l.all() {
			a.stop()
		}
		cancel()
		l.wg.Wait()
	})
	var peers []Peer
	for i := range hubs + agents {
		a := &agent{lab: l, stop: func() {}, Member: Member{Zone: "far", Region: "region"}}
		if i%3 == 0 {
			a.Zone = "near"
		}
		if i < hubs {
			a.Name = fmt.Sprint("hub-", i)
			l.hubs = append(l.hubs, a)
		} else {
			a.Name = fmt.Sprint("agent-", i-hubs)
			l.agents = append(l.agents, a)
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		a.Addr, a.Control = ln.Addr().String(), "control of "+a.Name
		l.addrs = append(l.addrs, a.Addr)
		if i < hubs {
			peers = append(peers, Peer{a.Addr, a.Zone})
		}
		defer l.gate(ln, a) // once all addresses are known
	}
	for i, a := range l.all() {
		a.fakeCore = newCore(i < hubs, i < hubs, peers...)
		a.seeds = func() []string { return []string{peers[0].Addr} }
	}
	return l
}

func (l *lab) all() []*agent { return append(l.hubs[:len(l.hubs):len(l.hubs)], l.agents...) }

// start starts all, and has the core tell that there is no newer configuration.
func (l *lab) start() *lab {
	for _, a := range l.all() {
		a.start()
	}
	for _, h := range l.hubs {
		h.hub.Newest()
	}
	return l
}

// started is a lab in which all know all.
func started(t *testing.T, hubs, agents int) *lab {
	l := newLab(t, hubs, agents).start()
	l.settled(hubs + agents)
	return l
}

// settled waits until all that run are fresh and know so many members.
func (l *lab) settled(members int) {
	l.t.Helper()
	l.eventually("all know all", func(a *agent) bool {
		s := a.snap.Load()
		return s != nil && s.Fresh && s.Agents == members
	})
}

// eventually waits until it is so at all that run, or at those named.
func (l *lab) eventually(what string, is func(*agent) bool, at ...*agent) {
	l.t.Helper()
	if len(at) == 0 {
		for _, a := range l.all() {
			if a.hub != nil {
				at = append(at, a)
			}
		}
	}
	for _, a := range at {
		if !assert.Eventually(l.t, func() bool { return is(a) }, patience, 10*time.Millisecond, "%s: %s", what, a.Name) {
			for _, a := range l.all() {
				if a.hub != nil {
					l.t.Logf("%s: %+v", a.Name, a.hub.Report())
				}
			}
			l.t.FailNow()
		}
	}
}

// start begins a life.
func (a *agent) start() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(a.t, err)
	behind := ln.Addr().String()
	a.behind.Store(&behind)
	ctx, cancel := context.WithCancel(a.ctx)
	o := Options{Self: a.Member, Beat: a.beat, Core: a.fakeCore, Seeds: a.seeds}
	var last *Snapshot
	o.OnChange = func(s *Snapshot) { // it is called in order
		if last != nil {
			assert.GreaterOrEqual(a.t, s.Seq, last.Seq, "%s: the configuration went back", a.Name)
			assert.True(a.t, s.Fresh || !last.Fresh, "%s: was fresh", a.Name)
			assert.GreaterOrEqual(a.t, s.List.Version, last.List.Version, "%s: the list went back", a.Name)
		}
		assert.Positive(a.t, s.Agents)
		last = s
		a.snap.Store(s)
	}
	if a.disks {
		o.Save = func(b []byte) error { a.disk.Store(&b); return nil }
		if b := a.disk.Load(); b != nil {
			o.Saved = *b
		}
	}
	a.snap.Store(nil)
	a.hub = New(o)
	table := rpc.NewTable()
	a.hub.Declare(table)
	var wg sync.WaitGroup
	wg.Go(func() { assert.NoError(a.t, rpc.Serve(ctx, ln, table)) })
	wg.Go(func() { assert.NoError(a.t, a.hub.Run(ctx)) })
	a.stop = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
		a.hub = nil
	})
}

// cutOff cuts an agent from others, or joins them again.
func (a *agent) cutOff(cut bool, from ...*agent) {
	for _, b := range from {
		if a != b {
			a.set(a.Addr, b.Addr, cut)
			a.set(b.Addr, a.Addr, cut)
		}
	}
}

func server(id string, seq uint64) *registry.Instance {
	return &registry.Instance{ID: id, Service: "llm", Addr: "10.0.0.1:80", Zone: "near", Slots: 8, Seq: seq}
}

func drains(id string, seq uint64) *registry.Instance {
	in := server(id, seq)
	in.State = registry.Draining
	return in
}

// within is a context that ends after d, or with the test.
func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func (a *agent) call(in *registry.Instance) bool { return a.hub.Beat(within(a.t, patience), in) }

// beats has a server call the agent until stop is called.
func (a *agent) beats(id string) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	tick := time.NewTicker(a.beat)
	seq, hub := uint64(1), a.hub
	assert.True(a.t, a.call(server(id, seq)))
	wg.Go(func() {
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				seq++
				hub.Beat(a.ctx, server(id, seq))
			}
		}
	})
	stop = sync.OnceFunc(func() { close(done); wg.Wait() })
	a.t.Cleanup(stop)
	return stop
}

func lists(id string) func(*agent) bool {
	return func(a *agent) bool { s := a.snap.Load(); return s != nil && s.List.ByID[id] != nil }
}

func not(is func(*agent) bool) func(*agent) bool { return func(a *agent) bool { return !is(a) } }

func members(n int) func(*agent) bool {
	return func(a *agent) bool { s := a.snap.Load(); return s != nil && s.Agents == n }
}

func hasConfig(seq uint64) func(*agent) bool {
	return func(a *agent) bool { s := a.snap.Load(); return s != nil && s.Seq == seq && s.Doc != nil }
}

// document is a configuration of a revision.
func document(revision int) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"routes":[],"services":[]}`, revision)
}

// sessions are the peers that it has sessions with.
func (a *agent) sessions() (peers []string) {
	for _, s := range a.hub.Report().Sessions {
		peers = append(peers, s.Peer)
	}
	return peers
}

// tells tells whether a source has an item here.
func (a *agent) tells(source, key string) bool {
	a.hub.mu.Lock()
	defer a.hub.mu.Unlock()
	return a.hub.set.Item(source, key) != nil
}

// hubOf is the hub that an agent has a session with.
func (l *lab) hubOf(a *agent) *agent {
	for _, peer := range a.sessions() {
		for _, h := range l.hubs {
			if h.Addr == peer {
				return h
			}
		}
	}
	return nil
}
