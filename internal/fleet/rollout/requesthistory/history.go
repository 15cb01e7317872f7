package requesthistory

// History is the history of one request at one agent. It is not safe for concurrent use.
type History struct {
	Idempotent  bool  // the request may run more than once
	Resumable   bool  // the response is a stream that can be resumed after a given chunk
	Versioned   bool  // servers name the revision of their model, and each attempt states the one it expects
	ResumeAfter int64 // ID of the last chunk that the client has, if the client itself resumes a stream; 0 if not

	state            state
	mayHaveRun       bool
	chunks           int64 // number of forwarded chunks
	nextChunk        int64 // ID of the next chunk; 0 if unknown
	revision         int   // revision of the forwarded chunks; 0 if unknown
	expectedRevision int   // revision that the attempt expects; 0 if none
}

type state uint8

const (
	stateNew        state = iota // no attempt was sent yet
	stateSent                    // an attempt awaits its response
	stateResponding              // a response has started
	stateBetween                 // an attempt has ended, and no other is in flight
	stateEnded
)

// Apply adds the next event. An event that breaks a rule is refused with a *TransitionError and changes
// nothing.
func (h *History) Apply(event Event, detail Detail) error {
	if err := h.transition(event, detail); err != nil {
		return &TransitionError{Event: event, Rule: err}
	}
	return nil
}

// Ended reports whether the request has ended.
func (h *History) Ended() bool { return h.state == stateEnded }

func (h *History) transition(event Event, detail Detail) error {
	if h.Ended() {
		return ErrEnded
	}
	switch event {
	case AttemptSent:
		return h.sendAttempt(detail)
	case AttemptNotRun:
		return h.dropUnrunAttempt()
	case ResponseStarted:
		return h.startResponse(detail)
	case ChunkForwarded:
		return h.forwardChunk(detail)
	case AttemptFailed:
		return h.failAttempt()
	case AttemptMigrated:
		return h.migrateAttempt()
	case Completed, ErrorForwarded, Rejected, Failed, Truncated, ClientLeft:
		return h.end(event)
	default:
		return ErrUnknownEvent
	}
}

// attemptInFlight reports whether an attempt was sent and has not ended.
func (h *History) attemptInFlight() bool { return h.state == stateSent || h.state == stateResponding }

func (h *History) sendAttempt(detail Detail) error {
	switch {
	case h.attemptInFlight():
		return ErrAttemptInFlight
	case h.mayHaveRun && !h.Idempotent:
		return ErrRunsTwice
	case h.chunks > 0 && !h.Resumable:
		return ErrNotResumable
	case !h.isResumePoint(detail.ID):
		return ErrWrongResumePoint
	case h.Versioned && detail.Revision == 0:
		return ErrNoExpectedRevision
	case h.chunks > 0 && h.revision != 0 && detail.Revision != h.revision:
		return ErrOtherExpectation
	}
	if h.chunks == 0 && h.ResumeAfter > 0 {
		h.nextChunk = h.ResumeAfter + 1
	}
	h.state, h.expectedRevision = stateSent, detail.Revision
	return nil
}

// isResumePoint reports whether a chunk is the one after which the next attempt has to resume. Chunk 0
// stands for the stream's start.
func (h *History) isResumePoint(chunk int64) bool {
	if h.chunks == 0 {
		return chunk == h.ResumeAfter
	}
	return h.nextChunk != 0 && chunk == h.nextChunk-1
}

func (h *History) dropUnrunAttempt() error {
	if h.state != stateSent {
		return ErrNotAwaitingResponse
	}
	h.state = stateBetween
	return nil
}

func (h *History) startResponse(detail Detail) error {
	revision := detail.Revision
	if revision == 0 {
		revision = h.expectedRevision // the server accepted the attempt, and so has this revision
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
	case differ(h.revision, detail.Revision):
		return ErrChunkOtherRevision
	}
	if h.revision == 0 {
		h.revision = detail.Revision
	}
	h.chunks++
	if detail.ID != 0 {
		h.nextChunk = detail.ID + 1
	}
	return nil
}

// differ reports whether both revisions are known and differ.
func differ(a, b int) bool { return a != 0 && b != 0 && a != b }

func (h *History) failAttempt() error {
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
	return h.failAttempt()
}

// end applies an event that ends the request.
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

// mayEnd returns the rule that forbids the event to end the request, or nil.
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
