// Package controlplane runs the control state of one process: it glues view, chain and store to calls of
// other agents, timers and a disk.
//
// Every agent has a Member. On a machine of the core it votes on views, keeps the configuration and
// repairs the chain; elsewhere it takes part in the founding of the first view and passes orders and
// reads on to the core.
//
// One durable step is made at a time (a view learned, a vote, a value): it is on disk before it
// shows in memory and before anybody is told. Pings, reads of state and orders on their way wait for
// no disk. Times are of the steady clock, and a process that slept through some ticks counts the
// silence of others from its waking.
package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/store"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

const (
	heartbeatInterval     = 100 * time.Millisecond // of pings and repair
	pauseAllowance        = 300 * time.Millisecond // a gap between ticks after which nothing held is believed
	peerTimeout           = 600 * time.Millisecond // a member of the chain is left out after
	stabilizationDelay    = 300 * time.Millisecond // one that is back is believed after
	voterReplacementDelay = 2 * time.Second        // a voter may be swapped after
	refusalConfirmation   = 150 * time.Millisecond // a port that was open is closed for, and the process has ended
	contactTimeout        = 400 * time.Millisecond // contact counts as such for
	diskStallLimit        = 400 * time.Millisecond // an operation on a disk may take
	diskProbeInterval     = 250 * time.Millisecond // of a disk in trouble
	callTimeout           = 400 * time.Millisecond // bounds a small call
	pushTimeout           = time.Second            // bounds a push through the chain
	pushTimeoutStep       = 60 * time.Millisecond  // less for each member on the way
	diskSweepInterval     = 20 * time.Second
	maxSubmissions        = 64
	maxPeers              = 64

	defaultRequestTimeout = 900 * time.Millisecond
)

// Options say what a Member is and whom it tells.
type Options struct {
	Addr           string // HOST:PORT at which this agent is called
	Zone           string
	Region         string
	StateDir       string // of the state; "": in memory
	Disk           Disk   // keeps the state in place of a store in Dir, which is its name then; nil: the store
	HasDisk        bool   // the machine is of the core
	FirstStart     bool   // the whole system starts for the first time
	Seeds          func() []string
	KnownAddresses func() []string // more addresses of agents, may be nil
	Losses         int             // machine losses to be borne at once
	ZoneLosses     int             // or losses of whole zones
	RegionLosses   int             // or losses of whole regions
	Counted        bool            // this machine's loss is one of those
	Pool           *rpc.Pool
	Validate       chain.Check
	OnCommit       func(chain.Value) // newest committed values, Seq rising; may be nil
	OnView         func(view.View)   // newer views, Number rising; may be nil
	RequestTimeout time.Duration     // bounds Submit and Read; 0: 900 ms
}

// Disk is what a Member needs of a store: Put returns nil once the record outlives a loss of power.
type Disk interface {
	Get(key string) ([]byte, bool)
	Put(key string, val []byte) error
	Probe() error
	Sweep() (whole bool, err error)
	Health(now time.Time) store.Health
	Close()
}

// Member is safe for concurrent use.
type Member struct {
	options     Options
	self        view.Peer
	incarnation string // names this life in ballots
	idPersisted bool   // the id is on disk; until then the process asks for no vote
	disk        Disk
	intercept   func(ctx context.Context, addr, name string, do func() error) error // what is between agents, in tests
	seeds       []string                                                            // the acceptors of view 1; nil where this process does not found

	writeToken  chan struct{} // holds a token while no durable step is under way
	submissions chan *submission
	wakeups     chan struct{} // asks for a tick now
	loops       sync.WaitGroup
	calls       sync.WaitGroup // short calls started by tasks

	mu                     sync.Mutex
	learned                view.View     // learned: on disk
	newest                 view.View     // newest heard of, for passing orders on
	record                 chain.Record  // on disk
	vote                   view.Vote     // on disk
	acceptedAt             time.Time     // when vote.Accepted was set
	committed              chain.Value   // Seq 0: not known
	checksum               uint64        // of committed
	superseded             chan struct{} // closed when view changes
	changed                chan struct{} // closed when view, seen or committed change
	activatedView          uint64        // the view whose first push came through, as its head
	peers                  map[string]*peerState
	awakeSince             time.Time // start, or when it last woke
	lastTick               time.Time
	lastDiscovery          time.Time
	shuttingDown           bool
	bootstrap              bootstrapState
	rounds                 map[uint64]uint32 // highest round met, by instance
	reportedShortfall      view.Shortfall    // the last that was reported
	wantedStep             string            // the step that is waited with
	wantedSince            time.Time
	backoffUntil           time.Time // of the next proposal
	lastProbe              time.Time
	lastSweep              time.Time
	diskBusy               bool
	proposing              bool
	sendingSnapshot        bool
	learnedAt              time.Time // when view was learned in this life
	fetching               bool
	learning               bool
	persistFailureLoggedAt time.Time // of the last event of a view that the disk did not take
	discoveryCursor        int       // rotates over those asked for a view
	stopped                bool
	runContext             context.Context
}

