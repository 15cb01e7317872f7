// Package backend emulates the services that agents use, report servers and discovery, on real sockets, as
// PROTOCOL and WIRE describe them. The queue and the processing of a server are simulated by package
// backendmodel; this package adds a real clock, connections and faults.
package backend

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"strings"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/backendmodel"
	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

const (
	// maxBody is the maximum size of a request's body, as the protocol says.
	maxBody = 64 << 10
	// headTimeout is the time limit for reading a request's head.
	headTimeout = 5 * time.Second
)

// Work returns the work and the effect of a request by its id; false for an id that no client sent.
type Work func(requestID string) (workMs float64, effect referee.Effect, ok bool)

// ServerConfig configures a report server.
type ServerConfig struct {
	ID, Zone    string
	Seed        uint64
	Model       backendmodel.Config
	HandshakeMs float64       // work in ms for a new connection
	ProbeMs     float64       // work in ms for a probe
	MaxConns    int           // 0 means no limit
	IdleTimeout time.Duration // idle timeout of connections
	Noise       float64       // maximum relative error of reported loads
}

// Faults are the faults that are injected into a server.
type Faults struct {
	Slowdown  float64 // factor by which the server is slower; 0 and 1 mean its normal speed
	Errors    float64 // fraction of requests that fail immediately
	Malformed float64 // fraction of answers that are malformed
	Lost      float64 // fraction of answers instead of which the connection is closed
}

// Effects remembers, for all report servers together, when each idempotency key had its effect. The servers
// drop repeats of a key within the window, and keys are forgotten after it. It is safe for concurrent use.
type Effects struct {
	mu         sync.Mutex
	window     time.Duration
	lastEffect map[string]time.Duration // by key, the time of its effect
	sweptAt    time.Duration            // when expired keys were last removed
}

// NewEffects returns an empty Effects for a fleet.
func NewEffects(window time.Duration) *Effects {
	return &Effects{window: window, lastEffect: map[string]time.Duration{}}
}

// First reports whether a request with a key takes effect now; false if it is a repeat that is dropped.
func (e *Effects) First(key string, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-e.sweptAt > e.window {
		for k, at := range e.lastEffect {
			if now-at > e.window {
				delete(e.lastEffect, k)
			}
		}
		e.sweptAt = now
	}
	if at, ok := e.lastEffect[key]; ok && now-at <= e.window {
		return false
	}
	e.lastEffect[key] = now
	return true
}

// Server is a report server, which can be restarted. It is safe for concurrent use.
type Server struct {
	cfg     ServerConfig
	work    Work
	log     *referee.Log
	effects *Effects
	http    *http.Server
	serving sync.WaitGroup

	mu          sync.Mutex
	rng         *rand.Rand
	model       *backendmodel.Server
	incarnation int // number of restarts
	faults      Faults
	conns       int // number of open connections
	nextJob     uint64
	jobs        map[uint64]chan struct{} // by job id; closed when the job is done
	timer       *time.Timer              // fires at the model's next event
	done        []backendmodel.Done      // buffer for completeJobs
	toppled     bool                     // whether Toppled was logged since the last start
	stats       Stats
}

// Stats are counted over all lives of a server.
type Stats struct {
	Connections, Probes, Ran, Rejected int
	KeysKnown, KeysSeen                int // requests whose key was cached, and all requests with a key
	// Pressed is the maximum load on the server while cold, as a fraction of the load that topples it.
	Pressed float64
	Toppled bool
}

// peerInfo is implemented by connections that know the party that opened them: its name, and when it sent the
// first byte of its last message.
type peerInfo interface {
	From() string
	Sent() time.Time
}

// peerInfoKey is the context key of a connection's peerInfo.
type peerInfoKey struct{}

// NewServer returns a server that is warm, as if it had been running for a long time.
func NewServer(cfg ServerConfig, work Work, log *referee.Log, effects *Effects) *Server {
	s := &Server{cfg: cfg, work: work, log: log, effects: effects, rng: rand.New(rand.NewPCG(cfg.Seed, 3)),
		jobs: map[uint64]chan struct{}{}, model: backendmodel.New(cfg.Model, 0)}
	s.timer = time.AfterFunc(time.Hour, s.advance)
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: cfg.IdleTimeout, ConnState: s.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if n, ok := c.(peerInfo); ok {
				return context.WithValue(ctx, peerInfoKey{}, n)
			}
			return ctx
		}, ErrorLog: nil}
	return s
}

