package singleton

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// register is what the chain keeps: one record that is changed by compare-and-set.
type register struct {
	version uint64
	record  Record
}

func (r *register) compareAndSet(w Write) bool {
	if w.ExpectedVersion != r.version {
		return false
	}
	r.version, r.record = r.version+1, w.Record
	return true
}

// mustCommit makes a write and has its candidate know.
func mustCommit(t *testing.T, r *register, c *Candidate, now time.Duration, w Write) {
	t.Helper()
	require.True(t, r.compareAndSet(w))
	require.NoError(t, r.record.Validate())
	c.Observe(now, r.version, r.record)
}

const start = time.Minute

func TestCandidateClaimsAndRenews(t *testing.T) {
	r, now := &register{}, start
	a, b := New("a", DefaultTiming), New("b", DefaultTiming)
	for _, c := range []*Candidate{a, b} {
		_, due := c.NextWrite(now, 0)
		assert.False(t, due, "nothing is known yet")
		c.Observe(now, 0, r.record)
	}
	w, due := a.NextWrite(now, 0)
	require.True(t, due)
	_, due = b.NextWrite(now, 1)
	assert.False(t, due, "the second one leaves the first some time")
	mustCommit(t, r, a, now, w)
	n, holds := a.HoldsLease(now)
	assert.True(t, holds)
	assert.EqualValues(t, 1, n)
	w, due = b.NextWrite(now+DefaultTiming.Stagger, 1)
	require.True(t, due)
	assert.False(t, r.compareAndSet(w), "its version is gone")

	for range 20 {
		now += DefaultTiming.RenewInterval
		b.Observe(now, r.version, r.record)
		_, due = b.NextWrite(now, 0)
		assert.False(t, due)
		w, due = a.NextWrite(now, 0)
		require.True(t, due)
		mustCommit(t, r, a, now, w)
	}
	assert.EqualValues(t, 1, r.record.Term)
}

func TestPausedHolderLosesItsLease(t *testing.T) {
	r, now := &register{}, start
	a, b := New("a", DefaultTiming), New("b", DefaultTiming)
	a.Observe(now, 0, r.record)
	w, _ := a.NextWrite(now, 0)
	mustCommit(t, r, a, now+time.Second, w) // the answer took a second
	_, holds := a.HoldsLease(now + DefaultTiming.LeaseDuration - 1)
	assert.True(t, holds)
	_, holds = a.HoldsLease(now + DefaultTiming.LeaseDuration)
	assert.False(t, holds, "its lease runs from when the write began")

	b.Observe(now+time.Second, r.version, r.record)
	_, due := b.NextWrite(now+time.Second+DefaultTiming.TakeoverDelay-1, 0)
	assert.False(t, due)
	w, due = b.NextWrite(now+time.Second+DefaultTiming.TakeoverDelay, 0)
	require.True(t, due)
	mustCommit(t, r, b, now+time.Second+DefaultTiming.TakeoverDelay, w)

	now += time.Minute // a wakes and believes
	_, holds = a.HoldsLease(now)
	assert.False(t, holds)
	w, due = a.NextWrite(now, 0)
	require.True(t, due, "it tries to renew")
	assert.False(t, r.compareAndSet(w))
	a.Observe(now, r.version, r.record)
	_, due = a.NextWrite(now, 0)
	assert.False(t, due)
	assert.EqualValues(t, 2, r.record.Term)
}

func TestNamedSuccessorTakesOverAtOnce(t *testing.T) {
	r, now := &register{}, start
	a, b, c := New("a", DefaultTiming), New("b", DefaultTiming), New("c", DefaultTiming)
	a.Observe(now, 0, r.record)
	w, _ := a.NextWrite(now, 0)
	mustCommit(t, r, a, now, w)
	w, due := a.Resign(now, "b")
	require.True(t, due)
	_, holds := a.HoldsLease(now)
	assert.False(t, holds, "its word may be kept at any moment")
	mustCommit(t, r, a, now, w)
	b.Observe(now, r.version, r.record)
	c.Observe(now, r.version, r.record)
	_, due = c.NextWrite(now+DefaultTiming.TakeoverDelay-1, 0)
	assert.False(t, due)
	w, due = b.NextWrite(now, 3)
	require.True(t, due)
	mustCommit(t, r, b, now, w)
	_, holds = b.HoldsLease(now)
	assert.True(t, holds)

	// A successor that never comes holds nothing up for longer than a holder that is gone.
	w, _ = b.Resign(now, "nobody there")
	mustCommit(t, r, b, now, w)
	c.Observe(now, r.version, r.record)
	_, due = c.NextWrite(now+DefaultTiming.TakeoverDelay, 0)
	assert.True(t, due)
}

