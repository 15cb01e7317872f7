package http1

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// reader returns a reader of the given bytes.
func reader(text string) *bufio.Reader { return bufio.NewReader(strings.NewReader(text)) }

// TestReadResponseHeadStopsAtEmptyLine checks that nothing after a head is read, however its bytes arrive.
func TestReadResponseHeadStopsAtEmptyLine(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-One: a\r\nX-One: b\r\n\r\n"
	for name, source := range map[string]io.Reader{
		"at once":        strings.NewReader(head + "bodyHTTP/1.1 "),
		"byte by byte":   iotest.OneByteReader(strings.NewReader(head + "bodyHTTP/1.1 ")),
		"with the error": iotest.DataErrReader(strings.NewReader(head + "bodyHTTP/1.1 ")),
	} {
		buffered := bufio.NewReader(source)
		resp, err := ReadResponseHead(buffered)
		require.NoError(t, err, name)
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, int64(4), resp.ContentLength)
		assert.Equal(t, []string{"a", "b"}, resp.Header["X-One"])
		rest, err := io.ReadAll(buffered)
		require.NoError(t, err)
		assert.Equal(t, "bodyHTTP/1.1 ", string(rest), name)
	}
	resp, err := ReadResponseHead(reader("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n")) // bare line feeds are accepted
	require.NoError(t, err)
	assert.Equal(t, []string{"chunked"}, resp.TransferEncoding)
	resp, err = ReadResponseHead(reader("HTTP/1.0 204 No Content\r\n\r\n"))
	require.NoError(t, err)
	assert.Equal(t, 204, resp.StatusCode)
}

func TestReadResponseHeadSkipsInterimResponses(t *testing.T) {
	const interim, final = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	resp, err := ReadResponseHead(reader(strings.Repeat(interim, maxInterimResponses/2) + final))
	require.NoError(t, err)
	assert.Equal(t, 200, resp.StatusCode)
	assert.Empty(t, resp.Header.Get("Link"))
	_, err = ReadResponseHead(reader(strings.Repeat(interim, maxInterimResponses/2+1) + final))
	assert.ErrorIs(t, err, ErrMalformed)
	_, err = ReadResponseHead(reader(interim))
	assert.ErrorIs(t, err, io.EOF, "without a final response")
}

// TestReadResponseHeadRejectsMalformed reads heads that are not those of a response or have ambiguous framing.
func TestReadResponseHeadRejectsMalformed(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, head := range map[string]string{
		"noise":                         "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
		"noise that begins as HTTP":     "HTTPS?",
		"another protocol":              "SSH-2.0-x\r\n\r\n",
		"a space first":                 " HTTP/1.1 200 OK\r\n\r\n",
		"a request":                     "GET / HTTP/1.1\r\n\r\n",
		"bytes before the head":         "xHTTP/1.1 200 OK\r\n\r\n",
		"protocol 2":                    "HTTP/2.0 200 OK\r\n\r\n",
		"protocol 11":                   "HTTP/11.1 200 OK\r\n\r\n",
		"no status":                     "HTTP/1.1\r\n\r\n",
		"status in letters":             "HTTP/1.1 two OK\r\n\r\n",
		"status of two digits":          "HTTP/1.1 20 OK\r\n\r\n",
		"status below 100":              "HTTP/1.1 099 No\r\n\r\n",
		"negative status":               "HTTP/1.1 -20 No\r\n\r\n",
		"switching protocols":           "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"two equal lengths":             ok + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
		"two lengths":                   ok + "Content-Length: 5\r\ncontent-length: 6\r\n\r\n",
		"a list of lengths":             ok + "Content-Length: 5, 5\r\n\r\n",
		"a length and chunked":          ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunked twice":                 ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"a list of codings":             ok + "Transfer-Encoding: gzip, chunked\r\n\r\n",
		"an unknown coding":             ok + "Transfer-Encoding: gzip\r\n\r\n",
		"a negative length":             ok + "Content-Length: -1\r\n\r\n",
		"a length with a sign":          ok + "Content-Length: +5\r\n\r\n",
		"a length in hex":               ok + "Content-Length: 0x5\r\n\r\n",
		"a length over 64 bits":         ok + "Content-Length: 99999999999999999999\r\n\r\n",
		"a space before the colon":      ok + "Content-Length : 5\r\n\r\n",
		"a tab before the colon":        ok + "Transfer-Encoding\t: chunked\r\n\r\n",
		"a field without colon":         ok + "Content-Length 5\r\n\r\n",
		"a field without name":          ok + ": 5\r\n\r\n",
		"folded first field":            ok + " Content-Length: 5\r\n\r\n",
		"a bare return in a name":       ok + "X\rContent-Length: 5\r\n\r\n",
		"a zero byte in a name":         ok + "Content\x00-Length: 5\r\n\r\n",
		"a line too long":               ok + "X: " + strings.Repeat("x", MaxHeadBytes) + "\r\n\r\n",
		"too many fields":               ok + strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 17) + "\r\n",
		"an interim response's body":    "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nhi" + ok + "\r\n",
		"malformed after an interim":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"an interim response's lengths": "HTTP/1.1 100 Continue\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n" + ok + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := ReadResponseHead(reader(head))
			assert.ErrorIs(t, err, ErrMalformed, "%+v", resp)
			assert.False(t, IsNetworkError(err))
		})
	}
}

