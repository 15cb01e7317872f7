package hollownode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
)

const (
	// beatWait is how long a server waits for the answer to a call.
	beatWait = time.Second
	// drainFor is how long a server that drains serves on before it leaves, and returnAfter when
	// the next incarnation comes.
	drainFor, returnAfter = 2 * time.Second, 2 * time.Second
	// jitter is the part of a beat's period by which servers stray from it.
	jitter = 0.1
)

// HostPlan is what one process of the measurement runs.
type HostPlan struct {
	Seeds      []string      `msgpack:"s"`
	Beat       time.Duration `msgpack:"b"`
	Losses     int           `msgpack:"l"`
	Nodes      []NodeSpec    `msgpack:"n"`
	Servers    []int         `msgpack:"v"` // numbers of those that beat to nodes of this host
	AllServers int           `msgpack:"a"` // of the whole fleet
	Services   int           `msgpack:"c"`
	Spread     time.Duration `msgpack:"p"` // time over which the nodes start
}

// Host runs the nodes and servers of one process.
type Host struct {
	plan    HostPlan
	nodes   []*node
	servers []*server
	watched atomic.Pointer[[]string]
	heap    int64 // before anything ran

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	cpu     time.Duration // at the window's begin
	traffic []Traffic
	beats   int64
	told    atomic.Int64 // beats that were answered
}

// NewHost returns a host whose nodes do not run yet.
func NewHost(p HostPlan) *Host {
	ctx, stop := context.WithCancel(context.Background())
	h := &Host{plan: p, ctx: ctx, stop: stop, heap: heapsize.Held()}
	h.watched.Store(&[]string{})
	for _, s := range p.Nodes {
		h.nodes = append(h.nodes, &node{NodeSpec: s, host: h, tap: newTap()})
	}
	for i, number := range p.Servers {
		h.servers = append(h.servers, &server{host: h, number: number, home: i, drain: make(chan chan drained)})
	}
	return h
}

// Close ends all that runs.
func (h *Host) Close() {
	h.stop()
	h.wg.Wait()
	h.each(func(n *node) error { n.end(h.ctx, false); return nil })
}

// each runs fn for all nodes at once.
func (h *Host) each(fn func(*node) error) error {
	errs := make(chan error, len(h.nodes))
	for _, n := range h.nodes {
		go func() { errs <- fn(n) }()
	}
	var err error
	for range h.nodes {
		if e := <-errs; e != nil {
			err = e
		}
	}
	return err
}

// What a host is asked to do.
const (
	doStart  = "start"  // all nodes and servers; First: the whole system starts
	doReady  = "ready"  // wait until all nodes that run could serve and know all servers
	doBegin  = "begin"  // the window
	doSubmit = "submit" // an order through Node
	doWatch  = "watch"  // note when IDs leave the lists
	doDrain  = "drain"  // have server Node drain
	doAwait  = "await"  // until configuration Seq is at all nodes that run, and IDs in no list
	doEnd    = "end"    // end Node at once, or Polite
	doReturn = "return" // start Node again, and wait until it could serve
	doStatus = "status" // tell of the nodes
	doReport = "report" // end the window; Changes and Drains are those to tell of
)

// Request is one thing to do.
type Request struct {
	Do      string       `msgpack:"d"`
	First   bool         `msgpack:"f,omitempty"`
	Node    int          `msgpack:"n,omitempty"`
	Polite  bool         `msgpack:"p,omitempty"`
	Order   chain.Update `msgpack:"o"`
	Seq     uint64       `msgpack:"s,omitempty"`
	IDs     []string     `msgpack:"i,omitempty"`
	Changes []Change     `msgpack:"c,omitempty"`
	Drains  []Change     `msgpack:"r,omitempty"`
}

// Change is a change of the configuration, or with ID the drain of a server. Times are on the
// machine's steady clock.
type Change struct {
	Seq   uint64        `msgpack:"q"`
	ID    string        `msgpack:"i,omitempty"`
	Sent  time.Duration `msgpack:"s"`
	Acked time.Duration `msgpack:"a"`
}

