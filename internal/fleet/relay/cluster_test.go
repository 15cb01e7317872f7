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
	l := newSyncedCluster(t, 3, 4)
	for i, a := range l.all() {
		a.startHeartbeats(fmt.Sprint("s", i))
	}
	for i := range l.all() {
		l.eventually("a server is listed", listsServer(fmt.Sprint("s", i)))
	}
	for seq := range uint64(5) {
		l.coreMembers[seq%3].node.ApplyConfig(seq+1, documentOf(int(seq)+10))
		l.eventually("the configuration is in force", hasConfig(seq+1))
		assert.Equal(t, int64(seq)+10, l.edgeAgents[seq%4].snapshot.Load().Config.Revision)
	}
	require.True(t, l.edgeAgents[0].heartbeat(drainingServer("s3", 1000)))
	require.True(t, l.coreMembers[0].heartbeat(drainingServer("s0", 1000)))
	require.True(t, l.edgeAgents[1].node.Deregister(timeoutContext(t, testTimeout), "s1"), "a server may deregister at any agent")
	for _, id := range []string{"s3", "s0", "s1"} {
		l.eventually("an end is known", not(listsServer(id)))
	}
	for _, a := range l.edgeAgents {
		assert.Len(t, a.sessionPeers(), 1, a.Name)
	}
	for _, h := range l.coreMembers {
		for _, other := range l.coreMembers {
			if h != other {
				assert.Contains(t, h.sessionPeers(), other.Addr)
			}
		}
		assert.Len(t, h.node.OtherMembers(true), 2)
		assert.Len(t, h.node.OtherMembers(false), 6)
	}
	r := l.edgeAgents[2].node.Report()
	assert.Len(t, r.Members, 7)
	for _, m := range r.Members {
		assert.True(t, m.LeaseGranted, m.Name)
		assert.Equal(t, m.Name == "agent-2", m.Self)
		assert.Equal(t, m.Name < "b", !m.IsCore)
	}
	assert.Equal(t, uint64(5), r.ConfigSeq)
	assert.Equal(t, int64(14), r.Revision)
	assert.Len(t, r.Servers, 7)
	assert.Len(t, r.Sessions, 1)
}

// An agent whose relay stops fails over to another.
func TestAgentFailsOverWhenItsRelayStops(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 3)
	a := l.edgeAgents[0]
	gone := l.relayOf(a)
	gone.stop()
	a.startHeartbeats("s")
	l.eventually("its changes reach all agents", listsServer("s"))
	require.True(t, a.heartbeat(drainingServer("s", 1000)))
	l.eventually("its changes reach all agents", not(listsServer("s")))
	l.eventually("it has one relay", func(a *testAgent) bool { h := l.relayOf(a); return h != nil && h != gone && len(a.sessionPeers()) == 1 }, l.edgeAgents...)
	l.eventually("the relay's lease expires", hasMembers(5))
	gone.start()
	gone.node.MarkConfigCurrent()
	l.awaitSynced(6)
}

// An agent whose relay times out fails over to another, and neither waits for the old one.
func TestAgentFailsOverWhenPartitionedFromItsRelay(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 1)
	a := l.edgeAgents[0]
	old := l.relayOf(a)
	old.setPartitioned(true, a)
	l.eventually("it has another relay", func(a *testAgent) bool { h := l.relayOf(a); return h != nil && h != old }, a)
	old.setPartitioned(false, a)
	a.startHeartbeats("s")
	l.eventually("its changes reach all agents", listsServer("s"))
	l.awaitSynced(4)
}

