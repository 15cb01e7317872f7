package controlplane

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// ping is what machines of the core tell each other, as question and as answer.
type ping struct {
	Peer     view.Peer  `msgpack:"p"`
	View     uint64     `msgpack:"v"`
	Accepted uint64     `msgpack:"a,omitempty"` // number of a view that was accepted here and is not learned; 0: none
	Stuck    bool       `msgpack:"k,omitempty"` // and for how long already tells that nobody finishes it
	Seq      uint64     `msgpack:"s"`           // of the newest value known as committed
	Sum      uint64     `msgpack:"m"`           // of that value
	Hears    []string   `msgpack:"h,omitempty"`
	Sick     bool       `msgpack:"x,omitempty"`
	Ending   bool       `msgpack:"e,omitempty"`
	Complete bool       `msgpack:"c,omitempty"`
	AgeMs    int64      `msgpack:"t"` // since the sender last knew to hear and be heard by the receiver; -1: never
	UpMs     int64      `msgpack:"u"` // since the sender started or woke
	News     *view.View `msgpack:"n,omitempty"`
}

// peer is what is known of another machine of the core.
type peer struct {
	said    ping
	made    time.Time
	contact time.Time // when it was last known to hear and be heard
	well    time.Time // since when that has gone on
	asked   time.Time
	busy    bool      // a ping is under way
	failing time.Time // since when pushes to it have failed; zero: they don't
	failed  time.Time // the last of them
	gone    time.Time // since when its port is closed; zero: it is not
}

func (p *peer) silent(now, awake time.Time) time.Duration {
	last := p.contact
	if last.Before(p.made) {
		last = p.made
	}
	if last.Before(awake) {
		last = awake
	}
	return max(0, now.Sub(last))
}

// closed tells whether the peer's process has ended: its machine refuses connections.
func (p *peer) closed(now time.Time) bool { return !p.gone.IsZero() && now.Sub(p.gone) >= refused }

// unreached tells whether pushes to the peer fail for so long, and so lately, that it is no successor.
func (p *peer) unreached(now time.Time) bool {
	return !p.failing.IsZero() && now.Sub(p.failing) >= linked && now.Sub(p.failed) < away
}

func (p *peer) inTouch(now time.Time) bool { return !p.contact.IsZero() && now.Sub(p.contact) < linked }

// peerLocked is the entry of a peer; it is made where there is room.
func (m *Member) peerLocked(who view.Peer, now time.Time) *peer {
	if who.ID == m.me.ID {
		return nil
	}
	p := m.peers[who.ID]
	if p == nil {
		if len(m.peers) >= maxPeers {
			for id, q := range m.peers {
				if _, voter := m.view.Voter(id); !voter && q.silent(now, m.awake) > silent {
					delete(m.peers, id)
				}
			}
			if len(m.peers) >= maxPeers {
				return nil
			}
		}
		p = &peer{made: now, said: ping{Peer: who}}
		m.peers[who.ID] = p
	}
	return p
}

// note takes what a peer said, and that it was in contact at a time.
func (m *Member) note(said *ping, at time.Time) {
	if said.Peer.ID == "" || said.Peer.Addr == "" || len(said.Hears) > maxPeers {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerLocked(said.Peer, now)
	if p == nil {
		return
	}
	p.said = *said
	p.said.News = nil
	if at.IsZero() || !at.After(p.contact) {
		return
	}
	if p.contact.IsZero() || at.Sub(p.contact) > silent || p.well.Before(m.awake) {
		p.well = now
	}
	p.contact, p.gone = at, time.Time{}
}

func (m *Member) majorityLocked(now time.Time) bool {
	n := 0
	for _, v := range m.view.Voters {
		if p := m.peers[v.ID]; v.ID == m.me.ID || p != nil && p.inTouch(now) {
			n++
		}
	}
	_, is := m.view.Voter(m.me.ID)
	return is && n >= m.view.Majority()
}

// pendingLocked is the number of a view that was accepted here and is not learned.
func (m *Member) pendingLocked() uint64 {
	if m.vote.Accepted != nil && m.vote.Instance == m.view.Number+1 {
		return m.vote.Instance
	}
	return 0
}

// sickLocked tells of a disk that fails or holds operations up; outside of the chain also of one
// that has not taken a write in this life yet.
func (m *Member) sickLocked(now time.Time) bool {
	h := m.store.Health(now)
	return h.Oldest > diskWait || h.Failing > 0 || !h.Good && m.view.Place(m.me.ID) < 0
}

func (m *Member) sayLocked(to string, now time.Time) *ping {
	r := m.replicaLocked()
	q := &ping{Peer: m.me, View: m.view.Number, Accepted: m.pendingLocked(), Seq: m.committed.Seq, Sum: m.sum,
		Sick: m.sickLocked(now), Ending: m.ending, Complete: r.Complete(), AgeMs: -1, UpMs: now.Sub(m.awake).Milliseconds(), Hears: m.hearsLocked(now)}
	q.Stuck = q.Accepted != 0 && now.Sub(m.votedAt) > settle
	if p := m.peers[to]; p != nil && !p.contact.IsZero() {
		q.AgeMs = now.Sub(p.contact).Milliseconds()
	}
	return q
}

func (m *Member) hearsLocked(now time.Time) (out []string) {
	for _, v := range m.view.Voters {
		if p := m.peers[v.ID]; p != nil && p.inTouch(now) && !p.unreached(now) {
			out = append(out, v.ID)
		}
	}
	return out
}

// onPing answers with the same, and with the newer view where the sender lacks it.
func (m *Member) onPing(_ context.Context, q *ping) (*ping, error) {
	now := time.Now()
	var at time.Time
	if q.AgeMs >= 0 && q.AgeMs < int64(time.Minute/time.Millisecond) {
		at = now.Add(-time.Duration(q.AgeMs) * time.Millisecond)
	}
	m.note(q, at)
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.sayLocked(q.Peer.ID, now)
	if q.View < m.view.Number {
		v := m.view
		a.News = &v
	}
	if newer := q.Seq > m.committed.Seq && !m.fetching; newer || q.Seq > 0 && q.Seq == m.committed.Seq && q.Sum != m.sum {
		said := *q
		said.News = nil
		m.spawnLocked(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, pushWait)
			defer cancel()
			m.follow(ctx, &said)
		})
	}
	return a, nil
}

