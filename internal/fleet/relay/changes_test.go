package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// Invalid items of a source change nothing but that source's stored items.
func TestInvalidItemsAreIgnored(t *testing.T) {
	longText := strings.Repeat("x", 1<<16)
	negativeWarmUp := server("s", 1)
	negativeWarmUp.WarmUp = -time.Hour
	hugeService := server("s", 1)
	hugeService.Service = longText
	unknownState := server("s", 1)
	unknownState.State = 77
	for name, d := range map[string]deltasync.Delta{
		"end without a source":         initialDelta("x/1", endPrefix, presentData),
		"end of the configuration":     initialDelta("x/1", endPrefix+configSource, presentData),
		"lease without a holder":       initialDelta("x/1", leasePrefix, presentData),
		"lease of the configuration":   initialDelta("x/1", leasePrefix+configSource, presentData),
		"an undecodable member":        initialDelta("x/1", memberKey, []byte("\xc1")),
		"a huge member":                initialDelta("x/1", memberKey, &Member{Name: longText}),
		"a member as a list":           initialDelta("x/1", memberKey, []int{1, 2}),
		"an undecodable server":        initialDelta("x/1", serverPrefix+"s", []byte("\xc1\xff")),
		"a server under another's ID":  initialDelta("x/1", serverPrefix+"r", server("s", 1)),
		"a server without ID":          initialDelta("x/1", serverPrefix, server("", 1)),
		"a negative time":              initialDelta("x/1", serverPrefix+"s", negativeWarmUp),
		"a huge text":                  initialDelta("x/1", serverPrefix+"s", hugeService),
		"an unknown state":             initialDelta("x/1", serverPrefix+"s", unknownState),
		"nil":                          initialDelta("x/1", serverPrefix+"s", []byte{0xc0}),
		"an unknown key":               initialDelta("x/1", "of-later", presentData),
		"an undecodable config":        initialDelta(configSource, configKey, []byte("\xc1")),
		"config of another version":    initialDelta(configSource, configKey, &configItem{Seq: 1 << 60, Raw: documentOf(1 << 30)}),
		"config under another key":     initialDelta(configSource, "d", &configItem{Seq: 1, Raw: documentOf(1 << 30)}),
		"a member of the config":       initialDelta(configSource, memberKey, &Member{Name: "x"}),
		"an end by the config":         initialDelta(configSource, endPrefix+"v/1", presentData),
		"a server of the config":       initialDelta(configSource, serverPrefix+"s", server("s", 1)),
		"config that cannot be parsed": initialDelta(configSource, configKey, &configItem{Seq: 1, Raw: []byte("{")}),
	} {
		t.Run(name, func(t *testing.T) {
			agent := newManualNode("a", true)
			agent.tick()
			peer := agent.connect("addr of v", "v/1", true)
			agent.deliver(peer, &message{IsCore: true, Deltas: []deltasync.Delta{initialDelta("v/1", memberKey, &Member{Name: "v"}, serverPrefix+"t", server("t", 1))}})
			source, ownItems := agent.source(), len(agent.itemsOf(agent.source()))
			agent.deliver(peer, &message{IsCore: true, Deltas: []deltasync.Delta{d}})
			agent.runFor(leaseDuration+2*tickInterval, agent.heartbeatFrom(peer))
			assert.Equal(t, source, agent.source())
			for m := range agent.members {
				assert.Contains(t, []string{source, "v/1"}, m)
			}
			assert.Len(t, agent.members, 2)
			assert.Len(t, agent.snapshot.Servers.ByID, 1)
			assert.LessOrEqual(t, len(agent.itemsOf(source)), ownItems+3, "only the lease of the peer and the end of the faulty source may be added")
			assert.Zero(t, agent.config.seq)
			// The next configuration is still applied.
			agent.ApplyConfig(9, documentOf(5))
			assert.Equal(t, uint64(9), agent.snapshot.ConfigSeq)
			assert.Equal(t, int64(5), agent.snapshot.Config.Revision)
		})
	}
}

// After arbitrary messages of peers, an agent is still a member, its state has not regressed, and it applies
// the next valid change.
func TestAnyMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := newManualNode("a", rapid.Bool().Draw(t, "core"))
		node.tick()
		peer := node.connect("addr of v", "v/1", true)
		configSeq, listVersion := uint64(0), uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			node.deliver(peer, drawMessage(t, node.source()))
			node.tick()
			require.Contains(t, node.members, node.source())
			require.GreaterOrEqual(t, node.snapshot.ConfigSeq, configSeq, "the configuration regressed")
			require.GreaterOrEqual(t, node.snapshot.Servers.Version, listVersion)
			configSeq, listVersion = node.snapshot.ConfigSeq, node.snapshot.Servers.Version
			require.LessOrEqual(t, len(peer.sentVersions), 8)
			require.LessOrEqual(t, node.snapshot.Agents, 6)
			require.NotContains(t, node.members, configSource)
		}
		node.ApplyConfig(1<<40, documentOf(7))
		require.Equal(t, int64(7), node.snapshot.Config.Revision)
		otherPeer := node.connect("addr of w", "w/1", false)
		node.deliver(otherPeer, &message{Deltas: []deltasync.Delta{initialDelta("w/1", memberKey, &Member{Name: "w"}, serverPrefix+"new", server("new", 1))}})
		require.Contains(t, node.snapshot.Servers.ByID, "new")
	})
}

