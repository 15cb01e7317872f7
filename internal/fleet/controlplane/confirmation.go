package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	// confirmationOverlapDelay is how long a round of confirmation waits for the end of the one before:
	// one voter that does not answer must not hold up all that ask later.
	confirmationOverlapDelay = 25 * time.Millisecond
	// minConfirmationInterval is the shortest time between the begin of a round and that of the next, so
	// that many callers in a row share few rounds. A caller that comes alone does not wait.
	minConfirmationInterval = 10 * time.Millisecond
	// maxConfirmationCalls bounds the calls for confirmation that are under way to one voter: as many as
	// there are rounds where none gets an answer.
	maxConfirmationCalls = int(callTimeout/confirmationOverlapDelay) + 1
)

// confirmationRound is one question to the voters of a view, for all callers that came before it was
// asked.
type confirmationRound struct {
	view    view.View
	askedAt time.Time     // when the voters were asked; set before the round is the latest one
	err     error         // set before done is closed
	done    chan struct{} // closed when the round has ended
}

// confirmations shares the rounds of confirmation among callers: a round takes a call to each voter, and
// after a restart of the fleet every agent wants a confirmation at the same time.
type confirmations struct {
	waiting *confirmationRound // not asked yet: callers may join it; nil: there is none
	latest  *confirmationRound // the last one that was asked; nil: there was none
}

// confirmView asks a majority of the voters of a view whether it is in force: none of them knows a
// newer one or has accepted one. A view that is decided later was not acted on before the answers.
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

// joinConfirmationLocked returns a round for a view that is asked after this call.
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

// runConfirmation carries out a round, once the former one has ended or takes long.
func (m *Member) runConfirmation(ctx context.Context, round, former *confirmationRound) {
	if former != nil {
		wait(ctx, confirmationOverlapDelay, former.done)
		wait(ctx, minConfirmationInterval-time.Since(former.askedAt), nil)
	}
	m.mu.Lock()
	if m.confirmations.waiting == round {
		m.confirmations.waiting = nil
	}
	round.askedAt = time.Now()
	m.confirmations.latest = round
	m.mu.Unlock()
	round.err = m.requestConfirmations(ctx, &round.view)
	close(round.done)
}

// requestConfirmations asks the voters of a view until a majority of them has confirmed it. The calls to
// the others go on: a call that is broken off costs its connection, and the next round a new one.
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

// requestConfirmation has the state of a voter sent to answers, or nil if the voter can't be asked.
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
