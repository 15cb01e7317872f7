package snapshot

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

// Writer saves states on a goroutine of its own, so that no request waits for the disk. A state that is
// still pending when a newer one arrives is skipped. Its methods are safe for concurrent use.
type Writer struct {
	store   *Store
	pending chan *State // holds the newest state only
	closed  chan struct{}
	stats   Stats
}

// Stats holds the counters of a Writer. They are safe for concurrent use.
type Stats struct {
	// Saved, Failed and Skipped are numbers of states. Bytes is the total size of the saved keys
	// and values.
	Saved, Failed, Bytes, Skipped atomic.Int64
	SlowestMicros                 atomic.Int64 // duration of the slowest save, in microseconds
}

// NewWriter starts a Writer for a store. Once ctx is done, the Writer saves the pending state, if there is
// one, and closes the store.
func NewWriter(ctx context.Context, s *Store) *Writer {
	w := &Writer{store: s, pending: make(chan *State, 1), closed: make(chan struct{})}
	go w.run(ctx)
	return w
}

// Save schedules a state to be saved. It replaces a state that is still pending, and never blocks.
func (w *Writer) Save(state *State) {
	for {
		select {
		case w.pending <- state:
			return
		default:
		}
		select {
		case <-w.pending:
			w.stats.Skipped.Add(1)
		default:
		}
	}
}

// Stats returns the counters.
func (w *Writer) Stats() *Stats { return &w.stats }

// Closed returns a channel that is closed once the store has been closed.
func (w *Writer) Closed() <-chan struct{} { return w.closed }

func (w *Writer) run(ctx context.Context) {
	defer close(w.closed)
	defer func() {
		if err := w.store.Close(); err != nil {
			slog.Warn("closing the state file failed", "err", err)
		}
	}()
	for {
		select {
		case state := <-w.pending:
			w.save(state)
		case <-ctx.Done():
			select {
			case state := <-w.pending:
				w.save(state)
			default:
			}
			return
		}
	}
}

func (w *Writer) save(state *State) {
	from := time.Now()
	t, err := Encode(state)
	if err == nil {
		err = w.store.Save(t)
	}
	if err != nil {
		// Only the first failure is logged: a full disk would fill the log.
		if w.stats.Failed.Add(1) == 1 {
			slog.Warn("saving the state failed", "err", err)
		}
		return
	}
	w.stats.Saved.Add(1)
	for _, records := range t {
		for key, r := range records {
			w.stats.Bytes.Add(int64(len(key) + len(r.Value)))
		}
	}
	took := time.Since(from).Microseconds()
	for {
		old := w.stats.SlowestMicros.Load()
		if took <= old || w.stats.SlowestMicros.CompareAndSwap(old, took) {
			return
		}
	}
}
