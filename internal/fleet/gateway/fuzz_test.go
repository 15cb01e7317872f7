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

// connReading is a connection on which a server sends the given bytes and closes.
func connReading(r io.Reader) *conn { return newConn(readConn{r: r}, "i-0") }

type readConn struct {
	net.Conn // nil: nothing but reads is played
	r        io.Reader
}

func (c readConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// readOneResponse reads one answer off a connection, and what stands behind it.
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

// FuzzResponse reads any bytes as an answer: the same comes of them however they are cut into reads;
// nothing but what stands behind the answer is left; and a beginning of an answer that tells its
// length is never a whole one.
func FuzzResponse(f *testing.F) {
	for _, a := range scriptedResponses {
		f.Add([]byte(a.text+"HTTP/1.1 "), false)
	}
	f.Add([]byte("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n00\r\nA: b\r\n\r\nrest"), false)
	f.Add([]byte("HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\n"), true)
	f.Add([]byte("HTTP/1.0 200 X\nContent-Length: 3\n\nabc"), false)
	f.Add([]byte("HTTP/1.1 204 X\r\n\r\nrest"), false)
	f.Fuzz(func(t *testing.T, text []byte, bare bool) {
		method := http.MethodPost
		if bare {
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
		answer := text[:len(text)-len(rest)]
		for _, cut := range []int{1, 2, 5, len(answer) / 2} {
			if cut == 0 || cut > len(answer) {
				continue
			}
			_, _, _, err := readOneResponse(bytes.NewReader(answer[:len(answer)-cut]), method)
			require.Error(t, err, "a beginning of an answer looks whole")
		}
		if len(resp.TransferEncoding) == 0 && !hasNoBody(resp, method) {
			require.EqualValues(t, resp.ContentLength, len(body))
			require.True(t, bytes.HasSuffix(answer, body))
		}
	})
}

// FuzzResetResponse reads any bytes as an answer whose connection is reset: one without length is never whole.
func FuzzResetResponse(f *testing.F) {
	for _, a := range scriptedResponses {
		f.Add([]byte(a.text))
	}
	broke := errors.New("connection reset")
	f.Fuzz(func(t *testing.T, text []byte) {
		conn := connReading(io.MultiReader(bytes.NewReader(text), iotest.ErrReader(broke)))
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

// FuzzEvents has any bytes come as events, in two pieces cut anywhere: the same events are taken as
// at once, only whole ones, with ids that follow on each other, and none of another version where
// the stream goes on at another server.
func FuzzEvents(f *testing.F) {
	f.Add(eventTexts(3, 5), 7, int64(3), true)
	f.Add(versionChange("4", 3)+eventText(4), 20, int64(3), true)
	f.Add(versionChange("3", 3)+eventText(5), 0, int64(3), true)
	f.Add("data: x\n\nid: 7\n\n", 3, int64(0), false)
	f.Add("versions:\nid: 1\n\n\n\n", 3, int64(0), true)
	f.Fuzz(func(t *testing.T, text string, cut int, next int64, joining bool) {
		start := func() *clientResponse { return &clientResponse{version: "3", resuming: joining, nextEventID: next} }
		once := start()
		whole, n, bad := once.acceptEvents([]byte(text))
		require.LessOrEqual(t, whole, len(text))
		taken := text[:whole]
		require.True(t, taken == "" || strings.HasSuffix(taken, "\n\n"))
		first, _, _ := strings.Cut(taken, "\n\n")
		if v, told := eventVersion([]byte(first + "\n\n")); told && joining && taken != "" {
			require.Equal(t, "3", v)
		}
		cut = min(max(cut, 0), len(text))
		twice := start()
		whole1, n1, bad1 := twice.acceptEvents([]byte(text[:cut]))
		if bad1 {
			require.Equal(t, whole, whole1)
			require.True(t, bad)
			return
		}
		whole2, n2, bad2 := twice.acceptEvents([]byte(text[whole1:]))
		require.Equal(t, whole, whole1+whole2)
		require.Equal(t, n, n1+n2)
		require.Equal(t, bad, bad2)
		require.Equal(t, once, twice)
	})
}
