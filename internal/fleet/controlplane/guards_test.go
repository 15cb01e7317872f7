package controlplane

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// The tests of this file each hold one guard of the code to its word: taken out, the test fails
// within seconds.

const (
	// absenceWatch is how long a test watches that something does not happen.
	absenceWatch = 150 * time.Millisecond
	// eventBound is when something that has to happen has not.
	eventBound = 5 * time.Second
)

// chainMembers are the processes of the chain, head first, once a view of out has as many.
func (s *testCluster) chainMembers(out *testNode, n int) (members []*testNode) {
	s.tb.Helper()
	out.waitUntil("the chain is whole", func() bool {
		v, _ := out.member.View()
		members = nil
		for _, l := range v.Chain {
			members = append(members, s.nodeAt(l.Addr))
		}
		return len(members) == n
	})
	return members
}

// suspendRepairs has no member start a proposal, or lets them again.
func suspendRepairs(members []*testNode, held bool) {
	for _, p := range members {
		p.member.mu.Lock()
		p.member.proposer.backoffUntil = time.Time{}
		if held {
			p.member.proposer.backoffUntil = time.Now().Add(time.Hour)
		}
		p.member.mu.Unlock()
	}
}

// agreeOnFullChain tells whether all members are in one view with all of them in its chain, and none proposes.
func agreeOnFullChain(members []*testNode) bool {
	for _, p := range members {
		p.member.mu.Lock()
		v, busy, held := p.member.views.learned, p.member.proposer.active, p.member.proposer.backoffUntil.After(time.Now())
		p.member.mu.Unlock()
		if busy || !held || len(v.Chain) != len(members) || v.Number != members[0].member.replica().View.Number {
			return false
		}
	}
	return true
}

// steadyCluster is a founded site of four members, head first, whose view stays as it is however busy the
// machine is.
func steadyCluster(t *testing.T) (s *testCluster, out *testNode, members []*testNode) {
	t.Helper()
	s, out = bootstrapped(t, 4, 1)
	out.waitUntil("a view that all are in", func() bool {
		suspendRepairs(members, false)
		members = s.chainMembers(out, 4)
		suspendRepairs(members, true)
		return agreeOnFullChain(members)
	})
	return s, out, members
}

// partitionedMember cuts a member of the chain off, both ways, and has the others go on without it, up to
// revision 2. The member knows neither their view nor their value.
func partitionedMember(t *testing.T, place int) (out, p *testNode, s *testCluster) {
	t.Helper()
	s, out, members := steadyCluster(t)
	p = members[place]
	number := p.member.replica().View.Number
	p.waitUntil("the value of this view", func() bool { return place == 0 || p.member.replica().Record.View == number })
	s.isolate(p, true, true)
	suspendRepairs(members, false)
	out.waitUntil("the others go on", func() bool { v, _ := out.member.View(); return v.Position(p.member.self.ID) < 0 })
	require.Equal(t, chain.OutcomeCommitted, out.submitRevision(1, 2).Kind)
	r := p.member.replica()
	require.EqualValues(t, 1, r.Record.Value.Revision, "it did not learn")
	require.Equal(t, number, r.View.Number, "it did not learn")
	require.Equal(t, place, r.View.Position(p.member.self.ID))
	return out, p, s
}

// contextFor is the time of one call.
func contextFor(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestPartitionedTailAnswersNoRead(t *testing.T) {
	t.Parallel()
	_, tail, _ := partitionedMember(t, 3)
	_, holds := func() (chain.Value, bool) { r := tail.member.replica(); return r.CommittedValue() }()
	require.True(t, holds, "it would answer")
	answer, err := tail.member.handleRead(contextFor(t, time.Second), &empty{})
	require.NoError(t, err)
	require.False(t, answer.OK, "an old value is read")
}

func TestPartitionedHeadRejectsNothing(t *testing.T) {
	t.Parallel()
	_, head, _ := partitionedMember(t, 0)
	for name, order := range map[string]*chain.Update{"on the newest revision": revisionUpdate(2, 3), "invalid": revisionUpdate(1, 0)} {
		answer, err := head.member.handleSubmit(contextFor(t, time.Second), order)
		if err == nil {
			require.Equal(t, chain.OutcomeUnknown, answer.Verdict.Kind, name)
		}
	}
}

func TestPartitionedHeadAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	s, _, members := steadyCluster(t)
	head := members[0]
	s.isolate(head, true, true)
	answer, err := head.member.handleSubmit(contextFor(t, time.Second), revisionUpdate(1, 2))
	if err == nil {
		require.Equal(t, chain.OutcomeUnknown, answer.Verdict.Kind)
	}
}

