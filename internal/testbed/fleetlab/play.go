package fleetlab

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
	"chalkdoor.example/chalkdoor/internal/testbed/modelserver"
)

// Faults are what a play can be asked for.
var Faults = []string{"none", "kill-core", "term", "freeze", "crash-server", "drain"}

const (
	// downFor is how long what was ended stays down.
	downFor = 2 * time.Second
	// afterwards bounds what follows the traffic: coming back, and reading back.
	afterwards = 30 * time.Second
)

// Options are how a fleet is played.
type Options struct {
	For   time.Duration
	Rate  float64 // requests a second; 0: as fits the agents
	Fault string  // one of Faults, a third into the play
}

// Report is what came of a play.
type Report struct {
	Agents  int            `json:"agents"`
	Core    int            `json:"core"`
	Servers int            `json:"servers"`
	Seed    uint64         `json:"seed"`
	Fault   string         `json:"fault"`
	Seconds float64        `json:"seconds"`
	Asked   int            `json:"asked"`
	Served  int            `json:"served"`  // whole, in time or late
	InTime  int            `json:"in_time"` // of the served
	Late    int            `json:"late"`
	Refused int            `json:"refused"`
	Failed  map[string]int `json:"failed"` // by kind
	Classes []ClassReport  `json:"classes"`
	// Tries of clients, and arrivals at servers beyond the first of each.
	ClientRetries int          `json:"client_retries"`
	Repeats       int          `json:"repeats"`
	Changes       int          `json:"config_changes"`
	ConfigAckMs   float64      `json:"config_ack_ms"` // the slowest
	Model         ModelFigures `json:"model"`
	Broken        []Violation  `json:"broken"`
	Setup         float64      `json:"setup_seconds"` // until all agents served
}

// ClassReport is what came of one class.
type ClassReport struct {
	Name    string  `json:"name"`
	Asked   int     `json:"asked"`
	InTime  int     `json:"in_time"`
	Served  int     `json:"served"`
	First50 float64 `json:"first_event_p50_ms"`
	First95 float64 `json:"first_event_p95_ms"`
	Pause50 float64 `json:"pause_p50_ms"` // the longest of each stream
	Pause95 float64 `json:"pause_p95_ms"`
	Pass95  float64 `json:"pass_p95_ms"` // the longest way of an event from its server
}

// ModelFigures sum what the servers did.
type ModelFigures struct {
	Ran        int `json:"ran"`
	TurnedAway int `json:"turned_away"`
	Read       int `json:"prompt_tokens_read"`
	Saved      int `json:"prompt_tokens_saved"`
	Preempted  int `json:"preempted"`
	Conns      int `json:"connections"`
	Health     int `json:"health_checks"`
	Reports    int `json:"reports"`
}

// tally counts outcomes.
type tally struct {
	mu  sync.Mutex
	all []Outcome
}

func (t *tally) add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, o)
}

