package stalerouting

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/interleave"
)

// defect is a fault that a test injects, to show that the model checker finds it.
type defect string

const (
	none              defect = ""
	endlessHeartbeats defect = "a heartbeat does not expire"
	olderHeartbeat    defect = "an older heartbeat replaces a newer one"
	oneIsEnough       defect = "one isolated member is enough"
	ignoredSignal     defect = "a member is isolated although it has a signal"
	endlessShare      defect = "a share is valid for too long"
	olderReport       defect = "an older report on a server replaces a newer one"
	lostEntries       defect = "a restart loses entries that have to be kept"
)

const interval = 50 * time.Millisecond

// siteModel is the state of a site of three members. Members tick or are paused, heartbeats are delivered or
// lost, heartbeat intervals pass, and uplinks fail and recover. A heartbeat that has been in transit for more
// than two intervals is lost. What a member sends depends only on its own signals, so it is enough to deliver
// heartbeats to the first member: the others decide in the same way.
type siteModel struct {
	defect              defect
	now                 time.Duration
	uplinks             [3]*Uplink
	hasSignal           [3]bool             // whether the uplink works for each member
	isolatedAt          [3][]time.Duration  // times at which each member was isolated at a tick
	event               int                 // index of the next event in the interval
	inTransit           [3][3]*Heartbeat    // by sender and recipient
	sentAt              [3][3]time.Duration // when the heartbeat in transit was sent
	lastReceived        [3]Heartbeat        // by sender
	phase               [3]Phase            // of each member at its last tick
	validUntil          [3]time.Duration    // end of the validity of that phase and its share
	err                 error               // a violation of an invariant
	intervalsRemaining  int                 // heartbeat intervals that may still pass
	lossesRemaining     int                 // failures of uplinks that may still happen
	recoveriesRemaining int                 // recoveries of uplinks that may still happen
	pausesRemaining     int                 // ticks of members that may still be left out
}

// runLimits are the numbers of events that may happen in a run.
type runLimits struct{ intervals, losses, recoveries, pauses int }

func newSiteModel(injected defect, limits runLimits) *siteModel {
	s := &siteModel{defect: injected, intervalsRemaining: limits.intervals, lossesRemaining: limits.losses,
		recoveriesRemaining: limits.recoveries, pausesRemaining: limits.pauses, now: time.Minute}
	for i := range s.uplinks {
		cfg := Config{Self: fmt.Sprint(i), Members: []string{"0", "1", "2"}, HeartbeatInterval: interval,
			IsolationTimeout: 3 * interval, SlowStartStep: interval, MaxIsolation: time.Minute}
		u, err := NewUplink(cfg, 1)
		if err != nil {
			panic(err) // the configuration above is valid
		}
		u.Observe(s.now, DiscoveryAnswered)
		s.uplinks[i], s.hasSignal[i] = u, true
	}
	return s
}

func (s *siteModel) tick(i int) {
	u := s.uplinks[i]
	if s.hasSignal[i] {
		u.Observe(s.now, PingAnswered)
	}
	if s.defect == ignoredSignal && !s.hasSignal[(i+1)%3] {
		u.lastSignal -= u.config.IsolationTimeout // it takes the lost uplink of another member for its own
	}
	if s.defect == endlessHeartbeats {
		for from, heartbeat := range u.heartbeats {
			heartbeat.sentAt = s.now
			u.heartbeats[from] = heartbeat
		}
	}
	if s.defect == oneIsEnough {
		u.config.Members = u.config.Members[:1]
	}
	out := u.Tick(s.now, 0)
	u.config.Members = u.config.Members[:3]
	if u.isolated() {
		s.isolatedAt[i] = append(s.isolatedAt[i], s.now)
	}
	if out.Phase == Isolated && s.phase[i] != Isolated {
		s.err = s.checkIsolated(i)
	}
	s.phase[i], s.validUntil[i] = out.Phase, out.Until
	if s.defect == endlessShare {
		s.validUntil[i] += time.Minute
	}
	if out.Phase != Connected && s.validUntil[i] > s.now+heartbeatsValid*interval && s.err == nil {
		s.err = fmt.Errorf("member %d has a share that is valid for %v", i, s.validUntil[i]-s.now)
	}
	for _, to := range out.Recipients {
		j := int(to[0] - '0')
		// Repeated heartbeats are dropped: their loss makes no difference.
		if heartbeat := s.inTransit[i][j]; j == 0 && (heartbeat == nil ||
			heartbeat.Isolated != out.Heartbeat.Isolated) {
			s.inTransit[i][j], s.sentAt[i][j] = &out.Heartbeat, s.now
		}
	}
}

