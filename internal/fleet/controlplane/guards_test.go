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
func (cluster *testCluster) chainMembers(client *testNode, n int) (members []*testNode) {
	cluster.tb.Helper()
	client.waitUntil("the chain is whole", func() bool {
		v, _ := client.member.View()
		members = nil
		for _, l := range v.Chain {
			members = append(members, cluster.nodeAt(l.Addr))
		}
		return len(members) == n
	})
	return members
}

// suspendRepairs has no member start a proposal, or lets them again.
func suspendRepairs(members []*testNode, held bool) {
	for _, node := range members {
		node.member.mu.Lock()
		node.member.proposer.backoffUntil = time.Time{}
		if held {
			node.member.proposer.backoffUntil = time.Now().Add(time.Hour)
		}
		node.member.mu.Unlock()
	}
}

// agreeOnFullChain tells whether all members are in one view with all of them in its chain, and none proposes.
func agreeOnFullChain(members []*testNode) bool {
	for _, node := range members {
		node.member.mu.Lock()
		v, busy, held := node.member.views.learned, node.member.proposer.active, node.member.proposer.backoffUntil.After(time.Now())
		node.member.mu.Unlock()
		if busy || !held || len(v.Chain) != len(members) || v.Number != members[0].member.replica().View.Number {
			return false
		}
	}
	return true
}

// steadyCluster is a founded site of four members, head first, whose view stays as it is however busy the
// machine is.
func steadyCluster(t *testing.T) (cluster *testCluster, client *testNode, members []*testNode) {
	t.Helper()
	cluster, client = bootstrapped(t, 4, 1)
	client.waitUntil("a view that all are in", func() bool {
		suspendRepairs(members, false)
		members = cluster.chainMembers(client, 4)
		suspendRepairs(members, true)
		return agreeOnFullChain(members)
	})
	return cluster, client, members
}

// partitionedMember cuts a member of the chain off, both ways, and has the others go on without it, up to
// revision 2. The member knows neither their view nor their value.
func partitionedMember(t *testing.T, place int) (client, node *testNode, cluster *testCluster) {
	t.Helper()
	cluster, client, members := steadyCluster(t)
	node = members[place]
	number := node.member.replica().View.Number
	node.waitUntil("the value of this view", func() bool { return place == 0 || node.member.replica().Record.View == number })
	cluster.isolate(node, true, true)
	suspendRepairs(members, false)
	client.waitUntil("the others go on", func() bool { v, _ := client.member.View(); return v.Position(node.member.self.ID) < 0 })
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(1, 2).Kind)
	replica := node.member.replica()
	require.EqualValues(t, 1, replica.Record.Value.Revision, "it did not learn")
	require.Equal(t, number, replica.View.Number, "it did not learn")
	require.Equal(t, place, replica.View.Position(node.member.self.ID))
	return client, node, cluster
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
	_, holds := func() (chain.Value, bool) { replica := tail.member.replica(); return replica.CommittedValue() }()
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
	cluster, _, members := steadyCluster(t)
	head := members[0]
	cluster.isolate(head, true, true)
	answer, err := head.member.handleSubmit(contextFor(t, time.Second), revisionUpdate(1, 2))
	if err == nil {
		require.Equal(t, chain.OutcomeUnknown, answer.Verdict.Kind)
	}
}

// requireDiskWriteFirst asks something of a process whose disk stalls: no answer may come, nor may the
// process show it, while the disk holds the write.
func requireDiskWriteFirst(t *testing.T, node *testNode, ask func() error, shows func() bool) {
	t.Helper()
	node.disk.stall(true)
	answered := make(chan error, 1)
	go func() { answered <- ask() }()
	node.waitUntil("the disk holds the write", func() bool { return node.disk.hasBlockedWrite() || len(answered) > 0 })
	watch := time.NewTimer(absenceWatch)
	defer watch.Stop()
	select {
	case err := <-answered:
		assert.Fail(t, "answered before it is on disk", "error: %v", err)
		answered <- err
	case <-watch.C:
	}
	assert.False(t, shows(), "shown before it is on disk")
	node.disk.stall(false)
	require.NoError(t, <-answered)
	require.True(t, shows())
}

