package experiment

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
	"chalkdoor.example/chalkdoor/internal/testbed/referee"
	"chalkdoor.example/chalkdoor/internal/testbed/report"
)

// figures are the figures that can be computed over any interval of a play.
var figures = map[string]func(*sums) float64{
	"served_worth": func(s *sums) float64 { return s.earned / max(s.worth, 1e-9) },
	"served":       func(s *sums) float64 { return ratio(s.verdicts[loadgen.Served], s.requests) },
	"late":         func(s *sums) float64 { return ratio(s.verdicts[loadgen.Late], s.requests) },
	"refused":      func(s *sums) float64 { return ratio(s.verdicts[loadgen.Refused], s.requests) },
	"failed":       func(s *sums) float64 { return ratio(s.verdicts[loadgen.Failed], s.requests) },
	"p50_ms":       func(s *sums) float64 { return s.quantile(50) },
	"p99_ms":       func(s *sums) float64 { return s.quantile(99) },
	"p999_ms":      func(s *sums) float64 { return s.quantile(99.9) },
	"attempts":     func(s *sums) float64 { return ratio(s.attempts, s.requests) },
	"cross_zone":   func(s *sums) float64 { return ratio(s.crossZone, s.attempts) },
	// worst_zone is the minimum over all zones of the fraction of the worth that is served to the
	// zone's clients.
	"worst_zone": func(s *sums) float64 {
		worst := 1.0
		for _, z := range s.zones {
			if z.worth > 0 {
				worst = min(worst, z.earned/z.worth)
			}
		}
		return worst
	},
	// first_zone is the fraction of the worth that is served to the clients of the first zone.
	"first_zone":   func(s *sums) float64 { return s.zones[0].earned / max(s.zones[0].worth, 1e-9) },
	"worst_second": func(s *sums) float64 { return s.worstSecond },
	// lost_worth is the worth that is not served, divided by the mean worth of a request.
	"lost_worth": func(s *sums) float64 {
		return (s.worth - s.earned) / max(s.worth/float64(max(s.requests, 1)), 1e-9)
	},
}

// wholePlayFigures are the names of the figures that exist for a whole play only. They are computed
// elsewhere:
//   - connections, probes, agent_cpu_ms: connections to servers, probes of servers and CPU time of the
//     agents, each per request of the load
//   - list_calls: calls to discovery
//   - warm_keys: the fraction of requests whose key the server had cached
//   - pressed: the maximum load on a cold server, as a fraction of the load that makes it fail
//   - failed_attempts: attempts that failed, as the agents count them
//   - ejections: ejections of servers, counted once for each agent that acts on them
//   - wrong_ejections: ejections of servers that faulty voters vote against and that no fault affects
//   - eject_ms: the mean time from a server's first fault to its ejection by all agents of a zone
//   - peer_bytes_s: bytes a second that other agents send to an agent, the mean over all agents
//   - dark_ms, light_ms: the mean times from the loss and from the return of an uplink until an agent of
//     the site detects it
//   - decisions, zone_moves, left_ms, zones_age_ms: see councilFigures
var wholePlayFigures = []string{"connections", "probes", "list_calls", "warm_keys", "pressed", "agent_cpu_ms",
	"failed_attempts", "ejections", "wrong_ejections", "eject_ms", "peer_bytes_s", "dark_ms", "light_ms",
	"decisions", "zone_moves", "left_ms", "zones_age_ms"}

// FigureNames returns the names of all figures that a claim can use.
func FigureNames() (names []string) {
	for name := range figures {
		names = append(names, name)
	}
	return append(names, wholePlayFigures...)
}

// ratio returns n/total, and 0 if total is 0.
func ratio(n, total int) float64 { return float64(n) / float64(max(total, 1)) }

// sums has the counts and latencies of an interval of a play.
type sums struct {
	requests, attempts, crossZone int
	verdicts                      [5]int // indexed by loadgen.Verdict
	worth, earned                 float64
	zones                         []zoneSums
	worstSecond                   float64 // minimum over all seconds of the fraction of worth served in time
	latencies                     *hdrhistogram.Histogram
}

// zoneSums has the worth that the clients of one zone asked for, and the worth that they were served.
type zoneSums struct{ worth, earned float64 }

