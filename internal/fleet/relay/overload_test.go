package relay

import (
	"context"
	"fmt"
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

// A member that answers no hello in time holds nothing for the callers that have left meanwhile: they dial again,
// and what it still does for nobody delays the next ones and fills its memory.
func TestHeldUpMemberHoldsNothingForCallersThatHaveLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const memberAddr = "10.1.0.1:7300"
		network, members := pipenetwork.Network{}, []Peer{{Addr: memberAddr, Zone: "zone-a"}}
		core := &heldUpCore{newFakeCore(true, true, members...), make(chan struct{})}
		member := New(Options{Self: Member{Name: "member", Addr: memberAddr, Zone: "zone-a"}, HeartbeatInterval: time.Second, Core: core, Dialer: network, OnChange: func(*Snapshot) {}})
		handlers := rpc.NewMux()
		member.RegisterHandlers(handlers)
		serving, stopServing := context.WithCancel(t.Context())
		var server sync.WaitGroup
		listener := network.Listen(memberAddr)
		server.Go(func() {
			assert.NoError(t, rpc.Serve(serving, listener, handlers, rpc.ServerOptions{MemoryBytes: overloadMemoryBytes}))
		})

		deltas, agents := fleetDeltas(overloadAgents+overloadMembers), make([]*Node, overloadAgents)
		for i := range agents {
			agents[i] = New(Options{Self: *benchMember(i), HeartbeatInterval: time.Second, Core: newFakeCore(false, false, members...),
				SeedAddrs: func() []string { return []string{memberAddr} }, Dialer: network, OnChange: func(*Snapshot) {}})
			agents[i].items.Apply(deltas)
		}
		before := heapsize.InUse()
		calling, leave := context.WithTimeout(t.Context(), overloadDuration)
		defer leave()
		var callers sync.WaitGroup
		for _, agent := range agents {
			callers.Go(func() { agent.dialLoop(calling) })
		}
		callers.Wait()
		synctest.Wait()
		held := float64(heapsize.InUse() - before)
		runtime.KeepAlive(agents)
		close(core.released)
		stopServing()
		server.Wait()
		assert.Less(t, held, abandonedShare*overloadMemoryBytes, "bytes held for callers that have left")
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
