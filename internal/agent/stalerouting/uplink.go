package stalerouting

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Signal is by what something outside the site was heard.
type Signal uint8

// The senses.
const (
	DiscoveryAnswered Signal = iota // discovery answered a call
	PingAnswered                    // an agent of another site answered a ping: both ways are open
	RequestServed                   // a server of another zone served a request
)

// Config is what a member is told of its site and of what counts as silence.
type Config struct {
	Self    string
	Members []string // the roll: all members, this one included
	// IsolationTimeout is for how long nothing from outside must have been heard.
	IsolationTimeout time.Duration
	// HeartbeatInterval is the time between two words to each member, and between two pings.
	HeartbeatInterval time.Duration
	// SlowStartStep is how long what lies outside gets each part of its share when the uplink is back.
	SlowStartStep time.Duration
	// MaxIsolation is how long a site stays dark after the last majority for it, where nobody hears
	// anything from outside: the others may have died.
	MaxIsolation time.Duration
	// WasIsolated is that an earlier life, not long ago, knew the uplink to be lost: all that is
	// known until something is heard.
	WasIsolated bool
	// Seed is of what is drawn.
	Seed uint64
}

// Defaults are the times where nothing else is said.
func Defaults() Config {
	return Config{IsolationTimeout: 2 * time.Second, HeartbeatInterval: 500 * time.Millisecond, SlowStartStep: time.Second, MaxIsolation: 10 * time.Minute}
}

// Validate tells what makes no sense, by key.
func (c *Config) Validate() error {
	switch {
	case c.HeartbeatInterval < 50*time.Millisecond || c.HeartbeatInterval > 10*time.Second:
		return fmt.Errorf("beat: must be 50ms to 10s, is %v", c.HeartbeatInterval)
	case c.IsolationTimeout < 3*c.HeartbeatInterval || c.IsolationTimeout > 10*time.Minute:
		return fmt.Errorf("quiet: must be three beats (%v) to 10m, is %v", 3*c.HeartbeatInterval, c.IsolationTimeout)
	case c.SlowStartStep <= 0 || c.SlowStartStep > 10*time.Minute:
		return fmt.Errorf("step: must be above 0 and at most 10m, is %v", c.SlowStartStep)
	case c.MaxIsolation < c.IsolationTimeout || c.MaxIsolation > time.Hour:
		return fmt.Errorf("hold: must be quiet (%v) to 1h, is %v", c.IsolationTimeout, c.MaxIsolation)
	case !slices.Contains(c.Members, c.Self):
		return fmt.Errorf("site: %q, this agent, is not in it", c.Self)
	}
	return nil
}

// pingsPerHeartbeat is how many agents of other sites are asked at each beat, few how many members get a
// word while there is nothing to say; maxLinkDelay is what a word may have taken on its way, added
// to its age; heartbeatsValid is how many beats a word holds.
const (
	pingsPerHeartbeat, idleHeartbeatFanout = 2, 2
	maxLinkDelay                           = 250 * time.Millisecond
	heartbeatsValid                        = 4
)

// Version is that of words and of sets that travel. Another is turned away.
const Version = 1

// Heartbeat is what a member tells the others of its site, whole: the newest makes all before it
// stale, so any may be lost, repeated or come late.
type Heartbeat struct {
	Version     int
	From        string
	Incarnation uint64 // names the life of the sender's process
	Seq         uint64 // one more with each word of that life
	Isolated    bool   // the sender hears nothing from outside
	Digest      uint64 // of its Set
}

// Validate tells what is wrong with a word of another process, by field.
func (w *Heartbeat) Validate() error {
	switch {
	case w.Version != Version:
		return fmt.Errorf("word: version: %d, %d is spoken", w.Version, Version)
	case w.From == "" || len(w.From) > maxName:
		return fmt.Errorf("word: from: a name of %d bytes", len(w.From))
	}
	return nil
}

// Phase is how a site stands to what lies outside.
type Phase uint8

// The phases.
const (
	Connected  Phase = iota
	Isolated         // the uplink is lost: nothing is sent out of the site
	Recovering       // it is back, and what lies outside gets its share by steps
)

// String names the phase as logs and traces have it.
func (p Phase) String() string { return [...]string{"light", "dark", "returning"}[p] }

// slowStartShares of its share that what lies outside gets, one after the other, when the uplink is back.
var slowStartShares = [...]float64{0.1, 0.3, 1}

// Actions is what the core asks of its caller.
type Actions struct {
	// Heartbeat is for each member named in To.
	Heartbeat  Heartbeat
	Recipients []string
	// Pings are agents of other sites to be asked for a pong.
	Pings []string
	// QueryDiscovery asks discovery for the whole list.
	QueryDiscovery bool
	// SyncWith names a member whose set differs while discovery can't be heard.
	SyncWith string
	// Phase and Share hold until Until; Changed tells of another than at the last tick. A share
	// of 0 is that nothing is sent out of the site.
	Phase   Phase
	Share   float64
	Until   time.Duration
	Changed bool
	// IsolatedMembers is how many members say that they hear nothing from outside.
	IsolatedMembers int
}

// Uplink is one member's part in finding out that the uplink is lost: a state machine without
// I/O, not safe for concurrent use.
type Uplink struct {
	config             Config
	rng                *rand.Rand
	incarnation        uint64
	now                time.Duration
	started            bool
	lastSignal         time.Duration // when anything outside was last heard
	anySignal          bool          // in this life
	discoveryAnswered  bool          // discovery has been heard in this life
	signalsSince       time.Duration // when something was first heard again, without a gap of Quiet
	remoteAgents       []string      // agents of other sites that are there
	heartbeats         map[string]receivedHeartbeat
	seq                uint64
	lastTick           time.Duration
	lastHeartbeat      time.Duration
	announcedIsolated  bool // of the last word: that nothing is heard
	lastDiscoveryQuery time.Duration
	phase              Phase
	phaseBegan         time.Duration // when the phase began
	lastMajority       time.Duration // when a majority last heard nothing
	share              float64
}

