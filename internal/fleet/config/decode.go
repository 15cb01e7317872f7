package config

import (
	"math"
	"slices"
	"strconv"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

func decodeRevision(to *int64, value []byte) error {
	var number float64
	if err := decodeFloat(&number, []byte("revision"), value); err != nil {
		return err
	}
	if number != math.Trunc(number) || decodeInt(to, []byte("revision"), value) != nil {
		return invalidError("revision", "give a whole number above the current one", "it is %s", truncate(value))
	}
	return nil
}

func (d *Document) decodeLimits(limits []byte) error {
	if isNull(limits) {
		return nil
	}
	if !isObject(limits) {
		return typeError(nil, "an object")
	}
	return forEachMember(limits, func(key, value []byte) error {
		switch string(key) {
		case "header-bytes":
			return decodeInt(&d.Limits.HeaderBytes, key, value)
		case "body-bytes":
			return decodeInt(&d.Limits.BodyBytes, key, value)
		case "header-ms":
			return decodeInt(&d.Limits.HeaderMs, key, value)
		case "idle-ms":
			return decodeInt(&d.Limits.IdleMs, key, value)
		}
		return nil
	})
}

func (d *Document) decodeService(item []byte) (name string, err error) {
	service := &Service{}
	err = forEachMember(item, func(key, value []byte) error {
		switch string(key) {
		case "name":
			return decodeString(&service.Name, key, value)
		case "health-path":
			return decodeString(&service.HealthPath, key, value)
		case "conn-limit":
			return decodeInt(&service.ConnLimit, key, value)
		case "inference-engine":
			return apierror.PrefixKey(service.decodeEngine(value), string(key))
		}
		return nil
	})
	switch {
	case err != nil:
	case service.Name == "":
		err = invalidError("name", "give the service a name", "it is missing")
	case d.Services[service.Name] != nil:
		err = invalidError("name", "give each service its own name", "another service has it")
	}
	d.Services[service.Name] = service
	return service.Name, err
}

func (s *Service) decodeEngine(object []byte) error {
	if isNull(object) {
		return nil
	}
	if !isObject(object) {
		return typeError(nil, "an object")
	}
	engine := &Engine{}
	s.Engine = engine
	return forEachMember(object, func(key, value []byte) error {
		switch string(key) {
		case "slots":
			return decodeInt(&engine.Slots, key, value)
		case "cache-tokens":
			return decodeInt(&engine.CacheTokens, key, value)
		case "kv-token-bytes":
			return decodeInt(&engine.KVTokenBytes, key, value)
		case "link-mbps":
			return decodeFloat(&engine.LinkMbps, key, value)
		case "stride":
			return decodeInt(&engine.TokensPerEvent, key, value)
		case "models":
			return engine.decodeModels(key, value)
		}
		return nil
	})
}

func (e *Engine) decodeModels(key, value []byte) error {
	if isNull(value) {
		return nil
	}
	if !isArray(value) {
		return typeError(key, "a list")
	}
	err := forEachElement(value, func(_ int, model []byte) error {
		name, err := nameOf(model)
		if name != "" {
			e.Models = append(e.Models, name)
		}
		return err
	})
	return apierror.PrefixKey(err, string(key))
}

// nameOf returns the name of an item, or "" if it has none.
func nameOf(item []byte) (name string, err error) {
	if !isObject(item) {
		return "", nil
	}
	err = forEachMember(item, func(key, value []byte) error {
		if string(key) == "name" && isString(value) {
			name = unquote(value)
		}
		return nil
	})
	return name, err
}

func (d *Document) decodeRoute(item []byte) (name string, err error) {
	route := &Route{}
	var service string
	err = forEachMember(item, func(key, value []byte) error {
		switch string(key) {
		case "target-service":
			return decodeString(&service, key, value)
		case "weighted-split":
			return apierror.PrefixKey(route.decodeSplits(value), string(key))
		}
		return route.decodeField(key, value)
	})
	if err != nil {
		return route.Name, err
	}
	route.Host = normalizeHost(route.Host)
	route.MaxAttempts = max(route.MaxAttempts, 1)
	d.Routes = append(d.Routes, route)
	if service != "" && route.Splits == nil {
		route.Splits = []Split{{Service: service, Weight: 1}}
	}
	if service != "" && d.Services[service] == nil {
		return route.Name, unknownServiceError("target-service", service)
	}
	if err := d.validateRoute(route); err != nil {
		return route.Name, err
	}
	route.Splits = slices.DeleteFunc(route.Splits, func(split Split) bool { return split.Weight == 0 })
	return route.Name, nil
}

// decodeField decodes a member of a route other than target-service and weighted-split.
func (r *Route) decodeField(key, value []byte) error {
	switch string(key) {
	case "name":
		return decodeString(&r.Name, key, value)
	case "hostname":
		return decodeString(&r.Host, key, value)
	case "path-prefix":
		return decodeString(&r.Prefix, key, value)
	case "route-kind":
		return decodeString((*string)(&r.Kind), key, value)
	case "timeout-ms":
		return decodeInt(&r.TimeoutMs, key, value)
	case "setpoint-ms":
		return decodeInt(&r.LatencyTargetMs, key, value)
	case "admission-priority":
		return decodeInt(&r.Priority, key, value)
	case "max-attempts":
		return decodeInt(&r.MaxAttempts, key, value)
	case "affinity":
		return decodeBool(&r.Affinity, key, value)
	case "resumable":
		return decodeBool(&r.Resumable, key, value)
	case "keyless":
		return decodeBool(&r.Keyless, key, value)
	case "gap_aim_ms":
		return decodeInt(&r.InterTokenTargetMs, key, value)
	}
	return nil
}

// decodeSplits decodes a weighted split. The weights of a service that is named several times are added.
func (r *Route) decodeSplits(list []byte) error {
	if isNull(list) {
		return nil
	}
	if !isArray(list) {
		return typeError(nil, "a list")
	}
	return forEachElement(list, func(i int, element []byte) error {
		split, err := decodeSplit(i, element)
		if err != nil {
			return err
		}
		sameService := func(other Split) bool { return other.Service == split.Service }
		if j := slices.IndexFunc(r.Splits, sameService); j >= 0 {
			r.Splits[j].Weight += split.Weight
		} else {
			r.Splits = append(r.Splits, split)
		}
		return nil
	})
}

func decodeSplit(i int, element []byte) (split Split, err error) {
	if !isObject(element) {
		return split, typeError([]byte(strconv.Itoa(i)), "an object")
	}
	err = forEachMember(element, func(key, value []byte) error {
		switch string(key) {
		case "target-service":
			return decodeString(&split.Service, key, value)
		case "weight":
			return decodeFloat(&split.Weight, key, value)
		}
		return nil
	})
	if err == nil && split.Weight < 0 {
		err = invalidError("weight", "give 0 or more", "it is %v", split.Weight)
	}
	if err != nil {
		return split, apierror.PrefixKey(err, strconv.Itoa(i))
	}
	return split, nil
}
