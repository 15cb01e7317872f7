package controlplane

import (
	"context"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	foundTick  = 100 * time.Millisecond
	foundQuiet = 300 * time.Millisecond  // no new machine with a disk for so long
	foundAfter = 700 * time.Millisecond  // of this process's life at the earliest
	foundTurn  = 400 * time.Millisecond  // later for each seed before it in the list
	foundAlone = 1500 * time.Millisecond // without any machine that has a disk
	maxFound   = 64                      // machines remembered of each kind
)

// founding is what a process knows of the first view before it is decided.
type founding struct {
	began, news time.Time
	found       map[string]view.Peer // with a disk, by id
	others      []view.Peer          // without
	vote        view.Vote            // as an acceptor of view 1, in memory
	acked       map[string]bool      // seeds that have this process's announcement
	round       uint32
	rest        time.Time // no proposal before
}

type announceCall struct{ Peer view.Peer }

// seedView is the base of view 1: its voters are the processes at the seeds' addresses.
func seedView(seeds []string) view.View {
	var v view.View
	for _, a := range seeds {
		v.Voters = append(v.Voters, view.Peer{ID: a, Addr: a})
	}
	return v
}

// onAnnounce notes a machine that started, and tells the view once there is one.
func (m *Member) onAnnounce(_ context.Context, q *announceCall) (*viewAnswer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen.Number > 0 {
		v := m.seen
		return &viewAnswer{View: &v}, nil
	}
	if m.seeds != nil && q.Peer.ID != "" && q.Peer.Addr != "" {
		f := &m.founding
		switch _, known := f.found[q.Peer.ID]; {
		case q.Peer.Disk && !known && len(f.found) < maxFound:
			f.found[q.Peer.ID], f.news = q.Peer, time.Now()
		case !q.Peer.Disk && len(f.others) < maxFound && !slices.Contains(f.others, q.Peer):
			f.others = append(f.others, q.Peer)
		}
	}
	return &viewAnswer{}, nil
}

// voteOnFirst tells whether this process is an acceptor of view 1, and who it is as such.
func (m *Member) foundingRefused(to string, base view.View) *view.Answer {
	switch {
	case m.seen.Number > 0:
		v := m.seen
		return &view.Answer{Newer: &v}
	case m.seeds == nil || to != m.me.Addr || !slices.Equal(seedView(m.seeds).Voters, base.Voters):
		return &view.Answer{Refused: "no seed of a first start with these seeds"}
	}
	return nil
}

func (m *Member) foundingPrepare(q *prepareCall) (*view.Answer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.foundingRefused(q.To, q.Q.Base); a != nil {
		return a, nil
	}
	vote, a := m.founding.vote.Prepare(1, q.Q.Ballot)
	m.founding.vote = vote
	return &a, nil
}

func (m *Member) foundingAccept(q *acceptCall) (*view.Answer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.foundingRefused(q.To, q.Q.Base); a != nil {
		return a, nil
	}
	vote, a := m.founding.vote.Accept(1, q.Q.Ballot, q.Q.View)
	m.founding.vote = vote
	return &a, nil
}

// found announces this process to the seeds until the first view is known, and proposes it where
// this process is a seed.
func (m *Member) found(ctx context.Context) {
	if m.seeds == nil {
		return
	}
	place := slices.Index(m.seeds, m.me.Addr)
	t := time.NewTicker(foundTick)
	defer t.Stop()
	for n := 0; ; n++ {
		if _, known := m.View(); known {
			return
		}
		m.announce(ctx, n)
		if place >= 0 {
			m.proposeFirst(ctx, place)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// announce tells the seeds of this process; those that know already are asked for the view less often.
func (m *Member) announce(ctx context.Context, n int) {
	for i, addr := range m.seeds {
		m.mu.Lock()
		acked := m.founding.acked[addr]
		m.mu.Unlock()
		if acked && (n+i)%6 != 0 {
			continue
		}
		if addr == m.me.Addr {
			a, _ := m.onAnnounce(ctx, &announceCall{Peer: m.me})
			m.hear(a.View)
			continue
		}
		m.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, callWait)
			defer cancel()
			a, err := call[announceCall, viewAnswer](ctx, m, addr, "core.announce", &announceCall{Peer: m.me})
			if err != nil {
				return
			}
			m.mu.Lock()
			m.founding.acked[addr] = true
			m.mu.Unlock()
			m.hear(a.View)
			_ = m.learn(ctx, a.View) // asked again
		})
	}
}

// proposeFirst proposes view 1 once it is this seed's turn and no further machine came.
func (m *Member) proposeFirst(ctx context.Context, place int) {
	now := time.Now()
	m.mu.Lock()
	f := &m.founding
	peers := append([]view.Peer(nil), f.others...)
	for _, p := range f.found {
		peers = append(peers, p)
	}
	after := foundAfter
	if len(f.found) == 0 {
		after = foundAlone
	}
	due := now.Sub(f.began) >= after+time.Duration(place)*foundTurn && now.Sub(f.news) >= foundQuiet && !now.Before(f.rest)
	if due {
		f.round++
	}
	round := f.round
	m.mu.Unlock()
	first, ok := view.First(peers, m.tolerance())
	if !due || !ok {
		return
	}
	p := view.Propose(seedView(m.seeds), view.Ballot{Round: round, By: m.me.Addr + "/" + m.life}, &first)
	switch m.decide(ctx, p) {
	case view.Decided, view.Overtaken:
		m.keepView(ctx, &p.View)
		m.teach(p.View, nil)
	default:
		m.mu.Lock()
		f.round = max(f.round, p.Seen.Round)
		f.rest = now.Add(foundTurn/4 + time.Duration(place)*foundTurn/2)
		m.mu.Unlock()
	}
}
