package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/quota"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// testTenants is what a test's configuration adds to testConfig: a keyless route and two tenants.
const testTenants = `,
 {"name":"open","hostname":"h.example","path-prefix":"/open/","route-kind":"safe","timeout-ms":10000,"target-service":"s","keyless":true}],
 "tenants":[{"name":"alpha","api-keys":["key-a","key-a2"],"admission-priority":1,"count-unit":"token_meter","uncached-tokens":200,"rate-per-s":1000,"burst":1000},
 {"name":"beta","api-keys":["key-b"],"admission-priority":0}],"more":[{"name":"x"}`

// withTenants returns a configuration with testTenants.
func (h *testHarness) withTenants() *config.Document { return h.document(testTenants) }

// withClosedRevocation has requests with a removed key refused from five seconds after the removal, even if the
// gateway does not learn of the removal.
func withClosedRevocation(nodeSettings *settings.Settings) {
	nodeSettings.Bounds.RevocationClosed, nodeSettings.Bounds.RevokeMs = true, 5000
}

// fakeQuota gives the same decision for each request, and records the amounts.
type fakeQuota struct {
	decision quota.Decision

	mu               sync.Mutex // guards the fields below
	amountsRequested []float64  // the amounts that Admit was called with
	amountsReturned  []float64  // the amounts that Return was called with
}

func (q *fakeQuota) Admit(_ context.Context, _ string, amount float64) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.amountsRequested = append(q.amountsRequested, amount)
	return q.decision
}

func (q *fakeQuota) Return(_ string, amount float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.amountsReturned = append(q.amountsReturned, amount)
}

// TestServerSeesTenantAndNoKey checks that a server receives the name of the tenant to whom the key belongs,
// whatever tenant the client names, and never an API key.
func TestServerSeesTenantAndNoKey(t *testing.T) {
	for name, test := range map[string]struct{ path, fields, tenant string }{
		"a key":                           {"/once/x", "Api-Key: key-a\r\n", "alpha"},
		"another key of the tenant":       {"/once/x", "Api-Key: key-a2\r\n", "alpha"},
		"lower case":                      {"/once/x", "api-key: key-b\r\n", "beta"},
		"a tenant of the client's":        {"/once/x", "Api-Key: key-a\r\nChalkdoor-Tenant: beta\r\n", "alpha"},
		"two tenants of the client's":     {"/once/x", "chalkdoor-tenant: beta\r\nApi-Key: key-a\r\nCHALKDOOR-TENANT: beta\r\n", "alpha"},
		"a connection field":              {"/once/x", "Connection: Chalkdoor-Tenant, Api-Key\r\nApi-Key: key-a\r\nChalkdoor-Tenant: beta\r\n", "alpha"},
		"a keyless route without a key":   {"/open/x", "Chalkdoor-Tenant: beta\r\n", ""},
		"a keyless route with a key":      {"/open/x", "Api-Key: key-a\r\nChalkdoor-Tenant: beta\r\n", "alpha"},
		"a keyless route, an unknown key": {"/open/x", "Api-Key: nobody's\r\n", ""},
		"a chunked body with trailers": {"/once/x", "Api-Key: key-a\r\nTransfer-Encoding: chunked\r\nTrailer: Api-Key, Chalkdoor-Tenant\r\n",
			"alpha"},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, 1, alwaysSucceed)
			harness.update(harness.withTenants())
			request := requestHead("POST", test.path, test.fields)
			if name == "a chunked body with trailers" {
				request += "1\r\nx\r\n0\r\nApi-Key: key-b\r\nChalkdoor-Tenant: beta\r\n\r\n"
			}
			resp, _ := harness.roundTrip(request)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			call := harness.nextCall()
			require.Equal(t, test.tenant, call.header.Get(headerTenant))
			require.LessOrEqual(t, len(call.header[headerTenant]), 1)
			require.NotContains(t, call.header, headerAPIKey)
			require.NotContains(t, call.rawHead, "key-")
		})
	}
}

// TestUnauthorized checks that a request is rejected if its key is missing, unknown, empty or not the only one.
// A path without a route is rejected before the key is checked.
func TestUnauthorized(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	harness.update(harness.withTenants())
	for fields, status := range map[string]int{
		"":                                     401,
		"Api-Key:\r\n":                         401,
		"Api-Key: nobody's\r\n":                401,
		"Api-Key: key-a\r\nApi-Key: key-b\r\n": 401,
		"Api-Key: key-a, key-b\r\n":            401,
		"Chalkdoor-Tenant: alpha\r\n":          401,
		"Connection: Api-Key\r\nApi-Key: KEY-A\r\n": 401,
	} {
		resp, body := harness.roundTrip(requestHead("POST", "/once/x", fields))
		require.Equal(t, status, resp.StatusCode, fields)
		require.NotContains(t, body, "nobody")
	}
	resp, _ := harness.roundTrip(requestHead("POST", "/nowhere/x", ""))
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	harness.requireNoCall()
	require.EqualValues(t, 7, harness.gateway.Counters.Unauthorized.Load())
}

// TestWithoutTenantsFieldsPass checks that the client's fields reach the server if no tenants are configured.
func TestWithoutTenantsFieldsPass(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	resp, _ := harness.roundTrip(requestHead("POST", "/once/x", "Api-Key: key-a\r\n"))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "key-a", harness.nextCall().header.Get(headerAPIKey))
}