// Open reads the disk. A disk that is empty, or whose file is damaged, gives a new id.
func Open(o Options) (*Member, error) {
	if o.Addr == "" || o.Pool == nil || o.Validate == nil || o.Seeds == nil {
		return nil, errors.New("core: Addr, Pool, Check and Seeds are needed")
	}
	if o.RequestTimeout <= 0 {
		o.RequestTimeout = defaultRequestTimeout
	}
	if !o.HasDisk {
		o.StateDir = ""
	}
	st, err := openDisk(&o)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	m := &Member{options: o, disk: st, incarnation: randomHex(4), writeToken: make(chan struct{}, 1), submissions: make(chan *submission, maxSubmissions),
		wakeups: make(chan struct{}, 1), superseded: make(chan struct{}), changed: make(chan struct{}),
		peers: map[string]*peerState{}, awakeSince: now, lastTick: now, rounds: map[uint64]uint32{}, runContext: context.Background()}
	m.writeToken <- struct{}{}
	m.bootstrap.acked = map[string]bool{}
	if err := m.loadState(); err != nil {
		st.Close()
		return nil, err
	}
	if o.FirstStart && m.learned.Number == 0 {
		m.seeds = distinct(o.Seeds())
		m.bootstrap.began, m.bootstrap.news = now, now
		m.bootstrap.found = map[string]view.Peer{}
	}
	return m, nil
}

// openDisk opens the store of the options' folder, where they bring no disk of their own.
func openDisk(o *Options) (Disk, error) {
	if o.Disk != nil && o.StateDir != "" {
		return o.Disk, nil
	}
	st, rep, err := store.Open(o.StateDir)
	if err != nil {
		return nil, err
	}
	if rep.Damaged {
		logevent.DiskDamaged.Log("why", rep.Why)
	} else if rep.Torn > 0 {
		logevent.DiskTorn.Log("bytes", rep.Torn)
	}
	return st, nil
}

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

func distinct(addrs []string) (out []string) {
	for _, a := range addrs {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// Run does the work until ctx ends, and closes the store.
func (m *Member) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.runContext = ctx
	m.mu.Unlock()
	for _, task := range []func(context.Context){m.tickLoop, m.submissionLoop, m.callbackLoop, m.discoveryLoop} {
		m.loops.Add(1)
		go func() { defer m.loops.Done(); task(ctx) }()
	}
	<-ctx.Done()
	m.mu.Lock()
	m.stopped = true // no further short calls
	m.mu.Unlock()
	m.loops.Wait()
	m.disk.Close()
	m.calls.Wait()
	return nil
}

// spawn runs a short call that the member owns; its context ends with Run.
func (m *Member) spawn(fn func(context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spawnLocked(fn)
}

func (m *Member) spawnLocked(fn func(context.Context)) {
	if m.stopped {
		return
	}
	ctx := m.runContext
	m.calls.Add(1)
	go func() { defer m.calls.Done(); fn(ctx) }()
}

// acquireWrite waits for the right to make a durable step; give returns it.
func (m *Member) acquireWrite(ctx context.Context) error {
	select {
	case <-m.writeToken:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the state's disk")
	}
}

func (m *Member) releaseWrite() { m.writeToken <- struct{}{} }

// notifyLocked wakes whoever waits for a change.
func (m *Member) notifyLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Member) replica() chain.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replicaLocked()
}

