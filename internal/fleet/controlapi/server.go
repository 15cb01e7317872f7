package controlapi

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"
)

// The defaults of Options.
const (
	defaultMaxConnections   = 1024
	defaultMaxLargeBodies   = 4
	defaultHeartbeatTimeout = 800 * time.Millisecond // a server waits one second for the response
	defaultSubmitTimeout    = 3 * time.Second
	defaultReadTimeout      = 2 * time.Second
	defaultBodyTimeout      = 10 * time.Second
	defaultIdleTimeout      = time.Minute
)

const (
	maxHeaderBytes = 8 << 10
	// headerTimeout is the time within which a request's header has to arrive.
	headerTimeout = 5 * time.Second
	// responseWriteTime is the time for writing a response, in addition to the time for producing it.
	responseWriteTime = 10 * time.Second
)

// Options limits the resources that callers may use. Zero values select the defaults.
type Options struct {
	MaxConnections   int           // concurrent connections; further ones wait. Default: 1024
	MaxLargeBodies   int           // bodies over 64 KiB that are read concurrently; others get 503. Default: 4
	HeartbeatTimeout time.Duration // limit for Backend.Heartbeat and Deregister. Default: 800 ms
	SubmitTimeout    time.Duration // limit for Backend.Submit. Default: 3 s
	ReadTimeout      time.Duration // limit for Backend.Config and Inspect. Default: 2 s
	BodyTimeout      time.Duration // limit for receiving a complete request. Default: 10 s
	IdleTimeout      time.Duration // limit for a connection without requests. Default: 60 s
	ErrorLog         *log.Logger   // error log of the HTTP server; nil discards its messages
}

// setDefault replaces a value that is not positive.
func setDefault[T int | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

func (o *Options) setDefaults() {
	setDefault(&o.MaxConnections, defaultMaxConnections)
	setDefault(&o.MaxLargeBodies, defaultMaxLargeBodies)
	setDefault(&o.HeartbeatTimeout, defaultHeartbeatTimeout)
	setDefault(&o.SubmitTimeout, defaultSubmitTimeout)
	setDefault(&o.ReadTimeout, defaultReadTimeout)
	setDefault(&o.BodyTimeout, defaultBodyTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	if o.ErrorLog == nil {
		o.ErrorLog = log.New(io.Discard, "", 0)
	}
}

// Server answers the calls of Endpoints.
type Server struct {
	backend     Backend
	options     Options
	largeBodies chan struct{} // semaphore for reading large bodies
	draining    atomic.Bool
}

// NewServer returns a server whose calls are carried out by a backend.
func NewServer(backend Backend, options Options) *Server {
	options.setDefaults()
	return &Server{backend: backend, options: options, largeBodies: make(chan struct{}, options.MaxLargeBodies)}
}

// Drain makes every further response close its connection, so that callers go to other agents. Calls
// are answered until the context of Serve ends.
func (s *Server) Drain() { s.draining.Store(true) }

// Serve answers calls until ctx ends. Then it closes the listener, waits at most SubmitTimeout for the
// calls in flight, and closes the remaining connections.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := s.httpServer()
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		s.shutdown(ctx, server)
	})
	err := server.Serve(netutil.LimitListener(listener, s.options.MaxConnections))
	if stop() { // ctx has not ended: the listener failed
		_ = server.Close()
		return errors.Wrap(err, "serve control")
	}
	<-stopped
	return nil
}

func (s *Server) httpServer() *http.Server {
	o := &s.options
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: min(headerTimeout, o.BodyTimeout),
		ReadTimeout:       o.BodyTimeout,
		WriteTimeout:      o.BodyTimeout + max(o.SubmitTimeout, o.ReadTimeout, o.HeartbeatTimeout) + responseWriteTime,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          o.ErrorLog,
	}
}

func (s *Server) shutdown(ctx context.Context, server *http.Server) {
	s.Drain()
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.SubmitTimeout)
	defer cancel()
	if server.Shutdown(grace) != nil {
		_ = server.Close()
	}
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if s.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
	endpoint, parameter, allowed := findEndpoint(request.Method, request.URL.EscapedPath())
	e := &exchange{endpoint: endpoint, writer: writer, request: request, parameter: parameter}
	switch {
	case endpoint != nil:
		endpoint.handle(s, e)
	case len(allowed) > 0:
		methods := strings.Join(allowed, ", ")
		writer.Header().Set("Allow", methods)
		e.respondError(http.StatusMethodNotAllowed, "the path has "+methods)
	default:
		e.respondError(http.StatusNotFound, "there is no such call")
	}
}
