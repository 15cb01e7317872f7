package deltasync

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// world is what sources truly said, and sets that tell each other of it over links that lose,
// reorder and repeat.
type world struct {
	t       *rapid.T
	sets    []*Set
	truth   map[string][]map[string]string // by source, what it held at each version
	dropped []map[string]bool              // by set
	seen    []Vector                       // by set: the newest that it held of each source
	flying  [][]Delta
	lives   int
}

func newWorld(t *rapid.T, n int) *world {
	w := &world{t: t, truth: map[string][]map[string]string{}}
	for range n {
		s := NewSet(w.name())
		w.sets = append(w.sets, s)
		w.truth[s.Self()] = []map[string]string{{}}
		w.dropped = append(w.dropped, map[string]bool{})
		w.seen = append(w.seen, Vector{})
	}
	return w
}

func (w *world) name() string {
	w.lives++
	return fmt.Sprintf("s%02d", w.lives)
}

func (w *world) put(s *Set, key, data string) {
	held := maps.Clone(w.truth[s.Self()][s.Own()])
	if data == "" {
		delete(held, key)
	} else {
		held[key] = data
	}
	ver := s.Put(key, []byte(data))
	require.Equal(w.t, s.Own(), ver)
	w.truth[s.Self()] = append(w.truth[s.Self()], held)
	require.Len(w.t, w.truth[s.Self()], int(ver)+1, "each change is one version")
}

func (w *world) rebase(i int) {
	s := w.sets[i]
	old, held := s.Self(), w.truth[s.Self()][s.Own()]
	s.Rebase(w.name())
	w.dropped[i][old] = true
	require.LessOrEqual(w.t, int(s.Own()), len(held), "nothing but what is not removed")
	// The versions in between: items in the order of their last change.
	w.truth[s.Self()] = make([]map[string]string, len(held)+1)
	for v := range w.truth[s.Self()] {
		at := map[string]string{}
		for e := s.sources[s.Self()].order.Front(); e != nil && int(e.Value.(*Item).Ver) <= v; e = e.Next() {
			at[e.Value.(*Item).Key] = string(e.Value.(*Item).Data)
		}
		w.truth[s.Self()][v] = at
	}
	require.Equal(w.t, held, w.truth[s.Self()][s.Own()], "a new life has what the old one had")
}

// check proves of one set that it holds of each source exactly what that had said at the version,
// and no less than it held before.
func (w *world) check(i int) {
	s := w.sets[i]
	bytes := 0
	for _, name := range s.Sources() {
		require.False(w.t, w.dropped[i][name], "%s came back", name)
		ver := s.Has(name)
		require.GreaterOrEqual(w.t, ver, w.seen[i][name], "%s went back", name)
		w.seen[i][name] = ver
		got := map[string]string{}
		for key := range s.sources[name].items {
			if name != s.Self() {
				bytes += len(key) + len(s.Item(name, key))
			}
			if data := s.Item(name, key); data != nil {
				got[key] = string(data)
			}
		}
		require.Equal(w.t, w.truth[name][ver], got, "%s at version %d", name, ver)
	}
	require.Equal(w.t, bytes, s.bytes)
	for name := range w.seen[i] {
		if !w.dropped[i][name] && w.seen[i][name] > 0 {
			require.NotZero(w.t, s.Has(name), "%s is lost", name)
		}
	}
	require.Equal(w.t, s.Vector(), func() Vector {
		v := Vector{}
		for _, name := range s.Sources() {
			v[name] = s.Has(name)
		}
		return v
	}())
}

// Whatever links do to what is on its way, no set goes back, holds what was never said or brings
// back what has ended, and all are alike once they tell each other what they lack by their vectors.
func TestSetsConvergeByVectors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 4).Draw(t, "sets"))
		which := rapid.IntRange(0, len(w.sets)-1)
		var old []Vector // of any set at any time
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				w.put(w.sets[which.Draw(t, "set")], rapid.StringMatching("[a-e]").Draw(t, "key"), rapid.StringMatching("[xyz]{0,2}").Draw(t, "data"))
			},
			"send": func(t *rapid.T) {
				v := w.sets[which.Draw(t, "to")].Vector()
				if len(old) > 0 && rapid.Bool().Draw(t, "old") {
					v = rapid.SampledFrom(old).Draw(t, "vector")
				}
				old = append(old, v)
				w.flying = append(w.flying, w.sets[which.Draw(t, "from")].Since(v))
			},
			"arrive": func(t *rapid.T) { // in any order, also twice, also at others; what never does is lost
				if len(w.flying) == 0 {
					t.Skip()
				}
				s := w.sets[which.Draw(t, "at")]
				before := s.Vector()
				for _, c := range s.Apply(rapid.SampledFrom(w.flying).Draw(t, "message")) {
					require.Greater(t, c.Item.Ver, before[c.Source], "an old change is told as new")
				}
			},
			"drop": func(t *rapid.T) {
				i := which.Draw(t, "at")
				name := rapid.SampledFrom(slices.Sorted(maps.Keys(w.truth))).Draw(t, "source")
				if name != w.sets[i].Self() {
					w.sets[i].Drop(name)
					w.dropped[i][name] = true
				}
			},
			"rebase": func(t *rapid.T) { w.rebase(which.Draw(t, "set")) },
			"": func(t *rapid.T) {
				for i := range w.sets {
					w.check(i)
				}
			},
		})
		for range w.sets { // one round tells neighbours, so that many rounds tell all
			for i, to := range w.sets {
				for _, from := range w.sets {
					to.Apply(from.Since(to.Vector()))
				}
				w.check(i)
			}
		}
		for i, s := range w.sets {
			for j, other := range w.sets {
				if !w.dropped[i][other.Self()] {
					require.Equal(t, other.Own(), s.Has(other.Self()), "set %d of the source of set %d", i, j)
				}
			}
		}
	})
}

