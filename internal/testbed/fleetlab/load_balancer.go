package fleetlab

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// maxMissedProbes is how many questions in a row an agent may miss before it gets no connections.
const maxMissedProbes = 2

// Endpoint is an agent as the entry knows it.
type Endpoint struct {
	IP, Zone         string
	Front, Readiness string
}

// LoadBalancer is the platform's: it asks agents whether they are ready, and gives each client one.
type LoadBalancer struct {
	endpoints     []Endpoint
	probeInterval time.Duration
	client        *http.Client
	probing       sync.WaitGroup
	cancel        context.CancelFunc

	mu           sync.Mutex
	isReady      []bool
	missedProbes []int
	changed      chan struct{}
}

// newLoadBalancer asks the agents at once and then each period.
func newLoadBalancer(doors []Endpoint, every time.Duration) *LoadBalancer {
	ctx, cancel := context.WithCancel(context.Background())
	e := &LoadBalancer{endpoints: doors, probeInterval: every, cancel: cancel, isReady: make([]bool, len(doors)), missedProbes: make([]int, len(doors)), changed: make(chan struct{}),
		client: &http.Client{Timeout: every, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: every, KeepAlive: -1}).DialContext}}}
	for i := range doors {
		e.probing.Go(func() { e.probeLoop(ctx, i) })
	}
	return e
}

// Close ends it.
func (e *LoadBalancer) Close() {
	e.cancel()
	e.probing.Wait()
	e.client.CloseIdleConnections()
}

func (e *LoadBalancer) probeLoop(ctx context.Context, i int) {
	tick := time.NewTicker(e.probeInterval)
	defer tick.Stop()
	for {
		ok := e.probe(ctx, e.endpoints[i].Readiness)
		if ctx.Err() != nil {
			return
		}
		e.recordProbe(i, ok)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *LoadBalancer) probe(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/chalkdoor/ready", nil)
	if err != nil {
		return false
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<10)) // nobody reads it
	return resp.StatusCode == http.StatusOK
}

func (e *LoadBalancer) recordProbe(i int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ok {
		e.missedProbes[i], e.isReady[i] = 0, true
	} else if e.missedProbes[i]++; e.missedProbes[i] >= maxMissedProbes {
		e.isReady[i] = false
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// Ready tells which agents get new connections, by IP.
func (e *LoadBalancer) Ready() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := map[string]bool{}
	for i, d := range e.endpoints {
		if e.isReady[i] {
			m[d.IP] = true
		}
	}
	return m
}

// WaitReady waits until the agents that are in are as wanted.
func (e *LoadBalancer) WaitReady(ctx context.Context, want func(ready map[string]bool) bool) error {
	for {
		e.mu.Lock()
		changed := e.changed
		e.mu.Unlock()
		if want(e.Ready()) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Pick gives a client of a zone an agent: the same one while the agents that are in stay the
// same, and another one for each further try. Nil where there is none at all.
func (e *LoadBalancer) Pick(zone string, client, try int) *Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	var zoned, in, anywhere []*Endpoint
	for i := range e.endpoints {
		d := &e.endpoints[i]
		if e.isReady[i] {
			anywhere = append(anywhere, d)
		}
		if d.Zone == zone {
			if zoned = append(zoned, d); e.isReady[i] {
				in = append(in, d)
			}
		}
	}
	of := in
	switch {
	case len(in) == 0 && len(anywhere) > 0:
		of = anywhere
	case len(in) == 0 && len(zoned) == 0:
		for i := range e.endpoints {
			of = append(of, &e.endpoints[i])
		}
	case 2*len(in) < len(zoned):
		of = zoned
	}
	if len(of) == 0 {
		return nil
	}
	slices.SortFunc(of, func(a, b *Endpoint) int {
		return cmp.Compare(modelserver.Sum(a.IP, strconv.Itoa(client)), modelserver.Sum(b.IP, strconv.Itoa(client)))
	})
	return of[(try-1)%len(of)]
}
