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
	maxID     = 256     // bytes of a server's id
	maxTarget = 256     // bytes of an address in an answer to a beat
	maxHeader = 8 << 10 // bytes
	small     = 64 << 10
)

// Options bound what callers may cost. Zeros take the defaults.
type Options struct {
	Conns         int           // most connections at once; more wait. Default 1024
	Bodies        int           // most bodies over 64 KiB read at once; more are told to come back. Default 4
	BeatTimeout   time.Duration // for Plane.Beat and Leave. Default 800 ms: a server waits a second
	SubmitTimeout time.Duration // for Plane.Submit. Default 3 s
	ReadTimeout   time.Duration // for Plane.Config and Ops. Default 2 s
	BodyTimeout   time.Duration // for a whole request to come in. Default 10 s
	IdleTimeout   time.Duration // for a connection without requests. Default 60 s
	ErrorLog      *log.Logger   // of the HTTP server; nil drops what it says
}

// Server answers the calls of the table.
type Server struct {
	plane   Plane
	opt     Options
	bodies  chan struct{}
	leaving atomic.Bool
}

// NewServer returns a server of the calls on plane.
func NewServer(plane Plane, opt Options) *Server {
	def := func(d *time.Duration, than time.Duration) {
		if *d <= 0 {
			*d = than
		}
	}
	def(&opt.BeatTimeout, 800*time.Millisecond)
	def(&opt.SubmitTimeout, 3*time.Second)
	def(&opt.ReadTimeout, 2*time.Second)
	def(&opt.BodyTimeout, 10*time.Second)
	def(&opt.IdleTimeout, time.Minute)
	if opt.Conns <= 0 {
		opt.Conns = 1024
	}
	if opt.Bodies <= 0 {
		opt.Bodies = 4
	}
	if opt.ErrorLog == nil {
		opt.ErrorLog = log.New(io.Discard, "", 0)
	}
	return &Server{plane: plane, opt: opt, bodies: make(chan struct{}, opt.Bodies)}
}

// Leave has every answer from now on close its connection, so that callers go elsewhere. Calls
// are answered on until Serve's context ends.
func (s *Server) Leave() { s.leaving.Store(true) }

// Serve answers calls until ctx ends; then it finishes those in hand, for as long as the longest
// call may take, and closes the rest. It closes ln.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: min(5*time.Second, s.opt.BodyTimeout),
		ReadTimeout:       s.opt.BodyTimeout,
		WriteTimeout:      s.opt.BodyTimeout + max(s.opt.SubmitTimeout, s.opt.ReadTimeout, s.opt.BeatTimeout) + 10*time.Second,
		IdleTimeout:       s.opt.IdleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          s.opt.ErrorLog,
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		s.Leave()
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.opt.SubmitTimeout)
		defer cancel()
		if srv.Shutdown(last) != nil {
			_ = srv.Close() // the rest has had its time
		}
	})
	err := srv.Serve(netutil.LimitListener(ln, s.opt.Conns))
	if stop() {
		_ = srv.Close()
		return errors.Wrap(err, "serve control")
	}
	<-ended
	return nil
}

// call is one request in hand.
type call struct {
	*Call
	w   http.ResponseWriter
	r   *http.Request
	arg string
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{w: w, r: r}
	var allowed []string
	if c.Call, c.arg, allowed = find(r.Method, r.URL.EscapedPath()); c.Call != nil {
		c.handle(s, c)
		return
	}
	if len(allowed) > 0 {
		w.Header().Set("Allow", strings.Join(allowed, ", "))
		c.refuse(http.StatusMethodNotAllowed, "the path has "+strings.Join(allowed, ", "))
		return
	}
	c.refuse(http.StatusNotFound, "there is no such call")
}

// within bounds what the plane does for the call. A caller that goes doesn't end it: an order that
// was read is carried on, and one that only closed its sending side still waits for the answer.
func (c *call) within(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(c.r.Context()), d)
}

func (c *call) answer(status int, body []byte) {
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	_, _ = c.w.Write(body) // a caller that has gone asks again
}

func (c *call) answerJSON(status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.refuse(http.StatusInternalServerError, "the answer can't be written")
		return
	}
	c.answer(status, body)
}

func (c *call) refuse(status int, reason string) {
	if status == http.StatusServiceUnavailable {
		c.w.Header().Set("Retry-After", "1")
	}
	const most = 1 << 10
	if len(reason) > most {
		reason = strings.ToValidUTF8(reason[:most], "") + "..."
	}
	c.answerJSON(status, map[string]string{"error": reason})
}

// fail answers an error by its kind.
func (c *call) fail(err error) {
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
	c.refuse(status, err.Error())
}

