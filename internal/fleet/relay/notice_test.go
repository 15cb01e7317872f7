package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
)

const (
	// testFleetSize is the number of agents of a large fleet, testFleetRelays the number of its relays.
	testFleetSize, testFleetRelays = 300, 6
	// testFleetLinkMbps is the capacity of an agent's link in that fleet, in megabits per second.
	testFleetLinkMbps = 10
)

// largeFleet is one relay of a large fleet with its agents. All processes have just started, so that none of
// the agents knows another one. The relay remembers the agents' addresses from its disk.
type largeFleet struct {
	relay  *manualNode
	agents []*manualNode
	up     []*session // the sessions at the agents
	down   []*session // the sessions at the relay
}

func newLargeFleet() *largeFleet {
	peers := make([]Peer, testFleetRelays)
	for i := range peers {
		peers[i] = Peer{Addr: fmt.Sprint("addr of relay-", i)}
	}
	fleet := &largeFleet{relay: newManualNode("relay-0", true, peers...)}
	fleet.relay.options.LinkMbps = testFleetLinkMbps
	for i := range testFleetSize {
		fleet.relay.memberAddrs.lastSeen[fmt.Sprint("addr of agent-", i)] = fleet.relay.now()
	}
	for i := range testFleetSize / testFleetRelays {
		agent := newManualNode(fmt.Sprint("agent-", i), false, peers...)
		agent.options.LinkMbps = testFleetLinkMbps
		fleet.agents = append(fleet.agents, agent)
		fleet.up = append(fleet.up, agent.connect("addr of relay-0", fleet.relay.source(), true))
		fleet.down = append(fleet.down, fleet.relay.connect("addr of "+agent.options.Self.Name, agent.source(), false))
	}
	return fleet
}

// sendUpdates delivers the relay's next update to each agent.
func (f *largeFleet) sendUpdates() {
	for i, agent := range f.agents {
		out := &sender{node: f.relay.Node, session: f.down[i]}
		update, _, _ := out.nextUpdate()
		agent.deliver(f.up[i], update)
	}
}

// broadcast lets each agent broadcast the given number of notices, and delivers what it sends to the relay.
func (f *largeFleet) broadcast(notices int) {
	for i, agent := range f.agents {
		for range notices {
			agent.BroadcastNotice(balancer.PrefillNotice{Instance: "server", PromptTokens: 1000}, time.Second)
		}
		f.relay.deliver(f.down[i], &message{Notices: f.up[i].dequeueNotices(agent.now())})
	}
}

// advanceClocks advances the clocks of all nodes.
func (f *largeFleet) advanceClocks(d time.Duration) {
	f.relay.advanceClock(d)
	for _, agent := range f.agents {
		agent.advanceClock(d)
	}
}

// All agents of a fleet that has just been started may send notices at once, and each agent still receives no
// more than its rate allows.
func TestNoticesAfterARestartOfALargeFleet(t *testing.T) {
	const period, step = 10 * time.Second, 100 * time.Millisecond
	fleet := newLargeFleet()
	fleet.sendUpdates()
	received := 0
	for range period / step {
		fleet.broadcast(5)
		received += len(fleet.down[0].dequeueNotices(fleet.relay.now()))
		fleet.advanceClocks(step)
	}
	require.Positive(t, received)
	limit := maxNoticeRateLargeFleet / testFleetRelays * (period + noticeBurstPeriod).Seconds()
	assert.LessOrEqual(t, float64(received*noticeSize), limit, "the relay's share of what an agent may receive")
}

// A relay forwards no more than it has granted, even if its agents do not respect their grants.
func TestRelayForwardsOnlyGrantedNotices(t *testing.T) {
	fleet := newLargeFleet()
	flood := make([]notice, maxPendingNotices)
	for i := range flood {
		flood[i] = notice{Instance: "server"}
	}
	received := 0
	for _, down := range fleet.down[1:] {
		fleet.relay.deliver(down, &message{Notices: flood})
		received += len(fleet.down[0].dequeueNotices(fleet.relay.now()))
	}
	require.Positive(t, received)
	limit := maxNoticeRateLargeFleet / testFleetRelays * noticeBurstPeriod.Seconds()
	assert.LessOrEqual(t, float64(received*noticeSize), limit)
}

// An agent without a grant of a relay sends no notices, as it does not know how many others do.
func TestNoNoticesWithoutAGrant(t *testing.T) {
	agent := newManualNode("agent", false, Peer{Addr: "addr of relay"})
	agent.options.LinkMbps = testFleetLinkMbps
	up := agent.connect("addr of relay", "relay/1", true)
	agent.BroadcastNotice(balancer.PrefillNotice{Instance: "server"}, time.Second)
	assert.Empty(t, up.pendingNotices)
	agent.deliver(up, &message{IsCore: true, HasQuorum: true, NoticeAllowance: noticeSize})
	agent.deliver(up, &message{IsCore: true, HasQuorum: true})
	agent.BroadcastNotice(balancer.PrefillNotice{Instance: "server"}, time.Second)
	assert.Len(t, up.pendingNotices, 1)
}

// Notices that have become useless while a slow peer was sent to are dropped.
func TestOutdatedNoticesAreNotSent(t *testing.T) {
	relay := newManualNode("relay", true)
	s := relay.connect("addr of agent", "agent/1", false)
	now := relay.now()
	s.enqueueNotice(notice{Instance: "old", sentAt: now}, minNoticeBatchDelay)
	s.enqueueNotice(notice{Instance: "new", sentAt: now + maxNoticeAge}, minNoticeBatchDelay)
	sent := s.dequeueNotices(now + maxNoticeAge + time.Millisecond)
	require.Len(t, sent, 1)
	assert.Equal(t, "new", sent[0].Instance)
	assert.Equal(t, 1, sent[0].AgeMs)
}
