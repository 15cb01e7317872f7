package stalerouting

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawEntries draws the entries of a peer's set.
func drawEntries(t *rapid.T, name string) []Entry {
	return rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Entry {
		return Entry{ID: fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "id")),
			Incarnation: rapid.Int64Range(0, 3).Draw(t, "incarnation"),
			State:       State(rapid.IntRange(0, 2).Draw(t, "state")),
			Age:         time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second}
	}), 0, 5, func(e Entry) string { return e.ID }).Draw(t, name)
}

// Sets that merge the same entries are equal, whatever the order and the number of repetitions, and no merge
// replaces a record by an older one.
func TestMergeIsCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = time.Minute
		all := [][]Entry{drawEntries(t, "a"), drawEntries(t, "b"), drawEntries(t, "c")}
		merge := func(order []int) *ServerSet {
			s := NewServerSet()
			for _, i := range order {
				before := s.Entries(now)
				if _, err := s.Merge(now, all[i]); err != nil {
					t.Fatal(err)
				}
				for _, e := range before {
					after := s.servers[e.ID]
					if (record{e.Incarnation, e.State, 0}).newerThan(after) {
						t.Fatalf("%+v was replaced by the older %+v", e, after)
					}
				}
			}
			return s
		}
		want := merge([]int{0, 1, 2})
		for _, order := range [][]int{{2, 1, 0}, {1, 0, 2, 1, 0}, {0, 0, 2, 2, 1}} {
			got := merge(order)
			if !slices.Equal(got.Entries(now), want.Entries(now)) || got.Digest() != want.Digest() {
				t.Fatalf("order %v: %v, want %v", order, got.Entries(now), want.Entries(now))
			}
		}
	})
}

// The agent's own discovery overrides entries of peers. A server that is not in its complete list is
// removed, and an older entry of a peer does not bring it back.
func TestDiscoveryIsTheAuthority(t *testing.T) {
	s := NewServerSet()
	s.ApplyDiscovery(0, []Entry{{ID: "a"}, {ID: "b", Incarnation: 5}}, true)
	if _, err := s.Merge(time.Second, []Entry{{ID: "a", State: Draining}}); err != nil {
		t.Fatal(err)
	}
	s.ApplyDiscovery(2*time.Second, []Entry{{ID: "a"}}, true)
	want := []Entry{{ID: "a", Age: time.Second}, {"b", 5, Removed, time.Second}}
	if got := s.Entries(3 * time.Second); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	if changed, _ := s.Merge(3*time.Second, []Entry{{"b", 5, Up, 0}}); len(changed) != 0 {
		t.Errorf("a removed server is up again: %v", changed)
	}
	if changed, _ := s.Merge(3*time.Second, []Entry{{"b", 6, Up, 0}}); len(changed) != 1 {
		t.Error("the next process of the server was not added")
	}
	s.ApplyDiscovery(3*time.Second, []Entry{{ID: "a", State: Draining}}, false)
	if got := s.Entries(3 * time.Second); got[0].State != Draining || got[1].State != Up {
		t.Errorf("a change of one server affected another: %v", got)
	}
	s.ApplyDiscovery(tombstoneTTL+time.Hour, []Entry{{ID: "a"}}, true)
	if got := s.Entries(tombstoneTTL + time.Hour); len(got) != 2 { // b's next process has only just been removed
		t.Errorf("%v", got)
	}
	s.ApplyDiscovery(2*tombstoneTTL+2*time.Hour, []Entry{{ID: "a"}}, true)
	if got := s.Entries(2 * tombstoneTTL); len(got) != 1 {
		t.Errorf("a removal is remembered for longer than tombstoneTTL: %v", got)
	}
}

func TestInvalidEntriesAreRejected(t *testing.T) {
	s := NewServerSet()
	valid := Entry{ID: "a"}
	for key, invalid := range map[string]Entry{"id": {}, "state": {ID: "b", State: 9}, "age": {ID: "b", Age: -1}} {
		if _, err := s.Merge(0, []Entry{valid, invalid}); err == nil || !strings.Contains(err.Error(), "set[1]."+key) {
			t.Errorf("%v, want an error that names set[1].%s", err, key)
		}
	}
	if len(s.Entries(0)) != 0 {
		t.Error("entries were applied although one is invalid")
	}
	var many []Entry
	for i := range MaxEntries + 1 {
		many = append(many, Entry{ID: fmt.Sprint(i)})
	}
	if _, err := s.Merge(0, many); err == nil {
		t.Error("more entries were accepted than a set may have")
	}
	if _, err := s.Merge(0, many[:MaxEntries]); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Merge(0, []Entry{{ID: "one more"}}); err != nil || len(s.servers) != MaxEntries {
		t.Errorf("%v, %d entries", err, len(s.servers))
	}
}
