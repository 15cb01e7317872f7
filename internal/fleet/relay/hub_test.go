package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What any agent learns reaches all: members, servers, ends and configurations.
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
	require.True(t, l.edgeAgents[1].node.Deregister(timeoutContext(t, testTimeout), "s1"), "it need not be known by whom a server leaves")
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

// An agent whose hub stops goes on with another.
func TestAgentFailsOverWhenItsRelayStops(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 3)
	a := l.edgeAgents[0]
	gone := l.relayOf(a)
	gone.stop()
	a.startHeartbeats("s")
	l.eventually("its news reach all", listsServer("s"))
	require.True(t, a.heartbeat(drainingServer("s", 1000)))
	l.eventually("its news reach all", not(listsServer("s")))
	l.eventually("it has one hub", func(a *testAgent) bool { h := l.relayOf(a); return h != nil && h != gone && len(a.sessionPeers()) == 1 }, l.edgeAgents...)
	l.eventually("the hub's lease lapses", hasMembers(5))
	gone.start()
	gone.node.MarkConfigCurrent()
	l.awaitSynced(6)
}

// An agent whose hub falls silent goes on with another, and neither waits for the old one.
func TestAgentFailsOverWhenPartitionedFromItsRelay(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 1)
	a := l.edgeAgents[0]
	old := l.relayOf(a)
	old.setPartitioned(true, a)
	l.eventually("it has another hub", func(a *testAgent) bool { h := l.relayOf(a); return h != nil && h != old }, a)
	old.setPartitioned(false, a)
	a.startHeartbeats("s")
	l.eventually("its news reach all", listsServer("s"))
	l.awaitSynced(4)
}

// An agent leaves a hub that is cut off from the core, and keeps one session.
func TestAgentLeavesRelayWithoutQuorum(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 2)
	a := l.edgeAgents[0]
	old := l.relayOf(a)
	old.linked.Store(false)
	l.eventually("it has another hub only", func(a *testAgent) bool { h := l.relayOf(a); return h != nil && h != old && len(a.sessionPeers()) == 1 }, l.edgeAgents...)
	old.linked.Store(true)
	// With no linked hub at all any will do; later one is enough.
	for _, h := range l.coreMembers {
		h.linked.Store(false)
	}
	l.eventually("it looks everywhere", func(a *testAgent) bool { return len(a.sessionPeers()) == 3 }, l.edgeAgents...)
	l.coreMembers[0].node.ApplyConfig(1, documentOf(1))
	l.eventually("what the core can't agree on any more still travels", hasConfig(1))
	for _, h := range l.coreMembers {
		h.linked.Store(true)
	}
	l.eventually("it has one hub", func(a *testAgent) bool { return len(a.sessionPeers()) == 1 }, l.edgeAgents...)
	l.awaitSynced(5)
}

// A hub that is no machine of the core any more tells its agents by its messages; they leave.
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
	l.eventually("it has another hub only", func(a *testAgent) bool { h := l.relayOf(a); return h != nil && h != old && len(a.sessionPeers()) == 1 }, l.edgeAgents...)
	l.awaitSynced(5)
	// The leases that it held it holds no more: who ends now is ended.
	l.edgeAgents[1].stop()
	l.eventually("its lease lapses", hasMembers(4))
}

