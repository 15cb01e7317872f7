package ejection

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// newConvergedSim returns a site whose voters have left their quarantine.
func newConvergedSim(t testing.TB, seed uint64, members, hosts int) *sim {
	s := newSim(t, seed, members, hosts, 1)
	s.run(s.config.MaxLease + time.Second)
	if len(s.everEjected) > 0 {
		t.Fatalf("ejected without a fault: %v", s.everEjected)
	}
	return s
}

func TestUnhealthyHostIsEjectedAndReturnsBySlowStart(t *testing.T) {
	for _, n := range []int{1, 2, 3, 13, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newConvergedSim(t, 1, n, 12)
			h := s.hosts[3].Host
			s.outcomes[h] = outlier.Failure
			s.run(2 * time.Second)
			if got := s.ejectedAt(h); got != n {
				t.Fatalf("%d of %d hold it ejected, notes %v", got, n, s.trace)
			}
			if len(s.everEjected) != 1 {
				t.Errorf("also ejected: %v", s.everEjected)
			}
			delete(s.outcomes, h)
			s.run(s.config.MaxLease + 2*time.Second)
			if got := s.ejectedAt(h); got != 0 {
				t.Errorf("%d of %d still hold it ejected after it has recovered", got, n)
			}
			// Each member has seen all steps of its slow start.
			if got := s.countEvents("return", &h); got < n {
				t.Errorf("%d returns at %d members", got, n)
			}
			for _, m := range s.members {
				if st, ok := m.standings[h]; ok && st.Share != 1 {
					t.Errorf("%s gives it %v", m.name, st.Share)
				}
			}
		})
	}
}

func TestSlowStartShares(t *testing.T) {
	s := newConvergedSim(t, 2, 3, 12)
	h := s.hosts[0].Host
	s.outcomes[h] = outlier.Failure
	for s.ejectedAt(h) < 3 {
		s.run(tick)
	}
	delete(s.outcomes, h)
	var parts []float64
	for range 400 {
		s.run(tick)
		st, ok := s.members[0].standings[h]
		part := 1.0
		if ok && !st.Trial || ok && st.Share < 1 {
			part = st.Share
		}
		if len(parts) == 0 || parts[len(parts)-1] != part {
			parts = append(parts, part)
		}
	}
	for i, p := range parts[1:] { // upwards by one step at a time, downwards by any number
		if at := slices.Index(slowStartShares[:], parts[i]); p > parts[i] && (at+1 >= len(slowStartShares) || p != slowStartShares[at+1]) {
			t.Errorf("parts %v", parts)
		}
	}
	if parts[0] != 0 || parts[len(parts)-1] != 1 {
		t.Errorf("parts %v, want from 0 to 1", parts)
	}
}

// Each further ejection of a host lasts longer than the one before, and attempts at it stay few.
func TestRepeatedEjectionsLastLonger(t *testing.T) {
	s := newConvergedSim(t, 3, 3, 12)
	h := s.hosts[0].Host
	for range 3 {
		s.outcomes[h] = outlier.Failure
		s.run(2 * time.Second)
		delete(s.outcomes, h)
		s.run(5 * time.Second)
	}
	var lengths []time.Duration
	for i, n := range s.trace {
		if (n.Kind == "grant" || n.Kind == "renew") && s.tracedBy[i] == "n0" {
			lengths = append(lengths, n.Until)
		}
	}
	if first, last := lengths[0], lengths[len(lengths)-1]; first != s.config.Lease || last != s.config.MaxLease {
		t.Errorf("lengths of the grants: %v", lengths)
	}
	if s.failed > 60 {
		t.Errorf("%d attempts failed", s.failed)
	}
}

// A host that stays unhealthy gets nothing but trial attempts.
func TestEjectedHostGetsOnlyTrials(t *testing.T) {
	s := newConvergedSim(t, 4, 5, 12)
	h := s.hosts[0].Host
	s.outcomes[h] = outlier.Failure
	s.run(time.Second)
	before := s.failed
	s.run(10 * time.Second)
	// Some in each lease, and those between the expiry of a lease and the next majority.
	if got := s.failed - before; got < 4 || got > 20 {
		t.Errorf("%d attempts failed in 10 s", got)
	}
	held := 0
	for range 200 {
		s.run(tick)
		if s.ejectedAt(h) == 5 {
			held++
		}
	}
	if held < 120 {
		t.Errorf("all held it ejected in %d of 200 ticks", held)
	}
}

