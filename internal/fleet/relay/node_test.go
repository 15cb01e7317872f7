package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// manualNode is a node that does not run: a test ticks it, and advances its clock.
type manualNode struct {
	*Node
	core     *fakeCore
	snapshot *Snapshot
}

func newManualNode(name string, core bool, peers ...Peer) *manualNode {
	node := &manualNode{core: newFakeCore(core, core, peers...)}
	node.Node = New(Options{Self: Member{Name: name, Addr: "addr of " + name, Zone: "near"}, HeartbeatInterval: 500 * time.Millisecond, Core: node.core,
		SeedAddrs: func() []string { return []string{"seed-0", "seed-1", "seed-2"} }, OnChange: func(n *Snapshot) { node.snapshot = n }})
	return node
}

// runFor ticks for a duration and calls each before every tick.
func (n *manualNode) runFor(d time.Duration, each func()) {
	for end := n.now() + d; n.now() < end; {
		n.advanceClock(tickInterval)
		if each != nil {
			each()
		}
		n.tick()
	}
}

// connect adds a session with a peer, which sends nothing by itself.
func (n *manualNode) connect(peerAddr, source string, core bool) *session {
	peer := newSession(n.now(), &hello{Source: source, IsCore: core}, peerAddr, func() uint64 { return 0 }, func() {})
	peer.started = n.now() - time.Minute
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sessions[peer] = true
	return peer
}

// deliver has the node handle a message of a session, after a round trip through the encoding.
func (n *manualNode) deliver(peer *session, m *message) {
	raw, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	copied := new(message)
	if err := msgpack.Unmarshal(raw, copied); err != nil {
		panic(err)
	}
	n.handleMessage(peer, copied)
}

func (n *manualNode) heartbeatFrom(peer *session) func() {
	return func() { n.deliver(peer, &message{IsCore: peer.peerIsCore, HasQuorum: peer.peerIsCore}) }
}

// syncFrom applies everything that another node has.
func (n *manualNode) syncFrom(from *manualNode) {
	from.mu.Lock()
	n.mu.Lock()
	deltas := from.items.DeltasSince(n.items.Vector())
	n.mu.Unlock()
	from.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyDeltasLocked(deltas)
}

func (n *manualNode) source() string { return n.items.OwnSource() }

// publishedEndSources returns the sources that it announces as ended.
func (n *manualNode) publishedEndSources() (out []string) {
	for key, data := range n.itemsOf(n.source()) {
		if strings.HasPrefix(key, endPrefix) && data != nil {
			out = append(out, key[len(endPrefix):])
		}
	}
	return out
}

// itemsOf returns the data of all items of a source.
func (n *manualNode) itemsOf(source string) map[string][]byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string][]byte{}
	for _, d := range n.items.DeltasSince(nil) {
		if d.Source == source {
			for _, it := range d.Items {
				out[it.Key] = it.Data
			}
		}
	}
	return out
}

// initialDelta is the first delta of a source, of alternating keys and data.
func initialDelta(source string, keysAndData ...any) deltasync.Delta {
	delta := deltasync.Delta{Source: source}
	for i := 0; i < len(keysAndData); i += 2 {
		delta.To++
		data, ok := keysAndData[i+1].([]byte)
		if !ok {
			data = encode(keysAndData[i+1])
		}
		delta.Items = append(delta.Items, deltasync.Item{Key: keysAndData[i].(string), Version: delta.To, Data: data})
	}
	return delta
}

// leaseDelta is a later delta of a source, which grants a lease or, without data, releases it.
func leaseDelta(source string, from uint64, agent string, data []byte) deltasync.Delta {
	return deltasync.Delta{Source: source, From: from, To: from + 1, Items: []deltasync.Item{{Key: leasePrefix + agent, Version: from + 1, Data: data}}}
}

