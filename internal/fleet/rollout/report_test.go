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

// An agent of the full size sends 19 requests a second: what it reports of them is small.
func TestReportIsSmall(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(rng, 1.1, 20, 1_600_000)
	tr, m := NewSendTracker(), NewSampleRecorder()
	bytes, reports := 0, 0
	for at := time.Second; at < 300*time.Second; at += time.Second {
		for range 19 {
			g := Group{"r-" + fmt.Sprint(rng.IntN(4)), zipf.Uint64() + 1}
			s := fmt.Sprintf("i-%08x", g.Key%850)
			tr.Record(at, s, g)
			m.Record(&Sample{Group: g, PromptTokens: 500 << rng.IntN(5), Server: s, FirstToken: 300 * time.Millisecond, FirstTokenTarget: 800 * time.Millisecond, Events: 50}, rng.IntN(2) == 0, false)
		}
		r := &Report{Source: "agent/0123456789ab", Seq: uint64(at / time.Second), Region: "north", Rollout: 1, AppliedVersion: 7, Sends: tr.Take(), Samples: m.Take()}
		raw, err := msgpack.Marshal(r)
		require.NoError(t, err)
		bytes += len(raw)
		reports++
	}
	t.Logf("%d bytes a report", bytes/reports)
	assert.Less(t, bytes/reports, 5000)
}

func TestImplausibleReportsAreIgnored(t *testing.T) {
	j := NewJudge()
	for _, bad := range []Counts{{Attempts: -1}, {Attempts: 1, Failed: 5}, {Attempts: 10, LogFirstToken: math.Inf(1)}, {Attempts: 10, Answered: 10, CacheHits: 3, Late: 4}, {Attempts: 10, LogFirstTokenSquared: math.NaN()}} {
		j.Add([]StratumCounts{{Stratum{Route: "r", New: true}, bad}, {Stratum{Route: "r"}, Counts{Attempts: 100}}})
		assert.NotContains(t, j.counts, Stratum{Route: "r", New: true}, "%+v", bad)
	}
	w := NewReportAggregator(startedRecord(t))
	assert.Error(t, w.Add(&Report{}))
	require.NoError(t, w.Add(&Report{Source: "a", Seq: 2, Rollout: 1, AppliedVersion: 5}))
	require.NoError(t, w.Add(&Report{Source: "a", Seq: 1, Rollout: 1, AppliedVersion: 3}), "a late one is passed over")
	assert.EqualValues(t, 5, w.Agents([]string{"a", "b"})[0].AppliedVersion)
	assert.Zero(t, w.Agents([]string{"a", "b"})[1].AppliedVersion)
	w.Agents([]string{"b"})
	assert.Empty(t, w.agents)
}
