package modelserver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// callTimeout bounds one call to an agent.
	callTimeout = time.Second
	// maxResponseBytes bounds the body of an agent's response.
	maxResponseBytes = 4 << 10
	// ackTimeout is how long a leaving server waits for an acknowledgement before it continues without.
	ackTimeout = 5 * time.Second
	// maxRedirects bounds the redirects of one call.
	maxRedirects = 2
)

// HeartbeatConfig configures how a server registers with the agents.
type HeartbeatConfig struct {
	ControlAddrs func() []string // returns the agents' present control addresses
	Interval     time.Duration   // time between heartbeats
	Drain        time.Duration   // how long a leaving server keeps serving after its draining was acknowledged
	Linger       time.Duration   // maximum additional time for requests that still wait or run
}

// heartbeater sends a server's heartbeats to agents. The goroutine of run makes all calls, one at a time.
type heartbeater struct {
	s              *Server
	cfg            HeartbeatConfig
	http           *http.Client
	registered     chan struct{} // closed when the first heartbeat has been acknowledged
	registeredOnce sync.Once
	leave          chan struct{} // closed when the server shall leave
	leaveOnce      sync.Once
	left           chan struct{} // closed when draining and deregistration are over

	seq        uint64   // call-seq of the last call
	target     string   // address of the next call; empty if the next candidate is to be used
	candidates []string // addresses to try next
}

func newHeartbeater(s *Server, cfg HeartbeatConfig) *heartbeater {
	dialer := net.Dialer{Timeout: callTimeout}
	return &heartbeater{s: s, cfg: cfg, registered: make(chan struct{}), leave: make(chan struct{}), left: make(chan struct{}),
		http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: 5 * time.Second},
			CheckRedirect: func(r *http.Request, via []*http.Request) error {
				if len(via) > maxRedirects {
					return errors.New("redirected too often")
				}
				return nil
			}}}
}

// Leave shuts the server down gracefully: it announces that it drains, keeps serving for HeartbeatConfig.Drain and
// until its requests have ended, at most HeartbeatConfig.Linger longer, deregisters, and ends. It returns when the
// server has ended, or with an error when ctx ends.
func (s *Server) Leave(ctx context.Context) error {
	if s.heartbeats == nil {
		return errors.New("a server without heartbeats cannot leave gracefully: close it")
	}
	s.heartbeats.leaveOnce.Do(func() { close(s.heartbeats.leave) })
	select {
	case <-s.heartbeats.left:
	case <-s.ctx.Done():
		return errors.New("the server ended while it was leaving")
	case <-ctx.Done():
		return ctx.Err()
	}
	s.end(false)
	return nil
}

func (h *heartbeater) run() {
	defer h.http.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-h.s.ctx.Done():
			return
		case <-h.leave:
			h.drainAndDeregister()
			close(h.left)
			return
		case <-timer.C:
			if _, ok := h.call(http.MethodPut, "ready"); ok {
				h.registeredOnce.Do(func() { close(h.registered) })
			}
			timer.Reset(h.cfg.Interval)
		}
	}
}

// drainAndDeregister announces that the server drains, lets its requests end, and deregisters it.
func (h *heartbeater) drainAndDeregister() {
	h.s.draining.Store(true)
	if by, ok := h.callUntilAcked(http.MethodPut, "draining"); ok {
		h.s.record(Record{Kind: Draining, Agent: by})
	}
	if !h.sleep(h.cfg.Drain + 100*time.Millisecond) {
		return
	}
	for end := time.Now().Add(h.cfg.Linger); time.Now().Before(end); {
		if l := h.s.Stats().Load; l.Running+l.Waiting == 0 {
			break
		}
		if !h.sleep(20 * time.Millisecond) {
			return
		}
	}
	if by, ok := h.callUntilAcked(http.MethodDelete, ""); ok {
		h.s.record(Record{Kind: Deregistered, Agent: by})
	}
}

// sleep waits for a duration. It returns false if the server ends first.
func (h *heartbeater) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-h.s.ctx.Done():
		return false
	}
}

// callUntilAcked calls agents until one acknowledges or ackTimeout has passed. It returns the address of that agent.
func (h *heartbeater) callUntilAcked(method, state string) (string, bool) {
	for end := time.Now().Add(ackTimeout); time.Now().Before(end); {
		if by, ok := h.call(method, state); ok {
			return by, true
		}
		if !h.sleep(50 * time.Millisecond) {
			break
		}
	}
	return "", false
}

// call calls an agent, and if that fails the next ones, four at most. It returns the address of the agent that
// acknowledged the call.
func (h *heartbeater) call(method, state string) (by string, ok bool) {
	for range 4 {
		if h.target == "" {
			if len(h.candidates) == 0 {
				h.candidates = h.s.shuffled(h.cfg.ControlAddrs())
			}
			if len(h.candidates) == 0 {
				return "", false
			}
			h.target, h.candidates = h.candidates[0], h.candidates[1:]
		}
		by, next, err := h.callAgent(h.target, method, state)
		if err == nil {
			if next != "" {
				h.target = next
			}
			return by, true
		}
		h.target = ""
		if h.s.ctx.Err() != nil {
			return "", false
		}
	}
	return "", false
}

// callAgent makes one call to one agent. It returns the address of the agent that answered, after redirects, and the
// address that later heartbeats should go to; empty if it stays the same.
func (h *heartbeater) callAgent(addr, method, state string) (by, next string, err error) {
	ctx, cancel := context.WithTimeout(h.s.ctx, callTimeout)
	defer cancel()
	h.seq++
	s := h.s
	body, err := json.Marshal(map[string]any{"target-service": s.cfg.Service, "address": s.cfg.Addr, "zone": s.cfg.Zone, "revision": s.cfg.Revision,
		"slots": s.cfg.Engine.Slots, "state": state, "cold-ms": 0, "phase": phase, "models": s.models(), "call-seq": h.seq})
	if err != nil {
		return "", "", errors.Wrap(err, "heartbeat")
	}
	if method == http.MethodDelete {
		body = nil
	}
	to := url.URL{Scheme: "http", Host: addr, Path: "/chalkdoor/instances/" + s.id}
	req, err := http.NewRequestWithContext(ctx, method, to.String(), bytes.NewReader(body))
	if err != nil {
		return "", "", errors.Wrap(err, "heartbeat")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.http.Do(req)
	if err != nil {
		return "", "", errors.Wrap(err, "heartbeat")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return "", "", errors.Wrap(err, "heartbeat")
	case resp.StatusCode/100 != 2:
		return "", "", errors.Errorf("heartbeat: status %d", resp.StatusCode)
	case len(text) > maxResponseBytes:
		return "", "", errors.Errorf("heartbeat: response larger than %d bytes", maxResponseBytes)
	}
	var response struct {
		Target string `json:"beat-target"`
	}
	if len(text) > 0 {
		if err := json.Unmarshal(text, &response); err != nil {
			return "", "", errors.Wrap(err, "heartbeat")
		}
	}
	return resp.Request.URL.Host, response.Target, nil
}
