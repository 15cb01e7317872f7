package sample

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/conf"
)

func TestConfigAndChangeAreValid(t *testing.T) {
	n := Size{Routes: 12, Services: 6, Tenants: 30}
	raw, rev, err := conf.Next(nil, false, Config(1, n))
	require.NoError(t, err)
	require.Equal(t, int64(1), rev)
	for want := int64(2); want < 30; want++ {
		raw, rev, err = conf.Next(raw, true, Change(want, n))
		require.NoError(t, err)
		require.Equal(t, want, rev)
	}
	d, err := conf.Parse(raw)
	require.NoError(t, err)
	require.Len(t, d.Routes, n.Routes)
	require.Equal(t, int64(20029), d.Match(Host(5), Path(5)+"x").TimeoutMs)
}
