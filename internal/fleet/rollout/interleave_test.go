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
	none                   defect = ""
	acksAssumed            defect = "acknowledgements are assumed"
	onlyReportersAwaited   defect = "only agents that reported are waited for"
	staleAckAccepted       defect = "an acknowledgement of an older record is enough"
	versionIgnored         defect = "a write is kept whatever record it is on"
	handedOverBeforeCommit defect = "the platform is told before the record is kept"
	requestCountedLate     defect = "an agent counts a request after it told that it obeys"
	recordRevertedByAgent  defect = "an agent takes an older record in place of a newer one"
	inFlightOutdated       defect = "a holder goes by what an agent held earlier"
	serverReportIgnored    defect = "a server's own word is not asked for"
	newServerAtFullShare   defect = "a new server has its whole share before it was taken in"
	limitPerHolder         defect = "each holder counts for itself what is out"
	lostServerHandedOver   defect = "a server that fell silent is handed over without its acknowledgements"
)

// model is a fleet of two servers and two agents while it is moved, at every moment that matters:
// two processes that both believe to hold the duty step, records come to agents, agents report,
// requests begin and end, the platform replaces, an agent is cut off and loses its lease, a server
// falls silent and comes back. Times to wait are none, so whatever may be next may be at once.
type model struct {
	defect         defect
	budget         budget
	records        []*Record // by version
	holderVersions [2]int    // the version that each knows
	reports        [2]Report // as the holders have them; the Seq says which is newer
	agents         [2]modelAgent
	servers        []modelServer
	handedOver     []string // servers that the platform was told of
	violation      error
	aggregator     *ReportAggregator // of nobody's reports: it is the same for all
	recordHashes   map[*Record]uint64
}

// budget is what may happen in a run.
type budget struct{ requests, partitions, outages, aborts, holders, staleWrites int }

type modelAgent struct {
	appliedVersion int // version
	inFlight       map[string]int
	chosen         string // chosen, and not counted yet
	report         *Report
	seq            uint64
	partitioned    bool
	member         bool
}

type modelServer struct {
	Server
}

const modelTime = time.Hour

func newModel(defect defect, budget budget) *model {
	s := &model{defect: defect, budget: budget}
	spec := defaultSpec()
	spec.Service, spec.Model, spec.From, spec.To = "s", "m", 1, 2
	spec.Pace.GapSeconds, spec.Pace.SpreadSeconds, spec.Pace.StageSeconds, spec.Pace.FinishSeconds = 0, 0, 0, 0
	spec.Safety = Safety{UsableCapacity: 1, LiveSeconds: 15}
	spec.Judge.MinServerRequests = 0
	rec, err := (&Record{}).Start(&spec)
	if err != nil {
		panic(err) // of this test's own making
	}
	s.records = []*Record{{}, rec}
	s.aggregator, s.recordHashes = NewReportAggregator(rec), map[*Record]uint64{}
	s.aggregator.Judge.comparisons[cohort{}] = &comparison{baseline: 1e6, canary: 1e6}
	for i := range s.agents {
		s.agents[i] = modelAgent{inFlight: map[string]int{}, member: true}
		s.reports[i] = Report{Source: fmt.Sprint(i)}
	}
	for _, id := range []string{"a", "b"} {
		s.servers = append(s.servers, modelServer{Server: Server{ID: id, Addr: id, Region: "r", Zone: "z", Revision: 1, Capacity: 1, Healthy: true, InFlight: -1}})
	}
	return s
}

func (s *model) latest() *Record { return s.records[len(s.records)-1] }

