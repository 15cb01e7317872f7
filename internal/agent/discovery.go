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
)

// TargetList is an answer of discovery: the full list, or what changed.
type TargetList struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Target `json:"servers"`
}

// Target is one backend as discovery lists it.
type Target struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // host:port; empty: as before
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // "up", "draining" or "removed"
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"` // Unix time of its process's start; 0: long ago
}

const (
	// watchTimeout is how long one call of a watch may take. A longer one would only find out later that
	// discovery does not respond.
	watchTimeout = 10 * time.Second
	// callSlack is what a call may take beyond its time-out: discovery drops calls that were in its queue for
	// a second. A change that discovery does not deliver counts as known 2 s after the time-out: the next call
	// has to be under way by then.
	callSlack = 1200 * time.Millisecond
	// fullListAttempts and fullListRetryDelay bound how the full list of a new discovery is fetched before the
	// policy's own, slower, calls: the old discovery is no longer watched.
	fullListAttempts, fullListRetryDelay = 3, 200 * time.Millisecond
	// callsPerSecond and callBurst bound the calls: a discovery that answers watches at once must not be
	// called in a tight loop. A watch outlives the gap.
	callsPerSecond, callBurst = 10, 10
	// minWatchBackoff and maxWatchBackoff bound the pause before a pushed watch that failed is opened again.
	// What it would have delivered counts as known 2 s after its time-out.
	minWatchBackoff, maxWatchBackoff = 50 * time.Millisecond, 800 * time.Millisecond
	// maxBackoffDoublings keeps the doubled backoff from overflowing.
	maxBackoffDoublings = 10
	// maxListBytes bounds an answer of discovery.
	maxListBytes = 8 << 20
	// maxDiscoveryConns and maxIdleDiscoveryConns bound the connections to discovery.
	maxDiscoveryConns, maxIdleDiscoveryConns = 4, 2
)

var errNotFullList = errors.New("discovery: not the whole list")

// watchBackoff is the pause after some failures in a row: exponential backoff with jitter, as agents that lost one
// discovery must not all return at once.
func watchBackoff(failures int) time.Duration {
	backoff := minWatchBackoff << min(max(failures-1, 0), maxBackoffDoublings)
	backoff = min(backoff, maxWatchBackoff)
	return backoff/2 + rand.N(backoff/2)
}

// dialer opens connections to a discovery.
type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// discoveryClient calls one discovery and reports its answers to onList. When to call again after a failure is
// decided by its caller: a failed call ends a watch.
type discoveryClient struct {
	ctx     context.Context // ends when another discovery takes its place
	cancel  context.CancelFunc
	addr    string
	url     string
	client  *http.Client
	limiter *rate.Limiter
	// onList is called with each answer; a nil list is a failure.
	onList func(list *TargetList, watch bool, err error)
	// onResponse, if not nil, is called at each answer, also one without changes.
	onResponse func()
}

func newDiscoveryClient(ctx context.Context, addr string, dial dialer) *discoveryClient {
	ctx, cancel := context.WithCancel(ctx)
	return &discoveryClient{
		ctx:    ctx,
		cancel: cancel,
		addr:   addr,
		url:    "http://" + addr + "/api/targets",
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: maxIdleDiscoveryConns,
			MaxConnsPerHost:     maxDiscoveryConns,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		limiter: rate.NewLimiter(callsPerSecond, callBurst),
	}
}

// close ends all calls and connections.
func (d *discoveryClient) close() {
	d.cancel()
	d.client.CloseIdleConnections()
}

// listResult is the end of a call.
type listResult struct {
	list *TargetList
	err  error
}

// watch follows the changes from a version on, until a call fails or the discovery is closed. Without a list of
// this discovery it fetches the full one first. The next call is sent before the last answer is reported: a watch
// lives for 200 ms without one, and a new watch loads discovery.
func (d *discoveryClient) watch(version uint64, needsFullList bool) {
	if needsFullList {
		list, err := d.fetchFullList()
		if d.ctx.Err() != nil {
			return
		}
		d.onList(list, true, err)
		if err != nil {
			return
		}
		version = list.Version
	}
	next := d.startWatchCall(version)
	for first := !needsFullList; ; first = false {
		result := <-next
		if d.ctx.Err() != nil {
			return
		}
		if result.err != nil {
			d.onList(nil, true, result.err)
			return
		}
		next = d.startWatchCall(result.list.Version)
		// An empty answer has no changes, but the first one is the answer to the subscription.
		if first || result.list.Full || len(result.list.Servers) > 0 {
			d.onList(result.list, true, nil)
		}
	}
}

// startWatchCall waits, in the background, for changes after a version.
func (d *discoveryClient) startWatchCall(version uint64) <-chan listResult {
	done := make(chan listResult, 1)
	go func() {
		query := fmt.Sprintf("?index=%d&wait=%d", version, watchTimeout.Milliseconds())
		list, err := d.call(query, watchTimeout+callSlack)
		done <- listResult{list, err}
	}()
	return done
}

// fetch fetches the full list once.
func (d *discoveryClient) fetch() {
	list, err := d.call("", callSlack)
	if d.ctx.Err() == nil {
		d.onList(list, false, err)
	}
}

// fetchFullList fetches the full list, again if that fails. Its error is of the last attempt.
func (d *discoveryClient) fetchFullList() (list *TargetList, err error) {
	for attempt := range fullListAttempts {
		if attempt > 0 {
			select {
			case <-time.After(fullListRetryDelay):
			case <-d.ctx.Done():
			}
		}
		if list, err = d.call("", callSlack); err == nil && list.Full {
			return list, nil
		}
		if err == nil {
			err = errNotFullList
		}
	}
	return nil, err
}

// call makes one call, within a time-out once the limiter allows it.
func (d *discoveryClient) call(query string, timeout time.Duration) (*TargetList, error) {
	if err := d.limiter.Wait(d.ctx); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
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
	var list TargetList
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if d.onResponse != nil {
		d.onResponse()
	}
	return &list, nil
}
