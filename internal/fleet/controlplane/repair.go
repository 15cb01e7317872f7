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
	dutyTurn  = 400 * time.Millisecond // later for each healthy member before this one
	fillAfter = 150 * time.Millisecond // of a view, until joiners are given the value directly
	phaseWait = 500 * time.Millisecond // bounds each phase of a proposal
)

// decide plays a proposal with its voters. A vote that does not come within phaseWait is given up.
func (m *Member) decide(ctx context.Context, p *view.Proposal) view.Outcome {
	first := p.Prepare()
	out := poll(m, ctx, p, func(ctx context.Context, to view.Peer) (*view.Answer, error) {
		q := &prepareCall{To: to.ID, Q: first}
		if m.isMe(to) {
			return m.onPrepare(ctx, q)
		}
		return call[prepareCall, view.Answer](ctx, m, to.Addr, "core.prepare", q)
	}, p.Promised)
	if out != view.Accepting {
		return out
	}
	second := p.Accept()
	return poll(m, ctx, p, func(ctx context.Context, to view.Peer) (*view.Answer, error) {
		q := &acceptCall{To: to.ID, Q: second}
		if m.isMe(to) {
			return m.onAccept(ctx, q)
		}
		return call[acceptCall, view.Answer](ctx, m, to.Addr, "core.accept", q)
	}, p.Accepted)
}

// isMe tells whether a voter is this process, by its disk or, for the first view, by its address.
func (m *Member) isMe(p view.Peer) bool { return p.ID == m.me.ID || p.ID == m.me.Addr }

// poll asks all voters at once and takes answers until the phase is over.
func poll(m *Member, ctx context.Context, p *view.Proposal, ask func(context.Context, view.Peer) (*view.Answer, error), take func(string, view.Answer) view.Outcome) view.Outcome {
	ctx, cancel := context.WithTimeout(ctx, phaseWait)
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

// teach tells the voters of a view, and of one before, that it is decided.
func (m *Member) teach(v view.View, before []view.Peer) {
	told := map[string]bool{m.me.ID: true}
	for _, p := range append(append([]view.Peer(nil), v.Voters...), before...) {
		if told[p.ID] {
			continue
		}
		told[p.ID] = true
		m.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, callWait)
			defer cancel()
			_, _ = call[view.View, none](ctx, m, p.Addr, "core.learn", &v) // pings tell it too
		})
	}
}

// tolerance is the losses that the core has to bear.
func (m *Member) tolerance() view.Tolerance {
	return view.Tolerance{Machines: m.o.Losses, Zones: m.o.ZoneLosses, Regions: m.o.RegionLosses}
}

func (m *Member) policy() view.Policy {
	return view.Policy{Tolerance: m.tolerance(), Silent: silent, Settle: settle, Away: away}
}

// reportShortfallLocked logs once what the voters of the view can't bear of the losses asked for.
func (m *Member) reportShortfallLocked() {
	short := m.view.Shortfall(m.tolerance())
	if _, voter := m.view.Voter(m.me.ID); !voter || short == m.shortfall {
		return
	}
	m.shortfall = short
	if !short.None() {
		logevent.ToleranceShort.Log("view", m.view.Number, "voters", len(m.view.Voters), "losses", short.String())
	}
}

// healthLocked is what Plan needs to know.
func (m *Member) healthLocked(now time.Time) map[string]view.Health {
	out := map[string]view.Health{}
	for id, p := range m.peers {
		h := view.Health{Peer: p.said.Peer, Silent: p.silent(now, m.awake), Sick: p.said.Sick, Ending: p.said.Ending, Hears: p.said.Hears, Up: time.Duration(p.said.UpMs) * time.Millisecond,
			Pending: p.said.Stuck && p.said.Accepted == m.view.Number+1}
		if p.closed(now) {
			h.Silent = max(h.Silent, silent)
		}
		if h.Silent < silent && !p.contact.IsZero() && !p.well.Before(m.awake) {
			h.Well = max(1, now.Sub(p.well))
		}
		h.Complete = m.completeLocked(&p.said)
		out[id] = h
	}
	r := m.replicaLocked()
	out[m.me.ID] = view.Health{Peer: m.me, Well: max(1, now.Sub(m.awake)), Sick: m.sickLocked(now), Ending: m.ending, Hears: m.hearsLocked(now), Up: now.Sub(m.awake),
		Complete: r.Complete(), Pending: m.pendingLocked() != 0 && now.Sub(m.votedAt) > settle}
	return out
}

