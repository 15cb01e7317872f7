// Package controlplane implements one member of the replicated control plane. It connects the pure
// state machines of package view (consensus on membership views) and package chain (chain replication
// of the operators' configuration) to remote calls, timers and a disk.
//
// Every process of the fleet has a Member. A Member that is a voter votes on views, replicates the
// configuration and proposes repairs of the chain. Any other Member takes part in the bootstrap of
// the first view, learns the decided views, and forwards operators' requests to the head or the tail
// of the chain.
//
// # Durability
//
// A learned view, a vote or a value is written in a durable step. The goroutine that holds the Member's
// write token makes these steps, one at a time. The record is on disk before the state in memory changes
// and before any request is answered. Heartbeats, status and the forwarding of requests don't wait for
// the disk.
//
// # Time
//
// All times are read from the monotonic clock. A process that was paused and missed ticks measures the
// silence of its peers from the time at which it resumed.
//
// # Concurrency
//
// The state is divided into components with one responsibility each: viewState, acceptor, register,
// peerTable, pauseDetector, proposer, bootstrapState, diskMonitor and viewDiscovery. They are plain
// state machines without locks, goroutines or I/O, and are guarded by Member.mu. The state that is
// stored on disk (the learned view, the vote, the record) changes only while both the write token and
// Member.mu are held, so a holder of the token may read it without the lock. The write token is taken
// before Member.mu, and no remote call, disk write or callback is made with Member.mu held.
package controlplane
