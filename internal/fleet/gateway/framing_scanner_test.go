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

	"github.com/stretchr/testify/require"
)

const (
	getHead     = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	postHead    = "POST /a HTTP/1.1\r\nHost: h\r\n"
	chunkedHead = postHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// unambiguousRequests are read in one way only.
var unambiguousRequests = map[string]string{
	"no body":               getHead,
	"a length":              postHead + "Content-Length: 5\r\n\r\nhello",
	"length 0":              postHead + "Content-Length: 0\r\n\r\n",
	"a length in space":     postHead + "content-length: \t 5 \t\r\n\r\nhello",
	"a length in zeros":     postHead + "CONTENT-LENGTH:0000000000000000000000005\r\n\r\nhello",
	"a body like a head":    postHead + "Content-Length: 28\r\n\r\n" + getHead,
	"chunks":                chunkedHead + "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n",
	"no chunks":             chunkedHead + "0\r\n\r\n",
	"chunks in any case":    chunkedHead + "000A\r\n0123456789\r\n0a\r\n0123456789\r\n000\r\n\r\n",
	"chunks of line ends":   chunkedHead + "6\r\n\r\n0\r\n\r\r\n0\r\n\r\n",
	"chunk extensions":      chunkedHead + "5;a=b;c=\"d e\";\tf\r\nhello\r\n0;last\r\n\r\n",
	"trailers":              chunkedHead + "5\r\nhello\r\n0\r\nX-A: 1\r\nX-B:\r\n\r\n",
	"HTTP/1.0":              "POST /a HTTP/1.0\r\nContent-Length: 5\r\n\r\nhello",
	"HEAD":                  "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n",
	"HEAD with a body":      "HEAD /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
	"upgrade":               "GET /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
	"expect":                postHead + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
	"similar names":         postHead + "Content-Lengths: 5\r\nX-Content-Length: 5\r\nTransfer-Encodings: a\r\nTransfer-Encodin: b\r\n\r\n",
	"bytes over ASCII":      postHead + "X-A: \xe9\xff,\t\"b\"\r\n\r\n",
	"a target of any bytes": "GET /\xff{}|\\^`<>\"[]?a=b&c#d HTTP/1.1\r\nHost: h\r\n\r\n",
	"every token":           postHead + "!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n",
	"a long name":           postHead + strings.Repeat("Content-Length", 20) + ": 5\r\n\r\n",
}

// ambiguousRequests are read in several ways, or refused by some.
var ambiguousRequests = map[string]struct {
	request string
	doubt   *framingError
}{
	"length and chunks":          {postHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", errLengthAndTransferEncoding},
	"chunks and length":          {postHead + "Transfer-Encoding: chunked\r\ncontent-LENGTH: 0\r\n\r\n", errLengthAndTransferEncoding},
	"two lengths":                {postHead + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", errContentLengthRepeated},
	"the same length twice":      {postHead + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", errContentLengthRepeated},
	"two codings":                {postHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", errTransferEncodingRepeated},
	"a list of lengths":          {postHead + "Content-Length: 5, 5\r\n\r\nhello", errContentLength},
	"a length in two parts":      {postHead + "Content-Length: 5 5\r\n\r\nhello", errContentLength},
	"a signed length":            {postHead + "Content-Length: +5\r\n\r\nhello", errContentLength},
	"a negative length":          {postHead + "Content-Length: -5\r\n\r\nhello", errContentLength},
	"a hexadecimal length":       {postHead + "Content-Length: 0x5\r\n\r\nhello", errContentLength},
	"no length":                  {postHead + "Content-Length: \r\n\r\n", errContentLength},
	"a length over 63 bits":      {postHead + "Content-Length: 9223372036854775808\r\n\r\n", errContentLength},
	"a length over 64 bits":      {postHead + "Content-Length: 18446744073709551621\r\n\r\nhello", errContentLength},
	"another coding":             {postHead + "Transfer-Encoding: gzip\r\n\r\n", errTransferEncoding},
	"a list of codings":          {postHead + "Transfer-Encoding: gzip, chunked\r\n\r\n", errTransferEncoding},
	"chunked and more":           {postHead + "Transfer-Encoding: chunked, identity\r\n\r\n", errTransferEncoding},
	"a longer word":              {postHead + "Transfer-Encoding: chunkedx\r\n\r\n", errTransferEncoding},
	"a shorter word":             {postHead + "Transfer-Encoding: chunke\r\n\r\n", errTransferEncoding},
	"capitals":                   {postHead + "Transfer-Encoding: Chunked\r\n\r\n", errTransferEncoding},
	"a tab":                      {postHead + "Transfer-Encoding:\tchunked\r\n\r\n", errTransferEncoding},
	"a space behind":             {postHead + "Transfer-Encoding: chunked \r\n\r\n", errTransferEncoding},
	"no coding":                  {postHead + "Transfer-Encoding:\r\n\r\n", errTransferEncoding},
	"a vertical tab":             {postHead + "Transfer-Encoding: \x0bchunked\r\n\r\n", errFieldValue},
	"chunks in HTTP/1.0":         {"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", errTransferEncodingVersion},
	"HTTP/2.0":                   {"PRI * HTTP/2.0\r\n\r\n", errVersion},
	"HTTP/1.2":                   {"GET /a HTTP/1.2\r\n\r\n", errVersion},
	"HTTP/1.10":                  {"GET /a HTTP/1.10\r\n\r\n", errRequestLine},
	"http/1.1":                   {"GET /a http/1.1\r\n\r\n", errVersion},
	"no version":                 {"GET /a\r\n\r\n", errRequestLine},
	"no target":                  {"GET\r\n\r\n", errRequestLine},
	"two spaces":                 {"GET /a  HTTP/1.1\r\n\r\n", errVersion},
	"a space in the target":      {"GET /a b HTTP/1.1\r\n\r\n", errVersion},
	"a tab in the request line":  {"GET\t/a HTTP/1.1\r\n\r\n", errRequestLine},
	"a CR in the target":         {"GET /a\rb HTTP/1.1\r\n\r\n", errRequestLine},
	"a NUL in the target":        {"GET /a\x00b HTTP/1.1\r\n\r\n", errRequestLine},
	"a space ahead":              {" GET /a HTTP/1.1\r\n\r\n", errRequestLine},
	"TLS":                        {"\x16\x03\x01\x02\x00", errRequestLine},
	"three empty lines":          {"\r\n\r\n\r\n" + getHead, errEmptyLines},
	"a CR ahead":                 {"\rGET /a HTTP/1.1\r\n\r\n", errLineEnd},
	"a LF ahead":                 {"\nGET /a HTTP/1.1\r\n\r\n", errRequestLine},
	"a LF behind the version":    {"GET /a HTTP/1.1\nHost: h\r\n\r\n", errRequestLine},
	"a CR behind the version":    {"GET /a HTTP/1.1\rHost: h\r\n\r\n", errLineEnd},
	"a LF behind a field":        {"GET /a HTTP/1.1\r\nHost: h\n\r\n", errLineEnd},
	"a CR in a field":            {"GET /a HTTP/1.1\r\nHost: h\rX-A: 1\r\n\r\n", errLineEnd},
	"a LF for the empty line":    {"GET /a HTTP/1.1\r\nHost: h\r\n\n", errFieldName},
	"a CR for the empty line":    {"GET /a HTTP/1.1\r\nHost: h\r\n\rX", errLineEnd},
	"folded":                     {postHead + "X-A: 1\r\n b\r\n\r\n", errFoldedField},
	"folded by a tab":            {postHead + "X-A: 1\r\n\tb\r\n\r\n", errFoldedField},
	"a space ahead of fields":    {"GET /a HTTP/1.1\r\n Host: h\r\n\r\n", errFoldedField},
	"a folded coding":            {postHead + "Transfer-Encoding:\r\n chunked\r\n\r\n", errTransferEncoding},
	"a space behind a name":      {postHead + "Content-Length : 5\r\n\r\nhello", errFieldName},
	"a tab behind a name":        {postHead + "Transfer-Encoding\t: chunked\r\n\r\n", errFieldName},
	"a space in a name":          {postHead + "X A: 1\r\n\r\n", errFieldName},
	"no name":                    {postHead + ": 1\r\n\r\n", errFieldName},
	"no colon":                   {postHead + "X-A\r\n\r\n", errFieldName},
	"a NUL in a name":            {postHead + "X\x00A: 1\r\n\r\n", errFieldName},
	"bytes over ASCII in a name": {postHead + "X\xc3\xa9: 1\r\n\r\n", errFieldName},
	"a NUL in a field":           {postHead + "X-A: 1\x002\r\n\r\n", errFieldValue},
	"DEL in a field":             {postHead + "X-A: 1\x7f\r\n\r\n", errFieldValue},
	"ESC in a field":             {postHead + "X-A: \x1b[0m\r\n\r\n", errFieldValue},
	"no chunk size":              {chunkedHead + "\r\n\r\n", errChunkSize},
	"an extension alone":         {chunkedHead + ";a=b\r\n\r\n", errChunkSize},
	"a signed chunk size":        {chunkedHead + "+5\r\nhello\r\n0\r\n\r\n", errChunkSize},
	"a chunk size of 0x5":        {chunkedHead + "0x5\r\nhello\r\n0\r\n\r\n", errChunkSize},
	"a space ahead of a size":    {chunkedHead + " 5\r\nhello\r\n0\r\n\r\n", errChunkSize},
	"a space behind a size":      {chunkedHead + "5 \r\nhello\r\n0\r\n\r\n", errChunkSize},
	"a huge chunk size":          {chunkedHead + "fffffffffffffffb\r\nhello\r\n0\r\n\r\n", errChunkSize},
	"a LF behind a size":         {chunkedHead + "5\nhello\r\n0\r\n\r\n", errChunkSize},
	"a CR behind a size":         {chunkedHead + "5\rhello\r\n0\r\n\r\n", errLineEnd},
	"a LF in an extension":       {chunkedHead + "5;a\nhello\r\n0\r\n\r\n", errLineEnd},
	"a CR in an extension":       {chunkedHead + "5;a\rb\r\nhello\r\n0\r\n\r\n", errLineEnd},
	"a NUL in an extension":      {chunkedHead + "5;\x00\r\nhello\r\n0\r\n\r\n", errLineEnd},
	"a NUL in the last":          {chunkedHead + "0;\x00\r\n\r\n", errLineEnd},
	"a LF behind a chunk":        {chunkedHead + "5\r\nhello\n0\r\n\r\n", errChunkEnd},
	"a CR behind a chunk":        {chunkedHead + "5\r\nhello\r0\r\n\r\n", errChunkEnd},
	"a longer chunk":             {chunkedHead + "4\r\nhello\r\n0\r\n\r\n", errChunkEnd},
	"a length in the trailer":    {chunkedHead + "0\r\nContent-Length: 5\r\n\r\n", errTrailerField},
	"a coding in the trailer":    {chunkedHead + "0\r\nTransfer-Encoding: chunked\r\n\r\n", errTrailerField},
	"a folded trailer":           {chunkedHead + "0\r\nX-A: 1\r\n b\r\n\r\n", errFoldedField},
	"a NUL in the trailer":       {chunkedHead + "0\r\nX-A: 1\x00\r\n\r\n", errFieldValue},
	"a LF in the trailer":        {chunkedHead + "0\r\nX-A: 1\n\r\n", errLineEnd},
	"a CR for the trailer's end": {chunkedHead + "0\r\n\rX", errLineEnd},
}

// requestSpan is where a request's head and the whole request end.
type requestSpan struct{ headEnd, requestEnd int }

// scanResult is what a scanner makes of the bytes of a connection.
type scanResult struct {
	spans       []requestSpan
	headEnd     int // of the last one, if it isn't whole; else 0
	errorOffset int // the first doubtful byte; -1: none
	err         error
}

// scanAll has a scanner read byte by byte.
func scanAll(data []byte) scanResult {
	out := scanResult{errorOffset: -1}
	var scanner framingScanner
	for i := range data {
		before := scanner
		_, out.err = scanner.scan(data[i : i+1])
		if out.err != nil {
			out.errorOffset = i
			return out
		}
		if before.state == stateFieldsEnd && !before.inTrailer {
			out.headEnd = i + 1
		}
		if out.headEnd > 0 && scanner.state == stateMessageStart {
			out.spans = append(out.spans, requestSpan{out.headEnd, i + 1})
			out.headEnd = 0
		}
	}
	return out
}

// parsedRequest is a request as net/http reads it.
type parsedRequest struct {
	requestSpan
	text string // its line, its fields and its body
}

// parseAll has net/http read requests as its server does, until one can't be read whole. It returns
// the whole ones, and where the head of one ends whose body can't be read.
func parseAll(src io.Reader, consumed func(*bufio.Reader) int) (whole []parsedRequest, headEnd int) {
	reader := bufio.NewReader(src)
	for method := ""; ; {
		if method == http.MethodPost {
			discardEmptyLines(reader)
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			return whole, 0
		}
		method = req.Method
		r := parsedRequest{requestSpan: requestSpan{headEnd: consumed(reader)}}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return whole, r.headEnd
		}
		r.requestEnd = consumed(reader)
		r.text = fmt.Sprintf("%s %s %s %v %q", req.Method, req.RequestURI, req.Proto, req.Header, body)
		whole = append(whole, r)
	}
}

// discardEmptyLines does what net/http's server does behind a POST.
func discardEmptyLines(reader *bufio.Reader) {
	start, _ := reader.Peek(4)
	n := len(start) - len(bytes.TrimLeft(start, "\r\n"))
	_, _ = reader.Discard(n)
}

// scriptedConn is a connection that brings given bytes, so many at a time.
type scriptedConn struct {
	net.Conn
	data     []byte
	readSize int
}

func (c *scriptedConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.data[:min(c.readSize, len(c.data))])
	c.data = c.data[n:]
	return n, nil
}

// compareWithNetHTTP checks that scanner and net/http see the same requests, and that net/http gets no other
// ones through a watched connection.
func compareWithNetHTTP(t *testing.T, data []byte, readSize int) {
	scanned := scanAll(data)
	src := bytes.NewReader(data)
	whole, headEnd := parseAll(src, func(reader *bufio.Reader) int { return len(data) - src.Len() - reader.Buffered() })
	for i, r := range whole {
		if i >= len(scanned.spans) {
			require.GreaterOrEqual(t, scanned.errorOffset, 0, "net/http reads request %d of %q, the scanner is still in it", i, data)
			require.Less(t, scanned.errorOffset, r.requestEnd, "net/http reads request %d of %q, the scanner doubts what follows", i, data)
			break
		}
		require.Equal(t, r.requestSpan, scanned.spans[i], "the ends of request %d of %q", i, data)
	}
	if headEnd > 0 && scanned.errorOffset < 0 && len(whole) == len(scanned.spans) {
		require.Equal(t, headEnd, scanned.headEnd, "the end of the last head of %q", data)
	}

	var rejected atomic.Int64
	conn := &framingConn{Conn: &scriptedConn{data: data, readSize: readSize}, rejected: &rejected}
	passed, _ := parseAll(conn, func(*bufio.Reader) int { return 0 })
	require.Len(t, passed, min(len(whole), len(scanned.spans)), "requests of %q", data)
	for i := range passed {
		require.Equal(t, whole[i].text, passed[i].text, "request %d of %q", i, data)
	}
	require.LessOrEqual(t, rejected.Load(), int64(1))
}

func TestUnambiguousFraming(t *testing.T) {
	for name, request := range unambiguousRequests {
		t.Run(name, func(t *testing.T) {
			data := request + request + "\r\n\r\n" + getHead
			scanned := scanAll([]byte(data))
			require.NoError(t, scanned.err)
			require.Len(t, scanned.spans, 3)
			require.Equal(t, len(request), scanned.spans[0].requestEnd)
			require.Equal(t, 2*len(request), scanned.spans[1].requestEnd)
			require.Equal(t, len(data), scanned.spans[2].requestEnd)
			for readSize := 1; readSize <= len(data); readSize++ {
				compareWithNetHTTP(t, []byte(data), readSize)
			}
		})
	}
}

// A doubt is found behind other requests as well, wherever the bytes are split.
func TestFramingErrors(t *testing.T) {
	for name, c := range ambiguousRequests {
		t.Run(name, func(t *testing.T) {
			for _, ahead := range []string{"", getHead, chunkedHead + "1\r\nx\r\n0\r\n\r\n"} {
				data := []byte(ahead + c.request + getHead)
				scanned := scanAll(data)
				require.Equal(t, c.doubt, scanned.err)
				for split := range len(data) {
					var scanner framingScanner
					n, framingErr := scanner.scan(data[:split])
					if framingErr == nil {
						require.Equal(t, split, n)
						n, framingErr = scanner.scan(data[split:])
						n += split
					}
					require.Equal(t, c.doubt, framingErr)
					require.Equal(t, scanned.errorOffset, n)
				}
				for _, readSize := range []int{1, 2, 3, 7, 50, len(data)} {
					compareWithNetHTTP(t, data, readSize)
				}
			}
		})
	}
}

// Wherever a request breaks off, what takes the place of its rest is read by nobody as its end.
func TestMalformedRemainder(t *testing.T) {
	for name, request := range unambiguousRequests {
		t.Run(name, func(t *testing.T) {
			for end := range len(request) {
				for _, ahead := range []string{"", postHead + "Content-Length: 1\r\n\r\nx"} {
					if endsInBody(request[:end]) {
						continue
					}
					data := strings.NewReader(ahead + request[:end] + malformedRemainder + getHead)
					whole, _ := parseAll(data, func(*bufio.Reader) int { return 0 })
					require.Len(t, whole, strings.Count(ahead, postHead), "%q", request[:end])
				}
			}
		})
	}
}

// endsInBody tells whether the bytes end within data, whose length is known.
func endsInBody(message string) bool {
	var scanner framingScanner
	_, _ = scanner.scan([]byte(message))
	return scanner.state == stateBody || scanner.state == stateChunkData
}

func TestScannerDoesNotAllocate(t *testing.T) {
	request := []byte(postHead + "Content-Length: 5\r\nTE: trailers\r\n\r\nhello" + chunkedHead + "5;a\r\nhello\r\n0\r\nX-A: 1\r\n\r\n")
	var scanner framingScanner
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if _, framingErr := scanner.scan(request); framingErr != nil {
			t.Error(framingErr)
		}
	}))
}

// FuzzFraming compares the scanner with net/http: whatever request net/http reads, the scanner sees
// its end at the same byte or has refused it.
func FuzzFraming(f *testing.F) {
	for _, request := range unambiguousRequests {
		f.Add([]byte(request+"\r\n"+getHead), uint8(0))
	}
	for _, c := range ambiguousRequests {
		f.Add([]byte(getHead+c.request+getHead), uint8(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, piece uint8) {
		compareWithNetHTTP(t, data, int(piece)+1)
	})
}
