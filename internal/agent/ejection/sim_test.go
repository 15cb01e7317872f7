package ejection

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// sim simulates a site in virtual time: members with clocks of different rates, messages that are delayed,
// lost and duplicated, members that are paused or killed, and hosts that become unhealthy. Members make
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
	maxDelay          time.Duration // maximum delay of a message
	partitioned       func(from, to string) bool
	attemptsPerSecond float64 // by each member
	falsify           func(m *member, message *VoteMessage)
	trace             []TraceEvent          // of all members; At in simulated time, Until as time left
	tracedBy          []string              // name of the member of each event of trace
	starts            uint64                // number of member starts
	sent              int                   // number of messages sent
	failed            int                   // number of failed attempts
	probes            int                   // number of health checks
	everEjected       map[outlier.Host]bool // hosts that any member has ejected at any time
}

type member struct {
	name        string
	voter       *Voter
	evidence    *outlier.Log
	startedAt   time.Duration
	clockRate   float64 // rate of its clock relative to simulated time
	pausedUntil time.Duration
	inbox       []*VoteMessage // messages received while it was paused
	standings   map[outlier.Host]Standing
	attemptsDue float64 // attempts to make, accumulated from attemptsPerSecond
}

type messageInTransit struct {
	deliverAt time.Duration
	to        string
	message   *VoteMessage
}

const tick = 25 * time.Millisecond

func newSim(t testing.TB, seed uint64, members, hosts int, zones int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 3)), outcomes: map[outlier.Host]outlier.Outcome{},
		maxDelay: 10 * time.Millisecond, attemptsPerSecond: 20, everEjected: map[outlier.Host]bool{},
		partitioned: func(string, string) bool { return false }}
	s.config = Config{Electorate: Electorate{Number: 1}, MaxEjectedFraction: 0.5, Lease: 2 * time.Second,
		MaxLease: 4 * time.Second, EscalationWindow: 20 * time.Second,
		MaxEvidenceAge: 3 * time.Second, SlowStartStep: 500 * time.Millisecond, TrialInterval: 250 * time.Millisecond}
	for i := range members {
		s.config.Electorate.Members = append(s.config.Electorate.Members, fmt.Sprintf("n%d", i))
	}
	for i := range hosts {
		s.hosts = append(s.hosts, outlier.ListedHost{Host: outlier.Host{ID: fmt.Sprintf("s-%d", i)},
			Zone: fmt.Sprint(i % zones), Weight: 1})
	}
	for _, name := range s.config.Electorate.Members {
		m := &member{name: name, clockRate: 1 + clockDrift/4*(2*s.rng.Float64()-1)}
		s.members = append(s.members, m)
		s.start(m)
	}
	return s
}

// start starts or restarts a member without earlier state.
func (s *sim) start(m *member) {
	s.starts++
	cfg := s.config
	cfg.Self, cfg.Incarnation = m.name, s.starts
	m.evidence = outlier.New(cfg.MaxEvidenceAge)
	m.evidence.SetHosts(s.hosts)
	voter, err := New(cfg, m.evidence)
	if err != nil {
		s.t.Fatal(err)
	}
	m.voter, m.startedAt, m.inbox, m.standings = voter, s.now, nil, map[outlier.Host]Standing{}
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
			next := s.inTransit[i]
			if next.deliverAt > s.now {
				i++
				continue
			}
			s.inTransit = slices.Delete(s.inTransit, i, i+1)
			m := s.memberByName(next.to)
			if m.pausedUntil > s.now {
				m.inbox = append(m.inbox, next.message)
				continue
			}
			_ = m.voter.Receive(s.localTime(m), next.message) // tests of Receive check its errors
		}
		for _, m := range s.members {
			if m.pausedUntil > s.now {
				continue
			}
			for _, message := range m.inbox {
				_ = m.voter.Receive(s.localTime(m), message)
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
	for to, message := range out.Messages {
		if s.falsify != nil {
			falsified := *message
			falsified.Entries = slices.Clone(message.Entries)
			s.falsify(m, &falsified)
			message = &falsified
		}
		if s.sent++; s.partitioned(m.name, to) || s.rng.Float64() < s.lossRate {
			continue
		}
		copies := 1
		if s.rng.Float64() < s.lossRate/4 {
			copies = 2
		}
		for range copies {
			s.inTransit = append(s.inTransit,
				messageInTransit{s.now + time.Duration(s.rng.Float64()*float64(s.maxDelay)), to, message})
		}
	}
	for _, event := range out.Trace {
		event.At, event.Until = s.now, max(event.Until-s.localTime(m), 0) // remaining lease
		s.trace = append(s.trace, event)
		s.tracedBy = append(s.tracedBy, m.name)
		if event.Kind == "eject" {
			s.everEjected[event.Host] = true
		}
	}
	if out.StandingsChanged {
		m.standings = map[outlier.Host]Standing{}
		for _, st := range out.Standings {
			switch m.standings[st.Host] = st; {
			case st.Trial:
				s.attempt(m, st.Host)
			case st.Probe:
				now, outcome := s.localTime(m), outlier.Success
				if s.outcomes[st.Host] == outlier.NoAnswer {
					outcome = outlier.NoAnswer
				}
				s.probes++
				m.evidence.Observe(outlier.Observation{Host: st.Host, Outcome: outcome, Sent: now - time.Millisecond,
					Ended: now, Probe: true})
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
		// Like the agent's own demotion: after a failure the member avoids the host for a while.
		if r, ok := m.evidence.Record(h, s.localTime(m)); ok && r.LastFailureAt > r.LastSuccessSent &&
			s.localTime(m)-r.LastFailureAt < 500*time.Millisecond {
			continue
		}
		s.attempt(m, h)
	}
}

func (s *sim) attempt(m *member, h outlier.Host) {
	outcome := s.outcomes[h]
	if outcome != outlier.Success {
		s.failed++
	}
	now, latencyRatio := s.localTime(m), 0.1
	if outcome == outlier.NoAnswer {
		latencyRatio = 1
	}
	m.evidence.Observe(outlier.Observation{Host: h, Outcome: outcome, LatencyRatio: latencyRatio,
		Sent: now - time.Millisecond, Ended: now})
}

// requireCap checks that the hosts that running members hold ejected are together within the cap.
func (s *sim) requireCap() {
	ejectedWeight := map[string]float64{}
	counted := map[outlier.Host]bool{}
	for _, m := range s.members {
		for h, st := range m.standings {
			if st.Share > 0 || st.Until <= s.localTime(m) || counted[h] || m.pausedUntil > s.now {
				continue
			}
			counted[h] = true
			for _, listed := range s.hosts {
				if listed.Host == h {
					ejectedWeight[listed.Zone]++
				}
			}
		}
	}
	for zone, weight := range ejectedWeight {
		total := 0.0
		for _, listed := range s.hosts {
			if listed.Zone == zone {
				total += listed.Weight
			}
		}
		if weight/total > s.config.MaxEjectedFraction+1e-9 {
			s.t.Fatalf("at %v: weight %.0f of %.0f in zone %s is ejected, the cap is %v", s.now, weight, total, zone,
				s.config.MaxEjectedFraction)
		}
	}
}

// countEvents returns the number of traced events of a kind, of one host or of all.
func (s *sim) countEvents(kind string, h *outlier.Host) (n int) {
	for _, event := range s.trace {
		if event.Kind == kind && (h == nil || event.Host == *h) {
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
