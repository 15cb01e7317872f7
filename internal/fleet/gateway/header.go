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
	// headerVersions is the version of the weights that a response was made with,
	// headerExpectVersion the one that a request is to be executed with.
	headerVersions      = "Versions"
	headerExpectVersion = "Expect-Version"
	// headerAPIKey is the key of a client, which no server sees, headerTenant the name of its tenant,
	// which only the gateway sets.
	headerAPIKey = "Api-Key"
	headerTenant = "Chalkdoor-Tenant"
)

// uniqueFields may stand in a request once: repeated ones are ambiguous.
var uniqueFields = []string{headerAttemptID, headerDeadline, headerPromptPrefix, headerTokenCount, headerModel, headerLastEventID}

// endToEndFields describe the request. They reach the server unchanged, even if the Connection field
// names them.
var endToEndFields = []string{headerModel, headerTokenCount, headerPromptPrefix, headerLastEventID}
