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

// slowStartShares are the fractions of the usual traffic to the outside in successive steps once the uplink
// is back.
var slowStartShares = [...]float64{0.1, 0.3, 1}

// Actions is what the uplink asks its caller to do.
type Actions struct {
	// Heartbeat is the message to send to each of the Recipients.
	Heartbeat  Heartbeat
	Recipients []string
	// Pings are the agents of other sites to ping.
	Pings []string
	// QueryDiscovery requests the complete list from discovery.
	QueryDiscovery bool
	// SyncWith is the member to exchange sets with, because its set differs and discovery can't be reached;
	// empty if there is none.
	SyncWith string
	// Phase and Share are valid until Until, and Changed is true if they differ from the last tick. Share is
	// the fraction of the usual traffic to the outside; at 0 no request leaves the site.
	Phase   Phase
	Share   float64
	Until   time.Duration
	Changed bool
	// IsolatedMembers is the number of members without a signal from outside.
	IsolatedMembers int
}

// Uplink is one member's state machine that detects the loss of its site's uplink. It does no I/O and is not
// safe for concurrent use.
type Uplink struct {
	config             Config
	rng                *rand.Rand
	incarnation        uint64
	now                time.Duration
	started            bool
	lastSignal         time.Duration                // time of the last signal from outside
	anySignal          bool                         // whether there was a signal in this run
	discoveryAnswered  bool                         // discovery answered since the start or last isolation
	signalsSince       time.Duration                // start of the signals without a gap of IsolationTimeout
	remoteAgents       []string                     // live agents of other sites
	heartbeats         map[string]receivedHeartbeat // by sender
	seq                uint64                       // Seq of the last heartbeat sent
	lastTick           time.Duration
	lastHeartbeat      time.Duration
	announcedIsolated  bool // value of Isolated in the last heartbeat
	lastDiscoveryQuery time.Duration
	phase              Phase
	phaseBegan         time.Duration // start of the phase
	lastMajority       time.Duration // when a majority last had no signal
	share              float64
}

// NewUplink returns an uplink that has had no signal. The incarnation identifies this run of the process.
func NewUplink(config Config, incarnation uint64) (*Uplink, error) {
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("stalerouting: %w", err)
	}
	return &Uplink{config: config, incarnation: incarnation, rng: rand.New(rand.NewPCG(config.Seed, incarnation)),
		heartbeats: map[string]receivedHeartbeat{}, share: 1}, nil
}

