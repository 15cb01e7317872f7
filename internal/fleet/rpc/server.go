package rpc

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"
	"storj.io/drpc/drpcserver"
)

// serverIdleTimeout is the time without a call after which the server closes a connection. By then no
// Pool reuses the connection any more.
const serverIdleTimeout = 2 * idleTimeout

// Serve answers calls until ctx ends. Then it closes the listener and all connections.
func Serve(ctx context.Context, listener net.Listener, mux *Mux) error {
	return serve(ctx, listener, mux, serverIdleTimeout)
}

// serve is Serve with another idle timeout: it closes connections that had no call for idleTimeout. That
// includes connections that sent something other than a call, as drpc stops reading from those.
func serve(ctx context.Context, listener net.Listener, mux *Mux, idleTimeout time.Duration) error {
	options := managerOptions()
	options.InactivityTimeout = idleTimeout
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: options})
	limited := netutil.LimitListener(partitionDetectingListener{listener}, maxConnections)
	err := server.Serve(ctx, countingListener{limited})
	if ctx.Err() != nil || err == nil {
		return nil
	}
	return errors.Wrap(err, "serve calls of other agents")
}
