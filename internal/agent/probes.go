package agent

import (
	"context"
	"fmt"
	"time"

	"chalkdoor.example/chalkdoor/internal/http1"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// maxProbes bounds the probes in flight, whatever the policy decides: each may take a connection from
	// requests.
	maxProbes = 16
	// probeAttempts is how often a probe is made: again only where a reused connection broke.
	probeAttempts = 2
	// probeConnectTimeouts is a probe's time-out, in connect time-outs.
	probeConnectTimeouts = 2
)

// startProbe carries out a probe. One that can't be made ends at once as NotSent.
func (l *eventLoop) startProbe(action *policy.Action) {
	server, target := action.Server, l.backends.byAddr[action.Server]
	if !l.config.Settings.Limits.AllowProbes || l.probesInFlight >= maxProbes ||
		target == nil || target.addr == "" || target.unavailable.Load() {
		l.pendingEvents = append(l.pendingEvents,
			policy.Event{Kind: policy.EventProbeEnded, Server: server, Status: policy.NotSent})
		return
	}
	l.probesInFlight++
	addr, startedMs := target.addr, target.startedMs
	go func() {
		result := l.sender.probe(l.ctx, target, addr)
		l.post(func() { l.onProbeEnded(target, server, startedMs, &result) })
	}()
}

// onProbeEnded takes the end of a probe of a backend's process.
func (l *eventLoop) onProbeEnded(target *backend, server policy.Addr, startedMs float64, result *attemptResult) {
	l.probesInFlight--
	if l.coordinator != nil {
		l.coordinator.AttemptEnded(Observation{ID: target.id, StartedMs: startedMs, Status: result.status,
			Latency: milliseconds(result.latencyMs), Probe: true, Utilization: l.reportedUtilization(result.report)})
	}
	l.handle(&policy.Event{Kind: policy.EventProbeEnded, Server: server, Status: result.status,
		LatencyMs: result.latencyMs, LoadReport: result.report})
}

// probe requests a backend's load report. It uses an idle connection where there is one, as a new one costs the
// backend more than the probe. A probe is idempotent: if a reused connection breaks a new one reports whether the
// backend is at fault.
func (s *sender) probe(ctx context.Context, to *backend, addr string) attemptResult {
	startedAt := time.Now()
	deadline := startedAt.Add(probeConnectTimeouts * s.pool.connectTimeout)
	var result attemptResult
	for range probeAttempts {
		var reused bool
		if result, reused = s.probeOnce(ctx, to, addr, deadline); result.status != policy.Reset || !reused {
			break
		}
	}
	result.latencyMs = inMilliseconds(time.Since(startedAt))
	return result
}

// probeOnce makes one attempt; reused reports whether it used an idle connection.
func (s *sender) probeOnce(ctx context.Context, to *backend, addr string, deadline time.Time) (result attemptResult, reused bool) {
	conn, err := s.pool.get(ctx, to, addr, earliest(deadline, time.Now().Add(s.pool.connectTimeout)))
	if err != nil {
		if isLocalFailure(err) {
			return attemptResult{status: policy.NotSent}, false
		}
		return attemptResult{status: policy.ConnectFailed}, false
	}
	result, reusable := s.exchangeProbe(conn, addr, deadline)
	reused = conn.idleSlot > 0
	if reusable {
		s.pool.put(conn)
	} else {
		s.pool.close(conn)
	}
	return result, reused
}

// exchangeProbe requests the load report on a connection; reusable reports whether that may carry another
// request.
func (s *sender) exchangeProbe(conn *backendConn, addr string, deadline time.Time) (result attemptResult, reusable bool) {
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
