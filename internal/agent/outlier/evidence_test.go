package outlier

import (
	"slices"
	"testing"
	"time"
)

const window = 10 * time.Second

var one, two = Host{ID: "s-1"}, Host{ID: "s-2"}

func newLog() *Log {
	l := New(window)
	l.Listed([]Listed{{one, "a", 1}, {two, "a", 3}, {Host{ID: "s-3"}, "b", 2}})
	return l
}

func TestWhatARecordSays(t *testing.T) {
	type at struct {
		kind Kind
		sec  float64
	}
	for _, c := range []struct {
		name     string
		seen     []at
		now      float64
		against  bool
		speaksUp bool
	}{
		{"nothing", nil, 1, false, false},
		{"one failure and nothing else", []at{{Failed, 1}}, 2, true, false},
		{"one failure among many good", []at{{Good, 1}, {Good, 2}, {Good, 3}, {Failed, 4}}, 5, true, false},
		{"two failures in a row after many good", []at{{Good, 1}, {Good, 2}, {Good, 3}, {Failed, 4}, {Silent, 5}}, 6, true, false},
		{"a good answer after failures", []at{{Failed, 1}, {Failed, 2}, {Good, 3}}, 4, false, true},
		{"what is full", []at{{Full, 1}, {Full, 2}}, 3, false, false},
		{"failures of long ago", []at{{Failed, 1}, {Failed, 2}}, 13, false, false},
		{"a good answer of long ago", []at{{Good, 1}}, 12, false, false},
		{"half of them", []at{{Good, 1}, {Failed, 2}, {Good, 3}, {Failed, 4}}, 5, true, false},
	} {
		l := newLog()
		for _, s := range c.seen {
			end := time.Duration(s.sec * float64(time.Second))
			l.Saw(Sight{Host: one, Kind: s.kind, OfAim: 1, Sent: end - time.Millisecond, At: end})
		}
		now := time.Duration(c.now * float64(time.Second))
		r, _ := l.Of(one, now)
		if r.Against(now, window) != c.against || r.For(now, window) != c.speaksUp {
			t.Errorf("%s: against %v, for it %v: %+v", c.name, r.Against(now, window), r.For(now, window), r)
		}
		if got := len(l.Suspects(now, window)); (got > 0) != c.against {
			t.Errorf("%s: %d suspects", c.name, got)
		}
	}
}

// A host that stands still for a moment is slow to all who ask it then; one that stays slow
// for longer is slow.
func TestAMomentOfSlownessIsNone(t *testing.T) {
	l := newLog()
	at := func(ms int, ofAim float64) {
		end := time.Duration(ms) * time.Millisecond
		l.Saw(Sight{Host: one, Kind: Good, OfAim: ofAim, Sent: end - 10*time.Millisecond, At: end})
	}
	for i := range 20 {
		at(i, 0.1)
	}
	for _, c := range []struct {
		ms      int
		ofAim   float64
		against bool
	}{{1000, 0.8, false}, {1100, 0.9, false}, {1900, 0.8, false}, {2100, 0.8, true}, {2200, 0.1, false}, {2300, 0.8, false}} {
		at(c.ms, c.ofAim)
		now := time.Duration(c.ms) * time.Millisecond
		if r, _ := l.Of(one, now); r.Against(now, window) != c.against {
			t.Errorf("at %d ms: against %v: %+v", c.ms, !c.against, r)
		}
	}
}

// An answer to what was sent before a failure says nothing of what came after.
func TestALateAnswerDoesNotSpeakForAHost(t *testing.T) {
	l := newLog()
	l.Saw(Sight{Host: one, Kind: Failed, Sent: 2 * time.Second, At: 2 * time.Second})
	l.Saw(Sight{Host: one, Kind: Good, OfAim: 0.1, Sent: time.Second, At: 3 * time.Second})
	if r, _ := l.Of(one, 4*time.Second); r.For(4*time.Second, window) {
		t.Errorf("%+v speaks for the host", r)
	}
}