// A host that does not answer gets health checks in place of trials, so no request is lost to it.
func TestUnansweringHostIsProbed(t *testing.T) {
	s := newConvergedSim(t, 4, 5, 12)
	h := s.hosts[0].Host
	s.outcomes[h] = outlier.NoAnswer
	s.run(2 * time.Second)
	if s.ejectedAt(h) != 5 || s.failed > 8 {
		t.Errorf("%d of 5 hold it ejected after %d lost requests", s.ejectedAt(h), s.failed)
	}
	before := s.failed
	s.run(10 * time.Second)
	if s.failed > before || s.probes < 5 || s.ejectedAt(h) != 5 {
		t.Errorf("%d requests lost to trials, %d probes, %d of 5 hold it ejected", s.failed-before, s.probes, s.ejectedAt(h))
	}
	delete(s.outcomes, h)
	s.run(s.config.MaxLease + 2*time.Second)
	if s.ejectedAt(h) != 0 {
		t.Errorf("%d of 5 hold it ejected after it is back", s.ejectedAt(h))
	}
}

// With many unhealthy hosts no more than the cap is ejected (checked at each step), and once most hosts
// look unhealthy to an observer, it abstains.
func TestEjectionCapAndPanicThreshold(t *testing.T) {
	s := newConvergedSim(t, 5, 7, 12)
	for _, h := range s.hosts[:8] {
		s.outcomes[h.Host] = outlier.Failure
	}
	s.run(3 * time.Second)
	for _, h := range s.hosts {
		if got := s.ejectedAt(h.Host); got > 0 {
			t.Errorf("%d members hold %v ejected in a panic", got, h.Host)
		}
	}
	s = newConvergedSim(t, 5, 7, 12)
	for _, h := range s.hosts[:5] {
		s.outcomes[h.Host] = outlier.Failure
	}
	s.run(3 * time.Second)
	out := 0
	for _, h := range s.hosts {
		if s.ejectedAt(h.Host) == 7 {
			out++
		}
	}
	// A voter that has reached the cap traces it once for each host, not at each tick.
	if got := s.countEvents("over_cap", nil); got == 0 || got > 7*5*2 {
		t.Errorf("%d over_cap events of seven voters on five hosts", got)
	}
	// Seven voters may promise 0.5*4/7 of 12 each: three hosts, which need not be the same.
	if out < 3 || out > 6 {
		t.Errorf("%d hosts are ejected by all, want 3 to 6", out)
	}
}

// A bad link of three agents of thirteen makes every server look unhealthy to them; nobody is ejected.
func TestObserverWithMostHostsUnhealthyAbstains(t *testing.T) {
	s := newConvergedSim(t, 6, 13, 12)
	for range 80 {
		for _, m := range s.members[:3] {
			for _, h := range s.hosts {
				now := s.localTime(m)
				m.evidence.Observe(outlier.Observation{Host: h.Host, Outcome: outlier.NoAnswer, LatencyRatio: 1, Sent: now, Ended: now})
			}
		}
		s.run(2 * tick)
	}
	if len(s.everEjected) > 0 {
		t.Errorf("ejected: %v", s.everEjected)
	}
}

// Faulty voters short of a majority eject nobody; less than a third of the voters do not prevent an ejection.
func TestFaultyVoters(t *testing.T) {
	for _, c := range []struct{ members, liars int }{{3, 1}, {9, 2}, {13, 4}, {13, 6}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			s := newConvergedSim(t, 7, c.members, 12)
			healthy, unhealthy := s.hosts[0].Host, s.hosts[1].Host
			s.falsify = func(m *member, l *VoteMessage) {
				if !slices.Contains(s.config.Electorate.Members[:c.liars], m.name) {
					return
				}
				l.Entries = []Entry{{Host: healthy, Vote: Grant, Attempts: 9, Failures: 9, ValidFor: s.config.Lease}, {Host: unhealthy, Vote: Deny, Attempts: 9, ValidFor: s.config.MaxEvidenceAge}}
			}
			s.run(3 * time.Second)
			s.outcomes[unhealthy] = outlier.Failure
			s.run(6 * time.Second)
			if s.everEjected[healthy] {
				t.Errorf("a healthy host was ejected by %d faulty voters of %d", c.liars, c.members)
			}
			if 3*c.liars < c.members && s.ejectedAt(unhealthy) < c.members-c.liars {
				t.Errorf("%d of %d hold the unhealthy host ejected, %d are faulty", s.ejectedAt(unhealthy), c.members, c.liars)
			}
		})
	}
}

