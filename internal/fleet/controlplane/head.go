package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// submission is an order that waits at the head.
type submission struct {
	callerContext context.Context
	order         *chain.Order
	response      chan submitResponse // holds one
}

// handleSubmit answers when the order is settled or its caller goes.
func (m *Member) handleSubmit(ctx context.Context, o *chain.Order) (*submitResponse, error) {
	m.mu.Lock()
	v, head := m.newest, m.learned.Number == m.newest.Number && m.learned.Number > 0 && m.learned.Head().ID == m.self.ID
	m.mu.Unlock()
	if !head {
		a := &submitResponse{Verdict: chain.Verdict{Reason: "not the head"}}
		if v.Number > 0 {
			a.Newer = &v
		}
		return a, nil
	}
	w := &submission{callerContext: ctx, order: o, response: make(chan submitResponse, 1)}
	select {
	case m.submissions <- w:
	default:
		return &submitResponse{Verdict: chain.Verdict{Reason: "too many orders wait at the head: send it again"}}, nil
	}
	select {
	case a := <-w.response:
		return &a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// submissionLoop carries out orders, one at a time, while this member is the head. In each view it first
// pushes its value through the whole chain.
func (m *Member) submissionLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		r, changed, ready := m.replicaLocked(), m.changed, m.activatedView
		m.mu.Unlock()
		switch {
		case !r.IsHead():
			select {
			case w := <-m.submissions:
				w.response <- m.notHead()
			case <-changed:
			case <-ctx.Done():
			}
		case ready != r.View.Number:
			m.activateView(ctx)
		default:
			select {
			case w := <-m.submissions:
				if w.callerContext.Err() == nil {
					w.response <- m.execute(ctx, w)
				}
			case <-changed:
			case <-ctx.Done():
			}
		}
	}
}

func (m *Member) notHead() submitResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.newest
	return submitResponse{Verdict: chain.Verdict{Reason: "not the head"}, Newer: &v}
}

