// Package ejection ejects unhealthy report servers by vote. The agents of a site are its electorate, and
// each votes on the evidence of its own attempts. While a majority votes to eject a host, all agents of the
// site send it only trial requests, until a lease expires. There is no leader: each voter sends its votes
// to all others, and each counts them for itself.
//
// # Guarantees
//
// A host is ejected at a member only while that member holds unexpired grants for the host's
// incarnation from a strict majority of one electorate. A voter grants only on evidence of its own
// that is no older than MaxEvidenceAge and newer than its last grant for the host. It renews a grant
// only if its own last attempt failed, at most renewalAgeFactor times MaxLease ago, and some voter has
// evidence newer than the grant. If a renewal required new evidence of the voter's own, a host that stays
// unhealthy would cost each voter one request per lease.
//
// The fraction of a zone's weight that a site has ejected never exceeds the cap (MaxEjectedFraction),
// even if messages are lost, delayed or duplicated and processes are paused or restarted. Each of the n
// voters keeps the weight that it has promised at or below cap*q/n of the zone, where q = n/2+1 (rounded
// down) is the quorum. Let E be the set of all hosts that any member holds ejected at a moment, and W(E)
// its weight. Each host of E has at least q live grants, so the promised weights of all voters add up to
// at least q*W(E), and to at most n*cap*q/n: W(E) <= cap. The disadvantage is that voters that all agree
// eject no more than cap*q/n, just over half of the cap.
//
// This requires that a grant has expired at every reader before its voter releases the promise. The voter
// counts the lease from when it voted and lengthens it by the drift that clocks may have. A reader counts
// the lease from a moment before the vote was sent, which it knows from the echo of its own timestamp (see
// VoteMessage); a vote without an echo is ignored. Both use the monotonic clock, which continues while a
// process is paused. Wall clocks are not compared, and no bound on network delay is assumed. A promise
// stands until it expires: when a voter changes its vote, it sends the change and readers drop the grant,
// but the promised weight still counts against the cap.
//
// A restarted voter does not know what it promised and abstains until all earlier promises have expired
// (MaxPromise). A voter with a disk stores the time until which its promises may stand, and grants
// nothing beyond the stored time (PersistsPromises, PromisesPersisted), so that its next run abstains
// no longer than that. One write covers many promises, so most grants do not wait for the disk.
//
// While a majority of the voters is honest, faulty voters alone eject no host. With f faulty voters of
// n and f < n/3, a host that all honest voters see failing gets their n-f >= q grants. The protocol does
// not authenticate voters: the network has to prevent votes in another voter's name.
//
// # Limits
//
// The cap holds for the weights that were listed when grants were made: if a zone shrinks afterwards, a
// larger fraction of it is ejected. The monotonic clock stops while a whole machine is suspended, unlike
// while a process is paused, so a reader on such a machine counts a grant for that much longer.
//
// There is no guarantee that an unhealthy host is ejected: a partition of a site without a majority
// ejects nothing, and voters whose promises have reached the cap wait. An agent's own demotion of a
// server does not depend on these votes.
package ejection
