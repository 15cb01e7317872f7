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
func TestNewsReachesAll(t *testing.T) {
	t.Parallel()
	l := started(t, 3, 4)
	for i, a := range l.all() {
		a.beats(fmt.Sprint("s", i))
	}
	for i := range l.all() {
		l.eventually("a server is listed", lists(fmt.Sprint("s", i)))
	}
	for seq := range uint64(5) {
		l.hubs[seq%3].hub.Commit(seq+1, document(int(seq)+10))
		l.eventually("the configuration is in force", hasConfig(seq+1))
		assert.Equal(t, int64(seq)+10, l.agents[seq%4].snap.Load().Doc.Revision)
	}
	require.True(t, l.agents[0].call(drains("s3", 1000)))
	require.True(t, l.hubs[0].call(drains("s0", 1000)))
	require.True(t, l.agents[1].hub.Leave(within(t, patience), "s1"), "it need not be known by whom a server leaves")
	for _, id := range []string{"s3", "s0", "s1"} {
		l.eventually("an end is known", not(lists(id)))
	}
	for _, a := range l.agents {
		assert.Len(t, a.sessions(), 1, a.Name)
	}
	for _, h := range l.hubs {
		for _, other := range l.hubs {
			if h != other {
				assert.Contains(t, h.sessions(), other.Addr)
			}
		}
		assert.Len(t, h.hub.Others(true), 2)
		assert.Len(t, h.hub.Others(false), 6)
	}
	r := l.agents[2].hub.Report()
	assert.Len(t, r.Members, 7)
	for _, m := range r.Members {
		assert.True(t, m.Held, m.Name)
		assert.Equal(t, m.Name == "agent-2", m.Self)
		assert.Equal(t, m.Name < "b", !m.Core)
	}
	assert.Equal(t, uint64(5), r.Seq)
	assert.Equal(t, int64(14), r.Revision)
	assert.Len(t, r.Servers, 7)
	assert.Len(t, r.Sessions, 1)
}

// An agent whose hub stops goes on with another.
func TestAnAgentChangesHubsWhenItsStops(t *testing.T) {
	t.Parallel()
	l := started(t, 3, 3)
	a := l.agents[0]
	gone := l.hubOf(a)
	gone.stop()
	a.beats("s")
	l.eventually("its news reach all", lists("s"))
	require.True(t, a.call(drains("s", 1000)))
	l.eventually("its news reach all", not(lists("s")))
	l.eventually("it has one hub", func(a *agent) bool { h := l.hubOf(a); return h != nil && h != gone && len(a.sessions()) == 1 }, l.agents...)
	l.eventually("the hub's lease lapses", members(5))
	gone.start()
	gone.hub.Newest()
	l.settled(6)
}

// An agent whose hub falls silent goes on with another, and neither waits for the old one.
func TestAnAgentChangesHubsBehindACut(t *testing.T) {
	t.Parallel()
	l := started(t, 3, 1)
	a := l.agents[0]
	old := l.hubOf(a)
	old.cutOff(true, a)
	l.eventually("it has another hub", func(a *agent) bool { h := l.hubOf(a); return h != nil && h != old }, a)
	old.cutOff(false, a)
	a.beats("s")
	l.eventually("its news reach all", lists("s"))
	l.settled(4)
}

// An agent leaves a hub that is cut off from the core, and keeps one session.
func TestAnAgentLeavesAnUnlinkedHub(t *testing.T) {
	t.Parallel()
	l := started(t, 3, 2)
	a := l.agents[0]
	old := l.hubOf(a)
	old.linked.Store(false)
	l.eventually("it has another hub only", func(a *agent) bool { h := l.hubOf(a); return h != nil && h != old && len(a.sessions()) == 1 }, l.agents...)
	old.linked.Store(true)
	// With no linked hub at all any will do; later one is enough.
	for _, h := range l.hubs {
		h.linked.Store(false)
	}
	l.eventually("it looks everywhere", func(a *agent) bool { return len(a.sessions()) == 3 }, l.agents...)
	l.hubs[0].hub.Commit(1, document(1))
	l.eventually("what the core can't agree on any more still travels", hasConfig(1))
	for _, h := range l.hubs {
		h.linked.Store(true)
	}
	l.eventually("it has one hub", func(a *agent) bool { return len(a.sessions()) == 1 }, l.agents...)
	l.settled(5)
}

