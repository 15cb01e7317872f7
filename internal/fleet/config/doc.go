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
	// MaxDoc is the largest configuration that item changes may grow to, in bytes.
	MaxDoc = 2 * MaxBody
)

// Parse reads a whole configuration and checks it. It keeps raw, which may not be changed after.
// An error is a fault of kind Invalid (TooLarge past MaxDoc) that names the key and the remedy.
func Parse(raw []byte) (*Doc, error) {
	if len(raw) > MaxDoc {
		return nil, apierror.New(apierror.TooLarge, "", "split or shorten it",
			"the configuration has %d bytes, at most %d are kept", len(raw), MaxDoc)
	}
	if err := sound(raw); err != nil {
		return nil, err
	}
	return parse(raw)
}

// parse reads JSON that was found valid.
func parse(raw []byte) (*Doc, error) {
	d := &Doc{raw: raw, Services: map[string]*Service{}, byHost: map[string][]*Route{}}
	var routes, services []byte
	err := members(raw, func(key, val []byte) error {
		switch string(key) {
		case "revision":
			return readRevision(&d.Revision, val)
		case "routes":
			routes = val
		case "services":
			services = val
		case "limits":
			return apierror.Within(d.readLimits(val), "limits")
		default:
			if isList(val) {
				return apierror.Within(checkItems(string(key), val), clip(key))
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if d.Revision < 1 {
		return nil, invalid("revision", "give a whole number above the current one", "it is %d", d.Revision)
	}
	for _, l := range []struct {
		key  string
		val  []byte
		read func(item []byte) (string, error)
	}{{"services", services, d.readService}, {"routes", routes, d.readRoute}} {
		if l.val == nil || !isList(l.val) {
			return nil, invalid(l.key, "send the whole list", "it has to be a list")
		}
		err := elements(l.val, func(i int, item []byte) error {
			if !isObject(item) {
				return invalid(strconv.Itoa(i), "give it as the protocol shows", "it has to be an object")
			}
			name, err := l.read(item)
			if name == "" {
				name = strconv.Itoa(i)
			}
			return apierror.Within(err, clip(name))
		})
		if err != nil {
			return nil, apierror.Within(err, l.key)
		}
	}
	if err := d.index(); err != nil {
		return nil, apierror.Within(err, "routes")
	}
	return d, nil
}

func readRevision(to *int64, val []byte) error {
	var f float64
	if err := readFloat(&f, []byte("revision"), val); err != nil {
		return err
	}
	if f != math.Trunc(f) || readInt(to, []byte("revision"), val) != nil {
		return invalid("revision", "give a whole number above the current one", "it is %s", clip(val))
	}
	return nil
}

func (d *Doc) readLimits(val []byte) error {
	if isNull(val) {
		return nil
	}
	if !isObject(val) {
		return wrongType(nil, "an object")
	}
	return members(val, func(key, val []byte) error {
		switch string(key) {
		case "header-bytes":
			return readInt(&d.Limits.HeaderBytes, key, val)
		case "body-bytes":
			return readInt(&d.Limits.BodyBytes, key, val)
		case "header-ms":
			return readInt(&d.Limits.HeaderMs, key, val)
		case "idle-ms":
			return readInt(&d.Limits.IdleMs, key, val)
		}
		return nil
	})
}

func (d *Doc) readService(item []byte) (string, error) {
	s := &Service{}
	err := members(item, func(key, val []byte) error {
		switch string(key) {
		case "name":
			return readText(&s.Name, key, val)
		case "health-path":
			return readText(&s.HealthPath, key, val)
		case "conn-limit":
			return readInt(&s.ConnLimit, key, val)
		case "inference-engine":
			return apierror.Within(s.readEngine(val), string(key))
		}
		return nil
	})
	switch {
	case err != nil:
	case s.Name == "":
		err = invalid("name", "give the service a name", "it is missing")
	case d.Services[s.Name] != nil:
		err = invalid("name", "give each service its own name", "another service has it")
	}
	d.Services[s.Name] = s
	return s.Name, err
}

func (s *Service) readEngine(val []byte) error {
	if isNull(val) {
		return nil
	}
	if !isObject(val) {
		return wrongType(nil, "an object")
	}
	e := &Engine{}
	s.Engine = e
	return members(val, func(key, val []byte) error {
		switch string(key) {
		case "slots":
			return readInt(&e.Slots, key, val)
		case "cache-tokens":
			return readInt(&e.CacheTokens, key, val)
		case "kv-token-bytes":
			return readInt(&e.KVTokenBytes, key, val)
		case "link-mbps":
			return readFloat(&e.LinkMbps, key, val)
		case "stride":
			return readInt(&e.Stride, key, val)
		case "models":
			if isNull(val) {
				return nil
			}
			if !isList(val) {
				return wrongType(key, "a list")
			}
			return apierror.Within(elements(val, func(_ int, m []byte) error {
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
	err = members(item, func(key, val []byte) error {
		if string(key) == "name" && isString(val) {
			name = text(val)
		}
		return nil
	})
	return name, err
}

func (d *Doc) readRoute(item []byte) (string, error) {
	r := &Route{}
	var service string
	err := members(item, func(key, val []byte) error {
		switch string(key) {
		case "name":
			return readText(&r.Name, key, val)
		case "hostname":
			return readText(&r.Host, key, val)
		case "path-prefix":
			return readText(&r.Prefix, key, val)
		case "route-kind":
			return readText((*string)(&r.Kind), key, val)
		case "timeout-ms":
			return readInt(&r.TimeoutMs, key, val)
		case "setpoint-ms":
			return readInt(&r.SetpointMs, key, val)
		case "admission-priority":
			return readInt(&r.Priority, key, val)
		case "max-attempts":
			return readInt(&r.MaxAttempts, key, val)
		case "affinity":
			return readBool(&r.Affinity, key, val)
		case "resumable":
			return readBool(&r.Resumable, key, val)
		case "gap_aim_ms":
			return readInt(&r.GapAimMs, key, val)
		case "target-service":
			return readText(&service, key, val)
		case "weighted-split":
			return apierror.Within(r.readSplits(val), string(key))
		}
		return nil
	})
	if err != nil {
		return r.Name, err
	}
	r.Host = foldHost(r.Host)
	r.MaxAttempts = max(r.MaxAttempts, 1)
	d.Routes = append(d.Routes, r)
	if service != "" && r.Splits == nil {
		r.Splits = []Split{{Service: service, Weight: 1}}
	}
	if service != "" && d.Services[service] == nil {
		return r.Name, unknownService("target-service", service)
	}
	return r.Name, d.checkRoute(r)
}

func unknownService(key, name string) error {
	return invalid(key, "name one of services, or add it there", "service %q is unknown", clip(name))
}

// readSplits reads the parts of a route's traffic. A service named twice gets both weights.
func (r *Route) readSplits(val []byte) error {
	if isNull(val) {
		return nil
	}
	if !isList(val) {
		return wrongType(nil, "a list")
	}
	return elements(val, func(i int, part []byte) error {
		if !isObject(part) {
			return wrongType([]byte(strconv.Itoa(i)), "an object")
		}
		var s Split
		err := members(part, func(key, val []byte) error {
			switch string(key) {
			case "target-service":
				return readText(&s.Service, key, val)
			case "weight":
				return readFloat(&s.Weight, key, val)
			}
			return nil
		})
		if err == nil && s.Weight < 0 {
			err = invalid("weight", "give 0 or more", "it is %v", s.Weight)
		}
		if err != nil {
			return apierror.Within(err, strconv.Itoa(i))
		}
		if j := slices.IndexFunc(r.Splits, func(o Split) bool { return o.Service == s.Service }); j >= 0 {
			r.Splits[j].Weight += s.Weight
		} else {
			r.Splits = append(r.Splits, s)
		}
		return nil
	})
}

func (d *Doc) checkRoute(r *Route) error {
	var sum float64
	for _, s := range r.Splits {
		if d.Services[s.Service] == nil {
			return unknownService("weighted-split", s.Service)
		}
		sum += s.Weight
	}
	switch {
	case r.Name == "":
		return invalid("name", "give the route a name", "it is missing")
	case r.Host == "":
		return invalid("hostname", "name the host that clients ask for", "it is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("path-prefix", "begin and end it with a slash", "it is %q", clip(r.Prefix))
	case len(r.Splits) == 0:
		return invalid("target-service", "name one of services", "the route goes to no service")
	case !(sum > 0) || math.IsInf(sum, 0):
		return invalid("weighted-split", "let the weights sum to more than 0", "they sum to %v", sum)
	case r.TimeoutMs <= 0:
		return invalid("timeout-ms", "give more than 0", "it is %d", r.TimeoutMs)
	}
	r.Splits = slices.DeleteFunc(r.Splits, func(s Split) bool { return s.Weight == 0 }) // nothing goes there
	return nil
}

// index finds names and places that are used twice, and orders each host's routes for Match.
func (d *Doc) index() error {
	type place struct{ host, prefix string }
	byName, byPlace := make(map[string]bool, len(d.Routes)), make(map[place]string, len(d.Routes))
	for _, r := range d.Routes {
		if byName[r.Name] {
			return invalid(clip(r.Name)+".name", "give each route its own name", "another route has it")
		}
		byName[r.Name] = true
		p := place{r.Host, r.Prefix}
		if other, ok := byPlace[p]; ok {
			return invalid(clip(r.Name)+".path-prefix", "change or remove one of them",
				"route %q has the same host and prefix", clip(other))
		}
		byPlace[p] = r.Name
		d.byHost[r.Host] = append(d.byHost[r.Host], r)
	}
	for _, rs := range d.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return nil
}

// checkItems refuses names used twice in a list that this package knows nothing else about, and
// among tenants a key that two of them share.
func checkItems(list string, val []byte) error {
	names, owners := map[string]bool{}, map[string]int{}
	return elements(val, func(i int, item []byte) error {
		if !isObject(item) {
			return nil
		}
		name := ""
		claim := func(_ int, val []byte) error {
			if !isString(val) || len(val) == len(`""`) {
				return nil
			}
			k := text(val)
			if owner, ok := owners[k]; ok && owner != i {
				return invalid("", "give each tenant its own key", "another tenant has the key")
			}
			owners[k] = i
			return nil
		}
		err := members(item, func(field, val []byte) error {
			switch string(field) {
			case "name":
				if isString(val) {
					name = text(val)
				}
			case "key", "keys", "api-key", "api-keys", "api_key", "api_keys", "access-key", "access-keys":
				if list != "tenants" {
					return nil
				}
				if isList(val) {
					return apierror.Within(elements(val, claim), string(field))
				}
				return apierror.Within(claim(0, val), string(field))
			}
			return nil
		})
		if err == nil && name != "" && names[name] {
			return invalid(clip(name)+".name", "give each its own name", "another item has it")
		}
		names[name] = true
		if err != nil {
			return apierror.Within(err, strconv.Itoa(i))
		}
		return nil
	})
}

// Raw is the configuration as it is read back: what was sent, unknown fields included. It may not
// be changed.
func (d *Doc) Raw() json.RawMessage { return d.raw }

// Service returns a service by its name, nil if there is none.
func (d *Doc) Service(name string) *Service { return d.Services[name] }

// Match returns the route for a Host header and a path (without its query): of that host's routes
// the one with the longest prefix that begins the path, nil if none fits.
func (d *Doc) Match(host, path string) *Route {
	for _, r := range d.byHost[foldHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// foldHost makes hosts comparable: lower case, without a port.
func foldHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && (strings.IndexByte(host, ':') == i || host[i-1] == ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}
