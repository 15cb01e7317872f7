package ejection

import (
	"fmt"
	"hash/fnv"
	"maps"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
	"chalkdoor.example/chalkdoor/internal/interleave"
)

// defect is what is done wrong on purpose, to see that the checker finds it.
type defect string

const (
	none          defect = ""
	forgetPromise defect = "a promise is forgotten with the answer"
	noQuarantine  defect = "a voter that starts again votes at once"
	wrongEnd      defect = "a lease is counted from when the letter came"
	wholeCap      defect = "each voter promises as much as the site may eject"
	staleTable    defect = "a standing has no end"
	notSynced     defect = "a promise is made before its cover is on disk"
)

// small is three voters, two of whose three hosts are bad, at every moment that matters: a
// step is a voter's tick, a letter that comes, time that passes, or a crash. Letters wait one
// for each way, the newest; one that is never taken is lost, and a voter that is not let tick
// is paused.
type small struct {
	bad      defect
	now      time.Duration
	voters   [3]*voter3
	mail     [3][3]*VoteMessage
	says     [3][3]string // the last sent on each way
	promised map[string]time.Duration
	passed   int
	crashes  int
	seconds  int           // that may pass, and
	mayCrash int           // crashes of the first voter
	covers   bool          // which has a disk, and
	disk     time.Duration // until when it says that promises may stand
	saving   time.Duration // and what is being written; 0: nothing
	mayHeal  bool          // the first host gets well in the eyes of the first voter
}

type voter3 struct {
	core  *Voter
	log   *outlier.Log
	due   bool // something came, or time passed, since its tick
	table []Standing
	seen  []time.Duration // when it met the bad hosts
	well  time.Duration   // from when on the first of them is well to it; 0: never
}

var three = []outlier.ListedHost{{Host: outlier.Host{ID: "x"}, Zone: "z", Weight: 1}, {Host: outlier.Host{ID: "y"}, Zone: "z", Weight: 1}, {Host: outlier.Host{ID: "w"}, Zone: "z", Weight: 1}}

func (s *small) config(i int, boot uint64) Config {
	c := Config{Self: fmt.Sprint("v", i), Incarnation: boot, Electorate: Electorate{Number: 1, Members: []string{"v0", "v1", "v2"}}, MaxEjectedFraction: 0.5, Lease: 2 * time.Second,
		MaxLease: 2 * time.Second, MaxEvidenceAge: 2 * time.Second, EscalationWindow: 0, SlowStartStep: time.Second, TrialInterval: time.Second, EarlierPromisesFor: -1}
	if s.bad == wholeCap {
		c.MaxEjectedFraction = 0.5 * 3 / 2 * 2
	}
	return c
}

func newSmall(bad defect) *small {
	s := &small{bad: bad, promised: map[string]time.Duration{}, now: 10 * time.Second}
	for i := range s.voters {
		s.start(i, uint64(1+i))
		s.voters[i].core.started, s.voters[i].core.startedAt = true, 0 // long out of quarantine
		s.see(i)
	}
	return s
}

// start is a new life that knows nothing.
func (s *small) start(i int, boot uint64) {
	cfg := s.config(i, boot)
	log := outlier.New(cfg.MaxEvidenceAge)
	log.SetHosts(three)
	core := &Voter{config: cfg, evidence: log, isMember: true, peers: map[string]*peer{}, own: map[outlier.Host]*ownVote{}, ejections: map[outlier.Host]*ejection{}}
	for _, m := range cfg.Electorate.Members {
		if m != cfg.Self {
			core.peers[m] = &peer{votes: map[outlier.Host]peerVote{}}
		}
	}
	if s.covers && i == 0 {
		core.config.PersistsPromises, core.config.EarlierPromisesFor = true, max(s.disk-s.now, 0)
		s.saving = 0 // what was not synced is lost
	}
	if s.bad == noQuarantine {
		core.started, core.startedAt = true, s.now-time.Hour
	}
	s.voters[i] = &voter3{core: core, log: log, due: true}
}

// fails is who fails on which: the first voter on both bad hosts, so that with either of the
// others it is a majority against one of them.
var fails = [3][]int{{0, 1}, {0}, {1}}

// see lets a voter meet the bad hosts now.
func (s *small) see(i int) { s.seeAt(i, s.now) }

func (s *small) seeAt(i int, at time.Duration) {
	v := s.voters[i]
	v.seen = append(v.seen, at)
	for _, h := range fails[i] {
		kind := outlier.Failure
		if v.well > 0 && at >= v.well && h == 0 {
			kind = outlier.Success
		}
		v.log.Observe(outlier.Observation{Host: three[h].Host, Outcome: kind, LatencyRatio: 0.1, Sent: at, Ended: at})
	}
}

