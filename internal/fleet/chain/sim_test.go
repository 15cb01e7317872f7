package chain_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// defect leaves one rule out, to see that the checks of the simulation find it.
type defect int

const (
	sound          defect = iota
	olderViews            // members take pushes of views that are over
	forgetVotes           // votes are not kept on disk
	ackEarly              // the head acknowledges what it has kept itself
	readUnasked           // the tail answers without a majority
	dropWhole             // a chain may be cut to members that do not hold everything
	staleTail             // a new tail answers before the head's value came through
	refuseUnasked         // a head refuses without a majority
	forgetPast            // a head refuses orders that it may have taken and forgotten
	idOutlivesDisk        // a machine whose disk was lost votes on as before
	overwrite             // members take older values of their view
	learnInMemory         // views are not kept on disk
	takenBySeq            // a head that is one again takes another's value for its own
	tooShort              // the chain is cut below the losses to be borne and one more
)

// sim plays machines of the core in an arbitrary order of their messages, which may be lost, late
// and repeated, with losses of power at each write, lost disks within the losses to be borne, and
// steps of the view at random among those that are allowed.
type sim struct {
	rng    *rand.Rand
	defect defect
	boxes  []*box
	mail   []letter
	ids    int
	style  style
	lost   []*box // machines whose disk was lost
	held   func(letter) bool
	calm   bool // the end of a play: nothing is lost any more

	decided   map[uint64]view.View
	committed map[uint64]chain.Value
	newest    uint64 // highest Seq that was acknowledged or read
	orders    map[chain.Digest]*fate
	clients   []*client
	reads     int
	err       error
}

// style is what a play has much or little of: what is seldom in one mix is common in another.
type style struct {
	late    int // 0: older messages come first, 1: any, 2: newer ones
	losing  int // one message in so many is lost, as many come again
	power   int // the power goes at one write in so many
	views   int // steps of the view in a hundred
	cutting int // one turn in so many, a machine is cut off or frozen
	memory  int // how many taken orders a value remembers
}

type fate struct{ taken, refused bool }

// client sends one order after the other, each until it is clear what became of it.
type client struct {
	knows int64
	order *chain.Update
	must  uint64 // newest when it was made
}

// box is one machine. What is on its disk outlives its power.
type box struct {
	addr string
	up   bool
	life int
	deaf bool // what the others send does not come; clients do
	mute bool
	hung bool // frozen: it wakes as it was

	id     string
	view   view.View
	vote   view.AcceptorState
	record chain.Record

	activated uint64
	cur       *client
	curOrder  *chain.Update
	curSeq    uint64
	proposal  *view.Proposal
	rounds    uint32
	asks      []*ask
}

// ask is a question to a majority whether a view is in force.
type ask struct {
	view  view.View
	yes   map[string]bool
	must  uint64 // a read must tell this Seq at least
	value chain.Value
	read  bool
	who   *client
	order *chain.Update
}

type letter struct {
	to   string // address
	id   string // of the disk that is meant
	from *box
	life int // of from
	body any
}

type (
	prepare  struct{ p *view.Proposal }
	accept   struct{ p *view.Proposal }
	promised struct {
		p     *view.Proposal
		voter string
		a     view.Response
	}
	accepted promised
	learn    struct{ v view.View }
	push     struct{ q chain.Push }
	ack      struct{ q chain.Push }
	confirm  struct{ a *ask }
	yes      struct {
		a              *ask
		voter          string
		view, accepted uint64
	}
)

const losses = 1

func newSim(seed uint64, d defect, machines int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), defect: d, decided: map[uint64]view.View{}, committed: map[uint64]chain.Value{},
		orders: map[chain.Digest]*fate{}}
	pick := func(of ...int) int { return of[s.rng.IntN(len(of))] }
	s.style = style{late: pick(0, 1, 2), losing: pick(5, 12, 60), power: pick(30, 60, 400), views: pick(1, 3, 6), cutting: pick(4, 16), memory: pick(1, 3, chain.MaxRecentUpdates)}
	var peers []view.Peer
	for i := range machines {
		b := &box{addr: fmt.Sprint("m", i), up: true}
		s.rename(b)
		s.boxes = append(s.boxes, b)
		if i < max(3, machines-1) {
			peers = append(peers, peer(b))
		}
	}
	first, _ := view.InitialView(peers, view.Tolerance{Machines: losses})
	s.decided[1] = first
	for _, b := range s.boxes[:len(peers)] {
		if s.rng.IntN(4) > 0 { // the others learn it
			b.view = first
		}
	}
	s.boxes[0].view = first
	for range 3 {
		s.clients = append(s.clients, &client{})
	}
	return s
}

