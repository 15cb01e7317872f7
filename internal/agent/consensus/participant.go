// Package consensus lets the whole fleet agree on one table of zones. Three or five voters at different sites
// replicate a log (hashicorp/raft); the leader proposes its entries, which come from the state machine of
// package zonefailover.
//
// # Guarantees
//
// All voters apply the same tables in the same order without gaps. A table is decided only once a majority of
// the voters has it on disk. A leader that resumes after a pause commits nothing, because its term is over.
// Each decision carries its term and index, so that receivers can drop older ones, and whether a majority has
// just confirmed it.
//
// # Limits
//
// Progress is not guaranteed: without a majority of the voters no new table is decided, and the age of the last
// decision grows.
//
// A voter whose files are lost or damaged no longer knows for whom it has voted. It must not return under its
// old name: Run returns an error and does not vote. To detect damage, each record has a checksum, and all records
// are read before the first vote.
package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"chalkdoor.example/chalkdoor/internal/agent/snapshot"
	"chalkdoor.example/chalkdoor/internal/agent/supervisor"
	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
)

const (
	// tickInterval is the time between two evaluations of the zones. verifyInterval is the time between two
	// checks by a leader that it still leads.
	tickInterval, verifyInterval = 100 * time.Millisecond, time.Second
	// applyTimeout bounds how long a proposal waits until raft starts to process it.
	applyTimeout = 2 * time.Second
	// mailboxSize bounds the queued reports. There is at most one from each agent.
	mailboxSize = 4096
	// trailingLogs is the number of log entries that stay in the log after a snapshot. snapshotThreshold is
	// the number of new entries that triggers a snapshot.
	trailingLogs, snapshotThreshold = 64, 256
	// logFile and voterFile are the files in Config.Dir that contain the log and the name of the voter that
	// owns the directory.
	logFile, voterFile = "council.db", "voter"
)

// Decision is the newest committed table. Its JSON keys are part of stored snapshots.
type Decision struct {
	Term  uint64             `json:"Term"`
	Index uint64             `json:"Index"`
	Table zonefailover.Table `json:"Table"`
	// Confirmed is true if a majority has just confirmed that this decision is the newest one. An unconfirmed
	// decision, which a voter has read from its log after a start or a pause, may be as old as the log.
	Confirmed bool `json:"Vouched"`
}

// Report is the message that passes an agent's report on the zones to a Participant. The newest report of each
// agent replaces older ones.
type Report struct{ zonefailover.Report }

// Overflow implements supervisor.Message.
func (Report) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// MergeInto implements supervisor.Merger.
func (r Report) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(Report)
	if !ok || o.Agent != r.Agent {
		return r, false
	}
	if o.Incarnation == r.Incarnation && o.Seq > r.Seq {
		return o, true
	}
	return r, true
}

// Participant is the task of one voter. Its mailbox accepts Report messages.
type Participant struct {
	config     Config
	mailbox    *supervisor.Mailbox
	onDecision func(Decision)
}

// New returns a participant that does nothing until Run is called. Run calls onDecision, on its own goroutine,
// with each new decision and each time the newest decision is confirmed.
func New(cfg Config, onDecision func(Decision)) *Participant {
	return &Participant{config: cfg, mailbox: supervisor.NewMailbox(mailboxSize), onDecision: onDecision}
}

// Mailbox returns the mailbox for reports.
func (p *Participant) Mailbox() *supervisor.Mailbox { return p.mailbox }

// Run takes part in the consensus until ctx is done. It returns an error if the voter must not vote or raft can't
// be started.
func (p *Participant) Run(ctx context.Context) (err error) {
	if err := p.claimDir(); err != nil {
		return err
	}
	path := filepath.Join(p.config.Dir, logFile)
	if _, err := os.Stat(path); err == nil {
		if err := snapshot.VerifyFile(path); err != nil {
			return fmt.Errorf("consensus: log: %s must return under another name: %w", p.config.Self, err)
		}
	}
	boltStore, err := openLog(path)
	if err != nil {
		return fmt.Errorf("consensus: log: %w", err)
	}
	defer func() { err = errors.Join(err, boltStore.Close()) }()
	checksummed := checksummedStore{boltStore}
	if err := checksummed.verify(); err != nil {
		return fmt.Errorf("consensus: log: %s must return under another name: %w", p.config.Self, err)
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "consensus", Level: hclog.Warn, Output: logWriter{}, DisableTime: true})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(p.config.Dir, 2, logger)
	if err != nil {
		return fmt.Errorf("consensus: snapshots: %w", err)
	}
	streams, err := listen(p.config.Bind)
	if err != nil {
		return fmt.Errorf("consensus: bind: %w", err)
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: streams, MaxPool: 2, Timeout: 2 * p.config.Heartbeat, Logger: logger})
	defer func() { err = errors.Join(err, transport.Close()) }()
	machine := &fsm{changed: make(chan struct{}, 1)}
	raftConfig := raft.DefaultConfig()
	raftConfig.LocalID, raftConfig.Logger = raft.ServerID(p.config.Self), logger
	raftConfig.HeartbeatTimeout, raftConfig.ElectionTimeout, raftConfig.LeaderLeaseTimeout =
		p.config.Heartbeat, p.config.Heartbeat, p.config.Heartbeat/2
	raftConfig.CommitTimeout = min(raftConfig.CommitTimeout, p.config.Heartbeat/10)
	raftConfig.TrailingLogs, raftConfig.SnapshotThreshold = trailingLogs, snapshotThreshold
	if has, err := raft.HasExistingState(checksummed, checksummed, snapshots); err != nil {
		return fmt.Errorf("consensus: log: %w", err)
	} else if !has {
		var servers raft.Configuration
		for _, v := range p.config.Voters {
			servers.Servers = append(servers.Servers,
				raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(v.Name), Address: raft.ServerAddress(v.Addr)})
		}
		if err := raft.BootstrapCluster(
			raftConfig, checksummed, checksummed, snapshots, transport, servers); err != nil {
			return fmt.Errorf("consensus: first start: %w", err)
		}
	}
	node, err := raft.NewRaft(raftConfig, machine, checksummed, checksummed, snapshots, transport)
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	defer func() { err = errors.Join(err, node.Shutdown().Error()) }()
	return p.runLoop(ctx, node, machine)
}

