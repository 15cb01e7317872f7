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

// defect is what is done wrong on purpose, to see that the checker finds it.
type defect string

const (
	none         defect = ""
	wordsForever defect = "a word holds for ever"
	olderWord    defect = "an older word takes the place of a newer one"
	halfIsEnough defect = "half of the members are enough"
	deafToSelf   defect = "a member goes dark though it hears something"
	endlessShare defect = "a share has no end"
	oldForNew    defect = "an older telling of a server takes the place of a newer one"
	lostTelling  defect = "what a neighbour was told is forgotten at a restart"
)

const beat = 50 * time.Millisecond

// dark3 is a site of three at every moment that matters: members tick or are paused, words come
// or are lost, beats pass, uplinks go and come back. A word that has been on its way for longer
// than links may take is lost. What a member says depends on what it hears from outside alone, so
// words to the first member are enough: the others decide as it does.
type dark3 struct {
	bad    defect
	now    time.Duration
	up     [3]*Uplink
	hears  [3]bool            // its uplink is there
	quiet  [3][]time.Duration // when it found at a tick that it hears nothing
	at     int                // in the beat
	mail   [3][3]*Heartbeat
	sent   [3][3]time.Duration
	old    [3]Heartbeat // the last that came from each
	phase  [3]Phase
	until  [3]time.Duration
	wrong  error
	beats  int // that may pass
	losses int // of uplinks that may happen
	heals  int
	pauses int // of a member, a beat each
}

// run3 is what may happen in a run.
type run3 struct{ beats, losses, heals, pauses int }

func newDark3(bad defect, may run3) *dark3 {
	s := &dark3{bad: bad, beats: may.beats, losses: may.losses, heals: may.heals, pauses: may.pauses, now: time.Minute}
	for i := range s.up {
		cfg := Config{Self: fmt.Sprint(i), Members: []string{"0", "1", "2"}, HeartbeatInterval: beat, IsolationTimeout: 3 * beat, SlowStartStep: beat, MaxIsolation: time.Minute}
		u, err := NewUplink(cfg, 1)
		if err != nil {
			panic(err) // of this test's own making
		}
		u.Observe(s.now, DiscoveryAnswered)
		s.up[i], s.hears[i] = u, true
	}
	return s
}

func (s *dark3) tick(i int) {
	u := s.up[i]
	if s.hears[i] {
		u.Observe(s.now, PingAnswered)
	}
	if s.bad == deafToSelf && !s.hears[(i+1)%3] {
		u.lastSignal -= u.config.IsolationTimeout // it goes by another's ears
	}
	if s.bad == wordsForever {
		for from, w := range u.heartbeats {
			w.sentAt = s.now
			u.heartbeats[from] = w
		}
	}
	if s.bad == halfIsEnough {
		u.config.Members = u.config.Members[:1]
	}
	out := u.Tick(s.now, 0)
	u.config.Members = u.config.Members[:3]
	if u.isolated() {
		s.quiet[i] = append(s.quiet[i], s.now)
	}
	if out.Phase == Isolated && s.phase[i] != Isolated {
		s.wrong = s.entered(i)
	}
	s.phase[i], s.until[i] = out.Phase, out.Until
	if s.bad == endlessShare {
		s.until[i] += time.Minute
	}
	if out.Phase != Connected && s.until[i] > s.now+heartbeatsValid*beat && s.wrong == nil {
		s.wrong = fmt.Errorf("%d holds a share for %v", i, s.until[i]-s.now)
	}
	for _, to := range out.Recipients {
		j := int(to[0] - '0')
		if w := s.mail[i][j]; j == 0 && (w == nil || w.Isolated != out.Heartbeat.Isolated) { // what says the same again may as well be lost
			s.mail[i][j], s.sent[i][j] = &out.Heartbeat, s.now
		}
	}
}

// entered is the invariant of a member that goes dark: a strict majority, in truth and not
// longer ago than words hold and links take, heard nothing; it itself hears nothing now.
func (s *dark3) entered(i int) error {
	n := 0
	for k := range 3 {
		if slices.ContainsFunc(s.quiet[k], func(at time.Duration) bool { return s.now-at <= heartbeatsValid*beat }) {
			n++
		}
	}
	switch {
	case n < 2:
		return fmt.Errorf("%d goes dark, and %d of 3 hear nothing", i, n)
	case s.hears[i]:
		return fmt.Errorf("%d goes dark, and hears what lies outside", i)
	}
	return nil
}

