package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// shortTimeout is the time-out of shortRoutes, finalResponseMargin how long after it their final
	// responses may arrive.
	shortTimeout, finalResponseMargin = 400 * time.Millisecond, 500 * time.Millisecond
	shortRoutes                       = `,
 {"name":"short","hostname":"h.example","path-prefix":"/short/","route-kind":"safe","timeout-ms":400,"setpoint-ms":100,"target-service":"s","max-attempts":2},
 {"name":"short-stream","hostname":"h.example","path-prefix":"/short-stream/","route-kind":"streaming","timeout-ms":400,"setpoint-ms":100,"target-service":"s","max-attempts":2,"resumable":true,"gap_aim_ms":100}`
)

// TestNoConfiguration checks that every request is refused before there is a configuration, even if no route
// would match it.
func TestNoConfiguration(t *testing.T) {
	harness := newUnconfiguredHarness(t, 1, nil)
	for _, request := range []string{
		postRequest("/once/x", "", "q"), postRequest("/none/x", "", "q"), requestHead("GET", "/", ""), requestHead("DELETE", "/once/x", "Authorization: Basic x\r\n"),
		"GET /once/x HTTP/1.1\r\nHost: other.example\r\n\r\n", requestHead("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "1\r\nq\r\n0\r\n\r\n",
		requestHead("POST", "/once/x", "Expect: 100-continue\r\nContent-Length: 5\r\n"),
		requestHead("POST", "/once/x", headerAttemptID+": other\r\n"), requestHead("POST", "/once/x", "Content-Length: 100000000\r\n"),
	} {
		client := harness.dial()
		client.write(request)
		requireRefused(t, client.readHead())
		client.Close()
	}
	harness.requireNoCall()
}

// readFinalResponse waits for the end of a response and checks that it does not come long after the route's
// time-out.
func (c *testClient) readFinalResponse(start time.Time) (status int, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		status = resp.StatusCode
		_, err = io.ReadAll(resp.Body)
	}
	require.False(c.t, isTimeout(err), "no final response")
	require.Less(c.t, time.Since(start), shortTimeout+finalResponseMargin)
	return status, err
}

func TestRouteTimeout(t *testing.T) {
	stalls := func(call *upstreamCall, _ int) bool {
		call.requireClosed(t)
		return false
	}
	withBody := func(fields, body string) string { return requestHead("POST", "/short/x", fields) + body }
	for name, c := range map[string]struct {
		request string
		script  callScript
		status  int
	}{
		"a body with a length":     {withBody("Content-Length: 100\r\n", "some"), stalls, http.StatusRequestTimeout},
		"a long body":              {withBody("Content-Length: 60000\r\n", strings.Repeat("x", 30000)), stalls, http.StatusRequestTimeout},
		"a body in chunks":         {withBody("Transfer-Encoding: chunked\r\n", "4\r\nsome\r\n"), stalls, http.StatusRequestTimeout},
		"a body that never starts": {withBody("Content-Length: 100\r\n", ""), stalls, http.StatusRequestTimeout},
		"a stalled server":         {postRequest("/short/x", "", "q"), stalls, http.StatusGatewayTimeout},
		"a longer deadline":        {postRequest("/short/x", headerDeadline+": 9000\r\n", "q"), stalls, http.StatusGatewayTimeout},
		"a stalled stream":         {postRequest("/short-stream/x", "", "q"), stalls, http.StatusGatewayTimeout},
		"the middle of a body":     {postRequest("/short/x", "", "q"), func(call *upstreamCall, n int) bool { return call.writePartialResponse() && stalls(call, n) }, http.StatusGatewayTimeout},
		"a server that resets":     {postRequest("/short/x", "", "q"), func(call *upstreamCall, _ int) bool { call.pause(300 * time.Millisecond); return call.resetOnClose() }, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, 2, c.script)
			harness.update(harness.document(shortRoutes))
			client, start := harness.dial(), time.Now()
			client.write(c.request)
			status, err := client.readFinalResponse(start)
			require.NoError(t, err)
			require.Equal(t, c.status, status)
		})
	}
}

