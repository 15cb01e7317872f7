package snapshot

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// Writer saves states on a goroutine of its own, so that no request waits for the disk. Only the newest
// pending state is saved. Its methods are safe for concurrent use.
type Writer struct {
	store   *Store
	pending chan *State // holds the newest state only
	closed  chan struct{}
	stats   Stats
}

// Stats are the counters of a Writer. They are safe for concurrent use.
type Stats struct {
	Saved, Failed, Bytes, Skipped atomic.Int64
	SlowestMicros                 atomic.Int64 // duration of the slowest save, in microseconds
}

// NewWriter starts a writer to a store. Once ctx is done it saves the last pending state and closes the store.
func NewWriter(ctx context.Context, s *Store) *Writer {
	k := &Writer{store: s, pending: make(chan *State, 1), closed: make(chan struct{})}
	go k.run(ctx)
	return k
}

// Save schedules a state to be saved, in place of one that is still pending. It never blocks.
func (k *Writer) Save(m *State) {
	for {
		select {
		case k.pending <- m:
			return
		default:
		}
		select {
		case <-k.pending:
			k.stats.Skipped.Add(1)
		default:
		}
	}
}

// Stats returns the counters.
func (k *Writer) Stats() *Stats { return &k.stats }

// Closed returns a channel that is closed once the store has been closed.
func (k *Writer) Closed() <-chan struct{} { return k.closed }

func (k *Writer) run(ctx context.Context) {
	defer close(k.closed)
	defer func() {
		if err := k.store.Close(); err != nil {
			slog.Warn("state not closed", "err", err)
		}
	}()
	for {
		select {
		case m := <-k.pending:
			k.save(m)
		case <-ctx.Done():
			select {
			case m := <-k.pending: // the last pending state
				k.save(m)
			default:
			}
			return
		}
	}
}

func (k *Writer) save(m *State) {
	from := time.Now()
	t, err := Encode(m)
	if err == nil {
		err = k.store.Save(t)
	}
	if err != nil {
		// Logged once for a series of failures: a full disk would fill the log.
		if k.stats.Failed.Add(1) == 1 {
			slog.Warn("state not saved", "err", err)
		}
		return
	}
	k.stats.Saved.Add(1)
	for _, records := range t {
		for key, r := range records {
			k.stats.Bytes.Add(int64(len(key) + len(r.Value)))
		}
	}
	took := time.Since(from).Microseconds()
	for {
		old := k.stats.SlowestMicros.Load()
		if took <= old || k.stats.SlowestMicros.CompareAndSwap(old, took) {
			return
		}
	}
}
