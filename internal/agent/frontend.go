package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"chalkdoor.example/chalkdoor/internal/http1"
)

const (
	// acceptAfterSignal is how long connections are accepted after SIGTERM: new ones arrive for up to 0.4 s, and
	// the accept queue must be empty when the listener is closed.
	acceptAfterSignal = 500 * time.Millisecond
	// drainInterval is how often a shutdown checks the connections that are still open.
	drainInterval = 20 * time.Millisecond
	// drainReadDivisor bounds how long a request may still arrive during a shutdown: for the drain time divided
	// by it.
	drainReadDivisor = 4
	// headerTimeout and readTimeout bound how long a head and a complete request may take: a client that
	// sends neither has to get an answer within 3 s.
	headerTimeout, readTimeout = 2 * time.Second, 2500 * time.Millisecond
	// idleTimeout is how long a connection is kept open between requests.
	idleTimeout = 10 * time.Second
	// writeTimeout is how long a client may take to read its response.
	writeTimeout = 2 * time.Second
)

// frontend accepts connections of clients and serves their requests.
type frontend struct {
	config       *Config
	loop         *eventLoop
	server       *http.Server
	classes      map[string]int // indices by name
	tenants      map[string]int // indices by name
	ready        atomic.Bool
	conns        *clientConns
	openRequests atomic.Int64 // connections that a request keeps open
}

func newFrontend(config *Config) *frontend {
	f := &frontend{config: config, classes: map[string]int{}, tenants: map[string]int{}}
	for i := range config.Settings.Classes {
		f.classes[config.Settings.Classes[i].Name] = i
	}
	for i := range config.Settings.Tenants {
		f.tenants[config.Settings.Tenants[i].Name] = i
	}
	f.conns = newClientConns(config.maxClientConns())
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      readTimeout + writeTimeout, // for invalid requests; begins with the head
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHead,
		ConnState:         f.conns.track,
		ConnContext:       f.conns.withConn,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn),
		// net/http would answer OPTIONS * with 200 by itself.
		DisableGeneralOptionsHandler: true,
	}
	return f
}

// serve accepts clients until shutdown, and then returns nil. If it ends for another reason it returns the error.
func (f *frontend) serve(ln net.Listener) error {
	err := f.server.Serve(&http1.Listener{Listener: ln, InFlight: &f.openRequests})
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// shutdown ends the service without losing a request. New connections arrive for a while after the signal, and
// closing the accept queue would reset them. So connections are still accepted for acceptAfterSignal, and every
// response closes its connection. Then the listener is closed, and pending requests are drained for at most
// drainTime. Connections that have not sent a request by then are not waited for.
func (f *frontend) shutdown(drainTime time.Duration) error {
	f.server.SetKeepAlivesEnabled(false)
	time.Sleep(acceptAfterSignal)
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	readDeadline := time.Now().Add(drainTime / drainReadDivisor)
	done := make(chan error, 1)
	go func() { done <- f.server.Shutdown(ctx) }()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			// The server does not wait for a connection that it closed while a request was open.
			for ctx.Err() == nil && f.openRequests.Load() > 0 {
				<-ticker.C
			}
			return err
		case <-ticker.C: // repeated, as the last connections are tracked with a delay
			f.conns.setReadDeadline(readDeadline)
		}
	}
}

// ServeHTTP answers one request. It implements http.Handler.
func (f *frontend) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	if req.RequestURI == "/-/ready" && req.Method == http.MethodGet && req.ContentLength == 0 {
		f.serveReady(w)
		return
	}
	request, err := f.parseRequest(req, now)
	if err != nil {
		writeError(w, err)
		return
	}
	reserved, err := f.readBody(req, request)
	defer f.loop.memoryBudget.Release(reserved)
	if errors.Is(err, errBodyMemory) {
		// Nothing was forwarded, so a retry is harmless.
		w.Header().Set("Connection", "close")
		f.writeResponse(w, response{outcome: rejected, retryAfterMs: f.config.Settings.Limits.MaxRetryAfterMs})
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	conn, tracked := req.Context().Value(connKey{}).(*http1.ClientConn)
	if tracked {
		if !conn.BeginRequest() {
			return // closed before the request was forwarded: the client sends it again
		}
		defer conn.EndRequest()
	}
	f.conns.requestReceived(req.Context())
	resp, ok := f.forward(req.Context(), request)
	if !ok {
		return
	}
	if tracked && conn.CloseRequested() {
		w.Header().Set("Connection", "close")
	}
	f.writeResponse(w, resp)
	f.loop.memoryBudget.Release(resp.reservedBytes)
}

// forward passes a request to the loop and waits for the response. It returns false if the client is gone.
func (f *frontend) forward(ctx context.Context, request *clientRequest) (response, bool) {
	accepted := make(chan *pendingRequest, 1)
	f.loop.post(func() { accepted <- f.loop.accept(request) })
	select {
	case resp := <-request.response:
		return resp, true
	case <-ctx.Done():
		f.loop.post(func() { f.loop.onClientGone(<-accepted) })
		return response{}, false
	}
}

// serveReady answers a readiness check. The check is not a request under the contract, so 503 is not a rejection
// here.
func (f *frontend) serveReady(w http.ResponseWriter) {
	if !f.ready.Load() {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// writeError answers a request that can't be used, and closes the connection: a client that sends one such
// request sends more, and what follows on the connection may be a part of this one.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var invalid *requestError
	if errors.As(err, &invalid) {
		status = invalid.status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// writeResponse sends the final response.
func (f *frontend) writeResponse(w http.ResponseWriter, resp response) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	switch {
	case resp.outcome == served:
		for name, values := range http1.EndToEnd(resp.header) {
			w.Header()[name] = values
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(resp.body) // an error means that the client is gone
	case resp.outcome == rejected:
		if resp.retryAfterMs > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(resp.retryAfterMs/1000, 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case resp.status >= 400 && resp.status < 500:
		writeError(w, requestErrorf(resp.status, "%s", http.StatusText(resp.status)))
	case resp.status != 0:
		w.WriteHeader(resp.status)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}
