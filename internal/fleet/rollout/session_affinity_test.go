package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// sessions is the number of sessions in each test.
const sessions = 5000

// recordedAffinity returns an affinity that has recorded the sessions, about half of them at the new
// revision.
func recordedAffinity(now time.Duration) *SessionAffinity {
	affinity := &SessionAffinity{}
	for session := range uint64(sessions) {
		affinity.Record(now, session, affinity.PrefersNew(session, 0.5))
	}
	return affinity
}

// ranAtNew reports whether recordedAffinity recorded a session at the new revision.
func ranAtNew(session uint64) bool { return sessionThreshold(session) < 0.5 }

// sessionThreshold returns the new revision's share from which an unknown session runs there.
func sessionThreshold(session uint64) float64 {
	low, high := 0.0, 1.0
	var affinity SessionAffinity
	for range 50 {
		if middle := (low + high) / 2; affinity.PrefersNew(session, middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

func TestSessionsKeepTheirRevision(t *testing.T) {
	affinity := recordedAffinity(time.Hour)
	moved := 0
	for session := range uint64(sessions) {
		for _, newShare := range []float64{0.1, 0.9} {
			if affinity.PrefersNew(session, newShare) != ranAtNew(session) {
				moved++
			}
		}
	}
	assert.LessOrEqual(t, moved, 100, "false positives of the filters must be few")
	preferNew := 0
	for session := range uint64(sessions) {
		if affinity.PrefersNew(1<<40+session, 0.9) {
			preferNew++
		}
	}
	assert.InDelta(t, 0.9*sessions, preferNew, 250, "unknown sessions are distributed by capacity")
}

func TestIdleSessionsAreForgotten(t *testing.T) {
	now := time.Hour
	affinity := recordedAffinity(now)
	affinity.Record(now+2*sessionWindow, 1<<50, true)
	affinity.Record(now+4*sessionWindow, 1<<51, true)
	moved := 0
	for session := range uint64(sessions) {
		if affinity.PrefersNew(session, 1) != ranAtNew(session) {
			moved++
		}
	}
	assert.Greater(t, moved, 2300)
	for session := range uint64(10 * sessionFilterCapacity) {
		affinity.Record(now+4*sessionWindow, session, true)
	}
	assert.LessOrEqual(t, affinity.count, sessionFilterCapacity)
}
