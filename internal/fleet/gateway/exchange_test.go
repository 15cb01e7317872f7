package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// exchangeAttemptID is the id of the request that is played.
const exchangeAttemptID = "a1"

// exchangeBody is its body.
const exchangeBody = "qu"

// scriptedResponse is an answer of a server, and what the server made of the request.
type scriptedResponse struct {
	text           string
	status         int
	body           string
	executed       bool
	closeDelimited bool // with the connection
}

// lengthDelimitedResponse is an answer with a length.
func lengthDelimitedResponse(status int, ran bool, fields, body string) scriptedResponse {
	return scriptedResponse{status: status, body: body, executed: ran,
		text: fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headerAttemptID, exchangeAttemptID, fields, len(body), body)}
}

// framedResponse is a success whose body has another framing.
func framedResponse(fields, framed, body string, ends bool) scriptedResponse {
	return scriptedResponse{status: 200, body: body, executed: true, closeDelimited: ends,
		text: fmt.Sprintf("HTTP/1.1 200 X\r\n%s: %s\r\n%s%s\r\n%s", headerAttemptID, exchangeAttemptID, sealField, fields, framed)}
}

// chunkedCodingOf frames pieces as a chunked body.
func chunkedCodingOf(pieces ...string) string {
	out := ""
	for _, p := range pieces {
		out += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
	}
	return out + "0\r\n\r\n"
}

var scriptedResponses = map[string]scriptedResponse{
	"success":        lengthDelimitedResponse(200, true, sealField, "body"),
	"chunked":        framedResponse("Transfer-Encoding: chunked\r\n", chunkedCodingOf("bo", "dy"), "body", false),
	"without length": framedResponse("", "body", "body", true),
	"failed":         lengthDelimitedResponse(500, true, sealField, "failed"),
	"late":           lengthDelimitedResponse(504, true, "", "late"),
	"not found":      lengthDelimitedResponse(404, true, "", "nothing"),
	"full":           lengthDelimitedResponse(503, false, headerNotRun+": 1\r\n", "full"),
	"too many":       lengthDelimitedResponse(429, false, headerNotRun+": 1\r\n", ""),
	"another":        lengthDelimitedResponse(421, false, "", ""),
	"503 that ran":   lengthDelimitedResponse(503, true, "", "busy"),
	"429 that ran":   lengthDelimitedResponse(429, true, "", "busy"),
	"408 that ran":   lengthDelimitedResponse(408, true, "", "busy"),
}

// fakeConn is a server's connection in memory. The server reads so many bytes of what is written,
// answers with so many bytes of its answer, and ends the connection.
type fakeConn struct {
	net.Conn    // nil: what is not played is not called
	exchange    *exchange
	written     bytes.Buffer
	response    *bytes.Reader
	writeFailed bool // a write failed
}

// exchange is what a door does with its servers, of which the first to be written to is in trouble.
type exchange struct {
	first             scriptedResponse
	others            func(request string) scriptedResponse
	requestBytesRead  int         // bytes of the request that the first server reads
	responseBytesSent int         // bytes of the answer that it sends
	endErr            error       // io.EOF: it closes the connection
	writeFails        bool        // the write fails where the server stops reading
	conns             []*fakeConn // in the order in which they were written to
}

func (c *fakeConn) isFirst() bool { return c.exchange.conns[0] == c }

// headRead tells whether the server has read the whole head: from then on it may run the request.
func (c *fakeConn) headRead() bool {
	got := c.written.Bytes()
	if c.isFirst() {
		got = got[:min(len(got), c.exchange.requestBytesRead)]
	}
	return bytes.Contains(got, []byte("\r\n\r\n"))
}

// executed tells whether the server has run the request.
func (c *fakeConn) executed() bool {
	if c.isFirst() {
		return c.headRead() && c.exchange.first.executed
	}
	return c.headRead() && c.exchange.others(c.written.String()).executed
}

func (c *fakeConn) Write(p []byte) (int, error) {
	exchange := c.exchange
	if c.written.Len() == 0 {
		exchange.conns = append(exchange.conns, c)
	}
	n := len(p)
	var err error
	if c.isFirst() && exchange.writeFails && c.written.Len()+n > exchange.requestBytesRead {
		n = max(exchange.requestBytesRead-c.written.Len(), 0)
		err = syscall.ECONNRESET
		c.writeFailed = true
	}
	c.written.Write(p[:n])
	return n, err
}

