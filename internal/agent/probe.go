package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/http1"
	"chalkdoor.example/chalkdoor/policy"
)

// maxProbes bounds the probes under way, whatever the module asks for: each may take a
// connection of those that requests need.
const maxProbes = 16

// probe asks a backend for its load and returns how that ended. It goes over a kept
// connection where there is one, as a new one costs the backend more than the probe.
// A probe may be asked again without harm: where a kept connection breaks, a new one
// tells whether the backend is at fault.
func (s *sender) probe(ctx context.Context, b *backend, addr string) attemptResult {
	started := time.Now()
	var r attemptResult
	for range 2 {
		var kept bool
		if r, kept = s.probeOnce(ctx, b, addr, started.Add(2*s.pool.connectTimeout)); r.status != policy.Reset || !kept {
			break
		}
	}
	r.latencyMs = float64(time.Since(started).Microseconds()) / 1000
	return r
}

// probeOnce makes one try, and tells whether it went over a kept connection.
func (s *sender) probeOnce(ctx context.Context, b *backend, addr string, deadline time.Time) (r attemptResult, kept bool) {
	cn, err := s.pool.get(ctx, b, addr, earliest(deadline, time.Now().Add(s.pool.connectTimeout)))
	if err != nil {
		if isLocalFailure(err) {
			return attemptResult{status: policy.NotSent}, false
		}
		return attemptResult{status: policy.ConnectFailed}, false
	}
	reusable := false
	defer func() {
		if reusable {
			s.pool.put(cn)
		} else {
			s.pool.close(cn)
		}
	}()
	cn.SetDeadline(deadline)
	if _, err := fmt.Fprintf(cn.Conn, "GET /-/load HTTP/1.1\r\nHost: %s\r\n\r\n", addr); err != nil {
		return attemptResult{status: statusAfterWrite(err)}, cn.idleSlot > 0
	}
	resp, body, err := readResponse(cn.reader, func(n int64) error {
		if n > unreservedBody {
			return http1.Malformed("a load report of %d bytes", n)
		}
		return nil
	})
	s.pool.ages.Record(cn.idleSlot, err != nil && !errors.Is(err, http1.ErrMalformed) && statusAfterWrite(err) == policy.Reset)
	if err != nil {
		return attemptResult{status: statusAfterWrite(err)}, cn.idleSlot > 0
	}
	reusable = !resp.Close
	r = attemptResult{status: responseStatus(resp), statusCode: resp.StatusCode}
	if r.status == policy.OK {
		r.report = parseLoadReport([]string{string(body)}, s.probeMetrics)
	}
	return r, cn.idleSlot > 0
}

// reportedUtilization is how busy a load report says that its server is; negative if it does not.
func (l *eventLoop) reportedUtilization(report []float32) float64 {
	if i := slices.Index(l.config.Settings.LoadReport.Metrics, "util"); i >= 0 && i < len(report) {
		return float64(report[i])
	}
	return -1
}

// startProbe carries out a probe that the module asked for, and tells it the end. One that
// can't be made is told as Moot: it says nothing of the backend.
func (l *eventLoop) startProbe(a *policy.Action) {
	server, b := a.Server, l.backends.byAddr[a.Server]
	if !l.config.Settings.Limits.AllowProbes || b == nil || b.addr == "" || b.unavailable.Load() || l.probesInFlight >= maxProbes {
		l.pendingEvents = append(l.pendingEvents, policy.Event{Kind: policy.EventProbeEnded, Server: server, Status: policy.NotSent})
		return
	}
	l.probesInFlight++
	addr, startedMs := b.addr, b.startedMs
	go func() {
		r := l.sender.probe(l.ctx, b, addr)
		l.post(func() {
			l.probesInFlight--
			if l.coordinator != nil {
				l.coordinator.AttemptEnded(Observation{ID: b.id, StartedMs: startedMs, Status: r.status, Latency: milliseconds(r.latencyMs), Probe: true, Utilization: l.reportedUtilization(r.report)})
			}
			l.handle(&policy.Event{Kind: policy.EventProbeEnded, Server: server, Status: r.status,
				LatencyMs: r.latencyMs, LoadReport: r.report})
		})
	}()
}
