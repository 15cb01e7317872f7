package controlplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	proposerRankDelay = 400 * time.Millisecond // later for each healthy member before this one
	snapshotDelay     = 150 * time.Millisecond // of a view, until joiners are given the value directly
	phaseTimeout      = 500 * time.Millisecond // bounds each phase of a proposal
)

// runProposal plays a proposal with its voters. A vote that does not come within phaseTimeout is given up.
func (m *Member) runProposal(ctx context.Context, p *view.Proposal) view.Outcome {
	first := p.Prepare()
	out := collectAnswers(m, ctx, p, func(ctx context.Context, to view.Peer) (*view.Answer, error) {
		q := &prepareRequest{To: to.ID, Q: first}
		if m.isSelf(to) {
			return m.handlePrepare(ctx, q)
		}
		return call[prepareRequest, view.Answer](ctx, m, to.Addr, "core.prepare", q)
	}, p.Promised)
	if out != view.Accepting {
		return out
	}
	second := p.Accept()
	return collectAnswers(m, ctx, p, func(ctx context.Context, to view.Peer) (*view.Answer, error) {
		q := &acceptRequest{To: to.ID, Q: second}
		if m.isSelf(to) {
			return m.handleAccept(ctx, q)
		}
		return call[acceptRequest, view.Answer](ctx, m, to.Addr, "core.accept", q)
	}, p.Accepted)
}

// isSelf tells whether a voter is this process, by its disk or, for the first view, by its address.
func (m *Member) isSelf(p view.Peer) bool { return p.ID == m.self.ID || p.ID == m.self.Addr }

// collectAnswers asks all voters at once and takes answers until the phase is over.
func collectAnswers(m *Member, ctx context.Context, p *view.Proposal, ask func(context.Context, view.Peer) (*view.Answer, error), take func(string, view.Answer) view.Outcome) view.Outcome {
	ctx, cancel := context.WithTimeout(ctx, phaseTimeout)
	defer cancel()
	type answer struct {
		from string
		a    *view.Answer
	}
	answers := make(chan answer, len(p.Base.Voters))
	for _, to := range p.Base.Voters {
		m.spawn(func(context.Context) {
			a, err := ask(ctx, to)
			if err != nil {
				a = nil
			}
			answers <- answer{to.ID, a}
		})
	}
	begin := p.Outcome()
	for range p.Base.Voters {
		select {
		case got := <-answers:
			if got.a != nil {
				if out := take(got.from, *got.a); out != begin {
					return out
				}
			}
		case <-ctx.Done():
			return p.Outcome()
		}
	}
	return p.Outcome()
}

// announceView tells the voters of a view, and of one before, that it is decided.
func (m *Member) announceView(v view.View, before []view.Peer) {
	told := map[string]bool{m.self.ID: true}
	for _, p := range append(append([]view.Peer(nil), v.Voters...), before...) {
		if told[p.ID] {
			continue
		}
		told[p.ID] = true
		m.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, _ = call[view.View, empty](ctx, m, p.Addr, "core.learn", &v) // pings tell it too
		})
	}
}

// tolerance is the losses that the core has to bear.
func (m *Member) tolerance() view.Tolerance {
	return view.Tolerance{Machines: m.options.Losses, Zones: m.options.ZoneLosses, Regions: m.options.RegionLosses}
}

func (m *Member) policy() view.Policy {
	return view.Policy{Tolerance: m.tolerance(), Silent: peerTimeout, Settle: stabilizationDelay, Away: voterReplacementDelay}
}

// reportShortfallLocked logs once what the voters of the view can't bear of the losses asked for.
func (m *Member) reportShortfallLocked() {
	short := m.learned.Shortfall(m.tolerance())
	if _, voter := m.learned.Voter(m.self.ID); !voter || short == m.reportedShortfall {
		return
	}
	m.reportedShortfall = short
	if !short.None() {
		logevent.ToleranceShort.Log("view", m.learned.Number, "voters", len(m.learned.Voters), "losses", short.String())
	}
}

// healthLocked is what Plan needs to know.
func (m *Member) healthLocked(now time.Time) map[string]view.Health {
	out := map[string]view.Health{}
	for id, p := range m.peers {
		h := view.Health{Peer: p.lastHeartbeat.Peer, Silent: p.silence(now, m.awakeSince), Sick: p.lastHeartbeat.Sick, Ending: p.lastHeartbeat.Ending, Hears: p.lastHeartbeat.Hears, Up: time.Duration(p.lastHeartbeat.UpMs) * time.Millisecond,
			Pending: p.lastHeartbeat.Stuck && p.lastHeartbeat.Accepted == m.learned.Number+1}
		if p.processEnded(now) {
			h.Silent = max(h.Silent, peerTimeout)
		}
		if h.Silent < peerTimeout && !p.lastContact.IsZero() && !p.contactSince.Before(m.awakeSince) {
			h.Well = max(1, now.Sub(p.contactSince))
		}
		h.Complete = m.completeLocked(&p.lastHeartbeat)
		out[id] = h
	}
	r := m.replicaLocked()
	out[m.self.ID] = view.Health{Peer: m.self, Well: max(1, now.Sub(m.awakeSince)), Sick: m.diskUnhealthyLocked(now), Ending: m.shuttingDown, Hears: m.reachableVotersLocked(now), Up: now.Sub(m.awakeSince),
		Complete: r.Complete(), Pending: m.undecidedLocked() != 0 && now.Sub(m.acceptedAt) > stabilizationDelay}
	return out
}