func (c *fakeConn) Read(p []byte) (int, error) {
	exchange := c.exchange
	if c.response == nil {
		text := ""
		switch {
		case !c.headRead():
		case c.isFirst():
			text = exchange.first.text[:exchange.responseBytesSent]
		default:
			text = exchange.others(c.written.String()).text
		}
		c.response = bytes.NewReader([]byte(text))
	}
	if c.response.Len() > 0 {
		return c.response.Read(p)
	}
	return 0, exchange.endErr
}

func (c *fakeConn) Close() error                     { return nil }
func (c *fakeConn) SetDeadline(time.Time) error      { return nil }
func (c *fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }

// recorder is a client that takes what it is sent.
type recorder struct{ *httptest.ResponseRecorder }

func (recorder) SetWriteDeadline(time.Time) error { return nil }

// exchangeDocument is the routes of the tests, read once.
var exchangeDocument = sync.OnceValues(func() (*config.Document, error) { return config.Parse(fmt.Appendf(nil, testConfig, 1, "")) })

// play sends a request through a door to the servers of an exchange. aborted tells that the answer
// was broken off: the client sees that it is not whole.
func (x *exchange) play(t *testing.T, path string) (resp *httptest.ResponseRecorder, aborted bool) {
	nodeSettings := &settings.Settings{Name: "a", Zone: "z", IP: "127.0.0.1"}
	nodeSettings.Limits.MemoryMB, nodeSettings.Limits.FDs = 256, 1024
	nodeSettings.Bounds.RetryRatio, nodeSettings.Bounds.RetryWindowS, nodeSettings.Bounds.RetrySlack = 1000, 10, 1000
	d := New(nodeSettings, 1)
	list := &registry.List{Version: 1, ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
	for i := range 2 {
		in := &registry.Instance{ID: fmt.Sprintf("i-%d", i), Service: "s", Addr: "127.0.0.1:1", Zone: "z", Slots: 64, Seq: 1}
		list.ByID[in.ID] = in
		list.ByService["s"] = append(list.ByService["s"], in)
	}
	document, err := exchangeDocument()
	require.NoError(t, err)
	d.Update(&relay.Snapshot{ConfigSeq: 1, Config: document, Servers: list, Agents: 1, Synced: true})
	for id := range list.ByID {
		d.pool.open++
		d.pool.put(newConn(&fakeConn{exchange: x}, id))
	}
	req := httptest.NewRequest("POST", path, strings.NewReader(exchangeBody))
	req.Host = "h.example"
	req.Header.Set(headerAttemptID, exchangeAttemptID)
	resp = httptest.NewRecorder()
	func() {
		defer func() {
			if r := recover(); r != nil {
				require.Equal(t, http.ErrAbortHandler, r)
				aborted = true
			}
		}()
		d.ServeHTTP(recorder{resp}, req)
	}()
	return resp, aborted
}

// executions is how many servers have run the request.
func (x *exchange) executions() (n int) {
	for _, c := range x.conns {
		if c.executed() {
			n++
		}
	}
	return n
}

// sentComplete tells whether the first server has sent its whole answer, and which body that has. One
// without length ends where the server closes its connection: nothing else can tell its end.
func (x *exchange) sentComplete() (whole bool, body string) {
	if !x.first.closeDelimited {
		return x.responseBytesSent == len(x.first.text), x.first.body
	}
	_, body, head := strings.Cut(x.first.text[:x.responseBytesSent], "\r\n\r\n")
	return head && x.endErr == io.EOF && !x.conns[0].writeFailed, body
}

// check holds what a client got against what the servers did.
func (x *exchange) check(t *testing.T, path string, resp *httptest.ResponseRecorder, aborted bool) {
	description := fmt.Sprintf("%s: read %d, answered %d of %d, end %v, write fails %v: %d %q, aborted %v, %d servers, %d ran",
		path, x.requestBytesRead, x.responseBytesSent, len(x.first.text), x.endErr, x.writeFails, resp.Code, resp.Body, aborted, len(x.conns), x.executions())
	idempotent := strings.HasPrefix(path, "/safe/") || strings.HasPrefix(path, "/resume/")
	if !idempotent {
		require.LessOrEqual(t, x.executions(), 1, description)
	}
	if x.writeFails && !x.conns[0].headRead() {
		require.Len(t, x.conns, 2, "half a head proves that it has not run: %s", description)
	}
	whole, body := x.sentComplete()
	if whole && x.conns[0].headRead() && x.first.status == 200 {
		require.Len(t, x.conns, 1, description)
	}
	if aborted {
		return
	}
	switch resp.Code {
	case 200:
		if len(x.conns) == 1 {
			require.True(t, whole, description)
			require.Equal(t, body, resp.Body.String(), description)
			require.Equal(t, 200, x.first.status, description)
		} else {
			require.Equal(t, x.others("").body, resp.Body.String(), description)
		}
		require.NotEmpty(t, resp.Header().Get(headerServerSeal), description)
	case 408, 421, 429, 503:
		require.Zero(t, x.executions(), "a promise that does not hold: %s", description)
	case 502:
		require.Empty(t, resp.Header().Get(headerServerSeal), description)
	default:
		require.Equal(t, x.first.status, resp.Code, description)
		require.Equal(t, x.first.body, resp.Body.String(), description)
		require.True(t, whole, description)
	}
}

// cutAtEachByte plays an exchange for each number of bytes that the first server reads and answers with.
func cutAtEachByte(t *testing.T, path string, answer scriptedResponse, others func(request string) scriptedResponse, check func(exchange *exchange)) {
	probe := &exchange{first: answer, others: others, requestBytesRead: 1 << 20, responseBytesSent: len(answer.text), endErr: io.EOF}
	probe.play(t, path)
	request := probe.conns[0].written.Len()
	head := request - len(exchangeBody)
	for _, end := range []error{io.EOF, syscall.ECONNRESET} {
		for _, tells := range []bool{false, true} {
			for read := range request + 1 {
				if tells && read == request {
					continue // no write fails
				}
				most := 0
				if read >= head {
					most = len(answer.text)
				}
				for answered := range most + 1 {
					check(&exchange{first: answer, others: others, requestBytesRead: read, responseBytesSent: answered, endErr: end, writeFails: tells})
				}
			}
		}
	}
}

// A server ends its connection after each byte of a request and each byte of its answer: a request
// that may run once never runs twice, no answer looks whole that is not, and no promise is broken.
func TestExchangeCutAtEachByte(t *testing.T) {
	others := func(string) scriptedResponse { return lengthDelimitedResponse(200, true, sealField, "another's") }
	for name, answer := range scriptedResponses {
		for _, path := range []string{"/once/x", "/safe/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				cutAtEachByte(t, path, answer, others, func(exchange *exchange) {
					resp, aborted := exchange.play(t, path)
					exchange.check(t, path, resp, aborted)
				})
			})
		}
	}
}

