package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	id, server, path string
	at               time.Duration
}

// server is a stand-in for a model server.
type server struct {
	f       *fleet
	id      string
	service string
	address string
	zone    string
	slots   int
	events  int           // events of an answer
	gap     time.Duration // time between two events
	handle  func(s *server, w http.ResponseWriter, r *http.Request) bool

	http  *http.Server
	mu    sync.Mutex
	seq   int
	state string
	runs  []run
	home  *machine
	stop  context.CancelFunc
}

// newServer starts a server at the given last number of the fleet's addresses.
func (f *fleet) newServer(n int, service, zone string) (*server, error) {
	s := &server{f: f, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, slots: 64, events: 5, gap: 10 * time.Millisecond, state: "ready"}
	s.address = fmt.Sprintf("%s.%d:%d", f.subnet, 100+n, serverPort)
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// began records that the server began to work on a request.
func (s *server) began(r *http.Request) {
	id := r.Header.Get("Chalkdoor-Attempt-Id")
	s.mu.Lock()
	s.runs = append(s.runs, run{id, s.id, r.URL.Path, s.f.rec.now()})
	s.mu.Unlock()
	if verbose {
		s.f.rec.logf("server %s runs %s", s.id, id)
	}
}

// allRuns returns the requests that the server has run.
func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// ServeHTTP serves a request as the pages say.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Chalkdoor-Instance-Id", s.id)
		w.WriteHeader(200)
		return
	case r.URL.Path == "/chalkdoor/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"phase":"both_paths","models":[{"name":"m","revision":1,"adapters":[]}],"saturated":false,"call-seq":0,"queued":0,"in-flight":0,"kv-used":0,"kv-total":500000,"open-handles":0}`)
		return
	}
	id := r.Header.Get("Chalkdoor-Attempt-Id")
	w.Header().Set("Chalkdoor-Attempt-Id", id)
	if id == "" {
		w.Header().Set("Chalkdoor-Not-Run", "1")
		w.WriteHeader(400)
		return
	}
	if expected := r.Header.Get("Chalkdoor-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Chalkdoor-Not-Run", "1")
		w.WriteHeader(421)
		return
	}
	if s.handle != nil && s.handle(s, w, r) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.began(r)
	s.answer(w, r)
}

// answer streams the events of an answer.
func (s *server) answer(w http.ResponseWriter, r *http.Request) {
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		fmt.Sscanf(last, "%d", &first)
		first++
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Chalkdoor-Server-Seal", "seal-"+s.id)
	w.Header().Set("Versions", "1")
	w.WriteHeader(200)
	flusher := w.(http.Flusher)
	for i := first; i <= s.events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", i, r.Header.Get("Chalkdoor-Attempt-Id"), i)
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.gap):
		}
	}
}

// beatBody returns the next beat, or one with the state as it is and the same number.
func (s *server) beatBody() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	body, _ := json.Marshal(map[string]any{"target-service": s.service, "address": s.address, "zone": s.zone, "revision": "v1", "slots": s.slots,
		"state": s.state, "cold-ms": 0, "phase": "both_paths", "models": []any{map[string]any{"name": "m", "revision": 1, "adapters": []string{}}}, "call-seq": s.seq})
	return body
}

// beatOnce sends a beat to one machine after the other until it is acknowledged; the last that acknowledged
// one comes first.
func (s *server) beatOnce(machines []*machine) bool {
	body := s.beatBody()
	return s.callUntilAcknowledged("PUT", body, machines) != nil
}

// callUntilAcknowledged makes a call of the server until a machine acknowledges it, and returns that machine.
func (s *server) callUntilAcknowledged(method string, body []byte, machines []*machine) *machine {
	order := append([]*machine(nil), machines...)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	if s.home != nil {
		order = append([]*machine{s.home}, order...)
	}
	for _, m := range order {
		status, _, _ := call(context.Background(), method, m.control(), "/chalkdoor/instances/"+s.id, "", body, time.Second)
		if verbose {
			s.f.rec.logf("server %s %s to %s: %d", s.id, method, m.name, status)
		}
		if status >= 200 && status < 300 {
			s.home = m
			return m
		}
	}
	s.home = nil
	return nil
}

// beat sends beats until the server stops.
func (s *server) beat(machines []*machine) {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() {
		for ctx.Err() == nil {
			s.beatOnce(machines)
			select {
			case <-ctx.Done():
			case <-time.After(beatPeriod + time.Duration(rand.IntN(100)-50)*time.Millisecond):
			}
		}
	}()
}

// leave stops the beats and sends DELETE to a machine, as the next call after the last beat. It returns the status.
func (s *server) leave(m *machine) int {
	s.stop()
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	s.seq++
	body := fmt.Appendf(nil, `{"call-seq":%d}`, s.seq)
	s.mu.Unlock()
	status, _, _ := call(context.Background(), "DELETE", m.control(), "/chalkdoor/instances/"+s.id, "", body, time.Second)
	s.f.rec.logf("server %s DELETE to %s: %d", s.id, m.name, status)
	return status
}