// The order within a beat is one of those that differ in what follows: first uplinks go and
// come back, then words come, then members tick. A word that is to come after a tick comes in
// the next beat, dated as it was sent. Each of these may happen or not; at is the next of them.
const (
	toggles = 3
	words   = 2
	ticks   = 3
)

// next moves on to the first thing that may happen, or to the next beat; nil: the run is over.
func (s *dark3) next() (do func()) {
	for {
		switch k := s.at; {
		case k < toggles:
			if s.hears[k] && s.losses > 0 {
				return func() { s.hears[k] = false; s.losses-- }
			} else if !s.hears[k] && s.heals > 0 {
				return func() { s.hears[k] = true; s.heals-- }
			}
		case k < toggles+words:
			i := k - toggles + 1
			if w := s.mail[i][0]; w != nil {
				return func() { s.deliver(i, 0, *w) }
			}
		case k < toggles+words+ticks:
			if s.pauses == 0 {
				s.tick(k - toggles - words) // all run
				break
			}
			return func() { s.tick(k - toggles - words) }
		case s.beats == 0:
			return nil
		default:
			s.pass()
			continue
		}
		s.at++
	}
}

func (s *dark3) steps() []func() {
	do := s.next()
	if do == nil {
		return nil
	}
	if s.at >= toggles+words { // not to tick is a pause
		return []func(){func() { s.at++; do() }, func() { s.at++; s.pauses-- }}
	}
	return []func(){func() { s.at++; do() }, func() { s.at++ }}
}

func (s *dark3) deliver(i, j int, w Heartbeat) {
	s.mail[i][j] = nil
	u := s.up[j]
	_ = u.Receive(s.now, w) // what is stale is dropped
	if old := s.old[i]; s.bad == olderWord && old.Seq > 0 {
		r := u.heartbeats[w.From]
		r.Seq = 0
		u.heartbeats[w.From] = r
		_ = u.Receive(s.now, old)
	}
	s.old[i] = w
	if r, ok := u.heartbeats[w.From]; ok {
		r.sentAt = s.sent[i][j] // the stated bound of links is longer than this run: as known exactly
		u.heartbeats[w.From] = r
	}
}

func (s *dark3) pass() {
	s.now += beat
	s.beats--
	s.at = 0
	for i := range 3 {
		for j := range 3 {
			if s.mail[i][j] != nil && s.now-s.sent[i][j] > 2*beat {
				s.mail[i][j] = nil // longer than links take
			}
		}
	}
}

// Steps, Do, Clone and Hash make it a state to search.

func (s *dark3) Steps() int { return len(s.steps()) }

func (s *dark3) Do(i int) error {
	s.steps()[i]()
	return s.wrong
}

func (s *dark3) Clone() *dark3 {
	c := *s
	for i, u := range s.up {
		x := *u
		x.heartbeats, x.rng = maps.Clone(u.heartbeats), rand.New(rand.NewPCG(1, 1)) // draws matter for whom a word goes to: here to all
		c.up[i], c.quiet[i] = &x, slices.Clone(s.quiet[i])
	}
	return &c
}

// Hash is of what matters to what follows: times as ages, no longer than what they are compared
// with.
func (s *dark3) Hash() uint64 {
	f := fnv.New64a()
	age := func(at, most time.Duration) int { return int(min(s.now-at, most) / beat) }
	fmt.Fprint(f, s.beats, s.at, s.hears, s.phase, s.losses, s.heals, s.pauses)
	for i, u := range s.up {
		fmt.Fprint(f, age(u.lastSignal, 4*beat), age(u.signalsSince, 7*beat), u.anySignal, age(u.lastTick, 9*beat), u.announcedIsolated, age(u.phaseBegan, 3*beat), "/")
		for j, m := range u.config.Members {
			if w, ok := u.heartbeats[m]; ok && age(w.sentAt, 9*beat) <= heartbeatsValid {
				fmt.Fprint(f, m, w.Isolated, age(w.sentAt, 9*beat))
			}
			if w := s.mail[i][j]; w != nil {
				fmt.Fprint(f, "m", j, w.Isolated, age(s.sent[i][j], 9*beat))
			}
		}
		if n := len(s.quiet[i]); n > 0 { // the last tells
			fmt.Fprint(f, "q", s.old[i].Isolated, age(s.quiet[i][n-1], 9*beat))
		}
	}
	return f.Sum64()
}

