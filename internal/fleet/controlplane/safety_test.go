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

// Each test in this file guards one safety check in the code: without that check the test fails within
// seconds.

const (
	// absenceWatch is how long a test checks that an event does not happen.
	absenceWatch = 150 * time.Millisecond
	// eventBound is how long an expected event may take.
	eventBound = 5 * time.Second
)

// chainMembers waits until a node knows a chain of the given length, and returns its nodes, head first.
func (cluster *testCluster) chainMembers(client *testNode, length int) (members []*testNode) {
	cluster.tb.Helper()
	client.waitUntil("the chain is complete", func() bool {
		current, _ := client.member.View()
		members = nil
		for _, member := range current.Chain {
			members = append(members, cluster.nodeAt(member.Addr))
		}
		return len(members) == length
	})
	return members
}

// suspendRepairs prevents the members from starting proposals until resumeRepairs is called.
func suspendRepairs(members []*testNode) { setBackoff(members, time.Now().Add(time.Hour)) }

func resumeRepairs(members []*testNode) { setBackoff(members, time.Time{}) }

func setBackoff(members []*testNode, until time.Time) {
	for _, node := range members {
		node.member.mu.Lock()
		node.member.proposer.backoffUntil = until
		node.member.mu.Unlock()
	}
}

// agreeOnFullChain reports whether all members have learned the same view, all of them are in its chain, and
// none can propose another view.
func agreeOnFullChain(members []*testNode) bool {
	number := members[0].learnedView().Number
	for _, node := range members {
		node.member.mu.Lock()
		learned, proposer := node.member.views.learned, node.member.proposer
		node.member.mu.Unlock()
		suspended := !proposer.active && proposer.backoffUntil.After(time.Now())
		if !suspended || len(learned.Chain) != len(members) || learned.Number != number {
			return false
		}
	}
	return true
}

// steadyCluster returns a bootstrapped cluster of four members, head first. Its view does not change, even
// on a busy machine, as repairs are suspended.
func steadyCluster(t *testing.T) (cluster *testCluster, client *testNode, members []*testNode) {
	t.Helper()
	cluster, client = bootstrapCluster(t, 4, 1)
	client.waitUntil("all members agree on a view", func() bool {
		resumeRepairs(members)
		members = cluster.chainMembers(client, 4)
		suspendRepairs(members)
		return agreeOnFullChain(members)
	})
	return cluster, client, members
}

// partitionedMember isolates the member at a position of the chain, both ways. The other members remove it
// from the chain and commit revision 2. The isolated member knows neither their view nor their value.
func partitionedMember(t *testing.T, position int) (client, node *testNode, cluster *testCluster) {
	t.Helper()
	cluster, client, members := steadyCluster(t)
	node = members[position]
	number := node.learnedView().Number
	node.waitUntil("its value was stored in this view", func() bool {
		return position == 0 || node.member.replica().Record.View == number
	})
	cluster.setIsolated(node, true, true)
	resumeRepairs(members)
	client.waitUntil("the others remove it from the chain", func() bool {
		current, _ := client.member.View()
		return current.Position(node.id()) < 0
	})
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(1, 2).Outcome)
	replica := node.member.replica()
	require.EqualValues(t, 1, replica.Record.Value.Revision, "the isolated member learned the others' value")
	require.Equal(t, number, replica.View.Number, "the isolated member learned the others' view")
	require.Equal(t, position, replica.View.Position(node.id()))
	return client, node, cluster
}

