package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Whatever one agent publishes reaches all: members, servers, ends and configurations.
func TestChangesReachAllAgents(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 4)
	for i, agent := range cluster.all() {
		agent.startHeartbeats(fmt.Sprint("s", i))
	}
	for i := range cluster.all() {
		cluster.eventually("a server is listed", listsServer(fmt.Sprint("s", i)))
	}
	for seq := range uint64(5) {
		cluster.coreMembers[seq%3].node.ApplyConfig(seq+1, documentOf(int(seq)+10))
		cluster.eventually("the configuration is in force", hasConfig(seq+1))
		assert.Equal(t, int64(seq)+10, cluster.edgeAgents[seq%4].snapshot.Load().Config.Revision)
	}
	require.True(t, cluster.edgeAgents[0].heartbeat(drainingServer("s3", 1000)))
	require.True(t, cluster.coreMembers[0].heartbeat(drainingServer("s0", 1000)))
	require.True(t, cluster.edgeAgents[1].node.Deregister(timeoutContext(t, testTimeout), "s1"), "a server may deregister at any agent")
	for _, id := range []string{"s3", "s0", "s1"} {
		cluster.eventually("an end is known", not(listsServer(id)))
	}
	for _, agent := range cluster.edgeAgents {
		assert.Len(t, agent.sessionPeers(), 1, agent.Name)
	}
	for _, relay := range cluster.coreMembers {
		for _, other := range cluster.coreMembers {
			if relay != other {
				assert.Contains(t, relay.sessionPeers(), other.Addr)
			}
		}
		assert.Len(t, relay.node.OtherMembers(true), 2)
		assert.Len(t, relay.node.OtherMembers(false), 6)
	}
	report := cluster.edgeAgents[2].node.Report()
	assert.Len(t, report.Members, 7)
	for _, m := range report.Members {
		assert.True(t, m.LeaseGranted, m.Name)
		assert.Equal(t, m.Name == "agent-2", m.Self)
		assert.Equal(t, m.Name < "b", !m.IsCore)
	}
	assert.Equal(t, uint64(5), report.ConfigSeq)
	assert.Equal(t, int64(14), report.Revision)
	assert.Len(t, report.Servers, 7)
	assert.Len(t, report.Sessions, 1)
}

// An agent whose relay stops fails over to another.
func TestAgentFailsOverWhenItsRelayStops(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 3)
	agent := cluster.edgeAgents[0]
	stopped := cluster.relayOf(agent)
	stopped.stop()
	agent.startHeartbeats("s")
	cluster.eventually("its changes reach all agents", listsServer("s"))
	require.True(t, agent.heartbeat(drainingServer("s", 1000)))
	cluster.eventually("its changes reach all agents", not(listsServer("s")))
	cluster.eventually("it has one relay", both(hasOtherRelay(stopped), hasSessions(1)), cluster.edgeAgents...)
	cluster.eventually("the relay's lease expires", hasMembers(5))
	stopped.start()
	stopped.node.MarkConfigCurrent()
	cluster.awaitSynced(6)
}

// An agent whose relay times out fails over to another, and neither waits for the old one.
func TestAgentFailsOverWhenPartitionedFromItsRelay(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 1)
	agent := cluster.edgeAgents[0]
	old := cluster.relayOf(agent)
	old.setPartitioned(true, agent)
	cluster.eventually("it has another relay", hasOtherRelay(old), agent)
	old.setPartitioned(false, agent)
	agent.startHeartbeats("s")
	cluster.eventually("its changes reach all agents", listsServer("s"))
	cluster.awaitSynced(4)
}

