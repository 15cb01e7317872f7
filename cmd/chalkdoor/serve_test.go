package main

import (
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/snapshot"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
)

func TestHowLongADarkSiteIsRecalled(t *testing.T) {
	st := &snapshot.State{Site: &snapshot.Site{Isolated: true, Entries: []stalerouting.Entry{{ID: "s"}}}}
	for _, c := range []struct {
		g    snapshot.Generation
		dark bool
	}{
		{snapshot.Generation{Age: time.Minute, AgeKnown: true}, true},
		{snapshot.Generation{Age: 3 * time.Minute, AgeKnown: true}, false},
		{snapshot.Generation{Age: time.Minute}, false},
	} {
		if k := recalledSite(st, &c.g, 2*time.Minute); k.Isolated != c.dark || len(k.Entries) != 1 {
			t.Errorf("%+v: %+v", c.g, k)
		}
	}
	if k := recalledSite(&snapshot.State{}, &snapshot.Generation{AgeKnown: true}, time.Hour); k.Isolated || k.Entries != nil {
		t.Errorf("of an agent that acted alone: %+v", k)
	}
}
