package ejection

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// sim simulates a site in virtual time: members with clocks of their own, messages that are delayed,
// lost and duplicated, members that are paused or killed, hosts that become unhealthy. Members make
// attempts at random hosts as far as the standings allow.
type sim struct {
	t                 testing.TB
	rng               *rand.Rand
	config            Config
	now               time.Duration
	members           []*member
	hosts             []outlier.ListedHost
	outcomes          map[outlier.Host]outlier.Outcome
	inTransit         []messageInTransit
	lossRate          float64
	maxDelay          time.Duration // of a message
	partitioned       func(from, to string) bool
	attemptsPerSecond float64 // of each member
	falsify           func(m *member, l *VoteMessage)
	trace             []TraceEvent // of all members, At in simulated time
	tracedBy          []string
	starts            uint64
	sent              int
	failed            int
	probes            int
	everEjected       map[outlier.Host]bool // by any member, ever
}

type member struct {
	name        string
	voter       *Voter
	evidence    *outlier.Log
	startedAt   time.Duration
	clockRate   float64 // relative rate of its clock
	pausedUntil time.Duration
	inbox       []*VoteMessage // messages received while it was paused
	standings   map[outlier.Host]Standing
	attemptsDue float64
}

type messageInTransit struct {
	deliverAt time.Duration
	to        string
	message   *VoteMessage
}

const tick = 25 * time.Millisecond

func newSim(t testing.TB, seed uint64, members, hosts int, zones int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 3)), outcomes: map[outlier.Host]outlier.Outcome{}, maxDelay: 10 * time.Millisecond,
		attemptsPerSecond: 20, everEjected: map[outlier.Host]bool{}, partitioned: func(string, string) bool { return false }}
	s.config = Config{Electorate: Electorate{Number: 1}, MaxEjectedFraction: 0.5, Lease: 2 * time.Second, MaxLease: 4 * time.Second, EscalationWindow: 20 * time.Second,
		MaxEvidenceAge: 3 * time.Second, SlowStartStep: 500 * time.Millisecond, TrialInterval: 250 * time.Millisecond}
	for i := range members {
		s.config.Electorate.Members = append(s.config.Electorate.Members, fmt.Sprintf("n%d", i))
	}
	for i := range hosts {
		s.hosts = append(s.hosts, outlier.ListedHost{Host: outlier.Host{ID: fmt.Sprintf("s-%d", i)}, Zone: fmt.Sprint(i % zones), Weight: 1})
	}
	for _, name := range s.config.Electorate.Members {
		m := &member{name: name, clockRate: 1 + clockDrift/4*(2*s.rng.Float64()-1)}
		s.members = append(s.members, m)
		s.start(m)
	}
	return s
}

// start restarts a member without its earlier state.
func (s *sim) start(m *member) {
	s.starts++
	cfg := s.config
	cfg.Self, cfg.Incarnation = m.name, s.starts
	m.evidence = outlier.New(cfg.MaxEvidenceAge)
	m.evidence.SetHosts(s.hosts)
	core, err := New(cfg, m.evidence)
	if err != nil {
		s.t.Fatal(err)
	}
	m.voter, m.startedAt, m.inbox, m.standings = core, s.now, nil, map[outlier.Host]Standing{}
}

// localTime returns the time on a member's own clock.
func (s *sim) localTime(m *member) time.Duration {
	return time.Second + time.Duration(float64(s.now-m.startedAt)*m.clockRate)
}

// run advances the simulation and checks the cap at each step.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += tick
		for i := 0; i < len(s.inTransit); {
			x := s.inTransit[i]
			if x.deliverAt > s.now {
				i++
				continue
			}
			s.inTransit = slices.Delete(s.inTransit, i, i+1)
			m := s.memberByName(x.to)
			if m.pausedUntil > s.now {
				m.inbox = append(m.inbox, x.message)
				continue
			}
			_ = m.voter.Receive(s.localTime(m), x.message) // the tests of Receive check its errors
		}
		for _, m := range s.members {
			if m.pausedUntil > s.now {
				continue
			}
			for _, l := range m.inbox {
				_ = m.voter.Receive(s.localTime(m), l)
			}
			m.inbox = nil
			s.attemptAtRandom(m)
			s.applyActions(m, m.voter.Tick(s.localTime(m)))
		}
		s.requireCap()
	}
}

