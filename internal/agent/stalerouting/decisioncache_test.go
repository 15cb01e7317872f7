package stalerouting

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

func newDecision(term, index uint64, age time.Duration) Decision {
	return Decision{Version: Version, Term: term, Index: index, Age: age,
		Table: zonefailover.Table{Version: zonefailover.Version, Number: index}}
}

// An older decision is rejected. The same decision keeps the lowest age that was offered. Past the maximum
// age it is no longer valid, until a new confirmation makes it valid again.
func TestDecisionCache(t *testing.T) {
	cache := NewDecisionCache(10 * time.Second)
	if _, valid := cache.Current(0); valid {
		t.Error("an empty cache has a valid decision")
	}
	offer := func(now time.Duration, d Decision, local, want bool) {
		t.Helper()
		if changed, err := cache.Offer(now, d, local); err != nil || changed != want {
			t.Errorf("%+v: changed %v, %v", d, changed, err)
		}
	}
	offer(0, newDecision(2, 5, time.Second), false, true)
	if d, valid := cache.Current(time.Second); !valid || d.Age != 2*time.Second+maxLinkDelay {
		t.Errorf("%+v, %v", d, valid)
	}
	offer(time.Second, newDecision(2, 5, 9*time.Second), false, false)
	if d, _ := cache.Current(time.Second); d.Age != 2*time.Second+maxLinkDelay {
		t.Errorf("an older confirmation replaced a newer one: age %v", d.Age)
	}
	for _, old := range []Decision{newDecision(2, 4, 0), newDecision(1, 9, 0)} {
		if _, err := cache.Offer(time.Second, old, true); err == nil {
			t.Errorf("%+v was accepted", old)
		}
	}
	if validFor := cache.ValidFor(2 * time.Second); validFor != 7*time.Second-maxLinkDelay {
		t.Errorf("valid for %v", validFor)
	}
	if _, valid := cache.Current(time.Minute); valid || cache.ValidFor(time.Minute) != 0 {
		t.Error("still valid past the maximum age")
	}
	offer(time.Minute, newDecision(2, 5, 0), true, false)
	if d, valid := cache.Current(time.Minute); !valid || d.Age != 0 {
		t.Errorf("%+v, %v", d, valid)
	}
	offer(time.Minute, newDecision(3, 6, 0), true, true)
	for _, invalid := range []Decision{{}, {Version: Version, Index: 1, Age: -1}, {Version: Version, Index: 1}} {
		if _, err := cache.Offer(time.Minute, invalid, true); err == nil {
			t.Errorf("%+v was accepted", invalid)
		}
	}
}

// On any route through agents, a decision is never replaced by an older one, and its age is never less than
// the time since its last confirmation.
func TestDecisionCacheAfterAnyRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const agents = 4
		var all [agents]*DecisionCache
		for i := range all {
			all[i] = NewDecisionCache(time.Hour)
		}
		confirmed := map[uint64]time.Duration{}
		now, index := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			to := rapid.IntRange(0, agents-1).Draw(t, "to")
			before, _ := all[to].Current(now)
			if rapid.Bool().Draw(t, "the consensus group") {
				index += uint64(rapid.IntRange(0, 1).Draw(t, "new"))
				if index > 0 {
					confirmed[index] = now
					_, _ = all[to].Offer(now, newDecision(index, index, 0),
						true) // rejected if the agent has a newer one
				}
			} else if d, valid := all[rapid.IntRange(0, agents-1).Draw(t, "from")].Current(now); valid {
				_, _ = all[to].Offer(now, d, false) // rejected in the same case
			}
			after, valid := all[to].Current(now)
			if after.Index < before.Index {
				t.Fatalf("index went back from %d to %d", before.Index, after.Index)
			}
			if valid && after.Age < now-confirmed[after.Index] {
				t.Fatalf("age %v, but confirmed %v ago", after.Age, now-confirmed[after.Index])
			}
		}
	})
}
