package fleetlab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// soakConfigTimeout bounds one change of the configuration with all its retries.
	soakConfigTimeout = 15 * time.Second
	// soakServerTimeout bounds the shutdown and the restart of one server. It is longer than a fleet may take to
	// recover.
	soakServerTimeout = time.Minute
	// soakTail is the length of the traffic after the recovery, which has to be served.
	soakTail = 3 * time.Second
	// soakReadInterval is the interval at which the configuration is read from each agent after the closing.
	soakReadInterval = 200 * time.Millisecond
)

// soak is a soak test in progress.
type soak struct {
	fleet   *Fleet
	plan    *SoakPlan
	options *SoakOptions
	startAt time.Duration // start of the series, on the clock of Fleet.Now

	agentFaults sync.WaitGroup // injections into agents; they end with the series
	others      sync.WaitGroup // injections into servers, and changes by the operator
	levels      levels
	startedAt   []time.Duration // when each agent was restarted after the closing; zero if it survived the closing

	mu         sync.Mutex // guards the fields below
	timeline   *os.File
	violations []Violation
}

// Soak runs a soak test: it starts a fleet, injects the series of faults of its seed while clients send requests, ends
// the processes in the closing and restarts them, and checks that the fleet recovers. Violations are in the report. An
// error means that the test environment failed or that the fleet did not start.
func Soak(ctx context.Context, cfg *Config, options *SoakOptions) (*SoakReport, error) {
	if cfg.Core < 3 {
		return nil, errors.Errorf("core of %d machines: give 3 or more, as one is down at a time", cfg.Core)
	}
	plan, err := NewSoakPlan(cfg, options)
	if err != nil {
		return nil, err
	}
	start, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	fleet, err := Start(start, *cfg)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	timeline, err := os.Create(filepath.Join(cfg.Dir, "timeline.txt"))
	if err != nil {
		return nil, errors.Wrap(err, "create the timeline")
	}
	defer timeline.Close()
	s := &soak{fleet: fleet, plan: plan, options: options, timeline: timeline}
	return s.run(ctx)
}

// run runs the series, the closing and the recovery while clients send requests.
func (s *soak) run(ctx context.Context) (*SoakReport, error) {
	bounds := &s.fleet.cfg.Bounds
	traffic := s.plan.ClosingAt + lastReturn + bounds.Recovery + soakTail
	clients, requests, err := s.fleet.NewWorkload(s.options.Rate, traffic)
	if err != nil {
		return nil, err
	}
	s.startAt = s.fleet.Now()
	var outcomes outcomeLog
	done := make(chan struct{})
	go func() {
		defer close(done)
		clients.Run(ctx, requests, outcomes.add)
	}()
	watching, endWatch := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { s.levels.watch(watching, s.fleet, s.startAt, s.plan.ClosingAt) })
	s.injectSeries(ctx)
	endWatch()
	watch.Wait()
	if err := s.close(ctx); err != nil {
		return nil, err
	}
	s.readEverywhere(ctx, s.fleet.Operator.Current(), bounds.Contact+bounds.Converge)
	<-done
	clients.Close()
	s.others.Wait()
	return s.report(ctx, &outcomes), ctx.Err()
}

// injectSeries makes the injections of the series at their times. It returns at the time of the closing, when all
// injections into agents have ended.
func (s *soak) injectSeries(ctx context.Context) {
	series, cancel := context.WithCancel(ctx)
	defer s.agentFaults.Wait()
	defer cancel()
	for i := range s.plan.Injections {
		injection := &s.plan.Injections[i]
		if !sleep(ctx, s.startAt+injection.At-s.fleet.Now()) {
			return
		}
		s.log("%v", injection)
		if injection.Agent >= 0 || len(injection.Seeds) > 0 {
			s.agentFaults.Go(func() { s.reportError(injection, s.injectIntoAgents(series, injection)) })
		} else {
			s.others.Go(func() { s.reportError(injection, s.injectElsewhere(ctx, injection)) })
		}
	}
	sleep(ctx, s.startAt+s.plan.ClosingAt-s.fleet.Now())
	for _, agent := range s.closedAgents() {
		agent.beginOutage(Fault{}) // recorded before graceful shutdowns in progress are aborted
	}
}