func peer(b *box) view.Peer { return view.Peer{ID: b.id, Addr: b.addr, Disk: true, Counted: true} }

func (s *sim) rename(b *box) { s.ids++; b.id = fmt.Sprintf("d%03d", s.ids) }

func (s *sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = errors.Errorf(format, args...)
	}
}

func check(cur []byte, o *chain.Update) ([]byte, int64, error) {
	n, err := strconv.ParseInt(string(o.Body), 10, 64)
	return o.Body, n, err
}

func (s *sim) send(from *box, to view.Peer, body any) {
	s.mail = append(s.mail, letter{to: to.Addr, id: to.ID, from: from, life: from.life, body: body})
}

func (s *sim) replica(b *box) chain.Replica {
	return chain.Replica{ID: b.id, View: b.view, Record: b.record}
}

// write puts something on a machine's disk; the power may go before or after, and then what follows
// does not happen.
func (s *sim) write(b *box, do func()) bool {
	if s.calm || s.rng.IntN(s.style.power) > 0 {
		do()
		return true
	}
	if s.rng.IntN(2) == 0 {
		do()
	}
	s.powerOff(b)
	return false
}

func (s *sim) powerOff(b *box) {
	b.up, b.hung, b.life = false, false, b.life+1
	b.activated, b.cur, b.curOrder, b.proposal, b.asks = 0, nil, nil, nil, nil
	if s.defect == forgetVotes {
		b.vote = view.AcceptorState{}
	}
	if s.defect == learnInMemory {
		b.view = s.decided[1]
	}
}

// wipe loses a machine's disk, within what is to be borne at once: no other lost disk is unhealed.
func (s *sim) wipe(b *box) {
	var last view.View
	for _, v := range s.decided {
		if v.Number > last.Number {
			last = v
		}
	}
	whole := 0
	for _, p := range last.Voters {
		found := false
		for _, o := range s.boxes {
			if o.id == p.ID {
				found = true
				r := s.replica(o)
				if o.view.Number == last.Number && r.Complete() {
					whole++
				}
			}
		}
		if !found {
			return
		}
	}
	if s.defect != tooShort && whole <= losses {
		return
	}
	for _, o := range s.lost { // each is back with a vote, so no view to come knows its old disk
		if _, voter := last.Voter(o.id); !voter {
			return
		}
	}
	s.lost = append(s.lost, b)
	s.powerOff(b)
	id := b.id
	b.view, b.vote, b.record, b.rounds = view.View{}, view.AcceptorState{}, chain.Record{}, 0
	s.rename(b)
	if s.defect == idOutlivesDisk {
		b.id = id
	}
}

func (s *sim) learn(b *box, v view.View) bool {
	if v.Number <= b.view.Number {
		return true
	}
	if d, ok := s.decided[v.Number]; ok && !d.Equal(v) {
		s.fail("two views %d", v.Number)
	}
	s.decided[v.Number] = v
	return s.write(b, func() { b.view = v })
}

func (s *sim) commit(v chain.Value) {
	if v.Seq == 0 {
		return
	}
	if was, ok := s.committed[v.Seq]; ok && was.Checksum() != v.Checksum() {
		s.fail("two values %d committed", v.Seq)
	}
	s.committed[v.Seq] = v
}

