package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/agent/coordination"
	"chalkdoor.example/chalkdoor/internal/agent/logging"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/metrics"
	"chalkdoor.example/chalkdoor/internal/agent/opsconfig"
	"chalkdoor.example/chalkdoor/internal/agent/snapshot"
)

// serve runs the agent until SIGTERM. The path of the operations file is empty if there is none.
func serve(opsPath string) error {
	// SIGHUP is caught from the start, as by default it would end the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	log := logging.New(os.Stderr)
	slog.SetDefault(slog.New(log))
	file := opsconfig.Default()
	if opsPath != "" {
		var err error
		if file, err = opsconfig.Load(opsPath); err != nil {
			return err
		}
		if err = log.Set(file.Log); err != nil {
			return err
		}
	}
	getenv := file.Getenv(os.Getenv)
	cfg, err := agent.LoadConfig(getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	// The heap is small, so collecting garbage whenever it has doubled costs little and keeps memory use even.
	// The process would be killed beyond its memory limit, so the runtime's limit, near which it collects as
	// often as it must, is 3/4 of that.
	debug.SetGCPercent(100)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	slog.Info("listening", "name", cfg.Name, "addr", ln.Addr().String())
	opt := agent.Options{
		ReloadSignals: reload,
		ReadConfig:    func() (*agent.Config, error) { return agent.ReloadConfig(getenv) },
	}
	if opsPath != "" {
		ctx, cancelServices := context.WithCancel(context.Background())
		defer cancelServices()
		if file.Metrics.Address != "" {
			m, err := serveMetrics(ctx, cfg.Name, &file)
			if err != nil {
				return err
			}
			opt.Observer = m
		}
		var writer *snapshot.Writer
		var restored coordination.Snapshot
		if file.State.Dir != "" {
			if writer, restored = openState(ctx, &file, &opt); writer != nil {
				defer func() {
					cancelServices()
					<-writer.Closed()
				}()
			}
		}
		var coordinator *coordination.Coordinator
		if file.Fleet.Name != "" && len(file.Vote.Electorate) > 0 {
			if coordinator, err = startCoordinator(ctx, cfg, &file, restored); err != nil {
				return err
			}
			opt.Coordinator = coordinator
			defer func() {
				cancelServices()
				coordinator.Close()
			}()
		}
		if writer != nil {
			opt.SaveInterval = time.Duration(file.State.Every)
			opt.Save = func(saved *agent.SavedState) { writer.Save(toStoredState(saved, coordinator)) }
		}
		opsReload := make(chan os.Signal, 1)
		signal.Notify(opsReload, syscall.SIGHUP)
		go reloadOps(ctx, opsReload, opsPath, file, log)
	}
	return agent.Run(stop, cfg, ln, opt)
}

// startCoordinator starts the tasks by which this agent acts together with others.
func startCoordinator(
	ctx context.Context, cfg *agent.Config, file *opsconfig.File, restored coordination.Snapshot,
) (*coordination.Coordinator, error) {
	if !slices.Contains(file.Vote.Electorate, cfg.Name) {
		return nil, fmt.Errorf("operations file: vote.electorate: %q, this agent, is not in it", cfg.Name)
	}
	zone := ""
	if z := cfg.Settings.Zone; z >= 0 && z < len(cfg.Zones) {
		zone = cfg.Zones[z]
	}
	c := coordination.Config{
		Vote: file.Vote.EjectionConfig(cfg.Name), Site: file.Site.UplinkConfig(), Restored: restored,
		TraceFile: file.Fleet.Trace,
		Membership: membership.Config{
			Fleet: file.Fleet.Name, Name: cfg.Name, Zone: zone, Region: file.Fleet.Region, Role: file.Fleet.Role,
			Incarnation: rand.Uint64(), Bind: file.Fleet.Bind, Advertise: file.Fleet.Advertise,
			Seeds: file.Fleet.Seeds,
		},
	}
	if file.State.Dir != "" {
		c.PromiseDir = filepath.Join(file.State.Dir, "votes")
	}
	var err error
	if c.Consensus, err = file.Council.ConsensusConfig(cfg.Name); err != nil {
		return nil, fmt.Errorf("operations file: council.%w", err)
	}
	c.MaxDecisionAge = time.Duration(file.Council.Bound)
	for _, class := range cfg.Settings.Classes {
		c.LatencyTargets = append(c.LatencyTargets, time.Duration(class.LatencyTargetMs*float64(time.Millisecond)))
	}
	return coordination.Start(ctx, c)
}

// serveMetrics listens on metrics.address and serves the metrics there until ctx is done.
func serveMetrics(ctx context.Context, name string, file *opsconfig.File) (*metrics.Metrics, error) {
	ln, err := net.Listen("tcp", file.Metrics.Address)
	if err != nil {
		return nil, fmt.Errorf("metrics.address: %w", err)
	}
	slog.Info("serving metrics", "addr", ln.Addr().String())
	m := metrics.New(name, file.Metrics.Runtime)
	go func() {
		if err := m.Serve(ctx, ln); err != nil {
			slog.Error("serving metrics failed", "err", err)
		}
	}()
	return m, nil
}

// openState opens the directory of the state and restores the state of the last run: that of the agent into
// opt, and that of its site as a result. It starts a Writer for the state of this run. If the directory can't
// be used, it logs that and returns no Writer, and the agent runs without stored state.
func openState(ctx context.Context, file *opsconfig.File, opt *agent.Options) (
	writer *snapshot.Writer, site coordination.Snapshot,
) {
	store, g, problems, err := snapshot.Open(file.State.Dir, snapshot.Now)
	for _, p := range problems {
		slog.Warn("stored state rejected", "where", p.Where, "why", p.Reason)
	}
	if err != nil {
		slog.Error("state directory not usable, no state is saved", "dir", file.State.Dir, "err", err)
		return nil, site
	}
	if g != nil {
		state, dropped := snapshot.Decode(g)
		for _, p := range dropped {
			slog.Warn("stored state rejected", "where", p.Where, "why", p.Reason)
		}
		opt.Restore = fromStoredState(state)
		site = restoredSite(state, g, time.Duration(file.Site.Hold))
		policyState := state.Policy
		slog.Info("state restored", "generation", g.Seq, "age", g.Age.String(), "dated", g.AgeKnown,
			"servers", len(policyState.Servers), "keys", len(policyState.Keys), "boot", store.Runs)
	} else {
		slog.Info("no state to restore", "dir", file.State.Dir, "boot", store.Runs)
	}
	return snapshot.NewWriter(ctx, store), site
}

// toStoredState converts the state of the agent and of its coordinator, which may be nil, to its stored form.
func toStoredState(saved *agent.SavedState, coordinator *coordination.Coordinator) *snapshot.State {
	s := &snapshot.State{
		Policy: saved.Snapshot, Discovery: saved.Discovery, Version: saved.List.Version,
		Targets: map[string]json.RawMessage{},
	}
	if coordinator != nil {
		site := coordinator.Snapshot()
		s.Site = &snapshot.Site{Isolated: site.Isolated, Entries: site.Entries}
	}
	for _, t := range saved.List.Servers {
		text, err := json.Marshal(t)
		if err != nil { // a number that JSON can't express: no list is better than an incomplete one
			s.Targets = nil
			return s
		}
		s.Targets[t.ID] = text
	}
	return s
}

// restoredSite returns the stored state of the site. A site that was isolated counts as isolated only if the
// age of the state is known and at most hold.
func restoredSite(s *snapshot.State, g *snapshot.Generation, hold time.Duration) (site coordination.Snapshot) {
	if s.Site != nil {
		site = coordination.Snapshot{Isolated: s.Site.Isolated && g.AgeKnown && g.Age <= hold, Entries: s.Site.Entries}
	}
	return site
}

// fromStoredState converts a stored state back to the state of the agent. If an entry of the server list is
// invalid, the list is empty.
func fromStoredState(s *snapshot.State) *agent.SavedState {
	saved := &agent.SavedState{
		Snapshot: s.Policy, Discovery: s.Discovery, List: agent.TargetList{Version: s.Version, Full: true},
	}
	for id, text := range s.Targets {
		var t agent.Target
		if err := json.Unmarshal(text, &t); err != nil || t.ID != id {
			slog.Warn("stored state rejected", "where", "list "+id, "why", err)
			saved.List.Servers = nil
			return saved
		}
		saved.List.Servers = append(saved.List.Servers, t)
	}
	return saved
}

// reloadOps reloads the operations file at each signal until ctx is done. It applies the settings of the log
// and logs the changed keys that need a restart. An invalid file changes nothing.
func reloadOps(
	ctx context.Context, signals <-chan os.Signal, path string, initial opsconfig.File, log *logging.Handler,
) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		file, err := opsconfig.Load(path)
		if err == nil {
			err = log.Set(file.Log)
		}
		if err != nil {
			slog.Warn("operations file not used, the previous one stays in force", "err", err)
			continue
		}
		// The keys that need a restart still have the values that the process started with.
		if keys := opsconfig.NeedRestart(&initial, &file); len(keys) > 0 {
			slog.Warn("changed in the operations file, but used only after a restart", "keys", strings.Join(keys, " "))
		}
		slog.Info("operations file reloaded", "file", path, "level", file.Log.Level, "format", file.Log.Format)
	}
}
