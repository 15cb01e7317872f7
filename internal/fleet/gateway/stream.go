package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/http1"
)

// The header fields of the version of a server's weights: what an answer was made with, and what a
// request is to be run with.
const (
	headerVersions      = "Versions"
	headerExpectVersion = "Expect-Version"
)

const (
	// maxBufferedBodyBytes is up to how many bytes an answer is held whole, maxFailureBodyBytes bounds one that is no
	// success or belongs to no request, maxEventBytes one event of a stream.
	maxBufferedBodyBytes, maxFailureBodyBytes, maxEventBytes = 64 << 10, 64 << 10, 256 << 10
	// clientWriteTimeout is how long a client may take to read what is sent to it.
	clientWriteTimeout = 10 * time.Second
)

// newBodyReader reads a body as it comes; at io.EOF it was whole, any other error says it was not.
func newBodyReader(cn *conn, resp *http.Response, method string) (io.Reader, error) {
	br := cn.reader
	switch {
	case hasNoBody(resp, method):
		return bytes.NewReader(nil), nil
	case len(resp.TransferEncoding) > 0:
		return &chunkedBody{chunks: httputil.NewChunkedReader(br), reader: br}, nil
	case resp.ContentLength >= 0:
		return &lengthDelimitedBody{br, resp.ContentLength}, nil
	}
	if !resp.ProtoAtLeast(1, 1) { // its chunks, if it has any, were not told of
		return nil, http1.Malformed("an answer without length in %s", resp.Proto)
	}
	return &closeDelimitedBody{cn}, nil
}

// hasNoBody tells whether an answer has no body whatever its head says.
func hasNoBody(resp *http.Response, method string) bool {
	return method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// isCloseDelimited tells whether an answer has no length and ends where its connection does.
func isCloseDelimited(resp *http.Response, method string) bool {
	return !hasNoBody(resp, method) && len(resp.TransferEncoding) == 0 && resp.ContentLength < 0
}

// closeDelimitedBody reads a body that ends with its connection. It is whole only if the server closed the
// connection; a reset comes as an error. Where the request was not sent whole the two can't be told
// apart: the write that failed may have been told of the reset in place of the read.
type closeDelimitedBody struct{ conn *conn }

func (u *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := u.conn.reader.Read(p)
	if err == io.EOF && !u.conn.upload.complete() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

type chunkedBody struct {
	chunks   io.Reader
	reader   *bufio.Reader
	complete bool
}

func (c *chunkedBody) Read(p []byte) (int, error) {
	if c.complete {
		return 0, io.EOF
	}
	n, err := c.chunks.Read(p)
	switch {
	case err == io.EOF:
		c.complete = true
		if terr := http1.ReadTrailer(c.reader); terr != nil {
			return n, unexpectedEOF(terr)
		}
	case err != nil && !http1.IsNetworkError(err) && err != io.ErrUnexpectedEOF:
		err = http1.Malformed("%v", err)
	}
	return n, err
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

type lengthDelimitedBody struct {
	reader    io.Reader
	remaining int64
}

func (c *lengthDelimitedBody) Read(p []byte) (int, error) {
	if c.remaining == 0 {
		return 0, io.EOF
	}
	n, err := c.reader.Read(p[:min(int64(len(p)), c.remaining)])
	if c.remaining -= int64(n); c.remaining > 0 {
		err = unexpectedEOF(err)
	} else if err == io.EOF {
		err = nil
	}
	return n, err
}

func readBoundedBody(cn *conn, resp *http.Response, method string) ([]byte, error) {
	r, err := newBodyReader(cn, resp, method)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxFailureBodyBytes+1))
	if err == nil && len(body) > maxFailureBodyBytes {
		err = http1.Malformed("a body over %d bytes", maxFailureBodyBytes)
	}
	return body, err
}

// eventID is the id that an event carries; false if it has none that is a number.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
			return n, err == nil
		}
	}
	return 0, false
}

// awaitBody waits for more of a body, unless nothing more of it is due.
func (t *attempt) awaitBody(ctx context.Context, body io.Reader) error {
	if c, ok := body.(*lengthDelimitedBody); ok && c.remaining == 0 {
		return nil
	}
	err := t.awaitData(ctx)
	if _, ok := body.(*closeDelimitedBody); ok && err == io.ErrUnexpectedEOF {
		return nil // the body tells whether this is its end
	}
	return err
}

