package snapshot

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// Writer saves the newest state it was handed, at most one at a time, on a goroutine of its
// own: no request waits for the disk, however slow it is.
type Writer struct {
	store   *Store
	pending chan *State // the newest only
	closed  chan struct{}
	stats   Stats
}

// Stats are counted over a keeper's life. They are safe to read at any time.
type Stats struct {
	Saved, Failed, Bytes, Skipped atomic.Int64
	SlowestMicros                 atomic.Int64 // a save, in microseconds
}

// NewWriter starts saving to a store, which it closes when ctx is done and the last save is out.
func NewWriter(ctx context.Context, s *Store) *Writer {
	k := &Writer{store: s, pending: make(chan *State, 1), closed: make(chan struct{})}
	go k.run(ctx)
	return k
}

// Save hands over what is to be saved; it never blocks. What was not yet begun to be saved
// is replaced.
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

// Stats counts what was done.
func (k *Writer) Stats() *Stats { return &k.stats }

// Closed is closed when the store has been closed.
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
			case m := <-k.pending: // what was handed over last
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
		// Once for a row of failures: a full disk would fill the log, too.
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
