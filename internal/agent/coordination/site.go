package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent"
	"chalkdoor.example/chalkdoor/internal/agent/consensus"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/internal/agent/supervisor"
)

// siteSize bounds what waits for the site's task; most of it merges.
const siteSize = 512

// newsMost bounds what neighbours were told and the loop has not taken yet, by servers.
const newsMost = stalerouting.MaxEntries

// The states of a list's entries, as discovery names them.
var states = map[string]stalerouting.State{"up": stalerouting.Up, "draining": stalerouting.Draining, "removed": stalerouting.Removed}

// entries is a list as a set has it; what is not known to be up counts as draining, as for the
// agent itself.
func entries(list []agent.Target, age time.Duration) (out []stalerouting.Entry) {
	for _, t := range list {
		state, ok := states[t.State]
		if !ok {
			state = stalerouting.Draining
		}
		if t.ID != "" {
			out = append(out, stalerouting.Entry{ID: t.ID, Incarnation: int64(t.StartedMs), State: state, Age: age})
		}
	}
	return out
}

// ---- what the site's task is told ----

type (
	told struct {
		list  []stalerouting.Entry
		whole bool
	}
	heard  struct{ by stalerouting.Signal }
	word   struct{ stalerouting.Heartbeat }
	shared struct{ state }
	agreed struct{ consensus.Decision }    // by the council, of which this agent is
	parts  struct{ stalerouting.Decision } // the same, from a peer
	ping   struct {
		From string
		Pong bool // it answers one
	}
)

// state is what two peers exchange over a stream.
type state struct {
	Version int
	From    string
	Zone    string
	Entries []stalerouting.Entry
}

// A change of the list must not be lost: where there is no room what is queued goes.
func (told) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// Another ping, or another sign of life, comes soon.
func (heard) Overflow() supervisor.OverflowPolicy { return supervisor.DropNewest }
func (ping) Overflow() supervisor.OverflowPolicy  { return supervisor.DropNewest }

// The newest word of a member, and the newest set of a neighbour, are enough.
func (word) Overflow() supervisor.OverflowPolicy   { return supervisor.DropOldest }
func (shared) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }

// The newest decision is enough; each comes again.
func (agreed) Overflow() supervisor.OverflowPolicy { return supervisor.DropOldest }
func (parts) Overflow() supervisor.OverflowPolicy  { return supervisor.DropNewest }

func (m heard) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(heard)
	return m, ok && o == m
}

func (m ping) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(ping)
	return m, ok && o == m
}

func (m word) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(word)
	if !ok || o.From != m.From {
		return m, false
	}
	if o.Incarnation == m.Incarnation && o.Seq > m.Seq {
		return o, true
	}
	return m, true
}

func (m shared) MergeInto(q supervisor.Message) (supervisor.Message, bool) {
	o, ok := q.(shared)
	return m, ok && o.From == m.From
}

// check tells what is wrong with a ping of another process.
func (m *ping) check() error {
	if m.From == "" || len(m.From) > 128 {
		return fmt.Errorf("ping: from: a name of %d bytes", len(m.From))
	}
	return nil
}

// ---- the task ----

// site is the task that owns what the site was told and its part in finding out that the
// uplink is lost. Another life of it begins with what the one before had, as the agent's own
// list has not changed by its death.
func (l *Layer) site(ctx context.Context) error {
	cfg := l.cfg.Site
	cfg.WasIsolated = cfg.WasIsolated || l.Kept().Dark
	up, err := stalerouting.NewUplink(cfg, l.cfg.Peers.Incarnation)
	if err != nil {
		return err
	}
	set := stalerouting.NewServerSet()
	if _, err := set.Merge(l.now(), l.Kept().Entries); err != nil {
		return err
	}
	s := &siteTask{l: l, up: up, set: set, parts: stalerouting.NewDecisionCache(l.cfg.Bound), rng: rand.New(rand.NewPCG(l.cfg.Peers.Incarnation, 5))}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.siteBox.Ready():
			for msg, ok := l.siteBox.Poll(); ok; msg, ok = l.siteBox.Poll() {
				s.take(msg)
			}
			s.keep()
		case <-tick.C:
			s.carryOut(up.Tick(l.now(), set.Digest()))
		}
	}
}

type siteTask struct {
	l       *Layer
	up      *stalerouting.Uplink
	set     *stalerouting.ServerSet
	zones   []string // of the list
	phase   stalerouting.Phase
	share   float64 // of what lies outside
	until   time.Duration
	parts   *stalerouting.DecisionCache
	fleet   []string // agents that are there, but this one
	rng     *rand.Rand
	renewAt time.Duration // when the loop's orders are to be renewed
}

