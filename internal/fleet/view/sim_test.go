package view

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The figures of the core's own clockwork (package core), and of the settings.
const (
	simTick      = 100 * time.Millisecond
	simLinked    = 400 * time.Millisecond
	simPhase     = 500 * time.Millisecond
	simTurn      = 400 * time.Millisecond
	simSettle    = 4 * time.Second         // bounds.settle-s: a loss counts until so long after its end
	simAck       = 4 * time.Second         // bounds.ack-ms
	simGrace     = 7300 * time.Millisecond // from SIGTERM to the end of a handover
	simIdle      = 10                      // looks without anything to do that end a handover
	simEvents    = 4
	simSeeds     = 2000
	simSeedsRace = 60
)

// simDefect is a fault of the plan that the simulation has to find.
type simDefect int

const (
	sound simDefect = iota
	floorIgnored
	incompleteCounted
	presentVoterSwapped
	admitWhileAway
	leavingVoteKept
	lastWordVoid // what a member said in an older view counts for nothing
)

// simMachine is one machine of a simulated core with its disk and its process.
type simMachine struct {
	peer Peer
	gone bool // for good
	cut  bool // its process runs, no message passes

	// On disk.
	view    View
	vote    AcceptorState
	heldIn  uint64 // the view in which its copy was given to it
	heldSeq int    // the newest order in its copy

	// Of its process.
	up         bool
	ending     bool
	endBy      time.Duration
	leaveAfter time.Duration // a newcomer that may be being admitted stays until then
	idle       int
	healed     time.Duration // when it was no longer cut off
	awake      time.Duration
	votedAt    time.Duration
	joinedAt   time.Duration // when it learned its view
	peers      map[string]*simPeer
	hears      []string
	life       int
	round      uint32
	proposal   *simProposal
	wantWhy    string
	wantSince  time.Duration
	notBefore  time.Duration
	activated  uint64
}

// simPeer is what a machine knows of another.
type simPeer struct {
	made    time.Duration
	contact time.Duration // -1: never
	well    time.Duration
	said    Health
	view    uint64
}

// simProposal is a proposal between two of its phases.
type simProposal struct {
	*Proposal
	step      Step
	accepting bool
}

// sim is a core in simulated time. Its machines plan, vote and propose by the code of this package.
type sim struct {
	rng       *rand.Rand
	defect    simDefect
	tolerance Tolerance
	short     Shortfall // what the first voters don't bear
	fillTime  time.Duration
	now       time.Duration
	machines  []*simMachine
	decided   map[uint64]View
	newest    View
	acked     int
	steps     map[string]int           // decided steps by their first word
	stopped   map[string]time.Duration // when each disk's machine stopped last
	names     int
	log       []string
	failure   string
	slowest   time.Duration // from the end of the last trouble until all tolerated losses were borne
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

func (s *sim) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%6d ms ", s.now.Milliseconds())+fmt.Sprintf(format, args...))
}

// add makes a machine that is not started yet.
func (s *sim) add(zone, region string) *simMachine {
	s.names++
	name := fmt.Sprintf("m%02d", s.names)
	m := &simMachine{peer: Peer{ID: name, Addr: name + ":1", Zone: zone, Region: region, Disk: true, Counted: true}}
	s.machines = append(s.machines, m)
	return m
}

func (s *sim) start(m *simMachine, wiped bool) {
	if wiped {
		s.names++
		m.peer.ID = fmt.Sprintf("m%02d", s.names)
		m.view, m.vote, m.heldIn, m.heldSeq = View{}, AcceptorState{}, 0, 0
	}
	s.note("start %s in %s/%s, wiped %v", m.peer.ID, m.peer.Region, m.peer.Zone, wiped)
	m.up, m.ending, m.cut, m.awake = true, false, false, s.now
	m.peers, m.proposal, m.wantWhy, m.activated, m.notBefore, m.round = map[string]*simPeer{}, nil, "", 0, 0, 0
	m.votedAt, m.joinedAt = s.now, s.now
	m.life++
}

func (s *sim) stop(m *simMachine) {
	s.note("stop %s", m.peer.ID)
	m.up, m.proposal = false, nil
	s.stopped[m.peer.ID] = s.now
}

