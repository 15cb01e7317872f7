// Package relay brings to every agent what has to reach all: the configuration, the servers, the
// members. It runs the feed between processes. Machines of the core are hubs: they have sessions
// with each other, every other agent has one with one hub, held open, on which each side sends at
// once what the other lacks. An agent whose hub falls silent, or is cut off from the core, goes on
// with another; what it knows meanwhile stays in force.
package relay

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/config"
	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/eventlog"
	"chalkdoor.example/chalkdoor/internal/fleet/lease"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	// heartbeat is how often a session says something; it is over after silence in which no byte came.
	heartbeat, silence = 300 * time.Millisecond, time.Second
	// tickEvery is how often silence and leases are looked at.
	tickEvery = 200 * time.Millisecond
	// leaseLasts is how long a lease lasts after its last renewal.
	leaseLasts = 2500 * time.Millisecond
	// aloneFor is after how long with a majority of the core a machine of it that met no hub which
	// knows all goes by what it has: longer than sessions take to come up.
	aloneFor = 700 * time.Millisecond
	// saveEvery is how often the list is kept on disk, if it changed.
	saveEvery = time.Second
	// endedFor is how long a hub tells that a source has ended.
	endedFor = 60 * time.Second
	// keepEvents is how many events of the feed are kept for operators.
	keepEvents = 256
	// fullReportEvery is how often it is logged that the list of servers is full.
	fullReportEvery = 10 * time.Second
	// maxSessions bounds the sessions of a process.
	maxSessions = 1024
	// maxMember bounds what an agent tells of itself, keepData what is kept of a change for operators.
	maxMember, keepData = 8 << 10, 4 << 10

	configSource, configKey = "config", "c"
	memberKey               = "m"
	instPrefix, leasePrefix = "i/", "l/"
	endPrefix               = "e/"
)

// Core is what the hub asks of the core's view.
type Core interface {
	IsCore() bool // this process is a member of the core
	Linked() bool // and in contact with a majority of it
	Hubs() []Peer // the machines of the core, as far as known
}

// Peer is a machine of the core.
type Peer struct{ Addr, Zone string }

// Snapshot is what the data plane goes by: immutable, always one moment's.
type Snapshot struct {
	Seq    uint64      // of the configuration
	Doc    *config.Doc // nil before the first
	List   *registry.List
	Agents int  // members, at least this one
	Fresh  bool // this process has had all that a hub knows
}

// Options are what a Hub needs.
type Options struct {
	Self     Member
	Beat     time.Duration
	Core     Core
	Seeds    func() []string // agents' addresses of the seeds
	OnChange func(*Snapshot) // called under the hub's lock, in order: short
	// Save keeps the list of servers on the machine's disk, if it has one, and Saved is what an
	// earlier life kept. Both may be nil.
	Save  func([]byte) error
	Saved []byte
	// OnNotice takes a notice of another agent, of that age: see Notify. It is called under the
	// hub's lock and may be nil. LinkMbps is the machine's link.
	OnNotice func(age time.Duration, n *balancer.Notice)
	LinkMbps float64
	Dialer   rpc.Dialer // of sessions; nil: TCP
}

// Hub is the feed of one process.
type Hub struct {
	o     Options
	start time.Time

	mu        sync.Mutex
	set       *deltasync.Store
	table     *registry.Table
	leases    *lease.Table
	members   map[string]Member // by source
	journal   *eventlog.Journal[deltasync.Change]
	sessions  map[*session]bool
	changed   chan struct{} // closed and made anew at each change
	seq       uint64
	doc       *config.Doc
	ended     map[string]time.Duration // that this hub tells
	synced    bool                     // had all of a hub's feed once
	behind    bool                     // was cut off from the core since, and has not had all again
	returnAt  time.Duration            // when to try the hubs of the own zone; 0: no need
	granted   map[string]bool          // sources that it holds leases of
	linked    time.Duration            // since when it is of the core and linked; 0: it is not
	attached  time.Duration            // since when it has a session with a linked hub; 0: it has none
	leaving   bool                     // it has said that it ends
	newest    bool                     // the core has been asked for the newest configuration
	redirects []string                 // hubs that others named
	last      Snapshot
	shared    sharedMessage // the last long configuration, as it was sent
	limit     *rate.Limiter // of the bytes that notices make others take
	// fullReports bounds how often a full list is logged.
	fullReports rate.Sometimes
}

// New returns a hub of a new life.
func New(o Options) *Hub {
	if o.Dialer == nil {
		o.Dialer = rpc.TCP{}
	}
	h := &Hub{o: o, start: time.Now(), members: map[string]Member{}, sessions: map[*session]bool{},
		changed: make(chan struct{}), ended: map[string]time.Duration{}, granted: map[string]bool{}, leases: lease.New(leaseLasts),
		limit: rate.NewLimiter(0, 100*noticeBytes), journal: eventlog.New[deltasync.Change](keepEvents), fullReports: rate.Sometimes{Interval: fullReportEvery}}
	h.set = deltasync.NewStore(h.newSource())
	h.table = registry.NewTable(h.set.OwnSource(), o.Beat)
	h.journal.View(h.fold)
	h.journal.Slim(func(c deltasync.Change) deltasync.Change {
		if len(c.Item.Data) > keepData {
			c.Item.Data = nil
		}
		return c
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announceSelf()
	h.restore()
	return h
}

// now is the steady clock, above zero.
func (h *Hub) now() time.Duration { return time.Since(h.start) + time.Second }

func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic("hub: " + err.Error()) // plain structures of this package
	}
	return b
}

