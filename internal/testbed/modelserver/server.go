package modelserver

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxBody bounds the body of a request.
	maxBody = 8 << 20
	// idleFor is how long an idle connection is kept; Keep-Alive tells it.
	idleFor = 20 * time.Second
	// reportStep is how often the report is brought up to date.
	reportStep = 50 * time.Millisecond
)

// Config is how a server is made.
type Config struct {
	Addr       string // where it listens; port 0 for any
	Service    string
	Zone       string
	Revision   string // of its software
	Model      string
	Weights    int // revision of the model
	Engine     EngineConfig
	ConnLimit  int
	HealthPath string
	ReportLag  time.Duration // how old a report is
	Seed       uint64

	// Now is the clock of records, of the laboratory's own. It has to be steady.
	Now func() time.Duration
	// Seen is told what the server did, from many goroutines. It must not block.
	Seen func(Record)

	Beats *BeatConfig // nil: it tells nobody of itself
}

// RecordKind is what a server did.
type RecordKind uint8

// The kinds of records.
const (
	Arrived    RecordKind = iota // a whole request
	TurnedAway                   // the answer was that it has not run: Status
	Started                      // it began to run
	Ended                        // Pieces: the last event's number; Whole: the stream's end was sent
	Unrunnable                   // what came has no id or cannot be read; it was not run
	Draining                     // its draining was acknowledged, by Agent
	Gone                         // its leaving was acknowledged, by Agent
	Crashed                      // it broke off all that it did
)

// Record is one thing that a server did.
type Record struct {
	At       time.Duration
	Kind     RecordKind
	Service  string
	Instance string
	Seal     string // of the run
	Attempt  string
	Method   string
	Target   string // path and query
	Host     string
	Body     uint64 // its Sum
	Status   int
	First    int // of Started: the number of the first event that it makes
	Pieces   int
	Whole    bool
	Agent    string
}

// Figures are counts over a server's life.
type Figures struct {
	Load
	Arrived, Ran, TurnedAway, Conns, ConnsReset int
	Health, Reports                             int
}

// Server is one incarnation of a model server on a socket. Start starts it; Leave, Crash or
// Close ends it.
type Server struct {
	cfg  Config
	id   string
	ln   net.Listener
	http *http.Server

	ctx      context.Context
	cancel   context.CancelFunc
	owner    sync.WaitGroup
	ending   sync.Once
	draining atomic.Bool
	beats    *beater

	arrived, ran, turned, accepted, reset, health, reports atomic.Int64

	mu     sync.Mutex // guards what follows; held for no I/O
	engine *Engine
	epoch  time.Time
	lastID uint64
	sinks  map[uint64]chan Output
	past   []snapshot
	wake   chan struct{}
	conns  map[net.Conn]bool
}

type snapshot struct {
	at   time.Duration
	load Load
}

// Start starts a server. It listens when Start returns, and its first beat is under way.
func Start(cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "model server of %s", cfg.Service)
	}
	cfg.Addr = ln.Addr().String()
	if cfg.HealthPath == "" {
		cfg.HealthPath = "/health"
	}
	if cfg.Seen == nil {
		cfg.Seen = func(Record) {}
	}
	s := &Server{cfg: cfg, id: "i-" + strconv.FormatUint(rand.Uint64(), 16), engine: NewEngine(cfg.Engine), epoch: time.Now(),
		sinks: map[uint64]chan Output{}, wake: make(chan struct{}, 1), conns: map[net.Conn]bool{}}
	s.past = []snapshot{{load: s.engine.Load()}} // what a report tells until its lag has passed
	if cfg.Now == nil {
		s.cfg.Now = func() time.Duration { return time.Since(s.epoch) }
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.ln = &limited{Listener: ln, s: s}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: idleFor, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 10 * time.Second,
		ConnState: s.connState, BaseContext: func(net.Listener) context.Context { return s.ctx }}
	s.owner.Go(func() { _ = s.http.Serve(s.ln) }) // it ends by Close
	s.owner.Go(s.run)
	if cfg.Beats != nil {
		s.beats = newBeater(s, *cfg.Beats)
		s.owner.Go(s.beats.run)
	}
	return s, nil
}

