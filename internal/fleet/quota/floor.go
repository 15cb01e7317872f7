package quota

import (
	"math"
	"time"
)

// A member's share outlives the loss of its process and of power, without a write on the path of a
// request. Each share has a floor: an amount that it does not go below without a new record on disk.
// After a restart the share holds what the newest record says, which is never more than it held before,
// so that no number of restarts adds to what is admitted.
//
// A record may be on disk as soon as its write has begun, and an older one until the write has
// succeeded. So the floor in force is the highest of all records that may be there.

const (
	// floorPart is the part that a record secures of what a share has not gone below lately. The rest may
	// be spent before the next record.
	floorPart = 0.5
	// lowWaterPeriod is for how long at least the lowest level of a share is remembered. A tenant that
	// uses all of its share has no floor, which would keep from its bursts what it wants.
	lowWaterPeriod = 2 * time.Second
	// floorUnused is the part of a share's capacity that is not worth a record.
	floorUnused = 0.1
	// loweredFloor and raisedFloor tell when a new record is due: once the floor that would be written
	// is less than loweredFloor of the one in force, or above it by raisedFloor of the capacity.
	loweredFloor = 0.8
	raisedFloor  = 0.05
)

// plannedFloor is the floor that a record written now would have.
func (l *Ledger) plannedFloor(a *account) float64 {
	return max(floorPart*(a.lowWater.lowest(a.level)-floorUnused*l.capacity(a.limit)), 0)
}

// lowWater is the lowest level of a share in the present period and the one before.
type lowWater struct {
	begun             time.Duration // of the present period
	present, previous float64
}

// observe records a level.
func (w *lowWater) observe(now time.Duration, level float64) {
	switch elapsed := now - w.begun; {
	case elapsed > 2*lowWaterPeriod:
		w.begun, w.present, w.previous = now, level, level
	case elapsed > lowWaterPeriod:
		w.begun, w.present, w.previous = now, level, w.present
	}
	w.present = min(w.present, level)
}

// lowest is the lowest level of both periods and now.
func (w *lowWater) lowest(level float64) float64 { return min(w.present, w.previous, level) }

// available is what may be taken from a share now.
func (a *account) available() float64 { return max(a.level-a.floor, 0) }

// RecordDue reports whether a record of the floors should be written: there is enough to secure that
// is not, or a floor keeps back what may be needed soon.
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

// BeginRecord returns the floors for a record that is about to be written, by tenant. They are in force
// from now on, beside those of earlier records. EndRecord has to be called before the next BeginRecord.
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

// EndRecord ends what BeginRecord began. If the record is on disk, its floors replace all earlier ones;
// otherwise any of them may be there.
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

// unrecorded is the floor in the newest record of a tenant that it does not have.
const unrecorded = -1

// Restore has the shares begin with the floors of a record that an earlier process of this member has
// written, and, if that one had settled, with no less than what a share has that has just begun: the bounds
// allow for that once in a window, and a process settles after a window. A tenant that the record does not have begins with nothing: it may have had a share. It must
// be called before SetLimits.
func (l *Ledger) Restore(floors map[string]float64, settled bool) {
	l.isRestoring, l.mayBeginAnew = true, settled
	l.restored = make(map[string]float64, len(floors))
	for name, floor := range floors {
		if !math.IsNaN(floor) && !math.IsInf(floor, 0) {
			l.restored[name] = max(floor, 0)
		}
	}
}

// newAccount returns the account of a tenant that has not had one.
func (l *Ledger) newAccount(now time.Duration, name string, limit Limit) *account {
	a := &account{limit: limit, updatedAt: now, recorded: unrecorded}
	floor, found := l.restored[name]
	if !found && !l.isRestoring {
		a.level = l.startLevel(limit)
		a.lowWater = lowWater{begun: now, present: a.level, previous: a.level}
		return a
	}
	delete(l.restored, name)
	a.isRestored = true
	a.level, a.floor = floor, floor
	if l.divisor > 0 {
		l.beginRestored(a)
	}
	return a
}

// beginRestored gives a share that was restored its level once the divisor is known. Nothing of it may be
// spent before a record tells that it has begun.
func (l *Ledger) beginRestored(a *account) {
	if l.mayBeginAnew {
		a.level = max(a.level, l.startLevel(a.limit))
	}
	a.level = min(a.level, l.capacity(a.limit))
	if !l.hasRecord {
		a.floor = max(a.floor, a.level)
	}
	a.lowWater = lowWater{begun: a.updatedAt, present: a.level, previous: a.level}
}

// Settled reports whether a record written now tells that a process may begin anew by it: a window has
// passed since the start of this one.
func (l *Ledger) Settled(now time.Duration) bool { return now > l.bounds.Window }
