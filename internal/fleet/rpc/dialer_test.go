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

// Calls and streams go over the dialer that they are given.
func TestCallsUseTheDialer(t *testing.T) {
	at := startServer(t, testMux(nil))
	var d countingDialer
	p := NewPoolWithDialer(&d)
	t.Cleanup(p.Close)
	for range 3 {
		_, err := Call[testRequest, testResponse](timeoutContext(t, 10*time.Second), p, at.address, "echo", &testRequest{Text: "a"})
		require.NoError(t, err)
	}
	assert.Equal(t, int64(1), d.opened.Load(), "calls share a connection")
	_, hangUp, err := OpenStreamWithDialer[testRequest, testResponse](timeoutContext(t, 10*time.Second), &d, at.address, "echo")
	require.NoError(t, err)
	hangUp()
	assert.Equal(t, int64(2), d.opened.Load(), "a stream has one of its own")
}