// ID is the incarnation's, Addr where it listens, Service whose it is.
func (s *Server) ID() string      { return s.id }
func (s *Server) Addr() string    { return s.cfg.Addr }
func (s *Server) Service() string { return s.cfg.Service }

// Registered is closed when the first beat has been acknowledged; nil without beats.
func (s *Server) Registered() <-chan struct{} {
	if s.beats == nil {
		return nil
	}
	return s.beats.registered
}

// Figures is what it did so far.
func (s *Server) Figures() Figures {
	s.mu.Lock()
	l := s.engine.Load()
	s.mu.Unlock()
	return Figures{Load: l, Arrived: int(s.arrived.Load()), Ran: int(s.ran.Load()), TurnedAway: int(s.turned.Load()),
		Conns: int(s.accepted.Load()), ConnsReset: int(s.reset.Load()), Health: int(s.health.Load()), Reports: int(s.reports.Load())}
}

// Crash ends it as a crash does: all connections are reset, and nobody is told.
func (s *Server) Crash() {
	s.record(Record{Kind: Crashed})
	s.end(true)
}

// Close ends it for the laboratory's own end.
func (s *Server) Close() { s.end(true) }

func (s *Server) end(hard bool) {
	s.ending.Do(func() {
		s.ln.Close()
		if hard {
			s.mu.Lock()
			for c := range s.conns {
				if t, ok := c.(*net.TCPConn); ok {
					_ = t.SetLinger(0) // the kernel resets it
				}
			}
			s.mu.Unlock()
		}
		s.cancel()
		s.http.Close()
	})
	s.owner.Wait()
}

func (s *Server) record(r Record) {
	r.At, r.Service, r.Instance = s.cfg.Now(), s.cfg.Service, s.id
	s.cfg.Seen(r)
}

// limited resets connections beyond the limit.
type limited struct {
	net.Listener
	s *Server
}

func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.s.mu.Lock()
		over := l.s.cfg.ConnLimit > 0 && len(l.s.conns) >= l.s.cfg.ConnLimit
		if !over {
			l.s.conns[c] = true
		}
		l.s.mu.Unlock()
		if !over {
			l.s.accepted.Add(1)
			return c, nil
		}
		l.s.reset.Add(1)
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (s *Server) connState(c net.Conn, st http.ConnState) {
	if st == http.StateClosed || st == http.StateHijacked {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}
}

// clock is the engine's.
func (s *Server) clock() time.Duration { return time.Since(s.epoch) }

// run drives the engine: the one goroutine by which its time goes on.
func (s *Server) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	report := time.NewTicker(reportStep)
	defer report.Stop()
	var out []Output
	for {
		s.mu.Lock()
		out = s.engine.Advance(s.clock(), out[:0])
		for _, o := range out {
			if c := s.sinks[o.Job]; c != nil {
				c <- o // it has room for all outputs of its job
			}
		}
		at, busy := s.engine.Next()
		s.mu.Unlock()
		if busy {
			timer.Reset(at - s.clock())
		} else {
			timer.Stop()
		}
		select {
		case <-timer.C:
		case <-s.wake:
		case <-report.C:
			s.mu.Lock()
			now := s.clock()
			s.past = append(s.past, snapshot{now, s.engine.Load()})
			for len(s.past) > 1 && s.past[1].at <= now-s.cfg.ReportLag {
				s.past = s.past[1:]
			}
			s.mu.Unlock()
		case <-s.ctx.Done():
			return
		}
	}
}

// submit hands the engine a job and returns where its outputs come.
func (s *Server) submit(j Job) (uint64, <-chan Output, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	j.ID = s.lastID
	if j.Deadline > 0 {
		j.Deadline += s.clock()
	}
	// A start, each event, and the deadline.
	sink := make(chan Output, (j.Out-j.Made)/max(s.cfg.Engine.Stride, 1)+3)
	if !s.engine.Submit(s.clock(), j) {
		return 0, nil, false
	}
	s.sinks[j.ID] = sink
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return j.ID, sink, true
}

