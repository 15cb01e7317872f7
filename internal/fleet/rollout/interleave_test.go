package rollout

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/interleave"
)

// defect is what is done wrong on purpose, to see that the checker finds it.
type defect string

const (
	none       defect = ""
	assumed    defect = "acknowledgements are assumed"
	oneIsAll   defect = "only agents that reported are waited for"
	oldAck     defect = "an acknowledgement of an older record is enough"
	noVersion  defect = "a write is kept whatever record it is on"
	earlyWord  defect = "the platform is told before the record is kept"
	lateCount  defect = "an agent counts a request after it told that it obeys"
	deafAgent  defect = "an agent takes an older record in place of a newer one"
	forgetful  defect = "a holder goes by what an agent held earlier"
	noOwnWord  defect = "a server's own word is not asked for"
	newAtOnce  defect = "a new server has its whole share before it was taken in"
	twoAtOnce  defect = "each holder counts for itself what is out"
	notRevived defect = "a server that fell silent is handed over without its acknowledgements"
)

// small is a fleet of two servers and two agents while it is moved, at every moment that matters:
// two processes that both believe to hold the duty step, records come to agents, agents report,
// requests begin and end, the platform replaces, an agent is cut off and loses its lease, a server
// falls silent and comes back. Times to wait are none, so whatever may be next may be at once.
type small struct {
	bad     defect
	may     may
	kept    []*Record // by version
	holders [2]int    // the version that each knows
	reports [2]Report // as the holders have them; the Seq says which is newer
	agents  [2]smallAgent
	servers []smallServer
	word    []string // servers that the platform was told of
	cause   error
	watch   *ReportAggregator // of nobody's reports: it is the same for all
	sums    map[*Record]uint64
}

// may is what may happen in a run.
type may struct{ requests, cuts, silences, aborts, holders, stale int }

type smallAgent struct {
	obeys   int // version
	held    map[string]int
	pending string // chosen, and not counted yet
	mail    *Report
	seq     uint64
	cut     bool
	member  bool
}

type smallServer struct {
	Server
}

const later = time.Hour

func newSmall(bad defect, m may) *small {
	s := &small{bad: bad, may: m}
	spec := defaultSpec()
	spec.Service, spec.Model, spec.From, spec.To = "s", "m", 1, 2
	spec.Pace.GapSeconds, spec.Pace.SpreadSeconds, spec.Pace.StageSeconds, spec.Pace.FinishSeconds = 0, 0, 0, 0
	spec.Safety = Safety{UsableCapacity: 1, LiveSeconds: 15}
	spec.Judge.MinServerRequests = 0
	rec, err := (&Record{}).Start(&spec)
	if err != nil {
		panic(err) // of this test's own making
	}
	s.kept = []*Record{{}, rec}
	s.watch, s.sums = NewReportAggregator(rec), map[*Record]uint64{}
	s.watch.Judge.comparisons[cohort{}] = &comparison{baseline: 1e6, canary: 1e6}
	for i := range s.agents {
		s.agents[i] = smallAgent{held: map[string]int{}, member: true}
		s.reports[i] = Report{Source: fmt.Sprint(i)}
	}
	for _, id := range []string{"a", "b"} {
		s.servers = append(s.servers, smallServer{Server: Server{ID: id, Addr: id, Region: "r", Zone: "z", Revision: 1, Capacity: 1, Healthy: true, InFlight: -1}})
	}
	return s
}

func (s *small) newest() *Record { return s.kept[len(s.kept)-1] }