// completeLocked tells whether a peer holds everything, by its last word. A member that did holds it
// for as long as it stays in the chain, also where it has not heard of later views: nothing was
// acknowledged in these without it.
func (m *Member) completeLocked(said *heartbeat) bool {
	i := m.learned.Place(said.Peer.ID)
	if i < 0 {
		return false
	}
	since := m.learned.Chain[i].Since
	return since == 1 || said.Complete && said.View >= since && said.View <= m.learned.Number
}

// repair proposes the next step for the view when it is this member's turn: at once for the first
// healthy member of the chain, later for each further one.
func (m *Member) repair(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasQuorumLocked(now) || m.proposing || now.Before(m.backoffUntil) || m.newest.Number > m.learned.Number {
		return
	}
	health := m.healthLocked(now)
	m.sendSnapshotLocked(now, health)
	step, due := view.Plan(m.learned, m.self.ID, health, m.policy())
	if !due {
		m.wantedStep = ""
		return
	}
	if step.Why != m.wantedStep {
		m.wantedStep, m.wantedSince = step.Why, now
	}
	if now.Sub(m.wantedSince) < step.Wait+time.Duration(m.proposerRankLocked(health))*proposerRankDelay {
		return
	}
	m.proposeLocked(step)
}

// sendSnapshotLocked gives members of the chain that do not hold everything yet the value directly, where
// that does not come along the chain: a member before them may be dead and wait to be dropped for
// them. It is the duty of the first healthy member that holds everything.
func (m *Member) sendSnapshotLocked(now time.Time, health map[string]view.Health) {
	r := m.replicaLocked()
	if !r.Complete() || m.sendingSnapshot || now.Sub(m.learnedAt) < snapshotDelay {
		return
	}
	for _, l := range r.View.Chain[:r.View.Place(m.self.ID)] {
		if h := health[l.ID]; h.Complete && h.Silent < peerTimeout && !h.Sick {
			return
		}
	}
	for _, l := range r.View.Chain {
		if h := health[l.ID]; h.Complete || h.Silent >= peerTimeout || h.Sick || m.peers[l.ID] == nil || m.peers[l.ID].lastHeartbeat.View != r.View.Number {
			continue
		}
		m.sendingSnapshot = true
		m.spawnLocked(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			_, _ = call[pushRequest, pushResponse](ctx, m, l.Addr, "core.push",
				&pushRequest{To: l.ID, Q: chain.Push{View: r.View, Value: r.Record.Value, Direct: true}}) // its ping tells
			m.mu.Lock()
			m.sendingSnapshot = false
			m.mu.Unlock()
		})
		return
	}
}

// proposerRankLocked is how many healthy members have the duty of repair before this one.
func (m *Member) proposerRankLocked(health map[string]view.Health) int {
	n := 0
	before := func(id string) bool {
		h, known := health[id]
		if id != m.self.ID && known && h.Silent < peerTimeout && !h.Sick && !h.Ending {
			n++
		}
		return id == m.self.ID
	}
	for _, l := range m.learned.Chain {
		if before(l.ID) {
			return n
		}
	}
	for _, p := range m.learned.Voters {
		if m.learned.Place(p.ID) < 0 && before(p.ID) {
			return n
		}
	}
	return n
}

// proposeLocked starts a proposal; one is under way at a time.
func (m *Member) proposeLocked(step view.Step) {
	base := m.learned
	instance := base.Number + 1
	m.rounds[instance]++
	b := view.Ballot{Round: m.rounds[instance], By: m.self.ID + "/" + m.incarnation}
	m.proposing = true
	m.spawnLocked(func(ctx context.Context) {
		p := view.Propose(base, b, step.View)
		out := m.runProposal(ctx, p)
		switch out {
		case view.Decided:
			logevent.ViewStep.Log("view", p.View.Number, "why", step.Why)
			m.announceView(p.View, base.Voters)
			fallthrough
		case view.Overtaken:
			m.learnViewOrLog(ctx, &p.View)
		default:
			logevent.ViewOpen.Log("view", instance, "outcome", out, "why", step.Why)
		}
		m.mu.Lock()
		m.proposing = false
		if out != view.Decided && out != view.Overtaken {
			if instance > m.learned.Number {
				m.rounds[instance] = max(m.rounds[instance], p.Seen.Round)
			}
			m.backoffUntil = time.Now().Add(heartbeatInterval/2 + rand.N(3*heartbeatInterval/2))
		}
		m.mu.Unlock()
		m.wakeTicker()
	})
}

