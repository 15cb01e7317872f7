// Package relay replicates between the processes of the fleet what all of them need: the
// configuration, the server list and the membership.
//
// The members of the core are the relays. They hold sessions with each other; every other agent
// holds one session with one relay. On a session each side sends, as soon as it changes, whatever
// the other lacks by its version vector (package deltasync). An agent whose relay times out, or
// whose relay loses its quorum, fails over to another; until then everything it knows stays in
// force.
//
// A Node is one process's end of that. Its state is divided by concern, and Node.mu guards all of
// it:
//
//   - readiness: whether this process has everything that a relay knows
//   - leaseManager: which agents some core member grants a lease to, and which of those this node
//   - endAnnouncements: the sources that this node announces as ended
//   - sessionSet: the sessions, and what each peer has reported or acknowledged
//   - upstreamSelector: which relays an agent dials
//   - configCache: the last long configuration as it was encoded
//   - freshness: up to when this process has every configuration that was acknowledged
//   - noticeLimiter: the rate of prefill notices
//
// Those types do no I/O, and all but sessions are plain values: times go in, decisions come out.
// Times are durations on Node's monotonic clock, which starts above zero, so that zero means never.
package relay