// step is a holder's turn on the record that it knows.
func (s *small) step(h int) (*Record, int) {
	on := s.kept[s.holders[h]]
	if !on.Active() {
		return nil, 0
	}
	f := &Observation{Reports: s.watch}
	for i, a := range s.agents {
		if !a.member || s.bad == oneIsAll && s.reports[i].AppliedVersion == 0 {
			continue
		}
		r := s.reports[i]
		if s.bad == assumed {
			r.AppliedVersion = 1 << 30
		}
		if s.bad == oldAck {
			r.AppliedVersion += 2
		}
		f.Agents = append(f.Agents, Agent{Source: r.Source, AppliedVersion: r.AppliedVersion, InFlight: r.InFlight})
	}
	for _, x := range s.servers {
		v := x.Server
		if s.bad != noOwnWord && s.bad != forgetful {
			v.InFlight = 0
			for _, a := range s.agents {
				v.InFlight += a.held[v.ID]
			}
		}
		f.Servers = append(f.Servers, v)
	}
	if s.bad == twoAtOnce {
		on = on.clone()
		on.Spec.Pace.AtOnce = 2
	}
	m := NewController()
	m.learningPeriod = 0
	next := m.Reconcile(later, on, f)
	if next != nil && s.bad == twoAtOnce {
		next.Spec.Pace.AtOnce = 1
	}
	if next != nil && s.bad == notRevived {
		for i, l := range next.Draining {
			if v := s.server(l.ID); v != nil && v.State == registry.Expired && l.Step < DrainReplacing {
				next.Draining[i].Step = DrainReplacing
			}
		}
	}
	return next, s.holders[h]
}

func (s *small) server(id string) *smallServer {
	for i := range s.servers {
		if s.servers[i].ID == id {
			return &s.servers[i]
		}
	}
	return nil
}

// put keeps a record if it is the next one.
func (s *small) put(next *Record, on int) {
	if on != len(s.kept)-1 {
		if s.bad != noVersion || s.may.stale == 0 {
			return
		}
		s.may.stale--
		next.Version = uint64(len(s.kept))
	}
	if err := next.Validate(); err != nil {
		s.cause = err
	}
	if next.Version != uint64(len(s.kept)) {
		s.cause = fmt.Errorf("version %d follows on %d", next.Version, len(s.kept)-1)
	}
	for _, l := range s.newest().Draining {
		x := s.server(l.ID)
		if l.Step == DrainReplacing && x.State != registry.Deregistered && (next.draining(l.ID) == nil || next.draining(l.ID).Step != DrainReplacing) {
			s.cause = fmt.Errorf("%s was handed over, and is taken back", l.ID)
		}
	}
	s.kept = append(s.kept, next)
	if n := len(next.Draining) + len(next.Ramping); n > next.Spec.Pace.AtOnce && next.Phase == PhaseForward {
		s.cause = fmt.Errorf("%d servers are out", n)
	}
}

// tell has the platform know of the servers that a record hands over.
func (s *small) tell(r *Record) {
	for _, l := range r.Draining {
		if l.Step == DrainReplacing && !slices.Contains(s.word, l.ID) {
			s.word = append(s.word, l.ID)
		}
	}
}

