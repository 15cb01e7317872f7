package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Members, servers, ends of servers and configurations that one agent publishes reach all agents.
func TestChangesReachAllAgents(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 4)
	for i, agent := range cluster.all() {
		agent.startHeartbeats(fmt.Sprint("s", i))
	}
	for i := range cluster.all() {
		cluster.eventually("lists the server", listsServer(fmt.Sprint("s", i)))
	}
	for seq := range uint64(5) {
		cluster.coreMembers[seq%3].node.ApplyConfig(seq+1, documentOf(int(seq)+10))
		cluster.eventually("has the configuration", hasConfig(seq+1))
		assert.Equal(t, int64(seq)+10, cluster.edgeAgents[seq%4].snapshot.Load().Config.Revision)
	}
	require.True(t, cluster.edgeAgents[0].heartbeat(drainingServer("s3", 1000)))
	require.True(t, cluster.coreMembers[0].heartbeat(drainingServer("s0", 1000)))
	require.True(t, cluster.edgeAgents[1].node.Deregister(timeoutContext(t, testTimeout), "s1"), "a server may deregister at any agent")
	for _, id := range []string{"s3", "s0", "s1"} {
		cluster.eventually("no longer lists the server", not(listsServer(id)))
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

// An agent fails over to another relay when its relay stops.
func TestAgentFailsOverWhenItsRelayStops(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 3)
	agent := cluster.edgeAgents[0]
	stoppedRelay := cluster.relayOf(agent)
	stoppedRelay.stop()
	agent.startHeartbeats("s")
	cluster.eventually("lists the server", listsServer("s"))
	require.True(t, agent.heartbeat(drainingServer("s", 1000)))
	cluster.eventually("no longer lists the server", not(listsServer("s")))
	cluster.eventually("has one relay", both(hasOtherRelay(stoppedRelay), hasSessions(1)), cluster.edgeAgents...)
	cluster.eventually("has ended the stopped relay", hasMembers(5))
	stoppedRelay.start()
	stoppedRelay.node.MarkConfigCurrent()
	cluster.awaitSynced(6)
}

// An agent that is partitioned from its relay fails over to another one without waiting for the old one.
func TestAgentFailsOverWhenPartitionedFromItsRelay(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 1)
	agent := cluster.edgeAgents[0]
	oldRelay := cluster.relayOf(agent)
	oldRelay.setPartitioned(true, agent)
	cluster.eventually("has another relay", hasOtherRelay(oldRelay), agent)
	oldRelay.setPartitioned(false, agent)
	agent.startHeartbeats("s")
	cluster.eventually("lists the server", listsServer("s"))
	cluster.awaitSynced(4)
}

// An agent leaves a relay that has lost its quorum, and keeps one session, with another relay.
func TestAgentLeavesRelayWithoutQuorum(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 2)
	agent := cluster.edgeAgents[0]
	oldRelay := cluster.relayOf(agent)
	oldRelay.hasQuorum.Store(false)
	cluster.eventually("has only another relay", both(hasOtherRelay(oldRelay), hasSessions(1)), cluster.edgeAgents...)
	oldRelay.hasQuorum.Store(true)
	// While no relay has a quorum, it has sessions with all of them; afterwards it keeps only one.
	for _, relay := range cluster.coreMembers {
		relay.hasQuorum.Store(false)
	}
	cluster.eventually("has a session with every relay", hasSessions(3), cluster.edgeAgents...)
	cluster.coreMembers[0].node.ApplyConfig(1, documentOf(1))
	cluster.eventually("receives the configuration without a quorum", hasConfig(1))
	for _, relay := range cluster.coreMembers {
		relay.hasQuorum.Store(true)
	}
	cluster.eventually("has one relay", hasSessions(1), cluster.edgeAgents...)
	cluster.awaitSynced(5)
}