// An agent leaves a relay that has lost its quorum, and retains one session.
func TestAgentLeavesRelayWithoutQuorum(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 2)
	a := l.edgeAgents[0]
	old := l.relayOf(a)
	old.linked.Store(false)
	l.eventually("it has another relay only", func(a *testAgent) bool { h := l.relayOf(a); return h != nil && h != old && len(a.sessionPeers()) == 1 }, l.edgeAgents...)
	old.linked.Store(true)
	// While no relay has a quorum it tries all of them; later one is enough.
	for _, h := range l.coreMembers {
		h.linked.Store(false)
	}
	l.eventually("it tries all relays", func(a *testAgent) bool { return len(a.sessionPeers()) == 3 }, l.edgeAgents...)
	l.coreMembers[0].node.ApplyConfig(1, documentOf(1))
	l.eventually("replication continues without a quorum", hasConfig(1))
	for _, h := range l.coreMembers {
		h.linked.Store(true)
	}
	l.eventually("it has one relay", func(a *testAgent) bool { return len(a.sessionPeers()) == 1 }, l.edgeAgents...)
	l.awaitSynced(5)
}

// A relay that is no longer a member of the core says so in its messages, and its agents leave.
func TestAgentLeavesFormerCoreMember(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 2)
	a := l.edgeAgents[0]
	old := l.relayOf(a)
	var rest []Peer
	for _, h := range l.coreMembers {
		if h != old {
			rest = append(rest, Peer{h.Addr, h.Zone})
		}
	}
	for _, b := range l.all() {
		b.fakeCore.hubs.Store(&rest)
	}
	old.core.Store(false)
	old.linked.Store(false)
	l.eventually("it has another relay only", func(a *testAgent) bool { h := l.relayOf(a); return h != nil && h != old && len(a.sessionPeers()) == 1 }, l.edgeAgents...)
	l.awaitSynced(5)
	// It grants no leases any more: an agent that stops now expires.
	l.edgeAgents[1].stop()
	l.eventually("its lease expires", hasMembers(4))
}

// A drain is acknowledged only once a majority of the relays has it, so that no crash loses it.
func TestDrainIsAcknowledgedOnceReplicated(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 2, 1)
	a := l.edgeAgents[0]
	a.startHeartbeats("s")
	l.coreMembers[0].startHeartbeats("r")
	l.eventually("listed", listsServer("s"))
	l.eventually("listed", listsServer("r"))
	a.setPartitioned(true, l.coreMembers...)
	short := timeoutContext(t, 300*time.Millisecond)
	require.False(t, a.node.Heartbeat(short, drainingServer("s", 1000)), "no relay has it")
	require.False(t, a.node.Heartbeat(short, drainingServer("s", 1001)), "nor has any after a repetition")
	require.False(t, a.node.Deregister(short, "s"))
	require.False(t, listsServer("s")(a), "it takes effect here at once")
	require.True(t, listsServer("s")(l.coreMembers[0]))
	l.coreMembers[0].setPartitioned(true, l.coreMembers[1])
	require.False(t, l.coreMembers[0].node.Heartbeat(timeoutContext(t, 300*time.Millisecond), drainingServer("r", 1000)), "one of two relays is no majority")
	l.coreMembers[0].setPartitioned(false, l.coreMembers[1])
	require.True(t, l.coreMembers[0].heartbeat(drainingServer("r", 1001)))
	require.True(t, listsServer("r")(l.coreMembers[1]) == false, "the other relay has it once it is acknowledged")
	a.setPartitioned(false, l.coreMembers...)
	require.True(t, a.heartbeat(drainingServer("s", 1002)))
	assert.True(t, !listsServer("s")(l.coreMembers[0]) && !listsServer("s")(l.coreMembers[1]), "both are the majority")
	l.eventually("gone", not(listsServer("s")))
	l.eventually("gone", not(listsServer("r")))
}

// A core of one member needs no other relay.
func TestACoreOfOne(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 1, 1)
	require.True(t, l.coreMembers[0].heartbeat(server("s", 1)))
	require.True(t, l.coreMembers[0].heartbeat(drainingServer("s", 2)))
	require.True(t, l.edgeAgents[0].heartbeat(server("r", 1)))
	require.True(t, l.edgeAgents[0].heartbeat(drainingServer("r", 2)))
	l.eventually("gone", not(listsServer("r")))
}

