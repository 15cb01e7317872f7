package controlsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

const (
	// noticesPerSecond is the mean rate of the requests of which a process informs the others.
	noticesPerSecond = 5
	// noticePrefill is the time that the prefill of each of these requests takes.
	noticePrefill = 50 * time.Millisecond
	// memoryBytes is the memory limit of each process.
	memoryBytes = 102 << 20
	// maxNoticeSegments bounds the prompt segments of a notice.
	maxNoticeSegments = 12
	// changeAckTimeout bounds the time from the first call of a change until it is acknowledged.
	changeAckTimeout = 6 * time.Second
	// changeInForceTimeout bounds the time from the acknowledgement of a change until it is in force everywhere.
	changeInForceTimeout = 3 * time.Second
	// maxSessionsPerAgent bounds the sessions at all members of the core, divided by the number of agents. An agent
	// that changes to another relay has two for a short time.
	maxSessionsPerAgent = 2
)

// All machines of a large fleet lose power at once and return while clients send requests. The core works again at
// once and for good: each change is acknowledged and in force everywhere in time, and no agent dials again and again.
func TestLargeFleetReturnsFromPowerLoss(t *testing.T) {
	runLargeFleet(t, func(f *largeFleet) {
		f.change()
		f.losePower()
		for range changesAfterReturn {
			f.change()
			sleep(f.ctx, time.Second)
		}
	})
}

// largeFleet is a simulated fleet of 300 machines whose processors are slow.
type largeFleet struct {
	*simulation
	t        *testing.T
	ctx      context.Context
	random   *rand.Rand
	revision int64 // of the last change
}

// runLargeFleet runs a test of a large fleet in which all processes have started and send notices.
func runLargeFleet(t *testing.T, test func(f *largeFleet)) {
	t.Helper()
	defer seedCryptoRand(1)()
	synctest.Test(t, func(t *testing.T) {
		scenario := newScenario(1, 1)
		scenario.coreCount, scenario.agentCount, scenario.serverCount, scenario.maxHeartbeats = 6, 294, 240, 200
		scenario.zoneCount, scenario.zonesPerRegion, scenario.toleratedLosses = 6, 6, 2
		scenario.operatorCount, scenario.bodySize, scenario.faults = 0, 4<<10, nil
		scenario.memoryBytes = memoryBytes
		scenario.coreProcessor = processor{perOperation: 80 * time.Microsecond, perKiB: 50 * time.Microsecond}
		scenario.agentProcessor = processor{perOperation: 220 * time.Microsecond, perKiB: 130 * time.Microsecond}
		s := &simulation{scenario: scenario, startedAt: time.Now(), partitions: map[*partition]bool{}}
		s.network = newNetwork(s.newRandom("links", 0))
		s.checker = newChecker(s)
		ctx, cancel := context.WithCancel(context.Background())
		s.processCtx, s.checkCtx = ctx, ctx
		var background sync.WaitGroup
		background.Go(func() { s.network.expireConns(ctx) })
		workloadCtx, endWorkload := context.WithCancel(ctx)
		defer func() { // a failed requirement ends the goroutine, too
			endWorkload()
			s.stop()
			cancel()
			background.Wait()
			s.checks.Wait()
		}()
		f := &largeFleet{simulation: s, t: t, ctx: ctx, random: s.newRandom("operator", 0)}
		f.startAll()
		s.startWorkload(workloadCtx, &background)
		f.startNotices(workloadCtx, &background)
		test(f)
		assert.Empty(t, s.checker.violations)
	})
}

// startAll starts all machines and waits until all processes are connected.
func (f *largeFleet) startAll() {
	for range f.scenario.coreCount {
		f.addMachine(true)
	}
	for range f.scenario.agentCount {
		f.addMachine(false)
	}
	for _, m := range f.allMachines() {
		m.start(f.ctx, true)
	}
	require.True(f.t, f.waitUntil(f.ctx, initialViewTimeout, f.hasInitialView))
	isSynced := func(p *process) bool { s := p.snapshot.Load(); return s != nil && s.Synced }
	areSynced := func() bool { return f.countProcesses(isSynced) == len(f.allMachines()) }
	require.True(f.t, f.waitUntil(f.ctx, initialViewTimeout, areSynced))
}

