// Package chain implements the replicated register that stores the operator's configuration: one
// versioned value that is replicated along the chain of a view, from head to tail (chain
// replication: van Renesse and Schneider, OSDI 2004). It is pure: its caller does all I/O, and its
// types need external locking.
//
// Each value contains the complete register, so a replica stores one record: the newest value that
// it received and the number of the view in which it received it. The head validates an update
// against its value, persists the next value and forwards it; each replica persists the value and
// forwards it to its successor. A value is committed once the tail has persisted it, and the
// acknowledgement travels back to the head. One update is in flight at a time.
//
// Guaranteed, together with the views of package view:
//   - A replica accepts values of its own view only, and within one view only newer ones, so delayed
//     messages of an earlier incarnation of the head have no effect.
//   - A complete replica has each value that was committed while it was in the chain, and those from
//     before it joined: since it joined it received the value of a complete replica, by the first
//     push of a view or by a direct transfer, and nothing is committed in a view without each of its
//     members.
//   - A direct transfer makes a joining replica complete even while its predecessor is down. The
//     transferred value does not answer reads, and whatever arrives along the chain of the same view
//     replaces it.
//   - Of two updates of one revision at most one is committed. A committed update is recognised by
//     its digest while it is among the last MaxRecentUpdates + MaxOlderUpdates. The outcome of an
//     update of a revision from before those is reported as unknown, never as a conflict.
//
// Not guaranteed: that an update without an answer is discarded. The next head may commit it with
// its first push, or it is lost with the old head's value if no member of the next chain had it.
package chain
