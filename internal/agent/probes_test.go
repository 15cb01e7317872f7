package agent

import (
	"context"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/policy"
)

// enableProbes allows probes, and load reports only in their responses.
func enableProbes(c *Config) {
	c.Settings.Limits.AllowProbes = true
	c.Settings.LoadReport.Mode = "on_probe"
}

// echoWithReports answers probes with a load report and other requests like echo.
func echoWithReports(c net.Conn, req *http.Request, n int) bool {
	if req.URL.Path == "/-/load" {
		return writeTestResponse(c, 200, "", "qps=3,util=0.5,eps=0")
	}
	return echo(c, req, n)
}

func TestProbeOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		answer func(c net.Conn, req *http.Request, n int) bool
		status policy.Status
		report []float32
	}{
		"a report": {echoWithReports, policy.OK, []float32{3, 0.5, 0}},
		"an invalid report": {func(c net.Conn, _ *http.Request, _ int) bool {
			return writeTestResponse(c, 200, "", "qps=x")
		}, policy.OK, nil},
		"not ready": {func(c net.Conn, _ *http.Request, _ int) bool {
			return writeTestResponse(c, 503, "", "")
		}, policy.Error, nil},
		"a closed connection": {func(net.Conn, *http.Request, int) bool { return false }, policy.Reset, nil},
		"noise": {func(c net.Conn, _ *http.Request, _ int) bool {
			c.Write([]byte("\x00\x01\n\n"))
			return true
		}, policy.Error, nil},
		"two different lengths": {func(c net.Conn, _ *http.Request, _ int) bool {
			return writeTestResponse(c, 200, "Content-Length: 9\r\n", "x")
		}, policy.Error, nil},
	} {
		t.Run(name, func(t *testing.T) {
			fake := newBackend(t, test.answer)
			s := testSender(10)
			s.probeMetrics = s.responseMetrics
			r := s.probe(context.Background(), &backend{}, fake.addr)
			if r.status != test.status || !slices.Equal(r.report, test.report) {
				t.Errorf("status %d, report %v, want %d, %v", r.status, r.report, test.status, test.report)
			}
			// A connection with a malformed response is not reused.
			if _, idle := s.pool.count(); (idle > 0) != (r.statusCode != 0) {
				t.Errorf("%d idle connections", idle)
			}
		})
	}
}

// A probe uses an idle connection. If that breaks, the probe is made again on a new one.
func TestProbeOverIdleConnection(t *testing.T) {
	fake := newBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		return n != 1 && echoWithReports(c, req, n)
	})
	s, b := testSender(10), &backend{}
	s.probeMetrics = s.responseMetrics
	for i := range 3 {
		if r := s.probe(context.Background(), b, fake.addr); r.status != policy.OK {
			t.Errorf("probe %d ended with %d", i, r.status)
		}
	}
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.arrivals != 4 || fake.maxConns != 1 {
		t.Errorf("%d arrivals, %d connections at once, want 4 and 1", fake.arrivals, fake.maxConns)
	}
}

// A probe action sends a probe, and a probe that can't be made ends at once.
func TestProbeAction(t *testing.T) {
	probed := make(chan string, 1)
	fake := newBackend(t, func(c net.Conn, req *http.Request, n int) bool {
		probed <- req.URL.Path
		return echoWithReports(c, req, n)
	})
	agent := startAgent(t, newDiscoveryServer(t, target("s-1", fake.addr)), enableProbes)
	agent.loop.post(func() {
		addr := agent.loop.backends.byID["s-1"].policyAddr
		agent.loop.execute([]policy.Action{{Kind: policy.ActionProbe, Server: addr}})
		agent.loop.execute([]policy.Action{{Kind: policy.ActionProbe, Server: policy.Addr{1}}})
		if n := len(agent.loop.pendingEvents); agent.loop.probesInFlight != 1 || n != 1 ||
			agent.loop.pendingEvents[n-1].Status != policy.NotSent {
			t.Errorf("%d probes in flight, pending events %+v", agent.loop.probesInFlight, agent.loop.pendingEvents)
		}
	})
	select {
	case path := <-probed:
		if path != "/-/load" {
			t.Errorf("probed %s", path)
		}
	case <-time.After(testTimeout):
		t.Fatal("the backend got no probe")
	}
}