// requireDiskWriteFirst asks something of a process whose disk stalls: no answer may come, nor may the
// process show it, while the disk holds the write.
func requireDiskWriteFirst(t *testing.T, p *testNode, ask func() error, shows func() bool) {
	t.Helper()
	p.disk.stall(true)
	answered := make(chan error, 1)
	go func() { answered <- ask() }()
	p.waitUntil("the disk holds the write", func() bool { return p.disk.hasBlockedWrite() || len(answered) > 0 })
	watch := time.NewTimer(absenceWatch)
	defer watch.Stop()
	select {
	case err := <-answered:
		assert.Fail(t, "answered before it is on disk", "error: %v", err)
		answered <- err
	case <-watch.C:
	}
	assert.False(t, shows(), "shown before it is on disk")
	p.disk.stall(false)
	require.NoError(t, <-answered)
	require.True(t, shows())
}

// restart ends a process and starts it again with what is on its disk.
func (s *testCluster) restart(p *testNode) {
	p.kill()
	s.start(p, false)
}

func TestVoteIsOnDiskBeforeItIsAnswered(t *testing.T) {
	t.Parallel()
	_, p, s := partitionedMember(t, 2)
	base, ctx := p.member.replica().View, contextFor(t, waitLimit)
	instance := base.Number + 1
	high := view.ProposalNumber{Round: 1000, By: "a proposer"}
	vote := func() view.AcceptorState {
		p.member.mu.Lock()
		defer p.member.mu.Unlock()
		return p.member.acceptor.vote
	}
	promise := func(b view.ProposalNumber) (*view.Response, error) {
		return p.member.handlePrepare(ctx, &prepareRequest{To: p.member.self.ID, Q: view.PrepareRequest{Base: base, Ballot: b}})
	}
	requireDiskWriteFirst(t, p, func() error {
		a, err := promise(high)
		assert.True(t, err != nil || a.OK)
		return err
	}, func() bool { v := vote(); return v.Instance == instance && v.Promised == high })

	next := base.RemoveMember(base.Tail().ID)
	requireDiskWriteFirst(t, p, func() error {
		a, err := p.member.handleAccept(ctx, &acceptRequest{To: p.member.self.ID, Q: view.AcceptRequest{Base: base, Ballot: high, View: next}})
		assert.True(t, err != nil || a.OK)
		return err
	}, func() bool { return vote().Accepted != nil })

	s.restart(p)
	require.Equal(t, high, vote().Promised, "the promise outlives the process")
	require.NotNil(t, vote().Accepted)
	a, err := promise(view.ProposalNumber{Round: 999, By: "another proposer"})
	require.NoError(t, err)
	require.False(t, a.OK)
	a, err = promise(view.ProposalNumber{Round: 1001, By: "another proposer"})
	require.NoError(t, err)
	require.True(t, a.OK)
	require.NotNil(t, a.Accepted, "what was accepted is told")
}

func TestViewIsOnDiskBeforeItIsLearned(t *testing.T) {
	t.Parallel()
	out, p, s := partitionedMember(t, 2)
	next, _ := out.member.View()
	requireDiskWriteFirst(t, p, func() error { return p.member.learnView(contextFor(t, waitLimit), &next) },
		func() bool { return p.member.replica().View.Number >= next.Number })
	s.restart(p)
	require.GreaterOrEqual(t, p.member.replica().View.Number, next.Number)
}

func TestValueIsOnDiskBeforeItIsAnswered(t *testing.T) {
	t.Parallel()
	_, tail, s := partitionedMember(t, 3)
	r := tail.member.replica()
	value, _, _ := chain.Apply(&r.Record.Value, revisionUpdate(1, 7), applyNumber)
	requireDiskWriteFirst(t, tail, func() error {
		a, err := tail.member.handlePush(contextFor(t, waitLimit), &pushRequest{To: tail.member.self.ID, Q: chain.Push{View: r.View, Value: *value}})
		assert.True(t, err != nil || a.OK)
		return err
	}, func() bool { return tail.member.replica().Record.Value.Revision == 7 })
	s.restart(tail)
	require.EqualValues(t, 7, tail.member.replica().Record.Value.Revision)
}

