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

// syncSimulation is stores that replicate to each other over links that lose, reorder and repeat, and the
// true history of their sources.
type syncSimulation struct {
	t            *rapid.T
	stores       []*Store
	history      map[string][]map[string]string // by source, its items at each version
	ended        []map[string]bool              // by store
	newestSeen   []Vector                       // by store: the newest version that it had of each source
	inFlight     [][]Delta
	incarnations int
}

func newSyncSimulation(t *rapid.T, n int) *syncSimulation {
	w := &syncSimulation{t: t, history: map[string][]map[string]string{}}
	for range n {
		s := NewStore(w.newSourceName())
		w.stores = append(w.stores, s)
		w.history[s.OwnSource()] = []map[string]string{{}}
		w.ended = append(w.ended, map[string]bool{})
		w.newestSeen = append(w.newestSeen, Vector{})
	}
	return w
}

func (w *syncSimulation) newSourceName() string {
	w.incarnations++
	return fmt.Sprintf("s%02d", w.incarnations)
}

func (w *syncSimulation) put(s *Store, key, data string) {
	held := maps.Clone(w.history[s.OwnSource()][s.OwnVersion()])
	if data == "" {
		delete(held, key)
	} else {
		held[key] = data
	}
	ver := s.Put(key, []byte(data))
	require.Equal(w.t, s.OwnVersion(), ver)
	w.history[s.OwnSource()] = append(w.history[s.OwnSource()], held)
	require.Len(w.t, w.history[s.OwnSource()], int(ver)+1, "each change is one version")
}

func (w *syncSimulation) startIncarnation(i int) {
	s := w.stores[i]
	old, held := s.OwnSource(), w.history[s.OwnSource()][s.OwnVersion()]
	s.StartIncarnation(w.newSourceName())
	w.ended[i][old] = true
	require.LessOrEqual(w.t, int(s.OwnVersion()), len(held), "no tombstones")
	// The versions in between have the items in the order of their last change.
	w.history[s.OwnSource()] = make([]map[string]string, len(held)+1)
	for v := range w.history[s.OwnSource()] {
		at := map[string]string{}
		for e := s.sources[s.OwnSource()].byVersion.Front(); e != nil && int(e.Value.(*Item).Version) <= v; e = e.Next() {
			at[e.Value.(*Item).Key] = string(e.Value.(*Item).Data)
		}
		w.history[s.OwnSource()][v] = at
	}
	require.Equal(w.t, held, w.history[s.OwnSource()][s.OwnVersion()], "a new incarnation has what the old one had")
}

// check requires of one store that it has of each source exactly what that had at the version, and no
// less than it had before.
func (w *syncSimulation) check(i int) {
	s := w.stores[i]
	bytes := 0
	for _, name := range s.Sources() {
		require.False(w.t, w.ended[i][name], "%s was revived", name)
		ver := s.Version(name)
		require.GreaterOrEqual(w.t, ver, w.newestSeen[i][name], "%s regressed", name)
		w.newestSeen[i][name] = ver
		got := map[string]string{}
		for key := range s.sources[name].items {
			if name != s.OwnSource() {
				bytes += len(key) + len(s.Item(name, key))
			}
			if data := s.Item(name, key); data != nil {
				got[key] = string(data)
			}
		}
		require.Equal(w.t, w.history[name][ver], got, "%s at version %d", name, ver)
	}
	require.Equal(w.t, bytes, s.remoteBytes)
	for name := range w.newestSeen[i] {
		if !w.ended[i][name] && w.newestSeen[i][name] > 0 {
			require.NotZero(w.t, s.Version(name), "%s is lost", name)
		}
	}
	require.Equal(w.t, s.Vector(), func() Vector {
		v := Vector{}
		for _, name := range s.Sources() {
			v[name] = s.Version(name)
		}
		return v
	}())
}

// Whatever links do to deltas in flight, no store regresses, has what was never published or revives
// what has ended, and all converge once they exchange deltas by their vectors.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSyncSimulation(t, rapid.IntRange(2, 4).Draw(t, "sets"))
		which := rapid.IntRange(0, len(w.stores)-1)
		var old []Vector // of any store at any time
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				w.put(w.stores[which.Draw(t, "set")], rapid.StringMatching("[a-e]").Draw(t, "key"), rapid.StringMatching("[xyz]{0,2}").Draw(t, "data"))
			},
			"send": func(t *rapid.T) {
				v := w.stores[which.Draw(t, "to")].Vector()
				if len(old) > 0 && rapid.Bool().Draw(t, "old") {
					v = rapid.SampledFrom(old).Draw(t, "vector")
				}
				old = append(old, v)
				w.inFlight = append(w.inFlight, w.stores[which.Draw(t, "from")].DeltasSince(v))
			},
			"arrive": func(t *rapid.T) { // in any order, also twice, also at other stores; deltas that never do are lost
				if len(w.inFlight) == 0 {
					t.Skip()
				}
				s := w.stores[which.Draw(t, "at")]
				before := s.Vector()
				for _, c := range s.Apply(rapid.SampledFrom(w.inFlight).Draw(t, "message")) {
					require.Greater(t, c.Item.Version, before[c.Source], "an old change is returned as new")
				}
			},
			"drop": func(t *rapid.T) {
				i := which.Draw(t, "at")
				name := rapid.SampledFrom(slices.Sorted(maps.Keys(w.history))).Draw(t, "source")
				if name != w.stores[i].OwnSource() {
					w.stores[i].EndSource(name)
					w.ended[i][name] = true
				}
			},
			"rebase": func(t *rapid.T) { w.startIncarnation(which.Draw(t, "set")) },
			"": func(t *rapid.T) {
				for i := range w.stores {
					w.check(i)
				}
			},
		})
		for range w.stores { // one round syncs neighbours, so that many rounds sync all
			for i, to := range w.stores {
				for _, from := range w.stores {
					to.Apply(from.DeltasSince(to.Vector()))
				}
				w.check(i)
			}
		}
		for i, s := range w.stores {
			for j, other := range w.stores {
				if !w.ended[i][other.OwnSource()] {
					require.Equal(t, other.OwnVersion(), s.Version(other.OwnSource()), "store %d of the source of store %d", i, j)
				}
			}
		}
	})
}

