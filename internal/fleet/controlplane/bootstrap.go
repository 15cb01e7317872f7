package controlplane

import (
	"context"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// firstView is the number of the first view.
const firstView = 1

// announceRepeatRounds is the number of rounds between two announcements to a seed that has acknowledged
// one. They ask the seed for the first view.
const announceRepeatRounds = 6

// bootstrapState is what a process knows about the bootstrap of the first view. The acceptors of that view
// are the processes at the seeds' addresses. Their votes are in memory only: a process that was restarted
// has no seeds here, so it never votes on the first view again.
type bootstrapState struct {
	seeds     []string // immutable; nil if this process takes no part in the bootstrap
	startedAt time.Time
	// lastJoin is the time at which a machine with a disk was last announced for the first time; initially
	// the start of the process.
	lastJoin  time.Time
	withDisk  map[string]view.Peer // the announced machines with a disk, by ID
	diskless  []view.Peer          // the announced machines without a disk
	acceptor  view.AcceptorState
	announced map[string]bool // seeds that have acknowledged this process's announcement
	round     uint32          // highest round that this process used or saw
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

// bootstrapBase returns the base of the first view: its voters are the processes at the seeds' addresses.
func bootstrapBase(seeds []string) view.View {
	var base view.View
	for _, address := range seeds {
		base.Voters = append(base.Voters, view.Peer{ID: address, Addr: address})
	}
	return base
}

// isAcceptor reports whether this process votes on the first view with the voters of a base. It does not
// if it was restarted or has other seeds.
func (b *bootstrapState) isAcceptor(base *view.View) bool {
	return b.seeds != nil && slices.Equal(bootstrapBase(b.seeds).Voters, base.Voters)
}

// join records an announced process.
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

// peers returns all processes that were announced.
func (b *bootstrapState) peers() []view.Peer {
	peers := slices.Clone(b.diskless)
	for _, peer := range b.withDisk {
		peers = append(peers, peer)
	}
	return peers
}

// beginRound starts a proposal round if one is due: this seed's delay, which depends on its rank in the
// list, has passed, and no further machine with a disk was announced within bootstrapQuietPeriod.
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

// contended records that a proposal that started at startedAt was not decided. highestSeen is the highest
// round in the responses.
func (b *bootstrapState) contended(highestSeen uint32, rank int, startedAt time.Time) {
	b.round = max(b.round, highestSeen)
	b.backoffUntil = startedAt.Add(bootstrapRankDelay/4 + time.Duration(rank)*bootstrapRankDelay/2)
}

// bootstrapRejectionLocked returns the response of a process that is not an acceptor of the first view; nil
// if it is one.
func (m *Member) bootstrapRejectionLocked(to string, base *view.View) *view.Response {
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
	if rejection := m.bootstrapRejectionLocked(request.To, &request.Prepare.Base); rejection != nil {
		return rejection
	}
	vote, answer := m.bootstrap.acceptor.Prepare(firstView, request.Prepare.Number)
	m.bootstrap.acceptor = vote
	return &answer
}

// acceptFirstView is handleAccept for the first view.
func (m *Member) acceptFirstView(request *acceptRequest) *view.Response {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rejection := m.bootstrapRejectionLocked(request.To, &request.Accept.Base); rejection != nil {
		return rejection
	}
	vote, answer := m.bootstrap.acceptor.Accept(firstView, request.Accept.Number, request.Accept.View)
	m.bootstrap.acceptor = vote
	return &answer
}

// handleAnnounce records a process that has started, or responds with the newest view if there is one.
func (m *Member) handleAnnounce(_ context.Context, request *announceRequest) (*viewResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if newest := m.views.newerThan(0); newest != nil {
		return &viewResponse{View: newest}, nil
	}
	m.bootstrap.join(request.Peer, time.Now())
	return &viewResponse{}, nil
}

// bootstrapFirstView announces this process to the seeds until a view is known. If this process is a seed,
// it also proposes the first view.
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

// announceToSeeds announces this process to the seeds. Seeds that have acknowledged an announcement get
// further ones less often, as these only ask for the view.
func (m *Member) announceToSeeds(ctx context.Context, round int) {
	for i, seed := range m.bootstrap.seeds {
		m.mu.Lock()
		announced := m.bootstrap.announced[seed]
		m.mu.Unlock()
		if announced && (round+i)%announceRepeatRounds != 0 {
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

// proposeFirstView proposes the first view if a proposal is due. rank is this process's index among the seeds.
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
