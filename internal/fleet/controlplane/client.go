package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// ErrNoCore reports that no voter is known yet.
var ErrNoCore = errors.New("no machine of the core is known: check seed-nodes, and that those machines run")

// UnavailableError reports that no answer was received in time. The request may be repeated.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string {
	return "the core gave no answer in time, send it again: " + e.Reason
}

// Submit has an update carried out by the head of the chain. It returns after RequestTimeout and the time of its
// transfer at the latest. With OutcomeUnknown the update may be committed or not: submitted again, at any process, it
// is the same update.
func (m *Member) Submit(ctx context.Context, update *chain.Update) chain.Result {
	if len(update.Body) > chain.MaxBody {
		return chain.Result{Outcome: chain.OutcomeInvalid, Reason: "the configuration is too large"}
	}
	transfer := transferTime(len(update.Body))
	ctx, cancel := context.WithTimeout(ctx, m.options.RequestTimeout+transfer)
	defer cancel()
	request := routedRequest[chain.Result]{
		role:     func(v view.View) view.Peer { return v.Head().Peer },
		transfer: transfer,
		send: func(ctx context.Context, head view.Peer) attemptResult[chain.Result] {
			return m.submitTo(ctx, head, update)
		},
	}
	return route(ctx, m, request, chain.Result{Reason: ErrNoCore.Error()})
}

func (m *Member) submitTo(ctx context.Context, head view.Peer, update *chain.Update) attemptResult[chain.Result] {
	var response *submitResponse
	var err error
	if head.ID == m.self.ID {
		response, err = m.handleSubmit(ctx, update)
	} else {
		response, err = call[chain.Update, submitResponse](ctx, m, head.Addr, callSubmit, update)
	}
	if err != nil {
		return attemptResult[chain.Result]{value: chain.Result{Reason: err.Error()}}
	}
	result := response.Result
	return attemptResult[chain.Result]{
		value: result,
		final: result.Outcome != chain.OutcomeUnknown || result.Final,
		newer: response.Newer,
	}
}

// Read is the newest acknowledged value, from the tail of the chain; Seq 0: there is none yet. It
// returns after RequestTimeout at the latest, then with an *UnavailableError.
func (m *Member) Read(ctx context.Context) (chain.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.RequestTimeout)
	defer cancel()
	request := routedRequest[readResponse]{
		role: func(v view.View) view.Peer { return v.Tail().Peer },
		send: m.readFrom,
	}
	response := route(ctx, m, request, readResponse{Reason: ErrNoCore.Error()})
	if !response.OK {
		return chain.Value{}, &UnavailableError{Reason: response.Reason}
	}
	if m.IsVoter() {
		m.advanceCommitted(response.Value) // the copy here may be older
	}
	return response.Value, nil
}

func (m *Member) readFrom(ctx context.Context, tail view.Peer) attemptResult[readResponse] {
	var response *readResponse
	var err error
	if tail.ID == m.self.ID {
		response, err = m.handleRead(ctx, &empty{})
	} else {
		response, err = call[empty, readResponse](ctx, m, tail.Addr, callRead, &empty{})
	}
	if err != nil {
		return attemptResult[readResponse]{value: readResponse{Reason: err.Error()}}
	}
	return attemptResult[readResponse]{value: *response, final: response.OK, newer: response.Newer}
}

// handleRead answers at the tail of the newest view, once a majority of the voters has confirmed it.
func (m *Member) handleRead(ctx context.Context, _ *empty) (*readResponse, error) {
	m.mu.Lock()
	replica, newest := m.replicaLocked(), m.views.newest
	m.mu.Unlock()
	if newest.Number == 0 {
		return &readResponse{Reason: "no view is known"}, nil
	}
	if replica.View.Number != newest.Number || replica.View.Tail().ID != m.self.ID {
		return &readResponse{Newer: &newest, Reason: "not the tail"}, nil
	}
	value, ok := replica.CommittedValue()
	if !ok {
		return &readResponse{Reason: "the head's value has not come through yet"}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.confirmView(ctx, replica.View); err != nil {
		return &readResponse{Reason: err.Error()}, nil
	}
	return &readResponse{Value: value, OK: true}, nil
}

// Confirm is the sequence number of the newest acknowledged value, 0 if there is none: every value that
// was acknowledged before the call has this or a lower one. It returns after RequestTimeout at the
// latest, then with an *UnavailableError.
func (m *Member) Confirm(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.RequestTimeout)
	defer cancel()
	request := routedRequest[confirmResponse]{
		role: func(v view.View) view.Peer { return v.Tail().Peer },
		send: m.confirmAt,
	}
	response := route(ctx, m, request, confirmResponse{Reason: ErrNoCore.Error()})
	if !response.OK {
		return 0, &UnavailableError{Reason: response.Reason}
	}
	return response.Seq, nil
}

