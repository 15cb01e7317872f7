package hollownode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
)

const (
	// heartbeatTimeout is how long a server waits for the answer to a call.
	heartbeatTimeout = time.Second
	// drainDuration is how long a server that drains serves on before it leaves, and restartDelay when
	// the next incarnation comes.
	drainDuration, restartDelay = 2 * time.Second, 2 * time.Second
	// heartbeatJitter is the part of a beat's period by which servers stray from it.
	heartbeatJitter = 0.1
)

// Host runs the nodes and servers of one process.
type Host struct {
	plan       HostPlan
	nodes      []*node
	servers    []*server
	watched    atomic.Pointer[[]string]
	heapBefore int64 // before anything ran

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	cpuBefore          time.Duration // at the window's begin
	trafficBefore      []Traffic
	heartbeatsBefore   int64
	answeredHeartbeats atomic.Int64 // beats that were answered
}

// NewHost returns a host whose nodes do not run yet.
func NewHost(p HostPlan) *Host {
	ctx, stop := context.WithCancel(context.Background())
	h := &Host{plan: p, ctx: ctx, stop: stop, heapBefore: heapsize.Held()}
	h.watched.Store(&[]string{})
	for _, s := range p.Nodes {
		h.nodes = append(h.nodes, &node{NodeSpec: s, host: h, traffic: newTrafficCounter()})
	}
	for i, number := range p.Servers {
		h.servers = append(h.servers, &server{host: h, number: number, nodeIndex: i, drainRequests: make(chan chan drainResult)})
	}
	return h
}

// Close ends all that runs.
func (h *Host) Close() {
	h.stop()
	h.wg.Wait()
	h.eachNode(func(n *node) error { n.stop(h.ctx, false); return nil })
}

// eachNode runs fn for all nodes at once.
func (h *Host) eachNode(fn func(*node) error) error {
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

// Do does one thing. Several may be done at once.
func (h *Host) Do(ctx context.Context, q *Request) (*Reply, error) {
	reply := &Reply{}
	switch q.Do {
	case doStart:
		return reply, h.start(ctx, q.First)
	case doReady:
		return reply, h.waitReady(ctx)
	case doBeginWindow:
		h.beginWindow()
		return reply, nil
	case doWatch:
		ids := append(append([]string(nil), *h.watched.Load()...), q.IDs...)
		h.watched.Store(&ids)
		return reply, nil
	case doWait:
		return reply, h.waitApplied(ctx, q)
	case doStatus:
		reply.Report = &HostReport{Nodes: h.nodeReports()}
		return reply, nil
	case doReport:
		reply.Report = h.report(q)
		return reply, nil
	case doDrain:
		return h.drainServer(ctx, q.Node)
	}
	if q.Node < 0 || q.Node >= len(h.nodes) {
		return nil, errors.Errorf("no node %d here", q.Node)
	}
	return h.nodes[q.Node].do(ctx, q)
}

// waitReady waits until all running nodes are ready and know all servers.
func (h *Host) waitReady(ctx context.Context) error {
	return h.eachNode(func(n *node) error {
		running := n.running()
		if running == nil {
			return nil
		}
		if err := running.wait(ctx, func() bool { return running.readyAt > 0 && running.serversKnownAt > 0 }); err != nil {
			return errors.Wrapf(err, "%s is not ready", n.Name)
		}
		return nil
	})
}

// beginWindow begins the measurement.
func (h *Host) beginWindow() {
	h.cpuBefore, h.heartbeatsBefore = cpu(), h.answeredHeartbeats.Load()
	h.trafficBefore = nil
	for _, n := range h.nodes {
		h.trafficBefore = append(h.trafficBefore, n.traffic.snapshot())
	}
}

// waitApplied waits until all running nodes have applied a configuration and some drains.
func (h *Host) waitApplied(ctx context.Context, q *Request) error {
	return h.eachNode(func(n *node) error {
		running := n.running()
		if running == nil {
			return nil
		}
		if err := running.wait(ctx, func() bool { return running.hasApplied(q) }); err != nil {
			return errors.Wrapf(err, "%s lacks configuration %d or a drain", n.Name, q.Seq)
		}
		return nil
	})
}

// drainServer drains the server of a number.
func (h *Host) drainServer(ctx context.Context, number int) (*Reply, error) {
	for _, s := range h.servers {
		if s.number == number {
			reply := &Reply{}
			return reply, s.requestDrain(ctx, reply)
		}
	}
	return nil, errors.Errorf("no server %d here", number)
}

// do does one thing with the node.
func (n *node) do(ctx context.Context, q *Request) (*Reply, error) {
	reply := &Reply{}
	switch q.Do {
	case doSubmit:
		running := n.running()
		if running == nil {
			return nil, errors.Errorf("%s does not run", n.Name)
		}
		reply.Result = running.core.Submit(ctx, &q.Update)
		reply.At = now()
		return reply, nil
	case doStop:
		n.stop(ctx, q.Graceful)
		return reply, nil
	case doRestart:
		if err := n.start(false); err != nil {
			return nil, err
		}
		running := n.running()
		return reply, running.wait(ctx, func() bool { return running.readyAt > 0 })
	}
	return nil, errors.Errorf("unknown request %q", q.Do)
}

func (h *Host) start(ctx context.Context, first bool) error {
	at := map[*node]time.Duration{}
	for i, n := range h.nodes {
		at[n] = h.plan.Spread * time.Duration(i) / time.Duration(len(h.nodes))
	}
	if err := h.eachNode(func(n *node) error {
		if at[n] > 0 && !sleep(ctx, at[n]) {
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
