package ejection

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// withRequestedAttempt requests an attempt at the host in its standing if one is due. If the evidence is that
// the host does not answer, it requests a health check instead, so that no client's request is lost, and an
// attempt only once the host answers health checks.
func (v *Voter) withRequestedAttempt(standing Standing, attemptDue bool) Standing {
	if !attemptDue {
		return standing
	}
	unanswered := false
	for _, p := range v.peers {
		vote, ok := p.votes[standing.Host]
		unanswered = unanswered || ok && vote.vote >= Suspect && vote.reason == ReasonNoAnswer && vote.expiresAt > v.now
	}
	own := v.own[standing.Host]
	if own != nil && own.vote >= Suspect {
		unanswered = own.record.LastFailure == outlier.NoAnswer
	}
	standing.Probe = unanswered && (own == nil || own.record.LastProbeSent <= own.record.LastFailureAt ||
		v.now-own.record.LastProbeSent > v.config.MaxEvidenceAge)
	standing.Trial = !standing.Probe
	return standing
}

// trialDue reports whether this member should make a trial attempt at an ejected host now. There are
// trialRoundsPerLease rounds per lease, and each selects one member. Once a third of the members vote
// against the ejection, rounds are TrialInterval apart and each selects half of a quorum, so that a majority
// can vote soon. A smaller number of such votes may come from faulty voters alone.
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

// owesAttempt reports whether this member should make an attempt at a host that others vote to eject and
// on which it has no evidence of its own. Members make such attempts one after the other, until a majority
// has voted for the ejection or enough members have voted against it.
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

// hash returns a hash that determines the order of members in a round of trials at a host.
func hash(h outlier.Host, round int64, name string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%d\x00%s", h.ID, h.Incarnation, round, name))
}
