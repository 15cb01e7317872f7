package rollout

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

// warmupSeconds is the time for which a fleet is simulated before its rollout begins.
const warmupSeconds = 300

// startedFleet returns a fleet with warm caches whose rollout has just begun.
func startedFleet(t *testing.T, config fleetConfig, changes ...func(*Spec)) *fleet {
	t.Helper()
	f := newFleet(t, config)
	f.play(warmupSeconds)
	f.start(changes...)
	return f
}

// firstDrainAt returns a condition: the first draining server is at a step.
func (f *fleet) firstDrainAt(step DrainStep) func() bool {
	return func() bool { return len(f.record.Draining) > 0 && f.record.Draining[0].Step == step }
}

func TestUpgradeUnderLoad(t *testing.T) {
	site := site18(1)
	if raceEnabled {
		site = site6(1)
	}
	withoutRollout := newFleet(t, site)
	withoutRollout.play(warmupSeconds)
	f := startedFleet(t, site)
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
	// The lease holder knows what was sent to the servers, but not what they have evicted since.
	assert.LessOrEqual(t, f.shortPrompts, f.checkedPrompts/50, "too many live prompts had fewer replicas than required")
	require.Len(t, f.record.History, 1)
	assert.Equal(t, site.servers, f.record.History[0].Replaced)
	assert.Less(t, took, 3*time.Hour)
	assert.Less(t, f.recordBytes, 4096)
}

// Compares a rollout with two simpler procedures under the same load: replacing all servers at once, and
// one by one without regard to groups.
func TestBaselinesAreWorse(t *testing.T) {
	const comparedSeconds = 40 * 60
	if raceEnabled {
		t.Skip("slow under the race detector, and has only one goroutine")
	}
	f := startedFleet(t, site18(1))
	f.play(comparedSeconds)
	missed := f.late + f.unserved

	allAtOnce := newFleet(t, site18(1))
	allAtOnce.play(warmupSeconds)
	for _, s := range slices.Clone(allAtOnce.servers) {
		allAtOnce.crash(s, allAtOnce.config.startupTime)
		allAtOnce.byID[s.ID].Revision = simOldRevision
	}
	allAtOnce.play(comparedSeconds)

	oneByOne := startedFleet(t, site18(1), func(s *Spec) {
		s.Pace.SpreadSeconds, s.Pace.StageSeconds, s.Pace.GapSeconds = 0, 0, 0
		s.Pace.WarmupPromptsPerSecond = 1e5
		s.Safety.MinReplicas = 0
		s.Judge.MinServerRequests, s.Judge.MinSamples = 0, 10
	})
	took := oneByOne.playUntil("the end", oneByOne.ended)
	oneByOne.play(max(0, comparedSeconds-int(took/time.Second)))
	allAtOnce.logFigures(t, "all at once", 0)
	oneByOne.logFigures(t, "one by one", took)
	f.logFigures(t, "by groups", 0)
	assert.Greater(t, allAtOnce.unserved, 1000*(missed+1)/100)
	assert.Greater(t, oneByOne.shortPrompts+oneByOne.late, f.shortPrompts+f.late, "short prompts and late requests")
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
			f := startedFleet(t, config)
			took := f.playUntil("the end", f.ended)
			f.logFigures(t, name, took)
			t.Logf("rolled back after %v: %s", f.rolledBackAt-f.started, f.record.Reason)
			assert.Equal(t, PhaseRolledBack, f.record.Phase)
			old, updated := f.countRevisions()
			assert.Zero(t, updated)
			assert.Equal(t, 18, old)
			assert.Zero(t, f.unserved)
			assert.LessOrEqual(t, f.record.History[0].Replaced, 10, "servers replaced before the rollback")
			assert.Contains(t, f.record.History[0].Reason, "revision 2 is worse than 1")
		})
	}
}

