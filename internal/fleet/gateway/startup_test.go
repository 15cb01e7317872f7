package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestWaitsForTheFirstConfirmation checks that a request waits if the API keys have never been confirmed,
// as it waits for the first snapshot.
func TestRequestWaitsForTheFirstConfirmation(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed, withClosedRevocation)
	var calls atomic.Int64
	harness.gateway.ConfigFreshAsOf = func() time.Time {
		if calls.Add(1) < 6 { // a waiting request calls it repeatedly
			return time.Time{}
		}
		return time.Now()
	}
	harness.update(harness.withTenants())
	resp, _ := harness.roundTrip(requestHead("POST", "/once/x", "Api-Key: key-a\r\n"))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Zero(t, harness.gateway.Counters.Unconfirmed.Load())
}

// TestRetryAfterOfAStartingProcess checks that a client that is refused by a starting process is asked to return
// at the time at which the process should have started.
func TestRetryAfterOfAStartingProcess(t *testing.T) {
	harness := newUnconfiguredHarness(t, 1, alwaysSucceed)
	retryAfter := func() time.Duration {
		resp, _ := harness.roundTrip(postRequest("/once/x", "", "q"))
		requireRefused(t, resp)
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		return time.Duration(seconds * float64(time.Second))
	}
	harness.gateway.startedAt = time.Now()
	require.Greater(t, retryAfter(), defaultRetryAfter)
	require.LessOrEqual(t, retryAfter(), startupTime-startupWait+startupSpread)
	harness.gateway.startedAt = time.Now().Add(-startupTime)
	require.Less(t, retryAfter(), defaultRetryAfter+startupSpread, "the start has taken longer than startupTime")
}

// TestRetryAfterOfAStartingProcessIsSpread checks that clients that are refused by a starting process are not
// all asked to return at the same time.
func TestRetryAfterOfAStartingProcessIsSpread(t *testing.T) {
	harness := newUnconfiguredHarness(t, 1, alwaysSucceed)
	harness.gateway.startedAt = time.Now().Add(-startupTime)
	earliest, latest := time.Hour, time.Duration(0)
	for range 200 {
		retryAfter := harness.gateway.startupRetryAfter()
		earliest, latest = min(earliest, retryAfter), max(latest, retryAfter)
	}
	require.Greater(t, latest-earliest, startupSpread/2)
}

// TestNoWaitOnceStarted checks that a process refuses requests without waiting if its API keys were confirmed
// once, but too long ago.
func TestNoWaitOnceStarted(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed, withClosedRevocation)
	harness.gateway.ConfigFreshAsOf = func() time.Time { return time.Now().Add(-time.Hour) }
	harness.update(harness.withTenants())
	require.False(t, harness.gateway.isStarting())
	resp, _ := harness.roundTrip(requestHead("POST", "/once/x", "Api-Key: key-a\r\n"))
	requireRefused(t, resp)
	require.Equal(t, "0.400", resp.Header.Get("Retry-After"))
}
