package ejection

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// ownVote is this member's vote on a host, with the promises and attempts that follow from it.
type ownVote struct {
	vote             Vote
	reason           Reason
	until            time.Duration // expiry of a grant, as other members count it
	promisedUntil    time.Duration // until when the weight counts against the cap; 0: never
	weight           float64       // fraction of the zone's weight when it was granted
	zone             string
	grantedAt        time.Duration // time of the last grant; older evidence does not count again
	grants           int           // number of recent grants; each lasts longer than the one before
	record           outlier.Record
	owedSince        time.Duration // since when others vote without evidence of this member; 0: they do not
	attemptRequested bool          // the owed attempt or health check has been requested
	probeAnswered    bool          // the requested health check has been answered
}

// tally counts the members that vote for the ejection of a host and those that vote against it, by
// the last vote of each.
func (v *Voter) tally(host outlier.Host) (inFavour, against int) {
	add := func(a Vote) {
		switch a {
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
		if vote, ok := p.votes[host]; ok && vote.until > v.now {
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
	granted := own.vote == Grant && own.until > v.now
	switch {
	case !v.isMember:
		own.vote, own.reason = Abstain, ReasonNotInElectorate
	case v.quarantined():
		own.vote, own.reason = Abstain, ReasonQuarantine
	case inPanic:
		own.vote, own.reason = Abstain, ReasonPanic
	case !listed:
		own.vote, own.reason = Abstain, ReasonNoEvidence
	case record.Healthy(v.now, v.config.MaxEvidenceAge) && (own.grantedAt < 0 || record.LastSuccessSent > own.grantedAt):
		own.vote, own.reason = Deny, ReasonSuccess
	case granted: // the promise stands; grantWithinCap renews it
	case record.Unhealthy(v.now, v.config.MaxEvidenceAge) && (own.grantedAt < 0 || record.LastFailureSent > own.grantedAt):
		if own.vote != Suspect { // keeps ReasonEjectionCap, which still holds
			own.reason = reasonFor(record.LastFailure)
		}
		own.vote = Suspect
	default:
		own.vote, own.reason = Abstain, ReasonNoEvidence
	}
	if own.vote != before && own.vote != Abstain {
		v.trace(own.vote.String(), host, own)
	}
	if record.LastProbeSent > record.LastFailureAt && own.attemptRequested && own.owedSince > 0 && record.LastProbeSent > own.owedSince && !own.probeAnswered {
		own.attemptRequested, own.probeAnswered = false, true // a running process is no evidence of health: request one attempt
	}
	if record.Attempts > 0 && (record.Healthy(v.now, v.config.MaxEvidenceAge) || record.Unhealthy(v.now, v.config.MaxEvidenceAge)) {
		own.owedSince, own.attemptRequested, own.probeAnswered = 0, false, false
	}
}

func reasonFor(k outlier.Outcome) Reason {
	switch k {
	case outlier.NoAnswer:
		return ReasonNoAnswer
	case outlier.Slow:
		return ReasonSlowness
	}
	return ReasonFailures
}
