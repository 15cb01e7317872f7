package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestMaintenanceInterval checks that the gateway wakes as often as the balancer asks for it, however long it has
// been running.
func TestMaintenanceInterval(t *testing.T) {
	release := make(chan struct{})
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		<-release
		return call.respondSuccess()
	})
	_, idleInterval := harness.gateway.maintain(harness.gateway.now())
	assert.Equal(t, maxMaintenanceInterval, idleInterval)
	_, laterInterval := harness.gateway.maintain(harness.gateway.now() + time.Hour)
	assert.Equal(t, maxMaintenanceInterval, laterInterval)

	client := harness.dial()
	client.write(requestHead("GET", "/safe/x", ""))
	harness.nextCall()
	_, busyInterval := harness.gateway.maintain(harness.gateway.now())
	assert.Less(t, busyInterval, maxMaintenanceInterval, "an attempt in flight needs shorter intervals")
	assert.GreaterOrEqual(t, busyInterval, 2*minMaintenanceInterval)
	close(release)
	client.readResponse()
}