func (s *sim) terminate(m *simMachine) {
	s.note("terminate %s", m.peer.ID)
	m.ending, m.idle, m.endBy, m.leaveAfter = true, 0, s.now+simGrace, s.now
	if !m.isVoter() {
		m.leaveAfter += simPhase
	}
	for _, other := range s.machines {
		s.exchange(m, other)
	}
}

func (s *sim) reaches(a, b *simMachine) bool { return a == b || a.up && b.up && !a.cut && !b.cut }

func (s *sim) policy() Policy {
	p := policy
	p.Tolerance = s.tolerance
	return p
}

func (m *simMachine) complete(v View) bool {
	i := v.Position(m.peer.ID)
	return i >= 0 && (v.Chain[i].JoinedIn == 1 || m.heldIn >= v.Chain[i].JoinedIn)
}

func (m *simMachine) pending() bool {
	return m.vote.Accepted != nil && m.vote.Instance == m.view.Number+1
}

func (m *simMachine) isVoter() bool {
	_, voter := m.view.Voter(m.peer.ID)
	return voter
}

// learn takes a decided view.
func (s *sim) learn(m *simMachine, v View) {
	if v.Number <= m.view.Number {
		return
	}
	if first, known := s.decided[v.Number]; known && !first.Equal(v) {
		s.fail("two views %d", v.Number)
	}
	s.decided[v.Number] = v
	if v.Number > s.newest.Number {
		s.newest = v
	}
	m.view, m.joinedAt, m.wantWhy = v, s.now, ""
	for _, p := range v.Voters {
		s.known(m, p)
	}
}

func (s *sim) known(m *simMachine, p Peer) *simPeer {
	if m.peers[p.ID] == nil && p.ID != m.peer.ID {
		m.peers[p.ID] = &simPeer{made: s.now, contact: -1, said: Health{Peer: p}}
	}
	return m.peers[p.ID]
}

// exchange is a ping and its answer.
func (s *sim) exchange(a, b *simMachine) {
	if a == b || !s.reaches(a, b) || !a.up || !b.up {
		return
	}
	if a.view.Number < b.view.Number {
		s.learn(a, b.view)
	} else {
		s.learn(b, a.view)
	}
	s.hear(a, b)
	s.hear(b, a)
}

func (s *sim) hear(a, b *simMachine) {
	p := s.known(a, b.peer)
	if p.contact < 0 || s.now-p.contact > policy.FailAfter {
		p.well = s.now
	}
	p.contact, p.view = s.now, b.view.Number
	p.said = Health{Peer: b.peer, Leaving: b.ending, Complete: b.complete(b.view), ConnectedTo: b.hears, Uptime: s.now - b.awake,
		Undecided: b.pending() && s.now-b.votedAt > policy.StableAfter}
}

func (m *simMachine) inTouch(id string, now time.Duration) bool {
	p := m.peers[id]
	return p != nil && p.contact >= 0 && now-p.contact < simLinked
}

func (s *sim) health(m *simMachine) map[string]Health {
	out := make(map[string]Health, len(m.peers)+1)
	for id, p := range m.peers {
		h := p.said
		h.SinceContact = s.now - max(p.contact, p.made, m.awake)
		if h.SinceContact < policy.FailAfter && p.contact >= 0 {
			h.StableFor = max(1, s.now-p.well)
		}
		h.Complete = false
		if i := m.view.Position(id); i >= 0 {
			since := m.view.Chain[i].JoinedIn
			h.Complete = since == 1 || p.said.Complete && p.view >= since && p.view <= m.view.Number
			if s.defect == lastWordVoid {
				h.Complete = since == 1 || p.said.Complete && p.view == m.view.Number
			}
		}
		h.Undecided = h.Undecided && p.view == m.view.Number
		out[id] = h
	}
	out[m.peer.ID] = Health{Peer: m.peer, StableFor: max(1, s.now-m.awake), Leaving: m.ending, ConnectedTo: m.hears, Uptime: s.now - m.awake,
		Complete: m.complete(m.view), Undecided: m.pending() && s.now-m.votedAt > policy.StableAfter}
	if s.defect == incompleteCounted {
		for _, l := range m.view.Chain {
			if h, known := out[l.ID]; known {
				h.Complete = true
				out[l.ID] = h
			}
		}
	}
	return out
}

