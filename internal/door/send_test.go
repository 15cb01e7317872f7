package door

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/conf"
)

// longBody is more than the buffers of a connection hold whose reader takes nothing.
const longBody = 8 << 20

// longDoc is the routes of the tests with room for long bodies.
func (w *world) longDoc() *conf.Doc {
	w.revision++
	text := strings.Replace(testConf, `"body-bytes":65536`, fmt.Sprintf(`"body-bytes":%d`, longBody), 1)
	doc, err := conf.Parse(fmt.Appendf(nil, text, w.revision, ""))
	require.NoError(w.t, err)
	return doc
}

// uploaded is a request whose body has not been read yet, as a server sees it.
type uploaded struct {
	net.Conn
	br     *bufio.Reader
	server *server
	header http.Header
	length int
	nth    int // request, of all servers
}

func (u *uploaded) send(format string, args ...any) {
	_, _ = fmt.Fprintf(u.Conn, format, args...) // what the door makes of it is checked
}

// answer writes a whole answer to the request.
func (u *uploaded) answer(status int, fields, body string) {
	u.send("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", status, hID, u.header.Get(hID), len(body), fields, body)
}

// read takes so much of the body.
func (u *uploaded) read(n int) (string, error) {
	body := make([]byte, n)
	got, err := io.ReadFull(u.br, body)
	return string(body[:got]), err
}

// reset ends the connection with RST.
func (u *uploaded) reset() {
	_ = u.Conn.(*net.TCPConn).SetLinger(0)
	u.Close()
}

// uploads starts servers that are handed each request once its head has been read, and whose
// connections take little unread.
func uploads(t *testing.T, servers int, handle func(u *uploaded)) *world {
	w := prepare(t, 0, nil)
	for range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		s := &server{ln: ln}
		w.add(s, "s")
		w.wg.Go(func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
				s.conns.Add(1)
				w.hold(c)
				w.wg.Go(func() {
					defer c.Close()
					br := bufio.NewReader(c)
					for {
						req, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						if req.URL.Path == "/health" {
							_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", hInstance, s.in.ID)
							continue
						}
						s.arrived.Add(1)
						handle(&uploaded{Conn: c, br: br, server: s, header: req.Header, length: int(req.ContentLength), nth: int(w.n.Add(1)) - 1})
					}
				})
			}
		})
	}
	w.update(w.longDoc())
	return w
}

// arrived is how many requests reached any server.
func (w *world) arrived() (n int64) {
	for _, s := range w.servers {
		n += s.arrived.Load()
	}
	return n
}

// A server that has the head and a part of the body may have run the request, whether or not the
// rest could be written.
func TestARequestThatWasCutInItsBodyMayHaveRun(t *testing.T) {
	for name, end := range map[string]func(u *uploaded){
		"reset":  func(u *uploaded) { u.reset() },
		"closed": func(u *uploaded) { u.Close() },
	} {
		for _, part := range []int{0, 1, 100 << 10, longBody - 1} {
			t.Run(fmt.Sprintf("%s after %d", name, part), func(t *testing.T) {
				handle := func(u *uploaded) {
					if u.nth == 0 {
						_, _ = u.read(part)
						end(u)
						return
					}
					_, _ = u.read(u.length)
					u.answer(200, sealed, "served")
				}
				body := strings.Repeat("x", longBody)
				w := uploads(t, 2, handle)
				resp, _ := w.ask(post("/once/x", "", body))
				require.Equal(t, 502, resp.StatusCode)
				require.EqualValues(t, 1, w.arrived(), "it must not be sent twice")

				w = uploads(t, 2, handle)
				resp, got := w.ask(post("/safe/x", "", body))
				require.Equal(t, 200, resp.StatusCode)
				require.Equal(t, "served", got)
				require.EqualValues(t, 2, w.arrived())
			})
		}
	}
}

// The word of a server that has not run a request counts also where it did not read its body.
func TestARequestThatWasTurnedAwayInItsBodyGoesOn(t *testing.T) {
	for name, first := range map[string]func(u *uploaded){
		"full":             func(u *uploaded) { u.answer(503, hNotRun+": 1\r\n", "full") },
		"another instance": func(u *uploaded) { u.answer(421, "", "") },
	} {
		for _, part := range []int{0, 100 << 10} {
			t.Run(fmt.Sprintf("%s after %d", name, part), func(t *testing.T) {
				w := uploads(t, 2, func(u *uploaded) {
					_, _ = u.read(part)
					if u.nth == 0 {
						first(u)
						_, _ = io.Copy(io.Discard, u.br) // until the door closes the connection
						return
					}
					_, _ = u.read(u.length - part)
					u.answer(200, sealed, "served")
				})
				resp, got := w.ask(post("/once/x", "", strings.Repeat("x", longBody)))
				require.Equal(t, 200, resp.StatusCode)
				require.Equal(t, "served", got)
			})
		}
	}
}

// A server may answer before it has read the body, and read on later: what it reads there is the
// rest of that body and nothing else.
func TestAnAnswerBeforeTheBodyIsRead(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), longBody/16)
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			got := make(chan bool)
			rest := make(chan string, 1)
			w := uploads(t, 1, func(u *uploaded) {
				if u.length < longBody {
					_, _ = u.read(u.length)
					u.answer(200, sealed, "small")
					return
				}
				u.answer(200, sealed, events(1, 2))
				select {
				case <-got:
				case <-t.Context().Done():
				}
				all, err := u.read(u.length)
				if err != nil {
					u.Close()
				}
				rest <- all
			})
			begun := time.Now()
			resp, answer := w.ask(post(path, "", string(body)))
			require.Less(t, time.Since(begun), 5*time.Second, "the answer is held up by the body")
			require.Equal(t, 200, resp.StatusCode)
			require.Equal(t, events(1, 2), answer)
			_, answer = w.ask(post("/once/x", "", "q")) // not on the connection that the body is due on
			require.Equal(t, "small", answer)
			close(got)
			all := <-rest
			require.True(t, strings.HasPrefix(string(body), all), "other bytes than the body's")
		})
	}
}
