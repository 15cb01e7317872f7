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
	// learn is for how long a new holder only listens: it does not know yet who holds what.
	learn = 30 * time.Second
	// loadMemory is the time in which a load fades that is not there any more: with servers that
	// crash their load is gone only until it comes to others.
	loadMemory = time.Minute
	// maxAvoid bounds the servers that are not chosen again at once.
	maxAvoid = 1024
	// lagging is how many agents are named that hold a step up.
	lagging = 3
)

// Server is what the holder knows of one server of the rollout's service.
type Server struct {
	ID, Addr, Zone, Region string
	State                  registry.State
	Revision               int     // of the rollout's model; -1: it doesn't hold it
	Capacity               float64 // what it can do, in units common to all, such as slots
	Busy                   float64 // the part of that in use
	InFlight               int     // by its own newest report; -1: it gave none since it was closed
	Well                   bool    // requests are sent there
}

// Facts is what the holder knows at a moment.
type Facts struct {
	Servers []Server // of the service, those included that drain or fell silent of late
	Agents  []Agent  // the members, those included that reported nothing
	Watch   *Watch
	Fits    error // what of the spec the configuration in force contradicts
}

// Machine takes a rollout's steps, at the holder of the duty. What it remembers beside the record
// is since when it has seen what: a new holder waits at least as long. It is not safe for
// concurrent use.
type Machine struct {
	number  uint64
	phase   Phase
	began   time.Duration
	at      map[string]time.Duration // since when a server is at a step
	base    map[string]Counts        // what was known of a server then
	avoid   map[string]time.Duration // until when a server is not chosen
	taken   time.Duration            // when the last one was
	paused  bool
	moved   int                // when this holder began
	load    map[string]float64 // by region, the most of late
	loadAt  time.Duration
	waits   []string
	worst   Short
	verdict Verdict
	learn   time.Duration
}

// NewMachine returns a holder's machine.
func NewMachine() *Machine {
	return &Machine{learn: learn, at: map[string]time.Duration{}, base: map[string]Counts{}, avoid: map[string]time.Duration{}, load: map[string]float64{}}
}

// turn is one call of Step.
type turn struct {
	*Machine
	now      time.Duration
	rec      *Record // the next
	f        *Facts
	changed  bool
	version  uint64 // of the next record
	byID     map[string]*Server
	replicas map[string]replica
	rules    *Rules
}

// Step is the record that follows on rec at this moment, for a compare-and-set on it, or nil where
// nothing changes. It is called about once a second and whenever a report tells something new.
// What it takes for done is done once its record is kept.
func (m *Machine) Step(now time.Duration, rec *Record, f *Facts) *Record {
	if m.number != rec.Number || m.phase != rec.Phase {
		fresh := NewMachine()
		fresh.number, fresh.phase, fresh.began, fresh.moved = rec.Number, rec.Phase, now, rec.Moved
		fresh.paused, fresh.learn = rec.Paused, m.learn
		*m = *fresh
	}
	m.waits, m.worst = m.waits[:0], Short{}
	if !rec.Active() || f.Watch == nil || f.Watch.Number != rec.Number {
		return nil
	}
	t := &turn{Machine: m, now: now, rec: rec.change(), f: f, version: rec.Version + 1, byID: make(map[string]*Server, len(f.Servers))}
	for i := range f.Servers {
		t.byID[f.Servers[i].ID] = &f.Servers[i]
	}
	f.Watch.keepOwn(rec)
	if m.paused && !rec.Paused {
		f.Watch.Judge = NewJudge() // the operator thinks otherwise: judge anew
	}
	m.paused = rec.Paused
	m.verdict = f.Watch.Judge.Verdict(&rec.Spec.Judge)
	t.loads()
	t.begin()
	t.judge()
	t.leave()
	t.arrive()
	t.enter()
	t.choose()
	t.finish()
	t.prune()
	m.forget(rec)
	if !t.changed {
		return nil
	}
	return t.rec
}

