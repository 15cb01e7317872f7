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
func TestALongConfigurationIsEncodedOnce(t *testing.T) {
	h := newStill("h", true, Peer{Addr: "addr of h"})
	h.Commit(1, longDocument(1, longConfig))
	take := func(flags message) (shared []byte, rest []deltasync.Delta) {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.shareConfig(&flags, h.set.DeltasSince(nil))
	}
	first, rest := take(message{Core: true, Linked: true, Full: true})
	require.NotEmpty(t, first)
	require.Len(t, rest, 1, "the hub's own source")
	assert.Equal(t, h.source(), rest[0].Source)
	second, _ := take(message{Core: true, Linked: true, Full: true})
	assert.Same(t, &first[0], &second[0])
	m := new(message)
	require.NoError(t, msgpack.Unmarshal(first, m))
	require.Len(t, m.Deltas, 1)
	assert.Equal(t, configSource, m.Deltas[0].Source)
	assert.True(t, m.Core && m.Linked && m.Full)
	assert.Zero(t, m.Got)

	// What the sender says of itself is part of it.
	other, _ := take(message{Core: true, Linked: true})
	assert.NotSame(t, &first[0], &other[0])
	require.NoError(t, msgpack.Unmarshal(other, m))
	// So is the configuration.
	h.Commit(2, longDocument(2, longConfig))
	newer, _ := take(message{Core: true, Linked: true})
	newest := new(message)
	require.NoError(t, msgpack.Unmarshal(newer, newest))
	assert.Equal(t, uint64(2), newest.Deltas[0].Upto)
	// It is not kept for long.
	h.run(2*sharedFor, nil)
	assert.Empty(t, h.shared.message)
}

// A short configuration goes with the other deltas.
func TestAShortConfigurationIsNotShared(t *testing.T) {
	h := newStill("h", true, Peer{Addr: "addr of h"})
	h.Commit(1, document(1))
	h.mu.Lock()
	defer h.mu.Unlock()
	shared, rest := h.shareConfig(&message{Core: true}, h.set.DeltasSince(nil))
	assert.Empty(t, shared)
	assert.Len(t, rest, 2)
}
