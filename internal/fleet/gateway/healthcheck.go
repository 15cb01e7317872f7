package gateway

import (
	"context"
	"net/http"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/http1"
)

const (
	// healthCheckTimeout bounds one health check.
	healthCheckTimeout = 500 * time.Millisecond
	// defaultHealthPath is the path of health checks if the configuration has none.
	defaultHealthPath = "/health"
)

// wakeHealthChecks makes Run look for due health checks at once.
func (g *Gateway) wakeHealthChecks() {
	select {
	case g.healthCheckWake <- struct{}{}:
	default: // already woken
	}
}

// checkHealth checks the health of a server and reports the result to the balancer.
func (g *Gateway) checkHealth(ctx context.Context, instance *registry.Instance) {
	healthy, load := g.probeHealth(ctx, instance)
	now := g.now()
	g.mu.Lock()
	g.picker.HealthCheckDone(now, instance.ID, healthy, load)
	g.mu.Unlock()
	g.wakeHealthChecks()
}

// probeHealth sends a health check to a server. It returns whether the server is healthy and the load
// that it reports, or nil if it reports none.
func (g *Gateway) probeHealth(ctx context.Context, instance *registry.Instance) (healthy bool, load *balancer.Load) {
	deadline := time.Now().Add(healthCheckTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, _, err := g.pool.get(ctx, instance, deadline)
	if err != nil {
		return false, nil
	}
	reusable := false
	defer func() {
		if reusable {
			g.pool.put(conn)
		} else {
			g.pool.close(conn)
		}
	}()
	conn.SetDeadline(deadline)
	head := "GET " + g.healthPath(instance.Service) + " HTTP/1.1\r\nHost: " + instance.Addr + "\r\n\r\n"
	if _, err := conn.Write([]byte(head)); err != nil {
		return false, nil
	}
	response, err := http1.ReadResponseHead(conn.reader)
	if err != nil {
		return false, nil
	}
	if _, err := readBoundedBody(conn, response, http.MethodGet); err != nil {
		return false, nil
	}
	reusable = !response.Close
	conn.keepAlive = parseKeepAlive(response.Header.Get("Keep-Alive"))
	instanceID := response.Header.Get(headerInstanceID)
	isInstance := instanceID == "" || instanceID == instance.ID
	return response.StatusCode == http.StatusOK && isInstance, parseLoad(response.Header.Get(headerServerLoad))
}

// healthPath returns the path of the health checks of a service.
func (g *Gateway) healthPath(service string) string {
	document := g.snapshot.Load().Config
	if document == nil {
		return defaultHealthPath
	}
	if configured := document.Services[service]; configured != nil && configured.HealthPath != "" {
		return configured.HealthPath
	}
	return defaultHealthPath
}
