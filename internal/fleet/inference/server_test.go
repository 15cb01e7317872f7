package inference

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var testCapacity = Capacity{Slots: 8, CacheTokens: 10_000, TokensPerEvent: 4, MaxPrefixes: 100}

func prefixes(segments ...Segment) []Segment { return AppendPrefixes(nil, "m", segments) }

func TestCachedTokensCountsOnlyTheLeadingPrefixes(t *testing.T) {
	s := NewServer(testCapacity, NewLatencyModel())
	x := prefixes(Segment{1, 4000}, Segment{2, 4000}, Segment{3, 1000})
	s.Begin(0, x, 9000, 10)
	assert.Equal(t, 9000, s.CachedTokens(x))
	assert.Equal(t, 4000, s.CachedTokens(prefixes(Segment{1, 4000}, Segment{9, 10})))
	s.Begin(0, prefixes(Segment{4, 1500}), 1500, 10)
	assert.Equal(t, 8000, s.CachedTokens(x), "the last prefix of a prompt is evicted first")
	s.Begin(0, prefixes(Segment{5, 6000}), 6000, 10)
	assert.Zero(t, s.CachedTokens(x)-s.CachedTokens(x[:1]), "a prefix does not count without the prefixes before it")
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
	assert.InDelta(t, 3*priorPrefillMs, millis(behind-empty), 2, "a prompt waits for the prefills before it")
	cached, uncached := s.EstimateFirstToken(0, prefixes(Segment{1, 3000}, Segment{2, 1000}), 4000, 10)
	assert.Equal(t, 1000, uncached)
	assert.InDelta(t, millis(behind), millis(cached), 2, "cached tokens add only attention work")
	later, _ := s.EstimateFirstToken(30*ms, nil, 1000, 10)
	assert.InDelta(t, 30, millis(behind-later), 1, "the queue has advanced")
	large, _ := s.EstimateFirstToken(30*ms, nil, 20_000, 10)
	assert.Equal(t, unservableEstimate, large, "the prompt does not fit into the KV cache")
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
	assert.Equal(t, 16, s.Slots(), "the report of the server takes precedence over the configuration")
	assert.Equal(t, 3, s.Running(0))
	s.ObserveLoad(0, Load{Running: 16, Waiting: 40, Slots: 16})
	full, _ := s.EstimateFirstToken(0, nil, 100, 10)
	assert.Greater(t, full, reported+time.Second, "all slots are taken, and many requests wait")
	before := s.load
	s.ObserveLoad(0, Load{Running: -1})
	assert.Equal(t, before, s.load)
}

func TestRemotePrefillsAreQueued(t *testing.T) {
	s := NewServer(testCapacity, NewLatencyModel())
	base, _ := s.EstimateFirstToken(0, nil, 100, 10)
	s.BeginRemote(100*ms, 40*ms, prefixes(Segment{7, 2000}), 8000, 6000)
	delayed, _ := s.EstimateFirstToken(100*ms, nil, 100, 10)
	assert.InDelta(t, 6*priorPrefillMs-40, millis(delayed-base), 10, "the prefill began when the prompt was sent")
	assert.Equal(t, 2000, s.CachedTokens(prefixes(Segment{7, 2000})), "the notice's prefixes are cached now")
	s.BeginRemote(100*ms, -time.Hour, nil, -5, 1<<40)
	s.BeginRemote(100*ms, time.Hour, nil, 100, -1)
	afterInvalid, _ := s.EstimateFirstToken(100*ms, nil, 100, 10)
	assert.InDelta(t, millis(delayed), millis(afterInvalid), 1, "invalid notices add no delay")
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
	assert.Less(t, s.LagMs(now+time.Minute), 1.0, "the lag has decayed")
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

// TestArbitraryEventOrder applies the events of sequences in any order. Estimates stay plausible, and
// counts return to zero once all sequences have ended.
func TestArbitraryEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewServer(testCapacity, NewLatencyModel())
		now := time.Duration(0)
		var sequences []*Sequence
		advance := func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * ms }
		sequence := func(t *rapid.T) *Sequence {
			if len(sequences) == 0 {
				t.Skip("no sequence has begun")
			}
			return rapid.SampledFrom(sequences).Draw(t, "sequence")
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				n := rapid.IntRange(0, 12_000).Draw(t, "tokens")
				x := prefixes(
					Segment{uint64(rapid.IntRange(0, 9).Draw(t, "segment")), n / 2},
					Segment{uint64(len(sequences)) + 100, n - n/2})
				sequences = append(sequences, s.Begin(now, x, n, rapid.IntRange(0, 500).Draw(t, "output")))
			},
			"sent":   func(t *rapid.T) { advance(t); sequence(t).Sent(now) },
			"events": func(t *rapid.T) { advance(t); sequence(t).Events(now, rapid.IntRange(-1, 30).Draw(t, "n")) },
			"end":    func(t *rapid.T) { advance(t); sequence(t).End(now, rapid.Bool().Draw(t, "ran")) },
			"load": func(t *rapid.T) {
				advance(t)
				s.ObserveLoad(now, Load{
					Running: rapid.IntRange(-1, 20).Draw(t, "running"),
					Waiting: rapid.IntRange(-1, 50).Draw(t, "waiting"),
					Slots:   rapid.IntRange(-1, 20).Draw(t, "slots"),
				})
			},
			"remote": func(t *rapid.T) {
				age := time.Duration(rapid.IntRange(-5, 500).Draw(t, "age")) * ms
				s.BeginRemote(now, age, nil,
					rapid.IntRange(-1, 9000).Draw(t, "prompt"), rapid.IntRange(-1, 9000).Draw(t, "uncached"))
			},
			"": func(t *rapid.T) {
				first, uncached := s.EstimateFirstToken(now, nil, 1000, 100)
				require.Greater(t, first, time.Duration(0))
				require.Less(t, first, 24*time.Hour)
				require.Equal(t, 1000, uncached)
			},
		})
		for _, sequence := range sequences {
			sequence.End(now, true)
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
