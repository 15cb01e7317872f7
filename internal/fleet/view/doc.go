// Package view implements the agreed view of the control plane: its number, the voters that decide
// the next view, and the chain that replicates the configuration. The package does no I/O, which is up
// to its caller, and its types need external locking.
//
// View n+1 is one decision of single-decree Paxos (Lamport, "Paxos Made Simple", 2001), instance n+1,
// among the voters of view n. A strict majority has to agree, and each voter writes its promise and its
// acceptance to disk before it responds. View 1 is decided in the same way by the processes at the seed
// addresses, whose acceptors are in memory only. A restarted process is configured with
// first-start = false and never votes on view 1 again, so each of these acceptors either keeps its
// promises or never responds. Two different first views would need two majorities of the same seeds,
// and any two majorities share an acceptor.
//
// The transitions (RemoveMember, AppendMember, AddVoter, ReplaceVoter) and Plan together guarantee:
//   - Views are numbered without gaps, and there is one view of each number.
//   - The members of the chain are voters. A member is complete once it has everything that was
//     acknowledged. A member joins at the tail only, so complete members stand before incomplete ones.
//   - The head of the next view is a complete member of the previous chain. Once it learns the next
//     view it rejects messages of the previous one. At that moment it has everything that was or can be
//     acknowledged in the previous view.
//   - The removal of a member leaves healthy complete members that cover RequiredSpread: none of the
//     losses in Tolerance takes all of them, as far as the zones and regions of the voters allow that.
//
// It is not guaranteed that a majority is available. An absent voter is replaced by another peer. It is
// never removed without a replacement, because a minority could then become a majority step by step. A
// voter that announces its shutdown is replaced, or it is removed if the other voters tolerate more
// losses without it.
package view
