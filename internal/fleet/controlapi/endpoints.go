package controlapi

import (
	"net/http"
	"net/url"
	"strings"

	"chalkdoor.example/chalkdoor/internal/fleet/config"
)

// maxParameterBytes bounds the parameter of a path, such as a server's ID.
const maxParameterBytes = 256

// Endpoint is one call that the server answers.
type Endpoint struct {
	Method       string
	Path         string // the last segment may be a parameter, such as {id}
	MaxBodyBytes int64
	Summary      string // description for documentation
	handle       func(*Server, *exchange)
}

var endpoints = []Endpoint{
	{http.MethodPut, "/chalkdoor/instances/{id}", 64 << 10, "a server's heartbeat", (*Server).handleHeartbeat},
	{http.MethodDelete, "/chalkdoor/instances/{id}", 4 << 10, "deregister a server", (*Server).handleDeregister},
	{http.MethodPut, "/chalkdoor/config", config.MaxBody, "submit a complete configuration", (*Server).handlePut},
	{http.MethodPatch, "/chalkdoor/config", config.MaxBody, "change named items of the configuration", (*Server).handlePatch},
	{http.MethodGet, "/chalkdoor/config", 0, "read the newest configuration", (*Server).handleConfig},
	{http.MethodGet, "/chalkdoor/ops/{what}", 0, "inspect " + strings.Join(Resources, ", ") + " at this agent", (*Server).handleInspect},
}

// Endpoints returns all calls that the server answers.
func Endpoints() []Endpoint { return append([]Endpoint(nil), endpoints...) }

// findEndpoint returns the endpoint of a request and the value of the path's parameter. If there is no
// endpoint, allowed lists the methods that the path supports.
func findEndpoint(method, path string) (endpoint *Endpoint, parameter string, allowed []string) {
	for i := range endpoints {
		candidate := &endpoints[i]
		value, ok := candidate.matchPath(path)
		switch {
		case !ok:
		case candidate.Method == method:
			return candidate, value, nil
		default:
			allowed = append(allowed, candidate.Method)
		}
	}
	return nil, "", allowed
}

// matchPath reports whether a path is the endpoint's. If so, it returns the value of the path's
// parameter, which is empty if the endpoint has none.
func (e *Endpoint) matchPath(path string) (value string, ok bool) {
	prefix, parameter, _ := strings.Cut(e.Path, "{")
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok || (parameter == "") != (rest == "") || strings.Contains(rest, "/") {
		return "", false
	}
	value, err := url.PathUnescape(rest)
	return value, err == nil && len(value) <= maxParameterBytes
}
