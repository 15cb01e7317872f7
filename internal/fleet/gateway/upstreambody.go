package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"

	"chalkdoor.example/chalkdoor/internal/http1"
)

// maxFailureBodyBytes is the largest body of a response that is not 2xx, or that belongs to another request.
const maxFailureBodyBytes = 64 << 10

// newBodyReader returns a reader of a response's body. The reader returns io.EOF only at the end of a
// complete body. For any other body it returns io.ErrUnexpectedEOF, the error of the connection or an
// http1.ErrMalformed.
func newBodyReader(conn *conn, upstream *http.Response, method string) (io.Reader, error) {
	switch {
	case hasNoBody(upstream, method):
		return bytes.NewReader(nil), nil
	case len(upstream.TransferEncoding) > 0:
		return &chunkedBody{chunks: httputil.NewChunkedReader(conn.reader), reader: conn.reader}, nil
	case upstream.ContentLength >= 0:
		return &lengthDelimitedBody{reader: conn.reader, remaining: upstream.ContentLength}, nil
	case !upstream.ProtoAtLeast(1, 1):
		// net/http ignores Transfer-Encoding in HTTP/1.0: the framing of chunks would be taken for data.
		return nil, http1.Malformed("a response without length in %s", upstream.Proto)
	}
	return &closeDelimitedBody{conn}, nil
}

// hasNoBody reports whether a response has no body, whatever its head contains (RFC 9112, section 6.3).
func hasNoBody(upstream *http.Response, method string) bool {
	return method == http.MethodHead || upstream.StatusCode == http.StatusNoContent || upstream.StatusCode == http.StatusNotModified
}

// isCloseDelimited reports whether a response has no length and ends with its connection.
func isCloseDelimited(upstream *http.Response, method string) bool {
	return !hasNoBody(upstream, method) && len(upstream.TransferEncoding) == 0 && upstream.ContentLength < 0
}

// closeDelimitedBody is a body that ends with its connection. It is complete only if the server closed
// the connection; a reset is an error. If the request was not sent completely, a close can't be
// distinguished from a reset, as the failed write may have consumed the reset: the body then counts as
// truncated.
type closeDelimitedBody struct{ conn *conn }

func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.conn.reader.Read(p)
	if err == io.EOF && !b.conn.upload.complete() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunked transfer coding, including its trailer.
type chunkedBody struct {
	chunks   io.Reader     // the data of the chunks
	reader   *bufio.Reader // the connection, from which chunks also reads
	complete bool          // the last chunk has been read
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	switch {
	case err == io.EOF:
		b.complete = true
		if trailerErr := http1.ReadTrailer(b.reader); trailerErr != nil {
			return n, unexpectedEOF(trailerErr)
		}
	case err != nil && !http1.IsNetworkError(err) && err != io.ErrUnexpectedEOF:
		err = http1.Malformed("%v", err)
	}
	return n, err
}

// lengthDelimitedBody is a body with a Content-Length.
type lengthDelimitedBody struct {
	reader    io.Reader
	remaining int64 // bytes that have not been read yet
}

func (b *lengthDelimitedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	switch {
	case b.remaining > 0:
		err = unexpectedEOF(err)
	case err == io.EOF:
		err = nil // the next call returns it
	}
	return n, err
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, and any other error as it is.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readBoundedBody reads a complete body of up to maxFailureBodyBytes.
func readBoundedBody(conn *conn, upstream *http.Response, method string) ([]byte, error) {
	reader, err := newBodyReader(conn, upstream, method)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(reader, maxFailureBodyBytes+1))
	if err == nil && len(body) > maxFailureBodyBytes {
		err = http1.Malformed("a body over %d bytes", maxFailureBodyBytes)
	}
	return body, err
}