// restart ends a process and starts it again with what is on its disk.
func (cluster *testCluster) restart(node *testNode) {
	node.kill()
	cluster.start(node, false)
}

func TestVoteIsOnDiskBeforeItIsAnswered(t *testing.T) {
	t.Parallel()
	_, node, cluster := partitionedMember(t, 2)
	base, ctx := node.member.replica().View, contextFor(t, waitLimit)
	instance := base.Number + 1
	high := view.ProposalNumber{Round: 1000, By: "a proposer"}
	vote := func() view.AcceptorState {
		node.member.mu.Lock()
		defer node.member.mu.Unlock()
		return node.member.acceptor.vote
	}
	promise := func(b view.ProposalNumber) (*view.Response, error) {
		return node.member.handlePrepare(ctx, &prepareRequest{To: node.member.self.ID, Q: view.PrepareRequest{Base: base, Ballot: b}})
	}
	requireDiskWriteFirst(t, node, func() error {
		answer, err := promise(high)
		assert.True(t, err != nil || answer.OK)
		return err
	}, func() bool { v := vote(); return v.Instance == instance && v.Promised == high })

	next := base.RemoveMember(base.Tail().ID)
	requireDiskWriteFirst(t, node, func() error {
		answer, err := node.member.handleAccept(ctx, &acceptRequest{To: node.member.self.ID, Q: view.AcceptRequest{Base: base, Ballot: high, View: next}})
		assert.True(t, err != nil || answer.OK)
		return err
	}, func() bool { return vote().Accepted != nil })

	cluster.restart(node)
	require.Equal(t, high, vote().Promised, "the promise outlives the process")
	require.NotNil(t, vote().Accepted)
	answer, err := promise(view.ProposalNumber{Round: 999, By: "another proposer"})
	require.NoError(t, err)
	require.False(t, answer.OK)
	answer, err = promise(view.ProposalNumber{Round: 1001, By: "another proposer"})
	require.NoError(t, err)
	require.True(t, answer.OK)
	require.NotNil(t, answer.Accepted, "what was accepted is told")
}

func TestViewIsOnDiskBeforeItIsLearned(t *testing.T) {
	t.Parallel()
	client, node, cluster := partitionedMember(t, 2)
	next, _ := client.member.View()
	requireDiskWriteFirst(t, node, func() error { return node.member.learnView(contextFor(t, waitLimit), &next) },
		func() bool { return node.member.replica().View.Number >= next.Number })
	cluster.restart(node)
	require.GreaterOrEqual(t, node.member.replica().View.Number, next.Number)
}

func TestValueIsOnDiskBeforeItIsAnswered(t *testing.T) {
	t.Parallel()
	_, tail, cluster := partitionedMember(t, 3)
	replica := tail.member.replica()
	value, _, _ := chain.Apply(&replica.Record.Value, revisionUpdate(1, 7), applyNumber)
	requireDiskWriteFirst(t, tail, func() error {
		answer, err := tail.member.handlePush(contextFor(t, waitLimit), &pushRequest{To: tail.member.self.ID, Q: chain.Push{View: replica.View, Value: *value}})
		assert.True(t, err != nil || answer.OK)
		return err
	}, func() bool { return tail.member.replica().Record.Value.Revision == 7 })
	cluster.restart(tail)
	require.EqualValues(t, 7, tail.member.replica().Record.Value.Revision)
}

// A process in which nothing ran for a while counts from its waking.
func TestPausedProcessDetectsItsPause(t *testing.T) {
	t.Parallel()
	cluster, _ := bootstrapped(t, 4, 1)
	member := cluster.chainMember(0).member
	member.mu.Lock() // no tick passes
	before := member.pauses.resumedAt
	frozenFor := time.NewTimer(3 * pauseThreshold)
	<-frozenFor.C
	member.mu.Unlock()
	member.wakeTicker()
	ctx := contextFor(t, eventBound)
	awake := func() time.Time { member.mu.Lock(); defer member.mu.Unlock(); return member.pauses.resumedAt }
	cluster.waitUntil(ctx, func() bool { return awake().After(before) })
	require.True(t, awake().After(before), "it believes what it held before it was frozen")
}

