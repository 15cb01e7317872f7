package rollout

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// figures of a run, for the log.
func (f *fleet) figures(t *testing.T, what string, took time.Duration) {
	t.Helper()
	t.Logf("%s: %v; %d requests, %d late, %d unserved, %d failed, %d reads (%d by new ones); %d of %d sessions changed; least serving %.3f, most out %d; %d writes, record %d bytes; %d of %d short, most reads %d",
		what, took, f.requests, f.late, f.unserved, f.failed, f.reads, f.newReads, f.flips, len(f.sides), f.leastServing, f.mostOut, f.writes, f.recordBytes, f.short, f.looked, f.mostReads)
}

func TestAnAfternoonWithAnUpgrade(t *testing.T) {
	site := small18(1)
	if slow {
		site = small6(1)
	}
	calm := newFleet(t, site)
	calm.play(300)
	f := newFleet(t, site)
	f.play(300)
	f.start()
	took := f.until("the end", f.over)
	calm.until("as long", func() bool { return calm.now >= f.now })
	calm.figures(t, "without", 0)
	f.figures(t, "with", took)
	assert.Equal(t, PhaseDone, f.rec.Phase)
	old, fresh := f.revisions()
	assert.Zero(t, old)
	assert.Equal(t, site.servers, fresh)
	assert.Zero(t, f.unserved)
	assert.LessOrEqual(t, f.late, calm.late+f.requests/1000)
	assert.Equal(t, 1, f.mostOut)
	// The fleet knows what it sent, and not what a server has dropped since.
	assert.LessOrEqual(t, f.short, f.looked/50, "live prompts that had fewer replicas than asked for")
	require.Len(t, f.rec.History, 1)
	assert.Equal(t, site.servers, f.rec.History[0].Replaced)
	assert.Less(t, took, 3*time.Hour)
	assert.Less(t, f.recordBytes, 4096)
}

// The same afternoon with all servers replaced at once, and one after the other without groups.
func TestBaselinesAreWorse(t *testing.T) {
	if slow {
		t.Skip("it takes long, and has one goroutine")
	}
	f := newFleet(t, small18(1))
	f.play(300)
	f.start()
	for range 40 * 60 {
		f.second()
	}
	calm := f.late + f.unserved

	all := newFleet(t, small18(1))
	all.play(300)
	for _, s := range append([]*simServer(nil), all.servers...) {
		all.crash(s, all.m.load)
		all.byID[s.ID].Revision = 1
	}
	all.play(40 * 60)

	bare := newFleet(t, small18(1))
	bare.play(300)
	bare.start(func(s *Spec) {
		s.Pace.SpreadSeconds, s.Pace.StageSeconds, s.Pace.GapSeconds, s.Safety.MinReplicas, s.Judge.MinServerRequests, s.Judge.MinSamples = 0, 0, 0, 0, 0, 10
		s.Pace.WarmupPromptsPerSecond = 1e5
	})
	took := bare.until("the end", bare.over)
	bare.play(max(0, 40*60-int(took/time.Second)))
	all.figures(t, "all at once", 0)
	bare.figures(t, "one by one", took)
	f.figures(t, "by groups", 0)
	assert.Greater(t, all.unserved, 1000*(calm+1)/100)
	assert.Greater(t, bare.short+bare.late, f.short+f.late, "prompts without replicas, or late requests")
}

func TestAWorseRevisionIsTurnedBack(t *testing.T) {
	for name, change := range map[string]func(*makeup){
		"slower":       func(m *makeup) { m.newSlow = 1.8 },
		"fails":        func(m *makeup) { m.newFails = 0.05 },
		"fails always": func(m *makeup) { m.newFails = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			m := small18(2)
			change(&m)
			f := newFleet(t, m)
			f.play(300)
			f.start()
			took := f.until("the end", f.over)
			f.figures(t, name, took)
			t.Logf("turned back after %v: %s", f.turnedAt-f.started, f.rec.Reason)
			assert.Equal(t, PhaseRolledBack, f.rec.Phase)
			old, fresh := f.revisions()
			assert.Zero(t, fresh)
			assert.Equal(t, 18, old)
			assert.Zero(t, f.unserved)
			assert.LessOrEqual(t, f.rec.History[0].Replaced, 10, "few were moved before that")
			assert.Contains(t, f.rec.History[0].Reason, "revision 2 is worse than 1")
		})
	}
}

