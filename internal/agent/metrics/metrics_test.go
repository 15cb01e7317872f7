package metrics

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/policy"
)

func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path, nil))
	if w.Code != http.StatusOK {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	return w.Body.String()
}

func requireLines(t *testing.T, text string, lines ...string) {
	t.Helper()
	for _, line := range lines {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %q in\n%s", line, text)
		}
	}
}

func TestCountersAndHistograms(t *testing.T) {
	m := New("n1", false)
	m.RequestAnswered("full-report", "served", 30*time.Millisecond, time.Second, 2)
	m.RequestAnswered("full-report", "refused", time.Millisecond, 1900*time.Millisecond, 0)
	m.AttemptEnded(policy.Rejected, time.Millisecond)
	m.AttemptEnded(policy.OK, 20*time.Millisecond)
	m.AttemptEnded(policy.Status(7), 20*time.Millisecond)
	m.SentToWarmingUp()
	m.ViolationPrevented(2, "second attempt while one is out")
	requireLines(t, scrape(t, m),
		`chalkdoor_answers_total{agent="n1",class="full-report",verdict="served"} 1`,
		`chalkdoor_answer_seconds_bucket{agent="n1",class="full-report",verdict="served",le="0.05"} 1`,
		`chalkdoor_answer_left_seconds_count{agent="n1"} 2`,
		`chalkdoor_request_attempts_sum{agent="n1"} 2`,
		`chalkdoor_attempts_total{agent="n1",outcome="full"} 1`,
		`chalkdoor_attempts_total{agent="n1",outcome="7"} 1`,
		`chalkdoor_cold_attempts_total{agent="n1"} 1`,
		`chalkdoor_guarded_total{agent="n1",rule="2",what="second attempt while one is out"} 1`)
}

func TestStateIsServedIfTheAgentAnswers(t *testing.T) {
	m := New("n1", true)
	if text := scrape(t, m); strings.Contains(text, "chalkdoor_servers{") || !strings.Contains(text, "go_goroutines") {
		t.Errorf("before the agent has started: %s", text)
	}
	var err error
	m.Started(func(context.Context) (agent.Stats, error) {
		return agent.Stats{
			BalancerStats: policy.BalancerStats{States: [4]int{5, 2, 1, 3}, Admission: 0.75},
			Connections:   9, IdleConnections: 4,
		}, err
	})
	requireLines(t, scrape(t, m),
		`chalkdoor_servers{agent="n1",state="connected"} 5`, `chalkdoor_servers{agent="n1",state="unhealthy"} 3`,
		`chalkdoor_admission_ratio{agent="n1"} 0.75`, `chalkdoor_connections_idle{agent="n1"} 4`)
	err = errors.New("stopping")
	if text := scrape(t, m); strings.Contains(text, "chalkdoor_servers{") ||
		!strings.Contains(text, "chalkdoor_cold_attempts_total") {
		t.Errorf("of an agent that does not answer: %s", text)
	}
}

func TestServeEndsWithItsContext(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- New("n1", false).Serve(ctx, ln) }()
	resp, err := http.Get("http://" + ln.Addr().String() + Path)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || !strings.Contains(string(text), "chalkdoor_cold_attempts_total") {
		t.Errorf("%q, %v", text, err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
