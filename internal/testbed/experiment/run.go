package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chalkdoor.example/chalkdoor/internal/testbed/backend"
	"chalkdoor.example/chalkdoor/internal/testbed/backendmodel"
	"chalkdoor.example/chalkdoor/internal/testbed/baseline"
	"chalkdoor.example/chalkdoor/internal/testbed/faultlink"
	"chalkdoor.example/chalkdoor/internal/testbed/fleetsim"
	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
	"chalkdoor.example/chalkdoor/internal/testbed/referee"
	"chalkdoor.example/chalkdoor/internal/testbed/report"
	"chalkdoor.example/chalkdoor/policy"
)

const (
	// lead is the time between the readiness of all agents and the first request.
	lead = 200 * time.Millisecond
	// socketSlack is what real sockets add to each limit of the rules, as the protocol says.
	socketSlack = 50 * time.Millisecond
	// lateMost is how late 99 of 100 requests may be sent for a play to count, and useMost
	// the part of its own ceiling that the laboratory may be asked for.
	lateMost, useMost = 25 * time.Millisecond, 0.7
	// ceilingFor is for how long the ceiling is measured, with ceilingClients at once.
	ceilingFor, ceilingClients = time.Second, 32
)

// Options are how an experiment is played.
type Options struct {
	Seed  uint64
	Quick bool
	Bin   string // the agent's program
	Dir   string // for logs and configurations of the processes
	// Progress is told, if not nil, which play is under way and how much of it is done.
	Progress func(play string, done float64)
}

// Run plays an experiment and judges it. An error is the laboratory's own; what the agents
// did wrong is in the report.
func Run(ctx context.Context, f *File, opt Options) (*report.Report, error) {
	fl, ld := f.Fleet, f.Load
	if opt.Quick {
		fl, ld = f.Short()
	}
	or(&fl.Near, Duration(250*time.Microsecond))
	or(&fl.Far, Duration(2*time.Millisecond))
	set := fleetsim.Settings()
	cfg := loadOf(&set, fl, ld, opt.Seed)
	plan, err := loadgen.Plan(cfg)
	if err != nil {
		return nil, err
	}
	r := &report.Report{Version: report.Version, Name: f.Name, About: f.About, Seed: opt.Seed, Quick: opt.Quick,
		Agents: fl.Agents, Servers: fl.Servers, Zones: fl.Zones, Rate: cfg.Rate, Warmup: time.Duration(ld.Warmup)}
	if r.Ceiling, err = ceiling(ctx); err != nil {
		return nil, err
	}
	played := map[string]*tally{}
	for _, name := range append([]string{"agents"}, f.Baselines...) {
		of := fl
		of.State = fl.State && name != NoState
		of.Layer = fl.Layer && name != Alone
		p := &play{file: f, fleet: of, cfg: cfg, plan: plan, set: set, opt: opt, name: name}
		t, err := p.run(ctx, r)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		played[name] = t
		if b := float64(t.behind.ValueAtQuantile(99)) / 1000; b > r.Behind {
			r.Behind = b
		}
	}
	switch {
	case cfg.Rate > useMost*r.Ceiling:
		r.Void = fmt.Sprintf("%.0f requests a second are over %.0f%% of the laboratory's own ceiling of %.0f", cfg.Rate, 100*useMost, r.Ceiling)
	case r.Behind > float64(lateMost.Milliseconds()):
		r.Void = fmt.Sprintf("the laboratory ran late by %.0f ms, %v is allowed", r.Behind, lateMost)
	}
	r.Claims = judge(f, r, played, time.Duration(ld.Warmup), cfg.For)
	return r, nil
}

