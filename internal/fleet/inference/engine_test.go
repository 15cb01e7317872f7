package inference

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var shape = Shape{Slots: 8, CacheTokens: 10_000, Stride: 4, MaxParts: 100}

func chain(parts ...Part) []Part { return Chain(nil, "m", parts) }

func TestChainNamesAPartWithAllBeforeIt(t *testing.T) {
	a, b := Part{1, 10}, Part{2, 20}
	ab, ba := chain(a, b), chain(b, a)
	assert.NotEqual(t, ab[1].ID, ba[0].ID, "the same part after another one is kept for itself")
	assert.Equal(t, chain(a)[0], ab[0])
	assert.NotEqual(t, ab[0].ID, Chain(nil, "other", []Part{a})[0].ID, "each model keeps its own")
	assert.Equal(t, []int{10, 20}, []int{ab[0].Tokens, ab[1].Tokens})
	assert.Zero(t, Chain(nil, "m", []Part{{1, -5}})[0].Tokens)
}

func TestCachedCountsOnlyWhatIsKeptFromTheStart(t *testing.T) {
	s := NewServer(shape, NewSpeeds())
	x := chain(Part{1, 4000}, Part{2, 4000}, Part{3, 1000})
	s.Begin(0, x, 9000, 10)
	assert.Equal(t, 9000, s.Cached(x))
	assert.Equal(t, 4000, s.Cached(chain(Part{1, 4000}, Part{9, 10})))
	s.Begin(0, chain(Part{4, 1500}), 1500, 10)
	assert.Equal(t, 8000, s.Cached(x), "of one use the last part gives way first")
	s.Begin(0, chain(Part{5, 6000}), 6000, 10)
	assert.Zero(t, s.Cached(x)-s.Cached(x[:1]), "the rest counts for nothing without what is before it")
	s.Reset()
	assert.Zero(t, s.Cached(x))
}

func TestWhatNeverRanIsNotKept(t *testing.T) {
	s := NewServer(shape, NewSpeeds())
	first := s.Begin(0, chain(Part{1, 500}), 500, 10)
	s.Begin(0, chain(Part{1, 500}, Part{2, 700}), 1200, 10).End(5*ms, false)
	assert.Zero(t, s.Cached(chain(Part{1, 500}, Part{2, 700}))-500)
	first.End(6*ms, true)
	assert.Equal(t, 500, s.Cached(chain(Part{1, 500})))
	assert.Zero(t, s.tokens)
	assert.Empty(t, s.unread)
	assert.Zero(t, s.queue.len(6*ms)-s.queue.len(7*ms))
}

func TestEstimate(t *testing.T) {
	s := NewServer(shape, NewSpeeds())
	empty, uncached := s.Estimate(0, nil, 1000, 10)
	assert.Equal(t, 1000, uncached)
	assert.InDelta(t, firstMs+readMs, millis(empty), 1)
	s.Begin(0, chain(Part{1, 3000}), 3000, 10)
	behind, _ := s.Estimate(0, nil, 1000, 10)
	assert.InDelta(t, 3*readMs, millis(behind-empty), 2, "a prompt waits for those before it")
	kept, uncached := s.Estimate(0, chain(Part{1, 3000}, Part{2, 1000}), 4000, 10)
	assert.Equal(t, 1000, uncached)
	assert.InDelta(t, millis(behind), millis(kept), 2, "what is kept takes no time but its pairs")
	later, _ := s.Estimate(30*ms, nil, 1000, 10)
	assert.InDelta(t, 30, millis(behind-later), 1, "which are read meanwhile")
	large, _ := s.Estimate(30*ms, nil, 20_000, 10)
	assert.Equal(t, never, large, "it is rejected as though the server were full")
}

func TestOverdueServerIsExpectedToTakeAsLongAgain(t *testing.T) {
	s := NewServer(shape, NewSpeeds())
	s.Begin(0, chain(Part{1, 100}), 100, 10)
	soon, _ := s.Estimate(20*ms, nil, 100, 10)
	late, _ := s.Estimate(2*time.Second, nil, 100, 10)
	assert.Greater(t, late, soon+1500*ms)
}

func TestLoadOfOthersAges(t *testing.T) {
	s := NewServer(shape, NewSpeeds())
	base, _ := s.Estimate(0, nil, 100, 10)
	s.Heard(0, Load{Running: 3, Waiting: 2, Slots: 16})
	told, _ := s.Estimate(0, nil, 100, 10)
	aged, _ := s.Estimate(time.Second, nil, 100, 10)
	assert.Greater(t, told, base+50*ms)
	assert.Less(t, aged, base+30*ms)
	assert.Equal(t, 16, s.Slots(), "the server's own word outranks the configuration")
	assert.Equal(t, 3, s.Running(0))
	s.Heard(0, Load{Running: 16, Waiting: 40, Slots: 16})
	full, _ := s.Estimate(0, nil, 100, 10)
	assert.Greater(t, full, told+time.Second, "all places are taken, and many wait")
	before := s.load
	s.Heard(0, Load{Running: -1})
	assert.Equal(t, before, s.load)
}

