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
	// cancelledRequestTimeout is how long requests may take to end once they are cancelled, and
	// shutdownPollInterval how often Shutdown looks whether they have.
	cancelledRequestTimeout, shutdownPollInterval = 300 * time.Millisecond, 10 * time.Millisecond
	// minMaintenanceInterval and maxMaintenanceInterval bound the time between two rounds of health
	// checks and pool maintenance, unless something wakes them earlier.
	minMaintenanceInterval, maxMaintenanceInterval = 20 * time.Millisecond, time.Second
)

// Serve accepts clients on a listener until Shutdown, and then returns nil.
func (g *Gateway) Serve(listener net.Listener) error {
	framing := &framingListener{Listener: listener, rejected: &g.Counters.Rejected, clock: &g.clientConns.clock, limits: g.limits}
	err := g.server.Serve(&http1.Listener{Listener: framing, InFlight: &g.inFlight})
	if !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve clients")
	}
	return nil
}

// Run checks the health of servers, closes expired connections to them, and those of clients that exceed
// their limits, until ctx ends. It returns nil once all checks have ended.
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
		due, next := g.maintain(g.now())
		for _, instance := range due {
			checks.Go(func() { g.checkHealth(ctx, instance) })
		}
		timer.Reset(next)
	}
}

// maintain closes expired connections to servers, and returns the instances whose health is to be checked now
// and after which time it wants to be called again.
func (g *Gateway) maintain(now time.Duration) (due []*registry.Instance, next time.Duration) {
	g.pool.closeExpired()
	g.mu.Lock()
	defer g.mu.Unlock()
	due = g.picker.DueHealthChecks(now)
	next = g.picker.HealthCheckInterval()
	return due, min(max(next, minMaintenanceInterval), maxMaintenanceInterval)
}

// Shutdown ends service without dropping requests. For the time of linger connections are still
// accepted, as clients learn of the shutdown late; every response closes its connection. Then the
// listener is closed and the requests in flight are waited for until ctx ends, which cancels them.
func (g *Gateway) Shutdown(ctx context.Context, linger time.Duration) {
	g.shuttingDown.Store(true)
	g.server.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(linger):
	case <-ctx.Done():
	}
	if err := g.server.Shutdown(ctx); err != nil {
		logevent.RequestsAborted.Log("held", g.inFlight.Load())
		g.cancelRequests()
		g.server.Close()
	}
	// The server no longer counts connections that it closed under a request.
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelledRequestTimeout)
	defer cancel()
	for g.inFlight.Load() > 0 && grace.Err() == nil {
		select {
		case <-time.After(shutdownPollInterval):
		case <-grace.Done():
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
