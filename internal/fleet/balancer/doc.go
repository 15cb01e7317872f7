// Package balancer decides, from one agent's view of the fleet, which model server a request is
// forwarded to, or that the request is rejected.
//
// A pick has three stages. Servers are ranked by health, from the outcomes of this agent's own
// attempts; only the best rank is considered. Among these a rendezvous hash of the prompt's shared
// segments, bounded by load, gives the few servers that are likely to hold the prefix in their KV
// cache. Of those the request goes to the one of lowest cost. The cost covers the probability that
// the request misses its latency target, prefill work that is repeated, and the delay that its
// prefill causes for other requests. Under overload, less urgent requests are shed, and so are
// those that would be late anyway.
//
// All agents compute the same order of servers for a key without communicating. A hot key is
// shared by more servers of that order.
//
// The package reads no clock: callers pass the time of one monotonic clock. Durations that enter
// sums and averages are float64 milliseconds, with names that end in Ms. A Picker is not safe for
// concurrent use.
package balancer
