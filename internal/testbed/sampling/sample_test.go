package sampling

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

func TestConfigAndChangeAreValid(t *testing.T) {
	n := Size{Routes: 12, Services: 6, Tenants: 30}
	raw, rev, err := config.Apply(nil, false, Config(1, n))
	require.NoError(t, err)
	require.Equal(t, int64(1), rev)
	for want := int64(2); want < 30; want++ {
		raw, rev, err = config.Apply(raw, true, Change(want, n))
		require.NoError(t, err)
		require.Equal(t, want, rev)
	}
	d, err := config.Parse(raw)
	require.NoError(t, err)
	require.Len(t, d.Routes, n.Routes)
	require.Equal(t, int64(20029), d.Match(Host(5), Path(5)+"x").TimeoutMs)
}