func (s *sim) deliver(l letter) {
	var b *box
	for _, x := range s.boxes {
		if x.addr == l.to {
			b = x
		}
	}
	if !b.up || b.hung || b.deaf && l.from != b {
		return
	}
	mine := l.id == b.id
	reply := func(body any) {
		s.mail = append(s.mail, letter{to: l.from.addr, from: b, life: l.life, body: body})
	}
	answered := l.life == b.life // an answer reaches the life that asked
	switch q := l.body.(type) {
	case prepare:
		s.ballot(b, mine, q.p.Base, reply, func(a view.Response) any { return promised{q.p, l.id, a} },
			func(v view.AcceptorState, n uint64) (view.AcceptorState, view.Response) {
				return v.Prepare(n, q.p.Number)
			})
	case accept:
		proposed := q.p.View
		s.ballot(b, mine, q.p.Base, reply, func(a view.Response) any { return accepted{q.p, l.id, a} },
			func(v view.AcceptorState, n uint64) (view.AcceptorState, view.Response) {
				return v.Accept(n, q.p.Number, proposed)
			})
	case promised:
		if answered && b.proposal == q.p && q.p.State() == view.Preparing && q.p.HandlePromise(q.voter, q.a) == view.Accepting {
			for _, to := range q.p.Base.Voters {
				s.send(b, to, accept{q.p})
			}
		}
	case accepted:
		if answered && b.proposal == q.p && q.p.State() == view.Accepting {
			if out := q.p.HandleAcceptance(q.voter, q.a); out == view.Decided || out == view.Superseded {
				v := q.p.View
				for _, to := range append(append([]view.Peer(nil), v.Voters...), q.p.Base.Voters...) {
					s.send(b, to, learn{v})
				}
				s.learn(b, v)
			}
		}
	case learn:
		s.learn(b, q.v)
	case push:
		s.onPush(b, mine, q.q)
	case ack:
		s.onAck(b, q.q)
	case confirm:
		a := yes{a: q.a, voter: b.id, view: b.view.Number}
		if b.vote.Accepted != nil && b.vote.Instance == b.view.Number+1 {
			a.accepted = b.vote.Instance
		}
		reply(a)
	case yes:
		if answered {
			s.onYes(b, q)
		}
	}
}

func (s *sim) ballot(b *box, mine bool, base view.View, reply func(any), wrap func(view.Response) any, turn func(view.AcceptorState, uint64) (view.AcceptorState, view.Response)) {
	if !mine || !s.learn(b, base) {
		return
	}
	if base.Number < b.view.Number {
		v := b.view
		reply(wrap(view.Response{Newer: &v}))
		return
	}
	if _, voter := b.view.Voter(b.id); !voter {
		return
	}
	vote, a := turn(b.vote, base.Number+1)
	if !a.OK || s.write(b, func() { b.vote = vote }) {
		reply(wrap(a))
	}
}

func (s *sim) onPush(b *box, mine bool, q chain.Push) {
	if !mine {
		return
	}
	r := s.replica(b)
	if s.defect == olderViews && q.View.Number < b.view.Number && q.View.Position(b.id) > 0 {
		if q.Value.Seq > b.record.Value.Seq {
			b.record = chain.Record{View: b.view.Number, Value: q.Value}
		}
	} else {
		if !s.learn(b, q.View) {
			return
		}
		r = s.replica(b)
		rec, change, err := r.Receive(&q)
		if err != nil {
			return
		}
		if s.defect == overwrite && b.record.View == q.View.Number {
			rec, change = chain.Record{View: q.View.Number, Value: q.Value}, true
		}
		if change && !s.write(b, func() { b.record = rec }) {
			return
		}
	}
	if !q.Direct {
		s.passOn(b, q)
	}
}

// fill has a complete member give its value directly to one that may not be complete yet.
func (s *sim) fill(b *box) {
	if r := s.replica(b); b.view.Number > 0 && r.Complete() {
		to := b.view.Chain[s.rng.IntN(len(b.view.Chain))]
		s.send(b, to.Peer, push{chain.Push{View: b.view, Value: b.record.Value, Direct: true}})
	}
}

// passOn sends a value on, or back as committed from the tail.
func (s *sim) passOn(b *box, q chain.Push) {
	if next, more := q.View.Successor(b.id); more {
		s.send(b, next.Peer, push{q})
		return
	}
	s.onAck(b, q)
}