// In a site that is partitioned in two or three, a partition without a majority ejects nothing. After
// the partition heals all members agree within one round of heartbeats.
func TestPartitionedElectorate(t *testing.T) {
	for _, parts := range []int{2, 3} {
		s := newConvergedSim(t, 8, 9, 12)
		part := func(name string) int { // 5 and 4, or 3 each
			i := slices.Index(s.config.Electorate.Members, name)
			return min(i*parts/9, parts-1)
		}
		s.partitioned = func(a, b string) bool { return part(a) != part(b) }
		h := s.hosts[0].Host
		s.outcomes[h] = outlier.Failure
		s.run(3 * time.Second)
		for _, m := range s.members {
			in := 0
			for _, o := range s.members {
				if part(o.name) == part(m.name) {
					in++
				}
			}
			st, named := m.standings[h]
			ejected := named && st.Share == 0 && st.Until > s.localTime(m)
			if ejected != (in >= s.config.Electorate.Quorum()) {
				t.Errorf("%d parts: %s, one of %d, holds it ejected: %v", parts, m.name, in, ejected)
			}
		}
		s.partitioned = func(string, string) bool { return false }
		s.run(2 * time.Second)
		if got := s.ejectedAt(h); got != 9 {
			t.Errorf("%d parts: %d of 9 hold it ejected after the partition healed", parts, got)
		}
	}
}

// A host that restarted during the vote is a different host.
func TestNewIncarnationIsNotEjected(t *testing.T) {
	s := newConvergedSim(t, 9, 5, 12)
	old := s.hosts[0].Host
	s.outcomes[old] = outlier.Failure
	s.run(100 * time.Millisecond)
	s.hosts[0].Incarnation = 7
	fresh := s.hosts[0].Host
	for _, m := range s.members {
		m.evidence.SetHosts(s.hosts)
	}
	s.run(3 * time.Second)
	if s.everEjected[fresh] {
		t.Error("the new process was ejected for what the old one did")
	}
}

// A voter that resumes after a pause of 10 s with messages of that time counts no expired grant.
func TestPausedMemberIgnoresExpiredGrants(t *testing.T) {
	s := newConvergedSim(t, 10, 3, 12)
	h := s.hosts[0].Host
	s.outcomes[h] = outlier.Failure
	s.run(300 * time.Millisecond)
	m := s.members[2]
	m.pausedUntil = s.now + 10*time.Second
	s.run(time.Second)
	for _, o := range s.members[:2] {
		o.pausedUntil = s.now + 20*time.Second // the others send nothing newer
	}
	delete(s.outcomes, h)
	s.run(9*time.Second + tick)
	if st, ok := m.standings[h]; ok && st.Share == 0 && st.Until > s.localTime(m) {
		t.Errorf("awake at %v it holds the host ejected until %v", s.localTime(m), st.Until)
	}
}

