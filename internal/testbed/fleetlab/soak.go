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
	// soakServerTimeout bounds the end and the return of one server. It is longer than a fleet may take to recover.
	soakServerTimeout = time.Minute
	// soakTail is the length of the traffic after the recovery that is checked.
	soakTail = 3 * time.Second
	// soakReadInterval is the pause between two reads of the configuration from one agent after the
	// closing.
	soakReadInterval = 200 * time.Millisecond
)

// soak is a soak in progress.
type soak struct {
	fleet   *Fleet
	plan    *SoakPlan
	options *SoakOptions
	startAt time.Duration // of the series, on the fleet's clock

	agentFaults sync.WaitGroup // injections into agents; they end with the series
	others      sync.WaitGroup // injections into servers and of the operator
	levels      levels
	startedAt   []time.Duration // of each agent's last process, once the closing is over

	mu         sync.Mutex // guards all that follows
	timeline   *os.File
	violations []Violation
}

// Soak starts a fleet, injects the series of its seed while clients send requests, closes with the end
// of all processes, and checks that the fleet recovers. Violations are in the report; an error is one
// of the laboratory itself, or a fleet that does not start.
func Soak(ctx context.Context, cfg *Config, options *SoakOptions) (*SoakReport, error) {
	if cfg.Core < 3 {
		return nil, errors.Errorf("core of %d machines: give 3 or more, as the soak loses one at a time", cfg.Core)
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

// run plays the series, the closing and the recovery beside the clients' requests.
func (s *soak) run(ctx context.Context) (*SoakReport, error) {
	bounds := &s.fleet.cfg.Bounds
	traffic := s.plan.ClosingAt + lastReturn + bounds.Recovery + soakTail
	clients, asks, err := s.fleet.NewWorkload(s.options.Rate, traffic)
	if err != nil {
		return nil, err
	}
	s.startAt = s.fleet.Now()
	var outcomes outcomeLog
	done := make(chan struct{})
	go func() {
		defer close(done)
		clients.Run(ctx, asks, outcomes.add)
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

// injectSeries injects all entries of the series at their times. It returns at the time of the closing,
// once no injection starts or ends a process any more.
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
			s.others.Go(func() { s.reportError(injection, s.injectBeside(ctx, injection)) })
		}
	}
	sleep(ctx, s.startAt+s.plan.ClosingAt-s.fleet.Now())
	for _, agent := range s.closedAgents() {
		agent.beginOutage(Fault{}) // before a shutdown in progress is cut short
	}
}

// closedAgents returns the agents that the closing ends: all but a survivor. One that is down or
// shutting down at that moment survives nothing.
func (s *soak) closedAgents() []*Agent {
	if s.plan.Survivor < 0 || !s.fleet.Agents[s.plan.Survivor].isRunning() {
		return s.fleet.Agents
	}
	return slices.Delete(slices.Clone(s.fleet.Agents), s.plan.Survivor, s.plan.Survivor+1)
}

// reportError records the error of an injection, which is one of the fleet.
func (s *soak) reportError(injection *Injection, err error) {
	if err != nil {
		s.violate("FAULT", "%v: %v", injection, err)
	}
}

// injectIntoAgents injects a fault of agents and ends it, or leaves the process as it is if ctx ends.
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
			return err // it took longer than the grace
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

// injectBeside injects what servers and operators do.
func (s *soak) injectBeside(ctx context.Context, injection *Injection) error {
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

// replaceServer ends a server and starts it again.
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

// ignoreEnded drops the error of a signal to a process that has ended.
func ignoreEnded(err error) error {
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// restartLater starts an agent again after a time, unless ctx ends before.
func (s *soak) restartLater(ctx context.Context, agent *Agent, after time.Duration) error {
	if !sleep(ctx, after) {
		return nil
	}
	return agent.Restart()
}

// pause suspends an agent for a time, or until ctx ends.
func (s *soak) pause(ctx context.Context, agent *Agent, length time.Duration) error {
	if err := agent.Pause(); err != nil {
		return ignoreEnded(err)
	}
	sleep(ctx, length)
	return ignoreEnded(agent.Resume())
}

// changeConfig sends so many changes on the present revision at once. Each is sent until its outcome
// is clear; one of them wins.
func (s *soak) changeConfig(ctx context.Context, count int) {
	ctx, cancel := context.WithTimeout(ctx, soakConfigTimeout)
	defer cancel()
	var changes sync.WaitGroup
	for i := range count {
		route := s.fleet.Operator.Current().Routes[0]
		route.TimeoutMs += 1 + i
		changes.Go(func() {
			status, err := s.fleet.Operator.Patch(ctx, Patch{Upsert: Upsert{Routes: []Route{route}}})
			s.log("a change ended with status %d, %v", status, err)
		})
	}
	changes.Wait()
}

// close ends all processes as the plan says and starts them again.
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
	began := s.fleet.Now()
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
		if !sleep(ctx, began+s.plan.Returns[i]-s.fleet.Now()) {
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

// readEverywhere reads the configuration from every agent again and again. Each may answer that it
// can't be sure, and never with an older one than the newest acknowledged.
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

// readConfig reads the configuration from one agent.
func (s *soak) readConfig(ctx context.Context, agent *Agent, least int) {
	status, _, text, err := s.fleet.Operator.call(ctx, agent.ControlAddr(), "GET", "", nil)
	switch {
	case err != nil || status == 503:
	case status != 200:
		s.violate("CONFIG", "%s answers a read with %d", agent.Name, status)
	default:
		if revision, err := revisionOf(text); err != nil || revision < least {
			s.violate("CONFIG", "%s answers a read with %d (%v) after %d was acknowledged", agent.Name, revision, err, least)
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
