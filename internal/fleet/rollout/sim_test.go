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

// logFigures of a run, for the log.
func (f *fleet) logFigures(t *testing.T, what string, took time.Duration) {
	t.Helper()
	t.Logf("%s: %v; %d requests, %d late, %d unserved, %d failed, %d reads (%d by new ones); %d of %d sessions changed; least serving %.3f, most out %d; %d writes, record %d bytes; %d of %d short, most reads %d",
		what, took, f.requests, f.late, f.unserved, f.failed, f.prefills, f.newPrefills, f.revisionChanges, len(f.sessionRevisions), f.minServingShare, f.maxTransitions, f.writes, f.recordBytes, f.shortPrompts, f.checkedPrompts, f.maxPrefills)
}

func TestUpgradeUnderLoad(t *testing.T) {
	site := site18(1)
	if raceEnabled {
		site = site6(1)
	}
	withoutRollout := newFleet(t, site)
	withoutRollout.play(300)
	f := newFleet(t, site)
	f.play(300)
	f.start()
	took := f.playUntil("the end", f.ended)
	withoutRollout.playUntil("as long", func() bool { return withoutRollout.now >= f.now })
	withoutRollout.logFigures(t, "without", 0)
	f.logFigures(t, "with", took)
	assert.Equal(t, PhaseDone, f.record.Phase)
	old, updated := f.countRevisions()
	assert.Zero(t, old)
	assert.Equal(t, site.servers, updated)
	assert.Zero(t, f.unserved)
	assert.LessOrEqual(t, f.late, withoutRollout.late+f.requests/1000)
	assert.Equal(t, 1, f.maxTransitions)
	// The fleet knows what it sent, and not what a server has dropped since.
	assert.LessOrEqual(t, f.shortPrompts, f.checkedPrompts/50, "live prompts that had fewer replicas than asked for")
	require.Len(t, f.record.History, 1)
	assert.Equal(t, site.servers, f.record.History[0].Replaced)
	assert.Less(t, took, 3*time.Hour)
	assert.Less(t, f.recordBytes, 4096)
}

// The same afternoon with all servers replaced at once, and one after the other without groups.
func TestBaselinesAreWorse(t *testing.T) {
	if raceEnabled {
		t.Skip("it takes long, and has one goroutine")
	}
	f := newFleet(t, site18(1))
	f.play(300)
	f.start()
	for range 40 * 60 {
		f.playSecond()
	}
	missed := f.late + f.unserved

	allAtOnce := newFleet(t, site18(1))
	allAtOnce.play(300)
	for _, s := range append([]*simServer(nil), allAtOnce.servers...) {
		allAtOnce.crash(s, allAtOnce.config.startupTime)
		allAtOnce.byID[s.ID].Revision = 1
	}
	allAtOnce.play(40 * 60)

	oneByOne := newFleet(t, site18(1))
	oneByOne.play(300)
	oneByOne.start(func(s *Spec) {
		s.Pace.SpreadSeconds, s.Pace.StageSeconds, s.Pace.GapSeconds, s.Safety.MinReplicas, s.Judge.MinServerRequests, s.Judge.MinSamples = 0, 0, 0, 0, 0, 10
		s.Pace.WarmupPromptsPerSecond = 1e5
	})
	took := oneByOne.playUntil("the end", oneByOne.ended)
	oneByOne.play(max(0, 40*60-int(took/time.Second)))
	allAtOnce.logFigures(t, "all at once", 0)
	oneByOne.logFigures(t, "one by one", took)
	f.logFigures(t, "by groups", 0)
	assert.Greater(t, allAtOnce.unserved, 1000*(missed+1)/100)
	assert.Greater(t, oneByOne.shortPrompts+oneByOne.late, f.shortPrompts+f.late, "prompts without replicas, or late requests")
}

func TestWorseRevisionIsRolledBack(t *testing.T) {
	for name, change := range map[string]func(*fleetConfig){
		"slower":       func(config *fleetConfig) { config.newSlowdown = 1.8 },
		"fails":        func(config *fleetConfig) { config.newFailureRate = 0.05 },
		"fails always": func(config *fleetConfig) { config.newFailureRate = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			config := site18(2)
			change(&config)
			f := newFleet(t, config)
			f.play(300)
			f.start()
			took := f.playUntil("the end", f.ended)
			f.logFigures(t, name, took)
			t.Logf("turned back after %v: %s", f.rolledBackAt-f.started, f.record.Reason)
			assert.Equal(t, PhaseRolledBack, f.record.Phase)
			old, updated := f.countRevisions()
			assert.Zero(t, updated)
			assert.Equal(t, 18, old)
			assert.Zero(t, f.unserved)
			assert.LessOrEqual(t, f.record.History[0].Replaced, 10, "few were moved before that")
			assert.Contains(t, f.record.History[0].Reason, "revision 2 is worse than 1")
		})
	}
}

