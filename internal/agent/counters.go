package agent

// counters count what became of requests, for the log line at the end. They belong to the loop.
type counters struct {
	accepted, served, rejected, failed int
	clientsGone                        int // clients that left without an answer
	backstops                          int // requests that the backstop answered
	violations                         int // of the contract, prevented
}
