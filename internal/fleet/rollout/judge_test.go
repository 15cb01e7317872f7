package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// judgeTraffic plays requests of both sides, a part of them at new servers, and looks at the verdict as
// often as it changes.
func judgeTraffic(seed uint64, seconds int, perSecond float64, newShare float64, change func(s *Sample, isNew bool, rng *rand.Rand), inspect func(*Judge)) *Judge {
	rng := rand.New(rand.NewPCG(seed, 5))
	j, m := NewJudge(), NewSampleRecorder()
	for sec := range seconds {
		// Load and mix change in time, and new servers get another mix.
		load := 1 + 0.8*math.Sin(float64(sec)/200)
		for range int(perSecond) {
			isNew := rng.Float64() < newShare
			prompt := 500
			if rng.Float64() < 0.3+0.3*math.Sin(float64(sec)/100) || isNew && rng.Float64() < 0.3 {
				prompt = 6000
			}
			first := (40 + float64(prompt)/60) * load * math.Exp(0.4*rng.NormFloat64())
			s := &Sample{Group: Group{[]string{"a", "b"}[prompt/3001], uint64(rng.IntN(50))}, PromptTokens: prompt, Server: "s",
				FirstToken: time.Duration(first * 1e6), FirstTokenTarget: 300 * time.Millisecond, GapTarget: 300 * time.Millisecond, LongestGap: time.Duration(100+100*rng.ExpFloat64()) * time.Millisecond,
				Events: 20 + rng.IntN(60), Failed: rng.Float64() < 0.01, Rejected: rng.Float64() < 0.02*load}
			if change != nil {
				change(s, isNew, rng)
			}
			m.Record(s, isNew, false)
		}
		j.Add(m.Take().Strata)
		j.Tick(time.Duration(sec+1) * time.Second)
		if inspect != nil && sec%int(slotDuration/time.Second) == 0 {
			inspect(j)
		}
	}
	return j
}

// Two revisions that are alike are never told apart, however often one looks and whatever load and
// mix do.
func TestEqualRevisionsPass(t *testing.T) {
	sp := defaultSpec().Judge
	seeds := uint64(60)
	if raceEnabled {
		seeds = 2
	}
	for seed := range seeds {
		for _, share := range []float64{0.01, 0.5, 0.95} {
			j := judgeTraffic(seed, 600, 40, share, nil, func(j *Judge) {
				v := j.Verdict(&sp)
				assert.NotEqual(t, RulingFail, v.Ruling, "seed %d, part %v: %+v", seed, share, v)
			})
			v := j.Verdict(&sp)
			if share == 0.5 {
				assert.Equal(t, RulingPass, v.Ruling)
				assert.InDelta(t, 1, v.LatencyRatio, 0.03)
			}
		}
	}
}

func TestWorseRevisionFails(t *testing.T) {
	sp := defaultSpec().Judge
	for name, change := range map[string]func(s *Sample, isNew bool, rng *rand.Rand){
		"fail":         func(s *Sample, isNew bool, rng *rand.Rand) { s.Failed = s.Failed || isNew && rng.Float64() < 0.06 },
		"are rejected": func(s *Sample, isNew bool, rng *rand.Rand) { s.Rejected = s.Rejected || isNew && rng.Float64() < 0.12 },
		"stall": func(s *Sample, isNew bool, rng *rand.Rand) {
			s.LongestGap += map[bool]time.Duration{true: 150 * time.Millisecond}[isNew]
		},
		"late": func(s *Sample, isNew bool, _ *rand.Rand) {
			s.FirstToken = time.Duration(float64(s.FirstToken) * map[bool]float64{true: 1.7, false: 1}[isNew])
		},
		"streams differ": func(s *Sample, isNew bool, _ *rand.Rand) { s.Events *= map[bool]int{true: 4, false: 1}[isNew] },
		"route b": func(s *Sample, isNew bool, rng *rand.Rand) {
			s.Failed = s.Failed || isNew && s.Group.Route == "b" && rng.Float64() < 0.1
		},
		"groups of class 3": func(s *Sample, isNew bool, rng *rand.Rand) {
			s.Failed = s.Failed || isNew && s.Group.bucket()%groupClasses == 3 && rng.Float64() < 0.3
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := judgeTraffic(1, 900, 40, 0.3, change, nil).Verdict(&sp)
			assert.Equal(t, RulingFail, v.Ruling, "%+v", v)
			if name != "groups of class 3" && name != "route b" {
				assert.Contains(t, v.Reason, name)
			}
		})
	}
	// What is borne is no reason.
	v := judgeTraffic(1, 900, 40, 0.3, func(s *Sample, isNew bool, _ *rand.Rand) {
		if isNew {
			s.FirstToken = s.FirstToken * 115 / 100
		}
	}, nil).Verdict(&JudgeSpec{MinSamples: 100, MaxFailureIncrease: 0.01, MaxRejectionIncrease: 0.03, MaxLatenessIncrease: 0.2, MaxStallIncrease: 0.03, MaxLatencyRatio: 1.3, MaxLengthRatio: 2})
	assert.Equal(t, RulingPass, v.Ruling, "%+v", v)
	assert.InDelta(t, 1.15, v.LatencyRatio, 0.03)
}