// What peers have of an earlier incarnation acknowledges nothing of the new one.
func TestNewIncarnationIsAcknowledgedAnew(t *testing.T) {
	agent := newManualNode("a", false)
	peer := agent.connect("h", "h/1", true)
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, QuorumVersion: agent.items.OwnVersion()})
	for i := range 20 {
		require.True(t, agent.Heartbeat(t.Context(), server(fmt.Sprint("s", i), 1)))
	}
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, QuorumVersion: agent.items.OwnVersion()})
	require.True(t, agent.Heartbeat(t.Context(), server("s0", 2)))
	old := agent.source()
	agent.mu.Lock()
	agent.endSourceLocked(old)
	agent.mu.Unlock()
	require.NotEqual(t, old, agent.source())
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, ReceivedVersion: agent.items.OwnVersion() + 5, QuorumVersion: agent.items.OwnVersion() + 5}) // was in flight
	assert.False(t, agent.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s0", 3)), "no peer has it of the new incarnation")
	otherPeer := agent.connect("h", "h/1", true)
	agent.deliver(otherPeer, &message{IsCore: true, HasQuorum: true, ReceivedVersion: agent.items.OwnVersion() + 5, QuorumVersion: agent.items.OwnVersion() + 5})
	assert.False(t, agent.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s0", 4)), "nobody can have what was not published yet")
	agent.deliver(otherPeer, &message{IsCore: true, HasQuorum: true, ReceivedVersion: agent.items.OwnVersion()})
	assert.False(t, agent.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s0", 5)), "one relay has it")
	agent.deliver(otherPeer, &message{IsCore: true, HasQuorum: true, QuorumVersion: agent.items.OwnVersion()})
	assert.True(t, agent.Heartbeat(t.Context(), drainingServer("s0", 6)))
}

// Only core members count for the quorum: a relay does not wait for its agents, but for other relays.
func TestAgentReplicaDoesNotCountForQuorum(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	agent, other := relay.connect("addr of a", "a/1", false), relay.connect("addr of o", "o/1", true)
	require.True(t, relay.Heartbeat(t.Context(), server("s", 1)))
	relay.deliver(agent, &message{ReceivedVersion: relay.items.OwnVersion() + 1})
	require.False(t, relay.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s", 2)))
	relay.deliver(agent, &message{ReceivedVersion: relay.items.OwnVersion()})
	require.False(t, relay.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s", 3)))
	relay.deliver(other, &message{IsCore: true, ReceivedVersion: relay.items.OwnVersion(), Acknowledged: deltasync.Vector{relay.source(): relay.items.OwnVersion() - 1}})
	require.False(t, relay.Heartbeat(timeoutContext(t, 50*time.Millisecond), drainingServer("s", 4)))
	relay.deliver(other, &message{IsCore: true, Acknowledged: deltasync.Vector{relay.source(): relay.items.OwnVersion()}})
	assert.True(t, relay.Heartbeat(t.Context(), drainingServer("s", 5)))
}

// A drain that is pending while its agent starts a new incarnation is acknowledged by what peers have
// of that one.
func TestDrainWaitsAcrossIncarnations(t *testing.T) {
	agent := newManualNode("a", false)
	for i := range 20 {
		agent.Heartbeat(t.Context(), server("s", uint64(2*i+1)))
		agent.Heartbeat(t.Context(), server(fmt.Sprint("r", i), 1))
		agent.mu.Lock()
		agent.publishItemLocked("gone", present) // versions that the new incarnation does not have
		agent.publishItemLocked("gone", nil)
		agent.mu.Unlock()
	}
	done := make(chan bool)
	go func() { done <- agent.Heartbeat(timeoutContext(t, testTimeout), drainingServer("s", 1000)) }()
	require.Eventually(t, func() bool {
		agent.mu.Lock()
		defer agent.mu.Unlock()
		return agent.servers.List().ByID["s"] == nil
	}, testTimeout, time.Millisecond)
	agent.mu.Lock()
	agent.endSourceLocked(agent.items.OwnSource())
	agent.mu.Unlock()
	peer := agent.connect("h", "h/1", true)
	agent.deliver(peer, &message{IsCore: true, QuorumVersion: agent.items.OwnVersion()})
	assert.True(t, <-done)
}

// A session that an earlier incarnation began is rejected: the relay would grant no lease for it.
func TestSessionOfEarlierIncarnationIsRejected(t *testing.T) {
	agent := newManualNode("a", false)
	mine := &hello{Source: agent.source(), Addr: "a"}
	agent.mu.Lock()
	agent.startIncarnationLocked()
	agent.mu.Unlock()
	require.Error(t, agent.runSession(t.Context(), nil, &hello{Source: "h/1", Addr: "h"}, "h", mine, &message{}))
	require.Error(t, agent.runSession(t.Context(), nil, &hello{Source: agent.source(), Addr: "h"}, "h", nil, nil), "nor one with itself")
	assert.Empty(t, agent.sessions)
}

// A relay that starts a new incarnation retains the leases that it grants, so that it expires no agent.
func TestNewIncarnationRetainsGrantedLeases(t *testing.T) {
	relay := newManualNode("h", true, Peer{Addr: "addr of h"})
	agent := newManualNode("a", false)
	relay.syncFrom(agent)
	peer := relay.connect("addr of a", agent.source(), false)
	relay.runFor(5*time.Second, relay.heartbeatFrom(peer))
	require.True(t, relay.leases.Granted(agent.source()))
	relay.mu.Lock()
	relay.startIncarnationLocked()
	relay.mu.Unlock()
	require.Empty(t, relay.sessions)
	peer = relay.connect("addr of a", agent.source(), false) // it reconnects at once
	relay.runFor(10*time.Second, relay.heartbeatFrom(peer))
	assert.Empty(t, relay.publishedEndSources())
	assert.Equal(t, present, relay.itemsOf(relay.source())[leasePrefix+agent.source()])
	// The lease of one that does not reconnect expires.
	relay.mu.Lock()
	relay.startIncarnationLocked()
	relay.mu.Unlock()
	relay.runFor(leaseDuration+2*tickInterval, nil)
	assert.Equal(t, []string{agent.source()}, relay.publishedEndSources())
	assert.NotContains(t, relay.members, agent.source())
	assert.Nil(t, relay.itemsOf(relay.source())[leasePrefix+agent.source()])
}

// A source with too many tombstones is continued by a new incarnation without being asked.
func TestCompactionStartsNewIncarnation(t *testing.T) {
	agent := newManualNode("a", false)
	old := agent.source()
	agent.mu.Lock()
	for i := range 3000 {
		agent.publishItemLocked(fmt.Sprint("x", i), present)
		agent.publishItemLocked(fmt.Sprint("x", i), nil)
	}
	agent.mu.Unlock()
	agent.tick()
	assert.NotEqual(t, old, agent.source())
	assert.Less(t, agent.items.OwnVersion(), uint64(10))
	assert.Contains(t, agent.members, agent.source())
	assert.NotContains(t, agent.members, old)
}

// An agent that was unreachable when its end was announced learns of it on its return, however late.
func TestEndIsPublishedAgainToReturningAgent(t *testing.T) {
	relay, other, agent := newManualNode("h", true, Peer{Addr: "addr of h"}), newManualNode("o", true), newManualNode("a", false)
	relay.tick()
	other.tick()
	relay.syncFrom(agent)
	other.syncFrom(agent)
	relay.mu.Lock()
	relay.endSourceLocked(agent.source())
	relay.mu.Unlock()
	relay.runFor(time.Second, nil)
	require.Empty(t, relay.publishedEndSources(), "another announced it, and has withdrawn that since")
	peer := relay.connect("addr of a", agent.source(), false)
	relay.runFor(tickInterval, relay.heartbeatFrom(peer))
	assert.Nil(t, relay.itemsOf(relay.source())[leasePrefix+agent.source()], "an ended source gets no lease")

	// It learns by the lease that another relay grants, which knows nothing of the end.
	otherPeer := other.connect("addr of a", agent.source(), false)
	other.runFor(tickInterval, other.heartbeatFrom(otherPeer))
	require.True(t, other.leases.Granted(agent.source()))
	relay.syncFrom(other)
	require.Equal(t, []string{agent.source()}, relay.publishedEndSources())
	other.syncFrom(relay)
	assert.NotContains(t, other.members, agent.source())
	old := agent.source()
	agent.syncFrom(relay)
	assert.NotEqual(t, old, agent.source())
	thirdPeer := relay.connect("addr of o", other.source(), true)
	relay.runFor(endRetention+time.Second, relay.heartbeatFrom(thirdPeer))
	assert.Empty(t, relay.publishedEndSources(), "an announcement is withdrawn")
	relay.syncFrom(other)
	assert.Empty(t, relay.publishedEndSources(), "and older items do not bring it back")
}

// A core member that had no quorum may not know of the leases that others grant: it expires nobody
// before it had the time to learn of them.
func TestRelayWaitsALeaseBeforeExpiringOthers(t *testing.T) {
	relay, other, agent := newManualNode("h", true), newManualNode("o", true), newManualNode("a", false)
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
	relay, dead, agent := newManualNode("h", true, Peer{}, Peer{}), newManualNode("d", true, Peer{}, Peer{}), newManualNode("a", false)
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
	relay.runFor(leaseDuration+2*tickInterval, nil)
	assert.Equal(t, []string{dead.source()}, relay.publishedEndSources())
	relay.runFor(leaseDuration+2*tickInterval, nil)
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
	agent.deliver(peer, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("h/1", memberKey, &Member{Name: "h"}, leasePrefix+leased.source(), present)}})
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
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("h/1", memberKey, &Member{Name: "h"}, leasePrefix+unreachable.source(), present)}})
	agent.runFor(time.Minute, agent.heartbeatFrom(relay))
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{leaseDelta("h/1", 2, unreachable.source(), nil)}})
	agent.runFor(leaseDuration+2*tickInterval, agent.heartbeatFrom(relay))
	require.Contains(t, agent.members, unreachable.source(), "the core may not have ended it")
	agent.deliver(relay, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{leaseDelta("h/1", 3, unreachable.source(), present)}})
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
	agent.deliver(frozen, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("h/1", memberKey, &Member{Name: "h"}, leasePrefix+unreachable.source(), present)}})
	agent.runFor(time.Minute, agent.heartbeatFrom(frozen))
	agent.deliver(frozen, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{leaseDelta("h/1", 2, unreachable.source(), nil)}})
	agent.runFor(sourceExpiry-sessionTimeout-tickInterval, agent.heartbeatFrom(frozen))
	agent.runFor(sessionTimeout+3*tickInterval, nil)
	require.Contains(t, agent.members, unreachable.source(), "the frozen relay cannot tell")
	next := agent.connect("addr of o", "o/1", true)
	agent.deliver(next, &message{IsCore: true, HasQuorum: true, Deltas: []deltasync.Delta{initialDelta("o/1", memberKey, &Member{Name: "o"}, leasePrefix+unreachable.source(), present)}})
	agent.runFor(time.Minute, agent.heartbeatFrom(next))
	assert.Contains(t, agent.members, unreachable.source())
}