// A view that is learned while a push of the one before is answered has no push of its own yet.
func TestPushOfAnOlderViewActivatesNoNewerOne(t *testing.T) {
	t.Parallel()
	cluster, client, members := steadyCluster(t)
	head := members[0]
	member := head.member
	next := member.replica().View
	next = next.RemoveMember(next.Tail().ID)
	again := make(chan struct{}, 1)
	cluster.setObserveCall(func(from, name string, answered bool) {
		if from != head.addr || name != "core.push" {
			return
		}
		if answered && member.replica().View.Number < next.Number {
			assert.NoError(t, member.learnView(context.Background(), &next))
			cluster.isolate(head, true, false)
			return
		}
		if !answered && member.replica().View.Number == next.Number {
			select {
			case again <- struct{}{}:
			default:
			}
		}
	})
	go func() { _, _ = member.handleSubmit(contextFor(t, eventBound), revisionUpdate(1, 2)) }()
	select {
	case <-again:
	case <-contextFor(t, eventBound).Done():
		require.Fail(t, "the newer view is taken for pushed through")
	}
	cluster.setObserveCall(nil)
	cluster.isolate(head, false, false)
	suspendRepairs(members, false)
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(1, 2).Kind)
}

func TestMinorityProposesNothing(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 4, 1)
	cluster.machineLosses = 0 // one member is enough, so that the others would be dropped
	cluster.startAll(true)
	client := cluster.nodes[4]
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(0, 1).Kind)
	for _, node := range cluster.nodes[:4] {
		node.waitUntil("in touch", node.member.HasQuorum)
	}
	cluster.awaitFullChain(client)
	head := cluster.chainMember(0)
	member := head.member
	cluster.isolate(head, true, true)
	head.waitUntil("it is out of touch", func() bool { return !member.HasQuorum() })
	rounds := func() uint32 {
		member.mu.Lock()
		defer member.mu.Unlock()
		return member.proposer.rounds[member.views.learned.Number+1]
	}
	before := rounds()
	ctx := contextFor(t, 2*time.Second)
	cluster.waitUntil(ctx, func() bool { return rounds() > before })
	require.Equal(t, before, rounds(), "it proposes without a majority")
}

func TestRequestForAnotherDiskIsRejected(t *testing.T) {
	t.Parallel()
	_, node, _ := partitionedMember(t, 3)
	replica, ctx := node.member.replica(), contextFor(t, eventBound)
	ballot := view.ProposalNumber{Round: 1000, By: "a proposer"}
	promised, err := node.member.handlePrepare(ctx, &prepareRequest{To: "a lost disk", Q: view.PrepareRequest{Base: replica.View, Ballot: ballot}})
	require.NoError(t, err)
	require.False(t, promised.OK)
	next := replica.View.RemoveMember(replica.View.Chain[0].ID)
	accepted, err := node.member.handleAccept(ctx, &acceptRequest{To: "a lost disk", Q: view.AcceptRequest{Base: replica.View, Ballot: ballot, View: next}})
	require.NoError(t, err)
	require.False(t, accepted.OK)
	value, _, _ := chain.Apply(&replica.Record.Value, revisionUpdate(1, 7), applyNumber)
	pushed, err := node.member.handlePush(ctx, &pushRequest{To: "a lost disk", Q: chain.Push{View: replica.View, Value: *value}})
	require.NoError(t, err)
	require.False(t, pushed.OK)
	require.EqualValues(t, 1, node.member.replica().Record.Value.Revision)
}

func TestPushOfAnOlderViewIsAnsweredWithTheNewerOne(t *testing.T) {
	t.Parallel()
	client, node, _ := partitionedMember(t, 3)
	older := node.member.replica().View
	next, _ := client.member.View()
	ctx := contextFor(t, eventBound)
	require.NoError(t, node.member.learnView(ctx, &next))
	replica := node.member.replica()
	value, _, _ := chain.Apply(&replica.Record.Value, revisionUpdate(1, 7), applyNumber)
	answer, err := node.member.handlePush(ctx, &pushRequest{To: node.member.self.ID, Q: chain.Push{View: older, Value: *value}})
	require.NoError(t, err)
	require.False(t, answer.OK)
	require.NotNil(t, answer.Newer, "the sender is told")
	require.Equal(t, next.Number, answer.Newer.Number)
	require.EqualValues(t, 1, node.member.replica().Record.Value.Revision)
}

