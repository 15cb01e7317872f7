// Package singleton gives a role to one process at a time by a lease: the holder names its
// successor when it can, and a majority decides when it can't. It is pure; times are on the steady
// clock of one process.
//
// What is agreed on is a Record, in a replicated register that is changed by compare-and-set only
// and that a majority stores (the chain). The holder renews its record; its lease lasts for
// Timing.LeaseDuration from when it began to write the renewal that was committed. Whoever has seen
// the record unchanged for Timing.TakeoverDelay, which is longer, may claim the role by the next
// term: if its write is committed, there was no renewal in between. What a holder changes carries
// its term as a fencing token, and its first change is that term: whatever an older holder has in
// flight is rejected from then on.
//
// Guaranteed, while steady clocks differ in rate by less than TakeoverDelay exceeds LeaseDuration:
//   - a term has one holder, and terms only increase;
//   - at no moment do two processes find that they hold the lease;
//   - a process that was paused or partitioned for a LeaseDuration finds that it does not hold the
//     lease, whatever it believed; what it was about to do carries an older term or version and is
//     rejected.
//
// Not guaranteed: that there is a holder. Without a majority no process takes over.
package singleton
