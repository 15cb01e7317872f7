// Package requesthistory defines the valid histories of a request at an agent: its attempts, the chunks
// of its response, and its end. The agent applies each event to the request's History before it acts on
// the event, and must not do what the History refuses. The package does no I/O.
//
// A history is a sequence of attempts followed by one end. Each attempt is sent; then it is known not to
// have run, is answered, or fails with an unknown result. A request that may have run is sent again only
// if it is idempotent. Once chunks were forwarded, it is sent again only to resume after the last of
// them, at the same revision of the model. A request that may have run is never rejected: a rejection
// promises that it has not run and never will.
package requesthistory