// Spread is how a change reached the nodes of a host that could serve when it was sent.
type Spread struct {
	Nodes   int           `msgpack:"n"`
	Missing int           `msgpack:"m"`
	Last    time.Duration `msgpack:"l"` // when the last of them had it
}

func (s Spread) with(o Spread) Spread {
	return Spread{s.Nodes + o.Nodes, s.Missing + o.Missing, max(s.Last, o.Last)}
}

// Reply answers a request.
type Reply struct {
	Verdict chain.Result  `msgpack:"v"`
	At      time.Duration `msgpack:"t"`
	ID      string        `msgpack:"i,omitempty"`
	Report  *HostReport   `msgpack:"r,omitempty"`
}

// HostReport is what a host measured.
type HostReport struct {
	Nodes   []NodeReport `msgpack:"n"`
	Changes []Spread     `msgpack:"c"`
	Drains  []Spread     `msgpack:"d"`
	Beats   int64        `msgpack:"b"` // answered in the window
	Process Usage        `msgpack:"p"`
}

// NodeReport is what a host measured of one node.
type NodeReport struct {
	Name     string          `msgpack:"n"`
	Runs     bool            `msgpack:"u"`
	Place    int             `msgpack:"p"` // in the chain, from 0; -1: not in it
	Chain    int             `msgpack:"l"` // members of it
	View     uint64          `msgpack:"v"`
	Servers  int             `msgpack:"s"` // in its list
	Sessions int             `msgpack:"e"`
	Ready    []time.Duration `msgpack:"r"` // of each life, from its begin; 0: never
	Full     time.Duration   `msgpack:"f"` // from the begin of the first life until all servers were known
	Traffic  Traffic         `msgpack:"t"` // in the window, of calls that it answered
	Before   Traffic         `msgpack:"b"` // from the start to the window
	Renamed  int             `msgpack:"a"` // lives that go by another source: their lease had lapsed
}

// Usage is what a process used.
type Usage struct {
	CPU        time.Duration `msgpack:"c" json:"cpu"`       // in the window
	Start      time.Duration `msgpack:"t" json:"cpu-start"` // processor time from the start to the window
	Heap       int64         `msgpack:"h" json:"heap"`      // live at the end, beyond what there was at the begin
	Stacks     int64         `msgpack:"s" json:"stacks"`
	Goroutines int           `msgpack:"g" json:"goroutines"`
	RSS        int64         `msgpack:"r" json:"rss"`
	Peak       int64         `msgpack:"p" json:"rss-peak"`
	FDs        int           `msgpack:"f" json:"descriptors"`
}

// Do does one thing.
func (h *Host) Do(ctx context.Context, q *Request) (*Reply, error) {
	a := &Reply{}
	switch q.Do {
	case doStart:
		return a, h.start(ctx, q.First)
	case doReady:
		return a, h.each(func(n *node) error {
			l := n.alive()
			if l == nil {
				return nil
			}
			if err := l.await(ctx, func() bool { return l.ready > 0 && l.full > 0 }); err != nil {
				return errors.Wrapf(err, "%s is not ready", n.Name)
			}
			return nil
		})
	case doBegin:
		h.cpu, h.beats = cpu(), h.told.Load()
		h.traffic = nil
		for _, n := range h.nodes {
			h.traffic = append(h.traffic, n.tap.read())
		}
		return a, nil
	case doWatch:
		ids := append(append([]string(nil), *h.watched.Load()...), q.IDs...)
		h.watched.Store(&ids)
		return a, nil
	case doAwait:
		return a, h.each(func(n *node) error {
			l := n.alive()
			if l == nil {
				return nil
			}
			if err := l.await(ctx, func() bool { return l.has(q) }); err != nil {
				return errors.Wrapf(err, "%s lacks configuration %d or a drain", n.Name, q.Seq)
			}
			return nil
		})
	case doStatus:
		a.Report = &HostReport{Nodes: h.nodeReports()}
		return a, nil
	case doReport:
		a.Report = h.report(q)
		return a, nil
	case doDrain:
		for _, s := range h.servers {
			if s.number == q.Node {
				return a, s.drainNow(ctx, a)
			}
		}
		return nil, errors.Errorf("no server %d here", q.Node)
	}
	if q.Node < 0 || q.Node >= len(h.nodes) {
		return nil, errors.Errorf("no node %d here", q.Node)
	}
	n := h.nodes[q.Node]
	switch q.Do {
	case doSubmit:
		l := n.alive()
		if l == nil {
			return nil, errors.Errorf("%s does not run", n.Name)
		}
		a.Verdict = l.core.Submit(ctx, &q.Order)
		a.At = now()
		return a, nil
	case doEnd:
		n.end(ctx, q.Polite)
		return a, nil
	case doReturn:
		if err := n.start(false); err != nil {
			return nil, err
		}
		l := n.alive()
		return a, l.await(ctx, func() bool { return l.ready > 0 })
	}
	return nil, errors.Errorf("unknown request %q", q.Do)
}

