package ejection

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// withRequestedAttempt requests an attempt at a host, or a health check if voters report that it does not
// answer: no client's request is lost to find that out. Once it answers health checks an attempt is
// requested.
func (v *Voter) withRequestedAttempt(standing Standing, attemptDue bool) Standing {
	if !attemptDue {
		return standing
	}
	unanswered := false
	for _, p := range v.peers {
		vote, ok := p.votes[standing.Host]
		unanswered = unanswered || ok && vote.vote >= Suspect && vote.reason == ReasonNoAnswer && vote.until > v.now
	}
	own := v.own[standing.Host]
	if own != nil && own.vote >= Suspect {
		unanswered = own.record.LastFailure == outlier.NoAnswer
	}
	standing.Probe = unanswered && (own == nil || own.record.LastProbeSent <= own.record.LastFailureAt || v.now-own.record.LastProbeSent > v.config.MaxEvidenceAge)
	standing.Trial = !standing.Probe
	return standing
}

// trialDue reports whether this member is to make a trial attempt at an ejected host now. Each round
// draws one member, trialRoundsPerLease rounds in a lease. Once a third of the members vote against the
// ejection, a majority makes an attempt within two rounds; fewer votes may come from faulty voters.
func (v *Voter) trialDue(host outlier.Host, state *ejection) bool {
	interval, voters := max(v.config.TrialInterval, state.lease/trialRoundsPerLease), 1
	if _, against := v.tally(host); 3*against >= len(v.config.Electorate.Members) {
		interval, voters = v.config.TrialInterval, (v.config.Electorate.Quorum()+1)/2
	}
	if v.now-state.trialRoundBegan < interval {
		return false
	}
	state.trialRound, state.trialRoundBegan = state.trialRound+1, v.now
	return v.rank(host, state.trialRound) < voters
}

// owesAttempt reports whether this member, which has no evidence of its own, is to make an attempt at a
// host that others vote to eject. Members do so one after the other, until a majority has voted for the
// ejection or enough have voted against it.
func (v *Voter) owesAttempt(host outlier.Host) bool {
	own := v.own[host]
	if own == nil || own.attemptRequested || own.vote != Abstain || own.reason != ReasonNoEvidence {
		return false
	}
	inFavour, against := v.tally(host)
	if inFavour == 0 || inFavour >= v.config.Electorate.Quorum() || against >= 2*inFavour {
		own.owedSince = 0
		return false
	}
	if own.owedSince == 0 {
		own.owedSince = v.now
	}
	if v.now-own.owedSince < firstAttemptDelay+time.Duration(v.rank(host, -1))*attemptStagger {
		return false
	}
	own.attemptRequested = true
	return true
}

// rank returns this member's position among all members for a host and a round, in an order that is the
// same at every member.
func (v *Voter) rank(host outlier.Host, round int64) (rank int) {
	ownHash := hash(host, round, v.config.Self)
	for _, name := range v.config.Electorate.Members {
		if hash(host, round, name) < ownHash {
			rank++
		}
	}
	return rank
}

func hash(h outlier.Host, round int64, name string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%d\x00%s", h.ID, h.Incarnation, round, name))
}
