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

// pipeDiscovery is a discovery that is called over pipes, so that it works in simulated time. A call that it does
// not answer stays open, like one whose connection was cut.
type pipeDiscovery struct {
	mu             sync.Mutex
	list           TargetList
	unresponsive   bool      // new calls get no answer
	calls          int       // number of calls so far
	abandonedCalls int       // the first abandonedCalls calls never get an answer
	lastCallAt     time.Time // arrival of the last call
	wakeWatches    chan struct{}
}

func newPipeDiscovery(servers ...Target) *pipeDiscovery {
	return &pipeDiscovery{list: TargetList{Version: 1, Full: true, Servers: servers},
		wakeWatches: make(chan struct{})}
}

// change changes the discovery and wakes its watches.
func (d *pipeDiscovery) change(apply func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply()
	close(d.wakeWatches)
	d.wakeWatches = make(chan struct{})
}

func (d *pipeDiscovery) drain(id string) {
	d.change(func() {
		d.list.Version++
		for i := range d.list.Servers {
			if d.list.Servers[i].ID == id {
				d.list.Servers[i].State = "draining"
			}
		}
	})
}

// opened waits for the first call and returns the arrival of the last one.
func (d *pipeDiscovery) opened() time.Time {
	for {
		d.mu.Lock()
		calls, since := d.calls, d.lastCallAt
		d.mu.Unlock()
		if calls > 0 {
			return since
		}
		time.Sleep(time.Millisecond) // simulated time
	}
}

func (d *pipeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	d.mu.Lock()
	d.calls++
	d.lastCallAt = time.Now()
	call, unresponsive := d.calls, d.unresponsive
	d.mu.Unlock()
	if unresponsive {
		<-r.Context().Done()
		return
	}
	for ended := err != nil; ; {
		d.mu.Lock()
		l, wake, abandoned := d.list, d.wakeWatches, call <= d.abandonedCalls
		d.mu.Unlock()
		if !abandoned && (ended || l.Version > index) {
			_ = json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-wake:
		case <-expired:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// pipeNetwork is a simulated network in which discoveries are reached by their addresses.
type pipeNetwork struct {
	ctx       context.Context // context of the test
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
	case <-p.ctx.Done(): // the transport goes on dialing after its call was abandoned
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

// simulatedAgent is a loop in simulated time whose discovery is reached over pipes.
type simulatedAgent struct {
	t    *testing.T
	net  *pipeNetwork
	loop *eventLoop
}

func startSimulatedAgent(t *testing.T, d *pipeDiscovery, initialList TargetList,
	membership policy.MembershipMode) *simulatedAgent {
	ctx, stop := context.WithCancel(context.Background())
	a := &simulatedAgent{t: t, net: &pipeNetwork{ctx: ctx, listeners: map[string]chan net.Conn{}}}
	a.net.serve(ctx, "one:1", d)
	cfg, err := testConfig("127.0.0.1:1", "one:1", initialList)
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

// mustStopSending waits until a time, and fails the test if the agent would still send to a backend.
func (a *simulatedAgent) mustStopSending(id string, deadline time.Time) {
	a.t.Helper()
	time.Sleep(time.Until(deadline))
	synctest.Wait()
	if a.sendsTo(id) {
		a.t.Errorf("the agent still sends to %s after its drain counts as known", id)
	}
}

const (
	// The times after which the contract counts a change as known. If discovery is unresponsive, the change
	// counts as known unresponsiveDeadline after a watch became unresponsive, or watchEndDeadline after the
	// timeout of that watch, whichever is later. After SIGHUP it counts as known after reloadDeadline.
	unresponsiveDeadline, watchEndDeadline, reloadDeadline = 6 * time.Second, 2 * time.Second, 4 * time.Second
	// immediately is the time that an agent has for a change that counts as known at once.
	immediately = 250 * time.Millisecond
)

// Checks each sentence of the contract on when a change counts as known, in simulated time. The deadlines are the
// same for pushed and for requested changes.
func TestUnresponsiveDiscovery(t *testing.T) {
	twoTargets := func() []Target { return []Target{target("s-1", "127.0.0.1:2"), target("s-2", "127.0.0.1:3")} }
	each := func(name string, play func(t *testing.T, membership policy.MembershipMode)) {
		for _, membership := range []policy.MembershipMode{policy.MembershipPushed, policy.MembershipOnRequest} {
			t.Run(name+" "+string(membership), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { play(t, membership) })
			})
		}
	}
	// An open watch on a responsive discovery reports at once.
	each("responsive", func(t *testing.T, membership policy.MembershipMode) {
		discovery := newPipeDiscovery(twoTargets()...)
		agent := startSimulatedAgent(t, discovery, discovery.list, membership)
		time.Sleep(3 * time.Second)
		discovery.drain("s-1")
		agent.mustStopSending("s-1", time.Now().Add(immediately))
	})
	// A watch becomes unresponsive at the start, in the middle or at the end of its timeout. The next watch
	// reports later changes in time, whether they are made at once or late.
	for _, offset := range []time.Duration{0, 4 * time.Second, watchTimeout - time.Millisecond} {
		for _, change := range []time.Duration{0, 5 * time.Second} {
			each("unresponsive after "+offset.String()+", change after "+change.String(), func(t *testing.T,
				membership policy.MembershipMode) {
				discovery := newPipeDiscovery(twoTargets()...)
				agent := startSimulatedAgent(t, discovery, discovery.list, membership)
				opened := discovery.opened()
				time.Sleep(time.Until(opened.Add(offset)))
				synctest.Wait()
				discovery.change(func() { discovery.abandonedCalls = discovery.calls })
				unresponsiveSince := time.Now()
				time.Sleep(change)
				discovery.drain("s-1")
				deadline := later(unresponsiveSince.Add(unresponsiveDeadline),
					opened.Add(watchTimeout+watchEndDeadline))
				agent.mustStopSending("s-1", deadline)
			})
		}
	}
	// If changes are pushed, the current list counts as known from the start of a new process, however old the
	// list that it was started with.
	t.Run("restart", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			discovery := newPipeDiscovery(twoTargets()...)
			old := TargetList{Version: 1, Full: true, Servers: twoTargets()}
			discovery.drain("s-1")
			agent := startSimulatedAgent(t, discovery, old, "pushed")
			agent.mustStopSending("s-1", time.Now().Add(immediately))
		})
	})
	// The same if the process was started during an outage: its first call gets no answer.
	t.Run("restart in an outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			discovery := newPipeDiscovery(twoTargets()...)
			old := TargetList{Version: 1, Full: true, Servers: twoTargets()}
			discovery.change(func() { discovery.unresponsive = true })
			discovery.drain("s-1")
			agent := startSimulatedAgent(t, discovery, old, "pushed")
			opened := discovery.opened()
			time.Sleep(3 * time.Second)
			discovery.change(func() { discovery.unresponsive = false })
			agent.mustStopSending("s-1", opened.Add(watchTimeout+watchEndDeadline))
		})
	})
	// After SIGHUP the list of the new discovery counts as known 4 s later, even if the watch on the old
	// discovery is unresponsive and the new one does not answer the first call.
	for _, outage := range []time.Duration{0, time.Second, 2500 * time.Millisecond} {
		each("SIGHUP, unresponsive for "+outage.String(), func(t *testing.T, membership policy.MembershipMode) {
			discovery, next := newPipeDiscovery(twoTargets()...), newPipeDiscovery(twoTargets()...)
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
