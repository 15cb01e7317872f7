package relay

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/bindiff"
	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// diffConfigBytes is the size of the configurations in these tests.
const diffConfigBytes = 96 << 10

// revisedDocument returns the padded document of revision 1 with only its revision replaced.
func revisedDocument(revision, size int) []byte {
	return bytes.Replace(paddedDocument(1, size), []byte(`"revision":1`), fmt.Appendf(nil, `"revision":%d`, revision), 1)
}

func configItemOf(version uint64, raw []byte) deltasync.Item {
	return deltasync.Item{Key: configKey, Version: version, Data: encode(&configItem{version, raw})}
}

// receiveConfig receives messages until one carries a configuration, and returns that message.
func receiveConfig(t *testing.T, st *stream) *message {
	t.Helper()
	codec := newDeltaCodec()
	for {
		m, err := st.Recv()
		require.NoError(t, err)
		require.NoError(t, codec.decompress(m))
		if m.ConfigDiff != nil {
			return m
		}
		for i := range m.Deltas {
			if m.Deltas[i].Source == configSource {
				return m
			}
		}
	}
}

// A member of the core retains a bounded number of earlier configurations. Other agents retain none.
func TestFormerConfigsAreBounded(t *testing.T) {
	var history configHistory
	for version := uint64(1); version <= 3*maxFormerConfigs; version++ {
		history.add(configItemOf(version, documentOf(1)), true)
		require.LessOrEqual(t, len(history.configs), maxFormerConfigs+1)
		require.NotNil(t, history.data(version))
	}
	assert.NotNil(t, history.data(2*maxFormerConfigs))
	assert.Nil(t, history.data(2*maxFormerConfigs-1))
	longConfig := make([]byte, maxFormerConfigBytes/2+1)
	for version := uint64(100); version < 104; version++ {
		history.add(configItemOf(version, longConfig), true)
	}
	assert.Len(t, history.configs, 2)
	history.add(configItemOf(104, make([]byte, maxFormerConfigBytes+1)), true)
	history.add(configItemOf(105, documentOf(1)), true)
	assert.Len(t, history.configs, 1, "the earlier configuration is too large to be retained")
	history.add(configItemOf(106, documentOf(1)), false)
	assert.Len(t, history.configs, 1)
	assert.NotNil(t, history.data(106))
}

// A peer that has an earlier configuration is sent a diff if it accepts diffs. Earlier program versions do not.
func TestConfigDiffIsAgreed(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 2, 1)
	relay := cluster.coreMembers[0]
	first, second := revisedDocument(1, diffConfigBytes), revisedDocument(2, diffConfigBytes)
	relay.node.ApplyConfig(1, first)
	relay.node.ApplyConfig(2, second)
	for name, known := range map[string]struct {
		version uint64
		accepts bool
		isDiff  bool
	}{
		"an earlier configuration":                   {1, true, true},
		"an earlier configuration, accepts no diffs": {1, false, false},
		"no configuration":                           {0, true, false},
	} {
		st := relay.openSession()
		own := &hello{Source: "y/" + name, Addr: "y:1", AcceptsZstd: true, AcceptsConfigDiffs: known.accepts, Vector: deltasync.Vector{configSource: known.version}}
		require.NoError(t, st.Send(&message{Hello: own}))
		m := receiveConfig(t, st)
		require.Equal(t, known.isDiff, m.ConfigDiff != nil, name)
		if known.isDiff {
			assert.Less(t, len(encode(m.ConfigDiff)), 1<<10, "the diff is small")
			data, err := m.ConfigDiff.apply(encode(&configItem{1, first}))
			require.NoError(t, err)
			assert.Equal(t, encode(&configItem{2, second}), data)
		}
		st.Close()
	}
}

// Agents that are sent diffs have exactly the relays' bytes after each of a series of changes.
func TestAgentsFollowConfigDiffs(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 3)
	for seq := uint64(1); seq <= 20; seq++ {
		document := revisedDocument(int(seq)+100, diffConfigBytes+int(seq))
		for _, relay := range cluster.coreMembers {
			relay.node.ApplyConfig(seq, document)
		}
		cluster.eventually("has the configuration", hasConfig(seq))
		for _, agent := range cluster.edgeAgents {
			agent.node.mu.Lock()
			data, needsWhole := agent.node.configHistory.data(seq), agent.node.needsWholeConfig
			agent.node.mu.Unlock()
			assert.Equal(t, encode(&configItem{seq, document}), data)
			assert.False(t, needsWhole)
		}
	}
}