// begin takes stock of a phase.
func (t *turn) begin() {
	if t.rec.Begun {
		return
	}
	t.change()
	t.rec.Begun = true
	t.rec.Full = nil
	back := t.rec.Phase == Back
	if back {
		// What had not been handed over serves on, what had come in goes out first.
		t.rec.Out = slices.DeleteFunc(t.rec.Out, func(l Leaving) bool { return l.Step < Replacing })
		for _, e := range t.rec.In {
			if s := t.byID[e.ID]; s != nil {
				t.out(s, Closed)
			}
		}
		t.rec.In = nil
	} else {
		t.rec.Whole = map[string]float64{}
	}
	for i := range t.f.Servers {
		s := &t.f.Servers[i]
		if s.State > registry.Expired {
			continue
		}
		if !back {
			t.rec.Whole[s.Region] += s.Capacity
		}
		if s.Revision == t.rec.target() && t.rec.leaving(s.ID) == nil {
			t.rec.addFull(s.ID)
		}
	}
}

// judge acts on the verdict.
func (t *turn) judge() {
	if err := t.f.Fits; err != nil && !t.rec.Paused {
		t.change()
		t.rec.Paused, t.rec.Why = true, clip("the configuration has changed: "+err.Error())
	}
	if t.rec.Phase != Forward || t.verdict.Ruling != Worse || t.rec.Paused {
		return
	}
	t.change()
	why := fmt.Sprintf("revision %d is worse than %d: %s", t.rec.Spec.To, t.rec.Spec.From, t.verdict.Why)
	if t.rec.Spec.OnWorse == TurnBack {
		t.rec.turn(why)
		t.begin()
		return
	}
	t.rec.Paused, t.rec.Why = true, clip(why)
	for i := range t.rec.In {
		t.rec.In[i].Step, t.rec.In[i].Since = Filling, t.version
	}
}

// leave moves the servers on that are on their way out.
func (t *turn) leave() {
	var keep []Leaving
	for _, l := range t.rec.Out {
		if t.leaveOne(&l) {
			keep = append(keep, l)
		} else {
			t.change()
		}
	}
	t.rec.Out = keep
}

func (t *turn) leaveOne(l *Leaving) (keep bool) {
	s, spec := t.byID[l.ID], &t.rec.Spec
	since := t.since(l.ID, l.Step.String())
	step := func(to LeaveStep) {
		t.change()
		l.Step, l.Since = to, t.version
	}
	if l.Step < Replacing && (s == nil || s.State >= registry.Draining) {
		step(Replacing) // the platform, or a fault, was first
		return true
	}
	if l.Step < Closed && s.State != registry.Ready {
		step(Closed) // it fell silent: it may be back
		return true
	}
	if l.Step == Replacing {
		if o := t.cameBack(l); o != nil && t.rec.Phase == Forward {
			t.wait("%s came back as %s with the old revision", l.ID, o.ID)
			return false
		}
		if s == nil && t.now-since >= seconds(spec.Pace.ReplaceS) {
			t.wait("%s was not replaced within %v", l.ID, seconds(spec.Pace.ReplaceS))
			return false
		}
		t.wait("%s is to be replaced: it is the platform's turn for %v", l.ID, (t.now - since).Round(time.Second))
		return true
	}
	if s.State == registry.Ready && t.needed(s, l.Step) {
		t.shun(l.ID, max(2*seconds(spec.Pace.SpreadS), 10*time.Second))
		t.wait("%s is given back: it is needed now", l.ID)
		return false
	}
	acked := t.acked(l.Since)
	switch l.Step {
	case Thin, Thinner:
		if !acked || t.rec.Paused || t.now-since < seconds(spec.Pace.SpreadS) {
			break
		}
		if l.Step == Thin {
			step(Thinner)
			break
		}
		why := t.short(l.ID, false)
		if why == "" {
			why = t.room(s)
		}
		if why == "" {
			step(Closed)
			break
		}
		t.wait("%s stays: %s", l.ID, why)
		if t.now-since >= seconds(spec.Pace.WaitS) {
			t.shun(l.ID, 2*seconds(spec.Pace.WaitS))
			return false
		}
	case Closed:
		if acked {
			step(Emptying)
		}
	case Emptying, Passing:
		switch {
		case acked && t.empty(s, t.now-since):
			step(Replacing)
		case l.Step == Emptying && acked && t.now-since >= seconds(spec.Pace.FinishS):
			step(Passing)
		}
	}
	return true
}

// cameBack is a server of the side that is left at the address of one that was handed over.
func (t *turn) cameBack(l *Leaving) *Server {
	for i := range t.f.Servers {
		s := &t.f.Servers[i]
		if s.ID != l.ID && s.Addr == l.Addr && s.State == registry.Ready && s.Revision >= 0 && s.Revision != t.rec.target() {
			return s
		}
	}
	return nil
}

