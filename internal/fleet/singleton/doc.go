// Package singleton assigns a role to one process at a time, by a lease. The holder of the role names
// its successor when it can, and a majority decides when it can't. The package does no I/O. Times are
// readings of one process's monotonic clock.
//
// The processes agree on a Record in a replicated register (the chain), which a majority stores and
// which changes only by compare-and-set. The holder renews its record. Its lease lasts for
// Timing.LeaseDuration from the time at which it began to write the renewal that was committed. A
// process that has seen the record unchanged for Timing.TakeoverDelay, which is longer, may claim the
// role with the next term: if its write is committed, there was no renewal in between. A holder's
// changes carry its term as a fencing token, and its first change is the term itself: any change by an
// earlier holder that is still in flight is rejected from then on.
//
// Guaranteed, as long as the clocks' rates differ by less than the ratio of TakeoverDelay to
// LeaseDuration:
//   - a term has one holder, and terms only increase;
//   - at no moment do two processes find that they hold the lease;
//   - a process that was paused or partitioned for a LeaseDuration finds that it no longer holds the
//     lease; the actions that it had begun carry an older term or version and are rejected.
//
// Not guaranteed: that there is a holder. Without a majority no process takes over the role.
package singleton