func (s *sim) onAck(b *box, q chain.Push) {
	i := q.View.Position(b.id)
	if i < 0 {
		return
	}
	s.commit(q.Value)
	if i > 0 {
		s.send(b, q.View.Chain[i-1].Peer, ack{q})
		return
	}
	if q.View.Number == b.view.Number && q.Value.Seq >= b.record.Value.Seq {
		b.activated = b.view.Number
	}
	if b.cur != nil && q.Value.Seq >= b.curSeq {
		if _, ok := q.Value.RevisionOf(b.curOrder.Digest()); ok || s.defect == takenBySeq {
			s.taken(b.cur, b.curOrder, b.curSeq)
		}
		b.cur = nil
	}
}

// taken tells a client that its order was taken.
func (s *sim) taken(c *client, o *chain.Update, seq uint64) {
	f := s.fate(o)
	if f.refused {
		s.fail("an order was refused and taken")
	}
	f.taken = true
	s.newest = max(s.newest, seq)
	s.finish(c, o, 0)
}

func (s *sim) refused(c *client, o *chain.Update, by chain.Value) {
	if c.order == o && by.Seq < c.must {
		s.fail("a refusal rests on value %d, %d was acknowledged before the order", by.Seq, c.must)
	}
	f := s.fate(o)
	if f.taken {
		s.fail("an order was taken and refused")
	}
	f.refused = true
	s.finish(c, o, by.Revision)
}

func (s *sim) finish(c *client, o *chain.Update, revision int64) {
	if c.order != o {
		return
	}
	if n, err := strconv.ParseInt(string(o.Body), 10, 64); revision == 0 && err == nil {
		revision = n
	}
	c.knows, c.order = revision, nil
}

func (s *sim) fate(o *chain.Update) *fate {
	d := o.Digest()
	if s.orders[d] == nil {
		s.orders[d] = &fate{}
	}
	return s.orders[d]
}

// order is a client's order that reaches a machine.
func (s *sim) order(b *box, c *client) {
	r := s.replica(b)
	if b.view.Number == 0 || !r.IsHead() || b.activated != b.view.Number || b.cur != nil {
		return
	}
	o := c.order
	next, verdict, final := chain.Apply(&b.record.Value, o, check)
	if final {
		if verdict.Outcome == chain.OutcomeCommitted {
			s.taken(c, o, 0)
			return
		}
		if verdict.Outcome == chain.OutcomeUnknown && s.defect != forgetPast { // the client reads, and gives this order up
			s.finish(c, o, b.record.Value.Revision)
			return
		}
		a := &ask{view: b.view, yes: map[string]bool{}, value: b.record.Value, who: c, order: o}
		if s.defect == refuseUnasked {
			s.refused(c, o, b.record.Value)
			return
		}
		s.ask(b, a)
		return
	}
	next.Recent = next.Recent[max(0, len(next.Recent)-s.style.memory):]
	if !s.write(b, func() { b.record = chain.Record{View: b.view.Number, Value: *next} }) {
		return
	}
	b.cur, b.curOrder, b.curSeq = c, o, next.Seq
	if s.defect == ackEarly {
		s.taken(c, o, next.Seq)
	}
	s.passOn(b, chain.Push{View: b.view, Value: *next})
}

func (s *sim) ask(b *box, a *ask) {
	b.asks = append(b.asks, a)
	for _, to := range a.view.Voters {
		s.send(b, to, confirm{a})
	}
}

func (s *sim) onYes(b *box, q yes) {
	a := q.a
	if _, voter := a.view.Voter(q.voter); !voter || a.yes == nil {
		return
	}
	if q.view > a.view.Number || q.accepted > a.view.Number {
		a.yes = nil
		return
	}
	if a.yes[q.voter] = true; len(a.yes) < a.view.Quorum() {
		return
	}
	a.yes = nil
	s.answer(a)
}

func (s *sim) answer(a *ask) {
	if !a.read {
		s.refused(a.who, a.order, a.value)
		return
	}
	if a.value.Seq < a.must {
		s.fail("a read tells %d, %d was acknowledged before", a.value.Seq, a.must)
	}
	s.commit(a.value)
	s.newest = max(s.newest, a.value.Seq)
	s.reads++
}