// announce changes an item of the own source, which reaches all. The lock is held, as in all that follow.
func (h *Hub) announce(key string, data []byte) uint64 {
	ver := h.set.Put(key, data)
	h.journal.Append(deltasync.Change{Source: h.set.OwnSource(), Item: deltasync.Item{Key: key, Ver: ver, Data: data}})
	h.wake()
	return ver
}

func (h *Hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// fold has the views take one change of the feed.
func (h *Hub) fold(_ uint64, c deltasync.Change) {
	now, key, data := h.now(), c.Item.Key, c.Item.Data
	if c.Source == configSource {
		if key == configKey {
			h.foldConfig(c.Item)
		}
		return
	}
	own := c.Source == h.set.OwnSource()
	h.leases.See(now, c.Source)
	switch {
	case key == memberKey:
		var m Member
		if len(data) <= maxMember && msgpack.Unmarshal(data, &m) == nil {
			h.members[c.Source] = m
		}
	case strings.HasPrefix(key, instPrefix) && !own: // the own ones the table knows already
		id := key[len(instPrefix):]
		if data == nil {
			h.table.Withdraw(now, c.Source, id)
			return
		}
		in := new(registry.Instance)
		if err := msgpack.Unmarshal(data, in); err == nil && in.ID == id && in.Valid() {
			if !h.table.Report(now, c.Source, in) {
				h.reportFull(id)
			}
		}
	case strings.HasPrefix(key, leasePrefix):
		switch agent := key[len(leasePrefix):]; {
		case !isAgent(agent):
		case h.set.Ended(agent):
			if data != nil && !own {
				h.announceEnd(agent) // who granted it doesn't know
			}
		case data == nil:
			h.leases.Release(now, agent, c.Source)
		default:
			h.leases.Grant(now, agent, c.Source)
		}
	case strings.HasPrefix(key, endPrefix) && data != nil:
		source := key[len(endPrefix):]
		if !isAgent(source) || own && source == c.Source { // see Bye
			return
		}
		h.end(source)
		if source == c.Source {
			h.announceEnd(source) // it has said so itself, and its own words end with it
		}
	}
}

// publish gives the data plane the newest of all, if that is new to it.
func (h *Hub) publish() {
	next := Snapshot{Seq: h.seq, Doc: h.doc, List: h.table.List(), Agents: max(len(h.members), 1), Fresh: h.synced}
	if next != h.last {
		h.last = next
		h.o.OnChange(&next)
	}
}

// apply takes what a peer sent.
func (h *Hub) apply(deltas []deltasync.Delta) {
	if len(deltas) == 0 {
		return
	}
	for _, c := range h.set.Apply(deltas) {
		h.journal.Append(c)
	}
	h.publish()
	h.wake()
}

// Run keeps sessions and looks at leases and silence, until ctx ends.
func (h *Hub) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { h.dial(ctx) })
	if h.o.Save != nil {
		wg.Go(func() { h.save(ctx) })
	}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			h.tick()
		}
	}
}

func (h *Hub) tick() {
	core, linked, hubs := h.o.Core.IsCore(), h.o.Core.Linked(), h.o.Core.Hubs()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if core != h.o.Self.Core {
		h.o.Self.Core = core
		h.announceSelf()
	}
	tell, untell := h.table.Tick(now)
	for _, in := range tell {
		logevent.ServerSilent.Log("id", in.ID)
		h.announce(instPrefix+in.ID, encode(in))
	}
	for _, id := range untell {
		h.announce(instPrefix+id, nil)
	}
	attached := false
	for s := range h.sessions {
		if s.expired(now) {
			s.cancel()
		}
		attached = attached || s.core && s.linked
	}
	h.dropShared(now)
	since(&h.linked, now, core && linked)
	since(&h.attached, now, attached)
	if core && !linked {
		h.behind = true
	}
	if core && linked && !h.hasAll() && h.newest && (now-h.linked > aloneFor && !h.awaitingDeltas() || h.alone(hubs)) {
		// Nobody who could know more has shown up: the whole core has just started, or joined again.
		if !h.synced {
			logevent.SyncedAlone.Log("config", h.seq, "linked", now-h.linked)
		}
		h.synced, h.behind = true, false
		h.wake()
	}
	h.grant(core)
	h.lapse(now, core)
	for source, at := range h.ended {
		if now-at > endedFor {
			delete(h.ended, source)
			h.announce(endPrefix+source, nil)
		}
	}
	if h.set.NeedsCompaction() {
		h.rebase()
	}
	h.publish()
}

// since keeps in at since when something is so; 0: it isn't.
func since(at *time.Duration, now time.Duration, is bool) {
	if !is {
		*at = 0
	} else if *at == 0 {
		*at = now
	}
}

// Declare adds the feed's calls to a table.
func (h *Hub) Declare(t *rpc.Table) { rpc.Streaming(t, "feed.session", h.answer) }
