package http1

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

func reader(text string) *bufio.Reader { return bufio.NewReader(strings.NewReader(text)) }

// A head is read up to its empty line, and not a byte further, however its bytes come.
func TestReadResponseHeadStopsAtEmptyLine(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-One: a\r\nX-One: b\r\n\r\n"
	for name, r := range map[string]io.Reader{
		"at once":        strings.NewReader(head + "bodyHTTP/1.1 "),
		"byte by byte":   iotest.OneByteReader(strings.NewReader(head + "bodyHTTP/1.1 ")),
		"with the error": iotest.DataErrReader(strings.NewReader(head + "bodyHTTP/1.1 ")),
	} {
		br := bufio.NewReader(r)
		resp, err := ReadResponseHead(br)
		require.NoError(t, err, name)
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, int64(4), resp.ContentLength)
		assert.Equal(t, []string{"a", "b"}, resp.Header["X-One"])
		rest, err := io.ReadAll(br)
		require.NoError(t, err)
		assert.Equal(t, "bodyHTTP/1.1 ", string(rest), name)
	}
	resp, err := ReadResponseHead(reader("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n")) // bare line ends are taken
	require.NoError(t, err)
	assert.Equal(t, []string{"chunked"}, resp.TransferEncoding)
	resp, err = ReadResponseHead(reader("HTTP/1.0 204 No Content\r\n\r\n"))
	require.NoError(t, err)
	assert.Equal(t, 204, resp.StatusCode)
}

// Interim answers are passed over, up to a bound.
func TestReadResponseHeadSkipsInterimResponses(t *testing.T) {
	const interim, final = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	resp, err := ReadResponseHead(reader(strings.Repeat(interim, maxInterimResponses/2) + final))
	require.NoError(t, err)
	assert.Equal(t, 200, resp.StatusCode)
	assert.Empty(t, resp.Header.Get("Link"))
	_, err = ReadResponseHead(reader(strings.Repeat(interim, maxInterimResponses/2+1) + final))
	assert.ErrorIs(t, err, ErrMalformed)
	_, err = ReadResponseHead(reader(interim))
	assert.ErrorIs(t, err, io.EOF, "the final answer did not come")
}

// An answer whose framing leaves a doubt is not believed.
func TestReadResponseHeadRejectsMalformed(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, head := range map[string]string{
		"noise":                      "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
		"noise that begins right":    "HTTPS?",
		"another protocol":           "SSH-2.0-x\r\n\r\n",
		"a space first":              " HTTP/1.1 200 OK\r\n\r\n",
		"a request":                  "GET / HTTP/1.1\r\n\r\n",
		"bytes before the head":      "xHTTP/1.1 200 OK\r\n\r\n",
		"protocol 2":                 "HTTP/2.0 200 OK\r\n\r\n",
		"protocol 11":                "HTTP/11.1 200 OK\r\n\r\n",
		"no status":                  "HTTP/1.1\r\n\r\n",
		"status in letters":          "HTTP/1.1 two OK\r\n\r\n",
		"status of two digits":       "HTTP/1.1 20 OK\r\n\r\n",
		"status below 100":           "HTTP/1.1 099 No\r\n\r\n",
		"negative status":            "HTTP/1.1 -20 No\r\n\r\n",
		"switching protocols":        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"two equal lengths":          ok + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
		"two lengths":                ok + "Content-Length: 5\r\ncontent-length: 6\r\n\r\n",
		"a list of lengths":          ok + "Content-Length: 5, 5\r\n\r\n",
		"a length and chunked":       ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunked twice":              ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"a list of codings":          ok + "Transfer-Encoding: gzip, chunked\r\n\r\n",
		"an unknown coding":          ok + "Transfer-Encoding: gzip\r\n\r\n",
		"a negative length":          ok + "Content-Length: -1\r\n\r\n",
		"a length with a sign":       ok + "Content-Length: +5\r\n\r\n",
		"a length in hex":            ok + "Content-Length: 0x5\r\n\r\n",
		"a length over 64 bits":      ok + "Content-Length: 99999999999999999999\r\n\r\n",
		"a space before the colon":   ok + "Content-Length : 5\r\n\r\n",
		"a tab before the colon":     ok + "Transfer-Encoding\t: chunked\r\n\r\n",
		"a field without colon":      ok + "Content-Length 5\r\n\r\n",
		"a field without name":       ok + ": 5\r\n\r\n",
		"folded first field":         ok + " Content-Length: 5\r\n\r\n",
		"a bare return in a name":    ok + "X\rContent-Length: 5\r\n\r\n",
		"a zero byte in a name":      ok + "Content\x00-Length: 5\r\n\r\n",
		"a line too long":            ok + "X: " + strings.Repeat("x", MaxHeadBytes) + "\r\n\r\n",
		"too many fields":            ok + strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 17) + "\r\n",
		"an interim answer's body":   "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nhi" + ok + "\r\n",
		"spoilt after an interim":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"an interim answer's length": "HTTP/1.1 100 Continue\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n" + ok + "\r\n",
	} {
		resp, err := ReadResponseHead(reader(head))
		assert.ErrorIs(t, err, ErrMalformed, "%s: %+v", name, resp)
		assert.False(t, IsNetworkError(err), name)
	}
}

