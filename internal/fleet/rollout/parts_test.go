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

func TestSharesByStep(t *testing.T) {
	r := startedRecord(t)
	assert.InDelta(t, 1, r.Rules().Share("any", "", 2), 0, "no stock was taken: nothing changes")
	r.Initialized = true
	r.Draining = []DrainingServer{{ID: "a", Addr: "x", Step: DrainThird}, {ID: "b", Step: DrainTenth}, {ID: "c", Step: DrainClosed}, {ID: "d", Step: DrainMigrating}, {ID: "e", Addr: "y", Step: DrainReplacing}}
	r.Ramping = []RampingServer{{ID: "f", Step: RampWarming}, {ID: "g", Step: RampThird}}
	r.addFullShare("h")
	u := r.Rules()
	for id, want := range map[string]float64{"a": 0.3, "b": 0.1, "c": 0, "d": 0, "e": 0} {
		assert.InDelta(t, want, u.Share(id, "", 1), 0, id)
		assert.True(t, u.IsDraining(id))
	}
	assert.InDelta(t, 0.1, u.Share("f", "", 2), 0)
	assert.InDelta(t, 0.3, u.Share("g", "", 2), 0)
	assert.InDelta(t, 1, u.Share("h", "", 2), 0)
	assert.InDelta(t, 0, u.Share("new", "", 2), 0, "nobody has taken it in")
	assert.InDelta(t, 1, u.Share("old", "", 1), 0)
	assert.InDelta(t, 1, u.Share("other", "", -1), 0)
	assert.True(t, u.IsWarming("f"))
	assert.False(t, u.IsWarming("g"))
	assert.True(t, u.ShouldMigrate("d"))
	assert.False(t, u.ShouldMigrate("c"))
	assert.Equal(t, 3, len(u.ClosedServers()))

	// An abort changes nothing before the holder has taken stock, and then the sides.
	b, err := r.Abort(1, "")
	require.NoError(t, err)
	assert.InDelta(t, 1, b.Rules().Share("h", "", 2), 0)
	assert.InDelta(t, 0, b.Rules().Share("new", "", 2), 0)
	assert.InDelta(t, 1, b.Rules().Share("old", "", 1), 0)
	b.Initialized, b.FullShare = true, nil
	b.addFullShare("old")
	assert.InDelta(t, 1, b.Rules().Share("old", "", 1), 0)
	assert.InDelta(t, 0, b.Rules().Share("unknown", "", 1), 0)
	assert.InDelta(t, 0, b.Rules().Share("late", "y", 2), 0, "it was handed over before, and came up with what is left")
	assert.InDelta(t, 1, b.Rules().Share("h", "z", 2), 0)
	b.finish(PhaseRolledBack)
	assert.InDelta(t, 1, b.Rules().Share("late", "y", 2), 0)
}

func TestSessionSharesAreNestedAndEven(t *testing.T) {
	const n = 20000
	for _, share := range []float64{tenthShare, thirdShare} {
		got := 0
		for i := range uint64(n) {
			if AcceptsSession("s", i, share) {
				got++
				assert.True(t, AcceptsSession("s", i, 1))
				if share == tenthShare {
					assert.True(t, AcceptsSession("s", i, thirdShare))
				}
			}
		}
		assert.InDelta(t, share, float64(got)/n, 0.01)
	}
	assert.False(t, AcceptsSession("s", 1, 0))
}

func TestSessionsKeepTheirRevision(t *testing.T) {
	s := &SessionAffinity{}
	now := time.Hour
	for i := range uint64(5000) {
		s.Record(now, i, s.PrefersNew(i, 0.5))
	}
	strayed := 0
	for i := range uint64(5000) {
		was := sessionThreshold(i) < 0.5
		if s.PrefersNew(i, 0.9) != was {
			strayed++
		}
		if s.PrefersNew(i, 0.1) != was {
			strayed++
		}
	}
	assert.LessOrEqual(t, strayed, 100, "strangers are mistaken for others now and then")
	fresh := 0
	for i := range uint64(5000) {
		if s.PrefersNew(1<<40+i, 0.9) {
			fresh++
		}
	}
	assert.InDelta(t, 4500, fresh, 250)
	// Silent ones are forgotten, as are those beyond what it remembers.
	s.Record(now+2*sessionWindow, 1<<50, true)
	s.Record(now+4*sessionWindow, 1<<51, true)
	changed := 0
	for i := range uint64(5000) {
		if s.PrefersNew(i, 1) != (sessionThreshold(i) < 0.5) {
			changed++
		}
	}
	assert.Greater(t, changed, 2300)
	for i := range uint64(10 * sessionFilterCapacity) {
		s.Record(now+4*sessionWindow, i, true)
	}
	assert.LessOrEqual(t, s.count, sessionFilterCapacity)
}

