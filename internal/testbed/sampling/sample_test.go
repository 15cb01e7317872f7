package sampling

import (
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

func TestConfigAndChangeAreValid(t *testing.T) {
	size := Size{Routes: 12, Services: 6, Tenants: 30}
	raw, revision, err := config.Apply(nil, false, Config(1, size))
	require.NoError(t, err)
	require.Equal(t, int64(1), revision)
	for want := int64(2); want < 30; want++ {
		raw, revision, err = config.Apply(raw, true, Change(want, size))
		require.NoError(t, err)
		require.Equal(t, want, revision)
	}
	document, err := config.Parse(raw)
	require.NoError(t, err)
	require.Len(t, document.Routes, size.Routes)
	require.Equal(t, int64(20029), document.Match(Host(5), Path(5)+"x").TimeoutMs)
}