// Serve accepts the connections of a listener in the background until the listener is closed.
func (s *Server) Serve(ln net.Listener) {
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		if err := s.http.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) &&
			!errors.Is(err, net.ErrClosed) {
			panic(fmt.Sprintf("emu: %s: %v", s.cfg.ID, err)) // a bug of the testbed
		}
	}()
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.http.Close()
	s.serving.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}

// ID returns the server's id.
func (s *Server) ID() string { return s.cfg.ID }

// Zone returns the server's zone.
func (s *Server) Zone() string { return s.cfg.Zone }

// ms converts a time of the log's clock to ms of the model's clock, whose 0 is long before the log's.
func ms(t time.Duration) float64 { return 1e6 + float64(t.Microseconds())/1000 }

// now returns the current time of the model's clock.
func (s *Server) now() float64 { return ms(s.log.Now()) }

// Restart restarts the server, which is cold then and has lost the requests that it held.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectStats()
	s.incarnation++
	s.jobs = map[uint64]chan struct{}{} // requests that wait for these jobs end with their connections
	s.toppled = false
	s.model = backendmodel.New(s.cfg.Model, s.now())
	s.model.SetSlowdown(max(s.faults.Slowdown, 1))
}

// SetFaults replaces the faults that are injected into the server.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.model.SetSlowdown(max(f.Slowdown, 1))
}

// collectStats adds the figures of the current model to the stats. It is called with mu held.
func (s *Server) collectStats() {
	known, seen := s.model.KeyCounts()
	s.stats.KeysKnown += known
	s.stats.KeysSeen += seen
	s.stats.Pressed = max(s.stats.Pressed, s.model.PeakColdLoad())
	s.stats.Toppled = s.stats.Toppled || s.model.Collapsed()
}

// Stats returns the figures of all lives so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectStats()
	return s.stats
}

// Truth is a server's true state, which agents can't see.
type Truth struct {
	Inflight    int     // number of requests that it holds
	Capacity    float64 // work in ms, of a core of speed 1, that it does in a ms; 0 if it has toppled
	SuccessRate float64 // fraction of its answers that are good
}

// Truth returns the server's current state.
func (s *Server) Truth() Truth {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.model.Collapsed() {
		return Truth{}
	}
	return Truth{Inflight: s.model.Load(now).Inflight, Capacity: s.model.Capacity(now),
		SuccessRate: (1 - s.faults.Errors) * (1 - s.faults.Malformed) * (1 - s.faults.Lost)}
}

// track counts connections. A new connection costs the server work.
func (s *Server) track(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stats.Connections++
		if s.conns++; s.cfg.MaxConns > 0 && s.conns > s.cfg.MaxConns {
			go c.Close()
			return
		}
		if s.cfg.HandshakeMs > 0 { // without work it takes no place in the queue
			s.model.Offer(s.now(), backendmodel.Job{WorkMs: s.cfg.HandshakeMs})
			s.arm()
		}
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns--
	}
}

// advance completes the jobs that are done by now.
func (s *Server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeJobs()
}

// completeJobs completes the jobs that are done by now. It is called with mu held.
func (s *Server) completeJobs() {
	s.done = s.model.Advance(s.now(), s.done[:0])
	for _, d := range s.done {
		if c := s.jobs[d.ID]; c != nil {
			delete(s.jobs, d.ID)
			close(c)
		}
	}
	s.arm()
}

// arm sets the timer to the model's next event. It is called with mu held.
func (s *Server) arm() {
	if at, found := s.model.Next(); found {
		s.timer.Reset(time.Duration(max(at-s.now(), 0) * float64(time.Millisecond)))
	}
}

