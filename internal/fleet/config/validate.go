package config

import (
	"math"
	"strconv"
	"strings"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

func unknownServiceError(key, name string) error {
	return invalidError(key, "name one of services, or add it there", "service %q is unknown", truncate(name))
}

// validateRoute checks a route against the services of the document.
func (d *Document) validateRoute(route *Route) error {
	var sum float64
	for _, split := range route.Splits {
		if d.Services[split.Service] == nil {
			return unknownServiceError("weighted-split", split.Service)
		}
		sum += split.Weight
	}
	switch {
	case route.Name == "":
		return invalidError("name", "give the route a name", "it is missing")
	case route.Host == "":
		return invalidError("hostname", "name the host that clients ask for", "it is missing")
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return invalidError("path-prefix", "begin and end it with a slash", "it is %q", truncate(route.Prefix))
	case len(route.Splits) == 0:
		return invalidError("target-service", "name one of services", "the route goes to no service")
	case !(sum > 0) || math.IsInf(sum, 0):
		return invalidError("weighted-split", "let the weights sum to more than 0", "they sum to %v", sum)
	case route.TimeoutMs <= 0:
		return invalidError("timeout-ms", "give more than 0", "it is %d", route.TimeoutMs)
	}
	return nil
}

// itemValidator checks the items of one list for duplicate names and shared API keys.
type itemValidator struct {
	tenants     bool            // whether the items are tenants, which have API keys
	names       map[string]bool // names of the items so far
	apiKeyOwner map[string]int  // by API key: index of the tenant that has it
}

// validateItems rejects duplicate names in a list, and API keys that two tenants share.
func validateItems(key string, list []byte) error {
	v := itemValidator{tenants: key == tenantsKey, names: map[string]bool{}, apiKeyOwner: map[string]int{}}
	return forEachElement(list, v.validate)
}

func (v *itemValidator) validate(i int, item []byte) error {
	if !isObject(item) {
		return nil
	}
	name := ""
	err := forEachMember(item, func(key, value []byte) error {
		switch {
		case string(key) == "name":
			if isString(value) {
				name = unquote(value)
			}
		case v.tenants && holdsAPIKeys(key):
			return apierror.PrefixKey(v.claimAPIKeys(i, value), string(key))
		}
		return nil
	})
	if err != nil {
		return apierror.PrefixKey(err, strconv.Itoa(i))
	}
	if name != "" && v.names[name] {
		return invalidError(truncate(name)+".name", "give each its own name", "another item has it")
	}
	v.names[name] = true
	return nil
}

// holdsAPIKeys returns whether a member of a tenant is one API key or a list of them.
func holdsAPIKeys(key []byte) bool {
	switch string(key) {
	case "key", "keys", "api-key", "api-keys", "api_key", "api_keys", "access-key", "access-keys":
		return true
	}
	return false
}

// claimAPIKeys records an API key or each key of a list for tenant i, and rejects those of other tenants.
func (v *itemValidator) claimAPIKeys(i int, value []byte) error {
	if !isArray(value) {
		return v.claimAPIKey(i, value)
	}
	return forEachElement(value, func(_ int, key []byte) error { return v.claimAPIKey(i, key) })
}

func (v *itemValidator) claimAPIKey(i int, value []byte) error {
	if !isString(value) || len(value) == len(`""`) {
		return nil
	}
	key := unquote(value)
	if owner, ok := v.apiKeyOwner[key]; ok && owner != i {
		return invalidError("", "give each tenant its own key", "another tenant has the key")
	}
	v.apiKeyOwner[key] = i
	return nil
}
