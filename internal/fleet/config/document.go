package config

import (
	"slices"
	"strconv"
	"strings"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

const (
	// MaxBody bounds the body of one request, in bytes.
	MaxBody = 4 << 20
	// MaxDocument bounds the size that the configuration may reach by patches, in bytes.
	MaxDocument = 2 * MaxBody
)

// Parse decodes and validates a complete configuration. The result retains raw, which must not
// be modified afterwards.
func Parse(raw []byte) (*Document, error) {
	if len(raw) > MaxDocument {
		return nil, apierror.New(apierror.TooLarge, "", "split or shorten it",
			"the configuration has %d bytes, at most %d are stored", len(raw), MaxDocument)
	}
	if err := validateObject(raw); err != nil {
		return nil, err
	}
	d := &Document{raw: raw, Services: map[string]*Service{}, byHost: map[string][]*Route{}}
	routes, services, err := d.decodeMembers()
	if err != nil {
		return nil, err
	}
	// Routes name services, so the services are decoded first.
	if err := decodeList("services", services, d.decodeService); err != nil {
		return nil, err
	}
	if err := decodeList("routes", routes, d.decodeRoute); err != nil {
		return nil, err
	}
	if err := d.indexRoutes(); err != nil {
		return nil, apierror.PrefixKey(err, "routes")
	}
	if d.hasTenants {
		d.indexPriorities()
	}
	return d, nil
}

// decodeMembers decodes all members of the document except its routes and services, whose JSON it
// returns.
func (d *Document) decodeMembers() (routes, services []byte, err error) {
	err = forEachMember(d.raw, func(key, value []byte) error {
		switch string(key) {
		case "revision":
			return decodeRevision(&d.Revision, value)
		case "routes":
			routes = value
		case "services":
			services = value
		case "limits":
			return apierror.PrefixKey(d.decodeLimits(value), "limits")
		case tenantsKey:
			return apierror.PrefixKey(d.decodeTenants(value), tenantsKey)
		default:
			if isArray(value) {
				return apierror.PrefixKey(validateItems(string(key), value), truncate(key))
			}
		}
		return nil
	})
	if err == nil && d.Revision < 1 {
		err = invalidError("revision", "give a whole number above the current one", "it is %d", d.Revision)
	}
	return routes, services, err
}

// decodeList decodes a list of objects. decode returns the name of an item even if it returns an error,
// so that the error's key can name the item.
func decodeList(key string, list []byte, decode func(item []byte) (name string, err error)) error {
	if list == nil || !isArray(list) {
		return invalidError(key, "send the complete list", "it has to be a list")
	}
	err := forEachElement(list, func(i int, item []byte) error {
		if !isObject(item) {
			return invalidError(strconv.Itoa(i), "give it as the protocol shows", "it has to be an object")
		}
		name, err := decode(item)
		if name == "" {
			name = strconv.Itoa(i)
		}
		return apierror.PrefixKey(err, truncate(name))
	})
	return apierror.PrefixKey(err, key)
}

// indexRoutes rejects duplicate names and duplicate pairs of host and prefix, and orders the routes of
// each host for Match.
func (d *Document) indexRoutes() error {
	type hostPrefix struct{ host, prefix string }
	names := make(map[string]bool, len(d.Routes))
	nameByHostPrefix := make(map[hostPrefix]string, len(d.Routes))
	for _, route := range d.Routes {
		if names[route.Name] {
			return invalidError(truncate(route.Name)+".name", "give each route its own name", "another route has it")
		}
		names[route.Name] = true
		key := hostPrefix{route.Host, route.Prefix}
		if other, ok := nameByHostPrefix[key]; ok {
			return invalidError(truncate(route.Name)+".path-prefix", "change or remove one of them",
				"route %q has the same host and prefix", truncate(other))
		}
		nameByHostPrefix[key] = route.Name
		d.byHost[route.Host] = append(d.byHost[route.Host], route)
	}
	for _, routes := range d.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return nil
}

// Match returns the route for a Host header and a path without its query. It is the one of the host's
// routes with the longest prefix of the path; nil if there is none.
func (d *Document) Match(host, path string) *Route {
	for _, route := range d.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// normalizeHost returns a host in lower case and without a port, for comparison. An IPv6 address keeps
// its brackets.
func normalizeHost(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon >= 0 && (strings.IndexByte(host, ':') == colon || host[colon-1] == ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
