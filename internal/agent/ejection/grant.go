package ejection

import (
	"cmp"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// liveGrants returns the members whose grants for a host have not expired, and the time at which they
// are no longer a majority because grants expired; 0 if they are no majority now.
func (v *Voter) liveGrants(host outlier.Host) (granters []string, majorityExpiry time.Duration) {
	var expiries []time.Duration
	for _, name := range v.config.Electorate.Members {
		expiry, live := time.Duration(0), false
		if p := v.peers[name]; p != nil {
			vote, ok := p.votes[host]
			expiry, live = vote.expiresAt, ok && vote.vote == Grant
		} else if m := v.own[host]; m != nil {
			expiry, live = m.grantExpiry, m.vote == Grant
		}
		if live && expiry > v.now {
			granters, expiries = append(granters, name), append(expiries, expiry)
		}
	}
	if quorum := v.config.Electorate.Quorum(); len(expiries) >= quorum {
		slices.Sort(expiries)
		majorityExpiry = expiries[len(expiries)-quorum]
	}
	return granters, majorityExpiry
}

// grantCandidates returns the hosts for which this member may make or renew a grant now. Those with the
// most votes come first, so that voters that are close to the cap grant the same hosts.
func (v *Voter) grantCandidates() []outlier.Host {
	var out []outlier.Host
	votesFor := map[outlier.Host]int{}
	for h, own := range v.own {
		// A renewal needs evidence of this member that is not too old, and evidence of any voter that
		// is newer than the grant. So one failed trial keeps a host ejected; otherwise each member
		// would need one.
		record := own.record
		unhealthy := record.LastFailureAt > record.LastSuccessSent &&
			v.now-record.LastFailureAt <= renewalAgeFactor*v.config.MaxLease
		renewalDue := own.vote == Grant && own.grantExpiry > v.now &&
			own.grantExpiry-v.now < (own.grantExpiry-own.grantedAt)/2 && unhealthy &&
			v.newestEvidence(h) > own.grantedAt
		if own.vote != Suspect && !renewalDue {
			continue
		}
		if inFavour, _ := v.tally(h); inFavour >= v.config.Electorate.Quorum() {
			votesFor[h] = inFavour
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b outlier.Host) int {
		return cmp.Or(cmp.Compare(votesFor[b], votesFor[a]), cmp.Compare(hash(a, 0, ""), hash(b, 0, "")),
			compareHosts(a, b))
	})
	return out
}

// newestEvidence returns the time of the newest failure that any voter reports of a host; negative if
// there is none.
func (v *Voter) newestEvidence(h outlier.Host) time.Duration {
	at := time.Duration(-1)
	if m := v.own[h]; m != nil {
		at = m.record.LastFailureSent
	}
	for _, p := range v.peers {
		if vote, ok := p.votes[h]; ok && vote.vote >= Suspect && vote.expiresAt > v.now {
			at = max(at, vote.evidenceAt)
		}
	}
	return at
}

// nextLease returns the duration of this member's next grant for a host.
func (v *Voter) nextLease(m *ownVote) time.Duration {
	return min(v.config.Lease<<min(m.grants, 16), v.config.MaxLease)
}

// grantWithinCap makes or renews the grant for a host if the cap and the persisted promises allow it.
func (v *Voter) grantWithinCap(host outlier.Host) {
	own := v.own[host]
	weight, zone := v.evidence.Weight(host)
	quorum, members := float64(v.config.Electorate.Quorum()), float64(len(v.config.Electorate.Members))
	promised := weight
	for other, otherVote := range v.own {
		if other != host && otherVote.zone == zone && otherVote.promisedUntil > v.now {
			promised += otherVote.weight
		}
	}
	if weight <= 0 || promised > v.config.MaxEjectedFraction*quorum/members+1e-9 {
		if own.vote == Suspect && own.reason != ReasonEjectionCap {
			own.reason = ReasonEjectionCap
			v.trace("over_cap", host, own)
		}
		return
	}
	if v.config.PersistsPromises && v.now+v.config.MaxPromise() > v.persistedUntil {
		// Twice what is needed, so that the next grants do not wait.
		v.actions.PersistPromisesUntil = v.now + 2*v.config.MaxPromise()
		if v.now+time.Duration(float64(v.nextLease(own))*(1+2*clockDrift)) > v.persistedUntil {
			return
		}
	}
	lease, kind := v.nextLease(own), "grant"
	if own.vote == Grant {
		kind = "renew"
	}
	own.grants++
	own.vote, own.reason = Grant, reasonFor(own.record.LastFailure)
	own.grantedAt, own.grantExpiry = v.now, v.now+lease
	// The listed weight may change: a promise counts with the largest weight that it had.
	if own.promisedUntil <= v.now || own.zone != zone {
		own.weight = 0
	}
	own.weight, own.zone = max(own.weight, weight), zone
	own.promisedUntil = v.now + time.Duration(float64(lease)*(1+2*clockDrift))
	v.trace(kind, host, own)
}
