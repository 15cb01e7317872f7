package relay

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/internal/fleet/balancer"
	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/eventlog"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/registry"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

const (
	// tickInterval is the period at which sessions, leases and servers are checked for expiry.
	tickInterval = 200 * time.Millisecond
	// startCheckInterval is the period at which a node that has never been complete checks whether it may
	// declare itself complete, and which members of the core it should dial.
	startCheckInterval = 20 * time.Millisecond
	// startPeriod is how long after its start a node checks at startCheckInterval; after that it checks at
	// the regular intervals.
	startPeriod = 3 * time.Second
	// changeLogSize is the number of changes retained for operators.
	changeLogSize = 256
	// maxLoggedBytes bounds the data that is retained with each of those changes.
	maxLoggedBytes = 4 << 10
	// clockStart is the time that the node's clock shows when the node starts.
	clockStart = time.Second
	// sessionCall is the name of the streaming call that carries a session.
	sessionCall = "feed.session"
)

// Core is what a node needs to know about the core. Its methods are called concurrently and without
// the node's lock.
type Core interface {
	// IsMember reports whether this process is a member of the core.
	IsMember() bool
	// HasQuorum reports whether this process is a member and in contact with a majority.
	HasQuorum() bool
	// Members returns the members of the core as far as they are known.
	Members() []Peer
}

// Peer is a member of the core.
type Peer struct {
	Addr string `msgpack:"Addr"`
	Zone string `msgpack:"Zone"`
}

// Options configure a Node.
type Options struct {
	// Self describes this agent to the others.
	Self Member
	// HeartbeatInterval is the period at which servers send heartbeats.
	HeartbeatInterval time.Duration
	Core              Core
	// SeedAddrs returns the addresses to dial while no member of the core is known.
	SeedAddrs func() []string
	// OnChange receives every new snapshot, in order. It is called with the node's lock held, so it
	// must be short and must not call the node.
	OnChange func(*Snapshot)
	// SaveServers writes the server list to disk. SavedServers is the list that an earlier
	// incarnation wrote. Both are nil on a machine without a disk.
	SaveServers  func([]byte) error
	SavedServers []byte
	// SaveMembers writes the members' addresses to disk. SavedMembers holds the addresses that an
	// earlier incarnation wrote. Both may be nil.
	SaveMembers  func([]byte) error
	SavedMembers []byte
	// OnNotice receives other agents' notices and their age. It is called with the node's lock held
	// and may be nil.
	OnNotice func(age time.Duration, notice *balancer.PrefillNotice)
	// LinkMbps is the capacity of the machine's network link in megabits per second.
	LinkMbps float64
	// OnAttached is called when this process first reaches the core: it has a session with a relay
	// that has a quorum, or is such a relay itself. It is called again each time the core is reached
	// after a loss; lost is how long the core was not reached. It is called with the node's lock held,
	// so it must be short and must not call the node. It may be nil.
	OnAttached func(lost time.Duration)
	// ConfirmConfig returns the sequence number of the newest configuration that the core has
	// acknowledged, as a majority confirmed after the call began. Only members of the core call it.
	// If it is nil, this node sends no questions on the freshness of its configuration and answers none.
	ConfirmConfig func(context.Context) (seq uint64, err error)
	// MemoryBytes is the memory limit of the process, from which the bound of sessions is derived.
	MemoryBytes int64
	// ConfirmInterval is the time between the starts of two confirmations by a member of the core; 0 means
	// DefaultConfirmInterval.
	ConfirmInterval time.Duration
	// AwaitsConfirmation tells that requests wait for the first confirmation. One is begun as soon as an agent
	// asks for the first time, and one that failed is repeated soon. Otherwise confirmations keep to their
	// interval, so that they are no load when the core has too much to do.
	AwaitsConfirmation bool
	// Dialer opens the connections of sessions; nil means TCP.
	Dialer rpc.Dialer
	// Now returns the current time; nil means time.Now. It must be safe for concurrent use.
	Now func() time.Time
}

