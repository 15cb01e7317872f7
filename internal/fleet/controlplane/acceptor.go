package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// acceptor holds this member's vote on the view after the learned one, as it is on disk.
type acceptor struct {
	state view.AcceptorState
	// acceptedAt is the time at which this run of the process first accepted a view in the instance; zero
	// if the vote was read from the disk at the start.
	acceptedAt time.Time
}

// record stores a vote that is on disk.
func (a *acceptor) record(vote view.AcceptorState, now time.Time) {
	if vote.Accepted != nil && (a.state.Instance != vote.Instance || a.state.Accepted == nil) {
		a.acceptedAt = now
	}
	a.state = vote
}

// undecided returns the number of the view that was accepted but is not known to be decided; 0 if there is
// none. learned is the number of the learned view.
func (a *acceptor) undecided(learned uint64) uint64 {
	if a.state.Accepted != nil && a.state.Instance == learned+1 {
		return a.state.Instance
	}
	return 0
}

// abandoned reports whether the accepted view has been undecided for so long that its proposer must have
// failed.
func (a *acceptor) abandoned(learned uint64, now time.Time) bool {
	return a.undecided(learned) != 0 && now.Sub(a.acceptedAt) > stabilizationDelay
}

// voteTransition applies a request to an acceptor's vote. It returns the next vote on the instance, and the
// response that may be sent once that vote is on disk.
type voteTransition func(vote view.AcceptorState, instance uint64) (view.AcceptorState, view.Response)

// handlePrepare handles a prepareRequest. It responds once the promise is on disk.
func (m *Member) handlePrepare(ctx context.Context, request *prepareRequest) (*view.Response, error) {
	prepare := &request.Prepare
	if prepare.Base.Number == 0 {
		return m.prepareFirstView(request), nil
	}
	return m.castVote(ctx, request.To, &prepare.Base, func(vote view.AcceptorState, instance uint64) (view.AcceptorState, view.Response) {
		return vote.Prepare(instance, prepare.Number)
	})
}

// handleAccept handles an acceptRequest. It responds once the acceptance is on disk.
func (m *Member) handleAccept(ctx context.Context, request *acceptRequest) (*view.Response, error) {
	accept := &request.Accept
	if accept.View.Number != accept.Base.Number+1 {
		return nil, errors.Errorf("view %d proposed after %d", accept.View.Number, accept.Base.Number)
	}
	if err := accept.View.Validate(); err != nil {
		return nil, err
	}
	if accept.Base.Number == 0 {
		return m.acceptFirstView(request), nil
	}
	return m.castVote(ctx, request.To, &accept.Base, func(vote view.AcceptorState, instance uint64) (view.AcceptorState, view.Response) {
		return vote.Accept(instance, accept.Number, accept.View)
	})
}

// castVote votes on the view after base. If base is newer than the learned view, it is learned first.
func (m *Member) castVote(ctx context.Context, to string, base *view.View, cast voteTransition) (*view.Response, error) {
	if to != m.self.ID {
		return &view.Response{RejectReason: otherDiskReason(m.self.ID)}, nil
	}
	if err := base.Validate(); err != nil {
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
	// The learned view and the vote change only while the write token is held.
	if base.Number < m.views.learned.Number {
		learned := m.views.learned
		return &view.Response{Newer: &learned}, nil
	}
	if !m.views.isVoter(m.self.ID) {
		return &view.Response{RejectReason: "no voter of this view"}, nil
	}
	vote, answer := cast(m.acceptor.state, base.Number+1)
	if !answer.OK {
		return &answer, nil
	}
	if err := m.persistVote(vote); err != nil {
		return nil, err
	}
	return &answer, nil
}

// persistVote writes a vote to disk. The caller holds the write token.
func (m *Member) persistVote(vote view.AcceptorState) error {
	record, err := encode(&vote)
	if err != nil {
		return err
	}
	if err := m.disk.Put(keyVote, record); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.acceptor.record(vote, time.Now())
	return nil
}

// otherDiskReason is the reason for rejecting a request that was sent to another disk. When a disk is
// lost, its promises are lost too, so the disk that replaces it is another member.
func otherDiskReason(id string) string { return "this disk is " + id }