func (h *Host) start(ctx context.Context, first bool) error {
	at := map[*node]time.Duration{}
	for i, n := range h.nodes {
		at[n] = h.plan.Spread * time.Duration(i) / time.Duration(len(h.nodes))
	}
	if err := h.each(func(n *node) error {
		if at[n] > 0 && !pause(ctx, at[n]) {
			return ctx.Err()
		}
		return n.start(first)
	}); err != nil {
		return err
	}
	for _, s := range h.servers {
		h.wg.Go(func() { s.run(h.ctx) })
	}
	return nil
}

func (h *Host) report(q *Request) *HostReport {
	r := &HostReport{Beats: h.told.Load() - h.beats, Nodes: h.nodeReports()}
	r.Process = usage(h.heap)
	r.Process.Start = h.cpu
	r.Process.CPU -= h.cpu
	for _, c := range q.Changes {
		r.Changes = append(r.Changes, h.spread(c))
	}
	for _, c := range q.Drains {
		r.Drains = append(r.Drains, h.spread(c))
	}
	return r
}

func (h *Host) nodeReports() (all []NodeReport) {
	for i, n := range h.nodes {
		r := NodeReport{Name: n.Name, Place: -1, Traffic: n.tap.read()}
		if i < len(h.traffic) {
			r.Before = h.traffic[i]
			r.Traffic = r.Traffic.minus(r.Before)
		}
		if l := n.alive(); l != nil {
			s, f := l.core.Status(), l.hub.Report()
			r.Runs, r.Place, r.Chain, r.View, r.Sessions = true, s.Position, len(s.View.Chain), s.View.Number, len(f.Sessions)
			l.mu.Lock()
			if l.last.Servers != nil {
				r.Servers = len(l.last.Servers.ByID)
			}
			l.mu.Unlock()
		}
		n.mu.Lock()
		lives := append([]*life(nil), n.lives...)
		n.mu.Unlock()
		for j, l := range lives {
			l.mu.Lock()
			if j == 0 && l.full > 0 {
				r.Full = l.full - l.began
			}
			r.Ready = append(r.Ready, max(l.ready-l.began, 0))
			l.mu.Unlock()
			if l.hub.Report().Source != l.source {
				r.Renamed++
			}
		}
		all = append(all, r)
	}
	return all
}

// spread is how a change reached the lives that could serve when it was sent. One that ended
// before it came is left out.
func (h *Host) spread(c Change) (s Spread) {
	for _, n := range h.nodes {
		n.mu.Lock()
		lives := append([]*life(nil), n.lives...)
		n.mu.Unlock()
		for _, l := range lives {
			l.mu.Lock()
			at := l.gone[c.ID]
			if c.ID == "" {
				for _, a := range l.arrivals {
					if a.seq >= c.Seq {
						at = a.at
						break
					}
				}
			}
			before, ended := l.ready > 0 && l.ready < c.Sent, l.ended
			l.mu.Unlock()
			switch {
			case !before || at == 0 && ended > 0:
			case at == 0:
				s.Nodes++
				s.Missing++
			default:
				s.Nodes++
				s.Last = max(s.Last, at)
			}
		}
	}
	return s
}

