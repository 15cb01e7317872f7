package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// readEvent reads one event of a stream.
func readEvent(t testing.TB, resp *http.Response) string {
	var got []byte
	one := make([]byte, 1)
	for !strings.HasSuffix(string(got), "\n\n") {
		_, err := io.ReadFull(resp.Body, one)
		require.NoError(t, err)
		got = append(got, one[0])
	}
	return string(got)
}

func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		more := make(chan bool)
		w := newWorld(t, 1, func(a *arrival, _ int) bool {
			a.stream("s")
			for i := 1; i <= 5; i++ {
				a.chunk(piece(i))
				<-more
			}
			return a.ended()
		})
		c := w.dial()
		c.send(post(path, "", "q"))
		resp := c.head()
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, "s", resp.Header.Get(hSeal))
		require.Equal(t, "text/event-stream", resp.Header.Get("Content-Type"))
		for i := 1; i <= 5; i++ {
			require.Equal(t, piece(i), readEvent(t, resp)) // before the server sends the next
			more <- true
		}
		_, err := io.ReadFull(resp.Body, make([]byte, 1))
		require.Equal(t, io.EOF, err)
		require.EqualValues(t, 1, w.n.Load())
	}
}

// Chunks and writes need not end where events do.
func TestEventsInPieces(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool {
		all := events(1, 30)
		a.stream("s")
		for i, size := 0, 1; i < len(all); i, size = i+size, size%37+1 {
			size = min(size, len(all)-i)
			a.chunk(all[i : i+size])
		}
		return a.ended()
	})
	for _, path := range []string{"/stream/x", "/resume/x"} {
		_, body := w.ask(post(path, "", "q"))
		require.Equal(t, events(1, 30), body)
	}
}

func TestAStreamWithALength(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.answer(200, sealed, events(1, 3)) })
	for range 2 {
		_, body := w.ask(post("/stream/x", "", "q"))
		require.Equal(t, events(1, 3), body)
	}
	require.EqualValues(t, 1, w.servers[0].conns.Load())
}

func TestAnEmptyStream(t *testing.T) {
	w := newWorld(t, 1, func(a *arrival, _ int) bool { return a.stream("s") && a.ended() })
	resp, body := w.ask(post("/stream/x", "", "q"))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "s", resp.Header.Get(hSeal))
	require.Empty(t, body)
}

// breaks are the ways in which a server breaks a stream off after its second event, which the
// client has read by then: a reset drops what has not been read.
var breaks = map[string]func(a *arrival) bool{
	"reset":             func(a *arrival) bool { return a.reset() },
	"closed":            func(a *arrival) bool { return false },
	"within an event":   func(a *arrival) bool { a.chunk("id: 3\ndata: pie"); return false },
	"within a chunk":    func(a *arrival) bool { a.send("ff\r\nid: 3\ndata: pie"); return a.reset() },
	"after an event":    func(a *arrival) bool { a.send("%x\r\n%s", len(piece(3)), piece(3)); return false },
	"after a size":      func(a *arrival) bool { a.send("20\r\n"); return false },
	"a bad chunk":       func(a *arrival) bool { return a.send("zz\r\n") },
	"a bad chunk's end": func(a *arrival) bool { return a.send("%x\r\n%sXX", len(piece(3)), piece(3)) },
	"ends in an event":  func(a *arrival) bool { return a.chunk("id: 3\ndata: pie") && a.ended() },
	"a piece twice":     func(a *arrival) bool { return a.chunk(piece(2)) && a.ended() },
	"a piece missing":   func(a *arrival) bool { return a.chunk(piece(5)) && a.ended() },
	"an event too long": func(a *arrival) bool { return a.chunk("id: 3\ndata: " + strings.Repeat("x", maxEvent)) },
}

// brokenAfter is the last event that gets through.
func brokenAfter(name string) int {
	if name == "after an event" || name == "a bad chunk's end" {
		return 3 // whole by itself
	}
	return 2
}

// The routes of streams: on quick ones a server that is silent is left early.
const quickRoutes = `,{"name":"quick","hostname":"h.example","path-prefix":"/quick/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":100,"target-service":"s","max-attempts":3,"resumable":true,"gap_aim_ms":100},
 {"name":"quick-once","hostname":"h.example","path-prefix":"/quick-once/","route-kind":"streaming","timeout-ms":10000,"setpoint-ms":100,"target-service":"s","max-attempts":3,"gap_aim_ms":100}`

