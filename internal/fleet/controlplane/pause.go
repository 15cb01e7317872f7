package controlplane

import "time"

// pauseDetector detects by late ticks that the process was paused, as by a frozen machine or a stopped
// container.
type pauseDetector struct {
	// resumedAt is the time at which the process started or resumed after the last pause. Contacts before it
	// are not relied on.
	resumedAt time.Time
	lastTick  time.Time
}

func newPauseDetector(now time.Time) pauseDetector {
	return pauseDetector{resumedAt: now, lastTick: now}
}

// tick records a tick that was scheduled an interval after the last one.
func (d *pauseDetector) tick(now time.Time, interval time.Duration) {
	if now.Sub(d.lastTick) > interval+pauseThreshold {
		d.resumedAt = now
	}
	d.lastTick = now
}
