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
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 8 << 20
	// idleTimeout is how long an idle connection is kept open. The Keep-Alive header announces it.
	idleTimeout = 20 * time.Second
	// reportInterval is the interval at which the load for reports is sampled.
	reportInterval = 50 * time.Millisecond
)

// Config configures a server.
type Config struct {
	Addr          string // address to listen on; port 0 chooses a free port
	Service       string
	Zone          string
	Revision      string // revision of the server's software
	Model         string
	ModelRevision int
	Engine        EngineConfig
	ConnLimit     int           // maximum number of open connections; zero if there is no limit
	HealthPath    string        // "/health" if empty
	ReportLag     time.Duration // age of the load in reports
	Seed          uint64        // not used

	// Now returns the time of records. It must be monotonic. If it is nil, times count from the start of the server.
	Now func() time.Duration
	// OnRecord is called for each record, concurrently. It must not block.
	OnRecord func(Record)

	Heartbeats *HeartbeatConfig // nil if the server does not register with agents
}

// RecordKind is the kind of a Record.
type RecordKind uint8

// The kinds of records.
const (
	Arrived        RecordKind = iota // a request was received completely
	Rejected                         // the request was answered with Status and not executed
	Started                          // the run of the request produced its first token
	Ended                            // the run ended
	InvalidRequest                   // the request has no attempt id or cannot be parsed; it was not executed
	Draining                         // Agent acknowledged that the server drains
	Deregistered                     // Agent acknowledged the deregistration of the server
	Crashed                          // the server crashed and cut off all requests
)

// Record is an event in the life of a server or of one of its requests.
type Record struct {
	At         time.Duration
	Kind       RecordKind
	Service    string
	Instance   string
	Seal       string // identifies the run; the response and its events carry it
	Attempt    string // attempt id of the request
	Method     string
	Target     string // path and query
	Host       string
	BodyHash   uint64 // Hash of the request's body
	Status     int
	FirstEvent int    // number of the first event that the run produces
	LastEvent  int    // number of the last event that the run produced
	Complete   bool   // the run produced the last event of the stream
	Agent      string // address of the agent, for Draining and Deregistered
}

// Stats holds a server's load and its totals since the start.
type Stats struct {
	Load
	Arrived, Executed, Rejected, Conns, ConnsReset int
	HealthChecks, Reports                          int
}

// Server is one incarnation of a model server that listens on a socket. Start starts it; Leave, Crash or Close ends it.
type Server struct {
	cfg  Config
	id   string
	ln   net.Listener
	http *http.Server

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	endOnce    sync.Once
	draining   atomic.Bool
	heartbeats *heartbeater // nil if the server does not register with agents

	arrived, executed, rejected, accepted, reset, healthChecks, reports atomic.Int64

	mu          sync.Mutex // guards the fields below; not held during I/O
	engine      *Engine
	startedAt   time.Time
	lastJobID   uint64
	outputs     map[uint64]chan Output // by job ID
	loadHistory []loadSample           // the first one is the load that reports contain
	jobAdded    chan struct{}
	conns       map[net.Conn]bool
}

// loadSample is the engine's load at a time.
type loadSample struct {
	at   time.Duration
	load Load
}

// Start starts a server. The server listens when Start returns, and sends its first heartbeat at once.
func Start(cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "model server of %s", cfg.Service)
	}
	cfg.Addr = ln.Addr().String()
	if cfg.HealthPath == "" {
		cfg.HealthPath = "/health"
	}
	if cfg.OnRecord == nil {
		cfg.OnRecord = func(Record) {}
	}
	s := &Server{cfg: cfg, id: "i-" + strconv.FormatUint(rand.Uint64(), 16), engine: NewEngine(cfg.Engine), startedAt: time.Now(),
		outputs: map[uint64]chan Output{}, jobAdded: make(chan struct{}, 1), conns: map[net.Conn]bool{}}
	s.loadHistory = []loadSample{{load: s.engine.Load()}} // reports contain the idle load until ReportLag has passed
	if cfg.Now == nil {
		s.cfg.Now = func() time.Duration { return time.Since(s.startedAt) }
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.ln = &limitedListener{Listener: ln, s: s}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: idleTimeout, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: 10 * time.Second,
		ConnState: s.connState, BaseContext: func(net.Listener) context.Context { return s.ctx }}
	s.goroutines.Go(func() { _ = s.http.Serve(s.ln) }) // returns when the listener is closed
	s.goroutines.Go(s.runEngine)
	if cfg.Heartbeats != nil {
		s.heartbeats = newHeartbeater(s, *cfg.Heartbeats)
		s.goroutines.Go(s.heartbeats.run)
	}
	return s, nil
}