func TestRouteTimeoutDuringConnect(t *testing.T) {
	harness := newHarness(t, 0, nil)
	harness.addServer(&testServer{listener: listenWithFullBacklog(t)}, "s")
	harness.update(harness.document(shortRoutes))
	client, start := harness.dial(), time.Now()
	client.write(postRequest("/short/x", "", "q"))
	status, err := client.readFinalResponse(start)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// TestRouteTimeoutDuringStream checks that a stream breaks off at its route's time-out.
func TestRouteTimeoutDuringStream(t *testing.T) {
	harness := newHarness(t, 2, func(call *upstreamCall, _ int) bool {
		call.startStream("s")
		for i := 1; call.writeChunk(eventText(i)) && call.pause(20*time.Millisecond); i++ {
		}
		return false
	})
	harness.update(harness.document(shortRoutes))
	client, start := harness.dial(), time.Now()
	client.write(postRequest("/short-stream/x", "", "q"))
	status, err := client.readFinalResponse(start)
	require.Equal(t, http.StatusOK, status)
	require.Error(t, err, "it must not look complete")
	require.GreaterOrEqual(t, time.Since(start), shortTimeout)
}

// TestRouteTimeoutWithSlowClient checks that a client that does not read occupies its server no longer than
// the route's time-out.
func TestRouteTimeoutWithSlowClient(t *testing.T) {
	ended := make(chan time.Time, 4)
	harness := newHarness(t, 1, func(call *upstreamCall, _ int) bool {
		data := strings.Repeat("x", 60<<10)
		call.startStream("s")
		for i := 1; call.writeChunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)); i++ {
		}
		ended <- time.Now()
		return false
	})
	harness.update(harness.document(shortRoutes))
	client, start := harness.dial(), time.Now()
	require.NoError(t, client.Conn.(*net.TCPConn).SetReadBuffer(4<<10))
	client.write(postRequest("/short-stream/x", "", "q"))
	select {
	case end := <-ended:
		require.Less(t, end.Sub(start), shortTimeout+finalResponseMargin)
	case <-time.After(testTimeout):
		require.FailNow(t, "the server is still occupied")
	}
}

// TestDeadlineSentToServer checks that no attempt gives its server more time than is left of the client's
// deadline and of the route's time-out, both counted from the receipt of the head.
func TestDeadlineSentToServer(t *testing.T) {
	const pause = 100 * time.Millisecond
	for name, c := range map[string]struct {
		fields  string
		limit   time.Duration
		changes bool // the configuration changes while the body arrives
	}{
		"no deadline":        {"", shortTimeout, false},
		"a longer deadline":  {headerDeadline + ": 9000\r\n", shortTimeout, false},
		"a shorter deadline": {headerDeadline + ": 350\r\n", 350 * time.Millisecond, false},
		"routes that change": {"", shortTimeout, true},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, 2, func(call *upstreamCall, n int) bool {
				if n == 0 {
					call.pause(pause)
					return call.respond(503, headerNotRun+": 1\r\n", "")
				}
				return call.respondSuccess()
			})
			harness.update(harness.document(shortRoutes))
			client := harness.dial()
			client.write(requestHead("POST", "/short/x", "Expect: 100-continue\r\nContent-Length: 1\r\n"+c.fields))
			require.Equal(t, http.StatusContinue, client.readHead().StatusCode)
			timer := time.NewTimer(pause)
			<-timer.C
			if c.changes {
				harness.update(harness.document(shortRoutes))
			}
			client.write("q")
			firstTimeout := harness.nextCall().timeout(t)
			require.LessOrEqual(t, firstTimeout, c.limit-pause)
			require.Positive(t, firstTimeout)
			secondTimeout := harness.nextCall().timeout(t)
			require.LessOrEqual(t, secondTimeout, firstTimeout-pause)
			require.Positive(t, secondTimeout)
			resp, _ := client.readResponse()
			require.Equal(t, 200, resp.StatusCode)
		})
	}
}

// deadlineRecorder records the write deadlines that are set.
type deadlineRecorder struct {
	http.ResponseWriter
	deadlines []time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(at time.Time) error {
	d.deadlines = append(d.deadlines, at)
	return nil
}

func TestLimitWriteTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var early, late deadlineRecorder
		deadline := time.Now().Add(time.Second)
		releaseEarly, releaseLate := limitWriteTime(&early, deadline), limitWriteTime(&late, deadline)
		releaseEarly()
		timer := time.NewTimer(2 * time.Second)
		<-timer.C
		releaseLate()
		require.Empty(t, early.deadlines)
		require.Equal(t, []time.Time{deadline}, late.deadlines)
	})
}

func TestDeadlines(t *testing.T) {
	stalls := func(call *upstreamCall, n int) bool {
		if strings.Contains(call.requestLine, "/started") {
			call.startStream("s")
			call.writeEvents(1, 1)
		}
		if strings.Contains(call.requestLine, "/part") {
			call.writePartialResponse()
		}
		call.requireClosed(t)
		return false
	}
	for _, path := range []string{"/once/x", "/stream/x", "/once/part", "/safe/x"} {
		harness := newHarness(t, 1, stalls)
		resp, _ := harness.roundTrip(postRequest(path, headerDeadline+": 200\r\n", "q"))
		require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode, path)
		harness.nextCall().requireClosed(t)
	}
	for _, path := range []string{"/stream/started", "/resume/started"} {
		harness := newHarness(t, 1, stalls)
		client := harness.dial()
		client.write(postRequest(path, headerDeadline+": 200\r\n", "q"))
		resp, body, err := client.tryReadResponse()
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, eventText(1), body)
		require.Error(t, err, "it must not look complete")
		harness.nextCall().requireClosed(t)
	}
}

func TestRouteTimeoutBelowDeadline(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, n int) bool { call.requireClosed(t); return false })
	harness.update(harness.document(`,{"name":"short","hostname":"h.example","path-prefix":"/short/","route-kind":"unsafe","timeout-ms":150,"setpoint-ms":100,"target-service":"s"}`))
	resp, _ := harness.roundTrip(postRequest("/short/x", headerDeadline+": 10000\r\n", "q"))
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
}
