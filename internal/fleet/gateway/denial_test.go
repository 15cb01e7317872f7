package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

// testConvergeTime is the time after which every agent must have a configuration that was acknowledged.
const testConvergeTime = 3 * time.Second

// configDenials are requests that the configuration of newDenyingHarness denies, by the status of the denial.
var configDenials = map[int]string{
	http.StatusUnauthorized:                postRequest("/once/x", "Api-Key: nobody's\r\n", "q"),
	http.StatusNotFound:                    postRequest("/added/x", "", "q"),
	http.StatusRequestEntityTooLarge:       postRequest("/open/x", "", strings.Repeat("q", 2000)),
	http.StatusRequestHeaderFieldsTooLarge: requestOfHeadSize(5000),
}

// newDenyingHarness starts a gateway whose configuration denies the requests of configDenials.
func newDenyingHarness(t *testing.T) *testHarness {
	harness := newHarness(t, 1, alwaysSucceed)
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
		harness.gateway.ConfigFreshAsOf = freshAsOf
		for status, request := range configDenials {
			t.Run(fmt.Sprint(name, ", instead of ", status), func(t *testing.T) {
				resp, _ := harness.roundTrip(request)
				requireRefused(t, resp)
				require.True(t, resp.Close, "the client should find another agent")
				seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.GreaterOrEqual(t, seconds, minOutdatedRetryAfter.Seconds())
				require.LessOrEqual(t, seconds, (minOutdatedRetryAfter + outdatedRetrySpread).Seconds())
			})
		}
	}
	require.EqualValues(t, 2*len(configDenials), harness.gateway.Counters.Outdated.Load())
	require.Zero(t, harness.gateway.Counters.Rejected.Load())
	harness.requireNoCall()
}

// A configuration that arrives with a confirmation decides on the requests that the one before denies.
func TestConfirmationIsReadBeforeTheConfig(t *testing.T) {
	for status, request := range configDenials {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			harness := newDenyingHarness(t)
			newest := harness.document(`,
				{"name":"added","hostname":"h.example","path-prefix":"/added/","route-kind":"safe","timeout-ms":10000,"target-service":"s"},
				{"name":"open","hostname":"h.example","path-prefix":"/open/","route-kind":"safe","timeout-ms":10000,"target-service":"s"}`)
			harness.gateway.ConfigFreshAsOf = func() time.Time {
				harness.update(newest)
				return time.Now()
			}
			resp, _ := harness.roundTrip(request)
			require.Equal(t, http.StatusOK, resp.StatusCode)
		})
	}
}

// A configuration that arrives with the body of a request denies it only if it is confirmed.
func TestUnconfirmedConfigThatArrivesWithTheBody(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	withoutRoutes := harness.document("")
	withRoute := harness.document(`,{"name":"added","hostname":"h.example","path-prefix":"/added/","route-kind":"safe","timeout-ms":10000,"target-service":"s"}`)
	var age atomic.Int64 // time since the last confirmation
	harness.gateway.ConfigFreshAsOf = func() time.Time { return time.Now().Add(-time.Duration(age.Load())) }
	for wantStatus, confirmedAgo := range map[int]time.Duration{
		http.StatusServiceUnavailable: testConvergeTime, http.StatusNotFound: 0,
	} {
		age.Store(int64(confirmedAgo))
		harness.update(withRoute)
		client := harness.dial()
		client.startUpload("/added/x")
		harness.update(withoutRoutes)
		client.write(strings.Repeat("x", 10000))
		resp, _ := client.readResponse()
		require.Equal(t, wantStatus, resp.StatusCode)
	}
	harness.requireNoCall()
}

// The highest age leaves a margin for clocks that run at different rates.
func TestConfigMaxAge(t *testing.T) {
	require.Equal(t, 2750*time.Millisecond, ConfigMaxAge(3*time.Second))
	require.Equal(t, 19*time.Second, ConfigMaxAge(20*time.Second))
	require.Less(t, ConfigMaxAge(time.Second), time.Second)
}

// A configuration that was confirmed within converge-ms denies what it does not allow.
func TestConfirmedConfigDenies(t *testing.T) {
	harness := newDenyingHarness(t)
	harness.gateway.ConfigFreshAsOf = func() time.Time { return time.Now().Add(-testConvergeTime / 2) }
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