// drawMessage draws a message, valid or not, for a node with a given own source.
func drawMessage(t *rapid.T, ownSource string) *message {
	m := &message{
		IsCore:          rapid.Bool().Draw(t, "is core"),
		HasQuorum:       rapid.Bool().Draw(t, "has quorum"),
		Complete:        rapid.Bool().Draw(t, "complete"),
		ReceivedVersion: rapid.Uint64().Draw(t, "received version"),
		Redirect:        make([]Peer, rapid.IntRange(0, 40).Draw(t, "redirect")),
	}
	if rapid.Bool().Draw(t, "hello") {
		m.Hello = &hello{Source: drawSource(t, ownSource)}
	}
	for range rapid.IntRange(0, 4).Draw(t, "deltas") {
		m.Deltas = append(m.Deltas, drawDelta(t, ownSource))
	}
	for range rapid.IntRange(0, 2).Draw(t, "notices") {
		m.Notices = append(m.Notices, notice{Instance: "s", AgeMs: rapid.Int().Draw(t, "age"), Hops: rapid.Int().Draw(t, "hops"),
			PromptTokens: rapid.Int().Draw(t, "prompt")})
	}
	return m
}

// drawDelta draws a delta, valid or not.
func drawDelta(t *rapid.T, ownSource string) deltasync.Delta {
	delta := deltasync.Delta{Source: drawSource(t, ownSource), From: rapid.Uint64Range(0, 4).Draw(t, "from")}
	delta.To = delta.From
	for range rapid.IntRange(0, 4).Draw(t, "items") {
		delta.To += rapid.Uint64Range(0, 2).Draw(t, "step")
		keys := []string{"", memberKey, configKey, serverPrefix + "s", leasePrefix + drawSource(t, ownSource), endPrefix + drawSource(t, ownSource)}
		key := rapid.SampledFrom(keys).Draw(t, "key")
		delta.Items = append(delta.Items, deltasync.Item{Key: key, Version: delta.To, Data: drawData(t)})
	}
	if rapid.IntRange(0, 9).Draw(t, "has wrong end") == 0 {
		delta.To = rapid.Uint64().Draw(t, "wrong end")
	}
	return delta
}

// drawSource draws the name of a source: the node's own, the configuration's, another agent's, or none.
func drawSource(t *rapid.T, ownSource string) string {
	return rapid.SampledFrom([]string{"", configSource, ownSource, "x/1", "y/1", "z/1"}).Draw(t, "source")
}

// drawData draws the data of an item of any kind.
func drawData(t *rapid.T) []byte {
	switch rapid.IntRange(0, 5).Draw(t, "data") {
	case 0:
		return rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(t, "bytes")
	case 1:
		return encode(&registry.Instance{ID: "s", Service: "x", Seq: rapid.Uint64().Draw(t, "seq"), State: registry.State(rapid.Byte().Draw(t, "state")),
			Slots: rapid.Int().Draw(t, "slots"), WarmUp: time.Duration(rapid.Int64().Draw(t, "warm-up"))})
	case 2:
		return encode(&configItem{Seq: rapid.Uint64Range(0, 1<<20).Draw(t, "seq"), Raw: documentOf(rapid.IntRange(1, 9).Draw(t, "revision"))})
	case 3:
		return encode(&Member{Name: "m", IsCore: rapid.Bool().Draw(t, "core")})
	case 4:
		return nil
	default:
		return presentData
	}
}

// The changes that are retained for operators do not keep large configurations in memory.
func TestChangeLogOmitsLargeData(t *testing.T) {
	agent := newManualNode("a", false)
	raw := fmt.Appendf(nil, `{"revision":1,"routes":[],"services":[],"note":%q}`, strings.Repeat("x", 1<<20))
	for seq := range uint64(3) {
		agent.ApplyConfig(seq+1, raw)
	}
	changes, _ := agent.changeLog.Since(0)
	for _, change := range changes {
		assert.LessOrEqual(t, len(change.Item.Data), maxLoggedBytes)
	}
	assert.Equal(t, uint64(3), agent.snapshot.ConfigSeq)
}
