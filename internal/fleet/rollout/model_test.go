package rollout

import (
	"fmt"
	"hash"
	"hash/fnv"
	"maps"
	"slices"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/interleave"
)

// defect is a deliberate error in the model, to verify that the model checker finds it.
type defect string

const (
	none                   defect = ""
	acksAssumed            defect = "acknowledgements are assumed"
	onlyReportersAwaited   defect = "only agents that have reported are awaited"
	staleAckAccepted       defect = "an acknowledgement of an older record is accepted"
	versionIgnored         defect = "a write is committed whatever record it was made on"
	handedOverBeforeCommit defect = "a server is handed to the platform before the record is committed"
	requestCountedLate     defect = "an agent counts a request after it has acknowledged a newer record"
	recordRevertedByAgent  defect = "an agent replaces a newer record by an older one"
	inFlightOutdated       defect = "a holder goes by the requests that an agent had in flight earlier"
	serverReportIgnored    defect = "a server's own report is not required"
	newServerAtFullShare   defect = "a new server has its full share before it was admitted"
	limitPerHolder         defect = "each holder counts by itself how many servers are drained"
	lostServerHandedOver   defect = "a lost server is handed over without the agents' acknowledgements"
)

// modelTime is the model's constant time: every step that may follow may follow immediately.
const modelTime = time.Hour

// model is a fleet of two servers and two agents during a rollout. Its steps are: one of two processes
// that both believe to hold the lease reconciles; a record reaches an agent; an agent sends a report, or
// the report arrives; a request begins or ends; the platform replaces a server; an agent is partitioned
// or loses its lease; a server is lost or comes back.
type model struct {
	defect         defect
	budget         budget
	records        []*Record // by version
	holderVersions [2]int    // the version that each holder knows
	reports        [2]Report // the last report that the holders have received from each agent
	agents         [2]modelAgent
	servers        []Server
	handedOver     []string // IDs of the servers that the platform is to replace
	violation      error    // of an invariant; nil if there is none
	aggregator     *ReportAggregator
	recordHashes   map[*Record]uint64
}

// budget is the number of holders, and how often each kind of event may happen in a run.
type budget struct{ requests, partitions, outages, aborts, holders, staleWrites int }

type modelAgent struct {
	appliedVersion int
	inFlight       map[string]int
	chosenServer   string  // server of a picked request that is not yet in inFlight; "" if there is none
	report         *Report // report in flight, or nil
	seq            uint64
	partitioned    bool
	member         bool
}

func modelSpec() Spec {
	spec := defaultSpec()
	spec.Service, spec.Model, spec.From, spec.To = "s", "m", 1, 2
	spec.Pace.GapSeconds, spec.Pace.SpreadSeconds, spec.Pace.StageSeconds, spec.Pace.FinishSeconds = 0, 0, 0, 0
	spec.Safety = Safety{UsableCapacity: 1, LiveSeconds: 15}
	spec.Judge.MinServerRequests = 0
	return spec
}

// passingAggregator returns an aggregator whose judge has compared enough requests to pass the new
// revision.
func passingAggregator(record *Record) *ReportAggregator {
	aggregator := NewReportAggregator(record)
	aggregator.Judge.comparisons[cohort{}] = &comparison{baseline: 1e6, canary: 1e6}
	return aggregator
}

func newModel(defect defect, budget budget) *model {
	spec := modelSpec()
	record, err := (&Record{}).Start(&spec)
	if err != nil {
		panic(err) // the test's own spec is invalid
	}
	m := &model{
		defect:       defect,
		budget:       budget,
		records:      []*Record{{}, record},
		aggregator:   passingAggregator(record),
		recordHashes: map[*Record]uint64{},
	}
	for i := range m.agents {
		m.agents[i] = modelAgent{inFlight: map[string]int{}, member: true}
		m.reports[i] = Report{Source: fmt.Sprint(i)}
	}
	for _, id := range []string{"a", "b"} {
		m.servers = append(m.servers, Server{ID: id, Addr: id, Region: "r", Zone: "z", Revision: 1, Capacity: 1, Healthy: true, InFlight: -1})
	}
	return m
}

func (m *model) latestVersion() int { return len(m.records) - 1 }

func (m *model) latest() *Record { return m.records[m.latestVersion()] }

