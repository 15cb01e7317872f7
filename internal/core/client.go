package core

import (
	"context"
	"time"

	"chalkdoor.example/chalkdoor/internal/rpc"
	"chalkdoor.example/chalkdoor/internal/view"
	"github.com/go-faster/errors"
)

// ErrNoCore tells that no machine of the core is known yet.
var ErrNoCore = errors.New("no machine of the core is known: check seed-nodes, and that those machines run")

// UnclearError tells that the core gave no answer in time.
type UnclearError struct{ Why string }

func (e *UnclearError) Error() string {
	return "the core gave no answer in time, send it again: " + e.Why
}

const (
	tryWait   = 350 * time.Millisecond // an attempt may take before the view is asked for again
	retryWait = 30 * time.Millisecond
	seekEvery = 500 * time.Millisecond
	seekFirst = 150 * time.Millisecond // without a view
)

// route tries one place of the newest known view after the other until one gives an answer or ctx
// ends. A view that the one asked names is followed at once; without an answer others of the core
// are asked for a newer view.
func (m *Member) route(ctx context.Context, place func(view.View) view.Peer, try func(context.Context, view.Peer) (done bool, newer *view.View)) {
	for ctx.Err() == nil {
		v, ok := m.View()
		if ok {
			tctx, cancel := context.WithTimeout(ctx, tryWait)
			done, newer := try(tctx, place(v))
			cancel()
			if done {
				return
			}
			if newer != nil && newer.Number > v.Number {
				m.hear(newer)
				continue
			}
		}
		m.seek(ctx)
		m.mu.Lock()
		now, changed := m.seen.Number, m.changed
		m.mu.Unlock()
		if now > v.Number {
			continue
		}
		t := time.NewTimer(retryWait)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// seek asks one other agent for a newer view: voters in turn, and now and then, or where no voter is
// known, those that the settings or other members name.
func (m *Member) seek(ctx context.Context) {
	m.mu.Lock()
	m.asking++
	n, v := m.asking, m.seen
	m.lastSeek = time.Now()
	m.mu.Unlock()
	var addrs []string
	for _, p := range v.Voters {
		if p.ID != m.me.ID {
			addrs = append(addrs, p.Addr)
		}
	}
	if n%4 == 0 || len(addrs) == 0 {
		addrs = m.o.Seeds()
		if m.o.Known != nil {
			addrs = append(addrs[:len(addrs):len(addrs)], m.o.Known()...)
		}
		n /= 4
	}
	if len(addrs) == 0 {
		return
	}
	addr := addrs[n%len(addrs)]
	if addr == m.me.Addr {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	if a, err := rpc.Call[viewCall, viewAnswer](ctx, m.o.Pool, addr, "core.view", &viewCall{Have: v.Number}); err == nil {
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
		behind := m.seen.Number > m.view.Number
		newer := m.seen
		now := time.Now()
		recent := now.Sub(m.lastSeek) < seekEvery
		// A voter hears of views by pings, unless all that it knows of were replaced.
		settled := voter && (m.majorityLocked(now) || now.Sub(m.awake) < 2*silent)
		m.mu.Unlock()
		if behind {
			_ = m.learn(ctx, &newer) // tried again
		}
		wait := seekEvery
		if !known {
			wait = seekFirst
		}
		if !known || !settled && !recent {
			m.seek(ctx)
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