// Node is one process's endpoint of the replication. Its exported methods are safe for concurrent use;
// methods whose names end in Locked must be called with mu held.
type Node struct {
	options   Options
	startTime time.Time         // by options.Now; never changed
	admission *sessionAdmission // safe for concurrent use

	mu            sync.Mutex // guards all fields below, and the sessions
	items         *deltasync.Store
	servers       *registry.Table
	changeLog     *eventlog.Journal[deltasync.Change]
	config        configState
	members       map[string]Member // by source
	leases        leaseManager
	leasePoll     leasePoll
	attachment    attachment
	memberAddrs   memberAddrs
	ends          endAnnouncements
	departing     bool // whether this node has announced its own end
	readiness     readiness
	freshness     freshness
	sessions      sessionSet
	upstream      upstreamSelector
	configCache   configCache
	initialUpdate initialUpdate
	configHistory configHistory
	// needsWholeConfig is set when a configuration diff could not be applied, until a configuration arrives.
	needsWholeConfig bool
	codec            deltaCodec    // has its own locks: mu need not be held
	noticeLimiter    *rate.Limiter // in bytes that this node's notices cost each receiver
	// forwardedNoticeLimiter limits the notices that a relay forwards for its agents, in the same unit.
	forwardedNoticeLimiter *rate.Limiter
	tableFullLog           rate.Sometimes
	publishedSnapshot      Snapshot
	changed                chan struct{} // closed and replaced at each change
}

