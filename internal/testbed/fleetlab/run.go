package fleetlab

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/testbed/loadgen"
)

// FaultNames are the faults that Options.Fault may name.
var FaultNames = []string{"none", "kill-core", "term", "freeze", "crash-server", "drain"}

const (
	// downtime is how long a process stays down or paused.
	downtime = 2 * time.Second
	// recoveryTimeout bounds the recovery after the workload, including the reading of the configuration.
	recoveryTimeout = 30 * time.Second
)

// Options are the options of a run.
type Options struct {
	Duration time.Duration
	Rate     float64 // requests per second; zero means 12 for each agent
	Fault    string  // one of FaultNames; it is injected after a third of Duration
}

// Run starts a fleet, runs clients, an operator and a fault, and checks the observations. It passes progress messages
// to progress if that isn't nil. Violations are in the report. An error means that the test environment failed, or that
// the fleet did not start or recover.
func Run(ctx context.Context, cfg Config, opt Options, progress func(string)) (*Report, error) {
	if !slices.Contains(FaultNames, opt.Fault) {
		return nil, errors.Errorf("unknown fault %q: give one of %v", opt.Fault, FaultNames)
	}
	if opt.Duration < time.Second || opt.Duration > time.Hour {
		return nil, errors.Errorf("duration %v: give 1s to 1h", opt.Duration)
	}
	if opt.Rate <= 0 {
		opt.Rate = 12 * float64(cfg.Agents)
	}
	if progress == nil {
		progress = func(string) {}
	}
	start, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	fleet, err := Start(start, cfg)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	setup := fleet.Now()
	progress(fmt.Sprintf("%d agents and %d servers ready after %.1f s", cfg.Agents, cfg.Servers, setup.Seconds()))

	clients, plan, err := fleet.NewWorkload(opt.Rate, opt.Duration)
	if err != nil {
		return nil, err
	}
	var outcomes outcomeLog
	var background sync.WaitGroup
	errs := make(chan error, 2)
	background.Go(func() { errs <- fleet.changeConfig(ctx, opt.Duration) })
	background.Go(func() { errs <- fleet.injectFault(ctx, opt, progress) })
	startedAt := fleet.Now()
	clients.Run(ctx, plan, outcomes.add)
	took := fleet.Now() - startedAt
	background.Wait()
	clients.Close()
	for range 2 {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	end, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := fleet.WaitAllReady(end); err != nil {
		return nil, errors.Wrap(err, "recovery after the workload")
	}
	fleet.ReadBack(end)
	report := fleet.report(&outcomes)
	report.Fault, report.Seconds, report.SetupSeconds = opt.Fault, took.Seconds(), setup.Seconds()
	return report, nil
}

// NewWorkload creates clients and plans their requests from the fleet's seed.
func (f *Fleet) NewWorkload(rate float64, length time.Duration) (*Clients, []loadgen.PlannedRequest, error) {
	cfg := &loadgen.Config{Seed: f.cfg.Seed, Agents: f.cfg.Clients, Rate: rate, Spread: 0.3, Duration: length, Keys: 40, Skew: 0.6}
	for _, c := range f.cfg.Classes {
		cfg.Classes = append(cfg.Classes, loadgen.Class{Name: c.Name, Share: c.Share})
	}
	plan, err := loadgen.Plan(cfg)
	if err != nil {
		return nil, nil, err
	}
	return newClients(f.cfg.Classes, f.LoadBalancer, f.Now, f.recorder, f.cfg.Seed, f.zones, "c"), plan, nil
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// changeConfig changes the configuration twice: a route's timeout after a fifth of the run, and a split after another
// half of it.
func (f *Fleet) changeConfig(ctx context.Context, length time.Duration) error {
	if !sleep(ctx, length/5) {
		return nil
	}
	r := f.Operator.Current().Routes[0]
	r.TimeoutMs -= 1000
	if _, err := f.Operator.Patch(ctx, Patch{Upsert: Upsert{Routes: []Route{r}}}); err != nil {
		return err
	}
	if !sleep(ctx, length/2) {
		return nil
	}
	r = f.Operator.Current().Routes[1]
	r.Split = []Split{{serviceA, 50}, {serviceB, 50}}
	_, err := f.Operator.Patch(ctx, Patch{Upsert: Upsert{Routes: []Route{r}}})
	return err
}

// injectFault injects the fault of the options and ends it.
func (f *Fleet) injectFault(ctx context.Context, opt Options, progress func(string)) error {
	if opt.Fault == "none" || !sleep(ctx, opt.Duration/3) {
		return nil
	}
	core, other := f.Agents[0], f.Agents[len(f.Agents)-1]
	down := min(downtime, opt.Duration/4)
	switch opt.Fault {
	case "kill-core":
		core.Kill()
		progress(core.Name + " of the core was killed")
		sleep(ctx, down)
		progress(core.Name + " restarts")
		return core.Restart()
	case "term":
		progress(other.Name + " is shutting down")
		if err := other.Terminate(ctx); err != nil {
			return err
		}
		progress(other.Name + " has shut down gracefully")
		sleep(ctx, down)
		return other.Restart()
	case "freeze":
		if err := other.Pause(); err != nil {
			return err
		}
		progress(other.Name + " is paused")
		sleep(ctx, down)
		progress(other.Name + " resumes")
		return other.Resume()
	case "crash-server":
		f.Server(0).Crash()
		progress("model server crashed: " + f.Server(0).ID() + "; starting its replacement")
		return f.RestartServer(ctx, 0)
	case "drain":
		progress("model server drains: " + f.Server(0).ID())
		if err := f.Server(0).Leave(ctx); err != nil {
			return err
		}
		progress("the model server has shut down; starting its replacement")
		return f.RestartServer(ctx, 0)
	}
	return nil
}
