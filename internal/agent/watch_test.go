package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// pipeDiscovery answers calls over pipes, so that it can be used in simulated time. A call that it
// does not answer stays open, like one whose connection was cut.
type pipeDiscovery struct {
	mu             sync.Mutex
	list           TargetList
	unresponsive   bool      // to calls from now on
	calls          int       // so far
	abandonedCalls int       // of the first calls none is ever answered
	lastCallAt     time.Time // when the last one arrived
	wakeWatches    chan struct{}
}

func newPipeDiscovery(servers ...Target) *pipeDiscovery {
	return &pipeDiscovery{list: TargetList{Version: 1, Full: true, Servers: servers},
		wakeWatches: make(chan struct{})}
}

// change changes the discovery and wakes its watches.
func (q *pipeDiscovery) change(do func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	do()
	close(q.wakeWatches)
	q.wakeWatches = make(chan struct{})
}

func (q *pipeDiscovery) drain(id string) {
	q.change(func() {
		q.list.Version++
		for i := range q.list.Servers {
			if q.list.Servers[i].ID == id {
				q.list.Servers[i].State = "draining"
			}
		}
	})
}

// opened waits for the first call and returns when it arrived.
func (q *pipeDiscovery) opened() time.Time {
	for {
		q.mu.Lock()
		calls, since := q.calls, q.lastCallAt
		q.mu.Unlock()
		if calls > 0 {
			return since
		}
		time.Sleep(time.Millisecond) // simulated
	}
}