func TestForeignPromptsAreWaitedFor(t *testing.T) {
	s := NewServer(shape, NewSpeeds())
	base, _ := s.Estimate(0, nil, 100, 10)
	s.Foreign(100*ms, 40*ms, chain(Part{7, 2000}), 8000, 6000)
	held, _ := s.Estimate(100*ms, nil, 100, 10)
	assert.InDelta(t, 6*readMs-40, millis(held-base), 10, "less what it was read since it was sent")
	assert.Equal(t, 2000, s.Cached(chain(Part{7, 2000})), "its parts are kept there now")
	s.Foreign(100*ms, -time.Hour, nil, -5, 1<<40)
	s.Foreign(100*ms, time.Hour, nil, 100, -1)
	odd, _ := s.Estimate(100*ms, nil, 100, 10)
	assert.InDelta(t, millis(held), millis(odd), 1, "nonsense holds up nobody")
}

// TestSpeedsAreLearned has a server of other speeds than the prior, which reads in turn.
func TestSpeedsAreLearned(t *testing.T) {
	speeds := NewSpeeds()
	s := NewServer(Shape{Slots: 64, CacheTokens: 1 << 30, Stride: 5, MaxParts: 1000}, speeds)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Duration(0)
	const fixed, read, pairs, token, slot = 6.0, 5.0, 0.6, 9.0, 0.2
	for i := range 800 {
		n := int(1500 * math.Exp(rng.NormFloat64()))
		r := s.Begin(now, chain(Part{uint64(i), n}), n, 100)
		now += duration(fixed + read*float64(n)/1e3 + pairs*float64(n)*float64(n)/2e6)
		r.Events(now, 1)
		others := rng.IntN(20)
		r.batch = others
		now += duration(19 * 5 * (token + slot*float64(others)))
		r.Events(now, 19)
		r.End(now, true)
	}
	for _, n := range []int{100, 2000, 20_000} {
		want := fixed + read*float64(n)/1e3 + pairs*float64(n)*float64(n)/2e6
		got, _ := s.Estimate(now, nil, n, 10)
		assert.InDelta(t, want, millis(got), 2+0.1*want, "%d tokens", n)
	}
	assert.InDelta(t, token+slot*10, millis(speeds.TokenTime(10)), 1)
	assert.Less(t, speeds.Error(), 10*ms)
}

// TestOrderIsLearned has servers that read long prompts in turn, or beside others.
func TestOrderIsLearned(t *testing.T) {
	for _, inTurn := range []bool{true, false} {
		s := NewServer(Shape{Slots: 64, CacheTokens: 1 << 30, MaxParts: 1000}, NewSpeeds())
		now := time.Duration(0)
		for range 60 {
			long, short := s.Begin(now, nil, 30_000, 10), s.Begin(now+ms, nil, 500, 10)
			if inTurn {
				long.Events(now+500*ms, 1)
				short.Events(now+510*ms, 1)
			} else {
				short.Events(now+40*ms, 1)
				long.Events(now+510*ms, 1)
			}
			now += time.Second
			long.End(now, true)
			short.End(now, true)
		}
		s.Begin(now, nil, 30_000, 10)
		got, _ := s.Estimate(now, nil, 500, 10)
		if inTurn {
			assert.Greater(t, got, 300*ms)
		} else {
			assert.Less(t, got, 150*ms)
		}
	}
}

func TestSlowServerLags(t *testing.T) {
	s := NewServer(shape, NewSpeeds())
	now := time.Duration(0)
	for range 20 {
		r := s.Begin(now, nil, 100, 10)
		now += 400 * ms
		r.Events(now, 1)
		r.End(now, true)
	}
	assert.Greater(t, s.Lag(now), 100.0)
	assert.Less(t, s.Lag(now+time.Minute), 1.0, "it is forgotten")
}

func TestEndIsOnce(t *testing.T) {
	s := NewServer(shape, NewSpeeds())
	r := s.Begin(0, nil, 100, 10)
	r.Events(ms, 1)
	r.End(2*ms, true)
	r.End(2*ms, true)
	r.Events(3*ms, 1)
	assert.Zero(t, s.runs)
	assert.Zero(t, s.tokens)
}

