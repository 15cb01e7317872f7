package requesthistory

// Event is one thing that happens to a request.
type Event uint8

// The events.
const (
	// AttemptSent begins an attempt. Detail: the revision that it expects, and the ID of the chunk
	// that it resumes after.
	AttemptSent Event = iota
	// AttemptNotRun: the attempt has not run and never will, as the server reports or as it was not
	// sent completely.
	AttemptNotRun
	// ResponseStarted is the header of a successful response. Detail: the revision that it names.
	ResponseStarted
	// ChunkForwarded is a chunk of the response that is forwarded to the client. Detail: its ID, and
	// the revision if it names another.
	ChunkForwarded
	// AttemptFailed: the attempt was interrupted, and may have run.
	AttemptFailed
	// AttemptMigrated: the agent cancels the attempt, as the server is drained.
	AttemptMigrated
	// Completed: the complete response was forwarded.
	Completed
	// ErrorForwarded: a server's complete error response was forwarded, and the request has run.
	ErrorForwarded
	// Rejected is an answer of 408, 421, 429 or 503: the request has not run and never will.
	Rejected
	// Failed is an answer of 502 or 504: nothing is promised.
	Failed
	// Truncated ends a response that has begun so that it does not look complete.
	Truncated
	// ClientLeft: the client has closed its connection.
	ClientLeft

	eventCount
)

var eventNames = [eventCount]string{"attempt sent", "attempt not run", "response started", "chunk forwarded", "attempt failed",
	"attempt migrated", "completed", "error forwarded", "rejected", "failed", "truncated", "client left"}

// String is the event's name.
func (e Event) String() string {
	if e < eventCount {
		return eventNames[e]
	}
	return "unknown event"
}

// Detail comes with an event. Zero means unspecified.
type Detail struct {
	ID      int64 // of a chunk, from 1
	Version int   // revision of the model
}
