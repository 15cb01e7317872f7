package fleetlab

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Document is a configuration as an operator sends it. It deliberately does not use package config, so that mistakes
// in either are found.
type Document struct {
	Revision int       `json:"revision"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route is one route. Durations are in milliseconds.
type Route struct {
	Name             string  `json:"name"`
	Host             string  `json:"hostname"`
	Prefix           string  `json:"path-prefix"`
	Kind             string  `json:"route-kind"`
	TimeoutMs        int     `json:"timeout-ms"`
	SetpointMs       int     `json:"setpoint-ms"`
	Priority         int     `json:"admission-priority"`
	Service          string  `json:"target-service,omitempty"`
	Split            []Split `json:"weighted-split,omitempty"`
	MaxAttempts      int     `json:"max-attempts"`
	Affinity         bool    `json:"affinity"`
	Resumable        bool    `json:"resumable"`
	EventGapTargetMs int     `json:"gap_aim_ms,omitempty"`
	Comment          string  `json:"x-note,omitempty"` // an unknown field, which has to be preserved
}

// Split is the weight of a service within the traffic of a route.
type Split struct {
	Service string  `json:"target-service"`
	Weight  float64 `json:"weight"`
}

// Service is a group of model servers.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health-path"`
	ConnLimit  int    `json:"conn-limit"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
	Engine     Engine `json:"inference-engine"`
}

// Engine describes the inference engine of a service's servers.
type Engine struct {
	Slots        int           `json:"slots"`
	CacheTokens  int           `json:"cache-tokens"`
	KVTokenBytes int           `json:"kv-token-bytes"`
	LinkMbps     float64       `json:"link-mbps"`
	Stride       int           `json:"stride"`
	Models       []EngineModel `json:"models"`
}

// EngineModel is a model that a service serves.
type EngineModel struct {
	Name string `json:"name"`
}

// Limits bound what clients may send, in bytes and milliseconds.
type Limits struct {
	HeaderBytes int `json:"header-bytes"`
	BodyBytes   int `json:"body-bytes"`
	HeaderMs    int `json:"header-ms"`
	IdleMs      int `json:"idle-ms"`
}

// Patch is a change of some items of a configuration.
type Patch struct {
	Revision int    `json:"revision"`
	Upsert   Upsert `json:"upsert"`
	Remove   Remove `json:"remove"`
}

// Upsert adds items or replaces them by name.
type Upsert struct {
	Routes   []Route   `json:"routes,omitempty"`
	Services []Service `json:"services,omitempty"`
}

// Remove removes items by name.
type Remove struct {
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"services,omitempty"`
}

// clone returns a copy that shares no list with the original.
func (d *Document) clone() *Document {
	c := *d
	c.Routes, c.Services = slices.Clone(d.Routes), slices.Clone(d.Services)
	return &c
}

// withPatch returns a copy with a patch applied.
func (d *Document) withPatch(p *Patch) *Document {
	c := d.clone()
	c.Revision = p.Revision
	for _, r := range p.Upsert.Routes {
		if i := slices.IndexFunc(c.Routes, func(x Route) bool { return x.Name == r.Name }); i >= 0 {
			c.Routes[i] = r
		} else {
			c.Routes = append(c.Routes, r)
		}
	}
	for _, s := range p.Upsert.Services {
		if i := slices.IndexFunc(c.Services, func(x Service) bool { return x.Name == s.Name }); i >= 0 {
			c.Services[i] = s
		} else {
			c.Services = append(c.Services, s)
		}
	}
	c.Routes = slices.DeleteFunc(c.Routes, func(r Route) bool { return slices.Contains(p.Remove.Routes, r.Name) })
	c.Services = slices.DeleteFunc(c.Services, func(s Service) bool { return slices.Contains(p.Remove.Services, s.Name) })
	return c
}

// route returns the route with the longest prefix that matches a request; nil if none matches.
func (d *Document) route(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	var best *Route
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// services returns the services that may serve a request.
func (d *Document) services(host, target string) []string {
	r := d.route(host, target)
	if r == nil {
		return nil
	}
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	var out []string
	for _, s := range r.Split {
		if s.Weight > 0 {
			out = append(out, s.Service)
		}
	}
	return out
}

// matchesJSON returns an error if the JSON text is a different configuration. The order of routes and services does not
// matter.
func (d *Document) matchesJSON(text []byte) error {
	want, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	sent, err := decodeByName(want)
	if err != nil {
		return err
	}
	readBack, err := decodeByName(text)
	if err != nil {
		return err
	}
	for key := range sent {
		if !reflect.DeepEqual(sent[key], readBack[key]) {
			return errors.Errorf("%s: sent %v, read back %v", key, sent[key], readBack[key])
		}
	}
	return nil
}

// decodeByName decodes a configuration and turns its lists of routes and services into maps by name.
func decodeByName(text []byte) (map[string]any, error) {
	var m map[string]any
	dec := json.NewDecoder(bytes.NewReader(text))
	if err := dec.Decode(&m); err != nil {
		return nil, errors.Wrap(err, "configuration read back")
	}
	for _, list := range []string{"routes", "services"} {
		items, _ := m[list].([]any)
		named := map[string]any{}
		for _, item := range items {
			o, _ := item.(map[string]any)
			name, _ := o["name"].(string)
			if named[name] != nil {
				return nil, errors.Errorf("configuration read back: %s contains %q twice", list, name)
			}
			named[name] = item
		}
		m[list] = named
	}
	return m, nil
}
