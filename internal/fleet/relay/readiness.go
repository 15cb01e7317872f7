package relay

import "time"

// selfStartDelay is how long a core member must have had a quorum before it may declare itself complete
// without a complete relay. Sessions are established in less time.
const selfStartDelay = 700 * time.Millisecond

// readiness tracks whether this process is complete, that is, has everything that a relay has. A process
// that is not complete may still serve with the state that it has, but it must not make other processes
// consider themselves complete.
type readiness struct {
	synced        bool          // whether this process has ever been complete
	stale         bool          // whether it has lost its quorum since it was last complete
	configCurrent bool          // whether MarkConfigCurrent has been called
	quorumSince   time.Duration // when it became a core member with a quorum; 0 while it is not
}

// complete reports whether this process has everything that a relay has, as far as it can know.
func (r *readiness) complete() bool { return r.synced && !r.stale }

// markComplete records that this process is complete, and reports whether that is so for the first time.
func (r *readiness) markComplete() (isFirst bool) {
	isFirst = !r.synced
	r.synced, r.stale = true, false
	return isFirst
}

// observeCore records whether this process is a member of the core, and whether it has a quorum.
func (r *readiness) observeCore(now time.Duration, isMember, hasQuorum bool) {
	updateSince(&r.quorumSince, now, isMember && hasQuorum)
	if isMember && !hasQuorum {
		r.stale = true // the others may commit without it
	}
}

// maySelfStart reports whether this process may declare itself complete if no relay can make it complete. It
// must have a quorum and a configuration that is not older than the core's.
func (r *readiness) maySelfStart() bool {
	return r.quorumSince > 0 && !r.complete() && r.configCurrent
}

// quorumFor reports whether this process has had a quorum for longer than a duration.
func (r *readiness) quorumFor(now, duration time.Duration) bool {
	return r.quorumSince > 0 && now-r.quorumSince > duration
}

// updateSince sets *since to the time when a condition began to hold, or to 0 while it does not hold.
func updateSince(since *time.Duration, now time.Duration, holds bool) {
	if !holds {
		*since = 0
	} else if *since == 0 {
		*since = now
	}
}
