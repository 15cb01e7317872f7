package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// asked is an order that waits at the head.
type asked struct {
	ctx    context.Context
	order  *chain.Order
	answer chan orderAnswer // holds one
}

// onOrder answers when the order is settled or its caller goes.
func (m *Member) onOrder(ctx context.Context, o *chain.Order) (*orderAnswer, error) {
	m.mu.Lock()
	v, head := m.seen, m.view.Number == m.seen.Number && m.view.Number > 0 && m.view.Head().ID == m.me.ID
	m.mu.Unlock()
	if !head {
		a := &orderAnswer{Verdict: chain.Verdict{Reason: "not the head"}}
		if v.Number > 0 {
			a.Newer = &v
		}
		return a, nil
	}
	w := &asked{ctx: ctx, order: o, answer: make(chan orderAnswer, 1)}
	select {
	case m.orders <- w:
	default:
		return &orderAnswer{Verdict: chain.Verdict{Reason: "too many orders wait at the head: send it again"}}, nil
	}
	select {
	case a := <-w.answer:
		return &a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// headLoop carries out orders, one at a time, while this member is the head. In each view it first
// pushes its value through the whole chain.
func (m *Member) headLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		r, changed, ready := m.replicaLocked(), m.changed, m.activated
		m.mu.Unlock()
		switch {
		case !r.IsHead():
			select {
			case w := <-m.orders:
				w.answer <- m.notHead()
			case <-changed:
			case <-ctx.Done():
			}
		case ready != r.View.Number:
			m.settle(ctx)
		default:
			select {
			case w := <-m.orders:
				if w.ctx.Err() == nil {
					w.answer <- m.carryOut(ctx, w)
				}
			case <-changed:
			case <-ctx.Done():
			}
		}
	}
}

func (m *Member) notHead() orderAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.seen
	return orderAnswer{Verdict: chain.Verdict{Reason: "not the head"}, Newer: &v}
}

// settle pushes the head's value until it came through the chain of the newest view, and tells
// which value that was; nothing if this member is not the head.
func (m *Member) settle(ctx context.Context) (chain.Value, bool) {
	for {
		r := m.replica()
		if !r.IsHead() {
			return chain.Value{}, false
		}
		err := m.passOn(ctx, r.View, r.Record.Value)
		m.mu.Lock()
		changed := m.changed
		if err == nil {
			m.activated = r.View.Number
		}
		m.mu.Unlock()
		if err == nil {
			return r.Record.Value, true
		}
		m.poke() // whoever is in the way may be known by now
		t := time.NewTimer(tick)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			return chain.Value{}, false
		}
	}
}

// carryOut checks an order and has its value committed.
func (m *Member) carryOut(ctx context.Context, w *asked) orderAnswer {
	next, verdict, v, err := m.apply(ctx, w.order)
	for err == errUnsettled { // the view changed meanwhile, and this member is its head
		if _, ok := m.settle(ctx); !ok {
			break
		}
		next, verdict, v, err = m.apply(ctx, w.order)
	}
	if err != nil {
		m.poke()
		return orderAnswer{Verdict: chain.Verdict{Reason: err.Error()}}
	}
	if v.Number == 0 {
		return m.notHead()
	}
	if next == nil {
		if verdict.Kind == chain.Taken || verdict.Kind == chain.Unclear {
			return orderAnswer{Verdict: verdict}
		}
		// A refusal is final, so the value that it rests on has to be the newest of all.
		cctx, cancel := context.WithTimeout(w.ctx, m.o.AckWithin)
		defer cancel()
		if err := m.confirm(cctx, v); err != nil {
			return orderAnswer{Verdict: chain.Verdict{Reason: err.Error()}}
		}
		return orderAnswer{Verdict: verdict}
	}
	// This member may have been left out and be the head again, with a value that others made.
	if value, ok := m.settle(ctx); ok {
		if _, took := value.Took(w.order.Digest()); took {
			return orderAnswer{Verdict: verdict}
		}
	}
	return m.notHead()
}

// errUnsettled tells that the head's value has not come through the chain of its view.
var errUnsettled = errors.New("the head's value has not come through the chain yet")

