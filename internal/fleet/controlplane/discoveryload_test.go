package controlplane

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	// discoveryWarmUp is the time in which a process may ask often, and discoveryPeriod the time over which
	// requests are counted after it.
	discoveryWarmUp = 10 * time.Second
	discoveryPeriod = 30 * time.Second
)

// discoveryClient is a process outside of the core whose requests for a view all fail.
type discoveryClient struct {
	relay string                      // result of Options.RelayAddress
	known view.View                   // the view that it knows
	fail  func(context.Context) error // returns the error of a request

	mu        sync.Mutex
	addresses []string // that were asked after discoveryWarmUp
}

// run runs the process for discoveryWarmUp and discoveryPeriod and returns the addresses that it asked in the latter.
func (c *discoveryClient) run(t *testing.T) []string {
	t.Helper()
	seeds := func() []string { return []string{"seed-0:1", "seed-1:1", "seed-2:1"} }
	member, err := Open(Options{Addr: "client:1", Seeds: seeds, Pool: rpc.NewPool(), Transition: applyNumber,
		RelayAddress: func() string { return c.relay }})
	require.NoError(t, err)
	startedAt := time.Now()
	member.intercept = func(ctx context.Context, address, name string, _ func() error) error {
		if name == callView && time.Since(startedAt) >= discoveryWarmUp {
			c.mu.Lock()
			c.addresses = append(c.addresses, address)
			c.mu.Unlock()
		}
		return c.fail(ctx)
	}
	if c.known.Number > 0 {
		require.NoError(t, member.learnView(t.Context(), &c.known))
	}
	ctx, cancel := context.WithTimeout(t.Context(), discoveryWarmUp+discoveryPeriod)
	defer cancel()
	require.NoError(t, member.Run(ctx))
	return c.addresses
}

// timeOut waits for the timeout of a request, as of a process that is too busy to answer.
func timeOut(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// refuse fails at once, as a connect to a machine whose process does not run.
func refuse(context.Context) error { return syscall.ECONNREFUSED }

// A process asks ever more rarely for a view while nobody answers in time, whether it knows a view or not.
func TestDiscoveryBacksOffFromBusyProcesses(t *testing.T) {
	for name, known := range map[string]view.View{"no view is known": {}, "a view is known": testView(1, "a", "b", "c")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &discoveryClient{known: known, fail: timeOut}
				requests := len(client.run(t))
				assert.Positive(t, requests)
				assert.LessOrEqual(t, float64(requests)/discoveryPeriod.Seconds(), 0.75, "requests per second")
			})
		})
	}
}

// A process goes on asking at short intervals while connects are refused, which costs the machines nothing.
func TestDiscoveryDoesNotBackOffFromRefusedConnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &discoveryClient{known: testView(1, "a", "b", "c"), fail: refuse}
		assert.GreaterOrEqual(t, float64(len(client.run(t)))/discoveryPeriod.Seconds(), 2.0, "requests per second")
	})
}

// A process with a relay asks that relay only, and seldom.
func TestDiscoveryAsksTheRelaySeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &discoveryClient{known: testView(1, "a", "b", "c"), fail: refuse, relay: "b:1"}
		addresses := client.run(t)
		assert.NotEmpty(t, addresses)
		assert.LessOrEqual(t, float64(len(addresses))/discoveryPeriod.Seconds(), 0.75, "requests per second")
		for _, address := range addresses {
			assert.Equal(t, "b:1", address)
		}
	})
}
