// Package chain implements the replicated register that stores the operator's configuration: one
// versioned value that is replicated along the chain of a view, from head to tail (chain
// replication: van Renesse and Schneider, OSDI 2004). The package does no I/O, which is up to its caller,
// and its types need external locking.
//
// Each value contains the complete register, so a replica stores one record: the newest value that
// it received and the number of the view in which it received it. The head validates an update
// against its value, persists the next value and forwards it; each replica persists the value and
// forwards it to its successor. A value is committed once the tail has persisted it, and the
// acknowledgement travels back to the head. One update is in flight at a time.
//
// Together with the views of package view, the package guarantees:
//   - A replica accepts values of its own view only, and within one view only newer ones, so delayed
//     messages of an earlier incarnation of the head have no effect.
//   - A complete replica has everything that was committed before it joined the chain and since then.
//     It became complete when it received the value of a complete replica, by the first push of a view
//     or by a direct transfer. Nothing is committed in a view without all of its members.
//   - A direct transfer makes a joining replica complete even while its predecessor is down. Reads are
//     not answered with the transferred value, and any value that arrives along the chain of the same
//     view replaces it.
//   - Of two updates that build on the same revision at most one is committed. A committed update is
//     recognised by its digest as long as it is among the last MaxRecentUpdates + MaxOlderUpdates. An
//     update that builds on a revision from before those gets the outcome unknown, never a conflict.
//
// It is not guaranteed that an update without an answer is discarded. The next head may commit it with
// its first push. It is lost with the old head's value if no member of the next chain has it.
package chain
