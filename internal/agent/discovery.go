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

// TargetList is an answer of discovery: the full list, or the changes.
type TargetList struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Target `json:"servers"`
}

// Target is one backend as discovery lists it.
type Target struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // host:port; empty if unchanged
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // "up", "draining" or "removed"
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"` // start of its process, Unix time; 0 if long ago
}

const (
	// watchTimeout is the timeout of one watch call. With a longer one the agent would notice later that
	// discovery doesn't respond.
	watchTimeout = 10 * time.Second
	// callSlack is how long a call may take beyond its timeout: discovery drops calls that were in its queue for
	// a second. A change that discovery doesn't deliver counts as known 2 s after the timeout, so the next call
	// has to be in progress by then.
	callSlack = 1200 * time.Millisecond
	// fullListAttempts and fullListRetryDelay bound the first attempts to fetch the full list of a new discovery.
	// The policy's own calls are slower, and the old discovery is no longer watched.
	fullListAttempts, fullListRetryDelay = 3, 200 * time.Millisecond
	// callsPerSecond and callBurst limit the calls: a discovery that answers watches at once must not be called
	// in a tight loop. Discovery keeps a watch for 200 ms without a call, which is longer than the pause between
	// two calls.
	callsPerSecond, callBurst = 10, 10
	// minWatchBackoff and maxWatchBackoff bound the pause before a failed pushed watch is opened again. Changes
	// that it would have delivered count as known 2 s after its timeout.
	minWatchBackoff, maxWatchBackoff = 50 * time.Millisecond, 800 * time.Millisecond
	// maxBackoffDoublings keeps the doubled backoff from overflowing.
	maxBackoffDoublings = 10
	// maxListBytes bounds the size of an answer of discovery.
	maxListBytes = 8 << 20
	// maxDiscoveryConns and maxIdleDiscoveryConns bound the connections to discovery.
	maxDiscoveryConns, maxIdleDiscoveryConns = 4, 2
)

var errNotFullList = errors.New("discovery: answer is not the full list")

// watchBackoff returns the pause after a number of consecutive failures. It grows exponentially and has jitter,
// as agents that lost the same discovery must not all return at once.
func watchBackoff(failures int) time.Duration {
	backoff := minWatchBackoff << min(max(failures-1, 0), maxBackoffDoublings)
	backoff = min(backoff, maxWatchBackoff)
	return backoff/2 + rand.N(backoff/2)
}

// dialer opens connections to discovery.
type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// discoveryClient calls one discovery and passes its answers to onList. A failed call ends a watch; its caller
// decides when to call again.
type discoveryClient struct {
	ctx     context.Context // done once another discovery has replaced this one
	cancel  context.CancelFunc
	addr    string
	url     string
	client  *http.Client
	limiter *rate.Limiter
	// onList is called with each answer, or with a nil list and the error of a failed call. watch is true for a
	// call of a watch and false for a fetch.
	onList func(list *TargetList, watch bool, err error)
	// onResponse, if not nil, is called at each answer, even one without changes.
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

// listResult is the result of a call.
type listResult struct {
	list *TargetList
	err  error
}

// watch reports the changes since a version until a call fails or the client is closed. If needsFullList is set,
// it fetches the full list first. The next call is sent before the last answer is reported: discovery keeps a
// watch for only 200 ms without a call, and a new watch is a load on discovery.
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
		// An answer without servers reports no change, but the first one answers the subscription.
		if first || result.list.Full || len(result.list.Servers) > 0 {
			d.onList(result.list, true, nil)
		}
	}
}

// startWatchCall starts a call that waits for changes since a version.
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

// fetchFullList fetches the full list, and retries if that fails. Its error is that of the last attempt.
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

// call makes one call. The timeout begins once the limiter allows the call.
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
		return nil, fmt.Errorf("discovery: response status %d", resp.StatusCode)
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
