package policy

import (
	"math"
	"testing"
)

func TestRequestWithoutServersIsRejectedInTime(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 0)
	id, actions := agent.request(1, 1)
	for range 130 {
		if a := findAction(actions, ActionReject); a != nil {
			if a.Request != id {
				t.Fatalf("rejected request %d, want %d", a.Request, id)
			}
			return
		}
		actions = agent.fireTimer(10)
	}
	t.Error("a request without servers was never rejected")
}

// Observed: pending requests that waited for the servers of their key kept others from servers with capacity.
func TestAffinityWaitBlocksNoOtherRequest(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 6)
	for range 30 {
		agent.request(0, 42) // requests of one key saturate its two servers, and the rest are pending
	}
	if len(agent.balancer.pending) == 0 {
		t.Fatal("no request is pending, so the test shows nothing")
	}
	sent := 0
	for key := uint64(100); key < 140; key++ {
		if _, actions := agent.request(0, key); findAction(actions, ActionSend) != nil {
			sent++
		}
	}
	if sent == 0 {
		t.Error("requests for idle servers waited behind an overloaded key")
	}
}

// Observed: the class with the lowest value was starved, although the objective has a component for the worst
// class.
func TestWorstClassRanksHigherAmongPending(t *testing.T) {
	set := testSettings()
	set.Objective = Objective{Overall: 0.5, WorstClass: 0.5}
	agent := newTestAgent(t, set, 2)
	servedRequest, starvedRequest := &request{class: 1, targetAt: agent.now + 500},
		&request{class: 0, targetAt: agent.now + 500}
	for range 500 { // class 1 is served, class 0 is not
		agent.balancer.mix.countClass(agent.balancer.settings.Classes, 0)
		agent.balancer.mix.countClass(agent.balancer.settings.Classes, 1)
		agent.balancer.mix.classOnTime[1] += 1 - mixDecay
	}
	asWorst := agent.balancer.valueOf(starvedRequest) / agent.balancer.valueOf(servedRequest)
	agent.balancer.mix.worstClass = 1
	if notWorst := agent.balancer.valueOf(starvedRequest) /
		agent.balancer.valueOf(servedRequest); asWorst <= notWorst {
		t.Errorf("class 0 has %.2f times the value of class 1 as the worst class, and %.2f times otherwise",
			asWorst, notWorst)
	}
}

// A request that reached no server is rejected before half of its time is over: after that, the client counts
// the wait as worse than a rejection. A request that reached a server may wait longer.
func TestUnsentRequestIsRejectedBeforeHalfItsTime(t *testing.T) {
	for _, reached := range []bool{false, true} {
		set := testSettings()
		set.Classes[0].LatencyTargetMs = 900 // longer than the time that the request has
		agent := newTestAgent(t, set, 1)
		srv := agent.balancer.serverByAddr[addr(0)]
		srv.concurrencyLimit = 1
		if reached {
			id, s := agent.mustSend(0, 7)
			agent.endAttempt(id, 0, s, Rejected, 1)
		}
		srv.ready = false // no capacity for any request
		id, actions := agent.request(0, 7)
		if findAction(actions, ActionSend) != nil {
			t.Fatal("sent to a server that is not ready")
		}
		req := agent.balancer.requests[id]
		req.reachedServer = reached
		halfMs := (req.deadline - req.arrivedAt) / 2
		endedAfterMs := math.Inf(1)
		for from := agent.now; agent.now < req.deadline && math.IsInf(endedAfterMs, 1); {
			for _, a := range agent.fireTimer(5) {
				if a.Request == id && (a.Kind == ActionReject || a.Kind == ActionFail) {
					endedAfterMs = agent.now - from
				}
			}
		}
		if (endedAfterMs < halfMs) == reached {
			t.Errorf("reached a server: %v; ended after %v ms of %v ms", reached, endedAfterMs, 2*halfMs)
		}
	}
}

// Requests with a key may arrive before the first list of servers, and must stay pending until it arrives.
func TestKeyedRequestsBeforeTheFirstList(t *testing.T) {
	balancer, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	agent := &testAgent{t: t, balancer: balancer, now: 1e6}
	balancer.Start(agent.now, nil)
	agent.request(1, 7)
	agent.request(1, 8) // the first one is pending, and its dispatch is tried again
	agent.fireTimer(10)
	if len(balancer.pending) != 2 {
		t.Fatalf("%d requests are pending, want 2", len(balancer.pending))
	}
	actions := agent.updateList(UpdateCached, Endpoint{Server: addr(0), Status: Ready, Weight: 1})
	if findAction(actions, ActionSend) == nil {
		t.Error("no request that arrived before the list was sent")
	}
}
