package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

const (
	// defaultLearningPeriod is for how long a new holder only listens: it does not know yet which
	// server holds which group.
	defaultLearningPeriod = 30 * time.Second
	// maxAvoided bounds the servers that are not drained again at once.
	maxAvoided = 1024
	// minAvoidTime is the least time for which a server that was returned to service is avoided.
	minAvoidTime = 10 * time.Second
	// maxLaggingNamed is how many agents are named that delay a step.
	maxLaggingNamed = 3
)

// Server is what the lease holder knows of one server of the rollout's service.
type Server struct {
	ID, Addr, Zone, Region string
	State                  registry.State
	Revision               int     // of the rollout's model; negative: it does not hold the model
	Capacity               float64 // in units common to all servers, such as slots
	Utilization            float64 // part of Capacity in use
	InFlight               int     // requests by its own newest report; negative: none since it was closed
	Healthy                bool    // agents forward requests to it
}

// unreplaced reports whether the server holds a known revision other than the target.
func (s *Server) unreplaced(target int) bool { return s.Revision >= 0 && s.Revision != target }

// Observation is what the lease holder knows at a moment.
type Observation struct {
	Servers     []Server // of the service, with those that are draining or have recently been lost
	Agents      []Agent  // the members, with those that have reported nothing
	Reports     *ReportAggregator
	ConfigError error // what of the spec contradicts the configuration in force
}

// stepKey is a server at a step of its drain or ramp.
type stepKey struct{ server, step string }

// Controller takes a rollout's steps, at the lease holder. Beside the record it only knows since
// when it has observed what: a new holder waits at least as long. It is not safe for concurrent use.
type Controller struct {
	number          uint64
	phase           Phase
	startedAt       time.Duration // of this holder's part in the phase
	replacedAtStart int
	stepSeenAt      map[stepKey]time.Duration
	stepBaseline    map[stepKey]Counts       // of the server's requests when the step was first seen
	avoidUntil      map[string]time.Duration // by server: when it may be drained
	lastDrainAt     time.Duration
	paused          bool               // as of the last record
	regionLoad      map[string]float64 // the recent maximum, in units of capacity
	regionLoadAt    time.Duration
	waitReasons     []string
	worstShortage   Shortage
	verdict         Verdict
	learningPeriod  time.Duration
}

// NewController returns the controller of a new lease holder.
func NewController() *Controller {
	return &Controller{
		learningPeriod: defaultLearningPeriod,
		stepSeenAt:     map[stepKey]time.Duration{},
		stepBaseline:   map[stepKey]Counts{},
		avoidUntil:     map[string]time.Duration{},
		regionLoad:     map[string]float64{},
	}
}

// Reconcile returns the record to write on top of this one, by compare-and-set, or nil if nothing
// changes. It is called about once a second, and whenever a report has changed. A step is
// taken once its record is committed.
func (c *Controller) Reconcile(now time.Duration, record *Record, observation *Observation) *Record {
	c.resetForPhase(now, record)
	c.waitReasons, c.worstShortage = c.waitReasons[:0], Shortage{}
	reports := observation.Reports
	if !record.Active() || reports == nil || reports.Rollout != record.Number {
		return nil
	}
	reports.pruneServerCounts(record)
	if c.paused && !record.Paused {
		reports.Judge = NewJudge() // the operator disagrees with the last verdict
	}
	c.paused = record.Paused
	c.verdict = reports.Judge.Verdict(&record.Spec.Judge)
	r := newReconciliation(c, now, record, observation)
	r.run()
	c.forgetFinishedSteps(record)
	if !r.changed {
		return nil
	}
	return r.record
}

// resetForPhase starts anew in a phase that the controller has not seen.
func (c *Controller) resetForPhase(now time.Duration, record *Record) {
	if c.number == record.Number && c.phase == record.Phase {
		return
	}
	fresh := NewController()
	fresh.number, fresh.phase = record.Number, record.Phase
	fresh.startedAt, fresh.replacedAtStart = now, record.Replaced
	fresh.paused, fresh.learningPeriod = record.Paused, c.learningPeriod
	*c = *fresh
}

