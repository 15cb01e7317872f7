package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// At full size an agent sends 19 requests a second. Its reports must stay small.
func TestReportIsSmall(t *testing.T) {
	const requestsPerSecond, seconds = 19, 299
	random := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(random, 1.1, 20, 1_600_000)
	tracker, recorder := NewSendTracker(), NewSampleRecorder()
	bytes := 0
	for second := range seconds {
		now := time.Duration(second+1) * time.Second
		for range requestsPerSecond {
			group := Group{"r-" + fmt.Sprint(random.IntN(4)), zipf.Uint64() + 1}
			server := fmt.Sprintf("i-%08x", group.Key%850)
			tracker.Record(now, server, group)
			sample := &Sample{
				Group:            group,
				PromptTokens:     500 << random.IntN(5),
				Server:           server,
				FirstToken:       300 * time.Millisecond,
				FirstTokenTarget: 800 * time.Millisecond,
				Events:           50,
			}
			recorder.Record(sample, random.IntN(2) == 0, false)
		}
		raw, err := msgpack.Marshal(&Report{
			Source:         "agent/0123456789ab",
			Seq:            uint64(second + 1),
			Region:         "north",
			Rollout:        1,
			AppliedVersion: 7,
			Sends:          tracker.Take(),
			Samples:        recorder.Take(),
		})
		require.NoError(t, err)
		bytes += len(raw)
	}
	t.Logf("%d bytes per report", bytes/seconds)
	assert.Less(t, bytes/seconds, 5000)
}

func TestImplausibleCountsAreIgnored(t *testing.T) {
	judge := NewJudge()
	for name, counts := range map[string]Counts{
		"negative":                    {Attempts: -1},
		"more failures than attempts": {Attempts: 1, Failed: 5},
		"infinite latency":            {Attempts: 10, LogFirstToken: math.Inf(1)},
		"more late than cache hits":   {Attempts: 10, Answered: 10, CacheHits: 3, Late: 4},
		"not a number":                {Attempts: 10, LogFirstTokenSquared: math.NaN()},
	} {
		judge.Add([]StratumCounts{{Stratum{Route: "r", New: true}, counts}, {Stratum{Route: "r"}, Counts{Attempts: 100}}})
		assert.NotContains(t, judge.counts, Stratum{Route: "r", New: true}, name)
		assert.Contains(t, judge.counts, Stratum{Route: "r"}, name)
	}
}

func TestReportsAreAggregatedInOrder(t *testing.T) {
	aggregator := NewReportAggregator(startedRecord(t))
	require.Error(t, aggregator.Add(&Report{}))
	require.NoError(t, aggregator.Add(&Report{Source: "a", Seq: 2, Rollout: 1, AppliedVersion: 5}))
	require.NoError(t, aggregator.Add(&Report{Source: "a", Seq: 1, Rollout: 1, AppliedVersion: 3}), "older report")
	agents := aggregator.Agents([]string{"a", "b"})
	assert.EqualValues(t, 5, agents[0].AppliedVersion)
	assert.Zero(t, agents[1].AppliedVersion)
	aggregator.Agents([]string{"b"})
	assert.Empty(t, aggregator.agents)
}