// A stream that a server breaks off breaks off for the client, too, where it may not be resumed,
// or the budget has no room for that.
func TestABrokenStreamBreaks(t *testing.T) {
	for name, broke := range breaks {
		for _, path := range []string{"/stream/x", "/quick-once/x", "/resume/x", "/quick/x"} {
			t.Run(name+path, func(t *testing.T) {
				read := make(chan bool)
				w := newWorld(t, 2, func(a *arrival, _ int) bool {
					a.stream("s")
					a.events(1, 2)
					<-read
					return broke(a)
				}, func(s *settings.Settings) {
					if path == "/resume/x" || path == "/quick/x" {
						s.Bounds.RetryRatio, s.Bounds.RetrySlack = 0, 0
					}
				})
				w.update(w.doc(quickRoutes))
				c := w.dial()
				c.send(post(path, "", "q"))
				resp := c.head()
				require.Equal(t, 200, resp.StatusCode)
				require.Equal(t, piece(1), readEvent(t, resp))
				require.Equal(t, piece(2), readEvent(t, resp))
				close(read)
				rest, err := io.ReadAll(resp.Body)
				require.Error(t, err, "it must not look whole")
				require.False(t, timedOut(err), "the connection is still open")
				require.Equal(t, events(3, brokenAfter(name)), string(rest))
				require.EqualValues(t, 1, w.n.Load(), "it must not run twice")
			})
		}
	}
}

func TestABrokenStreamGoesOnAtAnotherServer(t *testing.T) {
	for name, broke := range breaks {
		for _, path := range []string{"/resume/x", "/quick/x"} {
			t.Run(name+path, func(t *testing.T) {
				read := make(chan bool)
				w := newWorld(t, 3, func(a *arrival, n int) bool {
					if n == 0 {
						a.stream("first")
						a.events(1, 2)
						<-read
						return broke(a)
					}
					var last int
					fmt.Sscan(a.header.Get(hLast), &last)
					return a.stream("second") && a.events(last+1, 6) && a.ended()
				})
				w.update(w.doc(quickRoutes))
				c := w.dial()
				c.send(post(path, hDeadline+": 9000\r\n", "q"))
				resp := c.head()
				require.Equal(t, piece(1), readEvent(t, resp))
				require.Equal(t, piece(2), readEvent(t, resp))
				close(read)
				rest, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, events(3, 6), string(rest))
				require.Equal(t, []string{"first"}, resp.Header[hSeal])
				first, second := w.next(), w.next()
				require.NotSame(t, first.server, second.server)
				require.Equal(t, first.id(), second.id())
				require.Empty(t, first.header.Get(hLast))
				require.Equal(t, fmt.Sprint(brokenAfter(name)), second.header.Get(hLast))
				require.Equal(t, "q", second.body)
				require.EqualValues(t, 1, w.door.Figures.Resumed.Load())
				require.EqualValues(t, 1, w.door.Figures.Repeats.Load())
			})
		}
	}
}

// A server that breaks off before the first event has given no answer.
func TestAStreamThatBreaksBeforeItsFirstEvent(t *testing.T) {
	for name, broke := range map[string]func(a *arrival) bool{
		"closed":         func(a *arrival) bool { return false },
		"after its head": func(a *arrival) bool { a.stream("s"); return false },
		"in its event":   func(a *arrival) bool { a.stream("s"); a.send("20\r\nid: 1\n"); return false },
	} {
		for path, status := range map[string]int{"/stream/x": 502, "/quick-once/x": 502, "/resume/x": 200, "/quick/x": 200} {
			t.Run(name+path, func(t *testing.T) {
				w := newWorld(t, 2, func(a *arrival, n int) bool {
					if n == 0 {
						return broke(a)
					}
					return a.stream("second") && a.events(1, 3) && a.ended()
				})
				w.update(w.doc(quickRoutes))
				resp, body := w.ask(post(path, "", "q"))
				require.Equal(t, status, resp.StatusCode)
				if status == 200 {
					require.Equal(t, events(1, 3), body)
					require.Equal(t, "second", resp.Header.Get(hSeal))
				} else {
					require.EqualValues(t, 1, w.n.Load())
				}
			})
		}
	}
}