// read is a read that reaches a machine.
func (s *sim) read(b *box) {
	r := s.replica(b)
	if b.view.Number == 0 {
		return
	}
	value, ok := r.CommittedValue()
	if s.defect == staleTail && b.view.Tail().ID == b.id {
		ok = true
	}
	if !ok {
		return
	}
	a := &ask{view: b.view, yes: map[string]bool{}, value: value, read: true, must: s.newest}
	if s.defect == readUnasked {
		s.answer(a)
		return
	}
	s.ask(b, a)
}

// kick has a head push its value through its chain again.
func (s *sim) kick(b *box) {
	if r := s.replica(b); b.view.Number > 0 && r.IsHead() && (b.activated != b.view.Number || b.cur != nil) {
		s.passOn(b, chain.Push{View: b.view, Value: b.record.Value})
	}
}

// propose starts one of the steps that are allowed, or finishes what was left undecided.
func (s *sim) propose(b *box) {
	v := b.view
	if v.Number == 0 {
		return
	}
	var next *view.View
	pick := func(n view.View) {
		if n.Validate() == nil {
			next = &n
		}
	}
	switch s.rng.IntN(6) {
	case 0, 4:
		n := v.RemoveMember(v.Chain[s.rng.IntN(len(v.Chain))].ID)
		floor := v.RequiredSpread(view.Tolerance{Machines: losses}).Machines
		if s.defect == tooShort {
			floor = 1
		}
		whole := 0
		for _, l := range n.Chain {
			if s.whole(v, l) {
				whole++
			}
		}
		if s.defect == dropWhole && len(n.Chain) >= floor || whole >= floor && s.whole(v, n.Chain[0]) {
			pick(n)
		}
	case 1:
		p := v.Voters[s.rng.IntN(len(v.Voters))]
		if v.Position(p.ID) < 0 {
			pick(v.AppendMember(p.ID))
		}
	case 2, 3:
		c := s.boxes[s.rng.IntN(len(s.boxes))]
		if _, voter := v.Voter(c.id); voter || !c.up {
			return
		}
		for _, l := range v.Chain {
			if l.Addr == c.addr {
				return
			}
		}
		old := v.Voters[s.rng.IntN(len(v.Voters))]
		for _, p := range v.Voters {
			if p.Addr == c.addr {
				old = p
			}
		}
		if v.Position(old.ID) < 0 {
			pick(v.ReplaceVoter(old.ID, peer(c)))
		} else if len(v.Voters) < len(s.boxes) {
			pick(v.AddVoter(peer(c)))
		}
	}
	b.rounds++
	b.proposal = view.NewProposal(v, view.ProposalNumber{Round: b.rounds, Proposer: fmt.Sprint(b.id, "/", b.life)}, next)
	for _, to := range v.Voters {
		s.send(b, to, prepare{b.proposal})
	}
}

// whole tells whether a member of the chain is there and says, in a view, that it holds everything.
func (s *sim) whole(v view.View, l view.Member) bool {
	for _, b := range s.boxes {
		if r := s.replica(b); b.id == l.ID && b.up {
			return l.JoinedIn == 1 || b.view.Number == v.Number && r.Complete()
		}
	}
	return false
}

func (s *sim) step() {
	b := s.boxes[s.rng.IntN(len(s.boxes))]
	runs := b.up && !b.hung
	switch k := s.rng.IntN(100); {
	case k < 68:
		if len(s.mail) == 0 {
			return
		}
		i, j := s.rng.IntN(len(s.mail)), s.rng.IntN(len(s.mail))
		if !s.calm {
			i = [...]int{min(i, j), i, max(i, j)}[s.style.late]
		}
		l := s.mail[i]
		if s.calm || s.rng.IntN(s.style.losing) > 0 {
			s.mail = append(s.mail[:i:i], s.mail[i+1:]...)
		} // else it comes again
		if s.calm || s.rng.IntN(s.style.losing) > 0 && !l.from.mute {
			s.deliver(l)
		}
	case k < 78:
		c := s.clients[s.rng.IntN(len(s.clients))]
		if c.order == nil {
			s.ids++
			c.must = s.newest
			c.order = &chain.Update{IfMatch: c.knows, Body: []byte(strconv.Itoa(s.ids*10 + s.rng.IntN(9)))}
		}
		if runs {
			s.order(b, c)
		}
	case k < 84:
		if runs && k < 83 {
			s.kick(b)
		} else if runs {
			s.fill(b)
		}
	case k < 84+s.style.views:
		if runs {
			s.propose(b)
		}
	case k < 92:
		if runs {
			s.read(b)
		}
	case k < 95:
		if to := s.boxes[s.rng.IntN(len(s.boxes))]; runs && b.view.Number > 0 {
			s.send(b, peer(to), learn{b.view})
		}
	case k < 97:
		b.up = true
	case s.calm:
	case k < 98:
		switch s.rng.IntN(s.style.cutting) {
		case 0:
			switch s.rng.IntN(4) {
			case 0:
				b.deaf = true
			case 1:
				b.mute = true
			case 2:
				b.deaf, b.mute = true, true
			case 3:
				b.hung = true
			}
		case 1, 2:
			b.deaf, b.mute, b.hung = false, false, false
		}
	case k < 99:
		if s.rng.IntN(2) == 0 {
			s.powerOff(b)
		}
	default:
		if s.rng.IntN(4) == 0 {
			s.wipe(b)
		} else if s.rng.IntN(8) == 0 {
			for _, o := range s.boxes {
				s.powerOff(o)
			}
		}
	}
}

