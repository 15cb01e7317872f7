package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host  = "desk.example"
	route = "/reviews/"
)

// sent is one request of a client, and what became of it.
type sent struct {
	attempt, machine string
	at               time.Duration
	status           int // 0 if the connection ended without a complete answer
	err              error
}

// client sends requests to one machine's front, a fixed number each second, and keeps its connections.
type client struct {
	machine *machine
	http    *http.Client
	log     *record
	calls   sync.WaitGroup
	next    atomic.Int64

	mu   sync.Mutex
	sent map[string]sent
}

func newClient(m *machine, log *record) *client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &client{machine: m, log: log, sent: map[string]sent{},
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}}
}

// run sends requests until ctx ends, and then waits for the answers.
func (c *client) run(ctx context.Context, perSecond int, deadline time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.calls.Go(func() { c.send(deadline) })
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	c.calls.Wait()
}

func (c *client) send(deadline time.Duration) sent {
	number := c.next.Add(1)
	s := sent{attempt: fmt.Sprintf("%s-%06x", c.machine.name, number), machine: c.machine.name, at: c.log.now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.machine.front()+route+"1", bytes.NewReader([]byte("prompt "+s.attempt)))
	if err != nil {
		s.err = err
		return s
	}
	request.Host = host
	request.Header.Set("Chalkdoor-Attempt-Id", s.attempt)
	request.Header.Set("Chalkdoor-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Chalkdoor-Model", "m")
	request.Header.Set("Chalkdoor-Token-Count", "300,20")
	request.Header.Set("Chalkdoor-Prompt-Prefix", fmt.Sprintf("%x:200,%x:100", number%16+1, 4096+number))
	answer, err := c.http.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		s.status = answer.StatusCode
	}
	if err != nil {
		s.status, s.err = 0, err
	}
	c.mu.Lock()
	c.sent[s.attempt] = s
	c.mu.Unlock()
	c.log.event("client: request %s sent to %s at %.3f is answered with %d %s", s.attempt, s.machine, s.at.Seconds(), s.status, errorText(s.err))
	return s
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// requests returns what was sent, by attempt.
func (c *client) requests() map[string]sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]sent, len(c.sent))
	for attempt, s := range c.sent {
		all[attempt] = s
	}
	return all
}

// isReady asks a machine's readiness address, as the platform does.
func isReady(m *machine) bool {
	probe := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := probe.Get("http://" + m.readiness() + "/chalkdoor/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until a machine is ready.
func awaitReady(m *machine) error {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if isReady(m) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", m.name, settleTimeout)
}