// itemsAfter returns n items of rising versions after from.
func itemsAfter(from uint64, n int, key func(int) string) []Item {
	out := make([]Item, n)
	for i := range out {
		out[i] = Item{Key: key(i), Version: from + uint64(i) + 1, Data: []byte("x")}
	}
	return out
}

func numberedKey(i int) string { return fmt.Sprint("k", i) }

func deltaWith(source string, from uint64, items []Item) Delta {
	return Delta{Source: source, From: from, To: from + uint64(len(items)), Items: items}
}

// Deltas that a faulty peer sends change nothing.
func TestInvalidDeltasAreIgnored(t *testing.T) {
	x := []byte("x")
	for name, d := range map[string]Delta{
		"own source":           {Source: "me", To: 9, Items: []Item{{"a", 9, x}}},
		"no source":            {To: 3, Items: []Item{{"a", 3, x}}},
		"ended source":         {Source: "gone", To: 3, Items: []Item{{"a", 3, x}}},
		"after a gap":          {Source: "it", From: 4, To: 5, Items: []Item{{"a", 5, x}}},
		"nothing new":          {Source: "it", From: 0, To: 2, Items: []Item{{"a", 2, x}}},
		"backwards":            {Source: "it", From: 2, To: 1, Items: []Item{{"a", 1, x}}},
		"falling versions":     {Source: "it", From: 2, To: 4, Items: []Item{{"a", 4, x}, {"b", 3, x}}},
		"a version twice":      {Source: "it", From: 2, To: 3, Items: []Item{{"a", 3, x}, {"b", 3, x}}},
		"an item past the end": {Source: "it", From: 2, To: 3, Items: []Item{{"a", 4, x}}},
		"an item too old":      {Source: "it", From: 1, To: 3, Items: []Item{{"a", 1, x}, {"b", 3, x}}},
		"end without item":     {Source: "it", From: 2, To: 9, Items: []Item{{"a", 3, x}}},
		"no items":             {Source: "it", From: 2, To: 9},
		"source without items": {Source: "new", To: 1},
		"no key":               {Source: "it", From: 2, To: 3, Items: []Item{{"", 3, x}}},
		"huge key":             {Source: "it", From: 2, To: 3, Items: []Item{{strings.Repeat("k", 4096), 3, x}}},
		"huge source":          {Source: strings.Repeat("s", 4096), To: 1, Items: []Item{{"a", 1, x}}},
		"too many items":       deltaWith("new", 0, itemsAfter(0, maxItems+1, numberedKey)),
		"too many in all":      deltaWith("it", 2, itemsAfter(2, maxItems, numberedKey)),
	} {
		t.Run(name, func(t *testing.T) {
			s := NewStore("me")
			s.Put("mine", x)
			require.Len(t, s.Apply([]Delta{{Source: "it", To: 2, Items: []Item{{"a", 1, x}, {"b", 2, x}}}}), 2)
			s.EndSource("gone")
			before, vector := s.DeltasSince(nil), s.Vector()
			assert.Empty(t, s.Apply([]Delta{d}))
			assert.Equal(t, vector, s.Vector())
			assert.Equal(t, before, s.DeltasSince(nil))
			// It does not prevent a valid one.
			assert.Len(t, s.Apply([]Delta{{Source: "it", From: 2, To: 3, Items: []Item{{"c", 3, x}}}}), 1)
		})
	}
}

// The bound is on what is stored: a source all of whose items have changed can be synced.
func TestAllItemsOfASourceMayChange(t *testing.T) {
	s := NewStore("me")
	require.Len(t, s.Apply([]Delta{deltaWith("it", 0, itemsAfter(0, maxItems, numberedKey))}), maxItems)
	assert.Len(t, s.Apply([]Delta{deltaWith("it", maxItems, itemsAfter(maxItems, maxItems, numberedKey))}), maxItems)
	assert.Equal(t, uint64(2*maxItems), s.Version("it"))
	assert.Empty(t, s.Apply([]Delta{deltaWith("it", 2*maxItems, itemsAfter(2*maxItems, 1, func(int) string { return "new" }))}))
}

