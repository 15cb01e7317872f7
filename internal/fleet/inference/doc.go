// Package inference estimates the state of language model servers as far as one agent can know
// it: the prompts that a server still has to prefill, the streams that it decodes, the prompt
// prefixes in its KV cache, and the load that its responses report. A reported load is already old
// when it arrives and includes the requests of all agents.
//
// From these a Server estimates when it would give the first token of a prompt. The latencies of
// servers are learned from the agent's own requests and shared by all servers of a service in a
// LatencyModel.
//
// The package reads no clock: callers pass events with times of one monotonic clock. Durations that
// enter sums and averages are float64 milliseconds, with names that end in Ms. Nothing here is safe
// for concurrent use.
package inference
