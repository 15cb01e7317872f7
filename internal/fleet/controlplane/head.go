package controlplane

import (
	"context"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// submission is an update that is queued at the head.
type submission struct {
	callerContext context.Context
	update        *chain.Update
	response      chan submitResponse // has capacity for the one response
}

// errViewNotActivated reports that the head's value has not been pushed through the chain of its view.
var errViewNotActivated = errors.New("the head's value has not come through the chain yet")

// outcomeUnknown returns the response to an update that may or may not be committed.
func outcomeUnknown(reason string) submitResponse {
	return submitResponse{Result: chain.Result{Reason: reason}}
}

const notHeadReason = "not the head"

// handleSubmit handles an update. It responds when the outcome is known or when the caller has given up.
func (m *Member) handleSubmit(ctx context.Context, update *chain.Update) (*submitResponse, error) {
	m.mu.Lock()
	newest := m.views.newest
	isHead := newest.Number > 0 && !m.views.behind() && m.views.learned.Head().ID == m.self.ID
	m.mu.Unlock()
	if !isHead {
		response := outcomeUnknown(notHeadReason)
		if newest.Number > 0 {
			response.Newer = &newest
		}
		return &response, nil
	}
	queued := &submission{callerContext: ctx, update: update, response: make(chan submitResponse, 1)}
	select {
	case m.submissions <- queued:
	default:
		response := outcomeUnknown("too many orders wait at the head: send it again")
		return &response, nil
	}
	select {
	case response := <-queued.response:
		return &response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// submissionLoop carries out updates, one at a time, while this member is the head. In each view it
// first pushes its value through the whole chain.
func (m *Member) submissionLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		replica, changed, activatedView := m.replicaLocked(), m.changed.wait(), m.register.activatedView
		m.mu.Unlock()
		isHead := replica.IsHead()
		if isHead && activatedView != replica.View.Number {
			m.activateView(ctx)
			continue
		}
		select {
		case queued := <-m.submissions:
			m.respond(ctx, queued, isHead)
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (m *Member) respond(ctx context.Context, queued *submission, isHead bool) {
	switch {
	case !isHead:
		queued.response <- m.notHead()
	case queued.callerContext.Err() == nil:
		queued.response <- m.execute(ctx, queued)
	}
}

func (m *Member) notHead() submitResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := m.views.newest
	response := outcomeUnknown(notHeadReason)
	response.Newer = &newest
	return response
}

// activateView pushes the head's value until the tail of the learned view's chain has stored it, and
// returns that value. It returns false if this member is not the head, and when ctx ends.
func (m *Member) activateView(ctx context.Context) (chain.Value, bool) {
	for {
		replica := m.replica()
		if !replica.IsHead() {
			return chain.Value{}, false
		}
		err := m.replicate(ctx, replica.View, replica.Record.Value)
		m.mu.Lock()
		changed := m.changed.wait()
		if err == nil {
			m.register.activatedView = replica.View.Number
		}
		m.mu.Unlock()
		if err == nil {
			return replica.Record.Value, true
		}
		m.wakeTicker() // the tick may already detect the member that failed
		wait(ctx, activationRetryDelay, changed)
		if ctx.Err() != nil {
			return chain.Value{}, false
		}
	}
}

// appliedUpdate is the result of an update at the head's replica.
type appliedUpdate struct {
	view   view.View    // the view in which the update was applied; Number is 0 if this member is not the head
	next   *chain.Value // the new value, which is on disk here; nil if the update makes no new value
	result chain.Result
}

// execute applies an update and pushes the new value through the chain, which commits it.
func (m *Member) execute(ctx context.Context, queued *submission) submitResponse {
	applied, err := m.applyActivated(ctx, queued.update)
	switch {
	case err != nil:
		m.wakeTicker()
		return outcomeUnknown(err.Error())
	case applied.view.Number == 0:
		return m.notHead()
	case applied.next == nil:
		return m.confirmResult(queued.callerContext, applied)
	}
	// In the meantime this member may have been removed from the chain and become the head again, with a
	// value from other members that may lack the update.
	if value, ok := m.activateView(ctx); ok {
		if _, committed := value.RevisionOf(queued.update.Digest()); committed {
			return submitResponse{Result: applied.result}
		}
	}
	return m.notHead()
}

// confirmResult returns the response to an update that makes no new value. A rejection is final, so it must
// be based on the newest value: a majority of the voters has to confirm the view first.
func (m *Member) confirmResult(ctx context.Context, applied appliedUpdate) submitResponse {
	if applied.result.Outcome == chain.OutcomeCommitted || applied.result.Outcome == chain.OutcomeUnknown {
		return submitResponse{Result: applied.result}
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.RequestTimeout)
	defer cancel()
	if err := m.confirmView(ctx, applied.view); err != nil {
		return outcomeUnknown(err.Error())
	}
	return submitResponse{Result: applied.result}
}

// applyActivated is apply, but pushes the head's value through the chain first if apply requires it.
func (m *Member) applyActivated(ctx context.Context, update *chain.Update) (appliedUpdate, error) {
	for {
		applied, err := m.apply(ctx, update)
		if !errors.Is(err, errViewNotActivated) {
			return applied, err
		}
		// The view has changed, and this member is the head of the new one.
		if _, ok := m.activateView(ctx); !ok {
			return applied, err
		}
	}
}

// apply applies an update to the head's value, and stores the new value if there is one.
func (m *Member) apply(ctx context.Context, update *chain.Update) (appliedUpdate, error) {
	if err := m.acquireWrite(ctx); err != nil {
		return appliedUpdate{}, err
	}
	defer m.releaseWrite()
	m.mu.Lock()
	replica := m.replicaLocked()
	activated := m.register.activatedView == replica.View.Number
	m.mu.Unlock()
	switch {
	case !replica.IsHead():
		return appliedUpdate{}, nil
	case !activated:
		return appliedUpdate{}, errViewNotActivated
	}
	next, result, final := chain.Apply(&replica.Record.Value, update, m.options.Transition)
	if final {
		return appliedUpdate{view: replica.View, result: result}, nil
	}
	err := m.persistRecord(chain.Record{View: replica.View.Number, Value: *next})
	return appliedUpdate{view: replica.View, next: next, result: result}, err
}
