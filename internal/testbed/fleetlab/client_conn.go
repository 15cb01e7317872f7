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
func (c *conn) exchange(ctx context.Context, now func() time.Duration, attempt *Attempt, body string, keep bool, silence time.Duration) (again bool) {
	defer func() { attempt.EndedAt = now() }()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	patience := func(d time.Duration) { // at most d, and not past the deadline
		if ctx.Err() == nil {
			_ = c.SetDeadline(time.Now().Add(min(d, attempt.Deadline-now())))
		}
	}
	patience(silence)
	text := "POST " + attempt.Target + " HTTP/1.1\r\nHost: " + attempt.Host + "\r\n" + modelserver.HeaderAttempt + ": " + attempt.ID + "\r\n" +
		modelserver.HeaderModel + ": " + attempt.Prompt.Model + "\r\n" + modelserver.HeaderTokens + ": " + attempt.Prompt.Tokens + "\r\n" +
		modelserver.HeaderPrefix + ": " + attempt.Prompt.Prefix + "\r\n" +
		modelserver.HeaderDeadline + ": " + strconv.FormatInt(max((attempt.Deadline-now()).Milliseconds(), 1), 10) + "\r\n"
	if attempt.AfterEvent > 0 {
		text += modelserver.HeaderLastID + ": " + strconv.Itoa(attempt.AfterEvent) + "\r\n"
	}
	if !keep {
		text += "Connection: close\r\n"
	}
	if attempt.Prompt.Body%3 == 0 { // some bodies come in chunks
		half := len(body) / 2
		text += "Transfer-Encoding: chunked\r\n\r\n"
		for _, part := range []string{body[:half], body[half:]} {
			if part != "" {
				text += strconv.FormatInt(int64(len(part)), 16) + "\r\n" + part + "\r\n"
			}
		}
		text += "0\r\n\r\n"
	} else {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	if _, err := io.WriteString(c, text); err == nil {
		attempt.SentAt = now()
	} // else an answer may be there already
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		attempt.recordFailure(err)
		return false
	}
	defer resp.Body.Close()
	attempt.Status, attempt.Seal, attempt.AttemptHeader = resp.StatusCode, resp.Header.Get(modelserver.HeaderSeal), resp.Header.Get(modelserver.HeaderAttempt)
	attempt.Encoded = resp.Header.Get("Content-Encoding") != ""
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		attempt.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if attempt.Status/100 != 2 {
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBody)); err != nil {
			attempt.recordFailure(err)
			return false
		}
		attempt.Complete = true
		return keep && !resp.Close
	}
	if err := attempt.readEvents(resp.Body, now, func() { patience(silence) }); err != nil {
		attempt.recordFailure(err)
		return false
	}
	attempt.Complete = true
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
func (a *Attempt) readEvents(body io.Reader, now func() time.Duration, more func()) error {
	in := bufio.NewReader(body)
	var lines []string
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF && (line != "" || len(lines) > 0) {
			a.ProtocolError = fmt.Sprintf("half an event at the end: %q", append(lines, line))
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
		event, err := modelserver.ParseEvent(lines)
		if err != nil {
			return err
		}
		a.Events, lines = append(a.Events, ReceivedEvent{event, now()}), nil
		more()
	}
}

// recordFailure notes how an answer ended that did not come whole.
func (a *Attempt) recordFailure(err error) {
	var timeout net.Error
	var op *net.OpError
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		a.EndReason = TimedOut
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &op):
		a.EndReason = Closed
	default:
		a.EndReason, a.ProtocolError = Malformed, err.Error()
	}
}
