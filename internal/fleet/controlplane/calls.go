package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

type none struct{}

type (
	prepareCall struct {
		To string // the disk that is asked: its machine may have another one by now
		Q  view.Prepare
	}
	acceptCall struct {
		To string
		Q  view.Accept
	}
	viewCall   struct{ Have uint64 }
	viewAnswer struct{ View *view.View }
	pushCall   struct {
		To string
		Q  chain.Push
	}
	pushAnswer struct {
		OK    bool
		Newer *view.View
		Why   string
	}
	orderAnswer struct {
		Verdict chain.Verdict
		Newer   *view.View // the one asked is not the head: ask the head of this view
	}
	readAnswer struct {
		Value chain.Value
		OK    bool
		Newer *view.View // the one asked is not the tail
		Why   string
	}
	valueAnswer struct{ Value chain.Value }
)

// call asks the agent at an address.
func call[Q, A any](ctx context.Context, m *Member, addr, name string, q *Q) (*A, error) {
	if m.link == nil {
		return rpc.Call[Q, A](ctx, m.o.Pool, addr, name, q)
	}
	var a *A
	err := m.link(ctx, addr, name, func() (err error) { a, err = rpc.Call[Q, A](ctx, m.o.Pool, addr, name, q); return err })
	return a, err
}

// Declare adds the calls of the core to the process's table.
func (m *Member) Declare(t *rpc.Table) {
	rpc.Unary(t, "core.ping", m.onPing)
	rpc.Unary(t, "core.prepare", m.onPrepare)
	rpc.Unary(t, "core.accept", m.onAccept)
	rpc.Unary(t, "core.learn", func(ctx context.Context, v *view.View) (*none, error) { return &none{}, m.learn(ctx, v) })
	rpc.Unary(t, "core.view", m.onView)
	rpc.Unary(t, "core.push", m.onPush)
	rpc.Unary(t, "core.order", m.onOrder)
	rpc.Unary(t, "core.read", m.onRead)
	rpc.Unary(t, "core.value", m.onValue)
	rpc.Unary(t, "core.announce", m.onAnnounce)
}

func (m *Member) onView(_ context.Context, q *viewCall) (*viewAnswer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen.Number <= q.Have {
		return &viewAnswer{}, nil
	}
	v := m.seen
	return &viewAnswer{View: &v}, nil
}

func (m *Member) onValue(context.Context, *none) (*valueAnswer, error) {
	v, _ := m.Committed()
	return &valueAnswer{Value: v}, nil
}

// onPrepare answers once the promise is on disk.
func (m *Member) onPrepare(ctx context.Context, q *prepareCall) (*view.Answer, error) {
	if q.Q.Base.Number == 0 {
		return m.foundingPrepare(q)
	}
	return m.ballot(ctx, q.To, &q.Q.Base, func(v view.Vote, instance uint64) (view.Vote, view.Answer) {
		return v.Prepare(instance, q.Q.Ballot)
	})
}

// onAccept answers once the acceptance is on disk.
func (m *Member) onAccept(ctx context.Context, q *acceptCall) (*view.Answer, error) {
	if q.Q.View.Number != q.Q.Base.Number+1 {
		return nil, errors.Errorf("view %d proposed after %d", q.Q.View.Number, q.Q.Base.Number)
	}
	if err := q.Q.View.Check(); err != nil {
		return nil, err
	}
	if q.Q.Base.Number == 0 {
		return m.foundingAccept(q)
	}
	return m.ballot(ctx, q.To, &q.Q.Base, func(v view.Vote, instance uint64) (view.Vote, view.Answer) {
		return v.Accept(instance, q.Q.Ballot, q.Q.View)
	})
}

