package gateway

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

	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

// longBody is more than the buffers of a connection hold whose reader takes nothing.
const longBody = 8 << 20

// longDoc is the routes of the tests with room for long bodies.
func (w *world) longDoc(more string) *config.Doc {
	w.revision++
	text := strings.Replace(testConf, `"body-bytes":65536`, fmt.Sprintf(`"body-bytes":%d`, longBody), 1)
	doc, err := config.Parse(fmt.Appendf(nil, text, w.revision, more))
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
	w.update(w.longDoc(""))
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

// A server may answer before it has read the body, and read on later: what it reads there is a part
// of that body and nothing else, and neither the answer nor another request waits for that.
func TestAnAnswerBeforeTheBodyIsRead(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), longBody/16)
	for _, size := range []int{100 << 10, 1 << 20, longBody} {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resume/x"} {
			t.Run(fmt.Sprint(path, size), func(t *testing.T) {
				answered := make(chan bool)
				rest := make(chan string, 1)
				w := uploads(t, 1, func(u *uploaded) {
					if u.length < size {
						_, _ = u.read(u.length)
						u.answer(200, sealed, "small")
						return
					}
					u.answer(200, sealed, events(1, 2))
					select {
					case <-answered:
					case <-t.Context().Done():
					}
					all, err := u.read(u.length)
					if err != nil {
						u.Close()
					}
					rest <- all
				})
				begun := time.Now()
				resp, answer := w.ask(post(path, "", string(body[:size])))
				require.Less(t, time.Since(begun), userTimeout, "the answer is held up by the body")
				require.Equal(t, 200, resp.StatusCode)
				require.Equal(t, events(1, 2), answer)
				if size >= 1<<20 { // more than a server's side takes unread
					_, answer = w.ask(post("/once/x", "", "q"))
					require.Equal(t, "small", answer)
				}
				close(answered)
				got := <-rest
				require.True(t, strings.HasPrefix(string(body[:size]), got), "other bytes than the body's")
				_, answer = w.ask(post("/once/x", "", "q"))
				require.Equal(t, "small", answer)
			})
		}
	}
}

// A server that is still to take a body is not silent: a request that another server could be sent
// stays with it.
func TestAServerThatIsSlowToTakeABody(t *testing.T) {
	w := uploads(t, 2, func(u *uploaded) {
		select {
		case <-time.After(leastWait + 400*time.Millisecond): // over the patience of the route
		case <-t.Context().Done():
		}
		_, _ = u.read(u.length)
		u.answer(200, sealed, events(1, 1))
	})
	w.update(w.longDoc(quickRoutes))
	resp, body := w.ask(post("/quick/x", "", strings.Repeat("x", longBody)))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, events(1, 1), body)
	require.EqualValues(t, 1, w.arrived())
}

// A long body is delivered once the server's side has it all, and not while it waits to be taken.
func TestDelivered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	for _, size := range []int{0, bodyWithHead, bodyWithHead + 1, longBody} {
		nc, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		peer, err := ln.Accept()
		require.NoError(t, err)
		cn := newConn(nc, "i-0")
		require.NoError(t, cn.send([]byte("head"), make([]byte, size)))
		if size == longBody {
			require.False(t, cn.delivered())
		}
		_, err = io.CopyN(io.Discard, peer, int64(len("head")+size))
		require.NoError(t, err)
		cn.upload.wait()
		require.Eventually(t, cn.delivered, patience, time.Millisecond)
		nc.Close()
		peer.Close()
	}
}

// A long body that was cut was not delivered, whatever is still to be sent.
func TestACutBodyIsNotDelivered(t *testing.T) {
	cn := newConn(&fakeConn{exchange: &exchange{read: 10, tells: true}}, "i-0")
	require.NoError(t, cn.send([]byte("head"), make([]byte, 10)), "the head has left")
	require.False(t, cn.delivered())
	cn = newConn(&fakeConn{exchange: &exchange{read: 4 + bodyWithHead, tells: true}}, "i-0")
	require.NoError(t, cn.send([]byte("head"), make([]byte, longBody)))
	cn.upload.wait()
	require.False(t, cn.delivered())
	cn = newConn(&fakeConn{exchange: &exchange{read: 3, tells: true}}, "i-0")
	require.Error(t, cn.send([]byte("head"), nil), "the head has not left")
}
