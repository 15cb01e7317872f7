package controlplane

import (
	"context"
	"math/rand/v2"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// proposer decides when this member proposes a view, and under which proposal number. At most one
// proposal is under way.
type proposer struct {
	name   string            // the proposer in proposal numbers: the member's ID and its incarnation
	rounds map[uint64]uint32 // highest round that was used or seen, by the number of the proposed view
	active bool              // a proposal is under way
	// backoffUntil is the earliest time of the next proposal.
	backoffUntil time.Time
	// pendingReason is the reason of the repair step that is delayed; empty if there is none.
	pendingReason string
	// pendingSince is the time at which that step was first planned.
	pendingSince time.Time
}

func newProposer(name string) proposer {
	return proposer{name: name, rounds: map[uint64]uint32{}}
}

// ready reports whether a proposal may be started.
func (p *proposer) ready(now time.Time) bool { return !p.active && !now.Before(p.backoffUntil) }

// due reports whether a step has been pending for long enough. rank is the number of healthy members
// that propose before this one.
func (p *proposer) due(step view.Step, rank int, now time.Time) bool {
	if step.Reason != p.pendingReason {
		p.pendingReason, p.pendingSince = step.Reason, now
	}
	return now.Sub(p.pendingSince) >= step.Delay+time.Duration(rank)*proposerRankDelay
}

// clearPending records that the view needs no repair.
func (p *proposer) clearPending() { p.pendingReason = "" }

// learned records that a view was learned, which invalidates steps and rounds of older views.
func (p *proposer) learned(number uint64) {
	p.pendingReason = ""
	for instance := range p.rounds {
		if instance <= number {
			delete(p.rounds, instance)
		}
	}
}

// begin starts a proposal for the view of an instance, under a number that this member has not used.
func (p *proposer) begin(instance uint64) view.ProposalNumber {
	p.active = true
	p.rounds[instance]++
	return view.ProposalNumber{Round: p.rounds[instance], Proposer: p.name}
}

// end ends a proposal whose outcome is known.
func (p *proposer) end() { p.active = false }

// endUndecided ends a proposal that was not decided. highestSeen is the highest round in the responses,
// and learned the number of the learned view.
func (p *proposer) endUndecided(instance, learned uint64, highestSeen uint32, backoffUntil time.Time) {
	p.active = false
	if instance > learned {
		p.rounds[instance] = max(p.rounds[instance], highestSeen)
	}
	p.backoffUntil = backoffUntil
}

// proposeLocked starts a proposal for the view after the learned one.
func (m *Member) proposeLocked(step view.Step) {
	base := m.views.learned
	number := m.proposer.begin(base.Number + 1)
	m.spawnLocked(func(ctx context.Context) {
		proposal := view.NewProposal(base, number, step.View)
		outcome := m.runProposal(ctx, proposal)
		m.concludeProposal(ctx, proposal, outcome, step.Reason)
		m.wakeTicker()
	})
}

// concludeProposal learns and announces the decided view, if any, and allows the next proposal.
func (m *Member) concludeProposal(ctx context.Context, proposal *view.Proposal, outcome view.ProposalState, why string) {
	instance := proposal.Base.Number + 1
	switch outcome {
	case view.Decided:
		logevent.ViewDecided.Log("view", proposal.View.Number, "why", why)
		m.announceView(proposal.View, proposal.Base.Voters)
		fallthrough
	case view.Superseded:
		m.learnViewOrLog(ctx, &proposal.View)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.proposer.end()
	default:
		logevent.ViewUndecided.Log("view", instance, "outcome", outcome, "why", why)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.proposer.endUndecided(instance, m.views.learned.Number, proposal.HighestSeen.Round, time.Now().Add(randomBackoff()))
	}
}

func randomBackoff() time.Duration {
	return minProposalBackoff + rand.N(maxProposalBackoff-minProposalBackoff)
}

// runProposal runs both phases of a proposal with its voters.
func (m *Member) runProposal(ctx context.Context, proposal *view.Proposal) view.ProposalState {
	prepare := proposal.PrepareRequest()
	outcome := m.runPhase(ctx, proposal, func(ctx context.Context, voter view.Peer) (*view.Response, error) {
		request := &prepareRequest{To: voter.ID, Prepare: prepare}
		if m.isSelf(voter) {
			return m.handlePrepare(ctx, request)
		}
		return call[prepareRequest, view.Response](ctx, m, voter.Addr, callPrepare, request)
	}, proposal.HandlePromise)
	if outcome != view.Accepting {
		return outcome
	}
	accept := proposal.AcceptRequest()
	return m.runPhase(ctx, proposal, func(ctx context.Context, voter view.Peer) (*view.Response, error) {
		request := &acceptRequest{To: voter.ID, Accept: accept}
		if m.isSelf(voter) {
			return m.handleAccept(ctx, request)
		}
		return call[acceptRequest, view.Response](ctx, m, voter.Addr, callAccept, request)
	}, proposal.HandleAcceptance)
}

// isSelf reports whether a voter is this process: by its ID or, for the first view, by its address.
func (m *Member) isSelf(voter view.Peer) bool {
	return voter.ID == m.self.ID || voter.ID == m.self.Addr
}

// voterAnswer is a voter's answer in one phase.
type voterAnswer struct {
	voter  string         // the voter's ID
	answer *view.Response // nil if the call failed
}

// runPhase sends the request of a phase to all voters at once, and counts their answers until the
// state of the proposal changes, or for phaseTimeout at most.
func (m *Member) runPhase(
	ctx context.Context,
	proposal *view.Proposal,
	send func(context.Context, view.Peer) (*view.Response, error),
	count func(voter string, answer view.Response) view.ProposalState,
) view.ProposalState {
	ctx, cancel := context.WithTimeout(ctx, phaseTimeout)
	defer cancel()
	voters := proposal.Base.Voters
	answers := make(chan voterAnswer, len(voters))
	for _, voter := range voters {
		m.spawn(func(context.Context) {
			answer, err := send(ctx, voter)
			if err != nil {
				answer = nil
			}
			answers <- voterAnswer{voter.ID, answer}
		})
	}
	before := proposal.State()
	for range voters {
		select {
		case result := <-answers:
			if result.answer == nil {
				continue
			}
			if outcome := count(result.voter, *result.answer); outcome != before {
				return outcome
			}
		case <-ctx.Done():
			return proposal.State()
		}
	}
	return proposal.State()
}

// announceView sends a decided view to its voters and to those of the view before it, in the background.
// Voters that miss it learn it from heartbeats.
func (m *Member) announceView(decided view.View, formerVoters []view.Peer) {
	announced := map[string]bool{m.self.ID: true}
	for _, voter := range append(append([]view.Peer(nil), decided.Voters...), formerVoters...) {
		if announced[voter.ID] {
			continue
		}
		announced[voter.ID] = true
		m.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, _ = call[view.View, empty](ctx, m, voter.Addr, callLearn, &decided) // heartbeats repeat it
		})
	}
}
