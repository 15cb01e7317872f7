package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// A core member that had no quorum may not know of the leases that others grant. It ends no agent before it has
// had time to receive them.
func TestRelayWaitsALeaseBeforeExpiringOthers(t *testing.T) {
	self := Peer{Addr: "addr of h"} // a majority by itself, so that no lease poll prevents the end
	relay, other, agent := newManualNode("h", true, self), newManualNode("o", true), newManualNode("a", false)
	relay.syncFrom(agent)
	peer := relay.connect("addr of a", agent.source(), false)
	relay.runFor(time.Second, relay.heartbeatFrom(peer))
	relay.core.hasQuorum.Store(false)
	delete(relay.sessions, peer)
	relay.runFor(time.Minute, nil)
	require.Empty(t, relay.publishedEndSources())
	relay.core.hasQuorum.Store(true)
	relay.runFor(leaseDuration-tickInterval, nil)
	require.Empty(t, relay.publishedEndSources(), "it has just regained its quorum")
	other.syncFrom(agent)
	otherPeer := other.connect("addr of a", agent.source(), false)
	other.runFor(tickInterval, other.heartbeatFrom(otherPeer))
	relay.syncFrom(other)
	thirdPeer := relay.connect("addr of o", other.source(), true)
	relay.runFor(time.Minute, relay.heartbeatFrom(thirdPeer))
	assert.Empty(t, relay.publishedEndSources(), "another relay grants the lease")
	assert.Len(t, relay.members, 3)
}

// The lease of a dead relay expires, and then also the leases that it granted.
func TestLeaseOfDeadRelayExpires(t *testing.T) {
	members := []Peer{{Addr: "addr of h"}, {Addr: "addr of d"}, {Addr: "addr of o"}}
	relay, deadRelay, agent := newManualNode("h", true, members...), newManualNode("d", true, members...), newManualNode("a", false)
	thirdRelay := relay.connect("addr of o", "o/1", true)
	relay.syncFrom(agent)
	deadRelay.syncFrom(agent)
	peer, otherPeer := relay.connect("addr of d", deadRelay.source(), true), deadRelay.connect("addr of h", relay.source(), true)
	thirdPeer := deadRelay.connect("addr of a", agent.source(), false)
	deadRelay.runFor(time.Second, func() { deadRelay.heartbeatFrom(otherPeer)(); deadRelay.heartbeatFrom(thirdPeer)() })
	relay.syncFrom(deadRelay)
	relay.runFor(leaseDuration+time.Second, relay.heartbeatFrom(peer))
	require.Empty(t, relay.publishedEndSources())
	require.True(t, relay.leases.Granted(agent.source()), "the other relay grants it")
	delete(relay.sessions, peer)
	relay.runFor(leaseDuration+2*tickInterval, relay.leasesAnsweredBy(thirdRelay))
	assert.Equal(t, []string{deadRelay.source()}, relay.publishedEndSources())
	relay.runFor(leaseDuration+2*tickInterval, relay.leasesAnsweredBy(thirdRelay))
	assert.ElementsMatch(t, []string{deadRelay.source(), agent.source()}, relay.publishedEndSources(), "no relay grants the agent's lease any more")
	assert.Len(t, relay.members, 1)
}

// A former member of the core grants no leases.
func TestFormerCoreMemberGrantsNoLeases(t *testing.T) {
	relay, agent := newManualNode("h", true), newManualNode("a", false)
	relay.syncFrom(agent)
	peer := relay.connect("addr of a", agent.source(), false)
	relay.runFor(time.Second, relay.heartbeatFrom(peer))
	require.NotNil(t, relay.itemsOf(relay.source())[leasePrefix+agent.source()])
	relay.core.isMember.Store(false)
	relay.runFor(tickInterval, relay.heartbeatFrom(peer))
	assert.Nil(t, relay.itemsOf(relay.source())[leasePrefix+agent.source()])
	relay.runFor(time.Minute, relay.heartbeatFrom(peer))
	assert.Empty(t, relay.publishedEndSources())
}

// An agent that missed the announcement of an end drops a source without a lease, once it has been in contact with
// a relay that has a quorum for sourceExpiry. It drops no source that it has a session with.
func TestAgentDropsSourcesWithoutLeases(t *testing.T) {
	agent, unleasedAgent, leasedAgent := newManualNode("a", false), newManualNode("gone", false), newManualNode("held", false)
	agent.syncFrom(unleasedAgent)
	agent.syncFrom(leasedAgent)
	agent.runFor(time.Minute, nil)
	require.Len(t, agent.members, 3, "without a relay a missing lease proves nothing")
	peer := agent.connect("addr of h", "h/1", true) // no member grants its lease, as it is the only one
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("h/1", memberKey, &Member{Name: "h"}, leasePrefix+leasedAgent.source(), presentData)}})
	agent.runFor(2*leaseDuration-time.Second, agent.heartbeatFrom(peer))
	require.Len(t, agent.members, 4)
	agent.runFor(2*time.Second, agent.heartbeatFrom(peer))
	assert.Len(t, agent.members, 3)
	assert.NotContains(t, agent.members, unleasedAgent.source())
	assert.Empty(t, agent.publishedEndSources(), "it drops the source only for itself")
	agent.runFor(time.Minute, agent.heartbeatFrom(peer))
	assert.Len(t, agent.members, 3)
	assert.Equal(t, 3, agent.snapshot.Agents)
}

