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
	// progressInterval is the pause between two lines of progress.
	progressInterval = 10 * time.Second
	// maxPrinted bounds the violations that are printed of one play: the log has all.
	maxPrinted = 3
	// maxLineBytes bounds a worker's line: the log of a run and some more.
	maxLineBytes = 64 << 20
)

type huntCmd struct {
	Seeds   uint64  `name:"seeds" default:"100" help:"Seeds of each point."`
	First   uint64  `name:"first" default:"0" help:"The first of them."`
	Point   string  `name:"point" default:"all" help:"The operators' point, 1 to 5, or all."`
	Minutes float64 `name:"minutes" default:"0" help:"No run begins later. 0: all seeds are played."`
	Jobs    int     `name:"jobs" default:"4" help:"Runs at once, a process each."`
}

// tally sums up the runs of a point.
type tally struct {
	runs, broken, updates, reads, drains, calls int
	elapsed, virtualTime                        time.Duration
}

// hunt is a hunt under way.
type hunt struct {
	out     io.Writer
	mu      sync.Mutex
	tallies [controlsim.ScenarioCount + 1]tally
	failed  bool
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
	reporting, ended := context.WithCancel(ctx)
	reporter.Go(func() { h.reportProgress(reporting) })
	workers.Wait()
	ended()
	reporter.Wait()
	h.printSummary()
	if h.failed {
		return errors.New("a promise was broken, or a worker failed")
	}
	return nil
}

// runWorker plays a share of the seeds in a process of its own.
func (h *hunt) runWorker(ctx context.Context, c *huntCmd, index, jobs int) error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the program")
	}
	u := func(n uint64) string { return strconv.FormatUint(n, 10) }
	cmd := exec.CommandContext(ctx, self, "work", "--point", c.Point, "--first", u(c.First+uint64(index)), "--step", strconv.Itoa(jobs),
		"--end", u(c.First+c.Seeds), "--minutes", time.Duration(c.Minutes*float64(time.Minute)).String())
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "read from a worker")
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start a worker")
	}
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var p controlsim.Report
		if json.Unmarshal(lines.Bytes(), &p) == nil && p.Point > 0 && p.Point <= controlsim.ScenarioCount {
			h.add(&p)
		} else if text := lines.Text(); text != "PASS" {
			fmt.Fprintln(os.Stderr, text)
		}
	}
	if err := cmd.Wait(); err != nil {
		return errors.Wrapf(err, "worker %d", index)
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read from a worker")
	}
	return nil
}

// add adds a run, and prints what it broke.
func (h *hunt) add(p *controlsim.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := &h.tallies[p.Point]
	t.runs++
	t.updates += p.Result.Updates
	t.reads += p.Result.Reads
	t.drains += p.Result.Drains
	t.calls += p.Result.Calls
	t.elapsed += p.Elapsed
	t.virtualTime += p.Result.VirtualTime
	if len(p.Result.Violations) == 0 {
		return
	}
	t.broken++
	h.failed = true
	for _, v := range p.Result.Violations[:min(maxPrinted, len(p.Result.Violations))] {
		fmt.Fprintf(h.out, "point %d %v\n", p.Point, v)
	}
	fmt.Fprintf(h.out, "point %d seed %d: %d of its %d faults are enough:\n", p.Point, p.Seed, len(p.MinimalFaults), p.FaultCount)
	for _, f := range p.MinimalFaults {
		fmt.Fprintf(h.out, "  %v\n", f)
	}
	for _, v := range p.MinimalResult.Violations[:min(maxPrinted, len(p.MinimalResult.Violations))] {
		fmt.Fprintf(h.out, "  breaks: %v\n", v)
	}
}

func (h *hunt) fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = true
	fmt.Fprintln(h.out, err)
}

// reportProgress tells now and then how far the hunt is.
func (h *hunt) reportProgress(ctx context.Context) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	begun := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h.mu.Lock()
		runs, broken := 0, 0
		for _, t := range h.tallies {
			runs, broken = runs+t.runs, broken+t.broken
		}
		fmt.Fprintf(os.Stderr, "%v: %d runs, %d broke a promise\n", time.Since(begun).Round(time.Second), runs, broken)
		h.mu.Unlock()
	}
}

// printSummary prints the summary by point.
func (h *hunt) printSummary() {
	fmt.Fprintln(h.out, "point  runs  broken  orders  reads  drains  calls  virtual  played")
	for point, t := range h.tallies {
		if t.runs > 0 {
			fmt.Fprintf(h.out, "%5d %5d %7d %7d %6d %7d %6d  %v  %v\n", point, t.runs, t.broken, t.updates, t.reads, t.drains, t.calls,
				t.virtualTime.Round(time.Second), t.elapsed.Round(time.Second))
		}
	}
}