func TestWorseRevisionIsHaltedIfConfigured(t *testing.T) {
	config := site18(2)
	config.newFailureRate = 0.2
	f := startedFleet(t, config, func(s *Spec) { s.OnWorse = OnWorseHalt })
	f.playUntil("the halt", func() bool { return f.record.Paused })
	assert.Equal(t, PhaseForward, f.record.Phase)
	assert.Contains(t, f.record.Reason, "worse")
	for _, ramping := range f.record.Ramping {
		assert.Equal(t, RampWarming, ramping.Step)
	}
	transitions := len(f.record.Draining) + len(f.record.Ramping)
	f.play(600)
	assert.LessOrEqual(t, len(f.record.Draining)+len(f.record.Ramping), transitions, "drains after the halt")
	aborted, err := f.record.Abort(f.record.Number, "")
	require.NoError(t, err)
	f.commit(aborted)
	f.playUntil("the end", f.ended)
	assert.Equal(t, PhaseRolledBack, f.record.Phase)
	_, updated := f.countRevisions()
	assert.Zero(t, updated)
}

// Lease holders crash at any time, and each successor knows only the record. At times there is no
// holder, as if the core were partitioned.
func TestHolderChanges(t *testing.T) {
	f := startedFleet(t, site6(3))
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
	f := startedFleet(t, site6(4))
	f.playUntil("a server at a tenth of its share", f.firstDrainAt(DrainTenth))
	id := f.record.Draining[0].ID
	f.loadFactor = 2
	f.playUntil("its return to service", func() bool { return f.record.draining(id) == nil })
	assert.Equal(t, registry.Ready, f.byID[id].State)
	f.play(60)
	assert.Empty(t, f.record.Draining, "a server is drained without spare capacity")
	assert.Contains(t, f.controller.waitReasons[len(f.controller.waitReasons)-1], "has room for")
	f.loadFactor = 1
	f.playUntil("the end", f.ended)
	assert.Equal(t, PhaseDone, f.record.Phase)
	assert.Zero(t, f.unserved)
}

