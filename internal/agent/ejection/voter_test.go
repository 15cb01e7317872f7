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
		t.Fatalf("ejected although all hosts are healthy: %v", s.everEjected)
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
				t.Fatalf("%d of %d hold the host ejected, trace %v", got, n, s.trace)
			}
			if len(s.everEjected) != 1 {
				t.Errorf("also ejected: %v", s.everEjected)
			}
			delete(s.outcomes, h)
			s.run(s.config.MaxLease + 2*time.Second)
			if got := s.ejectedAt(h); got != 0 {
				t.Errorf("%d of %d still hold the host ejected after it recovered", got, n)
			}
			// The host has returned at each member, and its slow start has ended.
			if got := s.countEvents("return", &h); got < n {
				t.Errorf("%d return events at %d members", got, n)
			}
			for _, m := range s.members {
				if st, ok := m.standings[h]; ok && st.Share != 1 {
					t.Errorf("%s gives the host a share of %v", m.name, st.Share)
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
	var shares []float64
	for range 400 {
		s.run(tick)
		st, ok := s.members[0].standings[h]
		share := 1.0
		if ok && !st.Trial || ok && st.Share < 1 {
			share = st.Share
		}
		if len(shares) == 0 || shares[len(shares)-1] != share {
			shares = append(shares, share)
		}
	}
	for i, share := range shares[1:] { // up by one step at a time, down by any number of steps
		if at := slices.Index(slowStartShares[:], shares[i]); share > shares[i] &&
			(at+1 >= len(slowStartShares) || share != slowStartShares[at+1]) {
			t.Errorf("shares %v: a step up was skipped", shares)
		}
	}
	if shares[0] != 0 || shares[len(shares)-1] != 1 {
		t.Errorf("shares %v, want from 0 to 1", shares)
	}
}

// Each further ejection of a host lasts longer than the one before, so that few attempts fail.
func TestRepeatedEjectionsLastLonger(t *testing.T) {
	s := newConvergedSim(t, 3, 3, 12)
	h := s.hosts[0].Host
	for range 3 {
		s.outcomes[h] = outlier.Failure
		s.run(2 * time.Second)
		delete(s.outcomes, h)
		s.run(5 * time.Second)
	}
	var leases []time.Duration
	for i, event := range s.trace {
		if (event.Kind == "grant" || event.Kind == "renew") && s.tracedBy[i] == "n0" {
			leases = append(leases, event.Until)
		}
	}
	if first, last := leases[0], leases[len(leases)-1]; first != s.config.Lease || last != s.config.MaxLease {
		t.Errorf("leases of the grants: %v", leases)
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
	// Some trials fail in each lease, and some requests between the expiry of a lease and the next majority.
	if got := s.failed - before; got < 4 || got > 20 {
		t.Errorf("%d attempts failed in 10 s", got)
	}
	heldTicks := 0
	for range 200 {
		s.run(tick)
		if s.ejectedAt(h) == 5 {
			heldTicks++
		}
	}
	if heldTicks < 120 {
		t.Errorf("all members held the host ejected in %d of 200 ticks", heldTicks)
	}
}

// A host that does not answer gets health checks instead of trials, so that no request is lost.
func TestUnansweringHostIsProbed(t *testing.T) {
	s := newConvergedSim(t, 4, 5, 12)
	h := s.hosts[0].Host
	s.outcomes[h] = outlier.NoAnswer
	s.run(2 * time.Second)
	if s.ejectedAt(h) != 5 || s.failed > 8 {
		t.Errorf("%d of 5 hold the host ejected after %d lost requests", s.ejectedAt(h), s.failed)
	}
	before := s.failed
	s.run(10 * time.Second)
	if s.failed > before || s.probes < 5 || s.ejectedAt(h) != 5 {
		t.Errorf("%d requests lost to trials, %d probes, %d of 5 hold the host ejected", s.failed-before, s.probes,
			s.ejectedAt(h))
	}
	delete(s.outcomes, h)
	s.run(s.config.MaxLease + 2*time.Second)
	if s.ejectedAt(h) != 0 {
		t.Errorf("%d of 5 hold the host ejected after it recovered", s.ejectedAt(h))
	}
}

// If many hosts are unhealthy, no more than the cap is ejected, which the simulation checks at each step. If
// most hosts look unhealthy to a voter, it abstains.
func TestEjectionCapAndPanicThreshold(t *testing.T) {
	s := newConvergedSim(t, 5, 7, 12)
	for _, h := range s.hosts[:8] {
		s.outcomes[h.Host] = outlier.Failure
	}
	s.run(3 * time.Second)
	for _, h := range s.hosts {
		if got := s.ejectedAt(h.Host); got > 0 {
			t.Errorf("%d members hold %v ejected although most hosts look unhealthy", got, h.Host)
		}
	}
	s = newConvergedSim(t, 5, 7, 12)
	for _, h := range s.hosts[:5] {
		s.outcomes[h.Host] = outlier.Failure
	}
	s.run(3 * time.Second)
	ejected := 0
	for _, h := range s.hosts {
		if s.ejectedAt(h.Host) == 7 {
			ejected++
		}
	}
	// A voter that has reached the cap traces that once per host, not at each tick.
	if got := s.countEvents("over_cap", nil); got == 0 || got > 7*5*2 {
		t.Errorf("%d over_cap events of seven voters on five hosts", got)
	}
	// Each of the seven voters may promise 0.5*4/7 of 12 hosts: three, not necessarily the same ones.
	if ejected < 3 || ejected > 6 {
		t.Errorf("%d hosts are ejected by all, want 3 to 6", ejected)
	}
}

// To three of thirteen agents all hosts look unhealthy because of a bad link; no host is ejected.
func TestObserverWithMostHostsUnhealthyAbstains(t *testing.T) {
	s := newConvergedSim(t, 6, 13, 12)
	for range 80 {
		for _, m := range s.members[:3] {
			for _, h := range s.hosts {
				now := s.localTime(m)
				m.evidence.Observe(outlier.Observation{Host: h.Host, Outcome: outlier.NoAnswer, LatencyRatio: 1,
					Sent: now, Ended: now})
			}
		}
		s.run(2 * tick)
	}
	if len(s.everEjected) > 0 {
		t.Errorf("ejected: %v", s.everEjected)
	}
}

// Fewer faulty voters than a majority eject no host, and fewer than a third do not prevent an ejection.
func TestFaultyVoters(t *testing.T) {
	for _, c := range []struct{ members, faulty int }{{3, 1}, {9, 2}, {13, 4}, {13, 6}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			s := newConvergedSim(t, 7, c.members, 12)
			healthy, unhealthy := s.hosts[0].Host, s.hosts[1].Host
			s.falsify = func(m *member, message *VoteMessage) {
				if !slices.Contains(s.config.Electorate.Members[:c.faulty], m.name) {
					return
				}
				message.Entries = []Entry{
					{Host: healthy, Vote: Grant, Attempts: 9, Failures: 9, ValidFor: s.config.Lease},
					{Host: unhealthy, Vote: Deny, Attempts: 9, ValidFor: s.config.MaxEvidenceAge}}
			}
			s.run(3 * time.Second)
			s.outcomes[unhealthy] = outlier.Failure
			s.run(6 * time.Second)
			if s.everEjected[healthy] {
				t.Errorf("a healthy host was ejected by %d faulty voters of %d", c.faulty, c.members)
			}
			if 3*c.faulty < c.members && s.ejectedAt(unhealthy) < c.members-c.faulty {
				t.Errorf("%d of %d hold the unhealthy host ejected, %d are faulty", s.ejectedAt(unhealthy),
					c.members, c.faulty)
			}
		})
	}
}