// ID returns the instance id, which is different for each incarnation.
func (s *Server) ID() string { return s.id }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.cfg.Addr }

// Service returns the service that the server belongs to.
func (s *Server) Service() string { return s.cfg.Service }

// Registered returns a channel that is closed when an agent has acknowledged the first heartbeat; nil if the server
// sends no heartbeats.
func (s *Server) Registered() <-chan struct{} {
	if s.heartbeats == nil {
		return nil
	}
	return s.heartbeats.registered
}

// Stats returns the present load and the totals.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	l := s.engine.Load()
	s.mu.Unlock()
	return Stats{Load: l, Arrived: int(s.arrived.Load()), Executed: int(s.executed.Load()),
		Rejected: int(s.rejected.Load()), Conns: int(s.accepted.Load()), ConnsReset: int(s.reset.Load()),
		HealthChecks: int(s.healthChecks.Load()), Reports: int(s.reports.Load())}
}

// Crash ends the server as a crash does: it resets all connections and does not deregister.
func (s *Server) Crash() {
	s.record(Record{Kind: Crashed})
	s.end(true)
}

// Close ends the server at the end of a test, like Crash but without a record.
func (s *Server) Close() { s.end(true) }

// end closes the listener and all connections, and waits for the server's goroutines. With reset, connections are reset
// instead of closed.
func (s *Server) end(reset bool) {
	s.endOnce.Do(func() {
		s.ln.Close()
		if reset {
			s.mu.Lock()
			for c := range s.conns {
				if t, ok := c.(*net.TCPConn); ok {
					_ = t.SetLinger(0) // the kernel resets the connection on close
				}
			}
			s.mu.Unlock()
		}
		s.cancel()
		s.http.Close()
	})
	s.goroutines.Wait()
}

func (s *Server) record(r Record) {
	r.At, r.Service, r.Instance = s.cfg.Now(), s.cfg.Service, s.id
	s.cfg.OnRecord(r)
}

// limitedListener resets connections beyond the connection limit.
type limitedListener struct {
	net.Listener
	s *Server
}

func (l *limitedListener) Accept() (net.Conn, error) {
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

// engineTime returns the time on the engine's clock.
func (s *Server) engineTime() time.Duration { return time.Since(s.startedAt) }

// runEngine advances the engine and passes its outputs on. It is the only goroutine that does so.
func (s *Server) runEngine() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	var out []Output
	for {
		s.mu.Lock()
		out = s.engine.Advance(s.engineTime(), out[:0])
		for _, o := range out {
			if c := s.outputs[o.Job]; c != nil {
				c <- o // never blocks: the buffer holds all outputs of the job
			}
		}
		at, busy := s.engine.StepEnd()
		s.mu.Unlock()
		if busy {
			timer.Reset(at - s.engineTime())
		} else {
			timer.Stop()
		}
		select {
		case <-timer.C:
		case <-s.jobAdded:
		case <-report.C:
			s.mu.Lock()
			now := s.engineTime()
			s.loadHistory = append(s.loadHistory, loadSample{now, s.engine.Load()})
			for len(s.loadHistory) > 1 && s.loadHistory[1].at <= now-s.cfg.ReportLag {
				s.loadHistory = s.loadHistory[1:]
			}
			s.mu.Unlock()
		case <-s.ctx.Done():
			return
		}
	}
}