// A process in which nothing ran for a while counts from its waking.
func TestPausedProcessDetectsItsPause(t *testing.T) {
	t.Parallel()
	s, _ := bootstrapped(t, 4, 1)
	m := s.chainMember(0).member
	m.mu.Lock() // no tick passes
	before := m.pauses.resumedAt
	frozenFor := time.NewTimer(3 * pauseThreshold)
	<-frozenFor.C
	m.mu.Unlock()
	m.wakeTicker()
	ctx := contextFor(t, eventBound)
	awake := func() time.Time { m.mu.Lock(); defer m.mu.Unlock(); return m.pauses.resumedAt }
	s.waitUntil(ctx, func() bool { return awake().After(before) })
	require.True(t, awake().After(before), "it believes what it held before it was frozen")
}

// A view that is learned while a push of the one before is answered has no push of its own yet.
func TestPushOfAnOlderViewActivatesNoNewerOne(t *testing.T) {
	t.Parallel()
	s, out, members := steadyCluster(t)
	head := members[0]
	m := head.member
	next := m.replica().View
	next = next.RemoveMember(next.Tail().ID)
	again := make(chan struct{}, 1)
	s.setObserveCall(func(from, name string, answered bool) {
		if from != head.addr || name != "core.push" {
			return
		}
		if answered && m.replica().View.Number < next.Number {
			assert.NoError(t, m.learnView(context.Background(), &next))
			s.isolate(head, true, false)
			return
		}
		if !answered && m.replica().View.Number == next.Number {
			select {
			case again <- struct{}{}:
			default:
			}
		}
	})
	go func() { _, _ = m.handleSubmit(contextFor(t, eventBound), revisionUpdate(1, 2)) }()
	select {
	case <-again:
	case <-contextFor(t, eventBound).Done():
		require.Fail(t, "the newer view is taken for pushed through")
	}
	s.setObserveCall(nil)
	s.isolate(head, false, false)
	suspendRepairs(members, false)
	require.Equal(t, chain.OutcomeCommitted, out.submitRevision(1, 2).Kind)
}

func TestMinorityProposesNothing(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 4, 1)
	s.machineLosses = 0 // one member is enough, so that the others would be dropped
	s.startAll(true)
	out := s.nodes[4]
	require.Equal(t, chain.OutcomeCommitted, out.submitRevision(0, 1).Kind)
	for _, p := range s.nodes[:4] {
		p.waitUntil("in touch", p.member.HasQuorum)
	}
	s.awaitFullChain(out)
	head := s.chainMember(0)
	m := head.member
	s.isolate(head, true, true)
	head.waitUntil("it is out of touch", func() bool { return !m.HasQuorum() })
	rounds := func() uint32 { m.mu.Lock(); defer m.mu.Unlock(); return m.proposer.rounds[m.views.learned.Number+1] }
	before := rounds()
	ctx := contextFor(t, 2*time.Second)
	s.waitUntil(ctx, func() bool { return rounds() > before })
	require.Equal(t, before, rounds(), "it proposes without a majority")
}

func TestRequestForAnotherDiskIsRejected(t *testing.T) {
	t.Parallel()
	_, p, _ := partitionedMember(t, 3)
	r, ctx := p.member.replica(), contextFor(t, eventBound)
	ballot := view.ProposalNumber{Round: 1000, By: "a proposer"}
	promised, err := p.member.handlePrepare(ctx, &prepareRequest{To: "a lost disk", Q: view.PrepareRequest{Base: r.View, Ballot: ballot}})
	require.NoError(t, err)
	require.False(t, promised.OK)
	next := r.View.RemoveMember(r.View.Chain[0].ID)
	accepted, err := p.member.handleAccept(ctx, &acceptRequest{To: "a lost disk", Q: view.AcceptRequest{Base: r.View, Ballot: ballot, View: next}})
	require.NoError(t, err)
	require.False(t, accepted.OK)
	value, _, _ := chain.Apply(&r.Record.Value, revisionUpdate(1, 7), applyNumber)
	pushed, err := p.member.handlePush(ctx, &pushRequest{To: "a lost disk", Q: chain.Push{View: r.View, Value: *value}})
	require.NoError(t, err)
	require.False(t, pushed.OK)
	require.EqualValues(t, 1, p.member.replica().Record.Value.Revision)
}

