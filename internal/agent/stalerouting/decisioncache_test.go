package stalerouting

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

func newDecision(term, index uint64, age time.Duration) Decision {
	return Decision{Version: Version, Term: term, Index: index, Age: age, Table: zonefailover.Table{Version: zonefailover.Version, Number: index}}
}

// Whoever wakes with an older decision is not believed; the same one is as fresh as the
// freshest word of it; past the bound nothing holds, and a word vouched for anew brings it back.
func TestDecisionCache(t *testing.T) {
	p := NewDecisionCache(10 * time.Second)
	if _, holds := p.Current(0); holds {
		t.Error("holds what nobody decided")
	}
	take := func(now time.Duration, d Decision, own, want bool) {
		t.Helper()
		if news, err := p.Offer(now, d, own); err != nil || news != want {
			t.Errorf("%+v: news %v, %v", d, news, err)
		}
	}
	take(0, newDecision(2, 5, time.Second), false, true)
	if d, holds := p.Current(time.Second); !holds || d.Age != 2*time.Second+maxLinkDelay {
		t.Errorf("%+v, %v", d, holds)
	}
	take(time.Second, newDecision(2, 5, 9*time.Second), false, false)
	if d, _ := p.Current(time.Second); d.Age != 2*time.Second+maxLinkDelay {
		t.Errorf("an older word of it counts: %v", d.Age)
	}
	for _, old := range []Decision{newDecision(2, 4, 0), newDecision(1, 9, 0)} {
		if _, err := p.Offer(time.Second, old, true); err == nil {
			t.Errorf("%+v was taken", old)
		}
	}
	if left := p.ValidFor(2 * time.Second); left != 7*time.Second-maxLinkDelay {
		t.Errorf("%v left", left)
	}
	if _, holds := p.Current(time.Minute); holds || p.ValidFor(time.Minute) != 0 {
		t.Error("holds past its bound")
	}
	take(time.Minute, newDecision(2, 5, 0), true, false)
	if d, holds := p.Current(time.Minute); !holds || d.Age != 0 {
		t.Errorf("%+v, %v", d, holds)
	}
	take(time.Minute, newDecision(3, 6, 0), true, true)
	for _, bad := range []Decision{{}, {Version: Version, Index: 1, Age: -1}, {Version: Version, Index: 1}} {
		if _, err := p.Offer(time.Minute, bad, true); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}

// Along any way through agents a decision never moves back, and its age never shrinks.
func TestDecisionCacheAfterAnyRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const agents = 4
		var all [agents]*DecisionCache
		for i := range all {
			all[i] = NewDecisionCache(time.Hour)
		}
		vouched := map[uint64]time.Duration{}
		now, index := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			to := rapid.IntRange(0, agents-1).Draw(t, "to")
			before, _ := all[to].Current(now)
			if rapid.Bool().Draw(t, "the council") {
				index += uint64(rapid.IntRange(0, 1).Draw(t, "new"))
				if index > 0 {
					vouched[index] = now
					_, _ = all[to].Offer(now, newDecision(index, index, 0), true) // one that knows a newer one drops it
				}
			} else if d, holds := all[rapid.IntRange(0, agents-1).Draw(t, "from")].Current(now); holds {
				_, _ = all[to].Offer(now, d, false) // the same
			}
			after, holds := all[to].Current(now)
			if after.Index < before.Index {
				t.Fatalf("moved back from %d to %d", before.Index, after.Index)
			}
			if holds && after.Age < now-vouched[after.Index] {
				t.Fatalf("%v old, vouched for %v ago", after.Age, now-vouched[after.Index])
			}
		}
	})
}
