package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const tenantExample = `{"revision":3,"services":[{"name":"s"}],"routes":[
 {"name":"a","hostname":"h","path-prefix":"/a/","timeout-ms":1,"target-service":"s","admission-priority":0},
 {"name":"b","hostname":"h","path-prefix":"/b/","timeout-ms":1,"target-service":"s","admission-priority":2,"keyless":true}],
 "tenants":[
 {"name":"t1","api-keys":["k1","k2"],"admission-priority":1,"count-unit":"token_meter","uncached-tokens":200,"rate-per-s":926801.5,"burst":926801},
 {"name":"t2","api-keys":["k3",""],"admission-priority":0,"rate-per-s":5},
 {"name":"t3"}]}`

func TestParseReadsTenants(t *testing.T) {
	d := mustParse(t, tenantExample)
	require.True(t, d.HasTenants())
	first := d.Tenants()["t1"]
	assert.Equal(t, &Tenant{Name: "t1", Priority: 1, CountsTokens: true, UncachedTokens: 200, RatePerS: 926801.5, Burst: 926801}, first)
	assert.Same(t, first, d.TenantOfKey("k1"))
	assert.Same(t, first, d.TenantOfKey("k2"))
	assert.Equal(t, "t2", d.TenantOfKey("k3").Name)
	for _, unknown := range []string{"", "k", "K1", "k1 ", "t1", "k4"} {
		assert.Nil(t, d.TenantOfKey(unknown), "%q", unknown)
	}
	assert.False(t, d.Routes[0].Keyless)
	assert.True(t, d.Routes[1].Keyless)
	assert.True(t, first.Limited())
	assert.False(t, d.Tenants()["t3"].Limited())
}

func TestTenantCost(t *testing.T) {
	tokens := Tenant{CountsTokens: true, UncachedTokens: 200}
	assert.EqualValues(t, 1540, tokens.Cost(1460, 80))
	assert.EqualValues(t, 200, tokens.Cost(0, 0))
	assert.EqualValues(t, 1, (&Tenant{CountsTokens: true}).Cost(0, 0), "every request costs at least 1")
	assert.EqualValues(t, 1, (&Tenant{}).Cost(1460, 80), "counted in requests")
}

// With an empty list of tenants, requests need an API key; without the list, they need none.
func TestEmptyListOfTenants(t *testing.T) {
	const routes = `"services":[{"name":"s"}],"routes":[{"name":"a","hostname":"h","path-prefix":"/","timeout-ms":1,"target-service":"s"}]`
	assert.True(t, mustParse(t, `{"revision":1,`+routes+`,"tenants":[]}`).HasTenants())
	assert.False(t, mustParse(t, `{"revision":1,`+routes+`}`).HasTenants())
}

func TestInvalidTenants(t *testing.T) {
	for name, tenants := range map[string]string{
		"a key of two tenants": `[{"name":"a","api-keys":["k"]},{"name":"b","api-keys":["k"]}]`,
		"a name twice":         `[{"name":"a"},{"name":"a"}]`,
		"a rate that is text":  `[{"name":"a","rate-per-s":"1"}]`,
	} {
		_, err := Parse([]byte(strings.Replace(tenantExample, tenantExample[strings.Index(tenantExample, `"tenants":`):], `"tenants":`+tenants+"}", 1)))
		require.Error(t, err, name)
		assert.Contains(t, err.Error(), "tenants", name)
		assert.NotContains(t, err.Error(), `"k"`, "an error does not show API keys")
	}
}

// The tenant's priority takes precedence over the route's.
func TestRank(t *testing.T) {
	d := mustParse(t, tenantExample)
	urgentTenant, otherTenant := d.Tenants()["t2"], d.Tenants()["t1"]
	routes := map[string]*Route{"a": d.Routes[0], "b": d.Routes[1]}
	assert.Equal(t, 0, d.Rank(urgentTenant, routes["a"]))
	assert.Equal(t, 1, d.Rank(urgentTenant, routes["b"]))
	assert.Equal(t, 2, d.Rank(otherTenant, routes["a"]))
	assert.Equal(t, 3, d.Rank(otherTenant, routes["b"]))
	assert.Equal(t, 0, d.Rank(nil, routes["a"]), "a request without a tenant")
}

// If there are more pairs of priorities than ranks, ranks still follow the order of the pairs.
func TestRankOfManyPriorities(t *testing.T) {
	var tenants []string
	for i := range 12 {
		tenants = append(tenants, fmt.Sprintf(`{"name":"t%d","api-keys":["k%d"],"admission-priority":%d}`, i, i, 3*i))
	}
	start := strings.Index(tenantExample, `"tenants":`)
	d := mustParse(t, tenantExample[:start]+`"tenants":[`+strings.Join(tenants, ",")+"]}")
	lastRank := 0
	for i := range 12 {
		for _, route := range d.Routes {
			rank := d.Rank(d.TenantOfKey(fmt.Sprintf("k%d", i)), route)
			assert.GreaterOrEqual(t, rank, lastRank)
			lastRank = rank
		}
	}
	assert.Equal(t, PriorityRanks-1, lastRank)
}