func (s *sim) hasMajority(m *simMachine) bool {
	if !m.isVoter() {
		return false
	}
	n := 0
	for _, v := range m.view.Voters {
		if v.ID == m.peer.ID || m.inTouch(v.ID, s.now) {
			n++
		}
	}
	return n >= m.view.Quorum()
}

// turn is how many healthy members have the duty of repair before a machine.
func (m *simMachine) turn(health map[string]Health) (n int) {
	order := make([]string, 0, len(m.view.Voters))
	for _, l := range m.view.Chain {
		order = append(order, l.ID)
	}
	for _, p := range m.view.Voters {
		if m.view.Position(p.ID) < 0 {
			order = append(order, p.ID)
		}
	}
	for _, id := range order {
		if id == m.peer.ID {
			return n
		}
		if h, known := health[id]; known && h.SinceContact < policy.FailAfter && !h.Leaving {
			n++
		}
	}
	return n
}

// plan is Plan, with the defect.
func (s *sim) plan(m *simMachine, health map[string]Health) (Step, bool) {
	if next, found := s.wrongStep(m, health); found {
		return Step{View: &next, Reason: "by the defect"}, true
	}
	step, due := Plan(m.view, m.peer.ID, health, s.policy())
	if due && s.defect == leavingVoteKept && step.RemovedVoter != "" && health[step.RemovedVoter].Leaving {
		return Step{}, false
	}
	return step, due
}

// wrongStep is a step that Plan must not want.
func (s *sim) wrongStep(m *simMachine, health map[string]Health) (View, bool) {
	switch s.defect {
	case floorIgnored:
		return s.dropBelowFloor(m, health)
	case presentVoterSwapped, admitWhileAway:
		return s.wrongVoters(m, health)
	}
	return View{}, false
}

// dropBelowFloor drops a member in trouble whatever is left, as long as the head is complete.
func (s *sim) dropBelowFloor(m *simMachine, health map[string]Health) (View, bool) {
	for _, l := range m.view.Chain {
		if h := health[l.ID]; h.SinceContact >= policy.FailAfter || h.Leaving {
			next := m.view.RemoveMember(l.ID)
			return next, len(next.Chain) > 0 && health[next.Chain[0].ID].Complete
		}
	}
	return View{}, false
}

// wrongVoters swaps a voter that is there, or admits a newcomer while one is away.
func (s *sim) wrongVoters(m *simMachine, health map[string]Health) (View, bool) {
	var came []Peer
	for id, h := range health {
		if _, voter := m.view.Voter(id); !voter && !h.Leaving && h.SinceContact < policy.FailAfter && h.StableFor >= policy.StableAfter {
			came = append(came, h.Peer)
		}
	}
	if len(came) == 0 || len(m.view.Voters) >= MaxVoters {
		return View{}, false
	}
	slices.SortFunc(came, comparePeers)
	for _, q := range m.view.Voters {
		away := health[q.ID].SinceContact >= policy.FailAfter
		switch {
		case s.defect == presentVoterSwapped && !away && q.ID != m.peer.ID && m.view.Position(q.ID) < 0:
			return m.view.ReplaceVoter(q.ID, came[0]), true
		case s.defect == admitWhileAway && away:
			return m.view.AddVoter(came[0]), true
		}
	}
	return View{}, false
}

// repair is the machine's part in repair, or in its handover.
func (s *sim) repair(m *simMachine) (busy bool) {
	switch {
	case m.proposal != nil:
		s.advance(m)
		return true
	case m.ending:
		s.handOver(m)
		return true
	case !s.hasMajority(m) || s.now < m.notBefore:
		return m.isVoter()
	}
	health := s.health(m)
	turn := m.turn(health)
	if turn > 0 && s.now%simTurn != 0 {
		return false // it has to wait in any case
	}
	step, due := s.plan(m, health)
	if !due {
		m.wantWhy = ""
		return false
	}
	if step.Reason != m.wantWhy {
		m.wantWhy, m.wantSince = step.Reason, s.now
	}
	if s.now-m.wantSince >= step.Delay+time.Duration(turn)*simTurn {
		s.propose(m, step)
	}
	return true
}