func (m *Member) confirmAt(ctx context.Context, tail view.Peer) attemptResult[confirmResponse] {
	var response *confirmResponse
	var err error
	if tail.ID == m.self.ID {
		response, err = m.handleConfirm(ctx, &empty{})
	} else {
		response, err = call[empty, confirmResponse](ctx, m, tail.Addr, callConfirm, &empty{})
	}
	if err != nil {
		return attemptResult[confirmResponse]{value: confirmResponse{Reason: err.Error()}}
	}
	return attemptResult[confirmResponse]{value: *response, final: response.OK, newer: response.Newer}
}

// handleConfirm answers as handleRead does, without the value.
func (m *Member) handleConfirm(ctx context.Context, request *empty) (*confirmResponse, error) {
	read, err := m.handleRead(ctx, request)
	if err != nil {
		return nil, err
	}
	return &confirmResponse{Seq: read.Value.Seq, OK: read.OK, Newer: read.Newer, Reason: read.Reason}, nil
}

// routedRequest is a request that one process of the newest view answers.
type routedRequest[T any] struct {
	role     func(view.View) view.Peer // the process that answers
	transfer time.Duration             // that the request may take on its way, beside attemptTimeout
	send     func(context.Context, view.Peer) attemptResult[T]
}

// attemptResult is the result of one attempt.
type attemptResult[T any] struct {
	value T
	final bool       // no further attempt is needed
	newer *view.View // the newest view that the receiver knows, if it is not the one to ask
}

// route attempts a request, by the newest view that is known at each attempt, until a result is final
// or ctx ends. It returns the last result, or fallback if there is none.
func route[T any](ctx context.Context, m *Member, request routedRequest[T], fallback T) T {
	last := fallback
	for ctx.Err() == nil {
		current, known := m.View()
		if !known {
			m.discoverView(ctx, "")
			m.awaitNewerView(ctx, current.Number)
			continue
		}
		result, ended := attempt(ctx, m, request, current)
		if !ended {
			continue
		}
		last = result.value
		if result.final {
			return last
		}
		m.observeView(result.newer)
		if result.newer == nil || result.newer.Number <= current.Number {
			m.discoverView(ctx, request.role(current).Addr)
			m.awaitNewerView(ctx, current.Number)
		}
	}
	return last
}

// attempt makes one attempt, and asks other processes for a newer view while it takes long. It returns
// false if the attempt is given up because a newer view names another process.
func attempt[T any](ctx context.Context, m *Member, request routedRequest[T], current view.View) (result attemptResult[T], ended bool) {
	receiver := request.role(current)
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+request.transfer)
	defer cancel()
	results := make(chan attemptResult[T], 1)
	m.spawn(func(context.Context) { results <- request.send(ctx, receiver) })
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for {
		m.mu.Lock()
		newest, changed := m.views.newest, m.changed.wait()
		m.mu.Unlock()
		if newest.Number > current.Number && request.role(newest) != receiver {
			return result, false
		}
		select {
		case result = <-results:
			return result, true
		case <-changed:
		case <-hedge.C:
			m.spawn(func(context.Context) { m.discoverView(ctx, receiver.Addr) })
		case <-ctx.Done():
			select {
			case result = <-results:
			default:
			}
			return result, true
		}
	}
}

// awaitNewerView waits until a newer view than that of a number is known, for retryDelay at most.
func (m *Member) awaitNewerView(ctx context.Context, number uint64) {
	m.mu.Lock()
	newest, changed := m.views.newest.Number, m.changed.wait()
	m.mu.Unlock()
	if newest <= number {
		wait(ctx, retryDelay, changed)
	}
}
