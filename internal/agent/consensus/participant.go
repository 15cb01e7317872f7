// Package consensus agrees for the whole fleet on one table of zones: three or five voters
// spread over sites keep one log (hashicorp/raft), and the machine of internal/agent/zonefailover at its
// leader proposes what goes in.
//
// Guaranteed: all voters apply the same tables in the same order, each only on top of the one
// before it; a table counts as decided only once a majority of the voters has it on disk. A
// leader that was paused and wakes can propose nothing that counts, as its term is over. What
// is handed on carries term and index, for receivers to drop what is older, and the age of the
// last moment at which a majority vouched for it.
//
// Not guaranteed: that anything is decided. Without a majority nothing changes, and what was
// decided ages. A voter needs its disk: one whose files are gone or damaged is another voter,
// and must not come back under its old name; Run reports it and does not vote. Each record has
// a checksum, and all are read before the first vote.
package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
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
	// tickInterval is how often the machine decides anew, verifyInterval how often a leader makes sure
	// that it still is one.
	tickInterval, verifyInterval = 100 * time.Millisecond, time.Second
	// applyTimeout bounds a proposal.
	applyTimeout = 2 * time.Second
	// mailboxSize bounds the reports that wait; one of each agent is enough.
	mailboxSize = 4096
	// trailingLogs is how many entries a snapshot leaves, snapshotThreshold how many make one.
	trailingLogs, snapshotThreshold = 64, 256
	// logFile and voterFile are in the folder: the log, and who wrote it.
	logFile, voterFile = "council.db", "voter"
)

// Voter is one of the council.
type Voter struct{ Name, Addr string }

// ParseVoter reads "name=address:port".
func ParseVoter(text string) (Voter, error) {
	name, addr, ok := strings.Cut(text, "=")
	host, port, err := net.SplitHostPort(addr)
	if !ok || name == "" || err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
		return Voter{}, fmt.Errorf("%q is no name=address:port", text)
	}
	return Voter{name, addr}, nil
}

// Config is what a voter is told.
type Config struct {
	Self   string
	Voters []Voter
	Bind   string // address:port of the log's streams; what is sent to others comes from here
	Dir    string
	Zones  zonefailover.Config
	// Heartbeat is how long a follower waits for its leader before it stands for election.
	Heartbeat time.Duration
}

// Validate tells what makes no sense, by key.
func (c *Config) Validate() error {
	if n := len(c.Voters); n != 3 && n != 5 {
		return fmt.Errorf("voters: must be three or five, are %d", n)
	}
	for i, v := range c.Voters {
		if slices.ContainsFunc(c.Voters[:i], func(o Voter) bool { return o.Name == v.Name || o.Addr == v.Addr }) {
			return fmt.Errorf("voters: %s=%s is named twice", v.Name, v.Addr)
		}
	}
	if c.Heartbeat < 100*time.Millisecond || c.Heartbeat > time.Minute {
		return fmt.Errorf("heartbeat: must be 100ms to 1m, is %v", c.Heartbeat)
	}
	if err := c.Zones.Validate(); err != nil {
		return err
	}
	if !c.IsVoter() {
		return nil
	}
	if c.Dir == "" {
		return errors.New("dir: a voter needs a folder")
	}
	if _, err := net.ResolveTCPAddr("tcp", c.Bind); err != nil || c.Bind == "" {
		return fmt.Errorf("bind: %q is no address:port", c.Bind)
	}
	return nil
}

// IsVoter tells whether this agent is of the council.
func (c *Config) IsVoter() bool {
	return slices.ContainsFunc(c.Voters, func(v Voter) bool { return v.Name == c.Self })
}

// Decision is what was agreed on, as of now.
type Decision struct {
	Term  uint64             `json:"Term"`
	Index uint64             `json:"Index"`
	Table zonefailover.Table `json:"Table"`
	// Confirmed is that a majority has just borne it out. What a voter finds in its log, at its
	// start or after a pause, may be as old as the log.
	Confirmed bool `json:"Vouched"`
}

// Report is what an agent sees, for the machine. The newest of an agent is enough.
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

// Participant is a voter's task. Its mailbox takes Report.
type Participant struct {
	config     Config
	mailbox    *supervisor.Mailbox
	onDecision func(Decision)
}

// New returns the task; Run is its life. decided is told of each decision, from the task's
// goroutine.
func New(cfg Config, onDecision func(Decision)) *Participant {
	return &Participant{config: cfg, mailbox: supervisor.NewMailbox(mailboxSize), onDecision: onDecision}
}

// Mailbox takes Report.
func (c *Participant) Mailbox() *supervisor.Mailbox { return c.mailbox }