// completeLocked tells whether a peer holds everything, by its last word. A member that did holds it
// for as long as it stays in the chain, also where it has not heard of later views: nothing was
// acknowledged in these without it.
func (m *Member) completeLocked(said *ping) bool {
	i := m.view.Place(said.Peer.ID)
	if i < 0 {
		return false
	}
	since := m.view.Chain[i].Since
	return since == 1 || said.Complete && said.View >= since && said.View <= m.view.Number
}

// repair proposes the next step for the view when it is this member's turn: at once for the first
// healthy member of the chain, later for each further one.
func (m *Member) repair(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.majorityLocked(now) || m.proposing || now.Before(m.notBefore) || m.seen.Number > m.view.Number {
		return
	}
	health := m.healthLocked(now)
	m.fillLocked(now, health)
	step, due := view.Plan(m.view, m.me.ID, health, m.policy())
	if !due {
		m.wantWhy = ""
		return
	}
	if step.Why != m.wantWhy {
		m.wantWhy, m.wantSince = step.Why, now
	}
	if now.Sub(m.wantSince) < step.Wait+time.Duration(m.turnLocked(health))*dutyTurn {
		return
	}
	m.proposeLocked(step)
}

// fillLocked gives members of the chain that do not hold everything yet the value directly, where
// that does not come along the chain: a member before them may be dead and wait to be dropped for
// them. It is the duty of the first healthy member that holds everything.
func (m *Member) fillLocked(now time.Time, health map[string]view.Health) {
	r := m.replicaLocked()
	if !r.Complete() || m.filling || now.Sub(m.viewAt) < fillAfter {
		return
	}
	for _, l := range r.View.Chain[:r.View.Place(m.me.ID)] {
		if h := health[l.ID]; h.Complete && h.Silent < silent && !h.Sick {
			return
		}
	}
	for _, l := range r.View.Chain {
		if h := health[l.ID]; h.Complete || h.Silent >= silent || h.Sick || m.peers[l.ID] == nil || m.peers[l.ID].said.View != r.View.Number {
			continue
		}
		m.filling = true
		m.spawnLocked(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, pushWait)
			defer cancel()
			_, _ = call[pushCall, pushAnswer](ctx, m, l.Addr, "core.push",
				&pushCall{To: l.ID, Q: chain.Push{View: r.View, Value: r.Record.Value, Direct: true}}) // its ping tells
			m.mu.Lock()
			m.filling = false
			m.mu.Unlock()
		})
		return
	}
}

// turnLocked is how many healthy members have the duty of repair before this one.
func (m *Member) turnLocked(health map[string]view.Health) int {
	n := 0
	before := func(id string) bool {
		h, known := health[id]
		if id != m.me.ID && known && h.Silent < silent && !h.Sick && !h.Ending {
			n++
		}
		return id == m.me.ID
	}
	for _, l := range m.view.Chain {
		if before(l.ID) {
			return n
		}
	}
	for _, p := range m.view.Voters {
		if m.view.Place(p.ID) < 0 && before(p.ID) {
			return n
		}
	}
	return n
}

// proposeLocked starts a proposal; one is under way at a time.
func (m *Member) proposeLocked(step view.Step) {
	base := m.view
	instance := base.Number + 1
	m.rounds[instance]++
	b := view.Ballot{Round: m.rounds[instance], By: m.me.ID + "/" + m.life}
	m.proposing = true
	m.spawnLocked(func(ctx context.Context) {
		p := view.Propose(base, b, step.View)
		out := m.decide(ctx, p)
		switch out {
		case view.Decided:
			logevent.ViewStep.Log("view", p.View.Number, "why", step.Why)
			m.teach(p.View, base.Voters)
			fallthrough
		case view.Overtaken:
			m.keepView(ctx, &p.View)
		default:
			logevent.ViewOpen.Log("view", instance, "outcome", out, "why", step.Why)
		}
		m.mu.Lock()
		m.proposing = false
		if out != view.Decided && out != view.Overtaken {
			if instance > m.view.Number {
				m.rounds[instance] = max(m.rounds[instance], p.Seen.Round)
			}
			m.notBefore = time.Now().Add(tick/2 + rand.N(3*tick/2))
		}
		m.mu.Unlock()
		m.poke()
	})
}

