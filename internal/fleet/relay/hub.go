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
	// heartbeatInterval is how often a session says something; it is over after silence in which no byte came.
	heartbeatInterval, sessionTimeout = 300 * time.Millisecond, time.Second
	// tickInterval is how often silence and leases are looked at.
	tickInterval = 200 * time.Millisecond
	// leaseDuration is how long a lease lasts after its last renewal.
	leaseDuration = 2500 * time.Millisecond
	// sourceExpiry is how long nobody has held a lease of a source that an agent outside of the core drops, and
	// how long a relay with a quorum has been sending it messages meanwhile.
	sourceExpiry = 2 * leaseDuration
	// selfStartDelay is after how long with a majority of the core a machine of it that met no hub which
	// knows all goes by what it has: longer than sessions take to come up.
	selfStartDelay = 700 * time.Millisecond
	// saveInterval is how often the list is kept on disk, if it changed.
	saveInterval = time.Second
	// endRetention is how long a hub tells that a source has ended.
	endRetention = 60 * time.Second
	// changeLogSize is how many events of the feed are kept for operators.
	changeLogSize = 256
	// tableFullLogInterval is how often it is logged that the list of servers is full.
	tableFullLogInterval = 10 * time.Second
	// maxSessions bounds the sessions of a process.
	maxSessions = 1024
	// maxMemberBytes bounds what an agent tells of itself, maxLoggedBytes what is kept of a change for operators.
	maxMemberBytes, maxLoggedBytes = 8 << 10, 4 << 10

	configSource, configKey   = "config", "c"
	memberKey                 = "m"
	serverPrefix, leasePrefix = "i/", "l/"
	endPrefix                 = "e/"
)

// Core is what the hub asks of the core's view.
type Core interface {
	IsMember() bool  // this process is a member of the core
	HasQuorum() bool // and in contact with a majority of it
	Members() []Peer // the machines of the core, as far as known
}

// Peer is a machine of the core.
type Peer struct {
	Addr string `msgpack:"Addr"`
	Zone string `msgpack:"Zone"`
}

// Snapshot is what the data plane goes by: immutable, always one moment's.
type Snapshot struct {
	ConfigSeq uint64           // of the configuration
	Config    *config.Document // nil before the first
	Servers   *registry.List
	Agents    int  // members, at least this one
	Synced    bool // this process has had all that a hub knows
}

// Options are what a Hub needs.
type Options struct {
	Self              Member
	HeartbeatInterval time.Duration
	Core              Core
	SeedAddrs         func() []string // agents' addresses of the seeds
	OnChange          func(*Snapshot) // called under the hub's lock, in order: short
	// SaveServers keeps the list of servers on the machine's disk, if it has one, and Saved is what an
	// earlier life kept. Both may be nil.
	SaveServers  func([]byte) error
	SavedServers []byte
	// OnNotice takes a notice of another agent, of that age: see Notify. It is called under the
	// hub's lock and may be nil. LinkMbps is the machine's link.
	OnNotice func(age time.Duration, n *balancer.PrefillNotice)
	LinkMbps float64
	Dialer   rpc.Dialer // of sessions; nil: TCP
}

// Node is the feed of one process.
type Node struct {
	options   Options
	startTime time.Time

	mu                  sync.Mutex
	items               *deltasync.Store
	servers             *registry.Table
	leases              *lease.Table
	members             map[string]Member // by source
	changeLog           *eventlog.Journal[deltasync.Change]
	sessions            map[*session]bool
	changed             chan struct{} // closed and made anew at each change
	configSeq           uint64
	config              *config.Document
	publishedEnds       map[string]time.Duration // that this hub tells
	synced              bool                     // had all of a hub's feed once
	stale               bool                     // was cut off from the core since, and has not had all again
	nextHomeZoneAttempt time.Duration            // when to try the hubs of the own zone; 0: no need
	grantedLeases       map[string]bool          // sources that it holds leases of
	quorumSince         time.Duration            // since when it is of the core and linked; 0: it is not
	attachedSince       time.Duration            // since when a relay with a quorum has been sending it messages; 0: none has
	departing           bool                     // it has said that it ends
	configCurrent       bool                     // the core has been asked for the newest configuration
	redirectAddrs       []string                 // hubs that others named
	published           Snapshot
	configCache         configCache   // the last long configuration, as it was sent
	noticeLimiter       *rate.Limiter // of the bytes that notices make others take
	// tableFullLog bounds how often a full list is logged.
	tableFullLog rate.Sometimes
}

// New returns a hub of a new life.
func New(o Options) *Node {
	if o.Dialer == nil {
		o.Dialer = rpc.TCPDialer{}
	}
	h := &Node{options: o, startTime: time.Now(), members: map[string]Member{}, sessions: map[*session]bool{},
		changed: make(chan struct{}), publishedEnds: map[string]time.Duration{}, grantedLeases: map[string]bool{}, leases: lease.New(leaseDuration),
		noticeLimiter: rate.NewLimiter(0, 100*noticeSize), changeLog: eventlog.New[deltasync.Change](changeLogSize), tableFullLog: rate.Sometimes{Interval: tableFullLogInterval}}
	h.items = deltasync.NewStore(h.newSourceName())
	h.servers = registry.NewTable(h.items.OwnSource(), o.HeartbeatInterval)
	h.changeLog.Subscribe(h.applyChangeLocked)
	h.changeLog.SetCompaction(func(c deltasync.Change) deltasync.Change {
		if len(c.Item.Data) > maxLoggedBytes {
			c.Item.Data = nil
		}
		return c
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publishMemberLocked()
	h.restoreServersLocked()
	return h
}

// now is the steady clock, above zero.
func (h *Node) now() time.Duration { return time.Since(h.startTime) + time.Second }

func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic("hub: " + err.Error()) // plain structures of this package
	}
	return b
}