// A drain is acknowledged only when another hub has it, so that it reaches all whoever dies next.
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
	require.False(t, a.node.Heartbeat(short, drainingServer("s", 1000)), "nobody else has it")
	require.False(t, a.node.Heartbeat(short, drainingServer("s", 1001)), "nor when it is said again")
	require.False(t, a.node.Deregister(short, "s"))
	require.False(t, listsServer("s")(a), "it is in force here at once")
	require.True(t, listsServer("s")(l.coreMembers[0]))
	l.coreMembers[0].setPartitioned(true, l.coreMembers[1])
	require.False(t, l.coreMembers[0].node.Heartbeat(timeoutContext(t, 300*time.Millisecond), drainingServer("r", 1000)), "a hub itself is not another")
	l.coreMembers[0].setPartitioned(false, l.coreMembers[1])
	require.True(t, l.coreMembers[0].heartbeat(drainingServer("r", 1001)))
	require.True(t, listsServer("r")(l.coreMembers[1]) == false, "the other hub has it when it is acknowledged")
	a.setPartitioned(false, l.coreMembers...)
	require.True(t, a.heartbeat(drainingServer("s", 1002)))
	assert.True(t, !listsServer("s")(l.coreMembers[0]) && !listsServer("s")(l.coreMembers[1]), "both are the majority")
	l.eventually("gone", not(listsServer("s")))
	l.eventually("gone", not(listsServer("r")))
}

// A core of one machine has no other hub.
func TestACoreOfOne(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 1, 1)
	require.True(t, l.coreMembers[0].heartbeat(server("s", 1)))
	require.True(t, l.coreMembers[0].heartbeat(drainingServer("s", 2)))
	require.True(t, l.edgeAgents[0].heartbeat(server("r", 1)))
	require.True(t, l.edgeAgents[0].heartbeat(drainingServer("r", 2)))
	l.eventually("gone", not(listsServer("r")))
}

// An agent that is cut off is ended when its lease has lapsed. It serves on meanwhile, and comes
// back as a new life; its servers stay listed.
func TestExpiredAgentReturnsAsNewIncarnation(t *testing.T) {
	t.Parallel()
	l := newTestCluster(t, 3, 2)
	l.heartbeatInterval = 2 * time.Second // servers are kept for four
	l.start().awaitSynced(5)
	a := l.edgeAgents[0]
	a.startHeartbeats("s")
	l.eventually("listed", listsServer("s"))
	old := a.node.Report().Source
	a.setPartitioned(true, l.all()...)
	others := append([]*testAgent{l.edgeAgents[1]}, l.coreMembers...)
	l.eventually("it is ended", hasMembers(4), others...)
	require.Equal(t, old, a.node.Report().Source, "it knows nothing of that")
	require.True(t, hasMembers(5)(a))
	for _, b := range l.all() {
		require.True(t, listsServer("s")(b), b.Name)
	}
	a.setPartitioned(false, l.all()...)
	l.awaitSynced(5)
	l.eventually("its servers are told by the new life", func(b *testAgent) bool {
		now := a.node.Report().Source
		return now != old && b.hasItem(now, serverPrefix+"s") && listsServer("s")(b)
	})
	require.True(t, a.heartbeat(drainingServer("s", 1000)))
	l.eventually("gone", not(listsServer("s")))
}

// A hub that is cut off ends nobody, neither meanwhile nor when it is joined again.
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
	l.eventually("the others end it", hasMembers(5), rest...)
	require.True(t, hasMembers(6)(cut))
	// More than a lease's time later.
	old := l.edgeAgents[0]
	old.stop()
	l.eventually("the others end an agent", hasMembers(4), append(l.coreMembers[1:3:3], l.edgeAgents[1:]...)...)
	require.True(t, hasMembers(6)(cut), "it ends nobody")
	cut.linked.Store(true)
	cut.setPartitioned(false, rest...)
	l.awaitSynced(5)
	for _, a := range rest {
		if a != old {
			assert.Equal(t, sources[a.Name], a.node.Report().Source, "%s was ended", a.Name)
		}
	}
}

