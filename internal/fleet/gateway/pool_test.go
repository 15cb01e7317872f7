package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParseKeepAlive(t *testing.T) {
	for field, want := range map[string]time.Duration{
		"":                     defaultKeepAlive,
		"timeout=5":            5*time.Second - keepAliveMargin,
		"max=100, timeout=30":  30*time.Second - keepAliveMargin,
		"timeout=0":            0,
		"timeout=x":            defaultKeepAlive,
		"timeout=-1":           defaultKeepAlive,
		"timeout=999999999999": defaultKeepAlive,
	} {
		require.Equal(t, want, parseKeepAlive(field), field)
	}
}

func TestPool(t *testing.T) {
	harness := newHarness(t, 3, func(call *upstreamCall, _ int) bool { return call.respondSuccess() })
	ctx := context.Background()
	pool := newPool(2)
	get := func(server *testServer) (*conn, bool, error) {
		return pool.get(ctx, server.instance, time.Now().Add(testTimeout))
	}
	call, fresh, err := get(harness.servers[0])
	require.NoError(t, err)
	require.True(t, fresh)
	b, _, err := get(harness.servers[1])
	require.NoError(t, err)
	_, _, err = get(harness.servers[2])
	require.ErrorIs(t, err, errPoolExhausted)
	// An idle one gives way to a new one, those in use don't.
	pool.put(call)
	c, fresh, err := get(harness.servers[2])
	require.NoError(t, err)
	require.True(t, fresh)
	_, _, err = get(harness.servers[0])
	require.ErrorIs(t, err, errPoolExhausted)
	// The same connection is used again.
	pool.put(b)
	again, fresh, err := get(harness.servers[1])
	require.NoError(t, err)
	require.False(t, fresh)
	require.Equal(t, b, again)
	// Not one whose time is over.
	b.keepAlive = 0
	pool.put(b)
	b, fresh, err = get(harness.servers[1])
	require.NoError(t, err)
	require.True(t, fresh)
	pool.put(b)
	pool.put(c)
	b.usableUntil = time.Now()
	pool.closeExpired()
	require.Equal(t, 1, pool.open)
	pool.retainListed(harness.serverList(harness.servers[2]).ByID)
	require.Zero(t, pool.open)
	require.Empty(t, pool.idle)
}