func TestResignationWithoutSuccessorFreesTheRole(t *testing.T) {
	r, now := &register{}, start
	a, b := New("a", DefaultTiming), New("b", DefaultTiming)
	a.Observe(now, 0, r.record)
	w, _ := a.NextWrite(now, 0)
	mustCommit(t, r, a, now, w)
	w, _ = a.Resign(now, "")
	mustCommit(t, r, a, now, w)
	b.Observe(now, r.version, r.record)
	_, due := b.NextWrite(now, 0)
	assert.True(t, due)
	_, due = a.NextWrite(now+time.Hour, 0)
	assert.False(t, due, "who left claims no more")
}

func TestLateCommitGrantsLeaseFromItsOwnStart(t *testing.T) {
	r, now := &register{}, start
	a := New("a", DefaultTiming)
	a.Observe(now, 0, r.record)
	w, _ := a.NextWrite(now, 0)
	mustCommit(t, r, a, now, w)
	lost, ok := a.Renew(now + time.Second)
	require.True(t, ok)
	again, ok := a.Renew(now + 2*time.Second)
	require.True(t, ok)
	require.True(t, r.compareAndSet(lost)) // it comes late
	assert.False(t, r.compareAndSet(again))
	a.Observe(now+2*time.Second, r.version, r.record)
	_, holds := a.HoldsLease(now + time.Second + DefaultTiming.LeaseDuration - 1)
	assert.True(t, holds)
	_, holds = a.HoldsLease(now + time.Second + DefaultTiming.LeaseDuration)
	assert.False(t, holds)
}

func TestUnsafeTimingsAreRejected(t *testing.T) {
	require.NoError(t, DefaultTiming.Validate())
	for _, bad := range []Timing{{}, {RenewInterval: 1, LeaseDuration: 1, TakeoverDelay: 2}, {RenewInterval: 1, LeaseDuration: 3, TakeoverDelay: 3}, {RenewInterval: 1, LeaseDuration: 2, TakeoverDelay: 3, Stagger: -1}} {
		assert.Error(t, bad.Validate(), "%+v", bad)
	}
}

// Whatever happens to a handful of processes, no two hold at once, numbers rise with each holder,
// and once writes come through there is a holder within a Wait and the stagger.
func TestRandomHistoryHasExactlyOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := &register{}, start
		all := []*Candidate{New("a", DefaultTiming), New("b", DefaultTiming), New("c", DefaultTiming)}
		holder := map[uint64]string{}
		check := func() {
			n := 0
			for _, c := range all {
				if number, holds := c.HoldsLease(now); holds {
					n++
					if who, ok := holder[number]; ok && who != c.self {
						t.Fatalf("%d is held by %s and %s", number, who, c.self)
					}
					holder[number] = c.self
				}
			}
			if n > 1 {
				t.Fatalf("%d hold the duty", n)
			}
		}
		var late []Write
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(all)-1).Draw(t, "who")
			c := all[i]
			switch rapid.SampledFrom([]string{"turn", "turn", "turn", "lost", "late", "read", "stamp", "late comes"}).Draw(t, "what") {
			case "turn":
				if w, due := c.NextWrite(now, i); due && r.compareAndSet(w) {
					c.Observe(now, r.version, r.record)
				}
			case "lost":
				if w, due := c.NextWrite(now, i); due {
					r.compareAndSet(w)
				}
			case "late":
				if w, due := c.NextWrite(now, i); due {
					late = append(late, w)
				}
			case "late comes":
				for _, w := range late {
					r.compareAndSet(w)
				}
				late = nil
			case "stamp":
				if w, ok := c.Renew(now); ok {
					r.compareAndSet(w)
				}
			case "read":
				c.Observe(now, r.version, r.record)
			}
			check()
		}
		end := now + DefaultTiming.TakeoverDelay + 3*DefaultTiming.Stagger + DefaultTiming.RenewInterval
		for ; now < end; now += 50 * time.Millisecond {
			for i, c := range all {
				c.Observe(now, r.version, r.record)
				if w, due := c.NextWrite(now, i); due && r.compareAndSet(w) {
					c.Observe(now, r.version, r.record)
				}
				check()
			}
		}
		held := 0
		for _, c := range all {
			if _, holds := c.HoldsLease(now); holds {
				held++
			}
		}
		if held != 1 {
			t.Fatalf("%d hold the duty once all is well: %+v", held, r.record)
		}
	})
}

func TestFence(t *testing.T) {
	var f Fence
	assert.True(t, f.Admit(0))
	assert.True(t, f.Admit(3))
	assert.True(t, f.Admit(3))
	assert.False(t, f.Admit(2))
	assert.True(t, f.Admit(4))
}
