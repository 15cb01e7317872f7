package controlsim

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) {
	discardServerLogs()
	leaktest.Main(m)
}

// regressionSeeds has the seeds that run with the other tests, by scenario. They detect past defects: seeds 4 and 7 of
// scenario 2 a vote that is not synced to disk, seed 0 of scenario 1 a read that is not confirmed by a quorum, and
// seed 57 of scenario 1 a drain that a partitioned relay acknowledges alone.
var regressionSeeds = map[int][]uint64{1: {0, 57}, 2: {4, 7}, 3: {0}, 4: {5}, 5: {0}, 6: {0, 53, 58}, 7: {0, 1}}

// The regression seeds of each scenario violate no guarantee.
func TestRegressionSeeds(t *testing.T) {
	for number := 1; number <= ScenarioCount; number++ {
		for _, seed := range regressionSeeds[number] {
			t.Run(fmt.Sprintf("scenario %d seed %d", number, seed), func(t *testing.T) {
				result := simulate(t, newScenario(number, seed))
				for _, v := range result.Violations {
					t.Log(v)
				}
				require.Empty(t, result.Violations)
				require.Positive(t, result.Updates)
				require.Positive(t, result.Reads)
				t.Logf("%v, %d updates, %d reads, %d drains, %d calls", result.VirtualTime, result.Updates,
					result.Reads, result.Drains, result.Calls)
			})
		}
	}
}

// Scenario 7 spreads some fleets over several regions, each of which may be lost with all its zones.
func TestRegionsAreLost(t *testing.T) {
	const seeds = 64
	outages, zoneCounts := 0, map[int]int{}
	for seed := range uint64(seeds) {
		s := newScenario(7, seed)
		zoneCounts[s.zoneCount]++
		require.Zero(t, s.coreCount%s.zoneCount, "seed %d: the zones have equally many machines", seed)
		require.LessOrEqual(t, s.coreCount, 9, "seed %d: all become voters", seed)
		for _, f := range s.faults {
			if f.Kind == RegionOutage {
				require.Equal(t, 1, s.tolerance().Regions, "seed %d", seed)
				outages++
			}
		}
	}
	require.Len(t, zoneCounts, 2)
	require.Greater(t, outages, seeds)
	require.Equal(t, defaultZoneCount, newScenario(3, 1).zonesPerRegion,
		"in the other scenarios all zones are in one region")
}

// A read fails at its deadline, and succeeds once the deadline is removed.
func TestReadDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(rand.New(rand.NewPCG(1, 2)))
		server, client := n.addHost(hostA), n.addHost(hostB)
		l := server.listen()
		clientConn, err := dialer{host: client}.Dial(t.Context(), hostA)
		require.NoError(t, err)
		serverConn, err := l.Accept()
		require.NoError(t, err)
		defer serverConn.Close()
		defer clientConn.Close()
		b, startedAt := make([]byte, 1), time.Now()
		require.NoError(t, serverConn.SetReadDeadline(startedAt.Add(time.Second)))
		_, err = serverConn.Read(b)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, time.Second, time.Since(startedAt))
		require.NoError(t, serverConn.SetReadDeadline(time.Time{}))
		_, err = clientConn.Write([]byte("x"))
		require.NoError(t, err)
		_, err = serverConn.Read(b)
		require.NoError(t, err)
	})
}

// Seeds whose operators and servers use the control API over HTTP violate no guarantee.
func TestControlAPIOverHTTP(t *testing.T) {
	for _, number := range []int{2, 7} {
		s := newScenario(number, 2)
		require.True(t, s.overHTTP)
		result := simulate(t, s)
		require.Empty(t, result.Violations)
		require.Positive(t, result.Updates)
		require.Positive(t, result.Reads)
	}
	require.False(t, newScenario(2, 4).overHTTP)
}