// handoverTries is how many looks in a row that offer nothing to do or to wait for end a handover.
const handoverTries = 10

// Handover has this member left out of the chain and its vote handed over, where the others are
// enough, before the process ends. While the others are too few it waits for one that is joining or
// may come back. It returns once this member is out and the others have learned it, when there is
// nothing to wait for, or with ctx.
func (m *Member) Handover(ctx context.Context) {
	m.mu.Lock()
	newcomer := m.newcomerLocked()
	m.ending = true
	v := m.view
	m.mu.Unlock()
	_, voter := v.Voter(m.me.ID)
	if !voter && !newcomer {
		return
	}
	m.tellEnding(ctx, v)
	if newcomer && !m.becomesVoter(ctx) {
		return
	}
	for idle := 0; ctx.Err() == nil && idle < handoverTries; {
		changed, state := m.handOver(time.Now())
		switch state {
		case handedOver:
			m.teachAndWait(ctx)
			return
		case handoverWaits:
			idle = 0
		case handoverStuck:
			idle++
		}
		t := time.NewTimer(tick / 2)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// becomesVoter tells whether a newcomer that is about to end was admitted by a proposal that was
// under way before the others knew.
func (m *Member) becomesVoter(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, phaseWait)
	defer cancel()
	for {
		m.mu.Lock()
		_, voter := m.view.Voter(m.me.ID)
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

// handoverState is how far a handover is.
type handoverState uint8

const (
	handedOver    handoverState = iota // the others don't need this member
	handoverWaits                      // a step is under way, or another member may take the place
	handoverStuck                      // nothing can be done
)

// handOver proposes the next step of a handover. What it returns is closed with the next change.
func (m *Member) handOver(now time.Time) (<-chan struct{}, handoverState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, voter := m.view.Voter(m.me.ID); !voter {
		return m.changed, handedOver
	}
	if m.proposing {
		return m.changed, handoverWaits
	}
	health := m.healthLocked(now)
	inChain := m.view.Place(m.me.ID) >= 0
	mayLeave := view.MayLeave(m.view, m.me.ID, health, m.policy())
	if !inChain && mayLeave {
		return m.changed, handedOver
	}
	if m.majorityLocked(now) && !now.Before(m.notBefore) {
		step, due := view.Plan(m.view, m.me.ID, health, m.policy())
		if due && (inChain || step.View == nil || step.Removes == m.me.ID) {
			m.proposeLocked(step)
			return m.changed, handoverWaits
		}
	}
	if inChain && !mayLeave {
		return m.changed, handoverWaits
	}
	return m.changed, handoverStuck
}

// teachAndWait has the voters of the newest view learn it. Until they have, the decision may be known
// to this process alone, and its vote would be needed to find it out. Voters that don't answer are
// asked again, and given up once a majority has learned.
func (m *Member) teachAndWait(ctx context.Context) {
	m.mu.Lock()
	v := m.view.Clone()
	m.mu.Unlock()
	missing := m.teachOnce(ctx, v, v.Voters)
	for len(missing) > 0 && ctx.Err() == nil {
		missing = m.teachOnce(ctx, v, missing)
		if len(v.Voters)-len(missing) >= v.Majority() {
			return
		}
		t := time.NewTimer(tick)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// teachOnce tells a view to voters and returns those that did not take it.
func (m *Member) teachOnce(ctx context.Context, v view.View, voters []view.Peer) (missing []view.Peer) {
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	learned := make([]bool, len(voters))
	var told sync.WaitGroup
	for i, to := range voters {
		if learned[i] = to.ID == m.me.ID; learned[i] {
			continue
		}
		told.Add(1)
		go func() {
			defer told.Done()
			_, err := call[view.View, none](ctx, m, to.Addr, "core.learn", &v)
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

// tellEnding has the others know that this member is ending before it is left out, so that none
// adds it again.
func (m *Member) tellEnding(ctx context.Context, v view.View) {
	ctx, cancel := context.WithTimeout(ctx, 3*tick/2)
	defer cancel()
	var told sync.WaitGroup
	for _, to := range v.Voters {
		if to.ID != m.me.ID {
			told.Add(1)
			go func() { defer told.Done(); _, _ = m.ping(ctx, to) }() // one that misses it adds and drops it again
		}
	}
	told.Wait()
}
