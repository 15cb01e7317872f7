package fleetlab

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// Report is what came of a play.
type Report struct {
	Agents   int            `json:"agents"`
	Core     int            `json:"core"`
	Servers  int            `json:"servers"`
	Seed     uint64         `json:"seed"`
	Fault    string         `json:"fault"`
	Seconds  float64        `json:"seconds"`
	Requests int            `json:"asked"`
	Served   int            `json:"served"`  // whole, in time or late
	InTime   int            `json:"in_time"` // of the served
	Late     int            `json:"late"`
	Rejected int            `json:"refused"`
	Failed   map[string]int `json:"failed"` // by kind
	Classes  []ClassReport  `json:"classes"`
	// Tries of clients, and arrivals at servers beyond the first of each.
	ClientRetries int         `json:"client_retries"`
	Repeats       int         `json:"repeats"`
	Changes       int         `json:"config_changes"`
	ConfigAckMs   float64     `json:"config_ack_ms"` // the slowest
	Model         ServerStats `json:"model"`
	Violations    []Violation `json:"broken"`
	SetupSeconds  float64     `json:"setup_seconds"` // until all agents served
}

// ClassReport is what came of one class.
type ClassReport struct {
	Name            string  `json:"name"`
	Requests        int     `json:"asked"`
	InTime          int     `json:"in_time"`
	Served          int     `json:"served"`
	FirstEventP50Ms float64 `json:"first_event_p50_ms"`
	FirstEventP95Ms float64 `json:"first_event_p95_ms"`
	LongestGapP50Ms float64 `json:"pause_p50_ms"` // the longest of each stream
	LongestGapP95Ms float64 `json:"pause_p95_ms"`
	ForwardP95Ms    float64 `json:"pass_p95_ms"` // the longest way of an event from its server
}

// ServerStats sum what the servers did.
type ServerStats struct {
	Ran               int `json:"ran"`
	Rejected          int `json:"turned_away"`
	PromptTokensRead  int `json:"prompt_tokens_read"`
	PromptTokensSaved int `json:"prompt_tokens_saved"`
	Preempted         int `json:"preempted"`
	Conns             int `json:"connections"`
	Health            int `json:"health_checks"`
	Reports           int `json:"reports"`
}

// outcomeLog counts outcomes.
type outcomeLog struct {
	mu       sync.Mutex
	outcomes []Outcome
}

func (l *outcomeLog) add(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// Write prints the report for people.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%d agents (%d of the core), %d model servers, seed %d, fault %s, %.1f s of traffic\n", r.Agents, r.Core, r.Servers, r.Seed, r.Fault, r.Seconds)
	fmt.Fprintf(w, "asked %d  served %d  in time %d  late %d  refused %d", r.Requests, r.Served, r.InTime, r.Late, r.Rejected)
	for _, k := range slices.Sorted(maps.Keys(r.Failed)) {
		fmt.Fprintf(w, "  failed (%s) %d", k, r.Failed[k])
	}
	fmt.Fprintf(w, "\nclients' retries %d  repeats at servers %d  configurations taken %d, slowest in %.0f ms\n", r.ClientRetries, r.Repeats, r.Changes, r.ConfigAckMs)
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%-10s asked %5d  in time %5d  first event p50 %6.1f p95 %6.1f ms  longest pause p50 %6.1f p95 %6.1f ms  passed on p95 %5.1f ms\n",
			c.Name, c.Requests, c.InTime, c.FirstEventP50Ms, c.FirstEventP95Ms, c.LongestGapP50Ms, c.LongestGapP95Ms, c.ForwardP95Ms)
	}
	m := r.Model
	fmt.Fprintf(w, "servers: ran %d  turned away %d  prompt tokens read %d, saved %d  preempted %d  connections %d  health checks %d  reports %d\n",
		m.Ran, m.Rejected, m.PromptTokensRead, m.PromptTokensSaved, m.Preempted, m.Conns, m.Health, m.Reports)
	fmt.Fprintf(w, "broken rules: %d\n", len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %v\n", v)
	}
}

// report sums what was seen.
func (f *Fleet) report(t *outcomeLog) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{Agents: f.cfg.Agents, Core: f.cfg.Core, Servers: f.cfg.Servers, Seed: f.cfg.Seed, Failed: map[string]int{}, Violations: []Violation{}}
	for _, c := range f.cfg.Classes {
		of := ClassReport{Name: c.Name}
		first, paused, pass := newHistogram(), newHistogram(), newHistogram()
		for i := range t.outcomes {
			o := &t.outcomes[i]
			if o.Class != c {
				continue
			}
			of.Requests++
			r.ClientRetries += o.Attempts - 1
			switch o.Verdict {
			case Served:
				of.InTime++
				of.Served++
			case Late:
				of.Served++
				r.Late++
			case Rejected:
				r.Rejected++
			case Failed:
				r.Failed[o.FailureReason]++
			}
			if o.Verdict <= Late {
				recordDuration(first, o.FirstEvent)
				recordDuration(paused, o.LongestGap)
				recordDuration(pass, o.LongestForward)
			}
		}
		of.FirstEventP50Ms, of.FirstEventP95Ms, of.LongestGapP50Ms, of.LongestGapP95Ms, of.ForwardP95Ms = percentileMs(first, 50), percentileMs(first, 95), percentileMs(paused, 50), percentileMs(paused, 95), percentileMs(pass, 95)
		r.Requests += of.Requests
		r.Served += of.Served
		r.InTime += of.InTime
		r.Classes = append(r.Classes, of)
	}
	f.mu.Lock()
	servers := slices.Concat(f.servers, f.stoppedServers)
	f.mu.Unlock()
	for _, s := range servers {
		stats, m := s.Figures(), &r.Model
		m.Ran += stats.Ran
		m.Rejected += stats.TurnedAway
		m.PromptTokensRead += stats.Read
		m.PromptTokensSaved += stats.Saved
		m.Preempted += stats.Preempted
		m.Conns += stats.Conns
		m.Health += stats.Health
		m.Reports += stats.Reports
	}
	s := f.recorder.snapshot()
	arrived := map[string]bool{}
	for _, x := range s.Records {
		if x.Kind != modelserver.Arrived {
			continue
		}
		if arrived[x.Attempt] {
			r.Repeats++
		}
		arrived[x.Attempt] = true
	}
	for _, c := range s.Changes {
		if c.AckedAt > 0 {
			r.Changes++
			r.ConfigAckMs = max(r.ConfigAckMs, float64((c.AckedAt-c.SentAt).Microseconds())/1000)
		}
	}
	r.Violations = append(r.Violations, f.Check()...)
	return r
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), 1))
} // all are under a minute

func percentileMs(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}
