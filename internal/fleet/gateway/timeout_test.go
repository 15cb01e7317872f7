package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// shortTimeout is the time-out of the routes below /short/, overtime how long after it their
	// final answers may come.
	shortTimeout, overtime = 400 * time.Millisecond, 500 * time.Millisecond
	shortRoutes            = `,
 {"name":"short","hostname":"h.example","path-prefix":"/short/","route-kind":"safe","timeout-ms":400,"setpoint-ms":100,"target-service":"s","max-attempts":2},
 {"name":"short-stream","hostname":"h.example","path-prefix":"/short-stream/","route-kind":"streaming","timeout-ms":400,"setpoint-ms":100,"target-service":"s","max-attempts":2,"resumable":true,"gap_aim_ms":100}`
)

// An agent that knows no configuration refuses everything and promises nothing about routes.
func TestWithoutAConfigurationAllIsRefused(t *testing.T) {
	w := prepare(t, 1, nil)
	for _, request := range []string{
		post("/once/x", "", "q"), post("/none/x", "", "q"), head("GET", "/", ""), head("DELETE", "/once/x", "Authorization: Basic x\r\n"),
		"GET /once/x HTTP/1.1\r\nHost: other.example\r\n\r\n", head("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "1\r\nq\r\n0\r\n\r\n",
		head("POST", "/once/x", "Expect: 100-continue\r\nContent-Length: 5\r\n"),
		head("POST", "/once/x", hID+": other\r\n"), head("POST", "/once/x", "Content-Length: 100000000\r\n"),
	} {
		c := w.dial()
		c.send(request)
		refused(t, c.head())
		c.Close()
	}
	w.none()
}

// finalAnswer waits for the end of an answer and checks that it comes at the route's time-out.
func (c *client) finalAnswer(begun time.Time) (status int, err error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err == nil {
		status = resp.StatusCode
		_, err = io.ReadAll(resp.Body)
	}
	require.False(c.t, timedOut(err), "no final answer")
	require.Less(c.t, time.Since(begun), shortTimeout+overtime)
	return status, err
}

func TestTheTimeoutOfARoute(t *testing.T) {
	silent := func(a *arrival, _ int) bool { a.gone(t); return false }
	withBody := func(fields, body string) string { return head("POST", "/short/x", fields) + body }
	for name, c := range map[string]struct {
		request string
		script  func(a *arrival, n int) bool
		status  int
	}{
		"a body with a length": {withBody("Content-Length: 100\r\n", "some"), silent, http.StatusRequestTimeout},
		"a long body":          {withBody("Content-Length: 60000\r\n", strings.Repeat("x", 30000)), silent, http.StatusRequestTimeout},
		"a body in chunks":     {withBody("Transfer-Encoding: chunked\r\n", "4\r\nsome\r\n"), silent, http.StatusRequestTimeout},
		"a body not begun":     {withBody("Content-Length: 100\r\n", ""), silent, http.StatusRequestTimeout},
		"a silent server":      {post("/short/x", "", "q"), silent, http.StatusGatewayTimeout},
		"a longer deadline":    {post("/short/x", hDeadline+": 9000\r\n", "q"), silent, http.StatusGatewayTimeout},
		"a silent stream":      {post("/short-stream/x", "", "q"), silent, http.StatusGatewayTimeout},
		"the middle of a body": {post("/short/x", "", "q"), func(a *arrival, n int) bool { return halfAnswer(a) && silent(a, n) }, http.StatusGatewayTimeout},
		"a server that resets": {post("/short/x", "", "q"), func(a *arrival, _ int) bool { a.await(300 * time.Millisecond); return a.reset() }, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, c.script)
			w.update(w.doc(shortRoutes))
			client, begun := w.dial(), time.Now()
			client.send(c.request)
			status, err := client.finalAnswer(begun)
			require.NoError(t, err)
			require.Equal(t, c.status, status)
		})
	}
}

// halfAnswer sends a part of an answer.
func halfAnswer(a *arrival) bool {
	return a.send("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 10\r\n\r\nbody", hID, a.id(), sealed)
}

