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

// Report is the result of a run.
type Report struct {
	Agents        int            `json:"agents"`
	Core          int            `json:"core"`
	Servers       int            `json:"servers"`
	Seed          uint64         `json:"seed"`
	Fault         string         `json:"fault"`
	Seconds       float64        `json:"seconds"`
	Requests      int            `json:"asked"`
	Served        int            `json:"served"`  // requests that were served completely, in time or late
	InTime        int            `json:"in_time"` // served requests that met their latency targets
	Late          int            `json:"late"`
	Rejected      int            `json:"refused"`
	Failed        map[string]int `json:"failed"` // number of failed requests by reason
	Classes       []ClassReport  `json:"classes"`
	ClientRetries int            `json:"client_retries"`
	Repeats       int            `json:"repeats"`        // arrivals of an attempt at a server after its first arrival
	Changes       int            `json:"config_changes"` // acknowledged changes
	ConfigAckMs   float64        `json:"config_ack_ms"`  // longest time until a change was acknowledged
	Model         ServerStats    `json:"model"`
	Violations    []Violation    `json:"broken"`
	SetupSeconds  float64        `json:"setup_seconds"` // time until all agents served requests
}

// ClassReport is the result of one class.
type ClassReport struct {
	Name            string  `json:"name"`
	Requests        int     `json:"asked"`
	InTime          int     `json:"in_time"`
	Served          int     `json:"served"`
	FirstEventP50Ms float64 `json:"first_event_p50_ms"`
	FirstEventP95Ms float64 `json:"first_event_p95_ms"`
	LongestGapP50Ms float64 `json:"pause_p50_ms"` // percentile over the longest gap of each stream
	LongestGapP95Ms float64 `json:"pause_p95_ms"`
	ForwardP95Ms    float64 `json:"pass_p95_ms"` // of the slowest event of each stream, from server to client
}

// ServerStats are the totals of all servers.
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

// outcomeLog collects outcomes. It may be used concurrently.
type outcomeLog struct {
	mu       sync.Mutex
	outcomes []Outcome
}

func (l *outcomeLog) add(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// Write prints the report as text.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%d agents (%d of the core), %d model servers, seed %d, fault %s, %.1f s of traffic\n", r.Agents, r.Core, r.Servers, r.Seed, r.Fault, r.Seconds)
	fmt.Fprintf(w, "asked %d  served %d  in time %d  late %d  refused %d", r.Requests, r.Served, r.InTime, r.Late, r.Rejected)
	for _, k := range slices.Sorted(maps.Keys(r.Failed)) {
		fmt.Fprintf(w, "  failed (%s) %d", k, r.Failed[k])
	}
	fmt.Fprintf(w, "\nclients' retries %d  repeats at servers %d  configuration changes acknowledged %d, slowest in %.0f ms\n", r.ClientRetries, r.Repeats, r.Changes, r.ConfigAckMs)
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%-10s asked %5d  in time %5d  first event p50 %6.1f p95 %6.1f ms  longest gap p50 %6.1f p95 %6.1f ms  forwarding p95 %5.1f ms\n",
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

// report checks the observations and summarizes them with the outcomes.
func (f *Fleet) report(log *outcomeLog) *Report {
	r := &Report{Agents: f.cfg.Agents, Core: f.cfg.Core, Servers: f.cfg.Servers, Seed: f.cfg.Seed, Failed: map[string]int{}, Violations: []Violation{}}
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, class := range f.cfg.Classes {
		r.addClass(class, log.outcomes)
	}
	f.mu.Lock()
	servers := slices.Concat(f.servers, f.stoppedServers)
	f.mu.Unlock()
	for _, server := range servers {
		r.Model.add(server.Stats())
	}
	r.addObservations(f.recorder.snapshot())
	r.Violations = append(r.Violations, f.Check()...)
	return r
}

// addClass adds the outcomes of one class.
func (r *Report) addClass(class *Class, outcomes []Outcome) {
	report := ClassReport{Name: class.Name}
	firstEvents, longestGaps, forwards := newHistogram(), newHistogram(), newHistogram()
	for i := range outcomes {
		outcome := &outcomes[i]
		if outcome.Class != class {
			continue
		}
		report.Requests++
		r.ClientRetries += outcome.Attempts - 1
		switch outcome.Verdict {
		case Served:
			report.InTime++
			report.Served++
		case Late:
			report.Served++
			r.Late++
		case Rejected:
			r.Rejected++
		case Failed:
			r.Failed[outcome.FailureReason]++
		}
		if outcome.Verdict <= Late {
			recordDuration(firstEvents, outcome.FirstEvent)
			recordDuration(longestGaps, outcome.LongestGap)
			recordDuration(forwards, outcome.LongestForward)
		}
	}
	report.FirstEventP50Ms, report.FirstEventP95Ms = percentileMs(firstEvents, 50), percentileMs(firstEvents, 95)
	report.LongestGapP50Ms, report.LongestGapP95Ms = percentileMs(longestGaps, 50), percentileMs(longestGaps, 95)
	report.ForwardP95Ms = percentileMs(forwards, 95)
	r.Requests += report.Requests
	r.Served += report.Served
	r.InTime += report.InTime
	r.Classes = append(r.Classes, report)
}

// addObservations adds the repeated requests and the acknowledged changes.
func (r *Report) addObservations(observations *Observations) {
	arrived := map[string]bool{}
	for _, record := range observations.Records {
		if record.Kind != modelserver.Arrived {
			continue
		}
		if arrived[record.Attempt] {
			r.Repeats++
		}
		arrived[record.Attempt] = true
	}
	for _, change := range observations.Changes {
		if change.AckedAt > 0 {
			r.Changes++
			r.ConfigAckMs = max(r.ConfigAckMs, float64((change.AckedAt-change.SentAt).Microseconds())/1000)
		}
	}
}

// add adds the totals of one server.
func (s *ServerStats) add(stats modelserver.Stats) {
	s.Ran += stats.Executed
	s.Rejected += stats.Rejected
	s.PromptTokensRead += stats.TokensRead
	s.PromptTokensSaved += stats.TokensSaved
	s.Preempted += stats.Preempted
	s.Conns += stats.Conns
	s.Health += stats.HealthChecks
	s.Reports += stats.Reports
}

// newHistogram returns a histogram of durations from 1 µs to 60 s.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// recordDuration records a duration in a histogram of microseconds.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), 1)) // no error: all durations are shorter than a minute
}

// percentileMs returns a percentile in milliseconds; 0 if the histogram is empty.
func percentileMs(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}
