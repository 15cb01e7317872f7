// Package stalerouting lets the agents of a site continue to route while the uplink of the site is lost. It
// holds what discovery last reported to any of them about each server (ServerSet), detects whether the
// site is isolated from everything outside (Uplink), and caches the last decision of the consensus group
// (DecisionCache). All three are pure state machines: times are durations since a fixed start on the
// monotonic clock.
//
// # Guarantees
//
// A ServerSet only moves forward: of two reports on one server the one on the later process wins, and
// for one process removed wins over draining, and draining over up. So merging is commutative, and the
// order, repetition and loss of exchanges do not matter: all members that exchange sets converge to the
// same set. The agent's own discovery overrides all of that, whatever it reports: it is the authority
// whenever it is reachable.
//
// A member begins to treat its site as isolated only when a strict majority of the members, itself
// included, have no signal from outside by heartbeats that are still valid, and it has itself had none for
// IsolationTimeout or since its start. The isolation ends when a majority has a signal, when this member
// has had signals for twice IsolationTimeout, or MaxIsolation after a majority last had no signal. A single
// agent that is partitioned off never isolates its site, and the traffic share that isolation sets expires
// by itself.
//
// # What the platform's rules require of an agent without discovery
//
// A change of the server list counts as delivered once discovery has sent it on the agent's own
// connection. If a watch has fallen silent, the change counts as delivered 6 s later, whether or not it
// arrived; if the call is one that may wait, 2 s after the end of its wait.
//
// While discovery is down nothing is delivered. An agent of an isolated site may continue to send to
// servers that were up in the last answer of discovery, and must not send to those that it, or its earlier
// run, knows to be draining. What a peer learned does not count as delivered to this agent, but it is
// applied all the same, as a draining server rejects new requests. Once discovery is back its answers count
// at once, so it is queried at once, with jitter.
//
// # Limits
//
// If discovery returned a server from draining to up during the isolation and reached only one member, the
// other members do not use that server until they reach discovery themselves: of two reports they follow
// the one that allows less traffic.
package stalerouting