// closedAgents returns the agents that the closing ends: all except the survivor of the plan. A survivor that is down
// or shutting down at that moment is ended, too.
func (s *soak) closedAgents() []*Agent {
	if s.plan.Survivor < 0 || !s.fleet.Agents[s.plan.Survivor].isRunning() {
		return s.fleet.Agents
	}
	return slices.Delete(slices.Clone(s.fleet.Agents), s.plan.Survivor, s.plan.Survivor+1)
}

// reportError records the error of an injection as a violation.
func (s *soak) reportError(injection *Injection, err error) {
	if err != nil {
		s.violate("FAULT", "%v: %v", injection, err)
	}
}

// injectIntoAgents injects a fault into agents and ends it. If ctx ends first, a process that is down stays down.
func (s *soak) injectIntoAgents(ctx context.Context, injection *Injection) error {
	if injection.Fault == SoakExchangeSeeds {
		seeds := make([]*Agent, len(injection.Seeds))
		for i, index := range injection.Seeds {
			seeds[i] = s.fleet.Agents[index]
		}
		return s.fleet.ExchangeSeeds(seeds...)
	}
	agent := s.fleet.Agents[injection.Agent]
	switch injection.Fault {
	case SoakTerminate:
		if err := agent.Terminate(ctx); err != nil && ctx.Err() == nil {
			return err // the shutdown took longer than Bounds.Grace
		}
		return s.restartLater(ctx, agent, injection.Length)
	case SoakKill:
		agent.Kill()
		if err := agent.TearWrite(injection.Torn); err != nil {
			return err
		}
		return s.restartLater(ctx, agent, injection.Length)
	case SoakWipe:
		agent.Kill()
		if err := agent.WipeDisk(); err != nil {
			return err
		}
		return s.restartLater(ctx, agent, injection.Length)
	case SoakPause:
		return s.pause(ctx, agent, injection.Length)
	case SoakReload:
		return ignoreEnded(agent.Reload())
	}
	return nil
}

// injectElsewhere makes an injection into a server, or changes the configuration.
func (s *soak) injectElsewhere(ctx context.Context, injection *Injection) error {
	switch injection.Fault {
	case SoakChangeConfig:
		s.changeConfig(ctx, 1)
	case SoakRaceConfig:
		s.changeConfig(ctx, 2)
	case SoakDrainServer, SoakCrashServer:
		return s.replaceServer(ctx, injection)
	}
	return nil
}

// replaceServer drains or crashes a server and starts its next incarnation.
func (s *soak) replaceServer(ctx context.Context, injection *Injection) error {
	ctx, cancel := context.WithTimeout(ctx, soakServerTimeout)
	defer cancel()
	if injection.Fault == SoakDrainServer {
		if err := s.fleet.Server(injection.Server).Leave(ctx); err != nil {
			return err
		}
	} else {
		s.fleet.Server(injection.Server).Crash()
	}
	return s.fleet.RestartServer(ctx, injection.Server)
}