// Play starts a fleet, plays clients, an operator and a fault, and judges it. Progress, if not
// nil, is told what happens. An error is the laboratory's own, or a fleet that does not start;
// broken rules are in the report.
func Play(ctx context.Context, cfg Config, opt Options, progress func(string)) (*Report, error) {
	if !slices.Contains(Faults, opt.Fault) {
		return nil, errors.Errorf("unknown fault %q: give one of %v", opt.Fault, Faults)
	}
	if opt.For < time.Second || opt.For > time.Hour {
		return nil, errors.Errorf("a play of %v: give 1s to 1h", opt.For)
	}
	if opt.Rate <= 0 {
		opt.Rate = 12 * float64(cfg.Agents)
	}
	if progress == nil {
		progress = func(string) {}
	}
	start, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	l, err := Start(start, cfg)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	setup := l.Now()
	progress(fmt.Sprintf("%d agents and %d servers serve after %.1f s", cfg.Agents, cfg.Servers, setup.Seconds()))

	clients, plan, err := l.Traffic(opt.Rate, opt.For)
	if err != nil {
		return nil, err
	}
	var t tally
	var beside sync.WaitGroup
	errs := make(chan error, 2)
	beside.Go(func() { errs <- l.changes(ctx, opt.For) })
	beside.Go(func() { errs <- l.fault(ctx, opt, progress) })
	began := l.Now()
	clients.Run(ctx, plan, t.add)
	took := l.Now() - began
	beside.Wait()
	clients.Close()
	for range 2 {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	end, cancel := context.WithTimeout(ctx, afterwards)
	defer cancel()
	if err := l.AllReady(end); err != nil {
		return nil, errors.Wrap(err, "after the traffic")
	}
	l.ReadBack(end)
	r := l.report(&t)
	r.Fault, r.Seconds, r.Setup = opt.Fault, took.Seconds(), setup.Seconds()
	return r, nil
}

// Traffic draws what clients will want.
func (l *Lab) Traffic(rate float64, length time.Duration) (*Clients, []loadgen.Ask, error) {
	cfg := &loadgen.Config{Seed: l.cfg.Seed, Agents: l.cfg.Clients, Rate: rate, Spread: 0.3, For: length, Keys: 40, Skew: 0.6}
	for _, c := range l.cfg.Classes {
		cfg.Classes = append(cfg.Classes, loadgen.Class{Name: c.Name, Share: c.Share})
	}
	plan, err := loadgen.Plan(cfg)
	if err != nil {
		return nil, nil, err
	}
	return newClients(l.cfg.Classes, l.Entry, l.Now, l.seen, l.cfg.Seed, l.zones, "c"), plan, nil
}

// pause waits; false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// changes has the operator change the configuration twice: a time-out, then a split.
func (l *Lab) changes(ctx context.Context, length time.Duration) error {
	if !pause(ctx, length/5) {
		return nil
	}
	r := l.Operator.Current().Routes[0]
	r.TimeoutMs -= 1000
	if _, err := l.Operator.Patch(ctx, Patch{Upsert: Upsert{Routes: []Route{r}}}); err != nil {
		return err
	}
	if !pause(ctx, length/2) {
		return nil
	}
	r = l.Operator.Current().Routes[1]
	r.Split = []Split{{serviceA, 50}, {serviceB, 50}}
	_, err := l.Operator.Patch(ctx, Patch{Upsert: Upsert{Routes: []Route{r}}})
	return err
}

// fault breaks something and mends it.
func (l *Lab) fault(ctx context.Context, opt Options, progress func(string)) error {
	if opt.Fault == "none" || !pause(ctx, opt.For/3) {
		return nil
	}
	core, other := l.Agents[0], l.Agents[len(l.Agents)-1]
	down := min(downFor, opt.For/4)
	switch opt.Fault {
	case "kill-core":
		core.Kill()
		progress(core.Name + " of the core was killed")
		pause(ctx, down)
		progress(core.Name + " starts again")
		return core.Start()
	case "term":
		progress(other.Name + " is asked to end")
		if err := other.Terminate(ctx); err != nil {
			return err
		}
		progress(other.Name + " has ended in order")
		pause(ctx, down)
		return other.Start()
	case "freeze":
		if err := other.Freeze(); err != nil {
			return err
		}
		progress(other.Name + " is frozen")
		pause(ctx, down)
		progress(other.Name + " wakes")
		return other.Thaw()
	case "crash-server":
		l.Server(0).Crash()
		progress("a server crashed: " + l.Server(0).ID() + "; another is to start in its place")
		return l.RestartServer(ctx, 0)
	case "drain":
		progress("a server leaves: " + l.Server(0).ID())
		if err := l.Server(0).Leave(ctx); err != nil {
			return err
		}
		progress("it has ended; another is to start in its place")
		return l.RestartServer(ctx, 0)
	}
	return nil
}

// report sums what was seen.
func (l *Lab) report(t *tally) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{Agents: l.cfg.Agents, Core: l.cfg.Core, Servers: l.cfg.Servers, Seed: l.cfg.Seed, Failed: map[string]int{}, Broken: []Violation{}}
	for _, c := range l.cfg.Classes {
		of := ClassReport{Name: c.Name}
		first, paused, pass := newHistogram(), newHistogram(), newHistogram()
		for i := range t.all {
			o := &t.all[i]
			if o.Class != c {
				continue
			}
			of.Asked++
			r.ClientRetries += o.Tries - 1
			switch o.Verdict {
			case Served:
				of.InTime++
				of.Served++
			case Late:
				of.Served++
				r.Late++
			case Refused:
				r.Refused++
			case Failed:
				r.Failed[o.Why]++
			}
			if o.Verdict <= Late {
				note(first, o.First)
				note(paused, o.Pause)
				note(pass, o.Pass)
			}
		}
		of.First50, of.First95, of.Pause50, of.Pause95, of.Pass95 = at(first, 50), at(first, 95), at(paused, 50), at(paused, 95), at(pass, 95)
		r.Asked += of.Asked
		r.Served += of.Served
		r.InTime += of.InTime
		r.Classes = append(r.Classes, of)
	}
	l.mu.Lock()
	servers := slices.Concat(l.servers, l.ended)
	l.mu.Unlock()
	for _, s := range servers {
		f, m := s.Figures(), &r.Model
		m.Ran += f.Ran
		m.TurnedAway += f.TurnedAway
		m.Read += f.Read
		m.Saved += f.Saved
		m.Preempted += f.Preempted
		m.Conns += f.Conns
		m.Health += f.Health
		m.Reports += f.Reports
	}
	s := l.seen.all()
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
		if c.Acked > 0 {
			r.Changes++
			r.ConfigAckMs = max(r.ConfigAckMs, float64((c.Acked-c.Sent).Microseconds())/1000)
		}
	}
	r.Broken = append(r.Broken, l.Check()...)
	return r
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func note(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(max(d.Microseconds(), 1)) } // all are under a minute

func at(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Write prints the report for people.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%d agents (%d of the core), %d model servers, seed %d, fault %s, %.1f s of traffic\n", r.Agents, r.Core, r.Servers, r.Seed, r.Fault, r.Seconds)
	fmt.Fprintf(w, "asked %d  served %d  in time %d  late %d  refused %d", r.Asked, r.Served, r.InTime, r.Late, r.Refused)
	for _, k := range slices.Sorted(maps.Keys(r.Failed)) {
		fmt.Fprintf(w, "  failed (%s) %d", k, r.Failed[k])
	}
	fmt.Fprintf(w, "\nclients' retries %d  repeats at servers %d  configurations taken %d, slowest in %.0f ms\n", r.ClientRetries, r.Repeats, r.Changes, r.ConfigAckMs)
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%-10s asked %5d  in time %5d  first event p50 %6.1f p95 %6.1f ms  longest pause p50 %6.1f p95 %6.1f ms  passed on p95 %5.1f ms\n",
			c.Name, c.Asked, c.InTime, c.First50, c.First95, c.Pause50, c.Pause95, c.Pass95)
	}
	m := r.Model
	fmt.Fprintf(w, "servers: ran %d  turned away %d  prompt tokens read %d, saved %d  preempted %d  connections %d  health checks %d  reports %d\n",
		m.Ran, m.TurnedAway, m.Read, m.Saved, m.Preempted, m.Conns, m.Health, m.Reports)
	fmt.Fprintf(w, "broken rules: %d\n", len(r.Broken))
	for _, v := range r.Broken {
		fmt.Fprintf(w, "  %v\n", v)
	}
}