// New returns a node with a new incarnation and the servers that an earlier incarnation saved.
func New(options Options) *Node {
	if options.Dialer == nil {
		options.Dialer = rpc.TCPDialer{}
	}
	if options.ConfirmInterval == 0 {
		options.ConfirmInterval = DefaultConfirmInterval
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	n := &Node{
		options:                options,
		startTime:              options.Now(),
		admission:              newSessionAdmission(options.MemoryBytes),
		changeLog:              eventlog.New[deltasync.Change](changeLogSize),
		members:                map[string]Member{},
		leases:                 newLeaseManager(),
		ends:                   endAnnouncements{},
		codec:                  newDeltaCodec(),
		sessions:               sessionSet{},
		noticeLimiter:          newNoticeLimiter(),
		forwardedNoticeLimiter: newNoticeLimiter(),
		tableFullLog:           rate.Sometimes{Interval: tableFullLogInterval},
		changed:                make(chan struct{}),
		freshness:              freshness{enabled: options.ConfirmConfig != nil, confirmWake: make(chan struct{}, 1)},
	}
	n.attachment = newAttachment(n.now())
	n.memberAddrs = memberAddrs{lastSeen: map[string]time.Duration{}}
	n.memberAddrs.restore(n.now(), options.SavedMembers)
	n.items = deltasync.NewStore(n.newSourceName())
	n.servers = registry.NewTable(n.items.OwnSource(), options.HeartbeatInterval)
	n.changeLog.Subscribe(n.applyChangeLocked)
	n.changeLog.SetCompaction(withoutLargeData)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publishMemberLocked()
	n.restoreServersLocked()
	return n
}

// withoutLargeData returns a change without its data if the data is too large to be retained for operators.
func withoutLargeData(change deltasync.Change) deltasync.Change {
	if len(change.Item.Data) > maxLoggedBytes {
		change.Item.Data = nil
	}
	return change
}

// RegisterHandlers registers the handlers of the calls that a node serves.
func (n *Node) RegisterHandlers(mux *rpc.Mux) { rpc.HandleStream(mux, sessionCall, n.serveSession) }

// Run maintains the sessions, the leases and the saved server list until ctx ends. It returns nil.
func (n *Node) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { n.dialLoop(ctx) })
	wg.Go(func() { n.startLoop(ctx) })
	if n.options.SaveServers != nil {
		wg.Go(func() { n.saveLoop(ctx) })
	}
	if n.options.ConfirmConfig != nil {
		wg.Go(func() { n.confirmLoop(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.tick()
		}
	}
}

// tick expires sessions, leases and servers that have timed out, and publishes the resulting changes.
func (n *Node) tick() {
	isMember, hasQuorum, members := n.options.Core.IsMember(), n.options.Core.HasQuorum(), n.options.Core.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.observeMembershipLocked(isMember)
	n.expireServersLocked(now, !n.attachment.reachesCore(now))
	n.sessions.closeTimedOut(now)
	n.configCache.expire(now)
	n.initialUpdate.expire(now)
	n.leases.observeAttachment(now, n.sessions.hasResponsiveRelay(now))
	n.observeAttachmentLocked(now, isMember && hasQuorum, members)
	n.observeMemberAddrsLocked(now, isMember)
	n.readiness.observeCore(now, isMember, hasQuorum)
	n.selfStartLocked(now, members)
	n.updateGrantedLeasesLocked(isMember)
	n.leases.ObserveRoots(now, n.leaseRootsLocked())
	n.expireLeasesLocked(now, isMember, members)
	n.withdrawOldEndsLocked(now)
	if n.items.NeedsCompaction() {
		n.startIncarnationLocked()
	}
	n.publishSnapshotLocked()
}

// observeMembershipLocked publishes whether this process is a member of the core if that has changed.
func (n *Node) observeMembershipLocked(isMember bool) {
	if isMember != n.options.Self.IsCore {
		n.options.Self.IsCore = isMember
		n.publishMemberLocked()
	}
}

// startLoop checks at short intervals whether this node may declare itself complete, because after a power
// loss of the whole fleet every agent waits for the first member of the core that does. It returns when this
// node is complete for the first time, when startPeriod is over or when ctx ends; from then on, tick checks.
func (n *Node) startLoop(ctx context.Context) {
	ticker := time.NewTicker(startCheckInterval)
	defer ticker.Stop()
	for n.isStarting() && !n.checkStart() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isStarting reports whether this node started less than startPeriod ago.
func (n *Node) isStarting() bool { return n.now()-clockStart < startPeriod }

// checkStart declares this node complete if it may, and reports whether it has ever been complete.
func (n *Node) checkStart() bool {
	isMember, hasQuorum, members := n.options.Core.IsMember(), n.options.Core.HasQuorum(), n.options.Core.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observeMembershipLocked(isMember)
	if n.readiness.synced {
		return true
	}
	now := n.now()
	n.readiness.observeCore(now, isMember, hasQuorum)
	n.selfStartLocked(now, members)
	if n.readiness.synced {
		n.publishSnapshotLocked()
	}
	return n.readiness.synced
}

// selfStartLocked declares this node complete if no other node can make it complete: the whole core has
// just started, or all of its members have lost their quorum.
func (n *Node) selfStartLocked(now time.Duration, members []Peer) {
	r := &n.readiness
	if !r.maySelfStart() {
		return
	}
	isDelayOver := now-r.quorumSince > selfStartDelay && !n.sessions.awaitingInitialSync()
	if !isDelayOver && !n.sessions.wholeCoreIncomplete(n.options.Self.Addr, members) {
		return
	}
	if isFirst := r.markComplete(); isFirst {
		logevent.SyncedAfterFullRestart.Log("config", n.config.seq, "linked", now-r.quorumSince)
	}
	n.notifyWaitersLocked()
}

// now returns the time on the node's monotonic clock, which is always above zero.
func (n *Node) now() time.Duration { return n.options.Now().Sub(n.startTime) + clockStart }

// notifyWaitersLocked wakes all goroutines that wait on changed.
func (n *Node) notifyWaitersLocked() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// encode returns the msgpack encoding of one of this package's messages or items.
func encode(v any) []byte {
	encoded, err := msgpack.Marshal(v)
	if err != nil {
		panic("relay: encode: " + err.Error()) // only plain structs of this package come here
	}
	return encoded
}
