package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func newMemberAddrs() memberAddrs { return memberAddrs{lastSeen: map[string]time.Duration{}} }

func TestMemberAddrsOutliveARestart(t *testing.T) {
	before := newMemberAddrs()
	before.observe(time.Second, map[string]bool{"b": true, "a": true})
	after := newMemberAddrs()
	after.restore(time.Second, before.encoded())
	assert.Equal(t, []string{"a", "b"}, after.absent(nil))
	assert.Equal(t, []string{"b"}, after.absent(map[string]bool{"a": true}))
	assert.Zero(t, after.version, "addresses that were read from disk need not be written again")
}

func TestUnreadableMemberAddrsAreIgnored(t *testing.T) {
	for _, savedBytes := range [][]byte{nil, {0xc1}, encode(&savedMembers{Format: savedMembersFormat + 1, Addrs: []string{"a"}}),
		encode(&savedMembers{Format: savedMembersFormat, Addrs: []string{"", string(make([]byte, maxNameBytes+1))}})} {
		addrs := newMemberAddrs()
		addrs.restore(time.Second, savedBytes)
		assert.Empty(t, addrs.absent(nil), "%x", savedBytes)
	}
}

func TestMemberAddrsAreForgottenAfterRetention(t *testing.T) {
	addrs := newMemberAddrs()
	addrs.observe(time.Second, map[string]bool{"stays": true, "goes": true})
	version := addrs.version
	addrs.observe(memberRetention, map[string]bool{"stays": true})
	assert.Equal(t, []string{"goes"}, addrs.absent(map[string]bool{"stays": true}))
	assert.Equal(t, version, addrs.version)
	addrs.observe(memberRetention+2*time.Second, map[string]bool{"stays": true})
	assert.Empty(t, addrs.absent(map[string]bool{"stays": true}))
	assert.Greater(t, addrs.version, version, "the list on disk must be written again")
}

func TestMemberAddrsAreBounded(t *testing.T) {
	addrs := newMemberAddrs()
	addrs.observe(time.Second, map[string]bool{"oldest": true})
	presentAddrs := map[string]bool{}
	for i := range maxMemberAddrs - 1 {
		presentAddrs[fmt.Sprint("addr-", i)] = true
	}
	addrs.observe(2*time.Second, presentAddrs)
	require.Len(t, addrs.lastSeen, maxMemberAddrs)
	presentAddrs["newest"] = true
	addrs.observe(3*time.Second, presentAddrs)
	assert.Len(t, addrs.lastSeen, maxMemberAddrs)
	assert.NotContains(t, addrs.lastSeen, "oldest")
	assert.Contains(t, addrs.lastSeen, "newest")
	presentAddrs["one too many"] = true
	addrs.observe(4*time.Second, presentAddrs)
	assert.Len(t, addrs.lastSeen, maxMemberAddrs)
}

// A relay without a quorum cannot tell which agents are unreached. A relay with a quorum returns the seeds and the
// remembered agents that no relay has a session with; any other agent returns only seeds.
func TestUnreachedAddrs(t *testing.T) {
	relay := newManualNode("relay", true, Peer{Addr: "addr of relay"}, Peer{Addr: "addr of other relay"})
	assert.Empty(t, relay.UnreachedAddrs(), "there has been no tick yet")
	relay.tick()
	assert.Equal(t, []string{"seed-0", "seed-1", "seed-2"}, relay.UnreachedAddrs())

	agent := newManualNode("agent", false)
	agent.options.Self.Addr = "seed-1"
	agent.mu.Lock()
	agent.publishMemberLocked()
	agent.mu.Unlock()
	peer := relay.connect("seed-1", agent.source(), false)
	relay.syncFrom(agent)
	relay.tick()
	assert.Equal(t, []string{"seed-0", "seed-2"}, relay.UnreachedAddrs())
	relay.removeSession(peer)
	relay.tick()
	assert.Equal(t, []string{"seed-0", "seed-1", "seed-2"}, relay.UnreachedAddrs())
	relay.options.SeedAddrs = func() []string { return nil }
	assert.Equal(t, []string{"seed-1"}, relay.UnreachedAddrs(), "its address is remembered")

	agent.connect("addr of relay", relay.source(), true)
	assert.Empty(t, agent.UnreachedAddrs(), "it has no relay with a quorum")
	for peer := range agent.sessions {
		agent.deliver(peer, &message{IsCore: true, HasQuorum: true})
	}
	agent.tick()
	assert.Equal(t, []string{"seed-0", "seed-2"}, agent.UnreachedAddrs())
	relay.core.hasQuorum.Store(false)
	relay.tick()
	assert.Empty(t, relay.UnreachedAddrs())
}
