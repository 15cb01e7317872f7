package store

import "time"

// Health is the state of a store's disk.
type Health struct {
	OldestPending time.Duration `json:"Oldest"`  // age of the oldest operation in progress
	FailingFor    time.Duration `json:"Failing"` // since when each write has failed; 0: the last one succeeded
	Written       bool          `json:"Good"`    // a write has succeeded since Open
	Err           error         `json:"Err"`     // of the last operation, or else of the last compaction
}

// Health never waits for the disk.
func (s *Store) Health(now time.Time) Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	health := Health{Written: s.written, Err: s.lastErr}
	if health.Err == nil {
		health.Err = s.compactionErr
	}
	if len(s.pending) > 0 {
		health.OldestPending = max(0, now.Sub(s.pending[0]))
	}
	if !s.failingSince.IsZero() {
		health.FailingFor = max(1, now.Sub(s.failingSince))
	}
	return health
}

// recordOutcome records the outcome of the oldest pending operation.
func (s *Store) recordOutcome(o operation, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = s.pending[1:]
	switch {
	case o.query != nil && err == nil: // a successful read does not show that writes succeed
	case err == nil:
		s.written, s.failingSince = true, time.Time{}
	case s.failingSince.IsZero():
		s.failingSince = time.Now()
	}
	s.lastErr = err
}