// A relay that is no longer a member of the core reports so in its messages, and its agents leave it.
func TestAgentLeavesFormerCoreMember(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 2)
	agent := cluster.edgeAgents[0]
	formerMember := cluster.relayOf(agent)
	var remaining []Peer
	for _, relay := range cluster.coreMembers {
		if relay != formerMember {
			remaining = append(remaining, Peer{relay.Addr, relay.Zone})
		}
	}
	for _, b := range cluster.all() {
		b.fakeCore.members.Store(&remaining)
	}
	formerMember.isMember.Store(false)
	formerMember.hasQuorum.Store(false)
	cluster.eventually("has only another relay", both(hasOtherRelay(formerMember), hasSessions(1)), cluster.edgeAgents...)
	cluster.awaitSynced(5)
	// It grants no leases any more, so the lease of an agent that stops now expires.
	cluster.edgeAgents[1].stop()
	cluster.eventually("has ended the stopped agent", hasMembers(4))
}

// A drain is acknowledged only once a majority of the relays has received it, so that no crash of a minority
// loses it.
func TestDrainIsAcknowledgedOnceReplicated(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 2, 1)
	agent := cluster.edgeAgents[0]
	agent.startHeartbeats("s")
	cluster.coreMembers[0].startHeartbeats("r")
	cluster.eventually("lists the server", listsServer("s"))
	cluster.eventually("lists the server", listsServer("r"))
	agent.setPartitioned(true, cluster.coreMembers...)
	shortContext := timeoutContext(t, 300*time.Millisecond)
	require.False(t, agent.node.Heartbeat(shortContext, drainingServer("s", 1000)), "no relay has received it")
	require.False(t, agent.node.Heartbeat(shortContext, drainingServer("s", 1001)), "no relay has received the repetition either")
	require.False(t, agent.node.Deregister(shortContext, "s"))
	require.False(t, listsServer("s")(agent), "it takes effect on the agent itself at once")
	require.True(t, listsServer("s")(cluster.coreMembers[0]))
	cluster.coreMembers[0].setPartitioned(true, cluster.coreMembers[1])
	require.False(t, cluster.coreMembers[0].node.Heartbeat(timeoutContext(t, 300*time.Millisecond), drainingServer("r", 1000)), "one of two relays is not a majority")
	cluster.coreMembers[0].setPartitioned(false, cluster.coreMembers[1])
	require.True(t, cluster.coreMembers[0].heartbeat(drainingServer("r", 1001)))
	require.True(t, listsServer("r")(cluster.coreMembers[1]) == false, "it is acknowledged, so the other relay has received it")
	agent.setPartitioned(false, cluster.coreMembers...)
	require.True(t, agent.heartbeat(drainingServer("s", 1002)))
	assert.True(t, !listsServer("s")(cluster.coreMembers[0]) && !listsServer("s")(cluster.coreMembers[1]), "the majority of two relays is both")
	cluster.eventually("no longer lists the server", not(listsServer("s")))
	cluster.eventually("no longer lists the server", not(listsServer("r")))
}

// A core with one member acknowledges everything without another relay.
func TestACoreOfOne(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 1, 1)
	require.True(t, cluster.coreMembers[0].heartbeat(server("s", 1)))
	require.True(t, cluster.coreMembers[0].heartbeat(drainingServer("s", 2)))
	require.True(t, cluster.edgeAgents[0].heartbeat(server("r", 1)))
	require.True(t, cluster.edgeAgents[0].heartbeat(drainingServer("r", 2)))
	cluster.eventually("no longer lists the server", not(listsServer("r")))
}

