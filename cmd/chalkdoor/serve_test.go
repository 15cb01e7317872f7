package main

import (
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/snapshot"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
)

func TestIsolationIsRestoredUpToAMaximumAge(t *testing.T) {
	state := &snapshot.State{Site: &snapshot.Site{Isolated: true, Entries: []stalerouting.Entry{{ID: "s"}}}}
	for _, c := range []struct {
		g        snapshot.Generation
		isolated bool
	}{
		{snapshot.Generation{Age: time.Minute, AgeKnown: true}, true},
		{snapshot.Generation{Age: 3 * time.Minute, AgeKnown: true}, false},
		{snapshot.Generation{Age: time.Minute}, false},
	} {
		if k := restoredSite(state, &c.g, 2*time.Minute); k.Isolated != c.isolated || len(k.Entries) != 1 {
			t.Errorf("%+v: %+v", c.g, k)
		}
	}
	if k := restoredSite(&snapshot.State{}, &snapshot.Generation{AgeKnown: true}, time.Hour); k.Isolated ||
		k.Entries != nil {
		t.Errorf("from the state of an agent without a fleet: %+v", k)
	}
}
