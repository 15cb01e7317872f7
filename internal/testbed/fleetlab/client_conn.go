package fleetlab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// conn is a connection of a client with an agent.
type conn struct {
	*net.TCPConn
	reader      *bufio.Reader
	agent       string
	lastAttempt *Attempt
	idleSince   time.Duration
}

// exchange sends a request and reads its answer. It tells whether the connection can be used
// again. A client that keeps none says so.
func (k *conn) exchange(ctx context.Context, now func() time.Duration, t *Attempt, body string, keep bool, silence time.Duration) (again bool) {
	defer func() { t.EndedAt = now() }()
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	patience := func(d time.Duration) { // at most d, and not past the deadline
		if ctx.Err() == nil {
			_ = k.SetDeadline(time.Now().Add(min(d, t.Deadline-now())))
		}
	}
	patience(silence)
	head := "POST " + t.Target + " HTTP/1.1\r\nHost: " + t.Host + "\r\n" + modelserver.HeaderAttempt + ": " + t.ID + "\r\n" +
		modelserver.HeaderModel + ": " + t.Prompt.Model + "\r\n" + modelserver.HeaderTokens + ": " + t.Prompt.Tokens + "\r\n" +
		modelserver.HeaderPrefix + ": " + t.Prompt.Prefix + "\r\n" +
		modelserver.HeaderDeadline + ": " + strconv.FormatInt(max((t.Deadline-now()).Milliseconds(), 1), 10) + "\r\n"
	if t.AfterEvent > 0 {
		head += modelserver.HeaderLastID + ": " + strconv.Itoa(t.AfterEvent) + "\r\n"
	}
	if !keep {
		head += "Connection: close\r\n"
	}
	if t.Prompt.Body%3 == 0 { // some bodies come in chunks
		half := len(body) / 2
		head += "Transfer-Encoding: chunked\r\n\r\n"
		for _, part := range []string{body[:half], body[half:]} {
			if part != "" {
				head += strconv.FormatInt(int64(len(part)), 16) + "\r\n" + part + "\r\n"
			}
		}
		head += "0\r\n\r\n"
	} else {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	if _, err := io.WriteString(k, head); err == nil {
		t.SentAt = now()
	} // else an answer may be there already
	resp, err := http.ReadResponse(k.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		t.recordFailure(err)
		return false
	}
	defer resp.Body.Close()
	t.Status, t.Seal, t.AttemptHeader = resp.StatusCode, resp.Header.Get(modelserver.HeaderSeal), resp.Header.Get(modelserver.HeaderAttempt)
	t.Encoded = resp.Header.Get("Content-Encoding") != ""
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		t.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if t.Status/100 != 2 {
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBody)); err != nil {
			t.recordFailure(err)
			return false
		}
		t.Complete = true
		return keep && !resp.Close
	}
	if err := t.readEvents(resp.Body, now, func() { patience(silence) }); err != nil {
		t.recordFailure(err)
		return false
	}
	t.Complete = true
	return keep && !resp.Close
}

func dial(ctx context.Context, a *Endpoint) (*conn, string, error) {
	d := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	n, err := d.DialContext(ctx, "tcp", a.Front)
	if err != nil {
		return nil, a.IP, errors.Wrap(err, "connect")
	}
	return &conn{TCPConn: n.(*net.TCPConn), reader: bufio.NewReaderSize(n, 4<<10), agent: a.IP}, a.IP, nil
}

// readEvents reads the events of a stream to the end of its body.
func (t *Attempt) readEvents(body io.Reader, now func() time.Duration, more func()) error {
	in := bufio.NewReader(body)
	var lines []string
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF && (line != "" || len(lines) > 0) {
			t.ProtocolError = fmt.Sprintf("half an event at the end: %q", append(lines, line))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if line = strings.TrimRight(line, "\r\n"); line != "" {
			if lines = append(lines, line); len(lines) > 16 {
				return errors.New("an event of over 16 lines")
			}
			continue
		}
		e, err := modelserver.ParseEvent(lines)
		if err != nil {
			return err
		}
		t.Events, lines = append(t.Events, ReceivedEvent{e, now()}), nil
		more()
	}
}

// recordFailure notes how an answer ended that did not come whole.
func (t *Attempt) recordFailure(err error) {
	var timeout net.Error
	var op *net.OpError
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		t.EndReason = TimedOut
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &op):
		t.EndReason = Closed
	default:
		t.EndReason, t.ProtocolError = Malformed, err.Error()
	}
}