// An agent that is partitioned from all others is ended once its lease has expired. It continues to serve,
// and starts a new incarnation when the partition heals. Its servers remain listed.
func TestExpiredAgentReturnsAsNewIncarnation(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 2)
	cluster.heartbeatInterval = 2 * time.Second // servers of an ended source are retained for four intervals
	cluster.start().awaitSynced(5)
	agent := cluster.edgeAgents[0]
	agent.startHeartbeats("s")
	cluster.eventually("lists the server", listsServer("s"))
	oldSource := agent.node.Report().Source
	agent.setPartitioned(true, cluster.all()...)
	others := append([]*testAgent{cluster.edgeAgents[1]}, cluster.coreMembers...)
	cluster.eventually("has ended the agent", hasMembers(4), others...)
	require.Equal(t, oldSource, agent.node.Report().Source, "it has not received its own end")
	require.True(t, hasMembers(5)(agent))
	for _, b := range cluster.all() {
		require.True(t, listsServer("s")(b), b.Name)
	}
	agent.setPartitioned(false, cluster.all()...)
	cluster.awaitSynced(5)
	cluster.eventually("has the server from the new incarnation", func(b *testAgent) bool {
		newSource := agent.node.Report().Source
		return newSource != oldSource && b.hasItem(newSource, serverPrefix+"s") && listsServer("s")(b)
	})
	require.True(t, agent.heartbeat(drainingServer("s", 1000)))
	cluster.eventually("no longer lists the server", not(listsServer("s")))
}

// A relay that is partitioned from all others ends no agent, neither during the partition nor after it.
func TestPartitionedRelayExpiresNobody(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 3)
	partitionedRelay, rest := cluster.coreMembers[0], append(cluster.coreMembers[1:3:3], cluster.edgeAgents...)
	sources := map[string]string{}
	for _, agent := range rest {
		sources[agent.Name] = agent.node.Report().Source
	}
	partitionedRelay.hasQuorum.Store(false)
	partitionedRelay.setPartitioned(true, rest...)
	cluster.eventually("has ended the partitioned relay", hasMembers(5), rest...)
	require.True(t, hasMembers(6)(partitionedRelay))
	// By then, more than leaseDuration has passed since the partition began.
	stoppedAgent := cluster.edgeAgents[0]
	stoppedAgent.stop()
	cluster.eventually("has ended the stopped agent", hasMembers(4), append(cluster.coreMembers[1:3:3], cluster.edgeAgents[1:]...)...)
	require.True(t, hasMembers(6)(partitionedRelay), "the partitioned relay ends no agent")
	partitionedRelay.hasQuorum.Store(true)
	partitionedRelay.setPartitioned(false, rest...)
	cluster.awaitSynced(5)
	for _, agent := range rest {
		if agent != stoppedAgent {
			assert.Equal(t, sources[agent.Name], agent.node.Report().Source, "%s was ended", agent.Name)
		}
	}
}

// A one-way partition makes both sides close the session, so that neither relies on messages that are lost.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 1)
	agent := cluster.edgeAgents[0]
	oldRelay := cluster.relayOf(agent)
	agent.setCut(oldRelay.Addr, agent.Addr, true)
	cluster.eventually("has another relay", hasOtherRelay(oldRelay), agent)
	cluster.eventually("has closed the session", not(hasSessionWith(agent.Addr)), oldRelay)
	agent.setCut(oldRelay.Addr, agent.Addr, false)
	cluster.awaitSynced(4)
}

// A departure reaches all agents, not only one relay, before the lease expires. The departed agent starts no
// new incarnation.
func TestDepart(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 3)
	cluster.heartbeatInterval = 2 * time.Second
	cluster.start().awaitSynced(6)
	for _, departingAgent := range []*testAgent{cluster.edgeAgents[0], cluster.coreMembers[0]} {
		departingAgent.startHeartbeats("s of " + departingAgent.Name)
		cluster.eventually("lists the server", listsServer("s of "+departingAgent.Name))
		departingAgent.node.AnnounceDraining()
		cluster.eventually("knows that the agent is draining", func(agent *testAgent) bool {
			for _, m := range agent.node.OtherMembers(false) {
				if m.Name == departingAgent.Name {
					return false
				}
			}
			return true
		})
		membersBefore := departingAgent.snapshot.Load().Agents
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		start := time.Now()
		departingAgent.node.Depart(ctx)
		require.NoError(t, ctx.Err())
		cancel()
		var rest []*testAgent
		for _, agent := range cluster.all() {
			if agent != departingAgent && agent.node != nil {
				rest = append(rest, agent)
			}
		}
		cluster.eventually("has dropped the departed agent", hasMembers(membersBefore-1), rest...)
		assert.Less(t, time.Since(start), leaseDuration)
		for _, agent := range rest {
			assert.True(t, listsServer("s of "+departingAgent.Name)(agent), "its servers remain listed until they call another agent")
		}
		departingAgent.node.tick()
		departingAgent.stop()
		cluster.eventually("does not see the departed agent again", hasMembers(membersBefore-1), rest...)
	}
}