func (s *small) tick(i int) {
	v := s.voters[i]
	v.due = false
	if s.bad == forgetPromise {
		for _, m := range v.core.own {
			if m.vote != Grant || m.until <= s.now {
				m.promisedUntil = 0
			}
		}
	}
	out := v.core.Tick(s.now)
	for to, l := range out.Messages {
		j := int(to[1] - '0')
		if says := said3(l); s.says[i][j] != says { // what only says the same again may as well be lost
			s.says[i][j] = says
			s.mail[i][j] = l
		}
	}
	if out.PersistPromisesUntil > 0 && s.saving == 0 && i == 0 {
		s.saving = out.PersistPromisesUntil
		if s.bad == notSynced {
			v.core.PromisesPersisted(out.PersistPromisesUntil)
			v.due = true
		}
	}
	if out.StandingsChanged {
		v.table = out.Standings
	}
	for _, n := range out.Trace {
		if n.Kind == "grant" || n.Kind == "renew" {
			key := v.core.config.Self + n.Host.ID
			s.promised[key] = max(s.promised[key], n.Until)
		}
	}
}

func (s *small) deliver(i, j int, l *VoteMessage) {
	c := *l
	if s.bad == wrongEnd && c.EchoIncarnation != 0 {
		c.Echo, c.EchoAge = s.now, 0
	}
	v := s.voters[j]
	_ = v.core.Receive(s.now, &c) // what is stale is dropped
	v.due = true
}

// check is the invariant: over the views of all, paused or not, no more than the cap is
// ejected, and what a view holds ejected a majority has promised still.
func (s *small) check() error {
	out := map[string]bool{}
	for _, v := range s.voters {
		for _, st := range v.table {
			if st.Share > 0 || st.Until <= s.now && s.bad != staleTable {
				continue
			}
			out[st.Host.ID] = true
			n := 0
			for k := range 3 {
				if s.promised[fmt.Sprint("v", k)+st.Host.ID] > s.now {
					n++
				}
			}
			if n < 2 {
				return fmt.Errorf("%s holds %s ejected on the promises of %d of 3", v.core.config.Self, st.Host.ID, n)
			}
		}
	}
	if float64(len(out))/3 > 0.5 {
		return fmt.Errorf("%d of 3 are ejected, the cap is 0.5", len(out))
	}
	return nil
}

// said3 is what a letter says, without its times.
func said3(l *VoteMessage) string {
	text := fmt.Sprint(l.Incarnation)
	for _, e := range l.Entries {
		text += fmt.Sprint(" ", e.Host.ID, e.Vote)
		if e.Vote == Grant {
			text += fmt.Sprint(l.Sent + e.ValidFor)
		}
	}
	return text
}

// state is a hash of all that matters to what follows.
func (s *small) state() uint64 {
	f := fnv.New64a()
	fmt.Fprint(f, s.now, s.passed, s.crashes, s.promised, s.disk, s.saving, s.voters[0].core.persistedUntil)
	for i, v := range s.voters {
		c := v.core
		fmt.Fprint(f, v.due, v.table, v.well, c.startedAt, c.config.Incarnation, s.says[i])
		for _, h := range three {
			if m := c.own[h.Host]; m != nil {
				fmt.Fprint(f, *m)
			}
			if t := c.ejections[h.Host]; t != nil {
				fmt.Fprint(f, *t)
			}
			r, _ := v.log.Record(h.Host, s.now)
			fmt.Fprint(f, r)
		}
		for _, name := range []string{"v0", "v1", "v2"} {
			if p := c.peers[name]; p != nil {
				fmt.Fprint(f, p.incarnation, p.newestSent)
				for _, h := range three {
					fmt.Fprint(f, p.votes[h.Host])
				}
			}
		}
		for j := range s.mail[i] {
			if l := s.mail[i][j]; l != nil {
				fmt.Fprint(f, i, j, *l)
			}
		}
	}
	return f.Sum64()
}

// Steps, Do, Clone and Hash make it a state to search.

func (s *small) Steps() int { return len(s.steps()) }

func (s *small) Do(i int) error {
	s.steps()[i]()
	return s.check()
}

func (s *small) Hash() uint64 { return s.state() }

