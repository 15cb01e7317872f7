// Package balancer decides which model server a request is forwarded to, or that it is rejected,
// as one agent sees the fleet.
//
// A pick has three stages. Servers are ranked by health, from the outcomes of this agent's own
// attempts; only the best rank is considered. Among these a rendezvous hash of the prompt's shared
// segments, bounded by load, gives the few servers that are likely to hold the prefix in their KV
// cache. Of those the request goes to the one of least cost: the chance to miss its latency
// target, prefill that is repeated, and the delay that its own prefill costs others. Under
// overload the less urgent requests are shed, and those that would be late anyway.
//
// All agents find the same order of servers for a key without communicating; where a key is hot,
// a larger subset of that order shares it.
//
// The package is pure: times of one steady clock go in. Durations that enter sums and averages are
// float64 milliseconds, with names that end in Ms. A Picker is not safe for concurrent use.
package balancer
