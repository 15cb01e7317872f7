package door

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/h1"
	"chalkdoor.example/chalkdoor/internal/pick"
)

const (
	// maxWhole is up to how many bytes an answer is held whole, maxFailure bounds one that is no
	// success or belongs to no request, maxEvent one event of a stream.
	maxWhole, maxFailure, maxEvent = 64 << 10, 64 << 10, 256 << 10
	// writeTime is how long a client may take to read what is sent to it.
	writeTime = 10 * time.Second
)

// bodyOf reads a body as it comes; at io.EOF it was whole, any other error says it was not.
func bodyOf(br *bufio.Reader, resp *http.Response, method string) (io.Reader, error) {
	switch {
	case method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		return bytes.NewReader(nil), nil
	case len(resp.TransferEncoding) > 0:
		return &chunked{r: httputil.NewChunkedReader(br), br: br}, nil
	case resp.ContentLength >= 0:
		return &counted{br, resp.ContentLength}, nil
	}
	// It would end where the connection does, and nothing could tell a whole answer from one that
	// was cut off.
	return nil, h1.Spoilt("an answer without length")
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
		if terr := h1.ReadTrailer(c.br); terr != nil {
			return n, noEOF(terr)
		}
	case err != nil && !h1.IsNet(err) && err != io.ErrUnexpectedEOF:
		err = h1.Spoilt("%v", err)
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

func readWhole(br *bufio.Reader, resp *http.Response, method string) ([]byte, error) {
	r, err := bodyOf(br, resp, method)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxFailure+1))
	if err == nil && len(body) > maxFailure {
		err = h1.Spoilt("a body over %d bytes", maxFailure)
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

// stream passes the events of a server's answer on as they come, whole ones only. Ids that do not
// follow on each other are not this stream's: it is broken there, and goes on at another server
// where it may be resumed.
func (t *attempt) stream(ctx context.Context, resp *http.Response) (outcome, pick.End, bool) {
	d, cn, a, r := t.door, t.cn, t.answer, t.request
	body, err := bodyOf(cn.br, resp, r.method)
	if err != nil {
		return mayRun, pick.Broken, false
	}
	var buf []byte
	chunk := make([]byte, 8<<10)
	for {
		n, err := 0, error(nil)
		if c, ok := body.(*counted); !ok || c.left > 0 {
			err = t.await(ctx)
		}
		if err == nil {
			n, err = body.Read(chunk)
		}
		buf = append(buf, chunk[:n]...)
		whole, events, bad := a.take(buf)
		if whole > 0 {
			if werr := a.pass(resp, buf[:whole]); werr != nil {
				d.Figures.Left.Add(1)
				return left, pick.Cancelled, false
			}
			buf = append(buf[:0], buf[whole:]...)
			now := d.now()
			d.mu.Lock()
			t.decision.Attempt.Event(now, events)
			d.mu.Unlock()
		}
		switch {
		case bad || len(buf) > maxEvent:
			return mayRun, pick.Broken, false
		case err == io.EOF && len(bytes.TrimSpace(buf)) > 0:
			return mayRun, pick.Broken, false // it ends within an event
		case err == io.EOF:
			if !a.begun { // an empty stream
				if err := a.pass(resp, nil); err != nil {
					return left, pick.Cancelled, false
				}
			}
			d.Figures.Served.Add(1)
			return done, pick.Served, true
		case err != nil && ctx.Err() != nil:
			how := pick.Timeout
			if ctx.Err() == context.Canceled {
				how = pick.Cancelled
			}
			return d.gone(ctx, mayRun), how, false
		case err != nil:
			return mayRun, broken(err), false
		}
	}
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
		case !ok && a.next > 0, ok && a.next > 0 && id != a.next:
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
