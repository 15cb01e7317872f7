package gateway

import "sync/atomic"

// Counters counts requests by their outcome since the start of the process. It is safe for concurrent use.
type Counters struct {
	Requests          atomic.Int64 // received and parsed by net/http
	Served            atomic.Int64 // successes that were relayed completely
	Refused           atomic.Int64 // 503 with Retry-After: not executed
	Rejected          atomic.Int64 // invalid requests, those with ambiguous framing included
	Failed            atomic.Int64 // failures of a server that were relayed, and 502 and 504
	Truncated         atomic.Int64 // responses that ended before they were complete
	Resumed           atomic.Int64 // streams that continued at another server
	Retries           atomic.Int64 // retries that counted against the retry budget
	ClientDisconnects atomic.Int64 // clients that disconnected before their response was complete
	Unauthorized      atomic.Int64 // 401: no API key, or an unknown one; included in Rejected
	OverQuota         atomic.Int64 // 429: over the tenant's quota
	Unconfirmed       atomic.Int64 // 503 because API keys could not be confirmed; included in Refused
	Outdated          atomic.Int64 // 503 because a configuration that may be out of date does not allow the request; included in Refused
	QuotaUnavailable  atomic.Int64 // 503 because no core member decided on the quota; included in Refused
}

// countServed counts a request that was served, and calls OnFirstServed for the first one.
func (g *Gateway) countServed() {
	if g.Counters.Served.Add(1) == 1 && g.OnFirstServed != nil {
		g.OnFirstServed()
	}
}

// Values returns the counters by the names under which operators see them.
func (c *Counters) Values() map[string]int64 {
	return map[string]int64{
		"requests": c.Requests.Load(),
		"served":   c.Served.Load(),
		"refused":  c.Refused.Load(),
		"rejected": c.Rejected.Load(),
		"failed":   c.Failed.Load(),
		"cut":      c.Truncated.Load(),
		"resumed":  c.Resumed.Load(),
		"repeats":  c.Retries.Load(),
		"left":     c.ClientDisconnects.Load(),

		"unauthorized":      c.Unauthorized.Load(),
		"over-quota":        c.OverQuota.Load(),
		"unconfirmed":       c.Unconfirmed.Load(),
		"outdated":          c.Outdated.Load(),
		"quota-unavailable": c.QuotaUnavailable.Load(),
	}
}
