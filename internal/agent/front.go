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
	// acceptAfterSignal is how long connections still come after SIGTERM: 0.4 s at most, and
	// what stands in the accept queue by then.
	acceptAfterSignal = 500 * time.Millisecond
	// headerTimeout and readTimeout bound how long a head and a whole request may take to
	// come: a client that sends neither is to be told within 3 s.
	headerTimeout, readTimeout = 2 * time.Second, 2500 * time.Millisecond
	// idleTimeout is how long a connection is kept between requests.
	idleTimeout = 10 * time.Second
	// writeTimeout is what a client may take to read its answer.
	writeTimeout = 2 * time.Second
)

// frontend serves the clients.
type frontend struct {
	config       *Config
	loop         *eventLoop
	server       *http.Server
	classes      map[string]int
	tenants      map[string]int
	ready        atomic.Bool
	conns        *clientConns
	openRequests atomic.Int64 // connections that a request keeps open
}

func newFrontend(cfg *Config) *frontend {
	f := &frontend{config: cfg, classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range cfg.Settings.Classes {
		f.classes[c.Name] = i
	}
	for i, t := range cfg.Settings.Tenants {
		f.tenants[t.Name] = i
	}
	f.conns = newClientConns(cfg.maxClientConns())
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      readTimeout + writeTimeout, // for what is rejected; counts from the head
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

// serve accepts clients until the server is shut down.
func (f *frontend) serve(ln net.Listener) error {
	if err := f.server.Serve(&http1.Listener{Listener: ln, InFlight: &f.openRequests}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// shutdown ends service without losing a request. Connections still come for a
// while after the signal, and an accept queue that is closed resets them, so
// accepting goes on, with every answer closing its connection, before the
// listener closes and the held requests are waited for. Those that have brought
// none by then are not.
func (f *frontend) shutdown(held time.Duration) error {
	f.server.SetKeepAlivesEnabled(false)
	time.Sleep(acceptAfterSignal)
	ctx, cancel := context.WithTimeout(context.Background(), held)
	defer cancel()
	by := time.Now().Add(held / 4)
	done := make(chan error, 1)
	go func() { done <- f.server.Shutdown(ctx) }()
	// More than once: what came last is known, and has its time, only after a moment.
	for every := time.NewTicker(20 * time.Millisecond); ; {
		select {
		case err := <-done:
			// The server no longer counts a connection that it closed under a request.
			for ctx.Err() == nil && f.openRequests.Load() > 0 {
				<-every.C
			}
			every.Stop()
			return err
		case <-every.C:
			f.conns.setReadDeadline(by)
		}
	}
}

func (f *frontend) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	if req.RequestURI == "/-/ready" && req.Method == http.MethodGet && req.ContentLength == 0 {
		if f.ready.Load() {
			w.WriteHeader(http.StatusOK)
		} else {
			// Not a request of the protocol's, so no refusal either.
			http.Error(w, "starting", http.StatusServiceUnavailable)
		}
		return
	}
	c, err := f.parseRequest(req, now)
	if err != nil {
		reject(w, err)
		return
	}
	held, err := f.readBody(req, c)
	defer f.loop.memoryBudget.Release(held)
	if errors.Is(err, errBodyMemory) {
		// Nothing was sent: coming back is harmless.
		w.Header().Set("Connection", "close")
		f.writeResponse(w, response{outcome: rejected, retryAfterMs: f.config.Settings.Limits.MaxRetryAfterMs})
		return
	}
	if err != nil {
		reject(w, err)
		return
	}
	sock, ok := req.Context().Value(connKey{}).(*http1.ClientConn)
	if ok {
		if !sock.BeginRequest() {
			return // its client sends it again, as nothing here has
		}
		defer sock.EndRequest()
	}
	f.conns.requestReceived(req.Context())
	took := make(chan *pendingRequest, 1)
	f.loop.post(func() { took <- f.loop.accept(c) })
	select {
	case a := <-c.response:
		if ok && sock.CloseRequested() {
			w.Header().Set("Connection", "close")
		}
		f.writeResponse(w, a)
		f.loop.memoryBudget.Release(a.reservedBytes)
	case <-req.Context().Done():
		f.loop.post(func() { f.loop.onClientGone(<-took) })
	}
}

// reject answers what can't be used, and closes: who sends one such request sends
// more, and what stands behind it may be part of it.
func reject(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var b *requestError
	if errors.As(err, &b) {
		status = b.status
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// writeResponse sends the final answer.
func (f *frontend) writeResponse(w http.ResponseWriter, a response) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	switch {
	case a.outcome == served:
		for name, values := range http1.EndToEnd(a.header) {
			w.Header()[name] = values
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(http.StatusOK)
		// A client that has gone by now is told nothing more: no one to report to.
		_, _ = w.Write(a.body)
	case a.outcome == rejected:
		if a.retryAfterMs > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfterMs/1000, 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case a.status >= 400 && a.status < 500:
		reject(w, requestErrorf(a.status, "%s", http.StatusText(a.status)))
	case a.status != 0:
		w.WriteHeader(a.status)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}
