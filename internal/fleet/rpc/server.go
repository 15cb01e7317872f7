package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

const (
	// serverIdleTimeout is the time without a call after which the server closes a connection. By then no
	// Pool reuses the connection any more.
	serverIdleTimeout = 2 * idleTimeout
	// acceptRetryDelay is the pause after a connection that could not be accepted, for example as the process
	// has no file descriptor left.
	acceptRetryDelay = 100 * time.Millisecond
)

// ServerOptions configure a server.
type ServerOptions struct {
	// MemoryBytes is the memory limit of the process, from which the bounds of connections and calls are derived.
	MemoryBytes int64
	// IsPriority reports whether a caller at an address is served however many others call. Such callers are few:
	// the members of the core. It may be nil.
	IsPriority func(net.Addr) bool
	// Stats counts what is admitted and refused. It may be nil.
	Stats *ServerStats
}

// Serve answers calls until ctx ends. Then it closes the listener and all connections.
func Serve(ctx context.Context, listener net.Listener, mux *Mux, options ServerOptions) error {
	return serve(ctx, listener, mux, options, serverIdleTimeout)
}

// serve is Serve with another idle timeout: it closes connections that had no call for idleTimeout. That
// includes connections that sent something other than a call, as drpc stops reading from those.
func serve(ctx context.Context, listener net.Listener, mux *Mux, options ServerOptions, idleTimeout time.Duration) error {
	managerOptions := managerOptions()
	managerOptions.InactivityTimeout = idleTimeout
	admitted := newAdmission(options)
	server := drpcserver.NewWithOptions(admittingHandler{mux, admitted}, drpcserver.Options{Manager: managerOptions})
	err := acceptConnections(ctx, partitionDetectingListener{listener}, server, admitted)
	if ctx.Err() != nil || err == nil {
		return nil
	}
	return errors.Wrap(err, "serve calls of other agents")
}

// acceptConnections serves the connections that are admitted until ctx ends or the listener fails. It returns once
// all handlers have ended. A connection counts until then, because what its handlers hold is not free before,
// even if the caller left long ago.
func acceptConnections(ctx context.Context, listener net.Listener, server *drpcserver.Server, admitted *admission) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	defer func() { _ = listener.Close() }()
	for {
		accepted, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			closeConn(accepted)
			return nil
		case isTemporary(err):
			pause(ctx, acceptRetryDelay)
			continue
		case err != nil:
			return err
		}
		conn := &countingConn{Conn: accepted}
		release, ok := admitted.admitConnection(conn)
		if !ok {
			closeConn(accepted)
			continue
		}
		connections.Go(func() {
			defer release()
			_ = server.ServeOne(ctx, conn) // the caller has left, or sent something other than a call
		})
	}
}

// isTemporary reports whether further connections can be accepted after an error.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

// pause waits for a duration or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// closeConn closes a connection, if there is one.
func closeConn(conn net.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// admittingHandler runs those calls of a mux that are admitted.
type admittingHandler struct {
	mux      *Mux
	admitted *admission
}

// HandleRPC implements drpc.Handler.
func (h admittingHandler) HandleRPC(stream drpc.Stream, name string) error {
	call, err := h.mux.call(name)
	if err != nil {
		return err
	}
	return h.admitted.runCall(stream, call)
}