// One that ends early is no spoilt one: that is told by the connection's error.
func TestReadResponseHeadTruncated(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	broken := errors.New("broken")
	for n := range len(head) {
		_, err := ReadResponseHead(bufio.NewReader(io.MultiReader(strings.NewReader(head[:n]), iotest.ErrReader(broken))))
		assert.ErrorIs(t, err, broken, "%d bytes", n)
		assert.NotErrorIs(t, err, ErrMalformed, "%d bytes", n)
	}
}

// Whatever comes, a head is taken as it stands, at most one length says where it ends, and no more
// than the bounds is read.
func TestReadResponseHeadOfArbitraryBytes(t *testing.T) {
	part := rapid.SampledFrom([]string{"HTTP/1.1 200 OK", "HTTP/1.1 100 Continue", "HTTP/1.0 404 x", "\r\n", "\r\n\r\n", "\n", "\r", ":", " ", "\t", "\x00",
		"Content-Length", "Content-Length: 5", "Transfer-Encoding: chunked", "content-length:5", "X: y", "5", ",", "-1"})
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(part).Draw(t, "parts"), "")
		br := reader(text)
		resp, err := ReadResponseHead(br)
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
		rest, err := io.ReadAll(br)
		require.NoError(t, err)
		require.True(t, strings.HasSuffix(text, string(rest)))
		head := text[:len(text)-len(rest)]
		require.True(t, strings.HasSuffix(head, "\n\n") || strings.HasSuffix(head, "\n\r\n"), "%q", head)
	})
}

func TestReadTrailer(t *testing.T) {
	for name, text := range map[string]string{"none": "\r\n", "bare": "\n", "some": "X: y\r\nZ: w\r\n\r\n", "nonsense": "what\r\n\r\n"} {
		br := reader(text + "HTTP/1.1 ")
		require.NoError(t, ReadTrailer(br), name)
		rest, err := io.ReadAll(br)
		require.NoError(t, err)
		assert.Equal(t, "HTTP/1.1 ", string(rest), name)
	}
	assert.ErrorIs(t, ReadTrailer(reader("X: y\r\n")), io.EOF)
	assert.ErrorIs(t, ReadTrailer(reader(strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 20)+"\r\n")), ErrMalformed)
	assert.ErrorIs(t, ReadTrailer(reader("X: "+strings.Repeat("y", MaxHeadBytes)+"\r\n\r\n")), ErrMalformed, "one line")
}

