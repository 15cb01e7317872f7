package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/http1"
)

const (
	// cancelledRequestTimeout is how long requests may take to end after they were cancelled.
	// shutdownPollInterval is how often Shutdown checks whether they have ended.
	cancelledRequestTimeout, shutdownPollInterval = 300 * time.Millisecond, 10 * time.Millisecond
	// minMaintenanceInterval and maxMaintenanceInterval bound the time between two rounds of health
	// checks and pool maintenance, unless wakeHealthChecks starts one earlier.
	minMaintenanceInterval, maxMaintenanceInterval = 20 * time.Millisecond, time.Second
)

// Serve accepts client connections on a listener until Shutdown, and then returns nil.
func (g *Gateway) Serve(listener net.Listener) error {
	framing := &framingListener{Listener: listener, rejected: &g.Counters.Rejected, clock: &g.clientConns.clock, limits: g.limits, mayDeny: g.limitMayDeny}
	err := g.server.Serve(&http1.Listener{Listener: framing, InFlight: &g.inFlight})
	if !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve clients")
	}
	return nil
}

// Run checks the health of servers, closes expired connections to servers, and closes connections of clients
// that exceed their limits, until ctx ends. It returns nil once all checks have ended.
func (g *Gateway) Run(ctx context.Context) error {
	var checks sync.WaitGroup
	defer checks.Wait()
	checks.Go(func() { g.clientConns.enforce(ctx, g.limits) })
	timer := time.NewTimer(maxMaintenanceInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			g.pool.closeAll()
			g.lateUploads.closeAll()
			return nil
		case <-g.healthCheckWake:
		case <-timer.C:
		}
		instances, interval := g.maintain(g.now())
		for _, instance := range instances {
			checks.Go(func() { g.checkHealth(ctx, instance) })
		}
		timer.Reset(interval)
	}
}

// maintain closes expired connections to servers. It returns the instances whose health is to be checked now,
// and the time after which it has to be called again.
func (g *Gateway) maintain(now time.Duration) (instances []*registry.Instance, interval time.Duration) {
	g.pool.closeExpired()
	g.mu.Lock()
	defer g.mu.Unlock()
	instances = g.picker.DueHealthChecks(now)
	interval = g.picker.HealthCheckInterval()
	return instances, min(max(interval, minMaintenanceInterval), maxMaintenanceInterval)
}

// BeginShutdown makes the readiness probe fail and every response close its connection, both at the same moment,
// and then closes idle connections. So a client that has learned of the shutdown keeps no connection.
func (g *Gateway) BeginShutdown() {
	g.shuttingDown.Store(true) // also read by ServeHTTP
	g.server.SetKeepAlivesEnabled(false)
}

// Shutdown stops the gateway without dropping requests. For the duration of linger it still accepts
// connections, as clients learn of the shutdown with a delay; every response closes its connection. Then it
// closes the listener and waits for the requests in flight. It cancels those that are left when ctx ends.
func (g *Gateway) Shutdown(ctx context.Context, linger time.Duration) {
	g.BeginShutdown()
	select {
	case <-time.After(linger):
	case <-ctx.Done():
	}
	if err := g.server.Shutdown(ctx); err != nil {
		logevent.RequestsAborted.Log("held", g.inFlight.Load())
		g.cancelRequests()
		g.server.Close()
	}
	// http.Server no longer counts connections that it closed while a request was being served.
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelledRequestTimeout)
	defer cancel()
	for g.inFlight.Load() > 0 && graceCtx.Err() == nil {
		select {
		case <-time.After(shutdownPollInterval):
		case <-graceCtx.Done():
		}
	}
}

// ServeReadiness answers a readiness probe with 200, or with 503 while requests can't be served or
// the gateway shuts down. It takes no lock, so that it answers at once under any load.
func (g *Gateway) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.shuttingDown.Load() || !g.Servable() || !g.keysConfirmed(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