// advanceClock sets the time of this call.
func (u *Uplink) advanceClock(now time.Duration) {
	if !u.started {
		// The first heartbeat is due at once, the first query to discovery half an IsolationTimeout later.
		u.started, u.lastSignal, u.lastTick, u.lastHeartbeat, u.lastDiscoveryQuery = true, now, now,
			now-u.config.HeartbeatInterval, now
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

// Receive records a heartbeat from another member. If the heartbeat is stale, invalid or not from another
// member, Receive drops it and returns an error.
func (u *Uplink) Receive(now time.Duration, heartbeat Heartbeat) error {
	u.advanceClock(now)
	if err := heartbeat.Validate(); err != nil {
		return err
	}
	last, ok := u.heartbeats[heartbeat.From]
	switch {
	case heartbeat.From == u.config.Self || !slices.Contains(u.config.Members, heartbeat.From):
		return fmt.Errorf("heartbeat: from: %s is not another member of the site", heartbeat.From)
	case ok && last.Incarnation == heartbeat.Incarnation && last.Seq >= heartbeat.Seq:
		return fmt.Errorf("heartbeat: seq: not newer than the last heartbeat from %s", heartbeat.From)
	}
	u.heartbeats[heartbeat.From] = receivedHeartbeat{heartbeat, u.now - maxLinkDelay}
	return nil
}

// isolated reports whether this member has had no signal from outside for IsolationTimeout or, if its earlier
// run was isolated, since its start.
func (u *Uplink) isolated() bool {
	return u.now-u.lastSignal >= u.config.IsolationTimeout || u.config.WasIsolated && !u.anySignal
}

// connected reports whether this run has had a signal from outside within IsolationTimeout.
func (u *Uplink) connected() bool {
	return u.anySignal && u.now-u.lastSignal < u.config.IsolationTimeout
}

// valid reports whether a heartbeat is recent enough to count.
func (u *Uplink) valid(heartbeat receivedHeartbeat) bool {
	return u.now-heartbeat.sentAt <= heartbeatsValid*u.config.HeartbeatInterval
}

// isolatedMembers returns the number of members without a signal from outside.
func (u *Uplink) isolatedMembers() (n int) {
	if u.isolated() {
		n++
	}
	for _, heartbeat := range u.heartbeats {
		if heartbeat.Isolated && u.valid(heartbeat) {
			n++
		}
	}
	return n
}

// majorityConnected reports whether a majority of the members has a signal from outside.
func (u *Uplink) majorityConnected() bool {
	n := 0
	if u.connected() {
		n++
	}
	for _, heartbeat := range u.heartbeats {
		if !heartbeat.Isolated && u.valid(heartbeat) {
			n++
		}
	}
	return 2*n > len(u.config.Members)
}

// updatePhase updates the phase. A majority of isolated members is required to enter Isolated, but not to stay
// there: the members that were isolated may have failed since. It is enough that no majority is connected.
func (u *Uplink) updatePhase(isolated int) {
	majority := 2*isolated > len(u.config.Members)
	if majority {
		u.lastMajority = u.now
	}
	enter := func(p Phase) { u.phase, u.phaseBegan = p, u.now }
	switch {
	case u.phase != Isolated && majority && !u.connected():
		enter(Isolated)
	case u.phase == Isolated && (u.majorityConnected() || u.now-u.lastMajority > u.config.MaxIsolation ||
		u.connected() && u.now-u.signalsSince >= 2*u.config.IsolationTimeout):
		enter(Recovering)
		// Query discovery soon, at a random time within a heartbeat interval, as all members recover now.
		u.discoveryAnswered, u.lastDiscoveryQuery = false,
			u.now-u.discoveryQueryInterval()+time.Duration(u.rng.Int64N(int64(u.config.HeartbeatInterval)))
	case u.phase == Recovering && u.now-u.phaseBegan >= time.Duration(len(slowStartShares)-1)*u.config.SlowStartStep:
		enter(Connected)
	}
}

// discoveryQueryInterval returns the time between two queries to discovery. It is longer while the site is
// isolated, as an answered ping also shows the recovery.
func (u *Uplink) discoveryQueryInterval() time.Duration {
	if u.phase == Isolated {
		return 2 * u.config.IsolationTimeout
	}
	return u.config.IsolationTimeout / 2
}

// Tick updates the phase and returns what to do; digest is that of the member's ServerSet. Call it a few
// times in each heartbeat interval.
func (u *Uplink) Tick(now time.Duration, digest uint64) *Actions {
	u.advanceClock(now)
	// A pause of this process is not a time without signals: its duration does not count.
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
	// Discovery is queried before the member counts as isolated, as it sends nothing while its list is unchanged.
	queryNeeded := u.now-u.lastSignal >= u.config.IsolationTimeout/2 || u.phase == Isolated ||
		u.phase == Recovering && !u.discoveryAnswered
	if queryNeeded && u.now-u.lastDiscoveryQuery >= u.discoveryQueryInterval() {
		actions.QueryDiscovery, u.lastDiscoveryQuery = true, u.now
	}
	isolated := u.isolated()
	if u.now-u.lastHeartbeat >= u.config.HeartbeatInterval || isolated != u.announcedIsolated {
		u.sendHeartbeat(actions, digest, isolated)
	}
	return actions
}

// sendHeartbeat adds to the actions a heartbeat with this member's state, pings to agents of other sites and,
// if discovery can't be reached, an exchange of sets. The heartbeat goes to all members if this member is
// isolated or just recovered, and to a few random members otherwise.
func (u *Uplink) sendHeartbeat(actions *Actions, digest uint64, isolated bool) {
	fanout := idleHeartbeatFanout
	if isolated || isolated != u.announcedIsolated {
		fanout = len(u.config.Members)
	}
	u.seq++
	u.lastHeartbeat, u.announcedIsolated = u.now, isolated
	actions.Heartbeat = Heartbeat{Version: Version, From: u.config.Self, Incarnation: u.incarnation, Seq: u.seq,
		Isolated: isolated, Digest: digest}
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
	// Exchange sets with one random member at a time among those whose set differs.
	var differ []string
	for _, member := range u.config.Members {
		if heartbeat, ok := u.heartbeats[member]; ok && heartbeat.Digest != digest && u.valid(heartbeat) {
			differ = append(differ, member)
		}
	}
	if len(differ) > 0 {
		actions.SyncWith = differ[u.rng.IntN(len(differ))]
	}
}

// DiscoveryUnreachable reports whether members depend on each other's sets, because the site is isolated or
// discovery has not answered in this run and since the last isolation.
func (u *Uplink) DiscoveryUnreachable() bool { return u.phase == Isolated || !u.discoveryAnswered }
