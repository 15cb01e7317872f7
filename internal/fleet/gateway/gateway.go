package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/relay"
	"chalkdoor.example/chalkdoor/internal/fleet/retrybudget"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

const (
	// bodyMemoryDivisor divides the memory limit: the quotient is the memory for request bodies.
	bodyMemoryDivisor = 4
	// minUpstreamConns is the minimum of the limit on open connections to servers, which is half the limit
	// on file descriptors.
	minUpstreamConns = 64
)

// Gateway serves the requests of clients. All its methods are safe for concurrent use.
type Gateway struct {
	startedAt    time.Time
	keyMaxAge    time.Duration // how long API keys may stay unconfirmed; 0 if there is no limit
	denialMaxAge time.Duration // how long a configuration may stay unconfirmed and still deny requests
	pool         *pool
	bodyMemory   *semaphore.Weighted // for request bodies, in bytes
	lateUploads  lateUploads
	server       *http.Server

	clientConns *clientConns

	snapshot       atomic.Pointer[relay.Snapshot] // never nil
	inFlight       atomic.Int64                   // client connections that a request keeps open
	shuttingDown   atomic.Bool
	cancelRequests context.CancelFunc // cancels all requests in flight

	becameServable chan struct{} // closed once requests can be served
	servableOnce   sync.Once     // closes becameServable

	deniedLog rate.Sometimes // limits logevent.RequestDenied

	healthCheckWake chan struct{} // of capacity 1; a value means that health checks may be due

	mu          sync.Mutex // guards picker, its attempts, and retryBudget
	picker      *balancer.Picker
	retryBudget *retrybudget.Budget

	// Counters counts requests by their outcome.
	Counters Counters

	// OnFirstServed, if set, is called when the first request has been served. It must be set before Serve.
	OnFirstServed func()

	// ConfigFreshAsOf returns a time such that the snapshot includes every configuration that was
	// acknowledged before that time, or the zero time if none is known. It must not block. It must be set
	// before Serve; without it no configuration denies a request.
	ConfigFreshAsOf func() time.Time

	// Quota, if set, admits the requests of tenants that have a quota. It must be set before Serve.
	Quota QuotaClient

	// OnSent, if set, is called with each request that was sent to a server and the estimated time
	// for which it occupies the server's prefill. It must be set before Serve and must not block.
	OnSent func(notice balancer.PrefillNotice, prefill time.Duration)
}

// New returns a gateway that refuses all requests until Update gives it a complete snapshot.
// The seed determines the balancer's random choices.
func New(nodeSettings *settings.Settings, seed uint64) *Gateway {
	base, cancel := context.WithCancel(context.Background())
	bounds := &nodeSettings.Bounds
	retryWindow := time.Duration(bounds.RetryWindowS * float64(time.Second))
	g := &Gateway{
		startedAt:       time.Now(),
		denialMaxAge:    ConfigMaxAge(time.Duration(bounds.ConvergeMs) * time.Millisecond),
		pool:            newPool(max(nodeSettings.Limits.FileDescriptors/2, minUpstreamConns)),
		bodyMemory:      semaphore.NewWeighted(nodeSettings.Limits.MemoryMB << 20 / bodyMemoryDivisor),
		clientConns:     newClientConns(),
		cancelRequests:  cancel,
		becameServable:  make(chan struct{}),
		deniedLog:       rate.Sometimes{Interval: deniedLogInterval},
		healthCheckWake: make(chan struct{}, 1),
		picker:          balancer.New(balancer.Options{Zone: nodeSettings.Zone, Seed: seed}),
		retryBudget:     retrybudget.New(bounds.RetryRatio, retryWindow, bounds.RetrySlack),
	}
	if bounds.RevocationClosed {
		g.keyMaxAge = KeyMaxAge(time.Duration(bounds.RevokeMs) * time.Millisecond)
	}
	g.snapshot.Store(&relay.Snapshot{})
	g.server = &http.Server{
		Handler:                      g,
		MaxHeaderBytes:               maxHeaderBytes,
		ConnState:                    g.clientConns.stateChanged, // records when they become idle
		ErrorLog:                     slog.NewLogLogger(slog.DiscardHandler, slog.LevelWarn),
		ConnContext:                  withClientConn,
		BaseContext:                  func(net.Listener) context.Context { return base },
		DisableGeneralOptionsHandler: true, // net/http would answer OPTIONS * with 200 by itself
	}
	return g
}

// now returns the current time for the balancer and the retry budget: the monotonic time since the start,
// plus one second, because they take a zero time to mean that something has never happened.
func (g *Gateway) now() time.Duration { return time.Since(g.startedAt) + time.Second }

// Update replaces the configuration and the list of servers. Requests that arrive from now on are
// handled according to the new snapshot, which must not be modified afterwards.
func (g *Gateway) Update(snapshot *relay.Snapshot) {
	previous := g.snapshot.Swap(snapshot)
	listChanged := previous.Servers != snapshot.Servers && snapshot.Servers != nil
	now := g.now()
	g.mu.Lock()
	if listChanged {
		g.picker.UpdateInstances(now, snapshot.Servers)
	}
	if previous.Config != snapshot.Config && snapshot.Config != nil {
		g.picker.UpdateConfig(now, snapshot.Config)
	}
	g.retryBudget.SetAgentCount(now, snapshot.Agents)
	g.mu.Unlock()
	if listChanged {
		g.pool.retainListed(snapshot.Servers.ByID)
	}
	if isServable(snapshot) {
		g.servableOnce.Do(func() { close(g.becameServable) })
	}
	g.wakeHealthChecks()
}

// Config returns the configuration in force, or nil if there is none yet.
func (g *Gateway) Config() *config.Document { return g.snapshot.Load().Config }

// ServerStatuses returns the state of each server as this agent has observed it, for operators.
func (g *Gateway) ServerStatuses() []balancer.ServerStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.picker.Snapshot(g.now())
}

// ObserveRemotePrefill records another agent's notice of a request that it sent to a server; age is the
// time since it sent the request.
func (g *Gateway) ObserveRemotePrefill(age time.Duration, notice *balancer.PrefillNotice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.picker.ObserveRemotePrefill(g.now(), age, notice)
}
