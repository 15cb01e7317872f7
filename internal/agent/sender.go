package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"chalkdoor.example/chalkdoor/internal/connpool"
	"chalkdoor.example/chalkdoor/internal/http1"
	"chalkdoor.example/chalkdoor/policy"
)

// attemptResult is how one attempt or probe ended.
type attemptResult struct {
	status        policy.Status
	latencyMs     float64
	report        []float32   // load report; nil if there is none
	statusCode    int         // of a complete response; 0 if there is none, which leaves the fields below empty
	header        http.Header // set only for an attempt
	body          []byte      // set only for an attempt
	reservedBytes int64       // bytes of the memory budget for body; its last owner releases them
}

// sender carries out attempts and probes. It is safe for concurrent use.
type sender struct {
	pool            *connPool
	memoryBudget    *semaphore.Weighted
	responseMetrics []string // in load reports on responses; nil if responses have none
	probeMetrics    []string // in load reports that probes get; nil if they get none
}

func newSender(config *Config, memoryBudget *semaphore.Weighted) *sender {
	s := &sender{pool: newConnPool(config), memoryBudget: memoryBudget}
	report := &config.Settings.LoadReport
	if report.Mode != policy.LoadReportOff {
		s.probeMetrics = report.Metrics
	}
	if report.Mode == policy.LoadReportInline {
		s.responseMetrics = report.Metrics
	}
	return s
}

// send makes one attempt and returns its result. It never sends anything twice. Cancelling ctx cancels the
// attempt and closes its connection.
func (s *sender) send(ctx context.Context, b *backend, addr string, request *clientRequest,
	sentAt, deadline time.Time) attemptResult {
	result := s.sendOnce(ctx, b, addr, request, deadline)
	// A cancelled attempt says nothing about its backend, even if its connect was cancelled. But a response that
	// had arrived counts, and what was never written was not executed.
	if ctx.Err() != nil && result.statusCode == 0 && result.status != policy.NotSent {
		result.status = policy.Cancelled
	}
	result.latencyMs = inMilliseconds(time.Since(sentAt))
	return result
}

// sendOnce gets a connection, makes the attempt, and returns the connection to the pool if it is reusable.
func (s *sender) sendOnce(ctx context.Context, b *backend, addr string, request *clientRequest,
	deadline time.Time) attemptResult {
	connectDeadline := time.Now().Add(s.pool.connectTimeout)
	conn, err := s.pool.get(ctx, b, addr, earliest(deadline, connectDeadline))
	if err != nil {
		// Nothing was sent. The backend is at fault only if it refused the connection or had the full connect
		// timeout.
		if isLocalFailure(err) || deadline.Before(connectDeadline) && !errors.Is(err, syscall.ECONNREFUSED) {
			return attemptResult{status: policy.NotSent}
		}
		return attemptResult{status: policy.ConnectFailed}
	}
	// A cancellation ends reads and writes at once.
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	result, reusable := s.exchange(ctx, conn, request, deadline)
	// Once a cancellation has begun, its deadline would affect the next user of the connection.
	if stop() && reusable {
		s.pool.put(conn)
	} else {
		s.pool.close(conn)
	}
	return result
}

// exchange writes the request and reads its response, unless the backend is draining by now: the connect may have
// taken long. reusable reports whether the connection may carry another request.
func (s *sender) exchange(ctx context.Context, conn *backendConn, request *clientRequest, deadline time.Time) (
	result attemptResult, reusable bool) {
	conn.SetDeadline(deadline)
	if ctx.Err() != nil || conn.backend.unavailable.Load() {
		return attemptResult{status: policy.NotSent}, true
	}
	head := request.encodeHead(time.Until(deadline))
	size := int64(len(head) + len(request.body))
	buffers := net.Buffers{head, request.body}
	if written, err := buffers.WriteTo(conn.Conn); err != nil {
		if written < size {
			// The last byte was never sent, and the connection is closed: the request can't be executed.
			return attemptResult{status: policy.ConnectFailed}, false
		}
		return attemptResult{status: statusAfterWrite(err)}, false
	}
	reserved := int64(0)
	resp, body, err := readResponse(conn.reader, func(n int64) error {
		if n <= unreservedBody {
			return nil
		}
		waitCtx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		if err := s.memoryBudget.Acquire(waitCtx, n); err != nil {
			return err
		}
		reserved += n
		return nil
	})
	s.recordReuse(conn, err)
	if err != nil {
		s.memoryBudget.Release(reserved)
		return attemptResult{status: statusAfterWrite(err)}, false
	}
	return attemptResult{
		status:        responseStatus(resp),
		statusCode:    resp.StatusCode,
		header:        resp.Header,
		body:          body,
		reservedBytes: reserved,
		report:        parseLoadReport(resp.Header["Server-Load"], s.responseMetrics),
	}, !resp.Close
}

// recordReuse records how an exchange ended: from that the pool learns after which idle time connections break.
func (s *sender) recordReuse(conn *backendConn, err error) {
	reset := err != nil && !errors.Is(err, http1.ErrMalformed) && statusAfterWrite(err) == policy.Reset
	s.pool.reuseStats.Record(conn.idleBucket, reset)
}

// isLocalFailure reports whether a connect failed because this agent lacked a resource or cancelled it.
func isLocalFailure(err error) bool {
	return errors.Is(err, connpool.ErrExhausted) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, context.Canceled)
}

// statusAfterWrite returns the status of an attempt that failed after its last byte was written: it may have been
// executed.
func statusAfterWrite(err error) policy.Status {
	var netErr net.Error
	switch {
	case errors.Is(err, http1.ErrMalformed):
		return policy.Error
	case errors.As(err, &netErr) && netErr.Timeout():
		return policy.Timeout
	}
	return policy.Reset
}

// responseStatus returns the status of a complete response. Only the backend's explicit header proves that a
// request was not executed: a bare 503 or 504 may be sent halfway through. Most 4xx are about the request and say
// nothing about the backend.
func responseStatus(resp *http.Response) policy.Status {
	code := resp.StatusCode
	notStarted := resp.Header.Get("Not-Started") == "1"
	switch {
	case code == http.StatusOK:
		return policy.OK
	case notStarted && (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout):
		return policy.Rejected
	case code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests:
		return policy.Cancelled
	}
	return policy.Error
}

// encodeHead returns the request's head for a backend, with the remaining time. The target is exactly as the
// client sent it: http.Request would write it in another form.
func (c *clientRequest) encodeHead(remaining time.Duration) []byte {
	header := http1.EndToEnd(c.header)
	header.Set("Request-Timeout-Ms", strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if c.method != http.MethodGet {
		header.Set("Content-Length", strconv.Itoa(len(c.body)))
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, c.target, c.host)
	_ = header.Write(&head) // a Buffer returns no error
	head.WriteString("\r\n")
	return head.Bytes()
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
