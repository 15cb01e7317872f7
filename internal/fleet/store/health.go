package store

import "time"

// Health describes the state of a store's disk.
type Health struct {
	OldestPending time.Duration `json:"Oldest"`  // age of the oldest operation in progress; 0 if there is none
	FailingFor    time.Duration `json:"Failing"` // time since the first failure after the last successful write; 0 if none
	Written       bool          `json:"Good"`    // whether a write has succeeded since Open
	Err           error         `json:"Err"`     // error of the last operation or else of the last compaction
}

// Health returns the state of the disk at the time now. It never waits for the disk.
func (s *Store) Health(now time.Time) Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	health := Health{Written: s.hasWritten, Err: s.lastErr}
	if health.Err == nil {
		health.Err = s.compactionErr
	}
	if len(s.submitTimes) > 0 {
		health.OldestPending = max(0, now.Sub(s.submitTimes[0]))
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
	s.submitTimes = s.submitTimes[1:]
	switch {
	case o.query != nil && err == nil: // a successful query does not show that writes succeed
	case err == nil:
		s.hasWritten, s.failingSince = true, time.Time{}
	case s.failingSince.IsZero():
		s.failingSince = time.Now()
	}
	s.lastErr = err
}