func (s *small) steps() (steps []func()) {
	do := func(fn func()) { steps = append(steps, fn) }
	for h := range s.may.holders {
		if next, on := s.step(h); next != nil {
			do(func() {
				if s.bad == earlyWord {
					s.tell(next)
				}
				s.put(next, on)
				if on == len(s.kept)-2 {
					s.holders[h] = len(s.kept) - 1
				}
			})
		}
		if s.holders[h] < len(s.kept)-1 {
			do(func() { s.holders[h] = len(s.kept) - 1 })
		}
	}
	if s.may.aborts > 0 && s.newest().Phase == PhaseForward {
		do(func() {
			s.may.aborts--
			next, _ := s.newest().Abort(1, "")
			s.put(next, len(s.kept)-1)
		})
	}
	for i := range s.agents {
		a := &s.agents[i]
		if a.obeys < len(s.kept)-1 && !a.cut && a.pending == "" {
			do(func() { a.obeys = len(s.kept) - 1 })
		}
		if s.bad == deafAgent && a.obeys > 1 && !a.cut {
			do(func() { a.obeys = 1 })
		}
		if a.mail == nil && !a.cut && a.pending == "" && (s.reports[i].AppliedVersion != uint64(a.obeys) || !maps.Equal(s.reports[i].InFlight, a.held)) {
			do(func() {
				a.seq++
				a.mail = &Report{Source: fmt.Sprint(i), Seq: a.seq, AppliedVersion: uint64(a.obeys), InFlight: maps.Clone(a.held)}
			})
		}
		if s.bad == lateCount && a.pending != "" && a.mail == nil {
			do(func() { // it tells of the newest record while a request is chosen by an older one
				a.seq++
				a.obeys = len(s.kept) - 1
				a.mail = &Report{Source: fmt.Sprint(i), Seq: a.seq, AppliedVersion: uint64(a.obeys), InFlight: maps.Clone(a.held)}
			})
		}
		if a.mail != nil {
			do(func() {
				r := a.mail
				a.mail = nil
				if s.bad == forgetful {
					held := s.reports[i].InFlight
					s.reports[i] = *r
					s.reports[i].InFlight = held
					return
				}
				s.reports[i] = *r
			})
		}
		if a.pending != "" {
			do(func() { s.count(a) })
		} else if s.may.requests > 0 {
			rules := s.kept[a.obeys].Rules()
			for _, x := range s.servers {
				share := rules.Share(x.ID, x.Addr, x.Revision)
				if s.bad == newAtOnce && x.Revision == 2 {
					share = 1
				}
				if x.State == registry.Ready && share > 0 {
					do(func() {
						s.may.requests--
						if x.Revision == 2 && s.kept[a.obeys].Phase == PhaseForward && rules.Share(x.ID, x.Addr, x.Revision) == 0 {
							s.cause = fmt.Errorf("%s gets requests before it was taken in", x.ID)
						}
						a.pending = x.ID
						if s.bad != lateCount {
							s.count(a)
						}
					})
				}
			}
		}
		for id, n := range a.held {
			if n > 0 {
				do(func() {
					if a.held[id]--; a.held[id] == 0 {
						delete(a.held, id)
					}
				})
			}
		}
		if s.may.cuts > 0 && !a.cut {
			do(func() { s.may.cuts--; a.cut = true })
		}
		if a.cut && a.member {
			do(func() { a.member = false; a.mail = nil })
		}
	}
	if s.bad != earlyWord {
		s.tell(s.newest())
	}
	for _, id := range s.word {
		x := s.server(id)
		if x == nil || x.State == registry.Deregistered {
			continue
		}
		do(func() { s.replace(x) })
	}
	for i := range s.servers {
		x := &s.servers[i]
		if s.may.silences > 0 && x.State == registry.Ready && s.newest().draining(x.ID) != nil {
			do(func() { s.may.silences--; x.State = registry.Expired })
		}
		if x.State == registry.Expired {
			do(func() { x.State = registry.Ready })
		}
	}
	return steps
}

// count has an agent's chosen request run.
func (s *small) count(a *smallAgent) {
	id := a.pending
	a.pending = ""
	if x := s.server(id); x.State == registry.Deregistered {
		return // turned away: it has not run
	}
	a.held[id]++
}

// replace is the platform's turn: the invariant is that nothing of a member runs there, nor will.
func (s *small) replace(x *smallServer) {
	for i, a := range s.agents {
		if !a.member && s.bad == none {
			continue // it may have lost its lease only lately: the server's own word counts for it
		}
		if a.held[x.ID] > 0 {
			s.cause = fmt.Errorf("%s is replaced while agent %d holds a request there", x.ID, i)
		}
		if rules := s.kept[a.obeys].Rules(); a.member && !a.cut && rules.Share(x.ID, x.Addr, x.Revision) > 0 {
			s.cause = fmt.Errorf("%s is replaced while agent %d sends there", x.ID, i)
		}
	}
	serving := 0
	for _, y := range s.servers {
		if y.ID != x.ID && y.State == registry.Ready && s.newest().Rules().Share(y.ID, y.Addr, y.Revision) > 0 {
			serving++
		}
	}
	if serving == 0 && s.may.silences == 0 {
		s.cause = fmt.Errorf("%s is replaced, and nobody else serves", x.ID)
	}
	x.State = registry.Deregistered
	next := x.Server
	next.ID, next.State, next.Revision = x.ID+"'", registry.Ready, s.newest().targetRevision()
	s.servers = append(s.servers, smallServer{Server: next})
}

func (s *small) Steps() int { return len(s.steps()) }

func (s *small) Do(i int) error {
	s.steps()[i]()
	return s.cause
}

