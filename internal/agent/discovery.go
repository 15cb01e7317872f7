package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/policy"
)

// TargetList is discovery's answer: the whole list or what changed.
type TargetList struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Target `json:"servers"`
}

// Target is one backend as discovery lists it.
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

const (
	// watchTimeout is how long one call of a watch may stand. Longer ones would only
	// find out later that discovery has gone silent.
	watchTimeout = 10 * time.Second
	// callSlack is what a call may take beyond the wait: discovery gives up calls
	// that stood in its queue for a second. A change that discovery does not bring
	// counts as told 2 s after the wait: by then the next call is to be out.
	callSlack = 1200 * time.Millisecond
	// fullListAttempts and fullListRetryDelay bound how the whole list of a new discovery is asked
	// for before the module's own, slower, calls: the old one is no longer heard.
	fullListAttempts, fullListRetryDelay = 3, 200 * time.Millisecond
	// callsPerSecond and callBurst bound the calls: a discovery that answers watches at
	// once must not be asked in a tight loop. A watch outlives the gap.
	callsPerSecond, callBurst = 10, 10
	// minWatchBackoff and maxWatchBackoff bound the pause before a pushed watch that failed is opened
	// again. What it would have brought counts as told 2 s after its wait.
	minWatchBackoff, maxWatchBackoff = 50 * time.Millisecond, 800 * time.Millisecond
	// maxListBytes bounds an answer of discovery.
	maxListBytes = 8 << 20
)

// watchBackoff is the pause after so many failures in a row: exponential backoff with
// jitter, as agents that lost one discovery must not all come back at once.
func watchBackoff(failures int) time.Duration {
	most := minWatchBackoff << min(max(failures-1, 0), 10)
	most = min(most, maxWatchBackoff)
	return most/2 + rand.N(most/2)
}

// discoveryClient makes the calls that the module asks for and hands on what they
// bring. When to call again after a failure is the module's to decide, but where
// changes are pushed: a failed call ends the watch and is told as ListFailed, and the
// module answers with a timer, doubled and jittered, so that discovery is never
// hammered.
type discoveryClient struct {
	ctx     context.Context // ends when another discovery takes its place
	cancel  context.CancelFunc
	addr    string
	url     string
	client  *http.Client
	limiter *rate.Limiter
	// onList is called with each answer; a nil list is a failure.
	onList func(l *TargetList, watch bool, err error)
	// onResponse, if not nil, is called at each answer, also one that says nothing new.
	onResponse func()
}

// dialer opens connections to a discovery.
type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

func newDiscoveryClient(ctx context.Context, addr string, dial dialer) *discoveryClient {
	ctx, end := context.WithCancel(ctx)
	return &discoveryClient{
		ctx: ctx, cancel: end, addr: addr,
		url: "http://" + addr + "/api/targets",
		client: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4,
			IdleConnTimeout: time.Minute, DisableCompression: true,
		}},
		limiter: rate.NewLimiter(callsPerSecond, callBurst),
	}
}

// close ends all calls and connections.
func (d *discoveryClient) close() {
	d.cancel()
	d.client.CloseIdleConnections()
}

// watch follows the changes from version on, until a call fails or the discovery is
// left; where no list of this discovery is at hand yet it asks for the whole one
// first. The next call goes out before the last answer is even handed on: a watch
// lives for 200 ms without one, and a new watch loads discovery.
func (d *discoveryClient) watch(version uint64, whole bool) {
	if whole {
		l, err := d.fetchFullList()
		if d.ctx.Err() != nil {
			return
		}
		if err != nil {
			d.onList(nil, true, err)
			return
		}
		version = l.Version
		d.onList(l, true, nil)
	}
	type result struct {
		list *TargetList
		err  error
	}
	call := func(from uint64) chan result {
		done := make(chan result, 1)
		go func() {
			l, err := d.call(fmt.Sprintf("?index=%d&wait=%d", from, watchTimeout.Milliseconds()),
				watchTimeout+callSlack)
			done <- result{l, err}
		}()
		return done
	}
	next := call(version)
	for first := !whole; ; first = false {
		r := <-next
		if d.ctx.Err() != nil {
			return
		}
		if r.err != nil {
			d.onList(nil, true, r.err)
			return
		}
		next = call(r.list.Version)
		// An empty answer says nothing, but the first is the answer to the call.
		if first || r.list.Full || len(r.list.Servers) > 0 {
			d.onList(r.list, true, nil)
		}
	}
}

