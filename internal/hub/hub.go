// Package hub brings to every agent what has to reach all: the configuration, the servers, the
// members. It runs the feed between processes. Machines of the core are hubs: they have sessions
// with each other, every other agent has one with one hub, held open, on which each side sends at
// once what the other lacks. An agent whose hub falls silent, or is cut off from the core, goes on
// with another; what it knows meanwhile stays in force.
package hub

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"chalkdoor.example/chalkdoor/internal/conf"
	"chalkdoor.example/chalkdoor/internal/ev"
	"chalkdoor.example/chalkdoor/internal/event"
	"chalkdoor.example/chalkdoor/internal/feed"
	"chalkdoor.example/chalkdoor/internal/inst"
	"chalkdoor.example/chalkdoor/internal/lease"
	"chalkdoor.example/chalkdoor/internal/pick"
	"chalkdoor.example/chalkdoor/internal/rpc"
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

// Member is what an agent tells of itself.
type Member struct {
	Name    string `msgpack:"n" json:"name"`
	Addr    string `msgpack:"a" json:"addr"` // for calls of other agents
	Zone    string `msgpack:"z" json:"zone"`
	Region  string `msgpack:"r" json:"region"`
	Core    bool   `msgpack:"c" json:"core"`
	Ending  bool   `msgpack:"e" json:"ending"`
	Control string `msgpack:"o" json:"control"`
}

// Config is the newest committed configuration.
type Config struct {
	Seq uint64 `msgpack:"s"`
	Raw []byte `msgpack:"r"`
}

// Snapshot is what the data plane goes by: immutable, always one moment's.
type Snapshot struct {
	Seq    uint64    // of the configuration
	Doc    *conf.Doc // nil before the first
	List   *inst.List
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
	OnNotice func(age time.Duration, n *pick.Notice)
	LinkMbps float64
	Dialer   rpc.Dialer // of sessions; nil: TCP
}

// Hub is the feed of one process.
type Hub struct {
	o     Options
	start time.Time

	mu       sync.Mutex
	set      *feed.Set
	table    *inst.Table
	leases   *lease.Table
	members  map[string]Member // by source
	journal  *ev.Journal[feed.Change]
	sessions map[*session]bool
	changed  chan struct{} // closed and made anew at each change
	seq      uint64
	doc      *conf.Doc
	ended    map[string]time.Duration // that this hub tells
	synced   bool                     // had all of a hub's feed once
	behind   bool                     // was cut off from the core since, and has not had all again
	returnAt time.Duration            // when to try the hubs of the own zone; 0: no need
	granted  map[string]bool          // sources that it holds leases of
	linked   time.Duration            // since when it is of the core and linked; 0: it is not
	attached time.Duration            // since when it has a session with a linked hub; 0: it has none
	left     bool                     // it has said that it ends
	newest   bool                     // the core has been asked for the newest configuration
	homeless []string                 // hubs that others named
	last     Snapshot
	shared   sharedMessage // the last long configuration, as it was sent
	limit    *rate.Limiter // of the bytes that notices make others take
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
		limit: rate.NewLimiter(0, 100*noticeBytes), journal: ev.New[feed.Change](keepEvents), fullReports: rate.Sometimes{Interval: fullReportEvery}}
	h.set = feed.NewSet(h.newSource())
	h.table = inst.NewTable(h.set.Self(), o.Beat)
	h.journal.View(h.fold)
	h.journal.Slim(func(c feed.Change) feed.Change {
		if len(c.Item.Data) > keepData {
			c.Item.Data = nil
		}
		return c
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tellSelf()
	h.restore()
	return h
}

// saved is the list of servers on disk.
type saved struct {
	Format  int              `msgpack:"f"`
	Servers []*inst.Instance `msgpack:"s"`
}

const savedFormat = 1

// restore goes by the servers that an earlier life knew until their next beats are due: after a
// loss of everything requests need not wait for them. Each is sent to by its id, so that another
// one at its address takes nothing.
func (h *Hub) restore() {
	var s saved
	if len(h.o.Saved) == 0 || msgpack.Unmarshal(h.o.Saved, &s) != nil || s.Format != savedFormat {
		return
	}
	for _, in := range s.Servers {
		if in == nil || !in.Sound() || in.State != inst.Ready {
			continue
		}
		if h.table.Restore(h.now(), in) {
			h.tell(instPrefix+in.ID, encode(in))
		}
	}
	event.Restored.Log("servers", len(s.Servers))
}

// save keeps the list on disk as it changes, at most once in a while.
func (h *Hub) save(ctx context.Context) {
	tick := time.NewTicker(saveEvery)
	defer tick.Stop()
	done := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h.mu.Lock()
		l, synced := h.table.List(), h.synced
		h.mu.Unlock()
		if !synced || l.Version == done || len(l.ByID) == 0 {
			continue
		}
		s := saved{Format: savedFormat}
		for _, in := range l.ByID {
			s.Servers = append(s.Servers, in)
		}
		slices.SortFunc(s.Servers, func(a, b *inst.Instance) int { return cmp.Compare(a.ID, b.ID) })
		if err := h.o.Save(encode(&s)); err == nil { // a disk in trouble: the next time
			done = l.Version
		}
	}
}