// empty tells whether nothing runs at a closed server: no agent holds a request there, and it says
// so itself. One that says nothing is believed to be empty later.
func (t *turn) empty(s *Server, age time.Duration) bool {
	for _, a := range t.f.Agents {
		if a.Held[s.ID] > 0 {
			return false
		}
	}
	return s.InFlight == 0 || s.InFlight < 0 && age >= seconds(t.rec.Spec.Pace.FinishS)
}

// acked tells whether all agents obey a version.
func (t *turn) acked(since uint64) bool {
	for _, a := range t.f.Agents {
		if a.Obeys < since {
			return false
		}
	}
	return len(t.f.Agents) > 0
}

// arrive takes in the new servers.
func (t *turn) arrive() {
	for i := range t.f.Servers {
		s := &t.f.Servers[i]
		if s.State != registry.Ready || t.rec.leaving(s.ID) != nil {
			continue
		}
		if s.Revision != t.rec.target() {
			// On the way back, what the platform had under way comes up with what is left.
			if t.rec.Phase == Back && s.Revision == t.rec.Spec.To && t.replaces(s, true) {
				t.out(s, Closed)
			}
			continue
		}
		if t.rec.full(s.ID) || t.rec.entering(s.ID) != nil || len(t.rec.In) >= maxMoving {
			continue
		}
		t.change()
		t.replaces(s, false)
		t.rec.In = append(t.rec.In, Entering{ID: s.ID, Step: Filling, Since: t.version})
		slices.SortFunc(t.rec.In, func(a, b Entering) int { return strings.Compare(a.ID, b.ID) })
		t.rec.Moved++
	}
}

// replaces takes the server out of Out that s stands for: that of its address, or (unless exact)
// of its zone, or any.
func (t *turn) replaces(s *Server, exact bool) bool {
	best, rank := -1, 0
	for i, l := range t.rec.Out {
		r := 1
		switch {
		case l.Step != Replacing:
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
	t.change()
	t.rec.Out = slices.Delete(t.rec.Out, best, best+1)
	return true
}

// enter gives new servers more as they earn it.
func (t *turn) enter() {
	var keep []Entering
	for _, e := range t.rec.In {
		s := t.byID[e.ID]
		if s == nil || s.State != registry.Ready {
			t.change()
			continue
		}
		since := t.since(e.ID, e.Step.String())
		if why := t.earned(&e, t.now-since); why != "" {
			t.wait("%s stays at %s: %s", e.ID, e.Step, why)
			keep = append(keep, e)
			continue
		}
		t.change()
		if e.Step == Third {
			t.rec.addFull(e.ID)
			continue
		}
		e.Step, e.Since = e.Step+1, t.version
		keep = append(keep, e)
	}
	t.rec.In = keep
}

// earned tells why a server does not get its next share, or nothing.
func (t *turn) earned(e *Entering, age time.Duration) string {
	spec := &t.rec.Spec
	switch {
	case t.rec.Paused:
		return "paused"
	case !t.acked(e.Since):
		return t.lag(e.Since)
	case age < seconds(spec.Pace.StageS):
		return fmt.Sprintf("for %v more", (seconds(spec.Pace.StageS) - age).Round(time.Second))
	case t.rec.Phase == Back:
		return ""
	}
	now := Counts{}
	if c := t.f.Watch.own[e.ID]; c != nil {
		now = *c
	}
	was := t.base[e.ID+"\x00"+e.Step.String()]
	n, bad := now.N-was.N, now.Failed-was.Failed
	if n < spec.Judge.Own {
		return fmt.Sprintf("it served %d of %d requests", n, spec.Judge.Own)
	}
	// Its own failures: what chance would give three deviations beyond what is borne.
	if p := spec.Judge.FailBy + 0.005; float64(bad) > float64(n)*p+3*math.Sqrt(float64(n)*p) {
		return fmt.Sprintf("%d of its %d requests failed", bad, n)
	}
	switch {
	case t.rec.Trusted || e.Step == Filling:
	case t.verdict.Ruling == Open: // the first one earns the trust of all
		return t.verdict.Why
	case t.verdict.Ruling == Fine:
		t.change()
		t.rec.Trusted = true
	}
	return ""
}

// choose takes the next server, if it may be taken.
func (t *turn) choose() {
	spec := &t.rec.Spec
	switch {
	case t.rec.Paused:
		t.wait("paused: %s", t.rec.Why)
		return
	case len(t.rec.Out)+len(t.rec.In) >= spec.Pace.AtOnce:
		return
	case t.now-t.began < t.learn:
		t.wait("learning for %v more which groups are where", (t.learn - (t.now - t.began)).Round(time.Second))
		return
	case t.taken > 0 && t.now-t.taken < seconds(spec.Pace.GapS):
		return
	}
	type zone struct{ left, all int }
	zones := map[string]*zone{}
	var from []*Server
	for i := range t.f.Servers {
		s := &t.f.Servers[i]
		if s.State != registry.Ready {
			continue
		}
		z := zones[s.Zone]
		if z == nil {
			z = &zone{}
			zones[s.Zone] = z
		}
		z.all++
		if s.Revision >= 0 && s.Revision != t.rec.target() && t.rec.leaving(s.ID) == nil {
			z.left++
			if t.avoid[s.ID] <= t.now {
				from = append(from, s)
			}
		}
	}
	// From the zone that is furthest behind, so that each keeps both revisions till the end; there
	// the one that does least.
	part := func(s *Server) float64 { z := zones[s.Zone]; return float64(z.left) / float64(z.all) }
	slices.SortFunc(from, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(part(b), part(a)), cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.ID, b.ID))
	})
	why, least := "", map[string]float64{} // the least capacity that a region can't do without
	for _, s := range from {
		if c, ok := least[s.Region]; ok && s.Capacity >= c {
			continue
		}
		if why = t.room(s); why == "" {
			t.out(s, Thin)
			t.taken = t.now
			return
		}
		least[s.Region] = s.Capacity
	}
	if why != "" {
		t.wait("no server is taken: %s", why)
	}
}