func TestPushOfAnOlderViewIsAnsweredWithTheNewerOne(t *testing.T) {
	t.Parallel()
	out, p, _ := partitionedMember(t, 3)
	older := p.member.replica().View
	next, _ := out.member.View()
	ctx := contextFor(t, eventBound)
	require.NoError(t, p.member.learnView(ctx, &next))
	r := p.member.replica()
	value, _, _ := chain.Apply(&r.Record.Value, revisionUpdate(1, 7), applyNumber)
	a, err := p.member.handlePush(ctx, &pushRequest{To: p.member.self.ID, Q: chain.Push{View: older, Value: *value}})
	require.NoError(t, err)
	require.False(t, a.OK)
	require.NotNil(t, a.Newer, "the sender is told")
	require.Equal(t, next.Number, a.Newer.Number)
	require.EqualValues(t, 1, p.member.replica().Record.Value.Revision)
}

func TestRestartedProcessHasNoVoteOnFirstView(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t, 3, 0)
	p := s.nodes[0]
	s.start(p, false)
	base := bootstrapBase(s.seeds)
	ballot := view.ProposalNumber{Round: 1, By: "a proposer"}
	a, err := p.member.handlePrepare(contextFor(t, eventBound), &prepareRequest{To: p.addr, Q: view.PrepareRequest{Base: base, Ballot: ballot}})
	require.NoError(t, err)
	require.False(t, a.OK)
	first, ok := view.InitialView([]view.Peer{p.member.self}, view.Tolerance{Machines: s.machineLosses})
	require.True(t, ok)
	a, err = p.member.handleAccept(contextFor(t, eventBound), &acceptRequest{To: p.addr, Q: view.AcceptRequest{Base: base, Ballot: ballot, View: first}})
	require.NoError(t, err)
	require.False(t, a.OK)
}

// A view is no more confirmed once members have accepted the next one, as that may be decided.
func TestAcceptedViewEndsTheOneBefore(t *testing.T) {
	t.Parallel()
	_, _, members := steadyCluster(t) // nobody finishes what is left undecided
	base, ctx := members[0].member.replica().View, contextFor(t, eventBound)
	next := base.RemoveMember(base.Tail().ID)
	tail := members[3]
	require.NoError(t, tail.member.confirmView(ctx, base))
	for _, p := range members[:2] {
		a, err := p.member.handleAccept(ctx, &acceptRequest{To: p.member.self.ID, Q: view.AcceptRequest{Base: base, Ballot: view.ProposalNumber{Round: 1, By: "a proposer"}, View: next}})
		require.NoError(t, err)
		require.True(t, a.OK)
	}
	require.Error(t, tail.member.confirmView(ctx, base))
}

func TestRejectedPushIsNoAcknowledgement(t *testing.T) {
	t.Parallel()
	_, _, members := steadyCluster(t)
	m := members[0].member
	r := m.replica()
	forged := r.View.Clone()
	forged.Chain[1].ID = "a lost disk" // its machine has another one by now, and refuses
	value, _, _ := chain.Apply(&r.Record.Value, revisionUpdate(1, 2), applyNumber)
	require.Error(t, m.replicate(contextFor(t, eventBound), forged, *value))
	committed, _ := m.Committed()
	require.EqualValues(t, 1, committed.Revision)
}

func TestJoinerCountsOnceItReportsComplete(t *testing.T) {
	t.Parallel()
	_, _, members := steadyCluster(t)
	m := members[0].member
	m.mu.Lock()
	defer m.mu.Unlock()
	defer func(v view.View) { m.views.learned = v }(m.views.learned)
	m.views.learned = m.views.learned.Clone()
	m.views.learned.Number++
	joiner := &m.views.learned.Chain[3]
	joiner.Since = m.views.learned.Number
	said := &m.peers.byID[joiner.ID].lastHeartbeat
	for _, c := range []struct {
		view     uint64
		complete bool
		want     bool
	}{{joiner.Since, true, true}, {joiner.Since, false, false}, {joiner.Since - 1, true, false}} {
		said.View, said.Complete = c.view, c.complete
		require.Equal(t, c.want, m.healthLocked(time.Now())[joiner.ID].Complete)
	}
}

func TestMemberOutsideTheChainCatchesUp(t *testing.T) {
	t.Parallel()
	s, out := bootstrapped(t, 5, 1)
	v, _ := out.member.View()
	require.Len(t, v.Chain, 4)
	require.Equal(t, chain.OutcomeCommitted, out.submitRevision(1, 2).Kind)
	for _, p := range s.nodes[:5] {
		newest := func() bool { c, _ := p.member.Committed(); return c.Revision == 2 }
		s.waitUntil(contextFor(t, eventBound), newest)
		require.True(t, newest(), "place %d", v.Position(p.member.self.ID))
	}
}

