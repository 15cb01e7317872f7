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
	tick       = 100 * time.Millisecond // of pings and repair
	frozen     = 300 * time.Millisecond // a gap between ticks after which nothing held is believed
	silent     = 600 * time.Millisecond // a member of the chain is left out after
	settle     = 300 * time.Millisecond // one that is back is believed after
	away       = 2 * time.Second        // a voter may be swapped after
	refused    = 150 * time.Millisecond // a port that was open is closed for, and the process has ended
	linked     = 400 * time.Millisecond // contact counts as such for
	diskWait   = 400 * time.Millisecond // an operation on a disk may take
	probeEvery = 250 * time.Millisecond // of a disk in trouble
	callWait   = 400 * time.Millisecond // bounds a small call
	pushWait   = time.Second            // bounds a push through the chain
	pushLess   = 60 * time.Millisecond  // less for each member on the way
	sweepEvery = 20 * time.Second
	maxOrders  = 64
	maxPeers   = 64

	defaultAck = 900 * time.Millisecond
)

// Options say what a Member is and whom it tells.
type Options struct {
	Addr         string // HOST:PORT at which this agent is called
	Zone         string
	Region       string
	Dir          string // of the state; "": in memory
	Disk         Disk   // keeps the state in place of a store in Dir, which is its name then; nil: the store
	HasDisk      bool   // the machine is of the core
	FirstStart   bool   // the whole system starts for the first time
	Seeds        func() []string
	Known        func() []string // more addresses of agents, may be nil
	Losses       int             // machine losses to be borne at once
	ZoneLosses   int             // or losses of whole zones
	RegionLosses int             // or losses of whole regions
	Counted      bool            // this machine's loss is one of those
	Pool         *rpc.Pool
	Check        chain.Check
	OnCommit     func(chain.Value) // newest committed values, Seq rising; may be nil
	OnView       func(view.View)   // newer views, Number rising; may be nil
	AckWithin    time.Duration     // bounds Submit and Read; 0: 900 ms
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
	o     Options
	me    view.Peer
	life  string // names this life in ballots
	named bool   // the id is on disk; until then the process asks for no vote
	store Disk
	link  func(ctx context.Context, addr, name string, do func() error) error // what is between agents, in tests
	seeds []string                                                            // the acceptors of view 1; nil where this process does not found

	step    chan struct{} // holds a token while no durable step is under way
	orders  chan *asked
	kick    chan struct{} // asks for a tick now
	tasks   sync.WaitGroup
	pending sync.WaitGroup // short calls started by tasks

	mu        sync.Mutex
	view      view.View     // learned: on disk
	seen      view.View     // newest heard of, for passing orders on
	record    chain.Record  // on disk
	vote      view.Vote     // on disk
	votedAt   time.Time     // when vote.Accepted was set
	committed chain.Value   // Seq 0: not known
	sum       uint64        // of committed
	inView    chan struct{} // closed when view changes
	changed   chan struct{} // closed when view, seen or committed change
	activated uint64        // the view whose first push came through, as its head
	peers     map[string]*peer
	awake     time.Time // start, or when it last woke
	lastTick  time.Time
	lastSeek  time.Time
	ending    bool
	founding  founding
	rounds    map[uint64]uint32 // highest round met, by instance
	shortfall view.Shortfall    // the last that was reported
	wantWhy   string            // the step that is waited with
	wantSince time.Time
	notBefore time.Time // of the next proposal
	lastProbe time.Time
	lastSweep time.Time
	probing   bool
	proposing bool
	filling   bool
	viewAt    time.Time // when view was learned in this life
	fetching  bool
	catching  bool
	keepTold  time.Time // of the last event of a view that the disk did not take
	asking    int       // rotates over those asked for a view
	closed    bool
	run       context.Context
}

// Open reads the disk. A disk that is empty, or whose file is damaged, gives a new id.
func Open(o Options) (*Member, error) {
	if o.Addr == "" || o.Pool == nil || o.Check == nil || o.Seeds == nil {
		return nil, errors.New("core: Addr, Pool, Check and Seeds are needed")
	}
	if o.AckWithin <= 0 {
		o.AckWithin = defaultAck
	}
	if !o.HasDisk {
		o.Dir = ""
	}
	st, err := openDisk(&o)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	m := &Member{o: o, store: st, life: random(4), step: make(chan struct{}, 1), orders: make(chan *asked, maxOrders),
		kick: make(chan struct{}, 1), inView: make(chan struct{}), changed: make(chan struct{}),
		peers: map[string]*peer{}, awake: now, lastTick: now, rounds: map[uint64]uint32{}, run: context.Background()}
	m.step <- struct{}{}
	m.founding.acked = map[string]bool{}
	if err := m.loadState(); err != nil {
		st.Close()
		return nil, err
	}
	if o.FirstStart && m.view.Number == 0 {
		m.seeds = distinct(o.Seeds())
		m.founding.began, m.founding.news = now, now
		m.founding.found = map[string]view.Peer{}
	}
	return m, nil
}