func (m *model) server(id string) *Server {
	if i := slices.IndexFunc(m.servers, func(s Server) bool { return s.ID == id }); i >= 0 {
		return &m.servers[i]
	}
	return nil
}

// observation returns what a holder knows.
func (m *model) observation() *Observation {
	observation := &Observation{Reports: m.aggregator}
	for i, agent := range m.agents {
		report := m.reports[i]
		if !agent.member || m.defect == onlyReportersAwaited && report.AppliedVersion == 0 {
			continue
		}
		switch m.defect {
		case acksAssumed:
			report.AppliedVersion = 1 << 30
		case staleAckAccepted:
			report.AppliedVersion += 2
		}
		observation.Agents = append(observation.Agents, Agent{Source: report.Source, AppliedVersion: report.AppliedVersion, InFlight: report.InFlight})
	}
	for _, s := range m.servers {
		if m.defect != serverReportIgnored && m.defect != inFlightOutdated {
			s.InFlight = 0
			for _, agent := range m.agents {
				s.InFlight += agent.inFlight[s.ID]
			}
		}
		observation.Servers = append(observation.Servers, s)
	}
	return observation
}

// reconcile returns the record that a holder would write next, based on the one it knows, or nil.
func (m *model) reconcile(holder int) *Record {
	known := m.records[m.holderVersions[holder]]
	if !known.Active() {
		return nil
	}
	if m.defect == limitPerHolder {
		known = known.clone()
		known.Spec.Pace.AtOnce = 2
	}
	controller := NewController()
	controller.learningPeriod = 0
	next := controller.Reconcile(modelTime, known, m.observation())
	if next == nil {
		return nil
	}
	switch m.defect {
	case limitPerHolder:
		next.Spec.Pace.AtOnce = 1
	case lostServerHandedOver:
		m.handOverLostServers(next)
	}
	return next
}

func (m *model) handOverLostServers(next *Record) {
	for i, d := range next.Draining {
		if s := m.server(d.ID); s != nil && s.State == registry.Expired && d.Step < DrainReplacing {
			next.Draining[i].Step = DrainReplacing
		}
	}
}

// commit stores a record if it is based on the latest one. known is the version that it is based on.
func (m *model) commit(next *Record, known int) {
	if known != m.latestVersion() {
		if m.defect != versionIgnored || m.budget.staleWrites == 0 {
			return
		}
		m.budget.staleWrites--
		next.Version = uint64(len(m.records))
	}
	if err := m.checkCommit(next); err != nil {
		m.violation = err
	}
	m.records = append(m.records, next)
}

// checkCommit returns an error if a record breaks an invariant.
func (m *model) checkCommit(next *Record) error {
	if err := next.Validate(); err != nil {
		return err
	}
	if next.Version != uint64(len(m.records)) {
		return fmt.Errorf("version %d follows version %d", next.Version, m.latestVersion())
	}
	for _, d := range m.latest().Draining {
		later := next.draining(d.ID)
		if d.Step == DrainReplacing && m.server(d.ID).State != registry.Deregistered && (later == nil || later.Step != DrainReplacing) {
			return fmt.Errorf("%s was handed over, but returns to service", d.ID)
		}
	}
	if n := len(next.Draining) + len(next.Ramping); n > next.Spec.Pace.AtOnce && next.Phase == PhaseForward {
		return fmt.Errorf("%d servers are below their full share", n)
	}
	return nil
}

// handOver has the platform learn which servers a record hands over.
func (m *model) handOver(r *Record) {
	for _, d := range r.Draining {
		if d.Step == DrainReplacing && !slices.Contains(m.handedOver, d.ID) {
			m.handedOver = append(m.handedOver, d.ID)
		}
	}
}

// steps returns all steps that are possible next. A trace identifies them by their order.
func (m *model) steps() (steps []func()) {
	for holder := range m.budget.holders {
		steps = append(steps, m.holderSteps(holder)...)
	}
	if m.budget.aborts > 0 && m.latest().Phase == PhaseForward {
		steps = append(steps, m.abort)
	}
	for i := range m.agents {
		agent := &m.agents[i]
		steps = append(steps, m.recordSteps(agent)...)
		steps = append(steps, m.reportSteps(i, agent)...)
		steps = append(steps, m.requestSteps(agent)...)
		steps = append(steps, m.partitionSteps(agent)...)
	}
	return append(steps, m.platformSteps()...)
}

