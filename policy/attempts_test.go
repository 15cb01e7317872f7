package policy

import "testing"

func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	for _, st := range []Status{Error, Timeout, Reset, Cancelled} {
		agent := newTestAgent(t, testSettings(), 3)
		id, s := agent.mustSend(1, 5)
		actions := agent.endAttempt(id, 0, s, st, 50)
		if findAction(actions, ActionSend) != nil || findAction(actions, ActionReject) != nil ||
			findAction(actions, ActionFail) == nil {
			t.Errorf("status %d: want a failure and nothing else, got %+v", st, actions)
		}
	}
	agent := newTestAgent(t, testSettings(), 3)
	id, s := agent.mustSend(1, 5)
	if actions := agent.endAttempt(id, 0, s, ConnectFailed, 50); findAction(actions, ActionSend) == nil {
		t.Errorf("a request that was not executed was not retried: %+v", actions)
	}
}

func TestDeduplicatedRetryStaysInScopeAndWindow(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 6)
	id, s := agent.mustSend(2, 5)
	actions := agent.endAttempt(id, 0, s, Error, 20)
	a := findAction(actions, ActionSend)
	if a == nil || agent.balancer.serverByAddr[a.Server].cell != agent.balancer.serverByAddr[s].cell {
		t.Fatalf("a retry of a deduplicated request did not stay in its cell: %+v", actions)
	}
	agent.now += 496 // within the window of 500 ms, but not within the margin before its end
	actions = agent.endAttempt(id, 1, a.Server, Error, 20)
	if findAction(actions, ActionSend) != nil || findAction(actions, ActionFail) == nil &&
		len(agent.balancer.pending) == 0 {
		t.Errorf("a deduplicated request was retried too close to the end of its window: %+v", actions)
	}
}

func TestDrainingAndRemovedServersGetNoRequests(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 2)
	agent.updateList(UpdateDelta, Endpoint{Server: addr(0), Status: Draining, Weight: 1})
	for key := range uint64(20) {
		id, s := agent.mustSend(0, key+1)
		if s == addr(0) {
			t.Fatal("sent to a draining server")
		}
		agent.endAttempt(id, 0, s, OK, 20)
	}
	agent.updateList(UpdateFull, Endpoint{Server: addr(0), Status: Ready, Weight: 1})
	for key := range uint64(20) {
		id, s := agent.mustSend(0, key+1)
		if s == addr(1) {
			t.Fatal("sent to a removed server")
		}
		agent.endAttempt(id, 0, s, OK, 20)
	}
}

// After the start of a streaming response, the agent makes no further attempt and sends no response of its
// own.
func TestStartedStreamBelongsToTheClient(t *testing.T) {
	set := testSettings()
	set.Classes[0].Streaming = true
	agent := newTestAgent(t, set, 4)
	id, s := agent.mustSend(0, 3)
	agent.now += 30
	agent.handle(Event{Kind: EventStreamStarted, Request: id, Attempt: 0, Server: s, LatencyMs: 30})
	for range 200 {
		for _, a := range agent.fireTimer(10) {
			if a.Request == id && a.Kind != ActionTimer {
				t.Fatalf("action %+v for a request whose response is streaming", a)
			}
		}
	}
	actions := agent.handle(Event{Kind: EventAttemptEnded, Request: id, Attempt: 0, Server: s, Status: Reset,
		LatencyMs: 2000, Final: true})
	if findAction(actions, ActionSend) != nil || findAction(actions, ActionFail) != nil ||
		len(agent.balancer.requests) != 0 {
		t.Errorf("after the stream broke: actions %+v, %d requests left", actions,
			len(agent.balancer.requests))
	}
}

// A rejection promises the client that a retry is harmless. After the window in which repeats are dropped, it
// is not.
func TestDeduplicatedRequestIsRejectedOnlyWithinItsWindow(t *testing.T) {
	for _, c := range []struct {
		afterMs float64
		want    ActionKind
	}{{100, ActionReject}, {550, ActionFail}} {
		set := testSettings()
		set.Classes[2].DedupScope, set.Limits.MaxAttempts = DedupEverywhere, 1
		agent := newTestAgent(t, set, 4)
		id, s := agent.mustSend(2, 5)
		agent.now += c.afterMs
		if actions := agent.endAttempt(id, 0, s, Error, c.afterMs); findAction(actions, c.want) == nil {
			t.Errorf("error after %.0f ms, with a window of 500 ms: %+v", c.afterMs, actions)
		}
	}
}
