package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// ErrNoCore tells that no machine of the core is known yet.
var ErrNoCore = errors.New("no machine of the core is known: check seed-nodes, and that those machines run")

// UnavailableError tells that the core gave no answer in time.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string {
	return "the core gave no answer in time, send it again: " + e.Reason
}

const (
	attemptTimeout         = 500 * time.Millisecond // an attempt may take; the next one may have a better connection
	hedgeDelay             = 120 * time.Millisecond // without an answer, others are asked for a newer view each time
	retryDelay             = 30 * time.Millisecond
	discoveryInterval      = 500 * time.Millisecond
	firstDiscoveryInterval = 150 * time.Millisecond // without a view
)

// attemptResult is what became of one attempt.
type attemptResult[T any] struct {
	value T
	done  bool
	newer *view.View // what the one asked knows, if it is not the right one any more
}

// routeToRole tries one place of the newest known view after the other until one gives an answer or ctx
// ends, and returns the last reply. While an attempt takes long others of the core are asked for a
// newer view, which ends it.
func routeToRole[T any](ctx context.Context, m *Member, none T, place func(view.View) view.Peer, try func(context.Context, view.Peer) attemptResult[T]) T {
	last := none
	for ctx.Err() == nil {
		v, known := m.View()
		if !known {
			m.discoverView(ctx, "")
			m.awaitNewerView(ctx, v.Number)
			continue
		}
		r, ended := attempt(ctx, m, v, place, try)
		if !ended {
			continue // a newer view came
		}
		last = r.value
		if r.done {
			return last
		}
		m.observeView(r.newer)
		if r.newer == nil || r.newer.Number <= v.Number {
			m.discoverView(ctx, place(v).Addr)
			m.awaitNewerView(ctx, v.Number)
		}
	}
	return last
}

// attempt tries the place of one view; it ends without a reply when a newer view names another one.
func attempt[T any](ctx context.Context, m *Member, v view.View, place func(view.View) view.Peer, try func(context.Context, view.Peer) attemptResult[T]) (r attemptResult[T], ended bool) {
	to := place(v)
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	got := make(chan attemptResult[T], 1)
	m.spawn(func(context.Context) { got <- try(ctx, to) })
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for {
		m.mu.Lock()
		now, changed := m.newest, m.changed
		m.mu.Unlock()
		if now.Number > v.Number && place(now) != to {
			return r, false
		}
		select {
		case r = <-got:
			return r, true
		case <-changed:
		case <-hedge.C:
			m.spawn(func(context.Context) { m.discoverView(ctx, to.Addr) })
		case <-ctx.Done():
			select {
			case r = <-got:
			default:
			}
			return r, true
		}
	}
}

// awaitNewerView waits a little, or until a newer view is known.
func (m *Member) awaitNewerView(ctx context.Context, number uint64) {
	m.mu.Lock()
	now, changed := m.newest.Number, m.changed
	m.mu.Unlock()
	if now > number {
		return
	}
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// discoverView asks one other agent for a newer view: voters in turn, but not the one that is just being
// tried, and now and then, or where no voter is known, those that the settings or other members name.
func (m *Member) discoverView(ctx context.Context, not string) {
	m.mu.Lock()
	m.discoveryCursor++
	n, v := m.discoveryCursor, m.newest
	m.lastDiscovery = time.Now()
	m.mu.Unlock()
	var addrs []string
	add := func(addr string) {
		if addr != m.self.Addr && addr != not {
			addrs = append(addrs, addr)
		}
	}
	for _, p := range v.Voters {
		add(p.Addr)
	}
	if n%4 == 0 || len(addrs) == 0 {
		addrs, n = nil, n/4
		for _, a := range m.options.Seeds() {
			add(a)
		}
		if m.options.KnownAddresses != nil {
			for _, a := range m.options.KnownAddresses() {
				add(a)
			}
		}
	}
	if len(addrs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if a, err := call[viewRequest, viewResponse](ctx, m, addrs[n%len(addrs)], "core.view", &viewRequest{Have: v.Number}); err == nil {
		m.observeView(a.View)
		_ = m.learnView(ctx, a.View) // tried again with the next one
	}
}

// discoveryLoop founds the first view where that is due, and then keeps the known view fresh on machines
// that do not vote.
func (m *Member) discoveryLoop(ctx context.Context) {
	m.bootstrapFirstView(ctx)
	for {
		m.mu.Lock()
		known := m.newest.Number > 0
		_, voter := m.learned.Voter(m.self.ID)
		now := time.Now()
		recent := now.Sub(m.lastDiscovery) < discoveryInterval
		// A voter hears of views by pings, unless all that it knows of were replaced.
		settled := voter && (m.hasQuorumLocked(now) || now.Sub(m.awakeSince) < 2*peerTimeout)
		m.mu.Unlock()
		wait := discoveryInterval
		if !known {
			wait = firstDiscoveryInterval
		}
		if !known || !settled && !recent {
			m.discoverView(ctx, "")
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}