// Depart returns when its context ends, if no relay receives the announcement.
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

// The configuration in force never regresses, neither by an older commit nor by a peer's older configuration
// nor by an invalid one.
func TestConfigurationNeverRegresses(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 2)
	cluster.coreMembers[0].node.ApplyConfig(5, documentOf(5))
	cluster.eventually("has the configuration", hasConfig(5))
	cluster.coreMembers[1].node.ApplyConfig(3, documentOf(3))
	cluster.coreMembers[1].node.ApplyConfig(5, documentOf(4))
	cluster.coreMembers[2].node.ApplyConfig(6, []byte(`{"revision":`))
	cluster.coreMembers[2].node.ApplyConfig(7, documentOf(7))
	cluster.eventually("has the configuration", hasConfig(7))
	for _, agent := range cluster.all() {
		assert.Equal(t, int64(7), agent.snapshot.Load().Config.Revision)
	}
	// An agent that has an older one because of a partition receives the newer one, and its own replaces no other.
	agent := cluster.edgeAgents[0]
	agent.setPartitioned(true, cluster.coreMembers...)
	cluster.coreMembers[0].node.ApplyConfig(9, documentOf(9))
	cluster.eventually("has the configuration", hasConfig(9), append(cluster.coreMembers, cluster.edgeAgents[1])...)
	require.True(t, hasConfig(7)(agent))
	agent.setPartitioned(false, cluster.coreMembers...)
	cluster.eventually("has the configuration", hasConfig(9))
	// The same holds for a relay that restarts.
	cluster.coreMembers[0].stop()
	cluster.coreMembers[0].start()
	cluster.coreMembers[0].node.ApplyConfig(5, documentOf(5)) // an older one from its disk
	cluster.coreMembers[0].node.MarkConfigCurrent()
	cluster.awaitSynced(5)
	cluster.eventually("has the configuration", hasConfig(9))
}

// When the whole core starts, no member is complete, so that none may wait for a complete one.
func TestWholeCoreStarts(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 2)
	for _, agent := range cluster.all() {
		agent.start()
	}
	for _, relay := range cluster.coreMembers {
		cluster.eventually("has sessions with its peers", func(agent *testAgent) bool { return len(agent.sessionPeers()) >= 2 }, relay)
		relay.node.tick()
		require.False(t, relay.snapshot.Load().Synced, "the core has not been read for the newest configuration")
	}
	cluster.coreMembers[1].node.ApplyConfig(4, documentOf(4))
	cluster.coreMembers[1].node.MarkConfigCurrent()
	cluster.eventually("is synced", func(agent *testAgent) bool {
		return agent.snapshot.Load().Synced && agent.snapshot.Load().ConfigSeq == 4
	})
	// An agent outside the core is not synced before a relay has sent it everything.
	for _, agent := range cluster.edgeAgents {
		agent.stop()
		agent.setPartitioned(true, cluster.coreMembers...)
		agent.start()
	}
	cluster.coreMembers[0].node.ApplyConfig(5, documentOf(5))
	for _, agent := range cluster.edgeAgents {
		cluster.eventually("has published a snapshot", func(agent *testAgent) bool { return agent.snapshot.Load() != nil }, agent)
		require.False(t, agent.snapshot.Load().Synced)
		agent.setPartitioned(false, cluster.coreMembers...)
	}
	cluster.eventually("is synced", func(agent *testAgent) bool {
		return agent.snapshot.Load().Synced && agent.snapshot.Load().ConfigSeq == 5
	})
}

