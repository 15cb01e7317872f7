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

// syncSimulation has stores that replicate to each other over links that lose, reorder and repeat messages, and
// records the true history of their sources.
type syncSimulation struct {
	t            *rapid.T
	stores       []*Store
	history      map[string][]map[string]string // items of each source at each of its versions
	ended        []map[string]bool              // sources that have ended, for each store
	newestSeen   []Vector                       // newest version of each source that was present, for each store
	inFlight     [][]Delta
	incarnations int
}

func newSyncSimulation(t *rapid.T, n int) *syncSimulation {
	simulation := &syncSimulation{t: t, history: map[string][]map[string]string{}}
	for range n {
		s := NewStore(simulation.newSourceName())
		simulation.stores = append(simulation.stores, s)
		simulation.history[s.OwnSource()] = []map[string]string{{}}
		simulation.ended = append(simulation.ended, map[string]bool{})
		simulation.newestSeen = append(simulation.newestSeen, Vector{})
	}
	return simulation
}

func (w *syncSimulation) newSourceName() string {
	w.incarnations++
	return fmt.Sprintf("s%02d", w.incarnations)
}

func (w *syncSimulation) put(store *Store, key, data string) {
	items := maps.Clone(w.history[store.OwnSource()][store.OwnVersion()])
	if data == "" {
		delete(items, key)
	} else {
		items[key] = data
	}
	version := store.Put(key, []byte(data))
	require.Equal(w.t, store.OwnVersion(), version)
	w.history[store.OwnSource()] = append(w.history[store.OwnSource()], items)
	require.Len(w.t, w.history[store.OwnSource()], int(version)+1, "each change increments the version by one")
}

func (w *syncSimulation) startIncarnation(i int) {
	store := w.stores[i]
	oldSource, items := store.OwnSource(), w.history[store.OwnSource()][store.OwnVersion()]
	store.StartIncarnation(w.newSourceName())
	w.ended[i][oldSource] = true
	require.LessOrEqual(w.t, int(store.OwnVersion()), len(items), "the new incarnation has tombstones")
	// The versions of the new incarnation add the items one by one, in the order of their last change.
	w.history[store.OwnSource()] = make([]map[string]string, len(items)+1)
	for v := range w.history[store.OwnSource()] {
		at := map[string]string{}
		for e := store.sources[store.OwnSource()].byVersion.Front(); e != nil && int(e.Value.(*Item).Version) <= v; e = e.Next() {
			at[e.Value.(*Item).Key] = string(e.Value.(*Item).Data)
		}
		w.history[store.OwnSource()][v] = at
	}
	require.Equal(w.t, items, w.history[store.OwnSource()][store.OwnVersion()], "the new incarnation has other items than the old one")
}

// check requires that a store has exactly the items that each source had at the store's version of it, and that no
// version is older than at an earlier check.
func (w *syncSimulation) check(i int) {
	store := w.stores[i]
	bytes := 0
	for _, name := range store.Sources() {
		require.False(w.t, w.ended[i][name], "%s was revived", name)
		version := store.Version(name)
		require.GreaterOrEqual(w.t, version, w.newestSeen[i][name], "%s regressed", name)
		w.newestSeen[i][name] = version
		got := map[string]string{}
		for key := range store.sources[name].items {
			if name != store.OwnSource() {
				bytes += len(key) + len(store.Item(name, key))
			}
			if data := store.Item(name, key); data != nil {
				got[key] = string(data)
			}
		}
		require.Equal(w.t, w.history[name][version], got, "%s at version %d", name, version)
	}
	require.Equal(w.t, bytes, store.remoteBytes)
	for name := range w.newestSeen[i] {
		if !w.ended[i][name] && w.newestSeen[i][name] > 0 {
			require.NotZero(w.t, store.Version(name), "%s is lost", name)
		}
	}
	require.Equal(w.t, store.Vector(), func() Vector {
		v := Vector{}
		for _, name := range store.Sources() {
			v[name] = store.Version(name)
		}
		return v
	}())
}