func TestAStreamGoesOnTwice(t *testing.T) {
	w := newWorld(t, 3, func(a *arrival, n int) bool {
		if n < 2 {
			return a.stream(fmt.Sprint("seal", n)) && a.events(3*n+1, 3*n+3) && false
		}
		return a.stream("last") && a.events(7, 8) && a.ended()
	})
	resp, body := w.ask(post("/resume/x", "", "q"))
	require.Equal(t, events(1, 8), body)
	require.Equal(t, "seal0", resp.Header.Get(hSeal))
}

func TestAttemptsOfAStreamEnd(t *testing.T) {
	w := newWorld(t, 6, func(a *arrival, n int) bool { return a.stream("s") && a.events(n+1, n+1) && false })
	c := w.dial()
	c.send(post("/resume/x", "", "q"))
	_, body, err := c.answer()
	require.Error(t, err)
	require.Equal(t, events(1, 3), body)
	require.EqualValues(t, 3, w.n.Load())
}

// Where the server that is to go on does not, the answer breaks off or goes on at a third; nothing
// of a failure gets into the stream.
func TestAStreamDoesNotGoOn(t *testing.T) {
	for name, second := range map[string]func(a *arrival) bool{
		"full":         func(a *arrival) bool { return a.answer(503, hNotRun+": 1\r\n", "full") },
		"failed":       func(a *arrival) bool { return a.answer(500, "", "failed") },
		"not found":    func(a *arrival) bool { return a.answer(404, "", "nothing") },
		"no seal":      func(a *arrival) bool { return a.answer(200, "", events(3, 4)) },
		"from 1 again": func(a *arrival) bool { return a.stream("s") && a.events(1, 4) && a.ended() },
		"closed":       func(a *arrival) bool { return false },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2, func(a *arrival, n int) bool {
				if n == 0 {
					return a.stream("s") && a.events(1, 2) && false
				}
				return second(a)
			})
			c := w.dial()
			c.send(post("/resume/x", "", "q"))
			_, body, err := c.answer()
			require.Error(t, err)
			require.Equal(t, events(1, 2), body)

			w = newWorld(t, 3, func(a *arrival, n int) bool {
				switch n {
				case 0:
					return a.stream("s") && a.events(1, 2) && false
				case 1:
					return second(a)
				}
				return a.stream("s") && a.events(3, 4) && a.ended()
			})
			_, body = w.ask(post("/resume/x", "", "q"))
			require.Equal(t, events(1, 4), body)
		})
	}
}

// Whatever servers do to a stream, what the client gets is a beginning of it in whole events, and
// looks complete only where it is.
func TestStreamsUnderAnyTrouble(t *testing.T) {
	const last = 12
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		path := []string{"/stream/x", "/quick-once/x", "/resume/x", "/quick/x"}[rng.IntN(4)]
		var mu sync.Mutex // of rng and said
		said := ""
		w := newWorld(t, 3, func(a *arrival, _ int) bool {
			mu.Lock()
			defer mu.Unlock()
			from := 1
			if _, err := fmt.Sscan(a.header.Get(hLast), &from); err == nil {
				from++
			}
			upTo := from - 1 + rng.IntN(last-from+2)
			trouble := rng.IntN(11)
			said += fmt.Sprintf("%d to %d, trouble %d; ", from, upTo, trouble)
			if trouble == 0 {
				return a.answer(503, hNotRun+": 1\r\n", "full")
			}
			a.stream(fmt.Sprint("from ", from))
			all := events(from, upTo)
			for size := 1 + rng.IntN(120); len(all) > 0; {
				n := min(size, len(all))
				a.chunk(all[:n])
				all = all[n:]
			}
			if upTo == 0 && trouble > 5 && trouble < 8 {
				trouble = 2 // the first event may have any id
			}
			switch trouble {
			case 1:
				return a.reset()
			case 2:
				return false
			case 3:
				a.chunk(piece(upTo + 1)[:7])
				return false
			case 4:
				a.send("40\r\n%s", piece(upTo + 1)[:7])
				return false
			case 5:
				a.send("0\r\n")
				return false
			case 6:
				return a.chunk(piece(upTo)) && a.ended()
			case 7:
				return a.chunk(piece(upTo+2)) && a.ended()
			case 8:
				return a.send("HTTP/1.1 200 OK\r\n\r\n")
			}
			return a.events(upTo+1, last) && a.ended() && a.send("%s", []string{"", "\r\n", "HTTP/1.1 200 OK\r\n"}[rng.IntN(3)])
		}, func(s *settings.Settings) {
			if rng.IntN(4) == 0 {
				s.Bounds.RetryRatio, s.Bounds.RetrySlack = 0, 0
			}
		})
		w.update(w.doc(quickRoutes))
		c := w.dial()
		c.send(post(path, "", "q"))
		resp, body, err := c.answer()
		mu.Lock()
		told := fmt.Sprintf("seed %d, %s: %s-> %d %q %v", seed, path, said, resp.StatusCode, body, err)
		mu.Unlock()
		switch {
		case resp.StatusCode == 502 || resp.StatusCode == 503:
			require.NoError(t, err, told)
			require.Empty(t, resp.Header.Get(hSeal), told)
			if resp.StatusCode == 503 {
				require.Equal(t, strings.Count(told, "trouble"), strings.Count(told, "trouble 0"), told) // none has run
			}
			continue
		case err == nil:
			require.Equal(t, events(1, last), body, told)
		default:
			require.Less(t, len(body), len(events(1, last))+1, told)
			require.Equal(t, events(1, strings.Count(body, "\n\n")), body, told)
		}
		require.Equal(t, 200, resp.StatusCode, told)
		require.Equal(t, "from 1", resp.Header.Get(hSeal), told)
		if path == "/stream/x" || path == "/quick-once/x" {
			require.LessOrEqual(t, strings.Count(told, "trouble")-strings.Count(told, "trouble 0"), 1, told)
		}
		w.close()
	}
}

