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

// handDefect is what is done wrong on purpose in the hand-over, to see that the checker finds it.
type handDefect string

const (
	sound       handDefect = ""
	takesFirst  handDefect = "the loop takes the orders before the token"
	noWake      handDefect = "news wake nobody"
	forgetTries handDefect = "a newer table forgets what the one before asked for"
	askTwice    handDefect = "what is asked for stays asked for"
)

// handOver plays three tasks that meet at the hand-over: the vote hands tables, the site zones,
// calls to discovery and news, and the loop takes the token, and then the orders. At the end,
// once no token is left, the loop has the last of each, and each try, call and piece of news
// exactly once.
func handOver(bad handDefect) func(*interleave.Run) error {
	return func(r *interleave.Run) error {
		l := bare()
		host := func(id string) outlier.Host { return outlier.Host{ID: id} }
		vote := []func(){
			func() { l.setOverrides([]ejection.Standing{{Host: host("a"), Until: time.Hour, Trial: true}}) },
			func() {
				if bad == forgetTries {
					clear(l.pendingAttempts)
				}
				l.setOverrides([]ejection.Standing{{Host: host("b"), Until: time.Hour, Probe: true}})
			},
		}
		site := []func(){
			func() { l.setZoneOverrides([]agent.ZoneOverride{{Zone: "y", TTL: time.Hour}}, true) },
			func() { l.setZoneOverrides(nil, false) },
			func() {
				l.addPeerReports([]stalerouting.Entry{{ID: "s", State: stalerouting.Draining}})
				if bad == noWake {
					select {
					case <-l.ready:
					default:
					}
				}
			},
		}
		got := map[string]int{}
		var last agent.Directives
		take := func() {
			last = l.Directives()
			for _, s := range last.Overrides {
				if s.Trial {
					got["try "+s.ID]++
				}
				if s.Probe {
					got["probe "+s.ID]++
				}
			}
			for _, n := range last.PeerReports {
				got["told "+n.ID]++
			}
			if last.FetchList || bad == askTwice && got["ask"] > 0 {
				got["ask"]++
			}
		}
		token := func() bool {
			select {
			case <-l.ready:
				return true
			default:
				return false
			}
		}
		holds := false // the loop is between the token and the orders, or the other way round
		for {
			var can []func()
			if len(vote) > 0 {
				can = append(can, func() { vote[0](); vote = vote[1:] })
			}
			if len(site) > 0 {
				can = append(can, func() { site[0](); site = site[1:] })
			}
			switch {
			case holds && bad == takesFirst:
				can = append(can, func() { token(); holds = false })
			case holds:
				can = append(can, func() { take(); holds = false })
			case len(l.ready) > 0 && bad == takesFirst:
				can = append(can, func() { take(); holds = true })
			case len(l.ready) > 0:
				can = append(can, func() { token(); holds = true })
			}
			if len(can) == 0 {
				break
			}
			can[r.Choose(len(can))]()
		}
		for _, what := range []string{"try a", "probe b", "told s", "ask"} {
			if got[what] != 1 {
				return fmt.Errorf("%s came %d times", what, got[what])
			}
		}
		if len(last.ZoneOverrides) != 0 || len(last.Overrides) == 0 || last.Overrides[0].ID != "b" {
			return fmt.Errorf("the loop goes on by %+v", last)
		}
		return nil
	}
}

func TestAllOrdersOfTheHandOver(t *testing.T) {
	r := interleave.Explore(100, 1_000_000, handOver(sound))
	t.Log(r)
	if r.Err != nil || !r.Exhausted {
		t.Error(r)
	}
	for _, bad := range []handDefect{takesFirst, noWake, forgetTries, askTwice} {
		r := interleave.Explore(100, 1_000_000, handOver(bad))
		if r.Err == nil {
			t.Errorf("%s: not found: %v", bad, r)
			continue
		}
		t.Logf("%s: %v", bad, r)
		if err := interleave.Replay(r.Trace, handOver(bad)); err == nil {
			t.Errorf("%s: its trace does not replay", bad)
		}
	}
}
