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

// maxEventLines bounds the lines of one event.
const maxEventLines = 16

// conn is a connection of a client to an agent.
type conn struct {
	*net.TCPConn
	reader      *bufio.Reader
	agent       string        // IP of the agent
	lastAttempt *Attempt      // last attempt on the connection; nil if there is none yet
	idleSince   time.Duration // when the last response ended, on the clock of Fleet.Now
}

// exchange sends a request and reads its response into the attempt. It reports whether the connection can be reused.
// Without keep the request asks the agent to close the connection.
func (c *conn) exchange(ctx context.Context, now func() time.Duration, attempt *Attempt, body string, keep bool, idleTimeout time.Duration) (reusable bool) {
	defer func() { attempt.EndedAt = now() }()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	extendDeadline := func() { // to idleTimeout from now, or to the attempt's deadline if that is earlier
		if ctx.Err() == nil {
			_ = c.SetDeadline(time.Now().Add(min(idleTimeout, attempt.Deadline-now())))
		}
	}
	extendDeadline()
	if _, err := io.WriteString(c, attempt.encode(body, keep, attempt.Deadline-now())); err == nil {
		attempt.SentAt = now()
	} // after an error there may still be a response to read
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		attempt.recordFailure(err)
		return false
	}
	defer response.Body.Close()
	attempt.recordHeader(response)
	if attempt.Status/100 == 2 {
		err = attempt.readEvents(response.Body, now, extendDeadline)
	} else {
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBody))
	}
	if err != nil {
		attempt.recordFailure(err)
		return false
	}
	attempt.Complete = true
	return keep && !response.Close
}

// encode returns the bytes of the request. timeLeft is the time until the client's deadline. About a third of the
// bodies, chosen by their hash, is sent in chunks.
func (a *Attempt) encode(body string, keep bool, timeLeft time.Duration) string {
	text := "POST " + a.Target + " HTTP/1.1\r\nHost: " + a.Host + "\r\n" + modelserver.HeaderAttempt + ": " + a.ID + "\r\n" +
		modelserver.HeaderModel + ": " + a.Prompt.Model + "\r\n" + modelserver.HeaderTokens + ": " + a.Prompt.Tokens + "\r\n" +
		modelserver.HeaderPrefix + ": " + a.Prompt.Prefix + "\r\n" +
		modelserver.HeaderDeadline + ": " + strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10) + "\r\n"
	if a.AfterEvent > 0 {
		text += modelserver.HeaderLastID + ": " + strconv.Itoa(a.AfterEvent) + "\r\n"
	}
	if !keep {
		text += "Connection: close\r\n"
	}
	if a.Prompt.BodyHash%3 != 0 {
		return text + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	text += "Transfer-Encoding: chunked\r\n\r\n"
	half := len(body) / 2
	for _, chunk := range []string{body[:half], body[half:]} {
		if chunk != "" {
			text += strconv.FormatInt(int64(len(chunk)), 16) + "\r\n" + chunk + "\r\n"
		}
	}
	return text + "0\r\n\r\n"
}

// recordHeader records the status and the header of a response.
func (a *Attempt) recordHeader(response *http.Response) {
	a.Status = response.StatusCode
	a.Seal = response.Header.Get(modelserver.HeaderSeal)
	a.AttemptHeader = response.Header.Get(modelserver.HeaderAttempt)
	a.Encoded = response.Header.Get("Content-Encoding") != ""
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
}

// dial connects to an agent. It returns the agent's IP even if it returns an error.
func dial(ctx context.Context, a *Endpoint) (*conn, string, error) {
	d := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	n, err := d.DialContext(ctx, "tcp", a.Front)
	if err != nil {
		return nil, a.IP, errors.Wrap(err, "connect")
	}
	return &conn{TCPConn: n.(*net.TCPConn), reader: bufio.NewReaderSize(n, 4<<10), agent: a.IP}, a.IP, nil
}

// readEvents reads the events of a stream to the end of its body, and calls onEvent after each.
func (a *Attempt) readEvents(body io.Reader, now func() time.Duration, onEvent func()) error {
	in := bufio.NewReader(body)
	var lines []string
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF && (line != "" || len(lines) > 0) {
			a.ProtocolError = fmt.Sprintf("incomplete event at the end: %q", append(lines, line))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if line = strings.TrimRight(line, "\r\n"); line != "" {
			if lines = append(lines, line); len(lines) > maxEventLines {
				return errors.Errorf("event with more than %d lines", maxEventLines)
			}
			continue
		}
		event, err := modelserver.ParseEvent(lines)
		if err != nil {
			return err
		}
		a.Events, lines = append(a.Events, ReceivedEvent{event, now()}), nil
		onEvent()
	}
}

// recordFailure records the reason of an incomplete response.
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
