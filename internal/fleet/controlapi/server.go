package controlapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

const (
	maxIDBytes     = 256     // bytes of a server's id
	maxTargetBytes = 256     // bytes of an address in an answer to a beat
	maxHeaderBytes = 8 << 10 // bytes
	smallBodyBytes = 64 << 10
)

// Options bound what callers may cost. Zeros take the defaults.
type Options struct {
	MaxConnections   int           // most connections at once; more wait. Default 1024
	MaxLargeBodies   int           // most bodies over 64 KiB read at once; more are told to come back. Default 4
	HeartbeatTimeout time.Duration // for Plane.Beat and Leave. Default 800 ms: a server waits a second
	SubmitTimeout    time.Duration // for Plane.Submit. Default 3 s
	ReadTimeout      time.Duration // for Plane.Config and Ops. Default 2 s
	BodyTimeout      time.Duration // for a whole request to come in. Default 10 s
	IdleTimeout      time.Duration // for a connection without requests. Default 60 s
	ErrorLog         *log.Logger   // of the HTTP server; nil drops what it says
}

// Server answers the calls of the table.
type Server struct {
	backend     Backend
	options     Options
	largeBodies chan struct{}
	draining    atomic.Bool
}

// NewServer returns a server of the calls on plane.
func NewServer(plane Backend, opt Options) *Server {
	def := func(d *time.Duration, than time.Duration) {
		if *d <= 0 {
			*d = than
		}
	}
	def(&opt.HeartbeatTimeout, 800*time.Millisecond)
	def(&opt.SubmitTimeout, 3*time.Second)
	def(&opt.ReadTimeout, 2*time.Second)
	def(&opt.BodyTimeout, 10*time.Second)
	def(&opt.IdleTimeout, time.Minute)
	if opt.MaxConnections <= 0 {
		opt.MaxConnections = 1024
	}
	if opt.MaxLargeBodies <= 0 {
		opt.MaxLargeBodies = 4
	}
	if opt.ErrorLog == nil {
		opt.ErrorLog = log.New(io.Discard, "", 0)
	}
	return &Server{backend: plane, options: opt, largeBodies: make(chan struct{}, opt.MaxLargeBodies)}
}

// Drain has every answer from now on close its connection, so that callers go elsewhere. Calls
// are answered on until Serve's context ends.
func (s *Server) Drain() { s.draining.Store(true) }

// Serve answers calls until ctx ends; then it finishes those in hand, for as long as the longest
// call may take, and closes the rest. It closes ln.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: min(5*time.Second, s.options.BodyTimeout),
		ReadTimeout:       s.options.BodyTimeout,
		WriteTimeout:      s.options.BodyTimeout + max(s.options.SubmitTimeout, s.options.ReadTimeout, s.options.HeartbeatTimeout) + 10*time.Second,
		IdleTimeout:       s.options.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          s.options.ErrorLog,
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		s.Drain()
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.SubmitTimeout)
		defer cancel()
		if srv.Shutdown(last) != nil {
			_ = srv.Close() // the rest has had its time
		}
	})
	err := srv.Serve(netutil.LimitListener(ln, s.options.MaxConnections))
	if stop() {
		_ = srv.Close()
		return errors.Wrap(err, "serve control")
	}
	<-ended
	return nil
}

// exchange is one request in hand.
type exchange struct {
	*Endpoint
	writer    http.ResponseWriter
	request   *http.Request
	pathValue string
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &exchange{writer: w, request: r}
	var allowed []string
	if c.Endpoint, c.pathValue, allowed = findEndpoint(r.Method, r.URL.EscapedPath()); c.Endpoint != nil {
		c.handle(s, c)
		return
	}
	if len(allowed) > 0 {
		w.Header().Set("Allow", strings.Join(allowed, ", "))
		c.respondError(http.StatusMethodNotAllowed, "the path has "+strings.Join(allowed, ", "))
		return
	}
	c.respondError(http.StatusNotFound, "there is no such call")
}

// withTimeout bounds what the plane does for the call. A caller that goes doesn't end it: an order that
// was read is carried on, and one that only closed its sending side still waits for the answer.
func (c *exchange) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(c.request.Context()), d)
}

func (c *exchange) respond(status int, body []byte) {
	h := c.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(status)
	_, _ = c.writer.Write(body) // a caller that has gone asks again
}

func (c *exchange) respondJSON(status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.respondError(http.StatusInternalServerError, "the answer can't be written")
		return
	}
	c.respond(status, body)
}

func (c *exchange) respondError(status int, reason string) {
	if status == http.StatusServiceUnavailable {
		c.writer.Header().Set("Retry-After", "1")
	}
	const most = 1 << 10
	if len(reason) > most {
		reason = strings.ToValidUTF8(reason[:most], "") + "..."
	}
	c.respondJSON(status, map[string]string{"error": reason})
}

// respondFailure answers an error by its kind.
func (c *exchange) respondFailure(err error) {
	status := http.StatusServiceUnavailable
	switch apierror.KindOf(err) {
	case apierror.Invalid:
		status = http.StatusBadRequest
	case apierror.NotFound:
		status = http.StatusNotFound
	case apierror.Conflict:
		status = http.StatusPreconditionFailed
	case apierror.TooLarge:
		status = http.StatusRequestEntityTooLarge
	}
	c.respondError(status, err.Error())
}