// loadOf is the load of clients: so much of what all servers together can do.
func loadOf(set *policy.Settings, fl Fleet, ld Load, seed uint64) *loadgen.Config {
	cfg := &loadgen.Config{Seed: seed, Agents: fl.Agents, Spread: ld.Spread, For: time.Duration(ld.For), Keys: ld.Keys, Skew: ld.Skew,
		Early: ld.Early, Retry: loadgen.Retry{Once: !ld.NoRetry, After: 200 * time.Millisecond, Heed: !ld.Hasty}}
	shares, works := []float64{0.6, 0.4}, []float64{36, 62} // as published
	mean := 0.0
	for i, c := range set.Classes {
		effect := map[policy.Idempotency]referee.Effect{policy.NonIdempotent: referee.Once, policy.Deduplicated: referee.Keyed, policy.Idempotent: referee.Repeat}[c.Idempotency]
		cfg.Classes = append(cfg.Classes, loadgen.Class{Name: c.Name, Effect: effect, Share: shares[i], WorkMs: works[i], Worth: c.Value,
			LateFor: c.LateValueShare, Aim: time.Duration(c.LatencyTargetMs) * time.Millisecond, GiveUp: time.Duration(c.ClientTimeoutMs) * time.Millisecond})
		mean += shares[i] * works[i]
	}
	for _, t := range set.Tenants {
		cfg.Tenants = append(cfg.Tenants, loadgen.Tenant{Name: t.Name, Share: t.QuotaShare})
	}
	capacity := float64(fl.Servers) * float64(fleetsim.Server().Cores) * (slowest + quickest) / 2 * 1000 / mean
	cfg.Rate = ld.Use * capacity
	for _, b := range ld.Burst {
		x := loadgen.Burst{From: time.Duration(b.At), For: time.Duration(b.For), Times: b.Times}
		for i := range fl.Agents { // agents take turns by zone
			if b.Zone != "" && fl.Zones[i%len(fl.Zones)] == b.Zone {
				x.Agents = append(x.Agents, i)
			}
		}
		cfg.Bursts = append(cfg.Bursts, x)
	}
	return cfg
}

// judge holds figures against claims.
func judge(f *File, r *report.Report, played map[string]*tally, warmup, end time.Duration) (out []report.Claim) {
	value := func(play string, c *Claim) float64 {
		from, to := time.Duration(c.From), time.Duration(c.To)
		if from == 0 {
			from = warmup
		}
		if to == 0 || to > end {
			to = end
		}
		if v, ok := played[play].figure(c.Figure, from, to); ok {
			return v
		}
		for _, p := range r.Plays {
			if p.Name == play {
				return p.Figures[c.Figure]
			}
		}
		return 0
	}
	for i := range f.Claim {
		c := &f.Claim[i]
		got := report.Claim{Text: c.String(), Value: value("agents", c), Kept: true}
		of := 1.0
		if c.Of != "" {
			of = value(c.Of, c)
		}
		if c.Min != nil {
			got.Bound = *c.Min * of
			got.Kept = got.Kept && got.Value >= got.Bound
		}
		if c.Max != nil {
			got.Bound = *c.Max * of
			got.Kept = got.Kept && got.Value <= got.Bound
		}
		out = append(out, got)
	}
	return out
}

// play is one play of a plan: by agents, or by a picker in their place.
type play struct {
	file  *File
	fleet Fleet
	cfg   *loadgen.Config
	plan  []loadgen.Ask
	set   policy.Settings
	opt   Options
	name  string
}