func (h *Hub) newSource() string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // never fails
	return h.o.Self.Name + "/" + hex.EncodeToString(b[:])
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

// tell changes an item of the own source. The lock is held, as in all that follow.
func (h *Hub) tell(key string, data []byte) uint64 {
	ver := h.set.Put(key, data)
	h.journal.Append(feed.Change{Source: h.set.Self(), Item: feed.Item{Key: key, Ver: ver, Data: data}})
	h.wake()
	return ver
}

func (h *Hub) tellSelf() { h.tell(memberKey, encode(&h.o.Self)) }

func (h *Hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// fold has the views take one change of the feed.
func (h *Hub) fold(_ uint64, c feed.Change) {
	now, key, data := h.now(), c.Item.Key, c.Item.Data
	if c.Source == configSource {
		if key == configKey {
			h.foldConfig(c.Item)
		}
		return
	}
	own := c.Source == h.set.Self()
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
			h.table.Untell(now, c.Source, id)
			return
		}
		in := new(inst.Instance)
		if err := msgpack.Unmarshal(data, in); err == nil && in.ID == id && in.Sound() {
			if !h.table.Tell(now, c.Source, in) {
				h.reportFull(id)
			}
		}
	case strings.HasPrefix(key, leasePrefix):
		switch agent := key[len(leasePrefix):]; {
		case !isAgent(agent):
		case h.set.Dropped(agent):
			if data != nil && !own {
				h.tellEnd(agent) // who granted it doesn't know
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
			h.tellEnd(source) // it has said so itself, and its own words end with it
		}
	}
}

func (h *Hub) foldConfig(it feed.Item) {
	var cfg Config
	if err := msgpack.Unmarshal(it.Data, &cfg); err != nil || cfg.Seq <= h.seq || cfg.Seq != it.Ver {
		return
	}
	doc, err := conf.Parse(cfg.Raw)
	if err != nil {
		event.ConfigBad.Error(err, "seq", cfg.Seq)
		return
	}
	h.seq, h.doc = cfg.Seq, doc
	event.ConfigInForce.Log("seq", cfg.Seq, "revision", doc.Revision)
}

// isAgent tells whether a source is an agent's.
func isAgent(source string) bool { return source != "" && source != configSource }

// end drops a source that a hub has ended. If it is the own one, this agent was taken for gone
// and goes on as a new life.
func (h *Hub) end(source string) {
	now := h.now()
	if source == h.set.Self() {
		if !h.left {
			h.rebase()
		}
		return
	}
	if h.set.Dropped(source) {
		return
	}
	h.set.Drop(source)
	h.leases.End(now, source)
	delete(h.members, source)
	h.table.Ended(now, source)
	for s := range h.sessions {
		delete(s.has, source)
		delete(s.held, source)
		delete(s.unacked, source)
	}
}

// tellEnd tells all that a source has ended; only machines of the core do.
func (h *Hub) tellEnd(source string) {
	if _, told := h.ended[source]; told || !h.o.Self.Core {
		return
	}
	h.ended[source] = h.now()
	h.tell(endPrefix+source, []byte{1})
}