// Run votes until ctx is done.
func (c *Participant) Run(ctx context.Context) (err error) {
	if err := c.claimDir(); err != nil {
		return err
	}
	path := filepath.Join(c.config.Dir, logFile)
	if _, err := os.Stat(path); err == nil {
		if err := snapshot.Readable(path); err != nil {
			return fmt.Errorf("council: log: %s must come back under another name: %w", c.config.Self, err)
		}
	}
	boltStore, err := openLog(path)
	if err != nil {
		return fmt.Errorf("council: log: %w", err)
	}
	defer func() { err = errors.Join(err, boltStore.Close()) }()
	checksummed := checksummedStore{boltStore}
	if err := checksummed.verify(); err != nil {
		return fmt.Errorf("council: log: %s must come back under another name: %w", c.config.Self, err)
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "council", Level: hclog.Warn, Output: logWriter{}, DisableTime: true})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(c.config.Dir, 2, logger)
	if err != nil {
		return fmt.Errorf("council: snapshots: %w", err)
	}
	streams, err := listen(c.config.Bind)
	if err != nil {
		return fmt.Errorf("council: bind: %w", err)
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: streams, MaxPool: 2, Timeout: 2 * c.config.Heartbeat, Logger: logger})
	defer func() { err = errors.Join(err, transport.Close()) }()
	machine := &fsm{changed: make(chan struct{}, 1)}
	raftConfig := raft.DefaultConfig()
	raftConfig.LocalID, raftConfig.Logger = raft.ServerID(c.config.Self), logger
	raftConfig.HeartbeatTimeout, raftConfig.ElectionTimeout, raftConfig.LeaderLeaseTimeout = c.config.Heartbeat, c.config.Heartbeat, c.config.Heartbeat/2
	raftConfig.CommitTimeout = min(raftConfig.CommitTimeout, c.config.Heartbeat/10)
	raftConfig.TrailingLogs, raftConfig.SnapshotThreshold = trailingLogs, snapshotThreshold
	if has, err := raft.HasExistingState(checksummed, checksummed, snapshots); err != nil {
		return fmt.Errorf("council: log: %w", err)
	} else if !has {
		var servers raft.Configuration
		for _, v := range c.config.Voters {
			servers.Servers = append(servers.Servers, raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(v.Name), Address: raft.ServerAddress(v.Addr)})
		}
		if err := raft.BootstrapCluster(raftConfig, checksummed, checksummed, snapshots, transport, servers); err != nil {
			return fmt.Errorf("council: first start: %w", err)
		}
	}
	node, err := raft.NewRaft(raftConfig, machine, checksummed, checksummed, snapshots, transport)
	if err != nil {
		return fmt.Errorf("council: %w", err)
	}
	defer func() { err = errors.Join(err, node.Shutdown().Error()) }()
	return c.runLoop(ctx, node, machine)
}

// openLog opens the library's store; a file that makes it panic is an error.
func openLog(path string) (disk *raftboltdb.BoltStore, err error) {
	err = snapshot.Guarded(func() error {
		disk, err = raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType}})
		return err
	})
	return disk, err
}