// contextFor returns a context that ends after limit or with the test.
func contextFor(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

func TestPartitionedTailAnswersNoRead(t *testing.T) {
	t.Parallel()
	_, tail, _ := partitionedMember(t, 3)
	replica := tail.member.replica()
	_, ok := replica.CommittedValue()
	require.True(t, ok, "the member has a value to answer with")
	answer, err := tail.member.handleRead(contextFor(t, time.Second), &empty{})
	require.NoError(t, err)
	require.False(t, answer.OK, "the partitioned tail answered with an old value")
}

func TestPartitionedHeadRejectsNothing(t *testing.T) {
	t.Parallel()
	_, head, _ := partitionedMember(t, 0)
	for name, update := range map[string]*chain.Update{
		"from the newest revision": revisionUpdate(2, 3),
		"invalid":                  revisionUpdate(1, 0),
	} {
		answer, err := head.member.handleSubmit(contextFor(t, time.Second), update)
		if err == nil {
			require.Equal(t, chain.OutcomeUnknown, answer.Result.Outcome, name)
		}
	}
}

func TestPartitionedHeadAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	cluster, _, members := steadyCluster(t)
	head := members[0]
	cluster.setIsolated(head, true, true)
	answer, err := head.member.handleSubmit(contextFor(t, time.Second), revisionUpdate(1, 2))
	if err == nil {
		require.Equal(t, chain.OutcomeUnknown, answer.Result.Outcome)
	}
}

// requireDiskWriteFirst sends a request to a node whose disk stalls. Until the write has completed, the node
// must not answer and the change must not be visible.
func requireDiskWriteFirst(t *testing.T, node *testNode, request func() error, visible func() bool) {
	t.Helper()
	node.disk.setStalled(true)
	answered := make(chan error, 1)
	go func() { answered <- request() }()
	node.waitUntil("the write stalls", func() bool { return node.disk.hasStalledWrite() || len(answered) > 0 })
	watch := time.NewTimer(absenceWatch)
	defer watch.Stop()
	select {
	case err := <-answered:
		assert.Fail(t, "answered before the write completed", "error: %v", err)
		answered <- err
	case <-watch.C:
	}
	assert.False(t, visible(), "visible before the write completed")
	node.disk.setStalled(false)
	require.NoError(t, <-answered)
	require.True(t, visible())
}

func TestVoteIsOnDiskBeforeItIsAnswered(t *testing.T) {
	t.Parallel()
	_, node, cluster := partitionedMember(t, 2)
	base, ctx := node.learnedView(), contextFor(t, waitLimit)
	number := view.ProposalNumber{Round: 1000, Proposer: "a proposer"}
	vote := func() view.AcceptorState {
		node.member.mu.Lock()
		defer node.member.mu.Unlock()
		return node.member.acceptor.state
	}
	requireDiskWriteFirst(t, node, func() error {
		answer, err := node.prepare(ctx, node.id(), base, number)
		assert.True(t, err != nil || answer.OK)
		return err
	}, func() bool { return vote().Instance == base.Number+1 && vote().Promised == number })

	next := base.RemoveMember(base.Tail().ID)
	requireDiskWriteFirst(t, node, func() error {
		answer, err := node.accept(ctx, node.id(), base, number, next)
		assert.True(t, err != nil || answer.OK)
		return err
	}, func() bool { return vote().Accepted != nil })

	cluster.restart(node)
	require.Equal(t, number, vote().Promised, "the promise survives the restart")
	require.NotNil(t, vote().Accepted)
	answer, err := node.prepare(ctx, node.id(), base, view.ProposalNumber{Round: 999, Proposer: "another proposer"})
	require.NoError(t, err)
	require.False(t, answer.OK)
	answer, err = node.prepare(ctx, node.id(), base, view.ProposalNumber{Round: 1001, Proposer: "another proposer"})
	require.NoError(t, err)
	require.True(t, answer.OK)
	require.NotNil(t, answer.Accepted, "a promise reports the accepted view")
}

func TestViewIsOnDiskBeforeItIsLearned(t *testing.T) {
	t.Parallel()
	client, node, cluster := partitionedMember(t, 2)
	next, _ := client.member.View()
	learn := func() error { return node.member.learnView(contextFor(t, waitLimit), &next) }
	learned := func() bool { return node.learnedView().Number >= next.Number }
	requireDiskWriteFirst(t, node, learn, learned)
	cluster.restart(node)
	require.True(t, learned())
}