// maxIdleHandoverSteps is how many looks in a row that offer nothing to do or to wait for end a handover.
const maxIdleHandoverSteps = 10

// Handover has this member left out of the chain and its vote handed over, where the others are
// enough, before the process ends. While the others are too few it waits for one that is joining or
// may come back. It returns once this member is out and the others have learned it, when there is
// nothing to wait for, or with ctx.
func (m *Member) Handover(ctx context.Context) {
	m.mu.Lock()
	newcomer := m.joiningLocked()
	m.shuttingDown = true
	v := m.learned
	m.mu.Unlock()
	_, voter := v.Voter(m.self.ID)
	if !voter && !newcomer {
		return
	}
	m.announceShutdown(ctx, v)
	if newcomer && !m.awaitAdmission(ctx) {
		return
	}
	for idle := 0; ctx.Err() == nil && idle < maxIdleHandoverSteps; {
		changed, state := m.handoverStep(time.Now())
		switch state {
		case handoverDone:
			m.announceViewUntilLearned(ctx)
			return
		case handoverWaiting:
			idle = 0
		case handoverBlocked:
			idle++
		}
		t := time.NewTimer(heartbeatInterval / 2)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// awaitAdmission tells whether a newcomer that is about to end was admitted by a proposal that was
// under way before the others knew.
func (m *Member) awaitAdmission(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, phaseTimeout)
	defer cancel()
	for {
		m.mu.Lock()
		_, voter := m.learned.Voter(m.self.ID)
		changed := m.changed
		m.mu.Unlock()
		if voter {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// handoverProgress is how far a handover is.
type handoverProgress uint8

const (
	handoverDone    handoverProgress = iota // the others don't need this member
	handoverWaiting                         // a step is under way, or another member may take the place
	handoverBlocked                         // nothing can be done
)

// handoverStep proposes the next step of a handover. What it returns is closed with the next change.
func (m *Member) handoverStep(now time.Time) (<-chan struct{}, handoverProgress) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, voter := m.learned.Voter(m.self.ID); !voter {
		return m.changed, handoverDone
	}
	if m.proposing {
		return m.changed, handoverWaiting
	}
	health := m.healthLocked(now)
	inChain := m.learned.Place(m.self.ID) >= 0
	mayLeave := view.MayLeave(m.learned, m.self.ID, health, m.policy())
	if !inChain && mayLeave {
		return m.changed, handoverDone
	}
	if m.hasQuorumLocked(now) && !now.Before(m.backoffUntil) {
		step, due := view.Plan(m.learned, m.self.ID, health, m.policy())
		if due && (inChain || step.View == nil || step.Removes == m.self.ID) {
			m.proposeLocked(step)
			return m.changed, handoverWaiting
		}
	}
	if inChain && !mayLeave {
		return m.changed, handoverWaiting
	}
	return m.changed, handoverBlocked
}

// announceViewUntilLearned has the voters of the newest view learn it. Until they have, the decision may be known
// to this process alone, and its vote would be needed to find it out. Voters that don't answer are
// asked again, and given up once a majority has learned.
func (m *Member) announceViewUntilLearned(ctx context.Context) {
	m.mu.Lock()
	v := m.learned.Clone()
	m.mu.Unlock()
	missing := m.announceViewOnce(ctx, v, v.Voters)
	for len(missing) > 0 && ctx.Err() == nil {
		missing = m.announceViewOnce(ctx, v, missing)
		if len(v.Voters)-len(missing) >= v.Majority() {
			return
		}
		t := time.NewTimer(heartbeatInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// announceViewOnce tells a view to voters and returns those that did not take it.
func (m *Member) announceViewOnce(ctx context.Context, v view.View, voters []view.Peer) (missing []view.Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	learned := make([]bool, len(voters))
	var told sync.WaitGroup
	for i, to := range voters {
		if learned[i] = to.ID == m.self.ID; learned[i] {
			continue
		}
		told.Add(1)
		go func() {
			defer told.Done()
			_, err := call[view.View, empty](ctx, m, to.Addr, "core.learn", &v)
			learned[i] = err == nil // one that did not is asked again
		}()
	}
	told.Wait()
	for i, to := range voters {
		if !learned[i] {
			missing = append(missing, to)
		}
	}
	return missing
}

// announceShutdown has the others know that this member is ending before it is left out, so that none
// adds it again.
func (m *Member) announceShutdown(ctx context.Context, v view.View) {
	ctx, cancel := context.WithTimeout(ctx, 3*heartbeatInterval/2)
	defer cancel()
	var told sync.WaitGroup
	for _, to := range v.Voters {
		if to.ID != m.self.ID {
			told.Add(1)
			go func() { defer told.Done(); _, _ = m.sendHeartbeat(ctx, to) }() // one that misses it adds and drops it again
		}
	}
	told.Wait()
}
