package stalerouting

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Signal is evidence that something outside the site can be reached.
type Signal uint8

// The signals.
const (
	DiscoveryAnswered Signal = iota // discovery answered a call
	PingAnswered                    // an agent of another site answered a ping, so both directions work
	RequestServed                   // a server of another zone served a request
)

// Phase is the state of a site's connection to the outside.
type Phase uint8

// The phases.
const (
	Connected  Phase = iota
	Isolated         // the uplink is lost: no request leaves the site
	Recovering       // the uplink is back, and traffic to the outside resumes step by step
)

// String returns the name used in logs and traces.
func (p Phase) String() string { return [...]string{"light", "dark", "returning"}[p] }

// slowStartShares are the fractions of its share that the outside gets, step by step, when the uplink is back.
var slowStartShares = [...]float64{0.1, 0.3, 1}

// Actions is what the uplink asks of its caller.
type Actions struct {
	// Heartbeat is to be sent to each member of Recipients.
	Heartbeat  Heartbeat
	Recipients []string
	// Pings are the agents of other sites to ping.
	Pings []string
	// QueryDiscovery requests the complete list from discovery.
	QueryDiscovery bool
	// SyncWith names a member to exchange sets with: its set differs, and discovery can't be reached.
	SyncWith string
	// Phase and Share are valid until Until; Changed tells that they differ from the last tick. With a
	// share of 0 no request leaves the site.
	Phase   Phase
	Share   float64
	Until   time.Duration
	Changed bool
	// IsolatedMembers is the number of members without a signal from outside.
	IsolatedMembers int
}

// Uplink is one member's state machine for detecting that the uplink of its site is lost. It does no I/O
// and is not safe for concurrent use.
type Uplink struct {
	config             Config
	rng                *rand.Rand
	incarnation        uint64
	now                time.Duration
	started            bool
	lastSignal         time.Duration // time of the last signal from outside
	anySignal          bool          // there was a signal in this run
	discoveryAnswered  bool          // discovery has answered in this run, or since recovery
	signalsSince       time.Duration // start of the current signals without a gap of IsolationTimeout
	remoteAgents       []string      // live agents of other sites
	heartbeats         map[string]receivedHeartbeat
	seq                uint64
	lastTick           time.Duration
	lastHeartbeat      time.Duration
	announcedIsolated  bool // value of Isolated in the last heartbeat
	lastDiscoveryQuery time.Duration
	phase              Phase
	phaseBegan         time.Duration // start of the phase
	lastMajority       time.Duration // when a majority was last without a signal
	share              float64
}

// NewUplink returns an uplink without signals. The incarnation identifies this run of the process.
func NewUplink(config Config, incarnation uint64) (*Uplink, error) {
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("stalerouting: %w", err)
	}
	return &Uplink{config: config, incarnation: incarnation, rng: rand.New(rand.NewPCG(config.Seed, incarnation)), heartbeats: map[string]receivedHeartbeat{}, share: 1}, nil
}

// advanceClock sets the time of this call.
func (u *Uplink) advanceClock(now time.Duration) {
	if !u.started {
		// The first heartbeat is due at once, the first query of discovery a fraction of IsolationTimeout later.
		u.started, u.lastSignal, u.lastTick, u.lastHeartbeat, u.lastDiscoveryQuery = true, now, now, now-u.config.HeartbeatInterval, now
	}
	u.now = max(u.now, now)
}

// Observe records a signal from outside.
func (u *Uplink) Observe(now time.Duration, signal Signal) {
	u.advanceClock(now)
	if !u.anySignal || u.now-u.lastSignal > u.config.IsolationTimeout {
		u.signalsSince = u.now
	}
	u.lastSignal, u.anySignal, u.discoveryAnswered = u.now, true, u.discoveryAnswered || signal == DiscoveryAnswered
}

// SetRemoteAgents replaces the live agents of other sites.
func (u *Uplink) SetRemoteAgents(now time.Duration, agents []string) {
	u.advanceClock(now)
	u.remoteAgents = slices.Clone(agents)
	slices.Sort(u.remoteAgents)
}

// Receive records a heartbeat of another member. A stale or invalid one, or one of no member, changes
// nothing and returns an error.
func (u *Uplink) Receive(now time.Duration, heartbeat Heartbeat) error {
	u.advanceClock(now)
	if err := heartbeat.Validate(); err != nil {
		return err
	}
	last, ok := u.heartbeats[heartbeat.From]
	switch {
	case heartbeat.From == u.config.Self || !slices.Contains(u.config.Members, heartbeat.From):
		return fmt.Errorf("heartbeat: from: %s is not another member", heartbeat.From)
	case ok && last.Incarnation == heartbeat.Incarnation && last.Seq >= heartbeat.Seq:
		return fmt.Errorf("heartbeat: seq: older than the last one of %s", heartbeat.From)
	}
	u.heartbeats[heartbeat.From] = receivedHeartbeat{heartbeat, u.now - maxLinkDelay}
	return nil
}

// isolated reports whether this member has no signal from outside: for IsolationTimeout or, if its earlier
// run was isolated, since its start.
func (u *Uplink) isolated() bool {
	return u.now-u.lastSignal >= u.config.IsolationTimeout || u.config.WasIsolated && !u.anySignal
}

// connected reports whether this member has a current signal from this run.
func (u *Uplink) connected() bool {
	return u.anySignal && u.now-u.lastSignal < u.config.IsolationTimeout
}

// valid reports whether a heartbeat still counts.
func (u *Uplink) valid(w receivedHeartbeat) bool {
	return u.now-w.sentAt <= heartbeatsValid*u.config.HeartbeatInterval
}

