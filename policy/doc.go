// Package policy is the load-balancing policy of one agent, the sidecar of one client. It decides to which
// server each request is sent, when and with which timeout, whether it is retried, and when it is rejected.
//
// A Balancer is a deterministic state machine without I/O. Its caller passes in events with the time of its
// clock and carries out the returned actions in order. Equal settings, seeds and events give equal actions:
// all randomness comes from the seed. Nothing here is safe for concurrent use.
//
// Times are milliseconds of the caller's monotonic clock, durations are milliseconds. The unit of capacity
// and load is one warm server of weight one. A relative latency is a fraction of its class's latency target,
// which makes the latencies of different classes comparable.
//
// The files, in the order in which a request passes through them:
//
//   - balancer.go dispatches events; endpoints.go applies updates of the endpoint list
//   - admission.go admits, sheds or rejects a request; queue.go orders the requests that wait for capacity
//   - pick.go chooses the server: by health tier first, then in the order of rendezvous.go among the servers
//     that aperture.go, slowstart.go and concurrency.go allow; attempts.go checks and sends
//   - outcomes.go handles the end of an attempt; outlier.go, zones.go and health.go eject servers,
//     validation.go brings them back; retry.go decides about another attempt
//   - capacity.go, latency.go, mix.go and probes.go measure what the other files base their decisions on
//   - overrides.go applies what the agents decided together; snapshot.go saves what an agent has learned
//     and restores it in its next process
package policy
