package relay

import "time"

// selfStartDelay is how long a core member must have had a quorum before it counts on what it has
// itself, where it has met no complete relay. Sessions take less time to be established.
const selfStartDelay = 700 * time.Millisecond

// readiness tracks whether this process has everything that a relay knows. A process that is not
// complete may still serve, by what it has; it must not make others believe that they are complete.
type readiness struct {
	synced        bool          // it has been complete once
	stale         bool          // it has lost its quorum since, and has not been complete again
	configCurrent bool          // the core has been read for the newest configuration
	quorumSince   time.Duration // since when it is a core member with a quorum; 0: it is not
}

// complete reports whether this process has everything, as far as it can know.
func (r *readiness) complete() bool { return r.synced && !r.stale }

// markComplete records that this process has everything, and reports whether that is the first time.
func (r *readiness) markComplete() (first bool) {
	first = !r.synced
	r.synced, r.stale = true, false
	return first
}

// observeCore records this process's standing with the core at a time.
func (r *readiness) observeCore(now time.Duration, isMember, hasQuorum bool) {
	updateSince(&r.quorumSince, now, isMember && hasQuorum)
	if isMember && !hasQuorum {
		r.stale = true // the others may commit without it
	}
}

// maySelfStart reports whether this process may declare itself complete where no relay can: it has a
// quorum, and its configuration is not older than the core's.
func (r *readiness) maySelfStart() bool {
	return r.quorumSince > 0 && !r.complete() && r.configCurrent
}

// quorumFor reports whether this process has had a quorum for longer than a duration.
func (r *readiness) quorumFor(now, duration time.Duration) bool {
	return r.quorumSince > 0 && now-r.quorumSince > duration
}

// updateSince maintains since when a condition holds; 0: it does not.
func updateSince(since *time.Duration, now time.Duration, holds bool) {
	if !holds {
		*since = 0
	} else if *since == 0 {
		*since = now
	}
}
