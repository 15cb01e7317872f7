package controlplane

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

// closedAtOnce is what a caller sees of a server that admits no further connection.
func closedAtOnce(ctx context.Context) error {
	<-time.After(5 * time.Millisecond)
	return io.EOF
}

// A process that is refused by busy ones asks as seldom as if they had not answered.
func TestDiscoveryBacksOffFromProcessesThatRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &discoveryClient{known: testView(1, "a", "b", "c"), fail: closedAtOnce}
		assert.LessOrEqual(t, float64(len(client.run(t)))/discoveryPeriod.Seconds(), 0.75, "requests per second")
	})
}

// After rounds that timed out all known voters are lost. The configured address is still asked within a few seconds.
func TestConfiguredAddressIsAskedSoonAfterTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		lastSeed, gap := time.Time{}, time.Duration(0)
		member, err := Open(Options{Addr: "client:1", Seeds: func() []string { return []string{"seed-0:1"} }, Pool: rpc.NewPool(), Transition: applyNumber})
		require.NoError(t, err)
		member.intercept = func(ctx context.Context, address, name string, _ func() error) error {
			if name != callView {
				return refuse(ctx)
			}
			if time.Since(begin) < 8*time.Second {
				return timeOut(ctx)
			}
			if address == "seed-0:1" {
				if !lastSeed.IsZero() {
					gap = max(gap, time.Since(lastSeed))
				}
				lastSeed = time.Now()
			}
			<-time.After(300 * time.Millisecond) // connectTimeout
			return refuse(ctx)
		}
		known := testView(1, "a", "b", "c")
		require.NoError(t, member.learnView(t.Context(), &known))
		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
		defer cancel()
		require.NoError(t, member.Run(ctx))
		assert.Less(t, gap, 5*time.Second)
	})
}
