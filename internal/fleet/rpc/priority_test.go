package rpc

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A caller that becomes a member of the core after its connection was accepted is served like any member.
func TestCallerThatJoinsTheCoreIsAPriorityCaller(t *testing.T) {
	withHeldUpServer(t, func(t *testing.T, server *heldUpServer) {
		pool := NewPoolWithDialer(server.network)
		defer pool.Close()
		echo := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := Call[testRequest, testResponse](ctx, pool, "server", "echo", &testRequest{})
			return err
		}
		require.NoError(t, echo())
		server.priority = true // the view with this caller is learned
		for range 600 {        // heartbeats, 100 ms apart, for a minute
			<-time.After(100 * time.Millisecond)
			require.NoError(t, echo())
		}
		server.priority = false // the others are agents
		for range minConnections / callsDivisor {
			server.abandonCall(t)
			_ = echo() // a heartbeat: the connection stays in use
		}
		server.priority = true
		failures := 0
		for range 50 { // five seconds of heartbeats
			<-time.After(100 * time.Millisecond)
			if echo() != nil {
				failures++
			}
		}
		close(server.released)
		assert.Zero(t, failures, "of 50 heartbeats that were refused")
	})
}
