package controlplane

import (
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// viewState is what a process knows of the views. The numbers of learned and newest never decrease.
type viewState struct {
	// learned is on disk: the view by which the process acts.
	learned view.View
	// learnedAt is when learned was written in this run of the process; zero if it was read at the start.
	learnedAt time.Time
	// newest is the newest view that was observed, on disk or not. Requests are forwarded by it.
	newest view.View
	// superseded is notified when learned changes.
	superseded broadcast
	// learning tells that a call is under way to write newest to disk.
	learning bool
	// failureLoggedAt is when it was last logged that a view could not be written.
	failureLoggedAt time.Time
}

func newViewState(stored view.View) viewState {
	return viewState{learned: stored, newest: stored, superseded: newBroadcast()}
}

// observe takes a view that another process knows, and reports whether it is a newer one.
func (s *viewState) observe(observed *view.View) bool {
	if observed.Number <= s.newest.Number {
		return false
	}
	s.newest = observed.Clone()
	return true
}

// learn takes a decided view that is on disk, newer than the learned one.
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

// newerThan is the newest view if its number is above the given one, else nil.
func (s *viewState) newerThan(number uint64) *view.View {
	if s.newest.Number <= number {
		return nil
	}
	newest := s.newest
	return &newest
}

// shouldLogFailure reports whether a failure to write a view is to be logged, and notes that it is.
func (s *viewState) shouldLogFailure(now time.Time) bool {
	if now.Sub(s.failureLoggedAt) < persistFailureLogInterval {
		return false
	}
	s.failureLoggedAt = now
	return true
}