func (s *siteTask) take(msg supervisor.Message) {
	l, now := s.l, s.l.now()
	switch m := msg.(type) {
	case listed:
		s.zones = s.zones[:0]
		for _, h := range m.hosts {
			if !slices.Contains(s.zones, h.Zone) {
				s.zones = append(s.zones, h.Zone)
			}
		}
		slices.Sort(s.zones)
		// The list that came with the start is told by nobody whose word can be dated.
		if _, err := s.set.Merge(now, m.entries); err != nil {
			slog.Warn("site: list not kept", "err", err)
		}
	case told:
		s.set.ApplyDiscovery(now, m.list, m.whole)
	case heard:
		s.up.Observe(now, m.by)
	case word:
		if err := s.up.Receive(now, m.Heartbeat); err != nil {
			slog.Debug("site: word not believed", "err", err)
		}
	case members:
		var outside []string
		s.fleet = s.fleet[:0]
		for _, p := range m.list {
			if p.Name != l.cfg.Peers.Name {
				s.fleet = append(s.fleet, p.Name)
			}
			if p.Zone != l.cfg.Peers.Zone {
				outside = append(outside, p.Name)
			}
		}
		s.up.SetRemoteAgents(now, outside)
	case agreed:
		d := stalerouting.Decision{Version: stalerouting.Version, Term: m.Term, Index: m.Index, Table: m.Table}
		if !m.Vouched {
			d.Age = stalerouting.UnknownAge // it may have lain in the log for long
		}
		s.decided(d, true)
	case parts:
		s.decided(m.Decision, false)
	case ping:
		if m.Pong {
			s.up.Observe(now, stalerouting.PingAnswered)
		} else {
			l.send(m.From, KindPing, ping{From: l.cfg.Peers.Name, Pong: true})
		}
	case shared:
		if m.Zone != l.cfg.Peers.Zone {
			return // another site's
		}
		news, err := s.set.Merge(now, m.Entries)
		if err != nil {
			slog.Warn("site: set not believed", "from", m.From, "err", err)
		} else if s.up.DiscoveryUnreachable() && len(news) > 0 {
			l.tellNews(news)
		}
	}
}

// keep hands what the task has to its next life, to neighbours and to the disk.
func (s *siteTask) keep() {
	now := s.l.now()
	s.l.keep(Kept{Dark: s.phase == stalerouting.Isolated, Entries: s.set.Entries(now)}, now)
}

// carryOut does what the core asks.
func (s *siteTask) carryOut(out *stalerouting.Actions) {
	l := s.l
	for _, to := range out.Recipients {
		l.send(to, KindWord, out.Heartbeat)
	}
	for _, to := range out.Pings {
		l.send(to, KindPing, ping{From: l.cfg.Peers.Name})
	}
	if out.SyncWith != "" {
		l.peers.Mailbox().Put(membership.Sync{With: out.SyncWith})
	}
	if out.Phase != s.phase {
		s.phase = out.Phase
		slog.Info("site: "+out.Phase.String(), "zone", l.cfg.Peers.Zone, "agreed", out.IsolatedMembers, "members", len(l.cfg.Site.Members))
		l.trace.write(Line{Kind: out.Phase.String(), Attempts: out.IsolatedMembers, LeftMs: max(out.Until-l.now(), 0).Milliseconds()}, l.now(), l.now())
		s.keep()
	}
	s.share, s.until = out.Share, out.Until
	beat := len(out.Recipients)+len(out.Pings) > 0
	if d, holds := s.parts.Current(l.now()); beat && holds {
		s.spread(d, 1)
	}
	if out.Changed || out.QueryDiscovery || l.now() >= s.renewAt {
		s.order(out.QueryDiscovery)
	}
}

// rumour is how many peers are told at once of a decision that is new.
const rumour = 8

// decided takes a decision of the council, and tells others of one that is new or holds again.
func (s *siteTask) decided(d stalerouting.Decision, own bool) {
	now := s.l.now()
	_, held := s.parts.Current(now)
	news, err := s.parts.Offer(now, d, own)
	if err != nil {
		slog.Debug("site: decision not believed", "err", err)
	}
	d, holds := s.parts.Current(now)
	if !holds || held && !news {
		return
	}
	slog.Info("site: zones decided", "term", d.Term, "index", d.Index, "age", d.Age.String(), "zones", fmt.Sprintf("%+v", d.Table.Zones))
	left, short := 0, 0
	for _, z := range d.Table.Zones {
		switch share := d.Table.Share(s.l.cfg.Peers.Zone, z.Name); {
		case share == 0:
			left++
			fallthrough
		case share < 1:
			short++
		}
	}
	s.l.trace.write(Line{Kind: "zones", Roll: d.Index, Attempts: left, Bad: short, LeftMs: d.Age.Milliseconds()}, now, now)
	s.spread(d, rumour)
	s.order(false)
}

// spread tells some peers, drawn anew, of a decision as it is now.
func (s *siteTask) spread(d stalerouting.Decision, to int) {
	for _, i := range s.rng.Perm(len(s.fleet))[:min(to, len(s.fleet))] {
		s.l.send(s.fleet[i], KindParts, d)
	}
}

// order tells the loop how zones stand: by the council's word while it holds, and by the
// uplink for those outside.
func (s *siteTask) order(ask bool) {
	l := s.l
	now, own := l.now(), l.cfg.Peers.Zone
	d, holds := s.parts.Current(now)
	var out []agent.ZoneOverride
	s.renewAt = now + time.Hour
	for _, zone := range s.zones {
		z := agent.ZoneOverride{Zone: zone, ShareFactor: 1, ReachableShare: 1, TTL: now + time.Hour}
		if holds {
			z.ShareFactor, z.TTL = d.Table.Share(own, zone), now+s.parts.ValidFor(now)
			if s.phase == stalerouting.Connected { // a site by itself has its own zone only
				z.TrafficShare, _ = d.Table.TrafficShare(own, zone)
			}
		}
		if zone != own && s.phase != stalerouting.Connected {
			z.ShareFactor, z.ReachableShare, z.TTL = z.ShareFactor*s.share, s.share, min(z.TTL, s.until)
		}
		if z.ShareFactor < 1 || z.TrafficShare > 0 || holds && len(d.Table.TrafficShares) > 0 {
			out = append(out, z)
			s.renewAt = min(s.renewAt, now+(z.TTL-now)/2)
		}
	}
	l.handZones(out, ask)
}
