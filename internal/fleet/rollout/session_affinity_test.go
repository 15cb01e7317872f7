package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSessionsKeepTheirRevision(t *testing.T) {
	s := &SessionAffinity{}
	now := time.Hour
	for i := range uint64(5000) {
		s.Record(now, i, s.PrefersNew(i, 0.5))
	}
	strayed := 0
	for i := range uint64(5000) {
		was := sessionThreshold(i) < 0.5
		if s.PrefersNew(i, 0.9) != was {
			strayed++
		}
		if s.PrefersNew(i, 0.1) != was {
			strayed++
		}
	}
	assert.LessOrEqual(t, strayed, 100, "strangers are mistaken for others now and then")
	fresh := 0
	for i := range uint64(5000) {
		if s.PrefersNew(1<<40+i, 0.9) {
			fresh++
		}
	}
	assert.InDelta(t, 4500, fresh, 250)
	// Silent ones are forgotten, as are those beyond what it remembers.
	s.Record(now+2*sessionWindow, 1<<50, true)
	s.Record(now+4*sessionWindow, 1<<51, true)
	changed := 0
	for i := range uint64(5000) {
		if s.PrefersNew(i, 1) != (sessionThreshold(i) < 0.5) {
			changed++
		}
	}
	assert.Greater(t, changed, 2300)
	for i := range uint64(10 * sessionFilterCapacity) {
		s.Record(now+4*sessionWindow, i, true)
	}
	assert.LessOrEqual(t, s.count, sessionFilterCapacity)
}

// sessionThreshold is where a session stands that nobody remembers.
func sessionThreshold(session uint64) float64 {
	lo, hi := 0.0, 1.0
	var s SessionAffinity
	for range 50 {
		if mid := (lo + hi) / 2; s.PrefersNew(session, mid) {
			hi = mid
		} else {
			lo = mid
		}
	}
	return hi
}
