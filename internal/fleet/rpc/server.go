package rpc

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"
	"storj.io/drpc/drpcserver"
)

// serverIdleTimeout is after what time without a call the server closes a connection: later than any
// Pool stops to use it.
const serverIdleTimeout = 2 * idleTimeout

// Serve answers calls until ctx ends. Then it closes the listener and all connections.
func Serve(ctx context.Context, listener net.Listener, mux *Mux) error {
	return serve(ctx, listener, mux, serverIdleTimeout)
}

// serve closes connections that were without a call for idleTimeout. That includes connections which
// sent something else than a call: drpc does not read on from those.
func serve(ctx context.Context, listener net.Listener, mux *Mux, idleTimeout time.Duration) error {
	options := managerOptions()
	options.InactivityTimeout = idleTimeout
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: options})
	limited := netutil.LimitListener(cutDetectingListener{listener}, maxConnections)
	err := server.Serve(ctx, countingListener{limited})
	if ctx.Err() != nil || err == nil {
		return nil
	}
	return errors.Wrap(err, "serve calls of other agents")
}