func TestWorseRevisionIsHaltedIfConfigured(t *testing.T) {
	config := site18(2)
	config.newFailureRate = 0.2
	f := newFleet(t, config)
	f.play(300)
	f.start(func(s *Spec) { s.OnWorse = OnWorseHalt })
	f.playUntil("the halt", func() bool { return f.record.Paused })
	assert.Equal(t, PhaseForward, f.record.Phase)
	assert.Contains(t, f.record.Reason, "worse")
	for _, e := range f.record.Ramping {
		assert.Equal(t, RampWarming, e.Step)
	}
	out := len(f.record.Draining) + len(f.record.Ramping)
	f.play(600)
	assert.LessOrEqual(t, len(f.record.Draining)+len(f.record.Ramping), out, "nothing more is taken")
	rec, err := f.record.Abort(f.record.Number, "")
	require.NoError(t, err)
	f.commit(rec)
	f.playUntil("the end", f.ended)
	assert.Equal(t, PhaseRolledBack, f.record.Phase)
	_, updated := f.countRevisions()
	assert.Zero(t, updated)
}

// Holders die between orders and records, each next one knows the record only; for a while there is
// none, as the core is cut.
func TestHolderChanges(t *testing.T) {
	f := newFleet(t, site6(3))
	f.play(300)
	f.start()
	f.playUntil("the end", func() bool {
		if f.rng.IntN(120) == 0 {
			f.replaceHolder()
		}
		if f.rng.IntN(300) == 0 {
			f.hasHolder = false
		}
		if f.rng.IntN(60) == 0 {
			f.hasHolder = true
		}
		return f.ended()
	})
	f.logFigures(t, "holders", f.now-f.started)
	assert.Equal(t, PhaseDone, f.record.Phase)
	assert.Zero(t, f.unserved)
	assert.Equal(t, 1, f.maxTransitions)
}

func TestBurstReturnsAServerToService(t *testing.T) {
	f := newFleet(t, site6(4))
	f.play(300)
	f.start()
	f.playUntil("a server that is emptied", func() bool {
		return len(f.record.Draining) > 0 && f.record.Draining[0].Step == DrainTenth
	})
	id := f.record.Draining[0].ID
	f.loadFactor = 2
	f.playUntil("its return", func() bool { return f.record.draining(id) == nil })
	assert.Equal(t, registry.Ready, f.byID[id].State)
	f.play(60)
	assert.Empty(t, f.record.Draining, "none is taken while there is no room")
	assert.Contains(t, f.controller.waitReasons[len(f.controller.waitReasons)-1], "has room for")
	f.loadFactor = 1
	f.playUntil("the end", f.ended)
	assert.Equal(t, PhaseDone, f.record.Phase)
	assert.Zero(t, f.unserved)
}

func TestZoneLossDuringRollout(t *testing.T) {
	f := newFleet(t, site6(5))
	f.play(300)
	f.start()
	f.playUntil("half of it", func() bool { _, updated := f.countRevisions(); return updated >= 3 })
	for _, s := range append([]*simServer(nil), f.servers...) {
		if s.Zone == "k/b" && s.State == registry.Ready {
			f.crash(s, 5*time.Minute)
		}
	}
	f.play(60)
	for range 200 {
		assert.Empty(t, f.record.Draining, "none is taken while a zone is away")
		f.playSecond()
	}
	f.playUntil("the end", f.ended)
	f.logFigures(t, "zone lost", f.now-f.started)
	assert.Equal(t, PhaseDone, f.record.Phase)
	old, updated := f.countRevisions()
	assert.Zero(t, old)
	assert.Equal(t, 6, updated)
}

func TestPartitionedAgentDelaysOnlyUntilItsLeaseExpires(t *testing.T) {
	f := newFleet(t, site6(6))
	f.play(300)
	f.agents[0].partitioned = true
	f.start()
	f.play(180)
	require.NotEmpty(t, f.record.Draining)
	assert.Equal(t, DrainThird, f.record.Draining[0].Step, "it has not told that it obeys")
	// Its lease is over, and it serves on by what it knew: here it sends nothing more to what is taken,
	// as servers that drain close its connections.
	f.agents[0].member = false
	f.agents[0].rules = f.record.Rules()
	f.playUntil("a server that is replaced", func() bool { return len(f.record.Ramping) > 0 })
}

func TestPlatformDrainsAreAdopted(t *testing.T) {
	f := newFleet(t, site6(7))
	f.play(300)
	f.start()
	f.playUntil("a thinned server", func() bool { return len(f.record.Draining) > 0 && f.record.Draining[0].Step == DrainTenth })
	// It drains the one that is on its way out, and another one.
	x, y := f.byID[f.record.Draining[0].ID], f.servers[0]
	if x == y {
		y = f.servers[1]
	}
	for _, s := range []*simServer{x, y} {
		s.State, s.removedAt = registry.Draining, f.now+2*time.Second
		for _, a := range f.agents {
			delete(a.inFlight, s.ID)
		}
	}
	f.playSecond()
	l := f.record.draining(x.ID)
	require.NotNil(t, l)
	assert.Equal(t, DrainReplacing, l.Step)
	f.playUntil("the end", f.ended)
	assert.Equal(t, PhaseDone, f.record.Phase)
	old, updated := f.countRevisions()
	assert.Zero(t, old)
	assert.Equal(t, 6, updated)
}

