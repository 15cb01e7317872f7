package rpc

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"chalkdoor.example/chalkdoor/internal/testbed/heapsize"
	"chalkdoor.example/chalkdoor/internal/testbed/pipenetwork"
)

const (
	// overloadCallers is the number of processes that call one that is held up, for overloadDuration. Each waits
	// for overloadCallTimeout, and calls again after overloadCallPause.
	overloadCallers     = 294
	overloadDuration    = 9 * time.Second
	overloadCallTimeout = 400 * time.Millisecond
	overloadCallPause   = 150 * time.Millisecond
	// overloadMemoryBytes is the smallest memory limit of a process with so many callers, and abandonedShare the
	// fraction of it that may be held for calls that nobody waits for any more.
	overloadMemoryBytes = 102 << 20
	abandonedShare      = 0.05
)

// callUntil repeats a call until ctx ends.
func callUntil(ctx context.Context, pool *Pool, address string) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, overloadCallTimeout)
		_, _ = Call[testRequest, testResponse](callCtx, pool, address, "held up", &testRequest{})
		cancel()
		pause := time.NewTimer(overloadCallPause)
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
	}
}

// A process that is held up holds nothing for callers that have given up their calls: they call again.
func TestHeldUpServerHoldsNothingForCallersThatHaveLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mux, released, network := NewMux(), make(chan struct{}), pipenetwork.Network{}
		HandleUnary(mux, "held up", func(context.Context, *testRequest) (*testResponse, error) {
			<-released
			return &testResponse{}, nil
		})
		listener := network.Listen("server")
		serving, stopServing := context.WithCancel(t.Context())
		var server, callers sync.WaitGroup
		server.Go(func() {
			assert.NoError(t, Serve(serving, listener, mux, ServerOptions{MemoryBytes: overloadMemoryBytes}))
		})

		before := heapsize.InUse()
		calling, leave := context.WithTimeout(t.Context(), overloadDuration)
		defer leave()
		for range overloadCallers {
			callers.Go(func() {
				pool := NewPoolWithDialer(network)
				defer pool.Close()
				callUntil(calling, pool, "server")
			})
		}
		callers.Wait()
		<-time.After(serverIdleTimeout) // virtual time frees stopped timers only when they are due
		synctest.Wait()
		held := float64(heapsize.InUse() - before)
		close(released)
		stopServing()
		server.Wait()
		assert.Less(t, held, abandonedShare*overloadMemoryBytes, "bytes held for callers that have left")
	})
}