// TestKept plays the bounded memory of parts against a plain one.
func TestKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := kept{room: rapid.IntRange(0, 200).Draw(t, "room"), most: rapid.IntRange(0, 12).Draw(t, "most")}
		var plain []Part // the latest used last
		sum := func() (n int) {
			for _, p := range plain {
				n += p.Tokens
			}
			return n
		}
		trim := func() {
			for len(plain) > 0 && (sum() > k.room || len(plain) > k.most) {
				plain = plain[1:]
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"use": func(t *rapid.T) {
				p := Part{uint64(rapid.IntRange(1, 30).Draw(t, "id")), rapid.IntRange(0, 60).Draw(t, "tokens")}
				k.use(p.ID, p.Tokens)
				if p.Tokens > k.room || k.most < 1 {
					return
				}
				if i := slices.IndexFunc(plain, func(x Part) bool { return x.ID == p.ID }); i >= 0 {
					p = plain[i]
					plain = slices.Delete(plain, i, i+1)
				}
				plain = append(plain, p)
				trim()
			},
			"forget": func(t *rapid.T) {
				id := uint64(rapid.IntRange(1, 30).Draw(t, "id"))
				k.forget(id)
				plain = slices.DeleteFunc(plain, func(x Part) bool { return x.ID == id })
			},
			"resize": func(t *rapid.T) {
				k.resize(rapid.IntRange(0, 200).Draw(t, "room"), rapid.IntRange(0, 12).Draw(t, "most"))
				trim()
			},
			"reset": func(*rapid.T) {
				k.reset()
				plain = nil
			},
			"": func(t *rapid.T) {
				require.Equal(t, sum(), k.tokens)
				require.Len(t, k.index, len(plain))
				at := k.tail
				for _, p := range plain {
					require.True(t, k.has(p.ID))
					require.Equal(t, p.ID, k.nodes[at-1].chain)
					at = k.nodes[at-1].prev
				}
				require.Zero(t, at)
				require.LessOrEqual(t, len(k.nodes), 31)
			},
		})
	})
}

// TestQueue plays prompts that are read in turn: what is left is what a server would have left.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, busyTo := queue{}, time.Duration(0), time.Duration(0)
		var ids []uint64
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				work := rapid.IntRange(0, 50).Draw(t, "work")
				ids = append(ids, q.add(now, float64(work)))
				busyTo = max(busyTo, now) + time.Duration(work)*ms
			},
			"pass": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * ms },
			"read": func(t *rapid.T) {
				if len(ids) > 0 {
					q.read(rapid.SampledFrom(ids).Draw(t, "id"), true)
					busyTo = now + duration(q.left(now, math.Inf(1)))
				}
			},
			"": func(t *rapid.T) {
				require.InDelta(t, millis(max(busyTo-now, 0)), q.left(now, math.Inf(1)), 1e-3)
				require.LessOrEqual(t, q.left(now, 7), 7*float64(q.len(now))+1e-9)
				require.LessOrEqual(t, len(q.jobs), maxQueue)
			},
		})
	})
}

// TestAnyOrder has events of runs in any order: counts come back to nothing, and estimates make
// sense throughout.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewServer(shape, NewSpeeds())
		now := time.Duration(0)
		var runs []*Run
		pass := func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * ms }
		pick := func(t *rapid.T) *Run {
			if len(runs) == 0 {
				t.Skip("none")
			}
			return rapid.SampledFrom(runs).Draw(t, "run")
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				n := rapid.IntRange(0, 12_000).Draw(t, "tokens")
				x := chain(Part{uint64(rapid.IntRange(0, 9).Draw(t, "part")), n / 2}, Part{uint64(len(runs)) + 100, n - n/2})
				runs = append(runs, s.Begin(now, x, n, rapid.IntRange(0, 500).Draw(t, "out")))
			},
			"sent":   func(t *rapid.T) { pass(t); pick(t).Sent(now) },
			"events": func(t *rapid.T) { pass(t); pick(t).Events(now, rapid.IntRange(-1, 30).Draw(t, "n")) },
			"end":    func(t *rapid.T) { pass(t); pick(t).End(now, rapid.Bool().Draw(t, "ran")) },
			"heard": func(t *rapid.T) {
				pass(t)
				s.Heard(now, Load{rapid.IntRange(-1, 20).Draw(t, "run"), rapid.IntRange(-1, 50).Draw(t, "wait"), rapid.IntRange(-1, 20).Draw(t, "slots")})
			},
			"foreign": func(t *rapid.T) {
				s.Foreign(now, time.Duration(rapid.IntRange(-5, 500).Draw(t, "age"))*ms, nil, rapid.IntRange(-1, 9000).Draw(t, "n"), rapid.IntRange(-1, 9000).Draw(t, "u"))
			},
			"": func(t *rapid.T) {
				first, uncached := s.Estimate(now, nil, 1000, 100)
				require.Greater(t, first, time.Duration(0))
				require.Less(t, first, 24*time.Hour)
				require.Equal(t, 1000, uncached)
			},
		})
		for _, r := range runs {
			r.End(now, true)
		}
		require.Zero(t, s.tokens)
		require.Zero(t, s.runs)
		require.Empty(t, s.unread)
	})
}

func BenchmarkEstimate(b *testing.B) {
	s := NewServer(Shape{Slots: 64, CacheTokens: 600_000, MaxParts: 4000}, NewSpeeds())
	for i := range 200 {
		s.Begin(0, chain(Part{uint64(i), 500}, Part{uint64(i) + 1000, 500}), 1000, 10).Events(ms, 1)
	}
	x := chain(Part{7, 500}, Part{9999, 500})
	for b.Loop() {
		s.Estimate(2*ms, x, 1000, 10)
	}
}
