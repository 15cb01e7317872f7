package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTheTargetIsPassedOnAsItCame(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	c := w.dial()
	for _, path := range []string{
		"/once/", "/once/a%2Fb%2f%20", "/once//a///b/", "/once/./../x", "/once/?", "/once/?a=b&a=%zz&&", "/once/x?y?z#",
		"/once/~!$&'()*+,;=:@-._", "/once/{}|\\^`<>\"[]", "/once/\xc3\xa9\xff", "/once/%E9", "/once/a?http://other.example/../",
		"/once/" + strings.Repeat("long", 1000),
	} {
		c.send(post(path, "", "q"))
		resp, _ := c.whole()
		require.Equal(t, 200, resp.StatusCode, path)
		require.Equal(t, "POST "+path+" HTTP/1.1", w.next().line)
	}
}

func TestMethodsArePassedOn(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	c := w.dial()
	for _, method := range []string{"GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "REPORT"} {
		c.send(head(method, "/once/x", "Content-Length: 3\r\n") + "abc")
		_, body := c.whole()
		require.Equal(t, "served abc", body, method)
		require.Equal(t, method+" /once/x HTTP/1.1", w.next().line)
		c.send(head(method, "/once/x", ""))
		_, body = c.whole()
		require.Equal(t, "served ", body, method)
		w.next()
	}
}

func TestHeadHasNoBody(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool {
		return a.send("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 7\r\n\r\n", hID, a.id(), sealed)
	})
	c := w.dial()
	for _, path := range []string{"/once/x", "/stream/x"} {
		for range 2 {
			c.send(head("HEAD", path, hDeadline+": 3000\r\n"))
			resp := c.head()
			require.Equal(t, 200, resp.StatusCode)
			require.Equal(t, "seal-1", resp.Header.Get(hSeal))
			require.EqualValues(t, 7, resp.ContentLength)
			require.Zero(t, c.br.Buffered())
		}
	}
	require.EqualValues(t, 1, w.servers[0].conns.Load())
}