// fetch asks for the whole list once.
func (d *discoveryClient) fetch() {
	l, err := d.call("", callSlack)
	if d.ctx.Err() == nil {
		d.onList(l, false, err)
	}
}

// fetchFullList asks for the whole list, and again if that fails.
func (d *discoveryClient) fetchFullList() (l *TargetList, err error) {
	for try := range fullListAttempts {
		if try > 0 {
			select {
			case <-time.After(fullListRetryDelay):
			case <-d.ctx.Done():
			}
		}
		if l, err = d.call("", callSlack); err == nil && l.Full {
			return l, nil
		}
		if err == nil {
			err = errors.New("discovery: not the whole list")
		}
	}
	return nil, err
}

func (d *discoveryClient) call(query string, within time.Duration) (*TargetList, error) {
	if err := d.limiter.Wait(d.ctx); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	ctx, cancel := context.WithTimeout(d.ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url+query, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: answered %d", resp.StatusCode)
	}
	var l TargetList
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if d.onResponse != nil {
		d.onResponse()
	}
	return &l, nil
}

// backendTable holds the backends that discovery listed, by id and by the module's
// name for them. It belongs to the loop.
type backendTable struct {
	zones, machineKinds map[string]int
	byID                map[string]*backend
	byAddr              map[policy.Addr]*backend
}

func newBackendTable(zones, kinds []string) *backendTable {
	index := func(names []string) map[string]int {
		m := map[string]int{}
		for i, n := range names {
			m[n] = i
		}
		return m
	}
	return &backendTable{zones: index(zones), machineKinds: index(kinds),
		byID: map[string]*backend{}, byAddr: map[policy.Addr]*backend{}}
}

// findOrAdd finds or makes the entry of an id. The module's name comes from the
// id, not from the address: addresses differ from one agent to the next, and the
// agents must agree on the order of servers for a key without talking.
func (t *backendTable) findOrAdd(id string) *backend {
	if b := t.byID[id]; b != nil {
		return b
	}
	b := &backend{id: id}
	h := hashString(id)
	for {
		for i := range b.policyAddr {
			b.policyAddr[i] = byte(h >> (8 * i))
		}
		if t.byAddr[b.policyAddr] == nil {
			break
		}
		h++ // two ids of one hash: the later takes the next free name
	}
	t.byID[id], t.byAddr[b.policyAddr] = b, b
	return b
}

// apply takes a list into the table and returns the module's entries, the backends
// whose idle connections are of no more use, and those gone.
func (t *backendTable) apply(l *TargetList, full bool) (entries []policy.Endpoint, stale, gone []*backend) {
	named := make(map[string]bool, len(l.Servers))
	for i := range l.Servers {
		s := &l.Servers[i]
		if s.ID == "" {
			continue
		}
		named[s.ID] = true
		e := policy.Endpoint{Zone: len(t.zones), Kind: len(t.machineKinds), Cell: s.Cell, StartedMs: s.StartedMs, Weight: s.Weight}
		if z, ok := t.zones[s.Zone]; ok {
			e.Zone = z
		}
		if k, ok := t.machineKinds[s.Kind]; ok {
			e.Kind = k
		}
		switch s.State {
		case "up":
			e.Status = policy.Ready
		case "removed":
			e.Status = policy.Removed
		default: // draining, and whatever else is not said to be up
			e.Status = policy.Draining
		}
		b := t.findOrAdd(s.ID)
		e.Server = b.policyAddr
		b.startedMs = s.StartedMs
		if s.Addr != "" && b.addr != s.Addr {
			stale = append(stale, b)
			b.addr = s.Addr
		}
		if b.unavailable.Store(e.Status != policy.Ready); e.Status != policy.Ready {
			stale = append(stale, b)
		}
		if b.removed = e.Status == policy.Removed; b.removed {
			gone = append(gone, b)
		}
		entries = append(entries, e)
	}
	if full {
		for id, b := range t.byID {
			if !named[id] {
				b.unavailable.Store(true)
				b.removed = true
				stale, gone = append(stale, b), append(gone, b)
			}
		}
	}
	return entries, stale, gone
}

// forget drops backends that are gone and have no attempt out; the module has
// forgotten them by then.
func (t *backendTable) forget(b *backend) {
	if b.removed && b.inFlight == 0 && t.byID[b.id] == b {
		delete(t.byID, b.id)
		delete(t.byAddr, b.policyAddr)
	}
}

// hasAvailable tells whether any backend may be sent to.
func (t *backendTable) hasAvailable() bool {
	for _, b := range t.byID {
		if !b.unavailable.Load() {
			return true
		}
	}
	return false
}