// handOver is one look of core.Handover.
func (s *sim) handOver(m *simMachine) {
	if s.now >= m.endBy || !m.isVoter() {
		if s.now >= m.leaveAfter {
			s.endProcess(m)
		}
		return
	}
	health := s.health(m)
	inChain := m.view.Position(m.peer.ID) >= 0
	mayLeave := MayLeave(m.view, m.peer.ID, health, s.policy())
	if !inChain && (mayLeave || s.defect == leavingVoteKept) {
		s.endProcess(m)
		return
	}
	if s.hasMajority(m) && s.now >= m.notBefore {
		step, due := s.plan(m, health)
		if due && (inChain || step.View == nil || step.RemovedVoter == m.peer.ID) {
			s.propose(m, step)
			m.idle = 0
			return
		}
	}
	if inChain && !mayLeave {
		m.idle = 0
		return
	}
	if m.idle++; m.idle >= simIdle {
		s.endProcess(m)
	}
}

// endProcess has the voters in reach learn the newest view, and ends the process.
func (s *sim) endProcess(m *simMachine) {
	for _, other := range s.machines {
		if s.reaches(m, other) {
			s.learn(other, m.view)
		}
	}
	s.stop(m)
}

func (s *sim) propose(m *simMachine, step Step) {
	if step.View != nil {
		s.checkStep(m, step)
	}
	m.round++
	ballot := ProposalNumber{Round: m.round, Proposer: m.peer.ID + "/" + strconv.Itoa(m.life)}
	m.proposal = &simProposal{Proposal: NewProposal(m.view, ballot, step.View), step: step}
}

// checkStep asserts what has to hold at each step that is wanted: a member leaves the chain only
// where the true copies that stay cover the floor, and no voter that is there loses its vote unless
// it is about to end.
func (s *sim) checkStep(m *simMachine, step Step) {
	if m.view.Number != s.newest.Number {
		return // it can't be decided any more
	}
	next := *step.View
	if err := next.Validate(); err != nil {
		s.fail("%v", err)
	}
	for _, p := range m.view.Voters {
		o := s.byID(p.ID)
		_, stays := next.Voter(p.ID)
		if there := o != nil && o.up && !o.cut && s.now-max(o.awake, o.healed) > policy.FailAfter; there && !o.ending && !stays {
			s.fail("%s takes the vote of %s, which is there", step.Reason, p.ID)
		}
	}
	if len(next.Chain) >= len(m.view.Chain) {
		return
	}
	var holders []Peer
	for _, l := range next.Chain {
		if s.holds(l, m.view) {
			holders = append(holders, l.Peer)
		}
	}
	voters := slices.DeleteFunc(slices.Clone(m.view.Voters), func(p Peer) bool {
		o := s.byID(p.ID)
		return next.Position(p.ID) < 0 && m.view.Position(p.ID) >= 0 && o != nil && o.ending
	})
	if floor := (View{Voters: voters}).RequiredSpread(s.tolerance); !SpreadOf(holders).Covers(floor) {
		s.fail("%s: %s leaves copies on %v, the floor is %+v", m.peer.ID, step.Reason, holders, floor)
	}
}

// holds tells whether a member holds all that was acknowledged, as far as others can know: a machine
// that stopped is silent to them only after a time.
func (s *sim) holds(l Member, v View) bool {
	m := s.byID(l.ID)
	if stopped, ever := s.stopped[l.ID]; ever && (m == nil || !m.up) {
		return s.now-stopped <= policy.FailAfter+simTick
	}
	return m != nil && m.up && m.complete(v) && m.heldSeq >= s.acked
}

func (s *sim) byID(id string) *simMachine {
	for _, m := range s.machines {
		if m.peer.ID == id {
			return m
		}
	}
	return nil
}

// advance plays the next phase of a proposal.
func (s *sim) advance(m *simMachine) {
	p := m.proposal
	for _, voter := range p.Base.Voters {
		if to := s.byID(voter.ID); to != nil && s.reaches(m, to) && s.rng.IntN(50) > 0 {
			if a := s.ask(to, p); s.rng.IntN(50) > 0 { // an answer may be lost
				if p.accepting {
					p.HandleAcceptance(voter.ID, a)
				} else {
					p.HandlePromise(voter.ID, a)
				}
			}
		}
	}
	switch out := p.State(); {
	case out == Accepting && !p.accepting:
		p.accepting = true
		return
	case out == Decided:
		kind, _, _ := strings.Cut(p.step.Reason, " ")
		s.steps[kind]++
		s.note("%s decides view %d: %s", m.peer.ID, p.View.Number, p.step.Reason)
		s.learn(m, p.View)
		for _, other := range s.machines {
			if s.reaches(m, other) && s.rng.IntN(10) > 0 {
				s.learn(other, p.View)
			}
		}
	case out == Superseded:
		s.learn(m, p.View)
	default:
		m.round = max(m.round, p.HighestSeen.Round)
		m.notBefore = s.now + simTick/2 + time.Duration(s.rng.Int64N(int64(3*simTick/2)))
	}
	m.proposal = nil
}

