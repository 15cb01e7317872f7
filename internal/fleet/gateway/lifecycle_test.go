package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The gateway wakes as often as the balancer asks for it, however long it has been running.
func TestMaintenanceInterval(t *testing.T) {
	release := make(chan struct{})
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		<-release
		return call.respondSuccess()
	})
	_, idle := harness.gateway.maintain(harness.gateway.now())
	assert.Equal(t, maxMaintenanceInterval, idle)
	_, later := harness.gateway.maintain(harness.gateway.now() + time.Hour)
	assert.Equal(t, maxMaintenanceInterval, later)

	client := harness.dial()
	client.write(requestHead("GET", "/safe/x", ""))
	harness.nextCall()
	_, busy := harness.gateway.maintain(harness.gateway.now())
	assert.Less(t, busy, maxMaintenanceInterval, "its attempt is watched")
	assert.GreaterOrEqual(t, busy, 2*minMaintenanceInterval)
	close(release)
	client.readResponse()
}