// A hub that is no machine of the core any more tells its agents by its messages; they leave.
func TestAnAgentLeavesAHubThatIsNoneAnyMore(t *testing.T) {
	t.Parallel()
	l := started(t, 3, 2)
	a := l.agents[0]
	old := l.hubOf(a)
	var rest []Peer
	for _, h := range l.hubs {
		if h != old {
			rest = append(rest, Peer{h.Addr, h.Zone})
		}
	}
	for _, b := range l.all() {
		b.fakeCore.hubs.Store(&rest)
	}
	old.core.Store(false)
	old.linked.Store(false)
	l.eventually("it has another hub only", func(a *agent) bool { h := l.hubOf(a); return h != nil && h != old && len(a.sessions()) == 1 }, l.agents...)
	l.settled(5)
	// The leases that it held it holds no more: who ends now is ended.
	l.agents[1].stop()
	l.eventually("its lease lapses", members(4))
}

// A drain is acknowledged only when another hub has it, so that it reaches all whoever dies next.
func TestADrainIsAcknowledgedWhenAnotherHubHasIt(t *testing.T) {
	t.Parallel()
	l := started(t, 2, 1)
	a := l.agents[0]
	a.beats("s")
	l.hubs[0].beats("r")
	l.eventually("listed", lists("s"))
	l.eventually("listed", lists("r"))
	a.cutOff(true, l.hubs...)
	short := within(t, 300*time.Millisecond)
	require.False(t, a.hub.Beat(short, drains("s", 1000)), "nobody else has it")
	require.False(t, a.hub.Beat(short, drains("s", 1001)), "nor when it is said again")
	require.False(t, a.hub.Leave(short, "s"))
	require.False(t, lists("s")(a), "it is in force here at once")
	require.True(t, lists("s")(l.hubs[0]))
	l.hubs[0].cutOff(true, l.hubs[1])
	require.False(t, l.hubs[0].hub.Beat(within(t, 300*time.Millisecond), drains("r", 1000)), "a hub itself is not another")
	l.hubs[0].cutOff(false, l.hubs[1])
	require.True(t, l.hubs[0].call(drains("r", 1001)))
	require.True(t, lists("r")(l.hubs[1]) == false, "the other hub has it when it is acknowledged")
	a.cutOff(false, l.hubs...)
	require.True(t, a.call(drains("s", 1002)))
	assert.True(t, !lists("s")(l.hubs[0]) && !lists("s")(l.hubs[1]), "both are the majority")
	l.eventually("gone", not(lists("s")))
	l.eventually("gone", not(lists("r")))
}

// A core of one machine has no other hub.
func TestACoreOfOne(t *testing.T) {
	t.Parallel()
	l := started(t, 1, 1)
	require.True(t, l.hubs[0].call(server("s", 1)))
	require.True(t, l.hubs[0].call(drains("s", 2)))
	require.True(t, l.agents[0].call(server("r", 1)))
	require.True(t, l.agents[0].call(drains("r", 2)))
	l.eventually("gone", not(lists("r")))
}

// An agent that is cut off is ended when its lease has lapsed. It serves on meanwhile, and comes
// back as a new life; its servers stay listed.
func TestALapsedAgentComesBackAsANewLife(t *testing.T) {
	t.Parallel()
	l := newLab(t, 3, 2)
	l.beat = 2 * time.Second // servers are kept for four
	l.start().settled(5)
	a := l.agents[0]
	a.beats("s")
	l.eventually("listed", lists("s"))
	old := a.hub.Report().Source
	a.cutOff(true, l.all()...)
	others := append([]*agent{l.agents[1]}, l.hubs...)
	l.eventually("it is ended", members(4), others...)
	require.Equal(t, old, a.hub.Report().Source, "it knows nothing of that")
	require.True(t, members(5)(a))
	for _, b := range l.all() {
		require.True(t, lists("s")(b), b.Name)
	}
	a.cutOff(false, l.all()...)
	l.settled(5)
	l.eventually("its servers are told by the new life", func(b *agent) bool {
		now := a.hub.Report().Source
		return now != old && b.tells(now, instPrefix+"s") && lists("s")(b)
	})
	require.True(t, a.call(drains("s", 1000)))
	l.eventually("gone", not(lists("s")))
}

// A hub that is cut off ends nobody, neither meanwhile nor when it is joined again.
func TestACutOffHubEndsNobody(t *testing.T) {
	t.Parallel()
	l := started(t, 3, 3)
	cut, rest := l.hubs[0], append(l.hubs[1:3:3], l.agents...)
	sources := map[string]string{}
	for _, a := range rest {
		sources[a.Name] = a.hub.Report().Source
	}
	cut.linked.Store(false)
	cut.cutOff(true, rest...)
	l.eventually("the others end it", members(5), rest...)
	require.True(t, members(6)(cut))
	// More than a lease's time later.
	old := l.agents[0]
	old.stop()
	l.eventually("the others end an agent", members(4), append(l.hubs[1:3:3], l.agents[1:]...)...)
	require.True(t, members(6)(cut), "it ends nobody")
	cut.linked.Store(true)
	cut.cutOff(false, rest...)
	l.settled(5)
	for _, a := range rest {
		if a != old {
			assert.Equal(t, sources[a.Name], a.hub.Report().Source, "%s was ended", a.Name)
		}
	}
}

