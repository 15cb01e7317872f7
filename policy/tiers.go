package policy

// Tier is what one caller holds a listed server to be, and since when (ms of a steady clock). Each caller
// demotes alone, by its own attempts. A new one is Unknown; the zero value is Connected.
type Tier struct {
	state   State
	since   float64 // when the state was entered
	silent  bool    // demoted for silence, not for an answer
	strikes int     // how often it failed of late; sets the hold
	good    int     // served since the last change of strikes
}

// Enter notes a new state and its time; it tells whether ranks may have changed.
func (t *Tier) Enter(to State, now float64) bool {
	changed := t.state > Unknown || to > Unknown
	t.state, t.since = to, now
	return changed
}

// Rank is the server's place among the tiers, 0 the best: UnhealthyPending lapses into it after a time
// in ms, or at once where that is 0.
func (t *Tier) Rank(now, lapse float64) int {
	switch {
	case t.state == Unhealthy:
		return 2
	case t.state == UnhealthyPending && now-t.since < lapse:
		return 1
	}
	return 0
}

// Failed demotes for an attempt that failed: at once, and once for the failures of one moment.
func (t *Tier) Failed(silent bool, now float64) (demoted bool) {
	if demoted = t.state != Unhealthy; demoted {
		t.Enter(Unhealthy, now)
		t.silent = silent
	}
	return demoted
}

// Strike lets the next hold be longer.
func (t *Tier) Strike() { t.strikes, t.good = min(t.strikes+1, maxStrikes), 0 }

// Hold is how long it stays Unhealthy: a unit, doubled with each further strike, and no less than least.
func (t *Tier) Hold(unit, least float64) float64 {
	return max(min(unit*float64(int(1)<<max(t.strikes-1, 0)), holdMost), least)
}

// Refresh makes an Unhealthy server UnhealthyPending once it was held for so long.
func (t *Tier) Refresh(hold, now float64) bool {
	return t.state == Unhealthy && now-t.since >= hold && t.Enter(UnhealthyPending, now)
}

// Served takes a served attempt. One sent before the failure says nothing about what came after.
func (t *Tier) Served(sentAt, now float64) (counts, changed bool) {
	if t.state == Unhealthy && sentAt < t.since && !t.silent {
		return false, false
	}
	if t.state != Connected {
		changed = t.Enter(Connected, now)
	}
	if t.silent {
		t.silent, t.strikes = false, max(t.strikes-1, 0)
	}
	if t.good++; t.good >= 16*t.strikes {
		t.good, t.strikes = 0, max(t.strikes-1, 0)
	}
	return true, changed
}
