package policy

// EndpointHealth is what one caller holds a listed server to be, and since when (ms of a steady clock). Each caller
// demotes alone, by its own attempts. A new one is Unknown; the zero value is Connected.
type EndpointHealth struct {
	state     State
	since     float64 // when the state was entered
	timedOut  bool    // demoted for silence, not for an answer
	ejections int     // how often it failed of late; sets the hold
	successes int     // served since the last change of strikes
}

// Transition notes a new state and its time; it tells whether ranks may have changed.
func (t *EndpointHealth) Transition(to State, now float64) bool {
	changed := t.state > Unknown || to > Unknown
	t.state, t.since = to, now
	return changed
}

// Priority is the server's place among the tiers, 0 the best: UnhealthyPending lapses into it after a time
// in ms, or at once where that is 0.
func (t *EndpointHealth) Priority(now, lapse float64) int {
	switch {
	case t.state == Unhealthy:
		return 2
	case t.state == UnhealthyPending && now-t.since < lapse:
		return 1
	}
	return 0
}

// RecordFailure demotes for an attempt that failed: at once, and once for the failures of one moment.
func (t *EndpointHealth) RecordFailure(silent bool, now float64) (demoted bool) {
	if demoted = t.state != Unhealthy; demoted {
		t.Transition(Unhealthy, now)
		t.timedOut = silent
	}
	return demoted
}

// RecordEjection lets the next hold be longer.
func (t *EndpointHealth) RecordEjection() {
	t.ejections, t.successes = min(t.ejections+1, maxEjections), 0
}

// EjectionTime is how long it stays Unhealthy: a unit, doubled with each further strike, and no less than least.
func (t *EndpointHealth) EjectionTime(unit, least float64) float64 {
	return max(min(unit*float64(int(1)<<max(t.ejections-1, 0)), maxEjectionMs), least)
}

// BeginValidation makes an Unhealthy server UnhealthyPending once it was held for so long.
func (t *EndpointHealth) BeginValidation(hold, now float64) bool {
	return t.state == Unhealthy && now-t.since >= hold && t.Transition(UnhealthyPending, now)
}

// RecordSuccess takes a served attempt. One sent before the failure says nothing about what came after.
func (t *EndpointHealth) RecordSuccess(sentAt, now float64) (counts, changed bool) {
	if t.state == Unhealthy && sentAt < t.since && !t.timedOut {
		return false, false
	}
	if t.state != Connected {
		changed = t.Transition(Connected, now)
	}
	if t.timedOut {
		t.timedOut, t.ejections = false, max(t.ejections-1, 0)
	}
	if t.successes++; t.successes >= 16*t.ejections {
		t.successes, t.ejections = 0, max(t.ejections-1, 0)
	}
	return true, changed
}
