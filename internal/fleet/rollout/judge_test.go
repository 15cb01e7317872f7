package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// judgedTraffic generates traffic of both revisions for a judge to compare.
type judgedTraffic struct {
	seed     uint64
	seconds  int
	newShare float64                                        // fraction of the requests at the new revision
	change   func(s *Sample, isNew bool, random *rand.Rand) // makes the revisions differ; may be nil
	inspect  func(*Judge)                                   // called once per slot; may be nil
}

// requestsPerSecond is the rate of the judged traffic.
const requestsPerSecond = 40

// play generates the traffic and returns a judge that has compared it.
func (traffic *judgedTraffic) play() *Judge {
	random := rand.New(rand.NewPCG(traffic.seed, 5))
	judge, recorder := NewJudge(), NewSampleRecorder()
	for second := range traffic.seconds {
		for range requestsPerSecond {
			isNew := random.Float64() < traffic.newShare
			s := randomSample(random, second, isNew)
			if traffic.change != nil {
				traffic.change(s, isNew, random)
			}
			recorder.Record(s, isNew, false)
		}
		judge.Add(recorder.Take().Strata)
		judge.Tick(time.Duration(second+1) * time.Second)
		if traffic.inspect != nil && second%int(slotDuration/time.Second) == 0 {
			traffic.inspect(judge)
		}
	}
	return judge
}

// randomSample returns the sample of a request in a second. The load and the mix of requests change over
// time, and servers of the new revision get another mix.
func randomSample(random *rand.Rand, second int, isNew bool) *Sample {
	const target = 300 * time.Millisecond
	load := 1 + 0.8*math.Sin(float64(second)/200)
	route, prompt := "a", 500
	if random.Float64() < 0.3+0.3*math.Sin(float64(second)/100) || isNew && random.Float64() < 0.3 {
		route, prompt = "b", 6000
	}
	firstTokenMs := (40 + float64(prompt)/60) * load * math.Exp(0.4*random.NormFloat64())
	return &Sample{
		Group:            Group{route, uint64(random.IntN(50))},
		PromptTokens:     prompt,
		Server:           "s",
		FirstToken:       time.Duration(firstTokenMs * 1e6),
		FirstTokenTarget: target,
		GapTarget:        target,
		LongestGap:       time.Duration(100+100*random.ExpFloat64()) * time.Millisecond,
		Events:           20 + random.IntN(60),
		Failed:           random.Float64() < 0.01,
		Rejected:         random.Float64() < 0.02*load,
	}
}

// Equal revisions are never judged different, however often the verdict is read and however the load and
// the mix of requests change.
func TestEqualRevisionsPass(t *testing.T) {
	spec := defaultSpec().Judge
	seeds := uint64(60)
	if raceEnabled {
		seeds = 2
	}
	for seed := range seeds {
		for _, share := range []float64{0.01, 0.5, 0.95} {
			traffic := judgedTraffic{seed: seed, seconds: 600, newShare: share, inspect: func(j *Judge) {
				v := j.Verdict(&spec)
				assert.NotEqual(t, RulingFail, v.Ruling, "seed %d, share %v: %+v", seed, share, v)
			}}
			v := traffic.play().Verdict(&spec)
			if share == 0.5 {
				assert.Equal(t, RulingPass, v.Ruling)
				assert.InDelta(t, 1, v.LatencyRatio, 0.03)
			}
		}
	}
}

func TestWorseRevisionFails(t *testing.T) {
	spec := defaultSpec().Judge
	for name, c := range map[string]struct {
		change func(s *Sample, isNew bool, random *rand.Rand)
		reason string // part of the verdict's reason; "" for any
	}{
		"failures": {func(s *Sample, isNew bool, random *rand.Rand) {
			s.Failed = s.Failed || isNew && random.Float64() < 0.06
		}, "fail"},
		"rejections": {func(s *Sample, isNew bool, random *rand.Rand) {
			s.Rejected = s.Rejected || isNew && random.Float64() < 0.12
		}, "are rejected"},
		"stalls": {func(s *Sample, isNew bool, _ *rand.Rand) {
			if isNew {
				s.LongestGap += 150 * time.Millisecond
			}
		}, "stall"},
		"lateness": {func(s *Sample, isNew bool, _ *rand.Rand) {
			if isNew {
				s.FirstToken = time.Duration(float64(s.FirstToken) * 1.7)
			}
		}, "late"},
		"length": {func(s *Sample, isNew bool, _ *rand.Rand) {
			if isNew {
				s.Events *= 4
			}
		}, "streams differ"},
		"one route": {func(s *Sample, isNew bool, random *rand.Rand) {
			s.Failed = s.Failed || isNew && s.Group.Route == "b" && random.Float64() < 0.1
		}, ""},
		"one class of groups": {func(s *Sample, isNew bool, random *rand.Rand) {
			s.Failed = s.Failed || isNew && s.Group.bucket()%groupClasses == 3 && random.Float64() < 0.3
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			traffic := judgedTraffic{seed: 1, seconds: 900, newShare: 0.3, change: c.change}
			v := traffic.play().Verdict(&spec)
			assert.Equal(t, RulingFail, v.Ruling, "%+v", v)
			assert.Contains(t, v.Reason, c.reason)
		})
	}
}

func TestToleratedDifferencePasses(t *testing.T) {
	traffic := judgedTraffic{seed: 1, seconds: 900, newShare: 0.3, change: func(s *Sample, isNew bool, _ *rand.Rand) {
		if isNew {
			s.FirstToken = s.FirstToken * 115 / 100
		}
	}}
	spec := defaultSpec().Judge
	spec.MinSamples, spec.MaxLatenessIncrease = 100, 0.2
	v := traffic.play().Verdict(&spec)
	assert.Equal(t, RulingPass, v.Ruling, "%+v", v)
	assert.InDelta(t, 1.15, v.LatencyRatio, 0.03)
}
