package agent

// counters count the outcomes of requests for the log line at the end of the process. They belong to the loop.
type counters struct {
	accepted, served, rejected, failed int
	clientsGone                        int // requests whose client left before the answer
	backstops                          int // requests answered by the backstop
	violations                         int // prevented violations of the contract
}
