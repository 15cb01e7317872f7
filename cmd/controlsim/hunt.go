package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/controlsim"
)

const (
	// progressInterval is the pause between two progress lines.
	progressInterval = 10 * time.Second
	// maxPrinted bounds the printed violations of a run. The log of a replay has all of them.
	maxPrinted = 3
	// maxLineBytes bounds a line of a worker's output. The line of a failed run contains its log.
	maxLineBytes = 64 << 20
)

type huntCmd struct {
	Seeds   uint64  `name:"seeds" default:"100" help:"Number of seeds to run for each point."`
	First   uint64  `name:"first" default:"0" help:"The first seed."`
	Point   string  `name:"point" default:"all" help:"Point, 1 to 7 (6: tenants, 7: zones lost, poor links), or all."`
	Minutes float64 `name:"minutes" default:"0" help:"Minutes after which no run begins. 0: no limit."`
	Jobs    int     `name:"jobs" default:"4" help:"Number of worker processes."`

	RunLimit time.Duration `name:"run-limit" default:"5m" help:"Limit of a run's wall-clock time; a longer one fails."`
}

// tally has the totals of the runs of a scenario.
type tally struct {
	runs, failed, updates, reads, drains, calls int
	elapsed, virtualTime                        time.Duration
}

// hunt runs many seeds in worker processes and collects their reports.
type hunt struct {
	out     io.Writer
	mu      sync.Mutex
	tallies [controlsim.ScenarioCount + 1]tally // by scenario number
	failed  bool                                // whether a guarantee was violated or a worker failed
}

func (c *huntCmd) Run() error {
	if _, err := parseScenarios(c.Point); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	h := &hunt{out: os.Stdout}
	jobs := max(1, c.Jobs)
	var workers, reporter sync.WaitGroup
	for i := range jobs {
		workers.Go(func() {
			if err := h.runWorker(ctx, c, i, jobs); err != nil {
				h.fail(err)
			}
		})
	}
	progressCtx, stopProgress := context.WithCancel(ctx)
	reporter.Go(func() { h.reportProgress(progressCtx) })
	workers.Wait()
	stopProgress()
	reporter.Wait()
	h.printSummary()
	if h.failed {
		return errors.New("a guarantee was violated, or a worker failed")
	}
	return nil
}

// runWorker runs a subset of the seeds in a separate process, because a process can't run simulations concurrently.
func (h *hunt) runWorker(ctx context.Context, c *huntCmd, index, jobs int) error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the path of this program")
	}
	formatUint := func(n uint64) string { return strconv.FormatUint(n, 10) }
	cmd := exec.CommandContext(ctx, self, "work", "--point", c.Point, "--first", formatUint(c.First+uint64(index)),
		"--step", strconv.Itoa(jobs), "--end", formatUint(c.First+c.Seeds), "--minutes",
		time.Duration(c.Minutes*float64(time.Minute)).String())
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "read from a worker")
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start a worker")
	}
	watch := newWatchdog(c.RunLimit, func(run string) {
		h.fail(errors.Errorf("%s has not ended after %v; its goroutines are on standard error", run, c.RunLimit))
		_ = cmd.Process.Signal(syscall.SIGQUIT) // the Go runtime then prints the goroutines and exits
	})
	defer watch.stop()
	readErr := h.readReports(out, watch)
	if err := cmd.Wait(); err != nil {
		return errors.Wrapf(err, "worker %d", index)
	}
	if readErr != nil {
		return errors.Wrap(readErr, "read from a worker")
	}
	return nil
}

// readReports adds the reports of a worker until its output ends. The watchdog watches the run in progress.
func (h *hunt) readReports(out io.Reader, watch *watchdog) error {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var report controlsim.Report
		switch {
		case json.Unmarshal(lines.Bytes(), &report) != nil || report.Scenario <= 0 ||
			report.Scenario > controlsim.ScenarioCount:
			if text := lines.Text(); text != "PASS" {
				fmt.Fprintln(os.Stderr, text)
			}
		case report.Begins:
			watch.begin(fmt.Sprintf("point %d seed %d", report.Scenario, report.Seed))
		default:
			watch.stop()
			h.add(&report)
		}
	}
	watch.stop()
	return lines.Err()
}

// add adds the report of a run. If the run violated guarantees, it prints the violations and a minimal set of faults
// that leads to one.
func (h *hunt) add(report *controlsim.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := &h.tallies[report.Scenario]
	t.runs++
	t.updates += report.Result.Updates
	t.reads += report.Result.Reads
	t.drains += report.Result.Drains
	t.calls += report.Result.Calls
	t.elapsed += report.Elapsed
	t.virtualTime += report.Result.VirtualTime
	if len(report.Result.Violations) == 0 {
		return
	}
	t.failed++
	h.failed = true
	for _, v := range report.Result.Violations[:min(maxPrinted, len(report.Result.Violations))] {
		fmt.Fprintf(h.out, "point %d %v\n", report.Scenario, v)
	}
	fmt.Fprintf(h.out, "point %d seed %d: %d of its %d faults are enough:\n", report.Scenario, report.Seed,
		len(report.MinimalFaults), report.FaultCount)
	for _, f := range report.MinimalFaults {
		fmt.Fprintf(h.out, "  %v\n", f)
	}
	for _, v := range report.MinimalResult.Violations[:min(maxPrinted, len(report.MinimalResult.Violations))] {
		fmt.Fprintf(h.out, "  breaks: %v\n", v)
	}
}

// fail records and prints the failure of a worker.
func (h *hunt) fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = true
	fmt.Fprintln(h.out, err)
}

// reportProgress prints the progress to standard error until ctx ends.
func (h *hunt) reportProgress(ctx context.Context) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	startedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h.mu.Lock()
		runs, failed := 0, 0
		for _, t := range h.tallies {
			runs, failed = runs+t.runs, failed+t.failed
		}
		fmt.Fprintf(os.Stderr, "%v: %d runs, %d violated a guarantee\n", time.Since(startedAt).Round(time.Second), runs,
			failed)
		h.mu.Unlock()
	}
}

// printSummary prints a line for each scenario that was run.
func (h *hunt) printSummary() {
	fmt.Fprintln(h.out, "point  runs  broken  orders  reads  drains  calls  virtual  played")
	for point, t := range h.tallies {
		if t.runs > 0 {
			fmt.Fprintf(h.out, "%5d %5d %7d %7d %6d %7d %6d  %v  %v\n", point, t.runs, t.failed, t.updates, t.reads,
				t.drains, t.calls, t.virtualTime.Round(time.Second), t.elapsed.Round(time.Second))
		}
	}
}
