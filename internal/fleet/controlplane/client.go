package controlplane

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// ErrNoCore tells that no machine of the core is known yet.
var ErrNoCore = errors.New("no machine of the core is known: check seed-nodes, and that those machines run")

// UnclearError tells that the core gave no answer in time.
type UnclearError struct{ Why string }

func (e *UnclearError) Error() string {
	return "the core gave no answer in time, send it again: " + e.Why
}

const (
	tryWait   = 500 * time.Millisecond // an attempt may take; the next one may have a better connection
	hedgeWait = 120 * time.Millisecond // without an answer, others are asked for a newer view each time
	retryWait = 30 * time.Millisecond
	seekEvery = 500 * time.Millisecond
	seekFirst = 150 * time.Millisecond // without a view
)

// reply is what became of one attempt.
type reply[T any] struct {
	value T
	done  bool
	newer *view.View // what the one asked knows, if it is not the right one any more
}

// route tries one place of the newest known view after the other until one gives an answer or ctx
// ends, and returns the last reply. While an attempt takes long others of the core are asked for a
// newer view, which ends it.
func route[T any](ctx context.Context, m *Member, none T, place func(view.View) view.Peer, try func(context.Context, view.Peer) reply[T]) T {
	last := none
	for ctx.Err() == nil {
		v, known := m.View()
		if !known {
			m.seek(ctx, "")
			m.pause(ctx, v.Number)
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
		m.hear(r.newer)
		if r.newer == nil || r.newer.Number <= v.Number {
			m.seek(ctx, place(v).Addr)
			m.pause(ctx, v.Number)
		}
	}
	return last
}

// attempt tries the place of one view; it ends without a reply when a newer view names another one.
func attempt[T any](ctx context.Context, m *Member, v view.View, place func(view.View) view.Peer, try func(context.Context, view.Peer) reply[T]) (r reply[T], ended bool) {
	to := place(v)
	ctx, cancel := context.WithTimeout(ctx, tryWait)
	defer cancel()
	got := make(chan reply[T], 1)
	m.spawn(func(context.Context) { got <- try(ctx, to) })
	hedge := time.NewTicker(hedgeWait)
	defer hedge.Stop()
	for {
		m.mu.Lock()
		now, changed := m.seen, m.changed
		m.mu.Unlock()
		if now.Number > v.Number && place(now) != to {
			return r, false
		}
		select {
		case r = <-got:
			return r, true
		case <-changed:
		case <-hedge.C:
			m.spawn(func(context.Context) { m.seek(ctx, to.Addr) })
		case <-ctx.Done():
			select {
			case r = <-got:
			default:
			}
			return r, true
		}
	}
}

// pause waits a little, or until a newer view is known.
func (m *Member) pause(ctx context.Context, number uint64) {
	m.mu.Lock()
	now, changed := m.seen.Number, m.changed
	m.mu.Unlock()
	if now > number {
		return
	}
	t := time.NewTimer(retryWait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// seek asks one other agent for a newer view: voters in turn, but not the one that is just being
// tried, and now and then, or where no voter is known, those that the settings or other members name.
func (m *Member) seek(ctx context.Context, not string) {
	m.mu.Lock()
	m.asking++
	n, v := m.asking, m.seen
	m.lastSeek = time.Now()
	m.mu.Unlock()
	var addrs []string
	add := func(addr string) {
		if addr != m.me.Addr && addr != not {
			addrs = append(addrs, addr)
		}
	}
	for _, p := range v.Voters {
		add(p.Addr)
	}
	if n%4 == 0 || len(addrs) == 0 {
		addrs, n = nil, n/4
		for _, a := range m.o.Seeds() {
			add(a)
		}
		if m.o.Known != nil {
			for _, a := range m.o.Known() {
				add(a)
			}
		}
	}
	if len(addrs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	if a, err := call[viewCall, viewAnswer](ctx, m, addrs[n%len(addrs)], "core.view", &viewCall{Have: v.Number}); err == nil {
		m.hear(a.View)
		_ = m.learn(ctx, a.View) // tried again with the next one
	}
}

// seekLoop founds the first view where that is due, and then keeps the known view fresh on machines
// that do not vote.
func (m *Member) seekLoop(ctx context.Context) {
	m.found(ctx)
	for {
		m.mu.Lock()
		known := m.seen.Number > 0
		_, voter := m.view.Voter(m.me.ID)
		now := time.Now()
		recent := now.Sub(m.lastSeek) < seekEvery
		// A voter hears of views by pings, unless all that it knows of were replaced.
		settled := voter && (m.majorityLocked(now) || now.Sub(m.awake) < 2*silent)
		m.mu.Unlock()
		wait := seekEvery
		if !known {
			wait = seekFirst
		}
		if !known || !settled && !recent {
			m.seek(ctx, "")
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