// A client may itself take up a stream that was cut.
func TestAClientTakesAStreamUp(t *testing.T) {
	w := newWorld(t, 2, func(a *arrival, n int) bool {
		if n == 0 {
			return a.stream("a") && a.events(5, 6) && false
		}
		return a.stream("b") && a.events(7, 8) && a.ended()
	})
	_, body := w.ask(post("/resume/x", hLast+": 4\r\n", "q"))
	require.Equal(t, events(5, 8), body)
	require.Equal(t, "4", w.next().header.Get(hLast))
	require.Equal(t, []string{"6"}, w.next().header[hLast])
}

// A server that is silent over a stream is left for another, where there may be one.
func TestASilentServerIsLeftForAnother(t *testing.T) {
	for _, begun := range []bool{false, true} {
		w := newWorld(t, 2, func(a *arrival, n int) bool {
			if n == 0 {
				if begun {
					a.stream("s")
					a.events(1, 2)
				}
				a.gone(t)
				return false
			}
			var last int
			fmt.Sscan(a.header.Get(hLast), &last)
			return a.stream("s") && a.events(last+1, 4) && a.ended()
		})
		w.update(w.doc(quickRoutes))
		begin := time.Now()
		_, body := w.ask(post("/quick/x", "", "q"))
		require.Equal(t, events(1, 4), body)
		require.Less(t, time.Since(begin), 5*time.Second)
	}
}

// Silence is no reason to break an answer off where no other server may go on with it.
func TestASilentServerIsWaitedForWithoutBudget(t *testing.T) {
	w := newWorld(t, 2, func(a *arrival, n int) bool {
		a.stream("s")
		a.events(1, 2)
		return a.await(1200*time.Millisecond) && a.events(3, 4) && a.ended()
	}, func(s *settings.Settings) { s.Bounds.RetryRatio, s.Bounds.RetrySlack = 0, 0 })
	w.update(w.doc(quickRoutes))
	_, body := w.ask(post("/quick/x", "", "q"))
	require.Equal(t, events(1, 4), body)
	require.EqualValues(t, 1, w.n.Load())
}

// A client that does not read holds up its own stream, and nothing else.
func TestAClientThatDoesNotRead(t *testing.T) {
	blocked := make(chan bool)
	w := newWorld(t, 1, func(a *arrival, n int) bool {
		if !strings.Contains(a.line, "/stream/") {
			return a.serve()
		}
		a.stream("s")
		data := strings.Repeat("x", 64<<10)
		for i := 1; ; i++ {
			_ = a.conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			if !a.chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)) {
				break
			}
		}
		blocked <- true
		a.gone(t)
		return false
	})
	c := w.dial()
	require.NoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(4<<10))
	c.send(post("/stream/x", "", "q"))
	a := w.next()
	<-blocked // the server is held up in turn: nothing is hoarded between
	for range 10 {
		resp, _ := w.ask(post("/once/x", "", "q"))
		require.Equal(t, 200, resp.StatusCode)
	}
	w.update(w.doc(""))
	require.NotEmpty(t, w.door.Servers())
	c.Close()
	_ = a
}
