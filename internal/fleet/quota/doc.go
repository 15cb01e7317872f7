// Package quota limits what all agents of the fleet together admit for each tenant.
//
// A tenant's quota is divided evenly among the members of the core, the agents that run the control
// plane. Each member admits requests from its own share: a token bucket with a fraction of the rate and
// of the burst. An agent asks one member for each request, preferably one in its own zone. A member
// whose share is too small draws the missing amount from the shares of the others. So the members need
// no agreement, any reachable one can admit a request, and the loss of a member costs only its share.
//
// Over any period at most rate x time + burst + reserve is admitted, whichever members are lost,
// partitioned or restarted: a member that starts has almost nothing in its buckets, and an amount that
// is drawn has already left the other share.
//
// Each member lends half of its share to another agent, its deputy. The holders of shares are the
// members and their deputies.
//
// A Ledger holds one holder's shares; it does no I/O and gets the time from its caller. A Broker answers
// the calls of agents and of other holders from its Ledger, whose shares are called local below. A Client
// makes an agent's calls to the holders. Times are readings of a monotonic clock. Amounts are in the unit
// of the tenant's quota: tokens or requests.
package quota