// An agent leaves a relay that has lost its quorum, and retains one session.
func TestAgentLeavesRelayWithoutQuorum(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 2)
	agent := cluster.edgeAgents[0]
	old := cluster.relayOf(agent)
	old.hasQuorum.Store(false)
	cluster.eventually("it has another relay only", both(hasOtherRelay(old), hasSessions(1)), cluster.edgeAgents...)
	old.hasQuorum.Store(true)
	// While no relay has a quorum it tries all of them; later one is enough.
	for _, relay := range cluster.coreMembers {
		relay.hasQuorum.Store(false)
	}
	cluster.eventually("it tries all relays", hasSessions(3), cluster.edgeAgents...)
	cluster.coreMembers[0].node.ApplyConfig(1, documentOf(1))
	cluster.eventually("replication continues without a quorum", hasConfig(1))
	for _, relay := range cluster.coreMembers {
		relay.hasQuorum.Store(true)
	}
	cluster.eventually("it has one relay", hasSessions(1), cluster.edgeAgents...)
	cluster.awaitSynced(5)
}

// A relay that is no longer a member of the core says so in its messages, and its agents leave.
func TestAgentLeavesFormerCoreMember(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 2)
	agent := cluster.edgeAgents[0]
	old := cluster.relayOf(agent)
	var rest []Peer
	for _, relay := range cluster.coreMembers {
		if relay != old {
			rest = append(rest, Peer{relay.Addr, relay.Zone})
		}
	}
	for _, b := range cluster.all() {
		b.fakeCore.members.Store(&rest)
	}
	old.isMember.Store(false)
	old.hasQuorum.Store(false)
	cluster.eventually("it has another relay only", both(hasOtherRelay(old), hasSessions(1)), cluster.edgeAgents...)
	cluster.awaitSynced(5)
	// It grants no leases any more: an agent that stops now expires.
	cluster.edgeAgents[1].stop()
	cluster.eventually("its lease expires", hasMembers(4))
}

// A drain is acknowledged only once a majority of the relays has it, so that no crash loses it.
func TestDrainIsAcknowledgedOnceReplicated(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 2, 1)
	agent := cluster.edgeAgents[0]
	agent.startHeartbeats("s")
	cluster.coreMembers[0].startHeartbeats("r")
	cluster.eventually("listed", listsServer("s"))
	cluster.eventually("listed", listsServer("r"))
	agent.setPartitioned(true, cluster.coreMembers...)
	short := timeoutContext(t, 300*time.Millisecond)
	require.False(t, agent.node.Heartbeat(short, drainingServer("s", 1000)), "no relay has it")
	require.False(t, agent.node.Heartbeat(short, drainingServer("s", 1001)), "nor has any after a repetition")
	require.False(t, agent.node.Deregister(short, "s"))
	require.False(t, listsServer("s")(agent), "it takes effect here at once")
	require.True(t, listsServer("s")(cluster.coreMembers[0]))
	cluster.coreMembers[0].setPartitioned(true, cluster.coreMembers[1])
	require.False(t, cluster.coreMembers[0].node.Heartbeat(timeoutContext(t, 300*time.Millisecond), drainingServer("r", 1000)), "one of two relays is no majority")
	cluster.coreMembers[0].setPartitioned(false, cluster.coreMembers[1])
	require.True(t, cluster.coreMembers[0].heartbeat(drainingServer("r", 1001)))
	require.True(t, listsServer("r")(cluster.coreMembers[1]) == false, "the other relay has it once it is acknowledged")
	agent.setPartitioned(false, cluster.coreMembers...)
	require.True(t, agent.heartbeat(drainingServer("s", 1002)))
	assert.True(t, !listsServer("s")(cluster.coreMembers[0]) && !listsServer("s")(cluster.coreMembers[1]), "both are the majority")
	cluster.eventually("gone", not(listsServer("s")))
	cluster.eventually("gone", not(listsServer("r")))
}

// A core of one member needs no other relay.
func TestACoreOfOne(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 1, 1)
	require.True(t, cluster.coreMembers[0].heartbeat(server("s", 1)))
	require.True(t, cluster.coreMembers[0].heartbeat(drainingServer("s", 2)))
	require.True(t, cluster.edgeAgents[0].heartbeat(server("r", 1)))
	require.True(t, cluster.edgeAgents[0].heartbeat(drainingServer("r", 2)))
	cluster.eventually("gone", not(listsServer("r")))
}