func (s *Server) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Cancel(id)
	delete(s.sinks, id)
}

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(HeaderInstance, s.id)
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleFor/time.Second)))
	if s.draining.Load() {
		h.Set("Connection", "close")
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == ReportPath:
		s.reports.Add(1)
		s.report(w)
	case r.Method == http.MethodGet && r.URL.Path == s.cfg.HealthPath:
		s.health.Add(1)
		s.healthy(w, r)
	default:
		s.request(w, r)
	}
}

// load tells what it holds in the header that some servers send.
func (s *Server) load(h http.Header) {
	s.mu.Lock()
	l := s.engine.Load()
	s.mu.Unlock()
	h.Set(HeaderLoad, strconv.Itoa(l.Running)+","+strconv.Itoa(l.Waiting)+","+strconv.Itoa(l.Slots))
}

func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	l := Load{Slots: s.cfg.Engine.Slots, KVTotal: s.cfg.Engine.KVTokens}
	if len(s.past) > 0 {
		l = s.past[0].load
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct { // or the asker has gone
		Phase     string  `json:"phase"`
		Models    []Model `json:"models"`
		Saturated bool    `json:"saturated"`
		CallSeq   uint64  `json:"call-seq"`
		Queued    int     `json:"queued"`
		InFlight  int     `json:"in-flight"`
		KVUsed    int     `json:"kv-used"`
		KVTotal   int     `json:"kv-total"`
		Handles   int     `json:"open-handles"`
	}{Phase: phase, Models: s.models(), Queued: l.Waiting, InFlight: l.Running, KVUsed: l.KVUsed, KVTotal: l.KVTotal})
}

// phase is the only one there is: servers that read prompts and put out tokens.
const phase = "both_paths"

// Model is one that a server holds.
type Model struct {
	Name     string   `json:"name"`
	Revision int      `json:"revision"`
	Adapters []string `json:"adapters"`
}

func (s *Server) models() []Model { return []Model{{s.cfg.Model, s.cfg.Weights, []string{}}} }

