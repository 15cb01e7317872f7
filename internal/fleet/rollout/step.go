package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"chalkdoor.example/chalkdoor/internal/fleet/registry"
)

const (
	// defaultLearningPeriod is for how long a new holder only listens: it does not know yet who holds what.
	defaultLearningPeriod = 30 * time.Second
	// loadDecayTime is the time in which a load fades that is not there any more: with servers that
	// crash their load is gone only until it comes to others.
	loadDecayTime = time.Minute
	// maxAvoided bounds the servers that are not chosen again at once.
	maxAvoided = 1024
	// maxLaggingNamed is how many agents are named that hold a step up.
	maxLaggingNamed = 3
)

// Server is what the holder knows of one server of the rollout's service.
type Server struct {
	ID, Addr, Zone, Region string
	State                  registry.State
	Revision               int     // of the rollout's model; -1: it doesn't hold it
	Capacity               float64 // what it can do, in units common to all, such as slots
	Utilization            float64 // the part of that in use
	InFlight               int     // by its own newest report; -1: it gave none since it was closed
	Healthy                bool    // requests are sent there
}

// Observation is what the holder knows at a moment.
type Observation struct {
	Servers     []Server // of the service, those included that drain or fell silent of late
	Agents      []Agent  // the members, those included that reported nothing
	Reports     *ReportAggregator
	ConfigError error // what of the spec the configuration in force contradicts
}

// Controller takes a rollout's steps, at the holder of the duty. What it remembers beside the record
// is since when it has seen what: a new holder waits at least as long. It is not safe for
// concurrent use.
type Controller struct {
	number          uint64
	phase           Phase
	startedAt       time.Duration
	stepSeenAt      map[string]time.Duration // since when a server is at a step
	stepBaseline    map[string]Counts        // what was known of a server then
	avoidUntil      map[string]time.Duration // until when a server is not chosen
	lastDrainAt     time.Duration            // when the last one was
	paused          bool
	replacedAtStart int                // when this holder began
	regionLoad      map[string]float64 // by region, the most of late
	regionLoadAt    time.Duration
	waitReasons     []string
	worstShortage   Shortage
	verdict         Verdict
	learningPeriod  time.Duration
}

// NewController returns a holder's machine.
func NewController() *Controller {
	return &Controller{learningPeriod: defaultLearningPeriod, stepSeenAt: map[string]time.Duration{}, stepBaseline: map[string]Counts{}, avoidUntil: map[string]time.Duration{}, regionLoad: map[string]float64{}}
}

// reconciliation is one call of Step.
type reconciliation struct {
	*Controller
	now         time.Duration
	record      *Record // the next
	observation *Observation
	changed     bool
	version     uint64 // of the next record
	servers     map[string]*Server
	replicas    map[string]serverReplica
	rules       *RoutingRules
}

// Reconcile is the record that follows on rec at this moment, for a compare-and-set on it, or nil where
// nothing changes. It is called about once a second and whenever a report tells something new.
// What it takes for done is done once its record is kept.
func (m *Controller) Reconcile(now time.Duration, rec *Record, f *Observation) *Record {
	if m.number != rec.Number || m.phase != rec.Phase {
		fresh := NewController()
		fresh.number, fresh.phase, fresh.startedAt, fresh.replacedAtStart = rec.Number, rec.Phase, now, rec.Replaced
		fresh.paused, fresh.learningPeriod = rec.Paused, m.learningPeriod
		*m = *fresh
	}
	m.waitReasons, m.worstShortage = m.waitReasons[:0], Shortage{}
	if !rec.Active() || f.Reports == nil || f.Reports.Rollout != rec.Number {
		return nil
	}
	t := &reconciliation{Controller: m, now: now, record: rec.nextVersion(), observation: f, version: rec.Version + 1, servers: make(map[string]*Server, len(f.Servers))}
	for i := range f.Servers {
		t.servers[f.Servers[i].ID] = &f.Servers[i]
	}
	f.Reports.pruneServerCounts(rec)
	if m.paused && !rec.Paused {
		f.Reports.Judge = NewJudge() // the operator thinks otherwise: judge anew
	}
	m.paused = rec.Paused
	m.verdict = f.Reports.Judge.Verdict(&rec.Spec.Judge)
	t.updateRegionLoad()
	t.beginPhase()
	t.applyVerdict()
	t.advanceDraining()
	t.admitNewServers()
	t.advanceRamping()
	t.drainNextServer()
	t.finishIfComplete()
	t.pruneFullShare()
	m.forgetFinishedSteps(rec)
	if !t.changed {
		return nil
	}
	return t.record
}

