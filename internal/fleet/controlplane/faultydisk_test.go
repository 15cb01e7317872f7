package controlplane

import (
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/store"
)

// faultyDisk is a store whose writes can be made to fail or stall.
type faultyDisk struct {
	*store.Store
	mu           sync.Mutex
	failWrites   bool
	failingSince time.Time
	unstalled    chan struct{} // writes wait until it is closed; nil if they don't stall
	stalledSince time.Time     // when the oldest stalled write began; zero if there is none
}

func (d *faultyDisk) Put(key string, record []byte) error {
	fail, unstalled := d.beginWrite(time.Now())
	if fail {
		return syscall.ENOSPC
	}
	if unstalled != nil {
		<-unstalled
	}
	return d.Store.Put(key, record)
}

// beginWrite records a write. It reports whether the write should fail, and the channel that it must wait for;
// nil if it need not wait.
func (d *faultyDisk) beginWrite(now time.Time) (fail bool, unstalled <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.failWrites && d.failingSince.IsZero():
		d.failingSince = now
	case d.unstalled != nil && d.stalledSince.IsZero():
		d.stalledSince = now
	case !d.failWrites:
		d.failingSince = time.Time{}
	}
	return d.failWrites, d.unstalled
}

func (d *faultyDisk) Probe() error { return d.Put("probe", nil) }

func (d *faultyDisk) Health(now time.Time) store.Health {
	health := d.Store.Health(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.failingSince.IsZero() {
		health.FailingFor = max(1, now.Sub(d.failingSince))
	}
	if !d.stalledSince.IsZero() {
		health.OldestPending = now.Sub(d.stalledSince)
	}
	return health
}

// hasStalledWrite reports whether a write is stalled.
func (d *faultyDisk) hasStalledWrite() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stalledSince.IsZero()
}

func (d *faultyDisk) setFailWrites(fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failWrites = fail
}

func (d *faultyDisk) setStalled(stalled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stalled {
		d.unstalled = make(chan struct{})
		return
	}
	close(d.unstalled)
	d.unstalled, d.stalledSince = nil, time.Time{}
}

// stateDir returns a new folder for a machine's state. It is in memory if /dev/shm exists, as many tests would
// otherwise share one disk.
func stateDir(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "core")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { require.NoError(t, os.RemoveAll(dir)) })
	return dir
}