// cpu is the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func usage(before int64) Usage {
	u := Usage{CPU: cpu()}
	u.RSS, u.Peak = resident(os.Getpid())
	u.Heap = heapsize.Held() - before
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Stacks, u.Goroutines = int64(m.StackInuse), runtime.NumGoroutine()
	if fds, err := os.ReadDir("/proc/self/fd"); err == nil {
		u.FDs = len(fds)
	}
	return u
}

// resident is the memory of a process, now and at its peak; 0 where that can't be read.
func resident(pid int) (rss, peak int64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		key, val, _ := strings.Cut(line, ":")
		kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(val), "kB")), 10, 64)
		switch key {
		case "VmRSS":
			rss = kb << 10
		case "VmHWM":
			peak = kb << 10
		}
	}
	return rss, peak
}

// server is a model server as far as the list knows it.
type server struct {
	host   *Host
	number int
	home   int // of the host's nodes, the one it beats to
	life   int
	seq    uint64
	drain  chan chan drained
}

type drained struct {
	id string
	at time.Duration // of the acknowledgement; 0: there was none
}

func (s *server) id() string { return fmt.Sprintf("i-%05d-%02d", s.number, s.life) }

func (s *server) instance(state registry.State) *registry.Instance {
	s.seq++
	return &registry.Instance{ID: s.id(), Service: fmt.Sprintf("service-%d", s.number%max(s.host.plan.Services, 1)),
		Addr: fmt.Sprintf("10.128.%d.%d:8080", s.number/250, s.number%250), Zone: fmt.Sprintf("zone-%d", s.number%5), Revision: "v1", Slots: 64,
		State: state, Seq: s.seq, Models: []registry.Model{{Name: fmt.Sprintf("model-%d", s.number%6), Revision: 1}}}
}

// call beats to the home, or to the next nodes until one answers.
func (s *server) call(ctx context.Context, state registry.State) bool {
	in := s.instance(state)
	for range s.host.nodes {
		once, cancel := context.WithTimeout(ctx, beatWait)
		ok := s.host.nodes[s.home%len(s.host.nodes)].beat(once, in)
		cancel()
		if ok {
			s.host.told.Add(1)
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		s.home++
	}
	return false
}

func (s *server) run(ctx context.Context) {
	beat := time.NewTimer(rand.N(s.host.plan.Beat)) // they do not all start in step
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			s.call(ctx, registry.Ready)
			period := float64(s.host.plan.Beat)
			beat.Reset(time.Duration(period * (1 + jitter*(rand.Float64()-0.5))))
		case answer := <-s.drain:
			d := drained{id: s.id()}
			if s.call(ctx, registry.Draining) {
				d.at = now()
			}
			answer <- d
			if !s.leave(ctx) {
				return
			}
		}
	}
}

// leave ends the incarnation after its drain, and brings the next one.
func (s *server) leave(ctx context.Context) bool {
	for _, wait := range []time.Duration{drainFor, returnAfter} {
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return false
		}
		if l := s.host.nodes[s.home%len(s.host.nodes)].alive(); l != nil && wait == drainFor {
			once, cancel := context.WithTimeout(ctx, beatWait)
			l.hub.Deregister(once, s.id())
			cancel()
		}
	}
	s.life++
	s.seq = 0
	return true
}

func (s *server) drainNow(ctx context.Context, a *Reply) error {
	answer := make(chan drained, 1)
	select {
	case s.drain <- answer:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "server %d is busy", s.number)
	}
	select {
	case d := <-answer:
		a.ID, a.At = d.id, d.at
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