// ignoreEnded returns err, or nil if err means that the process has ended.
func ignoreEnded(err error) error {
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// restartLater starts an agent again after a delay, unless ctx ends first.
func (s *soak) restartLater(ctx context.Context, agent *Agent, after time.Duration) error {
	if !sleep(ctx, after) {
		return nil
	}
	return agent.Restart()
}

// pause suspends an agent for a duration, or until ctx ends.
func (s *soak) pause(ctx context.Context, agent *Agent, length time.Duration) error {
	if err := agent.Pause(); err != nil {
		return ignoreEnded(err)
	}
	sleep(ctx, length)
	return ignoreEnded(agent.Resume())
}

// changeConfig sends a number of changes that are based on the current revision, concurrently. Each is sent until its
// outcome is known. At most one of them can be acknowledged.
func (s *soak) changeConfig(ctx context.Context, count int) {
	ctx, cancel := context.WithTimeout(ctx, soakConfigTimeout)
	defer cancel()
	var changes sync.WaitGroup
	for i := range count {
		route := s.fleet.Operator.Current().Routes[0]
		route.TimeoutMs += 1 + i
		changes.Go(func() {
			status, err := s.fleet.Operator.Patch(ctx, Patch{Upsert: Upsert{Routes: []Route{route}}})
			s.log("configuration change: status %d, error %v", status, err)
		})
	}
	changes.Wait()
}

// close ends the processes as the plan's closing says, and starts them again at the times of the plan.
func (s *soak) close(ctx context.Context) error {
	s.log("closing %s", s.plan.Closing)
	if s.plan.Closing == CloseCoreFirst {
		for _, agent := range s.fleet.Agents[:s.fleet.cfg.Core] {
			agent.Kill()
		}
		sleep(ctx, coreFirstLead)
	}
	closed := s.closedAgents()
	for _, agent := range closed {
		agent.Kill()
	}
	if s.plan.Wiped >= 0 {
		if err := s.fleet.Agents[s.plan.Wiped].WipeDisk(); err != nil {
			return err
		}
	}
	for i, torn := range s.plan.Torn {
		if err := s.fleet.Agents[i].TearWrite(torn); err != nil {
			return err
		}
	}
	closedAt := s.fleet.Now()
	s.startedAt = make([]time.Duration, len(s.fleet.Agents))
	order := make([]int, len(s.fleet.Agents))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(s.plan.Returns[a] - s.plan.Returns[b]) })
	for _, i := range order {
		if !slices.Contains(closed, s.fleet.Agents[i]) {
			continue
		}
		if !sleep(ctx, closedAt+s.plan.Returns[i]-s.fleet.Now()) {
			return ctx.Err()
		}
		if err := s.fleet.Agents[i].Restart(); err != nil {
			return err
		}
		s.startedAt[i] = s.fleet.Now()
		s.log("agent %d starts", i+1)
	}
	return nil
}

// readEverywhere reads the configuration from every agent repeatedly for a duration. An agent may answer 503 while it
// cannot be sure, but never with a configuration older than the newest acknowledged one.
func (s *soak) readEverywhere(ctx context.Context, acknowledged *Document, length time.Duration) {
	end := s.fleet.Now() + length
	var reads sync.WaitGroup
	for _, agent := range s.fleet.Agents {
		reads.Go(func() {
			for s.fleet.Now() < end {
				s.readConfig(ctx, agent, acknowledged.Revision)
				if !sleep(ctx, soakReadInterval) {
					return
				}
			}
		})
	}
	reads.Wait()
}

// readConfig reads the configuration from one agent, whose revision must be at least minRevision.
func (s *soak) readConfig(ctx context.Context, agent *Agent, minRevision int) {
	status, _, text, err := s.fleet.Operator.call(ctx, agent.ControlAddr(), "GET", "", nil)
	switch {
	case err != nil || status == 503:
	case status != 200:
		s.violate("CONFIG", "%s answers a read with status %d", agent.Name, status)
	default:
		if revision, err := revisionOf(text); err != nil || revision < minRevision {
			s.violate("CONFIG", "%s answers a read with revision %d (error %v) after %d was acknowledged", agent.Name, revision, err, minRevision)
		}
	}
}

// log adds a line to the timeline.
func (s *soak) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.timeline, "%8.3f s  %s\n", (s.fleet.Now() - s.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// violate records a violation.
func (s *soak) violate(rule, format string, args ...any) {
	violation := Violation{rule, s.fleet.Now(), fmt.Sprintf(format, args...)}
	s.log("%v", violation)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, violation)
}