// Whatever is lost, duplicated, delayed, paused, killed or partitioned: the cap holds over all members
// together at each step.
func TestCapHoldsUnderRandomFaults(t *testing.T) {
	ejected, returned := 0, 0
	for seed := range uint64(60) {
		n := []int{2, 3, 5, 9}[seed%4]
		s := newSim(t, 100+seed, n, 8, 2)
		s.lossRate, s.maxDelay = 0.2, 400*time.Millisecond
		for range 30 {
			switch s.rng.IntN(6) {
			case 0:
				m := s.members[s.rng.IntN(n)]
				m.pausedUntil = s.now + time.Duration(s.rng.Float64()*float64(6*time.Second))
			case 1:
				s.start(s.members[s.rng.IntN(n)])
			case 2:
				k := 1 + s.rng.IntN(n)
				s.partitioned = func(a, b string) bool { return (a < fmt.Sprint("n", k)) != (b < fmt.Sprint("n", k)) }
			case 3:
				s.partitioned = func(string, string) bool { return false }
			case 4:
				s.outcomes[s.hosts[s.rng.IntN(8)].Host] = outlier.Failure
			case 5:
				clear(s.outcomes)
			}
			s.run(500 * time.Millisecond)
		}
		ejected += s.countEvents("eject", nil)
		returned += s.countEvents("return", nil)
	}
	if ejected < 50 || returned < 50 {
		t.Errorf("%d ejections, %d returns: too few to tell", ejected, returned)
	}
	t.Logf("%d ejections, %d returns", ejected, returned)
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	s := newConvergedSim(t, 11, 3, 4)
	c := s.members[0].voter
	good := VoteMessage{Version: Version, From: "n1", Incarnation: 9, Electorate: 1, Sent: time.Hour}
	for want, change := range map[string]func(*VoteMessage){
		"version: 2":                       func(l *VoteMessage) { l.Version = 2 },
		"from: a name of 0 bytes":          func(l *VoteMessage) { l.From = "" },
		"from: z is not in the electorate": func(l *VoteMessage) { l.From = "z" },
		"votes in electorate 4, this is 1": func(l *VoteMessage) { l.Electorate = 4 },
		"entries: 25":                      func(l *VoteMessage) { l.Entries = make([]Entry, 25) },
		"entries[0].host: a name":          func(l *VoteMessage) { l.Entries = make([]Entry, 1) },
		"unknown answer 9":                 func(l *VoteMessage) { l.Entries = []Entry{{Host: outlier.Host{ID: "s"}, Vote: 9}} },
		"entries[0].bad: 2 of 1":           func(l *VoteMessage) { l.Entries = []Entry{{Host: outlier.Host{ID: "s"}, Attempts: 1, Failures: 2}} },
		"entries[0].left":                  func(l *VoteMessage) { l.Entries = []Entry{{Host: outlier.Host{ID: "s"}, ValidFor: time.Hour}} },
		"s is named twice": func(l *VoteMessage) {
			l.Entries = []Entry{{Host: outlier.Host{ID: "s"}}, {Host: outlier.Host{ID: "s"}}}
		},
		"must not be negative": func(l *VoteMessage) { l.EchoAge = -1 },
	} {
		l := good
		change(&l)
		if err := c.Receive(s.localTime(s.members[0]), &l); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
	if err := c.Receive(s.localTime(s.members[0]), &good); err != nil {
		t.Error(err)
	}
}

func TestValidationNamesTheKey(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"cap:":                                func(c *Config) { c.MaxEjectedFraction = 0.6 },
		"lease:":                              func(c *Config) { c.Lease = c.MaxLease + 1 },
		"longest:":                            func(c *Config) { c.MaxLease = time.Hour },
		"age:":                                func(c *Config) { c.MaxEvidenceAge = 0 },
		"electorate: it has no members":       func(c *Config) { c.Electorate.Members = nil },
		`electorate: "a" is not a valid name`: func(c *Config) { c.Electorate.Members = []string{"a", "a"} },
	} {
		c := Defaults()
		c.Self, c.Electorate = "a", Electorate{1, []string{"a", "b"}}
		change(&c)
		if _, err := New(c, outlier.New(time.Second)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// Voters with a disk grant nothing beyond the stored time, and ask for a later one before it is
// reached. A voter whose earlier promises have expired votes at once.
func TestNoPromiseBeyondPersistedTime(t *testing.T) {
	s := newConvergedSim(t, 1, 3, 12)
	for _, m := range s.members {
		m.voter.config.PersistsPromises = true
	}
	h := s.hosts[3].Host
	s.outcomes[h] = outlier.Failure
	s.run(3 * time.Second)
	if got := s.ejectedAt(h); got != 0 || s.countEvents("grant", &h) != 0 {
		t.Fatalf("%d hold it ejected without a stored promise", got)
	}
	for _, m := range s.members {
		asked := m.voter.actions.PersistPromisesUntil
		if asked < m.voter.now+s.config.MaxPromise() {
			t.Fatalf("%s asks to store promises until %v at %v", m.name, asked, m.voter.now)
		}
		m.voter.PromisesPersisted(asked)
	}
	s.run(2 * time.Second)
	if got := s.ejectedAt(h); got != 3 {
		t.Errorf("%d of 3 hold it ejected with a stored promise", got)
	}
	for _, n := range s.trace {
		if n.Kind == "grant" && n.Until > n.At+s.config.MaxLease {
			t.Errorf("granted until %v at %v", n.Until, n.At)
		}
	}
	cfg := s.config
	cfg.Self, cfg.EarlierPromisesFor = "x", 0
	cfg.Electorate.Members = []string{"x"}
	c, err := New(cfg, outlier.New(cfg.MaxEvidenceAge))
	if err != nil {
		t.Fatal(err)
	}
	if c.advanceClock(time.Second); c.quarantined() {
		t.Error("quarantined though no promise stands")
	}
}