// runLoop decides, where this voter leads, and hands on what is decided.
func (c *Participant) runLoop(ctx context.Context, node *raft.Raft, log *fsm) error {
	machine, err := zonefailover.New(c.config.Zones, zonefailover.Table{Version: zonefailover.Version})
	if err != nil {
		return err
	}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	// One proposal and one question at a time, each waited for on a goroutine of its own.
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
		case <-c.mailbox.Ready():
			for msg, ok := c.mailbox.Poll(); ok; msg, ok = c.mailbox.Poll() {
				if err := machine.Report(now(), msg.(Report).Report); err != nil {
					slog.Debug("council: report not believed", "err", err)
				}
			}
		case <-log.changed:
			d := log.decision()
			machine.Committed(d.Table)
			slog.Info("council: decided", "term", d.Term, "index", d.Index, "number", d.Table.Number, "zones", fmt.Sprintf("%+v", d.Table.Zones))
			c.onDecision(d)
		case err := <-applied:
			proposing = false
			if err != nil {
				slog.Warn("council: not agreed on", "err", err)
				continue
			}
			d := log.decision()
			d.Confirmed = true // a majority has just written it
			machine.Committed(d.Table)
			c.onDecision(d)
		case err := <-verified:
			verifying = false
			if err == nil {
				d := log.decision()
				d.Confirmed = true
				c.onDecision(d)
			}
		case <-tick.C:
			// All voters follow, so that whoever leads next knows what was seen.
			next, changed := machine.Tick(now())
			isLeader := node.State() == raft.Leader
			if isLeader != wasLeader {
				wasLeader = isLeader
				slog.Info("council: leads", "leads", isLeader, "term", node.CurrentTerm())
			}
			if isLeader && changed && !proposing {
				text, err := json.Marshal(next)
				if err != nil {
					return fmt.Errorf("council: table: %w", err)
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

// awaitResult hands on the end of something that blocks.
func awaitResult(all *sync.WaitGroup, to chan<- error, do func() error) {
	all.Add(1)
	go func() {
		defer all.Done()
		to <- do() // there is room: one is under way at a time
	}()
}

// claimDir makes sure that the folder is this voter's, and that a log which was there is there
// still: a voter without its log has forgotten whom it voted for.
func (c *Participant) claimDir() error {
	if err := os.MkdirAll(c.config.Dir, 0o700); err != nil {
		return fmt.Errorf("council: dir: %w", err)
	}
	path := filepath.Join(c.config.Dir, voterFile)
	was, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		if err := os.WriteFile(path, []byte(c.config.Self), 0o600); err != nil {
			return fmt.Errorf("council: dir: %w", err)
		}
		return nil
	case err != nil:
		return fmt.Errorf("council: dir: %w", err)
	case string(was) != c.config.Self:
		return fmt.Errorf("council: dir: it is the folder of %q, this is %q", was, c.config.Self)
	}
	if info, err := os.Stat(filepath.Join(c.config.Dir, logFile)); err != nil || info.Size() == 0 {
		return fmt.Errorf("council: dir: %s has voted, and its log is gone (%w): it must come back under another name", c.config.Self, err)
	}
	return nil
}

// streamLayer is the log's connections, each from the address that it listens at. The library
// leaves some open at its end: Close ends all.
type streamLayer struct {
	net.Listener
	localAddr *net.TCPAddr
	mu        sync.Mutex
	open      map[net.Conn]bool
	closed    bool
}

func listen(bind string) (*streamLayer, error) {
	ln, err := net.Listen("tcp", bind)
	if err != nil {
		return nil, err
	}
	return &streamLayer{Listener: ln, localAddr: &net.TCPAddr{IP: ln.Addr().(*net.TCPAddr).IP}, open: map[net.Conn]bool{}}, nil
}

// Accept implements net.Listener.
func (s *streamLayer) Accept() (net.Conn, error) { return s.track(s.Listener.Accept()) }

// Dial implements raft.StreamLayer.
func (s *streamLayer) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within, LocalAddr: s.localAddr}
	return s.track(d.Dial("tcp", string(to)))
}

// Close implements net.Listener.
func (s *streamLayer) Close() error {
	err := s.Listener.Close()
	s.mu.Lock()
	s.closed = true
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
	return err
}

func (s *streamLayer) track(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return nil, net.ErrClosed
	}
	h := &trackedConn{Conn: c, layer: s}
	s.open[h] = true
	return h, nil
}

// trackedConn is one of a stream's connections.
type trackedConn struct {
	net.Conn
	layer *streamLayer
}

// Close implements net.Conn.
func (h *trackedConn) Close() error {
	h.layer.mu.Lock()
	delete(h.layer.open, h)
	h.layer.mu.Unlock()
	return h.Conn.Close()
}

// fsm is the table that the log comes to.
type fsm struct {
	changed chan struct{}
	mu      sync.Mutex
	current Decision
}

func (f *fsm) decision() Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.current
	d.Table.Zones = slices.Clone(d.Table.Zones)
	return d
}

func (f *fsm) set(d Decision) {
	f.mu.Lock()
	f.current = d
	f.mu.Unlock()
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Apply takes an entry: a table that follows on the one before it. Another is passed over, by
// all voters alike.
func (f *fsm) Apply(l *raft.Log) any {
	var t zonefailover.Table
	err := json.Unmarshal(l.Data, &t)
	if err == nil {
		err = t.Validate()
	}
	if was := f.decision().Table.Number; err == nil && t.Number != was+1 {
		err = fmt.Errorf("council: table %d does not follow on %d", t.Number, was)
	}
	if err != nil {
		slog.Warn("council: entry passed over", "index", l.Index, "err", err)
		return err
	}
	f.set(Decision{Term: l.Term, Index: l.Index, Table: t})
	return nil
}

// Snapshot and Restore keep the last decision in place of the log that led to it.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) { return fsmSnapshot{f.decision()}, nil }

func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	var d Decision
	if err := json.NewDecoder(io.LimitReader(r, 1<<20)).Decode(&d); err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	if err := d.Table.Validate(); err != nil && d.Index > 0 {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	f.set(d)
	return nil
}

type fsmSnapshot struct{ decision Decision }

func (s fsmSnapshot) Persist(to raft.SnapshotSink) error {
	if err := json.NewEncoder(to).Encode(s.decision); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (fsmSnapshot) Release() {}

// logWriter hands the library's log on.
type logWriter struct{}

func (logWriter) Write(p []byte) (int, error) {
	slog.Info("council: library", "line", strings.TrimSpace(string(p)))
	return len(p), nil
}
