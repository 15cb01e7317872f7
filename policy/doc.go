// Package policy is the load-balancing policy of one agent, a sidecar beside one client: to which server
// each request is sent, when, with what time-out, whether it is retried, and when it is rejected.
//
// A Balancer is a deterministic state machine without I/O. Its caller passes events together with a clock
// and carries out the returned actions in their order. Equal settings, seeds and events give equal actions:
// all randomness comes from the seed. Nothing here is safe for concurrent use.
//
// Times are milliseconds of the caller's steady clock, durations are milliseconds. Capacity and load are
// counted in warm servers of weight one, latencies of different classes as parts of their latency targets.
//
// The modules, in the order in which a request meets them:
//
//   - balancer.go dispatches events; endpoints.go applies what discovery lists
//   - admission.go accepts, sheds or rejects a request; queue.go orders what waits for capacity
//   - pick.go chooses the server: health tiers first, then rendezvous.go's order among those that
//     aperture.go, slowstart.go and concurrency.go allow; attempts.go checks and sends
//   - outcomes.go takes the end of an attempt; outlier.go, zones.go and health.go eject,
//     validation.go brings back; retry.go decides about another attempt
//   - capacity.go, latency.go, mix.go and probes.go are the measurements that the others decide by
//   - overrides.go applies what agents decided together, snapshot.go what an earlier process learned
package policy