// An agent that is partitioned away is ended once its lease has expired. It continues to serve, and
// returns as a new incarnation; its servers stay listed.
func TestExpiredAgentReturnsAsNewIncarnation(t *testing.T) {
	t.Parallel()
	l := newTestCluster(t, 3, 2)
	l.heartbeatInterval = 2 * time.Second // orphaned servers are retained for four
	l.start().awaitSynced(5)
	a := l.edgeAgents[0]
	a.startHeartbeats("s")
	l.eventually("listed", listsServer("s"))
	old := a.node.Report().Source
	a.setPartitioned(true, l.all()...)
	others := append([]*testAgent{l.edgeAgents[1]}, l.coreMembers...)
	l.eventually("it has been ended", hasMembers(4), others...)
	require.Equal(t, old, a.node.Report().Source, "it does not know")
	require.True(t, hasMembers(5)(a))
	for _, b := range l.all() {
		require.True(t, listsServer("s")(b), b.Name)
	}
	a.setPartitioned(false, l.all()...)
	l.awaitSynced(5)
	l.eventually("the new incarnation publishes its servers", func(b *testAgent) bool {
		now := a.node.Report().Source
		return now != old && b.hasItem(now, serverPrefix+"s") && listsServer("s")(b)
	})
	require.True(t, a.heartbeat(drainingServer("s", 1000)))
	l.eventually("gone", not(listsServer("s")))
}

// A relay that is partitioned away expires nobody, neither meanwhile nor when the partition heals.
func TestPartitionedRelayExpiresNobody(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 3)
	cut, rest := l.coreMembers[0], append(l.coreMembers[1:3:3], l.edgeAgents...)
	sources := map[string]string{}
	for _, a := range rest {
		sources[a.Name] = a.node.Report().Source
	}
	cut.linked.Store(false)
	cut.setPartitioned(true, rest...)
	l.eventually("the others expire it", hasMembers(5), rest...)
	require.True(t, hasMembers(6)(cut))
	// More than a lease duration later.
	old := l.edgeAgents[0]
	old.stop()
	l.eventually("the others expire an agent", hasMembers(4), append(l.coreMembers[1:3:3], l.edgeAgents[1:]...)...)
	require.True(t, hasMembers(6)(cut), "it expires nobody")
	cut.linked.Store(true)
	cut.setPartitioned(false, rest...)
	l.awaitSynced(5)
	for _, a := range rest {
		if a != old {
			assert.Equal(t, sources[a.Name], a.node.Report().Source, "%s was expired", a.Name)
		}
	}
}

// A one-way partition ends sessions in both directions, so that no side relies on messages that are lost.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 1)
	a := l.edgeAgents[0]
	old := l.relayOf(a)
	a.setCut(old.Addr, a.Addr, true)
	l.eventually("it has another relay", func(a *testAgent) bool { h := l.relayOf(a); return h != nil && h != old }, a)
	l.eventually("its old relay closes the session", func(h *testAgent) bool {
		for _, s := range h.sessionPeers() {
			if s == a.Addr {
				return false
			}
		}
		return true
	}, old)
	a.setCut(old.Addr, a.Addr, false)
	l.awaitSynced(4)
}

// A departure reaches all agents, not one relay only, long before the lease expires; the one that
// departed does not come back.
func TestDepart(t *testing.T) {
	t.Parallel()
	l := newTestCluster(t, 3, 3)
	l.heartbeatInterval = 2 * time.Second
	l.start().awaitSynced(6)
	for _, who := range []*testAgent{l.edgeAgents[0], l.coreMembers[0]} {
		who.startHeartbeats("s of " + who.Name)
		l.eventually("listed", listsServer("s of "+who.Name))
		who.node.AnnounceDraining()
		l.eventually("it is known to be draining", func(a *testAgent) bool {
			for _, m := range a.node.OtherMembers(false) {
				if m.Name == who.Name {
					return false
				}
			}
			return true
		})
		n := who.snapshot.Load().Agents
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		begin := time.Now()
		who.node.Depart(ctx)
		require.NoError(t, ctx.Err())
		cancel()
		var rest []*testAgent
		for _, a := range l.all() {
			if a != who && a.node != nil {
				rest = append(rest, a)
			}
		}
		l.eventually("all others drop it", hasMembers(n-1), rest...)
		assert.Less(t, time.Since(begin), leaseDuration)
		for _, a := range rest {
			assert.True(t, listsServer("s of "+who.Name)(a), "its servers have time to call another agent")
		}
		who.node.tick()
		who.stop()
		l.eventually("it does not come back", hasMembers(n-1), rest...)
	}
}

