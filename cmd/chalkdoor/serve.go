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

// serve runs the agent until SIGTERM, with the operations file if one is named.
func serve(opsPath string) error {
	// From the first moment on: its default is to end the program.
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
	// The heap is small: to collect at twice its size costs little, and keeps what the
	// agent holds even. Long before the memory limit, over which it would be killed,
	// collecting goes before all.
	debug.SetGCPercent(100)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	slog.Info("listening", "name", cfg.Name, "addr", ln.Addr().String())
	opt := agent.Options{ReloadSignals: reload, ReadConfig: func() (*agent.Config, error) { return agent.ReloadConfig(getenv) }}
	if opsPath != "" {
		ctx, end := context.WithCancel(context.Background())
		defer end()
		if file.Metrics.Address != "" {
			m, err := serveMetrics(ctx, cfg.Name, &file)
			if err != nil {
				return err
			}
			opt.Observer = m
		}
		var keeper *snapshot.Writer
		var recall coordination.Snapshot
		if file.State.Dir != "" {
			if keeper, recall = openState(ctx, &file, &opt); keeper != nil {
				defer func() {
					end()
					<-keeper.Closed()
				}()
			}
		}
		var l *coordination.Coordinator
		if file.Fleet.Name != "" && len(file.Vote.Electorate) > 0 {
			if l, err = actTogether(ctx, cfg, &file, recall); err != nil {
				return err
			}
			opt.Coordinator = l
			defer func() {
				end()
				l.Close()
			}()
		}
		if keeper != nil {
			opt.SaveInterval = time.Duration(file.State.Every)
			opt.Save = func(kept *agent.SavedState) { keeper.Save(remembered(kept, l)) }
		}
		again := make(chan os.Signal, 1)
		signal.Notify(again, syscall.SIGHUP)
		go rereadOps(ctx, again, opsPath, file, log)
	}
	return agent.Run(stop, cfg, ln, opt)
}

// actTogether starts the layer by which this agent acts with others.
func actTogether(ctx context.Context, cfg *agent.Config, file *opsconfig.File, recall coordination.Snapshot) (*coordination.Coordinator, error) {
	if !slices.Contains(file.Vote.Electorate, cfg.Name) {
		return nil, fmt.Errorf("operations file: vote.electorate: %q, this agent, is not in it", cfg.Name)
	}
	zone := ""
	if z := cfg.Settings.Zone; z >= 0 && z < len(cfg.Zones) {
		zone = cfg.Zones[z]
	}
	c := coordination.Config{Vote: file.Vote.EjectionConfig(cfg.Name), Site: file.Site.UplinkConfig(), Restored: recall, TraceFile: file.Fleet.Trace, Membership: membership.Config{Fleet: file.Fleet.Name, Name: cfg.Name, Zone: zone,
		Region: file.Fleet.Region, Role: file.Fleet.Role, Incarnation: rand.Uint64(), Bind: file.Fleet.Bind, Advertise: file.Fleet.Advertise, Seeds: file.Fleet.Seeds}}
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

// serveMetrics opens the operations address and serves figures there until ctx is done.
func serveMetrics(ctx context.Context, name string, file *opsconfig.File) (*metrics.Metrics, error) {
	ln, err := net.Listen("tcp", file.Metrics.Address)
	if err != nil {
		return nil, fmt.Errorf("metrics.address: %w", err)
	}
	slog.Info("serving metrics", "addr", ln.Addr().String())
	m := metrics.New(name, file.Metrics.Runtime)
	go func() {
		if err := m.Serve(ctx, ln); err != nil {
			slog.Error("no metrics any more", "err", err)
		}
	}()
	return m, nil
}

// openState opens the folder of what the agent learns, and gives it and its layer what an
// earlier life had learned. A folder that can't be used is reported, and the agent serves
// without: nil.
func openState(ctx context.Context, file *opsconfig.File, opt *agent.Options) (k *snapshot.Writer, site coordination.Snapshot) {
	store, g, problems, err := snapshot.Open(file.State.Dir, snapshot.Now)
	for _, p := range problems {
		slog.Warn("state not believed", "where", p.Where, "why", p.Reason)
	}
	if err != nil {
		slog.Error("state not used, nothing is kept", "dir", file.State.Dir, "err", err)
		return nil, site
	}
	if g != nil {
		st, dropped := snapshot.Decode(g)
		for _, p := range dropped {
			slog.Warn("state not believed", "where", p.Where, "why", p.Reason)
		}
		opt.Restore = recalled(st)
		site = recalledSite(st, g, time.Duration(file.Site.Hold))
		m := st.Policy
		slog.Info("state recalled", "generation", g.Seq, "age", g.Age.String(), "dated", g.AgeKnown, "servers", len(m.Servers), "keys", len(m.Keys), "boot", store.Runs)
	} else {
		slog.Info("no state to recall", "dir", file.State.Dir, "boot", store.Runs)
	}
	return snapshot.NewWriter(ctx, store), site
}

// remembered and recalled take what is kept to its form on the disk, and back; l may be nil.
func remembered(kept *agent.SavedState, l *coordination.Coordinator) *snapshot.State {
	s := &snapshot.State{Policy: kept.Snapshot, Discovery: kept.Discovery, Version: kept.List.Version, Targets: map[string]json.RawMessage{}}
	if l != nil {
		k := l.Snapshot()
		s.Site = &snapshot.Site{Isolated: k.Isolated, Entries: k.Entries}
	}
	for _, t := range kept.List.Servers {
		text, err := json.Marshal(t)
		if err != nil { // a number that has no form in JSON: no list is better than half of one
			s.Targets = nil
			return s
		}
		s.Targets[t.ID] = text
	}
	return s
}

// recalledSite is what an earlier life knew of its site; that the uplink was lost is believed
// for as long as a site holds to it.
func recalledSite(s *snapshot.State, g *snapshot.Generation, hold time.Duration) (k coordination.Snapshot) {
	if s.Site != nil {
		k = coordination.Snapshot{Isolated: s.Site.Isolated && g.AgeKnown && g.Age <= hold, Entries: s.Site.Entries}
	}
	return k
}

func recalled(s *snapshot.State) *agent.SavedState {
	kept := &agent.SavedState{Snapshot: s.Policy, Discovery: s.Discovery, List: agent.TargetList{Version: s.Version, Full: true}}
	for id, text := range s.Targets {
		var t agent.Target
		if err := json.Unmarshal(text, &t); err != nil || t.ID != id {
			slog.Warn("state not believed", "where", "list "+id, "why", err)
			kept.List.Servers = nil
			return kept
		}
		kept.List.Servers = append(kept.List.Servers, t)
	}
	return kept
}

// rereadOps takes over from the operations file, at each signal, what can change, and names
// what needs a restart. A file that can't be used leaves all as it is.
func rereadOps(ctx context.Context, signals <-chan os.Signal, path string, old opsconfig.File, log *logging.Handler) {
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
			slog.Warn("operations file not used, the old one holds", "err", err)
			continue
		}
		// Against what the process started with: that is what is in force.
		if keys := opsconfig.NeedRestart(&old, &file); len(keys) > 0 {
			slog.Warn("changed in the operations file, but used only after a restart", "keys", strings.Join(keys, " "))
		}
		slog.Info("operations file read again", "file", path, "level", file.Log.Level, "format", file.Log.Format)
	}
}
