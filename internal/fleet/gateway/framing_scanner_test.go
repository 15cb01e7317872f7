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

// requestSpan has the offsets at which the head of a request and the complete request end.
type requestSpan struct{ headEnd, requestEnd int }

// scanResult is what a scanner finds in the bytes of a connection.
type scanResult struct {
	spans       []requestSpan // the complete requests
	headEnd     int           // the end of the head of a last, incomplete request; 0 if there is none
	errorOffset int           // the offset of the first ambiguous byte; -1 if there is none
	err         error
}

// scanAll has a scanner read a connection byte by byte.
func scanAll(data []byte) scanResult {
	result := scanResult{errorOffset: -1}
	var scanner framingScanner
	for i := range data {
		previousScanner := scanner
		_, result.err = scanner.scan(data[i:i+1], maxHeaderBytes)
		if result.err != nil {
			result.errorOffset = i
			return result
		}
		if previousScanner.state == stateFieldsEnd && !previousScanner.inTrailer {
			result.headEnd = i + 1
		}
		if result.headEnd > 0 && scanner.state == stateMessageStart {
			result.spans = append(result.spans, requestSpan{result.headEnd, i + 1})
			result.headEnd = 0
		}
	}
	return result
}

// parsedRequest is a request as net/http reads it.
type parsedRequest struct {
	requestSpan
	text string // request line, fields and body
}

// parseAll has net/http read requests as its server does, until one can't be read completely. It returns the
// complete requests and, if a request follows whose head is complete and whose body is not, the end of that
// head. consumed returns how many bytes of the source the reader has consumed.
func parseAll(source io.Reader, consumed func(*bufio.Reader) int) (requests []parsedRequest, headEnd int) {
	reader := bufio.NewReader(source)
	for method := ""; ; {
		if method == http.MethodPost {
			discardEmptyLines(reader)
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			return requests, 0
		}
		method = req.Method
		request := parsedRequest{requestSpan: requestSpan{headEnd: consumed(reader)}}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return requests, request.headEnd
		}
		request.requestEnd = consumed(reader)
		request.text = fmt.Sprintf("%s %s %s %v %q", req.Method, req.RequestURI, req.Proto, req.Header, body)
		requests = append(requests, request)
	}
}

// discardEmptyLines skips up to four bytes of empty lines, as net/http's server does after a POST.
func discardEmptyLines(reader *bufio.Reader) {
	start, _ := reader.Peek(4)
	n := len(start) - len(bytes.TrimLeft(start, "\r\n"))
	_, _ = reader.Discard(n)
}

// scriptedConn is a connection on which given bytes arrive, readSize at a time.
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

// compareWithNetHTTP checks that a scanner and net/http find the same requests, and that net/http reads no other
// requests from a framingConn.
func compareWithNetHTTP(t *testing.T, data []byte, readSize int) {
	result := scanAll(data)
	source := bytes.NewReader(data)
	consumed := func(reader *bufio.Reader) int { return len(data) - source.Len() - reader.Buffered() }
	requests, headEnd := parseAll(source, consumed)
	for i, request := range requests {
		if i >= len(result.spans) {
			require.GreaterOrEqual(t, result.errorOffset, 0,
				"net/http reads request %d of %q completely, the scanner does not", i, data)
			require.Less(t, result.errorOffset, request.requestEnd,
				"net/http reads request %d of %q, the scanner finds an error only after it", i, data)
			break
		}
		require.Equal(t, request.requestSpan, result.spans[i], "the ends of request %d of %q", i, data)
	}
	if headEnd > 0 && result.errorOffset < 0 && len(requests) == len(result.spans) {
		require.Equal(t, headEnd, result.headEnd, "the end of the last head of %q", data)
	}

	var rejected atomic.Int64
	conn := newFramingConn(&scriptedConn{data: data, readSize: readSize}, &rejected)
	passedRequests, _ := parseAll(conn, func(*bufio.Reader) int { return 0 })
	require.Len(t, passedRequests, min(len(requests), len(result.spans)), "requests of %q", data)
	for i := range passedRequests {
		require.Equal(t, requests[i].text, passedRequests[i].text, "request %d of %q", i, data)
	}
	require.LessOrEqual(t, rejected.Load(), int64(1))
}

