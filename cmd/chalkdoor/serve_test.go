package main

import (
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/decisions"
	"chalkdoor.example/chalkdoor/internal/durable"
)

func TestHowLongADarkSiteIsRecalled(t *testing.T) {
	st := &durable.State{Site: &durable.Site{Dark: true, Entries: []decisions.Entry{{ID: "s"}}}}
	for _, c := range []struct {
		g    durable.Generation
		dark bool
	}{
		{durable.Generation{Age: time.Minute, Dated: true}, true},
		{durable.Generation{Age: 3 * time.Minute, Dated: true}, false},
		{durable.Generation{Age: time.Minute}, false},
	} {
		if k := recalledSite(st, &c.g, 2*time.Minute); k.Dark != c.dark || len(k.Entries) != 1 {
			t.Errorf("%+v: %+v", c.g, k)
		}
	}
	if k := recalledSite(&durable.State{}, &durable.Generation{Dated: true}, time.Hour); k.Dark || k.Entries != nil {
		t.Errorf("of an agent that acted alone: %+v", k)
	}
}
