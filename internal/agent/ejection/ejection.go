package ejection

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// ejection is the state of a host that is ejected or in the slow start after its ejection.
type ejection struct {
	ejected         bool          // false during the slow start
	since           time.Duration // start of the ejection or of the slow start
	expiresAt       time.Duration // when the ejection expires
	lease           time.Duration // length of the last lease
	trialRound      int64         // number of the current round of trials
	trialRoundBegan time.Duration // when that round began
}

// updateEjection counts the live grants for a host and ejects it, extends its ejection or ends it.
func (v *Voter) updateEjection(host outlier.Host) {
	granters, expiresAt := v.liveGrants(host)
	ejected := len(granters) >= v.config.Electorate.Quorum()
	state := v.ejections[host]
	if state == nil {
		if !ejected {
			return
		}
		state = &ejection{}
		v.ejections[host] = state
	}
	if ejected && state.ejected && expiresAt > state.expiresAt {
		v.actions.Trace = append(v.actions.Trace, TraceEvent{At: v.now, Kind: "hold", Host: host,
			Electorate: v.config.Electorate.Number, Granters: granters, Until: expiresAt})
	}
	if ejected && expiresAt > state.expiresAt {
		state.lease = expiresAt - v.now
	}
	state.expiresAt = expiresAt
	switch {
	case ejected && !state.ejected:
		state.ejected, state.since, state.trialRoundBegan = true, v.now, v.now
		v.actions.Trace = append(v.actions.Trace, TraceEvent{At: v.now, Kind: "eject", Host: host,
			Electorate: v.config.Electorate.Number, Granters: granters, Until: expiresAt})
	case !ejected && state.ejected:
		state.ejected, state.since = false, v.now
		v.actions.Trace = append(v.actions.Trace, TraceEvent{At: v.now, Kind: "return", Host: host,
			Electorate: v.config.Electorate.Number, Granters: granters})
	case !ejected && v.now-state.since < v.slowStartDuration():
		// The slow start starts over while this member suspects the host.
		if m := v.own[host]; m != nil && m.vote == Suspect {
			state.since = v.now
		}
	}
}

// expire deletes votes and ejections that no longer affect any member.
func (v *Voter) expire() {
	for host, own := range v.own {
		_, listed := v.evidence.Incarnation(host.ID)
		inFavour, _ := v.tally(host)
		if own.vote > Deny || own.promisedUntil > v.now || inFavour > 0 && listed {
			continue
		}
		if !listed || v.now-own.promisedUntil > v.config.EscalationWindow || own.grants == 0 {
			delete(v.own, host)
		}
	}
	for host, state := range v.ejections {
		if !state.ejected && v.now-state.since > v.slowStartDuration() {
			delete(v.ejections, host)
		}
	}
	for _, p := range v.peers {
		for host, vote := range p.votes {
			if vote.expiresAt <= v.now {
				delete(p.votes, host)
			}
		}
	}
}

// slowStartDuration returns how long after its return a host gets its full share again.
func (v *Voter) slowStartDuration() time.Duration {
	return time.Duration(len(slowStartShares)-1) * v.config.SlowStartStep
}

// currentStandings returns the standing of each host that is not treated as usual.
func (v *Voter) currentStandings() (out []Standing) {
	for _, host := range v.knownHosts() {
		if state := v.ejections[host]; state != nil && state.ejected {
			out = append(out, v.withRequestedAttempt(Standing{Host: host, Until: state.expiresAt},
				v.trialDue(host, state)))
			continue
		} else if state != nil && v.now-state.since < v.slowStartDuration() {
			out = append(out, Standing{Host: host,
				Share: slowStartShares[(v.now-state.since)/v.config.SlowStartStep],
				Until: state.since + v.slowStartDuration()})
			continue
		}
		if v.owesAttempt(host) {
			out = append(out, v.withRequestedAttempt(Standing{Host: host, Share: 1}, true))
		}
	}
	return out
}