// A one-way cut ends the sessions both ways, so that what is told is known to be heard.
func TestAOneWayCut(t *testing.T) {
	t.Parallel()
	l := started(t, 3, 1)
	a := l.agents[0]
	old := l.hubOf(a)
	a.set(old.Addr, a.Addr, true)
	l.eventually("it has another hub", func(a *agent) bool { h := l.hubOf(a); return h != nil && h != old }, a)
	l.eventually("its old hub gives it up", func(h *agent) bool {
		for _, s := range h.sessions() {
			if s == a.Addr {
				return false
			}
		}
		return true
	}, old)
	a.set(old.Addr, a.Addr, false)
	l.settled(4)
}

// Bye reaches all, not the one hub only, and long before the lease lapses; the one who said it does
// not come back.
func TestBye(t *testing.T) {
	t.Parallel()
	l := newLab(t, 3, 3)
	l.beat = 2 * time.Second
	l.start().settled(6)
	for _, who := range []*agent{l.agents[0], l.hubs[0]} {
		who.beats("s of " + who.Name)
		l.eventually("listed", lists("s of "+who.Name))
		who.hub.Ending()
		l.eventually("its end is known", func(a *agent) bool {
			for _, m := range a.hub.Others(false) {
				if m.Name == who.Name {
					return false
				}
			}
			return true
		})
		n := who.snap.Load().Agents
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		begin := time.Now()
		who.hub.Bye(ctx)
		require.NoError(t, ctx.Err())
		cancel()
		var rest []*agent
		for _, a := range l.all() {
			if a != who && a.hub != nil {
				rest = append(rest, a)
			}
		}
		l.eventually("all drop it", members(n-1), rest...)
		assert.Less(t, time.Since(begin), leaseLasts)
		for _, a := range rest {
			assert.True(t, lists("s of "+who.Name)(a), "its servers have time to call another agent")
		}
		who.hub.tick()
		who.stop()
		l.eventually("nobody new", members(n-1), rest...)
	}
}

// A bye that nobody hears ends with its time.
func TestByeIntoACut(t *testing.T) {
	t.Parallel()
	l := started(t, 2, 1)
	a := l.agents[0]
	a.cutOff(true, l.hubs...)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	a.hub.Bye(ctx)
	assert.Error(t, ctx.Err())
}

// The configuration in force never goes back: not by an older commit, not by what peers have, not
// by one that can't be read.
func TestTheConfigurationNeverGoesBack(t *testing.T) {
	t.Parallel()
	l := started(t, 3, 2)
	l.hubs[0].hub.Commit(5, document(5))
	l.eventually("in force", hasConfig(5))
	l.hubs[1].hub.Commit(3, document(3))
	l.hubs[1].hub.Commit(5, document(4))
	l.hubs[2].hub.Commit(6, []byte(`{"revision":`))
	l.hubs[2].hub.Commit(7, document(7))
	l.eventually("in force", hasConfig(7))
	for _, a := range l.all() {
		assert.Equal(t, int64(7), a.snap.Load().Doc.Revision)
	}
	// One that was cut off with an older one takes the newer, and gives its own to nobody.
	a := l.agents[0]
	a.cutOff(true, l.hubs...)
	l.hubs[0].hub.Commit(9, document(9))
	l.eventually("in force", hasConfig(9), append(l.hubs, l.agents[1])...)
	require.True(t, hasConfig(7)(a))
	a.cutOff(false, l.hubs...)
	l.eventually("in force", hasConfig(9))
	// So does one that starts anew.
	l.hubs[0].stop()
	l.hubs[0].start()
	l.hubs[0].hub.Commit(5, document(5)) // its disk is behind
	l.hubs[0].hub.Newest()
	l.settled(5)
	l.eventually("in force", hasConfig(9))
}