// ask is a voter's answer to the phase that a proposal is in.
func (s *sim) ask(to *simMachine, p *simProposal) Response {
	s.learn(to, p.Base)
	if p.Base.Number < to.view.Number {
		newer := to.view
		return Response{Newer: &newer}
	}
	if !to.isVoter() {
		return Response{RejectReason: "no voter"}
	}
	var a Response
	if p.accepting {
		if !to.pending() {
			to.votedAt = s.now
		}
		to.vote, a = to.vote.Accept(p.Base.Number+1, p.Number, p.View)
	} else {
		to.vote, a = to.vote.Prepare(p.Base.Number+1, p.Number)
	}
	return a
}

// push has the heads settle their views and take an order.
func (s *sim) push() {
	for _, m := range s.machines {
		if !m.up || m.view.Position(m.peer.ID) != 0 {
			continue
		}
		if m.activated == m.view.Number {
			m.heldSeq, m.heldIn = m.heldSeq+1, m.view.Number
		}
		if s.passOn(m) {
			m.activated = m.view.Number
			if s.acked > m.heldSeq {
				s.fail("%s commits order %d after %d", m.peer.ID, m.heldSeq, s.acked)
			}
			s.acked = m.heldSeq
		}
	}
}

// passOn sends a head's copy along the chain; it counts once all hold it.
func (s *sim) passOn(head *simMachine) bool {
	v, before := head.view, head
	for _, l := range v.Chain[1:] {
		to := s.byID(l.ID)
		if to == nil || !s.reaches(before, to) || s.rng.IntN(50) == 0 {
			return false
		}
		s.learn(to, v)
		if to.view.Number != v.Number || !to.complete(v) && s.now-to.joinedAt < s.fillTime {
			return false
		}
		to.heldIn, to.heldSeq = v.Number, max(to.heldSeq, head.heldSeq)
		if !(s.now >= to.joinedAt) {
			return false
		}
		before = to
	}
	return true
}

// fill is the duty of the first healthy complete member: joiners are given its copy directly.
func (s *sim) fill() {
	v := s.newest
	for _, l := range v.Chain {
		from := s.byID(l.ID)
		if from == nil || !from.up || from.cut || from.view.Number != v.Number || !from.complete(v) {
			continue
		}
		for _, j := range v.Chain {
			to := s.byID(j.ID)
			if to != nil && s.reaches(from, to) && to.view.Number == v.Number && !to.complete(v) && s.now-to.joinedAt >= s.fillTime+150*time.Millisecond {
				to.heldIn, to.heldSeq = v.Number, from.heldSeq
			}
		}
		return
	}
}

// tick is one turn of the clock; it tells whether anybody has something to do.
func (s *sim) tick() (busy bool) {
	s.now += simTick
	for _, m := range s.machines {
		m.hears = m.hears[:0:0]
		for _, v := range m.view.Voters {
			if m.up && m.inTouch(v.ID, s.now) {
				m.hears = append(m.hears, v.ID)
			}
		}
	}
	for i, a := range s.machines {
		for _, b := range s.machines[i+1:] {
			if s.rng.IntN(50) > 0 {
				s.exchange(a, b)
			}
		}
	}
	s.push()
	s.fill()
	for _, m := range s.machines {
		if m.up {
			busy = s.repair(m) || busy
		}
	}
	return busy
}

// run lets time pass.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end && s.failure == ""; {
		s.tick()
	}
}

// runBearing lets time pass after a tolerated loss, and asserts that an order is taken again before
// simAck has gone by.
func (s *sim) runBearing(d time.Duration) {
	s.run(min(d, simTick))
	acked := s.acked
	if s.run(d - simTick); d >= simAck && s.acked == acked {
		s.fail("no order is taken while a tolerated loss lasts, view %d", s.newest.Number)
	}
}

