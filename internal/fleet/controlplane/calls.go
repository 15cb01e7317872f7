package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

type empty struct{}

type (
	prepareRequest struct {
		To string // the disk that is asked: its machine may have another one by now
		Q  view.Prepare
	}
	acceptRequest struct {
		To string
		Q  view.Accept
	}
	viewRequest  struct{ Have uint64 }
	viewResponse struct{ View *view.View }
	pushRequest  struct {
		To string
		Q  chain.Push
	}
	pushResponse struct {
		OK    bool
		Newer *view.View
		Why   string
	}
	submitResponse struct {
		Verdict chain.Verdict
		Newer   *view.View // the one asked is not the head: ask the head of this view
	}
	readResponse struct {
		Value chain.Value
		OK    bool
		Newer *view.View // the one asked is not the tail
		Why   string
	}
	valueResponse struct{ Value chain.Value }
)

// call asks the agent at an address.
func call[Q, A any](ctx context.Context, m *Member, addr, name string, q *Q) (*A, error) {
	if m.intercept == nil {
		return rpc.Call[Q, A](ctx, m.options.Pool, addr, name, q)
	}
	var a *A
	err := m.intercept(ctx, addr, name, func() (err error) { a, err = rpc.Call[Q, A](ctx, m.options.Pool, addr, name, q); return err })
	return a, err
}

// Declare adds the calls of the core to the process's table.
func (m *Member) Declare(t *rpc.Table) {
	rpc.Unary(t, "core.ping", m.handleHeartbeat)
	rpc.Unary(t, "core.prepare", m.handlePrepare)
	rpc.Unary(t, "core.accept", m.handleAccept)
	rpc.Unary(t, "core.learn", func(ctx context.Context, v *view.View) (*empty, error) { return &empty{}, m.learnView(ctx, v) })
	rpc.Unary(t, "core.view", m.handleView)
	rpc.Unary(t, "core.push", m.handlePush)
	rpc.Unary(t, "core.order", m.handleSubmit)
	rpc.Unary(t, "core.read", m.handleRead)
	rpc.Unary(t, "core.value", m.handleValue)
	rpc.Unary(t, "core.announce", m.handleAnnounce)
}

func (m *Member) handleView(_ context.Context, q *viewRequest) (*viewResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newest.Number <= q.Have {
		return &viewResponse{}, nil
	}
	v := m.newest
	return &viewResponse{View: &v}, nil
}

func (m *Member) handleValue(context.Context, *empty) (*valueResponse, error) {
	v, _ := m.Committed()
	return &valueResponse{Value: v}, nil
}

// handlePrepare answers once the promise is on disk.
func (m *Member) handlePrepare(ctx context.Context, q *prepareRequest) (*view.Answer, error) {
	if q.Q.Base.Number == 0 {
		return m.prepareFirstView(q)
	}
	return m.castVote(ctx, q.To, &q.Q.Base, func(v view.Vote, instance uint64) (view.Vote, view.Answer) {
		return v.Prepare(instance, q.Q.Ballot)
	})
}

// handleAccept answers once the acceptance is on disk.
func (m *Member) handleAccept(ctx context.Context, q *acceptRequest) (*view.Answer, error) {
	if q.Q.View.Number != q.Q.Base.Number+1 {
		return nil, errors.Errorf("view %d proposed after %d", q.Q.View.Number, q.Q.Base.Number)
	}
	if err := q.Q.View.Check(); err != nil {
		return nil, err
	}
	if q.Q.Base.Number == 0 {
		return m.acceptFirstView(q)
	}
	return m.castVote(ctx, q.To, &q.Q.Base, func(v view.Vote, instance uint64) (view.Vote, view.Answer) {
		return v.Accept(instance, q.Q.Ballot, q.Q.View)
	})
}

func (m *Member) castVote(ctx context.Context, to string, base *view.View, turn func(view.Vote, uint64) (view.Vote, view.Answer)) (*view.Answer, error) {
	if to != m.self.ID {
		return &view.Answer{Refused: "this disk is " + m.self.ID}, nil
	}
	if err := base.Check(); err != nil {
		return nil, err
	}
	m.observeView(base)
	if err := m.acquireWrite(ctx); err != nil {
		return nil, err
	}
	defer m.releaseWrite()
	if err := m.persistView(base); err != nil {
		return nil, err
	}
	// view and vote change only while the step is held.
	switch _, voter := m.learned.Voter(m.self.ID); {
	case base.Number < m.learned.Number:
		v := m.learned
		return &view.Answer{Newer: &v}, nil
	case !voter:
		return &view.Answer{Refused: "no voter of this view"}, nil
	}
	vote, a := turn(m.vote, base.Number+1)
	if !a.OK {
		return &a, nil
	}
	raw, err := encode(&vote)
	if err != nil {
		return nil, err
	}
	if err := m.disk.Put(keyVote, raw); err != nil {
		return nil, err
	}
	m.mu.Lock()
	if vote.Accepted != nil && (m.vote.Instance != vote.Instance || m.vote.Accepted == nil) {
		m.acceptedAt = time.Now()
	}
	m.vote = vote
	m.mu.Unlock()
	return &a, nil
}