// streamResponse is a stream of events, all of one version.
func streamResponse(from, to int) scriptedResponse {
	var pieces []string
	for i := from; i <= to; i++ {
		pieces = append(pieces, eventText(i))
	}
	return framedResponse(headerVersions+": 3\r\nTransfer-Encoding: chunked\r\n", chunkedCodingOf(pieces...), eventTexts(from, to), false)
}

// The same for streams: the client gets a beginning of the stream in whole events, which looks
// whole only if it is; one that may not be resumed runs once.
func TestStreamCutAtEachByte(t *testing.T) {
	const last = 3
	others := func(request string) scriptedResponse {
		_, after, _ := strings.Cut(request, headerLastEventID+": ")
		from := 0
		_, _ = fmt.Sscan(after, &from) // none: from the start
		return streamResponse(from+1, last)
	}
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			cutAtEachByte(t, path, streamResponse(1, last), others, func(exchange *exchange) {
				resp, aborted := exchange.play(t, path)
				description := fmt.Sprintf("read %d, answered %d of %d, end %v, write fails %v: %d %q, aborted %v, %d servers, %d ran",
					exchange.requestBytesRead, exchange.responseBytesSent, len(exchange.first.text), exchange.endErr, exchange.writeFails, resp.Code, resp.Body, aborted, len(exchange.conns), exchange.executions())
				if path == "/stream/x" {
					require.LessOrEqual(t, exchange.executions(), 1, description)
				}
				got := resp.Body.String()
				switch {
				case aborted:
					require.LessOrEqual(t, len(got), len(eventTexts(1, last)), description) // its end may be what is missing
					require.Equal(t, eventTexts(1, strings.Count(got, "\n\n")), got, description)
				case resp.Code == 200:
					require.Equal(t, eventTexts(1, last), got, description)
				default:
					require.Equal(t, 502, resp.Code, description)
				}
				if path == "/resume/x" {
					require.False(t, aborted, description)
					require.Equal(t, 200, resp.Code, description)
				}
			})
		})
	}
}