// ping asks one peer and takes its answer.
func (m *Member) ping(ctx context.Context, to view.Peer) (*ping, error) {
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	at := time.Now()
	m.mu.Lock()
	q := m.sayLocked(to.ID, at)
	m.mu.Unlock()
	a, err := call[ping, ping](ctx, m, to.Addr, "core.ping", q)
	if err != nil {
		return nil, err
	}
	m.note(a, at)
	m.hear(a.News)
	return a, nil
}

// follow does what a ping's answer calls for: learn or teach a view, take a newer value.
func (m *Member) follow(ctx context.Context, a *ping) {
	m.keepView(ctx, a.News)
	m.mu.Lock()
	v, known, sum, rec := m.view, m.committed.Seq, m.sum, m.record
	fetch := a.Seq > known && !m.fetching
	if fetch && rec.View == v.Number && a.View == v.Number && rec.Value.Seq == a.Seq {
		m.mu.Unlock()
		m.commit(rec.Value)
		return
	}
	if fetch {
		m.fetching = true
	}
	m.mu.Unlock()
	if a.Seq != 0 && a.Seq == known && a.Sum != sum {
		m.mend(ctx, a)
	}
	if a.View < v.Number {
		_, _ = call[view.View, none](ctx, m, a.Peer.Addr, "core.learn", &v) // the next ping tells
	}
	if fetch {
		got, err := call[none, valueAnswer](ctx, m, a.Peer.Addr, "core.value", &none{})
		if err == nil && got.Value.Seq > 0 && got.Value.Check() == nil {
			m.commit(got.Value)
		}
		m.mu.Lock()
		m.fetching = false
		m.mu.Unlock()
	}
}

// mend replaces a value that is not what the others hold under its number, as far as more of the
// voters in touch hold that. Each copy on a disk has its checksum; this is for what passes by it.
func (m *Member) mend(ctx context.Context, a *ping) {
	now := time.Now()
	m.mu.Lock()
	mine, theirs := 1, 0
	for _, v := range m.view.Voters {
		if p := m.peers[v.ID]; p != nil && p.inTouch(now) && p.said.Seq == a.Seq {
			switch p.said.Sum {
			case m.sum:
				mine++
			case a.Sum:
				theirs++
			}
		}
	}
	odd := m.committed.Seq == a.Seq && theirs > mine
	m.mu.Unlock()
	logevent.ValuesDiffer.Log("seq", a.Seq, "peer", a.Peer.Addr, "hold-this", mine, "hold-that", theirs, "mended", odd)
	if !odd {
		return
	}
	got, err := call[none, valueAnswer](ctx, m, a.Peer.Addr, "core.value", &none{})
	if err != nil || got.Value.Seq != a.Seq || got.Value.Sum() != a.Sum || m.hold(ctx) != nil {
		return
	}
	defer m.give()
	rec := m.record // changed only by holders of the step
	if rec.Value.Seq == a.Seq {
		rec.Value = got.Value
		if err := m.keep(rec); err != nil {
			return
		}
	}
	m.mu.Lock()
	if m.committed.Seq == a.Seq {
		m.committed, m.sum = got.Value, a.Sum
	}
	m.mu.Unlock()
}