func TestValueIsOnDiskBeforeItIsAnswered(t *testing.T) {
	t.Parallel()
	_, tail, cluster := partitionedMember(t, 3)
	value := tail.valueAfter(revisionUpdate(1, 7))
	push := func() error {
		answer, err := tail.push(contextFor(t, waitLimit), tail.id(), tail.learnedView(), value)
		assert.True(t, err != nil || answer.OK)
		return err
	}
	requireDiskWriteFirst(t, tail, push, func() bool { return tail.storedRevision() == 7 })
	cluster.restart(tail)
	require.EqualValues(t, 7, tail.storedRevision())
}

// A process that was paused sets resumedAt once it runs again.
func TestPausedProcessDetectsItsPause(t *testing.T) {
	t.Parallel()
	cluster, _ := bootstrapCluster(t, 4, 1)
	member := cluster.chainMember(0).member
	member.mu.Lock() // prevents ticks
	before := member.pauses.resumedAt
	pause := time.NewTimer(3 * pauseThreshold)
	<-pause.C
	member.mu.Unlock()
	member.wakeTicker()
	ctx := contextFor(t, eventBound)
	resumed := func() bool {
		member.mu.Lock()
		defer member.mu.Unlock()
		return member.pauses.resumedAt.After(before)
	}
	pollUntil(ctx, resumed)
	require.True(t, resumed(), "the member still relies on contacts from before the pause")
}

// A push in the former view does not activate a view that is learned before the push returns: the head has to
// push its value again in the new view.
func TestPushOfAnOlderViewActivatesNoNewerOne(t *testing.T) {
	t.Parallel()
	cluster, client, members := steadyCluster(t)
	head := members[0]
	member := head.member
	next := member.replica().View
	next = next.RemoveMember(next.Tail().ID)
	newViewPush := make(chan struct{}, 1)
	cluster.setObserveCall(func(from, name string, answered bool) {
		if from != head.addr || name != callPush {
			return
		}
		if answered && member.replica().View.Number < next.Number {
			assert.NoError(t, member.learnView(context.Background(), &next))
			cluster.setIsolated(head, true, false)
			return
		}
		if !answered && member.replica().View.Number == next.Number {
			select {
			case newViewPush <- struct{}{}:
			default:
			}
		}
	})
	go func() { _, _ = member.handleSubmit(contextFor(t, eventBound), revisionUpdate(1, 2)) }()
	select {
	case <-newViewPush:
	case <-contextFor(t, eventBound).Done():
		require.Fail(t, "the newer view was activated without a push")
	}
	cluster.setObserveCall(nil)
	cluster.setIsolated(head, false, false)
	resumeRepairs(members)
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(1, 2).Outcome)
}

func TestMinorityProposesNothing(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 4, 1)
	cluster.tolerance.Machines = 0 // one member suffices, so the isolated one would remove the others
	cluster.startAll(true)
	client := cluster.nodes[4]
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(0, 1).Outcome)
	for _, node := range cluster.nodes[:4] {
		node.waitUntil("in contact with a majority", node.member.HasQuorum)
	}
	cluster.awaitFullChain(client)
	head := cluster.chainMember(0)
	member := head.member
	cluster.setIsolated(head, true, true)
	head.waitUntil("it has lost its quorum", func() bool { return !member.HasQuorum() })
	rounds := func() uint32 {
		member.mu.Lock()
		defer member.mu.Unlock()
		return member.proposer.rounds[member.views.learned.Number+1]
	}
	before := rounds()
	ctx := contextFor(t, 2*time.Second)
	pollUntil(ctx, func() bool { return rounds() > before })
	require.Equal(t, before, rounds(), "the member proposed a view without a quorum")
}