// checkIsolated returns an error if a member entered Isolated although no majority was without a signal
// within the time for which a heartbeat is valid, or although the member itself has a signal.
func (s *siteModel) checkIsolated(i int) error {
	n := 0
	for k := range 3 {
		if slices.ContainsFunc(s.isolatedAt[k],
			func(at time.Duration) bool { return s.now-at <= heartbeatsValid*interval }) {
			n++
		}
	}
	switch {
	case n < 2:
		return fmt.Errorf("member %d is isolated, but %d of 3 members had no signal", i, n)
	case s.hasSignal[i]:
		return fmt.Errorf("member %d is isolated, but has a signal", i)
	}
	return nil
}

// The events of an interval have a fixed order: first uplinks fail or recover, then heartbeats are delivered,
// then members tick. A heartbeat that arrives after a tick is delivered in the next interval with its original
// send time, so other orders make no difference. Each event may happen or not.
const (
	uplinkEvents = 3
	deliveries   = 2
	ticks        = 3
)

// nextEvent moves on to the next event that may happen and returns it, or nil if the run is over.
func (s *siteModel) nextEvent() (do func()) {
	for {
		switch k := s.event; {
		case k < uplinkEvents:
			if s.hasSignal[k] && s.lossesRemaining > 0 {
				return func() { s.hasSignal[k] = false; s.lossesRemaining-- }
			} else if !s.hasSignal[k] && s.recoveriesRemaining > 0 {
				return func() { s.hasSignal[k] = true; s.recoveriesRemaining-- }
			}
		case k < uplinkEvents+deliveries:
			i := k - uplinkEvents + 1
			if heartbeat := s.inTransit[i][0]; heartbeat != nil {
				return func() { s.deliver(i, 0, *heartbeat) }
			}
		case k < uplinkEvents+deliveries+ticks:
			if s.pausesRemaining == 0 {
				s.tick(k - uplinkEvents - deliveries) // no member is paused
				break
			}
			return func() { s.tick(k - uplinkEvents - deliveries) }
		case s.intervalsRemaining == 0:
			return nil
		default:
			s.advance()
			continue
		}
		s.event++
	}
}

func (s *siteModel) steps() []func() {
	do := s.nextEvent()
	if do == nil {
		return nil
	}
	if s.event >= uplinkEvents+deliveries { // without the tick the member is paused
		return []func(){func() { s.event++; do() }, func() { s.event++; s.pausesRemaining-- }}
	}
	return []func(){func() { s.event++; do() }, func() { s.event++ }}
}

func (s *siteModel) deliver(i, j int, heartbeat Heartbeat) {
	s.inTransit[i][j] = nil
	u := s.uplinks[j]
	_ = u.Receive(s.now, heartbeat) // Receive rejects stale heartbeats
	if old := s.lastReceived[i]; s.defect == olderHeartbeat && old.Seq > 0 {
		r := u.heartbeats[heartbeat.From]
		r.Seq = 0
		u.heartbeats[heartbeat.From] = r
		_ = u.Receive(s.now, old)
	}
	s.lastReceived[i] = heartbeat
	if r, ok := u.heartbeats[heartbeat.From]; ok {
		r.sentAt = s.sentAt[i][j] // the exact time: an estimate by maxLinkDelay would be several intervals off
		u.heartbeats[heartbeat.From] = r
	}
}

