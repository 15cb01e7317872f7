// Package gateway is the data plane of an agent: clients' requests come in, each is offered to one
// server at a time as internal/fleet/balancer decides, and gets exactly one final answer. Streams are passed
// on event by event; one that may be resumed goes on at another server inside the same answer.
//
// What has been sent and not been answered may have run: only a server's own word, or a connection
// that never took the whole request, proves that it has not. All that follows from that is in
// attempt.go and send.go.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	logged "chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/retrybudget"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
	"chalkdoor.example/chalkdoor/internal/http1"
)

const (
	// readHeaderTimeout bounds how long a head may take, readBodyTimeout a body, clientIdleTimeout how long a connection is
	// kept between requests. Configurations may allow less; these clients keep within theirs.
	readHeaderTimeout, readBodyTimeout, clientIdleTimeout = 10 * time.Second, 10 * time.Second, 60 * time.Second
	// defaultMaxBodyBytes bounds a body where no configuration does, in bytes.
	defaultMaxBodyBytes = 4 << 20
	// defaultRetryAfter is when a request is to come back that no server could be offered yet.
	defaultRetryAfter = 400 * time.Millisecond
	// startupWait is how long a request waits for a process that starts.
	startupWait = 90 * time.Millisecond
	// rejectedBodyTimeout is how long the rest of a body may take that is not used, cancelledRequestTimeout how long requests
	// may take to end that are broken off.
	rejectedBodyTimeout, cancelledRequestTimeout = 200 * time.Millisecond, 300 * time.Millisecond
	// finalWriteTimeout is how long after a request's time its last answer may take to be written.
	finalWriteTimeout = 250 * time.Millisecond
	// healthCheckTimeout bounds a check of a server's health.
	healthCheckTimeout = 500 * time.Millisecond
)

// Gateway serves clients.
type Gateway struct {
	settings        *settings.Settings
	startedAt       time.Time
	snapshot        atomic.Pointer[relay.Snapshot]
	pool            *pool
	bodyMemory      *semaphore.Weighted // bytes of requests' bodies
	server          *http.Server
	inFlight        atomic.Int64
	shuttingDown    atomic.Bool
	cancelRequests  context.CancelFunc // ends all requests
	healthCheckWake chan struct{}      // there may be checks to make
	becameServable  chan struct{}      // closed once requests can be served
	servableOnce    sync.Once

	mu          sync.Mutex
	picker      *balancer.Picker
	retryBudget *retrybudget.Budget

	Counters Counters

	// OnSent, where it is set, is told of each request that was sent, and about how long that keeps
	// its server reading.
	OnSent func(n balancer.PrefillNotice, work time.Duration)
}

// New returns a door that refuses all until it is told what to go by.
func New(set *settings.Settings, seed uint64) *Gateway {
	d := &Gateway{settings: set, startedAt: time.Now(), healthCheckWake: make(chan struct{}, 1), becameServable: make(chan struct{}),
		bodyMemory:  semaphore.NewWeighted(set.Limits.MemoryMB << 20 / 4),
		picker:      balancer.New(balancer.Options{Zone: set.Zone, Seed: seed}),
		retryBudget: retrybudget.New(set.Bounds.RetryRatio, time.Duration(set.Bounds.RetryWindowS*float64(time.Second)), set.Bounds.RetrySlack)}
	base, cancel := context.WithCancel(context.Background())
	d.cancelRequests = cancel
	d.pool = newPool(max(set.Limits.FDs/2, 64))
	d.snapshot.Store(&relay.Snapshot{})
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: 64 << 10,
		ErrorLog:                     slog.NewLogLogger(slog.DiscardHandler, slog.LevelWarn),
		ConnContext:                  withClientConn,
		DisableGeneralOptionsHandler: true,
		BaseContext:                  func(net.Listener) context.Context { return base },
	}
	return d
}

// now is the steady clock, above zero.
func (d *Gateway) now() time.Duration { return time.Since(d.startedAt) + time.Second }

// Update takes the newest of what to go by. Requests that come from now on go by it.
func (d *Gateway) Update(s *relay.Snapshot) {
	old := d.snapshot.Swap(s)
	now := d.now()
	d.mu.Lock()
	if old.Servers != s.Servers && s.Servers != nil {
		d.picker.UpdateInstances(now, s.Servers)
	}
	if old.Config != s.Config && s.Config != nil {
		d.picker.UpdateConfig(now, s.Config)
	}
	d.retryBudget.SetAgentCount(now, s.Agents)
	d.mu.Unlock()
	if old.Servers != s.Servers && s.Servers != nil {
		d.pool.retainListed(s.Servers.ByID)
	}
	if isServable(s) {
		d.servableOnce.Do(func() { close(d.becameServable) })
	}
	d.wakeHealthChecks()
}

// wakeHealthChecks has the checks looked at soon.
func (d *Gateway) wakeHealthChecks() {
	select {
	case d.healthCheckWake <- struct{}{}:
	default:
	}
}

// isServable tells whether requests can be served: all is known, there is a configuration and a server.
func isServable(s *relay.Snapshot) bool {
	return s.Synced && s.Config != nil && s.Servers != nil && len(s.Servers.ByID) > 0
}

// Servable tells whether requests can be served.
func (d *Gateway) Servable() bool { return isServable(d.snapshot.Load()) }

