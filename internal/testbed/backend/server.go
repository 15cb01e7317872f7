// Package backend emulates on real sockets what agents of the program meet: report servers and
// discovery, as PROTOCOL and WIRE describe them. What a server does with its time is the
// model's (internal/testbed/backendmodel); this package gives it a clock, connections and faults.
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
	// maxBody bounds a request's body, as the protocol does.
	maxBody = 64 << 10
	// headTime bounds how long a head may take to come.
	headTime = 5 * time.Second
)

// Work tells what a request takes; false for an id that no client sent.
type Work func(requestID string) (workMs float64, effect referee.Effect, ok bool)

// ServerConfig is one report server.
type ServerConfig struct {
	ID, Zone    string
	Seed        uint64
	Model       backendmodel.Config
	HandshakeMs float64 // work for a new connection
	ProbeMs     float64 // and for a probe
	MaxConns    int     // 0: no bound
	IdleFor     time.Duration
	Noise       float64 // of load reports: up to so much more or less
}

// Faults are what a server does wrong at a moment.
type Faults struct {
	Slow   float64 // times slower; 0 and 1 are its make
	Errors float64 // part of the requests that fail quickly
	Spoilt float64 // part of the answers that can't be read
	Lost   float64 // part of the answers that never come, but a reset
}

// Effects remembers when each key had its effect, for all report servers together: they drop
// the repeats of a key for a time. It is safe for concurrent use and bounded by that time.
type Effects struct {
	mu     sync.Mutex
	window time.Duration
	at     map[string]time.Duration
	swept  time.Duration
}

// NewEffects returns the memory of a fleet.
func NewEffects(window time.Duration) *Effects {
	return &Effects{window: window, at: map[string]time.Duration{}}
}

// First tells whether a key has its effect now, and is not a repeat that is dropped.
func (e *Effects) First(key string, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-e.swept > e.window {
		for k, at := range e.at {
			if now-at > e.window {
				delete(e.at, k)
			}
		}
		e.swept = now
	}
	if at, ok := e.at[key]; ok && now-at <= e.window {
		return false
	}
	e.at[key] = now
	return true
}

// Server is one report server, over several lives of its process. It is safe for concurrent
// use.
type Server struct {
	cfg     ServerConfig
	work    Work
	log     *referee.Log
	effects *Effects
	http    *http.Server
	owner   sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	model   *backendmodel.Server
	life    int
	faults  Faults
	conns   int
	nextJob uint64
	jobs    map[uint64]chan struct{}
	timer   *time.Timer
	done    []backendmodel.Done
	toppled bool
	stats   Stats
}

// Stats are counted over a server's whole run.
type Stats struct {
	Connections, Probes, Ran, TurnedAway int
	KeysKnown, KeysMet                   int
	Pressed                              float64 // the most a cold life was offered, as a part of what topples it
	Toppled                              bool
}

// near is what a connection knows of the party that opened it: who it is, and when it sent the
// first byte of its last message.
type near interface {
	From() string
	Sent() time.Time
}

type nearKey struct{}

// NewServer returns a server that has been up for long.
func NewServer(cfg ServerConfig, work Work, log *referee.Log, effects *Effects) *Server {
	s := &Server{cfg: cfg, work: work, log: log, effects: effects, rng: rand.New(rand.NewPCG(cfg.Seed, 3)),
		jobs: map[uint64]chan struct{}{}, model: backendmodel.New(cfg.Model, 0)}
	s.timer = time.AfterFunc(time.Hour, s.advance)
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headTime, IdleTimeout: cfg.IdleFor, ConnState: s.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if n, ok := c.(near); ok {
				return context.WithValue(ctx, nearKey{}, n)
			}
			return ctx
		}, ErrorLog: nil}
	return s
}

// Serve takes the connections of a listener until it is closed.
func (s *Server) Serve(ln net.Listener) {
	s.owner.Add(1)
	go func() {
		defer s.owner.Done()
		if err := s.http.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic(fmt.Sprintf("emu: %s: %v", s.cfg.ID, err)) // a bug of the emulator
		}
	}()
}

// Close ends the server and its connections.
func (s *Server) Close() {
	s.http.Close()
	s.owner.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}

// ID and Zone name it.
func (s *Server) ID() string   { return s.cfg.ID }
func (s *Server) Zone() string { return s.cfg.Zone }

// ms is the log's clock as the model counts it; the model's 0 is long ago.
func ms(t time.Duration) float64 { return 1e6 + float64(t.Microseconds())/1000 }

func (s *Server) now() float64 { return ms(s.log.Now()) }

// Restart begins a new life, cold: what its old one held is gone.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count()
	s.life++
	s.jobs = map[uint64]chan struct{}{} // nobody will tell those who wait; their connections go
	s.toppled = false
	s.model = backendmodel.New(s.cfg.Model, s.now())
	s.model.Slow(max(s.faults.Slow, 1))
}

// Fault changes what it does wrong.
func (s *Server) Fault(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.model.Slow(max(f.Slow, 1))
}

