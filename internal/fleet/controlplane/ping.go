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

// heartbeat is what machines of the core tell each other, as question and as answer.
type heartbeat struct {
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

// peerState is what is known of another machine of the core.
type peerState struct {
	lastHeartbeat    heartbeat
	knownSince       time.Time
	lastContact      time.Time // when it was last known to hear and be heard
	contactSince     time.Time // since when that has gone on
	lastSent         time.Time
	inFlight         bool      // a ping is under way
	pushFailingSince time.Time // since when pushes to it have failed; zero: they don't
	lastPushFailure  time.Time // the last of them
	refusingSince    time.Time // since when its port is closed; zero: it is not
}

func (p *peerState) silence(now, awake time.Time) time.Duration {
	last := p.lastContact
	if last.Before(p.knownSince) {
		last = p.knownSince
	}
	if last.Before(awake) {
		last = awake
	}
	return max(0, now.Sub(last))
}

// processEnded tells whether the peer's process has ended: its machine refuses connections.
func (p *peerState) processEnded(now time.Time) bool {
	return !p.refusingSince.IsZero() && now.Sub(p.refusingSince) >= refusalConfirmation
}

// pushUnreachable tells whether pushes to the peer fail for so long, and so lately, that it is no successor.
func (p *peerState) pushUnreachable(now time.Time) bool {
	return !p.pushFailingSince.IsZero() && now.Sub(p.pushFailingSince) >= contactTimeout && now.Sub(p.lastPushFailure) < voterReplacementDelay
}

func (p *peerState) inContact(now time.Time) bool {
	return !p.lastContact.IsZero() && now.Sub(p.lastContact) < contactTimeout
}

// peerLocked is the entry of a peer; it is made where there is room.
func (m *Member) peerLocked(who view.Peer, now time.Time) *peerState {
	if who.ID == m.self.ID {
		return nil
	}
	p := m.peers[who.ID]
	if p == nil {
		if len(m.peers) >= maxPeers {
			for id, q := range m.peers {
				if _, voter := m.learned.Voter(id); !voter && q.silence(now, m.awakeSince) > peerTimeout {
					delete(m.peers, id)
				}
			}
			if len(m.peers) >= maxPeers {
				return nil
			}
		}
		p = &peerState{knownSince: now, lastHeartbeat: heartbeat{Peer: who}}
		m.peers[who.ID] = p
	}
	return p
}

// recordHeartbeat takes what a peer said, and that it was in contact at a time.
func (m *Member) recordHeartbeat(said *heartbeat, at time.Time) {
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
	p.lastHeartbeat = *said
	p.lastHeartbeat.News = nil
	if at.IsZero() || !at.After(p.lastContact) {
		return
	}
	if p.lastContact.IsZero() || at.Sub(p.lastContact) > peerTimeout || p.contactSince.Before(m.awakeSince) {
		p.contactSince = now
	}
	p.lastContact, p.refusingSince = at, time.Time{}
}

func (m *Member) hasQuorumLocked(now time.Time) bool {
	n := 0
	for _, v := range m.learned.Voters {
		if p := m.peers[v.ID]; v.ID == m.self.ID || p != nil && p.inContact(now) {
			n++
		}
	}
	_, is := m.learned.Voter(m.self.ID)
	return is && n >= m.learned.Majority()
}

// undecidedLocked is the number of a view that was accepted here and is not learned.
func (m *Member) undecidedLocked() uint64 {
	if m.vote.Accepted != nil && m.vote.Instance == m.learned.Number+1 {
		return m.vote.Instance
	}
	return 0
}

// diskUnhealthyLocked tells of a disk that fails or holds operations up; outside of the chain also of one
// that has not taken a write in this life yet.
func (m *Member) diskUnhealthyLocked(now time.Time) bool {
	h := m.disk.Health(now)
	return h.Oldest > diskStallLimit || h.Failing > 0 || !h.Good && m.learned.Place(m.self.ID) < 0
}

func (m *Member) heartbeatLocked(to string, now time.Time) *heartbeat {
	r := m.replicaLocked()
	q := &heartbeat{Peer: m.self, View: m.learned.Number, Accepted: m.undecidedLocked(), Seq: m.committed.Seq, Sum: m.checksum,
		Sick: m.diskUnhealthyLocked(now), Ending: m.shuttingDown, Complete: r.Complete(), AgeMs: -1, UpMs: now.Sub(m.awakeSince).Milliseconds(), Hears: m.reachableVotersLocked(now)}
	q.Stuck = q.Accepted != 0 && now.Sub(m.acceptedAt) > stabilizationDelay
	if p := m.peers[to]; p != nil && !p.lastContact.IsZero() {
		q.AgeMs = now.Sub(p.lastContact).Milliseconds()
	}
	return q
}

func (m *Member) reachableVotersLocked(now time.Time) (out []string) {
	for _, v := range m.learned.Voters {
		if p := m.peers[v.ID]; p != nil && p.inContact(now) && !p.pushUnreachable(now) {
			out = append(out, v.ID)
		}
	}
	return out
}

// handleHeartbeat answers with the same, and with the newer view where the sender lacks it.
func (m *Member) handleHeartbeat(_ context.Context, q *heartbeat) (*heartbeat, error) {
	now := time.Now()
	var at time.Time
	if q.AgeMs >= 0 && q.AgeMs < int64(time.Minute/time.Millisecond) {
		at = now.Add(-time.Duration(q.AgeMs) * time.Millisecond)
	}
	m.recordHeartbeat(q, at)
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.heartbeatLocked(q.Peer.ID, now)
	if q.View < m.learned.Number {
		v := m.learned
		a.News = &v
	}
	if newer := q.Seq > m.committed.Seq && !m.fetching; newer || q.Seq > 0 && q.Seq == m.committed.Seq && q.Sum != m.checksum {
		said := *q
		said.News = nil
		m.spawnLocked(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			m.catchUp(ctx, &said)
		})
	}
	return a, nil
}

