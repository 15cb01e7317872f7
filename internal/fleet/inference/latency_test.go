package inference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLatencyModelIsLearned learns the latencies of a server that differ from the prior ones.
func TestLatencyModelIsLearned(t *testing.T) {
	latency := NewLatencyModel()
	s := NewServer(Capacity{Slots: 64, CacheTokens: 1 << 30, TokensPerEvent: 5, MaxPrefixes: 1000}, latency)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Duration(0)
	const fixedMs, prefillMs, attentionMs, decodeMs, perStreamMs = 6.0, 5.0, 0.6, 9.0, 0.2
	firstTokenMs := func(tokens int) float64 {
		n := float64(tokens)
		return fixedMs + prefillMs*n/1e3 + attentionMs*n*n/2e6
	}
	for i := range 800 {
		tokens := int(1500 * math.Exp(rng.NormFloat64()))
		sequence := s.Begin(now, prefixes(Segment{uint64(i), tokens}), tokens, 100)
		now += duration(firstTokenMs(tokens))
		sequence.Events(now, 1)
		others := rng.IntN(20)
		sequence.decodeBatch = others
		now += duration(19 * 5 * (decodeMs + perStreamMs*float64(others)))
		sequence.Events(now, 19)
		sequence.End(now, true)
	}
	for _, tokens := range []int{100, 2000, 20_000} {
		want := firstTokenMs(tokens)
		got, _ := s.EstimateFirstToken(now, nil, tokens, 10)
		assert.InDelta(t, want, millis(got), 2+0.1*want, "%d tokens", tokens)
	}
	assert.InDelta(t, decodeMs+perStreamMs*10, millis(latency.TimePerOutputToken(10)), 1)
	assert.Less(t, latency.FirstTokenError(), 10*ms)
}

// TestPrefillOrderIsLearned learns whether a server prefills prompts in order of arrival or interleaved.
func TestPrefillOrderIsLearned(t *testing.T) {
	for _, inOrder := range []bool{true, false} {
		s := NewServer(Capacity{Slots: 64, CacheTokens: 1 << 30, MaxPrefixes: 1000}, NewLatencyModel())
		now := time.Duration(0)
		for range 60 {
			long, short := s.Begin(now, nil, 30_000, 10), s.Begin(now+ms, nil, 500, 10)
			if inOrder {
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
		if inOrder {
			assert.Greater(t, got, 300*ms)
		} else {
			assert.Less(t, got, 150*ms)
		}
	}
}
