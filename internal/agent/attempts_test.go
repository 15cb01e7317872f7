package agent

import (
	"testing"
	"time"
)

// The loop prevents violations of the contract, whatever the policy decides.
func TestContractViolationsArePrevented(t *testing.T) {
	up := func() *backend { return &backend{addr: "127.0.0.1:1"} }
	drained := up()
	drained.unavailable.Store(true)
	now := time.Now()
	l := startAgent(t, newDiscoveryServer(t, target("s-1", "127.0.0.1:1")), nil).loop
	for _, test := range []struct {
		name     string
		request  pendingRequest
		backend  *backend
		deadline time.Time
		allowed  bool
	}{
		{"allowed", pendingRequest{}, up(), now.Add(time.Second), true},
		{"draining", pendingRequest{}, drained, now.Add(time.Second), false},
		{"unknown backend", pendingRequest{}, nil, now.Add(time.Second), false},
		{"one in flight", pendingRequest{inFlight: 1}, up(), now.Add(time.Second), false},
		{"answered", pendingRequest{answered: true}, up(), now.Add(time.Second), false},
		{"may have been executed", pendingRequest{maybeExecuted: 1}, up(), now.Add(time.Second), false},
		{"fourth attempt", pendingRequest{attempts: make([]*attempt, 4)}, up(), now.Add(time.Second), false},
		{"no time", pendingRequest{}, up(), now, false},
	} {
		test.request.client = &clientRequest{class: 2}
		if violation := l.checkAttempt(&test.request, test.backend, now,
			test.deadline); (violation == nil) != test.allowed {
			t.Errorf("%s: unexpected result %+v", test.name, violation)
		}
	}
	// A rejection after an attempt that may have been executed becomes a failure.
	client := &clientRequest{class: 2, response: make(chan response, 1)}
	done := make(chan bool)
	l.post(func() { l.reject(&pendingRequest{id: 1 << 30, client: client, maybeExecuted: 1}, 1); close(done) })
	<-done
	if got := <-client.response; got.outcome != failed {
		t.Errorf("answered %+v, want a failure", got)
	}
}