// openDisk opens the store of the options' folder, where they bring no disk of their own.
func openDisk(o *Options) (Disk, error) {
	if o.Disk != nil && o.Dir != "" {
		return o.Disk, nil
	}
	st, rep, err := store.Open(o.Dir)
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

func random(bytes int) string {
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
	m.run = ctx
	m.mu.Unlock()
	for _, task := range []func(context.Context){m.tickLoop, m.headLoop, m.tellLoop, m.seekLoop} {
		m.tasks.Add(1)
		go func() { defer m.tasks.Done(); task(ctx) }()
	}
	<-ctx.Done()
	m.mu.Lock()
	m.closed = true // no further short calls
	m.mu.Unlock()
	m.tasks.Wait()
	m.store.Close()
	m.pending.Wait()
	return nil
}

// spawn runs a short call that the member owns; its context ends with Run.
func (m *Member) spawn(fn func(context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spawnLocked(fn)
}

func (m *Member) spawnLocked(fn func(context.Context)) {
	if m.closed {
		return
	}
	ctx := m.run
	m.pending.Add(1)
	go func() { defer m.pending.Done(); fn(ctx) }()
}

// hold waits for the right to make a durable step; give returns it.
func (m *Member) hold(ctx context.Context) error {
	select {
	case <-m.step:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the state's disk")
	}
}

func (m *Member) give() { m.step <- struct{}{} }

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
	return chain.Replica{Me: m.me.ID, View: m.view, Record: m.record}
}

// hear notes a view that somebody knows; it is not acted on before it is learned.
func (m *Member) hear(v *view.View) {
	if v == nil || v.Check() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.Number > m.seen.Number {
		m.seen = v.Clone()
		m.notifyLocked()
		m.poke()
	}
}

// learn takes a decided view: on disk first.
func (m *Member) learn(ctx context.Context, v *view.View) error {
	if v == nil {
		return nil
	}
	if err := v.Check(); err != nil {
		return err
	}
	m.hear(v)
	m.mu.Lock()
	old := v.Number <= m.view.Number
	m.mu.Unlock()
	if old {
		return nil
	}
	if err := m.hold(ctx); err != nil {
		return err
	}
	defer m.give()
	return m.learnHeld(v)
}

// keepView learns a view that is learned later where the disk does not take it now.
func (m *Member) keepView(ctx context.Context, v *view.View) {
	err := m.learn(ctx, v)
	if err == nil || ctx.Err() != nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	told := now.Sub(m.keepTold) < time.Second
	if !told {
		m.keepTold = now
	}
	m.mu.Unlock()
	if !told {
		logevent.ViewKeep.Error(err, "view", v.Number)
	}
}

func (m *Member) learnHeld(v *view.View) error {
	if v.Number <= m.view.Number { // only holders of the step change it
		return nil
	}
	raw, err := encode(v)
	if err != nil {
		return err
	}
	if err := m.store.Put(keyView, raw); err != nil {
		return err
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view, m.viewAt, m.wantWhy = v.Clone(), now, ""
	if m.seen.Number < v.Number {
		m.seen = m.view
	}
	for _, p := range m.view.Voters {
		m.peerLocked(p, now)
	}
	for n := range m.rounds {
		if n <= v.Number {
			delete(m.rounds, n)
		}
	}
	m.poke()
	close(m.inView)
	m.inView = make(chan struct{})
	m.notifyLocked()
	logevent.ViewLearned.Log("view", v.Number, "chain", names(m.view))
	m.reportShortfallLocked()
	return nil
}

func names(v view.View) (out []string) {
	for _, l := range v.Chain {
		out = append(out, l.Addr)
	}
	return out
}

// commit notes a value that the tail has kept.
func (m *Member) commit(v chain.Value) {
	sum := v.Sum()
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.Seq > m.committed.Seq {
		m.committed, m.sum = v, sum
		m.notifyLocked()
	}
}

// tellLoop tells the owner of newer views and values.
func (m *Member) tellLoop(ctx context.Context) {
	var number, seq uint64
	for {
		m.mu.Lock()
		v, c, changed := m.view, m.committed, m.changed
		m.mu.Unlock()
		if v.Number > number {
			if number = v.Number; m.o.OnView != nil {
				m.o.OnView(v)
			}
		}
		if c.Seq > seq {
			if seq = c.Seq; m.o.OnCommit != nil {
				m.o.OnCommit(c)
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
	return m.seen, m.seen.Number > 0
}

// IsCore tells whether this process votes.
func (m *Member) IsCore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, is := m.view.Voter(m.me.ID)
	return is
}

// Linked tells whether this process is of the core and was in contact with a majority of the
// voters in the last 400 ms.
func (m *Member) Linked() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.majorityLocked(now)
}

// Committed is the newest value that is known here to be committed.
func (m *Member) Committed() (chain.Value, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.committed, m.committed.Seq > 0
}