// activateView pushes the head's value until it came through the chain of the newest view, and tells
// which value that was; nothing if this member is not the head.
func (m *Member) activateView(ctx context.Context) (chain.Value, bool) {
	for {
		r := m.replica()
		if !r.IsHead() {
			return chain.Value{}, false
		}
		err := m.replicate(ctx, r.View, r.Record.Value)
		m.mu.Lock()
		changed := m.changed
		if err == nil {
			m.activatedView = r.View.Number
		}
		m.mu.Unlock()
		if err == nil {
			return r.Record.Value, true
		}
		m.wakeTicker() // whoever is in the way may be known by now
		t := time.NewTimer(heartbeatInterval)
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

// execute checks an order and has its value committed.
func (m *Member) execute(ctx context.Context, w *submission) submitResponse {
	next, verdict, v, err := m.apply(ctx, w.order)
	for err == errViewNotActivated { // the view changed meanwhile, and this member is its head
		if _, ok := m.activateView(ctx); !ok {
			break
		}
		next, verdict, v, err = m.apply(ctx, w.order)
	}
	if err != nil {
		m.wakeTicker()
		return submitResponse{Verdict: chain.Verdict{Reason: err.Error()}}
	}
	if v.Number == 0 {
		return m.notHead()
	}
	if next == nil {
		if verdict.Kind == chain.Taken || verdict.Kind == chain.Unclear {
			return submitResponse{Verdict: verdict}
		}
		// A refusal is final, so the value that it rests on has to be the newest of all.
		cctx, cancel := context.WithTimeout(w.callerContext, m.options.RequestTimeout)
		defer cancel()
		if err := m.confirmView(cctx, v); err != nil {
			return submitResponse{Verdict: chain.Verdict{Reason: err.Error()}}
		}
		return submitResponse{Verdict: verdict}
	}
	// This member may have been left out and be the head again, with a value that others made.
	if value, ok := m.activateView(ctx); ok {
		if _, took := value.Took(w.order.Digest()); took {
			return submitResponse{Verdict: verdict}
		}
	}
	return m.notHead()
}

// errViewNotActivated tells that the head's value has not come through the chain of its view.
var errViewNotActivated = errors.New("the head's value has not come through the chain yet")

// apply checks an order against the head's value and keeps the next value, if there is one. Without
// a view this member is not the head.
func (m *Member) apply(ctx context.Context, o *chain.Order) (*chain.Value, chain.Verdict, view.View, error) {
	if err := m.acquireWrite(ctx); err != nil {
		return nil, chain.Verdict{}, view.View{}, err
	}
	defer m.releaseWrite()
	r := m.replica()
	m.mu.Lock()
	settled := m.activatedView == r.View.Number
	m.mu.Unlock()
	switch {
	case !r.IsHead():
		return nil, chain.Verdict{}, view.View{}, nil
	case !settled:
		return nil, chain.Verdict{}, view.View{}, errViewNotActivated
	}
	next, verdict, final := chain.Apply(&r.Record.Value, o, m.options.Validate)
	if final {
		return nil, verdict, r.View, nil
	}
	return next, verdict, r.View, m.persistRecord(chain.Record{View: r.View.Number, Value: *next})
}

// handleRead answers at the tail.
func (m *Member) handleRead(ctx context.Context, _ *empty) (*readResponse, error) {
	m.mu.Lock()
	r, seen := m.replicaLocked(), m.newest
	m.mu.Unlock()
	if seen.Number == 0 {
		return &readResponse{Why: "no view is known"}, nil
	}
	if r.View.Number != seen.Number || r.View.Tail().ID != m.self.ID {
		return &readResponse{Newer: &seen, Why: "not the tail"}, nil
	}
	value, ok := r.Answer()
	if !ok {
		return &readResponse{Why: "the head's value has not come through yet"}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.confirmView(ctx, r.View); err != nil {
		return &readResponse{Why: err.Error()}, nil
	}
	return &readResponse{Value: value, OK: true}, nil
}

// Submit has an order carried out by the head. It returns after RequestTimeout at the latest; Unclear
// tells that the order may be taken or not: sent again, to any process, it is the same order.
func (m *Member) Submit(ctx context.Context, o *chain.Order) chain.Verdict {
	if len(o.Body) > chain.MaxBody {
		return chain.Verdict{Kind: chain.Invalid, Reason: "the configuration is too large"}
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.RequestTimeout)
	defer cancel()
	return routeToRole(ctx, m, chain.Verdict{Reason: ErrNoCore.Error()}, func(v view.View) view.Peer { return v.Head().Peer }, func(ctx context.Context, to view.Peer) attemptResult[chain.Verdict] {
		var a *submitResponse
		var err error
		if to.ID == m.self.ID {
			a, err = m.handleSubmit(ctx, o)
		} else {
			a, err = call[chain.Order, submitResponse](ctx, m, to.Addr, "core.order", o)
		}
		if err != nil {
			return attemptResult[chain.Verdict]{value: chain.Verdict{Reason: err.Error()}}
		}
		return attemptResult[chain.Verdict]{value: a.Verdict, done: a.Verdict.Kind != chain.Unclear || a.Verdict.Final, newer: a.Newer}
	})
}

// Read is the newest acknowledged value, from the tail; Seq 0 means that there is none yet. It
// returns after RequestTimeout at the latest.
func (m *Member) Read(ctx context.Context) (chain.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.RequestTimeout)
	defer cancel()
	got := routeToRole(ctx, m, readResponse{Why: ErrNoCore.Error()}, func(v view.View) view.Peer { return v.Tail().Peer }, func(ctx context.Context, to view.Peer) attemptResult[readResponse] {
		var a *readResponse
		var err error
		if to.ID == m.self.ID {
			a, err = m.handleRead(ctx, &empty{})
		} else {
			a, err = call[empty, readResponse](ctx, m, to.Addr, "core.read", &empty{})
		}
		if err != nil {
			return attemptResult[readResponse]{value: readResponse{Why: err.Error()}}
		}
		return attemptResult[readResponse]{value: *a, done: a.OK, newer: a.Newer}
	})
	if !got.OK {
		return chain.Value{}, &UnavailableError{Reason: got.Why}
	}
	if m.IsVoter() {
		m.advanceCommitted(got.Value) // the copy here may be older
	}
	return got.Value, nil
}