// isolatedMembers returns the number of members without a signal.
func (u *Uplink) isolatedMembers() (n int) {
	if u.isolated() {
		n++
	}
	for _, w := range u.heartbeats {
		if w.Isolated && u.valid(w) {
			n++
		}
	}
	return n
}

// majorityConnected reports whether a majority has a signal from outside.
func (u *Uplink) majorityConnected() bool {
	n := 0
	if u.connected() {
		n++
	}
	for _, w := range u.heartbeats {
		if !w.Isolated && u.valid(w) {
			n++
		}
	}
	return 2*n > len(u.config.Members)
}

// updatePhase decides the phase. Entering Isolated takes a majority. To stay it is enough that no majority
// has a signal, as the members that agreed may have failed since.
func (u *Uplink) updatePhase(isolated int) {
	majority := 2*isolated > len(u.config.Members)
	if majority {
		u.lastMajority = u.now
	}
	enter := func(p Phase) { u.phase, u.phaseBegan = p, u.now }
	switch {
	case u.phase != Isolated && majority && !u.connected():
		enter(Isolated)
	case u.phase == Isolated && (u.majorityConnected() || u.now-u.lastMajority > u.config.MaxIsolation || u.connected() && u.now-u.signalsSince >= 2*u.config.IsolationTimeout):
		enter(Recovering)
		// Discovery is queried at once, with jitter: all members recover at this moment.
		u.discoveryAnswered, u.lastDiscoveryQuery = false, u.now-u.discoveryQueryInterval()+time.Duration(u.rng.Int64N(int64(u.config.HeartbeatInterval)))
	case u.phase == Recovering && u.now-u.phaseBegan >= time.Duration(len(slowStartShares)-1)*u.config.SlowStartStep:
		enter(Connected)
	}
}

// discoveryQueryInterval is the time between two queries of discovery. It is longer while the site is
// isolated, as an answered ping shows the recovery.
func (u *Uplink) discoveryQueryInterval() time.Duration {
	if u.phase == Isolated {
		return 2 * u.config.IsolationTimeout
	}
	return u.config.IsolationTimeout / 2
}

// Tick reevaluates the phase and returns what is to be done; digest is that of the member's ServerSet.
// It is to be called a few times in each heartbeat interval.
func (u *Uplink) Tick(now time.Duration, digest uint64) *Actions {
	u.advanceClock(now)
	// A pause of the process is no silence of the others: its duration does not count.
	if gap := u.now - u.lastTick; gap > u.config.HeartbeatInterval {
		u.lastSignal = min(u.lastSignal+gap, u.now)
	}
	u.lastTick = u.now
	actions := &Actions{IsolatedMembers: u.isolatedMembers()}
	phase, share := u.phase, u.share
	u.updatePhase(actions.IsolatedMembers)
	switch u.phase {
	case Connected:
		u.share = 1
	case Isolated:
		u.share = 0
	case Recovering:
		u.share = slowStartShares[min(int((u.now-u.phaseBegan)/u.config.SlowStartStep), len(slowStartShares)-1)]
	}
	actions.Phase, actions.Share, actions.Until = u.phase, u.share, u.now+heartbeatsValid*u.config.HeartbeatInterval
	actions.Changed = u.phase != phase || u.share != share
	// Discovery is queried before its silence counts: an unchanged list brings no messages by itself.
	queryNeeded := u.now-u.lastSignal >= u.config.IsolationTimeout/2 || u.phase == Isolated || u.phase == Recovering && !u.discoveryAnswered
	if queryNeeded && u.now-u.lastDiscoveryQuery >= u.discoveryQueryInterval() {
		actions.QueryDiscovery, u.lastDiscoveryQuery = true, u.now
	}
	isolated := u.isolated()
	if u.now-u.lastHeartbeat >= u.config.HeartbeatInterval || isolated != u.announcedIsolated {
		u.sendHeartbeat(actions, digest, isolated)
	}
	return actions
}

// sendHeartbeat sends this member's state, to all members while it is isolated or has just recovered and to
// a few otherwise, and pings agents of other sites.
func (u *Uplink) sendHeartbeat(actions *Actions, digest uint64, isolated bool) {
	fanout := idleHeartbeatFanout
	if isolated || isolated != u.announcedIsolated {
		fanout = len(u.config.Members)
	}
	u.seq++
	u.lastHeartbeat, u.announcedIsolated = u.now, isolated
	actions.Heartbeat = Heartbeat{Version: Version, From: u.config.Self, Incarnation: u.incarnation, Seq: u.seq, Isolated: isolated, Digest: digest}
	for _, i := range u.rng.Perm(len(u.config.Members)) {
		if member := u.config.Members[i]; member != u.config.Self && len(actions.Recipients) < fanout {
			actions.Recipients = append(actions.Recipients, member)
		}
	}
	for _, i := range u.rng.Perm(len(u.remoteAgents))[:min(pingsPerHeartbeat, len(u.remoteAgents))] {
		actions.Pings = append(actions.Pings, u.remoteAgents[i])
	}
	if !u.DiscoveryUnreachable() {
		return
	}
	// One random member at a time, of those whose set differs.
	var differ []string
	for _, member := range u.config.Members {
		if w, ok := u.heartbeats[member]; ok && w.Digest != digest && u.valid(w) {
			differ = append(differ, member)
		}
	}
	if len(differ) > 0 {
		actions.SyncWith = differ[u.rng.IntN(len(differ))]
	}
}

// DiscoveryUnreachable reports whether discovery can't be reached now, so that members depend on each
// other's sets: the site is isolated, or discovery has not answered this run yet.
func (u *Uplink) DiscoveryUnreachable() bool { return u.phase == Isolated || !u.discoveryAnswered }