// healthy answers a health check, which takes a place like a request.
func (s *Server) healthy(w http.ResponseWriter, r *http.Request) {
	s.load(w.Header())
	if s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id, sink, ok := s.submit(Job{Model: "health", Parts: []Part{{ID: "health", Tokens: 1}}, Out: 1})
	if !ok {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.forget(id)
	for {
		select {
		case o := <-sink:
			if o.Kind == Piece {
				return
			}
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// request runs one request of the model.
func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil || len(body) > maxBody {
		panic(http.ErrAbortHandler) // its sender has gone, or is none of ours
	}
	rec := Record{Attempt: r.Header.Get(HeaderAttempt), Method: r.Method, Target: r.URL.RequestURI(), Host: r.Host, Body: Sum(string(body))}
	note := func(k RecordKind) { rec.Kind = k; s.record(rec) }
	away := func(status int, notRun bool) {
		s.turned.Add(1)
		rec.Status = status
		note(TurnedAway)
		if notRun {
			w.Header().Set(HeaderNotRun, "1")
		}
		s.load(w.Header())
		w.WriteHeader(status)
	}
	if rec.Attempt == "" {
		note(Unrunnable)
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(HeaderAttempt, rec.Attempt)
	s.arrived.Add(1)
	note(Arrived)
	if x := r.Header.Get(HeaderExpect); x != "" && x != s.id {
		away(http.StatusMisdirectedRequest, false)
		return
	}
	if x := r.Header.Get(HeaderVersion); x != "" && x != strconv.Itoa(s.cfg.Weights) {
		away(http.StatusMisdirectedRequest, false)
		return
	}
	prompt := PromptOf(r.Header, rec.Body)
	j, err := s.job(prompt, r.Header)
	if err != nil {
		note(Unrunnable)
		w.Header().Set(HeaderNotRun, "1")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, sink, ok := s.submit(j)
	if !ok {
		away(http.StatusServiceUnavailable, true)
		return
	}
	defer s.forget(id)
	s.stream(w, r, prompt, sink, rec, away)
}

// job is what the engine has to do for a prompt.
func (s *Server) job(p Prompt, h http.Header) (j Job, err error) {
	j = Job{Model: p.Model, Out: p.Out(), Priority: 5}
	if j.Parts, _, err = p.parse(); err != nil {
		return j, err
	}
	if x := h.Get(HeaderPriority); x != "" {
		if j.Priority, err = strconv.Atoi(x); err != nil || j.Priority < 0 || j.Priority > 9 {
			return j, errors.Errorf("%s %q: give 0 to 9", HeaderPriority, x)
		}
	}
	if x := h.Get(HeaderDeadline); x != "" {
		ms, err := strconv.ParseInt(x, 10, 32)
		if err != nil || ms < 1 {
			return j, errors.Errorf("%s %q: give a number of ms from 1", HeaderDeadline, x)
		}
		j.Deadline = time.Duration(ms) * time.Millisecond
	}
	if x := h.Get(HeaderLastID); x != "" {
		n, err := strconv.Atoi(x)
		if err != nil || n < 0 || n >= p.Pieces(max(s.cfg.Engine.Stride, 1)) {
			return j, errors.Errorf("%s %q: give the number of an event before the last", HeaderLastID, x)
		}
		j.Made = n * max(s.cfg.Engine.Stride, 1)
	}
	return j, nil
}

// stream passes on what the engine puts out.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, p Prompt, sink <-chan Output, rec Record, away func(int, bool)) {
	out := http.NewResponseController(w)
	rec.First, rec.Pieces = 0, 0
	note := func(k RecordKind) { rec.Kind = k; s.record(rec) }
	for {
		var o Output
		select {
		case o = <-sink:
		case <-r.Context().Done():
			if rec.Seal != "" {
				note(Ended)
			}
			panic(http.ErrAbortHandler) // the asker has gone, or the server ends
		}
		switch o.Kind {
		case Ran:
			rec.Seal = s.id[2:] + "." + strconv.FormatInt(s.ran.Add(1), 10) + "." + strconv.FormatUint(Sum(rec.Attempt)>>32, 16)
			rec.First = 1
			if x := r.Header.Get(HeaderLastID); x != "" {
				n, _ := strconv.Atoi(x) // job has read it
				rec.First = n + 1
			}
			note(Started)
			rec.Pieces = rec.First - 1
		case Piece:
			if rec.Pieces == rec.First-1 {
				h := w.Header()
				h.Set("Content-Type", "text/event-stream")
				h.Set("Cache-Control", "no-store")
				h.Set(HeaderSeal, rec.Seal)
				h.Set(HeaderVersions, strconv.Itoa(s.cfg.Weights))
				s.load(h)
				rec.Status = http.StatusOK
			}
			// What is noted as made may be on its way before the note, or be lost after it.
			rec.Pieces, rec.Whole = o.N, o.Last
			if o.Last {
				note(Ended)
			}
			_, err := w.Write(p.event(o.N, rec.Seal, s.cfg.Now(), o.Last))
			if err == nil {
				err = out.Flush()
			}
			if o.Last {
				return
			}
			if err != nil {
				note(Ended)
				panic(http.ErrAbortHandler)
			}
		case Expired:
			switch {
			case !o.Ran:
				away(http.StatusServiceUnavailable, true)
			case rec.Status == 0:
				rec.Status = http.StatusGatewayTimeout
				note(Ended)
				w.WriteHeader(http.StatusGatewayTimeout)
			default:
				note(Ended)
				panic(http.ErrAbortHandler) // cut short: it does not look complete
			}
			return
		}
	}
}

// shuffled is a list in an order drawn for this server.
func (s *Server) shuffled(list []string) []string {
	out := append([]string(nil), list...)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
