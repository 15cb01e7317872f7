package rpc

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcerr"
)

// A process that can't keep up must not hold ever more for callers that time out and call again. So a connection
// beyond the bound is closed at once, a short call beyond the bound is refused at once, and a call whose caller
// has left does not begin. A reserve of connections is for priority callers, so that others can't crowd them out.

const (
	// connectionsPerMB is the number of connections that are served at once for each MB of the process's memory
	// limit. A connection takes 13 KB of heap, and 15 KB for the stacks of its goroutines. The bound lies between minConnections and maxConnections.
	connectionsPerMB = 5
	minConnections   = 256
	maxConnections   = 2048
	// priorityDivisor divides the bound of connections: the quotient is the reserve, which is added to the bound.
	priorityDivisor = 4
	// callsDivisor divides the bound of connections: the quotient bounds the short calls that run at once.
	callsDivisor = 4

	bytesPerMB = 1 << 20
)

var (
	errBusy       = errors.New("the agent is too busy: call another")
	errCallerLeft = errors.New("the caller has left")
)

// ServerStats counts what a server admits and refuses. Its fields are read at any time.
type ServerStats struct {
	Connections        atomic.Int64 // connections that are served, without those in the reserve
	Reserved           atomic.Int64 // connections in the reserve that are served
	Calls              atomic.Int64 // short calls that run, without those of priority callers
	RefusedConnections atomic.Int64 // connections closed at once, since the start
	RefusedCalls       atomic.Int64 // short calls refused at once, since the start
	AbandonedCalls     atomic.Int64 // calls and sessions whose caller had left before they began, since the start
}

// admission bounds the connections and the short calls of a server.
type admission struct {
	maxConnections, maxReserved, maxCalls int64
	isPriority                            func(net.Addr) bool
	stats                                 *ServerStats
}

// newAdmission returns the admission for the given options.
func newAdmission(options ServerOptions) *admission {
	limit := min(max(options.MemoryBytes/bytesPerMB*connectionsPerMB, minConnections), maxConnections)
	admitted := &admission{maxConnections: limit, maxReserved: limit / priorityDivisor, maxCalls: limit / callsDivisor,
		isPriority: options.IsPriority, stats: options.Stats}
	if admitted.isPriority == nil {
		admitted.isPriority = func(net.Addr) bool { return false }
	}
	if admitted.stats == nil {
		admitted.stats = &ServerStats{}
	}
	return admitted
}

// admitConnection reports whether a new connection may be served. The caller must call release once nothing of
// the connection is held any more.
func (a *admission) admitConnection(conn *countingConn) (release func(), admitted bool) {
	conn.isPriority = func() bool { return a.isPriority(conn.RemoteAddr()) }
	if conn.isPriority() && take(&a.stats.Reserved, a.maxReserved) {
		return func() { a.stats.Reserved.Add(-1) }, true
	}
	if take(&a.stats.Connections, a.maxConnections) {
		return func() { a.stats.Connections.Add(-1) }, true
	}
	a.stats.RefusedConnections.Add(1)
	return nil, false
}

// take adds one to what is taken and reports true, unless the limit is reached.
func take(taken *atomic.Int64, limit int64) bool {
	if taken.Add(1) <= limit {
		return true
	}
	taken.Add(-1)
	return false
}

// runCall runs the handler of a call if the call is admitted.
func (a *admission) runCall(stream drpc.Stream, call registeredCall) error {
	if stream.Context().Err() != nil { // the connection has ended
		a.stats.AbandonedCalls.Add(1)
		return errCallerLeft
	}
	if !call.isShort || isPriorityCall(stream.Context()) {
		return call.handle(stream)
	}
	if !take(&a.stats.Calls, a.maxCalls) {
		a.stats.RefusedCalls.Add(1)
		return drpcerr.WithCode(errBusy, codeBusy)
	}
	defer a.stats.Calls.Add(-1)
	return call.handle(stream)
}

// isPriorityCall reports whether a call came on the connection of a priority caller.
func isPriorityCall(ctx context.Context) bool {
	transport, _ := drpcctx.Transport(ctx)
	conn, ok := transport.(*countingConn)
	return ok && conn.isPriorityNow()
}

// Values returns the counts by name.
func (s *ServerStats) Values() map[string]int64 {
	return map[string]int64{
		"peer-connections":          s.Connections.Load(),
		"peer-connections-reserved": s.Reserved.Load(),
		"peer-connections-refused":  s.RefusedConnections.Load(),
		"peer-calls":                s.Calls.Load(),
		"peer-calls-refused":        s.RefusedCalls.Load(),
		"peer-calls-abandoned":      s.AbandonedCalls.Load(),
	}
}