// waitServable gives a process that starts a moment to know what to go by: less than a quarter of the
// setpoints that there are, so that a refusal still comes in time.
func (d *Gateway) waitServable(ctx context.Context) *relay.Snapshot {
	timer := time.NewTimer(startupWait)
	defer timer.Stop()
	select {
	case <-d.becameServable:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.snapshot.Load()
}

// Serve takes clients until Shutdown.
func (d *Gateway) Serve(ln net.Listener) error {
	watched := &framingListener{Listener: ln, rejected: &d.Counters.Rejected}
	if err := d.server.Serve(&http1.Listener{Listener: watched, InFlight: &d.inFlight}); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve clients")
	}
	return nil
}

// Run makes the checks of servers' health and keeps the pool, until ctx ends.
func (d *Gateway) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.pool.closeAll()
			return nil
		case <-d.healthCheckWake:
		case <-timer.C:
		}
		d.pool.closeExpired()
		now := d.now()
		d.mu.Lock()
		due := d.picker.DueHealthChecks(now)
		wait := d.picker.NextHealthCheck(now) - now
		d.mu.Unlock()
		for _, in := range due {
			wg.Go(func() { d.checkHealth(ctx, in) })
		}
		timer.Reset(min(max(wait, 20*time.Millisecond), time.Second))
	}
}

// Shutdown serves on while connections still come, every answer closing its own, then closes the
// listener and waits for what is held until ctx ends; then what is left is broken off.
func (d *Gateway) Shutdown(ctx context.Context, linger time.Duration) {
	d.shuttingDown.Store(true)
	d.server.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(linger):
	case <-ctx.Done():
	}
	if err := d.server.Shutdown(ctx); err != nil {
		logged.BrokenOff.Log("held", d.inFlight.Load())
		d.cancelRequests()
		d.server.Close()
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelledRequestTimeout)
	defer cancel()
	for d.inFlight.Load() > 0 && last.Err() == nil {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-last.Done():
		}
	}
}

// ServeHTTP gives one request its answer.
func (d *Gateway) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrived := time.Now()
	d.Counters.Requests.Add(1)
	snap := d.snapshot.Load()
	if !isServable(snap) {
		if snap = d.waitServable(req.Context()); !isServable(snap) {
			d.refuse(w, defaultRetryAfter, "starting")
			return
		}
	}
	r, err := d.parse(req, snap, arrived)
	if err != nil {
		d.reject(w, err)
		return
	}
	if err := d.readBody(w, req, r, snap); err != nil {
		if errors.Is(err, errBodyMemory) {
			d.refuse(w, defaultRetryAfter, "memory")
			return
		}
		d.reject(w, err)
		return
	}
	defer d.bodyMemory.Release(r.reservedBytes)
	if sock, ok := req.Context().Value(clientConnKey{}).(*http1.ClientConn); ok {
		if !sock.BeginRequest() {
			panic(http.ErrAbortHandler) // its client sends it again, as nothing here has
		}
		defer sock.EndRequest()
		if sock.CloseRequested() {
			w.Header().Set("Connection", "close")
		}
	}
	// The routes may have changed while the body came: no older ones than that are gone by.
	if now := d.snapshot.Load(); now.Config != snap.Config {
		if r, err = d.reparse(req, now, r); err != nil {
			d.reject(w, err)
			return
		}
	}
	defer limitWriteTime(w, r.deadline.Add(finalWriteTimeout))()
	d.forward(req.Context(), w, r)
}

// limitWriteTime ends writes to a client at a given time, as one that does not read holds its server.
// The function that it returns takes that back: the next request of the connection has its own.
func limitWriteTime(w http.ResponseWriter, by time.Time) (release func()) {
	ended := make(chan struct{})
	timer := time.AfterFunc(time.Until(by), func() {
		defer close(ended)
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now()) // a closed connection takes no writes
	})
	return func() {
		if !timer.Stop() {
			<-ended
		}
	}
}

type clientConnKey struct{}

// withClientConn lets a handler find its connection.
func withClientConn(ctx context.Context, nc net.Conn) context.Context {
	if sock, ok := nc.(*http1.ClientConn); ok {
		return context.WithValue(ctx, clientConnKey{}, sock)
	}
	return ctx
}

// refuse answers what has not run, with when to come back.
func (d *Gateway) refuse(w http.ResponseWriter, after time.Duration, why string) {
	d.Counters.Refused.Add(1)
	logged.Refused.Log("why", why, "after", after)
	w.Header().Set("Retry-After", strconv.FormatFloat(max(after, 10*time.Millisecond).Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// reject answers what can't be used as it came.
func (d *Gateway) reject(w http.ResponseWriter, err error) {
	d.Counters.Rejected.Add(1)
	status := http.StatusBadRequest
	var b *requestError
	if errors.As(err, &b) {
		status = b.status
	}
	if status != http.StatusNotFound {
		// The rest of a body is not waited for.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(rejectedBodyTimeout))
		w.Header().Set("Connection", "close")
	}
	http.Error(w, err.Error(), status)
}

// ServeReadiness answers the entry's question. It waits for nothing.
func (d *Gateway) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	if d.shuttingDown.Load() || !d.Servable() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServerViews is what this agent holds of each server, for operators.
func (d *Gateway) ServerViews() []balancer.ServerStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.Snapshot(d.now())
}

// ObserveNotice takes another agent's notice of a request that it sent that long ago.
func (d *Gateway) ObserveNotice(age time.Duration, n *balancer.PrefillNotice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.ObserveRemotePrefill(d.now(), age, n)
}
