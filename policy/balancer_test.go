package policy

import (
	"fmt"
	"math"
	"testing"
)

func ExampleBalancer() {
	settings := Settings{
		Classes: []Class{{Name: "read", LatencyTargetMs: 200, ClientTimeoutMs: 800, Idempotency: Idempotent,
			Value: 1}},
		Limits:     Limits{MaxAttempts: 3},
		Membership: "pushed",
		RoundMs:    5,
	}
	b, err := New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000.0
	b.Start(now, nil)
	list := []Endpoint{{Server: Addr{10, 0, 0, 1, 0x1f, 0x90}, Status: Ready, Weight: 1}}
	b.Handle(now, &Event{Kind: EventDiscovery, Update: UpdateFull, Endpoints: list}, nil)
	for _, a := range b.Handle(now, &Event{Kind: EventRequest, Request: 1, Key: 7, RemainingMs: 800}, nil) {
		if a.Kind == ActionSend {
			fmt.Println("send request", a.Request, "to", a.Server)
		}
	}
	// Output: send request 1 to [10 0 0 1 31 144]
}

// Invalid numbers in events do not affect decisions: requests are still sent and ended.
func TestInvalidNumbersReachNoDecision(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64} {
		agent := newTestAgent(t, testSettings(), 3)
		agent.updateList(UpdateFull, Endpoint{Server: addr(0), Status: Ready, Weight: x, StartedMs: x},
			Endpoint{Server: addr(1), Status: Ready, Weight: 1, StartedMs: -x})
		id, s := agent.mustSend(0, 7)
		agent.handle(Event{Kind: EventAttemptEnded, Request: id, Server: s, Status: OK, LatencyMs: x,
			Final: true})
		agent.handle(Event{Kind: EventRequest, Request: 99, RemainingMs: x, WorkHintMs: x, HasWorkHint: true,
			Attempt: -1})
		agent.handle(Event{Kind: EventAttemptEnded, Request: 99, Attempt: -1, Server: s, Status: OK})
		for _, srv := range agent.balancer.servers {
			if w := agent.balancer.rendezvousScore(&request{hashKey: 3}, srv); math.IsNaN(w) ||
				math.IsNaN(srv.relativeLatency) || srv.assumedStartAt > agent.now {
				t.Errorf("%v: server %v has score %v, latency %v, start %v", x, srv.addr, w,
					srv.relativeLatency, srv.assumedStartAt)
			}
		}
	}
}
