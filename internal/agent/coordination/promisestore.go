package coordination

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/snapshot"
)

// The table of a voter's cover, and the version of its form: a span in nanoseconds since the
// generation was saved.
const (
	promiseTable, promiseKey, promiseVersion = "cover", "until", 1
	// maxPromiseSpan bounds a span that is believed: twice the longest promise that any settings allow.
	maxPromiseSpan = time.Hour
)

// promiseStore keeps on disk until when a voter's promises may stand. One write is under way at a
// time, on a goroutine of its own: a slow disk holds up promises and nothing else.
type promiseStore struct {
	store   *snapshot.Store
	saved   chan writeResult // of the write under way
	writes  sync.WaitGroup
	writing bool
}

type writeResult struct {
	until time.Duration
	err   error
}

// openPromiseStore opens a voter's folder and tells for how long promises of earlier lives may stand,
// also where those had longer leases than this one's settings; whole where that is not known. Until what it says is on disk again nothing may be promised.
func openPromiseStore(dir string, longest time.Duration) (promises *promiseStore, remaining time.Duration, err error) {
	store, generation, problems, err := snapshot.Open(dir, snapshot.Now)
	for _, p := range problems {
		slog.Warn("vote: cover not believed", "where", p.Where, "why", p.Why)
	}
	if err != nil {
		return nil, 0, fmt.Errorf("vote: cover: %w", err)
	}
	remaining = longest
	if generation != nil && generation.Dated && generation.Whole && len(problems) == 0 {
		if r, ok := generation.Tables[promiseTable][promiseKey]; ok && r.Version == promiseVersion && len(r.Value) == 8 {
			if span := time.Duration(binary.BigEndian.Uint64(r.Value)); span >= 0 && span <= maxPromiseSpan {
				remaining = max(span-generation.Age, 0)
			}
		}
	}
	promises = &promiseStore{store: store, saved: make(chan writeResult, 1)}
	// What this life is silent for is known to the next one, too.
	if err := promises.save(remaining); err != nil {
		return nil, 0, errors.Join(fmt.Errorf("vote: cover: %w", err), store.Close())
	}
	slog.Info("vote: cover", "dir", dir, "left", remaining.String())
	return promises, remaining, nil
}

func (c *promiseStore) save(span time.Duration) error {
	raw := binary.BigEndian.AppendUint64(nil, uint64(span))
	return c.store.Save(snapshot.Tables{promiseTable: {promiseKey: {Version: promiseVersion, Value: raw}}})
}

// persist begins to write that promises may stand until a time; what is asked for during
// another write is asked for again.
func (c *promiseStore) persist(now, until time.Duration) {
	if c.writing {
		return
	}
	c.writing = true
	c.writes.Add(1)
	go func() {
		defer c.writes.Done()
		c.saved <- writeResult{until, c.save(until - now)} // there is room: one is under way at a time
	}()
}

// close waits for the write under way.
func (c *promiseStore) close() {
	c.writes.Wait()
	if err := c.store.Close(); err != nil {
		slog.Warn("vote: cover not closed", "err", err)
	}
}