func (h *Hub) rebase() {
	event.OwnLapsed.Log("old", h.set.Self())
	now, old := h.now(), h.set.Self()
	h.set.Rebase(h.newSource())
	h.leases.End(now, old)
	delete(h.members, old)
	h.table.Renamed(now, h.set.Self())
	for agent := range h.granted { // the new life holds them on
		h.leases.Grant(now, agent, h.set.Self())
	}
	for s := range h.sessions {
		s.cancel() // it began with the old name, and what the peer has is of that
		delete(h.sessions, s)
	}
	h.tellSelf()
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
func (h *Hub) apply(deltas []feed.Delta) {
	if len(deltas) == 0 {
		return
	}
	for _, c := range h.set.Apply(deltas) {
		h.journal.Append(c)
	}
	h.publish()
	h.wake()
}

// Commit takes a configuration that the core has committed. Older ones are passed over.
func (h *Hub) Commit(seq uint64, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if seq <= h.set.Has(configSource) {
		return
	}
	h.apply([]feed.Delta{{Source: configSource, From: h.set.Has(configSource), Upto: seq,
		Items: []feed.Item{{Key: configKey, Ver: seq, Data: encode(&Config{seq, raw})}}}})
}

// Newest takes that all configurations up to now have been committed here.
func (h *Hub) Newest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.newest = true
	event.NewestRead.Log("after", h.now()-time.Second)
}

// Beat takes a server's call; in is not to be changed after. A server that says it drains is
// answered once a majority of the core holds that; false: it is not known to, and the server had
// better call another agent. So it had if what it says is out of bounds.
func (h *Hub) Beat(ctx context.Context, in *inst.Instance) bool {
	if !in.Sound() {
		return false
	}
	h.mu.Lock()
	told, err := h.table.Beat(h.now(), in)
	life, ver := h.announceServer(in.ID, told, err)
	h.mu.Unlock()
	if err != nil {
		return false
	}
	return in.State == inst.Ready || h.awaitReplicated(ctx, life, ver)
}

// Leave takes a server's word that it ends, as Beat does.
func (h *Hub) Leave(ctx context.Context, id string) bool {
	if in := (&inst.Instance{ID: id}); !in.Sound() {
		return false
	}
	h.mu.Lock()
	told, err := h.table.Leave(h.now(), id)
	life, ver := h.announceServer(id, told, err)
	h.mu.Unlock()
	return err == nil && h.awaitReplicated(ctx, life, ver)
}

// announceServer tells all what a server's call changed, if anything, and returns the life and the
// version of the own source that has it. The lock is held.
func (h *Hub) announceServer(id string, told *inst.Instance, err error) (life string, version uint64) {
	if err != nil {
		h.reportFull(id)
	}
	if told != nil {
		h.tell(instPrefix+id, encode(told))
		h.publish()
	}
	return h.set.Self(), h.set.Own()
}

// reportFull logs now and then that a server found no room.
func (h *Hub) reportFull(id string) {
	h.fullReports.Do(func() { event.ServersFull.Log("id", id) })
}

// Ending tells the others that this agent is about to end.
func (h *Hub) Ending() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.o.Self.Ending = true
	h.tellSelf()
}

// Bye tells that it ends now; it waits until a hub knows, which tells the others.
func (h *Hub) Bye(ctx context.Context) {
	h.mu.Lock()
	h.left = true
	life := h.set.Self()
	ver := h.tell(endPrefix+life, []byte{1})
	h.mu.Unlock()
	h.awaitReceived(ctx, life, ver)
}