func (s *small) steps() (steps []func()) {
	for i, v := range s.voters {
		if v.due {
			steps = append(steps, func() { s.tick(i) })
		}
		for j := range s.mail[i] {
			if l := s.mail[i][j]; l != nil {
				steps = append(steps, func() {
					s.mail[i][j] = nil
					s.deliver(i, j, l)
					s.tick(j)
				})
			}
		}
	}
	if s.saving > 0 {
		steps = append(steps, func() {
			s.disk, s.saving = s.saving, 0
			s.voters[0].core.PromisesPersisted(s.disk)
			s.voters[0].due = true
		})
	}
	if s.crashes < s.mayCrash {
		steps = append(steps, func() {
			s.crashes++
			s.start(0, uint64(10+s.crashes))
			s.see(0)
		})
	}
	if s.mayHeal && s.voters[0].well == 0 {
		steps = append(steps, func() {
			s.voters[0].well = s.now + 1 // after its last failure
			s.seeAt(0, s.now+1)
			s.voters[0].due = true
		})
	}
	if s.passed < s.seconds {
		steps = append(steps, func() {
			s.passed++
			s.now += time.Second
			for i := range s.voters {
				s.voters[i].due = true
				s.see(i)
			}
		})
	}
	return steps
}

func (s *small) Clone() *small {
	n := *s
	n.promised = maps.Clone(s.promised)
	for i, v := range s.voters {
		w := *v
		w.log = outlier.New(v.core.config.MaxEvidenceAge)
		w.log.SetHosts(three)
		w.seen = nil
		core := *v.core
		core.evidence, core.actions = w.log, nil
		core.peers, core.own, core.ejections = map[string]*peer{}, map[outlier.Host]*ownVote{}, map[outlier.Host]*ejection{}
		for k, p := range v.core.peers {
			q := *p
			q.votes = maps.Clone(p.votes)
			core.peers[k] = &q
		}
		for k, m := range v.core.own {
			o := *m
			core.own[k] = &o
		}
		for k, t := range v.core.ejections {
			o := *t
			core.ejections[k] = &o
		}
		w.core = &core
		n.voters[i] = &w
		for _, at := range v.seen {
			n.seeAt(i, at)
		}
	}
	return &n
}

// begun is the voters as they have heard of each other: who has no echo yet counts nothing.
func begun(bad defect, seconds, crashes int, heal, disk bool) *small {
	s := newSmall(bad)
	s.seconds, s.mayCrash, s.mayHeal, s.covers = seconds, crashes, heal, disk
	s.voters[0].core.config.PersistsPromises = disk
	for range 2 {
		for i := range 3 {
			c := s.voters[i].core
			c.actions = &Actions{Messages: map[string]*VoteMessage{}}
			c.advanceClock(s.now)
			c.queueMessages([]string{"v0", "v1", "v2"})
			for to, l := range c.actions.Messages {
				s.deliver(i, int(to[1]-'0'), l)
			}
		}
	}
	return s
}

// Three voters, two motions that together break the cap, with a crash or a change of mind: all
// orders of ticks and letters, lost and late ones too, keep the cap and the majority.
func TestAllOrdersKeepTheCap(t *testing.T) {
	for _, c := range []struct {
		name       string
		seconds    int
		crashes    int
		heal       bool
		mostStates int
		exhausted  bool
		disk       bool
	}{
		{"two motions", 0, 0, false, 1e6, true, false},
		{"and a voter that starts again without memory", 0, 1, false, 1e6, true, false},
		{"and a voter that starts again with its disk", 0, 1, false, 1e6, true, true},
		{"and a voter that changes its mind", 0, 0, true, 1e6, true, false},
		{"and leases that lapse, as far as it goes", 3, 0, false, 5000, false, false},
	} {
		res := interleave.Search(begun(none, c.seconds, c.crashes, c.heal, c.disk), c.mostStates)
		if res.Err != nil || res.Exhausted != c.exhausted {
			t.Errorf("%s: %s", c.name, res)
		}
		t.Logf("%s: %s", c.name, res)
	}
}

// Each defect is found, or the checker is not believed; the trace leads to it again.
func TestDefectsAreFound(t *testing.T) {
	for _, c := range []struct {
		bad              defect
		seconds, crashes int
		heal             bool
		trace            string
		disk             bool
	}{
		{wholeCap, 0, 0, false, "0 0 0 0 3", false},
		{noQuarantine, 0, 1, false, "1 1 0 2 4 3 1 2", false},
		{forgetPromise, 0, 0, true, "1 1 0 0 4 0 4", false},
		{staleTable, 2, 0, false, "0 0 1 4 6", false},
		{wrongEnd, 2, 0, false, "0 0 4 3 5", false},
		{notSynced, 0, 1, false, "1 1 0 0 2 5 3 1 2 0", true},
	} {
		start := func(bad defect) *small { return begun(bad, c.seconds, c.crashes, c.heal, c.disk) }
		res := interleave.Search(start(c.bad), 100_000)
		if res.Err == nil || res.Trace != c.trace {
			t.Errorf("%s: %s, want it found by %s", c.bad, res, c.trace)
			continue
		}
		if err := interleave.Walk(start(c.bad), res.Trace); err == nil || err.Error() != res.Err.Error() {
			t.Errorf("%s: its trace leads to %v, want %v", c.bad, err, res.Err)
		}
	}
}
