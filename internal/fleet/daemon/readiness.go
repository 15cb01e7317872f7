package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// readinessHeaderTimeout bounds the time to read the header of a readiness check.
	readinessHeaderTimeout = 5 * time.Second
	// readinessIdleTimeout bounds the time between two checks on a connection.
	readinessIdleTimeout = 30 * time.Second
)

// serveReadiness answers the entry's readiness checks until ctx ends.
func (d *Daemon) serveReadiness(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           http.HandlerFunc(d.handleReadiness),
		ReadHeaderTimeout: readinessHeaderTimeout,
		IdleTimeout:       readinessIdleTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// handleReadiness answers one readiness check. As soon as the process begins to shut down it is not
// ready, even while its components still serve requests.
func (d *Daemon) handleReadiness(w http.ResponseWriter, r *http.Request) {
	if d.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.gateway.ServeReadiness(w, r)
}
