package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/referee"
)

// Target is one entry of discovery's list, in the protocol's form.
type Target struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"`
}

// The states of a target.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// List is an answer of discovery.
type List struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Target `json:"servers"`
}

// maxWait is the longest wait of a watch.
const maxWait = 60 * time.Second

// View is discovery as one agent sees it, at an address of the agent's own. Views of
// different agents may be late, stand still or differ. It is safe for concurrent use.
type View struct {
	agent string
	addr  string
	log   *referee.Log
	http  *http.Server
	owner sync.WaitGroup

	mu      sync.Mutex
	version uint64
	entries map[string]entry
	changed chan struct{} // closed at each change
	silent  bool
	before  List // while it is silent: the list as the agent's platform last had it
	frozen  bool
	late    []Target // what has come while it stood still
	busy    time.Duration
	calls   int
}

type entry struct {
	Target
	version uint64
}

// NewView returns an agent's view of a list, served on the listener until Close.
func NewView(agent string, log *referee.Log, list []Target, ln net.Listener) *View {
	v := &View{agent: agent, addr: ln.Addr().String(), log: log, version: 1, entries: map[string]entry{}, changed: make(chan struct{})}
	for _, t := range list {
		v.entries[t.ID] = entry{t, 1}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", v.serve)
	v.http = &http.Server{Handler: mux, ReadHeaderTimeout: headTime}
	v.owner.Add(1)
	go func() {
		defer v.owner.Done()
		if err := v.http.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic(fmt.Sprintf("emu: discovery of %s: %v", agent, err)) // a bug of the emulator
		}
	}()
	return v
}

// Addr is where it is served.
func (v *View) Addr() string { return v.addr }

// Close ends it.
func (v *View) Close() {
	v.http.Close()
	v.owner.Wait()
}

// Known is the whole list as an agent is given it at its start: as of now, or as of when the
// view fell silent.
func (v *View) Known() List {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.silent {
		return v.before
	}
	return v.list(0)
}

// Calls counts the calls.
func (v *View) Calls() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls
}

// Tell changes entries; a view that stands still tells them when it goes on.
func (v *View) Tell(changed ...Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen {
		v.late = append(v.late, changed...)
		return
	}
	v.apply(changed)
}

func (v *View) apply(changed []Target) {
	v.version++
	for _, t := range changed {
		v.entries[t.ID] = entry{t, v.version}
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

// Freeze lets the view stand still, or go on.
func (v *View) Freeze(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen = on; !on && len(v.late) > 0 {
		v.apply(v.late)
		v.late = nil
	}
}

// Silence lets it answer nothing, or answer again.
func (v *View) Silence(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if on && !v.silent {
		v.before = v.list(0)
	}
	v.silent = on
	close(v.changed)
	v.changed = make(chan struct{})
}

// Busy makes each whole list take so long, as of a discovery that is asked too much.
func (v *View) Busy(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy = d
}

// list is the answer to a call: what changed after a version, or all for 0.
func (v *View) list(after uint64) List {
	l := List{Version: v.version, Full: after == 0, Servers: []Target{}}
	for _, e := range v.entries {
		if e.version > after && (after > 0 || e.State != Removed) {
			l.Servers = append(l.Servers, e.Target)
		}
	}
	return l
}

func (v *View) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, bad := strconv.ParseUint(q.Get("wait"), 10, 32)
	watch := q.Has("index") || q.Has("wait")
	if watch && (err != nil || bad != nil) {
		http.Error(w, "index and wait are whole numbers", http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	v.calls++
	busy := v.busy
	v.mu.Unlock()
	if !watch || after == 0 {
		after = 0
		if !sleep(r.Context(), busy) {
			return
		}
	}
	until := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer until.Stop()
	for over := !watch; ; {
		v.mu.Lock()
		l, changed, silent := v.list(after), v.changed, v.silent
		v.mu.Unlock()
		if !silent && (over || l.Full || l.Version > after) {
			v.answer(w, l)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a list, and notes what the agent has been told by it.
func (v *View) answer(w http.ResponseWriter, l List) {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // plain data
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(text); err != nil {
		return // not told
	}
	for _, t := range l.Servers {
		v.log.Add(referee.Event{Kind: referee.Told, Agent: v.agent, Server: t.ID, State: t.State})
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
