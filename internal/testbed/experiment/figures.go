package experiment

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
	"chalkdoor.example/chalkdoor/internal/testbed/referee"
	"chalkdoor.example/chalkdoor/internal/testbed/report"
)

// figures are what claims may be made of, each over a part of a play.
var figures = map[string]func(*sums) float64{
	"served_worth": func(s *sums) float64 { return s.earned / max(s.worth, 1e-9) },
	"served":       func(s *sums) float64 { return part(s.n[loadgen.Served], s.asked) },
	"late":         func(s *sums) float64 { return part(s.n[loadgen.Late], s.asked) },
	"refused":      func(s *sums) float64 { return part(s.n[loadgen.Refused], s.asked) },
	"failed":       func(s *sums) float64 { return part(s.n[loadgen.Failed], s.asked) },
	"p50_ms":       func(s *sums) float64 { return s.quantile(50) },
	"p99_ms":       func(s *sums) float64 { return s.quantile(99) },
	"p999_ms":      func(s *sums) float64 { return s.quantile(99.9) },
	"attempts":     func(s *sums) float64 { return part(s.attempts, s.asked) },
	"cross_zone":   func(s *sums) float64 { return part(s.cross, s.attempts) },
	// worst_zone is the part of the worth served to the clients of the zone served worst.
	"worst_zone": func(s *sums) float64 {
		worst := 1.0
		for _, z := range s.zones {
			if z.worth > 0 {
				worst = min(worst, z.earned/z.worth)
			}
		}
		return worst
	},
	// first_zone is the part of the worth served to the clients of the first zone.
	"first_zone":   func(s *sums) float64 { return s.zones[0].earned / max(s.zones[0].worth, 1e-9) },
	"worst_second": func(s *sums) float64 { return s.worst },
	// lost_worth is the worth not served, in requests of the mean worth.
	"lost_worth": func(s *sums) float64 { return (s.worth - s.earned) / max(s.worth/float64(max(s.asked, 1)), 1e-9) },
}

// whole are figures of a whole play only, which are counted elsewhere: failed_attempts is the
// attempts that failed, ejections those that any agent saw,
// wrong_ejections those of them that befell servers which liars want out and no fault befalls, eject_ms the mean time from a fault
// of servers to their ejection by all agents of a zone, peer_bytes_s what an agent was sent by
// others, dark_ms and light_ms the mean times from the loss of an uplink, and from its return,
// to when an agent of the site knows it, decisions the council's, zone_moves how often
// zones got or lost their whole share by them, left_ms the time from the first
// fault to when all agents of a site knew one by which a zone is left, zones_age_ms the age of the oldest
// that was news to an agent.
var whole = []string{"connections", "probes", "list_calls", "warm_keys", "pressed", "agent_cpu_ms",
	"failed_attempts", "ejections", "wrong_ejections", "eject_ms", "peer_bytes_s", "dark_ms", "light_ms", "decisions", "zone_moves", "left_ms", "zones_age_ms"}

// FigureNames are the figures that claims may be made of.
func FigureNames() (names []string) {
	for name := range figures {
		names = append(names, name)
	}
	return append(names, whole...)
}

func part(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// sums are counted over a part of a play.
type sums struct {
	asked, attempts, cross int
	n                      [5]int // by verdict
	worth, earned          float64
	zones                  []zoneSums
	worst                  float64 // the least part of the worth served in a second
	times                  *hdrhistogram.Histogram
}

// zoneSums are of the clients of one zone.
type zoneSums struct{ worth, earned float64 }

func newSums(zones int) *sums {
	return &sums{worst: 1, zones: make([]zoneSums, zones), times: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (s *sums) quantile(q float64) float64 { return float64(s.times.ValueAtQuantile(q)) / 1000 }

func (s *sums) add(cfg *loadgen.Config, o *loadgen.Outcome, zone int) {
	s.asked++
	s.n[o.Verdict]++
	c := &cfg.Classes[o.Ask.Class]
	if o.Verdict == loadgen.Gone { // who left wants nothing
		return
	}
	earned := 0.0
	switch o.Verdict {
	case loadgen.Served:
		earned = c.Worth
	case loadgen.Late:
		earned = c.Worth * c.LateFor
	}
	s.worth += c.Worth
	s.earned += earned
	s.zones[zone].worth += c.Worth
	s.zones[zone].earned += earned
	if o.Verdict <= loadgen.Late {
		_ = s.times.RecordValue(min(o.Took.Microseconds(), s.times.HighestTrackableValue())) // within its range
	}
}

// tally is a whole play in numbers.
type tally struct {
	cfg      *loadgen.Config
	zones    int
	outcomes []loadgen.Outcome
	attempts []attempt // in the order of time
	behind   *hdrhistogram.Histogram
}

type attempt struct {
	at    time.Duration // since the start of the load
	cross bool
}

// over counts what was meant to be sent in [from, to).
func (t *tally) over(from, to time.Duration) *sums {
	s := newSums(t.zones)
	for i := range t.outcomes {
		if o := &t.outcomes[i]; o.Ask.At >= from && o.Ask.At < to {
			s.add(t.cfg, o, o.Ask.Agent%t.zones)
		}
	}
	for _, a := range t.attempts {
		if a.at >= from && a.at < to {
			s.attempts++
			if a.cross {
				s.cross++
			}
		}
	}
	for at := from; at+time.Second <= to; at += time.Second {
		worth, earned := 0.0, 0.0
		for i := range t.outcomes {
			if o := &t.outcomes[i]; o.Ask.At >= at && o.Ask.At < at+time.Second && o.Verdict != loadgen.Gone {
				w := t.cfg.Classes[o.Ask.Class].Worth
				worth += w
				if o.Verdict == loadgen.Served {
					earned += w
				}
			}
		}
		if worth > 0 {
			s.worst = min(s.worst, earned/worth)
		}
	}
	return s
}

// figure is a figure over a part of the play; false for one that is of whole plays only.
func (t *tally) figure(name string, from, to time.Duration) (float64, bool) {
	f, ok := figures[name]
	if !ok {
		return 0, false
	}
	return f(t.over(from, to)), true
}

// seconds counts each second of the play.
func (t *tally) seconds() (out []report.Second) {
	n := int(math.Ceil(t.cfg.For.Seconds()))
	for i := range n {
		s := t.over(time.Duration(i)*time.Second, time.Duration(i+1)*time.Second)
		out = append(out, report.Second{Asked: s.asked, Served: s.n[loadgen.Served], Late: s.n[loadgen.Late], Refused: s.n[loadgen.Refused],
			Failed: s.n[loadgen.Failed], Gone: s.n[loadgen.Gone], Worth: s.worth, Earned: s.earned, P50: s.quantile(50), P90: s.quantile(90),
			P99: s.quantile(99), P999: s.quantile(99.9), Tries: s.attempts, Cross: s.cross})
	}
	return out
}

// attemptsOf takes the attempts out of what was seen.
func attemptsOf(events []referee.Event, w *world) (out []attempt) {
	zones := map[string]string{}
	for _, a := range w.agents {
		zones[a.name] = a.zone
	}
	for _, s := range w.servers {
		zones[s.ID()] = s.Zone()
	}
	for _, e := range events {
		if e.Kind == referee.Attempted {
			out = append(out, attempt{e.At - w.start, zones[e.Agent] != zones[e.Server]})
		}
	}
	return out
}
