package inference

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPrefixIDCoversAllSegmentsBeforeIt(t *testing.T) {
	a, b := Segment{1, 10}, Segment{2, 20}
	ab, ba := prefixes(a, b), prefixes(b, a)
	assert.NotEqual(t, ab[1].ID, ba[0].ID, "the same segment after another one ends another prefix")
	assert.Equal(t, prefixes(a)[0], ab[0])
	assert.NotEqual(t, ab[0].ID, AppendPrefixes(nil, "other", []Segment{a})[0].ID, "each model has its own prefixes")
	assert.Equal(t, []int{10, 20}, []int{ab[0].Tokens, ab[1].Tokens})
	assert.Zero(t, AppendPrefixes(nil, "m", []Segment{{1, -5}})[0].Tokens)
}
