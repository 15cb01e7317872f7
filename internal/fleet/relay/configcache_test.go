package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// Sessions that lack the same configuration are sent the same bytes, encoded once; what else they lack
// is sent beside it.
func TestLongConfigurationIsEncodedOnce(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"})
	relay.ApplyConfig(1, paddedDocument(1, longConfigBytes))
	take := func(form configForm) (shared []byte, rest []deltasync.Delta) {
		relay.mu.Lock()
		defer relay.mu.Unlock()
		return relay.configCache.extract(relay.now(), &relay.codec, form, relay.items.DeltasSince(nil))
	}
	first, rest := take(configForm{isCore: true, hasQuorum: true, complete: true})
	require.NotEmpty(t, first)
	require.Len(t, rest, 1, "the relay's own source")
	assert.Equal(t, relay.source(), rest[0].Source)
	second, _ := take(configForm{isCore: true, hasQuorum: true, complete: true})
	assert.Same(t, &first[0], &second[0])
	m := new(message)
	require.NoError(t, msgpack.Unmarshal(first, m))
	require.Len(t, m.Deltas, 1)
	assert.Equal(t, configSource, m.Deltas[0].Source)
	assert.True(t, m.IsCore && m.HasQuorum && m.Complete)
	assert.Zero(t, m.ReceivedVersion)

	// The status of the sender is part of it.
	other, _ := take(configForm{isCore: true, hasQuorum: true})
	assert.NotSame(t, &first[0], &other[0])
	require.NoError(t, msgpack.Unmarshal(other, m))
	// So is the configuration.
	relay.ApplyConfig(2, paddedDocument(2, longConfigBytes))
	newer, _ := take(configForm{isCore: true, hasQuorum: true})
	newest := new(message)
	require.NoError(t, msgpack.Unmarshal(newer, newest))
	assert.Equal(t, uint64(2), newest.Deltas[0].To)
	// It is not retained for long.
	relay.runFor(2*configCacheTTL, nil)
	assert.Empty(t, relay.configCache.encoded)
}

// A short configuration is sent with the other deltas.
func TestShortConfigurationIsNotShared(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"})
	relay.ApplyConfig(1, documentOf(1))
	relay.mu.Lock()
	defer relay.mu.Unlock()
	shared, rest := relay.configCache.extract(relay.now(), &relay.codec, configForm{isCore: true}, relay.items.DeltasSince(nil))
	assert.Empty(t, shared)
	assert.Len(t, rest, 2)
}
