package controlplane

import (
	"context"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	bootstrapInterval      = 100 * time.Millisecond
	bootstrapQuietPeriod   = 300 * time.Millisecond  // no new machine with a disk for so long
	bootstrapMinimumDelay  = 700 * time.Millisecond  // of this process's life at the earliest
	bootstrapRankDelay     = 400 * time.Millisecond  // later for each seed before it in the list
	bootstrapDisklessDelay = 1500 * time.Millisecond // without any machine that has a disk
	maxBootstrapPeers      = 64                      // machines remembered of each kind
)

// bootstrapState is what a process knows of the first view before it is decided.
type bootstrapState struct {
	began, news time.Time
	found       map[string]view.Peer // with a disk, by id
	others      []view.Peer          // without
	vote        view.Vote            // as an acceptor of view 1, in memory
	acked       map[string]bool      // seeds that have this process's announcement
	round       uint32
	rest        time.Time // no proposal before
}

type announceRequest struct{ Peer view.Peer }

// bootstrapBase is the base of view 1: its voters are the processes at the seeds' addresses.
func bootstrapBase(seeds []string) view.View {
	var v view.View
	for _, a := range seeds {
		v.Voters = append(v.Voters, view.Peer{ID: a, Addr: a})
	}
	return v
}

// handleAnnounce notes a machine that started, and tells the view once there is one.
func (m *Member) handleAnnounce(_ context.Context, q *announceRequest) (*viewResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newest.Number > 0 {
		v := m.newest
		return &viewResponse{View: &v}, nil
	}
	if m.seeds != nil && q.Peer.ID != "" && q.Peer.Addr != "" {
		f := &m.bootstrap
		switch _, known := f.found[q.Peer.ID]; {
		case q.Peer.Disk && !known && len(f.found) < maxBootstrapPeers:
			f.found[q.Peer.ID], f.news = q.Peer, time.Now()
		case !q.Peer.Disk && len(f.others) < maxBootstrapPeers && !slices.Contains(f.others, q.Peer):
			f.others = append(f.others, q.Peer)
		}
	}
	return &viewResponse{}, nil
}

// voteOnFirst tells whether this process is an acceptor of view 1, and who it is as such.
func (m *Member) bootstrapRefusalLocked(to string, base view.View) *view.Answer {
	switch {
	case m.newest.Number > 0:
		v := m.newest
		return &view.Answer{Newer: &v}
	case m.seeds == nil || to != m.self.Addr || !slices.Equal(bootstrapBase(m.seeds).Voters, base.Voters):
		return &view.Answer{Refused: "no seed of a first start with these seeds"}
	}
	return nil
}

func (m *Member) prepareFirstView(q *prepareRequest) (*view.Answer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.bootstrapRefusalLocked(q.To, q.Q.Base); a != nil {
		return a, nil
	}
	vote, a := m.bootstrap.vote.Prepare(1, q.Q.Ballot)
	m.bootstrap.vote = vote
	return &a, nil
}

func (m *Member) acceptFirstView(q *acceptRequest) (*view.Answer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.bootstrapRefusalLocked(q.To, q.Q.Base); a != nil {
		return a, nil
	}
	vote, a := m.bootstrap.vote.Accept(1, q.Q.Ballot, q.Q.View)
	m.bootstrap.vote = vote
	return &a, nil
}

// bootstrapFirstView announces this process to the seeds until the first view is known, and proposes it where
// this process is a seed.
func (m *Member) bootstrapFirstView(ctx context.Context) {
	if m.seeds == nil {
		return
	}
	place := slices.Index(m.seeds, m.self.Addr)
	t := time.NewTicker(bootstrapInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		if _, known := m.View(); known {
			return
		}
		m.announceToSeeds(ctx, n)
		if place >= 0 {
			m.proposeFirstView(ctx, place)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// announceToSeeds tells the seeds of this process; those that know already are asked for the view less often.
func (m *Member) announceToSeeds(ctx context.Context, n int) {
	for i, addr := range m.seeds {
		m.mu.Lock()
		acked := m.bootstrap.acked[addr]
		m.mu.Unlock()
		if acked && (n+i)%6 != 0 {
			continue
		}
		if addr == m.self.Addr {
			a, _ := m.handleAnnounce(ctx, &announceRequest{Peer: m.self})
			m.observeView(a.View)
			continue
		}
		m.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			a, err := call[announceRequest, viewResponse](ctx, m, addr, "core.announce", &announceRequest{Peer: m.self})
			if err != nil {
				return
			}
			m.mu.Lock()
			m.bootstrap.acked[addr] = true
			m.mu.Unlock()
			m.observeView(a.View)
			_ = m.learnView(ctx, a.View) // asked again
		})
	}
}

// proposeFirstView proposes view 1 once it is this seed's turn and no further machine came.
func (m *Member) proposeFirstView(ctx context.Context, place int) {
	now := time.Now()
	m.mu.Lock()
	f := &m.bootstrap
	peers := append([]view.Peer(nil), f.others...)
	for _, p := range f.found {
		peers = append(peers, p)
	}
	after := bootstrapMinimumDelay
	if len(f.found) == 0 {
		after = bootstrapDisklessDelay
	}
	due := now.Sub(f.began) >= after+time.Duration(place)*bootstrapRankDelay && now.Sub(f.news) >= bootstrapQuietPeriod && !now.Before(f.rest)
	if due {
		f.round++
	}
	round := f.round
	m.mu.Unlock()
	first, ok := view.First(peers, m.tolerance())
	if !due || !ok {
		return
	}
	p := view.Propose(bootstrapBase(m.seeds), view.Ballot{Round: round, By: m.self.Addr + "/" + m.incarnation}, &first)
	switch m.runProposal(ctx, p) {
	case view.Decided, view.Overtaken:
		m.learnViewOrLog(ctx, &p.View)
		m.announceView(p.View, nil)
	default:
		m.mu.Lock()
		f.round = max(f.round, p.Seen.Round)
		f.rest = now.Add(bootstrapRankDelay/4 + time.Duration(place)*bootstrapRankDelay/2)
		m.mu.Unlock()
	}
}
