package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

const (
	// defaultLearningPeriod is the time during which a new holder starts no drain, because it does not
	// know yet which server has which group cached.
	defaultLearningPeriod = 30 * time.Second
	// maxAvoided is the maximum number of servers in Controller.avoidUntil.
	maxAvoided = 1024
	// minAvoidTime is the minimum time before a server that was returned to service may be drained
	// again.
	minAvoidTime = 10 * time.Second
	// maxLaggingNamed is the maximum number of agents that a wait reason names.
	maxLaggingNamed = 3
)

// Server is what the lease holder knows about one server of the rollout's service.
type Server struct {
	ID, Addr, Zone, Region string
	State                  registry.State
	Revision               int     // of the rollout's model; negative if the server does not hold the model
	Capacity               float64 // in a unit common to all servers, such as slots
	Utilization            float64 // fraction of Capacity in use
	InFlight               int     // requests by its own report; negative if it has sent none since it was closed
	Healthy                bool    // agents forward requests to it
}

// unreplaced reports whether the server holds a known revision other than the target.
func (s *Server) unreplaced(target int) bool { return s.Revision >= 0 && s.Revision != target }

// Observation is what the lease holder knows at one time.
type Observation struct {
	Servers     []Server // of the service, including those that are draining or have recently been lost
	Agents      []Agent  // the members, including those that have reported nothing
	Reports     *ReportAggregator
	ConfigError error // how the spec contradicts the configuration in force, or nil
}

// stepKey is a server at a step of its drain or ramp.
type stepKey struct{ server, step string }

// Controller takes a rollout's steps at the lease holder. It keeps only times and figures that it
// observed itself; all other state is in the record. A new holder measures these times anew, and so
// waits at least as long as its predecessor. It is not safe for concurrent use.
type Controller struct {
	number          uint64
	phase           Phase
	startedAt       time.Duration // when this holder first saw the phase
	replacedAtStart int           // Record.Replaced at startedAt
	stepSeenAt      map[stepKey]time.Duration
	stepBaseline    map[stepKey]Counts       // counts of the server's requests when the step was first seen
	avoidUntil      map[string]time.Duration // by server: the time from which it may be drained again
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

// Reconcile returns the record to replace the given one by, with compare-and-set, or nil if nothing
// changes. It is called about once a second and whenever a report has changed something. A step takes
// effect once its record is committed.
func (c *Controller) Reconcile(now time.Duration, record *Record, observation *Observation) *Record {
	c.resetForPhase(now, record)
	c.waitReasons, c.worstShortage = c.waitReasons[:0], Shortage{}
	reports := observation.Reports
	if !record.Active() || reports == nil || reports.Rollout != record.Number {
		return nil
	}
	reports.pruneServerCounts(record)
	if c.paused && !record.Paused {
		reports.Judge = NewJudge() // by resuming, the operator has overruled the last verdict
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

// resetForPhase resets the controller if the record is in another rollout or phase than the last one.
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

// forgetFinishedSteps drops the times and counts of steps that are over.
func (c *Controller) forgetFinishedSteps(record *Record) {
	currentSteps := map[stepKey]bool{}
	for _, d := range record.Draining {
		currentSteps[stepKey{d.ID, d.Step.String()}] = true
	}
	for _, s := range record.Ramping {
		currentSteps[stepKey{s.ID, s.Step.String()}] = true
	}
	for key := range c.stepSeenAt {
		if !currentSteps[key] {
			delete(c.stepSeenAt, key)
			delete(c.stepBaseline, key)
		}
	}
}

// reconciliation is one call of Reconcile.
type reconciliation struct {
	*Controller
	now         time.Duration
	record      *Record // the next record
	observation *Observation
	servers     map[string]*Server // by ID
	changed     bool               // record differs from the one that Reconcile was given
	// replicas and rules are derived from record when needed. They are nil after a change.
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

// run takes all steps that are due. The order matters: servers that are admitted or returned to
// service are counted against the limit before another server is drained.
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

// markChanged notes that the record has changed, and drops what was derived from it.
func (r *reconciliation) markChanged() { r.changed, r.replicas, r.rules = true, nil, nil }

// share returns the share of its requests that the server gets by the record.
func (r *reconciliation) share(s *Server) float64 {
	if r.rules == nil {
		r.rules = r.record.Rules()
	}
	return r.rules.Share(s.ID, s.Addr, s.Revision)
}

// stepSince returns the time at which this holder first saw the server at the step.
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

// avoidServer prevents a server from being drained again for some time.
func (r *reconciliation) avoidServer(id string, d time.Duration) {
	if len(r.avoidUntil) >= maxAvoided {
		clear(r.avoidUntil)
	}
	r.avoidUntil[id] = r.now + d
}

// addWaitReason adds a reason, for operators, why a step is not taken.
func (r *reconciliation) addWaitReason(format string, args ...any) {
	r.waitReasons = append(r.waitReasons, fmt.Sprintf(format, args...))
}

// acknowledged reports whether all agents have acknowledged a version. It is false if no agent is known.
func (r *reconciliation) acknowledged(version uint64) bool {
	isLagging := func(a Agent) bool { return a.AppliedVersion < version }
	return len(r.observation.Agents) > 0 && !slices.ContainsFunc(r.observation.Agents, isLagging)
}

// laggingAgents describes the agents that have not acknowledged a version: their number and the first
// names.
func (r *reconciliation) laggingAgents(version uint64) string {
	var names []string
	laggingCount := 0
	for _, a := range r.observation.Agents {
		if a.AppliedVersion >= version {
			continue
		}
		if laggingCount++; laggingCount <= maxLaggingNamed {
			names = append(names, a.Source)
		}
	}
	return fmt.Sprintf("%d agents have not acknowledged it: %s", laggingCount, strings.Join(names, ", "))
}