func (m *Member) replicaLocked() chain.Replica {
	return chain.Replica{Me: m.self.ID, View: m.learned, Record: m.record}
}

// observeView notes a view that somebody knows; it is not acted on before it is learned.
func (m *Member) observeView(v *view.View) {
	if v == nil || v.Check() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.Number > m.newest.Number {
		m.newest = v.Clone()
		m.notifyLocked()
		m.wakeTicker()
	}
}

// learnView takes a decided view: on disk first.
func (m *Member) learnView(ctx context.Context, v *view.View) error {
	if v == nil {
		return nil
	}
	if err := v.Check(); err != nil {
		return err
	}
	m.observeView(v)
	m.mu.Lock()
	old := v.Number <= m.learned.Number
	m.mu.Unlock()
	if old {
		return nil
	}
	if err := m.acquireWrite(ctx); err != nil {
		return err
	}
	defer m.releaseWrite()
	return m.persistView(v)
}

// learnViewOrLog learns a view that is learned later where the disk does not take it now.
func (m *Member) learnViewOrLog(ctx context.Context, v *view.View) {
	err := m.learnView(ctx, v)
	if err == nil || ctx.Err() != nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	told := now.Sub(m.persistFailureLoggedAt) < time.Second
	if !told {
		m.persistFailureLoggedAt = now
	}
	m.mu.Unlock()
	if !told {
		logevent.ViewKeep.Error(err, "view", v.Number)
	}
}

func (m *Member) persistView(v *view.View) error {
	if v.Number <= m.learned.Number { // only holders of the step change it
		return nil
	}
	raw, err := encode(v)
	if err != nil {
		return err
	}
	if err := m.disk.Put(keyView, raw); err != nil {
		return err
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learned, m.learnedAt, m.wantedStep = v.Clone(), now, ""
	if m.newest.Number < v.Number {
		m.newest = m.learned
	}
	for _, p := range m.learned.Voters {
		m.peerLocked(p, now)
	}
	for n := range m.rounds {
		if n <= v.Number {
			delete(m.rounds, n)
		}
	}
	m.wakeTicker()
	close(m.superseded)
	m.superseded = make(chan struct{})
	m.notifyLocked()
	logevent.ViewLearned.Log("view", v.Number, "chain", chainAddresses(m.learned))
	m.reportShortfallLocked()
	return nil
}

func chainAddresses(v view.View) (out []string) {
	for _, l := range v.Chain {
		out = append(out, l.Addr)
	}
	return out
}

// advanceCommitted notes a value that the tail has kept.
func (m *Member) advanceCommitted(v chain.Value) {
	sum := v.Sum()
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.Seq > m.committed.Seq {
		m.committed, m.checksum = v, sum
		m.notifyLocked()
	}
}

// callbackLoop tells the owner of newer views and values.
func (m *Member) callbackLoop(ctx context.Context) {
	var number, seq uint64
	for {
		m.mu.Lock()
		v, c, changed := m.learned, m.committed, m.changed
		m.mu.Unlock()
		if v.Number > number {
			if number = v.Number; m.options.OnView != nil {
				m.options.OnView(v)
			}
		}
		if c.Seq > seq {
			if seq = c.Seq; m.options.OnCommit != nil {
				m.options.OnCommit(c)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// View is the newest view that is known here, and whether there is one.
func (m *Member) View() (view.View, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest, m.newest.Number > 0
}

// IsVoter tells whether this process votes.
func (m *Member) IsVoter() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, is := m.learned.Voter(m.self.ID)
	return is
}

// HasQuorum tells whether this process is of the core and was in contact with a majority of the
// voters in the last 400 ms.
func (m *Member) HasQuorum() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasQuorumLocked(now)
}

// Committed is the newest value that is known here to be committed.
func (m *Member) Committed() (chain.Value, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.committed, m.committed.Seq > 0
}
