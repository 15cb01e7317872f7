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

var testCapacity = Capacity{Slots: 8, CacheTokens: 10_000, TokensPerEvent: 4, MaxPrefixes: 100}

func prefixes(parts ...Segment) []Segment { return AppendPrefixes(nil, "m", parts) }

func TestPrefixIDCoversAllSegmentsBeforeIt(t *testing.T) {
	a, b := Segment{1, 10}, Segment{2, 20}
	ab, ba := prefixes(a, b), prefixes(b, a)
	assert.NotEqual(t, ab[1].ID, ba[0].ID, "the same part after another one is kept for itself")
	assert.Equal(t, prefixes(a)[0], ab[0])
	assert.NotEqual(t, ab[0].ID, AppendPrefixes(nil, "other", []Segment{a})[0].ID, "each model keeps its own")
	assert.Equal(t, []int{10, 20}, []int{ab[0].Tokens, ab[1].Tokens})
	assert.Zero(t, AppendPrefixes(nil, "m", []Segment{{1, -5}})[0].Tokens)
}

func TestCachedTokensCountsOnlyTheLeadingPrefixes(t *testing.T) {
	s := NewServer(testCapacity, NewLatencyModel())
	x := prefixes(Segment{1, 4000}, Segment{2, 4000}, Segment{3, 1000})
	s.Begin(0, x, 9000, 10)
	assert.Equal(t, 9000, s.CachedTokens(x))
	assert.Equal(t, 4000, s.CachedTokens(prefixes(Segment{1, 4000}, Segment{9, 10})))
	s.Begin(0, prefixes(Segment{4, 1500}), 1500, 10)
	assert.Equal(t, 8000, s.CachedTokens(x), "of one use the last part gives way first")
	s.Begin(0, prefixes(Segment{5, 6000}), 6000, 10)
	assert.Zero(t, s.CachedTokens(x)-s.CachedTokens(x[:1]), "the rest counts for nothing without what is before it")
	s.ResetCache()
	assert.Zero(t, s.CachedTokens(x))
}

func TestSequenceThatNeverRanIsNotCached(t *testing.T) {
	s := NewServer(testCapacity, NewLatencyModel())
	first := s.Begin(0, prefixes(Segment{1, 500}), 500, 10)
	s.Begin(0, prefixes(Segment{1, 500}, Segment{2, 700}), 1200, 10).End(5*ms, false)
	assert.Zero(t, s.CachedTokens(prefixes(Segment{1, 500}, Segment{2, 700}))-500)
	first.End(6*ms, true)
	assert.Equal(t, 500, s.CachedTokens(prefixes(Segment{1, 500})))
	assert.Zero(t, s.reservedTokens)
	assert.Empty(t, s.prefilling)
	assert.Zero(t, s.queue.len(6*ms)-s.queue.len(7*ms))
}

func TestEstimateFirstToken(t *testing.T) {
	s := NewServer(testCapacity, NewLatencyModel())
	empty, uncached := s.EstimateFirstToken(0, nil, 1000, 10)
	assert.Equal(t, 1000, uncached)
	assert.InDelta(t, priorFirstTokenMs+priorPrefillMs, millis(empty), 1)
	s.Begin(0, prefixes(Segment{1, 3000}), 3000, 10)
	behind, _ := s.EstimateFirstToken(0, nil, 1000, 10)
	assert.InDelta(t, 3*priorPrefillMs, millis(behind-empty), 2, "a prompt waits for those before it")
	cached, uncached := s.EstimateFirstToken(0, prefixes(Segment{1, 3000}, Segment{2, 1000}), 4000, 10)
	assert.Equal(t, 1000, uncached)
	assert.InDelta(t, millis(behind), millis(cached), 2, "what is kept takes no time but its pairs")
	later, _ := s.EstimateFirstToken(30*ms, nil, 1000, 10)
	assert.InDelta(t, 30, millis(behind-later), 1, "which are read meanwhile")
	large, _ := s.EstimateFirstToken(30*ms, nil, 20_000, 10)
	assert.Equal(t, unservable, large, "it is rejected as though the server were full")
}

func TestOverduePrefillDelaysTheNextEstimate(t *testing.T) {
	s := NewServer(testCapacity, NewLatencyModel())
	s.Begin(0, prefixes(Segment{1, 100}), 100, 10)
	soon, _ := s.EstimateFirstToken(20*ms, nil, 100, 10)
	late, _ := s.EstimateFirstToken(2*time.Second, nil, 100, 10)
	assert.Greater(t, late, soon+1500*ms)
}

func TestReportedLoadDecays(t *testing.T) {
	s := NewServer(testCapacity, NewLatencyModel())
	base, _ := s.EstimateFirstToken(0, nil, 100, 10)
	s.ObserveLoad(0, Load{Running: 3, Waiting: 2, Slots: 16})
	reported, _ := s.EstimateFirstToken(0, nil, 100, 10)
	aged, _ := s.EstimateFirstToken(time.Second, nil, 100, 10)
	assert.Greater(t, reported, base+50*ms)
	assert.Less(t, aged, base+30*ms)
	assert.Equal(t, 16, s.Slots(), "the server's own word outranks the configuration")
	assert.Equal(t, 3, s.Running(0))
	s.ObserveLoad(0, Load{Running: 16, Waiting: 40, Slots: 16})
	full, _ := s.EstimateFirstToken(0, nil, 100, 10)
	assert.Greater(t, full, reported+time.Second, "all places are taken, and many wait")
	before := s.load
	s.ObserveLoad(0, Load{Running: -1})
	assert.Equal(t, before, s.load)
}