// The whole core starts: nobody knows all, and nobody waits for it.
func TestTheWholeCoreStarts(t *testing.T) {
	t.Parallel()
	l := newLab(t, 3, 2)
	for _, a := range l.all() {
		a.start()
	}
	for _, h := range l.hubs {
		l.eventually("has its sessions", func(a *agent) bool { return len(a.sessions()) >= 2 }, h)
		h.hub.tick()
		require.False(t, h.snap.Load().Fresh, "the newest configuration has not been asked for")
	}
	l.hubs[1].hub.Commit(4, document(4))
	l.hubs[1].hub.Newest()
	l.eventually("starts", func(a *agent) bool { return a.snap.Load().Fresh && a.snap.Load().Seq == 4 })
	// An agent is not fresh before a hub has told it all.
	for _, a := range l.agents {
		a.stop()
		a.cutOff(true, l.hubs...)
		a.start()
	}
	l.hubs[0].hub.Commit(5, document(5))
	for _, a := range l.agents {
		l.eventually("ticks", func(a *agent) bool { return a.snap.Load() != nil }, a)
		require.False(t, a.snap.Load().Fresh)
		a.cutOff(false, l.hubs...)
	}
	l.eventually("fresh with all", func(a *agent) bool { return a.snap.Load().Fresh && a.snap.Load().Seq == 5 })
}

// A machine of the core that is missing holds the others up for a moment only.
func TestAMissingMachineHoldsUpNobodyForLong(t *testing.T) {
	t.Parallel()
	l := newLab(t, 3, 1)
	begin := time.Now()
	for _, a := range l.all() {
		if a != l.hubs[2] {
			a.start()
		}
	}
	running := time.Now()
	l.hubs[0].hub.Newest()
	l.hubs[1].hub.Newest()
	l.eventually("starts", func(a *agent) bool { s := a.snap.Load(); return s != nil && s.Fresh })
	assert.GreaterOrEqual(t, time.Since(begin), aloneFor, "sessions have their time to come up")
	assert.GreaterOrEqual(t, time.Since(running), aloneFor-tickEvery, "counted from the last start, too")
	l.hubs[2].start()
	l.settled(4) // also without Newest: others know all
}

// A core machine that starts again where others know all waits for them, also past the time of the
// whole core's start, as its core has no majority for it yet.
func TestARestartedHubLearnsFirst(t *testing.T) {
	t.Parallel()
	l := started(t, 3, 1)
	l.agents[0].beats("s")
	l.eventually("listed", lists("s"))
	h := l.hubs[0]
	h.stop()
	h.linked.Store(false)
	h.start()
	h.hub.Newest()
	l.eventually("hears", lists("s"), h)
	require.False(t, h.snap.Load().Fresh, "it is not linked")
	h.linked.Store(true)
	l.eventually("is fresh", func(a *agent) bool { return a.snap.Load().Fresh }, h)
	require.True(t, lists("s")(h))
	l.settled(4)
}

// Without a majority nothing is told to be known, and nobody is ended.
func TestNothingStartsWithoutMajority(t *testing.T) {
	t.Parallel()
	l := newLab(t, 2, 1)
	for _, h := range l.hubs {
		h.linked.Store(false)
	}
	l.start()
	l.eventually("has sessions", func(a *agent) bool { return members(3)(a) && !a.snap.Load().Fresh })
	l.agents[0].stop()
	h := l.hubs[0].hub
	for range 30 {
		h.skip(tickEvery)
		h.tick()
	}
	require.False(t, l.hubs[0].snap.Load().Fresh)
	require.True(t, members(3)(l.hubs[0]), "nobody is ended")
}

// What a machine with a disk kept is listed from the start on, and for no longer than its servers
// take to call again.
func TestServersAreRestoredFromDisk(t *testing.T) {
	t.Parallel()
	l := newLab(t, 1, 1)
	l.disks = true
	l.start().settled(2)
	h := l.hubs[0]
	stop := h.beats("stays")
	stop2 := h.beats("dies")
	h.beats("drains")
	require.True(t, h.call(drains("drains", 1000)))
	l.eventually("is saved", func(a *agent) bool {
		b := a.disk.Load()
		if b == nil {
			return false
		}
		probe := New(Options{Beat: time.Second, Core: newCore(false, false), OnChange: func(*Snapshot) {}, Saved: *b})
		return probe.table.List().ByID["stays"] != nil && probe.table.List().ByID["dies"] != nil && probe.table.List().ByID["drains"] == nil
	}, h)
	stop()
	stop2()
	h.stop()
	h.start()
	h.hub.Newest()
	l.eventually("restored", func(a *agent) bool { return lists("stays")(a) && lists("dies")(a) && !lists("drains")(a) }, h)
	l.settled(2)
	h.beats("stays")
	l.eventually("expired", not(lists("dies")))
	l.eventually("kept", lists("stays"))
}