// forgetFinishedSteps drops what is known of steps that are over.
func (c *Controller) forgetFinishedSteps(record *Record) {
	current := map[stepKey]bool{}
	for _, d := range record.Draining {
		current[stepKey{d.ID, d.Step.String()}] = true
	}
	for _, s := range record.Ramping {
		current[stepKey{s.ID, s.Step.String()}] = true
	}
	for key := range c.stepSeenAt {
		if !current[key] {
			delete(c.stepSeenAt, key)
			delete(c.stepBaseline, key)
		}
	}
}

// reconciliation is one call of Reconcile.
type reconciliation struct {
	*Controller
	now         time.Duration
	record      *Record // the next one
	observation *Observation
	servers     map[string]*Server // by ID
	changed     bool               // record differs from the one before it
	// Derived from record; nil after a change.
	replicas map[string]serverReplica
	rules    *RoutingRules
}

func newReconciliation(c *Controller, now time.Duration, record *Record, observation *Observation) *reconciliation {
	r := &reconciliation{
		Controller:  c,
		now:         now,
		record:      record.nextVersion(),
		observation: observation,
		servers:     make(map[string]*Server, len(observation.Servers)),
	}
	for i := range observation.Servers {
		s := &observation.Servers[i]
		r.servers[s.ID] = s
	}
	return r
}

// run takes all steps that are due. The order matters: what is admitted or returned to service
// counts against the limit before another server is drained.
func (r *reconciliation) run() {
	r.updateRegionLoad()
	r.initializePhase()
	r.applyVerdict()
	r.advanceDraining()
	r.admitNewServers()
	r.advanceRamping()
	r.drainNextServer()
	r.finishIfComplete()
	r.pruneFullShare()
}

// markChanged notes that the record differs: what was derived from it is void.
func (r *reconciliation) markChanged() { r.changed, r.replicas, r.rules = true, nil, nil }

// share is the part of its requests that the server gets by the record.
func (r *reconciliation) share(s *Server) float64 {
	if r.rules == nil {
		r.rules = r.record.Rules()
	}
	return r.rules.Share(s.ID, s.Addr, s.Revision)
}

// stepSince is when a server was first seen at a step.
func (r *reconciliation) stepSince(id, step string) time.Duration {
	key := stepKey{id, step}
	if _, ok := r.stepSeenAt[key]; !ok {
		r.stepSeenAt[key] = r.now
		if counts := r.observation.Reports.serverCounts[id]; counts != nil {
			r.stepBaseline[key] = *counts
		}
	}
	return r.stepSeenAt[key]
}

// avoidServer keeps a server from being drained for some time.
func (r *reconciliation) avoidServer(id string, d time.Duration) {
	if len(r.avoidUntil) >= maxAvoided {
		clear(r.avoidUntil)
	}
	r.avoidUntil[id] = r.now + d
}

// addWaitReason notes for operators why a step is not taken.
func (r *reconciliation) addWaitReason(format string, args ...any) {
	r.waitReasons = append(r.waitReasons, fmt.Sprintf(format, args...))
}

// acknowledged reports whether all agents apply a version.
func (r *reconciliation) acknowledged(version uint64) bool {
	lagging := func(a Agent) bool { return a.AppliedVersion < version }
	return len(r.observation.Agents) > 0 && !slices.ContainsFunc(r.observation.Agents, lagging)
}

// laggingAgents names the agents that have not acknowledged a version.
func (r *reconciliation) laggingAgents(version uint64) string {
	var names []string
	lagging := 0
	for _, a := range r.observation.Agents {
		if a.AppliedVersion >= version {
			continue
		}
		if lagging++; lagging <= maxLaggingNamed {
			names = append(names, a.Source)
		}
	}
	return fmt.Sprintf("%d agents have not acknowledged it: %s", lagging, strings.Join(names, ", "))
}
