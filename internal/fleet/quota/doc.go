// Package quota bounds what all agents together admit of each tenant.
//
// A tenant's quota is divided evenly among the members of the core, and each admits by its own share: a
// token bucket of its part of the rate and of the burst. An agent asks one of them for each request, of
// its own zone if it can. A member whose share does not suffice draws what is missing from the shares of
// the others. So no agreement is needed, any reachable member will do, and the loss of one takes only
// its share. Over any time the sum that is admitted is at most rate x time + burst + reserve, whatever is
// lost, cut off or restarted: a member that starts has next to nothing in its buckets, and what is drawn
// from one share has left another.
//
// Ledger is pure: times go in, decisions come out. Broker is a member's ledger with the calls of agents
// and of other members; Client is an agent's end. Times are of any clock that does not run backwards.
// Amounts are in the unit of the tenant's quota, tokens or requests.
package quota
