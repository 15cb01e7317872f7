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

// The stored record: table, key and format version. Its value is a duration in nanoseconds from when the
// generation was saved.
const (
	promiseTable, promiseKey, promiseVersion = "cover", "until", 1
	// maxPromiseSpan bounds a stored duration: twice the longest promise that any configuration allows.
	maxPromiseSpan = time.Hour
)

// promiseStore stores until when a voter's promises may stand. One write is in flight at a time, on a
// goroutine of its own: a slow disk delays promises and nothing else.
type promiseStore struct {
	store   *snapshot.Store
	saved   chan writeResult // result of the write in flight
	writes  sync.WaitGroup
	writing bool
}

type writeResult struct {
	until time.Duration
	err   error
}

// openPromiseStore opens a voter's directory and returns how long promises of earlier runs may still
// stand, even if those had longer leases than the current configuration; longest if that is not known.
// Before it returns that duration is stored again.
func openPromiseStore(dir string, longest time.Duration) (promises *promiseStore, remaining time.Duration, err error) {
	store, generation, problems, err := snapshot.Open(dir, snapshot.Now)
	for _, p := range problems {
		slog.Warn("vote: stored promises rejected", "where", p.Where, "why", p.Reason)
	}
	if err != nil {
		return nil, 0, fmt.Errorf("vote: promise store: %w", err)
	}
	remaining = longest
	if generation != nil && generation.AgeKnown && generation.Complete && len(problems) == 0 {
		if r, ok := generation.Tables[promiseTable][promiseKey]; ok && r.Version == promiseVersion && len(r.Value) == 8 {
			if span := time.Duration(binary.BigEndian.Uint64(r.Value)); span >= 0 && span <= maxPromiseSpan {
				remaining = max(span-generation.Age, 0)
			}
		}
	}
	promises = &promiseStore{store: store, saved: make(chan writeResult, 1)}
	// The next run must know for how long this one abstains.
	if err := promises.save(remaining); err != nil {
		return nil, 0, errors.Join(fmt.Errorf("vote: promise store: %w", err), store.Close())
	}
	slog.Info("vote: promises of earlier runs", "dir", dir, "left", remaining.String())
	return promises, remaining, nil
}

func (c *promiseStore) save(span time.Duration) error {
	raw := binary.BigEndian.AppendUint64(nil, uint64(span))
	return c.store.Save(snapshot.Tables{promiseTable: {promiseKey: {Version: promiseVersion, Value: raw}}})
}

// persist starts to store that promises may stand until a time. It does nothing while another write is in
// flight: the voter asks again.
func (c *promiseStore) persist(now, until time.Duration) {
	if c.writing {
		return
	}
	c.writing = true
	c.writes.Add(1)
	go func() {
		defer c.writes.Done()
		c.saved <- writeResult{until, c.save(until - now)} // never blocks: one write is in flight at a time
	}()
}

// close waits for the write in flight and closes the store.
func (c *promiseStore) close() {
	c.writes.Wait()
	if err := c.store.Close(); err != nil {
		slog.Warn("vote: promise store not closed", "err", err)
	}
}
