package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/fleetlab"
)

const (
	// maxSoakSeeds bounds the seeds of one command, maxSoakJobs the fleets that run at once, and
	// maxSoakProcesses their processes together.
	maxSoakSeeds     = 1000
	maxSoakJobs      = 16
	maxSoakProcesses = 240
	// soakRecovery is how long a fleet of the soak may take to recover. It is stricter than what the
	// settings of a deployment allow.
	soakRecovery = 5 * time.Second
	// requestsPerAgent is the default rate per agent and second.
	requestsPerAgent = 12
)

type soakCmd struct {
	First   uint64        `name:"first" default:"1" help:"The first seed."`
	Seeds   int           `name:"seeds" default:"1" help:"How many seeds to play, 1 to 1000."`
	Jobs    int           `name:"jobs" default:"1" help:"Fleets that run at once, 1 to 16, of 240 processes together at most."`
	Agents  int           `name:"agents" default:"5" help:"Machines that run edged."`
	Core    int           `name:"core" default:"3" help:"Of them with a disk."`
	Servers int           `name:"servers" default:"6" help:"Model servers."`
	Series  time.Duration `name:"series" default:"20s" help:"Length of the series of faults."`
	Until   time.Duration `name:"until" help:"Close at this time, to narrow a finding. 0: at the end of the series."`
	Without []int         `name:"without" help:"Leave out the injections of these numbers, to narrow a finding."`
	Rate    float64       `name:"rate" help:"Requests a second. 0: 12 for each agent."`
	Dir     string        `name:"dir" help:"Folder for settings, state, logs and the timeline of each seed, which are kept where something was broken."`
	Edged   string        `name:"edged" help:"The daemon's program. Without it: edged beside this program, or built by go build."`
}

// validate reports values outside of their bounds.
func (s *soakCmd) validate() error {
	switch {
	case s.Seeds < 1 || s.Seeds > maxSoakSeeds:
		return errors.Errorf("--seeds %d: give 1 to %d", s.Seeds, maxSoakSeeds)
	case s.Jobs < 1 || s.Jobs > maxSoakJobs:
		return errors.Errorf("--jobs %d: give 1 to %d", s.Jobs, maxSoakJobs)
	case s.Jobs*s.Agents > maxSoakProcesses:
		return errors.Errorf("--jobs %d of --agents %d: give %d processes together at most", s.Jobs, s.Agents, maxSoakProcesses)
	}
	return nil
}

// soakResults collects the results of all seeds.
type soakResults struct {
	out io.Writer

	mu      sync.Mutex // guards all that follows, and writes to out
	reports []*fleetlab.SoakReport
	broken  []uint64
	failed  []uint64
}