// apply checks an order against the head's value and keeps the next value, if there is one. Without
// a view this member is not the head.
func (m *Member) apply(ctx context.Context, o *chain.Order) (*chain.Value, chain.Verdict, view.View, error) {
	if err := m.hold(ctx); err != nil {
		return nil, chain.Verdict{}, view.View{}, err
	}
	defer m.give()
	r := m.replica()
	m.mu.Lock()
	settled := m.activated == r.View.Number
	m.mu.Unlock()
	switch {
	case !r.IsHead():
		return nil, chain.Verdict{}, view.View{}, nil
	case !settled:
		return nil, chain.Verdict{}, view.View{}, errUnsettled
	}
	next, verdict, final := chain.Apply(&r.Record.Value, o, m.o.Check)
	if final {
		return nil, verdict, r.View, nil
	}
	return next, verdict, r.View, m.keep(chain.Record{View: r.View.Number, Value: *next})
}

// onRead answers at the tail.
func (m *Member) onRead(ctx context.Context, _ *none) (*readAnswer, error) {
	m.mu.Lock()
	r, seen := m.replicaLocked(), m.seen
	m.mu.Unlock()
	if seen.Number == 0 {
		return &readAnswer{Why: "no view is known"}, nil
	}
	if r.View.Number != seen.Number || r.View.Tail().ID != m.me.ID {
		return &readAnswer{Newer: &seen, Why: "not the tail"}, nil
	}
	value, ok := r.Answer()
	if !ok {
		return &readAnswer{Why: "the head's value has not come through yet"}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	if err := m.confirm(ctx, r.View); err != nil {
		return &readAnswer{Why: err.Error()}, nil
	}
	return &readAnswer{Value: value, OK: true}, nil
}

// Submit has an order carried out by the head. It returns after AckWithin at the latest; Unclear
// tells that the order may be taken or not: sent again, to any process, it is the same order.
func (m *Member) Submit(ctx context.Context, o *chain.Order) chain.Verdict {
	if len(o.Body) > chain.MaxBody {
		return chain.Verdict{Kind: chain.Invalid, Reason: "the configuration is too large"}
	}
	ctx, cancel := context.WithTimeout(ctx, m.o.AckWithin)
	defer cancel()
	return route(ctx, m, chain.Verdict{Reason: ErrNoCore.Error()}, func(v view.View) view.Peer { return v.Head().Peer }, func(ctx context.Context, to view.Peer) reply[chain.Verdict] {
		var a *orderAnswer
		var err error
		if to.ID == m.me.ID {
			a, err = m.onOrder(ctx, o)
		} else {
			a, err = call[chain.Order, orderAnswer](ctx, m, to.Addr, "core.order", o)
		}
		if err != nil {
			return reply[chain.Verdict]{value: chain.Verdict{Reason: err.Error()}}
		}
		return reply[chain.Verdict]{value: a.Verdict, done: a.Verdict.Kind != chain.Unclear || a.Verdict.Final, newer: a.Newer}
	})
}

// Read is the newest acknowledged value, from the tail; Seq 0 means that there is none yet. It
// returns after AckWithin at the latest.
func (m *Member) Read(ctx context.Context) (chain.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, m.o.AckWithin)
	defer cancel()
	got := route(ctx, m, readAnswer{Why: ErrNoCore.Error()}, func(v view.View) view.Peer { return v.Tail().Peer }, func(ctx context.Context, to view.Peer) reply[readAnswer] {
		var a *readAnswer
		var err error
		if to.ID == m.me.ID {
			a, err = m.onRead(ctx, &none{})
		} else {
			a, err = call[none, readAnswer](ctx, m, to.Addr, "core.read", &none{})
		}
		if err != nil {
			return reply[readAnswer]{value: readAnswer{Why: err.Error()}}
		}
		return reply[readAnswer]{value: *a, done: a.OK, newer: a.Newer}
	})
	if !got.OK {
		return chain.Value{}, &UnclearError{Why: got.Why}
	}
	if m.IsCore() {
		m.commit(got.Value) // the copy here may be older
	}
	return got.Value, nil
}
