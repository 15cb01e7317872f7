package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
	"chalkdoor.example/chalkdoor/internal/http1"
)

func TestAWholeAnswerIsPassedOnAsItCame(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool {
		return a.answer(201, sealed+"X-Own: 1\r\nX-Own: 2\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n", "a\x00\xffb")
	})
	for _, path := range []string{"/safe/x", "/once/x"} {
		resp, body := w.ask(post(path, "", "question"))
		require.Equal(t, 201, resp.StatusCode)
		require.Equal(t, "a\x00\xffb", body)
		require.Equal(t, "seal-1", resp.Header.Get(hSeal))
		require.Equal(t, []string{"1", "2"}, resp.Header["X-Own"])
		require.NotContains(t, resp.Header, "X-Hop")
		require.Equal(t, "question", w.next().body)
	}
}

func TestAChunkedAnswerIsPassedOnWhole(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool {
		return a.stream("s") && a.chunk("one ") && a.chunk("two") && a.send("0\r\nX-Trailer: 1\r\n\r\n")
	})
	c := w.dial()
	for range 2 { // the trailer is not taken for the next answer
		c.send(post("/once/x", "", ""))
		resp, body := c.whole()
		require.Equal(t, "one two", body)
		require.Equal(t, "s", resp.Header.Get(hSeal))
	}
	require.EqualValues(t, 1, w.servers[0].conns.Load())
}

