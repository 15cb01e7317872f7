// Package requesthistory is the set of histories that a request may have at an agent: attempts,
// chunks of the response, and its end. The agent applies each event before it acts on it, and must
// not do what is refused. It is pure.
//
// A history is a sequence of attempts, each sent and then known not to have run, answered, or
// failed with an unknown result; then one end. What may have run is sent again only if it is
// idempotent, and once chunks were forwarded only from the chunk that follows, at the same revision
// of the model. A request that may have run is never rejected: a rejection promises that it has not
// run and never will.
package requesthistory