// If a site is split into two or three partitions, a partition without a majority ejects nothing. After the
// partitions heal, all members agree within one round of heartbeats.
func TestPartitionedElectorate(t *testing.T) {
	for _, partitions := range []int{2, 3} {
		s := newConvergedSim(t, 8, 9, 12)
		partitionOf := func(name string) int { // with 5 and 4 members, or 3 each
			i := slices.Index(s.config.Electorate.Members, name)
			return min(i*partitions/9, partitions-1)
		}
		s.partitioned = func(a, b string) bool { return partitionOf(a) != partitionOf(b) }
		h := s.hosts[0].Host
		s.outcomes[h] = outlier.Failure
		s.run(3 * time.Second)
		for _, m := range s.members {
			size := 0
			for _, o := range s.members {
				if partitionOf(o.name) == partitionOf(m.name) {
					size++
				}
			}
			st, named := m.standings[h]
			ejected := named && st.Share == 0 && st.Until > s.localTime(m)
			if ejected != (size >= s.config.Electorate.Quorum()) {
				t.Errorf("%d partitions: %s, in a partition of %d members, holds the host ejected: %v", partitions,
					m.name, size, ejected)
			}
		}
		s.partitioned = func(string, string) bool { return false }
		s.run(2 * time.Second)
		if got := s.ejectedAt(h); got != 9 {
			t.Errorf("%d partitions: %d of 9 hold the host ejected after the partitions healed", partitions, got)
		}
	}
}

// A host that restarts during the vote is a different host.
func TestNewIncarnationIsNotEjected(t *testing.T) {
	s := newConvergedSim(t, 9, 5, 12)
	host := s.hosts[0].Host
	s.outcomes[host] = outlier.Failure
	s.run(100 * time.Millisecond)
	s.hosts[0].Incarnation = 7
	restarted := s.hosts[0].Host
	for _, m := range s.members {
		m.evidence.SetHosts(s.hosts)
	}
	s.run(3 * time.Second)
	if s.everEjected[restarted] {
		t.Error("the new process was ejected because of failures of the old one")
	}
}