func TestRequestForAnotherDiskIsRejected(t *testing.T) {
	t.Parallel()
	const lostDisk = "a lost disk"
	_, node, _ := partitionedMember(t, 3)
	base, ctx := node.learnedView(), contextFor(t, eventBound)
	number := view.ProposalNumber{Round: 1000, Proposer: "a proposer"}
	promised, err := node.prepare(ctx, lostDisk, base, number)
	require.NoError(t, err)
	require.False(t, promised.OK)
	accepted, err := node.accept(ctx, lostDisk, base, number, base.RemoveMember(base.Chain[0].ID))
	require.NoError(t, err)
	require.False(t, accepted.OK)
	pushed, err := node.push(ctx, lostDisk, base, node.valueAfter(revisionUpdate(1, 7)))
	require.NoError(t, err)
	require.False(t, pushed.OK)
	require.EqualValues(t, 1, node.storedRevision())
}

func TestPushOfAnOlderViewIsAnsweredWithTheNewerOne(t *testing.T) {
	t.Parallel()
	client, node, _ := partitionedMember(t, 3)
	older := node.learnedView()
	next, _ := client.member.View()
	ctx := contextFor(t, eventBound)
	require.NoError(t, node.member.learnView(ctx, &next))
	answer, err := node.push(ctx, node.id(), older, node.valueAfter(revisionUpdate(1, 7)))
	require.NoError(t, err)
	require.False(t, answer.OK)
	require.NotNil(t, answer.Newer, "the answer includes the newer view")
	require.Equal(t, next.Number, answer.Newer.Number)
	require.EqualValues(t, 1, node.storedRevision())
}

func TestRestartedProcessHasNoVoteOnFirstView(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, 0)
	node := cluster.nodes[0]
	cluster.start(node, false)
	base, ctx := bootstrapBase(cluster.seeds), contextFor(t, eventBound)
	number := view.ProposalNumber{Round: 1, Proposer: "a proposer"}
	answer, err := node.prepare(ctx, node.addr, base, number)
	require.NoError(t, err)
	require.False(t, answer.OK)
	first, ok := view.InitialView([]view.Peer{node.member.self}, cluster.tolerance)
	require.True(t, ok)
	answer, err = node.accept(ctx, node.addr, base, number, first)
	require.NoError(t, err)
	require.False(t, answer.OK)
}

// A view can no longer be confirmed once members have accepted the next one, as that may be decided.
func TestAcceptedViewEndsTheOneBefore(t *testing.T) {
	t.Parallel()
	_, _, members := steadyCluster(t) // no member finishes the undecided proposal
	base, ctx := members[0].learnedView(), contextFor(t, eventBound)
	next := base.RemoveMember(base.Tail().ID)
	tail := members[3]
	require.NoError(t, tail.member.confirmView(ctx, base))
	for _, node := range members[:2] {
		answer, err := node.accept(ctx, node.id(), base, view.ProposalNumber{Round: 1, Proposer: "a proposer"}, next)
		require.NoError(t, err)
		require.True(t, answer.OK)
	}
	require.Error(t, tail.member.confirmView(ctx, base))
}

func TestRejectedPushIsNoAcknowledgement(t *testing.T) {
	t.Parallel()
	_, _, members := steadyCluster(t)
	head := members[0]
	forged := head.learnedView().Clone()
	forged.Chain[1].ID = "a lost disk" // the machine has another disk now, so it rejects the push
	value := head.valueAfter(revisionUpdate(1, 2))
	require.Error(t, head.member.replicate(contextFor(t, eventBound), forged, *value))
	require.True(t, head.hasRevision(1))
}

func TestJoinerCountsOnceItReportsComplete(t *testing.T) {
	t.Parallel()
	_, _, members := steadyCluster(t)
	member := members[0].member
	member.mu.Lock()
	defer member.mu.Unlock()
	original := member.views.learned
	defer func() { member.views.learned = original }()
	member.views.learned = original.Clone()
	member.views.learned.Number++
	joiner := &member.views.learned.Chain[3]
	joiner.JoinedIn = member.views.learned.Number
	received := &member.peers.byID[joiner.ID].lastHeartbeat
	for _, test := range []struct {
		name     string
		view     uint64
		complete bool
		want     bool
	}{
		{"complete in its first view", joiner.JoinedIn, true, true},
		{"not complete", joiner.JoinedIn, false, false},
		{"complete in an older view", joiner.JoinedIn - 1, true, false},
	} {
		received.View, received.Complete = test.view, test.complete
		require.Equal(t, test.want, member.healthLocked(time.Now())[joiner.ID].Complete, test.name)
	}
}

