// Package view implements the agreed view of the control plane: its number, the voters that decide
// the next one, and the chain that replicates the configuration. It is pure: its caller does all I/O,
// and its types need external locking.
//
// View n+1 is one decision of single-decree Paxos (Lamport, "Paxos Made Simple", 2001), instance n+1,
// among the voters of view n: a strict majority, each with its promise and its acceptance on disk
// before it responds. View 1 is decided in the same way by the processes at the seed addresses, whose
// acceptors are in memory only: a restarted process is configured as one (first-start = false) and
// never votes on view 1 again, so each such acceptor either keeps its promises or never responds.
// Two different first views would need two majorities of the same seeds, which share an acceptor.
//
// Guaranteed by the transitions (RemoveMember, AppendMember, AddVoter, ReplaceVoter) together with
// Plan:
//   - Views are numbered without gaps, and there is one view of each number.
//   - The members of the chain are voters. Members that have everything that was acknowledged stand
//     before those that may not yet, since a member joins at the tail only. So a head that is complete
//     has everything.
//   - The head of the next view is a complete member of the chain before. It rejects messages of the
//     older view from the moment at which it learns the next one, and what it has then is all that was
//     or can be acknowledged in the older one.
//   - Removing a member leaves healthy complete members that cover RequiredSpread: no loss that
//     Tolerance names takes all of them, as far as the zones and regions of the voters allow it.
//
// Not guaranteed: that a majority is available. An absent voter is never just removed, as a minority
// could become a majority step by step. It is replaced by another peer. A voter that announces that it
// is shutting down is replaced, or removed where fewer voters tolerate more.
package view