// reconcile is a holder's turn on the record that it knows.
func (s *model) reconcile(holder int) (*Record, int) {
	known := s.records[s.holderVersions[holder]]
	if !known.Active() {
		return nil, 0
	}
	f := &Observation{Reports: s.aggregator}
	for i, a := range s.agents {
		if !a.member || s.defect == onlyReportersAwaited && s.reports[i].AppliedVersion == 0 {
			continue
		}
		r := s.reports[i]
		if s.defect == acksAssumed {
			r.AppliedVersion = 1 << 30
		}
		if s.defect == staleAckAccepted {
			r.AppliedVersion += 2
		}
		f.Agents = append(f.Agents, Agent{Source: r.Source, AppliedVersion: r.AppliedVersion, InFlight: r.InFlight})
	}
	for _, server := range s.servers {
		v := server.Server
		if s.defect != serverReportIgnored && s.defect != inFlightOutdated {
			v.InFlight = 0
			for _, a := range s.agents {
				v.InFlight += a.inFlight[v.ID]
			}
		}
		f.Servers = append(f.Servers, v)
	}
	if s.defect == limitPerHolder {
		known = known.clone()
		known.Spec.Pace.AtOnce = 2
	}
	m := NewController()
	m.learningPeriod = 0
	next := m.Reconcile(modelTime, known, f)
	if next != nil && s.defect == limitPerHolder {
		next.Spec.Pace.AtOnce = 1
	}
	if next != nil && s.defect == lostServerHandedOver {
		for i, l := range next.Draining {
			if v := s.server(l.ID); v != nil && v.State == registry.Expired && l.Step < DrainReplacing {
				next.Draining[i].Step = DrainReplacing
			}
		}
	}
	return next, s.holderVersions[holder]
}

func (s *model) server(id string) *modelServer {
	for i := range s.servers {
		if s.servers[i].ID == id {
			return &s.servers[i]
		}
	}
	return nil
}

// commit keeps a record if it is the next one.
func (s *model) commit(next *Record, known int) {
	if known != len(s.records)-1 {
		if s.defect != versionIgnored || s.budget.staleWrites == 0 {
			return
		}
		s.budget.staleWrites--
		next.Version = uint64(len(s.records))
	}
	if err := next.Validate(); err != nil {
		s.violation = err
	}
	if next.Version != uint64(len(s.records)) {
		s.violation = fmt.Errorf("version %d follows on %d", next.Version, len(s.records)-1)
	}
	for _, l := range s.latest().Draining {
		x := s.server(l.ID)
		if l.Step == DrainReplacing && x.State != registry.Deregistered && (next.draining(l.ID) == nil || next.draining(l.ID).Step != DrainReplacing) {
			s.violation = fmt.Errorf("%s was handed over, and is taken back", l.ID)
		}
	}
	s.records = append(s.records, next)
	if n := len(next.Draining) + len(next.Ramping); n > next.Spec.Pace.AtOnce && next.Phase == PhaseForward {
		s.violation = fmt.Errorf("%d servers are out", n)
	}
}

// handOver has the platform know of the servers that a record hands over.
func (s *model) handOver(r *Record) {
	for _, l := range r.Draining {
		if l.Step == DrainReplacing && !slices.Contains(s.handedOver, l.ID) {
			s.handedOver = append(s.handedOver, l.ID)
		}
	}
}

