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
				t.Fatalf("refused %d, want %d", a.Request, id)
			}
			return
		}
		actions = agent.fireTimer(10)
	}
	t.Error("a request without servers was never answered")
}

// Observed (i8d4be0, ifafc7b): pending requests that wait for the servers of their key must not block
// others from servers with capacity.
func TestAffinityWaitBlocksNoOtherRequest(t *testing.T) {
	agent := newTestAgent(t, testSettings(), 6)
	for range 30 {
		agent.request(0, 42) // one key: saturates its two servers, the others are pending
	}
	if len(agent.balancer.pending) == 0 {
		t.Fatal("nothing is pending: the test is void")
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

// Observed (i7e1314): the class of the least value was starved though the objective counts the worst
// class.
func TestWorstClassRanksHigherAmongPending(t *testing.T) {
	set := testSettings()
	set.Objective = Objective{Overall: 0.5, WorstClass: 0.5}
	agent := newTestAgent(t, set, 2)
	served, starved := &request{class: 1, targetAt: agent.now + 500}, &request{class: 0, targetAt: agent.now + 500}
	for range 500 { // class 1 is served, class 0 is not
		agent.balancer.mix.countClass(agent.balancer.settings.Classes, 0)
		agent.balancer.mix.countClass(agent.balancer.settings.Classes, 1)
		agent.balancer.mix.classOnTime[1] += 1 - mixDecay
	}
	with := agent.balancer.valueOf(starved) / agent.balancer.valueOf(served)
	agent.balancer.mix.worstClass = 1
	if without := agent.balancer.valueOf(starved) / agent.balancer.valueOf(served); with <= without {
		t.Errorf("the starved class weighs %.2f, one that is served %.2f", with, without)
	}
}

// A request that reached no server is rejected before half of its time is over: from then on the
// client counts the wait as worse. One that reached a server may wait.
func TestUnsentRequestIsRejectedBeforeHalfItsTime(t *testing.T) {
	for _, reached := range []bool{false, true} {
		set := testSettings()
		set.Classes[0].LatencyTargetMs = 900 // which is not over by then
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
		q := agent.balancer.requests[id]
		q.reachedServer = reached
		half := (q.deadline - q.arrivedAt) / 2
		ended := math.Inf(1)
		for from := agent.now; agent.now < q.deadline && math.IsInf(ended, 1); {
			for _, a := range agent.fireTimer(5) {
				if a.Request == id && (a.Kind == ActionReject || a.Kind == ActionFail) {
					ended = agent.now - from
				}
			}
		}
		if (ended < half) == reached {
			t.Errorf("reached a server: %v; ended after %v ms of %v", reached, ended, 2*half)
		}
	}
}

// Requests with a key may come before the first list of servers does, and must survive until it comes.
func TestKeyedRequestsBeforeTheFirstList(t *testing.T) {
	balancer, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	agent := &testAgent{t: t, balancer: balancer, now: 1e6}
	balancer.Start(agent.now, nil)
	agent.request(1, 7)
	agent.request(1, 8) // the first one is pending, and is looked at again
	agent.fireTimer(10)
	if len(balancer.pending) != 2 {
		t.Fatalf("%d requests are pending, want 2", len(balancer.pending))
	}
	actions := agent.updateList(UpdateCached, Endpoint{Server: addr(0), Status: Ready, Weight: 1})
	if findAction(actions, ActionSend) == nil {
		t.Error("a request that came before the list was not sent")
	}
}
