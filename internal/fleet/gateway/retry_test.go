package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRefusalIsImmediate(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		return call.respond(503, headerNotRun+": 1\r\nRetry-After: 0.7\r\n", "full")
	})
	for _, path := range []string{"/once/x", "/one/x", "/safe/x", "/stream/x", "/resume/x"} {
		start := time.Now()
		resp, _ := harness.roundTrip(postRequest(path, "", "q"))
		requireRefused(t, resp)
		require.Less(t, time.Since(start), 5*time.Second, "the refusal was delayed")
	}
}

func TestMaxAttempts(t *testing.T) {
	harness := newHarness(t, 5, func(call *upstreamCall, _ int) bool { return call.respondNotRun() })
	for path, limit := range map[string]int64{"/one/x": 1, "/once/x": 3, "/safe/x": 3} {
		callsBefore := harness.callCount.Load()
		resp, _ := harness.roundTrip(postRequest(path, "", "q"))
		requireRefused(t, resp)
		require.LessOrEqual(t, harness.callCount.Load()-callsBefore, limit, path)
	}
}

func TestRetryBudget(t *testing.T) {
	harness := newHarness(t, 2, func(call *upstreamCall, n int) bool { return call.respondNotRun() }, withoutRetryBudget)
	resp, _ := harness.roundTrip(postRequest("/safe/x", "", "q"))
	requireRefused(t, resp)
	require.EqualValues(t, 1, harness.callCount.Load())

	harness = newHarness(t, 2, func(call *upstreamCall, n int) bool { return call.resetOnClose() }, withoutRetryBudget)
	resp, _ = harness.roundTrip(postRequest("/safe/x", "", "q"))
	require.Equal(t, 502, resp.StatusCode)
	require.EqualValues(t, 1, harness.callCount.Load())

	harness = newHarness(t, 2, func(call *upstreamCall, n int) bool { return call.startStream("s") && call.writeEvents(1, 2) && false }, withoutRetryBudget)
	client := harness.dial()
	client.write(postRequest("/resume/x", "", "q"))
	resp, body, err := client.tryReadResponse()
	require.Equal(t, 200, resp.StatusCode)
	require.Error(t, err, "it must not look complete")
	require.Equal(t, eventTexts(1, 2), body)
	require.EqualValues(t, 1, harness.callCount.Load())
}

func TestFailedConnectIsNoAttempt(t *testing.T) {
	for _, path := range []string{"/one/x", "/once/x", "/stream/x"} {
		harness := newHarness(t, 3, func(call *upstreamCall, _ int) bool {
			if strings.Contains(call.requestLine, "/stream/") {
				return call.startStream("s") && call.writeEvents(1, 1) && call.endStream()
			}
			return call.respondSuccess()
		}, withoutRetryBudget)
		harness.servers[0].listener.Close()
		harness.servers[1].listener.Close()
		for range 4 {
			resp, _ := harness.roundTrip(postRequest(path, "", "q"))
			require.Equal(t, 200, resp.StatusCode)
		}
	}
}

func TestNoServerReachable(t *testing.T) {
	harness := newHarness(t, 2, nil)
	harness.servers[0].listener.Close()
	harness.servers[1].listener.Close()
	resp, _ := harness.roundTrip(postRequest("/once/x", "", "q"))
	requireRefused(t, resp)
}

func TestWrongInstanceIsUnlisted(t *testing.T) {
	harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
		require.Equal(t, call.server.instance.ID, call.header.Get(headerExpectInstance))
		if n == 0 {
			return call.respond(421, "", "")
		}
		return call.respondSuccess()
	})
	resp, _ := harness.roundTrip(postRequest("/once/x", "", "q"))
	require.Equal(t, 200, resp.StatusCode)
	wrongServer := harness.nextCall().server
	for range 6 {
		resp, _ := harness.roundTrip(postRequest("/once/x", "", "q"))
		require.Equal(t, 200, resp.StatusCode)
	}
	require.EqualValues(t, 1, wrongServer.requestCount.Load())
	require.Len(t, harness.gateway.ServerStatuses(), 1)
}

func TestWrongInstanceOnLastAttempt(t *testing.T) {
	harness := newHarness(t, 2, func(call *upstreamCall, n int) bool { return call.respond(421, "", "") })
	resp, _ := harness.roundTrip(postRequest("/one/x", "", "q"))
	requireRefused(t, resp)
	require.EqualValues(t, 1, harness.callCount.Load())
}

// TestServerDrainsBeforeSend has a server leave the list after the balancer has chosen it and before the
// request is sent.
func TestServerDrainsBeforeSend(t *testing.T) {
	harness := newHarness(t, 2, alwaysSucceed)
	// The balancer still knows both servers, the snapshot only one.
	draining := harness.servers[0]
	snapshot := *harness.gateway.snapshot.Load()
	snapshot.Servers = harness.serverList(draining)
	harness.gateway.snapshot.Store(&snapshot)
	for range 20 {
		resp, _ := harness.roundTrip(postRequest("/one/x", "", "q"))
		require.Equal(t, 200, resp.StatusCode)
	}
	require.Zero(t, draining.requestCount.Load())
}

func TestCounters(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	_, _ = harness.roundTrip(postRequest("/once/x", "", "q"))
	_, _ = harness.roundTrip(postRequest("/none/x", "", "q"))
	counters := harness.gateway.Counters.Values()
	require.EqualValues(t, 2, counters["requests"])
	require.EqualValues(t, 1, counters["served"])
	require.EqualValues(t, 1, counters["rejected"])
	require.EqualValues(t, 0, counters["failed"])
}
