package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// A message that may be read in two ways, or not at all, gets an error and its connection is closed:
// what stands behind it may be part of it. No server sees a request that no client sent.
func TestSmuggling(t *testing.T) {
	hidden := "POST /once/hidden HTTP/1.1\r\nHost: h.example\r\n" + hID + ": hidden\r\nContent-Length: 0\r\n\r\n"
	chunked := "0\r\n\r\n" + hidden
	for name, request := range map[string]string{
		"chunks in HTTP/1.0":     strings.Replace(head("POST", "/once/x", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n"), "HTTP/1.1", "HTTP/1.0", 1) + "0\r\n\r\n" + hidden,
		"two lengths":            head("POST", "/once/x", "Content-Length: 200\r\nContent-Length: 0\r\n") + hidden,
		"a list of lengths":      head("POST", "/once/x", "Content-Length: 0, 200\r\n") + hidden,
		"a signed length":        head("POST", "/once/x", "Content-Length: +0\r\n") + hidden,
		"a negative length":      head("POST", "/once/x", "Content-Length: -1\r\n") + hidden,
		"a hex length":           head("POST", "/once/x", "Content-Length: 0x0\r\n") + hidden,
		"an empty length":        head("POST", "/once/x", "Content-Length:\r\n") + hidden,
		"a space before a colon": head("POST", "/once/x", "Content-Length : 200\r\n") + hidden,
		"a tab before a colon":   head("POST", "/once/x", "Transfer-Encoding\t: chunked\r\n") + chunked,
		"two codings":            head("POST", "/once/x", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n") + chunked,
		"a list of codings":      head("POST", "/once/x", "Transfer-Encoding: identity, chunked\r\n") + chunked,
		"another coding":         head("POST", "/once/x", "Transfer-Encoding: xchunked\r\n") + chunked,
		"an unknown coding":      head("POST", "/once/x", "Transfer-Encoding: gzip\r\n") + chunked,
		"a coding in quotes":     head("POST", "/once/x", "Transfer-Encoding: \"chunked\"\r\n") + chunked,
		"a bad chunk size":       head("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "0x5\r\nshort\r\n" + chunked,
		"a signed chunk size":    head("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "+5\r\nshort\r\n" + chunked,
		"a huge chunk size":      head("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "ffffffffffffffff5\r\nshort\r\n" + chunked,
		"no end of a chunk":      head("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "5\r\nshort" + chunked,
		"a bare line feed":       head("POST", "/once/x", "Transfer-Encoding: chunked\r\n") + "5;\nxx\r\nshort\r\n" + chunked,
		"a line feed in a field": head("POST", "/once/x", "X-A: 1\rContent-Length: 5\r\n") + hidden,
		"a NUL in a field":       head("POST", "/once/x", "X-A: 1\x00\r\n") + hidden,
		"a name with a space":    head("POST", "/once/x", "X A: 1\r\n") + hidden,
		"a name of nothing":      head("POST", "/once/x", ": 1\r\n") + hidden,
		"no colon":               head("POST", "/once/x", "X-A\r\n") + hidden,
		"two hosts":              head("POST", "/once/x", "Host: other.example\r\n") + hidden,
		"no host":                "POST /once/x HTTP/1.1\r\n" + hID + ": x\r\n\r\n" + hidden,
		"a bad host":             "POST /once/x HTTP/1.1\r\nHost: h.example/once/\r\n" + hID + ": x\r\n\r\n" + hidden,
		"two ids":                head("POST", "/once/x", hID+": other\r\n") + hidden,
		"no id":                  "POST /once/x HTTP/1.1\r\nHost: h.example\r\n\r\n" + hidden,
		"an empty id":            "POST /once/x HTTP/1.1\r\nHost: h.example\r\n" + hID + ":\r\n\r\n" + hidden,
		"a bad target":           head("POST", "/once/x y", "") + hidden,
		"a target with CR":       head("POST", "/once/x\ry", "") + hidden,
		"no path":                head("POST", "once/x", "") + hidden,
		"a star":                 head("OPTIONS", "*", "") + hidden,
		"an authority":           head("CONNECT", "h.example:80", "") + hidden,
		"no version":             "POST /once/x\r\nHost: h.example\r\n" + hID + ": x\r\n\r\n" + hidden,
		"another version":        strings.Replace(head("POST", "/once/x", ""), "HTTP/1.1", "HTTP/2.0", 1) + hidden,
		"an old version":         strings.Replace(head("POST", "/once/x", "Connection: keep-alive\r\n"), "HTTP/1.1", "HTTP/1.0", 1) + hidden,
		"HTTP/2":                 "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + hidden,
		"TLS":                    "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + hidden,
		"a large head":           head("POST", "/once/x", "X-A: "+strings.Repeat("x", 128<<10)+"\r\n") + hidden,
		"many fields":            head("POST", "/once/x", strings.Repeat("X-A: 1\r\n", 20000)) + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
			c := w.dial()
			_, _ = c.Write([]byte(request)) // the door may have had enough before the end
			for {
				resp, err := http.ReadResponse(c.br, nil)
				if err != nil {
					require.False(t, timedOut(err), "the connection is still open")
					break
				}
				require.GreaterOrEqual(t, resp.StatusCode, 400)
				require.True(t, resp.Close, "%d keeps the connection", resp.StatusCode)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			w.none()
		})
	}
}

// Lengths that are the same twice may be read in one way only.
func TestTheSameLengthTwice(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	resp, _ := w.ask(head("POST", "/once/x", "Content-Length: 1\r\nContent-Length: 1\r\n") + "q")
	if resp.StatusCode == 200 {
		require.Equal(t, []string{"1"}, w.next().header["Content-Length"])
	} else {
		require.Equal(t, 400, resp.StatusCode)
	}
}

func TestRequestsOneBehindTheOther(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool {
		if strings.Contains(a.line, "/stream/") {
			return a.stream("s") && a.events(1, 3) && a.ended()
		}
		return a.serve()
	})
	c := w.dial()
	c.send(post("/once/1", "", "1") + head("GET", "/safe/2", "") + post("/stream/3", "", "3") + post("/none/4", "", "4") +
		head("POST", "/once/5", "Transfer-Encoding: chunked\r\n") + "1\r\n5\r\n0\r\n\r\n" + post("/once/6", "", "6"))
	for i, want := range []string{"served 1", "served ", events(1, 3), "", "served 5", "served 6"} {
		resp, body := c.whole()
		if i == 3 {
			require.Equal(t, 404, resp.StatusCode)
			continue
		}
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, want, body)
	}
	c.send(post("/once/7", "", "7"))
	_, body := c.whole()
	require.Equal(t, "served 7", body)
}

func TestNoRoute(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	c := w.dial()
	for _, request := range []string{
		post("/none/x", "", strings.Repeat("x", 20000)), post("/", "", "x"), post("/once", "", "x"),
		strings.Replace(post("/once/x", "", "x"), "h.example", "other.example", 1),
		head("POST", "/none/x", "Transfer-Encoding: chunked\r\n") + "5\r\nshort\r\n0\r\n\r\n",
	} {
		c.send(request)
		resp, _ := c.whole()
		require.Equal(t, 404, resp.StatusCode)
		require.False(t, resp.Close)
	}
	c.send(post("/once/x", "", "x"))
	resp, _ := c.whole()
	require.Equal(t, 200, resp.StatusCode)
	w.next()
	w.none()
}

func TestAnAbsoluteTarget(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	for target, path := range map[string]string{"http://h.example/once/a%2Fb?x=1": "/once/a%2Fb?x=1", "HTTP://h.example:80//once/": ""} {
		resp, _ := w.ask(post(target, "", "q"))
		if path == "" {
			require.Equal(t, 404, resp.StatusCode)
			continue
		}
		require.Equal(t, 200, resp.StatusCode)
		a := w.next()
		require.Equal(t, "POST "+path+" HTTP/1.1", a.line)
		require.Equal(t, "h.example", a.header.Get("Host"))
	}
}

func TestContinue(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	c := w.dial()
	for range 2 {
		c.send(head("POST", "/once/x", "Expect: 100-continue\r\nContent-Length: 5\r\n"))
		line, err := c.br.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
		_, _ = c.br.ReadString('\n')
		c.send("hello")
		_, body := c.whole()
		require.Equal(t, "served hello", body)
		require.NotContains(t, w.next().header, "Expect")
	}
	// Without a route nobody waits for the body.
	c.send(head("POST", "/none/x", "Expect: 100-continue\r\nContent-Length: 5\r\n"))
	resp, _ := c.whole()
	require.Equal(t, 404, resp.StatusCode)
}

func TestAClientThatClosesEachConnection(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	c := w.dial()
	c.send(post("/once/x", "Connection: close\r\n", "q"))
	resp, _ := c.whole()
	require.True(t, resp.Close)
	c.closed()
	require.EqualValues(t, 1, w.servers[0].conns.Load())
}

func TestStarting(t *testing.T) {
	w := prepare(t, 1, func(a *arrival, _ int) bool { return a.serve() })
	begun := time.Now()
	resp, _ := w.ask(post("/once/x", "", "q"))
	refused(t, resp)
	require.GreaterOrEqual(t, time.Since(begun), startWait)
	ready := func() int {
		rec := httptest.NewRecorder()
		w.door.Ready(rec, nil)
		return rec.Code
	}
	require.Equal(t, 503, ready())
	// What is known is not all yet.
	doc := w.doc("")
	w.door.Update(&relay.Snapshot{Config: doc, Servers: w.list(), Agents: 1})
	resp, _ = w.ask(post("/once/x", "", "q"))
	refused(t, resp)
	require.Equal(t, 503, ready())
	w.door.Update(&relay.Snapshot{Config: doc, Servers: w.list(w.servers...), Agents: 1, Synced: true})
	resp, _ = w.ask(post("/once/x", "", "q"))
	refused(t, resp)
	require.Equal(t, 503, ready())
	w.none()
	// One that waits is served as soon as all is known.
	c := w.dial()
	c.send(post("/once/x", "", "q"))
	w.update(doc)
	resp, _ = c.whole()
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, 200, ready())
}

// The entry's question waits for nothing.
func TestReadinessWaitsForNothing(t *testing.T) {
	w := newWorld(t, 1, nil)
	w.door.mu.Lock()
	defer w.door.mu.Unlock()
	w.door.pool.mu.Lock()
	defer w.door.pool.mu.Unlock()
	rec := httptest.NewRecorder()
	w.door.Ready(rec, nil)
	require.Equal(t, 200, rec.Code)
}

func TestShutdown(t *testing.T) {
	release := make(chan bool)
	w := newWorld(t, 1, func(a *arrival, _ int) bool {
		if strings.Contains(a.line, "/stream/") {
			a.stream("s")
			a.events(1, 2)
			<-release
			return a.events(3, 4) && a.ended()
		}
		if strings.Contains(a.line, "/slow") {
			<-release
		}
		return a.serve()
	})
	finish := sync.OnceFunc(func() { close(release) })
	t.Cleanup(finish)
	idle, fresh := w.dial(), w.dial()
	idle.send(post("/once/x", "", "q"))
	_, _ = idle.whole()
	stream := w.dial()
	stream.send(post("/stream/x", "", "q"))
	streamed := stream.head()
	slow := w.dial()
	slow.send(post("/once/slow", "", "q"))
	half := w.dial()
	request := post("/once/half", "", strings.Repeat("x", 20000))
	half.send(request[:10000])
	for range 3 {
		w.next()
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ended := make(chan bool)
	go func() {
		w.door.Shutdown(ctx, 300*time.Millisecond)
		close(ended)
	}()
	idle.closed()
	rec := httptest.NewRecorder()
	w.door.Ready(rec, nil)
	require.Equal(t, 503, rec.Code)
	// In the linger what comes is served, and its connection closed.
	fresh.send(post("/once/fresh", "", "q"))
	resp, _ := fresh.whole()
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
	fresh.closed()
	late := w.dial()
	late.send(post("/once/late", "", "q"))
	resp, _ = late.whole()
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
	half.send(request[10000:])
	resp, _ = half.whole()
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
	require.Eventually(t, func() bool { // the linger is over
		c, err := net.Dial("tcp", w.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	}, patience, 10*time.Millisecond)
	select {
	case <-ended:
		require.FailNow(t, "ended under requests")
	default:
	}
	finish()
	resp, body := slow.whole()
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "served q", body)
	require.True(t, resp.Close)
	b, err := io.ReadAll(streamed.Body)
	require.NoError(t, err)
	require.Equal(t, events(1, 4), string(b))
	<-ended
}

// What is left at the end of the grace is broken off, at the client and at the server.
func TestTheGraceEnds(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool {
		a.stream("s")
		a.events(1, 2)
		a.gone(t)
		return false
	})
	c := w.dial()
	c.send(post("/stream/x", "", "q"))
	resp := c.head()
	a := w.next()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	w.door.Shutdown(ctx, 0)
	require.EqualValues(t, 0, w.door.held.Load(), "a request is still held")
	b, err := io.ReadAll(resp.Body)
	require.Error(t, err, "it must not look whole")
	require.False(t, timedOut(err), "the connection is still open")
	require.Equal(t, events(1, 2), string(b))
	a.gone(t)
}

// A request that comes as its connection is closed for idling gets an answer, or none at all and has
// not run.
func TestARequestOnAConnectionThatIsClosed(t *testing.T) {
	for range 20 {
		w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() })
		c := w.dial()
		c.send(post("/once/x", "", "q"))
		_, _ = c.whole()
		w.next()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		ended := make(chan bool)
		go func() {
			w.door.Shutdown(ctx, 10*time.Millisecond)
			close(ended)
		}()
		_, _ = c.Write([]byte(post("/once/y", "", "q")))
		resp, err := http.ReadResponse(c.br, nil)
		<-ended
		cancel()
		if err == nil {
			require.Equal(t, 200, resp.StatusCode)
			w.next()
		} else {
			w.none()
		}
	}
}

func TestConnectionsOfClientsAreBounded(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.serve() }, func(s *settings.Settings) { s.Limits.FDs = 400 })
	var conns []*client
	for range 300 {
		conns = append(conns, w.dial())
	}
	// Whoever comes is served, though others hold connections that they don't use.
	resp, _ := w.ask(post("/once/x", "", "q"))
	require.Equal(t, 200, resp.StatusCode)
	for _, c := range conns {
		c.Close()
	}
}