// A departure that nobody receives ends with its context.
func TestDepartWhilePartitioned(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 2, 1)
	a := l.edgeAgents[0]
	a.setPartitioned(true, l.coreMembers...)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	a.node.Depart(ctx)
	assert.Error(t, ctx.Err())
}

// The configuration in force never regresses: not by an older commit, not by what peers have, not by
// an invalid one.
func TestConfigurationNeverRegresses(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 2)
	l.coreMembers[0].node.ApplyConfig(5, documentOf(5))
	l.eventually("in force", hasConfig(5))
	l.coreMembers[1].node.ApplyConfig(3, documentOf(3))
	l.coreMembers[1].node.ApplyConfig(5, documentOf(4))
	l.coreMembers[2].node.ApplyConfig(6, []byte(`{"revision":`))
	l.coreMembers[2].node.ApplyConfig(7, documentOf(7))
	l.eventually("in force", hasConfig(7))
	for _, a := range l.all() {
		assert.Equal(t, int64(7), a.snapshot.Load().Config.Revision)
	}
	// An agent that was partitioned away with an older one takes the newer, and spreads its own to nobody.
	a := l.edgeAgents[0]
	a.setPartitioned(true, l.coreMembers...)
	l.coreMembers[0].node.ApplyConfig(9, documentOf(9))
	l.eventually("in force", hasConfig(9), append(l.coreMembers, l.edgeAgents[1])...)
	require.True(t, hasConfig(7)(a))
	a.setPartitioned(false, l.coreMembers...)
	l.eventually("in force", hasConfig(9))
	// So does one that restarts.
	l.coreMembers[0].stop()
	l.coreMembers[0].start()
	l.coreMembers[0].node.ApplyConfig(5, documentOf(5)) // its disk has an older one
	l.coreMembers[0].node.MarkConfigCurrent()
	l.awaitSynced(5)
	l.eventually("in force", hasConfig(9))
}

// The whole core starts: no member is complete, and none waits for one that is.
func TestWholeCoreStarts(t *testing.T) {
	t.Parallel()
	l := newTestCluster(t, 3, 2)
	for _, a := range l.all() {
		a.start()
	}
	for _, h := range l.coreMembers {
		l.eventually("has its sessions", func(a *testAgent) bool { return len(a.sessionPeers()) >= 2 }, h)
		h.node.tick()
		require.False(t, h.snapshot.Load().Synced, "the core has not been read for the newest configuration")
	}
	l.coreMembers[1].node.ApplyConfig(4, documentOf(4))
	l.coreMembers[1].node.MarkConfigCurrent()
	l.eventually("starts", func(a *testAgent) bool { return a.snapshot.Load().Synced && a.snapshot.Load().ConfigSeq == 4 })
	// An agent is not synced before a relay has sent it everything.
	for _, a := range l.edgeAgents {
		a.stop()
		a.setPartitioned(true, l.coreMembers...)
		a.start()
	}
	l.coreMembers[0].node.ApplyConfig(5, documentOf(5))
	for _, a := range l.edgeAgents {
		l.eventually("ticks", func(a *testAgent) bool { return a.snapshot.Load() != nil }, a)
		require.False(t, a.snapshot.Load().Synced)
		a.setPartitioned(false, l.coreMembers...)
	}
	l.eventually("synced", func(a *testAgent) bool { return a.snapshot.Load().Synced && a.snapshot.Load().ConfigSeq == 5 })
}