// present lists the machines that run, can be reached and stay.
func (s *sim) present() (out []*simMachine) {
	for _, m := range s.machines {
		if m.up && !m.cut && !m.ending {
			out = append(out, m)
		}
	}
	return out
}

// losses lists all sets of machines that may be lost at once: as many as the first voters bear, zones
// where they bear all losses of machines, and regions where they bear those of zones as well.
func (s *sim) losses() (sets []func(Peer) bool) {
	sets = append(sets, func(Peer) bool { return false })
	var machines, zones, regions []string
	for _, m := range s.machines {
		if !m.gone {
			machines, zones, regions = append(machines, m.peer.ID), append(zones, m.peer.Region+"/"+m.peer.Zone), append(regions, m.peer.Region)
		}
	}
	add := func(names []string, n int, of func(Peer) string) {
		slices.Sort(names)
		for _, set := range subsets(slices.Compact(names), n) {
			sets = append(sets, func(p Peer) bool { return slices.Contains(set, of(p)) })
		}
	}
	add(machines, s.tolerance.Machines-s.short.Machines, func(p Peer) string { return p.ID })
	if s.short.Machines == 0 && s.short.Zones == 0 {
		add(zones, s.tolerance.Zones, func(p Peer) string { return p.Region + "/" + p.Zone })
	}
	if s.short.None() {
		add(regions, s.tolerance.Regions, func(p Peer) string { return p.Region })
	}
	return sets
}

// subsets are those with n names, or all names.
func subsets(names []string, n int) (out [][]string) {
	if n == 0 {
		return [][]string{nil}
	}
	if n >= len(names) {
		return [][]string{names}
	}
	for _, rest := range subsets(names[1:], n-1) {
		out = append(out, append([]string{names[0]}, rest...))
	}
	return append(out, subsets(names[1:], n)...)
}

// bears tells whether each tolerated loss from now leaves a majority and a complete copy.
func (s *sim) bears() (why string) {
	v := s.newest
	voters, copies := []Peer{}, []Peer{}
	for _, m := range s.present() {
		if p, voter := v.Voter(m.peer.ID); voter {
			voters = append(voters, p)
			if m.complete(v) && m.heldSeq >= s.acked {
				copies = append(copies, p)
			}
		}
	}
	for _, lost := range s.losses() {
		left := slices.DeleteFunc(slices.Clone(voters), lost)
		if len(left) < v.Quorum() {
			return fmt.Sprintf("view %d of %s: only %s would be left of the voters", v.Number, ids(v.Voters), ids(left))
		}
		if len(slices.DeleteFunc(slices.Clone(copies), lost)) == 0 {
			return fmt.Sprintf("view %d: no copy would be left of %s", v.Number, ids(copies))
		}
	}
	return ""
}

// settled waits for as long as a loss still counts, and asserts that the next one is borne then.
func (s *sim) settled() {
	begun, since, acked := s.now, time.Duration(-1), 0
	for s.now < begun+simSettle && s.failure == "" {
		if s.now == begun+simSettle-time.Second {
			acked = s.acked
		}
		if number := s.newest.Number; !s.tick() && since >= 0 && number == s.newest.Number {
			continue // nothing has changed
		}
		if why := s.bears(); why != "" {
			since = -1
		} else if since < 0 {
			since = s.now - begun
		}
	}
	if why := s.bears(); why != "" {
		s.fail("not settled: %s", why)
	}
	if s.acked == acked {
		s.fail("no order was taken in the last second, view %d", s.newest.Number)
	}
	s.slowest = max(s.slowest, since)
}