// An agent that is partitioned away is ended once its lease has expired. It continues to serve, and
// returns as a new incarnation; its servers stay listed.
func TestExpiredAgentReturnsAsNewIncarnation(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 2)
	cluster.heartbeatInterval = 2 * time.Second // orphaned servers are retained for four
	cluster.start().awaitSynced(5)
	agent := cluster.edgeAgents[0]
	agent.startHeartbeats("s")
	cluster.eventually("listed", listsServer("s"))
	old := agent.node.Report().Source
	agent.setPartitioned(true, cluster.all()...)
	others := append([]*testAgent{cluster.edgeAgents[1]}, cluster.coreMembers...)
	cluster.eventually("it has been ended", hasMembers(4), others...)
	require.Equal(t, old, agent.node.Report().Source, "it does not know")
	require.True(t, hasMembers(5)(agent))
	for _, b := range cluster.all() {
		require.True(t, listsServer("s")(b), b.Name)
	}
	agent.setPartitioned(false, cluster.all()...)
	cluster.awaitSynced(5)
	cluster.eventually("the new incarnation publishes its servers", func(b *testAgent) bool {
		now := agent.node.Report().Source
		return now != old && b.hasItem(now, serverPrefix+"s") && listsServer("s")(b)
	})
	require.True(t, agent.heartbeat(drainingServer("s", 1000)))
	cluster.eventually("gone", not(listsServer("s")))
}

// A relay that is partitioned away expires nobody, neither meanwhile nor when the partition heals.
func TestPartitionedRelayExpiresNobody(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 3)
	cut, rest := cluster.coreMembers[0], append(cluster.coreMembers[1:3:3], cluster.edgeAgents...)
	sources := map[string]string{}
	for _, agent := range rest {
		sources[agent.Name] = agent.node.Report().Source
	}
	cut.hasQuorum.Store(false)
	cut.setPartitioned(true, rest...)
	cluster.eventually("the others expire it", hasMembers(5), rest...)
	require.True(t, hasMembers(6)(cut))
	// More than a lease duration later.
	old := cluster.edgeAgents[0]
	old.stop()
	cluster.eventually("the others expire an agent", hasMembers(4), append(cluster.coreMembers[1:3:3], cluster.edgeAgents[1:]...)...)
	require.True(t, hasMembers(6)(cut), "it expires nobody")
	cut.hasQuorum.Store(true)
	cut.setPartitioned(false, rest...)
	cluster.awaitSynced(5)
	for _, agent := range rest {
		if agent != old {
			assert.Equal(t, sources[agent.Name], agent.node.Report().Source, "%s was expired", agent.Name)
		}
	}
}

// A one-way partition ends sessions in both directions, so that no side relies on messages that are lost.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 1)
	agent := cluster.edgeAgents[0]
	old := cluster.relayOf(agent)
	agent.setCut(old.Addr, agent.Addr, true)
	cluster.eventually("it has another relay", hasOtherRelay(old), agent)
	cluster.eventually("its old relay closes the session", not(hasSessionWith(agent.Addr)), old)
	agent.setCut(old.Addr, agent.Addr, false)
	cluster.awaitSynced(4)
}

// A departure reaches all agents, not one relay only, long before the lease expires; the one that
// departed does not come back.
func TestDepart(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 3)
	cluster.heartbeatInterval = 2 * time.Second
	cluster.start().awaitSynced(6)
	for _, departing := range []*testAgent{cluster.edgeAgents[0], cluster.coreMembers[0]} {
		departing.startHeartbeats("s of " + departing.Name)
		cluster.eventually("listed", listsServer("s of "+departing.Name))
		departing.node.AnnounceDraining()
		cluster.eventually("it is known to be draining", func(agent *testAgent) bool {
			for _, m := range agent.node.OtherMembers(false) {
				if m.Name == departing.Name {
					return false
				}
			}
			return true
		})
		membersBefore := departing.snapshot.Load().Agents
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		begin := time.Now()
		departing.node.Depart(ctx)
		require.NoError(t, ctx.Err())
		cancel()
		var rest []*testAgent
		for _, agent := range cluster.all() {
			if agent != departing && agent.node != nil {
				rest = append(rest, agent)
			}
		}
		cluster.eventually("all others drop it", hasMembers(membersBefore-1), rest...)
		assert.Less(t, time.Since(begin), leaseDuration)
		for _, agent := range rest {
			assert.True(t, listsServer("s of "+departing.Name)(agent), "its servers have time to call another agent")
		}
		departing.node.tick()
		departing.stop()
		cluster.eventually("it does not come back", hasMembers(membersBefore-1), rest...)
	}
}