// beginPhase takes stock of a phase.
func (t *reconciliation) beginPhase() {
	if t.record.Initialized {
		return
	}
	t.markChanged()
	t.record.Initialized = true
	t.record.FullShare = nil
	back := t.record.Phase == PhaseRollback
	if back {
		// What had not been handed over serves on, what had come in goes out first.
		t.record.Draining = slices.DeleteFunc(t.record.Draining, func(l DrainingServer) bool { return l.Step < DrainReplacing })
		for _, e := range t.record.Ramping {
			if s := t.servers[e.ID]; s != nil {
				t.startDrain(s, DrainClosed)
			}
		}
		t.record.Ramping = nil
	} else {
		t.record.InitialCapacity = map[string]float64{}
	}
	for i := range t.observation.Servers {
		s := &t.observation.Servers[i]
		if s.State > registry.Expired {
			continue
		}
		if !back {
			t.record.InitialCapacity[s.Region] += s.Capacity
		}
		if s.Revision == t.record.targetRevision() && t.record.draining(s.ID) == nil {
			t.record.addFullShare(s.ID)
		}
	}
}

// applyVerdict acts on the verdict.
func (t *reconciliation) applyVerdict() {
	if err := t.observation.ConfigError; err != nil && !t.record.Paused {
		t.markChanged()
		t.record.Paused, t.record.Reason = true, truncateReason("the configuration has changed: "+err.Error())
	}
	if t.record.Phase != PhaseForward || t.verdict.Ruling != RulingFail || t.record.Paused {
		return
	}
	t.markChanged()
	why := fmt.Sprintf("revision %d is worse than %d: %s", t.record.Spec.To, t.record.Spec.From, t.verdict.Reason)
	if t.record.Spec.OnWorse == OnWorseRollback {
		t.record.rollBack(why)
		t.beginPhase()
		return
	}
	t.record.Paused, t.record.Reason = true, truncateReason(why)
	for i := range t.record.Ramping {
		t.record.Ramping[i].Step, t.record.Ramping[i].Since = RampWarming, t.version
	}
}

// advanceDraining moves the servers on that are on their way out.
func (t *reconciliation) advanceDraining() {
	var keep []DrainingServer
	for _, l := range t.record.Draining {
		if t.advanceDrain(&l) {
			keep = append(keep, l)
		} else {
			t.markChanged()
		}
	}
	t.record.Draining = keep
}