func (s *siteModel) advance() {
	s.now += interval
	s.intervalsRemaining--
	s.event = 0
	for i := range 3 {
		for j := range 3 {
			if s.inTransit[i][j] != nil && s.now-s.sentAt[i][j] > 2*interval {
				s.inTransit[i][j] = nil // lost
			}
		}
	}
}

// Steps, Do, Clone and Hash implement interleave.State.

func (s *siteModel) Steps() int { return len(s.steps()) }

func (s *siteModel) Do(i int) error {
	s.steps()[i]()
	return s.err
}

func (s *siteModel) Clone() *siteModel {
	c := *s
	for i, u := range s.uplinks {
		x := *u
		// Random numbers only select the recipients, and here that is every other member.
		x.heartbeats, x.rng = maps.Clone(u.heartbeats), rand.New(rand.NewPCG(1, 1))
		c.uplinks[i], c.isolatedAt[i] = &x, slices.Clone(s.isolatedAt[i])
	}
	return &c
}

// Hash returns a hash of everything that can affect the rest of a run. Times are hashed as ages, limited to
// the largest age that makes a difference.
func (s *siteModel) Hash() uint64 {
	f := fnv.New64a()
	age := func(at, limit time.Duration) int { return int(min(s.now-at, limit) / interval) }
	fmt.Fprint(f, s.intervalsRemaining, s.event, s.hasSignal, s.phase, s.lossesRemaining, s.recoveriesRemaining,
		s.pausesRemaining)
	for i, u := range s.uplinks {
		fmt.Fprint(f, age(u.lastSignal, 4*interval), age(u.signalsSince, 7*interval), u.anySignal, age(u.lastTick,
			9*interval), u.announcedIsolated, age(u.phaseBegan, 3*interval), "/")
		for j, m := range u.config.Members {
			if heartbeat, ok := u.heartbeats[m]; ok && age(heartbeat.sentAt, 9*interval) <= heartbeatsValid {
				fmt.Fprint(f, m, heartbeat.Isolated, age(heartbeat.sentAt, 9*interval))
			}
			if heartbeat := s.inTransit[i][j]; heartbeat != nil {
				fmt.Fprint(f, "m", j, heartbeat.Isolated, age(s.sentAt[i][j], 9*interval))
			}
		}
		if n := len(s.isolatedAt[i]); n > 0 { // only the last one matters
			fmt.Fprint(f, "q", s.lastReceived[i].Isolated, age(s.isolatedAt[i][n-1], 9*interval))
		}
	}
	return f.Sum64()
}

// In all interleavings of ticks, pauses, delivered and lost heartbeats, and failures and recoveries of uplinks,
// no member enters Isolated without a majority that has no signal. The model checker finds each defect.
func TestInterleavingsOfAnIsolatedSite(t *testing.T) {
	for _, c := range []runLimits{{5, 3, 0, 0}, {5, 2, 1, 0}, {4, 2, 0, 1}} {
		r := interleave.Search(newSiteModel(none, c), 1_000_000)
		t.Logf("%+v: %v", c, r)
		if r.Err != nil || !r.Exhausted {
			t.Errorf("%+v: %v", c, r)
		}
	}
	for injected, c := range map[defect]runLimits{endlessHeartbeats: {10, 2, 1, 0}, oneIsEnough: {5, 1, 0, 0},
		ignoredSignal: {5, 2, 0, 0}, olderHeartbeat: {10, 2, 1, 0}, endlessShare: {5, 2, 0, 0}} {
		r := interleave.Search(newSiteModel(injected, c), 1_000_000)
		if r.Err == nil {
			t.Errorf("%s: not found: %v", injected, r)
			continue
		}
		t.Logf("%s: %v", injected, r)
		if err := interleave.Walk(newSiteModel(injected, c), r.Trace); err == nil {
			t.Errorf("%s: replaying the trace returns no error", injected)
		}
	}
}

