package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	attempt, server string
	at              time.Duration
}

// server is a model server. It speaks what the page "What chalkdoor speaks" says, and nothing else.
type server struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration // time for one answer
	log                        *record
	http                       *http.Server
	beats                      *http.Client
	stopBeats                  context.CancelFunc

	seq     atomic.Int64
	running atomic.Int64
	seal    atomic.Int64

	mu    sync.Mutex
	runs  []run
	home  string // where the next beat goes
	found func() []string
}

func startServer(id, service, zone, address string, work time.Duration, controls func() []string, home string, log *record) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, address: address, slots: 48, work: work, log: log, home: home, found: controls,
		beats: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	s.http = &http.Server{Handler: s, IdleTimeout: 20 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopBeats = cancel
	go s.beat(ctx)
	return s, nil
}

// beat sends a beat about every beat period until ctx ends.
func (s *server) beat(ctx context.Context) {
	for {
		s.call(http.MethodPut)
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatPeriod):
		}
	}
}

// call sends a beat or a leave to the present agent, and to the next ones if it is not acknowledged. It returns the
// address that acknowledged it.
func (s *server) call(method string) (acknowledgedBy string) {
	s.mu.Lock()
	targets := append([]string{s.home}, s.found()...)
	s.mu.Unlock()
	for _, target := range targets {
		if s.callAt(method, target) {
			s.mu.Lock()
			s.home = target
			s.mu.Unlock()
			return target
		}
	}
	return ""
}

func (s *server) callAt(method, target string) bool {
	var body io.Reader
	if method == http.MethodPut {
		raw, _ := json.Marshal(map[string]any{"target-service": s.service, "address": s.address, "zone": s.zone, "revision": "v1", "slots": s.slots,
			"state": "ready", "cold-ms": 0, "phase": "both_paths", "models": []map[string]any{{"name": "m", "revision": 1, "adapters": []string{}}}, "call-seq": s.seq.Add(1)})
		body = bytes.NewReader(raw)
	}
	request, err := http.NewRequest(method, "http://"+target+"/chalkdoor/instances/"+s.id, body)
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := s.beats.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, 4<<10))
	return answer.StatusCode/100 == 2
}

// close ends the server: what it still runs is broken off.
func (s *server) close() {
	s.stopBeats()
	_ = s.http.Close()
}

// began returns the requests that the server began to work on.
func (s *server) began() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := s.log.now()
	header := w.Header()
	header.Set("Chalkdoor-Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots))
	if r.URL.Path == "/health" {
		header.Set("Chalkdoor-Instance-Id", s.id)
		return
	}
	attempt := r.Header.Get("Chalkdoor-Attempt-Id")
	header.Set("Chalkdoor-Attempt-Id", attempt)
	if expected := r.Header.Get("Chalkdoor-Expect-Instance"); expected != "" && expected != s.id {
		header.Set("Chalkdoor-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{attempt, s.id, at})
	s.mu.Unlock()
	s.log.event("server %s runs request %s", s.id, attempt)
	s.running.Add(1)
	defer s.running.Add(-1)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.log.event("server %s: request %s is broken off", s.id, attempt)
		return
	}
	header.Set("Chalkdoor-Server-Seal", s.id+"."+strconv.FormatInt(s.seal.Add(1), 16))
	body := []byte("answer to " + attempt + "\n")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