func (m *model) abort() {
	m.budget.aborts--
	next, _ := m.latest().Abort(1, "")
	m.commit(next, m.latestVersion())
}

// holderSteps returns the steps in which a holder reconciles or reads the latest record.
func (m *model) holderSteps(holder int) (steps []func()) {
	known := m.holderVersions[holder]
	if next := m.reconcile(holder); next != nil {
		steps = append(steps, func() {
			if m.defect == handedOverBeforeCommit {
				m.handOver(next)
			}
			m.commit(next, known)
			if known == m.latestVersion()-1 {
				m.holderVersions[holder] = m.latestVersion()
			}
		})
	}
	if known < m.latestVersion() {
		steps = append(steps, func() { m.holderVersions[holder] = m.latestVersion() })
	}
	return steps
}

// recordSteps returns the steps in which an agent applies a record.
func (m *model) recordSteps(agent *modelAgent) (steps []func()) {
	if agent.appliedVersion < m.latestVersion() && !agent.partitioned && agent.chosenServer == "" {
		steps = append(steps, func() { agent.appliedVersion = m.latestVersion() })
	}
	if m.defect == recordRevertedByAgent && agent.appliedVersion > 1 && !agent.partitioned {
		steps = append(steps, func() { agent.appliedVersion = 1 })
	}
	return steps
}

// reportSteps returns the steps in which an agent sends a report or the holders receive it.
func (m *model) reportSteps(i int, agent *modelAgent) (steps []func()) {
	send := func() {
		agent.seq++
		agent.report = &Report{Source: fmt.Sprint(i), Seq: agent.seq, AppliedVersion: uint64(agent.appliedVersion), InFlight: maps.Clone(agent.inFlight)}
	}
	known := &m.reports[i]
	hasChanged := known.AppliedVersion != uint64(agent.appliedVersion) || !maps.Equal(known.InFlight, agent.inFlight)
	if agent.report == nil && !agent.partitioned && agent.chosenServer == "" && hasChanged {
		steps = append(steps, send)
	}
	if m.defect == requestCountedLate && agent.chosenServer != "" && agent.report == nil {
		steps = append(steps, func() {
			agent.appliedVersion = m.latestVersion()
			send()
		})
	}
	if agent.report == nil {
		return steps
	}
	return append(steps, func() {
		received := *agent.report
		agent.report = nil
		if m.defect == inFlightOutdated {
			received.InFlight = known.InFlight
		}
		*known = received
	})
}

// requestSteps returns the steps in which an agent begins or ends a request.
func (m *model) requestSteps(agent *modelAgent) (steps []func()) {
	if agent.chosenServer != "" {
		steps = append(steps, func() { m.startRequest(agent) })
	} else if m.budget.requests > 0 {
		steps = m.pickSteps(agent)
	}
	for id, n := range agent.inFlight {
		if n > 0 {
			steps = append(steps, func() {
				if agent.inFlight[id]--; agent.inFlight[id] == 0 {
					delete(agent.inFlight, id)
				}
			})
		}
	}
	return steps
}

// pickSteps returns the steps in which an agent picks a server: one for each that its rules allow.
func (m *model) pickSteps(agent *modelAgent) (steps []func()) {
	record := m.records[agent.appliedVersion]
	rules := record.Rules()
	for _, s := range m.servers {
		allowed := rules.Share(s.ID, s.Addr, s.Revision) > 0
		if s.State != registry.Ready || !allowed && !(m.defect == newServerAtFullShare && s.Revision == 2) {
			continue
		}
		steps = append(steps, func() {
			m.budget.requests--
			if s.Revision == 2 && record.Phase == PhaseForward && !allowed {
				m.violation = fmt.Errorf("%s gets requests before it was admitted", s.ID)
			}
			agent.chosenServer = s.ID
			if m.defect != requestCountedLate {
				m.startRequest(agent)
			}
		})
	}
	return steps
}

// startRequest runs an agent's request at the chosen server.
func (m *model) startRequest(agent *modelAgent) {
	id := agent.chosenServer
	agent.chosenServer = ""
	if m.server(id).State == registry.Deregistered {
		return // the request is rejected without having run
	}
	agent.inFlight[id]++
}