// ServeHTTP answers a probe or a request, as the protocol says.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	agent, delay := "", time.Duration(0) // the sender, and the time since its first byte
	if n, ok := r.Context().Value(peerInfoKey{}).(peerInfo); ok {
		agent, _, _ = strings.Cut(n.From(), "@")
		delay = time.Since(n.Sent())
	}
	if r.Method == http.MethodGet && (r.URL.Path == "/-/load" || r.URL.Path == "/-/healthy") {
		s.probe(w, r.URL.Path == "/-/load")
		return
	}
	id := r.Header.Get("Request-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	work, effect, known := s.work(id)
	if !known {
		http.Error(w, "no client sent this request", http.StatusBadRequest)
		return
	}
	e := referee.Event{Kind: referee.Attempted, Agent: agent, Server: s.cfg.ID, Request: id, Effect: effect,
		Key: r.Header.Get("Idempotency-Key")}
	if delay > 0 {
		e.SentAt = max(s.log.Now()-delay, 1)
	}
	s.log.Add(e)
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		return // the request did not arrive completely, so it does not run
	}
	answer := s.run(r.Context(), e, keyOf(r.URL.EscapedPath()), work)
	switch answer {
	case served:
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, Answer(id)) // the client may have disconnected
	case failed:
		w.WriteHeader(http.StatusInternalServerError)
	case rejected:
		w.Header().Set("Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case malformed, lost:
		c, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if answer == malformed {
			_, _ = buf.WriteString("HTTP/1.1 2OO what\r\nContent-Length: -7\r\n\r\n\x00\x01")
			_ = buf.Flush()
		}
		c.Close()
	case aborted:
		panic(http.ErrAbortHandler) // the server was restarted or the request was canceled
	}
}

// Answer returns the body that a report server makes for a request.
func Answer(requestID string) string { return "report of " + requestID }

// answer is how a request is answered.
type answer uint8

const (
	served    answer = iota
	failed           // status 500
	rejected         // status 503: it was not started
	malformed        // a malformed response
	lost             // the connection is closed without a response
	aborted          // the server was restarted or the request was canceled
)

// run processes a request and returns how it is answered.
func (s *Server) run(ctx context.Context, e referee.Event, key uint64, work float64) answer {
	s.mu.Lock()
	note := func(k referee.Kind) {
		e.Kind, e.At = k, 0
		s.log.Add(e)
	}
	if s.rng.Float64() < s.faults.Errors {
		s.mu.Unlock()
		note(referee.Arrived)
		note(referee.Ended)
		return failed
	}
	s.completeJobs()
	s.nextJob++
	id, done, life := s.nextJob, make(chan struct{}), s.incarnation
	if !s.model.Offer(s.now(), backendmodel.Job{ID: id, Key: key, WorkMs: work}) {
		s.stats.Rejected++
		if s.model.Collapsed() && !s.toppled {
			s.toppled = true
			defer s.log.Add(referee.Event{Kind: referee.Toppled, Server: s.cfg.ID})
		}
		s.mu.Unlock()
		return rejected
	}
	s.jobs[id] = done
	s.stats.Ran++
	s.arm()
	s.mu.Unlock()
	note(referee.Arrived)
	defer note(referee.Ended)
	if e.Effect != referee.Deduplicated || s.effects.First(e.Key, s.log.Now()) {
		note(referee.Ran)
	}
	select {
	case <-done:
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.incarnation == life {
			delete(s.jobs, id)
			s.model.Cancel(s.now(), id)
		}
		return aborted
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch x := s.rng.Float64(); {
	case s.incarnation != life:
		return aborted
	case x < s.faults.Malformed:
		return malformed
	case x < s.faults.Malformed+s.faults.Lost:
		return lost
	}
	return served
}

// probe answers a probe, with the server's load and some noise if load is set.
func (s *Server) probe(w http.ResponseWriter, load bool) {
	s.mu.Lock()
	s.stats.Probes++
	if s.cfg.ProbeMs > 0 {
		s.model.Offer(s.now(), backendmodel.Job{WorkMs: s.cfg.ProbeMs})
		s.arm()
	}
	l := s.model.Load(s.now())
	noise := func(x float64) float64 { return x * (1 + s.cfg.Noise*(2*s.rng.Float64()-1)) }
	text := fmt.Sprintf("inflight=%d,util=%.3f,latency_ms=%.1f,qps=%.1f", l.Inflight, min(noise(l.Util), 1),
		noise(l.LatencyMs), noise(l.QPS))
	down := s.model.Collapsed()
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if load {
		_, _ = io.WriteString(w, text)
	}
}

// keyOf returns the hash of the last element of a request's path, which identifies the object of the request.
func keyOf(p string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(path.Base(p)))
	return h.Sum64()
}