// sessionThreshold is where a session stands that nobody remembers.
func sessionThreshold(session uint64) float64 {
	lo, hi := 0.0, 1.0
	var s SessionAffinity
	for range 50 {
		if mid := (lo + hi) / 2; s.PrefersNew(session, mid) {
			hi = mid
		} else {
			lo = mid
		}
	}
	return hi
}

func TestWarmupIsRateLimited(t *testing.T) {
	r := startedRecord(t)
	r.Initialized = true
	r.Ramping = []RampingServer{{ID: "a"}, {ID: "b"}}
	u := r.Rules()
	f := NewWarmupLimiter()
	const agents = 4
	n := 0
	for at := time.Duration(0); at < 100*time.Second; at += 10 * time.Millisecond {
		if f.Allow(at, u, "a", agents) {
			n++
		}
	}
	assert.InDelta(t, 100*u.WarmupPromptsPerSecond/agents, n, 3)
	for i := range 10 * maxInTransition {
		f.Allow(0, u, fmt.Sprint("x", i), agents)
	}
	assert.LessOrEqual(t, len(f.limits), maxInTransition)
}

func TestReplicaMapFindsShortages(t *testing.T) {
	s := testSpec(t)
	now := time.Hour
	g := NewReplicaMap()
	g.Tick(now)
	a, b := NewSendTracker(), NewSendTracker()
	hot := Group{"r.dossier", 77}
	for i := range 400 {
		a.Record(now, []string{"x", "y"}[i%2], hot)
		a.Record(now, "x", Group{"quick", uint64(i)})
	}
	for range 30 {
		b.Record(now, "x", Group{"quick", 1000})
	}
	b.Record(now, "z", Group{"quick", 1000})
	ra, rb := a.Take(), b.Take()
	g.Add(s, "n", &ra)
	g.Add(s, "s", &rb)
	assert.Empty(t, a.Take().Buckets)

	servers := map[string]serverReplica{"x": {"n", oldRevision, true}, "y": {"n", oldRevision, true}, "z": {"n", newRevision, true}, "w": {"s", oldRevision, true}}
	n, worst := g.shortages("x", servers, 20, false)
	assert.Equal(t, 2, n, "the hot one by its hash and by its name; the others come seldom or are asked for elsewhere")
	assert.Equal(t, 3, worst.Need)
	assert.Equal(t, 1, worst.Have)
	assert.Contains(t, worst.Group, "r.dossier/")
	n, _ = g.shortages("x", servers, 20, true)
	assert.Zero(t, n, "y holds it, too")
	y := servers["y"]
	y.serves = false
	servers["y"] = y
	n, worst = g.shortages("x", servers, 20, true)
	assert.Equal(t, 2, n)
	assert.Equal(t, Shortage{worst.Group, 0, 1}, worst)
	n, _ = g.shortages("w", servers, 20, false)
	assert.Zero(t, n)

	for range 2 * epochs {
		now += epochDuration
		g.Tick(now)
	}
	assert.Empty(t, g.rows)
	assert.Empty(t, g.hot)
}

func TestReplicaMapIsBounded(t *testing.T) {
	s := testSpec(t)
	g, tr := NewReplicaMap(), NewSendTracker()
	for i := range 4 * maxReportPairs {
		for range 3 {
			tr.Record(time.Second, fmt.Sprint("s", i), Group{"quick", uint64(i)})
		}
	}
	assert.LessOrEqual(t, len(tr.bucketSends), maxReportPairs)
	assert.LessOrEqual(t, len(tr.hotCounts), trackedHotGroups)
	r := tr.Take()
	for i := range 4 {
		g.Add(s, fmt.Sprint("region", i*7), &r)
	}
	many := Sends{Hot: map[string][]HotGroupSends{"x": nil}, Buckets: map[string]map[string][]uint32{}}
	for i := range 3 * maxHotGroups {
		many.Hot["x"] = append(many.Hot["x"], HotGroupSends{Group{"r", uint64(i)}, -5})
		many.Buckets[fmt.Sprint(i)] = map[string][]uint32{"x": {math.MaxUint32}}
	}
	g.Add(s, "n", &many)
	assert.LessOrEqual(t, len(g.hot), maxHotGroups)
	assert.LessOrEqual(t, len(g.regions), maxRegions)
	assert.LessOrEqual(t, len(g.routes), 254)
}

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
