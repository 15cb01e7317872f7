// Package stalerouting holds what the agents of a site route by besides their own observations, and
// how they continue while the site's uplink is lost: what discovery last reported to any of them about
// each server (ServerSet), whether the site is isolated from everything outside (Uplink), and the last
// decision of the consensus group (DecisionCache). All are pure state machines: times are durations
// since a fixed start on the monotonic clock.
//
// # Guarantees
//
// A ServerSet only moves forward: of two reports on one server the one on the later process wins, and
// for one process removed wins over draining over up. So merging is commutative, and order, repetition
// and loss of exchanges do not matter: all that exchange converge to the same set. The agent's own
// discovery overrides all of that, whatever it reports: it is the authority whenever it is reachable.
//
// A site counts as isolated at a member only while a strict majority of its members report so in
// heartbeats that are still valid, and this member itself has had no signal from outside for
// IsolationTimeout. It stays so until a majority has a signal, or this member for twice
// IsolationTimeout, and no longer than MaxIsolation after the last majority. One agent that is
// partitioned off alone never isolates a site, and a share that rests on isolation expires by itself.
//
// # What the platform's rules ask of an agent without discovery
//
// A change of the server list counts as delivered once discovery has sent it to the agent's own
// connection or, where a watch fell silent, 6 s later whether or not it arrived (2 s after its wait
// for a call that may wait). While discovery is down nothing is delivered: an agent of an isolated site
// may send on to servers that were up at its last answer, and must not send to those that it, or its
// earlier run, knows to be draining. What a peer learned does not count as delivered here. It is
// applied all the same, as a draining server rejects new requests. When discovery is back its answers
// count at once, so it is queried at once, with jitter.
//
// # Limits
//
// If discovery returned a server from draining to up during the isolation and reached one member only,
// the others do not use that server before they reach discovery themselves: of two reports they follow
// the one that sends less.
package stalerouting