// body reads the whole body; where that fails it has answered.
func (s *Server) body(c *call) (body []byte, ok bool) {
	if n := c.r.ContentLength; n > small || n < 0 && c.Body > small {
		select {
		case s.bodies <- struct{}{}:
			defer func() { <-s.bodies }()
		default:
			_, _ = io.Copy(io.Discard, http.MaxBytesReader(c.w, c.r.Body, c.Body)) // unread it would reset the answer
			c.refuse(http.StatusServiceUnavailable, "other large bodies are being read; come back")
			return nil, false
		}
	}
	var buf bytes.Buffer
	var large *http.MaxBytesError
	_, err := buf.ReadFrom(http.MaxBytesReader(c.w, c.r.Body, c.Body))
	switch {
	case err == nil:
		return buf.Bytes(), true
	case errors.As(err, &large):
		c.refuse(http.StatusRequestEntityTooLarge, "the body may have "+strconv.FormatInt(c.Body, 10)+" bytes; send less at once")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(http.StatusRequestTimeout, "the body came too slowly; send it again")
	default:
		c.refuse(http.StatusBadRequest, "the body was cut short; send it again")
	}
	return nil, false
}

func (s *Server) beat(c *call) {
	body, ok := s.body(c)
	if !ok {
		return
	}
	b, err := parseBeat(c.arg, body)
	if err != nil {
		c.fail(err)
		return
	}
	ctx, cancel := c.within(s.opt.BeatTimeout)
	defer cancel()
	reply, err := s.plane.Beat(ctx, b)
	if err != nil {
		c.fail(err)
		return
	}
	if len(reply.Target) > maxTarget {
		reply.Target = ""
	}
	c.answerJSON(http.StatusOK, reply)
}

func parseBeat(id string, body []byte) (*Beat, error) {
	b := &Beat{}
	if err := json.Unmarshal(body, b); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "", "send one JSON object with the fields of a beat")
	}
	bad := func(key, remedy string) error {
		return apierror.New(apierror.Invalid, key, remedy, "the beat can't be listed")
	}
	addr, err := netip.ParseAddrPort(b.Addr)
	switch b.ID = id; {
	case b.Service == "":
		return nil, bad("target-service", "name the service")
	case err != nil || !addr.Addr().IsValid() || addr.Port() == 0:
		return nil, bad("address", "give IP:PORT")
	case b.State != Ready && b.State != Draining:
		return nil, bad("state", "give ready or draining")
	case b.Slots < 0:
		return nil, bad("slots", "give 0 or more")
	}
	b.ColdMs = max(b.ColdMs, 0)
	return b, nil
}

func (s *Server) leave(c *call) {
	body, ok := s.body(c)
	if !ok {
		return
	}
	var said struct {
		Seq uint64 `json:"call-seq"`
	}
	_ = json.Unmarshal(body, &said) // a leave needs no body
	ctx, cancel := c.within(s.opt.BeatTimeout)
	defer cancel()
	if err := s.plane.Leave(ctx, c.arg, said.Seq); err != nil {
		c.fail(err)
		return
	}
	c.answerJSON(http.StatusOK, struct{}{})
}

func (s *Server) put(c *call)   { s.submit(c, false) }
func (s *Server) patch(c *call) { s.submit(c, true) }

func (s *Server) submit(c *call, patch bool) {
	body, ok := s.body(c)
	if !ok {
		return
	}
	ifMatch, err := parseIfMatch(c.r.Header.Values("If-Match"))
	if err != nil {
		c.fail(err)
		return
	}
	ctx, cancel := c.within(s.opt.SubmitTimeout)
	defer cancel()
	v := s.plane.Submit(ctx, patch, ifMatch, body)
	switch v.Kind {
	case Taken:
		c.answerJSON(http.StatusOK, map[string]int64{"revision": v.Revision})
	case Conflict:
		c.refuse(http.StatusPreconditionFailed, v.Reason)
	case Invalid:
		c.refuse(http.StatusBadRequest, v.Reason)
	case TooLarge:
		c.refuse(http.StatusRequestEntityTooLarge, v.Reason)
	default:
		c.refuse(http.StatusServiceUnavailable, v.Reason)
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

func (s *Server) config(c *call) {
	ctx, cancel := c.within(s.opt.ReadTimeout)
	defer cancel()
	raw, ok, err := s.plane.Config(ctx)
	switch {
	case err != nil:
		c.fail(err)
	case !ok:
		c.refuse(http.StatusNotFound, "there is no configuration yet; put one")
	default:
		c.answer(http.StatusOK, raw)
	}
}

func (s *Server) ops(c *call) {
	if !slices.Contains(OpsReads, c.arg) {
		c.refuse(http.StatusNotFound, "ask for one of "+strings.Join(OpsReads, ", "))
		return
	}
	ctx, cancel := c.within(s.opt.ReadTimeout)
	defer cancel()
	v, err := s.plane.Ops(ctx, c.arg)
	if err != nil {
		c.fail(err)
		return
	}
	c.answerJSON(http.StatusOK, v)
}
