package ejection

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// ownVote is this member's vote on a host, with the promise and the requested attempts that belong to it.
type ownVote struct {
	vote             Vote
	reason           Reason
	grantExpiry      time.Duration // when the grant expires; other members may count it as expired earlier
	promisedUntil    time.Duration // when weight stops counting against the cap; 0 if nothing was promised
	weight           float64       // promised fraction of the zone's weight
	zone             string
	grantedAt        time.Duration // time of the last grant, -1 if there was none; older evidence does not count
	grants           int           // number of recent grants; each doubles the next lease, up to MaxLease
	record           outlier.Record
	owedSince        time.Duration // when the votes of others first called for an attempt; 0 if none is owed
	attemptRequested bool          // the owed attempt or health check has been requested
	probeAnswered    bool          // the requested health check has been answered
}

// tally counts the members whose last vote is for the ejection of a host and those whose last vote is
// against it.
func (v *Voter) tally(host outlier.Host) (inFavour, against int) {
	add := func(vote Vote) {
		switch vote {
		case Suspect, Grant:
			inFavour++
		case Deny:
			against++
		}
	}
	if m := v.own[host]; m != nil && v.isMember {
		add(m.vote)
	}
	for _, p := range v.peers {
		if vote, ok := p.votes[host]; ok && vote.expiresAt > v.now {
			add(vote.vote)
		}
	}
	return inFavour, against
}

// updateOwnVote sets this member's vote on a host from its evidence. Grants are made later, by
// grantWithinCap.
func (v *Voter) updateOwnVote(host outlier.Host, inPanic bool) {
	record, listed := v.evidence.Record(host, v.now)
	own := v.own[host]
	if own == nil {
		if !listed {
			return
		}
		own = &ownVote{grantedAt: -1}
		v.own[host] = own
	}
	own.record = record
	before := own.vote
	granted := own.vote == Grant && own.grantExpiry > v.now
	switch {
	case !v.isMember:
		own.vote, own.reason = Abstain, ReasonNotInElectorate
	case v.quarantined():
		own.vote, own.reason = Abstain, ReasonQuarantine
	case inPanic:
		own.vote, own.reason = Abstain, ReasonPanic
	case !listed:
		own.vote, own.reason = Abstain, ReasonNoEvidence
	case record.Healthy(v.now, v.config.MaxEvidenceAge) &&
		(own.grantedAt < 0 || record.LastSuccessSent > own.grantedAt):
		own.vote, own.reason = Deny, ReasonSuccess
	case granted: // the promise stands; grantWithinCap renews it
	case record.Unhealthy(v.now, v.config.MaxEvidenceAge) &&
		(own.grantedAt < 0 || record.LastFailureSent > own.grantedAt):
		if own.vote != Suspect { // an earlier Suspect keeps its reason, which may be ReasonEjectionCap
			own.reason = reasonFor(record.LastFailure)
		}
		own.vote = Suspect
	default:
		own.vote, own.reason = Abstain, ReasonNoEvidence
	}
	if own.vote != before && own.vote != Abstain {
		v.trace(own.vote.String(), host, own)
	}
	if record.LastProbeSent > record.LastFailureAt && own.attemptRequested && own.owedSince > 0 &&
		record.LastProbeSent > own.owedSince && !own.probeAnswered {
		// A running process is not evidence of health: request one attempt.
		own.attemptRequested, own.probeAnswered = false, true
	}
	if record.Attempts > 0 && (record.Healthy(v.now, v.config.MaxEvidenceAge) ||
		record.Unhealthy(v.now, v.config.MaxEvidenceAge)) {
		own.owedSince, own.attemptRequested, own.probeAnswered = 0, false, false
	}
}

// reasonFor returns the reason for a vote to eject a host whose last failure was of the given kind.
func reasonFor(failure outlier.Outcome) Reason {
	switch failure {
	case outlier.NoAnswer:
		return ReasonNoAnswer
	case outlier.Slow:
		return ReasonSlowness
	}
	return ReasonFailures
}