// partitionSteps returns the steps in which an agent is partitioned and then loses its lease.
func (m *model) partitionSteps(agent *modelAgent) (steps []func()) {
	if m.budget.partitions > 0 && !agent.partitioned {
		steps = append(steps, func() { m.budget.partitions--; agent.partitioned = true })
	}
	if agent.partitioned && agent.member {
		steps = append(steps, func() { agent.member = false; agent.report = nil })
	}
	return steps
}

// platformSteps returns the steps in which the platform replaces a server that was handed over, or a
// draining server is lost or comes back.
func (m *model) platformSteps() (steps []func()) {
	if m.defect != handedOverBeforeCommit {
		m.handOver(m.latest())
	}
	for _, id := range m.handedOver {
		if s := m.server(id); s != nil && s.State != registry.Deregistered {
			steps = append(steps, func() { m.replace(s) })
		}
	}
	for i := range m.servers {
		s := &m.servers[i]
		if m.budget.outages > 0 && s.State == registry.Ready && m.latest().draining(s.ID) != nil {
			steps = append(steps, func() { m.budget.outages--; s.State = registry.Expired })
		}
		if s.State == registry.Expired {
			steps = append(steps, func() { s.State = registry.Ready })
		}
	}
	return steps
}

// replace lets the platform replace a server.
func (m *model) replace(s *Server) {
	if err := m.checkReplacement(s); err != nil {
		m.violation = err
	}
	s.State = registry.Deregistered
	next := *s
	next.ID, next.State, next.Revision = s.ID+"'", registry.Ready, m.latest().targetRevision()
	m.servers = append(m.servers, next)
}

// checkReplacement returns an error if a request of a member runs at the replaced server or may be sent
// there, or if no other server serves.
func (m *model) checkReplacement(s *Server) (violation error) {
	for i, agent := range m.agents {
		if !agent.member && m.defect == none {
			continue // the server's own report covers agents that have just lost their lease
		}
		if agent.inFlight[s.ID] > 0 {
			violation = fmt.Errorf("%s is replaced while agent %d has a request in flight there", s.ID, i)
		}
		if rules := m.records[agent.appliedVersion].Rules(); agent.member && !agent.partitioned && rules.Share(s.ID, s.Addr, s.Revision) > 0 {
			violation = fmt.Errorf("%s is replaced while agent %d sends there", s.ID, i)
		}
	}
	rules := m.latest().Rules()
	serves := func(other Server) bool {
		return other.ID != s.ID && other.State == registry.Ready && rules.Share(other.ID, other.Addr, other.Revision) > 0
	}
	if !slices.ContainsFunc(m.servers, serves) && m.budget.outages == 0 {
		violation = fmt.Errorf("%s is replaced while no other server serves", s.ID)
	}
	return violation
}

// Steps returns the number of steps that are possible next.
func (m *model) Steps() int { return len(m.steps()) }

// Do takes a step and checks the invariants.
func (m *model) Do(i int) error {
	m.steps()[i]()
	return m.violation
}

// Clone returns a copy that shares nothing that changes.
func (m *model) Clone() *model {
	c := *m
	c.records, c.servers, c.handedOver = slices.Clone(m.records), slices.Clone(m.servers), slices.Clone(m.handedOver)
	for i := range c.agents {
		c.agents[i].inFlight = maps.Clone(m.agents[i].inFlight)
	}
	return &c
}

// recordHash returns a hash of what matters of a version's record.
func (m *model) recordHash(version int) uint64 {
	r := m.records[version]
	if hash, ok := m.recordHashes[r]; ok {
		return hash
	}
	f := fnv.New64a()
	fmt.Fprint(f, r.Version, r.Phase, r.Initialized, r.FullShare)
	for _, d := range r.Draining {
		fmt.Fprint(f, " ", d.ID, d.Step, d.Since)
	}
	for _, s := range r.Ramping {
		fmt.Fprint(f, " ", s.ID, s.Step, s.Since)
	}
	m.recordHashes[r] = f.Sum64()
	return m.recordHashes[r]
}

// stateHash hashes the state of a model.
type stateHash struct {
	model *model
	sum   hash.Hash64
}