func TestEndToEnd(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Hop", "x-other ,, Keep-Alive"}, "X-Hop": {"1"}, "X-Other": {"2"}, "X-Stays": {"3", "4"}}
	for _, name := range hopByHopHeaders {
		h.Set(name, "x")
	}
	h["Connection"] = []string{"close, X-Hop", "x-other ,, Keep-Alive"}
	before := h.Clone()
	out := EndToEnd(h)
	assert.Equal(t, http.Header{"X-Stays": {"3", "4"}}, out)
	assert.Equal(t, before, h)
	out.Set("X-Stays", "5")
	assert.Equal(t, before, h, "the copy is its own")
	assert.Empty(t, EndToEnd(nil))
}

// tcpPair is both ends of a connection over loopback.
func tcpPair(t *testing.T) (a, b *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	out, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	in, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { out.Close(); in.Close() })
	return out.(*net.TCPConn), in.(*net.TCPConn)
}

func TestIsIdle(t *testing.T) {
	quiet := func(nc net.Conn) bool { return IsIdle(nc, bufio.NewReader(nc)) }
	a, b := tcpPair(t)
	require.True(t, quiet(a))
	require.True(t, quiet(a), "looking changes nothing")
	_, err := b.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !quiet(a) }, 10*time.Second, time.Millisecond, "bytes that nobody asked for")
	br := bufio.NewReader(a)
	one, err := br.ReadByte()
	require.NoError(t, err)
	require.Equal(t, byte('x'), one, "they were left where they are")
	require.True(t, IsIdle(a, br))
	require.NoError(t, br.UnreadByte())
	require.False(t, IsIdle(a, br), "bytes that were read already")

	require.NoError(t, b.Close())
	require.Eventually(t, func() bool { return !quiet(a) }, 10*time.Second, time.Millisecond, "closed by the peer")

	a, b = tcpPair(t)
	require.NoError(t, b.SetLinger(0))
	require.NoError(t, b.Close())
	require.Eventually(t, func() bool { return !quiet(a) }, 10*time.Second, time.Millisecond, "reset by the peer")

	a, _ = tcpPair(t)
	require.NoError(t, a.Close())
	require.False(t, quiet(a), "closed here")

	c, d := net.Pipe()
	defer c.Close()
	defer d.Close()
	require.True(t, quiet(c), "of what can't be looked into nothing is known")
}

func TestIsNetworkError(t *testing.T) {
	a, b := tcpPair(t)
	require.NoError(t, a.SetReadDeadline(time.Now()))
	_, err := a.Read(make([]byte, 1))
	assert.True(t, IsNetworkError(err))
	require.NoError(t, b.SetLinger(0))
	b.Close()
	require.NoError(t, a.SetReadDeadline(time.Time{}))
	_, err = a.Read(make([]byte, 1))
	assert.True(t, IsNetworkError(errors.Wrap(err, "read")))
	assert.False(t, IsNetworkError(io.EOF))
	assert.False(t, IsNetworkError(Malformed("x")))
	assert.False(t, IsNetworkError(nil))
}

func TestIdleBucket(t *testing.T) {
	for age, slot := range map[time.Duration]int{-time.Hour: 1, 0: 1, bucketStep - 1: 1, bucketStep: 2, 2*bucketStep - 1: 2, 2 * bucketStep: 3, 4 * bucketStep: 4,
		24 * time.Hour: 15, 1<<63 - 1: 15} {
		assert.Equal(t, slot, IdleBucket(age), "%v", age)
	}
}