// Others are the agents' addresses of other members that are not ending, core or not.
func (h *Hub) Others(core bool) []Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Member
	for source, m := range h.members {
		if source != h.set.Self() && !m.Ending && (!core || m.Core) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Report is what this process knows, for operators.
type Report struct {
	Source   string          `json:"source"`
	Fresh    bool            `json:"fresh"`
	Seq      uint64          `json:"config-seq"`
	Revision int64           `json:"revision"`
	Members  []MemberReport  `json:"members"`
	Servers  []inst.View     `json:"servers"`
	Sessions []SessionReport `json:"sessions"`
}

// MemberReport is one member; Held: someone holds a lease of it.
type MemberReport struct {
	Member
	Source string `json:"source"`
	Held   bool   `json:"held"`
	Self   bool   `json:"self"`
}

// SessionReport is one session; Age is since it said something.
type SessionReport struct {
	Peer   string        `json:"peer"`
	Linked bool          `json:"linked"`
	Age    time.Duration `json:"age"`
}

// Report tells what this process knows.
func (h *Hub) Report() Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	r := Report{Source: h.set.Self(), Fresh: h.synced, Seq: h.seq, Servers: h.table.Views(now)}
	if h.doc != nil {
		r.Revision = h.doc.Revision
	}
	for source, m := range h.members {
		r.Members = append(r.Members, MemberReport{m, source, h.leases.Held(source), source == h.set.Self()})
	}
	slices.SortFunc(r.Members, func(a, b MemberReport) int { return cmp.Compare(a.Name, b.Name) })
	for s := range h.sessions {
		r.Sessions = append(r.Sessions, SessionReport{s.peer, s.linked, now - s.heard})
	}
	slices.SortFunc(r.Sessions, func(a, b SessionReport) int { return cmp.Compare(a.Peer, b.Peer) })
	return r
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
		h.tellSelf()
	}
	tell, untell := h.table.Tick(now)
	for _, in := range tell {
		event.ServerSilent.Log("id", in.ID)
		h.tell(instPrefix+in.ID, encode(in))
	}
	for _, id := range untell {
		h.tell(instPrefix+id, nil)
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
	if core && linked && !h.hasAll() && h.newest && (now-h.linked > aloneFor && !h.beingTold() || h.alone(hubs)) {
		// Nobody who could know more has shown up: the whole core has just started, or joined again.
		if !h.synced {
			event.SyncedAlone.Log("config", h.seq, "linked", now-h.linked)
		}
		h.synced, h.behind = true, false
		h.wake()
	}
	h.grant(core)
	h.lapse(now, core)
	for source, at := range h.ended {
		if now-at > endedFor {
			delete(h.ended, source)
			h.tell(endPrefix+source, nil)
		}
	}
	if h.set.Stale() {
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

// lapse ends sources that nobody holds a lease of. A machine of the core does so for all, once it
// has been linked for as long as a lease lasts: before, it may not have heard of leases that others
// hold. Another agent drops for itself what the core must have ended while it could not hear it.
func (h *Hub) lapse(now time.Duration, core bool) {
	lapsed := h.leases.Lapsed(now)
	tells := core && h.linked > 0 && now-h.linked > leaseLasts
	if !tells && (core || h.attached == 0 || now-h.attached <= 2*leaseLasts) {
		return
	}
	here := map[string]bool{h.set.Self(): true}
	for s := range h.sessions {
		here[s.source] = true
	}
	for _, source := range lapsed {
		if here[source] {
			continue
		}
		event.Lapsed.Log("source", source)
		if tells {
			h.tellEnd(source)
		}
		h.end(source)
	}
}

// hasAll tells whether this process has had all that a hub knows, and was not cut off from the core
// since.
func (h *Hub) hasAll() bool { return h.synced && !h.behind }

// beingTold tells whether a machine of the core is still sending its first deltas.
func (h *Hub) beingTold() bool {
	for s := range h.sessions {
		if s.core && !s.said {
			return true
		}
	}
	return false
}

// alone tells whether all other machines of the core are here, and none of them knows all either:
// then there is nobody who does.
func (h *Hub) alone(hubs []Peer) bool {
	full := map[string]bool{}
	for s := range h.sessions {
		if s.said {
			full[s.peer] = full[s.peer] || s.full
		}
	}
	for _, p := range hubs {
		if known, ok := full[p.Addr]; p.Addr != h.o.Self.Addr && (!ok || known) {
			return false
		}
	}
	return true
}

// grant tells whose leases this machine of the core holds: of all that it has a session with. Its
// own others hold: it would outlive it.
func (h *Hub) grant(core bool) {
	held := map[string]bool{}
	for s := range h.sessions {
		if core && !h.set.Dropped(s.source) {
			held[s.source] = true
		}
	}
	for source := range held {
		if !h.granted[source] {
			h.granted[source] = true
			h.tell(leasePrefix+source, []byte{1})
		}
	}
	for source := range h.granted {
		if !held[source] {
			delete(h.granted, source)
			h.tell(leasePrefix+source, nil)
		}
	}
}

// order ranks hubs for an agent: those of its zone first, then spread by hash.
func (h *Hub) order(peers []Peer) []string {
	rank := func(p Peer) uint32 {
		f := fnv.New32a()
		f.Write([]byte(h.o.Self.Addr + "|" + p.Addr))
		x := f.Sum32() >> 1
		if p.Zone != h.o.Self.Zone {
			x |= 1 << 31
		}
		return x
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(rank(a), rank(b)) })
	out := make([]string, len(peers))
	for i, p := range peers {
		out[i] = p.Addr
	}
	return out
}

// Declare adds the feed's calls to a table.
func (h *Hub) Declare(t *rpc.Table) { rpc.Streaming(t, "feed.session", h.answer) }
