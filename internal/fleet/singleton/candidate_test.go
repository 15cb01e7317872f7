package singleton

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// register is a replicated register: one record that is changed by compare-and-set.
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

// mustCommit commits a write and has its candidate observe the committed record.
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
		assert.False(t, due, "no record is known yet")
		c.Observe(now, 0, r.record)
	}
	w, due := a.NextWrite(now, 0)
	require.True(t, due)
	_, due = b.NextWrite(now, 1)
	assert.False(t, due, "candidates of lower rank come first")
	mustCommit(t, r, a, now, w)
	term, holds := a.HoldsLease(now)
	assert.True(t, holds)
	assert.EqualValues(t, 1, term)
	w, due = b.NextWrite(now+DefaultTiming.Stagger, 1)
	require.True(t, due)
	assert.False(t, r.compareAndSet(w), "another write was committed")

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
	mustCommit(t, r, a, now+time.Second, w) // the response took a second
	_, holds := a.HoldsLease(now + DefaultTiming.LeaseDuration - 1)
	assert.True(t, holds)
	_, holds = a.HoldsLease(now + DefaultTiming.LeaseDuration)
	assert.False(t, holds, "the lease runs from the start of the write")

	b.Observe(now+time.Second, r.version, r.record)
	_, due := b.NextWrite(now+time.Second+DefaultTiming.TakeoverDelay-1, 0)
	assert.False(t, due)
	w, due = b.NextWrite(now+time.Second+DefaultTiming.TakeoverDelay, 0)
	require.True(t, due)
	mustCommit(t, r, b, now+time.Second+DefaultTiming.TakeoverDelay, w)

	now += time.Minute // a resumes and does not know yet that it has lost the lease
	_, holds = a.HoldsLease(now)
	assert.False(t, holds)
	w, due = a.NextWrite(now, 0)
	require.True(t, due, "a tries to renew its lease")
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
	assert.False(t, holds, "the resignation may be committed at any moment")
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

	// A lost successor delays a takeover no longer than a lost holder does.
	w, _ = b.Resign(now, "absent")
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
	assert.False(t, due, "a process that has resigned claims nothing")
}

func TestLateCommitGrantsLeaseFromItsOwnStart(t *testing.T) {
	r, now := &register{}, start
	a := New("a", DefaultTiming)
	a.Observe(now, 0, r.record)
	w, _ := a.NextWrite(now, 0)
	mustCommit(t, r, a, now, w)
	first, ok := a.Renew(now + time.Second)
	require.True(t, ok)
	second, ok := a.Renew(now + 2*time.Second)
	require.True(t, ok)
	require.True(t, r.compareAndSet(first)) // the first write arrives late
	assert.False(t, r.compareAndSet(second))
	a.Observe(now+2*time.Second, r.version, r.record)
	_, holds := a.HoldsLease(now + time.Second + DefaultTiming.LeaseDuration - 1)
	assert.True(t, holds)
	_, holds = a.HoldsLease(now + time.Second + DefaultTiming.LeaseDuration)
	assert.False(t, holds)
}

func TestUnsafeTimingsAreRejected(t *testing.T) {
	require.NoError(t, DefaultTiming.Validate())
	for name, timing := range map[string]Timing{
		"zero":                          {},
		"lease not longer than renewal": {RenewInterval: 1, LeaseDuration: 1, TakeoverDelay: 2},
		"takeover within the lease":     {RenewInterval: 1, LeaseDuration: 3, TakeoverDelay: 3},
		"negative stagger":              {RenewInterval: 1, LeaseDuration: 2, TakeoverDelay: 3, Stagger: -1},
	} {
		var invalid *TimingError
		require.ErrorAs(t, timing.Validate(), &invalid, name)
		assert.Equal(t, timing, invalid.Timing, name)
	}
}

// In any history of three processes no two of them hold the lease at once, and a term has only one holder. Once writes
// arrive again, there is a holder within the takeover delay and the stagger.
func TestRandomHistoryHasExactlyOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := &register{}, start
		candidates := []*Candidate{New("a", DefaultTiming), New("b", DefaultTiming), New("c", DefaultTiming)}
		holderOf := map[uint64]string{}
		check := func() {
			holders := 0
			for _, c := range candidates {
				if term, holds := c.HoldsLease(now); holds {
					holders++
					if other, ok := holderOf[term]; ok && other != c.self {
						t.Fatalf("term %d has two holders, %s and %s", term, other, c.self)
					}
					holderOf[term] = c.self
				}
			}
			if holders > 1 {
				t.Fatalf("%d processes hold the lease", holders)
			}
		}
		var delayed []Write
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(candidates)-1).Draw(t, "process")
			c := candidates[i]
			switch rapid.SampledFrom([]string{
				"write", "write", "write", "response lost", "delay", "read", "renew", "delayed arrive",
			}).Draw(t, "event") {
			case "write":
				if w, due := c.NextWrite(now, i); due && r.compareAndSet(w) {
					c.Observe(now, r.version, r.record)
				}
			case "response lost":
				if w, due := c.NextWrite(now, i); due {
					r.compareAndSet(w)
				}
			case "delay":
				if w, due := c.NextWrite(now, i); due {
					delayed = append(delayed, w)
				}
			case "delayed arrive":
				for _, w := range delayed {
					r.compareAndSet(w)
				}
				delayed = nil
			case "renew":
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
			for i, c := range candidates {
				c.Observe(now, r.version, r.record)
				if w, due := c.NextWrite(now, i); due && r.compareAndSet(w) {
					c.Observe(now, r.version, r.record)
				}
				check()
			}
		}
		holders := 0
		for _, c := range candidates {
			if _, holds := c.HoldsLease(now); holds {
				holders++
			}
		}
		if holders != 1 {
			t.Fatalf("%d processes hold the lease after all writes arrived, want 1: %+v", holders, r.record)
		}
	})
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	for name, record := range map[string]Record{
		"holder without a term":    {Holder: "a"},
		"successor without a term": {Successor: "a"},
		"long holder":              {Term: 1, Holder: strings.Repeat("a", maxHolderName+1)},
		"long successor":           {Term: 1, Successor: strings.Repeat("a", maxHolderName+1)},
	} {
		var invalid *RecordError
		require.ErrorAs(t, record.Validate(), &invalid, name)
		assert.Equal(t, record, invalid.Record, name)
	}
}

func TestFence(t *testing.T) {
	var f Fence
	assert.True(t, f.Admit(0))
	assert.True(t, f.Admit(3))
	assert.True(t, f.Admit(3))
	assert.False(t, f.Admit(2))
	assert.True(t, f.Admit(4))
}
