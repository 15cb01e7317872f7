// Package controlplane runs one process's part of the replicated control state. It connects the pure
// state machines of package view (consensus on membership views) and package chain (chain replication
// of the operators' configuration) to remote calls, timers and a disk.
//
// Every process of the fleet has a Member. The Member of a voter votes on views, replicates the
// configuration and proposes repairs of the chain. Any other Member takes part in the bootstrap of
// the first view, learns the views that were decided, and forwards operators' requests to the head or
// the tail of the chain.
//
// # Durability
//
// One durable step is made at a time (a learned view, a vote, a value), by the goroutine that holds
// the Member's write token. The record is on disk before it shows in memory and before anybody is
// answered. Heartbeats, status and the forwarding of requests wait for no disk.
//
// # Time
//
// All times are read from the monotonic clock. A process that was paused, so that it missed ticks,
// counts the silence of its peers from the moment at which it resumed.
//
// # Concurrency
//
// The state is divided into parts with one job each: viewState, acceptor, register, peerTable,
// pauseDetector, proposer, bootstrapState, diskMonitor and viewDiscovery. They are plain state machines
// without locks, goroutines or I/O, and are guarded by Member.mu. What is stored on disk (the learned
// view, the vote, the record) changes only while both the write token and Member.mu are held, so a
// holder of the token may read it without the lock. The write token is taken before Member.mu, and no
// remote call, disk write or callback is made with Member.mu held.
package controlplane
