package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is one request of a client.
type sent struct {
	id      string
	machine *machine
	at      time.Duration
	status  int // 0: no answer
	body    string
	whole   bool // the answer came whole
	ended   time.Duration
}

// client sends requests on new connections and records what comes back.
type client struct {
	f    *fleet
	mu   sync.Mutex
	sent map[string]*sent
	wg   sync.WaitGroup
}

func newClient(f *fleet) *client { return &client{f: f, sent: map[string]*sent{}} }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request to a machine and waits for its answer.
func (c *client) send(m *machine, host, path string, headers map[string]string, body string, timeout time.Duration) *sent {
	s := &sent{id: newID(), machine: m, at: c.f.rec.now()}
	c.mu.Lock()
	c.sent[s.id] = s
	c.mu.Unlock()
	defer func() {
		s.ended = c.f.rec.now()
		if verbose {
			c.f.rec.logf("client %s to %s: %d whole %v after %d ms", s.id, m.name, s.status, s.whole, (s.ended - s.at).Milliseconds())
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", m.front())
	if err != nil {
		return s
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nChalkdoor-Attempt-Id: %s\r\nChalkdoor-Model: m\r\nChalkdoor-Token-Count: 1800,25\r\nChalkdoor-Prompt-Prefix: %x:568,%x:1232\r\nChalkdoor-Deadline-Ms: %d\r\nContent-Length: %d\r\n", path, host, s.id, 1000+rand.IntN(200), rand.Uint32(), timeout.Milliseconds(), len(body))
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return s
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return s
	}
	s.status = resp.StatusCode
	answer, err := io.ReadAll(resp.Body)
	s.body, s.whole = string(answer), err == nil
	return s
}

// load sends requests to the machines in turn, one each interval, until ctx ends.
func (c *client) load(ctx context.Context, machines func() []*machine, interval time.Duration, host, path string, timeout time.Duration) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			list := machines()
			m := list[i%len(list)]
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.send(m, host, path, nil, "a short question", timeout)
			}()
		}
	}()
}