// tickLoop pings, watches the disk and repairs the view.
func (m *Member) tickLoop(ctx context.Context) {
	wait := tick
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-m.kick:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		m.mu.Lock()
		if now.Sub(m.lastTick) > wait+frozen-tick {
			m.awake = now
		}
		m.lastTick = now
		m.pingsLocked(now)
		m.diskLocked(now)
		m.catchUpLocked()
		_, voter := m.view.Voter(m.me.ID)
		if wait = tick; !voter && !m.newcomerLocked() {
			wait = 5 * tick // nothing to ping
		}
		m.mu.Unlock()
		m.repair(now)
		t.Reset(wait)
	}
}

// catchUpLocked learns a view that was heard of; where the disk does not take it, again and again.
func (m *Member) catchUpLocked() {
	if m.seen.Number <= m.view.Number || m.catching {
		return
	}
	m.catching = true
	v := m.seen
	m.spawnLocked(func(ctx context.Context) {
		m.keepView(ctx, &v)
		m.mu.Lock()
		m.catching = false
		m.mu.Unlock()
	})
}

// poke asks for a tick now.
func (m *Member) poke() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// pingsLocked starts the pings that are due. Of two voters the one with the lower id asks, as the
// question tells as much as the answer; where that is not enough, both do.
func (m *Member) pingsLocked(now time.Time) {
	_, voter := m.view.Voter(m.me.ID)
	every := tick
	if !voter {
		if !m.newcomerLocked() {
			return
		}
		if every = 2 * tick; len(m.view.Voters) >= view.MaxVoters && !slices.ContainsFunc(m.view.Voters, func(p view.Peer) bool { return p.Addr == m.me.Addr }) {
			every = time.Second // a spare
		}
	}
	for _, to := range m.view.Voters {
		p := m.peerLocked(to, now)
		if p == nil || p.busy || now.Sub(p.asked) < every-tick/4 {
			continue
		}
		if voter && to.ID < m.me.ID && now.Sub(p.contact) < 5*tick/2 {
			continue
		}
		p.busy, p.asked = true, now
		m.spawnLocked(func(ctx context.Context) {
			a, err := m.ping(ctx, to)
			m.mu.Lock()
			p.busy = false
			if errors.Is(err, syscall.ECONNREFUSED) && !p.contact.IsZero() && p.gone.IsZero() {
				p.gone = time.Now()
			}
			m.mu.Unlock()
			if err == nil {
				fctx, cancel := context.WithTimeout(ctx, pushWait)
				defer cancel()
				m.follow(fctx, a)
			}
		})
	}
}

func (m *Member) isNamed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.named
}

// newcomerLocked tells whether this process asks for a vote.
func (m *Member) newcomerLocked() bool {
	if m.view.Number == 0 || m.ending || !m.named {
		return false
	}
	if _, voter := m.view.Voter(m.me.ID); voter {
		return false
	}
	return m.me.Disk || m.view.Memory
}

// diskLocked probes a disk in trouble, and one that has not been written to in this life.
func (m *Member) diskLocked(now time.Time) {
	h := m.store.Health(now)
	if m.probing || h.Oldest > 0 {
		return
	}
	switch {
	case (h.Failing > 0 || !h.Good) && now.Sub(m.lastProbe) >= probeEvery:
		m.probing, m.lastProbe = true, now
		m.spawnLocked(func(context.Context) {
			var err error
			if m.isNamed() {
				err = m.store.Probe()
			} else {
				err = m.store.Put(keyID, []byte(m.me.ID))
			}
			m.mu.Lock()
			m.probing = false
			m.named = m.named || err == nil
			m.mu.Unlock()
			if err != nil {
				logevent.DiskWrite.Error(err)
			}
		})
	case m.o.Dir != "" && now.Sub(m.lastSweep) >= sweepEvery:
		m.lastSweep, m.probing = now, true
		m.spawnLocked(func(context.Context) {
			whole, err := m.store.Sweep()
			m.mu.Lock()
			m.probing = false
			m.mu.Unlock()
			if !whole || err != nil {
				logevent.DiskRewritten.Error(err)
			}
		})
	}
}

// confirm asks a majority of the voters of a view whether it is in force: none of them knows a
// newer one or has accepted one. What is decided later was not acted on before the answers.
func (m *Member) confirm(ctx context.Context, v view.View) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *ping, len(v.Voters))
	asked := 0
	for _, to := range v.Voters {
		asked++
		if to.ID == m.me.ID {
			m.mu.Lock()
			answers <- m.sayLocked("", time.Now())
			m.mu.Unlock()
			continue
		}
		m.spawn(func(context.Context) {
			a, err := m.ping(ctx, to)
			if err != nil || a.Peer.ID != to.ID {
				a = nil
			}
			answers <- a
		})
	}
	yes := 0
	for ; asked > 0; asked-- {
		var a *ping
		select {
		case a = <-answers:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "confirm the view")
		}
		switch {
		case a == nil:
			continue
		case a.View > v.Number || a.Accepted > v.Number:
			return errors.Errorf("view %d may be over", v.Number)
		}
		if yes++; yes >= v.Majority() {
			return nil
		}
	}
	return errors.Errorf("no majority of the voters confirms view %d", v.Number)
}