func TestAWorseRevisionIsHaltedWhereThatIsAskedFor(t *testing.T) {
	m := small18(2)
	m.newFails = 0.2
	f := newFleet(t, m)
	f.play(300)
	f.start(func(s *Spec) { s.OnWorse = OnWorseHalt })
	f.until("the halt", func() bool { return f.rec.Paused })
	assert.Equal(t, PhaseForward, f.rec.Phase)
	assert.Contains(t, f.rec.Reason, "worse")
	for _, e := range f.rec.Ramping {
		assert.Equal(t, RampWarming, e.Step)
	}
	out := len(f.rec.Draining) + len(f.rec.Ramping)
	f.play(600)
	assert.LessOrEqual(t, len(f.rec.Draining)+len(f.rec.Ramping), out, "nothing more is taken")
	rec, err := f.rec.Abort(f.rec.Number, "")
	require.NoError(t, err)
	f.keep(rec)
	f.until("the end", f.over)
	assert.Equal(t, PhaseRolledBack, f.rec.Phase)
	_, fresh := f.revisions()
	assert.Zero(t, fresh)
}

// Holders die between orders and records, each next one knows the record only; for a while there is
// none, as the core is cut.
func TestHoldersComeAndGo(t *testing.T) {
	f := newFleet(t, small6(3))
	f.play(300)
	f.start()
	f.until("the end", func() bool {
		if f.rng.IntN(120) == 0 {
			f.takeOver()
		}
		if f.rng.IntN(300) == 0 {
			f.holding = false
		}
		if f.rng.IntN(60) == 0 {
			f.holding = true
		}
		return f.over()
	})
	f.figures(t, "holders", f.now-f.started)
	assert.Equal(t, PhaseDone, f.rec.Phase)
	assert.Zero(t, f.unserved)
	assert.Equal(t, 1, f.mostOut)
}

func TestABurstGivesAServerBack(t *testing.T) {
	f := newFleet(t, small6(4))
	f.play(300)
	f.start()
	f.until("a server that is emptied", func() bool {
		return len(f.rec.Draining) > 0 && f.rec.Draining[0].Step == DrainTenth
	})
	id := f.rec.Draining[0].ID
	f.burst = 2
	f.until("its return", func() bool { return f.rec.draining(id) == nil })
	assert.Equal(t, registry.Ready, f.byID[id].State)
	f.play(60)
	assert.Empty(t, f.rec.Draining, "none is taken while there is no room")
	assert.Contains(t, f.machine.waitReasons[len(f.machine.waitReasons)-1], "has room for")
	f.burst = 1
	f.until("the end", f.over)
	assert.Equal(t, PhaseDone, f.rec.Phase)
	assert.Zero(t, f.unserved)
}

func TestAZoneIsLostMeanwhile(t *testing.T) {
	f := newFleet(t, small6(5))
	f.play(300)
	f.start()
	f.until("half of it", func() bool { _, fresh := f.revisions(); return fresh >= 3 })
	for _, s := range append([]*simServer(nil), f.servers...) {
		if s.Zone == "k/b" && s.State == registry.Ready {
			f.crash(s, 5*time.Minute)
		}
	}
	f.play(60)
	for range 200 {
		assert.Empty(t, f.rec.Draining, "none is taken while a zone is away")
		f.second()
	}
	f.until("the end", f.over)
	f.figures(t, "zone lost", f.now-f.started)
	assert.Equal(t, PhaseDone, f.rec.Phase)
	old, fresh := f.revisions()
	assert.Zero(t, old)
	assert.Equal(t, 6, fresh)
}

func TestAnAgentThatIsCutOffHoldsNothingUpOnceItsLeaseIsOver(t *testing.T) {
	f := newFleet(t, small6(6))
	f.play(300)
	f.agents[0].cut = true
	f.start()
	f.play(180)
	require.NotEmpty(t, f.rec.Draining)
	assert.Equal(t, DrainThird, f.rec.Draining[0].Step, "it has not told that it obeys")
	// Its lease is over, and it serves on by what it knew: here it sends nothing more to what is taken,
	// as servers that drain close its connections.
	f.agents[0].member = false
	f.agents[0].rules = f.rec.Rules()
	f.until("a server that is replaced", func() bool { return len(f.rec.Ramping) > 0 })
}

func TestThePlatformsOwnDrainsAreTakenIn(t *testing.T) {
	f := newFleet(t, small6(7))
	f.play(300)
	f.start()
	f.until("a thinned server", func() bool { return len(f.rec.Draining) > 0 && f.rec.Draining[0].Step == DrainTenth })
	// It drains the one that is on its way out, and another one.
	x, y := f.byID[f.rec.Draining[0].ID], f.servers[0]
	if x == y {
		y = f.servers[1]
	}
	for _, s := range []*simServer{x, y} {
		s.State, s.goneAt = registry.Draining, f.now+2*time.Second
		for _, a := range f.agents {
			delete(a.held, s.ID)
		}
	}
	f.second()
	l := f.rec.draining(x.ID)
	require.NotNil(t, l)
	assert.Equal(t, DrainReplacing, l.Step)
	f.until("the end", f.over)
	assert.Equal(t, PhaseDone, f.rec.Phase)
	old, fresh := f.revisions()
	assert.Zero(t, old)
	assert.Equal(t, 6, fresh)
}

