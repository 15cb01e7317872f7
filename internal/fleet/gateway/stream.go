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
	hVersions      = "Versions"
	hExpectVersion = "Expect-Version"
)

const (
	// maxWhole is up to how many bytes an answer is held whole, maxFailure bounds one that is no
	// success or belongs to no request, maxEvent one event of a stream.
	maxWhole, maxFailure, maxEvent = 64 << 10, 64 << 10, 256 << 10
	// writeTime is how long a client may take to read what is sent to it.
	writeTime = 10 * time.Second
)

// bodyOf reads a body as it comes; at io.EOF it was whole, any other error says it was not.
func bodyOf(cn *conn, resp *http.Response, method string) (io.Reader, error) {
	br := cn.br
	switch {
	case bodiless(resp, method):
		return bytes.NewReader(nil), nil
	case len(resp.TransferEncoding) > 0:
		return &chunked{r: httputil.NewChunkedReader(br), br: br}, nil
	case resp.ContentLength >= 0:
		return &counted{br, resp.ContentLength}, nil
	}
	if !resp.ProtoAtLeast(1, 1) { // its chunks, if it has any, were not told of
		return nil, http1.Malformed("an answer without length in %s", resp.Proto)
	}
	return &untilClose{cn}, nil
}

// bodiless tells whether an answer has no body whatever its head says.
func bodiless(resp *http.Response, method string) bool {
	return method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// endsWithConnection tells whether an answer has no length and ends where its connection does.
func endsWithConnection(resp *http.Response, method string) bool {
	return !bodiless(resp, method) && len(resp.TransferEncoding) == 0 && resp.ContentLength < 0
}

// untilClose reads a body that ends with its connection. It is whole only if the server closed the
// connection; a reset comes as an error. Where the request was not sent whole the two can't be told
// apart: the write that failed may have been told of the reset in place of the read.
type untilClose struct{ cn *conn }

func (u *untilClose) Read(p []byte) (int, error) {
	n, err := u.cn.br.Read(p)
	if err == io.EOF && !u.cn.upload.complete() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

type chunked struct {
	r    io.Reader
	br   *bufio.Reader
	over bool
}

func (c *chunked) Read(p []byte) (int, error) {
	if c.over {
		return 0, io.EOF
	}
	n, err := c.r.Read(p)
	switch {
	case err == io.EOF:
		c.over = true
		if terr := http1.ReadTrailer(c.br); terr != nil {
			return n, noEOF(terr)
		}
	case err != nil && !http1.IsNetworkError(err) && err != io.ErrUnexpectedEOF:
		err = http1.Malformed("%v", err)
	}
	return n, err
}

func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

type counted struct {
	r    io.Reader
	left int64
}

func (c *counted) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, io.EOF
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.left)])
	if c.left -= int64(n); c.left > 0 {
		err = noEOF(err)
	} else if err == io.EOF {
		err = nil
	}
	return n, err
}

func readWhole(cn *conn, resp *http.Response, method string) ([]byte, error) {
	r, err := bodyOf(cn, resp, method)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxFailure+1))
	if err == nil && len(body) > maxFailure {
		err = http1.Malformed("a body over %d bytes", maxFailure)
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
	if c, ok := body.(*counted); ok && c.left == 0 {
		return nil
	}
	err := t.await(ctx)
	if _, ok := body.(*untilClose); ok && err == io.ErrUnexpectedEOF {
		return nil // the body tells whether this is its end
	}
	return err
}

// stream passes the events of a server's answer on as they come, whole ones only. Ids that do not
// follow on each other are not this stream's: it is broken there, and goes on at another server
// where it may be resumed.
func (t *attempt) stream(ctx context.Context, resp *http.Response) (outcome, balancer.Outcome, bool) {
	d, cn, a, r := t.door, t.cn, t.answer, t.request
	body, err := bodyOf(cn, resp, r.method)
	if err != nil {
		return mayRun, balancer.BadResponse, false
	}
	if !a.join(version(resp.Header.Get(hVersions))) {
		return mayRun, balancer.Cancelled, false // nothing is wrong with the server
	}
	var buf []byte
	chunk := make([]byte, 8<<10)
	for {
		n, err := 0, t.awaitBody(ctx, body)
		if err == nil {
			n, err = body.Read(chunk)
		}
		buf = append(buf, chunk[:n]...)
		whole, events, bad := a.take(buf)
		if whole > 0 {
			if werr := a.pass(resp, buf[:whole]); werr != nil {
				d.Figures.Left.Add(1)
				return left, balancer.Cancelled, false
			}
			buf = append(buf[:0], buf[whole:]...)
			now := d.now()
			d.mu.Lock()
			t.decision.Attempt.Events(now, events)
			d.mu.Unlock()
		}
		switch {
		case bad || len(buf) > maxEvent:
			return mayRun, balancer.BadResponse, false
		case err == io.EOF && len(bytes.TrimSpace(buf)) > 0:
			return mayRun, balancer.BadResponse, false // it ends within an event
		case err == io.EOF:
			if !a.begun { // an empty stream
				if err := a.pass(resp, nil); err != nil {
					return left, balancer.Cancelled, false
				}
			}
			d.Figures.Served.Add(1)
			return done, balancer.Succeeded, true
		case err != nil && ctx.Err() != nil:
			how := balancer.Timeout
			if ctx.Err() == context.Canceled {
				how = balancer.Cancelled
			}
			return d.gone(ctx, mayRun), how, false
		case err != nil:
			return mayRun, broken(err), false
		}
	}
}

// version reads the version of a server's weights; "" if none is told.
func version(field string) string {
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
	return version(string(value)), true
}

// join has a stream go by the version of the server that is to begin it or go on with it. It tells
// whether it may: events of different versions are never joined.
func (a *answer) join(version string) bool {
	if a.begun && version != a.version {
		return false
	}
	a.version = version
	a.joining = a.begun
	return true
}

// takeVersion notes the version that an event tells of, and tells whether it may follow what the
// client has: a run may change its weights, but not at the place where it goes on with another's.
func (a *answer) takeVersion(event []byte) bool {
	version, told := eventVersion(event)
	if told && a.joining && version != a.version {
		return false
	}
	if told {
		a.version = version
	}
	a.joining = false
	return true
}

// take finds the whole events at the start of what has come: how many bytes, and how many events.
// bad: what follows them is no event that is due.
func (a *answer) take(buf []byte) (whole, events int, bad bool) {
	for {
		i := bytes.Index(buf[whole:], []byte("\n\n"))
		if i < 0 {
			return whole, events, false
		}
		event := buf[whole : whole+i+2]
		id, ok := eventID(event)
		switch {
		case !ok && a.next > 0, ok && a.next > 0 && id != a.next, !a.takeVersion(event):
			return whole, events, true
		case ok:
			a.next = id + 1
			a.last = strconv.FormatInt(id, 10)
		}
		whole += i + 2
		events++
	}
}

// pass sends events to the client, the head of the first server before the first.
func (a *answer) pass(resp *http.Response, events []byte) error {
	if err := a.rc.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return errors.Wrap(err, "bound a write")
	}
	if !a.begun {
		a.begun = true
		copyHead(a.w.Header(), resp.Header)
		a.w.Header().Del("Content-Length")
		a.w.WriteHeader(resp.StatusCode)
	}
	if _, err := a.w.Write(events); err != nil {
		return err
	}
	return a.rc.Flush()
}