// Through all orders of ticks, words, losses of words, pauses and uplinks that go and come
// back nobody goes dark without a majority that hears nothing; each defect is found.
func TestInterleavingsOfAnIsolatedSite(t *testing.T) {
	for _, c := range []run3{{5, 3, 0, 0}, {5, 2, 1, 0}, {4, 2, 0, 1}} {
		r := interleave.Search(newDark3(none, c), 1_000_000)
		t.Logf("%+v: %v", c, r)
		if r.Err != nil || !r.Exhausted {
			t.Errorf("%+v: %v", c, r)
		}
	}
	for bad, c := range map[defect]run3{wordsForever: {10, 2, 1, 0}, halfIsEnough: {5, 1, 0, 0}, deafToSelf: {5, 2, 0, 0}, olderWord: {10, 2, 1, 0}, endlessShare: {5, 2, 0, 0}} {
		r := interleave.Search(newDark3(bad, c), 1_000_000)
		if r.Err == nil {
			t.Errorf("%s: not found: %v", bad, r)
			continue
		}
		t.Logf("%s: %v", bad, r)
		if err := interleave.Walk(newDark3(bad, c), r.Trace); err == nil {
			t.Errorf("%s: its trace does not replay", bad)
		}
	}
}

// sets3 is the sets of three neighbours: one hears discovery, which moves a server through its
// states and its next process; each may hand its set to another at any moment, and one may
// start again with nothing.
type sets3 struct {
	bad      defect
	set      [3]*ServerSet
	told     int // of tellings
	floor    [3]record
	restarts int
	wrong    error
}

var tellings = []Entry{{"s", 1, Up, 0}, {"s", 1, Draining, 0}, {"s", 1, Removed, 0}, {"s", 2, Up, 0}, {"s", 2, Draining, 0}}

func newSets3(bad defect) *sets3 {
	s := &sets3{bad: bad, restarts: 1}
	for i := range s.set {
		s.set[i] = NewServerSet()
	}
	return s
}

func (s *sets3) steps() (steps []func()) {
	if s.told < len(tellings) {
		steps = append(steps, func() {
			s.set[0].ApplyDiscovery(0, tellings[s.told:s.told+1], false)
			s.told++
			s.check()
		})
	}
	for i := range 3 {
		for j := range 3 {
			if i != j {
				steps = append(steps, func() { s.hand(i, j) })
			}
		}
	}
	if s.restarts > 0 {
		steps = append(steps, func() {
			s.restarts--
			s.set[2], s.floor[2] = NewServerSet(), record{}
			if s.bad == lostTelling {
				s.floor[2] = s.floor[1] // it is taken to know what it does not
			}
			s.check()
		})
	}
	return steps
}

func (s *sets3) hand(i, j int) {
	if s.bad == oldForNew {
		for id, k := range s.set[i].servers {
			s.set[j].servers[id] = k
		}
	} else if _, err := s.set[j].Merge(0, s.set[i].Entries(0)); err != nil {
		s.wrong = err
	}
	s.check()
}

// check is the invariant: what one knows only moves forward in its life, and never past what
// discovery has told.
func (s *sets3) check() {
	for i, set := range s.set {
		k := set.servers["s"]
		if s.floor[i].newerThan(k) {
			s.wrong = fmt.Errorf("%d moved back to %+v from %+v", i, k, s.floor[i])
		}
		s.floor[i] = k
		last := record{}
		if s.told > 0 {
			e := tellings[s.told-1]
			last = record{e.Incarnation, e.State, 0}
		}
		if k.newerThan(last) {
			s.wrong = fmt.Errorf("%d knows %+v, which nobody was told", i, k)
		}
	}
}

func (s *sets3) Steps() int { return len(s.steps()) }

func (s *sets3) Do(i int) error {
	s.steps()[i]()
	return s.wrong
}

func (s *sets3) Clone() *sets3 {
	c := *s
	for i, x := range s.set {
		c.set[i] = &ServerSet{maps.Clone(x.servers), x.digest}
	}
	return &c
}

func (s *sets3) Hash() uint64 {
	f := fnv.New64a()
	fmt.Fprint(f, s.told, s.restarts, s.floor)
	for _, x := range s.set {
		fmt.Fprint(f, x.servers["s"])
	}
	return f.Sum64()
}

func TestInterleavingsOfThreeServerSets(t *testing.T) {
	r := interleave.Search(newSets3(none), 100_000)
	t.Log(r)
	if r.Err != nil || !r.Exhausted {
		t.Error(r)
	}
	for _, bad := range []defect{oldForNew, lostTelling} {
		if r := interleave.Search(newSets3(bad), 100_000); r.Err == nil {
			t.Errorf("%s: not found: %v", bad, r)
		} else {
			t.Logf("%s: %v", bad, r)
		}
	}
}