// answers are what a server may make of its first request; what comes of it on a route that must
// not run twice, and whether another server is tried where it may.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(a *arrival) bool
		unsafe int // status
		again  bool
	}{
		{"success without seal", func(a *arrival) bool { return a.answer(200, "", "x") }, 502, true},
		{"success with a coding", func(a *arrival) bool { return a.answer(200, sealed+"Content-Encoding: gzip\r\n", "x") }, 502, true},
		{"without length, reset", func(a *arrival) bool {
			a.send("HTTP/1.1 200 X\r\n%s: %s\r\n%s\r\nbody", hID, a.id(), sealed)
			return a.reset()
		}, 502, true},
		{"without length, protocol 1.0", func(a *arrival) bool {
			a.send("HTTP/1.0 200 X\r\n%s: %s\r\n%sTransfer-Encoding: chunked\r\n\r\nbody", hID, a.id(), sealed)
			return false
		}, 502, true},
		{"a surplus one without length", func(a *arrival) bool {
			a.send("HTTP/1.1 200 X\r\n%s: other\r\n%s\r\n", hID, sealed)
			return a.answer(200, sealed, "x") // it is not read on for what is no answer of ours
		}, 502, true},
		{"two lengths", func(a *arrival) bool {
			return a.answer(200, sealed+"Content-Length: 3\r\n", "x")
		}, 502, true},
		{"a length beside chunks", func(a *arrival) bool {
			return a.answer(200, sealed+"Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n")
		}, 502, true},
		{"cut in its body", func(a *arrival) bool {
			a.send("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 10\r\n\r\nbody", hID, a.id(), sealed)
			return false
		}, 502, true},
		{"cut in a chunk", func(a *arrival) bool { a.stream("s"); a.send("a\r\nbody"); return false }, 502, true},
		{"cut between chunks", func(a *arrival) bool { a.stream("s"); a.chunk("body"); return false }, 502, true},
		{"cut before the last line", func(a *arrival) bool { a.stream("s"); a.chunk("body"); a.send("0\r\n"); return false }, 502, true},
		{"a bad chunk", func(a *arrival) bool { return a.stream("s") && a.send("zz\r\nbody\r\n0\r\n\r\n") }, 502, true},
		{"cut in its head", func(a *arrival) bool { a.send("HTTP/1.1 200 X\r\n%s: %s\r\n", hID, a.id()); return false }, 502, true},
		{"garbage", func(a *arrival) bool { a.send("\x16\x03\x01garbage that is no answer\n\n"); return true }, 502, true},
		{"another protocol", func(a *arrival) bool { return a.send("HTTP/2.0 200 X\r\n%s: %s\r\n%s\r\n", hID, a.id(), sealed) }, 502, true},
		{"switching protocols", func(a *arrival) bool { return a.answer(101, sealed, "") }, 502, true},
		{"closed", func(a *arrival) bool { return false }, 502, true},
		{"reset", func(a *arrival) bool { return a.reset() }, 502, true},
		{"success of another request", func(a *arrival) bool {
			a.send("HTTP/1.1 200 X\r\n%s: other\r\n%sContent-Length: 1\r\n\r\nx", hID, sealed)
			return false
		}, 502, true},
		{"success without id", func(a *arrival) bool { return a.send("HTTP/1.1 200 X\r\n%sContent-Length: 1\r\n\r\nx", sealed) }, 502, true},
		{"refusal without id", func(a *arrival) bool {
			return a.send("HTTP/1.1 503 X\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", hNotRun)
		}, 502, true},
		{"full", func(a *arrival) bool { return a.answer(503, hNotRun+": 1\r\n", "full") }, 200, true},
		{"too many", func(a *arrival) bool { return a.answer(429, hNotRun+": 1\r\nRetry-After: 0.2\r\n", "") }, 200, true},
		{"full, cut", func(a *arrival) bool {
			a.send("HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 9\r\n\r\n", hID, a.id(), hNotRun)
			return false
		}, 200, true},
		{"another instance", func(a *arrival) bool { return a.answer(421, "", "") }, 200, true},
		{"503 without a word", func(a *arrival) bool { return a.answer(503, "", "busy") }, 502, true},
		{"429 without a word", func(a *arrival) bool { return a.answer(429, "", "busy") }, 502, true},
		{"408 without a word", func(a *arrival) bool { return a.answer(408, "", "busy") }, 502, true},
		{"failed", func(a *arrival) bool { return a.answer(500, "X-Own: 1\r\n", "failed") }, 500, true},
		{"deadline", func(a *arrival) bool { return a.answer(504, "", "late") }, 504, true},
		{"not found", func(a *arrival) bool { return a.answer(404, "X-Own: 1\r\n", "nothing") }, 404, false},
		{"moved", func(a *arrival) bool { return a.answer(302, "Location: /x\r\n", "") }, 302, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, path := range []string{"/once/x", "/safe/x"} {
				w := newWorld(t, 2, func(a *arrival, n int) bool {
					if n == 0 {
						return c.do(a)
					}
					return a.serve()
				})
				resp, body := w.ask(post(path, "", "q"))
				first := w.next()
				want := c.unsafe
				if path == "/safe/x" && c.again {
					want = 200
				}
				require.Equal(t, want, resp.StatusCode, "%s: %s", path, body)
				switch want {
				case 200:
					second := w.next()
					require.Equal(t, "served q", body)
					require.NotSame(t, first.server, second.server, "the same server once more")
					require.Equal(t, first.id(), second.id())
				case 500:
					require.Equal(t, "failed", body)
					require.Equal(t, "1", resp.Header.Get("X-Own"))
				case 404:
					require.Equal(t, "nothing", body)
					require.Equal(t, "1", resp.Header.Get("X-Own"))
				case 502:
					require.Empty(t, resp.Header.Get("Retry-After"))
				}
				require.Empty(t, w.arrivals)
			}
		})
	}
}

func TestARefusalIsPassedOnAtOnce(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.answer(503, hNotRun+": 1\r\nRetry-After: 0.7\r\n", "full") })
	for _, path := range []string{"/once/x", "/one/x", "/safe/x", "/stream/x", "/resume/x"} {
		begun := time.Now()
		resp, _ := w.ask(post(path, "", "q"))
		refused(t, resp)
		require.Less(t, time.Since(begun), 5*time.Second, "held back")
	}
}

func TestAttemptsEnd(t *testing.T) {
	w := newWorld(t, 5, func(a *arrival, _ int) bool { return a.answer(503, hNotRun+": 1\r\n", "full") })
	for path, most := range map[string]int64{"/one/x": 1, "/once/x": 3, "/safe/x": 3} {
		before := w.n.Load()
		resp, _ := w.ask(post(path, "", "q"))
		refused(t, resp)
		require.LessOrEqual(t, w.n.Load()-before, most, path)
	}
}

