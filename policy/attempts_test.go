package policy

import "testing"

func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	for _, st := range []Status{Error, Timeout, Reset, Cancelled} {
		agent := newTestAgent(t, testSettings(), 3)
		id, s := agent.mustSend(1, 5)
		actions := agent.endAttempt(id, 0, s, st, 50)
		if findAction(actions, ActionSend) != nil || findAction(actions, ActionReject) != nil ||
			findAction(actions, ActionFail) == nil {
			t.Errorf("ending %d: want a failure and nothing else, got %+v", st, actions)
		}
	}
	agent := newTestAgent(t, testSettings(), 3)
	id, s := agent.mustSend(1, 5)
	if actions := agent.endAttempt(id, 0, s, ConnectFailed, 50); findAction(actions, ActionSend) == nil {
		t.Errorf("an attempt that never ran was not repeated: %+v", actions)
	}
}

func TestDeduplicatedRetryStaysInScopeAndWindow(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 6)
	id, s := agent.mustSend(2, 5)
	actions := agent.endAttempt(id, 0, s, Error, 20)
	a := findAction(actions, ActionSend)
	if a == nil || agent.balancer.serverByAddr[a.Server].cell != agent.balancer.serverByAddr[s].cell {
		t.Fatalf("a guarded repeat did not stay in its cell: %+v", actions)
	}
	agent.now += 496 // just within the 500 ms less the margin
	actions = agent.endAttempt(id, 1, a.Server, Error, 20)
	if findAction(actions, ActionSend) != nil || findAction(actions, ActionFail) == nil &&
		len(agent.balancer.pending) == 0 {
		t.Errorf("a guarded repeat went out after its time: %+v", actions)
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
			t.Fatal("sent to a server that was removed")
		}
		agent.endAttempt(id, 0, s, OK, 20)
	}
}

// A started stream belongs to the client: no further attempt and no response follow.
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
				t.Fatalf("action %+v for a request whose answer streams", a)
			}
		}
	}
	actions := agent.handle(Event{Kind: EventAttemptEnded, Request: id, Attempt: 0, Server: s, Status: Reset,
		LatencyMs: 2000, Final: true})
	if findAction(actions, ActionSend) != nil || findAction(actions, ActionFail) != nil ||
		len(agent.balancer.requests) != 0 {
		t.Errorf("a stream that broke: %+v, %d requests kept", actions, len(agent.balancer.requests))
	}
}

// A rejection promises the client that a retry is harmless: past the window in which repeats are
// dropped it is not.
func TestDeduplicatedRequestIsRejectedOnlyWithinItsWindow(t *testing.T) {
	for _, c := range []struct {
		after float64
		want  ActionKind
	}{{100, ActionReject}, {550, ActionFail}} {
		set := testSettings()
		set.Classes[2].DedupScope, set.Limits.MaxAttempts = DedupEverywhere, 1
		agent := newTestAgent(t, set, 4)
		id, s := agent.mustSend(2, 5)
		agent.now += c.after
		if actions := agent.endAttempt(id, 0, s, Error, c.after); findAction(actions, c.want) == nil {
			t.Errorf("failed after %.0f of 500 ms: %+v", c.after, actions)
		}
	}
}