var errStuck = errors.New("the newest value is not told though all are back")

// play plays one order of things, then lets all come back, and tells the first broken promise.
func play(seed uint64, d defect, machines, steps int) (*sim, error) {
	s := newSim(seed, d, machines)
	for range steps {
		if s.step(); s.err != nil {
			return s, s.err
		}
	}
	s.calm = true
	for _, b := range s.boxes {
		b.up, b.deaf, b.mute, b.hung = true, false, false, false
	}
	before := s.reads
	for i := 0; s.reads < before+3; i++ {
		if s.step(); s.err != nil {
			return s, s.err
		}
		if i > 60_000 {
			return s, errStuck
		}
	}
	return s, s.end()
}

// end tells whether the orders of the committed values are those that were told to be taken, and
// none that was refused.
func (s *sim) end() error {
	in := map[chain.Digest]bool{}
	for _, v := range s.committed {
		for _, p := range v.Recent {
			in[p.Digest] = true
		}
	}
	for d, f := range s.orders {
		if f.taken && !in[d] {
			return errors.New("an acknowledged order is lost")
		}
		if f.refused && in[d] {
			return errors.New("a refused order is in force")
		}
	}
	return s.err
}

func TestNoOrderIsLostOrTakenTwice(t *testing.T) {
	seeds, orders, views := 1500, 0, 0
	if testing.Short() {
		seeds = 300
	}
	for seed := range seeds {
		s, err := play(uint64(seed), sound, 4+seed%3, 2500)
		require.NoError(t, err, "seed %d", seed)
		orders += len(s.committed)
		views += len(s.decided)
	}
	require.Greater(t, orders, 4*seeds, "orders are committed")
	require.Greater(t, views, 5*seeds, "views are decided")
}

func TestDefectsAreFound(t *testing.T) {
	for d, name := range map[defect]string{
		ackEarly: "acknowledged before the tail", dropWhole: "the chain is cut to members that lack values",
		staleTail: "a new tail answers at once", forgetPast: "taken orders are forgotten",
		idOutlivesDisk: "a lost disk keeps its vote", overwrite: "older values of a view are taken", learnInMemory: "views are not kept",
		tooShort: "the chain is cut too short"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range 20_000 {
				// Where a value is lost with the last disk that held it, its chain stands still.
				if _, err := play(uint64(seed), d, 4+seed%3, 2500); err != nil && (err != errStuck || d == tooShort) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("the defect was not found")
		})
	}
}

// script is a sim of four machines, all in view 1, in which nothing is left to chance.
func script(d defect) *sim {
	s := newSim(1, d, 4)
	s.calm, s.mail = true, nil
	var found []view.Peer
	for _, b := range s.boxes {
		found = append(found, peer(b))
	}
	first, _ := view.InitialView(found, view.Tolerance{Machines: losses})
	s.decided[1] = first
	for _, b := range s.boxes {
		b.view = first
	}
	s.kick(s.boxes[0])
	s.all()
	return s
}