// Only core members with a quorum declare themselves complete.
func TestSelfStart(t *testing.T) {
	for name, testCase := range map[string]struct {
		core, linked, newest bool
		peer                 *message
		after                time.Duration
		want                 bool
	}{
		"whole core, none complete":      {true, true, true, &message{IsCore: true, HasQuorum: true}, tickInterval, true},
		"whole core, one complete":       {true, true, true, &message{IsCore: true, Complete: true}, tickInterval, false}, // it has no quorum
		"whole core, one complete, late": {true, true, true, &message{IsCore: true, Complete: true}, selfStartDelay + 2*tickInterval, true},
		"one is missing":                 {true, true, true, nil, selfStartDelay - tickInterval, false},
		"one is missing, late":           {true, true, true, nil, selfStartDelay + 2*tickInterval, true},
		"configuration not current":      {true, true, false, &message{IsCore: true, HasQuorum: true}, time.Minute, false},
		"no quorum":                      {true, false, true, &message{IsCore: true}, time.Minute, false},
		"not a core member":              {false, false, true, &message{IsCore: true, HasQuorum: true}, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			relay := newManualNode("h", testCase.core, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
			relay.core.hasQuorum.Store(testCase.linked)
			if testCase.newest {
				relay.MarkConfigCurrent()
			}
			var peer *session
			if testCase.peer != nil {
				peer = relay.connect("addr of o", "o/1", true)
			}
			relay.runFor(testCase.after, func() {
				if peer != nil {
					relay.deliver(peer, testCase.peer)
				}
			})
			assert.Equal(t, testCase.want, relay.snapshot.Synced)
		})
	}
}