func TestHeadersArePassedOnButThoseOfAConnection(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	resp, _ := w.ask("POST /once/x HTTP/1.1\r\nHost: H.example:80\r\nContent-Length: 1\r\n" +
		"Connection: keep-alive, X-Named, chalkdoor-attempt-id, content-length\r\nX-Named: 1\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n" +
		"Upgrade: h2c\r\nProxy-Connection: keep-alive\r\nTrailer: X-T\r\n" +
		"X-Own: 1\r\nX-Own: 2\r\nX-Empty:\r\nX-Odd: \t a,b;\"c\" \xe9 \r\nCookie: a=b\r\nAuthorization: Basic x\r\nAccept-Encoding: identity\r\n" +
		"Chalkdoor-Attempt-Id: the-id\r\nChalkdoor-Expect-Instance: i-other\r\n" +
		"Chalkdoor-Model: m\r\nChalkdoor-Token-Count: 1460,80\r\nChalkdoor-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nPriority: 3\r\n\r\nq")
	require.Equal(t, 200, resp.StatusCode)
	a := w.next()
	h := a.header
	for _, name := range []string{"Connection", "X-Named", "Keep-Alive", "Te", "Upgrade", "Proxy-Connection", "Trailer"} {
		require.NotContains(t, h, name)
	}
	require.Equal(t, []string{"1", "2"}, h["X-Own"])
	require.Equal(t, []string{""}, h["X-Empty"])
	require.Equal(t, []string{"a,b;\"c\" \xe9"}, h["X-Odd"])
	require.Equal(t, []string{"H.example:80"}, h["Host"])
	require.Equal(t, []string{"the-id"}, h[hID])
	require.Equal(t, []string{a.server.in.ID}, h[hExpect])
	require.Equal(t, []string{"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}, h[hPrefix])
	require.Equal(t, []string{"1460,80"}, h[hTokens])
	require.Equal(t, []string{"3"}, h[hPriority])
	for _, name := range []string{"Cookie", "Authorization", "Accept-Encoding", "Chalkdoor-Model"} {
		require.Contains(t, h, name)
	}
	require.Equal(t, "q", a.body)
}

// What the client says of its request reaches the server as it came, at each send.
func TestFieldsReachTheServerAsTheyCame(t *testing.T) {
	fields := map[string][]string{
		hModel: {"Model/v1.5:large"}, hTokens: {"0001460, 80"}, hPrefix: {"5C1E07A2:800,91bd3f06:0410,,x"}, hID: {"Id-0x9C\xe9"},
		"X-Unknown": {"1", "", "a,  b; \"c\""}, "Chalkdoor-Unknown": {"\xff."}, "X_under.score!": {"~"}, "Traceparent": {"00-0af7-b7ad-01"},
	}
	for _, connection := range []string{"", "Connection: keep-alive, chalkdoor-model, Chalkdoor-Token-Count, CHALKDOOR-PROMPT-PREFIX, chalkdoor-attempt-id\r\n"} {
		w := newWorld(t, 2, func(a *arrival, n int) bool {
			if n == 0 {
				return a.answer(503, hNotRun+": 1\r\n", "")
			}
			return a.serve()
		})
		request := "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n" + connection
		for name, values := range fields {
			for _, value := range values {
				request += name + ": " + value + "\r\n"
			}
		}
		resp, _ := w.ask(request + "\r\n")
		require.Equal(t, 200, resp.StatusCode)
		for range 2 {
			a := w.next()
			for name, values := range fields {
				require.Equal(t, values, a.header[http.CanonicalHeaderKey(name)], name)
			}
			require.NotContains(t, a.header, "Connection")
		}
	}
}

func TestTheDeadlineShrinks(t *testing.T) {
	w := newWorld(t, 2, func(a *arrival, n int) bool {
		if n == 0 && a.await(50*time.Millisecond) {
			return a.answer(503, hNotRun+": 1\r\n", "")
		}
		return a.serve()
	})
	_, _ = w.ask(post("/once/x", hDeadline+": 4000\r\n", "q"))
	left := func() int {
		n, err := strconv.Atoi(w.next().header.Get(hDeadline))
		require.NoError(t, err)
		return n
	}
	first, second := left(), left()
	require.LessOrEqual(t, first, 4000)
	require.Greater(t, first, 1000)
	require.LessOrEqual(t, second, first-50)
	// What can't be is none: the route's timeout holds.
	for _, field := range []string{"", hDeadline + ": 1e300\r\n", hDeadline + ": inf\r\n", hDeadline + ": nan\r\n", hDeadline + ": -5\r\n", hDeadline + ": soon\r\n",
		hDeadline + ": 99999999999999999999\r\n"} {
		resp, _ := w.ask(post("/once/x", field, "q"))
		require.Equal(t, 200, resp.StatusCode, field)
		n := left()
		require.LessOrEqual(t, n, 10_000, field)
		require.Greater(t, n, 1000, field)
	}
}

func TestBodies(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	c := w.dial()
	for _, n := range []int{0, 1, freeBody - 1, freeBody, freeBody + 1, 65536} {
		body := strings.Repeat("\x00\r\n\xff", n/4+1)[:n]
		c.send(post("/once/x", "", body))
		_, got := c.whole()
		require.Equal(t, "served "+body, got, n)
		require.Equal(t, strconv.Itoa(n), w.next().header.Get("Content-Length"))

		c.send(head("POST", "/once/x", "Transfer-Encoding: chunked\r\n"))
		for i := 0; i < n; i += 5000 {
			part := body[i:min(i+5000, n)]
			c.send(fmt.Sprintf("%X;ext=1\r\n%s\r\n", len(part), part))
		}
		c.send("0\r\nX-Trailer: 1\r\n\r\n")
		_, got = c.whole()
		require.Equal(t, "served "+body, got, n)
		a := w.next()
		require.Equal(t, strconv.Itoa(n), a.header.Get("Content-Length"))
		require.NotContains(t, a.header, "X-Trailer")
	}
	w.freed()
}

func TestBodiesOverTheLimit(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	c := w.dial()
	c.send(head("POST", "/once/x", "Content-Length: 65537\r\n"))
	resp, _ := c.whole()
	require.Equal(t, 413, resp.StatusCode)
	require.True(t, resp.Close)
	c.closed()

	c = w.dial()
	c.send(head("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "10001\r\n" + strings.Repeat("x", 65537) + "\r\n0\r\n\r\n")
	resp, _ = c.whole()
	require.Equal(t, 413, resp.StatusCode)
	require.True(t, resp.Close)
	w.none()
	w.freed()
}

func TestBodiesThatDoNotCome(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	for _, request := range []string{
		head("POST", "/once/x", "Content-Length: 10\r\n") + "short",
		head("POST", "/once/x", "Content-Length: 60000\r\n") + strings.Repeat("x", 30000),
		head("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "5\r\nsh",
		head("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "5\r\nshort\r\n",
		head("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "5\r\nshort\r\n0\r\n",
	} {
		c := w.dial()
		c.send(request)
		c.Close()
	}
	require.Eventually(t, func() bool { return w.door.Figures.Rejected.Load() == 5 }, patience, time.Millisecond)
	w.none()
	w.freed()
}

func TestNoMemoryForABody(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	require.True(t, w.door.memory.TryAcquire(256<<20/4))
	resp, _ := w.ask(post("/once/x", "", strings.Repeat("x", 60000)))
	refused(t, resp)
	resp, _ = w.ask(post("/once/x", "", "small"))
	require.Equal(t, 200, resp.StatusCode)
	w.door.memory.Release(256 << 20 / 4)
	resp, _ = w.ask(post("/once/x", "", strings.Repeat("x", 60000)))
	require.Equal(t, 200, resp.StatusCode)
}

func TestRoutesChangeWhileABodyComes(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	other := w.listen("t")
	w.update(w.doc(`,{"name":"moved","hostname":"h.example","path-prefix":"/once/moved/","route-kind":"unsafe","timeout-ms":10000,"target-service":"t"}`))
	c := w.dial()
	// To another service, and to none.
	w.update(w.doc(""))
	c.begin("/once/moved/x")
	w.update(w.doc(`,{"name":"moved","hostname":"h.example","path-prefix":"/once/moved/","route-kind":"unsafe","timeout-ms":10000,"target-service":"t"}`))
	c.send(strings.Repeat("x", 10000))
	resp, _ := c.whole()
	require.Equal(t, 200, resp.StatusCode)
	require.Same(t, other, w.next().server)

	w.update(w.doc(`,{"name":"gone","hostname":"h.example","path-prefix":"/gone/","route-kind":"unsafe","timeout-ms":10000,"target-service":"t"}`))
	c.begin("/gone/x")
	w.update(w.doc(""))
	c.send(strings.Repeat("x", 10000))
	resp, _ = c.whole()
	require.Equal(t, 404, resp.StatusCode)
	w.none()
}

// begin sends a request's head and most of its body. The door has found its route when it returns:
// it asks for the body after that.
func (c *client) begin(path string) {
	c.send(head("POST", path, "Expect: 100-continue\r\nContent-Length: 40000\r\n"))
	require.Equal(c.t, http.StatusContinue, c.head().StatusCode)
	c.send(strings.Repeat("x", 30000))
}

// freed checks that the memory of bodies is given back.
func (w *world) freed() {
	require.Eventually(w.t, func() bool { return w.door.memory.TryAcquire(256 << 20 / 4) }, patience, time.Millisecond)
	release(w)
}

// release gives back what a try took; false.
func release(w *world) bool {
	w.door.memory.Release(256 << 20 / 4)
	return false
}

func TestWeightsOfServices(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	w.listen("t")
	w.update(w.doc(`,{"name":"split","hostname":"h.example","path-prefix":"/split/","route-kind":"unsafe","timeout-ms":10000,
		"weighted-split":[{"target-service":"s","weight":1},{"target-service":"t","weight":3}]}`))
	c := w.dial()
	for range 400 {
		c.send(post("/split/x", "", ""))
		_, _ = c.whole()
	}
	to := w.servers[1].arrived.Load()
	require.InDelta(t, 300, to, 60)
	require.EqualValues(t, 400-to, w.servers[0].arrived.Load())
}

func TestPartsOfAPrompt(t *testing.T) {
	require.Len(t, parts("5c1e07a2:800,91bd3f06:410, e4402b7d:250"), 3)
	require.Equal(t, uint64(0x5c1e07a2), parts("5c1e07a2:800")[0].ID)
	require.Equal(t, 800, parts("5c1e07a2:800")[0].Tokens)
	require.Len(t, parts("a:1,b,c:2"), 1)
	require.Len(t, parts("a:1,b:-1"), 1)
	require.Len(t, parts("a:1,zz:1,not-hex-and-longer-than-sixteen:2"), 3)
	require.Len(t, parts(strings.Repeat("a:1,", 1000)), maxParts)
	require.Nil(t, parts(""))
}