func (m *Member) ballot(ctx context.Context, to string, base *view.View, turn func(view.Vote, uint64) (view.Vote, view.Answer)) (*view.Answer, error) {
	if to != m.me.ID {
		return &view.Answer{Refused: "this disk is " + m.me.ID}, nil
	}
	if err := base.Check(); err != nil {
		return nil, err
	}
	m.hear(base)
	if err := m.hold(ctx); err != nil {
		return nil, err
	}
	defer m.give()
	if err := m.learnHeld(base); err != nil {
		return nil, err
	}
	// view and vote change only while the step is held.
	switch _, voter := m.view.Voter(m.me.ID); {
	case base.Number < m.view.Number:
		v := m.view
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
	if err := m.store.Put(keyVote, raw); err != nil {
		return nil, err
	}
	m.mu.Lock()
	if vote.Accepted != nil && (m.vote.Instance != vote.Instance || m.vote.Accepted == nil) {
		m.votedAt = time.Now()
	}
	m.vote = vote
	m.mu.Unlock()
	return &a, nil
}

// onPush keeps the value on disk, passes it on and answers once the tail has it.
func (m *Member) onPush(ctx context.Context, q *pushCall) (*pushAnswer, error) {
	if q.To != m.me.ID {
		return &pushAnswer{Why: "this disk is " + m.me.ID}, nil
	}
	if err := q.Q.View.Check(); err != nil {
		return nil, err
	}
	if err := q.Q.Value.Check(); err != nil {
		return nil, err
	}
	if a, err := m.take(ctx, q); a != nil || err != nil {
		return a, err
	}
	if q.Q.Direct {
		return &pushAnswer{OK: true}, nil
	}
	if err := m.passOn(ctx, q.Q.View, q.Q.Value); err != nil {
		return &pushAnswer{Why: err.Error()}, nil
	}
	return &pushAnswer{OK: true}, nil
}

// take keeps a pushed value; an answer or an error ends the push here.
func (m *Member) take(ctx context.Context, q *pushCall) (*pushAnswer, error) {
	m.hear(&q.Q.View)
	if err := m.hold(ctx); err != nil {
		return nil, err
	}
	defer m.give()
	if err := m.learnHeld(&q.Q.View); err != nil {
		return nil, err
	}
	if q.Q.View.Number < m.view.Number {
		v := m.view
		return &pushAnswer{Newer: &v}, nil
	}
	r := m.replica()
	rec, change, err := r.Take(&q.Q)
	if err != nil {
		return &pushAnswer{Why: err.Error()}, nil
	}
	if !change {
		return nil, nil
	}
	return nil, m.keep(rec)
}

// keep puts a record on disk. The step is held.
func (m *Member) keep(rec chain.Record) error {
	raw, err := encode(&rec)
	if err != nil {
		return err
	}
	if err := m.store.Put(keyValue, raw); err != nil {
		return err
	}
	m.mu.Lock()
	m.record = rec
	m.mu.Unlock()
	return nil
}

// passOn sends a value that is kept here to the next member, and notes that it is committed once
// the tail has it. It ends with the view.
func (m *Member) passOn(ctx context.Context, v view.View, value chain.Value) error {
	next, more := v.Next(m.me.ID)
	if more {
		// Each member waits a little less than the one before it, so that the one that can't reach
		// its successor can tell.
		ctx, cancel := m.within(ctx, v.Number, pushWait-time.Duration(v.Place(m.me.ID))*pushLess)
		defer cancel()
		begun := time.Now()
		a, err := call[pushCall, pushAnswer](ctx, m, next.Addr, "core.push", &pushCall{To: next.ID, Q: chain.Push{View: v, Value: value}})
		if err != nil {
			if !errors.Is(ctx.Err(), context.Canceled) { // it is not the view that ended
				m.reached(next.ID, begun, false)
			}
			return err
		}
		m.reached(next.ID, begun, true)
		if a.Newer != nil {
			m.hear(a.Newer)
			return errors.Errorf("view %d is over", v.Number)
		}
		if !a.OK {
			return errors.New(a.Why)
		}
	}
	if value.Seq > 0 {
		m.commit(value)
	}
	return nil
}

// reached notes whether the successor could be called. Pings may go well where this does not, so a
// member that can't be reached is no longer told as heard.
func (m *Member) reached(id string, begun time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch p := m.peers[id]; {
	case p == nil:
	case ok:
		p.failing = time.Time{}
	default:
		if p.failing.IsZero() {
			p.failing = begun
		}
		p.failed = time.Now()
	}
}

// within is ctx until a view is over or a time has passed.
func (m *Member) within(ctx context.Context, number uint64, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, d)
	m.mu.Lock()
	over, now := m.inView, m.view.Number
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