func (t *reconciliation) advanceDrain(l *DrainingServer) (keep bool) {
	s, spec := t.servers[l.ID], &t.record.Spec
	since := t.stepSince(l.ID, l.Step.String())
	step := func(to DrainStep) {
		t.markChanged()
		l.Step, l.Since = to, t.version
	}
	if l.Step < DrainReplacing && (s == nil || s.State >= registry.Draining) {
		step(DrainReplacing) // the platform, or a fault, was first
		return true
	}
	if l.Step < DrainClosed && s.State != registry.Ready {
		step(DrainClosed) // it fell silent: it may be back
		return true
	}
	if l.Step == DrainReplacing {
		if o := t.returnedUnreplaced(l); o != nil && t.record.Phase == PhaseForward {
			t.addWaitReason("%s came back as %s with the old revision", l.ID, o.ID)
			return false
		}
		if s == nil && t.now-since >= seconds(spec.Pace.ReplaceSeconds) {
			t.addWaitReason("%s was not replaced within %v", l.ID, seconds(spec.Pace.ReplaceSeconds))
			return false
		}
		t.addWaitReason("%s is to be replaced: it is the platform's turn for %v", l.ID, (t.now - since).Round(time.Second))
		return true
	}
	if s.State == registry.Ready && t.isNeeded(s, l.Step) {
		t.avoidServer(l.ID, max(2*seconds(spec.Pace.SpreadSeconds), 10*time.Second))
		t.addWaitReason("%s is given back: it is needed now", l.ID)
		return false
	}
	acked := t.acknowledged(l.Since)
	switch l.Step {
	case DrainThird, DrainTenth:
		if !acked || t.record.Paused || t.now-since < seconds(spec.Pace.SpreadSeconds) {
			break
		}
		if l.Step == DrainThird {
			step(DrainTenth)
			break
		}
		why := t.replicaShortage(l.ID, false)
		if why == "" {
			why = t.capacityShortage(s)
		}
		if why == "" {
			step(DrainClosed)
			break
		}
		t.addWaitReason("%s stays: %s", l.ID, why)
		if t.now-since >= seconds(spec.Pace.WaitSeconds) {
			t.avoidServer(l.ID, 2*seconds(spec.Pace.WaitSeconds))
			return false
		}
	case DrainClosed:
		if acked {
			step(DrainFinishing)
		}
	case DrainFinishing, DrainMigrating:
		switch {
		case acked && t.isEmpty(s, t.now-since):
			step(DrainReplacing)
		case l.Step == DrainFinishing && acked && t.now-since >= seconds(spec.Pace.FinishSeconds):
			step(DrainMigrating)
		}
	}
	return true
}

// returnedUnreplaced is a server of the side that is left at the address of one that was handed over.
func (t *reconciliation) returnedUnreplaced(l *DrainingServer) *Server {
	for i := range t.observation.Servers {
		s := &t.observation.Servers[i]
		if s.ID != l.ID && s.Addr == l.Addr && s.State == registry.Ready && s.Revision >= 0 && s.Revision != t.record.targetRevision() {
			return s
		}
	}
	return nil
}

// isEmpty tells whether nothing runs at a closed server: no agent holds a request there, and it says
// so itself. One that says nothing is believed to be empty later.
func (t *reconciliation) isEmpty(s *Server, age time.Duration) bool {
	for _, a := range t.observation.Agents {
		if a.InFlight[s.ID] > 0 {
			return false
		}
	}
	return s.InFlight == 0 || s.InFlight < 0 && age >= seconds(t.record.Spec.Pace.FinishSeconds)
}

// acknowledged tells whether all agents obey a version.
func (t *reconciliation) acknowledged(since uint64) bool {
	for _, a := range t.observation.Agents {
		if a.AppliedVersion < since {
			return false
		}
	}
	return len(t.observation.Agents) > 0
}

// admitNewServers takes in the new servers.
func (t *reconciliation) admitNewServers() {
	for i := range t.observation.Servers {
		s := &t.observation.Servers[i]
		if s.State != registry.Ready || t.record.draining(s.ID) != nil {
			continue
		}
		if s.Revision != t.record.targetRevision() {
			// On the way back, what the platform had under way comes up with what is left.
			if t.record.Phase == PhaseRollback && s.Revision == t.record.Spec.To && t.matchReplacement(s, true) {
				t.startDrain(s, DrainClosed)
			}
			continue
		}
		if t.record.hasFullShare(s.ID) || t.record.ramping(s.ID) != nil || len(t.record.Ramping) >= maxInTransition {
			continue
		}
		t.markChanged()
		t.matchReplacement(s, false)
		t.record.Ramping = append(t.record.Ramping, RampingServer{ID: s.ID, Step: RampWarming, Since: t.version})
		slices.SortFunc(t.record.Ramping, func(a, b RampingServer) int { return strings.Compare(a.ID, b.ID) })
		t.record.Replaced++
	}
}

// matchReplacement takes the server out of Out that s stands for: that of its address, or (unless exact)
// of its zone, or any.
func (t *reconciliation) matchReplacement(s *Server, exact bool) bool {
	best, rank := -1, 0
	for i, l := range t.record.Draining {
		r := 1
		switch {
		case l.Step != DrainReplacing:
			continue
		case l.Addr == s.Addr:
			r = 3
		case exact:
			continue
		case l.Zone == s.Zone:
			r = 2
		}
		if r > rank {
			best, rank = i, r
		}
	}
	if best < 0 {
		return false
	}
	t.markChanged()
	t.record.Draining = slices.Delete(t.record.Draining, best, best+1)
	return true
}

