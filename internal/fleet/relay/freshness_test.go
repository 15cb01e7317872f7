package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// confirmCore provides the results of Options.ConfirmConfig.
type confirmCore struct {
	seq uint64
	err error
	// during, unless nil, is called during each confirmation.
	during func()
}

func (c *confirmCore) confirm(context.Context) (uint64, error) {
	if c.during != nil {
		c.during()
	}
	return c.seq, c.err
}

// newFreshNode returns a manual node that tracks freshness.
func newFreshNode(name string, member bool, core *confirmCore) *manualNode {
	node := newManualNode(name, member, Peer{Addr: "addr of h"}, Peer{Addr: "addr of o"})
	node.options.ConfirmConfig = core.confirm
	node.options.AwaitsConfirmation = true
	node.freshness.enabled = true
	return node
}

// update returns the message that a node would send now on a session.
func (n *manualNode) update(to *session) *message {
	out := &sender{node: n.Node, session: to, heartbeatDue: true}
	update, _, _ := out.nextUpdate()
	return update
}

// age returns how long ago the node's configuration was known to be the newest, or -1 if it has never been
// confirmed.
func (n *manualNode) age() time.Duration {
	asOf := n.ConfigFreshAsOf()
	if asOf.IsZero() {
		return -1
	}
	return n.options.Now().Sub(asOf)
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

// ask delivers a message with the agent's question to the relay.
func (p *pair) ask() { p.relay.deliver(p.atRelay, p.agent.update(p.atAgent)) }

// answer delivers the relay's next message to the agent.
func (p *pair) answer() { p.agent.deliver(p.atAgent, p.relay.update(p.atRelay)) }

// An answer proves freshness as of the time of the question, however long the answer takes.
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

// A confirmation answers only the questions that arrived before it began, as a change may be acknowledged
// while it is in progress.
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

// A relay that is partitioned from the core, or lacks the newest configuration, gives no newer answer. Its own
// configuration is not confirmed either.
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
	require.False(t, p.relay.confirm(ctx), "configuration 7 has not arrived yet")
	p.answer()
	assert.Greater(t, p.agent.age(), 4*time.Second)
	p.relay.ApplyConfig(7, documentOf(7))
	require.True(t, p.relay.confirm(context.Background()))
	p.answer()
	assert.Less(t, p.agent.age(), 2*time.Second)
	assert.EqualValues(t, 7, p.agent.config.seq, "the configuration arrived with the answer")
}

// An answer does not count before the agent has the configuration that it names.
func TestAnswerWithoutItsConfiguration(t *testing.T) {
	p := newPair()
	question := p.agent.update(p.atAgent).FreshnessQuestion
	require.Positive(t, question)
	p.agent.deliver(p.atAgent, &message{IsCore: true, HasQuorum: true, FreshnessAnswer: question, FreshnessSeq: 3})
	require.Negative(t, p.agent.age())
	p.agent.deliver(p.atAgent, &message{IsCore: true, HasQuorum: true, FreshnessAnswer: question + 60_000})
	require.Negative(t, p.agent.age(), "no question was sent at a future time")
	p.agent.ApplyConfig(3, documentOf(3))
	p.agent.deliver(p.atAgent, &message{IsCore: true, HasQuorum: true, FreshnessAnswer: question, FreshnessSeq: 3})
	require.GreaterOrEqual(t, p.agent.age(), time.Duration(0))
}

// If freshness is disabled, messages contain neither questions nor answers.
func TestFreshnessIsOff(t *testing.T) {
	relay, agent := newManualNode("h", true, Peer{Addr: "addr of h"}), newManualNode("a", false, Peer{Addr: "addr of h"})
	atAgent, atRelay := agent.connect("addr of h", "h/1", true), relay.connect("addr of a", "a/1", false)
	update := agent.update(atAgent)
	assert.Zero(t, update.FreshnessQuestion)
	relay.deliver(atRelay, &message{FreshnessQuestion: 5})
	assert.Zero(t, relay.update(atRelay).FreshnessAnswer)
}

// Over real sessions all agents' configurations are confirmed repeatedly, and no longer once their relays have
// lost their quorum.
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
	isFresh := func(agent *testAgent) bool { return time.Since(agent.node.ConfigFreshAsOf()) < time.Second }
	cluster.eventually("has a fresh configuration", isFresh)
	for _, relay := range cluster.coreMembers {
		relay.hasQuorum.Store(false)
	}
	cluster.eventually("no longer has a fresh configuration", func(agent *testAgent) bool { return time.Since(agent.node.ConfigFreshAsOf()) > 2*time.Second })
	for _, relay := range cluster.coreMembers {
		relay.hasQuorum.Store(true)
	}
	cluster.eventually("has a fresh configuration again", isFresh)
}

// A confirmation without an answer does not delay later ones, and at most maxConfirmations are in progress.
func TestConfirmationsOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inProgress, maxInProgress, started atomic.Int32
		relay := newFreshNode("h", true, &confirmCore{})
		relay.options.ConfirmConfig = func(ctx context.Context) (uint64, error) {
			started.Add(1)
			maxInProgress.Store(max(maxInProgress.Load(), inProgress.Add(1)))
			defer inProgress.Add(-1)
			<-ctx.Done()
			return 0, ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*confirmTimeout)
		defer cancel()
		relay.confirmLoop(ctx)
		require.EqualValues(t, maxConfirmations, maxInProgress.Load())
		require.Greater(t, started.Load(), int32(2*10), "on average more than two began in each confirmTimeout")
		require.Zero(t, inProgress.Load())
	})
}

// If requests do not wait for confirmations, neither failures nor the first questions of agents begin one early: the
// core must not have more work when it is overloaded or all agents come back.
func TestConfirmationsKeepTheirInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval, rounds = 750 * time.Millisecond, 20
		var started atomic.Int32
		p := newPair()
		p.relay.options.AwaitsConfirmation, p.relay.options.ConfirmInterval = false, interval
		p.relay.options.ConfirmConfig = func(context.Context) (uint64, error) {
			started.Add(1)
			return 0, errors.New("no majority")
		}
		ctx, cancel := context.WithTimeout(t.Context(), rounds*interval-interval/2)
		defer cancel()
		var wg sync.WaitGroup
		wg.Go(func() {
			for ctx.Err() == nil {
				p.ask()
				time.Sleep(10 * time.Millisecond)
			}
		})
		p.relay.confirmLoop(ctx)
		wg.Wait()
		require.EqualValues(t, rounds, started.Load())
	})
}

// At the longest interval between confirmations an agent's configuration stays recent enough.
func TestFreshnessAtALongInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval, transit, maxAge = 750 * time.Millisecond, 100 * time.Millisecond, 1750 * time.Millisecond
		p := newPair()
		p.relay.options.AwaitsConfirmation, p.relay.options.ConfirmInterval = false, interval
		p.core.during = func() { time.Sleep(transit) }
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var wg sync.WaitGroup
		wg.Go(func() { p.relay.confirmLoop(ctx) })
		oldest := time.Duration(0)
		for ctx.Err() == nil {
			p.ask()
			time.Sleep(heartbeatInterval)
			p.answer()
			if p.relay.now() > clockStart+2*interval {
				require.GreaterOrEqual(t, p.agent.age(), time.Duration(0))
				oldest = max(oldest, p.agent.age()+heartbeatInterval)
			}
		}
		wg.Wait()
		require.Less(t, oldest, maxAge)
	})
}