func (s *model) steps() (steps []func()) {
	do := func(fn func()) { steps = append(steps, fn) }
	for holder := range s.budget.holders {
		if next, on := s.reconcile(holder); next != nil {
			do(func() {
				if s.defect == handedOverBeforeCommit {
					s.handOver(next)
				}
				s.commit(next, on)
				if on == len(s.records)-2 {
					s.holderVersions[holder] = len(s.records) - 1
				}
			})
		}
		if s.holderVersions[holder] < len(s.records)-1 {
			do(func() { s.holderVersions[holder] = len(s.records) - 1 })
		}
	}
	if s.budget.aborts > 0 && s.latest().Phase == PhaseForward {
		do(func() {
			s.budget.aborts--
			next, _ := s.latest().Abort(1, "")
			s.commit(next, len(s.records)-1)
		})
	}
	for i := range s.agents {
		agent := &s.agents[i]
		if agent.appliedVersion < len(s.records)-1 && !agent.partitioned && agent.chosen == "" {
			do(func() { agent.appliedVersion = len(s.records) - 1 })
		}
		if s.defect == recordRevertedByAgent && agent.appliedVersion > 1 && !agent.partitioned {
			do(func() { agent.appliedVersion = 1 })
		}
		if agent.report == nil && !agent.partitioned && agent.chosen == "" && (s.reports[i].AppliedVersion != uint64(agent.appliedVersion) || !maps.Equal(s.reports[i].InFlight, agent.inFlight)) {
			do(func() {
				agent.seq++
				agent.report = &Report{Source: fmt.Sprint(i), Seq: agent.seq, AppliedVersion: uint64(agent.appliedVersion), InFlight: maps.Clone(agent.inFlight)}
			})
		}
		if s.defect == requestCountedLate && agent.chosen != "" && agent.report == nil {
			do(func() { // it tells of the newest record while a request is chosen by an older one
				agent.seq++
				agent.appliedVersion = len(s.records) - 1
				agent.report = &Report{Source: fmt.Sprint(i), Seq: agent.seq, AppliedVersion: uint64(agent.appliedVersion), InFlight: maps.Clone(agent.inFlight)}
			})
		}
		if agent.report != nil {
			do(func() {
				r := agent.report
				agent.report = nil
				if s.defect == inFlightOutdated {
					held := s.reports[i].InFlight
					s.reports[i] = *r
					s.reports[i].InFlight = held
					return
				}
				s.reports[i] = *r
			})
		}
		if agent.chosen != "" {
			do(func() { s.startRequest(agent) })
		} else if s.budget.requests > 0 {
			rules := s.records[agent.appliedVersion].Rules()
			for _, server := range s.servers {
				share := rules.Share(server.ID, server.Addr, server.Revision)
				if s.defect == newServerAtFullShare && server.Revision == 2 {
					share = 1
				}
				if server.State == registry.Ready && share > 0 {
					do(func() {
						s.budget.requests--
						if server.Revision == 2 && s.records[agent.appliedVersion].Phase == PhaseForward && rules.Share(server.ID, server.Addr, server.Revision) == 0 {
							s.violation = fmt.Errorf("%s gets requests before it was taken in", server.ID)
						}
						agent.chosen = server.ID
						if s.defect != requestCountedLate {
							s.startRequest(agent)
						}
					})
				}
			}
		}
		for id, n := range agent.inFlight {
			if n > 0 {
				do(func() {
					if agent.inFlight[id]--; agent.inFlight[id] == 0 {
						delete(agent.inFlight, id)
					}
				})
			}
		}
		if s.budget.partitions > 0 && !agent.partitioned {
			do(func() { s.budget.partitions--; agent.partitioned = true })
		}
		if agent.partitioned && agent.member {
			do(func() { agent.member = false; agent.report = nil })
		}
	}
	if s.defect != handedOverBeforeCommit {
		s.handOver(s.latest())
	}
	for _, id := range s.handedOver {
		server := s.server(id)
		if server == nil || server.State == registry.Deregistered {
			continue
		}
		do(func() { s.replace(server) })
	}
	for i := range s.servers {
		server := &s.servers[i]
		if s.budget.outages > 0 && server.State == registry.Ready && s.latest().draining(server.ID) != nil {
			do(func() { s.budget.outages--; server.State = registry.Expired })
		}
		if server.State == registry.Expired {
			do(func() { server.State = registry.Ready })
		}
	}
	return steps
}

// startRequest has an agent's chosen request run.
func (s *model) startRequest(a *modelAgent) {
	id := a.chosen
	a.chosen = ""
	if server := s.server(id); server.State == registry.Deregistered {
		return // turned away: it has not run
	}
	a.inFlight[id]++
}

// replace is the platform's turn: the invariant is that nothing of a member runs there, nor will.
func (s *model) replace(server *modelServer) {
	for i, a := range s.agents {
		if !a.member && s.defect == none {
			continue // it may have lost its lease only lately: the server's own word counts for it
		}
		if a.inFlight[server.ID] > 0 {
			s.violation = fmt.Errorf("%s is replaced while agent %d holds a request there", server.ID, i)
		}
		if rules := s.records[a.appliedVersion].Rules(); a.member && !a.partitioned && rules.Share(server.ID, server.Addr, server.Revision) > 0 {
			s.violation = fmt.Errorf("%s is replaced while agent %d sends there", server.ID, i)
		}
	}
	serving := 0
	for _, other := range s.servers {
		if other.ID != server.ID && other.State == registry.Ready && s.latest().Rules().Share(other.ID, other.Addr, other.Revision) > 0 {
			serving++
		}
	}
	if serving == 0 && s.budget.outages == 0 {
		s.violation = fmt.Errorf("%s is replaced, and nobody else serves", server.ID)
	}
	server.State = registry.Deregistered
	next := server.Server
	next.ID, next.State, next.Revision = server.ID+"'", registry.Ready, s.latest().targetRevision()
	s.servers = append(s.servers, modelServer{Server: next})
}