// Run plays all seeds and prints a line for each, and a summary.
func (s *soakCmd) Run(out io.Writer) error {
	if err := s.validate(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, remove, err := openDir(s.Dir)
	if err != nil {
		return err
	}
	defer remove()
	program, err := daemonProgram(ctx, s.Edged, dir)
	if err != nil {
		return err
	}
	results := &soakResults{out: out}
	seeds := make(chan uint64)
	var jobs sync.WaitGroup
	for range s.Jobs {
		jobs.Go(func() {
			for seed := range seeds {
				s.play(ctx, program, dir, seed, results)
			}
		})
	}
	for i := range s.Seeds {
		select {
		case seeds <- s.First + uint64(i):
		case <-ctx.Done():
		}
	}
	close(seeds)
	jobs.Wait()
	return results.summarize(ctx)
}

// play plays one seed in a folder of its own, which is kept if something was broken.
func (s *soakCmd) play(ctx context.Context, program, dir string, seed uint64, results *soakResults) {
	cfg := fleetlab.DefaultConfig(s.Agents, s.Core, s.Servers)
	cfg.Program, cfg.Seed, cfg.Dir = program, seed, filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	cfg.Bounds.Recovery = soakRecovery
	options := fleetlab.SoakOptions{Series: s.Series, Until: s.Until, Without: s.Without, Rate: s.Rate}
	if options.Rate == 0 {
		options.Rate = requestsPerAgent * float64(s.Agents)
	}
	report, err := s.playIn(ctx, &cfg, &options)
	results.mu.Lock()
	defer results.mu.Unlock()
	if err != nil {
		results.failed = append(results.failed, seed)
		fmt.Fprintf(results.out, "seed %d was not played: %v\n", seed, err)
		return
	}
	results.reports = append(results.reports, report)
	fmt.Fprintln(results.out, report.Line())
	if len(report.Violations) == 0 {
		_ = os.RemoveAll(cfg.Dir) // it would only take room
		return
	}
	results.broken = append(results.broken, seed)
	for _, violation := range report.Violations {
		fmt.Fprintf(results.out, "  %v\n", violation)
	}
	fmt.Fprintf(results.out, "  again: %s\n  kept in %s\n", s.command(seed), cfg.Dir)
}

// playIn plays a soak in the folder of its configuration, which must not exist yet.
func (s *soakCmd) playIn(ctx context.Context, cfg *fleetlab.Config, options *fleetlab.SoakOptions) (*fleetlab.SoakReport, error) {
	if err := os.Mkdir(cfg.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the folder of a seed: give an empty --dir")
	}
	return fleetlab.Soak(ctx, cfg, options)
}

// command is the command that plays a seed again.
func (s *soakCmd) command(seed uint64) string {
	text := fmt.Sprintf("go run ./cmd/fleetlab soak --first %d --agents %d --core %d --servers %d --series %v --dir DIR", seed, s.Agents, s.Core, s.Servers, s.Series)
	if s.Until > 0 {
		text += fmt.Sprintf(" --until %v", s.Until)
	}
	for _, number := range s.Without {
		text += fmt.Sprintf(" --without %d", number)
	}
	if s.Rate > 0 {
		text += fmt.Sprintf(" --rate %v", s.Rate)
	}
	return text
}

// summarize prints how long the steps of the recovery took, and which seeds broke something.
func (r *soakResults) summarize(ctx context.Context) error {
	if len(r.reports) > 0 {
		fmt.Fprintln(r.out, "the last agent at each step, in seconds after the last machine of the core was started: median, 99 in 100, worst")
		for i := range r.reports[0].Recovery {
			r.summarizeStep(i)
		}
	}
	fmt.Fprintf(r.out, "%d seeds played, %d broke something %v, %d not played %v\n", len(r.reports), len(r.broken), r.broken, len(r.failed), r.failed)
	switch {
	case len(r.broken) > 0:
		return errViolated
	case len(r.failed) > 0:
		return errors.Errorf("%d seeds were not played", len(r.failed))
	}
	return ctx.Err()
}

// summarizeStep prints the times of one step, for all closings and for each.
func (r *soakResults) summarizeStep(step int) {
	byClosing := map[string][]time.Duration{}
	never := 0
	for _, report := range r.reports {
		moments := &report.Recovery[step]
		never += moments.Never
		for _, closing := range []string{"all", string(report.Closing)} {
			byClosing[closing] = append(byClosing[closing], moments.Last)
		}
	}
	var columns []string
	for _, closing := range append([]fleetlab.SoakClosing{"all"}, fleetlab.SoakClosings...) {
		times := byClosing[string(closing)]
		if len(times) == 0 {
			continue
		}
		slices.Sort(times)
		last := len(times) - 1
		columns = append(columns, fmt.Sprintf("%s %.2f %.2f %.2f", closing, times[last/2].Seconds(), times[(99*last+50)/100].Seconds(), times[last].Seconds()))
	}
	fmt.Fprintf(r.out, "%-8s %s", r.reports[0].Recovery[step].Step, strings.Join(columns, "  "))
	if never > 0 {
		fmt.Fprintf(r.out, "  never %d", never)
	}
	fmt.Fprintln(r.out)
}
