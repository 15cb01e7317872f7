package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/http1"
)

const (
	// defaultRetryAfter is the Retry-After of a request for which no server was available.
	defaultRetryAfter = 400 * time.Millisecond
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 10 * time.Millisecond
	// rejectedBodyTimeout is how long the body of a rejected request may take to arrive.
	rejectedBodyTimeout = 200 * time.Millisecond
	// finalWriteTimeout is how long after the deadline of a request its response may still be written.
	finalWriteTimeout = 250 * time.Millisecond
)

// The reasons for which the gateway refuses a request, as logged with logevent.RequestRejected.
const (
	reasonStarting = "starting"
	reasonMemory   = "memory"
	reasonAttempts = "attempts"
	reasonBudget   = "budget"
	// reasonOutdated means that the configuration, which may be out of date, does not allow the request.
	reasonOutdated = "outdated"
	// reasonUnconfirmed means that an API key may have been revoked without this process knowing it.
	reasonUnconfirmed = "unconfirmed"
	// reasonQuota means that no core member decided whether the tenant's quota allows the request.
	reasonQuota = "quota"
)

// ServeHTTP handles one request of a client. It panics with http.ErrAbortHandler if the response can't be
// completed, so that the client sees a truncated response.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	receivedAt := time.Now()
	g.Counters.Requests.Add(1)
	conn, _ := req.Context().Value(clientConnKey{}).(*http1.ClientConn)
	if conn != nil {
		if framed := framingConnOf(conn); framed != nil {
			defer framed.served.Add(1)
		}
	}
	if g.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	mayDeny := g.configMayDeny(receivedAt) // before the snapshot is loaded
	snapshot, refusal := g.servableSnapshot(req.Context(), receivedAt)
	if refusal != "" {
		if refusal == reasonUnconfirmed {
			w.Header().Set("Connection", "close") // the client reconnects, perhaps to an agent that has confirmed keys
			g.Counters.Unconfirmed.Add(1)
		}
		g.refuse(w, g.startupRetryAfter(), refusal)
		return
	}
	r, err := g.receive(w, req, snapshot, receivedAt)
	if err != nil {
		g.rejectOrRefuse(w, err, mayDeny)
		return
	}
	defer g.bodyMemory.Release(r.reservedBytes)
	if conn != nil {
		if !conn.BeginRequest() {
			// The connection was closed before the request was forwarded. No server has executed the
			// request, so the client can safely send it again.
			panic(http.ErrAbortHandler)
		}
		defer conn.EndRequest()
		if conn.CloseRequested() {
			w.Header().Set("Connection", "close")
		}
	}
	// The configuration may have changed while the body arrived. A request must not be sent
	// according to an outdated one.
	mayDeny = g.configMayDeny(receivedAt)
	if current := g.snapshot.Load(); current.Config != snapshot.Config {
		if r, err = reparse(req, current, r); err != nil {
			g.rejectOrRefuse(w, err, mayDeny)
			return
		}
	}
	if !g.admitByQuota(req.Context(), w, r) {
		return
	}
	defer limitWriteTime(w, r.deadline.Add(finalWriteTimeout))()
	if !g.forward(req.Context(), w, r) {
		g.returnQuota(r)
	}
}

// receive parses a request and reads its body.
func (g *Gateway) receive(w http.ResponseWriter, req *http.Request, snapshot *relay.Snapshot, receivedAt time.Time) (*request, error) {
	r, err := parseRequest(req, snapshot, receivedAt)
	if err != nil {
		return nil, err
	}
	if err := g.readBody(w, req, r, snapshot); err != nil {
		return nil, err
	}
	return r, nil
}

// limitWriteTime makes writes to a client fail from the deadline on, because a client that does not read
// would keep its server occupied. The returned function removes the limit, so that it does not affect the
// next request on the connection.
func limitWriteTime(w http.ResponseWriter, deadline time.Time) (release func()) {
	expired := make(chan struct{})
	timer := time.AfterFunc(time.Until(deadline), func() {
		defer close(expired)
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now()) // writes to a closed connection fail anyway
	})
	return func() {
		if !timer.Stop() {
			<-expired
		}
	}
}

// clientConnKey is the context key of a client's connection, a *http1.ClientConn.
type clientConnKey struct{}

// withClientConn adds a client's connection to the context of its requests.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	if clientConn, ok := conn.(*http1.ClientConn); ok {
		return context.WithValue(ctx, clientConnKey{}, clientConn)
	}
	return ctx
}

// rejectOrRefuse answers a request that could not be received. mayDeny is the result of configMayDeny before
// the configuration was loaded.
func (g *Gateway) rejectOrRefuse(w http.ResponseWriter, err error, mayDeny bool) {
	var invalid *requestError
	switch {
	case errors.Is(err, errBodyMemory):
		g.refuse(w, defaultRetryAfter, reasonMemory)
	case errors.As(err, &invalid) && invalid.byConfig && !mayDeny:
		g.refuseOutdated(w)
	default:
		g.reject(w, err)
	}
}

// refuse answers a request that was not executed with 503 and Retry-After.
func (g *Gateway) refuse(w http.ResponseWriter, retryAfter time.Duration, reason string) {
	g.Counters.Refused.Add(1)
	logevent.RequestRejected.Log("why", reason, "after", retryAfter)
	setRetryAfter(w, max(retryAfter, minRetryAfter))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setRetryAfter sets the Retry-After field of a response, in seconds.
func setRetryAfter(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
}

// reject answers an invalid request with the status of its requestError.
func (g *Gateway) reject(w http.ResponseWriter, err error) {
	g.Counters.Rejected.Add(1)
	status := http.StatusBadRequest
	var invalid *requestError
	if errors.As(err, &invalid) {
		status = invalid.status
	}
	if status == http.StatusUnauthorized {
		g.Counters.Unauthorized.Add(1)
	}
	if status != http.StatusNotFound && status != http.StatusUnauthorized {
		// net/http reads the rest of the body: limit how long it waits for it.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(rejectedBodyTimeout))
		w.Header().Set("Connection", "close")
	}
	g.logDenial(status, err)
	http.Error(w, err.Error(), status)
}