// submit adds a job to the engine. It returns the job's ID and the channel of its outputs, or false if the engine
// rejects the job.
func (s *Server) submit(j Job) (uint64, <-chan Output, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastJobID++
	j.ID = s.lastJobID
	if j.Deadline > 0 {
		j.Deadline += s.engineTime()
	}
	// Outputs are the first token, each event and the expiry.
	outputs := make(chan Output, (j.OutputTokens-j.PriorTokens)/max(s.cfg.Engine.Stride, 1)+3)
	if !s.engine.Submit(s.engineTime(), j) {
		return 0, nil, false
	}
	s.outputs[j.ID] = outputs
	select {
	case s.jobAdded <- struct{}{}:
	default:
	}
	return j.ID, outputs, true
}

// cancelJob cancels a job that may have ended, and drops its outputs.
func (s *Server) cancelJob(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Cancel(id)
	delete(s.outputs, id)
}

// serve handles reports, health checks and requests to the model.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(HeaderInstance, s.id)
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleTimeout/time.Second)))
	if s.draining.Load() {
		h.Set("Connection", "close")
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == ReportPath:
		s.reports.Add(1)
		s.writeReport(w)
	case r.Method == http.MethodGet && r.URL.Path == s.cfg.HealthPath:
		s.healthChecks.Add(1)
		s.checkHealth(w, r)
	default:
		s.handleRequest(w, r)
	}
}

// setLoadHeader sets the header with the present load: running jobs, waiting jobs and slots.
func (s *Server) setLoadHeader(h http.Header) {
	s.mu.Lock()
	l := s.engine.Load()
	s.mu.Unlock()
	h.Set(HeaderLoad, strconv.Itoa(l.Running)+","+strconv.Itoa(l.Waiting)+","+strconv.Itoa(l.Slots))
}

