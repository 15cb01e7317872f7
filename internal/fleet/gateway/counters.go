package gateway

import "sync/atomic"

// Counters count what became of requests since the start of the process. They are safe for
// concurrent use.
type Counters struct {
	Requests          atomic.Int64 // received and parsed by net/http
	Served            atomic.Int64 // success that was relayed completely
	Refused           atomic.Int64 // 503 with Retry-After: not executed
	Rejected          atomic.Int64 // invalid requests, those with ambiguous framing included
	Failed            atomic.Int64 // failure of a server that was relayed, or 502 or 504
	Truncated         atomic.Int64 // responses that broke off
	Resumed           atomic.Int64 // streams that continued at another server
	Retries           atomic.Int64 // further sends, counted against the retry budget
	ClientDisconnects atomic.Int64 // clients that left before their response was complete
	Unauthorized      atomic.Int64 // 401: no API key, or one that no tenant holds; among Rejected
	OverQuota         atomic.Int64 // 429: over the tenant's quota
	Unconfirmed       atomic.Int64 // 503 as API keys could not be confirmed; among Refused
	QuotaUnavailable  atomic.Int64 // 503 as no member of the core told of the quota; among Refused
}

// countServed counts a request that was served.
func (g *Gateway) countServed() {
	if g.Counters.Served.Add(1) == 1 && g.OnFirstServed != nil {
		g.OnFirstServed()
	}
}

// Values returns the counters by the names that operators know them by.
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
		"quota-unavailable": c.QuotaUnavailable.Load(),
	}
}
