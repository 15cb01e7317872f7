package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// bodyEnd is the last line of each body, lastChunk the last chunk of a stream.
const bodyEnd, lastChunk = "#end\n", "0\r\n"

// BenchmarkRequest sends requests through a gateway from one client to one server. Both do as little as
// possible: they read lines up to the end of a message, and write fixed bytes.
func BenchmarkRequest(b *testing.B) {
	headStart := "HTTP/1.1 200 OK\r\n" + headerAttemptID + ": 9c41d07be2a35f68\r\n" +
		headerServerSeal + ": 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + headerServerLoad + ": 3,0,64\r\nKeep-Alive: timeout=20\r\n"
	for _, c := range []struct {
		name, path string
		writes     []string // the writes by which the server sends the response
	}{
		{"whole", "/once/x", []string{headStart + "Content-Length: 506\r\n\r\n" + strings.Repeat("y", 500) + "\n#end\n"[:6]}},
		{"stream-1", "/resume/x", streamWrites(headStart, 1)},
		{"stream-6", "/resume/x", streamWrites(headStart, 6)},
		{"stream-96", "/resume/x", streamWrites(headStart, 96)},
	} {
		b.Run(c.name, func(b *testing.B) {
			harness := newUnconfiguredHarness(b, 0, nil)
			server := &testServer{listener: listenLoopback(b)}
			harness.addServer(server, "s")
			harness.accept(server, func(_ *testServer, conn net.Conn) { respondFixed(conn, c.writes) })
			harness.update(harness.document(""))
			client := harness.dial()
			request := []byte(benchmarkRequest(c.path))
			end := bodyEnd
			if len(c.writes) > 1 {
				end = lastChunk
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Write(request); err != nil {
					b.Fatal(err)
				}
				if err := readThrough(client.reader, end); err != nil {
					b.Fatal(err)
				}
				if end == lastChunk {
					_, _ = client.reader.Discard(len("\r\n")) // the empty trailer
				}
			}
			client.Close()
		})
	}
}

// respondFixed writes the same bytes for each request on a connection.
func respondFixed(conn net.Conn, writes []string) {
	reader := bufio.NewReader(conn)
	for readThrough(reader, bodyEnd) == nil {
		for _, data := range writes {
			if _, err := io.WriteString(conn, data); err != nil {
				return
			}
		}
	}
}

// BenchmarkFraming reads requests from a connection in memory, with and without a framingConn.
func BenchmarkFraming(b *testing.B) {
	request := []byte(benchmarkRequest("/once/x"))
	for _, c := range []struct {
		name        string
		framingConn bool
	}{{"plain", false}, {"watched", true}} {
		b.Run(c.name, func(b *testing.B) {
			source := &repeatedConn{data: request}
			var conn net.Conn = source
			if c.framingConn {
				conn = newFramingConn(source, new(atomic.Int64))
			}
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			b.SetBytes(int64(len(request)))
			for b.Loop() {
				req, err := http.ReadRequest(reader)
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

// repeatedConn is a connection on which one request arrives again and again.
type repeatedConn struct {
	net.Conn
	data   []byte
	offset int
}

func (c *repeatedConn) Read(p []byte) (int, error) {
	n := copy(p, c.data[c.offset:])
	c.offset = (c.offset + n) % len(c.data)
	return n, nil
}

func benchmarkRequest(path string) string {
	fields := headerModel + ": m\r\n" + headerTokenCount + ": 1460,80\r\n" + headerPromptPrefix + ": 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n" + headerDeadline + ": 20000\r\n"
	body := strings.Repeat("x", 1000) + "\n#end\n"
	return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + headerAttemptID + ": 9c41d07be2a35f68\r\n" + fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// streamWrites returns the writes of a stream with the given number of events.
func streamWrites(headStart string, events int) []string {
	writes := []string{headStart + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"}
	for i := 1; i <= events; i++ {
		event := eventText(i)
		writes = append(writes, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
	}
	return append(writes, "0\r\n\r\n")
}

// readThrough reads lines up to and including the given one.
func readThrough(reader *bufio.Reader, end string) error {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if bytes.Equal(line, []byte(end)) {
			return nil
		}
	}
}
