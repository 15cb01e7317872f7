package relay

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
	"chalkdoor.example/chalkdoor/internal/testbed/pipenetwork"
)

const (
	// overloadAgents is the number of agents that return at once, beside a core of overloadMembers.
	overloadAgents, overloadMembers = 294, 6
	// overloadMemoryBytes is the memory limit of the smallest member of the core that serves so many agents.
	overloadMemoryBytes = 102 << 20
	// abandonedShare and noticeShare are the fractions of a member's memory limit that may be held for callers
	// that have left, and for notices that wait to be sent.
	abandonedShare, noticeShare = 0.05, 0.02
	// overloadDuration is how long the member is held up. It is the time from the return of all processes until
	// the members of a core ended over their memory.
	overloadDuration = 9 * time.Second
)

// heldUpCore is the core as seen by a member whose goroutines get no processor time: each that asks waits until
// the member is released.
type heldUpCore struct {
	*fakeCore
	released chan struct{}
}

// release lets the member's goroutines go on. It may be called more than once.
func (c *heldUpCore) release() {
	select {
	case <-c.released:
	default:
		close(c.released)
	}
}

// IsMember implements Core.
func (c *heldUpCore) IsMember() bool {
	<-c.released
	return c.fakeCore.IsMember()
}

// fleetDeltas returns the deltas of a fleet's members, one source each.
func fleetDeltas(members int) []deltasync.Delta {
	deltas := make([]deltasync.Delta, members)
	for i := range deltas {
		deltas[i] = initialDelta(fmt.Sprintf("edge-%d/0123456789ab", i), memberKey, benchMember(i))
	}
	return deltas
}

// overloadedMember is the only member of a core, in virtual time. Its handlers are held up until it is released.
type overloadedMember struct {
	*Node
	core     *heldUpCore
	network  pipenetwork.Network
	priority bool // whether new connections are those of priority callers
}

const overloadedAddr = "10.1.0.1:7300"

// withOverloadedMember runs a test in virtual time with a member that is held up.
func withOverloadedMember(t *testing.T, test func(*testing.T, *overloadedMember)) {
	synctest.Test(t, func(t *testing.T) {
		core := &heldUpCore{newFakeCore(true, true, Peer{Addr: overloadedAddr, Zone: "zone-a"}), make(chan struct{})}
		member := &overloadedMember{core: core, network: pipenetwork.Network{}}
		member.Node = New(Options{Self: Member{Name: "member", Addr: overloadedAddr, Zone: "zone-a"}, HeartbeatInterval: time.Second,
			Core: core, Dialer: member.network, OnChange: func(*Snapshot) {}, MemoryBytes: overloadMemoryBytes})
		handlers := rpc.NewMux()
		member.RegisterHandlers(handlers)
		serving, stopServing := context.WithCancel(t.Context())
		var server sync.WaitGroup
		listener := member.network.Listen(overloadedAddr)
		server.Go(func() {
			assert.NoError(t, rpc.Serve(serving, listener, handlers, rpc.ServerOptions{MemoryBytes: overloadMemoryBytes,
				IsPriority: func(net.Addr) bool { return member.priority }}))
		})
		test(t, member)
		core.release()
		stopServing()
		server.Wait()
		assert.Empty(t, member.admission.slots, "all slots are given back")
	})
}

// newAgents returns agents that know all sources of the fleet.
func (m *overloadedMember) newAgents(count int) []*Node {
	deltas, agents := fleetDeltas(overloadAgents+overloadMembers), make([]*Node, count)
	for i := range agents {
		agents[i] = New(Options{Self: *benchMember(i), HeartbeatInterval: time.Second, Core: newFakeCore(false, false, m.core.Members()...),
			SeedAddrs: func() []string { return []string{overloadedAddr} }, Dialer: m.network, OnChange: func(*Snapshot) {}})
		agents[i].items.Apply(deltas)
	}
	return agents
}

// openSession sends a hello to the member.
func (m *overloadedMember) openSession(t *testing.T, name string) *stream {
	st, hangUp, err := rpc.OpenStreamWithDialer[message, message](t.Context(), m.network, overloadedAddr, sessionCall)
	require.NoError(t, err)
	t.Cleanup(hangUp)
	sent := make(chan error, 1)
	go func() { sent <- st.Send(&message{Hello: &hello{Source: name + "/1", Addr: name}}) }()
	synctest.Wait()
	return st
}

// A member that answers no hello in time holds nothing for the callers that have left meanwhile: they dial again,
// and what it still does for nobody delays the next ones and fills its memory.
func TestHeldUpMemberHoldsNothingForCallersThatHaveLeft(t *testing.T) {
	withOverloadedMember(t, func(t *testing.T, member *overloadedMember) {
		agents := member.newAgents(overloadAgents)
		before := heapsize.InUse()
		calling, leave := context.WithTimeout(t.Context(), overloadDuration)
		defer leave()
		var callers sync.WaitGroup
		for _, agent := range agents {
			callers.Go(func() { agent.dialLoop(calling) })
		}
		callers.Wait()
		<-time.After(time.Minute) // virtual time frees stopped timers only when they are due
		synctest.Wait()
		held := float64(heapsize.InUse() - before)
		runtime.KeepAlive(agents)
		assert.Less(t, held, abandonedShare*overloadMemoryBytes, "bytes held for callers that have left")
	})
}

