package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// ErrNoCore reports that no view, and so no voter, is known yet.
var ErrNoCore = errors.New("no machine of the core is known: check seed-nodes, and that those machines run")

// UnavailableError reports that no usable response was received in time. The request may be repeated.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string {
	return "the core gave no answer in time, send it again: " + e.Reason
}

// Submit sends an update to the head of the chain and returns its result. It takes at most RequestTimeout plus the
// transfer time of the update. After OutcomeUnknown the update may or may not be committed. It may be submitted again,
// at any process, and then counts as the same update.
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

// Read returns the newest acknowledged value from the tail of the chain; its Seq is 0 if there is none yet.
// It returns an *UnavailableError if there is no usable response within RequestTimeout.
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
		m.advanceCommitted(response.Value) // this member's committed value may be older
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

// handleRead responds with the value if this member is the tail of the newest view, once a majority of the
// voters has confirmed that view.
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

// Confirm returns the sequence number of the newest acknowledged value, 0 if there is none. Every value that
// was acknowledged before the call has this number or a lower one. Confirm returns an *UnavailableError if
// there is no usable response within RequestTimeout.
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

// handleConfirm responds as handleRead does, but without the value.
func (m *Member) handleConfirm(ctx context.Context, request *empty) (*confirmResponse, error) {
	read, err := m.handleRead(ctx, request)
	if err != nil {
		return nil, err
	}
	return &confirmResponse{Seq: read.Value.Seq, OK: read.OK, Newer: read.Newer, Reason: read.Reason}, nil
}

// routedRequest is a request to the process that has a certain role in the newest view.
type routedRequest[T any] struct {
	role     func(view.View) view.Peer // returns the process that has the role in a view
	transfer time.Duration             // transfer time of the request, added to attemptTimeout
	send     func(context.Context, view.Peer) attemptResult[T]
}

// attemptResult is the result of one attempt.
type attemptResult[T any] struct {
	value T
	final bool       // no further attempt is needed
	newer *view.View // the newest view that the receiver knows if it does not have the role; nil otherwise
}

// route attempts a request until a result is final or ctx ends. Each attempt uses the newest view that is
// known. route returns the last result, or fallback if there is none.
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

// attempt makes one attempt, and asks other processes for a newer view at each hedgeDelay without a
// result. It returns false if it gives up because the role has moved to another process in a newer view.
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

// awaitNewerView waits until a view with a higher number is known, for retryDelay at most.
func (m *Member) awaitNewerView(ctx context.Context, number uint64) {
	m.mu.Lock()
	newest, changed := m.views.newest.Number, m.changed.wait()
	m.mu.Unlock()
	if newest <= number {
		wait(ctx, retryDelay, changed)
	}
}
