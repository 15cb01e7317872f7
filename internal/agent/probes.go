package agent

import (
	"context"
	"fmt"
	"time"

	"chalkdoor.example/chalkdoor/internal/http1"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// maxProbes bounds the probes in flight, whatever the policy decides: a probe may take a connection that a
	// request needs.
	maxProbes = 16
	// probeAttempts is the maximum number of attempts of a probe. The second one is made only if a reused
	// connection broke.
	probeAttempts = 2
	// probeConnectTimeouts is a probe's timeout as a multiple of the connect timeout.
	probeConnectTimeouts = 2
)

// startProbe carries out a probe action. A probe that can't be made ends at once as NotSent.
func (l *eventLoop) startProbe(action *policy.Action) {
	server, b := action.Server, l.backends.byAddr[action.Server]
	if !l.config.Settings.Limits.AllowProbes || l.probesInFlight >= maxProbes ||
		b == nil || b.addr == "" || b.unavailable.Load() {
		l.pendingEvents = append(l.pendingEvents,
			policy.Event{Kind: policy.EventProbeEnded, Server: server, Status: policy.NotSent})
		return
	}
	l.probesInFlight++
	addr, startedMs := b.addr, b.startedMs
	go func() {
		result := l.sender.probe(l.ctx, b, addr)
		l.post(func() { l.onProbeEnded(b, server, startedMs, &result) })
	}()
}

// onProbeEnded handles the end of a probe of a backend's process.
func (l *eventLoop) onProbeEnded(b *backend, server policy.Addr, startedMs float64, result *attemptResult) {
	l.probesInFlight--
	if l.coordinator != nil {
		l.coordinator.AttemptEnded(Observation{ID: b.id, StartedMs: startedMs, Status: result.status,
			Latency: milliseconds(result.latencyMs), Probe: true, Utilization: l.reportedUtilization(result.report)})
	}
	l.handle(&policy.Event{Kind: policy.EventProbeEnded, Server: server, Status: result.status,
		LatencyMs: result.latencyMs, LoadReport: result.report})
}

// probe requests a backend's load report. It uses an idle connection if there is one, as a new one costs the
// backend more than the probe. A probe is idempotent: if a reused connection breaks, a second attempt shows
// whether the backend is at fault.
func (s *sender) probe(ctx context.Context, b *backend, addr string) attemptResult {
	startedAt := time.Now()
	deadline := startedAt.Add(probeConnectTimeouts * s.pool.connectTimeout)
	var result attemptResult
	for range probeAttempts {
		var reused bool
		if result, reused = s.probeOnce(ctx, b, addr, deadline); result.status != policy.Reset || !reused {
			break
		}
	}
	result.latencyMs = inMilliseconds(time.Since(startedAt))
	return result
}

// probeOnce makes one attempt; reused reports whether it used an idle connection.
func (s *sender) probeOnce(ctx context.Context, b *backend, addr string, deadline time.Time) (
	result attemptResult, reused bool) {
	conn, err := s.pool.get(ctx, b, addr, earliest(deadline, time.Now().Add(s.pool.connectTimeout)))
	if err != nil {
		if isLocalFailure(err) {
			return attemptResult{status: policy.NotSent}, false
		}
		return attemptResult{status: policy.ConnectFailed}, false
	}
	result, reusable := s.exchangeProbe(conn, addr, deadline)
	reused = conn.idleBucket > 0
	if reusable {
		s.pool.put(conn)
	} else {
		s.pool.close(conn)
	}
	return result, reused
}

// exchangeProbe requests the load report on a connection. reusable reports whether the connection may carry
// another request.
func (s *sender) exchangeProbe(conn *backendConn, addr string, deadline time.Time) (
	result attemptResult, reusable bool) {
	conn.SetDeadline(deadline)
	if _, err := fmt.Fprintf(conn.Conn, "GET /-/load HTTP/1.1\r\nHost: %s\r\n\r\n", addr); err != nil {
		return attemptResult{status: statusAfterWrite(err)}, false
	}
	resp, body, err := readResponse(conn.reader, func(n int64) error {
		if n > unreservedBody {
			return http1.Malformed("a load report of %d bytes", n)
		}
		return nil
	})
	s.recordReuse(conn, err)
	if err != nil {
		return attemptResult{status: statusAfterWrite(err)}, false
	}
	result = attemptResult{status: responseStatus(resp), statusCode: resp.StatusCode}
	if result.status == policy.OK {
		result.report = parseLoadReport([]string{string(body)}, s.probeMetrics)
	}
	return result, !resp.Close
}