func TestSingleReplicaIsSpreadFirst(t *testing.T) {
	config := site6(8)
	config.servers, config.zones, config.rate, config.prompts = 3, []string{"k/a"}, 5, 3
	config.spec = func(s *Spec) { s.Safety.PeakLoad, s.Safety.SpareServers, s.Safety.MinReplicas = 0.2, 0, 2 }
	f := newFleet(t, config)
	f.play(300)
	f.start()
	f.playUntil("the end", f.ended)
	assert.Equal(t, PhaseDone, f.record.Phase)
	assert.LessOrEqual(t, f.shortPrompts, f.checkedPrompts/20)

	// Where the floor can't be had the rollout waits, and says for which group.
	config.servers = 2
	f = newFleet(t, config)
	f.play(300)
	f.start()
	f.playUntil("the reason", func() bool { return f.controller.worstShortage.Group != "" && len(f.controller.waitReasons) > 0 })
	f.play(60)
	assert.Contains(t, f.controller.waitReasons[0], "replicas beside it, and needs 2")
	_, updated := f.countRevisions()
	assert.Zero(t, updated)
}

func TestServerReturnsToServiceWhenItsReplicasCrash(t *testing.T) {
	config := site6(10)
	config.servers, config.zones, config.rate, config.prompts = 3, []string{"k/a"}, 5, 3
	config.spec = func(s *Spec) { s.Safety.PeakLoad, s.Safety.SpareServers, s.Safety.MinReplicas = 0.1, 0, 2 }
	f := newFleet(t, config)
	f.play(300)
	f.start()
	f.playUntil("a server that is closed", func() bool { return len(f.record.Draining) > 0 && f.record.Draining[0].Step == DrainFinishing })
	x := f.record.Draining[0].ID
	for _, s := range append([]*simServer(nil), f.servers...) {
		if s.ID != x {
			f.crash(s, 2*time.Minute)
		}
	}
	f.play(2)
	assert.Nil(t, f.record.draining(x), "nobody else has its groups")
	assert.InDelta(t, 1, f.record.Rules().Share(x, f.byID[x].Addr, 1), 0)
	f.playUntil("the end", f.ended)
	assert.Equal(t, PhaseDone, f.record.Phase)
}

func TestContradictingConfigurationPauses(t *testing.T) {
	f := newFleet(t, site6(9))
	f.play(60)
	f.start()
	facts := f.observation()
	facts.ConfigError = errors.New("service: there is none")
	rec := f.controller.Reconcile(f.now, f.record, facts)
	require.NotNil(t, rec)
	assert.True(t, rec.Paused)
	assert.Contains(t, rec.Reason, "service: there is none")
}

var fullSize = flag.Bool("full", false, "play a whole upgrade with 850 servers")

// The size to design for: 850 servers in five zones of two regions, 1.6 million shared prompts, at
// the peak; an eighth of it but with -full. One request of forty is played, of one prompt of forty.
func TestUpgradeAtFullSize(t *testing.T) {
	if raceEnabled {
		t.Skip("it takes long, and has one goroutine")
	}
	const sampling = 40
	divisor := 8
	if *fullSize {
		divisor = 1
	}
	config := fleetConfig{zones: []string{"n/a", "n/b", "n/c", "s/d", "s/e"}, servers: 850 / divisor, agents: 36, rate: 6800 / sampling / float64(divisor), prompts: 1_600_000 / sampling / divisor, cachedPrompts: 126 / sampling,
		prefillMs: 79, firstTokenMs: 60, requestMs: 60 * sampling * 1.5, streamTime: 8 * time.Second, startupTime: 90 * time.Second, seed: 1, sampling: sampling,
		spec: func(s *Spec) {
			s.Pace.AtOnce, s.Pace.GapSeconds = 24/divisor, 2
			s.Safety.PeakLoad = 0.8
			s.Judge.MinSamples, s.Judge.MinServerRequests = 20, 1 // as one request of forty is played
			s.Safety.LiveSeconds *= 4
		}}
	f := newFleet(t, config)
	f.play(900)
	before, requests := f.prefills, f.requests
	f.play(600)
	before, requests = f.prefills-before, f.requests-requests
	reads, sent := f.prefills, f.requests
	f.start()
	took := f.playUntil("the end", f.ended)
	f.logFigures(t, fmt.Sprint(config.servers, " servers"), took)
	t.Logf("to each agent %.0f bytes a second", float64(f.syncedBytes)/took.Seconds())
	t.Logf("part of the requests that read their shared prompt: %.3f before, %.3f meanwhile; groups %d KB", float64(before)/float64(requests), float64(f.prefills-reads)/float64(f.requests-sent), f.reports.Replicas.MemoryBytes()>>10)
	assert.Equal(t, PhaseDone, f.record.Phase)
	assert.Zero(t, f.unserved)
	assert.LessOrEqual(t, f.maxTransitions, 24/divisor)
	assert.Less(t, f.recordBytes, 32<<10)
	assert.Less(t, f.reports.Replicas.MemoryBytes(), 8<<20)
}