func TestOneReplicaInAllIsSpreadFirst(t *testing.T) {
	m := small6(8)
	m.servers, m.zones, m.rate, m.prompts = 3, []string{"k/a"}, 5, 3
	m.spec = func(s *Spec) { s.Safety.PeakLoad, s.Safety.SpareServers, s.Safety.MinReplicas = 0.2, 0, 2 }
	f := newFleet(t, m)
	f.play(300)
	f.start()
	f.until("the end", f.over)
	assert.Equal(t, PhaseDone, f.rec.Phase)
	assert.LessOrEqual(t, f.short, f.looked/20)

	// Where the floor can't be had the rollout waits, and says for which group.
	m.servers = 2
	f = newFleet(t, m)
	f.play(300)
	f.start()
	f.until("the reason", func() bool { return f.machine.worstShortage.Group != "" && len(f.machine.waitReasons) > 0 })
	f.play(60)
	assert.Contains(t, f.machine.waitReasons[0], "replicas beside it, and needs 2")
	_, fresh := f.revisions()
	assert.Zero(t, fresh)
}

func TestAServerIsGivenBackWhenItsReplicasCrash(t *testing.T) {
	m := small6(10)
	m.servers, m.zones, m.rate, m.prompts = 3, []string{"k/a"}, 5, 3
	m.spec = func(s *Spec) { s.Safety.PeakLoad, s.Safety.SpareServers, s.Safety.MinReplicas = 0.1, 0, 2 }
	f := newFleet(t, m)
	f.play(300)
	f.start()
	f.until("a server that is closed", func() bool { return len(f.rec.Draining) > 0 && f.rec.Draining[0].Step == DrainFinishing })
	x := f.rec.Draining[0].ID
	for _, s := range append([]*simServer(nil), f.servers...) {
		if s.ID != x {
			f.crash(s, 2*time.Minute)
		}
	}
	f.play(2)
	assert.Nil(t, f.rec.draining(x), "nobody else has its groups")
	assert.InDelta(t, 1, f.rec.Rules().Share(x, f.byID[x].Addr, 1), 0)
	f.until("the end", f.over)
	assert.Equal(t, PhaseDone, f.rec.Phase)
}

func TestAConfigurationThatNoLongerFitsPauses(t *testing.T) {
	f := newFleet(t, small6(9))
	f.play(60)
	f.start()
	facts := f.facts()
	facts.ConfigError = errors.New("service: there is none")
	rec := f.machine.Reconcile(f.now, f.rec, facts)
	require.NotNil(t, rec)
	assert.True(t, rec.Paused)
	assert.Contains(t, rec.Reason, "service: there is none")
}

var full = flag.Bool("full", false, "play a whole upgrade with 850 servers")

// The size to design for: 850 servers in five zones of two regions, 1.6 million shared prompts, at
// the peak; an eighth of it but with -full. One request of forty is played, of one prompt of forty.
func TestAWholeUpgradeAtFullSize(t *testing.T) {
	if slow {
		t.Skip("it takes long, and has one goroutine")
	}
	const scale = 40
	parts := 8
	if *full {
		parts = 1
	}
	m := makeup{zones: []string{"n/a", "n/b", "n/c", "s/d", "s/e"}, servers: 850 / parts, agents: 36, rate: 6800 / scale / float64(parts), prompts: 1_600_000 / scale / parts, keep: 126 / scale,
		readMs: 79, firstMs: 60, workMs: 60 * scale * 1.5, stream: 8 * time.Second, load: 90 * time.Second, seed: 1, scale: scale,
		spec: func(s *Spec) {
			s.Pace.AtOnce, s.Pace.GapSeconds = 24/parts, 2
			s.Safety.PeakLoad = 0.8
			s.Judge.MinSamples, s.Judge.MinServerRequests = 20, 1 // as one request of forty is played
			s.Safety.LiveSeconds *= 4
		}}
	f := newFleet(t, m)
	f.play(900)
	before, requests := f.reads, f.requests
	f.play(600)
	before, requests = f.reads-before, f.requests-requests
	reads, sent := f.reads, f.requests
	f.start()
	took := f.until("the end", f.over)
	f.figures(t, fmt.Sprint(m.servers, " servers"), took)
	t.Logf("to each agent %.0f bytes a second", float64(f.fed)/took.Seconds())
	t.Logf("part of the requests that read their shared prompt: %.3f before, %.3f meanwhile; groups %d KB", float64(before)/float64(requests), float64(f.reads-reads)/float64(f.requests-sent), f.watch.Replicas.MemoryBytes()>>10)
	assert.Equal(t, PhaseDone, f.rec.Phase)
	assert.Zero(t, f.unserved)
	assert.LessOrEqual(t, f.mostOut, 24/parts)
	assert.Less(t, f.recordBytes, 32<<10)
	assert.Less(t, f.watch.Replicas.MemoryBytes(), 8<<20)
}
