package controlplane

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// viewState holds the views that a process knows. The numbers of learned and newest never decrease.
type viewState struct {
	// learned is the view that the process acts on. It is on disk.
	learned view.View
	// learnedAt is the time at which this run of the process wrote learned; zero if it was read at the start.
	learnedAt time.Time
	// newest is the newest view that was observed, on disk or not. It determines where requests are
	// forwarded.
	newest view.View
	// superseded is notified when learned changes.
	superseded broadcast
	// learning is true while a call that writes newest to disk is under way.
	learning bool
	// failureLoggedAt is the time of the last log line about a view that could not be written; zero if
	// there was none.
	failureLoggedAt time.Time
}

func newViewState(stored view.View) viewState {
	return viewState{learned: stored, newest: stored, superseded: newBroadcast()}
}

// observe records a view that another process knows, if it is newer, and reports whether it is.
func (s *viewState) observe(observed *view.View) bool {
	if observed.Number <= s.newest.Number {
		return false
	}
	s.newest = observed.Clone()
	return true
}

// learn replaces the learned view by a newer one that is on disk.
func (s *viewState) learn(decided *view.View, now time.Time) {
	s.learned, s.learnedAt = decided.Clone(), now
	if s.newest.Number < decided.Number {
		s.newest = s.learned
	}
	s.superseded.notify()
}

// behind reports whether a newer view than the learned one was observed.
func (s *viewState) behind() bool { return s.newest.Number > s.learned.Number }

// isVoter reports whether a peer is a voter of the learned view.
func (s *viewState) isVoter(id string) bool {
	_, is := s.learned.Voter(id)
	return is
}

// newerThan returns the newest view if its number is above the given one, and nil otherwise.
func (s *viewState) newerThan(number uint64) *view.View {
	if s.newest.Number <= number {
		return nil
	}
	newest := s.newest
	return &newest
}

// shouldLogFailure reports whether a failure to write a view should be logged now. If so, it records now as
// the time of the log line.
func (s *viewState) shouldLogFailure(now time.Time) bool {
	if now.Sub(s.failureLoggedAt) < persistFailureLogInterval {
		return false
	}
	s.failureLoggedAt = now
	return true
}
