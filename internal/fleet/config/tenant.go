package config

import (
	"crypto/sha256"
	"slices"
	"strconv"
	"strings"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// tenantsKey is the list whose items hold API keys.
const tenantsKey = "tenants"

// countTokens is the count-unit of tenants whose requests are counted by their tokens.
const countTokens = "token_meter"

// Tenant is a customer of the fleet: those who hold one of its API keys.
type Tenant struct {
	Name     string
	Priority int // admission-priority: 0 is the most urgent; it ranks above that of the route
	// CountsTokens tells that RatePerS and Burst are in tokens; otherwise they are in requests.
	CountsTokens bool
	// UncachedTokens is what a request without a token count counts for.
	UncachedTokens float64
	// RatePerS and Burst bound what all agents together admit: a rate per second, and what may come
	// beyond it at once. A rate of 0 is no limit.
	RatePerS, Burst float64
}

// Limited returns whether the tenant has a quota.
func (t *Tenant) Limited() bool { return t.RatePerS > 0 }

// Cost returns what a request counts for against the tenant's quota. promptTokens and outputTokens
// are those that the client has stated, 0 where it has not.
func (t *Tenant) Cost(promptTokens, outputTokens int) float64 {
	if !t.CountsTokens {
		return 1
	}
	if tokens := promptTokens + outputTokens; tokens > 0 {
		return float64(tokens)
	}
	return max(t.UncachedTokens, 1)
}

// keyDigest identifies an API key without revealing it: keys are in no dump of a document's index, and
// the time of a lookup does not depend on how much of a key is right.
type keyDigest [sha256.Size]byte

func digestOf(key string) keyDigest { return sha256.Sum256([]byte(key)) }

// PriorityRanks is how many ranks Rank distinguishes.
const PriorityRanks = 10

// Rank returns the rank of a tenant's requests on a route, from 0, the most urgent, to
// PriorityRanks-1: the tenant's priority goes before the route's. Where the document has more pairs of
// priorities than ranks, adjacent ones share a rank. A nil tenant, that of keyless requests, ranks as
// the most urgent one.
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

// rankOf returns how many of some sorted priorities are more urgent than one of them.
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

// HasTenants returns whether the document has a list of tenants, be it empty: then requests need an
// API key, unless their route is keyless.
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

// decodeTenants validates and decodes the list of tenants. Another value than a list is kept as it is:
// it has no meaning here.
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

// appendAPIKeys appends one API key, or each of a list. Empty ones open nothing.
func appendAPIKeys(keys []string, value []byte) []string {
	if isArray(value) {
		_ = forEachElement(value, func(_ int, key []byte) error { // was walked by validateItems
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
