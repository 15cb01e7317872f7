package requesthistory

// Event is an event in the history of a request.
type Event uint8

// The events.
const (
	// AttemptSent begins an attempt. Its Detail has the revision that the attempt expects, and the ID
	// of the chunk after which it resumes.
	AttemptSent Event = iota
	// AttemptNotRun ends an attempt that has not run and never will, because the server says so or
	// because it was not sent completely.
	AttemptNotRun
	// ResponseStarted is the header of a successful response. Its Detail has the revision that the
	// header names.
	ResponseStarted
	// ChunkForwarded is a chunk of the response that is forwarded to the client. Its Detail has the
	// chunk's ID, and a revision if the chunk names another one than the header.
	ChunkForwarded
	// AttemptFailed ends an attempt that was interrupted and may have run.
	AttemptFailed
	// AttemptMigrated ends an attempt that the agent cancels because the server is being drained.
	AttemptMigrated
	// Completed ends the request: the complete response was forwarded.
	Completed
	// ErrorForwarded ends the request: a server's complete error response was forwarded. The request
	// has run.
	ErrorForwarded
	// Rejected ends the request with status 408, 421, 429 or 503: it has not run and never will.
	Rejected
	// Failed ends the request with status 502 or 504, which promise nothing about whether it ran.
	Failed
	// Truncated ends the request: its response has begun, and is cut off so that it does not look
	// complete.
	Truncated
	// ClientLeft ends the request: the client has closed its connection.
	ClientLeft

	eventCount
)

var eventNames = [eventCount]string{"attempt sent", "attempt not run", "response started", "chunk forwarded", "attempt failed",
	"attempt migrated", "completed", "error forwarded", "rejected", "failed", "truncated", "client left"}

// String returns the event's name.
func (e Event) String() string {
	if e < eventCount {
		return eventNames[e]
	}
	return "unknown event"
}

// Detail has further data of an event. A zero field is unspecified.
type Detail struct {
	ID       int64 // ID of a chunk, from 1
	Revision int   // revision of the model
}
