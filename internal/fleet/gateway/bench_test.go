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

	"github.com/stretchr/testify/require"
)

// The benchmarks pass requests through a door from one client to one server, whose own part is
// kept as small as it gets: they read lines until one that ends a message, and write fixed bytes.
func BenchmarkRequest(b *testing.B) {
	first := "HTTP/1.1 200 OK\r\n" + hID + ": 9c41d07be2a35f68\r\n" + hSeal + ": 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + hLoad + ": 3,0,64\r\nKeep-Alive: timeout=20\r\n"
	for _, c := range []struct {
		name, path string
		answer     []string
	}{
		{"whole", "/once/x", []string{first + "Content-Length: 506\r\n\r\n" + strings.Repeat("y", 500) + "\n#end\n"[:6]}},
		{"stream-1", "/resume/x", pieces(first, 1)},
		{"stream-6", "/resume/x", pieces(first, 6)},
		{"stream-96", "/resume/x", pieces(first, 96)},
	} {
		b.Run(c.name, func(b *testing.B) {
			w := prepare(b, 0, nil)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			go func() {
				for {
					nc, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						defer nc.Close()
						br := bufio.NewReader(nc)
						for readTo(br, "#end\n") == nil {
							for _, piece := range c.answer {
								if _, err := io.WriteString(nc, piece); err != nil {
									return
								}
							}
						}
					}()
				}
			}()
			s := &server{ln: ln}
			w.add(s, "s")
			w.update(w.doc(""))
			cl := w.dial()
			request := []byte(benchRequest(c.path))
			end := "#end\n"
			if len(c.answer) > 1 {
				end = "0\r\n"
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := cl.Write(request); err != nil {
					b.Fatal(err)
				}
				if err := readTo(cl.br, end); err != nil {
					b.Fatal(err)
				}
				if end == "0\r\n" {
					_, _ = cl.br.Discard(2)
				}
			}
			cl.Close()
		})
	}
}

// BenchmarkFraming reads the head of a request and its body from a connection in memory, as it is
// and with its framing watched.
func BenchmarkFraming(b *testing.B) {
	request := []byte(benchRequest("/once/x"))
	for _, c := range []struct {
		name    string
		watched bool
	}{{"plain", false}, {"watched", true}} {
		b.Run(c.name, func(b *testing.B) {
			source := &repeatedConn{data: request}
			var conn net.Conn = source
			if c.watched {
				conn = &framingConn{Conn: source}
			}
			br := bufio.NewReader(conn)
			b.ReportAllocs()
			b.SetBytes(int64(len(request)))
			for b.Loop() {
				req, err := http.ReadRequest(br)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// repeatedConn brings one request again and again.
type repeatedConn struct {
	net.Conn
	data []byte
	at   int
}

func (c *repeatedConn) Read(p []byte) (int, error) {
	n := copy(p, c.data[c.at:])
	c.at = (c.at + n) % len(c.data)
	return n, nil
}

func benchRequest(path string) string {
	fields := hModel + ": m\r\n" + hTokens + ": 1460,80\r\n" + hPrefix + ": 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n" + hDeadline + ": 20000\r\n"
	body := strings.Repeat("x", 1000) + "\n#end\n"
	return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + hID + ": 9c41d07be2a35f68\r\n" + fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

func pieces(first string, n int) []string {
	out := []string{first + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"}
	for i := 1; i <= n; i++ {
		e := piece(i)
		out = append(out, fmt.Sprintf("%x\r\n%s\r\n", len(e), e))
	}
	return append(out, "0\r\n\r\n")
}

// readTo reads lines up to the one that is the end.
func readTo(br *bufio.Reader, end string) error {
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if bytes.Equal(line, []byte(end)) {
			return nil
		}
	}
}