// A one-way cut ends the sessions both ways, so that what is told is known to be heard.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	l := newSyncedCluster(t, 3, 1)
	a := l.edgeAgents[0]
	old := l.relayOf(a)
	a.setCut(old.Addr, a.Addr, true)
	l.eventually("it has another hub", func(a *testAgent) bool { h := l.relayOf(a); return h != nil && h != old }, a)
	l.eventually("its old hub gives it up", func(h *testAgent) bool {
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

// Bye reaches all, not the one hub only, and long before the lease lapses; the one who said it does
// not come back.
func TestDepart(t *testing.T) {
	t.Parallel()
	l := newTestCluster(t, 3, 3)
	l.heartbeatInterval = 2 * time.Second
	l.start().awaitSynced(6)
	for _, who := range []*testAgent{l.edgeAgents[0], l.coreMembers[0]} {
		who.startHeartbeats("s of " + who.Name)
		l.eventually("listed", listsServer("s of "+who.Name))
		who.node.AnnounceDraining()
		l.eventually("its end is known", func(a *testAgent) bool {
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
		l.eventually("all drop it", hasMembers(n-1), rest...)
		assert.Less(t, time.Since(begin), leaseDuration)
		for _, a := range rest {
			assert.True(t, listsServer("s of "+who.Name)(a), "its servers have time to call another agent")
		}
		who.node.tick()
		who.stop()
		l.eventually("nobody new", hasMembers(n-1), rest...)
	}
}

// A bye that nobody hears ends with its time.
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

// The configuration in force never goes back: not by an older commit, not by what peers have, not
// by one that can't be read.
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
	// One that was cut off with an older one takes the newer, and gives its own to nobody.
	a := l.edgeAgents[0]
	a.setPartitioned(true, l.coreMembers...)
	l.coreMembers[0].node.ApplyConfig(9, documentOf(9))
	l.eventually("in force", hasConfig(9), append(l.coreMembers, l.edgeAgents[1])...)
	require.True(t, hasConfig(7)(a))
	a.setPartitioned(false, l.coreMembers...)
	l.eventually("in force", hasConfig(9))
	// So does one that starts anew.
	l.coreMembers[0].stop()
	l.coreMembers[0].start()
	l.coreMembers[0].node.ApplyConfig(5, documentOf(5)) // its disk is behind
	l.coreMembers[0].node.MarkConfigCurrent()
	l.awaitSynced(5)
	l.eventually("in force", hasConfig(9))
}

// The whole core starts: nobody knows all, and nobody waits for it.
func TestWholeCoreStarts(t *testing.T) {
	t.Parallel()
	l := newTestCluster(t, 3, 2)
	for _, a := range l.all() {
		a.start()
	}
	for _, h := range l.coreMembers {
		l.eventually("has its sessions", func(a *testAgent) bool { return len(a.sessionPeers()) >= 2 }, h)
		h.node.tick()
		require.False(t, h.snapshot.Load().Synced, "the newest configuration has not been asked for")
	}
	l.coreMembers[1].node.ApplyConfig(4, documentOf(4))
	l.coreMembers[1].node.MarkConfigCurrent()
	l.eventually("starts", func(a *testAgent) bool { return a.snapshot.Load().Synced && a.snapshot.Load().ConfigSeq == 4 })
	// An agent is not fresh before a hub has told it all.
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
	l.eventually("fresh with all", func(a *testAgent) bool { return a.snapshot.Load().Synced && a.snapshot.Load().ConfigSeq == 5 })
}

// A machine of the core that is missing holds the others up for a moment only.
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
	assert.GreaterOrEqual(t, time.Since(begin), selfStartDelay, "sessions have their time to come up")
	assert.GreaterOrEqual(t, time.Since(running), selfStartDelay-tickInterval, "counted from the last start, too")
	l.coreMembers[2].start()
	l.awaitSynced(4) // also without Newest: others know all
}

// A core machine that starts again where others know all waits for them, also past the time of the
// whole core's start, as its core has no majority for it yet.
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
	l.eventually("hears", listsServer("s"), h)
	require.False(t, h.snapshot.Load().Synced, "it is not linked")
	h.linked.Store(true)
	l.eventually("is fresh", func(a *testAgent) bool { return a.snapshot.Load().Synced }, h)
	require.True(t, listsServer("s")(h))
	l.awaitSynced(4)
}

// Without a majority nothing is told to be known, and nobody is ended.
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

// What a machine with a disk kept is listed from the start on, and for no longer than its servers
// take to call again.
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
	l.eventually("kept", listsServer("stays"))
}
