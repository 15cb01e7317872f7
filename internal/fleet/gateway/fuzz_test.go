package gateway

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/http1"
)

// connReading returns a connection on which a server sends the bytes of r and then closes.
func connReading(r io.Reader) *conn { return newConn(readConn{r: r}, "i-0") }

type readConn struct {
	net.Conn // nil: only Read is called
	r        io.Reader
}

func (c readConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// readOneResponse reads one response, and what follows it.
func readOneResponse(r io.Reader, method string) (resp *http.Response, body, rest []byte, err error) {
	conn := connReading(r)
	if resp, err = http1.ReadResponseHead(conn.reader); err != nil {
		return nil, nil, nil, err
	}
	if body, err = readBoundedBody(conn, resp, method); err != nil {
		return nil, nil, nil, err
	}
	rest, err = io.ReadAll(conn.reader)
	return resp, body, rest, err
}

// FuzzResponse reads arbitrary bytes as a response. It checks that the result does not depend on how the bytes
// are divided into reads, that only what follows the response is left unread, and that a truncated response
// is never taken for complete unless it is close-delimited.
func FuzzResponse(f *testing.F) {
	for _, response := range scriptedResponses {
		f.Add([]byte(response.text+"HTTP/1.1 "), false)
	}
	f.Add([]byte("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n00\r\nA: b\r\n\r\nrest"), false)
	f.Add([]byte("HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\n"), true)
	f.Add([]byte("HTTP/1.0 200 X\nContent-Length: 3\n\nabc"), false)
	f.Add([]byte("HTTP/1.1 204 X\r\n\r\nrest"), false)
	f.Fuzz(func(t *testing.T, text []byte, isHead bool) {
		method := http.MethodPost
		if isHead {
			method = http.MethodHead
		}
		resp, body, rest, err := readOneResponse(bytes.NewReader(text), method)
		slow, slowBody, slowRest, slowErr := readOneResponse(iotest.OneByteReader(bytes.NewReader(text)), method)
		require.Equal(t, err == nil, slowErr == nil, "%v, byte by byte %v", err, slowErr)
		if err != nil {
			return
		}
		require.Equal(t, resp.StatusCode, slow.StatusCode)
		require.Equal(t, resp.Header, slow.Header)
		require.True(t, bytes.Equal(body, slowBody))
		require.True(t, bytes.Equal(rest, slowRest))
		require.GreaterOrEqual(t, resp.StatusCode, 200)
		require.LessOrEqual(t, len(body), maxFailureBodyBytes)
		require.True(t, bytes.HasSuffix(text, rest))
		if isCloseDelimited(resp, method) {
			require.Empty(t, rest)
			require.True(t, bytes.HasSuffix(text, body))
			return
		}
		response := text[:len(text)-len(rest)]
		for _, cut := range []int{1, 2, 5, len(response) / 2} {
			if cut == 0 || cut > len(response) {
				continue
			}
			_, _, _, err := readOneResponse(bytes.NewReader(response[:len(response)-cut]), method)
			require.Error(t, err, "a truncated response looks complete")
		}
		if len(resp.TransferEncoding) == 0 && !hasNoBody(resp, method) {
			require.EqualValues(t, resp.ContentLength, len(body))
			require.True(t, bytes.HasSuffix(response, body))
		}
	})
}

// FuzzResetResponse reads arbitrary bytes as a response whose connection is reset, and checks that a
// close-delimited response is never taken for complete.
func FuzzResetResponse(f *testing.F) {
	for _, response := range scriptedResponses {
		f.Add([]byte(response.text))
	}
	resetErr := errors.New("connection reset")
	f.Fuzz(func(t *testing.T, text []byte) {
		conn := connReading(io.MultiReader(bytes.NewReader(text), iotest.ErrReader(resetErr)))
		resp, err := http1.ReadResponseHead(conn.reader)
		if err != nil {
			return
		}
		_, err = readBoundedBody(conn, resp, http.MethodPost)
		if isCloseDelimited(resp, http.MethodPost) {
			require.Error(t, err)
		}
	})
}

// FuzzEvents has an eventSequence accept arbitrary bytes, at once and cut into two parts. It checks that both
// accept the same events: only complete events, and none of another version of the weights where another
// server takes over.
func FuzzEvents(f *testing.F) {
	f.Add(eventTexts(3, 5), 7, int64(3), true)
	f.Add(versionChange("4", 3)+eventText(4), 20, int64(3), true)
	f.Add(versionChange("3", 3)+eventText(5), 0, int64(3), true)
	f.Add("data: x\n\nid: 7\n\n", 3, int64(0), false)
	f.Add("versions:\nid: 1\n\n\n\n", 3, int64(0), true)
	f.Fuzz(func(t *testing.T, text string, cut int, nextID int64, resuming bool) {
		start := eventSequence{version: "3", resuming: resuming, nextID: nextID}
		once := start
		all, valid := once.accept([]byte(text))
		require.LessOrEqual(t, all.bytes, len(text))
		accepted := text[:all.bytes]
		require.True(t, accepted == "" || strings.HasSuffix(accepted, "\n\n"))
		first, _, _ := strings.Cut(accepted, "\n\n")
		if version, ok := eventVersion([]byte(first + "\n\n")); ok && resuming && accepted != "" {
			require.Equal(t, "3", version)
		}
		cut = min(max(cut, 0), len(text))
		twice := start
		firstAccepted, firstValid := twice.accept([]byte(text[:cut]))
		if !firstValid {
			require.Equal(t, all, firstAccepted)
			require.False(t, valid)
			return
		}
		secondAccepted, secondValid := twice.accept([]byte(text[firstAccepted.bytes:]))
		require.Equal(t, all.bytes, firstAccepted.bytes+secondAccepted.bytes)
		require.Equal(t, all.events, firstAccepted.events+secondAccepted.events)
		require.Equal(t, valid, secondValid)
		require.Equal(t, once, twice)
	})
}