func newSums(zones int) *sums {
	return &sums{worstSecond: 1, zones: make([]zoneSums, zones),
		latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// quantile returns a percentile of the latencies in ms.
func (s *sums) quantile(q float64) float64 { return float64(s.latencies.ValueAtQuantile(q)) / 1000 }

// add counts an outcome of a client in the zone with the given index.
func (s *sums) add(cfg *loadgen.Config, o *loadgen.Outcome, zone int) {
	s.requests++
	s.verdicts[o.Verdict]++
	c := &cfg.Classes[o.Request.Class]
	if o.Verdict == loadgen.Gone { // the client left early, so nothing was lost
		return
	}
	earned := 0.0
	switch o.Verdict {
	case loadgen.Served:
		earned = c.Worth
	case loadgen.Late:
		earned = c.Worth * c.LateShare
	}
	s.worth += c.Worth
	s.earned += earned
	s.zones[zone].worth += c.Worth
	s.zones[zone].earned += earned
	if o.Verdict <= loadgen.Late {
		// Cannot fail: the value is in the histogram's range.
		_ = s.latencies.RecordValue(min(o.Latency.Microseconds(), s.latencies.HighestTrackableValue()))
	}
}

// tally has the outcomes and attempts of a play.
type tally struct {
	cfg        *loadgen.Config
	zones      int
	outcomes   []loadgen.Outcome
	attempts   []attempt               // in order of time
	sendDelays *hdrhistogram.Histogram // delays with which the testbed sent requests, in µs
}

// attempt is an attempt of an agent at a server.
type attempt struct {
	at        time.Duration // since the start of the load
	crossZone bool          // whether the agent and the server are in different zones
}

// sumsOver returns the sums of the requests that were planned for [from, to), and of the attempts in that
// interval.
func (t *tally) sumsOver(from, to time.Duration) *sums {
	s := newSums(t.zones)
	for i := range t.outcomes {
		if o := &t.outcomes[i]; o.Request.At >= from && o.Request.At < to {
			s.add(t.cfg, o, o.Request.Agent%t.zones)
		}
	}
	for _, a := range t.attempts {
		if a.at >= from && a.at < to {
			s.attempts++
			if a.crossZone {
				s.crossZone++
			}
		}
	}
	for at := from; at+time.Second <= to; at += time.Second {
		worth, earned := 0.0, 0.0
		for i := range t.outcomes {
			if o := &t.outcomes[i]; o.Request.At >= at && o.Request.At < at+time.Second && o.Verdict != loadgen.Gone {
				w := t.cfg.Classes[o.Request.Class].Worth
				worth += w
				if o.Verdict == loadgen.Served {
					earned += w
				}
			}
		}
		if worth > 0 {
			s.worstSecond = min(s.worstSecond, earned/worth)
		}
	}
	return s
}

// figure returns a figure over an interval of the play; false for a figure that exists for whole plays only.
func (t *tally) figure(name string, from, to time.Duration) (float64, bool) {
	f, ok := figures[name]
	if !ok {
		return 0, false
	}
	return f(t.sumsOver(from, to)), true
}

// seconds returns the counts of each second of the play.
func (t *tally) seconds() (out []report.Second) {
	n := int(math.Ceil(t.cfg.Duration.Seconds()))
	for i := range n {
		s := t.sumsOver(time.Duration(i)*time.Second, time.Duration(i+1)*time.Second)
		out = append(out, report.Second{Asked: s.requests, Served: s.verdicts[loadgen.Served],
			Late: s.verdicts[loadgen.Late], Refused: s.verdicts[loadgen.Refused],
			Failed: s.verdicts[loadgen.Failed], Gone: s.verdicts[loadgen.Gone], Worth: s.worth,
			Earned: s.earned, P50: s.quantile(50), P90: s.quantile(90),
			P99: s.quantile(99), P999: s.quantile(99.9), Attempts: s.attempts, CrossZone: s.crossZone})
	}
	return out
}

// attemptsOf returns the attempts among the events.
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
			out = append(out, attempt{e.At - w.loadStart, zones[e.Agent] != zones[e.Server]})
		}
	}
	return out
}
