package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestKeepAliveOfServers(t *testing.T) {
	for field, want := range map[string]time.Duration{
		"":                     idleMost,
		"timeout=5":            5*time.Second - keepMargin,
		"max=100, timeout=30":  30*time.Second - keepMargin,
		"timeout=0":            0,
		"timeout=x":            idleMost,
		"timeout=-1":           idleMost,
		"timeout=999999999999": idleMost,
	} {
		require.Equal(t, want, keepFor(field), field)
	}
}

func TestPool(t *testing.T) {
	w := newWorld(t, 3, func(a *arrival, _ int) bool { return a.serve() })
	ctx := context.Background()
	p := newPool(2)
	get := func(s *server) (*conn, bool, error) { return p.get(ctx, s.in, time.Now().Add(patience)) }
	a, fresh, err := get(w.servers[0])
	require.NoError(t, err)
	require.True(t, fresh)
	b, _, err := get(w.servers[1])
	require.NoError(t, err)
	_, _, err = get(w.servers[2])
	require.ErrorIs(t, err, errTooMany)
	// An idle one gives way to a new one, those in use don't.
	p.put(a)
	c, fresh, err := get(w.servers[2])
	require.NoError(t, err)
	require.True(t, fresh)
	_, _, err = get(w.servers[0])
	require.ErrorIs(t, err, errTooMany)
	// The same connection is used again.
	p.put(b)
	again, fresh, err := get(w.servers[1])
	require.NoError(t, err)
	require.False(t, fresh)
	require.Equal(t, b, again)
	// Not one whose time is over.
	b.keep = 0
	p.put(b)
	b, fresh, err = get(w.servers[1])
	require.NoError(t, err)
	require.True(t, fresh)
	p.put(b)
	p.put(c)
	b.until = time.Now()
	p.sweep()
	require.Equal(t, 1, p.open)
	p.keepOnly(w.list(w.servers[2]).ByID)
	require.Zero(t, p.open)
	require.Empty(t, p.idle)
}