// An agent whose earlier configuration is not the base of the diff receives the whole next configuration.
func TestAgentWithAnotherBaseGetsTheWholeConfig(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 2, 1)
	relay, agent := cluster.coreMembers[0], cluster.edgeAgents[0]
	relay.node.ApplyConfig(1, revisedDocument(1, diffConfigBytes))
	cluster.eventually("has the configuration", hasConfig(1))
	agent.node.mu.Lock()
	agent.node.configHistory.configs[0].Data = []byte("damaged")
	agent.node.mu.Unlock()
	relay.node.ApplyConfig(2, revisedDocument(2, diffConfigBytes))
	cluster.eventually("has the configuration", hasConfig(2))
	relay.node.ApplyConfig(3, revisedDocument(3, diffConfigBytes))
	cluster.eventually("has the configuration", hasConfig(3))
}

// A diff that cannot be applied is an error, which ends the session. The next hello accepts no diffs, until the
// agent has received a whole configuration.
func TestUnusableConfigDiff(t *testing.T) {
	agent := newManualNode("agent", false)
	peer := agent.connect("addr of relay", "relay/1", true)
	agent.ApplyConfig(1, revisedDocument(1, diffConfigBytes))
	baseItem, nextItem := configItemOf(1, revisedDocument(1, diffConfigBytes)), configItemOf(2, revisedDocument(2, diffConfigBytes))
	validDiff := computeConfigDiff(1, baseItem.Data, nextItem)
	require.NotNil(t, validDiff)
	damagedDiff := *validDiff
	damagedDiff.Content.ResultSum++
	for want, diff := range map[error]*configDiff{
		errUnknownConfigBase:    {From: 7, To: 9},
		bindiff.ErrBaseMismatch: {From: 1, To: 2},
		bindiff.ErrDamaged:      &damagedDiff,
	} {
		agent.needsWholeConfig = false
		require.ErrorIs(t, agent.receiveMessage(peer, &message{ConfigDiff: diff}), want)
		assert.Equal(t, uint64(1), agent.ConfigSeq())
		assert.False(t, agent.newHelloLocked(false).AcceptsConfigDiffs)
	}
	agent.ApplyConfig(2, revisedDocument(2, diffConfigBytes))
	assert.True(t, agent.newHelloLocked(false).AcceptsConfigDiffs, "the agent has received a whole configuration")
}

// A diff that leads to the configuration in force shows that the peer has this configuration, so that it is not
// sent back.
func TestKnownConfigDiffIsNotSentBack(t *testing.T) {
	relay := newManualNode("relay", true, Peer{Addr: "addr of relay"}, Peer{Addr: "addr of other"})
	peer := relay.connect("addr of other", "other/1", true)
	relay.ApplyConfig(1, revisedDocument(1, diffConfigBytes))
	relay.ApplyConfig(2, revisedDocument(2, diffConfigBytes))
	require.NoError(t, relay.receiveMessage(peer, &message{ConfigDiff: &configDiff{From: 1, To: 2}, IsCore: true}))
	assert.Equal(t, uint64(2), peer.sentVersions[configSource])
}

// The diff to the newest configuration is computed once for all sessions.
func TestConfigDiffIsComputedOnce(t *testing.T) {
	var history configHistory
	history.add(configItemOf(1, revisedDocument(1, diffConfigBytes)), true)
	history.add(configItemOf(2, revisedDocument(2, diffConfigBytes)), true)
	firstDiff := history.diff(1)
	require.NotNil(t, firstDiff)
	assert.Same(t, firstDiff, history.diff(1))
	assert.Nil(t, history.diff(7), "the base is unknown")
	history.add(configItemOf(3, revisedDocument(3, diffConfigBytes)), true)
	assert.Equal(t, uint64(3), history.diff(1).To)
	assert.Equal(t, uint64(3), history.diff(2).To)
}

