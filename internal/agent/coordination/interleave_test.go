package coordination

import (
	"fmt"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/agent/ejection"
	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/internal/interleave"
)

// defect is a deliberate defect in the exchange of directives. The test checks that the exploration detects it.
type defect string

const (
	noDefect         defect = ""
	takeBeforeSignal defect = "the event loop takes the directives before it receives the signal"
	missingWakeup    defect = "peer reports don't wake the event loop"
	lostAttempts     defect = "newer overrides drop the attempts that earlier ones requested"
	repeatedFetch    defect = "a request to fetch the list is returned repeatedly"
)

// exchangeDirectives interleaves the steps of three tasks that exchange directives. The vote task sets overrides.
// The site task sets zone overrides, requests a fetch of the list and adds peer reports. The event loop receives a
// signal of Ready and then takes the directives. At the end, when no signal is left, the event loop has the newest
// overrides, and it has received each attempt, fetch request and peer report exactly once.
func exchangeDirectives(injected defect) func(*interleave.Run) error {
	return func(r *interleave.Run) error {
		c := newIdleCoordinator()
		host := func(id string) outlier.Host { return outlier.Host{ID: id} }
		vote := []func(){
			func() { c.setOverrides([]ejection.Standing{{Host: host("a"), Until: time.Hour, Trial: true}}) },
			func() {
				if injected == lostAttempts {
					clear(c.pendingAttempts)
				}
				c.setOverrides([]ejection.Standing{{Host: host("b"), Until: time.Hour, Probe: true}})
			},
		}
		site := []func(){
			func() { c.setZoneOverrides([]agent.ZoneOverride{{Zone: "y", TTL: time.Hour}}, true) },
			func() { c.setZoneOverrides(nil, false) },
			func() {
				c.addPeerReports([]stalerouting.Entry{{ID: "s", State: stalerouting.Draining}})
				if injected == missingWakeup {
					select {
					case <-c.ready:
					default:
					}
				}
			},
		}
		received := map[string]int{} // number of times that the event loop received each request or report
		var last agent.Directives
		take := func() {
			last = c.Directives()
			for _, s := range last.Overrides {
				if s.Trial {
					received["trial of "+s.ID]++
				}
				if s.Probe {
					received["probe of "+s.ID]++
				}
			}
			for _, target := range last.PeerReports {
				received["peer report on "+target.ID]++
			}
			if last.FetchList || injected == repeatedFetch && received["fetch request"] > 0 {
				received["fetch request"]++
			}
		}
		receiveSignal := func() bool {
			select {
			case <-c.ready:
				return true
			default:
				return false
			}
		}
		halfway := false // whether the event loop is between receiving the signal and taking the directives
		for {
			var possible []func()
			if len(vote) > 0 {
				possible = append(possible, func() { vote[0](); vote = vote[1:] })
			}
			if len(site) > 0 {
				possible = append(possible, func() { site[0](); site = site[1:] })
			}
			switch {
			case halfway && injected == takeBeforeSignal:
				possible = append(possible, func() { receiveSignal(); halfway = false })
			case halfway:
				possible = append(possible, func() { take(); halfway = false })
			case len(c.ready) > 0 && injected == takeBeforeSignal:
				possible = append(possible, func() { take(); halfway = true })
			case len(c.ready) > 0:
				possible = append(possible, func() { receiveSignal(); halfway = true })
			}
			if len(possible) == 0 {
				break
			}
			possible[r.Choose(len(possible))]()
		}
		for _, what := range []string{"trial of a", "probe of b", "peer report on s", "fetch request"} {
			if received[what] != 1 {
				return fmt.Errorf("%s was received %d times", what, received[what])
			}
		}
		if len(last.ZoneOverrides) != 0 || len(last.Overrides) == 0 || last.Overrides[0].ID != "b" {
			return fmt.Errorf("the event loop ends with %+v", last)
		}
		return nil
	}
}

// Every interleaving of the exchange delivers all directives, and the exploration detects each injected defect.
func TestAllInterleavingsOfDirectives(t *testing.T) {
	r := interleave.Explore(100, 1_000_000, exchangeDirectives(noDefect))
	t.Log(r)
	if r.Err != nil || !r.Exhausted {
		t.Error(r)
	}
	for _, injected := range []defect{takeBeforeSignal, missingWakeup, lostAttempts, repeatedFetch} {
		r := interleave.Explore(100, 1_000_000, exchangeDirectives(injected))
		if r.Err == nil {
			t.Errorf("%s: not detected: %v", injected, r)
			continue
		}
		t.Logf("%s: %v", injected, r)
		if err := interleave.Replay(r.Trace, exchangeDirectives(injected)); err == nil {
			t.Errorf("%s: the replayed trace doesn't fail", injected)
		}
	}
}