func TestSourcesAreBounded(t *testing.T) {
	s := NewStore("me")
	for i := range 2 * maxSources {
		s.Apply([]Delta{deltaWith(fmt.Sprint("s", i), 0, itemsAfter(0, 1, numberedKey))})
	}
	assert.Len(t, s.Sources(), maxSources)
	s.EndSource("s0")
	assert.Zero(t, s.Version("s0"))
	assert.Equal(t, uint64(1), s.LastVersion("s0"))
	assert.Len(t, s.Apply([]Delta{deltaWith("late", 0, itemsAfter(0, 1, numberedKey))}), 1, "there is capacity again")
	for i := range 2 * maxSources {
		s.EndSource(fmt.Sprint("s", i))
	}
	assert.Len(t, s.endedVersions, maxSources)
	assert.Len(t, s.endedOrder, maxSources)
	assert.True(t, s.Ended(fmt.Sprint("s", 2*maxSources-1)))
	assert.Equal(t, []string{"late", "me"}, s.Sources())
}

func TestBytesAreBounded(t *testing.T) {
	s := NewStore("me")
	big := make([]byte, maxBytes/4)
	for i := range 8 {
		s.Apply([]Delta{{Source: fmt.Sprint("s", i), To: 1, Items: []Item{{"a", 1, big}}}})
	}
	assert.Len(t, s.Sources(), 1+3, "the fourth would exceed the bound by its key")
	s.EndSource("s0")
	assert.Len(t, s.Apply([]Delta{{Source: "s9", To: 1, Items: []Item{{"a", 1, big}}}}), 1)
	// An item that replaces another is counted once.
	assert.Len(t, s.Apply([]Delta{{Source: "s9", From: 1, To: 2, Items: []Item{{"a", 2, big}}}}), 1)
	assert.Len(t, s.Apply([]Delta{{Source: "s9", From: 2, To: 3, Items: []Item{{"a", 3, nil}}}}), 1)
	assert.Len(t, s.Apply([]Delta{{Source: "s8", To: 1, Items: []Item{{"a", 1, big}}}}), 1)
}

func TestStartIncarnation(t *testing.T) {
	s := NewStore("one")
	s.Put("a", []byte("1"))
	s.Put("b", []byte("2"))
	s.Put("a", []byte("3"))
	s.Put("c", []byte("4"))
	s.Put("c", nil)
	s.Apply([]Delta{deltaWith("it", 0, itemsAfter(0, 3, numberedKey))})
	s.StartIncarnation("two")
	assert.Equal(t, "two", s.OwnSource())
	assert.True(t, s.Ended("one"))
	assert.Equal(t, Vector{"two": 2, "it": 3}, s.Vector())
	assert.Equal(t, []Delta{{Source: "two", To: 2, Items: []Item{{"b", 1, []byte("2")}, {"a", 2, []byte("3")}}}}, s.DeltasSince(Vector{"it": 3}))
	assert.Empty(t, s.Apply([]Delta{deltaWith("one", 0, itemsAfter(0, 9, numberedKey))}), "the old incarnation is not revived")
	assert.Equal(t, uint64(3), s.Put("c", []byte("5")))
}

// Tombstones remain until the source starts a new incarnation.
func TestTombstonesRequireCompaction(t *testing.T) {
	s := NewStore("one")
	for i := range maxTombstones {
		s.Put(numberedKey(i), []byte("x"))
		s.Put(numberedKey(i), nil)
		s.Put(numberedKey(i), nil) // again: counted once
	}
	s.Put("back", nil)
	require.True(t, s.NeedsCompaction())
	s.Put("back", []byte("x"))
	require.False(t, s.NeedsCompaction())
	s.Put("empty", []byte{}) // is a tombstone, too: so it is at all who receive it
	require.True(t, s.NeedsCompaction())
	require.Nil(t, s.Item("one", "empty"))
	s.StartIncarnation("two")
	assert.False(t, s.NeedsCompaction())
	assert.Equal(t, uint64(1), s.OwnVersion())
	assert.Equal(t, []byte("x"), s.Item("two", "back"))
}

// Deltas that were returned do not change with the store.
func TestDeltasAreImmutable(t *testing.T) {
	s := NewStore("me")
	s.Put("a", []byte("1"))
	s.Put("b", []byte("2"))
	d := s.DeltasSince(nil)
	s.Put("a", []byte("3"))
	s.Put("b", nil)
	assert.Equal(t, []Delta{{Source: "me", To: 2, Items: []Item{{"a", 1, []byte("1")}, {"b", 2, []byte("2")}}}}, d)
}

// The own source cannot be ended but by StartIncarnation.
func TestOwnSourceCannotBeEnded(t *testing.T) {
	s := NewStore("me")
	s.Put("a", []byte("1"))
	s.EndSource("me")
	assert.False(t, s.Ended("me"))
	assert.Equal(t, uint64(2), s.Put("b", []byte("2")))
}
