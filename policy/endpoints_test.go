package policy

import "testing"

func TestWatchIsRetriedWithinTheDeadline(t *testing.T) {
	set := testSettings()
	set.Membership = "on_request"
	b, err := New(set, 3)
	if err != nil {
		t.Fatal(err)
	}
	first := findAction(b.Start(0, nil), ActionTimer)
	if first == nil || first.DurationMs > set.Contract.DiscoveryDeadlineMs {
		t.Fatalf("no subscription within the discovery deadline: %+v", first)
	}
	if findAction(b.Handle(first.DurationMs, &Event{Kind: EventTimer, Token: first.Token}, nil),
		ActionWatch) == nil {
		t.Fatal("the timer did not subscribe")
	}
	for range 8 {
		retry := findAction(b.Handle(first.DurationMs, &Event{Kind: EventDiscovery, Update: UpdateFailed},
			nil), ActionTimer)
		if retry == nil || retry.DurationMs > set.Contract.DiscoveryDeadlineMs {
			t.Fatalf("a failed subscription was not retried within the discovery deadline: %+v", retry)
		}
	}
}
