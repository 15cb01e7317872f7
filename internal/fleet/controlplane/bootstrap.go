package controlplane

import (
	"context"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// firstView is the number of the first view.
const firstView = 1

// announceRepeat is how often a seed that knows of this process is asked for the first view: in every
// announceRepeat-th round.
const announceRepeat = 6

// bootstrapState is what a process knows of the first view before it is decided. Its acceptors are the
// processes at the seeds' addresses. Their votes are in memory only: a process that is started again
// has no seeds here, and never votes on the first view again.
type bootstrapState struct {
	seeds     []string // immutable; nil: this process takes no part
	startedAt time.Time
	// lastJoin is when a machine with a disk was last announced for the first time.
	lastJoin  time.Time
	withDisk  map[string]view.Peer // the announced machines with a disk, by ID
	diskless  []view.Peer          // and those without
	acceptor  view.AcceptorState
	announced map[string]bool // seeds that have acknowledged this process's announcement
	round     uint32          // of this process's last proposal, or a higher one that it met
	// backoffUntil is the earliest time of the next proposal.
	backoffUntil time.Time
}

func newBootstrap(seeds []string, now time.Time) bootstrapState {
	return bootstrapState{
		seeds:     distinct(seeds),
		startedAt: now,
		lastJoin:  now,
		withDisk:  map[string]view.Peer{},
		announced: map[string]bool{},
	}
}

func distinct(addresses []string) []string {
	var out []string
	for _, address := range addresses {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// bootstrapBase is the base of the first view: its voters are the processes at the seeds' addresses.
func bootstrapBase(seeds []string) view.View {
	var base view.View
	for _, address := range seeds {
		base.Voters = append(base.Voters, view.Peer{ID: address, Addr: address})
	}
	return base
}

// isAcceptor reports whether this process votes on the first view with the voters of a base. It does
// not if it was started again, or with other seeds.
func (b *bootstrapState) isAcceptor(base *view.View) bool {
	return b.seeds != nil && slices.Equal(bootstrapBase(b.seeds).Voters, base.Voters)
}

// join takes the announcement of a process.
func (b *bootstrapState) join(peer view.Peer, now time.Time) {
	if b.seeds == nil || peer.ID == "" || peer.Addr == "" {
		return
	}
	if !peer.Disk {
		if len(b.diskless) < maxBootstrapPeers && !slices.Contains(b.diskless, peer) {
			b.diskless = append(b.diskless, peer)
		}
		return
	}
	if _, known := b.withDisk[peer.ID]; !known && len(b.withDisk) < maxBootstrapPeers {
		b.withDisk[peer.ID], b.lastJoin = peer, now
	}
}

// peers are all processes that were announced.
func (b *bootstrapState) peers() []view.Peer {
	peers := slices.Clone(b.diskless)
	for _, peer := range b.withDisk {
		peers = append(peers, peer)
	}
	return peers
}

// beginRound starts a proposal of the seed at a rank of the list, if one is due: once it is this seed's
// turn and no further machine with a disk has been announced for a while.
func (b *bootstrapState) beginRound(rank int, now time.Time) (round uint32, due bool) {
	delay := bootstrapMinDelay
	if len(b.withDisk) == 0 {
		delay = bootstrapDisklessDelay
	}
	delay += time.Duration(rank) * bootstrapRankDelay
	if now.Sub(b.startedAt) < delay || now.Sub(b.lastJoin) < bootstrapQuietPeriod || now.Before(b.backoffUntil) {
		return b.round, false
	}
	b.round++
	return b.round, true
}

// contended notes that a proposal that was begun at a time was not decided. seen is the highest round
// that was met.
func (b *bootstrapState) contended(seen uint32, rank int, begun time.Time) {
	b.round = max(b.round, seen)
	b.backoffUntil = begun.Add(bootstrapRankDelay/4 + time.Duration(rank)*bootstrapRankDelay/2)
}

// bootstrapRefusalLocked is the answer of a process that is no acceptor of the first view; nil: it is one.
func (m *Member) bootstrapRefusalLocked(to string, base *view.View) *view.Response {
	if newest := m.views.newerThan(0); newest != nil {
		return &view.Response{Newer: newest}
	}
	if !m.bootstrap.isAcceptor(base) || to != m.self.Addr {
		return &view.Response{RejectReason: "no seed of a first start with these seeds"}
	}
	return nil
}

// prepareFirstView is handlePrepare for the first view.
func (m *Member) prepareFirstView(request *prepareRequest) *view.Response {
	m.mu.Lock()
	defer m.mu.Unlock()
	if refusal := m.bootstrapRefusalLocked(request.To, &request.Prepare.Base); refusal != nil {
		return refusal
	}
	vote, answer := m.bootstrap.acceptor.Prepare(firstView, request.Prepare.Number)
	m.bootstrap.acceptor = vote
	return &answer
}

// acceptFirstView is handleAccept for the first view.
func (m *Member) acceptFirstView(request *acceptRequest) *view.Response {
	m.mu.Lock()
	defer m.mu.Unlock()
	if refusal := m.bootstrapRefusalLocked(request.To, &request.Accept.Base); refusal != nil {
		return refusal
	}
	vote, answer := m.bootstrap.acceptor.Accept(firstView, request.Accept.Number, request.Accept.View)
	m.bootstrap.acceptor = vote
	return &answer
}

// handleAnnounce notes a process that has started, or answers with the newest view if there is one.
func (m *Member) handleAnnounce(_ context.Context, request *announceRequest) (*viewResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if newest := m.views.newerThan(0); newest != nil {
		return &viewResponse{View: newest}, nil
	}
	m.bootstrap.join(request.Peer, time.Now())
	return &viewResponse{}, nil
}

// bootstrapFirstView announces this process to the seeds until a view is known. Where this process is
// a seed it proposes the first view.
func (m *Member) bootstrapFirstView(ctx context.Context) {
	if m.bootstrap.seeds == nil {
		return
	}
	rank := slices.Index(m.bootstrap.seeds, m.self.Addr)
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		if _, known := m.View(); known {
			return
		}
		m.announceToSeeds(ctx, round)
		if rank >= 0 {
			m.proposeFirstView(ctx, rank)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// announceToSeeds announces this process to the seeds. Those that know of it already are asked for the
// view less often.
func (m *Member) announceToSeeds(ctx context.Context, round int) {
	for i, seed := range m.bootstrap.seeds {
		m.mu.Lock()
		announced := m.bootstrap.announced[seed]
		m.mu.Unlock()
		if announced && (round+i)%announceRepeat != 0 {
			continue
		}
		if seed == m.self.Addr {
			response, _ := m.handleAnnounce(ctx, &announceRequest{Peer: m.self}) // never fails
			m.observeView(response.View)
			continue
		}
		m.spawn(func(ctx context.Context) { m.announceTo(ctx, seed) })
	}
}

func (m *Member) announceTo(ctx context.Context, seed string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := call[announceRequest, viewResponse](ctx, m, seed, callAnnounce, &announceRequest{Peer: m.self})
	if err != nil {
		return
	}
	m.mu.Lock()
	m.bootstrap.announced[seed] = true
	m.mu.Unlock()
	m.observeView(response.View)
	_ = m.learnView(ctx, response.View) // the next announcement asks again
}

// proposeFirstView proposes the first view if it is due. rank is this process's place among the seeds.
func (m *Member) proposeFirstView(ctx context.Context, rank int) {
	now := time.Now()
	m.mu.Lock()
	peers := m.bootstrap.peers()
	round, due := m.bootstrap.beginRound(rank, now)
	m.mu.Unlock()
	first, ok := view.InitialView(peers, m.options.Tolerance)
	if !due || !ok {
		return
	}
	number := view.ProposalNumber{Round: round, Proposer: m.self.Addr + "/" + m.incarnation}
	proposal := view.NewProposal(bootstrapBase(m.bootstrap.seeds), number, &first)
	switch m.runProposal(ctx, proposal) {
	case view.Decided, view.Superseded:
		m.learnViewOrLog(ctx, &proposal.View)
		m.announceView(proposal.View, nil)
	default:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.bootstrap.contended(proposal.HighestSeen.Round, rank, now)
	}
}