// An agent drops no source whose lease the core may still renew: the holder may reconnect just before the core ends
// its source, and the agent's ticks are not synchronized with those of the core.
func TestAgentAllowsTheCoreTimeToRenewALease(t *testing.T) {
	agent, unreachableAgent := newManualNode("a", false), newManualNode("away", false)
	agent.syncFrom(unreachableAgent)
	relay := agent.connect("addr of h", "h/1", true)
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("h/1", memberKey, &Member{Name: "h"}, leasePrefix+unreachableAgent.source(), presentData)}})
	agent.runFor(time.Minute, agent.heartbeatFrom(relay))
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{leaseDelta("h/1", 2, unreachableAgent.source(), nil)}})
	agent.runFor(leaseDuration+2*tickInterval, agent.heartbeatFrom(relay))
	require.Contains(t, agent.members, unreachableAgent.source(), "the core may not have ended the source")
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{leaseDelta("h/1", 3, unreachableAgent.source(), presentData)}})
	agent.runFor(time.Minute, agent.heartbeatFrom(relay))
	require.Contains(t, agent.members, unreachableAgent.source(), "the lease was renewed")
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{leaseDelta("h/1", 4, unreachableAgent.source(), nil)}})
	agent.runFor(sourceExpiry+2*tickInterval, agent.heartbeatFrom(relay))
	assert.NotContains(t, agent.members, unreachableAgent.source(), "the source has had no lease for sourceExpiry")
}

// An agent whose relay is silent, because it is suspended or partitioned, drops nothing: another relay may grant
// the lease.
func TestAgentWithTimedOutRelayDropsNothing(t *testing.T) {
	agent, unreachableAgent := newManualNode("a", false), newManualNode("away", false)
	agent.syncFrom(unreachableAgent)
	silentRelay := agent.connect("addr of h", "h/1", true)
	agent.deliver(silentRelay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("h/1", memberKey, &Member{Name: "h"}, leasePrefix+unreachableAgent.source(), presentData)}})
	agent.runFor(time.Minute, agent.heartbeatFrom(silentRelay))
	agent.deliver(silentRelay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{leaseDelta("h/1", 2, unreachableAgent.source(), nil)}})
	agent.runFor(sourceExpiry-sessionTimeout-tickInterval, agent.heartbeatFrom(silentRelay))
	agent.runFor(sessionTimeout+3*tickInterval, nil)
	require.Contains(t, agent.members, unreachableAgent.source(), "the silent relay cannot report a renewal")
	nextRelay := agent.connect("addr of o", "o/1", true)
	agent.deliver(nextRelay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("o/1", memberKey, &Member{Name: "o"}, leasePrefix+unreachableAgent.source(), presentData)}})
	agent.runFor(time.Minute, agent.heartbeatFrom(nextRelay))
	assert.Contains(t, agent.members, unreachableAgent.source())
}

// After a restart of the core, an agent that was not restarted still replicates the leases that the former relays
// granted to each other and to agents. These leases must expire, although each of them has a grantor with a lease.
func TestLeasesOfAFormerCoreDoNotHoldEachOther(t *testing.T) {
	relay := newManualNode("relay", true, Peer{Addr: "addr of relay"})
	survivor := relay.connect("addr of survivor", "survivor/1", false)
	relay.deliver(survivor, &message{Deltas: []deltasync.Delta{
		initialDelta("survivor/1", memberKey, Member{Name: "survivor", Addr: "addr of survivor"}),
		initialDelta("former-a/1", leasePrefix+"former-b/1", presentData, leasePrefix+"agent/1", presentData, leasePrefix+"survivor/1", presentData),
		initialDelta("former-b/1", leasePrefix+"former-a/1", presentData),
		initialDelta("agent/1", memberKey, Member{Name: "agent", Addr: "seed-1"}, serverPrefix+"s", server("s", 1)),
	}})
	relay.tick()
	assert.Contains(t, relay.UnreachedAddrs(), "seed-1", "no relay has a session with it")
	relay.runFor(5*leaseDuration, relay.heartbeatFrom(survivor))
	assert.ElementsMatch(t, []string{"former-a/1", "former-b/1", "agent/1"}, relay.publishedEndSources())
	assert.NotContains(t, relay.snapshot.Servers.ByID, "s", "its agent has ended, and it has called no other agent")
	assert.Equal(t, 2, relay.snapshot.Agents)
}