func (t *turn) out(s *Server, step LeaveStep) {
	t.change()
	t.rec.Out = append(t.rec.Out, Leaving{s.ID, s.Addr, s.Zone, step, t.version})
	slices.SortFunc(t.rec.Out, func(a, b Leaving) int { return strings.Compare(a.ID, b.ID) })
}

// finish ends a rollout that has nothing left to move.
func (t *turn) finish() {
	if len(t.rec.Out)+len(t.rec.In) > 0 {
		return
	}
	there := false
	for _, s := range t.f.Servers {
		if s.State > registry.Expired || s.Revision < 0 {
			continue
		}
		if s.Revision != t.rec.target() {
			return
		}
		there = there || s.State == registry.Ready
	}
	if !there {
		return
	}
	t.change()
	if t.rec.Phase == Back {
		t.rec.end(TurnedBack)
	} else {
		t.rec.end(Done)
	}
}

// capacity is what a server does with a share; a slower revision does less.
func (t *turn) capacity(s *Server) float64 {
	c := s.Capacity * t.share(s)
	if s.Revision == t.rec.Spec.To && t.verdict.Slower > 1 {
		c /= t.verdict.Slower
	}
	return c
}

// prune drops servers that are long gone from those at their full share.
func (t *turn) prune() {
	if len(t.rec.Full) <= 2*len(t.f.Servers)+256 {
		return
	}
	is := map[uint64]bool{}
	for id := range t.byID {
		is[hashID(id)] = true
	}
	t.rec.Full = slices.DeleteFunc(t.rec.Full, func(h uint64) bool { return !is[h] })
	t.change()
}

// loads brings the load of each region up to date.
func (t *turn) loads() {
	fade := math.Exp(-float64(t.now-t.loadAt) / float64(loadMemory))
	t.loadAt = t.now
	now := map[string]float64{}
	for _, s := range t.f.Servers {
		if s.State == registry.Ready {
			now[s.Region] += s.Busy * s.Capacity
		}
	}
	for region, x := range t.load {
		now[region] = max(now[region], x*fade)
	}
	t.load = now
}

// sum is what the servers of a region do without one of them: all together, and the largest spare
// ones.
func (t *turn) sum(region, without string) (all, spare float64) {
	var each []float64
	for i := range t.f.Servers {
		if s := &t.f.Servers[i]; s.Region == region && s.State == registry.Ready && s.ID != without && s.Well {
			each = append(each, t.capacity(s))
		}
	}
	slices.Sort(each)
	for i, c := range each {
		all += c
		if len(each)-i <= t.rec.Spec.Keep.Spare {
			spare += c
		}
	}
	return all, spare
}