func TestRestartedProcessHasNoVoteOnFirstView(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 0)
	node := cluster.nodes[0]
	cluster.start(node, false)
	base := bootstrapBase(cluster.seeds)
	ballot := view.ProposalNumber{Round: 1, By: "a proposer"}
	answer, err := node.member.handlePrepare(contextFor(t, eventBound), &prepareRequest{To: node.addr, Q: view.PrepareRequest{Base: base, Ballot: ballot}})
	require.NoError(t, err)
	require.False(t, answer.OK)
	first, ok := view.InitialView([]view.Peer{node.member.self}, view.Tolerance{Machines: cluster.machineLosses})
	require.True(t, ok)
	answer, err = node.member.handleAccept(contextFor(t, eventBound), &acceptRequest{To: node.addr, Q: view.AcceptRequest{Base: base, Ballot: ballot, View: first}})
	require.NoError(t, err)
	require.False(t, answer.OK)
}

// A view is no more confirmed once members have accepted the next one, as that may be decided.
func TestAcceptedViewEndsTheOneBefore(t *testing.T) {
	t.Parallel()
	_, _, members := steadyCluster(t) // nobody finishes what is left undecided
	base, ctx := members[0].member.replica().View, contextFor(t, eventBound)
	next := base.RemoveMember(base.Tail().ID)
	tail := members[3]
	require.NoError(t, tail.member.confirmView(ctx, base))
	for _, node := range members[:2] {
		answer, err := node.member.handleAccept(ctx, &acceptRequest{To: node.member.self.ID, Q: view.AcceptRequest{Base: base, Ballot: view.ProposalNumber{Round: 1, By: "a proposer"}, View: next}})
		require.NoError(t, err)
		require.True(t, answer.OK)
	}
	require.Error(t, tail.member.confirmView(ctx, base))
}

func TestRejectedPushIsNoAcknowledgement(t *testing.T) {
	t.Parallel()
	_, _, members := steadyCluster(t)
	member := members[0].member
	replica := member.replica()
	forged := replica.View.Clone()
	forged.Chain[1].ID = "a lost disk" // its machine has another one by now, and refuses
	value, _, _ := chain.Apply(&replica.Record.Value, revisionUpdate(1, 2), applyNumber)
	require.Error(t, member.replicate(contextFor(t, eventBound), forged, *value))
	committed, _ := member.Committed()
	require.EqualValues(t, 1, committed.Revision)
}

func TestJoinerCountsOnceItReportsComplete(t *testing.T) {
	t.Parallel()
	_, _, members := steadyCluster(t)
	member := members[0].member
	member.mu.Lock()
	defer member.mu.Unlock()
	defer func(v view.View) { member.views.learned = v }(member.views.learned)
	member.views.learned = member.views.learned.Clone()
	member.views.learned.Number++
	joiner := &member.views.learned.Chain[3]
	joiner.Since = member.views.learned.Number
	said := &member.peers.byID[joiner.ID].lastHeartbeat
	for _, c := range []struct {
		view     uint64
		complete bool
		want     bool
	}{{joiner.Since, true, true}, {joiner.Since, false, false}, {joiner.Since - 1, true, false}} {
		said.View, said.Complete = c.view, c.complete
		require.Equal(t, c.want, member.healthLocked(time.Now())[joiner.ID].Complete)
	}
}

func TestMemberOutsideTheChainCatchesUp(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapped(t, 5, 1)
	v, _ := client.member.View()
	require.Len(t, v.Chain, 4)
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(1, 2).Kind)
	for _, node := range cluster.nodes[:5] {
		newest := func() bool { c, _ := node.member.Committed(); return c.Revision == 2 }
		cluster.waitUntil(contextFor(t, eventBound), newest)
		require.True(t, newest(), "place %d", v.Position(node.member.self.ID))
	}
}

