// Package consensus agrees on one table of zones for the whole fleet: three or five voters at different
// sites replicate a log (hashicorp/raft), and the state machine of package zonefailover at the leader
// proposes its entries.
//
// Guaranteed: all voters apply the same tables in the same order, each directly after the one before
// it; a table is decided only once a majority of the voters has it on disk. A leader that resumes after
// a pause commits nothing, as its term is over. Decisions carry term and index, so that receivers can
// drop older ones, and whether a majority has just confirmed them.
//
// Not guaranteed: that anything is decided. Without a majority nothing changes, and the last decision
// ages. A voter needs its disk: a voter whose files are lost or damaged must not return under its old
// name; Run reports that and does not vote. Each record has a checksum, and all are read before the
// first vote.
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
	// tickInterval is the time between two evaluations of the zones, verifyInterval the time between two
	// checks of a leader that it still leads.
	tickInterval, verifyInterval = 100 * time.Millisecond, time.Second
	// applyTimeout bounds the commit of a proposal.
	applyTimeout = 2 * time.Second
	// mailboxSize bounds the queued reports; one of each agent suffices.
	mailboxSize = 4096
	// trailingLogs is the number of entries that a snapshot leaves, snapshotThreshold the number that
	// triggers one.
	trailingLogs, snapshotThreshold = 64, 256
	// logFile and voterFile are the files of Dir: the log, and the name of the voter that owns it.
	logFile, voterFile = "council.db", "voter"
)

// Decision is the newest committed table. Its JSON keys are part of stored snapshots.
type Decision struct {
	Term  uint64             `json:"Term"`
	Index uint64             `json:"Index"`
	Table zonefailover.Table `json:"Table"`
	// Confirmed tells that a majority has just confirmed the decision. One that a voter reads from its
	// log, after its start or a pause, may be as old as the log.
	Confirmed bool `json:"Vouched"`
}

// Report is an agent's report on the zones. The newest of each agent replaces older ones.
type Report struct{ zonefailover.Report }

// Overflow implements task.Message.
func (Report) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// MergeInto implements task.Merger.
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

// Participant is the task of one voter. Its mailbox takes Report.
type Participant struct {
	config     Config
	mailbox    *supervisor.Mailbox
	onDecision func(Decision)
}

// New returns a participant that does nothing until Run is called. It calls onDecision with each decision
// on the goroutine of Run.
func New(cfg Config, onDecision func(Decision)) *Participant {
	return &Participant{config: cfg, mailbox: supervisor.NewMailbox(mailboxSize), onDecision: onDecision}
}

// Mailbox returns the mailbox for reports.
func (p *Participant) Mailbox() *supervisor.Mailbox { return p.mailbox }

// Run takes part in the consensus until ctx is done.
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
	logger := hclog.New(&hclog.LoggerOptions{Name: "consensus", Level: hclog.Warn, Output: logWriter{}, DisableTime: true})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(p.config.Dir, 2, logger)
	if err != nil {
		return fmt.Errorf("consensus: snapshots: %w", err)
	}
	streams, err := listen(p.config.Bind)
	if err != nil {
		return fmt.Errorf("consensus: bind: %w", err)
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: streams, MaxPool: 2, Timeout: 2 * p.config.Heartbeat, Logger: logger})
	defer func() { err = errors.Join(err, transport.Close()) }()
	machine := &fsm{changed: make(chan struct{}, 1)}
	raftConfig := raft.DefaultConfig()
	raftConfig.LocalID, raftConfig.Logger = raft.ServerID(p.config.Self), logger
	raftConfig.HeartbeatTimeout, raftConfig.ElectionTimeout, raftConfig.LeaderLeaseTimeout = p.config.Heartbeat, p.config.Heartbeat, p.config.Heartbeat/2
	raftConfig.CommitTimeout = min(raftConfig.CommitTimeout, p.config.Heartbeat/10)
	raftConfig.TrailingLogs, raftConfig.SnapshotThreshold = trailingLogs, snapshotThreshold
	if has, err := raft.HasExistingState(checksummed, checksummed, snapshots); err != nil {
		return fmt.Errorf("consensus: log: %w", err)
	} else if !has {
		var servers raft.Configuration
		for _, v := range p.config.Voters {
			servers.Servers = append(servers.Servers, raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(v.Name), Address: raft.ServerAddress(v.Addr)})
		}
		if err := raft.BootstrapCluster(raftConfig, checksummed, checksummed, snapshots, transport, servers); err != nil {
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

// openLog opens the library's store. It turns the panics of the library on a damaged file into errors.
func openLog(path string) (disk *raftboltdb.BoltStore, err error) {
	err = snapshot.RecoverFaults(func() error {
		disk, err = raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType}})
		return err
	})
	return disk, err
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
	// At most one proposal and one verification are in flight, each awaited by a goroutine of its own.
	var waiting sync.WaitGroup
	defer waiting.Wait()
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
			slog.Info("consensus: table committed", "term", d.Term, "index", d.Index, "number", d.Table.Number, "zones", fmt.Sprintf("%+v", d.Table.Zones))
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
			// Followers evaluate, too, so that the next leader knows what was reported.
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
				awaitResult(&waiting, applied, func() error { return node.Apply(text, applyTimeout).Error() })
			}
			if isLeader && !verifying && now()-verifiedAt >= verifyInterval {
				verifying, verifiedAt = true, now()
				awaitResult(&waiting, verified, func() error { return node.VerifyLeader().Error() })
			}
		}
	}
}

// awaitResult runs a blocking call on a goroutine and sends its result.
func awaitResult(all *sync.WaitGroup, to chan<- error, do func() error) {
	all.Add(1)
	go func() {
		defer all.Done()
		to <- do() // never blocks: one call is in flight at a time
	}()
}

// claimDir checks that the directory belongs to this voter, and that its log is still there: a voter without
// its log does not know for whom it has voted.
func (p *Participant) claimDir() error {
	if err := os.MkdirAll(p.config.Dir, 0o700); err != nil {
		return fmt.Errorf("consensus: dir: %w", err)
	}
	path := filepath.Join(p.config.Dir, voterFile)
	was, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		if err := os.WriteFile(path, []byte(p.config.Self), 0o600); err != nil {
			return fmt.Errorf("consensus: dir: %w", err)
		}
		return nil
	case err != nil:
		return fmt.Errorf("consensus: dir: %w", err)
	case string(was) != p.config.Self:
		return fmt.Errorf("consensus: dir: it belongs to voter %q, this is %q", was, p.config.Self)
	}
	if info, err := os.Stat(filepath.Join(p.config.Dir, logFile)); err != nil || info.Size() == 0 {
		return fmt.Errorf("consensus: dir: %s has voted, and its log is missing (%w): it must return under another name", p.config.Self, err)
	}
	return nil
}

// logWriter passes the library's log lines on.
type logWriter struct{}

func (logWriter) Write(p []byte) (int, error) {
	slog.Info("consensus: library", "line", strings.TrimSpace(string(p)))
	return len(p), nil
}