// A connection is used again for as long as those that idled so long broke no more often than new
// ones, and what was seen is forgotten in time.
func TestReuseStats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a ReuseStats
		count := func(age time.Duration, uses, breaks int) {
			for i := range uses {
				a.Record(IdleBucket(age), i < breaks)
			}
		}
		for _, age := range []time.Duration{0, time.Second, time.Hour} {
			assert.True(t, a.Reusable(age), "nothing is known of %v", age)
		}
		count(10*time.Millisecond, 100, 1)
		count(time.Second, 20, 15)
		assert.True(t, a.Reusable(10*time.Millisecond))
		assert.True(t, a.Reusable(500*time.Millisecond))
		assert.False(t, a.Reusable(time.Second))
		assert.False(t, a.Reusable(time.Minute), "what breaks shorter times breaks longer ones")
		for range 200 { // new ones break as often
			a.Record(0, true)
		}
		assert.True(t, a.Reusable(time.Minute))
		for range 20000 {
			a.Record(0, false)
		}
		assert.False(t, a.Reusable(time.Minute))
		for range 8 { // halved each time
			<-time.After(decayInterval + time.Second)
			count(10*time.Millisecond, 1, 0)
		}
		assert.True(t, a.Reusable(time.Minute))
	})
}

// One break is chance.
func TestReuseStatsToleratesOneReset(t *testing.T) {
	var a ReuseStats
	a.Record(IdleBucket(time.Second), true)
	assert.True(t, a.Reusable(time.Second))
}

func TestClientConn(t *testing.T) {
	var held atomic.Int64
	sock := func() (*ClientConn, *net.TCPConn) {
		a, b := tcpPair(t)
		return NewClientConn(a, &held), b
	}
	over := func(peer net.Conn) bool {
		require.NoError(t, peer.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err := peer.Read(make([]byte, 1))
		return err == io.EOF
	}
	// Without a request it closes at once, and none may begin.
	c, peer := sock()
	require.NoError(t, c.Close())
	assert.True(t, over(peer))
	assert.False(t, c.BeginRequest())
	assert.Zero(t, held.Load())

	// Under one it waits for its end.
	c, peer = sock()
	require.True(t, c.BeginRequest())
	assert.Equal(t, int64(1), held.Load())
	assert.False(t, c.CloseRequested())
	require.NoError(t, c.Close())
	require.NoError(t, c.Close(), "also when asked twice")
	assert.True(t, c.CloseRequested())
	_, err := c.Write([]byte("answer"))
	require.NoError(t, err)
	got := make([]byte, 6)
	_, err = io.ReadFull(peer, got)
	require.NoError(t, err)
	assert.Equal(t, "answer", string(got))
	c.EndRequest()
	assert.Equal(t, int64(1), held.Load(), "the answer may be under way yet")
	assert.False(t, c.BeginRequest(), "no other request begins on it")
	require.NoError(t, c.CloseWrite())
	require.NoError(t, c.Close())
	assert.True(t, over(peer))
	assert.Zero(t, held.Load())
	assert.Error(t, c.Close())
	assert.Zero(t, held.Load())

	// One request after the other.
	c, _ = sock()
	for range 3 {
		require.True(t, c.BeginRequest())
		c.EndRequest()
	}
	assert.Zero(t, held.Load())

	x, y := net.Pipe() // has no half close
	defer y.Close()
	assert.NoError(t, NewClientConn(x, &held).CloseWrite())
	x.Close()
}

func TestListener(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var held atomic.Int64
	l := &Listener{Listener: ln, InFlight: &held}
	nc, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer nc.Close()
	c, err := l.Accept()
	require.NoError(t, err)
	require.True(t, c.(*ClientConn).BeginRequest())
	assert.Equal(t, int64(1), held.Load())
	c.(*ClientConn).EndRequest()
	require.NoError(t, c.Close())
	require.NoError(t, l.Close())
	_, err = l.Accept()
	assert.Error(t, err)
}

// What is read of a head is bounded also where it never ends.
func TestReadResponseHeadIsBounded(t *testing.T) {
	var n atomic.Int64
	r := readerFunc(func(p []byte) (int, error) {
		n.Add(int64(len(p)))
		return copy(p, bytes.Repeat([]byte("X: y\r\n"), len(p)/6+1)), nil
	})
	_, err := ReadResponseHead(bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"), r)))
	assert.ErrorIs(t, err, ErrMalformed)
	assert.Less(t, n.Load(), int64(2*MaxHeadBytes))
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