// A complete peer makes an agent synced only if the peer is a core member with a quorum, and a core
// member only if that has a quorum itself.
func TestSynced(t *testing.T) {
	for name, testCase := range map[string]struct {
		core, linked bool
		m            message
		want         bool
	}{
		"an agent":                       {false, false, message{IsCore: true, HasQuorum: true, Complete: true}, true},
		"by a relay without a quorum":    {false, false, message{IsCore: true, Complete: true}, false},
		"by an incomplete relay":         {false, false, message{IsCore: true, HasQuorum: true}, false},
		"by a peer that is no relay":     {false, false, message{HasQuorum: true, Complete: true}, false},
		"a core member":                  {true, true, message{IsCore: true, HasQuorum: true, Complete: true}, true},
		"a core member without a quorum": {true, false, message{IsCore: true, HasQuorum: true, Complete: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			agent := newManualNode("a", testCase.core, Peer{Addr: "addr of a"}, Peer{Addr: "addr of h"})
			agent.core.hasQuorum.Store(testCase.linked)
			peer := agent.connect("addr of h", "h/1", true)
			agent.deliver(peer, &testCase.m)
			agent.tick()
			assert.Equal(t, testCase.want, agent.snapshot.Synced)
		})
	}
}

// Agents try the relays in turn, those of their zone first, and seeds in between.
func TestDialTargets(t *testing.T) {
	peers := []Peer{{"h0", "far"}, {"h1", "near"}, {"h2", "far"}, {"h3", "far"}}
	node := newManualNode("a", false, peers...)
	var addrs []string
	for turn := range 16 {
		addrs = append(addrs, node.dialTargets(turn)...)
	}
	require.Len(t, addrs, 16)
	assert.Equal(t, "h1", addrs[0], "of its zone")
	attempts := map[string]int{}
	for _, addr := range addrs {
		attempts[addr]++
	}
	for _, member := range peers {
		assert.Equal(t, 3, attempts[member.Addr], "%v", addrs)
	}
	for i := range 3 {
		assert.Positive(t, attempts[fmt.Sprint("seed-", i)], "%v", addrs)
	}
	// Without any known relay they try the seeds, and the addresses of redirects.
	node = newManualNode("a", false)
	node.upstream.redirectAddrs = []string{"named", "addr of a"}
	attempts = map[string]int{}
	for turn := range 20 {
		for _, addr := range node.dialTargets(turn) {
			attempts[addr]++
		}
	}
	assert.Len(t, attempts, 4, "%v", attempts)
	assert.Zero(t, attempts["addr of a"], "not itself")
	// With a relay that has a quorum they try none, and close the other sessions.
	node = newManualNode("a", false, peers...)
	canceled := map[string]bool{}
	for _, member := range []string{"h0", "h3", "h2"} {
		peer := node.connect(member, member+"/1", true)
		peer.outbound, peer.peerHasQuorum = true, member != "h2"
		peer.cancel = func() { canceled[member] = true }
	}
	assert.Empty(t, node.dialTargets(0))
	assert.Len(t, canceled, 2)
	assert.True(t, canceled["h2"])
	// Core members dial those with a higher address, and close sessions with former members.
	node = newManualNode("c", true, Peer{Addr: "addr of a"}, Peer{Addr: "addr of c"}, Peer{Addr: "addr of d"}, Peer{Addr: "addr of e"})
	peer := node.connect("addr of d", "d/1", true)
	peer.outbound = true
	otherPeer := node.connect("addr of z", "z/1", true)
	otherPeer.outbound, otherPeer.cancel = true, func() { canceled["z"] = true }
	assert.Equal(t, []string{"addr of e"}, node.dialTargets(0))
	assert.True(t, canceled["z"])
}