func TestRemotePrefillsAreQueued(t *testing.T) {
	s := NewServer(testCapacity, NewLatencyModel())
	base, _ := s.EstimateFirstToken(0, nil, 100, 10)
	s.BeginRemote(100*ms, 40*ms, prefixes(Segment{7, 2000}), 8000, 6000)
	delayed, _ := s.EstimateFirstToken(100*ms, nil, 100, 10)
	assert.InDelta(t, 6*priorPrefillMs-40, millis(delayed-base), 10, "less what it was read since it was sent")
	assert.Equal(t, 2000, s.CachedTokens(prefixes(Segment{7, 2000})), "its parts are kept there now")
	s.BeginRemote(100*ms, -time.Hour, nil, -5, 1<<40)
	s.BeginRemote(100*ms, time.Hour, nil, 100, -1)
	afterInvalid, _ := s.EstimateFirstToken(100*ms, nil, 100, 10)
	assert.InDelta(t, millis(delayed), millis(afterInvalid), 1, "nonsense holds up nobody")
}

// TestLatencyModelIsLearned has a server of other speeds than the prior, which reads in turn.
func TestLatencyModelIsLearned(t *testing.T) {
	speeds := NewLatencyModel()
	s := NewServer(Capacity{Slots: 64, CacheTokens: 1 << 30, TokensPerEvent: 5, MaxPrefixes: 1000}, speeds)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Duration(0)
	const fixed, prefill, pairs, token, slot = 6.0, 5.0, 0.6, 9.0, 0.2
	for i := range 800 {
		n := int(1500 * math.Exp(rng.NormFloat64()))
		r := s.Begin(now, prefixes(Segment{uint64(i), n}), n, 100)
		now += duration(fixed + prefill*float64(n)/1e3 + pairs*float64(n)*float64(n)/2e6)
		r.Events(now, 1)
		others := rng.IntN(20)
		r.decodeBatch = others
		now += duration(19 * 5 * (token + slot*float64(others)))
		r.Events(now, 19)
		r.End(now, true)
	}
	for _, n := range []int{100, 2000, 20_000} {
		want := fixed + prefill*float64(n)/1e3 + pairs*float64(n)*float64(n)/2e6
		got, _ := s.EstimateFirstToken(now, nil, n, 10)
		assert.InDelta(t, want, millis(got), 2+0.1*want, "%d tokens", n)
	}
	assert.InDelta(t, token+slot*10, millis(speeds.TimePerOutputToken(10)), 1)
	assert.Less(t, speeds.FirstTokenError(), 10*ms)
}

// TestPrefillOrderIsLearned has servers that read long prompts in turn, or beside others.
func TestPrefillOrderIsLearned(t *testing.T) {
	for _, inTurn := range []bool{true, false} {
		s := NewServer(Capacity{Slots: 64, CacheTokens: 1 << 30, MaxPrefixes: 1000}, NewLatencyModel())
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
		got, _ := s.EstimateFirstToken(now, nil, 500, 10)
		if inTurn {
			assert.Greater(t, got, 300*ms)
		} else {
			assert.Less(t, got, 150*ms)
		}
	}
}

func TestSlowServerLags(t *testing.T) {
	s := NewServer(testCapacity, NewLatencyModel())
	now := time.Duration(0)
	for range 20 {
		r := s.Begin(now, nil, 100, 10)
		now += 400 * ms
		r.Events(now, 1)
		r.End(now, true)
	}
	assert.Greater(t, s.LagMs(now), 100.0)
	assert.Less(t, s.LagMs(now+time.Minute), 1.0, "it is forgotten")
}

func TestEndIsIdempotent(t *testing.T) {
	s := NewServer(testCapacity, NewLatencyModel())
	r := s.Begin(0, nil, 100, 10)
	r.Events(ms, 1)
	r.End(2*ms, true)
	r.End(2*ms, true)
	r.Events(3*ms, 1)
	assert.Zero(t, s.decoding)
	assert.Zero(t, s.reservedTokens)
}