// relayStream passes the events of a server's answer on as they come, whole ones only. Ids that do not
// follow on each other are not this stream's: it is broken there, and goes on at another server
// where it may be resumed.
func (t *attempt) relayStream(ctx context.Context, resp *http.Response) (outcome, balancer.Outcome, bool) {
	d, cn, a, r := t.gateway, t.conn, t.response, t.request
	body, err := newBodyReader(cn, resp, r.method)
	if err != nil {
		return outcomeUnknown, balancer.BadResponse, false
	}
	if !a.startUpstream(parseVersion(resp.Header.Get(headerVersions))) {
		return outcomeUnknown, balancer.Cancelled, false // nothing is wrong with the server
	}
	var buf []byte
	chunk := make([]byte, 8<<10)
	for {
		n, err := 0, t.awaitBody(ctx, body)
		if err == nil {
			n, err = body.Read(chunk)
		}
		buf = append(buf, chunk[:n]...)
		whole, events, bad := a.acceptEvents(buf)
		if whole > 0 {
			if werr := a.writeEvents(resp, buf[:whole]); werr != nil {
				d.Counters.ClientDisconnects.Add(1)
				return outcomeClientGone, balancer.Cancelled, false
			}
			buf = append(buf[:0], buf[whole:]...)
			now := d.now()
			d.mu.Lock()
			t.decision.Attempt.Events(now, events)
			d.mu.Unlock()
		}
		switch {
		case bad || len(buf) > maxEventBytes:
			return outcomeUnknown, balancer.BadResponse, false
		case err == io.EOF && len(bytes.TrimSpace(buf)) > 0:
			return outcomeUnknown, balancer.BadResponse, false // it ends within an event
		case err == io.EOF:
			if !a.headerSent { // an empty stream
				if err := a.writeEvents(resp, nil); err != nil {
					return outcomeClientGone, balancer.Cancelled, false
				}
			}
			d.Counters.Served.Add(1)
			return outcomeAnswered, balancer.Succeeded, true
		case err != nil && ctx.Err() != nil:
			how := balancer.Timeout
			if ctx.Err() == context.Canceled {
				how = balancer.Cancelled
			}
			return d.cancelledOutcome(ctx, outcomeUnknown), how, false
		case err != nil:
			return outcomeUnknown, attemptEndOf(err), false
		}
	}
}

// parseVersion reads the version of a server's weights; "" if none is told.
func parseVersion(field string) string {
	n, err := strconv.ParseUint(strings.TrimSpace(field), 10, 64)
	if err != nil {
		return ""
	}
	return strconv.FormatUint(n, 10)
}

// eventVersion is the version that an event tells of; false if it tells of none.
func eventVersion(event []byte) (string, bool) {
	line, _, _ := bytes.Cut(event, []byte("\n"))
	value, ok := bytes.CutPrefix(line, []byte("versions:"))
	if !ok {
		return "", false
	}
	return parseVersion(string(value)), true
}

// startUpstream has a stream go by the version of the server that is to begin it or go on with it. It tells
// whether it may: events of different versions are never joined.
func (a *clientResponse) startUpstream(version string) bool {
	if a.headerSent && version != a.version {
		return false
	}
	a.version = version
	a.resuming = a.headerSent
	return true
}

// acceptVersion notes the version that an event tells of, and tells whether it may follow what the
// client has: a run may change its weights, but not at the place where it goes on with another's.
func (a *clientResponse) acceptVersion(event []byte) bool {
	version, told := eventVersion(event)
	if told && a.resuming && version != a.version {
		return false
	}
	if told {
		a.version = version
	}
	a.resuming = false
	return true
}

// acceptEvents finds the whole events at the start of what has come: how many bytes, and how many events.
// bad: what follows them is no event that is due.
func (a *clientResponse) acceptEvents(buf []byte) (whole, events int, bad bool) {
	for {
		i := bytes.Index(buf[whole:], []byte("\n\n"))
		if i < 0 {
			return whole, events, false
		}
		event := buf[whole : whole+i+2]
		id, ok := eventID(event)
		switch {
		case !ok && a.nextEventID > 0, ok && a.nextEventID > 0 && id != a.nextEventID, !a.acceptVersion(event):
			return whole, events, true
		case ok:
			a.nextEventID = id + 1
			a.lastEventID = strconv.FormatInt(id, 10)
		}
		whole += i + 2
		events++
	}
}

// writeEvents sends events to the client, the head of the first server before the first.
func (a *clientResponse) writeEvents(resp *http.Response, events []byte) error {
	if err := a.controller.SetWriteDeadline(time.Now().Add(clientWriteTimeout)); err != nil {
		return errors.Wrap(err, "bound a write")
	}
	if !a.headerSent {
		a.headerSent = true
		copyEndToEndHeader(a.writer.Header(), resp.Header)
		a.writer.Header().Del("Content-Length")
		a.writer.WriteHeader(resp.StatusCode)
	}
	if _, err := a.writer.Write(events); err != nil {
		return err
	}
	return a.controller.Flush()
}