func (s *Server) writeReport(w http.ResponseWriter) {
	s.mu.Lock()
	l := Load{Slots: s.cfg.Engine.Slots, KVTotal: s.cfg.Engine.KVTokens}
	if len(s.loadHistory) > 0 {
		l = s.loadHistory[0].load
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct { // an error means that the caller has disconnected
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

// phase is the phase in heartbeats and reports: the server does both prefill and decoding.
const phase = "both_paths"

// Model describes a model in heartbeats and reports.
type Model struct {
	Name     string   `json:"name"`
	Revision int      `json:"revision"`
	Adapters []string `json:"adapters"`
}

func (s *Server) models() []Model { return []Model{{s.cfg.Model, s.cfg.ModelRevision, []string{}}} }

// checkHealth answers a health check, which takes a slot of the engine like a request.
func (s *Server) checkHealth(w http.ResponseWriter, r *http.Request) {
	s.setLoadHeader(w.Header())
	if s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id, outputs, ok := s.submit(Job{Model: "health", Parts: []Part{{ID: "health", Tokens: 1}}, OutputTokens: 1})
	if !ok {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.cancelJob(id)
	for {
		select {
		case o := <-outputs:
			if o.Kind == StreamEvent {
				return
			}
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// handleRequest handles a request to the model.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		panic(http.ErrAbortHandler) // the connection broke or the body is too large
	}
	rec := Record{Attempt: r.Header.Get(HeaderAttempt), Method: r.Method, Target: r.URL.RequestURI(), Host: r.Host, BodyHash: Hash(string(body))}
	record := func(k RecordKind) { rec.Kind = k; s.record(rec) }
	reject := func(status int, notRun bool) {
		s.rejected.Add(1)
		rec.Status = status
		record(Rejected)
		if notRun {
			w.Header().Set(HeaderNotRun, "1")
		}
		s.setLoadHeader(w.Header())
		w.WriteHeader(status)
	}
	if rec.Attempt == "" {
		record(InvalidRequest)
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(HeaderAttempt, rec.Attempt)
	s.arrived.Add(1)
	record(Arrived)
	if x := r.Header.Get(HeaderExpect); x != "" && x != s.id {
		reject(http.StatusMisdirectedRequest, false)
		return
	}
	if x := r.Header.Get(HeaderVersion); x != "" && x != strconv.Itoa(s.cfg.ModelRevision) {
		reject(http.StatusMisdirectedRequest, false)
		return
	}
	prompt := PromptOf(r.Header, rec.BodyHash)
	j, err := s.job(prompt, r.Header)
	if err != nil {
		record(InvalidRequest)
		w.Header().Set(HeaderNotRun, "1")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, outputs, ok := s.submit(j)
	if !ok {
		reject(http.StatusServiceUnavailable, true)
		return
	}
	defer s.cancelJob(id)
	s.stream(w, r, prompt, outputs, rec, reject)
}

// job returns the engine's job for a prompt and the headers of its request.
func (s *Server) job(p Prompt, h http.Header) (j Job, err error) {
	j = Job{Model: p.Model, OutputTokens: p.OutputTokens(), Priority: 5}
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
		if err != nil || n < 0 || n >= p.EventCount(max(s.cfg.Engine.Stride, 1)) {
			return j, errors.Errorf("%s %q: give the number of an event before the last", HeaderLastID, x)
		}
		j.PriorTokens = n * max(s.cfg.Engine.Stride, 1)
	}
	return j, nil
}

// stream writes the response of a job from its outputs.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, p Prompt, outputs <-chan Output, rec Record, reject func(int, bool)) {
	out := http.NewResponseController(w)
	rec.FirstEvent, rec.LastEvent = 0, 0
	record := func(k RecordKind) { rec.Kind = k; s.record(rec) }
	for {
		var o Output
		select {
		case o = <-outputs:
		case <-r.Context().Done():
			if rec.Seal != "" {
				record(Ended)
			}
			panic(http.ErrAbortHandler) // the client disconnected, or the server ends
		}
		switch o.Kind {
		case FirstToken:
			rec.Seal = s.id[2:] + "." + strconv.FormatInt(s.executed.Add(1), 10) + "." + strconv.FormatUint(Hash(rec.Attempt)>>32, 16)
			rec.FirstEvent = 1
			if x := r.Header.Get(HeaderLastID); x != "" {
				n, _ := strconv.Atoi(x) // job has validated it
				rec.FirstEvent = n + 1
			}
			record(Started)
			rec.LastEvent = rec.FirstEvent - 1
		case StreamEvent:
			if rec.LastEvent == rec.FirstEvent-1 {
				h := w.Header()
				h.Set("Content-Type", "text/event-stream")
				h.Set("Cache-Control", "no-store")
				h.Set(HeaderSeal, rec.Seal)
				h.Set(HeaderVersions, strconv.Itoa(s.cfg.ModelRevision))
				s.setLoadHeader(h)
				rec.Status = http.StatusOK
			}
			// The event counts as produced before it is written: it may still be lost on its way to the client.
			rec.LastEvent, rec.Complete = o.N, o.Last
			if o.Last {
				record(Ended)
			}
			_, err := w.Write(p.event(o.N, rec.Seal, s.cfg.Now(), o.Last))
			if err == nil {
				err = out.Flush()
			}
			if o.Last {
				return
			}
			if err != nil {
				record(Ended)
				panic(http.ErrAbortHandler)
			}
		case Expired:
			switch {
			case !o.Executed:
				reject(http.StatusServiceUnavailable, true)
			case rec.Status == 0:
				rec.Status = http.StatusGatewayTimeout
				record(Ended)
				w.WriteHeader(http.StatusGatewayTimeout)
			default:
				record(Ended)
				panic(http.ErrAbortHandler) // aborts the response, so that it does not look complete
			}
			return
		}
	}
}

// shuffled returns a copy of a list in random order.
func (s *Server) shuffled(list []string) []string {
	out := append([]string(nil), list...)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
