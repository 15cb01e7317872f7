// Package relay replicates the state that all processes of the fleet need: the configuration, the
// server list and the membership.
//
// The members of the core are the relays. They hold sessions with each other; every other agent
// holds one session with one relay. As soon as its state changes, each side of a session sends what
// the other side lacks according to its version vector (package deltasync). An agent fails over to
// another relay when its relay times out or loses its quorum. Until then, the agent keeps using
// everything that it has received.
//
// A Node is one process's endpoint of this replication. Its state is divided by concern, and Node.mu
// guards all of it:
//
//   - readiness: whether this process has everything that a relay has
//   - leaseManager: which agents hold a lease from any core member, and which leases this node grants
//   - endAnnouncements: the sources that this node announces as ended
//   - sessionSet: the sessions, and what each peer has reported or acknowledged
//   - upstreamSelector: which relays an agent dials
//   - configCache: the most recent large configuration in its encoded form
//   - freshness: how recently this process is known to have had every acknowledged configuration
//   - noticeLimiter: the rate limit of prefill notices
//
// These types do no I/O. All but sessions are plain values: their methods take the time as an argument and
// return decisions. Times are durations on the node's monotonic clock. The clock starts above zero, so that
// a zero time means never.
package relay