// handlePush keeps the value on disk, passes it on and answers once the tail has it.
func (m *Member) handlePush(ctx context.Context, q *pushRequest) (*pushResponse, error) {
	if q.To != m.self.ID {
		return &pushResponse{Why: "this disk is " + m.self.ID}, nil
	}
	if err := q.Q.View.Check(); err != nil {
		return nil, err
	}
	if err := q.Q.Value.Check(); err != nil {
		return nil, err
	}
	if a, err := m.acceptPush(ctx, q); a != nil || err != nil {
		return a, err
	}
	if q.Q.Direct {
		return &pushResponse{OK: true}, nil
	}
	if err := m.replicate(ctx, q.Q.View, q.Q.Value); err != nil {
		return &pushResponse{Why: err.Error()}, nil
	}
	return &pushResponse{OK: true}, nil
}

// acceptPush keeps a pushed value; an answer or an error ends the push here.
func (m *Member) acceptPush(ctx context.Context, q *pushRequest) (*pushResponse, error) {
	m.observeView(&q.Q.View)
	if err := m.acquireWrite(ctx); err != nil {
		return nil, err
	}
	defer m.releaseWrite()
	if err := m.persistView(&q.Q.View); err != nil {
		return nil, err
	}
	if q.Q.View.Number < m.learned.Number {
		v := m.learned
		return &pushResponse{Newer: &v}, nil
	}
	r := m.replica()
	rec, change, err := r.Take(&q.Q)
	if err != nil {
		return &pushResponse{Why: err.Error()}, nil
	}
	if !change {
		return nil, nil
	}
	return nil, m.persistRecord(rec)
}

// persistRecord puts a record on disk. The step is held.
func (m *Member) persistRecord(rec chain.Record) error {
	raw, err := encode(&rec)
	if err != nil {
		return err
	}
	if err := m.disk.Put(keyValue, raw); err != nil {
		return err
	}
	m.mu.Lock()
	m.record = rec
	m.mu.Unlock()
	return nil
}

// replicate sends a value that is kept here to the next member, and notes that it is committed once
// the tail has it. It ends with the view.
func (m *Member) replicate(ctx context.Context, v view.View, value chain.Value) error {
	next, more := v.Next(m.self.ID)
	if more {
		// Each member waits a little less than the one before it, so that the one that can't reach
		// its successor can tell.
		ctx, cancel := m.withinView(ctx, v.Number, pushTimeout-time.Duration(v.Place(m.self.ID))*pushTimeoutStep)
		defer cancel()
		begun := time.Now()
		a, err := call[pushRequest, pushResponse](ctx, m, next.Addr, "core.push", &pushRequest{To: next.ID, Q: chain.Push{View: v, Value: value}})
		if err != nil {
			if !errors.Is(ctx.Err(), context.Canceled) { // it is not the view that ended
				m.recordPushResult(next.ID, begun, false)
			}
			return err
		}
		m.recordPushResult(next.ID, begun, true)
		if a.Newer != nil {
			m.observeView(a.Newer)
			return errors.Errorf("view %d is over", v.Number)
		}
		if !a.OK {
			return errors.New(a.Why)
		}
	}
	if value.Seq > 0 {
		m.advanceCommitted(value)
	}
	return nil
}

// recordPushResult notes whether the successor could be called. Pings may go well where this does not, so a
// member that can't be reached is no longer told as heard.
func (m *Member) recordPushResult(id string, begun time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch p := m.peers[id]; {
	case p == nil:
	case ok:
		p.pushFailingSince = time.Time{}
	default:
		if p.pushFailingSince.IsZero() {
			p.pushFailingSince = begun
		}
		p.lastPushFailure = time.Now()
	}
}

// withinView is ctx until a view is over or a time has passed.
func (m *Member) withinView(ctx context.Context, number uint64, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, d)
	m.mu.Lock()
	over, now := m.superseded, m.learned.Number
	m.mu.Unlock()
	if now != number {
		cancel()
		return ctx, cancel
	}
	m.spawn(func(run context.Context) {
		select {
		case <-over:
		case <-run.Done():
		case <-ctx.Done():
		}
		cancel()
	})
	return ctx, cancel
}