func TestUnambiguousFraming(t *testing.T) {
	for name, request := range unambiguousRequests {
		t.Run(name, func(t *testing.T) {
			data := request + request + "\r\n\r\n" + getHead
			result := scanAll([]byte(data))
			require.NoError(t, result.err)
			require.Len(t, result.spans, 3)
			require.Equal(t, len(request), result.spans[0].requestEnd)
			require.Equal(t, 2*len(request), result.spans[1].requestEnd)
			require.Equal(t, len(data), result.spans[2].requestEnd)
			for readSize := 1; readSize <= len(data); readSize++ {
				compareWithNetHTTP(t, []byte(data), readSize)
			}
		})
	}
}

// TestFramingErrors checks that the scanner finds an error at the same byte wherever the bytes are split, also
// after other requests.
func TestFramingErrors(t *testing.T) {
	for name, c := range ambiguousRequests {
		t.Run(name, func(t *testing.T) {
			for _, preceding := range []string{"", getHead, chunkedHead + "1\r\nx\r\n0\r\n\r\n"} {
				data := []byte(preceding + c.request + getHead)
				result := scanAll(data)
				require.Equal(t, c.err, result.err)
				for split := range len(data) {
					var scanner framingScanner
					n, framingErr := scanner.scan(data[:split], maxHeaderBytes)
					if framingErr == nil {
						require.Equal(t, split, n)
						n, framingErr = scanner.scan(data[split:], maxHeaderBytes)
						n += split
					}
					require.Equal(t, c.err, framingErr)
					require.Equal(t, result.errorOffset, n)
				}
				for _, readSize := range []int{1, 2, 3, 7, 50, len(data)} {
					compareWithNetHTTP(t, data, readSize)
				}
			}
		})
	}
}

// TestMalformedRemainder checks that net/http reads no complete request where a request is cut at any byte and
// continued by malformedRemainder.
func TestMalformedRemainder(t *testing.T) {
	for name, request := range unambiguousRequests {
		t.Run(name, func(t *testing.T) {
			for end := range len(request) {
				for _, preceding := range []string{"", postHead + "Content-Length: 1\r\n\r\nx"} {
					if endsInBody(request[:end]) {
						continue
					}
					data := strings.NewReader(preceding + request[:end] + malformedRemainder + getHead)
					requests, _ := parseAll(data, func(*bufio.Reader) int { return 0 })
					require.Len(t, requests, strings.Count(preceding, postHead), "%q", request[:end])
				}
			}
		})
	}
}

// endsInBody reports whether a message ends within a body or a chunk, where any byte is valid.
func endsInBody(message string) bool {
	var scanner framingScanner
	_, _ = scanner.scan([]byte(message), maxHeaderBytes) // a prefix of an unambiguous request
	return scanner.state == stateBody || scanner.state == stateChunkData
}

func TestScannerDoesNotAllocate(t *testing.T) {
	request := []byte(postHead + "Content-Length: 5\r\nTE: trailers\r\n\r\nhello" + chunkedHead + "5;a\r\nhello\r\n0\r\nX-A: 1\r\n\r\n")
	var scanner framingScanner
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if _, framingErr := scanner.scan(request, maxHeaderBytes); framingErr != nil {
			t.Error(framingErr)
		}
	}))
}

// FuzzFraming compares the scanner with net/http on arbitrary bytes: the scanner finds the end of each request that
// net/http reads at the same byte, or rejects the request.
func FuzzFraming(f *testing.F) {
	for _, request := range unambiguousRequests {
		f.Add([]byte(request+"\r\n"+getHead), uint8(0))
	}
	for _, c := range ambiguousRequests {
		f.Add([]byte(getHead+c.request+getHead), uint8(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, readSize uint8) {
		compareWithNetHTTP(t, data, int(readSize)+1)
	})
}