func TestTheBudgetIsAskedBeforeAnotherServer(t *testing.T) {
	empty := func(s *settings.Settings) { s.Bounds.RetryRatio, s.Bounds.RetrySlack = 0, 0 }
	w := newWorld(t, 2, func(a *arrival, n int) bool { return a.answer(503, hNotRun+": 1\r\n", "full") }, empty)
	resp, _ := w.ask(post("/safe/x", "", "q"))
	refused(t, resp)
	require.EqualValues(t, 1, w.n.Load())

	w = newWorld(t, 2, func(a *arrival, n int) bool { return a.reset() }, empty)
	resp, _ = w.ask(post("/safe/x", "", "q"))
	require.Equal(t, 502, resp.StatusCode)
	require.EqualValues(t, 1, w.n.Load())

	w = newWorld(t, 2, func(a *arrival, n int) bool { return a.stream("s") && a.events(1, 2) && false }, empty)
	c := w.dial()
	c.send(post("/resume/x", "", "q"))
	resp, body, err := c.answer()
	require.Equal(t, 200, resp.StatusCode)
	require.Error(t, err, "it must not look whole")
	require.Equal(t, events(1, 2), body)
	require.EqualValues(t, 1, w.n.Load())
}

func TestARefusedConnectHasReachedNobody(t *testing.T) {
	for _, path := range []string{"/one/x", "/once/x", "/stream/x"} {
		w := newWorld(t, 3, func(a *arrival, _ int) bool {
			if strings.Contains(a.line, "/stream/") {
				return a.stream("s") && a.events(1, 1) && a.ended()
			}
			return a.serve()
		}, func(s *settings.Settings) { s.Bounds.RetryRatio, s.Bounds.RetrySlack = 0, 0 })
		w.servers[0].ln.Close()
		w.servers[1].ln.Close()
		for range 4 {
			resp, _ := w.ask(post(path, "", "q"))
			require.Equal(t, 200, resp.StatusCode)
		}
	}
}

func TestNobodyThere(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.servers[0].ln.Close()
	w.servers[1].ln.Close()
	resp, _ := w.ask(post("/once/x", "", "q"))
	refused(t, resp)
}

func TestAWrongInstanceIsDroppedFromTheList(t *testing.T) {
	w := newWorld(t, 2, func(a *arrival, n int) bool {
		require.Equal(t, a.server.in.ID, a.header.Get(hExpect))
		if n == 0 {
			return a.answer(421, "", "")
		}
		return a.serve()
	})
	resp, _ := w.ask(post("/once/x", "", "q"))
	require.Equal(t, 200, resp.StatusCode)
	wrong := w.next().server
	for range 6 {
		resp, _ := w.ask(post("/once/x", "", "q"))
		require.Equal(t, 200, resp.StatusCode)
	}
	require.EqualValues(t, 1, wrong.arrived.Load())
	require.Len(t, w.door.Servers(), 1)
}

func TestAWrongInstanceOnTheOnlyAttempt(t *testing.T) {
	w := newWorld(t, 2, func(a *arrival, n int) bool { return a.answer(421, "", "") })
	resp, _ := w.ask(post("/one/x", "", "q"))
	refused(t, resp)
	require.EqualValues(t, 1, w.n.Load())
}

func TestASurplusAnswerBeforeOurs(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, n int) bool {
		return a.send("HTTP/1.1 100 Continue\r\n\r\n") &&
			a.send("HTTP/1.1 200 X\r\n%s: earlier\r\n%sContent-Length: 5\r\n\r\nother", hID, sealed) &&
			a.send("HTTP/1.1 503 X\r\n%s: earlier\r\n%s: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n", hID, hNotRun) &&
			a.serve()
	})
	for _, path := range []string{"/once/x", "/safe/x"} {
		resp, body := w.ask(post(path, "", "q"))
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, "served q", body)
	}
}

