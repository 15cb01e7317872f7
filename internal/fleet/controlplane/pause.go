package controlplane

import "time"

// pauseDetector notices that the process was paused (a frozen machine, a stopped container), by ticks
// that are late.
type pauseDetector struct {
	// resumedAt is when the process started, or resumed after the last pause. What was observed before
	// is not relied on.
	resumedAt time.Time
	lastTick  time.Time
}

func newPauseDetector(now time.Time) pauseDetector {
	return pauseDetector{resumedAt: now, lastTick: now}
}

// tick notes a tick that was due a given time after the last one.
func (d *pauseDetector) tick(now time.Time, interval time.Duration) {
	if now.Sub(d.lastTick) > interval+pauseThreshold {
		d.resumedAt = now
	}
	d.lastTick = now
}
