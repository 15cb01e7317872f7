// Package rollout moves the servers of a service to another revision of a model, a few at a time.
// Every prompt group keeps enough replicas, no request waits for the rollout, and no request runs more
// or less often because of it. The package does no I/O and reads no clock: callers pass the time of
// one process's monotonic clock.
//
// All agreed state is in one Record, which the replication chain stores and which changes by
// compare-and-set only. For each server that is being drained or ramped up, it states the share of
// its requests that the server gets. The record reaches every agent by delta sync, as the
// configuration does, and each agent acknowledges the Version that it applies. A record that reaches
// an agent is therefore durable already, and the next lease holder continues from it.
//
//	operator ── Start, Pause, Resume, Abort ──▶ Record ◀── Reconcile ── Controller, at the lease holder
//	                                             │delta sync               ▲ ReportAggregator: ReplicaMap, Judge
//	                                             ▼                         │ Report, once a second
//	                                  RoutingRules at every agent ──▶ pick ──▶ SendTracker, SampleRecorder
//
// The version fences every write: a write based on an older record is rejected. A new holder first
// writes its term (Claim), so that no write that the previous holder has in flight is committed.
//
// Guarantees:
//   - when a server is handed to the platform, no request of an agent that holds a lease runs there,
//     and no such agent sends it new ones;
//   - as far as reports show, no server is taken out of service while a group that it serves would
//     have fewer replicas than required, or while the other servers lack the capacity for the peak
//     load and the required number of failures;
//   - at most at-once servers are below their full share, not counting those that the platform or a
//     fault takes out;
//   - the same record and the same observation give the same step, whichever process holds the lease.
package rollout