// What comes after an answer is nobody's: neither the next request on its connection gets it, nor
// does a server get that request on it.
func TestASurplusAnswerAfterOurs(t *testing.T) {
	surplus := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 5\r\n\r\nother", hID, id, sealed)
	}
	t.Run("with it", func(t *testing.T) {
		w := newWorld(t, 1, func(a *arrival, n int) bool {
			body := "served"
			return a.send("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 6\r\n\r\n%s%s", hID, a.id(), sealed, body, surplus(a.id()))
		})
		for range 3 {
			_, body := w.ask(post("/once/x", "", "q"))
			require.Equal(t, "served", body)
			require.Zero(t, w.next().nth, "the connection was used again")
		}
	})
	t.Run("while idle", func(t *testing.T) {
		w := newWorld(t, 1, func(a *arrival, n int) bool { return a.serve() })
		_, _ = w.ask(post("/once/x", "", "1"))
		first := w.next()
		first.send("%s", surplus("a-next"))
		require.Eventually(t, func() bool { // it has come
			p := w.door.pool
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, cn := range p.idle[first.server.in.ID] {
				return !http1.IsIdle(cn.Conn, cn.br)
			}
			return p.open == 0 // it came before the connection was put back
		}, patience, time.Millisecond)
		_, body := w.ask(post("/once/x", "", "2"))
		require.Equal(t, "served 2", body)
		require.NotSame(t, first.conn, w.next().conn)
	})
	t.Run("with the next answer", func(t *testing.T) {
		w := newWorld(t, 1, func(a *arrival, n int) bool {
			if n == 1 {
				return a.send("%s", surplus("a-gone")) && a.serve()
			}
			return a.serve()
		})
		for i := range 3 {
			_, body := w.ask(post("/once/x", "", fmt.Sprint(i)))
			require.Equal(t, fmt.Sprintf("served %d", i), body)
		}
	})
	t.Run("many", func(t *testing.T) {
		w := newWorld(t, 1, func(a *arrival, n int) bool { return a.send("%s", strings.Repeat(surplus("other"), 20)) })
		resp, _ := w.ask(post("/once/x", "", ""))
		require.Equal(t, 502, resp.StatusCode)
	})
}

// Any beginning of an answer of another request, behind one answer or ahead of the next on the same
// connection, reaches nobody: a caller gets its own answer or none.
func TestEachByteOfASurplusAnswer(t *testing.T) {
	surplus := fmt.Sprintf("HTTP/1.1 200 X\r\n%s: other\r\n%sContent-Length: 5\r\n\r\nother", hID, sealed)
	for n := range len(surplus) + 1 {
		for name, script := range map[string]func(a *arrival, n int) bool{
			"behind": func(a *arrival, _ int) bool {
				own := "served " + a.body
				return a.send("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s%s", hID, a.id(), sealed, len(own), own, surplus[:n])
			},
			"ahead": func(a *arrival, i int) bool {
				if i == 1 {
					a.send("%s", surplus[:n])
				}
				return a.serve() && i == 0 // what is cut has no rest
			},
		} {
			w := newWorld(t, 1, script)
			for i := range 2 {
				resp, body := w.ask(post("/once/x", "", fmt.Sprint(i)))
				if resp.StatusCode == 200 {
					require.Equal(t, fmt.Sprintf("served %d", i), body, "%s, %d bytes", name, n)
					continue
				}
				require.Equal(t, 502, resp.StatusCode, "%s, %d bytes", name, n)
				require.Equal(t, "ahead", name)
				require.EqualValues(t, 1, i)
			}
			require.EqualValues(t, 2, w.n.Load(), "%s, %d bytes", name, n)
			w.close()
		}
	}
}

func TestAKeptConnectionThatTheServerClosed(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, n int) bool { return a.serve() && n > 0 })
	_, _ = w.ask(post("/once/x", "", "1"))
	first := w.next()
	// The close has come when the kept connection is no longer quiet.
	require.Eventually(t, func() bool {
		w.door.pool.mu.Lock()
		defer w.door.pool.mu.Unlock()
		for _, cn := range w.door.pool.idle[first.server.in.ID] {
			return !http1.IsIdle(cn.Conn, cn.br)
		}
		return w.door.pool.open == 0 // it came before the connection was put back
	}, patience, time.Millisecond)
	resp, body := w.ask(post("/once/x", "", "2"))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "served 2", body)
	require.EqualValues(t, 2, w.servers[0].conns.Load())
}

func TestConnectionsAreKept(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, n int) bool {
		if strings.Contains(a.line, "/last") {
			return a.answer(200, sealed+"Connection: close\r\n", "")
		}
		return a.serve()
	})
	c := w.dial()
	ask := func(path string) {
		c.send(post(path, "", "1"))
		_, _ = c.whole()
	}
	for range 5 {
		ask("/once/x")
	}
	require.EqualValues(t, 1, w.servers[0].conns.Load())
	ask("/once/last")
	ask("/once/x")
	require.EqualValues(t, 2, w.servers[0].conns.Load())
}

