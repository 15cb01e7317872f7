package deltasync

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// deltaUpTo returns the delta of source "b" from the beginning to a version, with one item per version.
func deltaUpTo(upto uint64) Delta {
	d := Delta{Source: "b", To: upto}
	for ver := uint64(1); ver <= upto; ver++ {
		d.Items = append(d.Items, Item{Key: string(rune('a' + ver)), Version: ver, Data: []byte{byte(ver)}})
	}
	return d
}

// If a delta begins before the version that is present, only its newer items are applied.
func TestOverlappingDeltaYieldsOnlyNewItems(t *testing.T) {
	t.Parallel()
	store := NewStore("a")
	assert.Len(t, store.Apply([]Delta{deltaUpTo(2)}), 2)
	changes := store.Apply([]Delta{deltaUpTo(3)})
	if assert.Len(t, changes, 1) {
		assert.EqualValues(t, 3, changes[0].Item.Version)
	}
	assert.Empty(t, store.Apply([]Delta{deltaUpTo(2)}), "an older delta changes nothing")
	assert.EqualValues(t, 3, store.Version("b"))
}

// A source that has ended is not revived.
func TestEndedSourceIsNotRevived(t *testing.T) {
	t.Parallel()
	store := NewStore("a")
	store.Apply([]Delta{deltaUpTo(2)})
	store.EndSource("b")
	assert.Empty(t, store.Apply([]Delta{deltaUpTo(3)}))
	assert.Zero(t, store.Version("b"))
	assert.EqualValues(t, 2, store.LastVersion("b"))
	assert.Equal(t, []string{"a"}, store.Sources())
}
