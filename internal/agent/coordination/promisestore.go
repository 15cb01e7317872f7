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

const (
	// promiseTable, promiseKey and promiseVersion are the table, key and format version of the stored record.
	// Its value is the time in nanoseconds for which promises may be in force after the record was saved.
	promiseTable, promiseKey, promiseVersion = "cover", "until", 1
	// maxPromiseDuration bounds a stored duration. It is twice the longest promise that any configuration allows.
	maxPromiseDuration = time.Hour
)

// promiseStore stores the time until which a voter's promises may be in force. One write is in flight at a
// time, on its own goroutine, so that a slow disk delays only promises.
type promiseStore struct {
	store   *snapshot.Store
	saved   chan writeResult // result of the write in flight
	writes  sync.WaitGroup
	writing bool // whether a write is in flight
}

// writeResult is the result of a write of the time until which promises may be in force.
type writeResult struct {
	promisesUntil time.Duration
	err           error
}

// openPromiseStore opens a voter's directory. It returns how long promises of earlier runs may still be in
// force, even if those runs had longer leases than the current configuration, or maxRemaining if that is not
// known. It stores that duration again before it returns.
func openPromiseStore(
	dir string, maxRemaining time.Duration,
) (promises *promiseStore, remaining time.Duration, err error) {
	store, generation, problems, err := snapshot.Open(dir, snapshot.Now)
	for _, p := range problems {
		slog.Warn("vote: stored promises rejected", "where", p.Where, "why", p.Reason)
	}
	if err != nil {
		return nil, 0, fmt.Errorf("vote: promise store: %w", err)
	}
	remaining = maxRemaining
	if generation != nil && generation.AgeKnown && generation.Complete && len(problems) == 0 {
		if r, ok := generation.Tables[promiseTable][promiseKey]; ok && r.Version == promiseVersion &&
			len(r.Value) == 8 {
			if stored := time.Duration(binary.BigEndian.Uint64(r.Value)); stored >= 0 && stored <= maxPromiseDuration {
				remaining = max(stored-generation.Age, 0)
			}
		}
	}
	promises = &promiseStore{store: store, saved: make(chan writeResult, 1)}
	// If this run ends early, the next one must know how long to abstain for the same promises.
	if err := promises.save(remaining); err != nil {
		return nil, 0, errors.Join(fmt.Errorf("vote: promise store: %w", err), store.Close())
	}
	slog.Info("vote: promises of earlier runs", "dir", dir, "left", remaining.String())
	return promises, remaining, nil
}

// save stores that promises may be in force for the given time from now.
func (s *promiseStore) save(remaining time.Duration) error {
	raw := binary.BigEndian.AppendUint64(nil, uint64(remaining))
	return s.store.Save(snapshot.Tables{promiseTable: {promiseKey: {Version: promiseVersion, Value: raw}}})
}

// persist starts a write that promises may be in force until promisesUntil. It does nothing while another write
// is in flight, because the voter repeats its request.
func (s *promiseStore) persist(now, promisesUntil time.Duration) {
	if s.writing {
		return
	}
	s.writing = true
	s.writes.Add(1)
	go func() {
		defer s.writes.Done()
		// This never blocks, because one write is in flight at a time.
		s.saved <- writeResult{promisesUntil, s.save(promisesUntil - now)}
	}()
}

// close waits for the write in flight and closes the store.
func (s *promiseStore) close() {
	s.writes.Wait()
	if err := s.store.Close(); err != nil {
		slog.Warn("vote: promise store not closed", "err", err)
	}
}
