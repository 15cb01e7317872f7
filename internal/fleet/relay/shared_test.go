package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// Sessions that lack the same configuration are sent the same bytes, encoded once; what else they lack
// comes beside it.
func TestLongConfigurationIsEncodedOnce(t *testing.T) {
	h := newManualNode("h", true, Peer{Addr: "addr of h"})
	h.ApplyConfig(1, paddedDocument(1, longConfigBytes))
	take := func(flags message) (shared []byte, rest []deltasync.Delta) {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.extractConfigLocked(&flags, h.items.DeltasSince(nil))
	}
	first, rest := take(message{IsCore: true, HasQuorum: true, Complete: true})
	require.NotEmpty(t, first)
	require.Len(t, rest, 1, "the hub's own source")
	assert.Equal(t, h.source(), rest[0].Source)
	second, _ := take(message{IsCore: true, HasQuorum: true, Complete: true})
	assert.Same(t, &first[0], &second[0])
	m := new(message)
	require.NoError(t, msgpack.Unmarshal(first, m))
	require.Len(t, m.Deltas, 1)
	assert.Equal(t, configSource, m.Deltas[0].Source)
	assert.True(t, m.IsCore && m.HasQuorum && m.Complete)
	assert.Zero(t, m.ReceivedVersion)

	// What the sender says of itself is part of it.
	other, _ := take(message{IsCore: true, HasQuorum: true})
	assert.NotSame(t, &first[0], &other[0])
	require.NoError(t, msgpack.Unmarshal(other, m))
	// So is the configuration.
	h.ApplyConfig(2, paddedDocument(2, longConfigBytes))
	newer, _ := take(message{IsCore: true, HasQuorum: true})
	newest := new(message)
	require.NoError(t, msgpack.Unmarshal(newer, newest))
	assert.Equal(t, uint64(2), newest.Deltas[0].To)
	// It is not kept for long.
	h.runFor(2*configCacheTTL, nil)
	assert.Empty(t, h.configCache.encoded)
}

// A short configuration goes with the other deltas.
func TestShortConfigurationIsNotShared(t *testing.T) {
	h := newManualNode("h", true, Peer{Addr: "addr of h"})
	h.ApplyConfig(1, documentOf(1))
	h.mu.Lock()
	defer h.mu.Unlock()
	shared, rest := h.extractConfigLocked(&message{IsCore: true}, h.items.DeltasSince(nil))
	assert.Empty(t, shared)
	assert.Len(t, rest, 2)
}