func (s *sim) memberByName(name string) *member {
	return s.members[slices.IndexFunc(s.members, func(m *member) bool { return m.name == name })]
}

func (s *sim) applyActions(m *member, out *Actions) {
	for to, l := range out.Messages {
		if s.falsify != nil {
			c := *l
			c.Entries = slices.Clone(l.Entries)
			s.falsify(m, &c)
			l = &c
		}
		if s.sent++; s.partitioned(m.name, to) || s.rng.Float64() < s.lossRate {
			continue
		}
		n := 1
		if s.rng.Float64() < s.lossRate/4 {
			n = 2
		}
		for range n {
			s.inTransit = append(s.inTransit, messageInTransit{s.now + time.Duration(s.rng.Float64()*float64(s.maxDelay)), to, l})
		}
	}
	for _, n := range out.Trace {
		n.At, n.Until = s.now, max(n.Until-s.localTime(m), 0) // the rest of the lease
		s.trace = append(s.trace, n)
		s.tracedBy = append(s.tracedBy, m.name)
		if n.Kind == "eject" {
			s.everEjected[n.Host] = true
		}
	}
	if out.StandingsChanged {
		m.standings = map[outlier.Host]Standing{}
		for _, st := range out.Standings {
			switch m.standings[st.Host] = st; {
			case st.Trial:
				s.attempt(m, st.Host)
			case st.Probe:
				now, kind := s.localTime(m), outlier.Success
				if s.outcomes[st.Host] == outlier.NoAnswer {
					kind = outlier.NoAnswer
				}
				s.probes++
				m.evidence.Observe(outlier.Observation{Host: st.Host, Outcome: kind, Sent: now - time.Millisecond, Ended: now, Probe: true})
			}
		}
	}
}

func (s *sim) attemptAtRandom(m *member) {
	for m.attemptsDue += s.attemptsPerSecond * tick.Seconds(); m.attemptsDue >= 1; m.attemptsDue-- {
		h := s.hosts[s.rng.IntN(len(s.hosts))].Host
		st, named := m.standings[h]
		if named && s.localTime(m) < st.Until && s.rng.Float64() >= st.Share {
			continue
		}
		// The agent's own demotion: after a failure it avoids the host for a while.
		if r, ok := m.evidence.Record(h, s.localTime(m)); ok && r.LastFailureAt > r.LastSuccessSent && s.localTime(m)-r.LastFailureAt < 500*time.Millisecond {
			continue
		}
		s.attempt(m, h)
	}
}

func (s *sim) attempt(m *member, h outlier.Host) {
	kind := s.outcomes[h]
	if kind != outlier.Success {
		s.failed++
	}
	now, ofAim := s.localTime(m), 0.1
	if kind == outlier.NoAnswer {
		ofAim = 1
	}
	m.evidence.Observe(outlier.Observation{Host: h, Outcome: kind, LatencyRatio: ofAim, Sent: now - time.Millisecond, Ended: now})
}

// requireCap checks that all hosts that any member holds ejected stay within the cap together.
func (s *sim) requireCap() {
	union := map[string]float64{}
	seen := map[outlier.Host]bool{}
	for _, m := range s.members {
		for h, st := range m.standings {
			if st.Share > 0 || st.Until <= s.localTime(m) || seen[h] || m.pausedUntil > s.now {
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
		if n/all > s.config.MaxEjectedFraction+1e-9 {
			s.t.Fatalf("at %v: %.0f of %.0f of zone %s are ejected, the cap is %v", s.now, n, all, zone, s.config.MaxEjectedFraction)
		}
	}
}

// countEvents returns the number of traced events of a kind, of one host or of all.
func (s *sim) countEvents(kind string, h *outlier.Host) (n int) {
	for _, x := range s.trace {
		if x.Kind == kind && (h == nil || x.Host == *h) {
			n++
		}
	}
	return n
}

// ejectedAt returns the number of members that hold a host ejected.
func (s *sim) ejectedAt(h outlier.Host) (n int) {
	for _, m := range s.members {
		if st, ok := m.standings[h]; ok && st.Share == 0 && st.Until > s.localTime(m) {
			n++
		}
	}
	return n
}
