package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// Sessions that lack the same large configuration are sent the same bytes, which are encoded once. The other
// deltas are sent separately.
func TestLongConfigurationIsEncodedOnce(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"})
	relay.ApplyConfig(1, paddedDocument(1, longConfigBytes))
	take := func(form configForm) (encoded []byte, rest []deltasync.Delta) {
		relay.mu.Lock()
		defer relay.mu.Unlock()
		return relay.configCache.extract(relay.now(), &relay.codec, form, relay.items.DeltasSince(nil))
	}
	firstEncoded, rest := take(configForm{isCore: true, hasQuorum: true, complete: true})
	require.NotEmpty(t, firstEncoded)
	require.Len(t, rest, 1, "the relay's own source")
	assert.Equal(t, relay.source(), rest[0].Source)
	secondEncoded, _ := take(configForm{isCore: true, hasQuorum: true, complete: true})
	assert.Same(t, &firstEncoded[0], &secondEncoded[0])
	m := new(message)
	require.NoError(t, msgpack.Unmarshal(firstEncoded, m))
	require.Len(t, m.Deltas, 1)
	assert.Equal(t, configSource, m.Deltas[0].Source)
	assert.True(t, m.IsCore && m.HasQuorum && m.Complete)
	assert.Zero(t, m.ReceivedVersion)

	// The status of the sender is part of the encoded message.
	incompleteEncoded, _ := take(configForm{isCore: true, hasQuorum: true})
	assert.NotSame(t, &firstEncoded[0], &incompleteEncoded[0])
	require.NoError(t, msgpack.Unmarshal(incompleteEncoded, m))
	// A newer configuration replaces the cached message.
	relay.ApplyConfig(2, paddedDocument(2, longConfigBytes))
	newerEncoded, _ := take(configForm{isCore: true, hasQuorum: true})
	newerMessage := new(message)
	require.NoError(t, msgpack.Unmarshal(newerEncoded, newerMessage))
	assert.Equal(t, uint64(2), newerMessage.Deltas[0].To)
	// The message is dropped after its last use.
	relay.runFor(2*configCacheTTL, nil)
	assert.Empty(t, relay.configCache.encoded)
}

// A small configuration is sent together with the other deltas.
func TestShortConfigurationIsNotShared(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"})
	relay.ApplyConfig(1, documentOf(1))
	relay.mu.Lock()
	defer relay.mu.Unlock()
	encoded, rest := relay.configCache.extract(relay.now(), &relay.codec, configForm{isCore: true}, relay.items.DeltasSince(nil))
	assert.Empty(t, encoded)
	assert.Len(t, rest, 2)
}
