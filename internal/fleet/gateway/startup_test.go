package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that comes before the API keys were ever confirmed waits for that, as it waits for the first
// snapshot.
func TestRequestWaitsForTheFirstConfirmation(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed, withClosedRevocation)
	var questions atomic.Int64
	harness.gateway.KeysFreshAsOf = func() time.Time {
		if questions.Add(1) < 6 { // it is asked again while a request waits
			return time.Time{}
		}
		return time.Now()
	}
	harness.update(harness.withTenants())
	resp, _ := harness.roundTrip(requestHead("POST", "/once/x", "Api-Key: key-a\r\n"))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Zero(t, harness.gateway.Counters.Unconfirmed.Load())
}

// A client that a starting process refuses is told to come back once the process will have started.
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
	require.Less(t, retryAfter(), defaultRetryAfter+startupSpread, "it takes longer than usual")
}

// Clients that a starting process refuses do not come back all at once.
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

// A process that has served and whose keys can't be confirmed any more refuses at once.
func TestNoWaitOnceStarted(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed, withClosedRevocation)
	harness.gateway.KeysFreshAsOf = func() time.Time { return time.Now().Add(-time.Hour) }
	harness.update(harness.withTenants())
	require.False(t, harness.gateway.isStarting())
	resp, _ := harness.roundTrip(requestHead("POST", "/once/x", "Api-Key: key-a\r\n"))
	requireRefused(t, resp)
	require.Equal(t, "0.400", resp.Header.Get("Retry-After"))
}