// advanceRamping gives new servers more as they earn it.
func (t *reconciliation) advanceRamping() {
	var keep []RampingServer
	for _, e := range t.record.Ramping {
		s := t.servers[e.ID]
		if s == nil || s.State != registry.Ready {
			t.markChanged()
			continue
		}
		since := t.stepSince(e.ID, e.Step.String())
		if why := t.rampBlocker(&e, t.now-since); why != "" {
			t.addWaitReason("%s stays at %s: %s", e.ID, e.Step, why)
			keep = append(keep, e)
			continue
		}
		t.markChanged()
		if e.Step == RampThird {
			t.record.addFullShare(e.ID)
			continue
		}
		e.Step, e.Since = e.Step+1, t.version
		keep = append(keep, e)
	}
	t.record.Ramping = keep
}

// rampBlocker tells why a server does not get its next share, or nothing.
func (t *reconciliation) rampBlocker(e *RampingServer, age time.Duration) string {
	spec := &t.record.Spec
	switch {
	case t.record.Paused:
		return "paused"
	case !t.acknowledged(e.Since):
		return t.laggingAgents(e.Since)
	case age < seconds(spec.Pace.StageSeconds):
		return fmt.Sprintf("for %v more", (seconds(spec.Pace.StageSeconds) - age).Round(time.Second))
	case t.record.Phase == PhaseRollback:
		return ""
	}
	now := Counts{}
	if c := t.observation.Reports.serverCounts[e.ID]; c != nil {
		now = *c
	}
	was := t.stepBaseline[e.ID+"\x00"+e.Step.String()]
	n, bad := now.Attempts-was.Attempts, now.Failed-was.Failed
	if n < spec.Judge.MinServerRequests {
		return fmt.Sprintf("it served %d of %d requests", n, spec.Judge.MinServerRequests)
	}
	// Its own failures: what chance would give three deviations beyond what is borne.
	if p := spec.Judge.MaxFailureIncrease + 0.005; float64(bad) > float64(n)*p+3*math.Sqrt(float64(n)*p) {
		return fmt.Sprintf("%d of its %d requests failed", bad, n)
	}
	switch {
	case t.record.Verified || e.Step == RampWarming:
	case t.verdict.Ruling == RulingInconclusive: // the first one earns the trust of all
		return t.verdict.Reason
	case t.verdict.Ruling == RulingPass:
		t.markChanged()
		t.record.Verified = true
	}
	return ""
}

// drainNextServer takes the next server, if it may be taken.
func (t *reconciliation) drainNextServer() {
	spec := &t.record.Spec
	switch {
	case t.record.Paused:
		t.addWaitReason("paused: %s", t.record.Reason)
		return
	case len(t.record.Draining)+len(t.record.Ramping) >= spec.Pace.AtOnce:
		return
	case t.now-t.startedAt < t.learningPeriod:
		t.addWaitReason("learning for %v more which groups are where", (t.learningPeriod - (t.now - t.startedAt)).Round(time.Second))
		return
	case t.lastDrainAt > 0 && t.now-t.lastDrainAt < seconds(spec.Pace.GapSeconds):
		return
	}
	type zone struct{ left, all int }
	zones := map[string]*zone{}
	var from []*Server
	for i := range t.observation.Servers {
		s := &t.observation.Servers[i]
		if s.State != registry.Ready {
			continue
		}
		z := zones[s.Zone]
		if z == nil {
			z = &zone{}
			zones[s.Zone] = z
		}
		z.all++
		if s.Revision >= 0 && s.Revision != t.record.targetRevision() && t.record.draining(s.ID) == nil {
			z.left++
			if t.avoidUntil[s.ID] <= t.now {
				from = append(from, s)
			}
		}
	}
	// From the zone that is furthest behind, so that each keeps both revisions till the end; there
	// the one that does least.
	part := func(s *Server) float64 { z := zones[s.Zone]; return float64(z.left) / float64(z.all) }
	slices.SortFunc(from, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(part(b), part(a)), cmp.Compare(a.Utilization, b.Utilization), cmp.Compare(a.ID, b.ID))
	})
	why, least := "", map[string]float64{} // the least capacity that a region can't do without
	for _, s := range from {
		if c, ok := least[s.Region]; ok && s.Capacity >= c {
			continue
		}
		if why = t.capacityShortage(s); why == "" {
			t.startDrain(s, DrainThird)
			t.lastDrainAt = t.now
			return
		}
		least[s.Region] = s.Capacity
	}
	if why != "" {
		t.addWaitReason("no server is taken: %s", why)
	}
}