func (s *model) Steps() int { return len(s.steps()) }

func (s *model) Do(i int) error {
	s.steps()[i]()
	return s.violation
}

func (s *model) Clone() *model {
	c := *s
	c.records, c.servers, c.handedOver = slices.Clone(s.records), slices.Clone(s.servers), slices.Clone(s.handedOver)
	for i := range c.agents {
		c.agents[i].inFlight = maps.Clone(s.agents[i].inFlight)
	}
	return &c
}

// recordHash is of a record's content.
func (s *model) recordHash(version int) uint64 {
	r := s.records[version]
	if h, ok := s.recordHashes[r]; ok {
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
	s.recordHashes[r] = f.Sum64()
	return s.recordHashes[r]
}

func (s *model) Hash() uint64 {
	f := fnv.New64a()
	put := func(xs ...int) {
		for _, server := range xs {
			f.Write([]byte{byte(server), byte(server >> 8), byte(server >> 16), byte(server >> 24), byte(server >> 32), byte(server >> 40), byte(server >> 48), byte(server >> 56)})
		}
	}
	holds := func(held map[string]int) {
		for _, server := range s.servers {
			put(held[server.ID])
		}
	}
	put(s.budget.requests, s.budget.partitions, s.budget.outages, s.budget.aborts, s.budget.staleWrites, len(s.records), int(s.recordHash(len(s.records)-1)))
	for i, agent := range s.agents {
		put('a', agent.appliedVersion, int(s.recordHash(agent.appliedVersion)), int(s.reports[i].AppliedVersion))
		holds(agent.inFlight)
		holds(s.reports[i].InFlight)
		if agent.report != nil {
			put('m', int(agent.report.AppliedVersion))
			holds(agent.report.InFlight)
		}
		if agent.partitioned {
			put('c')
		}
		if agent.member {
			put('l')
		}
		f.Write([]byte(agent.chosen))
	}
	for h := range s.budget.holders {
		put('h', s.holderVersions[h], int(s.recordHash(s.holderVersions[h])))
	}
	for _, server := range s.servers {
		f.Write([]byte(server.ID))
		put(int(server.State), server.Revision)
	}
	for _, id := range s.handedOver {
		f.Write([]byte(id))
	}
	return f.Sum64()
}

// Through all orders of two holders' steps, records, reports, requests, cuts, silences and the
// platform's turns no server is replaced while a member holds a request there or sends there, and
// never two are out; each defect is found.
func TestAllInterleavings(t *testing.T) {
	for _, budget := range []budget{{requests: 1, holders: 1}, {holders: 2}, {requests: 1, outages: 1, holders: 1}, {requests: 1, partitions: 1, holders: 1}, {aborts: 1, holders: 1}} {
		most := 200_000 // more than there are
		if raceEnabled {
			most = 2_000
		}
		r := interleave.Search(newModel(none, budget), most)
		t.Logf("%+v: %v", budget, r)
		if r.Err != nil || !r.Exhausted && !raceEnabled {
			t.Errorf("%+v: %v", budget, r)
		}
	}
	if raceEnabled {
		return
	}
	for defect, budget := range map[defect]budget{
		acksAssumed: {requests: 1, holders: 1}, onlyReportersAwaited: {requests: 1, holders: 1}, staleAckAccepted: {requests: 1, holders: 1}, versionIgnored: {holders: 2, staleWrites: 1}, handedOverBeforeCommit: {aborts: 1, holders: 1},
		requestCountedLate: {requests: 1, holders: 1}, recordRevertedByAgent: {requests: 1, holders: 1}, inFlightOutdated: {requests: 1, holders: 1}, serverReportIgnored: {requests: 1, partitions: 1, holders: 1},
		newServerAtFullShare: {requests: 1, holders: 1}, limitPerHolder: {holders: 1}, lostServerHandedOver: {requests: 1, outages: 1, holders: 1},
	} {
		r := interleave.Search(newModel(defect, budget), 100_000)
		if r.Err == nil {
			t.Errorf("%s: not found: %v", defect, r)
			continue
		}
		t.Logf("%s: %v", defect, r)
		if err := interleave.Walk(newModel(defect, budget), r.Trace); err == nil {
			t.Errorf("%s: its trace does not replay", defect)
		}
	}
}
