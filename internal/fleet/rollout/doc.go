// Package rollout moves the servers of a service to another revision of a model, a few at a time,
// while every prompt group keeps enough replicas, no request waits for it, and each runs as often as
// it would have. It is pure; times are on the steady clock of one process.
//
// All that is agreed on is one Record, stored by the chain and changed by compare-and-set only. It
// states for each server that is drained or ramped up which share of its requests it gets. The record
// is the order: it reaches every agent by delta sync, as the configuration does, and each agent
// acknowledges by Version which record it applies. So an order that reaches an agent
// is durable, and the next lease holder continues from there.
//
//	operator ── Start, Pause, Resume, Abort ──▶ Record ◀── Reconcile ── Controller, at the lease holder
//	                                             │delta sync               ▲ ReportAggregator: ReplicaMap, Judge
//	                                             ▼                         │ Report, once a second
//	                                  RoutingRules at every agent ──▶ pick ──▶ SendTracker, SampleRecorder
//
// The version fences every write: one made on an older record is rejected. A new holder's first
// write is its term (Claim), so that nothing that the holder before it has in flight is committed.
//
// Guaranteed:
//   - a server gets no new work once it is handed to the platform, from any agent that holds a
//     lease, and had none of theirs left;
//   - no server is drained while a group that it serves would have fewer replicas than required, or
//     the others no capacity for the peak load and the failures required, as far as reports show;
//   - at most at-once servers are below their full share, except those that the platform or a fault
//     takes out;
//   - the same record and the same observation give the same step, whichever process holds the lease.
package rollout
