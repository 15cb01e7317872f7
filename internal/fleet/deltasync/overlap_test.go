package deltasync

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// deltaOf is what source "b" tells from its first version up to one, an item each.
func deltaOf(upto uint64) Delta {
	d := Delta{Source: "b", Upto: upto}
	for ver := uint64(1); ver <= upto; ver++ {
		d.Items = append(d.Items, Item{Key: string(rune('a' + ver)), Ver: ver, Data: []byte{byte(ver)}})
	}
	return d
}

// Of a delta that begins before what is held only what is newer counts.
func TestOverlapOfADeltaIsNotNew(t *testing.T) {
	t.Parallel()
	s := NewSet("a")
	assert.Len(t, s.Apply([]Delta{deltaOf(2)}), 2)
	changes := s.Apply([]Delta{deltaOf(3)})
	if assert.Len(t, changes, 1) {
		assert.EqualValues(t, 3, changes[0].Item.Ver)
	}
	assert.Empty(t, s.Apply([]Delta{deltaOf(2)}), "an older one")
	assert.EqualValues(t, 3, s.Has("b"))
}

// A source that has ended is brought back by nobody.
func TestEndedSourceStaysEnded(t *testing.T) {
	t.Parallel()
	s := NewSet("a")
	s.Apply([]Delta{deltaOf(2)})
	s.Drop("b")
	assert.Empty(t, s.Apply([]Delta{deltaOf(3)}))
	assert.Zero(t, s.Has("b"))
	assert.EqualValues(t, 2, s.Had("b"))
	assert.Equal(t, []string{"a"}, s.Sources())
}