// setModel is the state of the server sets of three members. The first member receives the reports of
// discovery, which move a server through its states and on to its next process. Any member may send its set to
// another at any time, and the third may restart with an empty set.
type setModel struct {
	defect    defect
	sets      [3]*ServerSet
	reported  int       // number of reports that discovery has made
	lastKnown [3]record // record of the server in each set after the last step
	restarts  int       // restarts that may still happen
	err       error     // violation of an invariant
}

// reports are what discovery reports in turn.
var reports = []Entry{{"s", 1, Up, 0}, {"s", 1, Draining, 0}, {"s", 1, Removed, 0}, {"s", 2, Up, 0}, {"s", 2,
	Draining, 0}}

func newSetModel(injected defect) *setModel {
	s := &setModel{defect: injected, restarts: 1}
	for i := range s.sets {
		s.sets[i] = NewServerSet()
	}
	return s
}

func (s *setModel) steps() (steps []func()) {
	if s.reported < len(reports) {
		steps = append(steps, func() {
			s.sets[0].ApplyDiscovery(0, reports[s.reported:s.reported+1], false)
			s.reported++
			s.check()
		})
	}
	for i := range 3 {
		for j := range 3 {
			if i != j {
				steps = append(steps, func() { s.send(i, j) })
			}
		}
	}
	if s.restarts > 0 {
		steps = append(steps, func() {
			s.restarts--
			s.sets[2], s.lastKnown[2] = NewServerSet(), record{}
			if s.defect == lostEntries {
				s.lastKnown[2] = s.lastKnown[1] // it should have kept what the second member knows
			}
			s.check()
		})
	}
	return steps
}

func (s *setModel) send(i, j int) {
	if s.defect == olderReport {
		for id, k := range s.sets[i].servers {
			s.sets[j].servers[id] = k
		}
	} else if _, err := s.sets[j].Merge(0, s.sets[i].Entries(0)); err != nil {
		s.err = err
	}
	s.check()
}

// check sets err if a record moved back without a restart of its member, or if it is newer than the last
// report of discovery.
func (s *setModel) check() {
	for i, set := range s.sets {
		k := set.servers["s"]
		if s.lastKnown[i].newerThan(k) {
			s.err = fmt.Errorf("member %d moved back to %+v from %+v", i, k, s.lastKnown[i])
		}
		s.lastKnown[i] = k
		last := record{}
		if s.reported > 0 {
			e := reports[s.reported-1]
			last = record{e.Incarnation, e.State, 0}
		}
		if k.newerThan(last) {
			s.err = fmt.Errorf("member %d has %+v, which discovery has not reported", i, k)
		}
	}
}

func (s *setModel) Steps() int { return len(s.steps()) }

func (s *setModel) Do(i int) error {
	s.steps()[i]()
	return s.err
}

func (s *setModel) Clone() *setModel {
	c := *s
	for i, x := range s.sets {
		c.sets[i] = &ServerSet{maps.Clone(x.servers), x.digest}
	}
	return &c
}

func (s *setModel) Hash() uint64 {
	f := fnv.New64a()
	fmt.Fprint(f, s.reported, s.restarts, s.lastKnown)
	for _, x := range s.sets {
		fmt.Fprint(f, x.servers["s"])
	}
	return f.Sum64()
}

func TestInterleavingsOfThreeServerSets(t *testing.T) {
	r := interleave.Search(newSetModel(none), 100_000)
	t.Log(r)
	if r.Err != nil || !r.Exhausted {
		t.Error(r)
	}
	for _, injected := range []defect{olderReport, lostEntries} {
		if r := interleave.Search(newSetModel(injected), 100_000); r.Err == nil {
			t.Errorf("%s: not found: %v", injected, r)
		} else {
			t.Logf("%s: %v", injected, r)
		}
	}
}