// Invalid items of a source change nothing but its own state.
func TestInvalidItemsAreIgnored(t *testing.T) {
	long := strings.Repeat("x", 1<<16)
	bad := server("s", 1)
	bad.WarmUp = -time.Hour
	big := server("s", 1)
	big.Service = long
	odd := server("s", 1)
	odd.State = 77
	for name, d := range map[string]deltasync.Delta{
		"end of nobody":                initialDelta("x/1", endPrefix, present),
		"end of the configuration":     initialDelta("x/1", endPrefix+configSource, present),
		"lease of nobody":              initialDelta("x/1", leasePrefix, present),
		"lease of the configuration":   initialDelta("x/1", leasePrefix+configSource, present),
		"a member that is no member":   initialDelta("x/1", memberKey, []byte("\xc1")),
		"a huge member":                initialDelta("x/1", memberKey, &Member{Name: long}),
		"a member as a list":           initialDelta("x/1", memberKey, []int{1, 2}),
		"no server":                    initialDelta("x/1", serverPrefix+"s", []byte("\xc1\xff")),
		"a server under another's ID":  initialDelta("x/1", serverPrefix+"r", server("s", 1)),
		"a server without ID":          initialDelta("x/1", serverPrefix, server("", 1)),
		"a negative time":              initialDelta("x/1", serverPrefix+"s", bad),
		"a huge text":                  initialDelta("x/1", serverPrefix+"s", big),
		"an unknown state":             initialDelta("x/1", serverPrefix+"s", odd),
		"nil":                          initialDelta("x/1", serverPrefix+"s", []byte{0xc0}),
		"an unknown key":               initialDelta("x/1", "of-later", present),
		"config that is no config":     initialDelta(configSource, configKey, []byte("\xc1")),
		"config of another number":     initialDelta(configSource, configKey, &configItem{Seq: 1 << 60, Raw: documentOf(1 << 30)}),
		"config under another key":     initialDelta(configSource, "d", &configItem{Seq: 1, Raw: documentOf(1 << 30)}),
		"a member of the config":       initialDelta(configSource, memberKey, &Member{Name: "x"}),
		"an end by the config":         initialDelta(configSource, endPrefix+"v/1", present),
		"a server of the config":       initialDelta(configSource, serverPrefix+"s", server("s", 1)),
		"config that cannot be parsed": initialDelta(configSource, configKey, &configItem{Seq: 1, Raw: []byte("{")}),
	} {
		t.Run(name, func(t *testing.T) {
			agent := newManualNode("a", true)
			agent.tick()
			peer := agent.connect("addr of v", "v/1", true)
			agent.deliver(peer, &message{IsCore: true, Deltas: []deltasync.Delta{initialDelta("v/1", memberKey, &Member{Name: "v"}, serverPrefix+"t", server("t", 1))}})
			source, own := agent.source(), len(agent.itemsOf(agent.source()))
			agent.deliver(peer, &message{IsCore: true, Deltas: []deltasync.Delta{d}})
			agent.runFor(leaseDuration+2*tickInterval, agent.heartbeatFrom(peer))
			assert.Equal(t, source, agent.source())
			for m := range agent.members {
				assert.Contains(t, []string{source, "v/1"}, m)
			}
			assert.Len(t, agent.members, 2)
			assert.Len(t, agent.snapshot.Servers.ByID, 1)
			assert.LessOrEqual(t, len(agent.itemsOf(source)), own+3, "no more than the lease of the peer and the end of the faulty one")
			assert.Zero(t, agent.config.seq)
			// The next configuration is still applied.
			agent.ApplyConfig(9, documentOf(5))
			assert.Equal(t, uint64(9), agent.snapshot.ConfigSeq)
			assert.Equal(t, int64(5), agent.snapshot.Config.Revision)
		})
	}
}

