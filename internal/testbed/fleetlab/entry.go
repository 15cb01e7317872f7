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

// missesMost is how many questions in a row an agent may miss before it gets no connections.
const missesMost = 2

// Door is an agent as the entry knows it.
type Door struct {
	IP, Zone         string
	Front, Readiness string
}

// Entry is the platform's: it asks agents whether they are ready, and gives each client one.
type Entry struct {
	doors  []Door
	every  time.Duration
	http   *http.Client
	owner  sync.WaitGroup
	cancel context.CancelFunc

	mu      sync.Mutex
	in      []bool
	missed  []int
	changed chan struct{}
}

// newEntry asks the agents at once and then each period.
func newEntry(doors []Door, every time.Duration) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{doors: doors, every: every, cancel: cancel, in: make([]bool, len(doors)), missed: make([]int, len(doors)), changed: make(chan struct{}),
		http: &http.Client{Timeout: every, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: every, KeepAlive: -1}).DialContext}}}
	for i := range doors {
		e.owner.Go(func() { e.watch(ctx, i) })
	}
	return e
}

// Close ends it.
func (e *Entry) Close() {
	e.cancel()
	e.owner.Wait()
	e.http.CloseIdleConnections()
}

func (e *Entry) watch(ctx context.Context, i int) {
	tick := time.NewTicker(e.every)
	defer tick.Stop()
	for {
		ok := e.ask(ctx, e.doors[i].Readiness)
		if ctx.Err() != nil {
			return
		}
		e.note(i, ok)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) ask(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/chalkdoor/ready", nil)
	if err != nil {
		return false
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<10)) // nobody reads it
	return resp.StatusCode == http.StatusOK
}

func (e *Entry) note(i int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ok {
		e.missed[i], e.in[i] = 0, true
	} else if e.missed[i]++; e.missed[i] >= missesMost {
		e.in[i] = false
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// Ready tells which agents get new connections, by IP.
func (e *Entry) Ready() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := map[string]bool{}
	for i, d := range e.doors {
		if e.in[i] {
			m[d.IP] = true
		}
	}
	return m
}

// Await waits until the agents that are in are as wanted.
func (e *Entry) Await(ctx context.Context, want func(ready map[string]bool) bool) error {
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
func (e *Entry) Pick(zone string, client, try int) *Door {
	e.mu.Lock()
	defer e.mu.Unlock()
	var zoned, in, anywhere []*Door
	for i := range e.doors {
		d := &e.doors[i]
		if e.in[i] {
			anywhere = append(anywhere, d)
		}
		if d.Zone == zone {
			if zoned = append(zoned, d); e.in[i] {
				in = append(in, d)
			}
		}
	}
	of := in
	switch {
	case len(in) == 0 && len(anywhere) > 0:
		of = anywhere
	case len(in) == 0 && len(zoned) == 0:
		for i := range e.doors {
			of = append(of, &e.doors[i])
		}
	case 2*len(in) < len(zoned):
		of = zoned
	}
	if len(of) == 0 {
		return nil
	}
	slices.SortFunc(of, func(a, b *Door) int {
		return cmp.Compare(modelserver.Sum(a.IP, strconv.Itoa(client)), modelserver.Sum(b.IP, strconv.Itoa(client)))
	})
	return of[(try-1)%len(of)]
}
