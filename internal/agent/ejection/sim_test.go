package ejection

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// sim is a site in simulated time: members on clocks of their own, letters that are late,
// lost and repeated, members that are paused or killed, hosts that turn bad. Agents attempt
// hosts at random, as far as the standings let them.
type sim struct {
	t       testing.TB
	rng     *rand.Rand
	cfg     Config
	now     time.Duration
	members []*member
	hosts   []outlier.ListedHost
	bad     map[outlier.Host]outlier.Outcome
	mail    []messageInTransit
	lose    float64
	late    time.Duration // of a letter, at the most
	cut     func(from, to string) bool
	rate    float64 // attempts a second of a member
	lying   func(m *member, l *VoteMessage)
	notes   []TraceEvent // of all, At in the simulation's time
	by      []string
	boots   uint64
	sent    int
	failed  int
	probes  int
	ejected map[outlier.Host]bool // by anybody, ever
}

type member struct {
	name   string
	core   *Voter
	log    *outlier.Log
	born   time.Duration
	speed  float64 // of its clock
	paused time.Duration
	inbox  []*VoteMessage // what came while it was paused
	table  map[outlier.Host]Standing
	due    float64
}

type messageInTransit struct {
	at     time.Duration
	to     string
	letter *VoteMessage
}

const tick = 25 * time.Millisecond

func newSim(t testing.TB, seed uint64, members, hosts int, zones int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 3)), bad: map[outlier.Host]outlier.Outcome{}, late: 10 * time.Millisecond,
		rate: 20, ejected: map[outlier.Host]bool{}, cut: func(string, string) bool { return false }}
	s.cfg = Config{Electorate: Electorate{Number: 1}, MaxEjectedFraction: 0.5, Lease: 2 * time.Second, MaxLease: 4 * time.Second, EscalationWindow: 20 * time.Second,
		MaxEvidenceAge: 3 * time.Second, SlowStartStep: 500 * time.Millisecond, TrialInterval: 250 * time.Millisecond}
	for i := range members {
		s.cfg.Electorate.Members = append(s.cfg.Electorate.Members, fmt.Sprintf("n%d", i))
	}
	for i := range hosts {
		s.hosts = append(s.hosts, outlier.ListedHost{Host: outlier.Host{ID: fmt.Sprintf("s-%d", i)}, Zone: fmt.Sprint(i % zones), Weight: 1})
	}
	for _, name := range s.cfg.Electorate.Members {
		m := &member{name: name, speed: 1 + clockDrift/4*(2*s.rng.Float64()-1)}
		s.members = append(s.members, m)
		s.start(m)
	}
	return s
}

// start gives a member a new life that remembers nothing.
func (s *sim) start(m *member) {
	s.boots++
	cfg := s.cfg
	cfg.Self, cfg.Incarnation = m.name, s.boots
	m.log = outlier.New(cfg.MaxEvidenceAge)
	m.log.SetHosts(s.hosts)
	core, err := New(cfg, m.log)
	if err != nil {
		s.t.Fatal(err)
	}
	m.core, m.born, m.inbox, m.table = core, s.now, nil, map[outlier.Host]Standing{}
}

// clock is a member's own.
func (s *sim) clock(m *member) time.Duration {
	return time.Second + time.Duration(float64(s.now-m.born)*m.speed)
}

// run plays on for a time, checking at each step.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += tick
		for i := 0; i < len(s.mail); {
			x := s.mail[i]
			if x.at > s.now {
				i++
				continue
			}
			s.mail = slices.Delete(s.mail, i, i+1)
			m := s.memberByName(x.to)
			if m.paused > s.now {
				m.inbox = append(m.inbox, x.letter)
				continue
			}
			_ = m.core.Receive(s.clock(m), x.letter) // what is turned away is the core's to say
		}
		for _, m := range s.members {
			if m.paused > s.now {
				continue
			}
			for _, l := range m.inbox {
				_ = m.core.Receive(s.clock(m), l)
			}
			m.inbox = nil
			s.attempts(m)
			s.applyActions(m, m.core.Tick(s.clock(m)))
		}
		s.check()
	}
}