// newSim founds a core of random machines, zones, regions and losses.
func newSim(seed uint64, defect simDefect) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 22)), defect: defect, decided: map[uint64]View{}, stopped: map[string]time.Duration{}}
	zones := 1 + s.rng.IntN(5)
	regions := 1 + s.rng.IntN(3)
	s.tolerance = Tolerance{Machines: s.rng.IntN(3), Zones: s.rng.IntN(2), Regions: s.rng.IntN(2)}
	s.fillTime = time.Duration(s.rng.IntN(10)) * simTick
	var found []Peer
	even, machines := s.rng.IntN(2) == 0, 1+s.rng.IntN(9)
	if s.rng.IntN(4) == 0 { // large enough that voters stand by in each of the zones
		even, machines, zones, s.tolerance.Zones = true, 6+s.rng.IntN(4), 3, 1
	}
	for i := range machines {
		z := s.rng.IntN(zones)
		if even {
			z = i % zones
		}
		found = append(found, s.add(fmt.Sprint("z", z), fmt.Sprint("r", z%regions)).peer)
	}
	s.newest, _ = InitialView(found, s.tolerance)
	s.short = s.newest.Shortfall(s.tolerance)
	s.decided[1] = s.newest
	for _, m := range s.machines {
		s.start(m, false)
		s.learn(m, s.newest)
	}
	s.steps = map[string]int{}
	s.note("%d machines, %+v, short of %+v, voters %s", len(found), s.tolerance, s.short, ids(s.newest.Voters))
	return s
}

// loss picks machines of one tolerated loss that the first voters bear.
func (s *sim) loss() (out []*simMachine) {
	sets := s.losses()
	lost := sets[s.rng.IntN(len(sets))]
	for _, m := range s.present() {
		if lost(m.peer) {
			out = append(out, m)
		}
	}
	return out
}

func (s *sim) anyone() *simMachine {
	all := s.present()
	return all[s.rng.IntN(len(all))]
}

// between is a random time, in ticks.
func (s *sim) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64((most-least)/simTick)+1))*simTick
}

// await lets time pass until a machine that was told to end has ended.
func (s *sim) await(m *simMachine) {
	for m.up && s.failure == "" {
		s.tick()
	}
}

// The troubles. Each ends at the moment from which settle-s counts.
func (s *sim) trouble() {
	switch s.rng.IntN(9) {
	case 0, 1, 8:
		s.lose()
	case 2:
		s.cutOff()
	case 3:
		s.replaceLost()
	case 4:
		s.replacePlanned(false)
	case 5:
		s.replacePlanned(true)
	case 6:
		s.restart()
	case 7:
		s.allLosePower()
	}
}

// lose kills a tolerated set of machines; some of their disks are lost.
func (s *sim) lose() {
	lost := s.loss()
	for _, m := range lost {
		s.stop(m)
	}
	s.runBearing(s.between(0, 6*time.Second))
	for _, m := range lost {
		s.start(m, s.rng.IntN(2) == 0)
	}
}

func (s *sim) cutOff() {
	lost := s.loss()
	for _, m := range lost {
		s.note("cut off %s", m.peer.ID)
		m.cut = true
	}
	s.runBearing(s.between(0, 6*time.Second))
	for _, m := range lost {
		m.cut, m.healed = false, s.now
	}
}

// replaceLost kills a machine for good; another one of its zone comes, and may die while it is
// being filled.
func (s *sim) replaceLost() {
	lost := s.loss()
	if len(lost) == 0 {
		return
	}
	old := lost[0]
	s.stop(old)
	old.gone = true
	s.run(s.between(0, 3*time.Second))
	fresh := s.add(old.peer.Zone, old.peer.Region)
	s.start(fresh, false)
	if s.rng.IntN(3) == 0 {
		s.run(s.between(0, 3*time.Second))
		s.stop(fresh)
		s.run(s.between(0, 2*time.Second))
		s.start(fresh, s.rng.IntN(2) == 0)
	}
}

// replacePlanned starts a machine and ends an old one of its zone some time later. The newcomer may
// die before or while the old one leaves, and come back.
func (s *sim) replacePlanned(dies bool) {
	old := s.anyone()
	fresh := s.add(old.peer.Zone, old.peer.Region)
	s.start(fresh, false)
	started := s.now
	s.run(s.between(300*time.Millisecond, 6*time.Second))
	dies = dies && s.tolerance.Machines > s.short.Machines
	if dies {
		s.stop(fresh)
		s.run(s.between(0, time.Second))
	}
	s.terminate(old)
	s.await(old)
	old.gone = true
	if dies {
		s.start(fresh, s.rng.IntN(2) == 0)
		return
	}
	// The old one stops counting once the new one has had its time.
	if s.now >= started+simSettle {
		s.run(2 * simTick) // pings tell of the newest view
		if why := s.bears(); why != "" {
			s.fail("right after a planned replacement: %s", why)
		}
	}
}