// room tells why the servers of its region can't do without one, or nothing.
func (t *turn) room(s *Server) string {
	all, spare := t.sum(s.Region, s.ID)
	keep := t.rec.Spec.Keep
	have, need := (all-spare)*keep.Usable, max(t.load[s.Region], keep.Peak*t.rec.Whole[s.Region])
	if have >= need {
		return ""
	}
	return fmt.Sprintf("without %s and %d more, region %s has room for %.1f, and needs %.1f", s.ID, keep.Spare, s.Region, have, need)
}

// needed tells whether a server that is not handed over yet is missed already: the others can't
// carry what there is now, or a group has nobody else.
func (t *turn) needed(s *Server, step LeaveStep) bool {
	if t.rec.Phase == Back && s.Revision == t.rec.Spec.To && t.verdict.Ruling == Worse {
		return false // worse than nothing
	}
	all, _ := t.sum(s.Region, s.ID)
	return all*t.rec.Spec.Keep.Usable < t.load[s.Region] || all == 0 || step >= Closed && t.short(s.ID, true) != ""
}

// short tells which group keeps a server, or nothing.
func (t *turn) short(id string, bare bool) string {
	if t.replicas == nil {
		t.replicas = make(map[string]replica, len(t.f.Servers))
		for i := range t.f.Servers {
			s := &t.f.Servers[i]
			t.replicas[s.ID] = replica{region: s.Region, side: t.rec.Spec.side(s.Revision),
				serves: s.State == registry.Ready && s.Well && t.rec.leaving(s.ID) == nil && t.share(s) > 0}
		}
	}
	g := t.f.Watch.Groups
	n, worst := g.short(id, t.replicas, g.often(t.now, seconds(t.rec.Spec.Keep.LiveS)), bare)
	if n == 0 {
		return ""
	}
	if t.worst.Group == "" || worst.Need-worst.Have > t.worst.Need-t.worst.Have {
		t.worst = worst
	}
	if n == 1 {
		return worst.String()
	}
	return fmt.Sprintf("%s, and %d more groups are short", worst, n-1)
}

// since is from when on a server is seen at a step.
func (t *turn) since(id, step string) time.Duration {
	key := id + "\x00" + step
	if _, ok := t.at[key]; !ok {
		t.at[key] = t.now
		if c := t.f.Watch.own[id]; c != nil {
			t.base[key] = *c
		}
	}
	return t.at[key]
}

// forget drops what is remembered of steps that are over.
func (m *Machine) forget(rec *Record) {
	is := map[string]bool{}
	for _, l := range rec.Out {
		is[l.ID+"\x00"+l.Step.String()] = true
	}
	for _, e := range rec.In {
		is[e.ID+"\x00"+e.Step.String()] = true
	}
	for key := range m.at {
		if !is[key] {
			delete(m.at, key)
			delete(m.base, key)
		}
	}
}

func (t *turn) shun(id string, d time.Duration) {
	if len(t.avoid) >= maxAvoid {
		clear(t.avoid)
	}
	t.avoid[id] = t.now + d
}

// change notes that the record differs: what was worked out from it is void.
func (t *turn) change() { t.changed, t.replicas, t.rules = true, nil, nil }

func (t *turn) share(s *Server) float64 {
	if t.rules == nil {
		t.rules = t.rec.Rules()
	}
	return t.rules.Share(s.ID, s.Addr, s.Revision)
}

func (t *turn) wait(format string, args ...any) {
	t.waits = append(t.waits, fmt.Sprintf(format, args...))
}

// lag names agents that have not told that they obey.
func (t *turn) lag(since uint64) string {
	var names []string
	n := 0
	for _, a := range t.f.Agents {
		if a.Obeys < since {
			if n++; n <= lagging {
				names = append(names, a.Source)
			}
		}
	}
	return fmt.Sprintf("%d agents have not told that they obey: %s", n, strings.Join(names, ", "))
}

// side is that of a revision; none if it is neither.
func (s *Spec) side(revision int) sides {
	switch revision {
	case s.From:
		return oldSide
	case s.To:
		return newSide
	}
	return 0
}