func (s *small) Clone() *small {
	c := *s
	c.kept, c.servers, c.word = slices.Clone(s.kept), slices.Clone(s.servers), slices.Clone(s.word)
	for i := range c.agents {
		c.agents[i].held = maps.Clone(s.agents[i].held)
	}
	return &c
}

// sum is of a record's content.
func (s *small) sum(version int) uint64 {
	r := s.kept[version]
	if h, ok := s.sums[r]; ok {
		return h
	}
	f := fnv.New64a()
	fmt.Fprint(f, r.Version, r.Phase, r.Initialized, r.FullShare)
	for _, l := range r.Draining {
		fmt.Fprint(f, " ", l.ID, l.Step, l.Since)
	}
	for _, e := range r.Ramping {
		fmt.Fprint(f, " ", e.ID, e.Step, e.Since)
	}
	s.sums[r] = f.Sum64()
	return s.sums[r]
}

func (s *small) Hash() uint64 {
	f := fnv.New64a()
	put := func(xs ...int) {
		for _, x := range xs {
			f.Write([]byte{byte(x), byte(x >> 8), byte(x >> 16), byte(x >> 24), byte(x >> 32), byte(x >> 40), byte(x >> 48), byte(x >> 56)})
		}
	}
	holds := func(held map[string]int) {
		for _, x := range s.servers {
			put(held[x.ID])
		}
	}
	put(s.may.requests, s.may.cuts, s.may.silences, s.may.aborts, s.may.stale, len(s.kept), int(s.sum(len(s.kept)-1)))
	for i, a := range s.agents {
		put('a', a.obeys, int(s.sum(a.obeys)), int(s.reports[i].AppliedVersion))
		holds(a.held)
		holds(s.reports[i].InFlight)
		if a.mail != nil {
			put('m', int(a.mail.AppliedVersion))
			holds(a.mail.InFlight)
		}
		if a.cut {
			put('c')
		}
		if a.member {
			put('l')
		}
		f.Write([]byte(a.pending))
	}
	for h := range s.may.holders {
		put('h', s.holders[h], int(s.sum(s.holders[h])))
	}
	for _, x := range s.servers {
		f.Write([]byte(x.ID))
		put(int(x.State), x.Revision)
	}
	for _, id := range s.word {
		f.Write([]byte(id))
	}
	return f.Sum64()
}

// Through all orders of two holders' steps, records, reports, requests, cuts, silences and the
// platform's turns no server is replaced while a member holds a request there or sends there, and
// never two are out; each defect is found.
func TestAllOrdersOfAStep(t *testing.T) {
	for _, c := range []may{{requests: 1, holders: 1}, {holders: 2}, {requests: 1, silences: 1, holders: 1}, {requests: 1, cuts: 1, holders: 1}, {aborts: 1, holders: 1}} {
		most := 200_000 // more than there are
		if slow {
			most = 2_000
		}
		r := interleave.Search(newSmall(none, c), most)
		t.Logf("%+v: %v", c, r)
		if r.Err != nil || !r.Exhausted && !slow {
			t.Errorf("%+v: %v", c, r)
		}
	}
	if slow {
		return
	}
	for bad, c := range map[defect]may{
		assumed: {requests: 1, holders: 1}, oneIsAll: {requests: 1, holders: 1}, oldAck: {requests: 1, holders: 1}, noVersion: {holders: 2, stale: 1}, earlyWord: {aborts: 1, holders: 1},
		lateCount: {requests: 1, holders: 1}, deafAgent: {requests: 1, holders: 1}, forgetful: {requests: 1, holders: 1}, noOwnWord: {requests: 1, cuts: 1, holders: 1},
		newAtOnce: {requests: 1, holders: 1}, twoAtOnce: {holders: 1}, notRevived: {requests: 1, silences: 1, holders: 1},
	} {
		r := interleave.Search(newSmall(bad, c), 100_000)
		if r.Err == nil {
			t.Errorf("%s: not found: %v", bad, r)
			continue
		}
		t.Logf("%s: %v", bad, r)
		if err := interleave.Walk(newSmall(bad, c), r.Trace); err == nil {
			t.Errorf("%s: its trace does not replay", bad)
		}
	}
}