func (s *sim) memberByName(name string) *member {
	return s.members[slices.IndexFunc(s.members, func(m *member) bool { return m.name == name })]
}

func (s *sim) applyActions(m *member, out *Actions) {
	for to, l := range out.Messages {
		if s.lying != nil {
			c := *l
			c.Entries = slices.Clone(l.Entries)
			s.lying(m, &c)
			l = &c
		}
		if s.sent++; s.cut(m.name, to) || s.rng.Float64() < s.lose {
			continue
		}
		n := 1
		if s.rng.Float64() < s.lose/4 {
			n = 2
		}
		for range n {
			s.mail = append(s.mail, messageInTransit{s.now + time.Duration(s.rng.Float64()*float64(s.late)), to, l})
		}
	}
	for _, n := range out.Trace {
		n.At, n.Until = s.now, max(n.Until-s.clock(m), 0) // what is left of it
		s.notes = append(s.notes, n)
		s.by = append(s.by, m.name)
		if n.Kind == "eject" {
			s.ejected[n.Host] = true
		}
	}
	if out.StandingsChanged {
		m.table = map[outlier.Host]Standing{}
		for _, st := range out.Standings {
			switch m.table[st.Host] = st; {
			case st.Trial:
				s.attempt(m, st.Host)
			case st.Probe:
				now, kind := s.clock(m), outlier.Success
				if s.bad[st.Host] == outlier.NoAnswer {
					kind = outlier.NoAnswer
				}
				s.probes++
				m.log.Observe(outlier.Observation{Host: st.Host, Outcome: kind, Sent: now - time.Millisecond, Ended: now, Probe: true})
			}
		}
	}
}

func (s *sim) attempts(m *member) {
	for m.due += s.rate * tick.Seconds(); m.due >= 1; m.due-- {
		h := s.hosts[s.rng.IntN(len(s.hosts))].Host
		st, named := m.table[h]
		if named && s.clock(m) < st.Until && s.rng.Float64() >= st.Share {
			continue
		}
		// Its own demotion: not one that the last attempt failed on, for a while.
		if r, ok := m.log.Record(h, s.clock(m)); ok && r.LastFailureAt > r.LastSuccessSent && s.clock(m)-r.LastFailureAt < 500*time.Millisecond {
			continue
		}
		s.attempt(m, h)
	}
}

func (s *sim) attempt(m *member, h outlier.Host) {
	kind := s.bad[h]
	if kind != outlier.Success {
		s.failed++
	}
	now, ofAim := s.clock(m), 0.1
	if kind == outlier.NoAnswer {
		ofAim = 1
	}
	m.log.Observe(outlier.Observation{Host: h, Outcome: kind, LatencyRatio: ofAim, Sent: now - time.Millisecond, Ended: now})
}

// check holds every member's view against what all have promised, at one moment.
func (s *sim) check() {
	union := map[string]float64{}
	seen := map[outlier.Host]bool{}
	for _, m := range s.members {
		for h, st := range m.table {
			if st.Share > 0 || st.Until <= s.clock(m) || seen[h] || m.paused > s.now {
				continue
			}
			seen[h] = true
			for _, l := range s.hosts {
				if l.Host == h {
					union[l.Zone]++
				}
			}
		}
	}
	for zone, n := range union {
		all := 0.0
		for _, l := range s.hosts {
			if l.Zone == zone {
				all += l.Weight
			}
		}
		if n/all > s.cfg.MaxEjectedFraction+1e-9 {
			s.t.Fatalf("at %v: %.0f of %.0f of zone %s are ejected, the cap is %v", s.now, n, all, zone, s.cfg.MaxEjectedFraction)
		}
	}
}

// count counts the notes of a kind, of one host or of all.
func (s *sim) count(kind string, h *outlier.Host) (n int) {
	for _, x := range s.notes {
		if x.Kind == kind && (h == nil || x.Host == *h) {
			n++
		}
	}
	return n
}

// standing is how members see a host: how many hold it ejected.
func (s *sim) holding(h outlier.Host) (n int) {
	for _, m := range s.members {
		if st, ok := m.table[h]; ok && st.Share == 0 && st.Until > s.clock(m) {
			n++
		}
	}
	return n
}
