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
	// longEnough is how long a test watches that something does not happen.
	longEnough = 150 * time.Millisecond
	// bound is when something that has to happen has not.
	bound = 5 * time.Second
)

// members are the processes of the chain, head first, once a view of out has as many.
func (s *site) members(out *proc, n int) (members []*proc) {
	s.t.Helper()
	out.until("the chain is whole", func() bool {
		v, _ := out.m.View()
		members = nil
		for _, l := range v.Chain {
			members = append(members, s.at(l.Addr))
		}
		return len(members) == n
	})
	return members
}

// holdRepairs has no member start a proposal, or lets them again.
func holdRepairs(members []*proc, held bool) {
	for _, p := range members {
		p.m.mu.Lock()
		p.m.notBefore = time.Time{}
		if held {
			p.m.notBefore = time.Now().Add(time.Hour)
		}
		p.m.mu.Unlock()
	}
}

// agree tells whether all members are in one view with all of them in its chain, and none proposes.
func agree(members []*proc) bool {
	for _, p := range members {
		p.m.mu.Lock()
		v, busy, held := p.m.view, p.m.proposing, p.m.notBefore.After(time.Now())
		p.m.mu.Unlock()
		if busy || !held || len(v.Chain) != len(members) || v.Number != members[0].m.replica().View.Number {
			return false
		}
	}
	return true
}

// steady is a founded site of four members, head first, whose view stays as it is however busy the
// machine is.
func steady(t *testing.T) (s *site, out *proc, members []*proc) {
	t.Helper()
	s, out = founded(t, 4, 1)
	out.until("a view that all are in", func() bool {
		holdRepairs(members, false)
		members = s.members(out, 4)
		holdRepairs(members, true)
		return agree(members)
	})
	return s, out, members
}

// cutOff cuts a member of the chain off, both ways, and has the others go on without it, up to
// revision 2. The member knows neither their view nor their value.
func cutOff(t *testing.T, place int) (out, p *proc, s *site) {
	t.Helper()
	s, out, members := steady(t)
	p = members[place]
	number := p.m.replica().View.Number
	p.until("the value of this view", func() bool { return place == 0 || p.m.replica().Record.View == number })
	s.isolate(p, true, true)
	holdRepairs(members, false)
	out.until("the others go on", func() bool { v, _ := out.m.View(); return v.Place(p.m.me.ID) < 0 })
	require.Equal(t, chain.Taken, out.order(1, 2).Kind)
	r := p.m.replica()
	require.EqualValues(t, 1, r.Record.Value.Revision, "it did not learn")
	require.Equal(t, number, r.View.Number, "it did not learn")
	require.Equal(t, place, r.View.Place(p.m.me.ID))
	return out, p, s
}

// callFor is the time of one call.
func callFor(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestTailThatIsCutOffAnswersNoRead(t *testing.T) {
	t.Parallel()
	_, tail, _ := cutOff(t, 3)
	_, holds := func() (chain.Value, bool) { r := tail.m.replica(); return r.Answer() }()
	require.True(t, holds, "it would answer")
	answer, err := tail.m.onRead(callFor(t, time.Second), &none{})
	require.NoError(t, err)
	require.False(t, answer.OK, "an old value is read")
}

func TestHeadThatIsCutOffRefusesNothing(t *testing.T) {
	t.Parallel()
	_, head, _ := cutOff(t, 0)
	for name, order := range map[string]*chain.Order{"on the newest revision": orderOf(2, 3), "invalid": orderOf(1, 0)} {
		answer, err := head.m.onOrder(callFor(t, time.Second), order)
		if err == nil {
			require.Equal(t, chain.Unclear, answer.Verdict.Kind, name)
		}
	}
}

func TestHeadThatIsCutOffAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	s, _, members := steady(t)
	head := members[0]
	s.isolate(head, true, true)
	answer, err := head.m.onOrder(callFor(t, time.Second), orderOf(1, 2))
	if err == nil {
		require.Equal(t, chain.Unclear, answer.Verdict.Kind)
	}
}