// changes are n items of rising version after from.
func changes(from uint64, n int, key func(int) string) []Item {
	out := make([]Item, n)
	for i := range out {
		out[i] = Item{Key: key(i), Ver: from + uint64(i) + 1, Data: []byte("x")}
	}
	return out
}

func numbered(i int) string { return fmt.Sprint("k", i) }

func full(source string, from uint64, items []Item) Delta {
	return Delta{Source: source, From: from, Upto: from + uint64(len(items)), Items: items}
}

// What a peer at fault sends changes nothing.
func TestUnsoundDeltasChangeNothing(t *testing.T) {
	x := []byte("x")
	for name, d := range map[string]Delta{
		"own source":           {Source: "me", Upto: 9, Items: []Item{{"a", 9, x}}},
		"no source":            {Upto: 3, Items: []Item{{"a", 3, x}}},
		"ended source":         {Source: "gone", Upto: 3, Items: []Item{{"a", 3, x}}},
		"after what is held":   {Source: "it", From: 4, Upto: 5, Items: []Item{{"a", 5, x}}},
		"nothing new":          {Source: "it", From: 0, Upto: 2, Items: []Item{{"a", 2, x}}},
		"backwards":            {Source: "it", From: 2, Upto: 1, Items: []Item{{"a", 1, x}}},
		"falling versions":     {Source: "it", From: 2, Upto: 4, Items: []Item{{"a", 4, x}, {"b", 3, x}}},
		"a version twice":      {Source: "it", From: 2, Upto: 3, Items: []Item{{"a", 3, x}, {"b", 3, x}}},
		"an item past the end": {Source: "it", From: 2, Upto: 3, Items: []Item{{"a", 4, x}}},
		"an item too old":      {Source: "it", From: 1, Upto: 3, Items: []Item{{"a", 1, x}, {"b", 3, x}}},
		"end without item":     {Source: "it", From: 2, Upto: 9, Items: []Item{{"a", 3, x}}},
		"no items":             {Source: "it", From: 2, Upto: 9},
		"source without items": {Source: "new", Upto: 1},
		"no key":               {Source: "it", From: 2, Upto: 3, Items: []Item{{"", 3, x}}},
		"huge key":             {Source: "it", From: 2, Upto: 3, Items: []Item{{strings.Repeat("k", 4096), 3, x}}},
		"huge source":          {Source: strings.Repeat("s", 4096), Upto: 1, Items: []Item{{"a", 1, x}}},
		"too many items":       full("new", 0, changes(0, maxItems+1, numbered)),
		"too many in all":      full("it", 2, changes(2, maxItems, numbered)),
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSet("me")
			s.Put("mine", x)
			require.Len(t, s.Apply([]Delta{{Source: "it", Upto: 2, Items: []Item{{"a", 1, x}, {"b", 2, x}}}}), 2)
			s.Drop("gone")
			before, vector := s.Since(nil), s.Vector()
			assert.Empty(t, s.Apply([]Delta{d}))
			assert.Equal(t, vector, s.Vector())
			assert.Equal(t, before, s.Since(nil))
			// And it bars no sound one.
			assert.Len(t, s.Apply([]Delta{{Source: "it", From: 2, Upto: 3, Items: []Item{{"c", 3, x}}}}), 1)
		})
	}
}

// The bound is on what is kept: a source all of whose items have changed can be caught up with.
func TestAWholeSourceMayChange(t *testing.T) {
	s := NewSet("me")
	require.Len(t, s.Apply([]Delta{full("it", 0, changes(0, maxItems, numbered))}), maxItems)
	assert.Len(t, s.Apply([]Delta{full("it", maxItems, changes(maxItems, maxItems, numbered))}), maxItems)
	assert.Equal(t, uint64(2*maxItems), s.Has("it"))
	assert.Empty(t, s.Apply([]Delta{full("it", 2*maxItems, changes(2*maxItems, 1, func(int) string { return "new" }))}))
}