// A server that leaves the list between its pick and the send gets nothing.
func TestAServerThatDrainsBeforeItIsSentTo(t *testing.T) {
	w := newWorld(t, 2, func(a *arrival, n int) bool { return a.serve() })
	doc := w.doc("")
	w.update(doc)
	// The picker still has both, the list only one: the moment between a pick and a newer list.
	gone := w.servers[0]
	snap := *w.door.snap.Load()
	snap.Servers = w.list(gone)
	w.door.snap.Store(&snap)
	for range 20 {
		resp, _ := w.ask(post("/one/x", "", "q"))
		require.Equal(t, 200, resp.StatusCode)
	}
	require.Zero(t, gone.arrived.Load())
}

func TestAClientThatLeaves(t *testing.T) {
	t.Run("while the server works", func(t *testing.T) {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resume/x"} {
			w := newWorld(t, 2, func(a *arrival, n int) bool { a.gone(t); return false })
			c := w.dial()
			c.send(post(path, "", "q"))
			a := w.next()
			c.Close()
			a.gone(t)
			w.none()
		}
	})
	t.Run("while it streams", func(t *testing.T) {
		w := newWorld(t, 2, func(a *arrival, n int) bool {
			a.stream("s")
			a.events(1, 1)
			a.gone(t)
			return false
		})
		for _, path := range []string{"/stream/x", "/resume/x"} {
			c := w.dial()
			c.send(post(path, "", "q"))
			c.head()
			a := w.next()
			c.Close()
			a.gone(t)
		}
		w.none()
	})
	t.Run("before it is sent", func(t *testing.T) {
		w := newWorld(t, 0, nil)
		full := fullQueue(t)
		w.add(&server{ln: full}, "s")
		w.update(w.doc(""))
		c := w.dial()
		c.send(post("/once/x", "", "q"))
		inFlight := func() int { return w.door.Servers()[0].InFlight }
		require.Eventually(t, func() bool { return inFlight() == 1 }, patience, time.Millisecond)
		c.Close()
		require.Eventually(t, func() bool { return inFlight() == 0 }, patience, time.Millisecond)
		require.EqualValues(t, 1, w.door.Figures.Left.Load())
	})
}

// fullQueue is a listener that lets connects wait: its queue of connections is full.
func fullQueue(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { require.NoError(t, unix.Listen(int(fd), 0)) }))
	for { // a connect that does not come up tells that it is full
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err != nil {
			require.True(t, timedOut(err))
			return ln
		}
		t.Cleanup(func() { c.Close() })
	}
}

// A client that has closed only its sending side may still read: nothing that it reads may look
// like a whole answer that is none.
func TestAHalfClosedClient(t *testing.T) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		w := newWorld(t, 1, func(a *arrival, n int) bool {
			if strings.Contains(a.line, "/stream/") {
				a.stream("s")
				a.events(1, 1)
			}
			a.gone(t)
			return false
		})
		c := w.dial()
		c.send(post(path, "", "q"))
		w.next()
		if path == "/stream/x" {
			require.Equal(t, 200, c.head().StatusCode)
		}
		require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
		rest, _ := io.ReadAll(c.br)
		require.NotContains(t, string(rest), "HTTP/1.1 2", path)
		require.NotContains(t, string(rest), "\r\n0\r\n\r\n", path)
	}
}

func TestDeadlines(t *testing.T) {
	silent := func(a *arrival, n int) bool {
		if strings.Contains(a.line, "/begun") {
			a.stream("s")
			a.events(1, 1)
		}
		if strings.Contains(a.line, "/part") {
			a.send("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: 10\r\n\r\nbody", hID, a.id(), sealed)
		}
		a.gone(t)
		return false
	}
	for _, path := range []string{"/once/x", "/stream/x", "/once/part", "/safe/x"} {
		w := newWorld(t, 1, silent)
		resp, _ := w.ask(post(path, hDeadline+": 200\r\n", "q"))
		require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode, path)
		w.next().gone(t)
	}
	for _, path := range []string{"/stream/begun", "/resume/begun"} {
		w := newWorld(t, 1, silent)
		c := w.dial()
		c.send(post(path, hDeadline+": 200\r\n", "q"))
		resp, body, err := c.answer()
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, piece(1), body)
		require.Error(t, err, "it must not look whole")
		w.next().gone(t)
	}
}

