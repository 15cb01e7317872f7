package controlsim

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The settings file of a machine names machines that were on the operator's list when it was written. It is written
// again only once none of them is on the list.
func TestSeedAddressesComeFromMachineList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &simulation{network: newNetwork(rand.New(rand.NewPCG(1, 2))), startedAt: time.Now(),
			scenario: newScenario(1, 0)}
		var initial []*machine
		for range 4 {
			initial = append(initial, s.addMachine(true))
		}
		agent := s.addMachine(false)
		addrs := func(machines ...*machine) (addrs []string) {
			for _, m := range machines {
				addrs = append(addrs, m.host.addr)
			}
			return addrs
		}
		require.Equal(t, addrs(initial[:3]...), agent.seedAddrs())
		sleep(t.Context(), time.Minute)
		replace := func(m *machine) *machine {
			s.recordReplacement(m)
			return s.addMachine(true)
		}
		first := replace(initial[0])
		require.Equal(t, addrs(initial[:3]...), first.seedAddrs(), "the list still has the replaced machine")
		sleep(t.Context(), 2*machineListDelay)
		second := replace(initial[1])
		sleep(t.Context(), 2*machineListDelay)
		require.Equal(t, addrs(initial[:3]...), first.seedAddrs(), "one of its three seeds is still listed")
		require.Equal(t, addrs(initial[2], initial[3], first), second.seedAddrs())
		third := replace(initial[2])
		sleep(t.Context(), machineListDelay-time.Millisecond)
		require.Equal(t, addrs(initial[:3]...), agent.seedAddrs(), "the list still has the replaced machine")
		sleep(t.Context(), 2*time.Millisecond)
		require.Equal(t, addrs(initial[3], first, second), agent.seedAddrs(), "none of its three seeds is listed")
		require.Equal(t, addrs(initial[2], initial[3], first), second.seedAddrs(),
			"two of its three seeds are still listed")
		require.Equal(t, addrs(initial[3], first, second), third.seedAddrs())
	})
}
