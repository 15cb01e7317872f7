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
	// revokeMargin is the part of the time for which API keys may be unconfirmed that is left to what
	// is measured with two clocks, and revokeMarginDivisor gives its least share of a longer time: the
	// clocks may run at different rates.
	revokeMargin, revokeMarginDivisor = 250 * time.Millisecond, 20
	// minKeyMaxAge is the least such time: a shorter one would refuse requests between two
	// confirmations.
	minKeyMaxAge = time.Second
	// minQuotaRetryAfter is the least Retry-After of a request over its tenant's quota.
	minQuotaRetryAfter = 20 * time.Millisecond
)

// KeyMaxAge is for how long API keys may be unconfirmed when a request is received that has to be refused
// from a time after the acknowledgement of its key's removal.
func KeyMaxAge(revoke time.Duration) time.Duration {
	return max(revoke-max(revokeMargin, revoke/revokeMarginDivisor), minKeyMaxAge)
}

// QuotaClient admits requests by the quota of their tenant.
type QuotaClient interface {
	// Admit asks for an amount of a tenant's quota.
	Admit(ctx context.Context, tenant string, amount float64) quota.Decision
	// Return gives back an amount that was admitted and that no server has used.
	Return(tenant string, amount float64)
}

// authenticate returns the tenant of a request, nil where the route needs none and the request has
// none. A key that is missing, unknown or sent twice opens nothing.
func authenticate(header http.Header, document *config.Document, route *config.Route) (*config.Tenant, error) {
	if !document.HasTenants() {
		return nil, nil
	}
	var tenant *config.Tenant
	if keys := header[headerAPIKey]; len(keys) == 1 {
		tenant = document.TenantOfKey(strings.TrimSpace(keys[0]))
	}
	if tenant == nil && !route.Keyless {
		return nil, requestErrorf(http.StatusUnauthorized, "send the API key of a tenant in %s", headerAPIKey)
	}
	return tenant, nil
}

// setTenant replaces what the client sent of keys and tenants in the head for a server.
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

// keysConfirmed reports whether a request that was received at a time may be judged by the API keys that
// are known here: none of them was revoked longer before than may be. The snapshot has to be loaded
// after this call.
func (g *Gateway) keysConfirmed(receivedAt time.Time) bool {
	if g.keyMaxAge == 0 {
		return true
	}
	if g.KeysFreshAsOf == nil {
		return false
	}
	asOf := g.KeysFreshAsOf()
	return !asOf.IsZero() && receivedAt.Sub(asOf) <= g.keyMaxAge
}

// stillAllowed reports whether the newest configuration allows a request as the one by which it was
// received did: the same route, and a key that is held by the same tenant.
func (g *Gateway) stillAllowed(r *request) bool {
	newest := g.snapshot.Load().Config
	if newest == nil || newest == r.config {
		return true
	}
	path, _, _ := strings.Cut(r.target, "?")
	route := newest.Match(r.host, path)
	if route == nil {
		return false
	}
	tenant, err := authenticate(r.header, newest, route)
	if err != nil {
		return false
	}
	return tenant == nil && r.tenant == nil || tenant != nil && r.tenant != nil && tenant.Name == r.tenant.Name
}

// quotaCost is what a request counts for against its tenant's quota; 0: it is not limited.
func (g *Gateway) quotaCost(r *request) float64 {
	if g.Quota == nil || r.tenant == nil || !r.tenant.Limited() {
		return 0
	}
	return r.tenant.Cost(r.PromptTokens, r.MaxOutputTokens)
}

// admitByQuota reports whether the quota of its tenant admits a request. Otherwise it has answered it.
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
		w.Header().Set("Connection", "close") // another agent may reach a holder
	}
	g.refuse(w, defaultRetryAfter, reasonQuota)
	return false
}

// returnQuota gives back what a request was admitted for that no server has executed.
func (g *Gateway) returnQuota(r *request) {
	if cost := g.quotaCost(r); cost > 0 {
		g.Quota.Return(r.tenant.Name, cost)
	}
}
