package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// handlePush handles a pushRequest: it stores the value, pushes it on along the chain and responds once the
// tail has stored it. The value of a direct push is only stored.
func (m *Member) handlePush(ctx context.Context, request *pushRequest) (*pushResponse, error) {
	push := &request.Push
	if request.To != m.self.ID {
		return &pushResponse{RejectReason: otherDiskReason(m.self.ID)}, nil
	}
	if err := push.View.Validate(); err != nil {
		return nil, err
	}
	if err := push.Value.Validate(); err != nil {
		return nil, err
	}
	if rejection, err := m.storePush(ctx, push); rejection != nil || err != nil {
		return rejection, err
	}
	if push.Direct {
		return &pushResponse{OK: true}, nil
	}
	if err := m.replicate(ctx, push.View, push.Value); err != nil {
		return &pushResponse{RejectReason: err.Error()}, nil
	}
	return &pushResponse{OK: true}, nil
}

// storePush writes a pushed value to disk. It returns a response or an error if the push is rejected, and
// nil otherwise.
func (m *Member) storePush(ctx context.Context, push *chain.Push) (*pushResponse, error) {
	m.observeView(&push.View)
	if err := m.acquireWrite(ctx); err != nil {
		return nil, err
	}
	defer m.releaseWrite()
	if err := m.persistView(&push.View); err != nil {
		return nil, err
	}
	if push.View.Number < m.views.learned.Number { // changes only while the write token is held
		learned := m.views.learned
		return &pushResponse{Newer: &learned}, nil
	}
	replica := m.replica()
	record, changed, err := replica.Receive(push)
	if err != nil {
		return &pushResponse{RejectReason: err.Error()}, nil
	}
	if !changed {
		return nil, nil
	}
	return nil, m.persistRecord(record)
}

// replicate pushes a value that is stored here to the next member, if there is one, and records it as
// committed once the tail has stored it. It fails when the view is superseded.
func (m *Member) replicate(ctx context.Context, current view.View, value chain.Value) error {
	if successor, ok := current.Successor(m.self.ID); ok {
		if err := m.pushTo(ctx, successor, current, value); err != nil {
			return err
		}
	}
	if value.Seq > 0 {
		m.advanceCommitted(value)
	}
	return nil
}

// pushTo pushes a value to the successor, and returns nil once the tail has stored it.
func (m *Member) pushTo(ctx context.Context, successor view.Member, current view.View, value chain.Value) error {
	position := current.Position(m.self.ID)
	ctx, cancel := m.withinView(ctx, current.Number, pushTimeoutAt(position, len(current.Chain), len(value.Body)))
	defer cancel()
	startedAt := time.Now()
	response, err := m.sendPush(ctx, successor, chain.Push{View: current, Value: value})
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) { // a canceled push says nothing about the successor
			m.recordPush(successor.ID, startedAt, false)
		}
		return err
	}
	m.recordPush(successor.ID, startedAt, true)
	if response.Newer != nil {
		m.observeView(response.Newer)
		return errors.Errorf("view %d is over", current.Number)
	}
	if !response.OK {
		return errors.New(response.RejectReason)
	}
	m.recordStored(successor.ID, value.Seq)
	return nil
}

// pushTimeoutAt returns how long the member at a position of the chain waits for the response to its push of
// size bytes. Each member waits longer than the one after it, also if the value takes long on slow links.
func pushTimeoutAt(position, chainLength, size int) time.Duration {
	transfers := time.Duration(chainLength - 1 - position)
	return pushTimeout - time.Duration(position)*pushTimeoutStep + transfers*transferTime(size)
}

// recordPush records whether a push reached the successor. Heartbeats may get through where pushes don't,
// so a successor that pushes don't reach is no longer reported as reachable.
func (m *Member) recordPush(id string, startedAt time.Time, reached bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if peer := m.peers.byID[id]; peer != nil {
		peer.pushed(startedAt, time.Now(), reached)
	}
}

// withinView returns a context that ends when the view with the given number is superseded, or after limit.
func (m *Member) withinView(ctx context.Context, number uint64, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	m.mu.Lock()
	superseded, learned := m.views.superseded.wait(), m.views.learned.Number
	m.mu.Unlock()
	if learned != number {
		cancel()
		return ctx, cancel
	}
	m.spawn(func(run context.Context) {
		select {
		case <-superseded:
		case <-run.Done():
		case <-ctx.Done():
		}
		cancel()
	})
	return ctx, cancel
}