func (p *play) run(ctx context.Context, r *report.Report) (*tally, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir := filepath.Join(p.opt.Dir, p.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	agents := byAgents(p.name)
	w, err := build(ctx, p.fleet, p.file.Fleet.Layer, p.set, p.cfg, p.opt.Seed, p.opt.Bin, dir, agents)
	if err != nil {
		return nil, err
	}
	defer w.close()
	w.start = w.log.Now() + lead
	t := &tally{cfg: p.cfg, zones: len(p.fleet.Zones), behind: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	outcomes := make(chan loadgen.Outcome, 1024)
	var clients sync.WaitGroup
	for _, a := range w.agents {
		var asks []*loadgen.Ask
		for i := range p.plan {
			if p.plan[i].Agent == a.index {
				asks = append(asks, &p.plan[i])
			}
		}
		addr := w.net.address(a.index)
		if !agents {
			ln, err := w.pick(ctx, a, p.name)
			if err != nil {
				return nil, err
			}
			defer ln.Close()
			addr = ln.Addr().String()
		}
		a.client = loadgen.NewClient(p.cfg, a.name, addr, w.start, w.log, w.tries)
		clients.Add(1)
		go func() {
			defer clients.Done()
			a.client.Run(ctx, asks, func(o loadgen.Outcome) { outcomes <- o })
		}()
	}
	go func() {
		clients.Wait()
		close(outcomes)
	}()
	p.timeline(ctx, w, agents, r)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for open := true; open; {
		select {
		case o, ok := <-outcomes:
			if open = ok; ok {
				t.outcomes = append(t.outcomes, o)
				_ = t.behind.RecordValue(min(max(o.Behind.Microseconds(), 1), t.behind.HighestTrackableValue())) // in its range
			}
		case do := <-w.todo:
			if err := do(); err != nil && ctx.Err() == nil {
				cancel()
				for range outcomes {
				}
				return nil, err
			}
		case <-tick.C:
			if p.opt.Progress != nil {
				p.opt.Progress(p.name, min(max(float64(w.log.Now()-w.start)/float64(p.cfg.For), 0), 1))
			}
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return t, p.finish(w, t, agents, r)
}

// timeline schedules the faults. Baselines have the same, but for those of agents.
func (p *play) timeline(ctx context.Context, w *world, agents bool, r *report.Report) {
	for i := range p.file.Fault {
		f := &p.file.Fault[i]
		if p.name == "agents" {
			r.Faults = append(r.Faults, report.Span{Kind: f.Kind, From: time.Duration(f.At), To: time.Duration(f.At + f.For)})
		} else if agents {
			// the same for those without state
		} else if strings.HasSuffix(f.Kind, "-agents") || strings.HasSuffix(f.Kind, "-discovery") {
			continue
		}
		later(ctx, w, w.start+time.Duration(f.At)-w.log.Now(), func() error {
			if w.first == 0 {
				w.first = w.log.Now()
			}
			end, err := kinds[f.Kind](ctx, w, f)
			if err != nil || end == nil {
				return err
			}
			later(ctx, w, time.Duration(f.For), end)
			return nil
		})
	}
}

// finish ends the agents in order and takes all figures.
func (p *play) finish(w *world, t *tally, agents bool, r *report.Report) error {
	end := w.log.Now()
	cpu := time.Duration(0)
	fig := map[string]float64{}
	if agents {
		if p.file.Fleet.Layer {
			if err := w.scrape(fig); err != nil {
				return err
			}
		}
		w.endAgents()
		for _, a := range w.agents {
			cpu += a.proc.CPU()
		}
	}
	w.endOutages()
	events := w.log.Events()
	t.attempts = attemptsOf(events, w)
	warm := time.Duration(r.Warmup)
	all := t.over(warm, t.cfg.For)
	for name, f := range figures {
		fig[name] = f(all)
	}
	for i, z := range all.zones {
		fig["worth of clients in "+p.fleet.Zones[i]] = z.earned / max(z.worth, 1e-9)
	}
	var s backend.Stats
	for _, x := range w.servers {
		y := x.Stats()
		s.Connections += y.Connections
		s.Probes += y.Probes
		s.KeysKnown += y.KeysKnown
		s.KeysMet += y.KeysMet
		s.Pressed = max(s.Pressed, y.Pressed)
	}
	asked := float64(max(len(t.outcomes), 1))
	fig["connections"], fig["probes"] = float64(s.Connections)/asked, float64(s.Probes)/asked
	fig["warm_keys"], fig["pressed"] = part(s.KeysKnown, s.KeysMet), s.Pressed
	if agents {
		calls := 0
		for _, a := range w.agents {
			calls += a.view.Calls()
		}
		fig["list_calls"], fig["agent_cpu_ms"] = float64(calls), float64(cpu.Milliseconds())/asked
		rules := referee.Rules{AnswerSlack: time.Duration(w.set.Contract.ResponseGraceMs) * time.Millisecond,
			DrainGrace: time.Duration(w.set.Contract.DrainGraceMs) * time.Millisecond,
			KeyWindow:  w.effectsWindow(), Slack: socketSlack, ParallelTries: w.set.Limits.AllowParallelAttempts}
		for i, v := range referee.Check(events, rules, end) {
			text := v.String()
			if i < maxExplained {
				text += "\n" + w.evidence(v, events)
			}
			r.Violations = append(r.Violations, text)
		}
		if w.mesh != nil {
			if err := p.votes(w, r, fig); err != nil {
				return err
			}
		}
		w.mu.Lock()
		r.Crashes = slices.Clone(w.deaths)
		w.mu.Unlock()
	}
	r.Plays = append(r.Plays, report.Play{Name: p.name, Seconds: t.seconds(), Figures: fig})
	return nil
}

// pick serves, in place of an agent, its client with a picker: one attempt, no second.
func (w *world) pick(ctx context.Context, a *agent, name string) (net.Listener, error) {
	p, err := baseline.New(name, w.seed+uint64(a.index))
	if err != nil {
		return nil, err
	}
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: w.net.agent(a.index)})
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	out := map[*server]int{}
	var mu sync.Mutex
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: time.Duration(w.set.Limits.KeepaliveMs/2) * time.Millisecond,
		DialContext: (&net.Dialer{Timeout: time.Duration(w.set.Limits.ConnectTimeoutMs) * time.Millisecond}).DialContext}
	handle := func(rw http.ResponseWriter, req *http.Request) {
		mu.Lock()
		w.mu.Lock()
		list := slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool { return s.target.State != backend.Up })
		w.mu.Unlock()
		if len(list) == 0 {
			mu.Unlock()
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		from := make([]baseline.Server, len(list))
		for i, s := range list {
			from[i] = baseline.Server{Index: i, Out: out[s], Expected: func() float64 { return w.expected(a, s) }}
		}
		s := list[p.Pick(from)]
		out[s]++
		mu.Unlock()
		defer func() {
			mu.Lock()
			out[s]--
			mu.Unlock()
		}()
		o := req.Clone(req.Context())
		o.URL.Scheme, o.URL.Host, o.RequestURI = "http", s.links[a.index].Addr().String(), ""
		resp, err := transport.RoundTrip(o)
		if err != nil {
			rw.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		rw.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(rw, resp.Body) // to a client that has gone nothing more is owed
	}
	srv := &http.Server{Handler: http.HandlerFunc(handle), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }() // until the listener is closed
	context.AfterFunc(ctx, func() {
		srv.Close()
		transport.CloseIdleConnections()
	})
	return ln, nil
}

// expected is how long a server would take to answer, all told, as only a clairvoyant knows.
func (w *world) expected(a *agent, s *server) float64 {
	t := s.Truth()
	if t.Capacity <= 0 {
		return 1e9
	}
	cut := false
	w.mu.Lock()
	for _, c := range w.cuts {
		to, from := c(a, s)
		cut = cut || to || from
	}
	w.mu.Unlock()
	if cut {
		return 1e9
	}
	mean := 0.0
	for _, c := range []struct{ share, work float64 }{{0.6, 36}, {0.4, 62}} {
		mean += c.share * c.work
	}
	return (float64(t.Inflight)+1)*mean/t.Capacity + float64(2*w.oneWay(a, s).Microseconds())/1000 + 2000*(1-t.Good)
}

// ceiling is how many requests a second the laboratory carries by itself: clients over links
// to a server that does nothing.
func ceiling(ctx context.Context) (float64, error) {
	l, err := faultlink.New(faultlink.Config{IP: net.IPv4(127, 0, 0, 1), Near: "lab@lab"})
	if err != nil {
		return 0, err
	}
	defer l.Close()
	log, tries := referee.NewLog(), loadgen.NewTries()
	cfg := backendmodel.Config{Cores: 1024, Speed: 1, Queue: 1024}
	s := backend.NewServer(backend.ServerConfig{ID: "s", Zone: "lab", Model: cfg}, tries.Work, log, backend.NewEffects(time.Second))
	defer s.Close()
	s.Serve(l)
	asks := &loadgen.Config{Classes: []loadgen.Class{{Name: "c", GiveUp: 10 * time.Second, Aim: 10 * time.Second}}}
	ctx, cancel := context.WithTimeout(ctx, ceilingFor)
	defer cancel()
	var n atomic.Int64
	var all sync.WaitGroup
	for i := range ceilingClients {
		c := loadgen.NewClient(asks, "lab", l.Addr().String(), 0, log, tries)
		all.Add(1)
		go func() {
			defer all.Done()
			defer c.Close()
			for k := 0; ctx.Err() == nil; k++ {
				c.Run(ctx, []*loadgen.Ask{{Number: i<<20 | k, At: log.Now()}}, func(o loadgen.Outcome) {
					if o.Verdict == loadgen.Served {
						n.Add(1)
					}
				})
			}
		}()
	}
	all.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return 0, err
	}
	return float64(n.Load()) / ceilingFor.Seconds(), nil
}