func (h stateHash) put(values ...int) {
	for _, value := range values {
		var raw [8]byte
		for i := range raw {
			raw[i] = byte(value >> (8 * i))
		}
		h.sum.Write(raw[:])
	}
}

// putVersion adds a version and its record to the hash.
func (h stateHash) putVersion(version int) { h.put(version, int(h.model.recordHash(version))) }

func (h stateHash) putInFlight(inFlight map[string]int) {
	for _, s := range h.model.servers {
		h.put(inFlight[s.ID])
	}
}

func (h stateHash) putAgent(i int) {
	agent, report := &h.model.agents[i], &h.model.reports[i]
	h.put('a')
	h.putVersion(agent.appliedVersion)
	h.put(int(report.AppliedVersion))
	h.putInFlight(agent.inFlight)
	h.putInFlight(report.InFlight)
	if agent.report != nil {
		h.put('m', int(agent.report.AppliedVersion))
		h.putInFlight(agent.report.InFlight)
	}
	if agent.partitioned {
		h.put('c')
	}
	if agent.member {
		h.put('l')
	}
	h.sum.Write([]byte(agent.chosenServer))
}

// Hash returns a hash that is equal for states with the same possible futures.
func (m *model) Hash() uint64 {
	h := stateHash{m, fnv.New64a()}
	h.put(m.budget.requests, m.budget.partitions, m.budget.outages, m.budget.aborts, m.budget.staleWrites)
	h.putVersion(m.latestVersion())
	for i := range m.agents {
		h.putAgent(i)
	}
	for _, version := range m.holderVersions[:m.budget.holders] {
		h.put('h')
		h.putVersion(version)
	}
	for _, s := range m.servers {
		h.sum.Write([]byte(s.ID))
		h.put(int(s.State), s.Revision)
	}
	for _, id := range m.handedOver {
		h.sum.Write([]byte(id))
	}
	return h.sum.Sum64()
}

// Searches all interleavings of two holders' steps, records, reports, requests, partitions, outages and
// replacements. No server may be replaced while a member has a request in flight there or sends requests
// there, and no more servers than allowed may be below their full share.
func TestAllInterleavings(t *testing.T) {
	maxSchedules := 200_000 // more than any of the budgets allows
	if raceEnabled {
		maxSchedules = 2_000
	}
	for _, budget := range []budget{
		{requests: 1, holders: 1},
		{holders: 2},
		{requests: 1, outages: 1, holders: 1},
		{requests: 1, partitions: 1, holders: 1},
		{aborts: 1, holders: 1},
	} {
		t.Run(fmt.Sprintf("%+v", budget), func(t *testing.T) {
			result := interleave.Search(newModel(none, budget), maxSchedules)
			t.Log(result)
			if result.Err != nil || !result.Exhausted && !raceEnabled {
				t.Error(result)
			}
		})
	}
}

// With each of the defects an invariant breaks, and the model checker finds a trace that breaks it.
func TestModelCheckerFindsEachDefect(t *testing.T) {
	if raceEnabled {
		t.Skip("slow under the race detector, and has only one goroutine")
	}
	const maxSchedules = 100_000
	for defect, budget := range map[defect]budget{
		acksAssumed:            {requests: 1, holders: 1},
		onlyReportersAwaited:   {requests: 1, holders: 1},
		staleAckAccepted:       {requests: 1, holders: 1},
		versionIgnored:         {holders: 2, staleWrites: 1},
		handedOverBeforeCommit: {aborts: 1, holders: 1},
		requestCountedLate:     {requests: 1, holders: 1},
		recordRevertedByAgent:  {requests: 1, holders: 1},
		inFlightOutdated:       {requests: 1, holders: 1},
		serverReportIgnored:    {requests: 1, partitions: 1, holders: 1},
		newServerAtFullShare:   {requests: 1, holders: 1},
		limitPerHolder:         {holders: 1},
		lostServerHandedOver:   {requests: 1, outages: 1, holders: 1},
	} {
		t.Run(string(defect), func(t *testing.T) {
			result := interleave.Search(newModel(defect, budget), maxSchedules)
			if result.Err == nil {
				t.Fatalf("no violation found: %v", result)
			}
			t.Log(result)
			if err := interleave.Walk(newModel(defect, budget), result.Trace); err == nil {
				t.Error("replaying its trace breaks no invariant")
			}
		})
	}
}
