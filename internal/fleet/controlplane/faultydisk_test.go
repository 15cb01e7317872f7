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

// faultyDisk is a store whose disk can be made to fail or to stall all writes.
type faultyDisk struct {
	*store.Store
	mu           sync.Mutex
	failWrites   bool
	failingSince time.Time
	unstalled    chan struct{} // writes wait until it is closed; nil: they don't
	stalledSince time.Time     // the oldest write that waits
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

// beginWrite notes a write, and reports what is to become of it.
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

// hasStalledWrite reports whether a write waits.
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

// stateDir is a folder for a machine's state, in memory where there is such a file system: the tests
// are about processes, and many of them share one disk.
func stateDir(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "core")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { require.NoError(t, os.RemoveAll(dir)) })
	return dir
}