// startNotices makes each process inform the others of requests until ctx ends.
func (f *largeFleet) startNotices(ctx context.Context, background *sync.WaitGroup) {
	for i, m := range f.allMachines() {
		random := f.newRandom("notices", i)
		background.Go(func() {
			for ctx.Err() == nil {
				sleep(ctx, time.Duration(random.ExpFloat64()*float64(time.Second)/noticesPerSecond))
				if p := m.running(); p != nil {
					p.relay.BroadcastNotice(newNotice(random, f.scenario.serverCount), noticePrefill)
				}
			}
		})
	}
}

// newNotice returns a notice of a request with a random prompt to one of the servers.
func newNotice(random *rand.Rand, servers int) balancer.PrefillNotice {
	prefixes := make([]balancer.Segment, 1+random.IntN(maxNoticeSegments))
	for i := range prefixes {
		prefixes[i] = balancer.Segment{ID: random.Uint64(), Tokens: random.IntN(1000)}
	}
	return balancer.PrefillNotice{Instance: fmt.Sprintf("server-%d-1", random.IntN(servers)), Prefixes: prefixes,
		PromptTokens: 3000, UncachedTokens: 2000}
}

// losePower takes the power of all machines for a short time.
func (f *largeFleet) losePower() {
	f.inject(f.ctx, Fault{Kind: FleetOutage, Target: Member, Index: 3, Duration: 850 * time.Millisecond})
}

// change makes a change of the configuration and checks that it is acknowledged and in force everywhere in time, and
// how many sessions the core has then.
func (f *largeFleet) change() {
	f.t.Helper()
	f.revision++
	update := &chain.Update{IfMatch: f.revision - 1,
		Body: encodeConfig(updateInput{revision: f.revision, id: fmt.Sprintf("1.%d", f.revision)}, &f.scenario)}
	calledAt, acknowledged := f.elapsed(), false
	for !acknowledged && f.elapsed()-calledAt < changeAckTimeout {
		acknowledged = f.submit(update)
	}
	ackedAt := f.elapsed()
	require.True(f.t, acknowledged, "change %d is not acknowledged within %v", f.revision, ackedAt-calledAt)
	isInForce := func(p *process) bool {
		s := p.snapshot.Load()
		return s != nil && s.Config != nil && s.Config.Revision >= f.revision && s.Synced
	}
	isInForceEverywhere := func() bool { return f.countProcesses(isInForce) == len(f.allMachines()) }
	require.True(f.t, f.waitUntil(f.ctx, changeInForceTimeout, isInForceEverywhere),
		"change %d is in force on %d machines %v after its acknowledgement", f.revision,
		f.countProcesses(isInForce), changeInForceTimeout)
	sessions := 0
	for _, m := range f.coreMachines() {
		sessions += len(m.running().relay.Report().Sessions)
	}
	f.t.Logf("%v: change %d acknowledged after %v, in force after %v, %d sessions", f.elapsed(), f.revision,
		ackedAt-calledAt, f.elapsed()-ackedAt, sessions)
	require.Less(f.t, sessions, maxSessionsPerAgent*f.scenario.agentCount, "sessions at all members")
}

// submit makes one attempt at a change, at a random process.
func (f *largeFleet) submit(update *chain.Update) (acknowledged bool) {
	p := f.pickProcess(f.random, nil)
	if p == nil {
		sleep(f.ctx, retryPause)
		return false
	}
	answered := externalCall(f.ctx, p, attemptTimeout, func(ctx context.Context) bool {
		acknowledged = p.core.Submit(ctx, update).Outcome == chain.OutcomeCommitted
		return true
	})
	return answered && acknowledged
}

// countProcesses counts the running processes for which a condition holds.
func (f *largeFleet) countProcesses(holds func(*process) bool) (count int) {
	for _, m := range f.allMachines() {
		if p := m.running(); p != nil && holds(p) {
			count++
		}
	}
	return count
}
