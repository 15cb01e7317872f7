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
	// callFor is how long an acknowledgement may take, maxAnswer how large it may be.
	callFor   = time.Second
	maxAnswer = 4 << 10
	// unheardFor is how long a leaving server asks for an acknowledgement before it ends anyway.
	unheardFor = 5 * time.Second
	// maxHops is how many redirects a caller of the control address follows.
	maxHops = 2
)

// BeatConfig is how a server tells of itself.
type BeatConfig struct {
	Control func() []string // the agents' control addresses, as the caller's list has them now
	Period  time.Duration
	Drain   time.Duration // for which it serves on after its draining was acknowledged
	Linger  time.Duration // how much longer, at most, while requests run
}

// beater tells agents of its server. The goroutine of run makes all calls, one at a time.
type beater struct {
	s          *Server
	cfg        BeatConfig
	http       *http.Client
	registered chan struct{}
	once       sync.Once
	leave      chan struct{}
	leaving    sync.Once
	left       chan struct{}

	seq    uint64
	target string // of the next call
	rest   []string
}

func newBeater(s *Server, cfg BeatConfig) *beater {
	dialer := net.Dialer{Timeout: callFor}
	return &beater{s: s, cfg: cfg, registered: make(chan struct{}), leave: make(chan struct{}), left: make(chan struct{}),
		http: &http.Client{Timeout: callFor, Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: 5 * time.Second},
			CheckRedirect: func(r *http.Request, via []*http.Request) error {
				if len(via) > maxHops {
					return errors.New("redirected too often")
				}
				return nil
			}}}
}

// Leave ends the server in order: it reports that it drains, serves on for as long as it has
// to, says that it goes, and ends. It returns when it has ended, or with ctx.
func (s *Server) Leave(ctx context.Context) error {
	if s.beats == nil {
		return errors.New("a server without beats cannot leave in order: close it")
	}
	s.beats.leaving.Do(func() { close(s.beats.leave) })
	select {
	case <-s.beats.left:
	case <-s.ctx.Done():
		return errors.New("the server ended while it was leaving")
	case <-ctx.Done():
		return ctx.Err()
	}
	s.end(false)
	return nil
}

func (b *beater) run() {
	defer b.http.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-b.s.ctx.Done():
			return
		case <-b.leave:
			b.goAway()
			close(b.left)
			return
		case <-timer.C:
			if _, ok := b.call(http.MethodPut, "ready"); ok {
				b.once.Do(func() { close(b.registered) })
			}
			timer.Reset(b.cfg.Period)
		}
	}
}

// goAway drains and leaves.
func (b *beater) goAway() {
	b.s.draining.Store(true)
	if by, ok := b.insist(http.MethodPut, "draining"); ok {
		b.s.record(Record{Kind: Draining, Agent: by})
	}
	if !b.sleep(b.cfg.Drain + 100*time.Millisecond) {
		return
	}
	for end := time.Now().Add(b.cfg.Linger); time.Now().Before(end); {
		if l := b.s.Figures().Load; l.Running+l.Waiting == 0 {
			break
		}
		if !b.sleep(20 * time.Millisecond) {
			return
		}
	}
	if by, ok := b.insist(http.MethodDelete, ""); ok {
		b.s.record(Record{Kind: Gone, Agent: by})
	}
}

func (b *beater) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-b.s.ctx.Done():
		return false
	}
}

// insist calls until somebody acknowledges, or long enough.
func (b *beater) insist(method, state string) (string, bool) {
	for end := time.Now().Add(unheardFor); time.Now().Before(end); {
		if by, ok := b.call(method, state); ok {
			return by, true
		}
		if !b.sleep(50 * time.Millisecond) {
			break
		}
	}
	return "", false
}

// call makes one call to an agent, and to the next ones if it fails, up to a handful.
func (b *beater) call(method, state string) (by string, ok bool) {
	for range 4 {
		if b.target == "" {
			if len(b.rest) == 0 {
				b.rest = b.s.shuffled(b.cfg.Control())
			}
			if len(b.rest) == 0 {
				return "", false
			}
			b.target, b.rest = b.rest[0], b.rest[1:]
		}
		by, next, err := b.ask(b.target, method, state)
		if err == nil {
			if next != "" {
				b.target = next
			}
			return by, true
		}
		b.target = ""
		if b.s.ctx.Err() != nil {
			return "", false
		}
	}
	return "", false
}

// ask makes one call to one agent. It tells who answered and where later beats may go.
func (b *beater) ask(addr, method, state string) (by, next string, err error) {
	ctx, cancel := context.WithTimeout(b.s.ctx, callFor)
	defer cancel()
	b.seq++
	s := b.s
	body, err := json.Marshal(map[string]any{"target-service": s.cfg.Service, "address": s.cfg.Addr, "zone": s.cfg.Zone, "revision": s.cfg.Revision,
		"slots": s.cfg.Engine.Slots, "state": state, "cold-ms": 0, "phase": phase, "models": s.models(), "call-seq": b.seq})
	if err != nil {
		return "", "", errors.Wrap(err, "beat")
	}
	if method == http.MethodDelete {
		body = nil
	}
	to := url.URL{Scheme: "http", Host: addr, Path: "/chalkdoor/instances/" + s.id}
	req, err := http.NewRequestWithContext(ctx, method, to.String(), bytes.NewReader(body))
	if err != nil {
		return "", "", errors.Wrap(err, "beat")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := b.http.Do(req)
	if err != nil {
		return "", "", errors.Wrap(err, "beat")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	switch {
	case err != nil:
		return "", "", errors.Wrap(err, "beat")
	case resp.StatusCode/100 != 2:
		return "", "", errors.Errorf("beat: status %d", resp.StatusCode)
	case len(text) > maxAnswer:
		return "", "", errors.Errorf("beat: an answer of over %d bytes", maxAnswer)
	}
	var answer struct {
		Target string `json:"beat-target"`
	}
	if len(text) > 0 {
		if err := json.Unmarshal(text, &answer); err != nil {
			return "", "", errors.Wrap(err, "beat")
		}
	}
	return resp.Request.URL.Host, answer.Target, nil
}
