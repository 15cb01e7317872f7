package gateway

// The header fields of the protocol between clients, agents and model servers (docs/RULES.md).
const (
	headerAttemptID      = "Chalkdoor-Attempt-Id"
	headerDeadline       = "Chalkdoor-Deadline-Ms"
	headerPromptPrefix   = "Chalkdoor-Prompt-Prefix"
	headerTokenCount     = "Chalkdoor-Token-Count"
	headerModel          = "Chalkdoor-Model"
	headerServerSeal     = "Chalkdoor-Server-Seal"
	headerExpectInstance = "Chalkdoor-Expect-Instance"
	headerInstanceID     = "Chalkdoor-Instance-Id"
	headerServerLoad     = "Chalkdoor-Server-Load"
	headerNotRun         = "Chalkdoor-Not-Run"
	headerLastEventID    = "Last-Event-Id"
	headerPriority       = "Priority"
	// headerVersions is the version of the weights that produced a response. headerExpectVersion is the
	// version that a request has to be executed with.
	headerVersions      = "Versions"
	headerExpectVersion = "Expect-Version"
	// headerAPIKey is the key of a client; it is not sent to servers. headerTenant is the name of its
	// tenant; only the gateway sets it.
	headerAPIKey = "Api-Key"
	headerTenant = "Chalkdoor-Tenant"
)

// uniqueFields may appear at most once in a request: a repeated field is ambiguous.
var uniqueFields = []string{headerAttemptID, headerDeadline, headerPromptPrefix, headerTokenCount, headerModel, headerLastEventID}

// endToEndFields describe the request. They reach the server unchanged, even if the Connection field
// names them.
var endToEndFields = []string{headerModel, headerTokenCount, headerPromptPrefix, headerLastEventID}