// sendHeartbeat asks one peer and takes its answer.
func (m *Member) sendHeartbeat(ctx context.Context, to view.Peer) (*heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	at := time.Now()
	m.mu.Lock()
	q := m.heartbeatLocked(to.ID, at)
	m.mu.Unlock()
	a, err := call[heartbeat, heartbeat](ctx, m, to.Addr, "core.ping", q)
	if err != nil {
		return nil, err
	}
	m.recordHeartbeat(a, at)
	m.observeView(a.News)
	return a, nil
}

// catchUp does what a ping's answer calls for: learn or teach a view, take a newer value.
func (m *Member) catchUp(ctx context.Context, a *heartbeat) {
	m.learnViewOrLog(ctx, a.News)
	m.mu.Lock()
	v, known, sum, rec := m.learned, m.committed.Seq, m.checksum, m.record
	fetch := a.Seq > known && !m.fetching
	if fetch && rec.View == v.Number && a.View == v.Number && rec.Value.Seq == a.Seq {
		m.mu.Unlock()
		m.advanceCommitted(rec.Value)
		return
	}
	if fetch {
		m.fetching = true
	}
	m.mu.Unlock()
	if a.Seq != 0 && a.Seq == known && a.Sum != sum {
		m.repairDivergence(ctx, a)
	}
	if a.View < v.Number {
		_, _ = call[view.View, empty](ctx, m, a.Peer.Addr, "core.learn", &v) // the next ping tells
	}
	if fetch {
		got, err := call[empty, valueResponse](ctx, m, a.Peer.Addr, "core.value", &empty{})
		if err == nil && got.Value.Seq > 0 && got.Value.Check() == nil {
			m.advanceCommitted(got.Value)
		}
		m.mu.Lock()
		m.fetching = false
		m.mu.Unlock()
	}
}

