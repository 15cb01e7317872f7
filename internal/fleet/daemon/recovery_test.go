package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// On an overloaded core many short losses follow each other. They must not fill the log.
func TestShortLossesOfTheCoreAreLoggedRarely(t *testing.T) {
	t.Parallel()
	tracker := newRecoveryTracker()
	unlogged, log := tracker.shouldLogLoss(time.Second, true)
	assert.True(t, log, "the first contact is a step of the start")
	assert.Zero(t, unlogged)
	const losses = 70
	for i := range losses {
		_, log = tracker.shouldLogLoss(time.Second+time.Duration(i)*time.Millisecond, false)
		assert.False(t, log)
	}
	unlogged, log = tracker.shouldLogLoss(time.Second+shortLossLogInterval, false)
	assert.True(t, log)
	assert.Equal(t, losses, unlogged)
	unlogged, log = tracker.shouldLogLoss(2*time.Second+shortLossLogInterval, true)
	assert.True(t, log, "a long loss is logged each time")
	assert.Zero(t, unlogged)
}
