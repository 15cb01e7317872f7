package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// testConvergeTime is the time after which every agent must have a configuration that was acknowledged.
const testConvergeTime = 3 * time.Second

func withConvergeTime(nodeSettings *settings.Settings) {
	nodeSettings.Bounds.ConvergeMs = testConvergeTime.Milliseconds()
}

// configDenials are requests that the configuration of newDenyingHarness denies, by the status of the denial.
var configDenials = map[int]string{
	http.StatusUnauthorized:                postRequest("/once/x", "Api-Key: nobody's\r\n", "q"),
	http.StatusNotFound:                    postRequest("/added/x", "", "q"),
	http.StatusRequestEntityTooLarge:       postRequest("/open/x", "", strings.Repeat("q", 2000)),
	http.StatusRequestHeaderFieldsTooLarge: requestOfHeadSize(5000),
}

// newDenyingHarness starts a gateway whose configuration denies the requests of configDenials.
func newDenyingHarness(t *testing.T) *testHarness {
	harness := newHarness(t, 1, alwaysSucceed, withConvergeTime)
	document := harness.withTenants()
	document.Limits = config.Limits{HeaderBytes: 1000, BodyBytes: 1000}
	harness.update(document)
	return harness
}

// A configuration that was not confirmed within converge-ms denies nothing, as a newer one may allow the request.
func TestUnconfirmedConfigDeniesNothing(t *testing.T) {
	harness := newDenyingHarness(t)
	for name, freshAsOf := range map[string]func() time.Time{
		"never confirmed":        func() time.Time { return time.Time{} },
		"confirmed too long ago": func() time.Time { return time.Now().Add(-testConvergeTime) },
	} {
		harness.gateway.KeysFreshAsOf = freshAsOf
		for status, request := range configDenials {
			t.Run(fmt.Sprint(name, ", instead of ", status), func(t *testing.T) {
				resp, _ := harness.roundTrip(request)
				requireRefused(t, resp)
			})
		}
	}
}

// A configuration that was confirmed within converge-ms denies what it does not allow.
func TestConfirmedConfigDenies(t *testing.T) {
	harness := newDenyingHarness(t)
	harness.gateway.KeysFreshAsOf = func() time.Time { return time.Now().Add(-testConvergeTime / 2) }
	for status, request := range configDenials {
		resp, _ := harness.roundTrip(request)
		require.Equal(t, status, resp.StatusCode)
	}
	harness.requireNoCall()
}

// A process that knows no configuration refuses a request whose head is longer than the default limit, as the
// configuration may allow it.
func TestLongHeadWithoutConfigIsRefused(t *testing.T) {
	harness := newUnconfiguredHarness(t, 1, alwaysSucceed)
	resp, _ := harness.roundTrip(requestOfHeadSize(2 * defaultHeaderBytes))
	requireRefused(t, resp)
}
