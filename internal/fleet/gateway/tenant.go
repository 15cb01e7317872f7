package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/quota"
)

const (
	// minClockMargin and clockMarginDivisor determine clockMargin.
	minClockMargin, clockMarginDivisor = 250 * time.Millisecond, 20
	// minKeyMaxAge is the lower bound of KeyMaxAge: with less, requests between two confirmations would be
	// refused.
	minKeyMaxAge = time.Second
	// minQuotaRetryAfter is the shortest Retry-After of a request over its tenant's quota.
	minQuotaRetryAfter = 20 * time.Millisecond
)

// KeyMaxAge returns how old the last confirmation of the API keys may be when a request is received. revoke
// is the time after the acknowledgement of a key's removal from which requests with that key must be refused.
func KeyMaxAge(revoke time.Duration) time.Duration {
	return max(revoke-clockMargin(revoke), minKeyMaxAge)
}

// clockMargin returns how much less the highest age of a confirmation is than the time after which an
// acknowledged change has to be in force. The margin is needed as two clocks are involved, which may run at
// different rates.
func clockMargin(inForceWithin time.Duration) time.Duration {
	return max(minClockMargin, inForceWithin/clockMarginDivisor)
}

// QuotaClient decides which requests the quotas of their tenants admit.
type QuotaClient interface {
	// Admit requests an amount of a tenant's quota.
	Admit(ctx context.Context, tenant string, amount float64) quota.Decision
	// Return gives back an amount that was admitted for a request that no server has executed.
	Return(tenant string, amount float64)
}

// authenticate returns the tenant to whom the API key of a request belongs. A key that is missing, unknown
// or sent more than once belongs to no tenant. A request without a tenant is an error, unless its route is
// keyless or the configuration has no tenants.
func authenticate(header http.Header, document *config.Document, route *config.Route) (*config.Tenant, error) {
	if !document.HasTenants() {
		return nil, nil
	}
	var tenant *config.Tenant
	if keys := header[headerAPIKey]; len(keys) == 1 {
		tenant = document.TenantOfKey(strings.TrimSpace(keys[0]))
	}
	if tenant == nil && !route.Keyless {
		return nil, configDenialf(http.StatusUnauthorized, "send the API key of a tenant in %s", headerAPIKey)
	}
	return tenant, nil
}

// setTenant removes the API key and the tenant that the client sent from the header for a server, and adds
// the name of the authenticated tenant.
func (r *request) setTenant(header http.Header) {
	if !r.hidesKeys {
		return
	}
	header.Del(headerAPIKey)
	header.Del(headerTenant)
	if r.tenant != nil {
		header.Set(headerTenant, r.tenant.Name)
	}
}

// keysConfirmed reports whether the API keys that this process knows are recent enough to authenticate a
// request that was received at the given time: they were confirmed no longer than keyMaxAge before it. The
// snapshot has to be loaded after this call.
func (g *Gateway) keysConfirmed(receivedAt time.Time) bool {
	return g.keyMaxAge == 0 || g.configConfirmed(receivedAt, g.keyMaxAge)
}

// stillAllowed reports whether the newest configuration still allows a request: it has a route for it, and
// the API key of the request belongs to the same tenant as before.
func (g *Gateway) stillAllowed(r *request) bool {
	newestConfig := g.snapshot.Load().Config
	if newestConfig == nil || newestConfig == r.config {
		return true
	}
	path, _, _ := strings.Cut(r.target, "?")
	route := newestConfig.Match(r.host, path)
	if route == nil {
		return false
	}
	tenant, err := authenticate(r.header, newestConfig, route)
	if err != nil {
		return false
	}
	return tenant == nil && r.tenant == nil || tenant != nil && r.tenant != nil && tenant.Name == r.tenant.Name
}

// quotaCost returns how much a request uses of its tenant's quota, 0 if no quota applies to it.
func (g *Gateway) quotaCost(r *request) float64 {
	if g.Quota == nil || r.tenant == nil || !r.tenant.Limited() {
		return 0
	}
	return r.tenant.Cost(r.PromptTokens, r.MaxOutputTokens)
}

// admitByQuota reports whether the quota of its tenant admits a request. If not, it answers the request.
func (g *Gateway) admitByQuota(ctx context.Context, w http.ResponseWriter, r *request) bool {
	cost := g.quotaCost(r)
	if cost == 0 {
		return true
	}
	decision := g.Quota.Admit(ctx, r.tenant.Name, cost)
	switch decision.Verdict {
	case quota.Admitted:
		return true
	case quota.Exhausted:
		g.Counters.OverQuota.Add(1)
		logevent.QuotaExceeded.Log("tenant", r.tenant.Name, "after", decision.RetryAfter)
		setRetryAfter(w, max(decision.RetryAfter, minQuotaRetryAfter))
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	g.Counters.QuotaUnavailable.Add(1)
	if !decision.Undecided {
		w.Header().Set("Connection", "close") // the client may find an agent that reaches a holder of the quota
	}
	g.refuse(w, defaultRetryAfter, reasonQuota)
	return false
}

// returnQuota gives back the amount that was admitted for a request that no server has executed.
func (g *Gateway) returnQuota(r *request) {
	if cost := g.quotaCost(r); cost > 0 {
		g.Quota.Return(r.tenant.Name, cost)
	}
}
