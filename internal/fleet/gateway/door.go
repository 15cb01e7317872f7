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
	// headTime bounds how long a head may take, bodyTime a body, idleTime how long a connection is
	// kept between requests. Configurations may allow less; these clients keep within theirs.
	headTime, bodyTime, idleTime = 10 * time.Second, 10 * time.Second, 60 * time.Second
	// maxBody bounds a body where no configuration does, in bytes.
	maxBody = 4 << 20
	// soon is when a request is to come back that no server could be offered yet.
	soon = 400 * time.Millisecond
	// startWait is how long a request waits for a process that starts.
	startWait = 90 * time.Millisecond
	// restTime is how long the rest of a body may take that is not used, lastTime how long requests
	// may take to end that are broken off.
	restTime, lastTime = 200 * time.Millisecond, 300 * time.Millisecond
	// answerTime is how long after a request's time its last answer may take to be written.
	answerTime = 250 * time.Millisecond
	// checkTime bounds a check of a server's health.
	checkTime = 500 * time.Millisecond
)

// Door serves clients.
type Door struct {
	set      *settings.Settings
	start    time.Time
	snap     atomic.Pointer[relay.Snapshot]
	pool     *pool
	memory   *semaphore.Weighted // bytes of requests' bodies
	server   *http.Server
	held     atomic.Int64
	ending   atomic.Bool
	breakOff context.CancelFunc // ends all requests
	checks   chan struct{}      // there may be checks to make
	able     chan struct{}      // closed once requests can be served
	opened   sync.Once

	mu     sync.Mutex
	picker *balancer.Picker
	quota  *retrybudget.Budget

	Figures Figures

	// Notify, where it is set, is told of each request that was sent, and about how long that keeps
	// its server reading.
	Notify func(n balancer.PrefillNotice, work time.Duration)
}

// New returns a door that refuses all until it is told what to go by.
func New(set *settings.Settings, seed uint64) *Door {
	d := &Door{set: set, start: time.Now(), checks: make(chan struct{}, 1), able: make(chan struct{}),
		memory: semaphore.NewWeighted(set.Limits.MemoryMB << 20 / 4),
		picker: balancer.New(balancer.Options{Zone: set.Zone, Seed: seed}),
		quota:  retrybudget.New(set.Bounds.RetryRatio, time.Duration(set.Bounds.RetryWindowS*float64(time.Second)), set.Bounds.RetrySlack)}
	base, cancel := context.WithCancel(context.Background())
	d.breakOff = cancel
	d.pool = newPool(max(set.Limits.FDs/2, 64))
	d.snap.Store(&relay.Snapshot{})
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: 64 << 10,
		ErrorLog:                     slog.NewLogLogger(slog.DiscardHandler, slog.LevelWarn),
		ConnContext:                  connContext,
		DisableGeneralOptionsHandler: true,
		BaseContext:                  func(net.Listener) context.Context { return base },
	}
	return d
}

// now is the steady clock, above zero.
func (d *Door) now() time.Duration { return time.Since(d.start) + time.Second }

// Update takes the newest of what to go by. Requests that come from now on go by it.
func (d *Door) Update(s *relay.Snapshot) {
	old := d.snap.Swap(s)
	now := d.now()
	d.mu.Lock()
	if old.Servers != s.Servers && s.Servers != nil {
		d.picker.UpdateInstances(now, s.Servers)
	}
	if old.Config != s.Config && s.Config != nil {
		d.picker.UpdateConfig(now, s.Config)
	}
	d.quota.SetAgentCount(now, s.Agents)
	d.mu.Unlock()
	if old.Servers != s.Servers && s.Servers != nil {
		d.pool.keepOnly(s.Servers.ByID)
	}
	if able(s) {
		d.opened.Do(func() { close(d.able) })
	}
	d.look()
}

// look has the checks looked at soon.
func (d *Door) look() {
	select {
	case d.checks <- struct{}{}:
	default:
	}
}

// able tells whether requests can be served: all is known, there is a configuration and a server.
func able(s *relay.Snapshot) bool {
	return s.Synced && s.Config != nil && s.Servers != nil && len(s.Servers.ByID) > 0
}

// Able tells whether requests can be served.
func (d *Door) Able() bool { return able(d.snap.Load()) }

// wait gives a process that starts a moment to know what to go by: less than a quarter of the
// setpoints that there are, so that a refusal still comes in time.
func (d *Door) wait(ctx context.Context) *relay.Snapshot {
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case <-d.able:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.snap.Load()
}