func TestSourcesAreBounded(t *testing.T) {
	s := NewSet("me")
	for i := range 2 * maxSources {
		s.Apply([]Delta{full(fmt.Sprint("s", i), 0, changes(0, 1, numbered))})
	}
	assert.Len(t, s.Sources(), maxSources)
	s.Drop("s0")
	assert.Zero(t, s.Has("s0"))
	assert.Equal(t, uint64(1), s.Had("s0"))
	assert.Len(t, s.Apply([]Delta{full("late", 0, changes(0, 1, numbered))}), 1, "there is room again")
	for i := range 2 * maxSources {
		s.Drop(fmt.Sprint("s", i))
	}
	assert.Len(t, s.dropped, maxSources)
	assert.Len(t, s.ended, maxSources)
	assert.True(t, s.Dropped(fmt.Sprint("s", 2*maxSources-1)))
	assert.Equal(t, []string{"late", "me"}, s.Sources())
}

func TestBytesAreBounded(t *testing.T) {
	s := NewSet("me")
	big := make([]byte, maxBytes/4)
	for i := range 8 {
		s.Apply([]Delta{{Source: fmt.Sprint("s", i), Upto: 1, Items: []Item{{"a", 1, big}}}})
	}
	assert.Len(t, s.Sources(), 1+3, "the fourth would pass the bound by its key")
	s.Drop("s0")
	assert.Len(t, s.Apply([]Delta{{Source: "s9", Upto: 1, Items: []Item{{"a", 1, big}}}}), 1)
	// One that takes the place of another is counted once.
	assert.Len(t, s.Apply([]Delta{{Source: "s9", From: 1, Upto: 2, Items: []Item{{"a", 2, big}}}}), 1)
	assert.Len(t, s.Apply([]Delta{{Source: "s9", From: 2, Upto: 3, Items: []Item{{"a", 3, nil}}}}), 1)
	assert.Len(t, s.Apply([]Delta{{Source: "s8", Upto: 1, Items: []Item{{"a", 1, big}}}}), 1)
}

func TestRebase(t *testing.T) {
	s := NewSet("one")
	s.Put("a", []byte("1"))
	s.Put("b", []byte("2"))
	s.Put("a", []byte("3"))
	s.Put("c", []byte("4"))
	s.Put("c", nil)
	s.Apply([]Delta{full("it", 0, changes(0, 3, numbered))})
	s.Rebase("two")
	assert.Equal(t, "two", s.Self())
	assert.True(t, s.Dropped("one"))
	assert.Equal(t, Vector{"two": 2, "it": 3}, s.Vector())
	assert.Equal(t, []Delta{{Source: "two", Upto: 2, Items: []Item{{"b", 1, []byte("2")}, {"a", 2, []byte("3")}}}}, s.Since(Vector{"it": 3}))
	assert.Empty(t, s.Apply([]Delta{full("one", 0, changes(0, 9, numbered))}), "nobody brings the old life back")
	assert.Equal(t, uint64(3), s.Put("c", []byte("5")))
}

// Removed items stay until the source goes on under a new name.
func TestRemovedItemsMakeASourceStale(t *testing.T) {
	s := NewSet("one")
	for i := range maxRemoved {
		s.Put(numbered(i), []byte("x"))
		s.Put(numbered(i), nil)
		s.Put(numbered(i), nil) // once more: counted once
	}
	s.Put("back", nil)
	require.True(t, s.Stale())
	s.Put("back", []byte("x"))
	require.False(t, s.Stale())
	s.Put("empty", []byte{}) // is removed, too: so it is at all who are told
	require.True(t, s.Stale())
	require.Nil(t, s.Item("one", "empty"))
	s.Rebase("two")
	assert.False(t, s.Stale())
	assert.Equal(t, uint64(1), s.Own())
	assert.Equal(t, []byte("x"), s.Item("two", "back"))
}

// What was handed out stays as it was while the set goes on.
func TestDeltasAreOneMoment(t *testing.T) {
	s := NewSet("me")
	s.Put("a", []byte("1"))
	s.Put("b", []byte("2"))
	d := s.Since(nil)
	s.Put("a", []byte("3"))
	s.Put("b", nil)
	assert.Equal(t, []Delta{{Source: "me", Upto: 2, Items: []Item{{"a", 1, []byte("1")}, {"b", 2, []byte("2")}}}}, d)
}

// The own source cannot be dropped: its life ends by Rebase.
func TestOwnSourceStays(t *testing.T) {
	s := NewSet("me")
	s.Put("a", []byte("1"))
	s.Drop("me")
	assert.False(t, s.Dropped("me"))
	assert.Equal(t, uint64(2), s.Put("b", []byte("2")))
}
