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
	// recoveryBase is what a wiped member takes with a short configuration: its absence is noticed, views are decided.
	recoveryBase = time.Second
	// recoveryCopies bounds how many copies of the configuration pass its link one after the other meanwhile.
	recoveryCopies = 3
)

// A member of the core that returns with an empty disk is complete again once its link has carried the
// configuration a few times. The times are in docs/CAPACITY.md.
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

// recoverWipedMember returns how long after its restart a member with an empty disk holds a configuration of a size
// and is in the chain.
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
		s.processes, s.checking = ctx, ctx
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

// wipeMember sets a configuration, wipes a member and returns after which time it is complete again, or a very long
// time if something fails before.
func (s *simulation) wipeMember(ctx context.Context) time.Duration {
	update := &chain.Update{Body: encodeConfig(updateInput{revision: 1, id: "1.1"}, &s.scenario)}
	isCommitted := func() bool {
		return s.agentMachines()[0].running().core.Submit(ctx, update).Outcome == chain.OutcomeCommitted
	}
	isSettled := func() bool { return s.catchUpProblem() == "" }
	if !s.waitUntil(ctx, initialViewTimeout, s.hasInitialView) || !s.waitUntil(ctx, time.Minute, isCommitted) || !s.waitUntil(ctx, time.Minute, isSettled) {
		return time.Hour
	}
	wiped := s.chainMember(s.newestView(), Middle)
	wiped.kill(false)
	wiped.media.wipe()
	wiped.start(s.processes, false)
	begun := s.elapsed()
	s.waitUntil(ctx, time.Minute, func() bool { return isComplete(wiped) })
	return s.elapsed() - begun
}

// isComplete reports whether a machine's process is a complete member of the chain and has a configuration in force.
func isComplete(m *machine) bool {
	p := m.running()
	snapshot, status := p.snapshot.Load(), p.core.Status()
	return snapshot != nil && snapshot.Config != nil && status.Position >= 0 && status.Complete
}