// A missing core member delays the start of the others only briefly.
func TestMissingCoreMemberDelaysStartBriefly(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 1)
	start := time.Now()
	for _, agent := range cluster.all() {
		if agent != cluster.coreMembers[2] {
			agent.start()
		}
	}
	started := time.Now()
	cluster.coreMembers[0].node.MarkConfigCurrent()
	cluster.coreMembers[1].node.MarkConfigCurrent()
	cluster.eventually("is synced", func(agent *testAgent) bool { s := agent.snapshot.Load(); return s != nil && s.Synced })
	assert.GreaterOrEqual(t, time.Since(start), selfStartDelay, "sessions are given time to be established")
	assert.GreaterOrEqual(t, time.Since(started), selfStartDelay-tickInterval, "the delay is also counted from the last start")
	cluster.coreMembers[2].start()
	cluster.awaitSynced(4) // the last one needs no MarkConfigCurrent, as others are complete
}

// A core member that restarts while others are complete is not synced before it has its quorum and has
// received everything from a complete member.
func TestRestartedRelaySyncsFirst(t *testing.T) {
	t.Parallel()
	cluster := newSyncedCluster(t, 3, 1)
	cluster.edgeAgents[0].startHeartbeats("s")
	cluster.eventually("lists the server", listsServer("s"))
	relay := cluster.coreMembers[0]
	relay.stop()
	relay.hasQuorum.Store(false)
	relay.start()
	relay.node.MarkConfigCurrent()
	cluster.eventually("lists the server", listsServer("s"), relay)
	require.False(t, relay.snapshot.Load().Synced, "it has no quorum")
	relay.hasQuorum.Store(true)
	cluster.eventually("is synced", func(agent *testAgent) bool { return agent.snapshot.Load().Synced }, relay)
	require.True(t, listsServer("s")(relay))
	cluster.awaitSynced(4)
}

// Without a quorum no agent becomes synced, and none is ended.
func TestNothingStartsWithoutQuorum(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 2, 1)
	for _, relay := range cluster.coreMembers {
		relay.hasQuorum.Store(false)
	}
	cluster.start()
	cluster.eventually("has sessions but is not synced", func(agent *testAgent) bool { return hasMembers(3)(agent) && !agent.snapshot.Load().Synced })
	cluster.edgeAgents[0].stop()
	relay := cluster.coreMembers[0]
	for range 30 {
		relay.advanceClock(tickInterval)
		relay.node.tick()
	}
	require.False(t, cluster.coreMembers[0].snapshot.Load().Synced)
	require.True(t, hasMembers(3)(cluster.coreMembers[0]), "no agent is ended")
}

// Servers that were saved to disk are listed from the start. Those that send no heartbeat are then dropped.
func TestServersAreRestoredFromDisk(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 1, 1)
	cluster.withDisks = true
	cluster.start().awaitSynced(2)
	relay := cluster.coreMembers[0]
	stopStaying := relay.startHeartbeats("stays")
	stopDying := relay.startHeartbeats("dies")
	relay.startHeartbeats("drains")
	require.True(t, relay.heartbeat(drainingServer("drains", 1000)))
	cluster.eventually("has saved the ready servers", func(agent *testAgent) bool {
		b := agent.savedList.Load()
		if b == nil {
			return false
		}
		probe := New(Options{HeartbeatInterval: time.Second, Core: newFakeCore(false, false), OnChange: func(*Snapshot) {}, SavedServers: *b})
		return probe.servers.List().ByID["stays"] != nil && probe.servers.List().ByID["dies"] != nil && probe.servers.List().ByID["drains"] == nil
	}, relay)
	stopStaying()
	stopDying()
	relay.stop()
	relay.start()
	relay.node.MarkConfigCurrent()
	cluster.eventually("lists the restored servers", func(agent *testAgent) bool {
		return listsServer("stays")(agent) && listsServer("dies")(agent) && !listsServer("drains")(agent)
	}, relay)
	cluster.awaitSynced(2)
	relay.startHeartbeats("stays")
	cluster.eventually("no longer lists the expired server", not(listsServer("dies")))
	cluster.eventually("still lists the server", listsServer("stays"))
}