// all delivers what is under way but what is held back.
func (s *sim) all() {
	for i := 0; i < len(s.mail); {
		l := s.mail[i]
		if s.held != nil && s.held(l) {
			i++
			continue
		}
		s.mail = append(s.mail[:i:i], s.mail[i+1:]...)
		s.deliver(l)
		i = 0
	}
}

// change has a machine propose a next view, and all take part that are there.
func (s *sim) change(b *box, next view.View) {
	b.rounds++
	b.proposal = view.NewProposal(b.view, view.ProposalNumber{Round: b.rounds, Proposer: b.id}, &next)
	for _, to := range b.view.Voters {
		s.send(b, to, prepare{b.proposal})
	}
	s.all()
	for _, o := range s.boxes {
		s.kick(o)
	}
	s.all()
}

// asks has a client send an order to a machine.
func (s *sim) asks(c int, b *box, ifMatch, body int64) {
	s.clients[c].order, s.clients[c].must = &chain.Update{IfMatch: ifMatch, Body: []byte(strconv.FormatInt(body, 10))}, s.newest
	s.order(b, s.clients[c])
	s.all()
}

// Rare turns, each of which one rule is for.
func TestRareTurns(t *testing.T) {
	for _, turn := range []struct {
		name   string
		defect defect
		play   func(s *sim, a, b, c, d *box)
	}{
		{"a late push of an older view", olderViews, func(s *sim, a, b, c, d *box) {
			pushOf := func(number uint64) func(letter) bool {
				return func(l letter) bool { q, is := l.body.(push); return is && q.q.View.Number == number }
			}
			s.held = pushOf(1)
			s.asks(0, a, 0, 10) // its push to b is late
			s.change(b, b.view.RemoveMember(a.id))
			late := s.mail
			s.mail, s.held = nil, pushOf(2)
			s.asks(1, b, 0, 20)
			s.mail = append(late, s.mail...)
			s.all()
			s.held = nil
			s.all()
		}},
		{"a majority loses power between two proposals", forgetVotes, func(s *sim, a, b, c, d *box) {
			s.held = func(l letter) bool {
				_, taught := l.body.(learn)
				_, pushed := l.body.(push)
				return taught || pushed || l.to == d.addr
			}
			s.change(a, a.view.RemoveMember(d.id)) // a alone knows that it is decided
			s.mail = nil
			for _, o := range []*box{b, c} {
				s.powerOff(o)
				o.up = true
			}
			s.held = func(l letter) bool { return l.to == a.addr }
			s.change(d, d.view.RemoveMember(a.id))
		}},
		{"a tail that wakes is read", readUnasked, func(s *sim, a, b, c, d *box) {
			d.hung = true
			s.change(a, a.view.RemoveMember(d.id))
			s.asks(0, a, 0, 10)
			d.hung = false
			s.read(d)
			s.all()
		}},
		{"a head that wakes refuses an order", refuseUnasked, func(s *sim, a, b, c, d *box) {
			s.asks(0, a, 0, 10)
			a.hung = true
			s.change(b, b.view.RemoveMember(a.id))
			s.asks(1, b, 10, 20)
			a.hung = false
			s.asks(2, a, 20, 30)
		}},
		{"a head that is one again holds another's value", takenBySeq, func(s *sim, a, b, c, d *box) {
			s.held = func(l letter) bool { _, is := l.body.(push); return is }
			s.asks(0, a, 0, 10)
			s.mail, s.held = nil, nil // a alone has it
			s.change(b, b.view.RemoveMember(a.id))
			s.asks(1, b, 0, 20)
			s.change(b, b.view.AppendMember(a.id))
			s.change(b, b.view.RemoveMember(b.id))
			s.change(c, c.view.RemoveMember(c.id))
			s.change(d, d.view.AppendMember(b.id))
			s.change(d, d.view.RemoveMember(d.id))
		}},
	} {
		t.Run(turn.name, func(t *testing.T) {
			for _, d := range []defect{sound, turn.defect} {
				s := script(d)
				turn.play(s, s.boxes[0], s.boxes[1], s.boxes[2], s.boxes[3])
				if d == sound {
					require.NoError(t, s.end())
				} else {
					require.Error(t, s.end(), "without its rule the turn goes wrong")
				}
			}
		})
	}
}
