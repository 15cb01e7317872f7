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
	// meanSyncTime is what a write and its sync take on a healthy disk.
	meanSyncTime = 2 * time.Millisecond
	// maxPendingWrites bounds the operations that wait for a disk, as the store does.
	maxPendingWrites = 64
	probeKey         = "probe"
)

// media is what a machine's disk holds. It outlives the processes of the machine.
type media struct {
	mu       sync.Mutex
	random   *rand.Rand
	records  map[string][]byte // synced
	slowdown int               // times as slow as a healthy disk
	full     bool
	stalled  chan struct{} // closed when the stall ends; nil: none
}

func newMedia(random *rand.Rand) *media {
	return &media{random: random, records: map[string][]byte{}, slowdown: 1}
}

// wipe loses all that was kept, as an exchanged disk.
func (d *media) wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records = map[string][]byte{}
}

func (d *media) setSlowdown(times int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slowdown = times
}

func (d *media) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

func (d *media) setStalled(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case on && d.stalled == nil:
		d.stalled = make(chan struct{})
	case !on && d.stalled != nil:
		close(d.stalled)
		d.stalled = nil
	}
}

// read is the synced record of a name.
func (d *media) read(key string) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	raw, ok := d.records[key]
	return raw, ok
}

// disk is the store of one process on a media: core.Disk.
type disk struct {
	media     *media
	host      *host
	writeSlot chan struct{} // holds a token while no operation is under way
	ctx       context.Context
	stop      context.CancelFunc // with the process

	mu           sync.Mutex
	records      map[string][]byte
	pending      []time.Time
	failingSince time.Time
	written      bool
	lastErr      error
}

func openDisk(m *media, h *host) *disk {
	d := &disk{media: m, host: h, writeSlot: make(chan struct{}, 1), records: map[string][]byte{}}
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.writeSlot <- struct{}{}
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, v := range m.records {
		d.records[k] = v
	}
	return d
}

// Get is the newest record of a name.
func (d *disk) Get(key string) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	val, ok := d.records[key]
	return val, ok
}

// Put returns nil once the record is synced.
func (d *disk) Put(key string, val []byte) error {
	d.mu.Lock()
	if len(d.pending) >= maxPendingWrites {
		d.mu.Unlock()
		return store.ErrBusy
	}
	d.pending = append(d.pending, time.Now())
	d.mu.Unlock()
	err := d.write(key, append([]byte(nil), val...))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending = d.pending[1:]
	switch d.lastErr = err; {
	case err == nil:
		d.written, d.failingSince = true, time.Time{}
		d.records[key] = append([]byte(nil), val...)
	case d.failingSince.IsZero():
		d.failingSince = time.Now()
	}
	return err
}

// write does one operation at a time. One that is under way when its process ends, or its machine
// loses power, is on the media or isn't.
func (d *disk) write(key string, val []byte) error {
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
		m.records[key] = val
	}
	return err
}

// simulateLatency takes the time of a write and its sync.
func (d *disk) simulateLatency() error {
	m := d.media
	m.mu.Lock()
	stalled := m.stalled
	wait := meanSyncTime/2 + time.Duration(m.random.Int64N(int64(meanSyncTime)))
	wait *= time.Duration(m.slowdown)
	m.mu.Unlock()
	if stalled != nil {
		select {
		case <-stalled:
		case <-d.ctx.Done():
			return store.ErrClosed
		}
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-d.ctx.Done():
		return store.ErrClosed
	}
}

// Probe writes a small record.
func (d *disk) Probe() error { return d.Put(probeKey, nil) }

// Scrub finds what was written: damaged records are tested with the store.
func (d *disk) Scrub() (bool, error) { return true, nil }

// Health never waits for the disk.
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

// Close ends the operations that wait.
func (d *disk) Close() { d.stop() }