func TestATimeoutOfTheRoute(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, n int) bool { a.gone(t); return false })
	w.update(w.doc(`,{"name":"short","hostname":"h.example","path-prefix":"/short/","route-kind":"unsafe","timeout-ms":150,"setpoint-ms":100,"target-service":"s"}`))
	resp, _ := w.ask(post("/short/x", hDeadline+": 10000\r\n", "q"))
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
}

func TestFiguresOfOutcomes(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, n int) bool { return a.serve() })
	_, _ = w.ask(post("/once/x", "", "q"))
	_, _ = w.ask(post("/none/x", "", "q"))
	f := w.door.Figures.Read()
	require.EqualValues(t, 2, f["requests"])
	require.EqualValues(t, 1, f["served"])
	require.EqualValues(t, 1, f["rejected"])
	require.EqualValues(t, 0, f["failed"])
}

func TestBlame(t *testing.T) {
	require.Equal(t, balancer.BadResponse, broken(http1.Malformed("x")))
	require.Equal(t, balancer.Reset, broken(io.EOF))
	require.Equal(t, balancer.Timeout, broken(os.ErrDeadlineExceeded))
}

// A long answer is passed on without being held whole.
func TestLongAnswers(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", maxWhole/16) // just held whole
	script := func(a *arrival, n int) bool {
		size := len(long)
		fmt.Sscan(a.header.Get("X-Size"), &size)
		body := strings.Repeat(long, size/len(long)+1)[:size]
		switch {
		case a.header.Get("X-Cut") != "" && n == 0:
			a.send("HTTP/1.1 200 X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", hID, a.id(), sealed, size+1, body)
			return false
		case strings.HasPrefix(a.line, "PUT "):
			if !a.stream("seal-1") {
				return false
			}
			for len(body) > 0 {
				n := min(len(body), 5000)
				a.chunk(body[:n])
				body = body[n:]
			}
			return a.ended()
		}
		return a.answer(200, sealed, body)
	}
	w := newWorld(t, 1, script)
	c := w.dial()
	for _, size := range []int{maxWhole - 1, maxWhole, maxWhole + 1, 5*maxWhole + 7} {
		for _, method := range []string{"POST", "PUT"} {
			c.send(head(method, "/safe/x", fmt.Sprintf("X-Size: %d\r\nContent-Length: 0\r\n", size)))
			resp, body := c.whole()
			require.Equal(t, "seal-1", resp.Header.Get(hSeal))
			require.True(t, strings.Repeat(long, 6)[:size] == body, "%s %d: %d bytes", method, size, len(body))
		}
	}
	require.EqualValues(t, 1, w.servers[0].conns.Load())
	for size, again := range map[int]bool{maxWhole - 1: true, maxWhole + 1: false, 3 * maxWhole: false} {
		w := newWorld(t, 2, script)
		c := w.dial()
		c.send(post("/safe/x", fmt.Sprintf("X-Cut: 1\r\nX-Size: %d\r\n", size), ""))
		resp, body, err := c.answer()
		require.Equal(t, 200, resp.StatusCode)
		if again {
			require.NoError(t, err)
			require.Len(t, body, size)
		} else {
			require.Error(t, err, "it must not look whole")
			require.EqualValues(t, 1, w.n.Load())
		}
	}
}

// Failures are held whole, so they are bounded; what they promise counts all the same.
func TestLongFailures(t *testing.T) {
	script := func(a *arrival, _ int) bool {
		status := 500
		fields := ""
		switch {
		case strings.Contains(a.line, "/full"):
			status, fields = 503, hNotRun+": 1\r\n"
		case strings.Contains(a.line, "/404"):
			status = 404
		}
		return a.answer(status, fields, strings.Repeat("x", maxFailure+1))
	}
	for path, want := range map[string]int{"/once/500": 502, "/once/404": 502, "/once/full": 503} {
		w := newWorld(t, 1, script)
		resp, _ := w.ask(post(path, "", ""))
		require.Equal(t, want, resp.StatusCode, path)
	}
}