func TestMemberOutsideTheChainCatchesUp(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 5, 1)
	current, _ := client.member.View()
	require.Len(t, current.Chain, 4)
	require.Equal(t, chain.OutcomeCommitted, client.submitRevision(1, 2).Outcome)
	for _, node := range cluster.nodes[:5] {
		newest := func() bool { return node.hasRevision(2) }
		pollUntil(contextFor(t, eventBound), newest)
		require.True(t, newest(), "position %d", current.Position(node.id()))
	}
}

// An update that reaches the head while the view changes waits for the first push in the new view, even if
// the update was committed before.
func TestSubmissionWaitsForActivationOfTheView(t *testing.T) {
	t.Parallel()
	cluster, _, members := steadyCluster(t)
	member := members[0].member
	ctx := contextFor(t, waitLimit)
	require.NoError(t, member.acquireWrite(ctx))
	var queued [2]*submission
	for i := range queued {
		queued[i] = &submission{callerContext: ctx, update: revisionUpdate(0, 1), response: make(chan submitResponse, 1)}
		member.submissions <- queued[i] // has capacity
	}
	members[0].waitUntil("the head executes the first update and waits for the write token", func() bool {
		return len(member.submissions) == 1
	})
	cluster.setIsolated(members[0], true, true)
	current := members[0].learnedView()
	next := current.RemoveMember(current.Tail().ID)
	require.NoError(t, member.persistView(&next))
	member.releaseWrite()
	watch := time.NewTimer(2 * absenceWatch)
	defer watch.Stop()
	select {
	case answer := <-queued[0].response:
		require.NotEqual(t, chain.OutcomeCommitted, answer.Result.Outcome, "the chain of the view may not have the update")
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
	require.Equal(t, newer.Number, node.learnedView().Number)

	before, _ := member.Committed()
	next, _, _ := chain.Apply(&before, revisionUpdate(before.Revision, 8), applyNumber)
	member.advanceCommitted(*next)
	member.advanceCommitted(before)
	require.True(t, node.hasRevision(8))
}

func TestMinorityHasNoQuorum(t *testing.T) {
	t.Parallel()
	_, node, _ := partitionedMember(t, 1)
	require.False(t, node.member.HasQuorum())
	require.False(t, node.member.Status().HasQuorum)
}

// A member's ticks learn a view that it has only observed.
func TestObservedViewIsLearned(t *testing.T) {
	t.Parallel()
	client, node, _ := partitionedMember(t, 2)
	next, _ := client.member.View()
	node.member.observeView(&next)
	learned := func() bool { return node.learnedView().Number >= next.Number }
	pollUntil(contextFor(t, eventBound), learned)
	require.True(t, learned())
}

// A tail that has observed a newer view but not learned it yet answers reads with that view.
func TestTailAnswersWithObservedNewerView(t *testing.T) {
	t.Parallel()
	client, tail, _ := partitionedMember(t, 3)
	ctx := contextFor(t, eventBound)
	require.NoError(t, tail.member.acquireWrite(ctx)) // prevents the tail from learning views
	defer tail.member.releaseWrite()
	next, _ := client.member.View()
	tail.member.observeView(&next)
	answer, err := tail.member.handleRead(ctx, &empty{})
	require.NoError(t, err)
	require.False(t, answer.OK)
	require.NotNil(t, answer.Newer)
	require.Equal(t, next.Number, answer.Newer.Number)
}

// The context of a push ends when its view is superseded, and at once if it was superseded before.
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
		require.Fail(t, "the context outlives the view")
	}
	after, cancelAfter := member.withinView(ctx, v.Number, waitLimit)
	defer cancelAfter()
	require.ErrorIs(t, after.Err(), context.Canceled)
}
