package agent

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"

	"chalkdoor.example/chalkdoor/internal/http1"
)

const (
	// maxRequestBody is the maximum size in bytes of the body of a request, maxHead that of a head.
	maxRequestBody, maxHead = 64 << 10, http1.MaxHeadBytes
	// maxResponseBody is the maximum size in bytes of the body of a response. Some responses are larger than
	// requests may be; the memory budget bounds their total.
	maxResponseBody = 1 << 20
)

// reserveFunc reserves memory for n bytes of a body.
type reserveFunc func(n int64) error

// readResponse reads one final response with its body. It returns only a response whose head and framing are
// unambiguous, so that no byte after it was taken for a part of it. For other responses the error is
// http1.ErrMalformed.
func readResponse(reader *bufio.Reader, reserve reserveFunc) (*http.Response, []byte, error) {
	resp, err := http1.ReadResponseHead(reader)
	if err != nil {
		return nil, nil, err
	}
	body, err := readResponseBody(reader, resp, reserve)
	if err != nil {
		return nil, nil, err
	}
	return resp, body, nil
}

func readResponseBody(reader *bufio.Reader, resp *http.Response, reserve reserveFunc) ([]byte, error) {
	size := resp.ContentLength
	switch {
	case resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		return nil, nil
	case len(resp.TransferEncoding) > 0:
		body, err := readChunks(httputil.NewChunkedReader(reader), reserve)
		if err != nil {
			return nil, err
		}
		if err := http1.ReadTrailer(reader); err != nil {
			return nil, err
		}
		return body, nil
	case size < 0:
		// The body would end with the connection, and a truncated response would look complete.
		return nil, http1.Malformed("response without a length")
	case size > maxResponseBody:
		return nil, http1.Malformed("body of %d bytes", size)
	}
	if err := reserve(size); err != nil {
		return nil, err
	}
	body := make([]byte, size)
	_, err := io.ReadFull(reader, body)
	return body, err
}

// readChunks reads a body of unknown size and reserves memory as the body grows.
func readChunks(chunks io.Reader, reserve reserveFunc) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := max(2*cap(body), unreservedBody)
			if err := reserve(int64(grown - cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := chunks.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err == io.ErrUnexpectedEOF || err != nil && http1.IsNetworkError(err):
			return nil, err
		case err != nil:
			return nil, http1.Malformed("%v", err)
		case len(body) > maxResponseBody:
			return nil, http1.Malformed("body over %d bytes", maxResponseBody)
		}
	}
}