// An order that reaches the head while the view changes waits for the first push of the new view,
// also where it was taken already.
func TestSubmissionWaitsForActivationOfTheView(t *testing.T) {
	t.Parallel()
	cluster, _, members := steadyCluster(t)
	member := members[0].member
	ctx := contextFor(t, waitLimit)
	require.NoError(t, member.acquireWrite(ctx))
	first := &submission{callerContext: ctx, order: revisionUpdate(0, 1), response: make(chan submitResponse, 1)}
	for _, w := range []*submission{first, {callerContext: ctx, order: revisionUpdate(0, 1), response: make(chan submitResponse, 1)}} {
		member.submissions <- w // has room
	}
	members[0].waitUntil("the head has the first in hand, and waits for its disk's turn", func() bool { return len(member.submissions) == 1 })
	cluster.isolate(members[0], true, true)
	next := member.replica().View
	next = next.RemoveMember(next.Tail().ID)
	require.NoError(t, member.persistView(&next))
	member.releaseWrite()
	watch := time.NewTimer(2 * absenceWatch)
	defer watch.Stop()
	select {
	case answer := <-first.response:
		require.NotEqual(t, chain.OutcomeCommitted, answer.Verdict.Kind, "the chain of the view may not have the order")
	case <-watch.C:
	}
}

func TestViewAndCommittedValueNeverRegress(t *testing.T) {
	t.Parallel()
	_, node, _ := partitionedMember(t, 2)
	member, ctx := node.member, contextFor(t, eventBound)
	older := member.replica().View
	newer := older.RemoveMember(older.Tail().ID)
	require.NoError(t, member.learnView(ctx, &newer))
	require.NoError(t, member.learnView(ctx, &older))
	require.NoError(t, member.acquireWrite(ctx))
	require.NoError(t, member.persistView(&older))
	member.releaseWrite()
	require.Equal(t, newer.Number, member.replica().View.Number)

	before, _ := member.Committed()
	next, _, _ := chain.Apply(&before, revisionUpdate(before.Revision, 8), applyNumber)
	member.advanceCommitted(*next)
	member.advanceCommitted(before)
	committed, _ := member.Committed()
	require.EqualValues(t, 8, committed.Revision)
}

func TestMinorityHasNoQuorum(t *testing.T) {
	t.Parallel()
	_, node, _ := partitionedMember(t, 1)
	cluster, linked := node.member.Status(), node.member.HasQuorum()
	require.False(t, linked)
	require.False(t, cluster.Linked)
}

// A view that a member has only heard of is learned by its own ticks.
func TestObservedViewIsLearned(t *testing.T) {
	t.Parallel()
	client, node, cluster := partitionedMember(t, 2)
	next, _ := client.member.View()
	node.member.observeView(&next)
	learned := func() bool { return node.member.replica().View.Number >= next.Number }
	cluster.waitUntil(contextFor(t, eventBound), learned)
	require.True(t, learned())
}

// A tail that has heard of a newer view, and has not learned it yet, sends readers there.
func TestTailAnswersWithObservedNewerView(t *testing.T) {
	t.Parallel()
	client, tail, _ := partitionedMember(t, 3)
	ctx := contextFor(t, eventBound)
	require.NoError(t, tail.member.acquireWrite(ctx)) // it learns nothing
	defer tail.member.releaseWrite()
	next, _ := client.member.View()
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
	_, node, _ := partitionedMember(t, 2)
	member, ctx := node.member, contextFor(t, waitLimit)
	v := member.replica().View
	during, cancel := member.withinView(ctx, v.Number, waitLimit)
	defer cancel()
	require.NoError(t, during.Err())
	next := v.RemoveMember(v.Tail().ID)
	require.NoError(t, member.learnView(ctx, &next))
	select {
	case <-during.Done():
	case <-contextFor(t, eventBound).Done():
		require.Fail(t, "it outlives the view")
	}
	after, cancelAfter := member.withinView(ctx, v.Number, waitLimit)
	defer cancelAfter()
	require.ErrorIs(t, after.Err(), context.Canceled)
}
