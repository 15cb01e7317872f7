package requesthistory

// History is what has happened to one request at one agent. It is not safe for concurrent use.
type History struct {
	Idempotent bool  // it may run more than once
	Resumable  bool  // its stream can be resumed after a chunk's ID
	Versioned  bool  // servers name the revision of their model: each attempt expects one
	After      int64 // the chunk that the client has, if it resumes a stream itself; 0: none

	state           state
	mayHaveRun      bool
	chunks          int64 // forwarded
	nextChunk       int64 // ID; 0: unknown
	revision        int   // of the forwarded chunks; 0: unknown
	expectedVersion int   // of the attempt
}

type state uint8

const (
	stateNew        state = iota // no attempt was sent
	stateSent                    // an attempt awaits its response
	stateResponding              // a response has started
	stateBetween                 // no attempt is in flight
	stateEnded
)

// Apply takes the next event. An event that no request may have is refused with a
// *TransitionError and changes nothing.
func (h *History) Apply(event Event, detail Detail) error {
	if err := h.transition(event, detail); err != nil {
		return &TransitionError{Event: event, Rule: err}
	}
	return nil
}

// Ended reports whether the request has its end.
func (h *History) Ended() bool { return h.state == stateEnded }

func (h *History) transition(event Event, detail Detail) error {
	if h.Ended() {
		return ErrEnded
	}
	switch event {
	case AttemptSent:
		return h.sendAttempt(detail)
	case AttemptNotRun:
		return h.withdrawAttempt()
	case ResponseStarted:
		return h.startResponse(detail)
	case ChunkForwarded:
		return h.forwardChunk(detail)
	case AttemptFailed:
		return h.breakAttempt()
	case AttemptMigrated:
		return h.migrateAttempt()
	case Completed, ErrorForwarded, Rejected, Failed, Truncated, ClientLeft:
		return h.end(event)
	default:
		return ErrUnknownEvent
	}
}

// attemptInFlight reports whether an attempt was sent that has neither ended nor failed.
func (h *History) attemptInFlight() bool { return h.state == stateSent || h.state == stateResponding }

func (h *History) sendAttempt(detail Detail) error {
	switch {
	case h.attemptInFlight():
		return ErrAttemptInFlight
	case h.mayHaveRun && !h.Idempotent:
		return ErrRunsTwice
	case h.chunks > 0 && !h.Resumable:
		return ErrNotResumable
	case !h.resumesAfter(detail.ID):
		return ErrWrongResumePoint
	case h.Versioned && detail.Version == 0:
		return ErrNoExpectedRevision
	case h.chunks > 0 && h.revision != 0 && detail.Version != h.revision:
		return ErrOtherExpectation
	}
	if h.chunks == 0 && h.After > 0 {
		h.nextChunk = h.After + 1
	}
	h.state, h.expectedVersion = stateSent, detail.Version
	return nil
}

// resumesAfter reports whether an attempt has to resume after the chunk; 0 is the stream's start.
func (h *History) resumesAfter(chunk int64) bool {
	if h.chunks == 0 {
		return chunk == h.After
	}
	return h.nextChunk != 0 && chunk == h.nextChunk-1
}

func (h *History) withdrawAttempt() error {
	if h.state != stateSent {
		return ErrNotAwaitingResponse
	}
	h.state = stateBetween
	return nil
}

func (h *History) startResponse(detail Detail) error {
	revision := detail.Version
	if revision == 0 {
		revision = h.expectedVersion // the server has checked it
	}
	switch {
	case h.state != stateSent:
		return ErrNotAwaitingResponse
	case h.chunks > 0 && differ(h.revision, revision):
		return ErrOtherRevision
	}
	if h.chunks == 0 {
		h.revision = revision
	}
	h.state, h.mayHaveRun = stateResponding, true
	return nil
}

func (h *History) forwardChunk(detail Detail) error {
	switch {
	case h.state != stateResponding:
		return ErrNotResponding
	case h.nextChunk != 0 && detail.ID != h.nextChunk:
		return ErrChunkOutOfOrder
	case differ(h.revision, detail.Version):
		return ErrChunkOtherRevision
	}
	if h.revision == 0 {
		h.revision = detail.Version
	}
	h.chunks++
	if detail.ID != 0 {
		h.nextChunk = detail.ID + 1
	}
	return nil
}

// differ reports whether both revisions are known and are not the same.
func differ(a, b int) bool { return a != 0 && b != 0 && a != b }

func (h *History) breakAttempt() error {
	if !h.attemptInFlight() {
		return ErrNoAttempt
	}
	h.state, h.mayHaveRun = stateBetween, true
	return nil
}

func (h *History) migrateAttempt() error {
	if h.attemptInFlight() && !h.Resumable && !h.Idempotent {
		return ErrMigrationRunsTwice
	}
	return h.breakAttempt()
}

// end takes the event that ends the request.
func (h *History) end(event Event) error {
	if err := h.mayEnd(event); err != nil {
		return err
	}
	if event == ErrorForwarded {
		h.mayHaveRun = true
	}
	h.state = stateEnded
	return nil
}

// mayEnd returns the rule that forbids the request to end by the event, or nil.
func (h *History) mayEnd(event Event) error {
	switch event {
	case Completed:
		if h.state != stateResponding {
			return ErrNotResponding
		}
	case ErrorForwarded:
		answered := h.attemptInFlight() || h.state == stateBetween && h.mayHaveRun
		if !answered || h.chunks > 0 {
			return ErrIncompleteError
		}
	case Rejected:
		switch {
		case h.mayHaveRun || h.chunks > 0:
			return ErrMayHaveRun
		case h.attemptInFlight():
			return ErrMayRun
		}
	case Failed:
		if h.chunks > 0 {
			return ErrChunksForwarded
		}
	case Truncated:
		if h.chunks == 0 && h.state != stateResponding && !h.mayHaveRun {
			return ErrNothingToTruncate
		}
	}
	return nil
}
