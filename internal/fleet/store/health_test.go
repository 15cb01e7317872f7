package store

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHealthReportsStalls(t *testing.T) {
	s, _ := open(t, t.TempDir())
	require.False(t, s.Health(time.Now()).Written)
	require.NoError(t, s.Probe())
	require.True(t, s.Health(time.Now()).Written)
	require.Zero(t, s.Health(time.Now()).OldestPending)
	release, stalled := make(chan struct{}), make(chan struct{})
	var operations sync.WaitGroup
	operations.Go(func() {
		_ = s.query(func() error {
			close(stalled)
			<-release
			return nil
		})
	})
	<-stalled
	for range maxPending {
		operations.Go(func() { _ = s.Probe() })
	}
	require.Eventually(t, func() bool { return len(s.operations) == maxPending }, 10*time.Second, time.Millisecond)
	require.ErrorIs(t, s.Probe(), ErrBusy)
	require.GreaterOrEqual(t, s.Health(time.Now().Add(time.Second)).OldestPending, time.Second)
	close(release)
	operations.Wait()
	require.Zero(t, s.Health(time.Now()).OldestPending)
}
