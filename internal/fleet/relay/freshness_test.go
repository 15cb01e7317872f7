package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// confirmCore is the core as confirmations see it.
type confirmCore struct {
	seq uint64
	err error
	// during, if set, is called while a confirmation is under way.
	during func()
}

func (c *confirmCore) confirm(context.Context) (uint64, error) {
	if c.during != nil {
		c.during()
	}
	return c.seq, c.err
}

// newFreshNode returns a node that does not run and tracks freshness.
func newFreshNode(name string, member bool, core *confirmCore) *manualNode {
	node := newManualNode(name, member, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	node.options.ConfirmConfig = core.confirm
	node.freshness.enabled = true
	return node
}

// update returns the message that a node would send now on a session, after its encoding.
func (n *manualNode) update(to *session) *message {
	out := &sender{node: n.Node, session: to, heartbeatDue: true}
	update, _, _ := out.nextUpdate()
	return update
}

// age is how old the newest confirmed configuration of a node may be; negative: none is confirmed.
func (n *manualNode) age() time.Duration {
	asOf := n.ConfigFreshAsOf()
	if asOf.IsZero() {
		return -1
	}
	return time.Since(asOf)
}

// pair is a relay and an agent with a session between them.
type pair struct {
	core             *confirmCore
	relay, agent     *manualNode
	atRelay, atAgent *session
}

func newPair() *pair {
	p := &pair{core: &confirmCore{}}
	p.relay, p.agent = newFreshNode("h", true, p.core), newFreshNode("a", false, &confirmCore{})
	p.atRelay = p.relay.connect("addr of a", "a/1", false)
	p.atAgent = p.agent.connect("addr of h", "h/1", true)
	p.atAgent.outbound = true
	return p
}

// ask has the agent's question reach the relay.
func (p *pair) ask() { p.relay.deliver(p.atRelay, p.agent.update(p.atAgent)) }

// answer has the relay's next message reach the agent.
func (p *pair) answer() { p.agent.deliver(p.atAgent, p.relay.update(p.atRelay)) }

// The time that an answer proves is that of the question, however long the answer takes.
func TestFreshnessCountsFromTheQuestion(t *testing.T) {
	p := newPair()
	p.answer()
	require.Negative(t, p.agent.age(), "nothing was asked")
	p.ask()
	p.answer()
	require.Negative(t, p.agent.age(), "nothing was confirmed")
	p.agent.advanceClock(2 * time.Second)
	require.True(t, p.relay.confirm(context.Background()))
	p.agent.advanceClock(time.Second)
	p.answer()
	assert.InDelta(t, 3, p.agent.age().Seconds(), 0.5)
	p.ask()
	p.answer()
	assert.InDelta(t, 3, p.agent.age().Seconds(), 0.5, "the new question is not confirmed yet")
	require.True(t, p.relay.confirm(context.Background()))
	p.answer()
	assert.Less(t, p.agent.age(), time.Second)
}

// A confirmation answers only the questions that came before it began: a change may be acknowledged
// while it is under way.
func TestConfirmationAnswersEarlierQuestions(t *testing.T) {
	p := newPair()
	p.core.during = p.ask
	require.True(t, p.relay.confirm(context.Background()))
	p.answer()
	require.Negative(t, p.agent.age())
	p.core.during = nil
	require.True(t, p.relay.confirm(context.Background()))
	p.answer()
	require.GreaterOrEqual(t, p.agent.age(), time.Duration(0))
}

// A relay that is cut off from the core, or has not the newest configuration, gives no fresher answer,
// and its own requests end as well.
func TestRelayThatIsCutOff(t *testing.T) {
	p := newPair()
	p.ask()
	require.True(t, p.relay.confirm(context.Background()))
	p.answer()
	p.core.err = errors.New("no majority")
	for range 5 {
		p.agent.advanceClock(time.Second)
		p.relay.advanceClock(time.Second)
		p.ask()
		require.False(t, p.relay.confirm(context.Background()))
		p.answer()
	}
	assert.InDelta(t, 5, p.agent.age().Seconds(), 0.5)
	assert.InDelta(t, 5, p.relay.age().Seconds(), 0.5)

	p.core.err, p.core.seq = nil, 7
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.ask()
	require.False(t, p.relay.confirm(ctx), "configuration 7 has not come yet")
	p.answer()
	assert.Greater(t, p.agent.age(), 4*time.Second)
	p.relay.ApplyConfig(7, documentOf(7))
	require.True(t, p.relay.confirm(context.Background()))
	p.answer()
	assert.Less(t, p.agent.age(), 2*time.Second)
	assert.EqualValues(t, 7, p.agent.config.seq, "it came with the answer")
}

// An answer holds only with the configuration that it names.
func TestAnswerWithoutItsConfiguration(t *testing.T) {
	p := newPair()
	question := p.agent.update(p.atAgent).FreshnessQuestion
	require.Positive(t, question)
	p.agent.deliver(p.atAgent, &message{IsCore: true, HasQuorum: true, FreshnessAnswer: question, FreshnessSeq: 3})
	require.Negative(t, p.agent.age())
	p.agent.deliver(p.atAgent, &message{IsCore: true, HasQuorum: true, FreshnessAnswer: question + 60_000})
	require.Negative(t, p.agent.age(), "a time to come was never asked at")
	p.agent.ApplyConfig(3, documentOf(3))
	p.agent.deliver(p.atAgent, &message{IsCore: true, HasQuorum: true, FreshnessAnswer: question, FreshnessSeq: 3})
	require.GreaterOrEqual(t, p.agent.age(), time.Duration(0))
}

// Where nothing needs it, no message has a question or an answer.
func TestFreshnessIsOff(t *testing.T) {
	relay, agent := newManualNode("h", true, Peer{Addr: "addr of h"}), newManualNode("a", false, Peer{Addr: "addr of h"})
	atAgent, atRelay := agent.connect("addr of h", "h/1", true), relay.connect("addr of a", "a/1", false)
	update := agent.update(atAgent)
	assert.Zero(t, update.FreshnessQuestion)
	relay.deliver(atRelay, &message{FreshnessQuestion: 5})
	assert.Zero(t, relay.update(atRelay).FreshnessAnswer)
}

// Over real sessions all agents' configurations are confirmed again and again, and no longer once their
// relays are cut off from the core.
func TestFreshnessOverSessions(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 3)
	for _, agent := range cluster.all() {
		agent.confirm = func(ctx context.Context) (uint64, error) {
			if !agent.HasQuorum() {
				return 0, errors.New("no majority")
			}
			return 0, nil
		}
	}
	cluster.start().awaitSynced(6)
	fresh := func(agent *testAgent) bool { return time.Since(agent.node.ConfigFreshAsOf()) < time.Second }
	cluster.eventually("fresh", fresh)
	for _, relay := range cluster.coreMembers {
		relay.hasQuorum.Store(false)
	}
	cluster.eventually("not fresh", func(agent *testAgent) bool { return time.Since(agent.node.ConfigFreshAsOf()) > 2*time.Second })
	for _, relay := range cluster.coreMembers {
		relay.hasQuorum.Store(true)
	}
	cluster.eventually("fresh again", fresh)
}

// A confirmation that gets no answer holds up no later one, and no more than maxConfirmations are in
// progress.
func TestConfirmationsOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inProgress, most, begun atomic.Int32
		relay := newFreshNode("h", true, &confirmCore{})
		relay.options.ConfirmConfig = func(ctx context.Context) (uint64, error) {
			begun.Add(1)
			most.Store(max(most.Load(), inProgress.Add(1)))
			defer inProgress.Add(-1)
			<-ctx.Done()
			return 0, ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*confirmTimeout)
		defer cancel()
		relay.confirmLoop(ctx)
		require.EqualValues(t, maxConfirmations, most.Load())
		require.Greater(t, begun.Load(), int32(2*10), "more than one began in a confirmTimeout")
		require.Zero(t, inProgress.Load())
	})
}
