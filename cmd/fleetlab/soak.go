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
	// maxSoakSeeds bounds the number of seeds of one command.
	maxSoakSeeds = 1000
	// maxSoakJobs bounds the number of fleets that run at once.
	maxSoakJobs = 16
	// maxSoakProcesses bounds the total number of agents of these fleets.
	maxSoakProcesses = 240
	// soakRecovery is how long a fleet may take to recover. It is stricter than what the settings of a deployment
	// allow.
	soakRecovery = 5 * time.Second
	// requestsPerAgent is the default request rate per agent, in requests per second.
	requestsPerAgent = 12
)

type soakCmd struct {
	First   uint64        `name:"first" default:"1" help:"The first seed."`
	Seeds   int           `name:"seeds" default:"1" help:"Number of seeds to run, 1 to 1000."`
	Jobs    int           `name:"jobs" default:"1" help:"Number of fleets that run at once, 1 to 16, with at most 240 agents in total."`
	Agents  int           `name:"agents" default:"5" help:"Number of machines that run edged."`
	Core    int           `name:"core" default:"3" help:"Number of these machines that form the core and have a disk."`
	Servers int           `name:"servers" default:"6" help:"Number of model servers."`
	Series  time.Duration `name:"series" default:"20s" help:"Duration of the series of faults."`
	Until   time.Duration `name:"until" help:"End the series at this time, to narrow a finding down. 0 means no limit."`
	Without []int         `name:"without" help:"Numbers of injections to leave out, to narrow a finding down."`
	Rate    float64       `name:"rate" help:"Requests per second. 0 means 12 for each agent."`
	Dir     string        `name:"dir" help:"Folder for settings, state, logs and the timeline of each seed, which are kept for seeds with violations."`
	Edged   string        `name:"edged" help:"Path of the daemon's executable. Without it, edged in the folder of this program is used, or else built with go build."`
}

// validate returns an error if a value is out of its bounds.
func (s *soakCmd) validate() error {
	switch {
	case s.Seeds < 1 || s.Seeds > maxSoakSeeds:
		return errors.Errorf("--seeds %d: give 1 to %d", s.Seeds, maxSoakSeeds)
	case s.Jobs < 1 || s.Jobs > maxSoakJobs:
		return errors.Errorf("--jobs %d: give 1 to %d", s.Jobs, maxSoakJobs)
	case s.Jobs*s.Agents > maxSoakProcesses:
		return errors.Errorf("--jobs %d with --agents %d: give at most %d agents in total", s.Jobs, s.Agents, maxSoakProcesses)
	}
	return nil
}

// soakResults collects the results of all seeds.
type soakResults struct {
	out io.Writer

	mu       sync.Mutex // guards the fields below and the output to out
	reports  []*fleetlab.SoakReport
	violated []uint64 // seeds with violations
	failed   []uint64 // seeds whose soak test could not be run
}

// Run runs the soak tests of all seeds and prints a line for each, and a summary.
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
				s.runSeed(ctx, program, dir, seed, results)
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

// runSeed runs the soak test of one seed in its own folder, which is kept if there are violations.
func (s *soakCmd) runSeed(ctx context.Context, program, dir string, seed uint64, results *soakResults) {
	cfg := fleetlab.DefaultConfig(s.Agents, s.Core, s.Servers)
	cfg.Program, cfg.Seed, cfg.Dir = program, seed, filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	cfg.Bounds.Recovery = soakRecovery
	options := fleetlab.SoakOptions{Series: s.Series, Until: s.Until, Without: s.Without, Rate: s.Rate}
	if options.Rate == 0 {
		options.Rate = requestsPerAgent * float64(s.Agents)
	}
	report, err := s.runIn(ctx, &cfg, &options)
	results.mu.Lock()
	defer results.mu.Unlock()
	if err != nil {
		results.failed = append(results.failed, seed)
		fmt.Fprintf(results.out, "seed %d could not be run: %v\n", seed, err)
		return
	}
	results.reports = append(results.reports, report)
	fmt.Fprintln(results.out, report.Line())
	if len(report.Violations) == 0 {
		_ = os.RemoveAll(cfg.Dir) // without violations the files only occupy disk space
		return
	}
	results.violated = append(results.violated, seed)
	for _, violation := range report.Violations {
		fmt.Fprintf(results.out, "  %v\n", violation)
	}
	fmt.Fprintf(results.out, "  repeat: %s\n  files: %s\n", s.command(seed), cfg.Dir)
}

// runIn runs a soak test in the folder of its configuration, which must not exist yet.
func (s *soakCmd) runIn(ctx context.Context, cfg *fleetlab.Config, options *fleetlab.SoakOptions) (*fleetlab.SoakReport, error) {
	if err := os.Mkdir(cfg.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the folder of a seed: give an empty --dir")
	}
	return fleetlab.Soak(ctx, cfg, options)
}

// command returns the command that runs the soak test of a seed again.
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

// summarize prints how long the steps of the recovery took, and which seeds had violations.
func (r *soakResults) summarize(ctx context.Context) error {
	if len(r.reports) > 0 {
		fmt.Fprintln(r.out, "time of the last agent at each step, in seconds after the start of the last core machine: median, 99th percentile, maximum")
		for i := range r.reports[0].Recovery {
			r.summarizeStep(i)
		}
	}
	fmt.Fprintf(r.out, "%d seeds run, %d with violations %v, %d could not be run %v\n", len(r.reports), len(r.violated), r.violated, len(r.failed), r.failed)
	switch {
	case len(r.violated) > 0:
		return errViolated
	case len(r.failed) > 0:
		return errors.Errorf("%d seeds could not be run", len(r.failed))
	}
	return ctx.Err()
}

// summarizeStep prints the times of one step, over all closings and for each of them.
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