// heldUntilWritten asks something of a process whose disk stalls: no answer may come, nor may the
// process show it, while the disk holds the write.
func heldUntilWritten(t *testing.T, p *proc, ask func() error, shows func() bool) {
	t.Helper()
	p.disk.stall(true)
	answered := make(chan error, 1)
	go func() { answered <- ask() }()
	p.until("the disk holds the write", func() bool { return p.disk.holds() || len(answered) > 0 })
	watch := time.NewTimer(longEnough)
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
func (s *site) restart(p *proc) {
	p.kill()
	s.start(p, false)
}

func TestVoteIsOnDiskBeforeItIsAnswered(t *testing.T) {
	t.Parallel()
	_, p, s := cutOff(t, 2)
	base, ctx := p.m.replica().View, callFor(t, patience)
	instance := base.Number + 1
	high := view.Ballot{Round: 1000, By: "a proposer"}
	vote := func() view.Vote { p.m.mu.Lock(); defer p.m.mu.Unlock(); return p.m.vote }
	promise := func(b view.Ballot) (*view.Answer, error) {
		return p.m.onPrepare(ctx, &prepareCall{To: p.m.me.ID, Q: view.Prepare{Base: base, Ballot: b}})
	}
	heldUntilWritten(t, p, func() error {
		a, err := promise(high)
		assert.True(t, err != nil || a.OK)
		return err
	}, func() bool { v := vote(); return v.Instance == instance && v.Promised == high })

	next := base.Drop(base.Tail().ID)
	heldUntilWritten(t, p, func() error {
		a, err := p.m.onAccept(ctx, &acceptCall{To: p.m.me.ID, Q: view.Accept{Base: base, Ballot: high, View: next}})
		assert.True(t, err != nil || a.OK)
		return err
	}, func() bool { return vote().Accepted != nil })

	s.restart(p)
	require.Equal(t, high, vote().Promised, "the promise outlives the process")
	require.NotNil(t, vote().Accepted)
	a, err := promise(view.Ballot{Round: 999, By: "another proposer"})
	require.NoError(t, err)
	require.False(t, a.OK)
	a, err = promise(view.Ballot{Round: 1001, By: "another proposer"})
	require.NoError(t, err)
	require.True(t, a.OK)
	require.NotNil(t, a.Accepted, "what was accepted is told")
}

func TestViewIsOnDiskBeforeItIsLearned(t *testing.T) {
	t.Parallel()
	out, p, s := cutOff(t, 2)
	next, _ := out.m.View()
	heldUntilWritten(t, p, func() error { return p.m.learn(callFor(t, patience), &next) },
		func() bool { return p.m.replica().View.Number >= next.Number })
	s.restart(p)
	require.GreaterOrEqual(t, p.m.replica().View.Number, next.Number)
}

func TestValueIsOnDiskBeforeItIsAnswered(t *testing.T) {
	t.Parallel()
	_, tail, s := cutOff(t, 3)
	r := tail.m.replica()
	value, _, _ := chain.Apply(&r.Record.Value, orderOf(1, 7), checkNumber)
	heldUntilWritten(t, tail, func() error {
		a, err := tail.m.onPush(callFor(t, patience), &pushCall{To: tail.m.me.ID, Q: chain.Push{View: r.View, Value: *value}})
		assert.True(t, err != nil || a.OK)
		return err
	}, func() bool { return tail.m.replica().Record.Value.Revision == 7 })
	s.restart(tail)
	require.EqualValues(t, 7, tail.m.replica().Record.Value.Revision)
}

// A process in which nothing ran for a while counts from its waking.
func TestFrozenProcessNotesItsWaking(t *testing.T) {
	t.Parallel()
	s, _ := founded(t, 4, 1)
	m := s.place(0).m
	m.mu.Lock() // no tick passes
	before := m.awake
	frozenFor := time.NewTimer(2 * frozen)
	<-frozenFor.C
	m.mu.Unlock()
	m.poke()
	ctx := callFor(t, bound)
	awake := func() time.Time { m.mu.Lock(); defer m.mu.Unlock(); return m.awake }
	s.until(ctx, func() bool { return awake().After(before) })
	require.True(t, awake().After(before), "it believes what it held before it was frozen")
}

// A view that is learned while a push of the one before is answered has no push of its own yet.
func TestPushOfAnOlderViewActivatesNoNewerOne(t *testing.T) {
	t.Parallel()
	s, out, members := steady(t)
	head := members[0]
	m := head.m
	next := m.replica().View
	next = next.Drop(next.Tail().ID)
	again := make(chan struct{}, 1)
	s.setTap(func(from, name string, answered bool) {
		if from != head.addr || name != "core.push" {
			return
		}
		if answered && m.replica().View.Number < next.Number {
			assert.NoError(t, m.learn(context.Background(), &next))
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
	go func() { _, _ = m.onOrder(callFor(t, bound), orderOf(1, 2)) }()
	select {
	case <-again:
	case <-callFor(t, bound).Done():
		require.Fail(t, "the newer view is taken for pushed through")
	}
	s.setTap(nil)
	s.isolate(head, false, false)
	holdRepairs(members, false)
	require.Equal(t, chain.Taken, out.order(1, 2).Kind)
}

func TestMinorityProposesNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4, 1)
	s.loss = 0 // one member is enough, so that the others would be dropped
	s.startAll(true)
	out := s.procs[4]
	require.Equal(t, chain.Taken, out.order(0, 1).Kind)
	for _, p := range s.procs[:4] {
		p.until("in touch", p.m.Linked)
	}
	s.whole(out)
	head := s.place(0)
	m := head.m
	s.isolate(head, true, true)
	head.until("it is out of touch", func() bool { return !m.Linked() })
	rounds := func() uint32 { m.mu.Lock(); defer m.mu.Unlock(); return m.rounds[m.view.Number+1] }
	before := rounds()
	ctx := callFor(t, 2*time.Second)
	s.until(ctx, func() bool { return rounds() > before })
	require.Equal(t, before, rounds(), "it proposes without a majority")
}

func TestOtherDiskIsNotAnsweredFor(t *testing.T) {
	t.Parallel()
	_, p, _ := cutOff(t, 3)
	r, ctx := p.m.replica(), callFor(t, bound)
	ballot := view.Ballot{Round: 1000, By: "a proposer"}
	promised, err := p.m.onPrepare(ctx, &prepareCall{To: "a lost disk", Q: view.Prepare{Base: r.View, Ballot: ballot}})
	require.NoError(t, err)
	require.False(t, promised.OK)
	next := r.View.Drop(r.View.Chain[0].ID)
	accepted, err := p.m.onAccept(ctx, &acceptCall{To: "a lost disk", Q: view.Accept{Base: r.View, Ballot: ballot, View: next}})
	require.NoError(t, err)
	require.False(t, accepted.OK)
	value, _, _ := chain.Apply(&r.Record.Value, orderOf(1, 7), checkNumber)
	pushed, err := p.m.onPush(ctx, &pushCall{To: "a lost disk", Q: chain.Push{View: r.View, Value: *value}})
	require.NoError(t, err)
	require.False(t, pushed.OK)
	require.EqualValues(t, 1, p.m.replica().Record.Value.Revision)
}

func TestPushOfAnOlderViewIsToldTheNewerOne(t *testing.T) {
	t.Parallel()
	out, p, _ := cutOff(t, 3)
	older := p.m.replica().View
	next, _ := out.m.View()
	ctx := callFor(t, bound)
	require.NoError(t, p.m.learn(ctx, &next))
	r := p.m.replica()
	value, _, _ := chain.Apply(&r.Record.Value, orderOf(1, 7), checkNumber)
	a, err := p.m.onPush(ctx, &pushCall{To: p.m.me.ID, Q: chain.Push{View: older, Value: *value}})
	require.NoError(t, err)
	require.False(t, a.OK)
	require.NotNil(t, a.Newer, "the sender is told")
	require.Equal(t, next.Number, a.Newer.Number)
	require.EqualValues(t, 1, p.m.replica().Record.Value.Revision)
}

func TestRestartedProcessHasNoVoteOnTheFirstView(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, 0)
	p := s.procs[0]
	s.start(p, false)
	base := seedView(s.seeds)
	ballot := view.Ballot{Round: 1, By: "a proposer"}
	a, err := p.m.onPrepare(callFor(t, bound), &prepareCall{To: p.addr, Q: view.Prepare{Base: base, Ballot: ballot}})
	require.NoError(t, err)
	require.False(t, a.OK)
	first, ok := view.First([]view.Peer{p.m.me}, view.Tolerance{Machines: s.loss})
	require.True(t, ok)
	a, err = p.m.onAccept(callFor(t, bound), &acceptCall{To: p.addr, Q: view.Accept{Base: base, Ballot: ballot, View: first}})
	require.NoError(t, err)
	require.False(t, a.OK)
}

// A view is no more confirmed once members have accepted the next one, as that may be decided.
func TestAcceptedViewEndsTheOneBefore(t *testing.T) {
	t.Parallel()
	_, _, members := steady(t) // nobody finishes what is left undecided
	base, ctx := members[0].m.replica().View, callFor(t, bound)
	next := base.Drop(base.Tail().ID)
	tail := members[3]
	require.NoError(t, tail.m.confirm(ctx, base))
	for _, p := range members[:2] {
		a, err := p.m.onAccept(ctx, &acceptCall{To: p.m.me.ID, Q: view.Accept{Base: base, Ballot: view.Ballot{Round: 1, By: "a proposer"}, View: next}})
		require.NoError(t, err)
		require.True(t, a.OK)
	}
	require.Error(t, tail.m.confirm(ctx, base))
}

func TestRefusedPushIsNoAcknowledgement(t *testing.T) {
	t.Parallel()
	_, _, members := steady(t)
	m := members[0].m
	r := m.replica()
	forged := r.View.Clone()
	forged.Chain[1].ID = "a lost disk" // its machine has another one by now, and refuses
	value, _, _ := chain.Apply(&r.Record.Value, orderOf(1, 2), checkNumber)
	require.Error(t, m.passOn(callFor(t, bound), forged, *value))
	committed, _ := m.Committed()
	require.EqualValues(t, 1, committed.Revision)
}

func TestJoinerCountsOnceItSaysThatItIsComplete(t *testing.T) {
	t.Parallel()
	_, _, members := steady(t)
	m := members[0].m
	m.mu.Lock()
	defer m.mu.Unlock()
	defer func(v view.View) { m.view = v }(m.view)
	m.view = m.view.Clone()
	m.view.Number++
	joiner := &m.view.Chain[3]
	joiner.Since = m.view.Number
	said := &m.peers[joiner.ID].said
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
	s, out := founded(t, 5, 1)
	v, _ := out.m.View()
	require.Len(t, v.Chain, 4)
	require.Equal(t, chain.Taken, out.order(1, 2).Kind)
	for _, p := range s.procs[:5] {
		newest := func() bool { c, _ := p.m.Committed(); return c.Revision == 2 }
		s.until(callFor(t, bound), newest)
		require.True(t, newest(), "place %d", v.Place(p.m.me.ID))
	}
}

// An order that reaches the head while the view changes waits for the first push of the new view,
// also where it was taken already.
func TestOrderWaitsForTheFirstPushOfTheView(t *testing.T) {
	t.Parallel()
	s, _, members := steady(t)
	m := members[0].m
	ctx := callFor(t, patience)
	require.NoError(t, m.hold(ctx))
	first := &asked{ctx: ctx, order: orderOf(0, 1), answer: make(chan orderAnswer, 1)}
	for _, w := range []*asked{first, {ctx: ctx, order: orderOf(0, 1), answer: make(chan orderAnswer, 1)}} {
		m.orders <- w // has room
	}
	members[0].until("the head has the first in hand, and waits for its disk's turn", func() bool { return len(m.orders) == 1 })
	s.isolate(members[0], true, true)
	next := m.replica().View
	next = next.Drop(next.Tail().ID)
	require.NoError(t, m.learnHeld(&next))
	m.give()
	watch := time.NewTimer(2 * longEnough)
	defer watch.Stop()
	select {
	case a := <-first.answer:
		require.NotEqual(t, chain.Taken, a.Verdict.Kind, "the chain of the view may not have the order")
	case <-watch.C:
	}
}

func TestNothingGoesBack(t *testing.T) {
	t.Parallel()
	_, p, _ := cutOff(t, 2)
	m, ctx := p.m, callFor(t, bound)
	older := m.replica().View
	newer := older.Drop(older.Tail().ID)
	require.NoError(t, m.learn(ctx, &newer))
	require.NoError(t, m.learn(ctx, &older))
	require.NoError(t, m.hold(ctx))
	require.NoError(t, m.learnHeld(&older))
	m.give()
	require.Equal(t, newer.Number, m.replica().View.Number)

	before, _ := m.Committed()
	next, _, _ := chain.Apply(&before, orderOf(before.Revision, 8), checkNumber)
	m.commit(*next)
	m.commit(before)
	committed, _ := m.Committed()
	require.EqualValues(t, 8, committed.Revision)
}

func TestMinorityIsNotLinked(t *testing.T) {
	t.Parallel()
	_, p, _ := cutOff(t, 1)
	s, linked := p.m.Status(), p.m.Linked()
	require.False(t, linked)
	require.False(t, s.Linked)
}

// A view that a member has only heard of is learned by its own ticks.
func TestHeardViewIsLearned(t *testing.T) {
	t.Parallel()
	out, p, s := cutOff(t, 2)
	next, _ := out.m.View()
	p.m.hear(&next)
	learned := func() bool { return p.m.replica().View.Number >= next.Number }
	s.until(callFor(t, bound), learned)
	require.True(t, learned())
}

// A tail that has heard of a newer view, and has not learned it yet, sends readers there.
func TestTailThatHeardOfANewerViewTellsIt(t *testing.T) {
	t.Parallel()
	out, tail, _ := cutOff(t, 3)
	ctx := callFor(t, bound)
	require.NoError(t, tail.m.hold(ctx)) // it learns nothing
	defer tail.m.give()
	next, _ := out.m.View()
	tail.m.hear(&next)
	answer, err := tail.m.onRead(ctx, &none{})
	require.NoError(t, err)
	require.False(t, answer.OK)
	require.NotNil(t, answer.Newer)
	require.Equal(t, next.Number, answer.Newer.Number)
}

// What is done within a view ends with it, also where the view was over before.
func TestPushEndsWithItsView(t *testing.T) {
	t.Parallel()
	_, p, _ := cutOff(t, 2)
	m, ctx := p.m, callFor(t, patience)
	v := m.replica().View
	during, cancel := m.within(ctx, v.Number, patience)
	defer cancel()
	require.NoError(t, during.Err())
	next := v.Drop(v.Tail().ID)
	require.NoError(t, m.learn(ctx, &next))
	select {
	case <-during.Done():
	case <-callFor(t, bound).Done():
		require.Fail(t, "it outlives the view")
	}
	after, cancelAfter := m.within(ctx, v.Number, patience)
	defer cancelAfter()
	require.ErrorIs(t, after.Err(), context.Canceled)
}
