package requesthistory

import (
	"fmt"

	"github.com/go-faster/errors"
)

// The errors name the rules that a refused event breaks.
var (
	ErrEnded               = errors.New("the request has ended")
	ErrUnknownEvent        = errors.New("the event is unknown")
	ErrAttemptInFlight     = errors.New("another attempt is in flight")
	ErrNoAttempt           = errors.New("no attempt is in flight")
	ErrNotAwaitingResponse = errors.New("no attempt awaits its response")
	ErrNotResponding       = errors.New("no response has started")
	ErrRunsTwice           = errors.New("it may have run, and is not idempotent")
	ErrMigrationRunsTwice  = errors.New("it is neither idempotent nor resumable")
	ErrNotResumable        = errors.New("chunks were forwarded, and it is not resumable")
	ErrWrongResumePoint    = errors.New("it does not resume after the last chunk that the client has")
	ErrNoExpectedRevision  = errors.New("it expects no revision")
	ErrOtherExpectation    = errors.New("it does not expect the revision of the chunks that were forwarded")
	ErrOtherRevision       = errors.New("the response is of another revision than the chunks that were forwarded")
	ErrChunkOutOfOrder     = errors.New("the chunk does not follow the last one")
	ErrChunkOtherRevision  = errors.New("the chunk is of another revision than those before it")
	ErrIncompleteError     = errors.New("it has no complete error response, or chunks were forwarded")
	ErrMayHaveRun          = errors.New("it may have run")
	ErrMayRun              = errors.New("an attempt is in flight that may run")
	ErrChunksForwarded     = errors.New("chunks were forwarded")
	ErrNothingToTruncate   = errors.New("no response has started that could be truncated")
)

// TransitionError is returned for an event that the history refuses.
type TransitionError struct {
	Event Event
	Rule  error // the rule that the event breaks: one of the errors above
}

func (e *TransitionError) Error() string { return fmt.Sprintf("request: %s: %v", e.Event, e.Rule) }

// Unwrap returns the broken rule.
func (e *TransitionError) Unwrap() error { return e.Rule }
