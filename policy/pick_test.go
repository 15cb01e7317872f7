package policy

import "testing"

func TestEmptyBestTierFallsBackToTheNext(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 2)
	for range 2 {
		id, s := agent.mustSend(1, 3)
		agent.endAttempt(id, 0, s, Error, 5)
	}
	if _, s := agent.mustSend(0, 3); s == (Addr{}) {
		t.Error("not sent, although there are servers, all of them Unhealthy")
	}
}
