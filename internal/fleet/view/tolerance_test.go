package view

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestShortfall(t *testing.T) {
	for _, c := range []struct {
		voters    string
		tolerance Tolerance
		want      Shortfall
	}{
		{"r/a/1", Tolerance{}, Shortfall{}},
		{"r/a/1", Tolerance{Machines: 1}, Shortfall{Machines: 1}},
		{"r/a/1 r/a/2 r/a/3", Tolerance{Machines: 1}, Shortfall{}},
		{"r/a/1 r/a/2 r/a/3", Tolerance{Machines: 2}, Shortfall{Machines: 1}},
		{"r/a/1 r/a/2 r/a/3", Tolerance{Machines: 1, Zones: 1}, Shortfall{Zones: 1}},
		{"r/a/1 r/a/2 r/b/3 r/c/4", Tolerance{Zones: 1}, Shortfall{Zones: 1}},
		{"r/a/1 r/a/2 r/b/3 r/b/4 r/c/5", Tolerance{Machines: 2, Zones: 1}, Shortfall{}},
		{"r/a/1 r/b/2 r/c/3", Tolerance{Machines: 1, Zones: 1, Regions: 1}, Shortfall{Regions: 1}},
		{"r/a/1 s/a/2 q/a/3", Tolerance{Machines: 1, Zones: 1, Regions: 1}, Shortfall{}},
	} {
		require.Equal(t, c.want, View{Voters: testPeersAt(c.voters)}.Shortfall(c.tolerance),
			"%s %+v", c.voters, c.tolerance)
	}
	require.Equal(t, "machines: 1 fewer, regions: 2 fewer", Shortfall{Machines: 1, Regions: 2}.String())
}

func TestRequiredSpread(t *testing.T) {
	v := View{Voters: testPeersAt("r/a/1 r/a/2 r/a/3 r/b/4 r/c/5")}
	require.Equal(t, Spread{Machines: 3, Zones: 1, Regions: 1}, v.RequiredSpread(Tolerance{Machines: 2, Zones: 1}),
		"the loss of two machines may take two zones")
	v = View{Voters: testPeersAt("r/a/1 r/b/2 s/c/3 s/d/4")}
	require.Equal(t, Spread{Machines: 2, Zones: 1, Regions: 1}, v.RequiredSpread(Tolerance{Machines: 1}))
	require.Equal(t, Spread{Machines: 2, Zones: 2, Regions: 1}, v.RequiredSpread(Tolerance{Machines: 1, Zones: 1}))
	require.Equal(t, Spread{Machines: 1, Zones: 2, Regions: 1}, v.RequiredSpread(Tolerance{Zones: 1, Regions: 1}))
	require.Equal(t, Spread{Machines: 1, Zones: 2, Regions: 1}, v.RequiredSpread(Tolerance{Zones: 2, Regions: 1}))
	require.Equal(t, Spread{Machines: 3, Zones: 1, Regions: 1},
		v.RequiredSpread(Tolerance{Machines: 9, Zones: 9, Regions: 9}))
}
