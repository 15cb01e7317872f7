package controlplane

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDiscoveryAddress(t *testing.T) {
	t.Parallel()
	voters := testPeers("a", "b", "c")
	configured := func() []string { return []string{"a:1", "x:1", "y:1"} }
	except := func(excluded string) func(string) bool {
		return func(address string) bool { return address != excluded }
	}
	for _, test := range []struct {
		name   string
		usable func(string) bool
		want   []string // the addresses of requests 1, 2, ...
	}{
		{"all", except(""), []string{"b:1", "c:1", "a:1", "x:1", "c:1", "a:1", "b:1", "y:1"}},
		{"all but one voter", except("b:1"), []string{"c:1", "a:1", "c:1", "x:1"}},
		{"no voter", func(address string) bool { return address > "w" }, []string{"x:1", "x:1", "x:1", "y:1"}},
		{"none", func(string) bool { return false }, []string{"", "", "", ""}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for i, want := range test.want {
				require.Equal(t, want, discoveryAddress(i+1, voters, configured, test.usable), "request %d", i+1)
			}
		})
	}
}

func TestDiscoveryCountsRequests(t *testing.T) {
	t.Parallel()
	var state viewDiscovery
	require.Equal(t, 1, state.next(start))
	require.Equal(t, 2, state.next(start.Add(1)))
	require.Equal(t, start.Add(1), state.lastRequest)
}

// A process that asks for a newer view gets an answer each time, even if two of the five voters that it
// knows are lost.
func TestDiscoveryPassesOverLostVoters(t *testing.T) {
	t.Parallel()
	cluster, client := bootstrapCluster(t, 5, 1)
	cluster.nodes[0].kill()
	cluster.nodes[1].kill()
	var answered atomic.Int32
	cluster.setObserveCall(func(from, name string, isAnswer bool) {
		if from == client.addr && name == callView && isAnswer {
			answered.Add(1)
		}
	})
	for i := range int32(2 * configuredAddressPeriod) {
		client.member.discoverViewOfAny(context.Background())
		require.Greater(t, answered.Load(), i, "request %d", i+1)
	}
}