// A departure that nobody receives ends with its context.
func TestDepartWhilePartitioned(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 2, 1)
	agent := cluster.edgeAgents[0]
	agent.setPartitioned(true, cluster.coreMembers...)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	agent.node.Depart(ctx)
	assert.Error(t, ctx.Err())
}

// The configuration in force never regresses: not by an older commit, not by what peers have, not by
// an invalid one.
func TestConfigurationNeverRegresses(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 2)
	cluster.coreMembers[0].node.ApplyConfig(5, documentOf(5))
	cluster.eventually("in force", hasConfig(5))
	cluster.coreMembers[1].node.ApplyConfig(3, documentOf(3))
	cluster.coreMembers[1].node.ApplyConfig(5, documentOf(4))
	cluster.coreMembers[2].node.ApplyConfig(6, []byte(`{"revision":`))
	cluster.coreMembers[2].node.ApplyConfig(7, documentOf(7))
	cluster.eventually("in force", hasConfig(7))
	for _, agent := range cluster.all() {
		assert.Equal(t, int64(7), agent.snapshot.Load().Config.Revision)
	}
	// An agent that was partitioned away with an older one takes the newer, and spreads its own to nobody.
	agent := cluster.edgeAgents[0]
	agent.setPartitioned(true, cluster.coreMembers...)
	cluster.coreMembers[0].node.ApplyConfig(9, documentOf(9))
	cluster.eventually("in force", hasConfig(9), append(cluster.coreMembers, cluster.edgeAgents[1])...)
	require.True(t, hasConfig(7)(agent))
	agent.setPartitioned(false, cluster.coreMembers...)
	cluster.eventually("in force", hasConfig(9))
	// So does one that restarts.
	cluster.coreMembers[0].stop()
	cluster.coreMembers[0].start()
	cluster.coreMembers[0].node.ApplyConfig(5, documentOf(5)) // its disk has an older one
	cluster.coreMembers[0].node.MarkConfigCurrent()
	cluster.awaitSynced(5)
	cluster.eventually("in force", hasConfig(9))
}

// The whole core starts: no member is complete, and none waits for one that is.
func TestWholeCoreStarts(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 2)
	for _, agent := range cluster.all() {
		agent.start()
	}
	for _, relay := range cluster.coreMembers {
		cluster.eventually("has its sessions", func(agent *testAgent) bool { return len(agent.sessionPeers()) >= 2 }, relay)
		relay.node.tick()
		require.False(t, relay.snapshot.Load().Synced, "the core has not been read for the newest configuration")
	}
	cluster.coreMembers[1].node.ApplyConfig(4, documentOf(4))
	cluster.coreMembers[1].node.MarkConfigCurrent()
	cluster.eventually("starts", func(agent *testAgent) bool {
		return agent.snapshot.Load().Synced && agent.snapshot.Load().ConfigSeq == 4
	})
	// An agent is not synced before a relay has sent it everything.
	for _, agent := range cluster.edgeAgents {
		agent.stop()
		agent.setPartitioned(true, cluster.coreMembers...)
		agent.start()
	}
	cluster.coreMembers[0].node.ApplyConfig(5, documentOf(5))
	for _, agent := range cluster.edgeAgents {
		cluster.eventually("ticks", func(agent *testAgent) bool { return agent.snapshot.Load() != nil }, agent)
		require.False(t, agent.snapshot.Load().Synced)
		agent.setPartitioned(false, cluster.coreMembers...)
	}
	cluster.eventually("synced", func(agent *testAgent) bool {
		return agent.snapshot.Load().Synced && agent.snapshot.Load().ConfigSeq == 5
	})
}

