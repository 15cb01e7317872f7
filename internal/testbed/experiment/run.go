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
	// startDelay is the time from when all agents are ready to the start of the load.
	startDelay = 200 * time.Millisecond
	// socketSlack is added to each time limit of the rules, as the protocol allows for real sockets.
	socketSlack = 50 * time.Millisecond
	// maxSendDelay and maxCeilingUse say when a result is void because the testbed was overloaded. They
	// bound the 99th percentile of the delay with which requests are sent, and the request rate as a
	// fraction of the testbed's ceiling.
	maxSendDelay, maxCeilingUse = 25 * time.Millisecond, 0.7
	// ceilingDuration is how long the ceiling is measured, and ceilingClients the number of
	// concurrent clients.
	ceilingDuration, ceilingClients = time.Second, 32
)

// Options configures a run of an experiment.
type Options struct {
	Seed  uint64
	Quick bool
	Bin   string // path of the agent's binary
	Dir   string // directory for the logs and configurations of the processes
	// Progress is called periodically, if not nil, with the current play and the fraction of it
	// that is done.
	Progress func(play string, done float64)
}

// Run runs an experiment and evaluates it. An error means that the testbed failed; what the agents
// did wrong is in the report.
func Run(ctx context.Context, f *File, opt Options) (*report.Report, error) {
	fl, ld := f.Fleet, f.Load
	if opt.Quick {
		fl, ld = f.Short()
	}
	override(&fl.Near, Duration(250*time.Microsecond))
	override(&fl.Far, Duration(2*time.Millisecond))
	set := fleetsim.Settings()
	cfg := loadConfig(&set, fl, ld, opt.Seed)
	plan, err := loadgen.Plan(cfg)
	if err != nil {
		return nil, err
	}
	r := &report.Report{Version: report.Version, Name: f.Name, About: f.About, Seed: opt.Seed, Quick: opt.Quick,
		Agents: fl.Agents, Servers: fl.Servers, Zones: fl.Zones, Rate: cfg.Rate, Warmup: time.Duration(ld.Warmup)}
	if r.Ceiling, err = ceiling(ctx); err != nil {
		return nil, err
	}
	tallies := map[string]*tally{}
	for _, name := range append([]string{"agents"}, f.Baselines...) {
		fleet := fl
		fleet.State = fl.State && name != NoState
		fleet.Coordination = fl.Coordination && name != Alone
		p := &play{file: f, fleet: fleet, cfg: cfg, plan: plan, set: set, opt: opt, name: name}
		t, err := p.run(ctx, r)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		tallies[name] = t
		if b := float64(t.sendDelays.ValueAtQuantile(99)) / 1000; b > r.SendDelayP99 {
			r.SendDelayP99 = b
		}
	}
	switch {
	case cfg.Rate > maxCeilingUse*r.Ceiling:
		r.Void = fmt.Sprintf("%.0f requests a second are over %.0f%% of the laboratory's own ceiling of %.0f",
			cfg.Rate, 100*maxCeilingUse, r.Ceiling)
	case r.SendDelayP99 > float64(maxSendDelay.Milliseconds()):
		r.Void = fmt.Sprintf("the laboratory ran late by %.0f ms, %v is allowed", r.SendDelayP99, maxSendDelay)
	}
	r.Claims = evaluateClaims(f, r, tallies, time.Duration(ld.Warmup), cfg.Duration)
	return r, nil
}

