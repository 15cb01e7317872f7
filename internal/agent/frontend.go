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
	// acceptAfterSignal is how long connections are accepted after SIGTERM: new ones arrive for up to 0.4 s,
	// and the accept queue is to be empty then.
	acceptAfterSignal = 500 * time.Millisecond
	// drainInterval is how often a shutdown looks for connections without a request.
	drainInterval = 20 * time.Millisecond
	// drainReadShare is the part of the drain time, as a divisor, in which a request may still arrive.
	drainReadShare = 4
	// headerTimeout and readTimeout bound how long a head and a complete request may take: a client that
	// sends neither has to get an answer within 3 s.
	headerTimeout, readTimeout = 2 * time.Second, 2500 * time.Millisecond
	// idleTimeout is how long a connection is retained between requests.
	idleTimeout = 10 * time.Second
	// writeTimeout is how long a client may take to read its response.
	writeTimeout = 2 * time.Second
)

// frontend serves the clients.
type frontend struct {
	config       *Config
	loop         *eventLoop
	server       *http.Server
	classes      map[string]int // indices by name
	tenants      map[string]int // indices by name
	ready        atomic.Bool
	conns        *clientConns
	openRequests atomic.Int64 // connections that a request holds open
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
		WriteTimeout:      readTimeout + writeTimeout, // of invalid requests; counts from the head
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

// serve accepts clients until shutdown; it returns any other reason to end.
func (f *frontend) serve(ln net.Listener) error {
	err := f.server.Serve(&http1.Listener{Listener: ln, InFlight: &f.openRequests})
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// shutdown ends the service without losing a request. New connections arrive for a while after the signal, and
// closing the accept queue would reset them: so accepting goes on, with every response closing its connection,
// before the listener is closed and pending requests are drained for a time. Connections that have sent no
// request by then are not waited for.
func (f *frontend) shutdown(drainTime time.Duration) error {
	f.server.SetKeepAlivesEnabled(false)
	time.Sleep(acceptAfterSignal)
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	readDeadline := time.Now().Add(drainTime / drainReadShare)
	done := make(chan error, 1)
	go func() { done <- f.server.Shutdown(ctx) }()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			// The server does not count a connection that it closed under a request.
			for ctx.Err() == nil && f.openRequests.Load() > 0 {
				<-ticker.C
			}
			return err
		case <-ticker.C: // again and again, as the last connections become known only after a moment
			f.conns.setReadDeadline(readDeadline)
		}
	}
}

// ServeHTTP answers one request; it is http.Handler's.
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
		// Nothing was sent: a retry is harmless.
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
			return // it is closed; its client sends the request again, of which nothing was forwarded
		}
		defer conn.EndRequest()
	}
	f.conns.requestReceived(req.Context())
	final, ok := f.forward(req.Context(), request)
	if !ok {
		return
	}
	if tracked && conn.CloseRequested() {
		w.Header().Set("Connection", "close")
	}
	f.writeResponse(w, final)
	f.loop.memoryBudget.Release(final.reservedBytes)
}

// forward hands a request to the loop and waits for its response; false: the client is gone.
func (f *frontend) forward(ctx context.Context, request *clientRequest) (response, bool) {
	accepted := make(chan *pendingRequest, 1)
	f.loop.post(func() { accepted <- f.loop.accept(request) })
	select {
	case final := <-request.response:
		return final, true
	case <-ctx.Done():
		f.loop.post(func() { f.loop.onClientGone(<-accepted) })
		return response{}, false
	}
}

// serveReady answers a readiness check, which is no request of the contract: 503 is no rejection here.
func (f *frontend) serveReady(w http.ResponseWriter) {
	if !f.ready.Load() {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// writeError answers a request that can't be used, and closes: a client that sends one sends more, and what
// follows on the connection may be part of it.
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
func (f *frontend) writeResponse(w http.ResponseWriter, final response) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	switch {
	case final.outcome == served:
		for name, values := range http1.EndToEnd(final.header) {
			w.Header()[name] = values
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(final.body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(final.body) // nobody to report an error to: the client is gone
	case final.outcome == rejected:
		if final.retryAfterMs > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(final.retryAfterMs/1000, 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case final.status >= 400 && final.status < 500:
		writeError(w, requestErrorf(final.status, "%s", http.StatusText(final.status)))
	case final.status != 0:
		w.WriteHeader(final.status)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}