// A core member that is missing delays the others only briefly.
func TestMissingCoreMemberDelaysStartBriefly(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 1)
	begin := time.Now()
	for _, agent := range cluster.all() {
		if agent != cluster.coreMembers[2] {
			agent.start()
		}
	}
	running := time.Now()
	cluster.coreMembers[0].node.MarkConfigCurrent()
	cluster.coreMembers[1].node.MarkConfigCurrent()
	cluster.eventually("starts", func(agent *testAgent) bool { s := agent.snapshot.Load(); return s != nil && s.Synced })
	assert.GreaterOrEqual(t, time.Since(begin), selfStartDelay, "sessions are given time to be established")
	assert.GreaterOrEqual(t, time.Since(running), selfStartDelay-tickInterval, "counted from the last start, too")
	cluster.coreMembers[2].start()
	cluster.awaitSynced(4) // also without MarkConfigCurrent: others are complete
}

// A core member that restarts where others are complete waits for them, also beyond selfStartDelay, as
// it has no quorum yet.
func TestRestartedRelaySyncsFirst(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 1)
	cluster.edgeAgents[0].startHeartbeats("s")
	cluster.eventually("listed", listsServer("s"))
	relay := cluster.coreMembers[0]
	relay.stop()
	relay.hasQuorum.Store(false)
	relay.start()
	relay.node.MarkConfigCurrent()
	cluster.eventually("receives the server", listsServer("s"), relay)
	require.False(t, relay.snapshot.Load().Synced, "it has no quorum")
	relay.hasQuorum.Store(true)
	cluster.eventually("is synced", func(agent *testAgent) bool { return agent.snapshot.Load().Synced }, relay)
	require.True(t, listsServer("s")(relay))
	cluster.awaitSynced(4)
}

// Without a quorum nobody is synced, and nobody is ended.
func TestNothingStartsWithoutQuorum(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 2, 1)
	for _, relay := range cluster.coreMembers {
		relay.hasQuorum.Store(false)
	}
	cluster.start()
	cluster.eventually("has sessions", func(agent *testAgent) bool { return hasMembers(3)(agent) && !agent.snapshot.Load().Synced })
	cluster.edgeAgents[0].stop()
	relay := cluster.coreMembers[0].node
	for range 30 {
		relay.advanceClock(tickInterval)
		relay.tick()
	}
	require.False(t, cluster.coreMembers[0].snapshot.Load().Synced)
	require.True(t, hasMembers(3)(cluster.coreMembers[0]), "nobody is ended")
}

// Servers that were saved to disk are listed from the start on, and no longer than their next
// heartbeats take.
func TestServersAreRestoredFromDisk(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, 1)
	cluster.withDisks = true
	cluster.start().awaitSynced(2)
	relay := cluster.coreMembers[0]
	stop := relay.startHeartbeats("stays")
	stop2 := relay.startHeartbeats("dies")
	relay.startHeartbeats("drains")
	require.True(t, relay.heartbeat(drainingServer("drains", 1000)))
	cluster.eventually("is saved", func(agent *testAgent) bool {
		b := agent.savedList.Load()
		if b == nil {
			return false
		}
		probe := New(Options{HeartbeatInterval: time.Second, Core: newFakeCore(false, false), OnChange: func(*Snapshot) {}, SavedServers: *b})
		return probe.servers.List().ByID["stays"] != nil && probe.servers.List().ByID["dies"] != nil && probe.servers.List().ByID["drains"] == nil
	}, relay)
	stop()
	stop2()
	relay.stop()
	relay.start()
	relay.node.MarkConfigCurrent()
	cluster.eventually("restored", func(agent *testAgent) bool {
		return listsServer("stays")(agent) && listsServer("dies")(agent) && !listsServer("drains")(agent)
	}, relay)
	cluster.awaitSynced(2)
	relay.startHeartbeats("stays")
	cluster.eventually("expired", not(listsServer("dies")))
	cluster.eventually("still listed", listsServer("stays"))
}
