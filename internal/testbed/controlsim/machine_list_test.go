package controlsim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The settings file of a new machine names machines that the operator's list had when it was written, and
// is written again only once the list has none of them.
func TestSeedAddressesComeFromMachineList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &simulation{network: newNetwork(), startedAt: time.Now()}
		var founders []*machine
		for range 4 {
			founders = append(founders, r.addMachine(true))
		}
		agent := r.addMachine(false)
		addrs := func(machines ...*machine) (out []string) {
			for _, m := range machines {
				out = append(out, m.host.addr)
			}
			return out
		}
		require.Equal(t, addrs(founders[:3]...), agent.seedAddrs())
		sleep(t.Context(), time.Minute)
		replace := func(m *machine) *machine {
			r.noteReplaced(m)
			return r.addMachine(true)
		}
		first := replace(founders[0])
		require.Equal(t, addrs(founders[:3]...), first.seedAddrs(), "the list still has the one that is gone")
		sleep(t.Context(), 2*machineListDelay)
		second := replace(founders[1])
		sleep(t.Context(), 2*machineListDelay)
		require.Equal(t, addrs(founders[:3]...), first.seedAddrs(), "one of the three is left")
		require.Equal(t, addrs(founders[2], founders[3], first), second.seedAddrs())
		third := replace(founders[2])
		sleep(t.Context(), machineListDelay-time.Millisecond)
		require.Equal(t, addrs(founders[:3]...), agent.seedAddrs(), "the list lags behind")
		sleep(t.Context(), 2*time.Millisecond)
		require.Equal(t, addrs(founders[3], first, second), agent.seedAddrs(), "none of the three was left")
		require.Equal(t, addrs(founders[2], founders[3], first), second.seedAddrs(), "two of its three are left")
		require.Equal(t, addrs(founders[3], first, second), third.seedAddrs())
	})
}
