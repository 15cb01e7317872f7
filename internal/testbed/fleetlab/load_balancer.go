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

// maxMissedProbes is the number of consecutive failed probes after which an agent gets no connections.
const maxMissedProbes = 2

// Endpoint holds an agent's name, zone and addresses for the load balancer.
type Endpoint struct {
	Name, IP, Zone   string
	Front, Readiness string
}

// LoadBalancer simulates the load balancer of the platform: it probes the readiness of the agents and assigns one to
// each client. Its methods may be called concurrently.
type LoadBalancer struct {
	endpoints     []Endpoint
	probeInterval time.Duration
	client        *http.Client
	probing       sync.WaitGroup
	cancel        context.CancelFunc

	mu           sync.Mutex
	isReady      []bool        // by index in endpoints
	missedProbes []int         // consecutive failed probes, by index in endpoints
	changed      chan struct{} // closed after the next probe
}

// newLoadBalancer creates a load balancer, which probes the agents at once and then periodically.
func newLoadBalancer(endpoints []Endpoint, probeInterval time.Duration) *LoadBalancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &LoadBalancer{endpoints: endpoints, probeInterval: probeInterval, cancel: cancel, isReady: make([]bool, len(endpoints)), missedProbes: make([]int, len(endpoints)), changed: make(chan struct{}),
		client: &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: probeInterval, KeepAlive: -1}).DialContext}}}
	for i := range endpoints {
		b.probing.Go(func() { b.probeLoop(ctx, i) })
	}
	return b
}

// Close stops the probes and waits for them.
func (b *LoadBalancer) Close() {
	b.cancel()
	b.probing.Wait()
	b.client.CloseIdleConnections()
}

func (b *LoadBalancer) probeLoop(ctx context.Context, i int) {
	tick := time.NewTicker(b.probeInterval)
	defer tick.Stop()
	for {
		ok := b.probe(ctx, b.endpoints[i].Readiness)
		if ctx.Err() != nil {
			return
		}
		b.recordProbe(i, ok)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *LoadBalancer) probe(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/chalkdoor/ready", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<10)) // only the status counts
	return resp.StatusCode == http.StatusOK
}

func (b *LoadBalancer) recordProbe(i int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.missedProbes[i], b.isReady[i] = 0, true
	} else if b.missedProbes[i]++; b.missedProbes[i] >= maxMissedProbes {
		b.isReady[i] = false
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// Ready returns the IPs of the agents that get new connections.
func (b *LoadBalancer) Ready() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ready := map[string]bool{}
	for i, endpoint := range b.endpoints {
		if b.isReady[i] {
			ready[endpoint.IP] = true
		}
	}
	return ready
}

// WaitReady waits until the ready agents satisfy a condition. It returns the error of ctx if ctx ends first.
func (b *LoadBalancer) WaitReady(ctx context.Context, condition func(ready map[string]bool) bool) error {
	for {
		b.mu.Lock()
		changed := b.changed
		b.mu.Unlock()
		if condition(b.Ready()) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Pick assigns an agent to a client of a zone by rendezvous hashing: the same one as long as the ready agents stay the
// same, and another one for each retry. It hashes the agents' names, as their addresses depend on the subnet, and on
// some subnets an agent would get no client at all. It prefers ready agents of the zone. If fewer than half of the
// zone's agents are ready it distrusts the probes and uses all of them; if none is, it uses the ready agents of other
// zones. It returns nil if there is no agent at all.
func (b *LoadBalancer) Pick(zone string, client, attempt int) *Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var inZone, ready, anywhere []*Endpoint
	for i := range b.endpoints {
		d := &b.endpoints[i]
		if b.isReady[i] {
			anywhere = append(anywhere, d)
		}
		if d.Zone == zone {
			if inZone = append(inZone, d); b.isReady[i] {
				ready = append(ready, d)
			}
		}
	}
	candidates := ready
	switch {
	case len(ready) == 0 && len(anywhere) > 0:
		candidates = anywhere
	case len(ready) == 0 && len(inZone) == 0:
		for i := range b.endpoints {
			candidates = append(candidates, &b.endpoints[i])
		}
	case 2*len(ready) < len(inZone):
		candidates = inZone
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *Endpoint) int {
		return cmp.Compare(modelserver.Hash(a.Name, strconv.Itoa(client)),
			modelserver.Hash(b.Name, strconv.Itoa(client)))
	})
	return candidates[(attempt-1)%len(candidates)]
}