// A core member that is missing delays the others only briefly.
func TestMissingCoreMemberDelaysStartBriefly(t *testing.T) {
	t.Parallel()
	l := newTestCluster(t, 3, 1)
	begin := time.Now()
	for _, a := range l.all() {
		if a != l.coreMembers[2] {
			a.start()
		}
	}
	running := time.Now()
	l.coreMembers[0].node.MarkConfigCurrent()
	l.coreMembers[1].node.MarkConfigCurrent()
	l.eventually("starts", func(a *testAgent) bool { s := a.snapshot.Load(); return s != nil && s.Synced })
	assert.GreaterOrEqual(t, time.Since(begin), selfStartDelay, "sessions are given time to be established")
	assert.GreaterOrEqual(t, time.Since(running), selfStartDelay-tickInterval, "counted from the last start, too")
	l.coreMembers[2].start()
	l.awaitSynced(4) // also without MarkConfigCurrent: others are complete
}

// A core member that restarts where others are complete waits for them, also beyond selfStartDelay, as
// it has no quorum yet.
func TestRestartedRelaySyncsFirst(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 1)
	l.edgeAgents[0].startHeartbeats("s")
	l.eventually("listed", listsServer("s"))
	h := l.coreMembers[0]
	h.stop()
	h.linked.Store(false)
	h.start()
	h.node.MarkConfigCurrent()
	l.eventually("receives the server", listsServer("s"), h)
	require.False(t, h.snapshot.Load().Synced, "it has no quorum")
	h.linked.Store(true)
	l.eventually("is synced", func(a *testAgent) bool { return a.snapshot.Load().Synced }, h)
	require.True(t, listsServer("s")(h))
	l.awaitSynced(4)
}

// Without a quorum nobody is synced, and nobody is ended.
func TestNothingStartsWithoutQuorum(t *testing.T) {
	t.Parallel()
	l := newTestCluster(t, 2, 1)
	for _, h := range l.coreMembers {
		h.linked.Store(false)
	}
	l.start()
	l.eventually("has sessions", func(a *testAgent) bool { return hasMembers(3)(a) && !a.snapshot.Load().Synced })
	l.edgeAgents[0].stop()
	h := l.coreMembers[0].node
	for range 30 {
		h.advanceClock(tickInterval)
		h.tick()
	}
	require.False(t, l.coreMembers[0].snapshot.Load().Synced)
	require.True(t, hasMembers(3)(l.coreMembers[0]), "nobody is ended")
}

// Servers that were saved to disk are listed from the start on, and no longer than their next
// heartbeats take.
func TestServersAreRestoredFromDisk(t *testing.T) {
	t.Parallel()
	l := newTestCluster(t, 1, 1)
	l.withDisks = true
	l.start().awaitSynced(2)
	h := l.coreMembers[0]
	stop := h.startHeartbeats("stays")
	stop2 := h.startHeartbeats("dies")
	h.startHeartbeats("drains")
	require.True(t, h.heartbeat(drainingServer("drains", 1000)))
	l.eventually("is saved", func(a *testAgent) bool {
		b := a.savedList.Load()
		if b == nil {
			return false
		}
		probe := New(Options{HeartbeatInterval: time.Second, Core: newCore(false, false), OnChange: func(*Snapshot) {}, SavedServers: *b})
		return probe.servers.List().ByID["stays"] != nil && probe.servers.List().ByID["dies"] != nil && probe.servers.List().ByID["drains"] == nil
	}, h)
	stop()
	stop2()
	h.stop()
	h.start()
	h.node.MarkConfigCurrent()
	l.eventually("restored", func(a *testAgent) bool {
		return listsServer("stays")(a) && listsServer("dies")(a) && !listsServer("drains")(a)
	}, h)
	l.awaitSynced(2)
	h.startHeartbeats("stays")
	l.eventually("expired", not(listsServer("dies")))
	l.eventually("still listed", listsServer("stays"))
}