func (q *pipeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	q.mu.Lock()
	q.calls++
	q.lastCallAt = time.Now()
	call, deaf := q.calls, q.unresponsive
	q.mu.Unlock()
	if deaf {
		<-r.Context().Done()
		return
	}
	for ended := err != nil; ; {
		q.mu.Lock()
		l, wake, silent := q.list, q.wakeWatches, call <= q.abandonedCalls
		q.mu.Unlock()
		if !silent && (ended || l.Version > index) {
			_ = json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-wake:
		case <-over:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// pipeNetwork is a network on which a discovery is reached by an address.
type pipeNetwork struct {
	ctx       context.Context // of the test
	mu        sync.Mutex
	listeners map[string]chan net.Conn
}

func (p *pipeNetwork) serve(ctx context.Context, addr string, h http.Handler) {
	conns := make(chan net.Conn)
	p.mu.Lock()
	p.listeners[addr] = conns
	p.mu.Unlock()
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(&pipeListener{ctx, conns}) }()
	context.AfterFunc(ctx, func() { srv.Close() })
}

func (p *pipeNetwork) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	p.mu.Lock()
	conns := p.listeners[addr]
	p.mu.Unlock()
	near, far := net.Pipe()
	select {
	case conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done(): // the transport continues a call that nobody waits for
		return nil, p.ctx.Err()
	}
}

type pipeListener struct {
	ctx   context.Context
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// simulatedAgent is a loop with its discovery on pipes, in a bubble of simulated time.
type simulatedAgent struct {
	t    *testing.T
	net  *pipeNetwork
	loop *eventLoop
}

func startSimulatedAgent(t *testing.T, q *pipeDiscovery, known TargetList,
	membership policy.MembershipMode) *simulatedAgent {
	ctx, stop := context.WithCancel(context.Background())
	a := &simulatedAgent{t: t, net: &pipeNetwork{ctx: ctx, listeners: map[string]chan net.Conn{}}}
	a.net.serve(ctx, "one:1", q)
	cfg, err := testConfig("127.0.0.1:1", "one:1", known)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Settings.Membership = membership
	if a.loop, err = newEventLoop(ctx, cfg, func() {}); err != nil {
		t.Fatal(err)
	}
	a.loop.dialDiscovery = a.net.dial
	a.loop.useDiscovery("one:1")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.loop.run()
	}()
	t.Cleanup(func() {
		stop()
		<-ended
		synctest.Wait()
	})
	return a
}

// sendsTo reports whether the agent would send to a backend.
func (a *simulatedAgent) sendsTo(id string) bool {
	got := make(chan bool, 1)
	a.loop.post(func() {
		b := a.loop.backends.byID[id]
		got <- b != nil && !b.unavailable.Load()
	})
	return <-got
}

// mustStopSending fails the test unless the agent has stopped to send to a backend by a moment.
func (a *simulatedAgent) mustStopSending(id string, by time.Time) {
	a.t.Helper()
	time.Sleep(time.Until(by))
	synctest.Wait()
	if a.sendsTo(id) {
		a.t.Errorf("the agent still sends to %s, whose drain counts as known", id)
	}
}

const (
	// What the contract says of an unresponsive discovery: a change counts as known so long after a watch
	// became unresponsive, or so long after the end of its timeout where that is later; and after SIGHUP.
	unresponsiveDeadline, watchEndDeadline, reloadDeadline = 6 * time.Second, 2 * time.Second, 4 * time.Second
	// immediately is the time that an agent has for what it counts as knowing from the first moment.
	immediately = 250 * time.Millisecond
)

// Each sentence of the contract on when a change counts as known, in simulated time. Pushed and
// requested changes have the same clock.
func TestDiscoverySilence(t *testing.T) {
	two := func() []Target { return []Target{target("s-1", "127.0.0.1:2"), target("s-2", "127.0.0.1:3")} }
	each := func(name string, play func(t *testing.T, membership policy.MembershipMode)) {
		for _, membership := range []policy.MembershipMode{policy.MembershipPushed, policy.MembershipOnRequest} {
			t.Run(name+" "+string(membership), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { play(t, membership) })
			})
		}
	}
	// An open watch on a responsive discovery reports at once.
	each("responsive", func(t *testing.T, membership policy.MembershipMode) {
		discovery := newPipeDiscovery(two()...)
		agent := startSimulatedAgent(t, discovery, discovery.list, membership)
		time.Sleep(3 * time.Second)
		discovery.drain("s-1")
		agent.mustStopSending("s-1", time.Now().Add(immediately))
	})
	// A watch becomes unresponsive at the start, in the middle or at the end of its timeout: the next one
	// reports later changes in time, whether they came at once or late.
	for _, into := range []time.Duration{0, 4 * time.Second, watchTimeout - time.Millisecond} {
		for _, change := range []time.Duration{0, 5 * time.Second} {
			each("unresponsive after "+into.String()+", change after "+change.String(), func(t *testing.T,
				membership policy.MembershipMode) {
				discovery := newPipeDiscovery(two()...)
				agent := startSimulatedAgent(t, discovery, discovery.list, membership)
				opened := discovery.opened()
				time.Sleep(time.Until(opened.Add(into)))
				synctest.Wait()
				discovery.change(func() { discovery.abandonedCalls = discovery.calls })
				fell := time.Now()
				time.Sleep(change)
				discovery.drain("s-1")
				told := later(fell.Add(unresponsiveDeadline), opened.Add(watchTimeout+watchEndDeadline))
				agent.mustStopSending("s-1", told)
			})
		}
	}
	// Where changes are pushed, the current list counts as known from the first moment of a new process,
	// however old the list that it was started with.
	t.Run("restart", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			discovery := newPipeDiscovery(two()...)
			old := TargetList{Version: 1, Full: true, Servers: two()}
			discovery.drain("s-1")
			agent := startSimulatedAgent(t, discovery, old, "pushed")
			agent.mustStopSending("s-1", time.Now().Add(immediately))
		})
	})
	// The same after an outage in which the process was started: its first call gets no answer.
	t.Run("restart in an outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			discovery := newPipeDiscovery(two()...)
			old := TargetList{Version: 1, Full: true, Servers: two()}
			discovery.change(func() { discovery.unresponsive = true })
			discovery.drain("s-1")
			agent := startSimulatedAgent(t, discovery, old, "pushed")
			opened := discovery.opened()
			time.Sleep(3 * time.Second)
			discovery.change(func() { discovery.unresponsive = false })
			agent.mustStopSending("s-1", opened.Add(watchTimeout+watchEndDeadline))
		})
	})
	// After SIGHUP the list of the new discovery counts as known 4 s later, though the watch on the old
	// one is unresponsive, and though the new one does not answer the first call.
	for _, outage := range []time.Duration{0, time.Second, 2500 * time.Millisecond} {
		each("SIGHUP, unresponsive for "+outage.String(), func(t *testing.T, membership policy.MembershipMode) {
			discovery, next := newPipeDiscovery(two()...), newPipeDiscovery(two()...)
			agent := startSimulatedAgent(t, discovery, discovery.list, membership)
			time.Sleep(time.Second)
			discovery.change(func() { discovery.abandonedCalls = discovery.calls })
			next.drain("s-1")
			next.change(func() { next.unresponsive = outage > 0 })
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			agent.net.serve(ctx, "two:2", next)
			hup := time.Now()
			agent.loop.post(func() { agent.loop.switchDiscovery("two:2") })
			time.Sleep(outage)
			next.change(func() { next.unresponsive = false })
			agent.mustStopSending("s-1", hup.Add(reloadDeadline))
		})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
