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
	// maxPendingWrites bounds the writes that wait for a disk, as package store does.
	maxPendingWrites = 64
	// probeKey is the record of a probe; it is never stored.
	probeKey = "probe"
)

// media is the content of a machine's disk. It outlives the processes of the machine.
type media struct {
	mu       sync.Mutex
	random   *rand.Rand
	records  map[string][]byte // synced
	slowdown int               // factor of the latency; 1: healthy
	full     bool
	stalled  chan struct{} // closed when the stall ends; nil: not stalled
}

func newMedia(random *rand.Rand) *media {
	return &media{random: random, records: map[string][]byte{}, slowdown: 1}
}

// wipe loses all records, as an exchanged disk.
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

// setFull makes writes fail, or succeed again.
func (m *media) setFull(full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.full = full
}

// setStalled makes writes block, or continue.
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

// read is the synced record of a key.
func (m *media) read(key string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	raw, ok := m.records[key]
	return raw, ok
}

// disk is the store of one process on a machine's media. It implements controlplane.Disk.
type disk struct {
	media     *media
	host      *host
	writeSlot chan struct{} // holds a token while no write is in progress
	ctx       context.Context
	stop      context.CancelFunc // called at the end of the process

	mu           sync.Mutex
	records      map[string][]byte // as the process sees them
	pending      []time.Time       // when the writes in progress began
	failingSince time.Time         // zero: the last write succeeded
	written      bool              // a write has succeeded
	lastErr      error             // of the last write
}

// openDisk opens a media for a process: it has the synced records.
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

// Get is the newest record of a key.
func (d *disk) Get(key string) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	value, ok := d.records[key]
	return value, ok
}

// Put returns nil once the record is synced; store.ErrBusy if too many writes wait, store.ErrClosed after the end of
// the process, syscall.ENOSPC on a full disk.
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

// write does one write at a time. One that is in progress when its process ends, or its machine loses power, may or
// may not reach the media.
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

// simulateLatency waits as long as a write and its sync take.
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

// Scrub finds no damage: damaged records are tested in package store.
func (d *disk) Scrub() (bool, error) { return true, nil }

// Health is the health of the disk at a time. It never waits for the disk.
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

// Close ends the writes that wait.
func (d *disk) Close() { d.stop() }
