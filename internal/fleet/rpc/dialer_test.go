package rpc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// countingDialer counts the connections that it opens.
type countingDialer struct{ opened atomic.Int64 }

func (d *countingDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d.opened.Add(1)
	return DialTCP(ctx, addr)
}

// Calls and streams use the dialer that they are given.
func TestCallsUseTheDialer(t *testing.T) {
	server := startServer(t, testMux(nil))
	var dialer countingDialer
	pool := NewPoolWithDialer(&dialer)
	t.Cleanup(pool.Close)
	for range 3 {
		_, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), pool, server.address, "echo", &testRequest{Text: "a"})
		require.NoError(t, err)
	}
	assert.Equal(t, int64(1), dialer.opened.Load(), "calls share a connection")
	_, closeStream, err := OpenStreamWithDialer[testRequest, testResponse](timeoutContext(t, 10*time.Second), &dialer, server.address, "echo")
	require.NoError(t, err)
	closeStream()
	assert.Equal(t, int64(2), dialer.opened.Load(), "a stream has one of its own")
}
