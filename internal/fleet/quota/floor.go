package quota

import (
	"math"
	"time"
)

// A member's share survives a crash and a loss of power without a disk write for each request. Each share
// has a floor, below which it is not spent before a new record is on disk. After a restart the share
// holds the floor in the newest record. That is never more than it held before, so restarts, however
// many, do not increase what is admitted.
//
// A record may be on disk as soon as its write has begun, and an older one may be there until the write
// has succeeded. So the floor in force is the highest one in any record that may be on disk.

const (
	// floorFraction is the fraction of a share's recent lowest level (above unsecuredFraction of its capacity) that
	// a record secures. The rest can be spent before the next record.
	floorFraction = 0.5
	// lowWaterPeriod is the minimum time for which the lowest level of a share is remembered. A tenant
	// that uses all of its share has no floor, as that would hold back what its bursts need.
	lowWaterPeriod = 2 * time.Second
	// unsecuredFraction is the fraction of a share's capacity that is not worth a record.
	unsecuredFraction = 0.1
	// loweredFloor and raisedFloor decide when a new record is due: once its floor would be less than
	// loweredFloor of the floor in force, or exceed that by more than raisedFloor of the capacity.
	loweredFloor = 0.8
	raisedFloor  = 0.05
)

// plannedFloor returns the floor of an account in a record that is written now.
func (l *Ledger) plannedFloor(a *account) float64 {
	return max(floorFraction*(a.lowWater.lowest(a.level)-unsecuredFraction*l.capacity(a.limit)), 0)
}

// lowWater is the lowest level of a share in the current period and in the previous one.
type lowWater struct {
	periodStart       time.Duration // start of the current period
	current, previous float64
}

// observe takes a level into account.
func (w *lowWater) observe(now time.Duration, level float64) {
	switch elapsed := now - w.periodStart; {
	case elapsed > 2*lowWaterPeriod:
		w.periodStart, w.current, w.previous = now, level, level
	case elapsed > lowWaterPeriod:
		w.periodStart, w.current, w.previous = now, level, w.current
	}
	w.current = min(w.current, level)
}

// lowest returns the minimum of the levels in both periods and the given one.
func (w *lowWater) lowest(level float64) float64 { return min(w.current, w.previous, level) }

// available returns the amount that can be taken from a share now.
func (a *account) available() float64 { return max(a.level-a.floor, 0) }

// RecordDue reports whether a new record of the floors should be written: it would secure more, or a floor
// holds back what may be needed soon.
func (l *Ledger) RecordDue(now time.Duration) bool {
	for _, a := range l.accounts {
		l.accrue(now, a)
		planned := l.plannedFloor(a)
		if planned < loweredFloor*a.floor || planned > a.floor+raisedFloor*l.capacity(a.limit) {
			return true
		}
	}
	return false
}

// BeginRecord returns the floors by tenant for a record that is about to be written. From now on they are
// in force together with those in earlier records. EndRecord must be called before the next BeginRecord.
func (l *Ledger) BeginRecord(now time.Duration) map[string]float64 {
	floors := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		l.accrue(now, a)
		a.recorded = l.plannedFloor(a)
		a.floor = max(a.floor, a.recorded)
		floors[name] = a.recorded
	}
	return floors
}

// EndRecord ends the write of a record. If the record is on disk, its floors replace those in all earlier
// ones. Otherwise any of these records may be on disk, and the floors in force stay.
func (l *Ledger) EndRecord(written bool) {
	if !written {
		return
	}
	l.hasRecord = true
	for _, a := range l.accounts {
		if a.recorded != unrecorded {
			a.floor = a.recorded
		}
	}
}

// unrecorded is the value of account.recorded if the newest record does not have the tenant.
const unrecorded = -1

// Restore makes the shares start with the floors in a record that an earlier process of this member has
// written. If that process had settled, each share starts with at least startLevel: the bounds allow for
// that once per window, and a process settles after a window. A tenant that is not in the record starts
// with nothing, as it may have had a share. Restore must be called before SetLimits.
func (l *Ledger) Restore(floors map[string]float64, settled bool) {
	l.isRestoring, l.restoredSettled = true, settled
	l.restored = make(map[string]float64, len(floors))
	for name, floor := range floors {
		if !math.IsNaN(floor) && !math.IsInf(floor, 0) {
			l.restored[name] = max(floor, 0)
		}
	}
}

// newAccount returns an account for a tenant that has none.
func (l *Ledger) newAccount(now time.Duration, name string, limit Limit) *account {
	a := &account{limit: limit, updatedAt: now, recorded: unrecorded}
	floor, found := l.restored[name]
	if !found && !l.isRestoring {
		a.level = l.startLevel(limit)
		a.lowWater = lowWater{periodStart: now, current: a.level, previous: a.level}
		return a
	}
	delete(l.restored, name)
	a.isRestored = true
	a.level, a.floor = floor, floor
	if l.divisor > 0 {
		l.startRestored(a)
	}
	return a
}

// startRestored sets the level of a restored share once the divisor is known. Nothing of it can be spent
// before a record of this process is on disk: after another restart the earlier record would count again.
func (l *Ledger) startRestored(a *account) {
	if l.restoredSettled {
		a.level = max(a.level, l.startLevel(a.limit))
	}
	a.level = min(a.level, l.capacity(a.limit))
	if !l.hasRecord {
		a.floor = max(a.floor, a.level)
	}
	a.lowWater = lowWater{periodStart: a.updatedAt, current: a.level, previous: a.level}
}

// Settled reports whether this process has run for a window. A process that starts from a record written
// now may then start its shares with startLevel.
func (l *Ledger) Settled(now time.Duration) bool { return now > l.bounds.Window }