// openLog opens the library's store. If the library panics because the file is damaged, openLog returns an error.
func openLog(path string) (store *raftboltdb.BoltStore, err error) {
	err = snapshot.RecoverFaults(func() error {
		store, err = raftboltdb.New(raftboltdb.Options{Path: path,
			BoltOptions: &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType}})
		return err
	})
	return store, err
}

// runLoop proposes tables while this voter leads, and publishes decisions.
func (p *Participant) runLoop(ctx context.Context, node *raft.Raft, log *fsm) error {
	machine, err := zonefailover.New(p.config.Zones, zonefailover.Table{Version: zonefailover.Version})
	if err != nil {
		return err
	}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	// At most one proposal and one verification are in flight. A goroutine waits for the result of each.
	var calls sync.WaitGroup
	defer calls.Wait()
	applied, verified := make(chan error, 1), make(chan error, 1)
	proposing, verifying := false, false
	verifiedAt := -verifyInterval
	wasLeader := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.mailbox.Ready():
			for msg, ok := p.mailbox.Poll(); ok; msg, ok = p.mailbox.Poll() {
				if err := machine.Report(now(), msg.(Report).Report); err != nil {
					slog.Debug("consensus: report rejected", "err", err)
				}
			}
		case <-log.changed:
			d := log.decision()
			machine.Committed(d.Table)
			slog.Info("consensus: table committed", "term", d.Term, "index", d.Index, "number", d.Table.Number,
				"zones", fmt.Sprintf("%+v", d.Table.Zones))
			p.onDecision(d)
		case err := <-applied:
			proposing = false
			if err != nil {
				slog.Warn("consensus: proposal failed", "err", err)
				continue
			}
			d := log.decision()
			d.Confirmed = true // a majority has just stored it
			machine.Committed(d.Table)
			p.onDecision(d)
		case err := <-verified:
			verifying = false
			if err == nil {
				d := log.decision()
				d.Confirmed = true
				p.onDecision(d)
			}
		case <-tick.C:
			// Followers evaluate the zones, too, so that the next leader already knows their recent health.
			next, changed := machine.Tick(now())
			isLeader := node.State() == raft.Leader
			if isLeader != wasLeader {
				wasLeader = isLeader
				slog.Info("consensus: leadership changed", "leader", isLeader, "term", node.CurrentTerm())
			}
			if isLeader && changed && !proposing {
				text, err := json.Marshal(next)
				if err != nil {
					return fmt.Errorf("consensus: table: %w", err)
				}
				proposing = true
				awaitResult(&calls, applied, func() error { return node.Apply(text, applyTimeout).Error() })
			}
			if isLeader && !verifying && now()-verifiedAt >= verifyInterval {
				verifying, verifiedAt = true, now()
				awaitResult(&calls, verified, func() error { return node.VerifyLeader().Error() })
			}
		}
	}
}

// awaitResult runs a blocking call on a new goroutine and sends its result to result.
func awaitResult(calls *sync.WaitGroup, result chan<- error, call func() error) {
	calls.Add(1)
	go func() {
		defer calls.Done()
		result <- call() // never blocks: one call is in flight at a time
	}()
}

// claimDir creates the directory at the first start and records the name of this voter in it. At later starts it
// checks that the directory belongs to this voter and that the log is still there: a voter without its log does
// not know for whom it has voted.
func (p *Participant) claimDir() error {
	if err := os.MkdirAll(p.config.Dir, 0o700); err != nil {
		return fmt.Errorf("consensus: dir: %w", err)
	}
	path := filepath.Join(p.config.Dir, voterFile)
	owner, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		if err := os.WriteFile(path, []byte(p.config.Self), 0o600); err != nil {
			return fmt.Errorf("consensus: dir: %w", err)
		}
		return nil
	case err != nil:
		return fmt.Errorf("consensus: dir: %w", err)
	case string(owner) != p.config.Self:
		return fmt.Errorf("consensus: dir: it belongs to voter %q, this is %q", owner, p.config.Self)
	}
	if info, err := os.Stat(filepath.Join(p.config.Dir, logFile)); err != nil || info.Size() == 0 {
		return fmt.Errorf(
			"consensus: dir: %s has voted, and its log is missing (%w): it must return under another name",
			p.config.Self, err)
	}
	return nil
}

// logWriter writes the library's log lines to the agent's log.
type logWriter struct{}

func (logWriter) Write(p []byte) (int, error) {
	slog.Info("consensus: library", "line", strings.TrimSpace(string(p)))
	return len(p), nil
}