// loadConfig returns the configuration of the load, whose rate is a fraction of the capacity of all
// servers.
func loadConfig(set *policy.Settings, fl Fleet, ld Load, seed uint64) *loadgen.Config {
	cfg := &loadgen.Config{Seed: seed, Agents: fl.Agents, Spread: ld.Spread, Duration: time.Duration(ld.Duration),
		Keys: ld.Keys, Skew: ld.Skew, EarlyLeavers: ld.EarlyLeavers,
		Retry: loadgen.Retry{Enabled: !ld.NoRetry, MinDelay: 200 * time.Millisecond,
			HonorRetryAfter: !ld.IgnoreRetryAfter}}
	shares, workMs := []float64{0.6, 0.4}, []float64{36, 62} // the shares and mean work that the protocol publishes
	meanWorkMs := 0.0
	for i, c := range set.Classes {
		effect := map[policy.Idempotency]referee.Effect{policy.NonIdempotent: referee.NonIdempotent,
			policy.Deduplicated: referee.Deduplicated, policy.Idempotent: referee.Idempotent}[c.Idempotency]
		cfg.Classes = append(cfg.Classes, loadgen.Class{Name: c.Name, Effect: effect, Share: shares[i],
			WorkMs: workMs[i], Worth: c.Value,
			LateShare: c.LateValueShare, TargetLatency: time.Duration(c.LatencyTargetMs) * time.Millisecond,
			Timeout: time.Duration(c.ClientTimeoutMs) * time.Millisecond})
		meanWorkMs += shares[i] * workMs[i]
	}
	for _, t := range set.Tenants {
		cfg.Tenants = append(cfg.Tenants, loadgen.Tenant{Name: t.Name, Share: t.QuotaShare})
	}
	capacity := float64(fl.Servers) * float64(fleetsim.Server().Cores) * (minSpeed + maxSpeed) / 2 * 1000 / meanWorkMs
	cfg.Rate = ld.Utilization * capacity
	for _, b := range ld.Burst {
		x := loadgen.Burst{From: time.Duration(b.At), Duration: time.Duration(b.Duration), Factor: b.Factor}
		for i := range fl.Agents { // agents are assigned to zones round-robin
			if b.Zone != "" && fl.Zones[i%len(fl.Zones)] == b.Zone {
				x.Agents = append(x.Agents, i)
			}
		}
		cfg.Bursts = append(cfg.Bursts, x)
	}
	return cfg
}

