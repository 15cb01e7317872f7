package stalerouting

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

func decided(term, index uint64, age time.Duration) Decided {
	return Decided{Version: Version, Term: term, Index: index, Age: age, Table: zonefailover.Table{Version: zonefailover.Version, Number: index}}
}

// Whoever wakes with an older decision is not believed; the same one is as fresh as the
// freshest word of it; past the bound nothing holds, and a word vouched for anew brings it back.
func TestParts(t *testing.T) {
	p := NewParts(10 * time.Second)
	if _, holds := p.Now(0); holds {
		t.Error("holds what nobody decided")
	}
	take := func(now time.Duration, d Decided, own, want bool) {
		t.Helper()
		if news, err := p.Take(now, d, own); err != nil || news != want {
			t.Errorf("%+v: news %v, %v", d, news, err)
		}
	}
	take(0, decided(2, 5, time.Second), false, true)
	if d, holds := p.Now(time.Second); !holds || d.Age != 2*time.Second+linkMost {
		t.Errorf("%+v, %v", d, holds)
	}
	take(time.Second, decided(2, 5, 9*time.Second), false, false)
	if d, _ := p.Now(time.Second); d.Age != 2*time.Second+linkMost {
		t.Errorf("an older word of it counts: %v", d.Age)
	}
	for _, old := range []Decided{decided(2, 4, 0), decided(1, 9, 0)} {
		if _, err := p.Take(time.Second, old, true); err == nil {
			t.Errorf("%+v was taken", old)
		}
	}
	if left := p.Left(2 * time.Second); left != 7*time.Second-linkMost {
		t.Errorf("%v left", left)
	}
	if _, holds := p.Now(time.Minute); holds || p.Left(time.Minute) != 0 {
		t.Error("holds past its bound")
	}
	take(time.Minute, decided(2, 5, 0), true, false)
	if d, holds := p.Now(time.Minute); !holds || d.Age != 0 {
		t.Errorf("%+v, %v", d, holds)
	}
	take(time.Minute, decided(3, 6, 0), true, true)
	for _, bad := range []Decided{{}, {Version: Version, Index: 1, Age: -1}, {Version: Version, Index: 1}} {
		if _, err := p.Take(time.Minute, bad, true); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}

// Along any way through agents a decision never moves back, and its age never shrinks.
func TestPartsAlongAnyWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const agents = 4
		var all [agents]*Parts
		for i := range all {
			all[i] = NewParts(time.Hour)
		}
		vouched := map[uint64]time.Duration{}
		now, index := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			to := rapid.IntRange(0, agents-1).Draw(t, "to")
			before, _ := all[to].Now(now)
			if rapid.Bool().Draw(t, "the council") {
				index += uint64(rapid.IntRange(0, 1).Draw(t, "new"))
				if index > 0 {
					vouched[index] = now
					_, _ = all[to].Take(now, decided(index, index, 0), true) // one that knows a newer one drops it
				}
			} else if d, holds := all[rapid.IntRange(0, agents-1).Draw(t, "from")].Now(now); holds {
				_, _ = all[to].Take(now, d, false) // the same
			}
			after, holds := all[to].Now(now)
			if after.Index < before.Index {
				t.Fatalf("moved back from %d to %d", before.Index, after.Index)
			}
			if holds && after.Age < now-vouched[after.Index] {
				t.Fatalf("%v old, vouched for %v ago", after.Age, now-vouched[after.Index])
			}
		}
	})
}