// Even if messages are lost, reordered or repeated, no store regresses, has items that were never published or
// revives a source that has ended. All stores converge once they exchange deltas according to their vectors.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSyncSimulation(t, rapid.IntRange(2, 4).Draw(t, "sets"))
		which := rapid.IntRange(0, len(simulation.stores)-1)
		var earlierVectors []Vector // earlier vectors of all stores
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				simulation.put(simulation.stores[which.Draw(t, "set")], rapid.StringMatching("[a-e]").Draw(t, "key"), rapid.StringMatching("[xyz]{0,2}").Draw(t, "data"))
			},
			"send": func(t *rapid.T) {
				v := simulation.stores[which.Draw(t, "to")].Vector()
				if len(earlierVectors) > 0 && rapid.Bool().Draw(t, "old") {
					v = rapid.SampledFrom(earlierVectors).Draw(t, "vector")
				}
				earlierVectors = append(earlierVectors, v)
				simulation.inFlight = append(simulation.inFlight, simulation.stores[which.Draw(t, "from")].DeltasSince(v))
			},
			// Messages arrive in any order, at any store, repeatedly or never.
			"arrive": func(t *rapid.T) {
				if len(simulation.inFlight) == 0 {
					t.Skip()
				}
				store := simulation.stores[which.Draw(t, "at")]
				before := store.Vector()
				for _, c := range store.Apply(rapid.SampledFrom(simulation.inFlight).Draw(t, "message")) {
					require.Greater(t, c.Item.Version, before[c.Source], "a change that was present is returned as new")
				}
			},
			"drop": func(t *rapid.T) {
				i := which.Draw(t, "at")
				name := rapid.SampledFrom(slices.Sorted(maps.Keys(simulation.history))).Draw(t, "source")
				if name != simulation.stores[i].OwnSource() {
					simulation.stores[i].EndSource(name)
					simulation.ended[i][name] = true
				}
			},
			"rebase": func(t *rapid.T) { simulation.startIncarnation(which.Draw(t, "set")) },
			"": func(t *rapid.T) {
				for i := range simulation.stores {
					simulation.check(i)
				}
			},
		})
		for range simulation.stores { // as many rounds as stores sync all of them
			for i, to := range simulation.stores {
				for _, from := range simulation.stores {
					to.Apply(from.DeltasSince(to.Vector()))
				}
				simulation.check(i)
			}
		}
		for i, store := range simulation.stores {
			for j, other := range simulation.stores {
				if !simulation.ended[i][other.OwnSource()] {
					require.Equal(t, other.OwnVersion(), store.Version(other.OwnSource()), "store %d has another version of the source of store %d", i, j)
				}
			}
		}
	})
}

// itemsAfter returns n items with consecutive versions after from.
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

// Invalid deltas of a faulty peer change nothing.
func TestInvalidDeltasAreIgnored(t *testing.T) {
	data := []byte("x")
	for name, delta := range map[string]Delta{
		"own source":           {Source: "me", To: 9, Items: []Item{{"a", 9, data}}},
		"no source":            {To: 3, Items: []Item{{"a", 3, data}}},
		"ended source":         {Source: "gone", To: 3, Items: []Item{{"a", 3, data}}},
		"after a gap":          {Source: "it", From: 4, To: 5, Items: []Item{{"a", 5, data}}},
		"nothing new":          {Source: "it", From: 0, To: 2, Items: []Item{{"a", 2, data}}},
		"backwards":            {Source: "it", From: 2, To: 1, Items: []Item{{"a", 1, data}}},
		"falling versions":     {Source: "it", From: 2, To: 4, Items: []Item{{"a", 4, data}, {"b", 3, data}}},
		"a version twice":      {Source: "it", From: 2, To: 3, Items: []Item{{"a", 3, data}, {"b", 3, data}}},
		"an item past the end": {Source: "it", From: 2, To: 3, Items: []Item{{"a", 4, data}}},
		"an item too old":      {Source: "it", From: 1, To: 3, Items: []Item{{"a", 1, data}, {"b", 3, data}}},
		"end without item":     {Source: "it", From: 2, To: 9, Items: []Item{{"a", 3, data}}},
		"no items":             {Source: "it", From: 2, To: 9},
		"source without items": {Source: "new", To: 1},
		"no key":               {Source: "it", From: 2, To: 3, Items: []Item{{"", 3, data}}},
		"huge key":             {Source: "it", From: 2, To: 3, Items: []Item{{strings.Repeat("k", 4096), 3, data}}},
		"huge source":          {Source: strings.Repeat("s", 4096), To: 1, Items: []Item{{"a", 1, data}}},
		"too many items":       deltaWith("new", 0, itemsAfter(0, maxItems+1, numberedKey)),
		"too many in all":      deltaWith("it", 2, itemsAfter(2, maxItems, numberedKey)),
	} {
		t.Run(name, func(t *testing.T) {
			store := NewStore("me")
			store.Put("mine", data)
			require.Len(t, store.Apply([]Delta{{Source: "it", To: 2, Items: []Item{{"a", 1, data}, {"b", 2, data}}}}), 2)
			store.EndSource("gone")
			before, vector := store.DeltasSince(nil), store.Vector()
			assert.Empty(t, store.Apply([]Delta{delta}))
			assert.Equal(t, vector, store.Vector())
			assert.Equal(t, before, store.DeltasSince(nil))
			// The invalid delta does not prevent a valid one.
			assert.Len(t, store.Apply([]Delta{{Source: "it", From: 2, To: 3, Items: []Item{{"c", 3, data}}}}), 1)
		})
	}
}

// The bound applies to the stored items, so that a delta that changes all items of a source is accepted.
func TestAllItemsOfASourceMayChange(t *testing.T) {
	store := NewStore("me")
	require.Len(t, store.Apply([]Delta{deltaWith("it", 0, itemsAfter(0, maxItems, numberedKey))}), maxItems)
	assert.Len(t, store.Apply([]Delta{deltaWith("it", maxItems, itemsAfter(maxItems, maxItems, numberedKey))}), maxItems)
	assert.Equal(t, uint64(2*maxItems), store.Version("it"))
	assert.Empty(t, store.Apply([]Delta{deltaWith("it", 2*maxItems, itemsAfter(2*maxItems, 1, func(int) string { return "new" }))}))
}

