package controlsim

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/store"
)

func withDisk(t *testing.T, test func(m *media, h *host, d *disk)) {
	synctest.Test(t, func(t *testing.T) {
		m, h := newMedia(rand.New(rand.NewPCG(1, 2))), newNetwork(rand.New(rand.NewPCG(1, 2))).addHost(hostA)
		test(m, h, openDisk(m, h))
	})
}

func TestSyncedRecordsSurviveProcess(t *testing.T) {
	withDisk(t, func(m *media, h *host, d *disk) {
		require.NoError(t, d.Put("a", []byte("1")))
		var writer sync.WaitGroup
		writer.Go(func() { require.ErrorIs(t, d.Put("b", []byte("2")), store.ErrClosed) })
		synctest.Wait()
		d.stop()
		writer.Wait()
		require.ErrorIs(t, d.Put("c", []byte("3")), store.ErrClosed)
		next := openDisk(m, h)
		a, ok := next.Get("a")
		require.True(t, ok)
		require.Equal(t, "1", string(a))
		_, ok = next.Get("c")
		require.False(t, ok, "nothing is written after the end of the process")
		m.wipe()
		_, ok = openDisk(m, h).Get("a")
		require.False(t, ok)
	})
}

func TestDiskFaults(t *testing.T) {
	withDisk(t, func(m *media, h *host, d *disk) {
		m.setFull(true)
		require.ErrorIs(t, d.Put("a", []byte("1")), syscall.ENOSPC)
		require.Positive(t, d.Health(time.Now()).FailingFor)
		_, ok := m.read("a")
		require.False(t, ok)
		m.setFull(false)
		m.setStalled(true)
		var writer sync.WaitGroup
		writer.Go(func() { require.NoError(t, d.Put("a", []byte("1"))) })
		sleep(context.Background(), 3*time.Second)
		require.Equal(t, 3*time.Second, d.Health(time.Now()).OldestPending)
		m.setStalled(false)
		writer.Wait()
		require.Zero(t, d.Health(time.Now()).FailingFor)
		m.setSlowdown(diskSlowdown)
		startedAt := time.Now()
		require.NoError(t, d.Probe())
		require.GreaterOrEqual(t, time.Since(startedAt), diskSlowdown*meanSyncTime/2)
	})
}
