// Package ejection ejects unhealthy report servers by vote. The agents of a site (its electorate)
// agree, each on the evidence of its own attempts, that a host gets nothing but trial requests from
// any of them until a lease expires. There is no leader: each voter sends its votes to all others, and
// each counts them for itself.
//
// # Guarantees
//
// A host is ejected at a member only while that member holds unexpired grants for the host's
// incarnation from a strict majority of one electorate. A voter grants only on evidence of its own
// that is no older than MaxEvidenceAge and newer than its last grant for the host. It renews a grant
// while the last attempt that it saw failed, no longer ago than renewalAgeFactor times MaxLease, and
// any voter has newer evidence: without that a host that stays unhealthy would cost each voter one
// request a lease.
//
// The weight that a site has ejected of a zone's servers never exceeds the cap (MaxEjectedFraction),
// whatever is lost, delayed, repeated, paused or restarted. Of n voters each keeps the weight that it
// has promised at or below cap*q/n of the zone, where q = n/2+1 (rounded down) is the quorum. Let E be
// the set of all hosts that any member holds ejected at a moment, and W(E) its weight. Each host of E
// has at least q live grants, so the promised weights of all voters add up to at least q*W(E), and to
// at most n*cap*q/n: W(E) <= cap. The price is reach: voters that all agree eject no more than
// cap*q/n, just over half of the cap.
//
// For that a grant must have expired at every reader before its voter releases the promise. The voter
// counts the lease from after it voted and lengthens it by the drift that clocks may have; a reader
// counts it from a moment before the vote was sent, known from the echo of the reader's own time stamp
// (see VoteMessage), and not at all without an echo. Both use the monotonic clock, which goes on while
// a process is paused; no wall clocks are compared, and no bound on network delay is assumed. A promise
// stands until it expires: when a voter changes its mind it says so and readers drop the grant, but
// the promised weight stays counted.
//
// A restarted voter does not know what it promised and abstains until all of that has expired
// (MaxPromise). A voter with a disk stores the time until which its promises may stand, and grants
// nothing beyond the stored time (PersistsPromises, PromisesPersisted), so that its next run abstains
// no longer than that. One write covers many promises, so none of them waits for the disk.
//
// While a majority of the voters is honest, faulty voters alone eject no host. With f faulty voters of
// n and f < n/3, a host that all honest voters see failing gets their n-f >= q grants. A voter is
// assumed to speak only for itself: that no one votes in another's name is up to the network.
//
// # Limits
//
// The cap holds for the weights that were listed when grants were made: a zone that shrinks has a
// larger part ejected. The monotonic clock stops while a whole machine is suspended, unlike a process,
// and a reader on such a machine counts a grant for that much longer.
//
// It is not guaranteed that an unhealthy host is ejected: a partition of a site without a majority
// ejects nothing, and voters whose promises have reached the cap wait. An agent's own demotion of a
// server does not depend on any of this.
package ejection