// A process that started again, and one that is not listed, have no record of another.
func TestIncarnations(t *testing.T) {
	l := newLog()
	l.Saw(Sight{Host: one, Kind: Failed, Sent: 1, At: 1})
	again := Host{ID: "s-1", Incarnation: 9}
	l.Listed([]Listed{{again, "a", 1}})
	l.Saw(Sight{Host: one, Kind: Failed, Sent: 2, At: 2}) // of the old process, late
	if r, ok := l.Of(again, 3); !ok || r.Attempts != 0 {
		t.Errorf("%+v, %v", r, ok)
	}
	for _, h := range []Host{one, two} {
		if _, ok := l.Of(h, 3); ok {
			t.Errorf("%v is still known", h)
		}
	}
}

// Slow is what takes several times the usual and much of its aim; a time-out of a client that
// had hardly any time left is neither good nor bad.
func TestSlowAndSilent(t *testing.T) {
	l := newLog()
	for i := range 50 {
		l.Saw(Sight{Host: two, Kind: Good, OfAim: 0.2, Sent: time.Duration(i), At: time.Duration(i)})
	}
	for _, c := range []struct {
		kind  Kind
		ofAim float64
		want  Kind
	}{{Good, 0.3, Good}, {Good, 0.55, Good}, {Good, 0.7, Slow}, {Silent, 0.1, Full}, {Silent, 0.9, Silent}, {Silent, 1, Silent}} {
		if got := l.Saw(Sight{Host: one, Kind: c.kind, OfAim: c.ofAim, Sent: 100, At: 100}); got != c.want {
			t.Errorf("%v after %.2f of the aim is %v, want %v", c.kind, c.ofAim, got, c.want)
		}
	}
	fresh := newLog()
	if got := fresh.Saw(Sight{Host: one, Kind: Silent, OfAim: 0.9}); got != Full {
		t.Errorf("before anything is usual a time-out under the aim is %v", got)
	}
}

// Where a whole fleet gets slow that is usual in the end.
func TestASlowFleetIsUsual(t *testing.T) {
	l := newLog()
	slow := 0
	for i := range 600 {
		ofAim := 0.2
		if i >= 50 {
			ofAim = 0.9
		}
		if l.Saw(Sight{Host: two, Kind: Good, OfAim: ofAim, Sent: time.Duration(i), At: time.Duration(i)}) == Slow {
			slow++
		}
	}
	if slow == 0 || slow > 60 {
		t.Errorf("%d of 550 answers counted as slow", slow)
	}
}

func TestWeightsAndBadPart(t *testing.T) {
	l := newLog()
	if part, zone := l.Weight(two); part != 0.75 || zone != "a" {
		t.Errorf("%v of %s", part, zone)
	}
	l.Saw(Sight{Host: one, Kind: Failed, Sent: 1, At: 1})
	l.Saw(Sight{Host: two, Kind: Good, OfAim: 0.1, Sent: 1, At: 1})
	if part, met := l.BadPart(2); part != 0.5 || met != 2 {
		t.Errorf("%v of %d met", part, met)
	}
}

// A zone's sight counts its hosts, those met in the window, and those whose last was bad.
func TestZones(t *testing.T) {
	l := New(10 * time.Second)
	var hosts []Listed
	for i, zone := range []string{"b", "a", "b", "b"} {
		hosts = append(hosts, Listed{Host{ID: string(rune('p' + i))}, zone, float64(i + 1)})
	}
	l.Listed(hosts)
	l.Saw(Sight{Host: hosts[0].Host, Kind: Failed, Sent: time.Second, At: time.Second})
	l.Saw(Sight{Host: hosts[2].Host, Kind: Good, Sent: time.Second, At: time.Second})
	for i, x := range []float64{0.25, 0.75, -1} { // the last tells nothing
		l.Saw(Sight{Host: hosts[2].Host, Kind: Good, Probe: true, Util: x, Sent: time.Second, At: time.Second + time.Duration(i)})
	}
	want := []Zone{{Name: "a", Weight: 2}, {Name: "b", Weight: 8, Met: 2, Bad: 1, Hurt: 1, Attempts: 2, Failed: 1, Util: 0.5, Probes: 2}}
	if got := l.Zones(2 * time.Second); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	want[1] = Zone{Name: "b", Weight: 8}
	if got := l.Zones(time.Minute); !slices.Equal(got, want) {
		t.Errorf("a minute later %v, want %v", got, want)
	}
}