// repairDivergence replaces a value that is not what the others hold under its number, as far as more of the
// voters in touch hold that. Each copy on a disk has its checksum; this is for what passes by it.
func (m *Member) repairDivergence(ctx context.Context, a *heartbeat) {
	now := time.Now()
	m.mu.Lock()
	mine, theirs := 1, 0
	for _, v := range m.learned.Voters {
		if p := m.peers[v.ID]; p != nil && p.inContact(now) && p.lastHeartbeat.Seq == a.Seq {
			switch p.lastHeartbeat.Sum {
			case m.checksum:
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
	got, err := call[empty, valueResponse](ctx, m, a.Peer.Addr, "core.value", &empty{})
	if err != nil || got.Value.Seq != a.Seq || got.Value.Sum() != a.Sum || m.acquireWrite(ctx) != nil {
		return
	}
	defer m.releaseWrite()
	rec := m.record // changed only by holders of the step
	if rec.Value.Seq == a.Seq {
		rec.Value = got.Value
		if err := m.persistRecord(rec); err != nil {
			return
		}
	}
	m.mu.Lock()
	if m.committed.Seq == a.Seq {
		m.committed, m.checksum = got.Value, a.Sum
	}
	m.mu.Unlock()
}

// tickLoop pings, watches the disk and repairs the view.
func (m *Member) tickLoop(ctx context.Context) {
	wait := heartbeatInterval
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-m.wakeups:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		m.mu.Lock()
		if now.Sub(m.lastTick) > wait+pauseAllowance-heartbeatInterval {
			m.awakeSince = now
		}
		m.lastTick = now
		m.sendHeartbeatsLocked(now)
		m.checkDiskLocked(now)
		m.learnNewestLocked()
		_, voter := m.learned.Voter(m.self.ID)
		if wait = heartbeatInterval; !voter && !m.joiningLocked() {
			wait = 5 * heartbeatInterval // nothing to ping
		}
		m.mu.Unlock()
		m.repair(now)
		t.Reset(wait)
	}
}

// learnNewestLocked learns a view that was heard of; where the disk does not take it, again and again.
func (m *Member) learnNewestLocked() {
	if m.newest.Number <= m.learned.Number || m.learning {
		return
	}
	m.learning = true
	v := m.newest
	m.spawnLocked(func(ctx context.Context) {
		m.learnViewOrLog(ctx, &v)
		m.mu.Lock()
		m.learning = false
		m.mu.Unlock()
	})
}

// wakeTicker asks for a tick now.
func (m *Member) wakeTicker() {
	select {
	case m.wakeups <- struct{}{}:
	default:
	}
}

// sendHeartbeatsLocked starts the pings that are due. Of two voters the one with the lower id asks, as the
// question tells as much as the answer; where that is not enough, both do.
func (m *Member) sendHeartbeatsLocked(now time.Time) {
	_, voter := m.learned.Voter(m.self.ID)
	every := heartbeatInterval
	if !voter {
		if !m.joiningLocked() {
			return
		}
		if every = 2 * heartbeatInterval; len(m.learned.Voters) >= view.MaxVoters && !slices.ContainsFunc(m.learned.Voters, func(p view.Peer) bool { return p.Addr == m.self.Addr }) {
			every = time.Second // a spare
		}
	}
	for _, to := range m.learned.Voters {
		p := m.peerLocked(to, now)
		if p == nil || p.inFlight || now.Sub(p.lastSent) < every-heartbeatInterval/4 {
			continue
		}
		if voter && to.ID < m.self.ID && now.Sub(p.lastContact) < 5*heartbeatInterval/2 {
			continue
		}
		p.inFlight, p.lastSent = true, now
		m.spawnLocked(func(ctx context.Context) {
			a, err := m.sendHeartbeat(ctx, to)
			m.mu.Lock()
			p.inFlight = false
			if errors.Is(err, syscall.ECONNREFUSED) && !p.lastContact.IsZero() && p.refusingSince.IsZero() {
				p.refusingSince = time.Now()
			}
			m.mu.Unlock()
			if err == nil {
				fctx, cancel := context.WithTimeout(ctx, pushTimeout)
				defer cancel()
				m.catchUp(fctx, a)
			}
		})
	}
}

func (m *Member) isIDPersisted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.idPersisted
}

// joiningLocked tells whether this process asks for a vote.
func (m *Member) joiningLocked() bool {
	if m.learned.Number == 0 || m.shuttingDown || !m.idPersisted {
		return false
	}
	if _, voter := m.learned.Voter(m.self.ID); voter {
		return false
	}
	return m.self.Disk || m.learned.Memory
}

// checkDiskLocked probes a disk in trouble, and one that has not been written to in this life.
func (m *Member) checkDiskLocked(now time.Time) {
	h := m.disk.Health(now)
	if m.diskBusy || h.Oldest > 0 {
		return
	}
	switch {
	case (h.Failing > 0 || !h.Good) && now.Sub(m.lastProbe) >= diskProbeInterval:
		m.diskBusy, m.lastProbe = true, now
		m.spawnLocked(func(context.Context) {
			var err error
			if m.isIDPersisted() {
				err = m.disk.Probe()
			} else {
				err = m.disk.Put(keyID, []byte(m.self.ID))
			}
			m.mu.Lock()
			m.diskBusy = false
			m.idPersisted = m.idPersisted || err == nil
			m.mu.Unlock()
			if err != nil {
				logevent.DiskWrite.Error(err)
			}
		})
	case m.options.StateDir != "" && now.Sub(m.lastSweep) >= diskSweepInterval:
		m.lastSweep, m.diskBusy = now, true
		m.spawnLocked(func(context.Context) {
			whole, err := m.disk.Sweep()
			m.mu.Lock()
			m.diskBusy = false
			m.mu.Unlock()
			if !whole || err != nil {
				logevent.DiskRewritten.Error(err)
			}
		})
	}
}

// confirmView asks a majority of the voters of a view whether it is in force: none of them knows a
// newer one or has accepted one. What is decided later was not acted on before the answers.
func (m *Member) confirmView(ctx context.Context, v view.View) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *heartbeat, len(v.Voters))
	asked := 0
	for _, to := range v.Voters {
		asked++
		if to.ID == m.self.ID {
			m.mu.Lock()
			answers <- m.heartbeatLocked("", time.Now())
			m.mu.Unlock()
			continue
		}
		m.spawn(func(context.Context) {
			a, err := m.sendHeartbeat(ctx, to)
			if err != nil || a.Peer.ID != to.ID {
				a = nil
			}
			answers <- a
		})
	}
	yes := 0
	for ; asked > 0; asked-- {
		var a *heartbeat
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