func TestSourcesAreBounded(t *testing.T) {
	store := NewStore("me")
	for i := range 2 * maxSources {
		store.Apply([]Delta{deltaWith(fmt.Sprint("s", i), 0, itemsAfter(0, 1, numberedKey))})
	}
	assert.Len(t, store.Sources(), maxSources)
	store.EndSource("s0")
	assert.Zero(t, store.Version("s0"))
	assert.Equal(t, uint64(1), store.LastVersion("s0"))
	assert.Len(t, store.Apply([]Delta{deltaWith("late", 0, itemsAfter(0, 1, numberedKey))}), 1, "a source has ended, so there is capacity again")
	for i := range 2 * maxSources {
		store.EndSource(fmt.Sprint("s", i))
	}
	assert.Len(t, store.endedVersions, maxSources)
	assert.Len(t, store.endedOrder, maxSources)
	assert.True(t, store.Ended(fmt.Sprint("s", 2*maxSources-1)))
	assert.Equal(t, []string{"late", "me"}, store.Sources())
}

func TestBytesAreBounded(t *testing.T) {
	store := NewStore("me")
	bigData := make([]byte, maxBytes/4)
	for i := range 8 {
		store.Apply([]Delta{{Source: fmt.Sprint("s", i), To: 1, Items: []Item{{"a", 1, bigData}}}})
	}
	assert.Len(t, store.Sources(), 1+3, "the data of a fourth source fits exactly, but not its key")
	store.EndSource("s0")
	assert.Len(t, store.Apply([]Delta{{Source: "s9", To: 1, Items: []Item{{"a", 1, bigData}}}}), 1)
	// An item that replaces another is counted once.
	assert.Len(t, store.Apply([]Delta{{Source: "s9", From: 1, To: 2, Items: []Item{{"a", 2, bigData}}}}), 1)
	assert.Len(t, store.Apply([]Delta{{Source: "s9", From: 2, To: 3, Items: []Item{{"a", 3, nil}}}}), 1)
	assert.Len(t, store.Apply([]Delta{{Source: "s8", To: 1, Items: []Item{{"a", 1, bigData}}}}), 1)
}

func TestStartIncarnation(t *testing.T) {
	store := NewStore("one")
	store.Put("a", []byte("1"))
	store.Put("b", []byte("2"))
	store.Put("a", []byte("3"))
	store.Put("c", []byte("4"))
	store.Put("c", nil)
	store.Apply([]Delta{deltaWith("it", 0, itemsAfter(0, 3, numberedKey))})
	store.StartIncarnation("two")
	assert.Equal(t, "two", store.OwnSource())
	assert.True(t, store.Ended("one"))
	assert.Equal(t, Vector{"two": 2, "it": 3}, store.Vector())
	assert.Equal(t, []Delta{{Source: "two", To: 2, Items: []Item{{"b", 1, []byte("2")}, {"a", 2, []byte("3")}}}}, store.DeltasSince(Vector{"it": 3}))
	assert.Empty(t, store.Apply([]Delta{deltaWith("one", 0, itemsAfter(0, 9, numberedKey))}), "the old incarnation is not revived")
	assert.Equal(t, uint64(3), store.Put("c", []byte("5")))
}

// Tombstones remain until the source starts a new incarnation.
func TestTombstonesRequireCompaction(t *testing.T) {
	store := NewStore("one")
	for i := range maxTombstones {
		store.Put(numberedKey(i), []byte("x"))
		store.Put(numberedKey(i), nil)
		store.Put(numberedKey(i), nil) // a repeated removal counts once
	}
	store.Put("back", nil)
	require.True(t, store.NeedsCompaction())
	store.Put("back", []byte("x"))
	require.False(t, store.NeedsCompaction())
	store.Put("empty", []byte{}) // empty data is a tombstone, too, as it is for all receivers
	require.True(t, store.NeedsCompaction())
	require.Nil(t, store.Item("one", "empty"))
	store.StartIncarnation("two")
	assert.False(t, store.NeedsCompaction())
	assert.Equal(t, uint64(1), store.OwnVersion())
	assert.Equal(t, []byte("x"), store.Item("two", "back"))
}

// Deltas that DeltasSince has returned do not change when the store does.
func TestDeltasAreImmutable(t *testing.T) {
	store := NewStore("me")
	store.Put("a", []byte("1"))
	store.Put("b", []byte("2"))
	d := store.DeltasSince(nil)
	store.Put("a", []byte("3"))
	store.Put("b", nil)
	assert.Equal(t, []Delta{{Source: "me", To: 2, Items: []Item{{"a", 1, []byte("1")}, {"b", 2, []byte("2")}}}}, d)
}

// EndSource does not end the own source.
func TestOwnSourceCannotBeEnded(t *testing.T) {
	store := NewStore("me")
	store.Put("a", []byte("1"))
	store.EndSource("me")
	assert.False(t, store.Ended("me"))
	assert.Equal(t, uint64(2), store.Put("b", []byte("2")))
}