// An order that reaches the head while the view changes waits for the first push of the new view,
// also where it was taken already.
func TestSubmissionWaitsForActivationOfTheView(t *testing.T) {
	t.Parallel()
	s, _, members := steadyCluster(t)
	m := members[0].member
	ctx := contextFor(t, waitLimit)
	require.NoError(t, m.acquireWrite(ctx))
	first := &submission{callerContext: ctx, order: revisionUpdate(0, 1), response: make(chan submitResponse, 1)}
	for _, w := range []*submission{first, {callerContext: ctx, order: revisionUpdate(0, 1), response: make(chan submitResponse, 1)}} {
		m.submissions <- w // has room
	}
	members[0].waitUntil("the head has the first in hand, and waits for its disk's turn", func() bool { return len(m.submissions) == 1 })
	s.isolate(members[0], true, true)
	next := m.replica().View
	next = next.RemoveMember(next.Tail().ID)
	require.NoError(t, m.persistView(&next))
	m.releaseWrite()
	watch := time.NewTimer(2 * absenceWatch)
	defer watch.Stop()
	select {
	case a := <-first.response:
		require.NotEqual(t, chain.OutcomeCommitted, a.Verdict.Kind, "the chain of the view may not have the order")
	case <-watch.C:
	}
}

func TestViewAndCommittedValueNeverRegress(t *testing.T) {
	t.Parallel()
	_, p, _ := partitionedMember(t, 2)
	m, ctx := p.member, contextFor(t, eventBound)
	older := m.replica().View
	newer := older.RemoveMember(older.Tail().ID)
	require.NoError(t, m.learnView(ctx, &newer))
	require.NoError(t, m.learnView(ctx, &older))
	require.NoError(t, m.acquireWrite(ctx))
	require.NoError(t, m.persistView(&older))
	m.releaseWrite()
	require.Equal(t, newer.Number, m.replica().View.Number)

	before, _ := m.Committed()
	next, _, _ := chain.Apply(&before, revisionUpdate(before.Revision, 8), applyNumber)
	m.advanceCommitted(*next)
	m.advanceCommitted(before)
	committed, _ := m.Committed()
	require.EqualValues(t, 8, committed.Revision)
}

func TestMinorityHasNoQuorum(t *testing.T) {
	t.Parallel()
	_, p, _ := partitionedMember(t, 1)
	s, linked := p.member.Status(), p.member.HasQuorum()
	require.False(t, linked)
	require.False(t, s.Linked)
}

// A view that a member has only heard of is learned by its own ticks.
func TestObservedViewIsLearned(t *testing.T) {
	t.Parallel()
	out, p, s := partitionedMember(t, 2)
	next, _ := out.member.View()
	p.member.observeView(&next)
	learned := func() bool { return p.member.replica().View.Number >= next.Number }
	s.waitUntil(contextFor(t, eventBound), learned)
	require.True(t, learned())
}

// A tail that has heard of a newer view, and has not learned it yet, sends readers there.
func TestTailAnswersWithObservedNewerView(t *testing.T) {
	t.Parallel()
	out, tail, _ := partitionedMember(t, 3)
	ctx := contextFor(t, eventBound)
	require.NoError(t, tail.member.acquireWrite(ctx)) // it learns nothing
	defer tail.member.releaseWrite()
	next, _ := out.member.View()
	tail.member.observeView(&next)
	answer, err := tail.member.handleRead(ctx, &empty{})
	require.NoError(t, err)
	require.False(t, answer.OK)
	require.NotNil(t, answer.Newer)
	require.Equal(t, next.Number, answer.Newer.Number)
}

// What is done within a view ends with it, also where the view was over before.
func TestPushEndsWithItsView(t *testing.T) {
	t.Parallel()
	_, p, _ := partitionedMember(t, 2)
	m, ctx := p.member, contextFor(t, waitLimit)
	v := m.replica().View
	during, cancel := m.withinView(ctx, v.Number, waitLimit)
	defer cancel()
	require.NoError(t, during.Err())
	next := v.RemoveMember(v.Tail().ID)
	require.NoError(t, m.learnView(ctx, &next))
	select {
	case <-during.Done():
	case <-contextFor(t, eventBound).Done():
		require.Fail(t, "it outlives the view")
	}
	after, cancelAfter := m.withinView(ctx, v.Number, waitLimit)
	defer cancelAfter()
	require.ErrorIs(t, after.Err(), context.Canceled)
}
