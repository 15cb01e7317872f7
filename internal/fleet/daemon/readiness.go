package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// readinessHeaderTimeout bounds the header of a readiness check.
	readinessHeaderTimeout = 5 * time.Second
	// readinessIdleTimeout bounds the pause between two checks on a connection.
	readinessIdleTimeout = 30 * time.Second
)

// serveReadiness answers the entry's readiness checks until ctx ends.
func (d *Daemon) serveReadiness(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: http.HandlerFunc(d.handleReadiness), ReadHeaderTimeout: readinessHeaderTimeout, IdleTimeout: readinessIdleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// handleReadiness answers one readiness check. A process is not ready from the moment on at which it
// begins to shut down, whatever its components still wait for.
func (d *Daemon) handleReadiness(w http.ResponseWriter, r *http.Request) {
	if d.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.gateway.ServeReadiness(w, r)
}
