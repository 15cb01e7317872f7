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
	// tickEvery is how often the machine decides anew, vouchEvery how often a leader makes sure
	// that it still is one.
	tickEvery, vouchEvery = 100 * time.Millisecond, time.Second
	// applyWithin bounds a proposal.
	applyWithin = 2 * time.Second
	// boxSize bounds the reports that wait; one of each agent is enough.
	boxSize = 4096
	// keepLogs is how many entries a snapshot leaves, snapshotAt how many make one.
	keepLogs, snapshotAt = 64, 256
	// logFile and markFile are in the folder: the log, and who wrote it.
	logFile, markFile = "council.db", "voter"
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
	if !c.Votes() {
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

// Votes tells whether this agent is of the council.
func (c *Config) Votes() bool {
	return slices.ContainsFunc(c.Voters, func(v Voter) bool { return v.Name == c.Self })
}

// Decision is what was agreed on, as of now.
type Decision struct {
	Term  uint64             `json:"Term"`
	Index uint64             `json:"Index"`
	Table zonefailover.Table `json:"Table"`
	// Vouched is that a majority has just borne it out. What a voter finds in its log, at its
	// start or after a pause, may be as old as the log.
	Vouched bool `json:"Vouched"`
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

// Council is a voter's task. Its mailbox takes Report.
type Council struct {
	cfg     Config
	box     *supervisor.Mailbox
	decided func(Decision)
}

// New returns the task; Run is its life. decided is told of each decision, from the task's
// goroutine.
func New(cfg Config, decided func(Decision)) *Council {
	return &Council{cfg: cfg, box: supervisor.NewMailbox(boxSize), decided: decided}
}

// Mailbox takes Report.
func (c *Council) Mailbox() *supervisor.Mailbox { return c.box }

// Run votes until ctx is done.
func (c *Council) Run(ctx context.Context) (err error) {
	if err := c.mark(); err != nil {
		return err
	}
	path := filepath.Join(c.cfg.Dir, logFile)
	if _, err := os.Stat(path); err == nil {
		if err := snapshot.Readable(path); err != nil {
			return fmt.Errorf("council: log: %s must come back under another name: %w", c.cfg.Self, err)
		}
	}
	disk, err := openLog(path)
	if err != nil {
		return fmt.Errorf("council: log: %w", err)
	}
	defer func() { err = errors.Join(err, disk.Close()) }()
	log := sealed{disk}
	if err := log.check(); err != nil {
		return fmt.Errorf("council: log: %s must come back under another name: %w", c.cfg.Self, err)
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "council", Level: hclog.Warn, Output: lines{}, DisableTime: true})
	snaps, err := raft.NewFileSnapshotStoreWithLogger(c.cfg.Dir, 2, logger)
	if err != nil {
		return fmt.Errorf("council: snapshots: %w", err)
	}
	layer, err := listen(c.cfg.Bind)
	if err != nil {
		return fmt.Errorf("council: bind: %w", err)
	}
	trans := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: layer, MaxPool: 2, Timeout: 2 * c.cfg.Heartbeat, Logger: logger})
	defer func() { err = errors.Join(err, trans.Close()) }()
	f := &fsm{changed: make(chan struct{}, 1)}
	conf := raft.DefaultConfig()
	conf.LocalID, conf.Logger = raft.ServerID(c.cfg.Self), logger
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = c.cfg.Heartbeat, c.cfg.Heartbeat, c.cfg.Heartbeat/2
	conf.CommitTimeout = min(conf.CommitTimeout, c.cfg.Heartbeat/10)
	conf.TrailingLogs, conf.SnapshotThreshold = keepLogs, snapshotAt
	if has, err := raft.HasExistingState(log, log, snaps); err != nil {
		return fmt.Errorf("council: log: %w", err)
	} else if !has {
		var all raft.Configuration
		for _, v := range c.cfg.Voters {
			all.Servers = append(all.Servers, raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(v.Name), Address: raft.ServerAddress(v.Addr)})
		}
		if err := raft.BootstrapCluster(conf, log, log, snaps, trans, all); err != nil {
			return fmt.Errorf("council: first start: %w", err)
		}
	}
	r, err := raft.NewRaft(conf, f, log, log, snaps, trans)
	if err != nil {
		return fmt.Errorf("council: %w", err)
	}
	defer func() { err = errors.Join(err, r.Shutdown().Error()) }()
	return c.serve(ctx, r, f)
}

// openLog opens the library's store; a file that makes it panic is an error.
func openLog(path string) (disk *raftboltdb.BoltStore, err error) {
	err = snapshot.Guarded(func() error {
		disk, err = raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType}})
		return err
	})
	return disk, err
}