func TestTheTimeoutOfARouteWhileAConnectHangs(t *testing.T) {
	w := newWorld(t, 0, nil)
	w.add(&server{ln: fullQueue(t)}, "s")
	w.update(w.doc(shortRoutes))
	c, begun := w.dial(), time.Now()
	c.send(post("/short/x", "", "q"))
	status, err := c.finalAnswer(begun)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// A stream that is past its route's time-out ends as an incomplete answer.
func TestTheTimeoutOfARouteInAStream(t *testing.T) {
	w := newWorld(t, 2, func(a *arrival, _ int) bool {
		a.stream("s")
		for i := 1; a.chunk(piece(i)) && a.await(20*time.Millisecond); i++ {
		}
		return false
	})
	w.update(w.doc(shortRoutes))
	c, begun := w.dial(), time.Now()
	c.send(post("/short-stream/x", "", "q"))
	status, err := c.finalAnswer(begun)
	require.Equal(t, http.StatusOK, status)
	require.Error(t, err, "it must not look whole")
	require.GreaterOrEqual(t, time.Since(begun), shortTimeout)
}

// A client that does not read holds its server no longer than the route's time-out.
func TestTheTimeoutOfARouteWhileAClientDoesNotRead(t *testing.T) {
	ended := make(chan time.Time, 4)
	w := newWorld(t, 1, func(a *arrival, _ int) bool {
		long := strings.Repeat("x", 60<<10)
		a.stream("s")
		for i := 1; a.chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i, long)); i++ {
		}
		ended <- time.Now()
		return false
	})
	w.update(w.doc(shortRoutes))
	c, begun := w.dial(), time.Now()
	require.NoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(4<<10))
	c.send(post("/short-stream/x", "", "q"))
	select {
	case end := <-ended:
		require.Less(t, end.Sub(begun), shortTimeout+overtime)
	case <-time.After(patience):
		require.FailNow(t, "the server is still held")
	}
}

// timeLeft is the time that a server was given.
func (a *arrival) timeLeft(t testing.TB) time.Duration {
	require.Len(t, a.header[hDeadline], 1)
	ms, err := strconv.Atoi(a.header.Get(hDeadline))
	require.NoError(t, err)
	return time.Duration(ms) * time.Millisecond
}

// A server is never given more time than is left: of the client's own and of the route's, from the
// moment at which the head came, at each send.
func TestTheTimeThatAServerIsGiven(t *testing.T) {
	const pause = 100 * time.Millisecond
	for name, c := range map[string]struct {
		fields  string
		most    time.Duration
		changes bool // the routes, while the body comes
	}{
		"no deadline":        {"", shortTimeout, false},
		"a longer deadline":  {hDeadline + ": 9000\r\n", shortTimeout, false},
		"a shorter deadline": {hDeadline + ": 350\r\n", 350 * time.Millisecond, false},
		"routes that change": {"", shortTimeout, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, func(a *arrival, n int) bool {
				if n == 0 {
					a.await(pause)
					return a.answer(503, hNotRun+": 1\r\n", "")
				}
				return a.serve()
			})
			w.update(w.doc(shortRoutes))
			client := w.dial()
			client.send(head("POST", "/short/x", "Expect: 100-continue\r\nContent-Length: 1\r\n"+c.fields))
			require.Equal(t, http.StatusContinue, client.head().StatusCode)
			timer := time.NewTimer(pause)
			<-timer.C
			if c.changes {
				w.update(w.doc(shortRoutes))
			}
			client.send("q")
			first := w.next().timeLeft(t)
			require.LessOrEqual(t, first, c.most-pause)
			require.Positive(t, first)
			second := w.next().timeLeft(t)
			require.LessOrEqual(t, second, first-pause)
			require.Positive(t, second)
			resp, _ := client.whole()
			require.Equal(t, 200, resp.StatusCode)
		})
	}
}

// deadlineRecorder is an answer of which only the write deadlines matter.
type deadlineRecorder struct {
	http.ResponseWriter
	set []time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(at time.Time) error {
	d.set = append(d.set, at)
	return nil
}

func TestWritesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var early, late deadlineRecorder
		by := time.Now().Add(time.Second)
		releaseEarly, releaseLate := boundWrites(&early, by), boundWrites(&late, by)
		releaseEarly()
		timer := time.NewTimer(2 * time.Second)
		<-timer.C
		releaseLate()
		require.Empty(t, early.set)
		require.Equal(t, []time.Time{by}, late.set)
	})
}