// TestPrefixCache plays the bounded memory of parts against a plain one.
func TestPrefixCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := prefixCache{maxTokens: rapid.IntRange(0, 200).Draw(t, "room"), maxEntries: rapid.IntRange(0, 12).Draw(t, "most")}
		var plain []Segment // the latest used last
		sum := func() (n int) {
			for _, p := range plain {
				n += p.Tokens
			}
			return n
		}
		trim := func() {
			for len(plain) > 0 && (sum() > k.maxTokens || len(plain) > k.maxEntries) {
				plain = plain[1:]
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"use": func(t *rapid.T) {
				p := Segment{uint64(rapid.IntRange(1, 30).Draw(t, "id")), rapid.IntRange(0, 60).Draw(t, "tokens")}
				k.touch(p.ID, p.Tokens)
				if p.Tokens > k.maxTokens || k.maxEntries < 1 {
					return
				}
				if i := slices.IndexFunc(plain, func(x Segment) bool { return x.ID == p.ID }); i >= 0 {
					p = plain[i]
					plain = slices.Delete(plain, i, i+1)
				}
				plain = append(plain, p)
				trim()
			},
			"forget": func(t *rapid.T) {
				id := uint64(rapid.IntRange(1, 30).Draw(t, "id"))
				k.remove(id)
				plain = slices.DeleteFunc(plain, func(x Segment) bool { return x.ID == id })
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
					require.True(t, k.contains(p.ID))
					require.Equal(t, p.ID, k.entries[at-1].prefix)
					at = k.entries[at-1].prev
				}
				require.Zero(t, at)
				require.LessOrEqual(t, len(k.entries), 31)
			},
		})
	})
}

// TestPrefillQueue plays prompts that are read in turn: what is left is what a server would have left.
func TestPrefillQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, busyTo := prefillQueue{}, time.Duration(0), time.Duration(0)
		var ids []uint64
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				work := rapid.IntRange(0, 50).Draw(t, "work")
				ids = append(ids, q.push(now, float64(work)))
				busyTo = max(busyTo, now) + time.Duration(work)*ms
			},
			"pass": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * ms },
			"read": func(t *rapid.T) {
				if len(ids) > 0 {
					q.complete(rapid.SampledFrom(ids).Draw(t, "id"), true)
					busyTo = now + duration(q.backlogMs(now, math.Inf(1)))
				}
			},
			"": func(t *rapid.T) {
				require.InDelta(t, millis(max(busyTo-now, 0)), q.backlogMs(now, math.Inf(1)), 1e-3)
				require.LessOrEqual(t, q.backlogMs(now, 7), 7*float64(q.len(now))+1e-9)
				require.LessOrEqual(t, len(q.jobs), maxQueuedPrefills)
			},
		})
	})
}

// TestArbitraryEventOrder has events of runs in any order: counts come back to nothing, and estimates make
// sense throughout.
func TestArbitraryEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewServer(testCapacity, NewLatencyModel())
		now := time.Duration(0)
		var sequences []*Sequence
		advance := func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * ms }
		pick := func(t *rapid.T) *Sequence {
			if len(sequences) == 0 {
				t.Skip("none")
			}
			return rapid.SampledFrom(sequences).Draw(t, "run")
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				n := rapid.IntRange(0, 12_000).Draw(t, "tokens")
				x := prefixes(Segment{uint64(rapid.IntRange(0, 9).Draw(t, "part")), n / 2}, Segment{uint64(len(sequences)) + 100, n - n/2})
				sequences = append(sequences, s.Begin(now, x, n, rapid.IntRange(0, 500).Draw(t, "out")))
			},
			"sent":   func(t *rapid.T) { advance(t); pick(t).Sent(now) },
			"events": func(t *rapid.T) { advance(t); pick(t).Events(now, rapid.IntRange(-1, 30).Draw(t, "n")) },
			"end":    func(t *rapid.T) { advance(t); pick(t).End(now, rapid.Bool().Draw(t, "ran")) },
			"heard": func(t *rapid.T) {
				advance(t)
				s.ObserveLoad(now, Load{rapid.IntRange(-1, 20).Draw(t, "run"), rapid.IntRange(-1, 50).Draw(t, "wait"), rapid.IntRange(-1, 20).Draw(t, "slots")})
			},
			"foreign": func(t *rapid.T) {
				s.BeginRemote(now, time.Duration(rapid.IntRange(-5, 500).Draw(t, "age"))*ms, nil, rapid.IntRange(-1, 9000).Draw(t, "n"), rapid.IntRange(-1, 9000).Draw(t, "u"))
			},
			"": func(t *rapid.T) {
				first, uncached := s.EstimateFirstToken(now, nil, 1000, 100)
				require.Greater(t, first, time.Duration(0))
				require.Less(t, first, 24*time.Hour)
				require.Equal(t, 1000, uncached)
			},
		})
		for _, r := range sequences {
			r.End(now, true)
		}
		require.Zero(t, s.reservedTokens)
		require.Zero(t, s.decoding)
		require.Empty(t, s.prefilling)
	})
}

func BenchmarkEstimate(b *testing.B) {
	s := NewServer(Capacity{Slots: 64, CacheTokens: 600_000, MaxPrefixes: 4000}, NewLatencyModel())
	for i := range 200 {
		s.Begin(0, prefixes(Segment{uint64(i), 500}, Segment{uint64(i) + 1000, 500}), 1000, 10).Events(ms, 1)
	}
	x := prefixes(Segment{7, 500}, Segment{9999, 500})
	for b.Loop() {
		s.EstimateFirstToken(2*ms, x, 1000, 10)
	}
}