func TestZoneLossDuringRollout(t *testing.T) {
	f := startedFleet(t, site6(5))
	f.playUntil("half of the rollout", func() bool { _, updated := f.countRevisions(); return updated >= 3 })
	for _, s := range slices.Clone(f.servers) {
		if s.Zone == "k/b" && s.State == registry.Ready {
			f.crash(s, 5*time.Minute)
		}
	}
	f.play(60)
	for range 200 {
		assert.Empty(t, f.record.Draining, "a server is drained while a zone is lost")
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
	assert.Equal(t, DrainThird, f.record.Draining[0].Step, "one agent has not acknowledged the drain")
	// Its lease expires, and it continues with the rules that it knows. A draining server closes the
	// agent's connections; the simulation models this by giving the agent the current rules.
	f.agents[0].member = false
	f.agents[0].rules = f.record.Rules()
	f.playUntil("a replaced server", func() bool { return len(f.record.Ramping) > 0 })
}

func TestPlatformDrainsAreAdopted(t *testing.T) {
	f := startedFleet(t, site6(7))
	f.playUntil("a server at a tenth of its share", f.firstDrainAt(DrainTenth))
	// The platform itself drains the server that the rollout is draining, and another one.
	drained, other := f.byID[f.record.Draining[0].ID], f.servers[0]
	if drained == other {
		other = f.servers[1]
	}
	for _, s := range []*simServer{drained, other} {
		s.State, s.removedAt = registry.Draining, f.now+drainTime
		for _, a := range f.agents {
			delete(a.inFlight, s.ID)
		}
	}
	f.playSecond()
	drain := f.record.draining(drained.ID)
	require.NotNil(t, drain)
	assert.Equal(t, DrainReplacing, drain.Step)
	f.playUntil("the end", f.ended)
	assert.Equal(t, PhaseDone, f.record.Phase)
	old, updated := f.countRevisions()
	assert.Zero(t, old)
	assert.Equal(t, 6, updated)
}

func TestSingleReplicaIsSpreadFirst(t *testing.T) {
	config := site3(8)
	config.spec = func(s *Spec) { s.Safety.PeakLoad, s.Safety.SpareServers, s.Safety.MinReplicas = 0.2, 0, 2 }
	f := startedFleet(t, config)
	f.playUntil("the end", f.ended)
	assert.Equal(t, PhaseDone, f.record.Phase)
	assert.LessOrEqual(t, f.shortPrompts, f.checkedPrompts/20)

	// Where groups can't have enough replicas, the rollout waits and names the group.
	config.servers = 2
	f = startedFleet(t, config)
	f.playUntil("a wait reason", func() bool {
		return f.controller.worstShortage.Group != "" && len(f.controller.waitReasons) > 0
	})
	f.play(60)
	assert.Contains(t, f.controller.waitReasons[0], "replicas beside it, and needs 2")
	_, updated := f.countRevisions()
	assert.Zero(t, updated)
}

func TestServerReturnsToServiceWhenItsReplicasCrash(t *testing.T) {
	config := site3(10)
	config.spec = func(s *Spec) { s.Safety.PeakLoad, s.Safety.SpareServers, s.Safety.MinReplicas = 0.1, 0, 2 }
	f := startedFleet(t, config)
	f.playUntil("a closed server", f.firstDrainAt(DrainFinishing))
	id := f.record.Draining[0].ID
	for _, s := range slices.Clone(f.servers) {
		if s.ID != id {
			f.crash(s, 2*time.Minute)
		}
	}
	f.play(2)
	assert.Nil(t, f.record.draining(id), "still draining, though its groups have no other replica")
	assert.InDelta(t, 1, f.record.Rules().Share(id, f.byID[id].Addr, simOldRevision), 0)
	f.playUntil("the end", f.ended)
	assert.Equal(t, PhaseDone, f.record.Phase)
}

func TestContradictingConfigurationPauses(t *testing.T) {
	f := newFleet(t, site6(9))
	f.play(60)
	f.start()
	observation := f.observation()
	observation.ConfigError = errors.New("service: there is none")
	next := f.controller.Reconcile(f.now, f.record, observation)
	require.NotNil(t, next)
	assert.True(t, next.Paused)
	assert.Contains(t, next.Reason, "service: there is none")
}

var fullSize = flag.Bool("full", false, "simulate a rollout at the full size of 850 servers")

// Simulates a rollout at the size that the design is for: 850 servers in five zones of two regions with
// 1.6 million shared prompts at the peak load, or an eighth of that without -full. One in forty requests
// and prompts is simulated.
func TestUpgradeAtFullSize(t *testing.T) {
	if raceEnabled {
		t.Skip("slow under the race detector, and has only one goroutine")
	}
	const sampling = 40
	divisor := 8
	if *fullSize {
		divisor = 1
	}
	atOnce := 24 / divisor
	config := fleetConfig{
		zones:         []string{"n/a", "n/b", "n/c", "s/d", "s/e"},
		servers:       850 / divisor,
		agents:        36,
		rate:          6800 / sampling / float64(divisor),
		prompts:       1_600_000 / sampling / divisor,
		cachedPrompts: 126 / sampling,
		prefillMs:     79,
		firstTokenMs:  60,
		requestMs:     60 * sampling * 1.5,
		streamTime:    8 * time.Second,
		startupTime:   90 * time.Second,
		seed:          1,
		sampling:      sampling,
		spec: func(s *Spec) {
			s.Pace.AtOnce, s.Pace.GapSeconds = atOnce, 2
			s.Safety.PeakLoad = 0.8
			s.Judge.MinSamples, s.Judge.MinServerRequests = 20, 1 // because one in forty requests is simulated
			s.Safety.LiveSeconds *= 4
		},
	}
	f := newFleet(t, config)
	f.play(900)
	before := f.fleetFigures
	f.play(600)
	atStart := f.fleetFigures
	f.start()
	took := f.playUntil("the end", f.ended)
	f.logFigures(t, fmt.Sprint(config.servers, " servers"), took)
	t.Logf("%.0f bytes a second synced to each agent", float64(f.syncedBytes)/took.Seconds())
	missRatio := func(from, to fleetFigures) float64 {
		return float64(to.prefills-from.prefills) / float64(to.requests-from.requests)
	}
	t.Logf("prefills of shared prompts per request: %.3f before, %.3f during the rollout; replica map %d KB",
		missRatio(before, atStart), missRatio(atStart, f.fleetFigures), f.reports.Replicas.MemoryBytes()>>10)
	assert.Equal(t, PhaseDone, f.record.Phase)
	assert.Zero(t, f.unserved)
	assert.LessOrEqual(t, f.maxTransitions, atOnce)
	assert.Less(t, f.recordBytes, 32<<10)
	assert.Less(t, f.reports.Replicas.MemoryBytes(), 8<<20)
}