// Whatever peers send, an agent remains a member, never regresses, and applies the next valid change.
func TestAnyMessages(t *testing.T) {
	names := rapid.SampledFrom([]string{"", configSource, "self", "x/1", "y/1", "z/1"})
	rapid.Check(t, func(t *rapid.T) {
		node := newManualNode("a", rapid.Bool().Draw(t, "core"))
		node.tick()
		peer := node.connect("addr of v", "v/1", true)
		name := func(t *rapid.T) string {
			if n := names.Draw(t, "name"); n != "self" {
				return n
			}
			return node.source()
		}
		data := func(t *rapid.T) []byte {
			switch rapid.IntRange(0, 5).Draw(t, "data") {
			case 0:
				return rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(t, "bytes")
			case 1:
				return encode(&registry.Instance{ID: "s", Service: "x", Seq: rapid.Uint64().Draw(t, "seq"), State: registry.State(rapid.Byte().Draw(t, "state")),
					Slots: rapid.Int().Draw(t, "slots"), WarmUp: time.Duration(rapid.Int64().Draw(t, "cold"))})
			case 2:
				return encode(&configItem{Seq: rapid.Uint64Range(0, 1<<20).Draw(t, "seq"), Raw: documentOf(rapid.IntRange(1, 9).Draw(t, "revision"))})
			case 3:
				return encode(&Member{Name: "m", IsCore: rapid.Bool().Draw(t, "core")})
			case 4:
				return nil
			}
			return present
		}
		seq, list := uint64(0), uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			m := &message{IsCore: rapid.Bool().Draw(t, "o"), HasQuorum: rapid.Bool().Draw(t, "l"), Complete: rapid.Bool().Draw(t, "f"), ReceivedVersion: rapid.Uint64().Draw(t, "got"),
				Redirect: make([]Peer, rapid.IntRange(0, 40).Draw(t, "redirect"))}
			if rapid.Bool().Draw(t, "hello") {
				m.Hello = &hello{Source: name(t)}
			}
			for range rapid.IntRange(0, 4).Draw(t, "deltas") {
				d := deltasync.Delta{Source: name(t), From: rapid.Uint64Range(0, 4).Draw(t, "from")}
				d.To = d.From
				for range rapid.IntRange(0, 4).Draw(t, "items") {
					d.To += rapid.Uint64Range(0, 2).Draw(t, "step")
					key := rapid.SampledFrom([]string{"", memberKey, configKey, serverPrefix + "s", leasePrefix + name(t), endPrefix + name(t)}).Draw(t, "key")
					d.Items = append(d.Items, deltasync.Item{Key: key, Version: d.To, Data: data(t)})
				}
				if rapid.IntRange(0, 9).Draw(t, "upto") == 0 {
					d.To = rapid.Uint64().Draw(t, "wrong")
				}
				m.Deltas = append(m.Deltas, d)
			}
			for range rapid.IntRange(0, 2).Draw(t, "notices") {
				m.Notices = append(m.Notices, notice{Instance: "s", AgeMs: rapid.Int().Draw(t, "age"), Hops: rapid.Int().Draw(t, "hops"), PromptTokens: rapid.Int().Draw(t, "prompt")})
			}
			node.deliver(peer, m)
			node.tick()
			require.Contains(t, node.members, node.source())
			require.GreaterOrEqual(t, node.snapshot.ConfigSeq, seq, "the configuration regressed")
			require.GreaterOrEqual(t, node.snapshot.Servers.Version, list)
			seq, list = node.snapshot.ConfigSeq, node.snapshot.Servers.Version
			require.LessOrEqual(t, len(peer.sent), 8)
			require.LessOrEqual(t, node.snapshot.Agents, 6)
			require.NotContains(t, node.members, configSource)
		}
		node.ApplyConfig(1<<40, documentOf(7))
		require.Equal(t, int64(7), node.snapshot.Config.Revision)
		otherPeer := node.connect("addr of w", "w/1", false)
		node.deliver(otherPeer, &message{Deltas: []deltasync.Delta{initialDelta("w/1", memberKey, &Member{Name: "w"}, serverPrefix+"new", server("new", 1))}})
		require.Contains(t, node.snapshot.Servers.ByID, "new")
	})
}

