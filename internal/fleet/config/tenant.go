package config

import (
	"crypto/sha256"
	"slices"
	"strconv"
	"strings"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// tenantsKey is the key of the list of tenants, whose items have API keys.
const tenantsKey = "tenants"

// countTokens is the count-unit of tenants whose quota is in tokens.
const countTokens = "token_meter"

// Tenant is a customer of the fleet, who is identified by its API keys.
type Tenant struct {
	Name     string
	Priority int // admission-priority; 0 is the most urgent. It takes precedence over the route's
	// CountsTokens is true if RatePerS and Burst are in tokens; otherwise they are in requests.
	CountsTokens bool
	// UncachedTokens is the cost, in tokens, of a request for which the client states no token counts.
	UncachedTokens float64
	// RatePerS and Burst limit what all agents together admit: RatePerS per second, and Burst beyond it
	// at once. A rate of zero means no limit.
	RatePerS, Burst float64
}

// Limited returns whether the tenant has a quota.
func (t *Tenant) Limited() bool { return t.RatePerS > 0 }

// Cost returns the amount of the tenant's quota that a request uses. promptTokens and outputTokens are the
// counts that the client has stated, or zero.
func (t *Tenant) Cost(promptTokens, outputTokens int) float64 {
	if !t.CountsTokens {
		return 1
	}
	if tokens := promptTokens + outputTokens; tokens > 0 {
		return float64(tokens)
	}
	return max(t.UncachedTokens, 1)
}

// keyDigest identifies an API key without revealing it. A dump of a document's index shows no keys, and
// the time of a lookup does not depend on how many bytes of a key are correct.
type keyDigest [sha256.Size]byte

func digestOf(key string) keyDigest { return sha256.Sum256([]byte(key)) }

// PriorityRanks is the number of ranks that Rank distinguishes.
const PriorityRanks = 10

// Rank returns the rank of a tenant's requests on a route, from 0, the most urgent, to
// PriorityRanks-1. The tenant's priority takes precedence over the route's. If the document has more
// pairs of priorities than there are ranks, adjacent pairs share a rank. A nil tenant, that of a
// keyless request, ranks like the most urgent one.
func (d *Document) Rank(tenant *Tenant, route *Route) int {
	tenantRank := 0
	if tenant != nil {
		tenantRank = rankOf(d.tenantPriorities, tenant.Priority)
	}
	pair := tenantRank*len(d.routePriorities) + rankOf(d.routePriorities, route.Priority)
	pairs := max(len(d.tenantPriorities), 1) * len(d.routePriorities)
	if pairs > PriorityRanks {
		pair = pair * PriorityRanks / pairs
	}
	return min(pair, PriorityRanks-1)
}

// rankOf returns how many of the sorted priorities are more urgent than a given one.
func rankOf(priorities []int, priority int) int {
	rank, _ := slices.BinarySearch(priorities, priority)
	return rank
}

// indexPriorities collects the priorities that Rank orders.
func (d *Document) indexPriorities() {
	for _, tenant := range d.tenants {
		d.tenantPriorities = append(d.tenantPriorities, tenant.Priority)
	}
	for _, route := range d.Routes {
		d.routePriorities = append(d.routePriorities, route.Priority)
	}
	for _, priorities := range []*[]int{&d.tenantPriorities, &d.routePriorities} {
		slices.Sort(*priorities)
		*priorities = slices.Compact(*priorities)
	}
}

// HasTenants returns whether the document has a list of tenants, even an empty one. Requests then need
// an API key, unless their route is keyless.
func (d *Document) HasTenants() bool { return d.hasTenants }

// Tenants returns all tenants, by name.
func (d *Document) Tenants() map[string]*Tenant { return d.tenants }

// TenantOfKey returns the tenant that holds an API key, nil if none does.
func (d *Document) TenantOfKey(key string) *Tenant {
	if key == "" || len(d.tenantByKey) == 0 {
		return nil
	}
	return d.tenantByKey[digestOf(key)]
}

// decodeTenants validates and decodes the list of tenants. A value that is not a list stays in the text of
// the document, but is otherwise ignored.
func (d *Document) decodeTenants(value []byte) error {
	if !isArray(value) {
		return nil
	}
	if err := validateItems(tenantsKey, value); err != nil {
		return err
	}
	d.hasTenants = true
	d.tenants, d.tenantByKey = map[string]*Tenant{}, map[keyDigest]*Tenant{}
	return forEachElement(value, func(i int, item []byte) error {
		if !isObject(item) {
			return nil
		}
		return apierror.PrefixKey(d.decodeTenant(item), strconv.Itoa(i))
	})
}

func (d *Document) decodeTenant(item []byte) error {
	tenant := &Tenant{}
	var keys []string
	err := forEachMember(item, func(key, value []byte) error {
		if holdsAPIKeys(key) {
			keys = appendAPIKeys(keys, value)
			return nil
		}
		return tenant.decodeField(key, value)
	})
	if err != nil {
		return err
	}
	tenant.RatePerS, tenant.Burst = max(tenant.RatePerS, 0), max(tenant.Burst, 0)
	if tenant.Name != "" {
		d.tenants[tenant.Name] = tenant
	}
	for _, key := range keys {
		d.tenantByKey[digestOf(key)] = tenant
	}
	return nil
}

func (t *Tenant) decodeField(key, value []byte) error {
	switch string(key) {
	case "name":
		return decodeString(&t.Name, key, value)
	case "admission-priority":
		return decodeInt(&t.Priority, key, value)
	case "count-unit":
		var unit string
		err := decodeString(&unit, key, value)
		t.CountsTokens = unit == countTokens
		return err
	case "uncached-tokens":
		return decodeFloat(&t.UncachedTokens, key, value)
	case "rate-per-s":
		return decodeFloat(&t.RatePerS, key, value)
	case "burst":
		return decodeFloat(&t.Burst, key, value)
	}
	return nil
}

// appendAPIKeys appends an API key or each key of a list. It skips empty keys, which give no access.
func appendAPIKeys(keys []string, value []byte) []string {
	if isArray(value) {
		_ = forEachElement(value, func(_ int, key []byte) error { // the function returns no error
			keys = appendAPIKeys(keys, key)
			return nil
		})
		return keys
	}
	if isString(value) {
		if key := strings.TrimSpace(unquote(value)); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}