func (t *reconciliation) startDrain(s *Server, step DrainStep) {
	t.markChanged()
	t.record.Draining = append(t.record.Draining, DrainingServer{s.ID, s.Addr, s.Zone, step, t.version})
	slices.SortFunc(t.record.Draining, func(a, b DrainingServer) int { return strings.Compare(a.ID, b.ID) })
}

// finishIfComplete ends a rollout that has nothing left to move.
func (t *reconciliation) finishIfComplete() {
	if len(t.record.Draining)+len(t.record.Ramping) > 0 {
		return
	}
	there := false
	for _, s := range t.observation.Servers {
		if s.State > registry.Expired || s.Revision < 0 {
			continue
		}
		if s.Revision != t.record.targetRevision() {
			return
		}
		there = there || s.State == registry.Ready
	}
	if !there {
		return
	}
	t.markChanged()
	if t.record.Phase == PhaseRollback {
		t.record.finish(PhaseRolledBack)
	} else {
		t.record.finish(PhaseDone)
	}
}

// effectiveCapacity is what a server does with a share; a slower revision does less.
func (t *reconciliation) effectiveCapacity(s *Server) float64 {
	c := s.Capacity * t.share(s)
	if s.Revision == t.record.Spec.To && t.verdict.LatencyRatio > 1 {
		c /= t.verdict.LatencyRatio
	}
	return c
}

// pruneFullShare drops servers that are long gone from those at their full share.
func (t *reconciliation) pruneFullShare() {
	if len(t.record.FullShare) <= 2*len(t.observation.Servers)+256 {
		return
	}
	is := map[uint64]bool{}
	for id := range t.servers {
		is[hashID(id)] = true
	}
	t.record.FullShare = slices.DeleteFunc(t.record.FullShare, func(h uint64) bool { return !is[h] })
	t.markChanged()
}

// updateRegionLoad brings the load of each region up to date.
func (t *reconciliation) updateRegionLoad() {
	fade := math.Exp(-float64(t.now-t.regionLoadAt) / float64(loadDecayTime))
	t.regionLoadAt = t.now
	now := map[string]float64{}
	for _, s := range t.observation.Servers {
		if s.State == registry.Ready {
			now[s.Region] += s.Utilization * s.Capacity
		}
	}
	for region, x := range t.regionLoad {
		now[region] = max(now[region], x*fade)
	}
	t.regionLoad = now
}

// regionCapacity is what the servers of a region do without one of them: all together, and the largest spare
// ones.
func (t *reconciliation) regionCapacity(region, without string) (all, spare float64) {
	var each []float64
	for i := range t.observation.Servers {
		if s := &t.observation.Servers[i]; s.Region == region && s.State == registry.Ready && s.ID != without && s.Healthy {
			each = append(each, t.effectiveCapacity(s))
		}
	}
	slices.Sort(each)
	for i, c := range each {
		all += c
		if len(each)-i <= t.record.Spec.Safety.SpareServers {
			spare += c
		}
	}
	return all, spare
}

// capacityShortage tells why the servers of its region can't do without one, or nothing.
func (t *reconciliation) capacityShortage(s *Server) string {
	all, spare := t.regionCapacity(s.Region, s.ID)
	keep := t.record.Spec.Safety
	have, need := (all-spare)*keep.UsableCapacity, max(t.regionLoad[s.Region], keep.PeakLoad*t.record.InitialCapacity[s.Region])
	if have >= need {
		return ""
	}
	return fmt.Sprintf("without %s and %d more, region %s has room for %.1f, and needs %.1f", s.ID, keep.SpareServers, s.Region, have, need)
}