// The saved server list may be any bytes.
func TestRestoreOfArbitraryBytes(t *testing.T) {
	sound := server("s", 1)
	wrong := server("r", 1)
	wrong.Slots = -5
	for name, testCase := range map[string]struct {
		saved []byte
		want  int
	}{
		"nothing":        {nil, 0},
		"noise":          {[]byte("\xff\x00\x12noise"), 0},
		"another format": {encode(&savedServers{Format: savedServersFormat + 1, Servers: []*registry.Instance{sound}}), 0},
		"nil entries":    {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{nil, sound, nil, {}}}), 1},
		"twice":          {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{sound, sound}}), 1},
		"out of bounds":  {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{sound, wrong}}), 1},
		"not ready":      {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{drainingServer("d", 1)}}), 0},
		"truncated":      {encode(&savedServers{Format: savedServersFormat, Servers: []*registry.Instance{sound}})[:20], 0},
	} {
		t.Run(name, func(t *testing.T) {
			relay := New(Options{Self: Member{Name: "a"}, HeartbeatInterval: time.Second, Core: newFakeCore(false, false), OnChange: func(*Snapshot) {}, SavedServers: testCase.saved})
			assert.Len(t, relay.servers.List().ByID, testCase.want)
		})
	}
}

// Calls with invalid instances are rejected, as other agents would ignore them.
func TestInvalidCallsAreRejected(t *testing.T) {
	agent := newManualNode("a", true, Peer{Addr: "addr of a"})
	in := server("s", 1)
	in.Slots = -1
	assert.False(t, agent.Heartbeat(t.Context(), in))
	assert.False(t, agent.Heartbeat(t.Context(), server("", 1)))
	assert.False(t, agent.Deregister(t.Context(), ""))
	assert.False(t, agent.Deregister(t.Context(), strings.Repeat("x", 1<<16)))
	assert.True(t, agent.Deregister(t.Context(), "unknown"))
	assert.True(t, agent.Heartbeat(t.Context(), server("s", 1)))
}

// The changes that are retained for operators reference no large configuration.
func TestChangeLogOmitsLargeData(t *testing.T) {
	agent := newManualNode("a", false)
	raw := fmt.Appendf(nil, `{"revision":1,"routes":[],"services":[],"note":%q}`, strings.Repeat("x", 1<<20))
	for seq := range uint64(3) {
		agent.ApplyConfig(seq+1, raw)
	}
	changes, _ := agent.changeLog.Since(0)
	for _, change := range changes {
		assert.LessOrEqual(t, len(change.Item.Data), maxLoggedBytes)
	}
	assert.Equal(t, uint64(3), agent.snapshot.ConfigSeq)
}
