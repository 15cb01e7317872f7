package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"

	"chalkdoor.example/chalkdoor/internal/http1"
	"chalkdoor.example/chalkdoor/policy"
)

// backend is one listed server. Its fields belong to the loop, but for closed.
type backend struct {
	id          string
	policyAddr  policy.Addr // what the module calls it
	addr        string      // where it listens, as told to this agent last
	removed     bool
	inFlight    int         // attempts out
	startedMs   float64     // as listed
	unavailable atomic.Bool // told to drain or gone: read by attempts just before they write
}

// attemptResult is how one attempt ended.
type attemptResult struct {
	status        policy.Status
	latencyMs     float64
	report        []float32
	statusCode    int // of a whole answer
	header        http.Header
	body          []byte
	reservedBytes int64 // of the budget, for the body; whoever ends with the body gives it back
}

// sender makes attempts.
type sender struct {
	pool            *connPool
	memoryBudget    *semaphore.Weighted
	responseMetrics []string // of the load reports that answers hold
	probeMetrics    []string // and of those that probes bring
}

func newSender(c *Config, budget *semaphore.Weighted) *sender {
	s := &sender{pool: newConnPool(c), memoryBudget: budget}
	if how := c.Settings.LoadReport.Mode; how != "off" {
		s.probeMetrics = c.Settings.LoadReport.Metrics
		if how == "inline" {
			s.responseMetrics = c.Settings.LoadReport.Metrics
		}
	}
	return s
}

// send makes one attempt and returns how it ended, exactly once. It never sends
// anything twice. Cancelling ctx withdraws the attempt and closes its connection.
func (s *sender) send(ctx context.Context, b *backend, addr string, c *clientRequest, sent, deadline time.Time) attemptResult {
	r := s.sendOnce(ctx, b, addr, c, deadline)
	// A withdrawn attempt says nothing of its backend, also where the withdrawal cut
	// off a connect; an answer that was already there stands, and what was never
	// written never ran.
	if ctx.Err() != nil && r.statusCode == 0 && r.status != policy.NotSent {
		r.status = policy.Cancelled
	}
	r.latencyMs = float64(time.Since(sent).Microseconds()) / 1000
	return r
}

func (s *sender) sendOnce(ctx context.Context, b *backend, addr string, c *clientRequest, deadline time.Time) (res attemptResult) {
	connectBy := time.Now().Add(s.pool.connectTimeout)
	cn, err := s.pool.get(ctx, b, addr, earliest(deadline, connectBy))
	if err != nil {
		// Refused or never came up: not a byte was sent. Only what the backend had the
		// time for, or did, is its fault.
		if isLocalFailure(err) || deadline.Before(connectBy) && !errors.Is(err, syscall.ECONNREFUSED) {
			return attemptResult{status: policy.NotSent}
		}
		return attemptResult{status: policy.ConnectFailed}
	}
	reusable := false
	// Withdrawing makes whatever reads or writes end at once.
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		// If the withdrawal has begun its deadline would hit the next user.
		if stop() && reusable {
			s.pool.put(cn)
		} else {
			s.pool.close(cn)
		}
	}()
	cn.SetDeadline(deadline)
	// The connect may have taken long: the drain grace runs from the telling, so
	// nothing is begun on a backend that was told to drain meanwhile.
	if ctx.Err() != nil || b.unavailable.Load() {
		reusable = true
		return attemptResult{status: policy.NotSent}
	}
	head := c.encodeHead(time.Until(deadline))
	whole := int64(len(head) + len(c.body))
	out := net.Buffers{head, c.body}
	if n, err := out.WriteTo(cn.Conn); err != nil {
		if n < whole {
			// The last byte never left, and the connection is closed: it cannot run.
			return attemptResult{status: policy.ConnectFailed}
		}
		return attemptResult{status: statusAfterWrite(err)}
	}
	held := int64(0)
	resp, body, err := readResponse(cn.reader, func(n int64) error {
		if n <= unreservedBody {
			return nil
		}
		within, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		err := s.memoryBudget.Acquire(within, n)
		if err == nil {
			held += n
		}
		return err
	})
	if err != nil {
		s.memoryBudget.Release(held)
		s.pool.ages.Record(cn.idleSlot, !errors.Is(err, http1.ErrMalformed) && statusAfterWrite(err) == policy.Reset)
		return attemptResult{status: statusAfterWrite(err)}
	}
	s.pool.ages.Record(cn.idleSlot, false)
	reusable = !resp.Close
	return attemptResult{status: responseStatus(resp), statusCode: resp.StatusCode, header: resp.Header, body: body, reservedBytes: held,
		report: parseLoadReport(resp.Header["Server-Load"], s.responseMetrics)}
}

// isLocalFailure tells whether a connection failed for want of something here.
func isLocalFailure(err error) bool {
	return errors.Is(err, errNoDescriptor) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, context.Canceled)
}

// statusAfterWrite maps what ended an attempt whose last byte was written: it may have run.
func statusAfterWrite(err error) policy.Status {
	var timeout net.Error
	switch {
	case errors.Is(err, http1.ErrMalformed):
		return policy.Error // an answer that can't be read
	case errors.As(err, &timeout) && timeout.Timeout():
		return policy.Timeout
	}
	return policy.Reset
}

// responseStatus maps a whole answer. Only the backend's own word proves that a request
// did not run: a bare 503 or 504 may come from half-way through. A 4xx is about the
// request, and tells nothing of the backend.
func responseStatus(resp *http.Response) policy.Status {
	switch code := resp.StatusCode; {
	case code == http.StatusOK:
		return policy.OK
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		return policy.Rejected
	case code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests:
		return policy.Cancelled
	}
	return policy.Error
}

// encodeHead is the request's head as it goes to a backend, told how long the agent waits.
// The target is what the client sent: http.Request would write another form of it.
func (c *clientRequest) encodeHead(left time.Duration) []byte {
	h := http1.EndToEnd(c.header)
	h.Set("Request-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if c.method != http.MethodGet {
		h.Set("Content-Length", strconv.Itoa(len(c.body)))
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, c.target, c.host)
	_ = h.Write(&out) // a buffer takes all
	out.WriteString("\r\n")
	return out.Bytes()
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