// Serve takes clients until Shutdown.
func (d *Door) Serve(ln net.Listener) error {
	watched := &framingListener{Listener: ln, rejected: &d.Figures.Rejected}
	if err := d.server.Serve(&http1.Listener{Listener: watched, InFlight: &d.held}); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve clients")
	}
	return nil
}

// Run makes the checks of servers' health and keeps the pool, until ctx ends.
func (d *Door) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.pool.closeAll()
			return nil
		case <-d.checks:
		case <-timer.C:
		}
		d.pool.sweep()
		now := d.now()
		d.mu.Lock()
		due := d.picker.DueHealthChecks(now)
		wait := d.picker.NextHealthCheck(now) - now
		d.mu.Unlock()
		for _, in := range due {
			wg.Go(func() { d.check(ctx, in) })
		}
		timer.Reset(min(max(wait, 20*time.Millisecond), time.Second))
	}
}

// Shutdown serves on while connections still come, every answer closing its own, then closes the
// listener and waits for what is held until ctx ends; then what is left is broken off.
func (d *Door) Shutdown(ctx context.Context, linger time.Duration) {
	d.ending.Store(true)
	d.server.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(linger):
	case <-ctx.Done():
	}
	if err := d.server.Shutdown(ctx); err != nil {
		logged.BrokenOff.Log("held", d.held.Load())
		d.breakOff()
		d.server.Close()
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastTime)
	defer cancel()
	for d.held.Load() > 0 && last.Err() == nil {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-last.Done():
		}
	}
}

// ServeHTTP gives one request its answer.
func (d *Door) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrived := time.Now()
	d.Figures.Requests.Add(1)
	snap := d.snap.Load()
	if !able(snap) {
		if snap = d.wait(req.Context()); !able(snap) {
			d.refuse(w, soon, "starting")
			return
		}
	}
	r, err := d.parse(req, snap, arrived)
	if err != nil {
		d.reject(w, err)
		return
	}
	if err := d.readBody(w, req, r, snap); err != nil {
		if errors.Is(err, errNoMemory) {
			d.refuse(w, soon, "memory")
			return
		}
		d.reject(w, err)
		return
	}
	defer d.memory.Release(r.held)
	if sock, ok := req.Context().Value(sockKey{}).(*http1.ClientConn); ok {
		if !sock.BeginRequest() {
			panic(http.ErrAbortHandler) // its client sends it again, as nothing here has
		}
		defer sock.EndRequest()
		if sock.CloseRequested() {
			w.Header().Set("Connection", "close")
		}
	}
	// The routes may have changed while the body came: no older ones than that are gone by.
	if now := d.snap.Load(); now.Config != snap.Config {
		if r, err = d.reparse(req, now, r); err != nil {
			d.reject(w, err)
			return
		}
	}
	defer boundWrites(w, r.deadline.Add(answerTime))()
	d.serve(req.Context(), w, r)
}

// boundWrites ends writes to a client at a given time, as one that does not read holds its server.
// The function that it returns takes that back: the next request of the connection has its own.
func boundWrites(w http.ResponseWriter, by time.Time) (release func()) {
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

type sockKey struct{}

// connContext lets a handler find its connection.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	if sock, ok := nc.(*http1.ClientConn); ok {
		return context.WithValue(ctx, sockKey{}, sock)
	}
	return ctx
}

// refuse answers what has not run, with when to come back.
func (d *Door) refuse(w http.ResponseWriter, after time.Duration, why string) {
	d.Figures.Refused.Add(1)
	logged.Refused.Log("why", why, "after", after)
	w.Header().Set("Retry-After", strconv.FormatFloat(max(after, 10*time.Millisecond).Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// reject answers what can't be used as it came.
func (d *Door) reject(w http.ResponseWriter, err error) {
	d.Figures.Rejected.Add(1)
	status := http.StatusBadRequest
	var b *bad
	if errors.As(err, &b) {
		status = b.status
	}
	if status != http.StatusNotFound {
		// The rest of a body is not waited for.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTime))
		w.Header().Set("Connection", "close")
	}
	http.Error(w, err.Error(), status)
}

// Ready answers the entry's question. It waits for nothing.
func (d *Door) Ready(w http.ResponseWriter, _ *http.Request) {
	if d.ending.Load() || !d.Able() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Servers is what this agent holds of each server, for operators.
func (d *Door) Servers() []balancer.ServerStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.Snapshot(d.now())
}

// Heard takes another agent's notice of a request that it sent that long ago.
func (d *Door) Heard(age time.Duration, n *balancer.PrefillNotice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.ObserveRemotePrefill(d.now(), age, n)
}