// serve decides, where this voter leads, and hands on what is decided.
func (c *Council) serve(ctx context.Context, r *raft.Raft, f *fsm) error {
	machine, err := zonefailover.New(c.cfg.Zones, zonefailover.Table{Version: zonefailover.Version})
	if err != nil {
		return err
	}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	// One proposal and one question at a time, each waited for on a goroutine of its own.
	var waiting sync.WaitGroup
	defer waiting.Wait()
	proposed, vouched := make(chan error, 1), make(chan error, 1)
	proposing, asking := false, false
	askedAt := -vouchEvery
	led := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.box.Ready():
			for msg, ok := c.box.Poll(); ok; msg, ok = c.box.Poll() {
				if err := machine.Report(now(), msg.(Report).Report); err != nil {
					slog.Debug("council: report not believed", "err", err)
				}
			}
		case <-f.changed:
			d := f.decision()
			machine.Committed(d.Table)
			slog.Info("council: decided", "term", d.Term, "index", d.Index, "number", d.Table.Number, "zones", fmt.Sprintf("%+v", d.Table.Zones))
			c.decided(d)
		case err := <-proposed:
			proposing = false
			if err != nil {
				slog.Warn("council: not agreed on", "err", err)
				continue
			}
			d := f.decision()
			d.Vouched = true // a majority has just written it
			machine.Committed(d.Table)
			c.decided(d)
		case err := <-vouched:
			asking = false
			if err == nil {
				d := f.decision()
				d.Vouched = true
				c.decided(d)
			}
		case <-tick.C:
			// All voters follow, so that whoever leads next knows what was seen.
			next, changed := machine.Tick(now())
			leads := r.State() == raft.Leader
			if leads != led {
				led = leads
				slog.Info("council: leads", "leads", leads, "term", r.CurrentTerm())
			}
			if leads && changed && !proposing {
				text, err := json.Marshal(next)
				if err != nil {
					return fmt.Errorf("council: table: %w", err)
				}
				proposing = true
				await(&waiting, proposed, func() error { return r.Apply(text, applyWithin).Error() })
			}
			if leads && !asking && now()-askedAt >= vouchEvery {
				asking, askedAt = true, now()
				await(&waiting, vouched, func() error { return r.VerifyLeader().Error() })
			}
		}
	}
}

// await hands on the end of something that blocks.
func await(all *sync.WaitGroup, to chan<- error, do func() error) {
	all.Add(1)
	go func() {
		defer all.Done()
		to <- do() // there is room: one is under way at a time
	}()
}

// mark makes sure that the folder is this voter's, and that a log which was there is there
// still: a voter without its log has forgotten whom it voted for.
func (c *Council) mark() error {
	if err := os.MkdirAll(c.cfg.Dir, 0o700); err != nil {
		return fmt.Errorf("council: dir: %w", err)
	}
	path := filepath.Join(c.cfg.Dir, markFile)
	was, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		if err := os.WriteFile(path, []byte(c.cfg.Self), 0o600); err != nil {
			return fmt.Errorf("council: dir: %w", err)
		}
		return nil
	case err != nil:
		return fmt.Errorf("council: dir: %w", err)
	case string(was) != c.cfg.Self:
		return fmt.Errorf("council: dir: it is the folder of %q, this is %q", was, c.cfg.Self)
	}
	if info, err := os.Stat(filepath.Join(c.cfg.Dir, logFile)); err != nil || info.Size() == 0 {
		return fmt.Errorf("council: dir: %s has voted, and its log is gone (%w): it must come back under another name", c.cfg.Self, err)
	}
	return nil
}

// stream is the log's connections, each from the address that it listens at. The library
// leaves some open at its end: Close ends all.
type stream struct {
	net.Listener
	from   *net.TCPAddr
	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

func listen(bind string) (*stream, error) {
	ln, err := net.Listen("tcp", bind)
	if err != nil {
		return nil, err
	}
	return &stream{Listener: ln, from: &net.TCPAddr{IP: ln.Addr().(*net.TCPAddr).IP}, open: map[net.Conn]bool{}}, nil
}

// Accept implements net.Listener.
func (s *stream) Accept() (net.Conn, error) { return s.hold(s.Listener.Accept()) }

// Dial implements raft.StreamLayer.
func (s *stream) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within, LocalAddr: s.from}
	return s.hold(d.Dial("tcp", string(to)))
}

// Close implements net.Listener.
func (s *stream) Close() error {
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

func (s *stream) hold(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return nil, net.ErrClosed
	}
	h := &held{Conn: c, of: s}
	s.open[h] = true
	return h, nil
}

// held is one of a stream's connections.
type held struct {
	net.Conn
	of *stream
}

// Close implements net.Conn.
func (h *held) Close() error {
	h.of.mu.Lock()
	delete(h.of.open, h)
	h.of.mu.Unlock()
	return h.Conn.Close()
}

// fsm is the table that the log comes to.
type fsm struct {
	changed chan struct{}
	mu      sync.Mutex
	now     Decision
}

func (f *fsm) decision() Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.now
	d.Table.Zones = slices.Clone(d.Table.Zones)
	return d
}

func (f *fsm) set(d Decision) {
	f.mu.Lock()
	f.now = d
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

type fsmSnapshot struct{ d Decision }

func (s fsmSnapshot) Persist(to raft.SnapshotSink) error {
	if err := json.NewEncoder(to).Encode(s.d); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (fsmSnapshot) Release() {}

// lines hands the library's log on.
type lines struct{}

func (lines) Write(p []byte) (int, error) {
	slog.Info("council: library", "line", strings.TrimSpace(string(p)))
	return len(p), nil
}