// isNeeded tells whether a server that is not handed over yet is missed already: the others can't
// carry what there is now, or a group has nobody else.
func (t *reconciliation) isNeeded(s *Server, step DrainStep) bool {
	if t.record.Phase == PhaseRollback && s.Revision == t.record.Spec.To && t.verdict.Ruling == RulingFail {
		return false // worse than nothing
	}
	all, _ := t.regionCapacity(s.Region, s.ID)
	return all*t.record.Spec.Safety.UsableCapacity < t.regionLoad[s.Region] || all == 0 || step >= DrainClosed && t.replicaShortage(s.ID, true) != ""
}

// replicaShortage tells which group keeps a server, or nothing.
func (t *reconciliation) replicaShortage(id string, bare bool) string {
	if t.replicas == nil {
		t.replicas = make(map[string]serverReplica, len(t.observation.Servers))
		for i := range t.observation.Servers {
			s := &t.observation.Servers[i]
			t.replicas[s.ID] = serverReplica{region: s.Region, revisions: t.record.Spec.revisionSetOf(s.Revision),
				serves: s.State == registry.Ready && s.Healthy && t.record.draining(s.ID) == nil && t.share(s) > 0}
		}
	}
	g := t.observation.Reports.Replicas
	n, worst := g.shortages(id, t.replicas, g.expectedRequests(t.now, seconds(t.record.Spec.Safety.LiveSeconds)), bare)
	if n == 0 {
		return ""
	}
	if t.worstShortage.Group == "" || worst.Need-worst.Have > t.worstShortage.Need-t.worstShortage.Have {
		t.worstShortage = worst
	}
	if n == 1 {
		return worst.String()
	}
	return fmt.Sprintf("%s, and %d more groups are short", worst, n-1)
}

// stepSince is from when on a server is seen at a step.
func (t *reconciliation) stepSince(id, step string) time.Duration {
	key := id + "\x00" + step
	if _, ok := t.stepSeenAt[key]; !ok {
		t.stepSeenAt[key] = t.now
		if c := t.observation.Reports.serverCounts[id]; c != nil {
			t.stepBaseline[key] = *c
		}
	}
	return t.stepSeenAt[key]
}

// forgetFinishedSteps drops what is remembered of steps that are over.
func (m *Controller) forgetFinishedSteps(rec *Record) {
	is := map[string]bool{}
	for _, l := range rec.Draining {
		is[l.ID+"\x00"+l.Step.String()] = true
	}
	for _, e := range rec.Ramping {
		is[e.ID+"\x00"+e.Step.String()] = true
	}
	for key := range m.stepSeenAt {
		if !is[key] {
			delete(m.stepSeenAt, key)
			delete(m.stepBaseline, key)
		}
	}
}

func (t *reconciliation) avoidServer(id string, d time.Duration) {
	if len(t.avoidUntil) >= maxAvoided {
		clear(t.avoidUntil)
	}
	t.avoidUntil[id] = t.now + d
}

// markChanged notes that the record differs: what was worked out from it is void.
func (t *reconciliation) markChanged() { t.changed, t.replicas, t.rules = true, nil, nil }

func (t *reconciliation) share(s *Server) float64 {
	if t.rules == nil {
		t.rules = t.record.Rules()
	}
	return t.rules.Share(s.ID, s.Addr, s.Revision)
}

func (t *reconciliation) addWaitReason(format string, args ...any) {
	t.waitReasons = append(t.waitReasons, fmt.Sprintf(format, args...))
}

// laggingAgents names agents that have not told that they obey.
func (t *reconciliation) laggingAgents(since uint64) string {
	var names []string
	n := 0
	for _, a := range t.observation.Agents {
		if a.AppliedVersion < since {
			if n++; n <= maxLaggingNamed {
				names = append(names, a.Source)
			}
		}
	}
	return fmt.Sprintf("%d agents have not told that they obey: %s", n, strings.Join(names, ", "))
}

// revisionSetOf is that of a revision; none if it is neither.
func (s *Spec) revisionSetOf(revision int) revisionSet {
	switch revision {
	case s.From:
		return oldRevision
	case s.To:
		return newRevision
	}
	return 0
}
