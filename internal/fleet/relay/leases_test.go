package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// A core member that had no quorum may not know of the leases that others grant: it expires nobody
// before it had the time to learn of them.
func TestRelayWaitsALeaseBeforeExpiringOthers(t *testing.T) {
	self := Peer{Addr: "addr of h"} // a majority by itself: nobody else could object
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
	assert.Empty(t, relay.publishedEndSources(), "another grants the lease")
	assert.Len(t, relay.members, 3)
}

// The lease of a dead relay expires, and with it those that it granted.
func TestLeaseOfDeadRelayExpires(t *testing.T) {
	members := []Peer{{Addr: "addr of h"}, {Addr: "addr of d"}, {Addr: "addr of o"}}
	relay, dead, agent := newManualNode("h", true, members...), newManualNode("d", true, members...), newManualNode("a", false)
	third := relay.connect("addr of o", "o/1", true)
	relay.syncFrom(agent)
	dead.syncFrom(agent)
	peer, otherPeer := relay.connect("addr of d", dead.source(), true), dead.connect("addr of h", relay.source(), true)
	thirdPeer := dead.connect("addr of a", agent.source(), false)
	dead.runFor(time.Second, func() { dead.heartbeatFrom(otherPeer)(); dead.heartbeatFrom(thirdPeer)() })
	relay.syncFrom(dead)
	relay.runFor(leaseDuration+time.Second, relay.heartbeatFrom(peer))
	require.Empty(t, relay.publishedEndSources())
	require.True(t, relay.leases.Granted(agent.source()), "by the other")
	delete(relay.sessions, peer)
	relay.runFor(leaseDuration+2*tickInterval, relay.leasesAnsweredBy(third))
	assert.Equal(t, []string{dead.source()}, relay.publishedEndSources())
	relay.runFor(leaseDuration+2*tickInterval, relay.leasesAnsweredBy(third))
	assert.ElementsMatch(t, []string{dead.source(), agent.source()}, relay.publishedEndSources(), "nobody grants the agent's either")
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

// An agent that missed an announcement drops a source without a lease, once it has long enough had a
// session with a relay that has a quorum; sources that it has sessions with it does not drop.
func TestAgentDropsSourcesWithoutLeases(t *testing.T) {
	agent, unleased, leased := newManualNode("a", false), newManualNode("gone", false), newManualNode("held", false)
	agent.syncFrom(unleased)
	agent.syncFrom(leased)
	agent.runFor(time.Minute, nil)
	require.Len(t, agent.members, 3, "without a relay a missing lease proves nothing")
	peer := agent.connect("addr of h", "h/1", true) // a core of one: nobody grants its lease
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("h/1", memberKey, &Member{Name: "h"}, leasePrefix+leased.source(), presentData)}})
	agent.runFor(2*leaseDuration-time.Second, agent.heartbeatFrom(peer))
	require.Len(t, agent.members, 4)
	agent.runFor(2*time.Second, agent.heartbeatFrom(peer))
	assert.Len(t, agent.members, 3)
	assert.NotContains(t, agent.members, unleased.source())
	assert.Empty(t, agent.publishedEndSources(), "for itself only")
	agent.runFor(time.Minute, agent.heartbeatFrom(peer))
	assert.Len(t, agent.members, 3)
	assert.Equal(t, 3, agent.snapshot.Agents)
}

// An agent drops no source whose lease the core may still renew: a relay that was cut off comes back just
// before its lease expires, and the agent's ticks are not those of the core.
func TestAgentAllowsTheCoreTimeToRenewALease(t *testing.T) {
	agent, unreachable := newManualNode("a", false), newManualNode("away", false)
	agent.syncFrom(unreachable)
	relay := agent.connect("addr of h", "h/1", true)
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("h/1", memberKey, &Member{Name: "h"}, leasePrefix+unreachable.source(), presentData)}})
	agent.runFor(time.Minute, agent.heartbeatFrom(relay))
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{leaseDelta("h/1", 2, unreachable.source(), nil)}})
	agent.runFor(leaseDuration+2*tickInterval, agent.heartbeatFrom(relay))
	require.Contains(t, agent.members, unreachable.source(), "the core may not have ended it")
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{leaseDelta("h/1", 3, unreachable.source(), presentData)}})
	agent.runFor(time.Minute, agent.heartbeatFrom(relay))
	require.Contains(t, agent.members, unreachable.source(), "the lease was renewed")
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{leaseDelta("h/1", 4, unreachable.source(), nil)}})
	agent.runFor(sourceExpiry+2*tickInterval, agent.heartbeatFrom(relay))
	assert.NotContains(t, agent.members, unreachable.source(), "nobody has held its lease for long")
}

// An agent whose relay is silent, frozen or cut off, drops nothing: another relay may hold the lease.
func TestAgentWithTimedOutRelayDropsNothing(t *testing.T) {
	agent, unreachable := newManualNode("a", false), newManualNode("away", false)
	agent.syncFrom(unreachable)
	frozen := agent.connect("addr of h", "h/1", true)
	agent.deliver(frozen, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("h/1", memberKey, &Member{Name: "h"}, leasePrefix+unreachable.source(), presentData)}})
	agent.runFor(time.Minute, agent.heartbeatFrom(frozen))
	agent.deliver(frozen, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{leaseDelta("h/1", 2, unreachable.source(), nil)}})
	agent.runFor(sourceExpiry-sessionTimeout-tickInterval, agent.heartbeatFrom(frozen))
	agent.runFor(sessionTimeout+3*tickInterval, nil)
	require.Contains(t, agent.members, unreachable.source(), "the frozen relay cannot tell")
	next := agent.connect("addr of o", "o/1", true)
	agent.deliver(next, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("o/1", memberKey, &Member{Name: "o"}, leasePrefix+unreachable.source(), presentData)}})
	agent.runFor(time.Minute, agent.heartbeatFrom(next))
	assert.Contains(t, agent.members, unreachable.source())
}

// After a restart of the core an agent that survived it replicates what it knows: the former relays granted
// leases to each other and to agents. Nobody grants any of those now, however they grant each other.
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
	assert.Contains(t, relay.UnreachedAddrs(), "seed-1", "no relay has a session with it, so it is to be told the view")
	relay.runFor(5*leaseDuration, relay.heartbeatFrom(survivor))
	assert.ElementsMatch(t, []string{"former-a/1", "former-b/1", "agent/1"}, relay.publishedEndSources())
	assert.NotContains(t, relay.snapshot.Servers.ByID, "s", "its agent has ended, and it calls no other")
	assert.Equal(t, 2, relay.snapshot.Agents)
}
