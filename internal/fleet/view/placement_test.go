package view

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInitialView(t *testing.T) {
	_, ok := InitialView(nil, tolerateMachines(1))
	require.False(t, ok)

	disklessPeer := testPeer("z")
	disklessPeer.Disk = false
	v, ok := InitialView(append(testPeers("c a b"), disklessPeer), tolerateMachines(1))
	require.True(t, ok)
	require.NoError(t, v.Validate())
	require.Equal(t, testPeers("a b c"), v.Voters)
	require.False(t, v.InMemory)
	require.Equal(t, 2, v.Quorum())
	require.Equal(t, "a", v.Head().ID)
	require.Equal(t, "c", v.Tail().ID)

	v, _ = InitialView([]Peer{disklessPeer}, tolerateMachines(1))
	require.True(t, v.InMemory)

	uncountedPeer := testPeer("b")
	uncountedPeer.Counted = false
	v, _ = InitialView([]Peer{testPeer("a"), uncountedPeer}, tolerateMachines(1))
	require.Equal(t, testPeers("a"), v.Voters)

	// Voters are spread evenly over the zones.
	v, _ = InitialView(testPeers("a1 a2 a3 a4 a5 a6 a7 a8 b1 b2 b3 b4 b5 c1 c2 c3"), tolerateMachines(2))
	require.Equal(t, testPeers("a1 a2 a3 b1 b2 b3 c1 c2 c3"), v.Voters)
	s := &scenario{view: v}
	require.Equal(t, "a1 a2 b1 b2 c1", s.chainIDs(), "the chain is spread too and has MaxChainLength")
}

// A peer is not selected if, with its vote, the loss of its zone or region would leave no majority.
func TestInitialViewToleratesZonesAndRegions(t *testing.T) {
	for _, c := range []struct {
		peers     string
		tolerance Tolerance
		voters    string
		chain     string
	}{
		{"r/a/1 r/a/2 r/a/3 r/b/4 r/c/5", Tolerance{Machines: 1}, "1 2 3 4 5", "1 2 4 5"},
		{"r/a/1 r/a/2 r/a/3 r/b/4 r/c/5", Tolerance{Machines: 1, Zones: 1}, "1 4 5", "1 4 5"},
		{"r/a/1 r/a/2 r/b/3 r/b/4 r/c/5 r/c/6", Tolerance{Machines: 1, Zones: 1}, "1 2 3 4 5 6", "1 2 3 5"},
		{"r/a/1 r/b/2 r/c/3 r/d/4 s/e/5 q/f/6", Tolerance{Machines: 1, Regions: 1}, "1 2 3 4 5 6", ""},
		// One zone can't tolerate the loss of a zone.
		{"r/a/1 r/a/2 r/a/3 r/a/4 r/a/5", Tolerance{Machines: 1, Zones: 1}, "1 2 3 4 5", "1 2 3 4"},
		{"r/a/1 r/a/2", Tolerance{Machines: 2}, "1 2", "1 2"},
	} {
		v, ok := InitialView(testPeersAt(c.peers), c.tolerance)
		require.True(t, ok)
		require.NoError(t, v.Validate())
		if c.chain == "" { // only checks that a majority remains without the voters of region r
			require.True(t, v.Shortfall(c.tolerance).None(), "%+v", v.Voters)
			continue
		}
		require.Equal(t, c.voters, joinIDs(v.Voters), "%+v", c)
		s := scenario{view: v}
		require.Equal(t, c.chain, s.chainIDs(), "%+v", c)
		var members []Peer
		for _, member := range v.Chain {
			members = append(members, member.Peer)
		}
		require.True(t, SpreadOf(members).Covers(v.RequiredSpread(c.tolerance)))
	}
}