// restart ends a process and starts it again; another machine may be down meanwhile, which comes
// back within the grace.
func (s *sim) restart() {
	m := s.anyone()
	var lost []*simMachine
	if s.rng.IntN(2) == 0 {
		lost = slices.DeleteFunc(s.loss(), func(o *simMachine) bool { return o == m })
	}
	for _, o := range lost {
		s.stop(o)
	}
	if len(lost) > 0 {
		s.run(s.between(0, 2*time.Second))
	}
	s.terminate(m)
	s.run(s.between(0, 3*time.Second))
	for _, o := range lost {
		s.start(o, s.rng.IntN(3) == 0)
	}
	s.await(m)
	s.run(s.between(0, time.Second))
	s.start(m, false)
}

func (s *sim) allLosePower() {
	down := s.present()
	for _, m := range down {
		s.stop(m)
	}
	s.run(time.Second)
	for _, m := range down {
		s.start(m, false)
	}
}

// play plays a seed and returns what failed.
func play(seed uint64, defect simDefect) *sim {
	s := newSim(seed, defect)
	s.run(2 * time.Second)
	for range simEvents {
		if s.failure != "" {
			break
		}
		s.trouble()
		s.settled()
	}
	return s
}

// simResult is what a number of seeds came to.
type simResult struct {
	first   *sim // the one with the lowest seed of those that failed, or nil
	seed    uint64
	slowest time.Duration
	steps   map[string]int
}

func (r *simResult) add(seed uint64, s *sim) {
	r.slowest = max(r.slowest, s.slowest)
	for kind, n := range s.steps {
		r.steps[kind] += n
	}
	if s.failure != "" && (r.first == nil || seed < r.seed) {
		r.first, r.seed = s, seed
	}
}

// playAll plays a range of seeds on a few processors until one fails.
func playAll(from, seeds uint64, defect simDefect) *simResult {
	const workers = 6
	result := &simResult{steps: map[string]int{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for worker := range uint64(workers) {
		wg.Go(func() {
			for seed := from + worker; seed < from+seeds; seed += workers {
				mu.Lock()
				stop := result.first != nil && result.seed < seed
				mu.Unlock()
				if stop {
					return
				}
				s := play(seed, defect)
				mu.Lock()
				result.add(seed, s)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return result
}

func simSeedCount() uint64 {
	if raced {
		return simSeedsRace
	}
	return simSeeds
}

// CHALKDOOR_VIEW_SEED=N plays one seed and prints it.
func TestPlanBearsLossesInSimulatedTime(t *testing.T) {
	if seed, err := strconv.ParseUint(os.Getenv("CHALKDOOR_VIEW_SEED"), 10, 64); err == nil {
		s := play(seed, sound)
		t.Log(strings.Join(s.log, "\n"))
		require.Empty(t, s.failure)
		return
	}
	r := playAll(0, simSeedCount(), sound)
	if r.first != nil {
		require.FailNow(t, r.first.failure, "seed %d\n%s", r.seed, strings.Join(r.first.log, "\n"))
	}
	for _, kind := range []string{"drop", "add", "swap", "admit", "retire", "finish"} {
		require.Positive(t, r.steps[kind], "no step was of this kind: %s", kind)
	}
	require.Less(t, r.slowest, simSettle)
	t.Logf("%d seeds, steps %v; all tolerated losses were borne again %v after the end of a trouble at the latest", simSeedCount(), r.steps, r.slowest)
}

func TestSimulationFindsDefectsOfThePlan(t *testing.T) {
	for name, defect := range map[string]simDefect{
		"the floor is ignored":           floorIgnored,
		"incomplete members are counted": incompleteCounted,
		"a present voter is swapped":     presentVoterSwapped,
		"admitted while a voter is away": admitWhileAway,
		"a dead member's word is void":   lastWordVoid,
		"a leaving voter keeps its vote": leavingVoteKept,
	} {
		t.Run(name, func(t *testing.T) {
			from := uint64(0)
			if defect == lastWordVoid {
				from = 400 // it shows in few seeds
			}
			r := playAll(from, simSeedsRace, defect)
			require.NotNil(t, r.first)
			t.Logf("seed %d: %s", r.seed, r.first.failure)
		})
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	for seed := range uint64(20) {
		require.Equal(t, play(seed, sound).log, play(seed, sound).log, "seed %d", seed)
	}
}