// A voter that resumes after 10 s and then receives the messages of that time does not count expired grants.
func TestPausedMemberIgnoresExpiredGrants(t *testing.T) {
	s := newConvergedSim(t, 10, 3, 12)
	h := s.hosts[0].Host
	s.outcomes[h] = outlier.Failure
	s.run(300 * time.Millisecond)
	m := s.members[2]
	m.pausedUntil = s.now + 10*time.Second
	s.run(time.Second)
	for _, o := range s.members[:2] {
		o.pausedUntil = s.now + 20*time.Second // so that they send nothing newer
	}
	delete(s.outcomes, h)
	s.run(9*time.Second + tick)
	if st, ok := m.standings[h]; ok && st.Share == 0 && st.Until > s.localTime(m) {
		t.Errorf("after its pause, at %v, the member holds the host ejected until %v", s.localTime(m), st.Until)
	}
}

// The cap holds over all members together at each step while messages are lost, duplicated and delayed and
// members are paused, killed and partitioned.
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
		t.Errorf("%d ejections, %d returns, want at least 50 of each", ejected, returned)
	}
	t.Logf("%d ejections, %d returns", ejected, returned)
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	s := newConvergedSim(t, 11, 3, 4)
	voter := s.members[0].voter
	valid := VoteMessage{Version: Version, From: "n1", Incarnation: 9, Electorate: 1, Sent: time.Hour}
	for want, change := range map[string]func(*VoteMessage){
		"version: 2":                             func(message *VoteMessage) { message.Version = 2 },
		"from: invalid name length 0":            func(message *VoteMessage) { message.From = "" },
		"from: z is not in the electorate":       func(message *VoteMessage) { message.From = "z" },
		"votes in electorate 4, this voter in 1": func(message *VoteMessage) { message.Electorate = 4 },
		"entries: 25":                            func(message *VoteMessage) { message.Entries = make([]Entry, 25) },
		"entries[0].host: invalid name length":   func(message *VoteMessage) { message.Entries = make([]Entry, 1) },
		"unknown vote 9": func(message *VoteMessage) {
			message.Entries = []Entry{{Host: outlier.Host{ID: "s"}, Vote: 9}}
		},
		"entries[0].failures: 2 of 1": func(message *VoteMessage) {
			message.Entries = []Entry{{Host: outlier.Host{ID: "s"}, Attempts: 1, Failures: 2}}
		},
		"entries[0].valid-for": func(message *VoteMessage) {
			message.Entries = []Entry{{Host: outlier.Host{ID: "s"}, ValidFor: time.Hour}}
		},
		"s is listed twice": func(message *VoteMessage) {
			message.Entries = []Entry{{Host: outlier.Host{ID: "s"}}, {Host: outlier.Host{ID: "s"}}}
		},
		"must not be negative": func(message *VoteMessage) { message.EchoAge = -1 },
	} {
		message := valid
		change(&message)
		if err := voter.Receive(s.localTime(s.members[0]), &message); err == nil || !strings.Contains(err.Error(),
			want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
	if err := voter.Receive(s.localTime(s.members[0]), &valid); err != nil {
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

// Voters with a disk grant nothing beyond the stored time and request a later one in advance. A voter whose
// earlier promises have expired votes at once.
func TestNoPromiseBeyondPersistedTime(t *testing.T) {
	s := newConvergedSim(t, 1, 3, 12)
	for _, m := range s.members {
		m.voter.config.PersistsPromises = true
	}
	h := s.hosts[3].Host
	s.outcomes[h] = outlier.Failure
	s.run(3 * time.Second)
	if got := s.ejectedAt(h); got != 0 || s.countEvents("grant", &h) != 0 {
		t.Fatalf("%d hold the host ejected although no promise time is stored", got)
	}
	for _, m := range s.members {
		until := m.voter.actions.PersistPromisesUntil
		if until < m.voter.now+s.config.MaxPromise() {
			t.Fatalf("%s requests to store promises until %v at %v", m.name, until, m.voter.now)
		}
		m.voter.PromisesPersisted(until)
	}
	s.run(2 * time.Second)
	if got := s.ejectedAt(h); got != 3 {
		t.Errorf("%d of 3 hold the host ejected after the promise time was stored", got)
	}
	for _, event := range s.trace {
		if event.Kind == "grant" && event.Until > event.At+s.config.MaxLease {
			t.Errorf("granted until %v at %v", event.Until, event.At)
		}
	}
	cfg := s.config
	cfg.Self, cfg.EarlierPromisesFor = "x", 0
	cfg.Electorate.Members = []string{"x"}
	voter, err := New(cfg, outlier.New(cfg.MaxEvidenceAge))
	if err != nil {
		t.Fatal(err)
	}
	if voter.advanceClock(time.Second); voter.quarantined() {
		t.Error("quarantined although no earlier promise stands")
	}
}