type receivedHeartbeat struct {
	Heartbeat
	sentAt time.Duration // when it was said, at the latest by the stated bound of links
}

// NewUplink returns a member that has heard nothing yet. Boot names this life.
func NewUplink(config Config, incarnation uint64) (*Uplink, error) {
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("decisions: %w", err)
	}
	return &Uplink{config: config, incarnation: incarnation, rng: rand.New(rand.NewPCG(config.Seed, incarnation)), heartbeats: map[string]receivedHeartbeat{}, share: 1}, nil
}

// advanceClock sets the clock.
func (u *Uplink) advanceClock(now time.Duration) {
	if !u.started {
		// The first beat is at once, the first call to discovery a part of Quiet later.
		u.started, u.lastSignal, u.lastTick, u.lastHeartbeat, u.lastDiscoveryQuery = true, now, now, now-u.config.HeartbeatInterval, now
	}
	u.now = max(u.now, now)
}

// Observe takes that something outside was heard.
func (u *Uplink) Observe(now time.Duration, signal Signal) {
	u.advanceClock(now)
	if !u.anySignal || u.now-u.lastSignal > u.config.IsolationTimeout {
		u.signalsSince = u.now
	}
	u.lastSignal, u.anySignal, u.discoveryAnswered = u.now, true, u.discoveryAnswered || signal == DiscoveryAnswered
}

// SetRemoteAgents says which agents of other sites are there, by name.
func (u *Uplink) SetRemoteAgents(now time.Duration, agents []string) {
	u.advanceClock(now)
	u.remoteAgents = slices.Clone(agents)
	slices.Sort(u.remoteAgents)
}

// Receive takes a word of a member. One that is stale or of no member is dropped with the
// reason as its error.
func (u *Uplink) Receive(now time.Duration, heartbeat Heartbeat) error {
	u.advanceClock(now)
	if err := heartbeat.Validate(); err != nil {
		return err
	}
	last, ok := u.heartbeats[heartbeat.From]
	switch {
	case heartbeat.From == u.config.Self || !slices.Contains(u.config.Members, heartbeat.From):
		return fmt.Errorf("word: from: %s is no other member", heartbeat.From)
	case ok && last.Incarnation == heartbeat.Incarnation && last.Seq >= heartbeat.Seq:
		return fmt.Errorf("word: seq: an older one of %s", heartbeat.From)
	}
	u.heartbeats[heartbeat.From] = receivedHeartbeat{heartbeat, u.now - maxLinkDelay}
	return nil
}

// isolated tells whether this member hears nothing from outside: for Quiet, or, at the start of a
// life whose earlier one knew the uplink to be lost, as long as it has heard nothing.
func (u *Uplink) isolated() bool {
	return u.now-u.lastSignal >= u.config.IsolationTimeout || u.config.WasIsolated && !u.anySignal
}

// connected tells whether it does hear something, in this life.
func (u *Uplink) connected() bool {
	return u.anySignal && u.now-u.lastSignal < u.config.IsolationTimeout
}

// valid tells whether a word still holds.
func (u *Uplink) valid(w receivedHeartbeat) bool {
	return u.now-w.sentAt <= heartbeatsValid*u.config.HeartbeatInterval
}

// isolatedMembers counts the members that hear nothing.
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

// majorityConnected tells whether a majority hears something from outside.
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

// updatePhase decides the phase. A majority is needed to go dark; to stay so it is enough that no
// majority speaks against it, as the members that agreed may have died since.
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
		// Discovery is asked at once, with jitter: all of the site come back at this moment.
		u.discoveryAnswered, u.lastDiscoveryQuery = false, u.now-u.discoveryQueryInterval()+time.Duration(u.rng.Int64N(int64(u.config.HeartbeatInterval)))
	case u.phase == Recovering && u.now-u.phaseBegan >= time.Duration(len(slowStartShares)-1)*u.config.SlowStartStep:
		enter(Connected)
	}
}

// discoveryQueryInterval is the time between two calls to discovery: seldom while the site is dark, as a
// pong tells of the uplink's return.
func (u *Uplink) discoveryQueryInterval() time.Duration {
	if u.phase == Isolated {
		return 2 * u.config.IsolationTimeout
	}
	return u.config.IsolationTimeout / 2
}

// Tick decides anew and returns what is to be done; digest is that of the member's Set. It is
// to be called a few times in each beat.
func (u *Uplink) Tick(now time.Duration, digest uint64) *Actions {
	u.advanceClock(now)
	// Who did not listen has heard no silence: what a pause of the process was long is not counted.
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
	// Silence is made sure of before it is believed: a list that does not change says nothing
	// by itself.
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

// sendHeartbeat says this member's word, to all while it hears nothing or has just heard something
// again and to a few otherwise, and asks whether anybody outside is there.
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
	// One neighbour at a time, drawn of those whose set differs.
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

// DiscoveryUnreachable tells whether discovery can't be asked now, so that what neighbours were told is all
// there is: the site is dark, or this life has not heard discovery yet.
func (u *Uplink) DiscoveryUnreachable() bool { return u.phase == Isolated || !u.discoveryAnswered }