// publishItemLocked changes an item of the own source, which reaches all. The lock is held, as in all that follow.
func (h *Node) publishItemLocked(key string, data []byte) uint64 {
	ver := h.items.Put(key, data)
	h.changeLog.Append(deltasync.Change{Source: h.items.OwnSource(), Item: deltasync.Item{Key: key, Version: ver, Data: data}})
	h.notifyWaitersLocked()
	return ver
}

func (h *Node) notifyWaitersLocked() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// applyChangeLocked has the views take one change of the feed.
func (h *Node) applyChangeLocked(_ uint64, c deltasync.Change) {
	now, key, data := h.now(), c.Item.Key, c.Item.Data
	if c.Source == configSource {
		if key == configKey {
			h.applyConfigItemLocked(c.Item)
		}
		return
	}
	own := c.Source == h.items.OwnSource()
	h.leases.Observe(now, c.Source)
	switch {
	case key == memberKey:
		var m Member
		if len(data) <= maxMemberBytes && msgpack.Unmarshal(data, &m) == nil {
			h.members[c.Source] = m
		}
	case strings.HasPrefix(key, serverPrefix) && !own: // the own ones the table knows already
		id := key[len(serverPrefix):]
		if data == nil {
			h.servers.Withdraw(now, c.Source, id)
			return
		}
		in := new(registry.Instance)
		if err := msgpack.Unmarshal(data, in); err == nil && in.ID == id && in.Valid() {
			if !h.servers.Report(now, c.Source, in) {
				h.logTableFull(id)
			}
		}
	case strings.HasPrefix(key, leasePrefix):
		switch agent := key[len(leasePrefix):]; {
		case !isAgentSource(agent):
		case h.items.Ended(agent):
			if data != nil && !own {
				h.publishEndLocked(agent) // who granted it doesn't know
			}
		case data == nil:
			h.leases.Revoke(now, agent, c.Source)
		default:
			h.leases.Grant(now, agent, c.Source)
		}
	case strings.HasPrefix(key, endPrefix) && data != nil:
		source := key[len(endPrefix):]
		if !isAgentSource(source) || own && source == c.Source { // see Bye
			return
		}
		h.endSourceLocked(source)
		if source == c.Source {
			h.publishEndLocked(source) // it has said so itself, and its own words end with it
		}
	}
}

// publishSnapshotLocked gives the data plane the newest of all, if that is new to it.
func (h *Node) publishSnapshotLocked() {
	next := Snapshot{ConfigSeq: h.configSeq, Config: h.config, Servers: h.servers.List(), Agents: max(len(h.members), 1), Synced: h.synced}
	if next != h.published {
		h.published = next
		h.options.OnChange(&next)
	}
}

// applyDeltasLocked takes what a peer sent.
func (h *Node) applyDeltasLocked(deltas []deltasync.Delta) {
	if len(deltas) == 0 {
		return
	}
	for _, c := range h.items.Apply(deltas) {
		h.changeLog.Append(c)
	}
	h.publishSnapshotLocked()
	h.notifyWaitersLocked()
}

// Run keeps sessions and looks at leases and silence, until ctx ends.
func (h *Node) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { h.dialLoop(ctx) })
	if h.options.SaveServers != nil {
		wg.Go(func() { h.saveServers(ctx) })
	}
	tick := time.NewTicker(tickInterval)
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

func (h *Node) tick() {
	core, linked, hubs := h.options.Core.IsMember(), h.options.Core.HasQuorum(), h.options.Core.Members()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if core != h.options.Self.IsCore {
		h.options.Self.IsCore = core
		h.publishMemberLocked()
	}
	tell, untell := h.servers.Tick(now)
	for _, in := range tell {
		logevent.ServerTimedOut.Log("id", in.ID)
		h.publishItemLocked(serverPrefix+in.ID, encode(in))
	}
	for _, id := range untell {
		h.publishItemLocked(serverPrefix+id, nil)
	}
	attached := false
	for s := range h.sessions {
		if s.timedOut(now) {
			s.cancel()
		}
		attached = attached || s.peerIsCore && s.peerHasQuorum && now-s.lastMessage <= sessionTimeout
	}
	h.expireEncodedConfigLocked(now)
	updateSince(&h.quorumSince, now, core && linked)
	updateSince(&h.attachedSince, now, attached)
	if core && !linked {
		h.stale = true
	}
	if core && linked && !h.isCompleteLocked() && h.configCurrent && (now-h.quorumSince > selfStartDelay && !h.awaitingInitialSyncLocked() || h.wholeCoreUnsyncedLocked(hubs)) {
		// Nobody who could know more has shown up: the whole core has just started, or joined again.
		if !h.synced {
			logevent.SyncedAfterFullRestart.Log("config", h.configSeq, "linked", now-h.quorumSince)
		}
		h.synced, h.stale = true, false
		h.notifyWaitersLocked()
	}
	h.updateGrantedLeasesLocked(core)
	h.expireLeasesLocked(now, core)
	for source, at := range h.publishedEnds {
		if now-at > endRetention {
			delete(h.publishedEnds, source)
			h.publishItemLocked(endPrefix+source, nil)
		}
	}
	if h.items.NeedsCompaction() {
		h.startIncarnationLocked()
	}
	h.publishSnapshotLocked()
}

// updateSince keeps in at since when something is so; 0: it isn't.
func updateSince(at *time.Duration, now time.Duration, is bool) {
	if !is {
		*at = 0
	} else if *at == 0 {
		*at = now
	}
}

// RegisterHandlers adds the feed's calls to a table.
func (h *Node) RegisterHandlers(t *rpc.Mux) { rpc.HandleStream(t, "feed.session", h.serveSession) }
