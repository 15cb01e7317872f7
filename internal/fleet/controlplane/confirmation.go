package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	// confirmationOverlapDelay is how long a confirmation round waits for the end of the one before. It is
	// bounded so that one voter that does not answer does not delay all later callers.
	confirmationOverlapDelay = 25 * time.Millisecond
	// minConfirmationInterval is the shortest time between the starts of two rounds, so that many callers
	// in a row share few rounds. A single caller does not wait.
	minConfirmationInterval = 10 * time.Millisecond
	// maxConfirmationCalls bounds the confirmation calls that are under way to one voter: it is the number
	// of rounds that can overlap when a voter does not answer.
	maxConfirmationCalls = int(callTimeout/confirmationOverlapDelay) + 1
)

// confirmationRound is one request to each voter of a view, shared by all callers that joined before the
// requests were sent.
type confirmationRound struct {
	view   view.View
	sentAt time.Time     // when the requests were sent; set before the round becomes the latest one
	err    error         // set before done is closed
	done   chan struct{} // closed when the round has ended
}

// confirmations shares confirmation rounds among callers, as a round takes a call to each voter and every
// agent requests a confirmation at the same time after a restart of the fleet.
type confirmations struct {
	waiting *confirmationRound // the round that callers can still join; nil if there is none
	latest  *confirmationRound // the last round whose requests were sent; nil if there was none
}

// confirmView returns nil once a majority of the voters has confirmed that a view is in force: none of
// them knows a newer view or has accepted one. So no newer view was acted on before their answers.
func (m *Member) confirmView(ctx context.Context, current view.View) error {
	m.mu.Lock()
	round := m.joinConfirmationLocked(current)
	m.mu.Unlock()
	select {
	case <-round.done:
		return round.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "confirm the view")
	}
}

// joinConfirmationLocked returns a confirmation round for a view. Its requests are sent after this call.
func (m *Member) joinConfirmationLocked(current view.View) *confirmationRound {
	c := &m.confirmations
	if c.waiting != nil && c.waiting.view.Number == current.Number {
		return c.waiting
	}
	round := &confirmationRound{view: current, done: make(chan struct{})}
	c.waiting = round
	former := c.latest
	m.spawnLocked(func(ctx context.Context) { m.runConfirmation(ctx, round, former) })
	return round
}

// runConfirmation runs a round once the former one has ended or has taken confirmationOverlapDelay.
func (m *Member) runConfirmation(ctx context.Context, round, former *confirmationRound) {
	if former != nil {
		wait(ctx, confirmationOverlapDelay, former.done)
		wait(ctx, minConfirmationInterval-time.Since(former.sentAt), nil)
	}
	m.mu.Lock()
	if m.confirmations.waiting == round {
		m.confirmations.waiting = nil
	}
	round.sentAt = time.Now()
	m.confirmations.latest = round
	m.mu.Unlock()
	round.err = m.requestConfirmations(ctx, &round.view)
	close(round.done)
}

// requestConfirmations sends the requests of a round and returns nil once a majority of the voters has
// confirmed the view. The other calls are not canceled: that would close their connections, which the next
// round would have to open again.
func (m *Member) requestConfirmations(ctx context.Context, current *view.View) error {
	answers := make(chan *heartbeat, len(current.Voters))
	for _, voter := range current.Voters {
		m.requestConfirmation(ctx, voter, answers)
	}
	confirmed := 0
	for range current.Voters {
		var answer *heartbeat
		select {
		case answer = <-answers: // each call is bounded by callTimeout
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "confirm the view")
		}
		switch {
		case answer == nil:
			continue
		case answer.View > current.Number || answer.Accepted > current.Number:
			return errors.Errorf("view %d may be over", current.Number)
		}
		if confirmed++; confirmed >= current.Quorum() {
			return nil
		}
	}
	return errors.Errorf("no majority of the voters confirms view %d", current.Number)
}

// requestConfirmation sends a voter's state to answers, or nil if the voter can't be asked or does not
// answer.
func (m *Member) requestConfirmation(ctx context.Context, voter view.Peer, answers chan<- *heartbeat) {
	if voter.ID == m.self.ID {
		m.mu.Lock()
		answers <- m.heartbeatLocked("", time.Now()) // has capacity for all voters
		m.mu.Unlock()
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	peer := m.peers.byID[voter.ID]
	if peer == nil || peer.confirmationCalls >= maxConfirmationCalls {
		answers <- nil
		return
	}
	peer.confirmationCalls++
	m.spawnLocked(func(context.Context) {
		answer, err := m.sendHeartbeat(ctx, voter)
		if err != nil || answer.Peer.ID != voter.ID {
			answer = nil
		}
		m.mu.Lock()
		peer.confirmationCalls--
		m.mu.Unlock()
		answers <- answer
	})
}
