package controlsim

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/store"
)

const (
	// meanSyncTime is the mean latency of a write with its sync on a healthy disk.
	meanSyncTime = 2 * time.Millisecond
	// maxPendingWrites bounds the pending writes of a disk, as in package store.
	maxPendingWrites = 64
	// probeKey is the key of a probe's record, which is never stored.
	probeKey = "probe"
)

// media is the content of a machine's disk. It outlives the processes of the machine.
type media struct {
	mu       sync.Mutex
	random   *rand.Rand
	records  map[string][]byte // synced records
	slowdown int               // factor of the latency; 1 if the disk is healthy
	full     bool
	stalled  chan struct{} // closed when the stall ends; nil if the disk is not stalled
}

func newMedia(random *rand.Rand) *media {
	return &media{random: random, records: map[string][]byte{}, slowdown: 1}
}

// wipe removes all records, like the replacement of a disk.
func (m *media) wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = map[string][]byte{}
}

// setSlowdown sets the factor of the latency.
func (m *media) setSlowdown(times int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slowdown = times
}

// setFull sets whether the disk is full, so that writes fail.
func (m *media) setFull(full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.full = full
}

// setStalled sets whether writes block. The end of a stall continues them.
func (m *media) setStalled(stalled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case stalled && m.stalled == nil:
		m.stalled = make(chan struct{})
	case !stalled && m.stalled != nil:
		close(m.stalled)
		m.stalled = nil
	}
}

// read returns the synced record of a key.
func (m *media) read(key string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	raw, ok := m.records[key]
	return raw, ok
}

// disk is the store of a process on its machine's medium. It implements controlplane.Disk.
type disk struct {
	media     *media
	host      *host
	writeSlot chan struct{} // holds a token while no write is in progress
	ctx       context.Context
	stop      context.CancelFunc // called at the end of the process

	mu           sync.Mutex
	records      map[string][]byte // as the process sees them
	pending      []time.Time       // start times of the writes in progress
	failingSince time.Time         // time of the first failed write since a successful one; zero if the last succeeded
	written      bool              // whether a write has succeeded
	lastErr      error             // error of the last write
}

// openDisk opens a medium for a process. The disk has its synced records.
func openDisk(m *media, h *host) *disk {
	d := &disk{media: m, host: h, writeSlot: make(chan struct{}, 1), records: map[string][]byte{}}
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.writeSlot <- struct{}{}
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, value := range m.records {
		d.records[key] = value
	}
	return d
}

// Get returns the newest record of a key.
func (d *disk) Get(key string) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	value, ok := d.records[key]
	return value, ok
}

// Put writes a record and returns nil once it is synced. It returns store.ErrBusy if too many writes are pending,
// store.ErrClosed after the end of the process, and syscall.ENOSPC if the disk is full.
func (d *disk) Put(key string, value []byte) error {
	d.mu.Lock()
	if len(d.pending) >= maxPendingWrites {
		d.mu.Unlock()
		return store.ErrBusy
	}
	d.pending = append(d.pending, time.Now())
	d.mu.Unlock()
	err := d.write(key, append([]byte(nil), value...))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending = d.pending[1:]
	switch d.lastErr = err; {
	case err == nil:
		d.written, d.failingSince = true, time.Time{}
		d.records[key] = append([]byte(nil), value...)
	case d.failingSince.IsZero():
		d.failingSince = time.Now()
	}
	return err
}

// write writes a record after the previous write has ended. If the process ends during a write, or its machine loses
// power, the record may or may not be stored.
func (d *disk) write(key string, value []byte) error {
	select {
	case <-d.writeSlot:
		defer func() { d.writeSlot <- struct{}{} }()
	case <-d.ctx.Done():
		return store.ErrClosed
	}
	err := d.simulateLatency()
	if err == nil && d.host.waitResumed(d.ctx) != nil {
		err = store.ErrClosed
	}
	m := d.media
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == store.ErrClosed && m.random.IntN(2) == 0 {
		return err
	}
	if m.full && err == nil {
		return syscall.ENOSPC
	}
	if key != probeKey && !m.full {
		m.records[key] = value
	}
	return err
}

// simulateLatency waits for the duration of a write with its sync, and for the end of a stall.
func (d *disk) simulateLatency() error {
	m := d.media
	m.mu.Lock()
	stalled := m.stalled
	latency := meanSyncTime/2 + time.Duration(m.random.Int64N(int64(meanSyncTime)))
	latency *= time.Duration(m.slowdown)
	m.mu.Unlock()
	if stalled != nil {
		select {
		case <-stalled:
		case <-d.ctx.Done():
			return store.ErrClosed
		}
	}
	t := time.NewTimer(latency)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-d.ctx.Done():
		return store.ErrClosed
	}
}

// Probe writes an empty record.
func (d *disk) Probe() error { return d.Put(probeKey, nil) }

// Scrub never finds damage. Damaged records are tested in package store.
func (d *disk) Scrub() (bool, error) { return true, nil }

// Health returns the health of the disk at a time, without waiting for the disk.
func (d *disk) Health(now time.Time) store.Health {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := store.Health{Written: d.written, Err: d.lastErr}
	if len(d.pending) > 0 {
		h.OldestPending = max(0, now.Sub(d.pending[0]))
	}
	if !d.failingSince.IsZero() {
		h.FailingFor = max(1, now.Sub(d.failingSince))
	}
	return h
}

// Close ends the pending writes with store.ErrClosed.
func (d *disk) Close() { d.stop() }
