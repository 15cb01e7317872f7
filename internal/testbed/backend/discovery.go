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

// Target is an entry of discovery's list of servers, in the protocol's format.
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

// List is a response of discovery.
type List struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"` // whether it is the whole list, and not only the changes
	Servers []Target `json:"servers"`
}

// maxWait is the maximum time that a watch may wait for a change.
const maxWait = 60 * time.Second

// View is a discovery server for a single agent. Different agents' views may be delayed, frozen, unresponsive or
// different. It is safe for concurrent use.
type View struct {
	agent   string
	addr    string
	log     *referee.Log
	http    *http.Server
	serving sync.WaitGroup

	mu           sync.Mutex
	version      uint64
	entries      map[string]versionedTarget
	changed      chan struct{} // closed and replaced at each change
	unresponsive bool          // whether it answers no calls
	listBefore   List          // the list from before it became unresponsive
	frozen       bool          // whether it holds back changes
	pending      []Target      // changes that came while it is frozen
	listDelay    time.Duration // how long each full list takes
	calls        int           // number of calls
}

// versionedTarget is a target with the version of the list in which it last changed.
type versionedTarget struct {
	Target
	version uint64
}

// NewView returns an agent's view with an initial list. It is served on the listener until Close.
func NewView(agent string, log *referee.Log, list []Target, ln net.Listener) *View {
	v := &View{agent: agent, addr: ln.Addr().String(), log: log, version: 1, entries: map[string]versionedTarget{},
		changed: make(chan struct{})}
	for _, t := range list {
		v.entries[t.ID] = versionedTarget{t, 1}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", v.serve)
	v.http = &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout}
	v.serving.Add(1)
	go func() {
		defer v.serving.Done()
		if err := v.http.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) &&
			!errors.Is(err, net.ErrClosed) {
			panic(fmt.Sprintf("emu: discovery of %s: %v", agent, err)) // a bug of the testbed
		}
	}()
	return v
}

// Addr returns the address that the view is served at.
func (v *View) Addr() string { return v.addr }

// Close stops serving the view.
func (v *View) Close() {
	v.http.Close()
	v.serving.Wait()
}

// Known returns the full list that an agent gets in its configuration: the current one, or the one from
// before the view became unresponsive.
func (v *View) Known() List {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unresponsive {
		return v.listBefore
	}
	return v.list(0)
}

// Calls returns the number of calls so far.
func (v *View) Calls() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls
}

// Announce changes entries of the list. A frozen view holds the changes back until it is unfrozen.
func (v *View) Announce(changed ...Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen {
		v.pending = append(v.pending, changed...)
		return
	}
	v.apply(changed)
}

// apply changes entries and wakes the watches. It is called with mu held.
func (v *View) apply(changed []Target) {
	v.version++
	for _, t := range changed {
		v.entries[t.ID] = versionedTarget{t, v.version}
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

// SetFrozen makes the view hold back changes, or announce them again.
func (v *View) SetFrozen(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen = on; !on && len(v.pending) > 0 {
		v.apply(v.pending)
		v.pending = nil
	}
}

// SetUnresponsive makes the view answer no calls, or answer them again.
func (v *View) SetUnresponsive(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if on && !v.unresponsive {
		v.listBefore = v.list(0)
	}
	v.unresponsive = on
	close(v.changed)
	v.changed = make(chan struct{})
}

// SetListDelay sets how long each full list takes, which emulates an overloaded discovery service.
func (v *View) SetListDelay(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listDelay = d
}

// list returns the entries that changed after a version; for 0 it returns the full list. It is called with
// mu held.
func (v *View) list(after uint64) List {
	l := List{Version: v.version, Full: after == 0, Servers: []Target{}}
	for _, e := range v.entries {
		if e.version > after && (after > 0 || e.State != Removed) {
			l.Servers = append(l.Servers, e.Target)
		}
	}
	return l
}

// serve answers a call for the full list, or a watch for changes.
func (v *View) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, indexErr := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, waitErr := strconv.ParseUint(q.Get("wait"), 10, 32)
	watch := q.Has("index") || q.Has("wait")
	if watch && (indexErr != nil || waitErr != nil) {
		http.Error(w, "index and wait are whole numbers", http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	v.calls++
	delay := v.listDelay
	v.mu.Unlock()
	if !watch || after == 0 {
		after = 0
		if !sleep(r.Context(), delay) {
			return
		}
	}
	timeout := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timeout.Stop()
	for timedOut := !watch; ; {
		v.mu.Lock()
		l, changed, silent := v.list(after), v.changed, v.unresponsive
		v.mu.Unlock()
		if !silent && (timedOut || l.Full || l.Version > after) {
			v.respond(w, l)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// respond writes a list, and logs the states that the agent was notified of by it.
func (v *View) respond(w http.ResponseWriter, l List) {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // cannot happen: plain data
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(text); err != nil {
		return // the agent was not notified
	}
	for _, t := range l.Servers {
		v.log.Add(referee.Event{Kind: referee.Notified, Agent: v.agent, Server: t.ID, State: t.State})
	}
}

// sleep waits for d and reports whether it did so before the context ended.
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
