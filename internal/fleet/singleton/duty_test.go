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
	rec     Record
}

func (r *register) put(w Write) bool {
	if w.On != r.version {
		return false
	}
	r.version, r.rec = r.version+1, w.Duty
	return true
}

// keep makes a write and has its candidate know.
func keep(t *testing.T, r *register, c *Candidate, now time.Duration, w Write) {
	t.Helper()
	require.True(t, r.put(w))
	require.NoError(t, r.rec.Check())
	c.Seen(now, r.version, r.rec)
}

const start = time.Minute

func TestOneClaimsAndRenews(t *testing.T) {
	r, now := &register{}, start
	a, b := New("a", Default), New("b", Default)
	for _, c := range []*Candidate{a, b} {
		_, due := c.Due(now, 0)
		assert.False(t, due, "nothing is known yet")
		c.Seen(now, 0, r.rec)
	}
	w, due := a.Due(now, 0)
	require.True(t, due)
	_, due = b.Due(now, 1)
	assert.False(t, due, "the second one leaves the first some time")
	keep(t, r, a, now, w)
	n, holds := a.Holds(now)
	assert.True(t, holds)
	assert.EqualValues(t, 1, n)
	w, due = b.Due(now+Default.Stagger, 1)
	require.True(t, due)
	assert.False(t, r.put(w), "its version is gone")

	for range 20 {
		now += Default.Renew
		b.Seen(now, r.version, r.rec)
		_, due = b.Due(now, 0)
		assert.False(t, due)
		w, due = a.Due(now, 0)
		require.True(t, due)
		keep(t, r, a, now, w)
	}
	assert.EqualValues(t, 1, r.rec.Number)
}

func TestAFrozenHolderActsNoMore(t *testing.T) {
	r, now := &register{}, start
	a, b := New("a", Default), New("b", Default)
	a.Seen(now, 0, r.rec)
	w, _ := a.Due(now, 0)
	keep(t, r, a, now+time.Second, w) // the answer took a second
	_, holds := a.Holds(now + Default.Lease - 1)
	assert.True(t, holds)
	_, holds = a.Holds(now + Default.Lease)
	assert.False(t, holds, "its lease runs from when the write began")

	b.Seen(now+time.Second, r.version, r.rec)
	_, due := b.Due(now+time.Second+Default.Wait-1, 0)
	assert.False(t, due)
	w, due = b.Due(now+time.Second+Default.Wait, 0)
	require.True(t, due)
	keep(t, r, b, now+time.Second+Default.Wait, w)

	now += time.Minute // a wakes and believes
	_, holds = a.Holds(now)
	assert.False(t, holds)
	w, due = a.Due(now, 0)
	require.True(t, due, "it tries to renew")
	assert.False(t, r.put(w))
	a.Seen(now, r.version, r.rec)
	_, due = a.Due(now, 0)
	assert.False(t, due)
	assert.EqualValues(t, 2, r.rec.Number)
}

func TestANamedSuccessorWaitsForNobody(t *testing.T) {
	r, now := &register{}, start
	a, b, c := New("a", Default), New("b", Default), New("c", Default)
	a.Seen(now, 0, r.rec)
	w, _ := a.Due(now, 0)
	keep(t, r, a, now, w)
	w, due := a.Leave(now, "b")
	require.True(t, due)
	_, holds := a.Holds(now)
	assert.False(t, holds, "its word may be kept at any moment")
	keep(t, r, a, now, w)
	b.Seen(now, r.version, r.rec)
	c.Seen(now, r.version, r.rec)
	_, due = c.Due(now+Default.Wait-1, 0)
	assert.False(t, due)
	w, due = b.Due(now, 3)
	require.True(t, due)
	keep(t, r, b, now, w)
	_, holds = b.Holds(now)
	assert.True(t, holds)

	// A successor that never comes holds nothing up for longer than a holder that is gone.
	w, _ = b.Leave(now, "nobody there")
	keep(t, r, b, now, w)
	c.Seen(now, r.version, r.rec)
	_, due = c.Due(now+Default.Wait, 0)
	assert.True(t, due)
}

func TestNobodyNamedIsFreeAtOnce(t *testing.T) {
	r, now := &register{}, start
	a, b := New("a", Default), New("b", Default)
	a.Seen(now, 0, r.rec)
	w, _ := a.Due(now, 0)
	keep(t, r, a, now, w)
	w, _ = a.Leave(now, "")
	keep(t, r, a, now, w)
	b.Seen(now, r.version, r.rec)
	_, due := b.Due(now, 0)
	assert.True(t, due)
	_, due = a.Due(now+time.Hour, 0)
	assert.False(t, due, "who left claims no more")
}

func TestAWriteThatWasTakenForLostGivesTheLeaseOfItsOwnBeginning(t *testing.T) {
	r, now := &register{}, start
	a := New("a", Default)
	a.Seen(now, 0, r.rec)
	w, _ := a.Due(now, 0)
	keep(t, r, a, now, w)
	lost, ok := a.Stamp(now + time.Second)
	require.True(t, ok)
	again, ok := a.Stamp(now + 2*time.Second)
	require.True(t, ok)
	require.True(t, r.put(lost)) // it comes late
	assert.False(t, r.put(again))
	a.Seen(now+2*time.Second, r.version, r.rec)
	_, holds := a.Holds(now + time.Second + Default.Lease - 1)
	assert.True(t, holds)
	_, holds = a.Holds(now + time.Second + Default.Lease)
	assert.False(t, holds)
}

func TestTimingsThatGuaranteeNothingAreRefused(t *testing.T) {
	require.NoError(t, Default.Check())
	for _, bad := range []Timing{{}, {Renew: 1, Lease: 1, Wait: 2}, {Renew: 1, Lease: 3, Wait: 3}, {Renew: 1, Lease: 2, Wait: 3, Stagger: -1}} {
		assert.Error(t, bad.Check(), "%+v", bad)
	}
}

// Whatever happens to a handful of processes, no two hold at once, numbers rise with each holder,
// and once writes come through there is a holder within a Wait and the stagger.
func TestWhateverHappensOneHoldsAndThereIsOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := &register{}, start
		all := []*Candidate{New("a", Default), New("b", Default), New("c", Default)}
		holder := map[uint64]string{}
		check := func() {
			n := 0
			for _, c := range all {
				if number, holds := c.Holds(now); holds {
					n++
					if who, ok := holder[number]; ok && who != c.me {
						t.Fatalf("%d is held by %s and %s", number, who, c.me)
					}
					holder[number] = c.me
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
				if w, due := c.Due(now, i); due && r.put(w) {
					c.Seen(now, r.version, r.rec)
				}
			case "lost":
				if w, due := c.Due(now, i); due {
					r.put(w)
				}
			case "late":
				if w, due := c.Due(now, i); due {
					late = append(late, w)
				}
			case "late comes":
				for _, w := range late {
					r.put(w)
				}
				late = nil
			case "stamp":
				if w, ok := c.Stamp(now); ok {
					r.put(w)
				}
			case "read":
				c.Seen(now, r.version, r.rec)
			}
			check()
		}
		end := now + Default.Wait + 3*Default.Stagger + Default.Renew
		for ; now < end; now += 50 * time.Millisecond {
			for i, c := range all {
				c.Seen(now, r.version, r.rec)
				if w, due := c.Due(now, i); due && r.put(w) {
					c.Seen(now, r.version, r.rec)
				}
				check()
			}
		}
		held := 0
		for _, c := range all {
			if _, holds := c.Holds(now); holds {
				held++
			}
		}
		if held != 1 {
			t.Fatalf("%d hold the duty once all is well: %+v", held, r.rec)
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
