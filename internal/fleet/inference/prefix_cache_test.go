package inference

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelCache is a simple model of prefixCache.
type modelCache struct {
	maxTokens, maxEntries int
	prefixes              []Segment // the most recently used prefix is last
}

func (c *modelCache) tokens() (sum int) {
	for _, prefix := range c.prefixes {
		sum += prefix.Tokens
	}
	return sum
}

func (c *modelCache) evict() {
	for len(c.prefixes) > 0 && (c.tokens() > c.maxTokens || len(c.prefixes) > c.maxEntries) {
		c.prefixes = c.prefixes[1:]
	}
}

func (c *modelCache) touch(prefix Segment) {
	if prefix.Tokens > c.maxTokens || c.maxEntries < 1 {
		return
	}
	if i := c.index(prefix.ID); i >= 0 {
		prefix = c.prefixes[i]
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
	}
	c.prefixes = append(c.prefixes, prefix)
	c.evict()
}

func (c *modelCache) index(id uint64) int {
	return slices.IndexFunc(c.prefixes, func(prefix Segment) bool { return prefix.ID == id })
}

func (c *modelCache) remove(id uint64) {
	if i := c.index(id); i >= 0 {
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
	}
}

// requireEqual requires that the cache has the same entries as the model, in the same order.
func (c *modelCache) requireEqual(t *rapid.T, cache *prefixCache) {
	require.Equal(t, c.tokens(), cache.tokens)
	require.Len(t, cache.index, len(c.prefixes))
	link := cache.tail
	for _, prefix := range c.prefixes {
		require.True(t, cache.contains(prefix.ID))
		require.Equal(t, prefix.ID, cache.entries[link-1].prefix)
		link = cache.entries[link-1].prev
	}
	require.Zero(t, link)
}

// TestPrefixCache compares the cache with a simple model.
func TestPrefixCache(t *testing.T) {
	const ids = 30
	rapid.Check(t, func(t *rapid.T) {
		drawID := func(t *rapid.T) uint64 { return uint64(rapid.IntRange(1, ids).Draw(t, "id")) }
		drawBounds := func(t *rapid.T) (maxTokens, maxEntries int) {
			return rapid.IntRange(0, 200).Draw(t, "max tokens"), rapid.IntRange(0, 12).Draw(t, "max entries")
		}
		maxTokens, maxEntries := drawBounds(t)
		cache := prefixCache{maxTokens: maxTokens, maxEntries: maxEntries}
		model := modelCache{maxTokens: maxTokens, maxEntries: maxEntries}
		t.Repeat(map[string]func(*rapid.T){
			"touch": func(t *rapid.T) {
				prefix := Segment{drawID(t), rapid.IntRange(0, 60).Draw(t, "tokens")}
				cache.touch(prefix.ID, prefix.Tokens)
				model.touch(prefix)
			},
			"remove": func(t *rapid.T) {
				id := drawID(t)
				cache.remove(id)
				model.remove(id)
			},
			"resize": func(t *rapid.T) {
				model.maxTokens, model.maxEntries = drawBounds(t)
				cache.resize(model.maxTokens, model.maxEntries)
				model.evict()
			},
			"reset": func(*rapid.T) {
				cache.reset()
				model.prefixes = nil
			},
			"": func(t *rapid.T) {
				model.requireEqual(t, &cache)
				require.LessOrEqual(t, len(cache.entries), ids+1, "entries are reused")
			},
		})
	})
}
