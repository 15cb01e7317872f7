package agent

import (
	"log/slog"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// A log that nobody reads does not block the loop.
func TestLogNeverBlocksTheLoop(t *testing.T) {
	agent, _ := startWithBackend(t, echo)
	release, writing := make(chan struct{}), make(chan struct{})
	agent.loop.logLines <- func() { close(writing); <-release }
	defer close(release)
	<-writing
	done := make(chan struct{})
	agent.loop.post(func() {
		agent.loop.logLimiter.SetLimit(rate.Inf)
		for range 2 * cap(agent.loop.logLines) {
			agent.loop.log(slog.LevelDebug, "line")
		}
		close(done)
	})
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("the loop waits for the log")
	}
	status, _, _ := agent.do(newRequest(agent.addr, "order", "x"))
	wantStatus(t, status, 200)
}