// count takes over the figures of the life at hand.
func (s *Server) count() {
	known, met := s.model.Keys()
	s.stats.KeysKnown += known
	s.stats.KeysMet += met
	s.stats.Pressed = max(s.stats.Pressed, s.model.Pressed())
	s.stats.Toppled = s.stats.Toppled || s.model.Down()
}

// Stats returns the figures of all its lives.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count()
	return s.stats
}

// Truth is a server's true state, as no agent can see it.
type Truth struct {
	Inflight int
	Capacity float64 // work in ms that it can do in a ms
	Good     float64 // part of its answers that are good
}

// Truth tells its state of now.
func (s *Server) Truth() Truth {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.model.Down() {
		return Truth{}
	}
	return Truth{Inflight: s.model.Load(now).Inflight, Capacity: s.model.Capacity(now),
		Good: (1 - s.faults.Errors) * (1 - s.faults.Spoilt) * (1 - s.faults.Lost)}
}

// track counts connections; a new one is work.
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
		if s.cfg.HandshakeMs > 0 { // no work takes no place in the queue
			s.model.Offer(s.now(), backendmodel.Job{WorkMs: s.cfg.HandshakeMs})
			s.arm()
		}
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns--
	}
}

// advance ends what is done by now.
func (s *Server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
}

func (s *Server) settle() {
	s.done = s.model.Advance(s.now(), s.done[:0])
	for _, d := range s.done {
		if c := s.jobs[d.ID]; c != nil {
			delete(s.jobs, d.ID)
			close(c)
		}
	}
	s.arm()
}

func (s *Server) arm() {
	if at, some := s.model.Next(); some {
		s.timer.Reset(time.Duration(max(at-s.now(), 0) * float64(time.Millisecond)))
	}
}

// ServeHTTP answers one request, as the protocol says.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	agent, onWay := "", time.Duration(0)
	if n, ok := r.Context().Value(nearKey{}).(near); ok {
		agent, _, _ = strings.Cut(n.From(), "@")
		onWay = time.Since(n.Sent())
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
	if onWay > 0 {
		e.Sent = max(s.log.Now()-onWay, 1)
	}
	s.log.Add(e)
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		return // it never came whole, so it never ran
	}
	answer := s.run(r.Context(), e, keyOf(r.URL.EscapedPath()), work)
	switch answer {
	case served:
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, Answer(id)) // to a client that has gone nothing more is owed
	case failed:
		w.WriteHeader(http.StatusInternalServerError)
	case turnedAway:
		w.Header().Set("Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case spoilt, lost:
		c, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if answer == spoilt {
			_, _ = buf.WriteString("HTTP/1.1 2OO what\r\nContent-Length: -7\r\n\r\n\x00\x01")
			_ = buf.Flush()
		}
		c.Close()
	case gone:
		panic(http.ErrAbortHandler) // the process that held it has died
	}
}

// Answer is the body that a report server makes for a request.
func Answer(requestID string) string { return "report of " + requestID }

type answer uint8

const (
	served answer = iota
	failed
	turnedAway
	spoilt
	lost
	gone
)

// run does the work of a request and tells how it is answered.
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
	s.settle()
	s.nextJob++
	id, done, life := s.nextJob, make(chan struct{}), s.life
	if !s.model.Offer(s.now(), backendmodel.Job{ID: id, Key: key, WorkMs: work}) {
		s.stats.TurnedAway++
		if s.model.Down() && !s.toppled {
			s.toppled = true
			defer s.log.Add(referee.Event{Kind: referee.Toppled, Server: s.cfg.ID})
		}
		s.mu.Unlock()
		return turnedAway
	}
	s.jobs[id] = done
	s.stats.Ran++
	s.arm()
	s.mu.Unlock()
	note(referee.Arrived)
	defer note(referee.Ended)
	if e.Effect != referee.Keyed || s.effects.First(e.Key, s.log.Now()) {
		note(referee.Ran)
	}
	select {
	case <-done:
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.life == life {
			delete(s.jobs, id)
			s.model.Cancel(s.now(), id)
		}
		return gone
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch x := s.rng.Float64(); {
	case s.life != life:
		return gone
	case x < s.faults.Spoilt:
		return spoilt
	case x < s.faults.Spoilt+s.faults.Lost:
		return lost
	}
	return served
}

// probe answers with the load, a little noisy.
func (s *Server) probe(w http.ResponseWriter, load bool) {
	s.mu.Lock()
	s.stats.Probes++
	if s.cfg.ProbeMs > 0 {
		s.model.Offer(s.now(), backendmodel.Job{WorkMs: s.cfg.ProbeMs})
		s.arm()
	}
	l := s.model.Load(s.now())
	noise := func(x float64) float64 { return x * (1 + s.cfg.Noise*(2*s.rng.Float64()-1)) }
	text := fmt.Sprintf("inflight=%d,util=%.3f,latency_ms=%.1f,qps=%.1f", l.Inflight, min(noise(l.Util), 1), noise(l.LatencyMs), noise(l.QPS))
	down := s.model.Down()
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if load {
		_, _ = io.WriteString(w, text)
	}
}

// keyOf is what a request is about: the last part of its path.
func keyOf(p string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(path.Base(p)))
	return h.Sum64()
}