// Only a few sessions start at once, and few wait. Others are told at once when to come back, and those that wait
// are told after maxSyncWait. A member of the core neither waits nor is refused.
func TestOnlyAFewSessionsStartAtOnce(t *testing.T) {
	withOverloadedMember(t, func(t *testing.T, member *overloadedMember) {
		assertRefused := func(st *stream, after time.Duration, why string) {
			begin := time.Now()
			answer, err := st.Recv()
			require.NoError(t, err, why)
			assert.Equal(t, after, time.Since(begin), why)
			retryAfter := time.Duration(answer.RetryAfterMs) * time.Millisecond
			assert.GreaterOrEqual(t, retryAfter, minRetryAfter, why)
			assert.Less(t, retryAfter, minRetryAfter+retryAfterSpread, why)
		}
		for i := range maxInitialSyncs {
			member.openSession(t, fmt.Sprint("starting-", i))
		}
		waiting := make([]*stream, maxWaitingSyncs)
		for i := range waiting {
			waiting[i] = member.openSession(t, fmt.Sprint("waiting-", i))
		}
		assert.Len(t, member.admission.slots, maxInitialSyncs)
		assert.EqualValues(t, maxWaitingSyncs, member.admission.waiting.Load())
		assertRefused(member.openSession(t, "late"), 0, "too many wait")
		assertRefused(waiting[0], maxSyncWait, "it waited for too long")
		member.priority = true
		privileged := member.openSession(t, "core")
		member.core.release()
		answer, err := privileged.Recv()
		require.NoError(t, err)
		assert.NotNil(t, answer.Hello)
	})
}

// All agents of a large fleet that dial its only member at once have a session with it soon.
func TestReturnOfAllAgentsToOneMember(t *testing.T) {
	withOverloadedMember(t, func(t *testing.T, member *overloadedMember) {
		member.core.release()
		running, stop := context.WithTimeout(t.Context(), 3*time.Second)
		defer stop()
		var agents sync.WaitGroup
		for _, agent := range member.newAgents(overloadAgents) {
			agents.Go(func() { agent.dialLoop(running) })
		}
		<-time.After(2 * time.Second)
		synctest.Wait()
		assert.Len(t, member.Report().Sessions, overloadAgents)
		agents.Wait()
	})
}

// The notices that wait at a member to be sent are bounded over all sessions together.
func TestPendingNoticesOfAllSessionsAreBoundedTogether(t *testing.T) {
	member := newManualNode("h", true, Peer{Addr: "addr of h"})
	agents := member.connectAgents(overloadAgents)
	before := heapsize.InUse()
	for _, agent := range agents {
		member.deliver(agent, &message{Notices: longNotices()})
	}
	held := float64(heapsize.InUse() - before)
	require.Len(t, agents[0].pendingNotices, maxPendingNotices, "as many wait as may")
	assert.Less(t, held, noticeShare*overloadMemoryBytes, "bytes of pending notices")
}

// longNotices returns notices that name as many prefixes as one may. Those of all agents are more than may wait on
// a session.
func longNotices() []notice {
	notices := make([]notice, 4)
	for i := range notices {
		notices[i] = notice{Instance: "i-00000001", Prefixes: make([]balancer.Segment, maxNoticePrefixes)}
	}
	return notices
}

// All agents of a large fleet have just started and know nobody yet. The notices that they send at once exceed the
// rate for an agent that receives them from its relay neither at their senders nor on the way.
func TestNoticesOfALargeFleetThatHasJustStartedAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		member := newManualNode("h", true, Peer{Addr: "addr of h"})
		agents, receivedBytes := member.connectAgents(overloadAgents), 0
		receiver := agents[0]
		for i, sender := range agents[1:] {
			member.deliver(sender, &message{Notices: noticesOfFreshAgent()})
			if i%(overloadAgents*int(maxNoticeBatchDelay/time.Millisecond)/1000) == 0 { // all senders within a second
				<-time.After(maxNoticeBatchDelay)
				receivedBytes += noticeSize * len(receiver.dequeueNotices(member.now()))
			}
		}
		assert.LessOrEqual(t, receivedBytes, int(maxNoticeRate), "bytes that an agent receives in a second")
	})
}

// connectAgents adds sessions with agents that send only what the test delivers.
func (n *manualNode) connectAgents(count int) []*session {
	agents := make([]*session, count)
	for i := range agents {
		agents[i] = n.connect(fmt.Sprint("addr of ", i), fmt.Sprintf("edge-%d/1", i), false)
	}
	return agents
}

// noticesOfFreshAgent returns the notices that an agent sends at once if it has just started and knows only its
// relay.
func noticesOfFreshAgent() []notice {
	agent := New(Options{Self: *benchMember(0), HeartbeatInterval: time.Second, Core: newFakeCore(false, false), LinkMbps: 10})
	toRelay := newSession(agent.now(), &hello{Source: "h/1", IsCore: true}, "addr of h", func() uint64 { return 0 }, func() {})
	agent.sessions[toRelay] = true
	for range maxNoticeBurst {
		agent.BroadcastNotice(balancer.PrefillNotice{Instance: "i-00000001", PromptTokens: 6000, UncachedTokens: 4000}, time.Second)
	}
	return toRelay.dequeueNotices(agent.now())
}

// Operators see how many sessions start, wait and were refused.
func TestFiguresOfAnOverloadedMember(t *testing.T) {
	withOverloadedMember(t, func(t *testing.T, member *overloadedMember) {
		for i := range maxInitialSyncs + maxWaitingSyncs + 1 {
			member.openSession(t, fmt.Sprint("agent-", i))
		}
		assert.Equal(t, map[string]int64{"sessions": 0, "sessions-starting": maxInitialSyncs, "sessions-waiting": maxWaitingSyncs,
			"sessions-refused": 1, "notices-pending": 0}, member.Figures())
	})
}