// TestReadResponseHeadTruncated checks that a connection's error is returned as it is: a truncated response is not
// malformed.
func TestReadResponseHeadTruncated(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	broken := errors.New("broken")
	for length := range len(head) {
		_, err := ReadResponseHead(bufio.NewReader(io.MultiReader(strings.NewReader(head[:length]), iotest.ErrReader(broken))))
		assert.ErrorIs(t, err, broken, "%d bytes", length)
		assert.NotErrorIs(t, err, ErrMalformed, "%d bytes", length)
	}
}

// TestReadResponseHeadOfArbitraryBytes checks that a head is accepted only up to its empty line and with unambiguous
// framing.
func TestReadResponseHeadOfArbitraryBytes(t *testing.T) {
	fragment := rapid.SampledFrom([]string{"HTTP/1.1 200 OK", "HTTP/1.1 100 Continue", "HTTP/1.0 404 x",
		"\r\n", "\r\n\r\n", "\n", "\r", ":", " ", "\t", "\x00", "Content-Length", "Content-Length: 5", "Transfer-Encoding: chunked", "content-length:5", "X: y", "5", ",", "-1"})
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(fragment).Draw(t, "parts"), "")
		buffered := reader(text)
		resp, err := ReadResponseHead(buffered)
		if err != nil {
			require.Nil(t, resp)
			require.True(t, errors.Is(err, ErrMalformed) || errors.Is(err, io.EOF), "%v", err)
			return
		}
		require.GreaterOrEqual(t, resp.StatusCode, 200)
		require.LessOrEqual(t, len(resp.TransferEncoding), 1)
		if len(resp.TransferEncoding) > 0 {
			require.Equal(t, int64(-1), resp.ContentLength)
		}
		rest, err := io.ReadAll(buffered)
		require.NoError(t, err)
		require.True(t, strings.HasSuffix(text, string(rest)))
		head := text[:len(text)-len(rest)]
		require.True(t, strings.HasSuffix(head, "\n\n") || strings.HasSuffix(head, "\n\r\n"), "%q", head)
	})
}

func TestReadTrailer(t *testing.T) {
	for name, text := range map[string]string{"none": "\r\n", "bare": "\n", "some": "X: y\r\nZ: w\r\n\r\n", "nonsense": "what\r\n\r\n"} {
		buffered := reader(text + "HTTP/1.1 ")
		require.NoError(t, ReadTrailer(buffered), name)
		rest, err := io.ReadAll(buffered)
		require.NoError(t, err)
		assert.Equal(t, "HTTP/1.1 ", string(rest), name)
	}
	assert.ErrorIs(t, ReadTrailer(reader("X: y\r\n")), io.EOF)
	assert.ErrorIs(t, ReadTrailer(reader(strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 20)+"\r\n")), ErrMalformed)
	assert.ErrorIs(t, ReadTrailer(reader("X: "+strings.Repeat("y", MaxHeadBytes)+"\r\n\r\n")), ErrMalformed, "one long line")
}

// TestReadResponseHeadIsBounded checks that the read of an endless head ends.
func TestReadResponseHeadIsBounded(t *testing.T) {
	var requested atomic.Int64
	endless := readerFunc(func(p []byte) (int, error) {
		requested.Add(int64(len(p)))
		return copy(p, bytes.Repeat([]byte("X: y\r\n"), len(p)/6+1)), nil
	})
	_, err := ReadResponseHead(bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"), endless)))
	assert.ErrorIs(t, err, ErrMalformed)
	assert.Less(t, requested.Load(), int64(2*MaxHeadBytes))
}

// readerFunc is a function that implements io.Reader.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