// TestUnconfirmedKeys checks that a request is refused, not rejected, if the API keys were not confirmed
// recently: another agent may have a newer configuration.
func TestUnconfirmedKeys(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed, withClosedRevocation)
	var age time.Duration
	known := false
	harness.gateway.ConfigFreshAsOf = func() time.Time {
		if !known {
			return time.Time{}
		}
		return time.Now().Add(-age)
	}
	harness.update(harness.withTenants())
	request := func(key string) int {
		resp, _ := harness.roundTrip(requestHead("POST", "/once/x", "Api-Key: "+key+"\r\n"))
		if resp.StatusCode == http.StatusServiceUnavailable {
			requireRefused(t, resp)
		}
		return resp.StatusCode
	}
	require.Equal(t, http.StatusServiceUnavailable, request("key-a"), "never confirmed")
	known, age = true, 4*time.Second
	require.Equal(t, http.StatusOK, request("key-a"))
	age = 5 * time.Second
	require.Equal(t, http.StatusServiceUnavailable, request("key-a"), "too long ago")
	require.Equal(t, http.StatusServiceUnavailable, request("nobody's"), "a newer configuration may have it")
	require.EqualValues(t, 3, harness.gateway.Counters.Unconfirmed.Load())
	age = 0
	require.Equal(t, http.StatusUnauthorized, request("nobody's"))
	harness.update(harness.document(""))
	age = time.Hour
	require.Equal(t, http.StatusOK, request("key-a"), "a configuration without tenants needs no key")
}

// TestRetryAfterRevocation checks that a request is not sent again once its key has been revoked.
func TestRetryAfterRevocation(t *testing.T) {
	var harness *testHarness
	harness = newHarness(t, 2, func(call *upstreamCall, n int) bool {
		if n == 0 {
			harness.update(harness.document(`],"tenants":[{"name":"beta","api-keys":["key-b"]}],"more":[{"name":"x"}`))
			return call.respondNotRun()
		}
		return call.respondSuccess()
	})
	harness.update(harness.withTenants())
	resp, _ := harness.roundTrip(requestHead("POST", "/safe/x", "Api-Key: key-a\r\n"))
	requireRefused(t, resp)
	require.EqualValues(t, 1, harness.requestCount())
}

func TestQuotaVerdicts(t *testing.T) {
	harness := newHarness(t, 1, alwaysSucceed)
	client := &fakeQuota{decision: quota.Decision{Verdict: quota.Admitted}}
	harness.gateway.Quota = client
	harness.update(harness.withTenants())
	post := func(fields string) *http.Response {
		resp, _ := harness.roundTrip(requestHead("POST", "/once/x", fields))
		return resp
	}
	require.Equal(t, 200, post("Api-Key: key-a\r\nChalkdoor-Token-Count: 1000,24\r\n").StatusCode)
	require.Equal(t, 200, post("Api-Key: key-a\r\n").StatusCode)
	require.Equal(t, 200, post("Api-Key: key-b\r\n").StatusCode)
	require.Equal(t, []float64{1024, 200}, client.amountsRequested, "Admit is not called for a tenant without a quota")
	require.Empty(t, client.amountsReturned)

	client.decision = quota.Decision{Verdict: quota.Exhausted, RetryAfter: 1500 * time.Millisecond}
	resp := post("Api-Key: key-a\r\n")
	require.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
	require.Equal(t, "1.500", resp.Header.Get("Retry-After"))

	client.decision = quota.Decision{Verdict: quota.Unavailable}
	requireRefused(t, post("Api-Key: key-a\r\n"))
	require.EqualValues(t, 1, harness.gateway.Counters.OverQuota.Load())
	require.EqualValues(t, 1, harness.gateway.Counters.QuotaUnavailable.Load())
	require.EqualValues(t, 3, harness.requestCount())
}

// TestQuotaIsReturned checks that the quota of a request is returned if no server has executed it, and is not
// if one may have.
func TestQuotaIsReturned(t *testing.T) {
	harness := newHarness(t, 1, func(call *upstreamCall, n int) bool {
		if n == 0 {
			return call.respondNotRun()
		}
		return false // closes the connection: the request may have been executed
	})
	client := &fakeQuota{decision: quota.Decision{Verdict: quota.Admitted}}
	harness.gateway.Quota = client
	harness.update(harness.withTenants())
	resp, _ := harness.roundTrip(requestHead("POST", "/one/x", "Api-Key: key-a\r\nChalkdoor-Token-Count: 10,5\r\n"))
	requireRefused(t, resp)
	require.Equal(t, []float64{15}, client.amountsReturned)
	require.Eventually(t, func() bool {
		resp, _ := harness.roundTrip(requestHead("POST", "/one/x", "Api-Key: key-a\r\n"))
		return resp.StatusCode == http.StatusBadGateway
	}, testTimeout, 10*time.Millisecond, "the balancer takes the server for full for a moment")
	for _, amount := range client.amountsReturned[1:] {
		require.EqualValues(t, 200, amount)
	}
	require.Equal(t, len(client.amountsRequested)-1, len(client.amountsReturned), "one request may have been executed")
}

// TestKeyMaxAgeAllowsForSlowClocks checks that an agent whose clock is two percent slow still refuses a removed
// key in time.
func TestKeyMaxAgeAllowsForSlowClocks(t *testing.T) {
	for revoke := minKeyMaxAge + minClockMargin; revoke < 2*time.Minute; revoke += 50 * time.Millisecond {
		age := KeyMaxAge(revoke)
		realAge := age + age/50
		require.Less(t, realAge, revoke-revoke/50, "revoke-ms %v", revoke)
		require.Greater(t, age, revoke*3/4, "the margin is too large")
	}
	require.Equal(t, 3750*time.Millisecond, KeyMaxAge(4*time.Second))
}
