package config

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

const (
	// MaxBody is the largest order, in bytes.
	MaxBody = 4 << 20
	// MaxDocument is the largest configuration that item changes may grow to, in bytes.
	MaxDocument = 2 * MaxBody
)

// Parse reads a whole configuration and checks it. It keeps raw, which may not be changed after.
// An error is a fault of kind Invalid (TooLarge past MaxDocument) that names the key and the remedy.
func Parse(raw []byte) (*Document, error) {
	if len(raw) > MaxDocument {
		return nil, apierror.New(apierror.TooLarge, "", "split or shorten it",
			"the configuration has %d bytes, at most %d are kept", len(raw), MaxDocument)
	}
	if err := validateObject(raw); err != nil {
		return nil, err
	}
	return parse(raw)
}

// parse reads JSON that was found valid.
func parse(raw []byte) (*Document, error) {
	d := &Document{raw: raw, Services: map[string]*Service{}, byHost: map[string][]*Route{}}
	var routes, services []byte
	err := forEachMember(raw, func(key, val []byte) error {
		switch string(key) {
		case "revision":
			return decodeRevision(&d.Revision, val)
		case "routes":
			routes = val
		case "services":
			services = val
		case "limits":
			return apierror.PrefixKey(d.decodeLimits(val), "limits")
		default:
			if isArray(val) {
				return apierror.PrefixKey(validateItems(string(key), val), truncate(key))
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if d.Revision < 1 {
		return nil, invalidError("revision", "give a whole number above the current one", "it is %d", d.Revision)
	}
	for _, l := range []struct {
		key  string
		val  []byte
		read func(item []byte) (string, error)
	}{{"services", services, d.decodeService}, {"routes", routes, d.decodeRoute}} {
		if l.val == nil || !isArray(l.val) {
			return nil, invalidError(l.key, "send the whole list", "it has to be a list")
		}
		err := forEachElement(l.val, func(i int, item []byte) error {
			if !isObject(item) {
				return invalidError(strconv.Itoa(i), "give it as the protocol shows", "it has to be an object")
			}
			name, err := l.read(item)
			if name == "" {
				name = strconv.Itoa(i)
			}
			return apierror.PrefixKey(err, truncate(name))
		})
		if err != nil {
			return nil, apierror.PrefixKey(err, l.key)
		}
	}
	if err := d.indexRoutes(); err != nil {
		return nil, apierror.PrefixKey(err, "routes")
	}
	return d, nil
}

func decodeRevision(to *int64, val []byte) error {
	var f float64
	if err := decodeFloat(&f, []byte("revision"), val); err != nil {
		return err
	}
	if f != math.Trunc(f) || decodeInt(to, []byte("revision"), val) != nil {
		return invalidError("revision", "give a whole number above the current one", "it is %s", truncate(val))
	}
	return nil
}

func (d *Document) decodeLimits(val []byte) error {
	if isNull(val) {
		return nil
	}
	if !isObject(val) {
		return typeError(nil, "an object")
	}
	return forEachMember(val, func(key, val []byte) error {
		switch string(key) {
		case "header-bytes":
			return decodeInt(&d.Limits.HeaderBytes, key, val)
		case "body-bytes":
			return decodeInt(&d.Limits.BodyBytes, key, val)
		case "header-ms":
			return decodeInt(&d.Limits.HeaderMs, key, val)
		case "idle-ms":
			return decodeInt(&d.Limits.IdleMs, key, val)
		}
		return nil
	})
}

func (d *Document) decodeService(item []byte) (string, error) {
	s := &Service{}
	err := forEachMember(item, func(key, val []byte) error {
		switch string(key) {
		case "name":
			return decodeString(&s.Name, key, val)
		case "health-path":
			return decodeString(&s.HealthPath, key, val)
		case "conn-limit":
			return decodeInt(&s.ConnLimit, key, val)
		case "inference-engine":
			return apierror.PrefixKey(s.decodeEngine(val), string(key))
		}
		return nil
	})
	switch {
	case err != nil:
	case s.Name == "":
		err = invalidError("name", "give the service a name", "it is missing")
	case d.Services[s.Name] != nil:
		err = invalidError("name", "give each service its own name", "another service has it")
	}
	d.Services[s.Name] = s
	return s.Name, err
}

func (s *Service) decodeEngine(val []byte) error {
	if isNull(val) {
		return nil
	}
	if !isObject(val) {
		return typeError(nil, "an object")
	}
	e := &Engine{}
	s.Engine = e
	return forEachMember(val, func(key, val []byte) error {
		switch string(key) {
		case "slots":
			return decodeInt(&e.Slots, key, val)
		case "cache-tokens":
			return decodeInt(&e.CacheTokens, key, val)
		case "kv-token-bytes":
			return decodeInt(&e.KVTokenBytes, key, val)
		case "link-mbps":
			return decodeFloat(&e.LinkMbps, key, val)
		case "stride":
			return decodeInt(&e.TokensPerEvent, key, val)
		case "models":
			if isNull(val) {
				return nil
			}
			if !isArray(val) {
				return typeError(key, "a list")
			}
			return apierror.PrefixKey(forEachElement(val, func(_ int, m []byte) error {
				name, err := nameOf(m)
				if name != "" {
					e.Models = append(e.Models, name)
				}
				return err
			}), "models")
		}
		return nil
	})
}

// nameOf returns the name of an item, "" where it has none.
func nameOf(item []byte) (name string, err error) {
	if !isObject(item) {
		return "", nil
	}
	err = forEachMember(item, func(key, val []byte) error {
		if string(key) == "name" && isString(val) {
			name = unquote(val)
		}
		return nil
	})
	return name, err
}

func (d *Document) decodeRoute(item []byte) (string, error) {
	r := &Route{}
	var service string
	err := forEachMember(item, func(key, val []byte) error {
		switch string(key) {
		case "name":
			return decodeString(&r.Name, key, val)
		case "hostname":
			return decodeString(&r.Host, key, val)
		case "path-prefix":
			return decodeString(&r.Prefix, key, val)
		case "route-kind":
			return decodeString((*string)(&r.Kind), key, val)
		case "timeout-ms":
			return decodeInt(&r.TimeoutMs, key, val)
		case "setpoint-ms":
			return decodeInt(&r.LatencyTargetMs, key, val)
		case "admission-priority":
			return decodeInt(&r.Priority, key, val)
		case "max-attempts":
			return decodeInt(&r.MaxAttempts, key, val)
		case "affinity":
			return decodeBool(&r.Affinity, key, val)
		case "resumable":
			return decodeBool(&r.Resumable, key, val)
		case "gap_aim_ms":
			return decodeInt(&r.InterTokenTargetMs, key, val)
		case "target-service":
			return decodeString(&service, key, val)
		case "weighted-split":
			return apierror.PrefixKey(r.decodeSplits(val), string(key))
		}
		return nil
	})
	if err != nil {
		return r.Name, err
	}
	r.Host = normalizeHost(r.Host)
	r.MaxAttempts = max(r.MaxAttempts, 1)
	d.Routes = append(d.Routes, r)
	if service != "" && r.Splits == nil {
		r.Splits = []Split{{Service: service, Weight: 1}}
	}
	if service != "" && d.Services[service] == nil {
		return r.Name, unknownServiceError("target-service", service)
	}
	return r.Name, d.validateRoute(r)
}

func unknownServiceError(key, name string) error {
	return invalidError(key, "name one of services, or add it there", "service %q is unknown", truncate(name))
}

// decodeSplits reads the parts of a route's traffic. A service named twice gets both weights.
func (r *Route) decodeSplits(val []byte) error {
	if isNull(val) {
		return nil
	}
	if !isArray(val) {
		return typeError(nil, "a list")
	}
	return forEachElement(val, func(i int, part []byte) error {
		if !isObject(part) {
			return typeError([]byte(strconv.Itoa(i)), "an object")
		}
		var s Split
		err := forEachMember(part, func(key, val []byte) error {
			switch string(key) {
			case "target-service":
				return decodeString(&s.Service, key, val)
			case "weight":
				return decodeFloat(&s.Weight, key, val)
			}
			return nil
		})
		if err == nil && s.Weight < 0 {
			err = invalidError("weight", "give 0 or more", "it is %v", s.Weight)
		}
		if err != nil {
			return apierror.PrefixKey(err, strconv.Itoa(i))
		}
		if j := slices.IndexFunc(r.Splits, func(o Split) bool { return o.Service == s.Service }); j >= 0 {
			r.Splits[j].Weight += s.Weight
		} else {
			r.Splits = append(r.Splits, s)
		}
		return nil
	})
}

func (d *Document) validateRoute(r *Route) error {
	var sum float64
	for _, s := range r.Splits {
		if d.Services[s.Service] == nil {
			return unknownServiceError("weighted-split", s.Service)
		}
		sum += s.Weight
	}
	switch {
	case r.Name == "":
		return invalidError("name", "give the route a name", "it is missing")
	case r.Host == "":
		return invalidError("hostname", "name the host that clients ask for", "it is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalidError("path-prefix", "begin and end it with a slash", "it is %q", truncate(r.Prefix))
	case len(r.Splits) == 0:
		return invalidError("target-service", "name one of services", "the route goes to no service")
	case !(sum > 0) || math.IsInf(sum, 0):
		return invalidError("weighted-split", "let the weights sum to more than 0", "they sum to %v", sum)
	case r.TimeoutMs <= 0:
		return invalidError("timeout-ms", "give more than 0", "it is %d", r.TimeoutMs)
	}
	r.Splits = slices.DeleteFunc(r.Splits, func(s Split) bool { return s.Weight == 0 }) // nothing goes there
	return nil
}

// indexRoutes finds names and places that are used twice, and orders each host's routes for Match.
func (d *Document) indexRoutes() error {
	type place struct{ host, prefix string }
	byName, byPlace := make(map[string]bool, len(d.Routes)), make(map[place]string, len(d.Routes))
	for _, r := range d.Routes {
		if byName[r.Name] {
			return invalidError(truncate(r.Name)+".name", "give each route its own name", "another route has it")
		}
		byName[r.Name] = true
		p := place{r.Host, r.Prefix}
		if other, ok := byPlace[p]; ok {
			return invalidError(truncate(r.Name)+".path-prefix", "change or remove one of them",
				"route %q has the same host and prefix", truncate(other))
		}
		byPlace[p] = r.Name
		d.byHost[r.Host] = append(d.byHost[r.Host], r)
	}
	for _, rs := range d.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return nil
}

// validateItems refuses names used twice in a list that this package knows nothing else about, and
// among tenants a key that two of them share.
func validateItems(list string, val []byte) error {
	names, owners := map[string]bool{}, map[string]int{}
	return forEachElement(val, func(i int, item []byte) error {
		if !isObject(item) {
			return nil
		}
		name := ""
		claim := func(_ int, val []byte) error {
			if !isString(val) || len(val) == len(`""`) {
				return nil
			}
			k := unquote(val)
			if owner, ok := owners[k]; ok && owner != i {
				return invalidError("", "give each tenant its own key", "another tenant has the key")
			}
			owners[k] = i
			return nil
		}
		err := forEachMember(item, func(field, val []byte) error {
			switch string(field) {
			case "name":
				if isString(val) {
					name = unquote(val)
				}
			case "key", "keys", "api-key", "api-keys", "api_key", "api_keys", "access-key", "access-keys":
				if list != "tenants" {
					return nil
				}
				if isArray(val) {
					return apierror.PrefixKey(forEachElement(val, claim), string(field))
				}
				return apierror.PrefixKey(claim(0, val), string(field))
			}
			return nil
		})
		if err == nil && name != "" && names[name] {
			return invalidError(truncate(name)+".name", "give each its own name", "another item has it")
		}
		names[name] = true
		if err != nil {
			return apierror.PrefixKey(err, strconv.Itoa(i))
		}
		return nil
	})
}

// Raw is the configuration as it is read back: what was sent, unknown fields included. It may not
// be changed.
func (d *Document) Raw() json.RawMessage { return d.raw }

// Service returns a service by its name, nil if there is none.
func (d *Document) Service(name string) *Service { return d.Services[name] }

// Match returns the route for a Host header and a path (without its query): of that host's routes
// the one with the longest prefix that begins the path, nil if none fits.
func (d *Document) Match(host, path string) *Route {
	for _, r := range d.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalizeHost makes hosts comparable: lower case, without a port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && (strings.IndexByte(host, ':') == i || host[i-1] == ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}
