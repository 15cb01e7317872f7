package controlsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
)

const (
	// recoveryBase bounds the recovery of a wiped member with a short configuration: the time in which its absence is
	// detected and views are decided.
	recoveryBase = time.Second
	// recoveryCopies bounds the number of copies of the configuration that are sent over its link during the recovery.
	recoveryCopies = 3
)

// A member of the core that returns with an empty disk is complete again within the time in which its link transmits
// the configuration a few times. The measured times are in docs/CAPACITY.md.
func TestWipedMemberIsCompleteAgain(t *testing.T) {
	for _, bandwidth := range []int{0, 12_500_000, 1_250_000} {
		for _, size := range []int{16 << 10, 128 << 10, 813 << 10} {
			t.Run(fmt.Sprintf("%d bytes, %d bytes a second", size, bandwidth), func(t *testing.T) {
				elapsed := recoverWipedMember(t, size, bandwidth)
				t.Log("complete again after", elapsed)
				limit := recoveryBase
				if bandwidth > 0 {
					limit += recoveryCopies * time.Duration(size) * time.Second / time.Duration(bandwidth)
				}
				require.Less(t, elapsed, limit)
			})
		}
	}
}

// recoverWipedMember returns the time from the restart of a member with an empty disk until it is in the chain and has
// the configuration, which has the given size.
func recoverWipedMember(t *testing.T, size, bandwidth int) (elapsed time.Duration) {
	defer seedCryptoRand(1)()
	synctest.Test(t, func(t *testing.T) {
		scenario := newScenario(4, 1)
		scenario.coreCount, scenario.agentCount, scenario.bodySize, scenario.bandwidth = 4, 3, size, bandwidth
		s := &simulation{scenario: scenario, startedAt: time.Now(), partitions: map[*partition]bool{}}
		s.network = newNetwork(rand.New(rand.NewPCG(1, 2)))
		s.network.bandwidth = bandwidth
		s.checker = newChecker(s)
		ctx, cancel := context.WithCancel(context.Background())
		s.processCtx, s.checkCtx = ctx, ctx
		for range scenario.coreCount {
			s.addMachine(true)
		}
		for range scenario.agentCount {
			s.addMachine(false)
		}
		for _, m := range s.allMachines() {
			m.start(ctx, true)
		}
		elapsed = s.wipeMember(ctx)
		s.stop()
		cancel()
	})
	return elapsed
}

// wipeMember sets a configuration, wipes a member and returns the time until the member is complete again; an hour if a
// step before fails.
func (s *simulation) wipeMember(ctx context.Context) time.Duration {
	update := &chain.Update{Body: encodeConfig(updateInput{revision: 1, id: "1.1"}, &s.scenario)}
	isCommitted := func() bool {
		return s.agentMachines()[0].running().core.Submit(ctx, update).Outcome == chain.OutcomeCommitted
	}
	isCaughtUp := func() bool { return s.catchUpProblem() == "" }
	if !s.waitUntil(ctx, initialViewTimeout, s.hasInitialView) || !s.waitUntil(ctx, time.Minute, isCommitted) ||
		!s.waitUntil(ctx, time.Minute, isCaughtUp) {
		return time.Hour
	}
	wiped := s.chainMember(s.newestView(), Middle)
	wiped.kill(false)
	wiped.media.wipe()
	wiped.start(s.processCtx, false)
	startedAt := s.elapsed()
	s.waitUntil(ctx, time.Minute, func() bool { return isComplete(wiped) })
	return s.elapsed() - startedAt
}

// isComplete reports whether a machine's process is a complete member of the chain and has a configuration in force.
func isComplete(m *machine) bool {
	p := m.running()
	snapshot, status := p.snapshot.Load(), p.core.Status()
	return snapshot != nil && snapshot.Config != nil && status.Position >= 0 && status.Complete
}