// tenantDocument returns a configuration with the given number of tenants, each with a random key. Two revisions
// differ in the rate of one tenant.
func tenantDocument(revision, tenants int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	var document bytes.Buffer
	fmt.Fprintf(&document, `{"revision":%d,"routes":[],"services":[],"tenants":[`, revision)
	for i := range tenants {
		if i > 0 {
			document.WriteByte(',')
		}
		key := fmt.Sprintf("%016x%016x%016x%016x", rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64())
		rate := 10 + rng.IntN(90)
		if i == tenants/2 {
			rate += revision
		}
		fmt.Fprintf(&document, `{"id":"tenant-%d","keys":["%s"],"requests-per-s":%d}`, i, key, rate)
	}
	document.WriteString("]}")
	return document.Bytes()
}

// CommittedConfig returns exactly the bytes that were submitted. It waits until the configuration has arrived, and
// fails if a newer one is present.
func TestCommittedConfig(t *testing.T) {
	relay := newManualNode("relay", true, Peer{Addr: "addr of relay"})
	endedContext, cancel := context.WithCancel(t.Context())
	cancel()
	_, found := relay.CommittedConfig(endedContext, 1)
	assert.False(t, found, "the configuration has not arrived yet")
	type answer struct {
		raw   []byte
		found bool
	}
	answers := make(chan answer)
	go func() {
		raw, found := relay.CommittedConfig(timeoutContext(t, testTimeout), 1)
		answers <- answer{raw, found}
	}()
	relay.ApplyConfig(1, documentOf(5))
	assert.Equal(t, answer{documentOf(5), true}, <-answers)
	relay.ApplyConfig(2, []byte("no document"))
	_, found = relay.CommittedConfig(t.Context(), 1)
	assert.False(t, found, "there is a newer configuration")
	raw, found := relay.CommittedConfig(t.Context(), 2)
	assert.True(t, found, "it is returned although it is invalid and not in force")
	assert.Equal(t, "no document", string(raw))
}

// BenchmarkConfigChange measures a change of one tenant with and without diffs: the bytes that an agent's session
// receives, and the time until the new configuration is in force on the agent.
func BenchmarkConfigChange(b *testing.B) {
	for _, tenants := range []int{170, 650, 6500} {
		for name, accepts := range map[string]bool{"whole": false, "difference": true} {
			b.Run(fmt.Sprintf("%s, %d tenants", name, tenants), func(b *testing.B) { benchmarkConfigChange(b, tenants, accepts) })
		}
	}
}

func benchmarkConfigChange(b *testing.B, tenants int, accepts bool) {
	relay, agent := newManualNode("relay", true, Peer{Addr: "addr of relay"}), newManualNode("agent", false)
	relay.tick() // the relay detects that it is a member of the core
	toAgent, fromRelay := relay.connect("addr of agent", agent.source(), false), agent.connect("addr of relay", relay.source(), true)
	toAgent.acceptsZstd, toAgent.acceptsConfigDiffs = true, accepts
	out := &sender{node: relay.Node, session: toAgent}
	seq, total := uint64(0), 0
	change := func() {
		seq++
		relay.ApplyConfig(seq, tenantDocument(int(seq), tenants))
		update, encodedFirst, _ := out.nextUpdate()
		for _, m := range encodedFirst {
			total += len(m)
			agent.receiveEncoded(b, fromRelay, m)
		}
		relay.codec.compress(update)
		encoded := encode(update)
		total += len(encoded)
		agent.receiveEncoded(b, fromRelay, encoded)
		require.Equal(b, seq, agent.ConfigSeq())
	}
	change()
	total = 0
	b.ReportAllocs()
	for b.Loop() {
		change()
	}
	b.ReportMetric(float64(len(tenantDocument(1, tenants))), "document-bytes")
	b.ReportMetric(float64(total)/float64(seq-1), "bytes/change")
}

// receiveEncoded lets a node receive an encoded message on a session.
func (n *manualNode) receiveEncoded(tb testing.TB, from *session, encoded []byte) {
	received := new(message)
	require.NoError(tb, msgpack.Unmarshal(encoded, received))
	require.NoError(tb, n.receiveMessage(from, received))
}