// evaluateClaims compares the figures of the plays with the file's claims.
func evaluateClaims(f *File, r *report.Report, tallies map[string]*tally,
	warmup, end time.Duration) (out []report.Claim) {
	value := func(play string, c *Claim) float64 {
		from, to := time.Duration(c.From), time.Duration(c.To)
		if from == 0 {
			from = warmup
		}
		if to == 0 || to > end {
			to = end
		}
		if v, ok := tallies[play].figure(c.Figure, from, to); ok {
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
		result := report.Claim{Text: c.String(), Value: value("agents", c), Kept: true}
		base := 1.0
		if c.Baseline != "" {
			base = value(c.Baseline, c)
		}
		if c.Min != nil {
			result.Bound = *c.Min * base
			result.Kept = result.Kept && result.Value >= result.Bound
		}
		if c.Max != nil {
			result.Bound = *c.Max * base
			result.Kept = result.Kept && result.Value <= result.Bound
		}
		out = append(out, result)
	}
	return out
}

// play is one run of the load, either through agents or through a baseline algorithm in their
// place.
type play struct {
	file  *File
	fleet Fleet
	cfg   *loadgen.Config
	plan  []loadgen.PlannedRequest
	set   policy.Settings
	opt   Options
	name  string
}

// run plays the load and returns its tally. It adds the play to the report.
func (p *play) run(ctx context.Context, r *report.Report) (*tally, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir := filepath.Join(p.opt.Dir, p.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	agents := usesAgents(p.name)
	w, err := build(ctx, p.fleet, p.file.Fleet.Coordination, p.set, p.cfg, p.opt.Seed, p.opt.Bin, dir, agents)
	if err != nil {
		return nil, err
	}
	defer w.close()
	w.loadStart = w.log.Now() + startDelay
	t := &tally{cfg: p.cfg, zones: len(p.fleet.Zones),
		sendDelays: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	outcomes := make(chan loadgen.Outcome, 1024)
	var clients sync.WaitGroup
	for _, a := range w.agents {
		var planned []*loadgen.PlannedRequest
		for i := range p.plan {
			if p.plan[i].Agent == a.index {
				planned = append(planned, &p.plan[i])
			}
		}
		addr := w.net.address(a.index)
		if !agents {
			ln, err := w.serveBaseline(ctx, a, p.name)
			if err != nil {
				return nil, err
			}
			defer ln.Close()
			addr = ln.Addr().String()
		}
		a.client = loadgen.NewClient(p.cfg, a.name, addr, w.loadStart, w.log, w.tries)
		clients.Add(1)
		go func() {
			defer clients.Done()
			a.client.Run(ctx, planned, func(o loadgen.Outcome) { outcomes <- o })
		}()
	}
	go func() {
		clients.Wait()
		close(outcomes)
	}()
	p.scheduleFaults(ctx, w, agents, r)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for open := true; open; {
		select {
		case o, ok := <-outcomes:
			if open = ok; ok {
				t.outcomes = append(t.outcomes, o)
				// Cannot fail: the value is in the histogram's range.
				_ = t.sendDelays.RecordValue(min(max(o.SendDelay.Microseconds(), 1),
					t.sendDelays.HighestTrackableValue()))
			}
		case task := <-w.tasks:
			if err := task(); err != nil && ctx.Err() == nil {
				cancel()
				for range outcomes {
				}
				return nil, err
			}
		case <-tick.C:
			if p.opt.Progress != nil {
				p.opt.Progress(p.name, min(max(float64(w.log.Now()-w.loadStart)/float64(p.cfg.Duration), 0), 1))
			}
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return t, p.finish(w, t, agents, r)
}

// scheduleFaults schedules the file's faults. A baseline without agents gets the same faults, except those of agents
// and discovery.
func (p *play) scheduleFaults(ctx context.Context, w *world, agents bool, r *report.Report) {
	for i := range p.file.Fault {
		f := &p.file.Fault[i]
		if p.name == "agents" {
			r.Faults = append(r.Faults, report.Span{Kind: f.Kind, From: time.Duration(f.At),
				To: time.Duration(f.At + f.Duration)})
		} else if agents {
			// A baseline that runs agents gets all faults, which the report lists only once.
		} else if strings.HasSuffix(f.Kind, "-agents") || strings.HasSuffix(f.Kind, "-discovery") {
			continue
		}
		schedule(ctx, w, w.loadStart+time.Duration(f.At)-w.log.Now(), func() error {
			if w.firstFault == 0 {
				w.firstFault = w.log.Now()
			}
			end, err := faultKinds[f.Kind](ctx, w, f)
			if err != nil || end == nil {
				return err
			}
			schedule(ctx, w, time.Duration(f.Duration), end)
			return nil
		})
	}
}

// finish stops the agents gracefully and adds the play with all its figures to the report.
func (p *play) finish(w *world, t *tally, agents bool, r *report.Report) error {
	end := w.log.Now()
	cpu := time.Duration(0)
	fig := map[string]float64{}
	if agents {
		if p.file.Fleet.Coordination {
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
	warmup := time.Duration(r.Warmup)
	all := t.sumsOver(warmup, t.cfg.Duration)
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
		s.KeysSeen += y.KeysSeen
		s.Pressed = max(s.Pressed, y.Pressed)
	}
	requests := float64(max(len(t.outcomes), 1))
	fig["connections"], fig["probes"] = float64(s.Connections)/requests, float64(s.Probes)/requests
	fig["warm_keys"], fig["pressed"] = ratio(s.KeysKnown, s.KeysSeen), s.Pressed
	if agents {
		calls := 0
		for _, a := range w.agents {
			calls += a.view.Calls()
		}
		fig["list_calls"], fig["agent_cpu_ms"] = float64(calls), float64(cpu.Milliseconds())/requests
		rules := referee.Rules{AnswerSlack: time.Duration(w.set.Contract.ResponseGraceMs) * time.Millisecond,
			DrainGrace: time.Duration(w.set.Contract.DrainGraceMs) * time.Millisecond,
			KeyWindow:  w.effectsWindow(), Slack: socketSlack, ParallelAttempts: w.set.Limits.AllowParallelAttempts}
		for i, v := range referee.Check(events, rules, end) {
			text := v.String()
			if i < maxEvidence {
				text += "\n" + w.evidence(v, events)
			}
			r.Violations = append(r.Violations, text)
		}
		if w.mesh != nil {
			if err := p.checkVotes(w, r, fig); err != nil {
				return err
			}
		}
		w.mu.Lock()
		r.Crashes = slices.Clone(w.crashes)
		w.mu.Unlock()
	}
	r.Plays = append(r.Plays, report.Play{Name: p.name, Seconds: t.seconds(), Figures: fig})
	return nil
}

// serveBaseline serves an agent's client with a baseline algorithm in place of the agent. Each request gets a
// single attempt.
func (w *world) serveBaseline(ctx context.Context, a *agent, name string) (net.Listener, error) {
	p, err := baseline.New(name, w.seed+uint64(a.index))
	if err != nil {
		return nil, err
	}
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: w.net.agentIP(a.index)})
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	inflight := map[*server]int{}
	var mu sync.Mutex
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true,
		IdleConnTimeout: time.Duration(w.set.Limits.KeepaliveMs/2) * time.Millisecond,
		DialContext: (&net.Dialer{
			Timeout: time.Duration(w.set.Limits.ConnectTimeoutMs) * time.Millisecond}).DialContext}
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
		candidates := make([]baseline.Server, len(list))
		for i, s := range list {
			candidates[i] = baseline.Server{Index: i, InFlight: inflight[s],
				Expected: func() float64 { return w.expected(a, s) }}
		}
		s := list[p.Pick(candidates)]
		inflight[s]++
		mu.Unlock()
		defer func() {
			mu.Lock()
			inflight[s]--
			mu.Unlock()
		}()
		forwarded := req.Clone(req.Context())
		forwarded.URL.Scheme, forwarded.URL.Host, forwarded.RequestURI = "http", s.links[a.index].Addr().String(), ""
		resp, err := transport.RoundTrip(forwarded)
		if err != nil {
			rw.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		rw.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(rw, resp.Body) // the client may have disconnected
	}
	srv := &http.Server{Handler: http.HandlerFunc(handle), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }() // returns when the listener is closed
	context.AfterFunc(ctx, func() {
		srv.Close()
		transport.CloseIdleConnections()
	})
	return ln, nil
}

// expected returns the expected time in ms of a server's answer to an agent, network delay included,
// with a penalty for failures. It is computed from the server's true state, which no agent can see.
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
	meanWorkMs := 0.0
	for _, c := range []struct{ share, work float64 }{{0.6, 36}, {0.4, 62}} {
		meanWorkMs += c.share * c.work
	}
	return (float64(t.Inflight)+1)*meanWorkMs/t.Capacity + float64(2*w.oneWay(a, s).Microseconds())/1000 +
		2000*(1-t.SuccessRate)
}

// ceiling measures how many requests a second the testbed can carry without agents: its clients
// send over an emulated link to a server that does no work.
func ceiling(ctx context.Context) (float64, error) {
	l, err := faultlink.New(faultlink.Config{IP: net.IPv4(127, 0, 0, 1), NearName: "lab@lab"})
	if err != nil {
		return 0, err
	}
	defer l.Close()
	log, tries := referee.NewLog(), loadgen.NewTries()
	model := backendmodel.Config{Cores: 1024, Speed: 1, Queue: 1024}
	s := backend.NewServer(backend.ServerConfig{ID: "s", Zone: "lab", Model: model}, tries.Work, log,
		backend.NewEffects(time.Second))
	defer s.Close()
	s.Serve(l)
	cfg := &loadgen.Config{Classes: []loadgen.Class{
		{Name: "c", Timeout: 10 * time.Second, TargetLatency: 10 * time.Second}}}
	ctx, cancel := context.WithTimeout(ctx, ceilingDuration)
	defer cancel()
	var served atomic.Int64
	var clients sync.WaitGroup
	for i := range ceilingClients {
		c := loadgen.NewClient(cfg, "lab", l.Addr().String(), 0, log, tries)
		clients.Add(1)
		go func() {
			defer clients.Done()
			defer c.Close()
			for k := 0; ctx.Err() == nil; k++ {
				c.Run(ctx, []*loadgen.PlannedRequest{{Number: i<<20 | k, At: log.Now()}}, func(o loadgen.Outcome) {
					if o.Verdict == loadgen.Served {
						served.Add(1)
					}
				})
			}
		}()
	}
	clients.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return 0, err
	}
	return float64(served.Load()) / ceilingDuration.Seconds(), nil
}