// readBody reads the whole body; where that fails it has answered.
func (s *Server) readBody(c *exchange) (body []byte, ok bool) {
	if n := c.request.ContentLength; n > smallBodyBytes || n < 0 && c.MaxBodyBytes > smallBodyBytes {
		select {
		case s.largeBodies <- struct{}{}:
			defer func() { <-s.largeBodies }()
		default:
			_, _ = io.Copy(io.Discard, http.MaxBytesReader(c.writer, c.request.Body, c.MaxBodyBytes)) // unread it would reset the answer
			c.respondError(http.StatusServiceUnavailable, "other large bodies are being read; come back")
			return nil, false
		}
	}
	var buf bytes.Buffer
	var large *http.MaxBytesError
	_, err := buf.ReadFrom(http.MaxBytesReader(c.writer, c.request.Body, c.MaxBodyBytes))
	switch {
	case err == nil:
		return buf.Bytes(), true
	case errors.As(err, &large):
		c.respondError(http.StatusRequestEntityTooLarge, "the body may have "+strconv.FormatInt(c.MaxBodyBytes, 10)+" bytes; send less at once")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.respondError(http.StatusRequestTimeout, "the body came too slowly; send it again")
	default:
		c.respondError(http.StatusBadRequest, "the body was cut short; send it again")
	}
	return nil, false
}

func (s *Server) handleHeartbeat(c *exchange) {
	body, ok := s.readBody(c)
	if !ok {
		return
	}
	b, err := parseHeartbeat(c.pathValue, body)
	if err != nil {
		c.respondFailure(err)
		return
	}
	ctx, cancel := c.withTimeout(s.options.HeartbeatTimeout)
	defer cancel()
	reply, err := s.backend.Heartbeat(ctx, b)
	if err != nil {
		c.respondFailure(err)
		return
	}
	if len(reply.NextTarget) > maxTargetBytes {
		reply.NextTarget = ""
	}
	c.respondJSON(http.StatusOK, reply)
}

func parseHeartbeat(id string, body []byte) (*Heartbeat, error) {
	b := &Heartbeat{}
	if err := json.Unmarshal(body, b); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "", "send one JSON object with the fields of a beat")
	}
	bad := func(key, remedy string) error {
		return apierror.New(apierror.Invalid, key, remedy, "the beat can't be listed")
	}
	addr, err := netip.ParseAddrPort(b.Address)
	switch b.ID = id; {
	case b.Service == "":
		return nil, bad("target-service", "name the service")
	case err != nil || !addr.Addr().IsValid() || addr.Port() == 0:
		return nil, bad("address", "give IP:PORT")
	case b.State != StateReady && b.State != StateDraining:
		return nil, bad("state", "give ready or draining")
	case b.Slots < 0:
		return nil, bad("slots", "give 0 or more")
	}
	b.WarmupMs = max(b.WarmupMs, 0)
	return b, nil
}

func (s *Server) handleDeregister(c *exchange) {
	body, ok := s.readBody(c)
	if !ok {
		return
	}
	var said struct {
		Seq uint64 `json:"call-seq"`
	}
	_ = json.Unmarshal(body, &said) // a leave needs no body
	ctx, cancel := c.withTimeout(s.options.HeartbeatTimeout)
	defer cancel()
	if err := s.backend.Deregister(ctx, c.pathValue, said.Seq); err != nil {
		c.respondFailure(err)
		return
	}
	c.respondJSON(http.StatusOK, struct{}{})
}

func (s *Server) handlePut(c *exchange)   { s.submit(c, false) }
func (s *Server) handlePatch(c *exchange) { s.submit(c, true) }

func (s *Server) submit(c *exchange, patch bool) {
	body, ok := s.readBody(c)
	if !ok {
		return
	}
	ifMatch, err := parseIfMatch(c.request.Header.Values("If-Match"))
	if err != nil {
		c.respondFailure(err)
		return
	}
	ctx, cancel := c.withTimeout(s.options.SubmitTimeout)
	defer cancel()
	v := s.backend.Submit(ctx, patch, ifMatch, body)
	switch v.Outcome {
	case OutcomeCommitted:
		c.respondJSON(http.StatusOK, map[string]int64{"revision": v.Revision})
	case OutcomeConflict:
		c.respondError(http.StatusPreconditionFailed, v.Reason)
	case OutcomeInvalid:
		c.respondError(http.StatusBadRequest, v.Reason)
	case OutcomeTooLarge:
		c.respondError(http.StatusRequestEntityTooLarge, v.Reason)
	default:
		c.respondError(http.StatusServiceUnavailable, v.Reason)
	}
}

// parseIfMatch reads the version that an order builds on, also in an entity tag's quotes.
func parseIfMatch(values []string) (int64, error) {
	if len(values) == 1 {
		v := strings.TrimSpace(values[0])
		if len(v) > 1 && v[0] == '"' && v[len(v)-1] == '"' {
			v = v[1 : len(v)-1]
		}
		if n, err := strconv.ParseInt(v, 10, 64); err == nil && n >= 0 {
			return n, nil
		}
	}
	return 0, apierror.New(apierror.Invalid, "If-Match", "give the current revision, 0 for the first configuration",
		"there has to be one version")
}

func (s *Server) handleConfig(c *exchange) {
	ctx, cancel := c.withTimeout(s.options.ReadTimeout)
	defer cancel()
	raw, ok, err := s.backend.Config(ctx)
	switch {
	case err != nil:
		c.respondFailure(err)
	case !ok:
		c.respondError(http.StatusNotFound, "there is no configuration yet; put one")
	default:
		c.respond(http.StatusOK, raw)
	}
}

func (s *Server) handleInspect(c *exchange) {
	if !slices.Contains(Resources, c.pathValue) {
		c.respondError(http.StatusNotFound, "ask for one of "+strings.Join(Resources, ", "))
		return
	}
	ctx, cancel := c.withTimeout(s.options.ReadTimeout)
	defer cancel()
	v, err := s.backend.Inspect(ctx, c.pathValue)
	if err != nil {
		c.respondFailure(err)
		return
	}
	c.respondJSON(http.StatusOK, v)
}
