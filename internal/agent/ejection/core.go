// Package ejection ejects hosts by vote: the agents of a site (its electorate) agree, by what
// each saw itself, that a report server is to get nothing from any of them but trials, for a
// time that lapses by itself. There is no leader: each voter tells all others what it holds
// of which host, and each counts for itself.
//
// # What is guaranteed
//
// A host is ejected at a member only while that member holds live grants for the host's
// incarnation from a strict majority of one roll. A voter grants only on evidence of its own,
// no older than Age and newer than its last grant for the host. It renews a grant while the last
// that it saw was bad, no longer ago than four times Longest, and anybody has newer evidence:
// without that a host that stays bad would cost each voter a request for each lease.
//
// The weight that a site has ejected of a zone's servers never passes Cap, whatever is lost,
// delayed, repeated, paused or restarted. Of n voters each keeps the weight that it has
// promised at or under Cap*q/n of the zone, where q = n/2+1 (rounded down) is the majority.
// Let E be all that anyone holds ejected at a moment, its weight W(E). Each host of E has q
// live grants or more, so the promised weights of all voters add up to q*W(E) at the least,
// and to n*Cap*q/n at the most: W(E) <= Cap. The price is reach: voters that all agree eject
// no more than Cap*q/n, just over half of it.
//
// For that a grant must be dead at every reader before its voter takes back the promise. The
// voter counts the lease from after it answered, and lengthens it by the drift that clocks
// may have; a reader counts it from a moment before it was sent, known by the echo of the
// reader's own stamp (see Letter), and not at all without an echo. Both use the monotonic
// clock, which goes on while a process is paused; no time of day is compared and no bound on
// the network is assumed. A promise stands until it lapses: a voter that changes its mind
// says so, and readers drop the grant, but the weight stays counted.
//
// A voter that starts again does not know what it promised, and abstains until all of that
// has lapsed (Longest, and the drift). One with a disk keeps there until when promises of its
// may stand at the most, and makes none beyond what is on it (Covers, Covered): its next life
// abstains for no longer. That is one write for many promises, none of which waits for more.
//
// Under a majority of liars no host is removed; with f liars of n and f < n/3 a host that all
// honest voters see bad gets their n-f >= q grants. A liar is taken to speak for itself
// alone: that nobody speaks in another's name is the network's to see to.
//
// # What is not guaranteed
//
// The cap is one of weights as they were listed when they were granted: what leaves the list
// makes the rest of a zone smaller. The monotonic clock stands still while a whole machine is
// suspended, unlike a process: a reader that was counts a grant for so much longer.
//
// That a bad host is ejected: a part of a site without a majority ejects nothing, and one
// whose voters have promised all they may waits. An agent's own demotion of a server does not
// depend on any of this.
package ejection

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

const (
	// clockDrift is how far the rates of two clocks may be apart.
	clockDrift = 0.01
	// maxLease bounds a lease, and so how long a voter without memory stays silent.
	maxLease = 10 * time.Minute
	// minPanicObservations is how many hosts an observer must have met for a majority of them to count as
	// its own fault.
	minPanicObservations = 4
	// heartbeatsPerSecond is how many members get the state each second without a change, each of them once
	// at the most.
	heartbeatsPerSecond = 10
	// renewalAgeFactor is how many times the longest lease a voter's own evidence is good for
	// renewals, as long as anybody's newer one bears it out.
	renewalAgeFactor = 4
	// trialRoundsPerLease is how many rounds of trials there are in a lease.
	trialRoundsPerLease = 2
	// firstAttemptDelay is how long a motion waits for the members' own evidence before the first of
	// them owes it an attempt, attemptStagger how much later the next does.
	firstAttemptDelay, attemptStagger = 100 * time.Millisecond, 40 * time.Millisecond
)

// repeatDelays are the times after a change at which the state is sent once more, as letters get lost.
var repeatDelays = [...]time.Duration{200 * time.Millisecond, time.Second}

// slowStartShares are the parts of its share that a host gets one after the other when it returns.
var slowStartShares = [...]float64{0.1, 0.3, 1}

// Electorate is a site's electorate.
type Electorate struct {
	Number  uint64
	Members []string
}

// Quorum is a strict majority.
func (r *Electorate) Quorum() int { return len(r.Members)/2 + 1 }

// Config is what a voter is told.
type Config struct {
	Self        string
	Incarnation uint64 // names this life of the process; never that of another
	Electorate  Electorate
	// MaxEjectedFraction is the part of a zone's weight that may be ejected at once, at most a half.
	MaxEjectedFraction float64
	// Lease is how long the first ejection of a host lasts. Each further one within Remember
	// lasts twice as long as the one before, up to Longest.
	Lease, MaxLease, EscalationWindow time.Duration
	// MaxEvidenceAge is how old evidence may be to vote by.
	MaxEvidenceAge time.Duration
	// SlowStartStep is how long a returning host gets each part of its share.
	SlowStartStep time.Duration
	// TrialInterval is the time between two trials of an ejected host.
	TrialInterval time.Duration
	// EarlierPromisesFor is for how long after its start promises of earlier lives may stand; negative:
	// it is not known.
	EarlierPromisesFor time.Duration
	// PersistsPromises is that the caller keeps on disk until when promises may stand: see Covered.
	PersistsPromises bool
}

// Defaults are the times and the cap where nothing else is said.
func Defaults() Config {
	return Config{MaxEjectedFraction: 0.4, Lease: 8 * time.Second, MaxLease: time.Minute, EscalationWindow: 2 * time.Minute,
		MaxEvidenceAge: 10 * time.Second, SlowStartStep: time.Second, TrialInterval: time.Second, EarlierPromisesFor: -1}
}

// Validate tells what makes no sense, by key.
func (config *Config) Validate() error {
	switch {
	case !(config.MaxEjectedFraction > 0) || config.MaxEjectedFraction > 0.5:
		return fmt.Errorf("cap: must be above 0 and at most 0.5, is %v", config.MaxEjectedFraction)
	case config.Lease < 100*time.Millisecond || config.Lease > config.MaxLease:
		return fmt.Errorf("lease: must be 100ms to longest (%v), is %v", config.MaxLease, config.Lease)
	case config.MaxLease > maxLease/2:
		return fmt.Errorf("longest: must be at most %v, is %v", maxLease/2, config.MaxLease)
	case config.MaxEvidenceAge < 100*time.Millisecond || config.MaxEvidenceAge > config.MaxLease:
		return fmt.Errorf("age: must be 100ms to longest (%v), is %v", config.MaxLease, config.MaxEvidenceAge)
	case config.EscalationWindow < 0 || config.SlowStartStep <= 0 || config.TrialInterval <= 0:
		return fmt.Errorf("remember, step and trial: must be above 0, are %v, %v and %v", config.EscalationWindow, config.SlowStartStep, config.TrialInterval)
	case len(config.Electorate.Members) == 0:
		return fmt.Errorf("electorate: nobody is in it")
	}
	for i, m := range config.Electorate.Members {
		if m == "" || len(m) > maxName || slices.Contains(config.Electorate.Members[:i], m) {
			return fmt.Errorf("electorate: %q is no name, or named twice", m)
		}
	}
	return nil
}

// Standing is what the agent is to do with a host. One that is not named gets its whole share.
type Standing struct {
	Host outlier.Host
	// Share of its share; 0 is ejected. It holds until Until, and is 1 after it.
	Share float64
	Until time.Duration
	// Trial asks for one attempt of a request that may be repeated, Probe for a probe.
	Trial, Probe bool
}

// TraceEvent is a step of the vote, for traces and logs.
type TraceEvent struct {
	At         time.Duration
	Kind       string // "grant", "renew", "over_cap", "deny", "suspect", "eject", "hold", "return"
	Host       outlier.Host
	Reason     Reason
	Electorate uint64
	Attempts   int
	Failures   int
	Granters   []string      // eject, hold and return: whose grants
	Until      time.Duration // grant, eject and hold
}

// Actions is what the core asks of its caller.
type Actions struct {
	// Messages are for members by name.
	Messages map[string]*VoteMessage
	// Standings is the whole of the standings, if Changed.
	Standings        []Standing
	StandingsChanged bool
	Trace            []TraceEvent
	// PersistPromisesUntil, if not 0, asks for it to be on disk that promises may stand until then, and for
	// Covered once it is.
	PersistPromisesUntil time.Duration
}

// Voter is one member's vote: a state machine without I/O, not safe for concurrent use.
type Voter struct {
	config            Config
	evidence          *outlier.Log
	now               time.Duration
	startedAt         time.Duration
	started           bool
	persistedUntil    time.Duration // until when promises may stand by what is on disk
	isMember          bool
	changedAt         time.Duration
	repeats           int // of again
	lastHeartbeat     time.Duration
	nextHeartbeatPeer int // of the roll
	peers             map[string]*peer
	own               map[outlier.Host]*ownVote
	ejections         map[outlier.Host]*ejection
	standings         []Standing
	actions           *Actions
}

// peer is what is known of another member.
type peer struct {
	incarnation          uint64
	newestSent           time.Duration // the newest Sent of that life, and
	newestSentReceivedAt time.Duration // when it came
	votes                map[outlier.Host]peerVote
}

type peerVote struct {
	vote       Vote
	until      time.Duration
	reason     Reason
	evidenceAt time.Duration // when its newest evidence against the host came, or later
}

// ownVote is this member's answer on a host.
type ownVote struct {
	vote             Vote
	reason           Reason
	until            time.Duration // of a grant, for others
	promisedUntil    time.Duration // until when it counts against the bound; 0: never
	weight           float64       // of the zone, when granted
	zone             string
	grantedAt        time.Duration // when last; evidence before it is used up
	grants           int           // of late: each lasts longer than the one before
	record           outlier.Record
	owedSince        time.Duration // when a motion without own evidence was first met; 0: none
	attemptRequested bool          // the attempt or probe owed to it was asked for
	probeAnswered    bool          // and the probe was answered
}

// ejection is how a host stands by the count.
type ejection struct {
	ejected         bool
	since           time.Duration // ejected, or returned
	until           time.Duration
	lease           time.Duration // the last known
	trialRound      int64         // of trials
	trialRoundBegan time.Duration // when it began
}

// New returns a member that has seen nothing. The log is the caller's to feed, between calls.
func New(config Config, evidence *outlier.Log) (*Voter, error) {
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("ballot: %w", err)
	}
	voter := &Voter{config: config, evidence: evidence, peers: map[string]*peer{}, own: map[outlier.Host]*ownVote{}, ejections: map[outlier.Host]*ejection{}}
	for _, member := range config.Electorate.Members {
		if member == config.Self {
			voter.isMember = true
		} else {
			voter.peers[member] = &peer{votes: map[outlier.Host]peerVote{}}
		}
	}
	return voter, nil
}

// Receive takes a letter. One that is stale, of another roll or of no member is dropped with
// the reason as its error.
func (c *Voter) Receive(now time.Duration, message *VoteMessage) error {
	c.advanceClock(now)
	sender := c.peers[message.From]
	switch err := message.Validate(); {
	case err != nil:
		return err
	case sender == nil:
		return fmt.Errorf("letter: from: %s is not in the roll", message.From)
	case message.Electorate != c.config.Electorate.Number:
		return fmt.Errorf("letter: roll: %s votes by roll %d, this is %d", message.From, message.Electorate, c.config.Electorate.Number)
	case message.Incarnation == sender.incarnation && message.Sent < sender.newestSent:
		return fmt.Errorf("letter: sent: an older one of %s", message.From)
	}
	if message.Incarnation != sender.incarnation {
		// Another life. What the one before said holds until this one's word can be dated.
		sender.incarnation = message.Incarnation
	}
	sender.newestSent, sender.newestSentReceivedAt = message.Sent, now
	if message.EchoIncarnation != c.config.Incarnation || message.Echo > now {
		return nil // it can't be dated; ours will bring an echo
	}
	sent := min(message.Echo+time.Duration(float64(message.EchoAge)*(1-clockDrift)), now)
	votes := make(map[outlier.Host]peerVote, len(message.Entries))
	for _, entry := range message.Entries {
		votes[entry.Host] = peerVote{entry.Vote, sent + entry.ValidFor, entry.Reason, sent - entry.EvidenceAge}
	}
	sender.votes = votes
	return nil
}

// advanceClock sets the clock; the first call is the start of the quarantine.
func (c *Voter) advanceClock(now time.Duration) {
	if !c.started {
		c.started, c.startedAt, c.lastHeartbeat, c.changedAt = true, now, now, now
	}
	c.now = max(c.now, now)
}

// quarantined tells whether an earlier life may have granted what still stands.
func (c *Voter) quarantined() bool {
	if c.config.EarlierPromisesFor >= 0 {
		return c.now-c.startedAt < c.config.EarlierPromisesFor
	}
	return c.now-c.startedAt < c.config.MaxPromise()
}

// MaxPromise is how long a promise stands at the most.
func (c *Config) MaxPromise() time.Duration {
	return time.Duration(float64(c.MaxLease) * (1 + 2*clockDrift))
}

// PromisesPersisted takes that it is on disk, synced, that promises may stand until a time.
func (c *Voter) PromisesPersisted(until time.Duration) {
	c.persistedUntil = max(c.persistedUntil, until)
}

// Tick decides anew, with all that has come and was seen, and returns what is to be done. It
// is to be called every few tens of milliseconds.
func (c *Voter) Tick(now time.Duration) *Actions {
	c.advanceClock(now)
	c.actions = &Actions{Messages: map[string]*VoteMessage{}}
	announced := c.announcedVotes()
	fraction, observed := c.evidence.UnhealthyFraction(c.now)
	inPanic := observed >= minPanicObservations && fraction > 0.5
	for _, host := range c.knownHosts() {
		c.updateOwnVote(host, inPanic)
	}
	for _, host := range c.grantCandidates() {
		c.grantWithinCap(host)
	}
	c.expire()
	for _, host := range c.knownHosts() {
		c.updateEjection(host)
	}
	if !slices.Equal(announced, c.announcedVotes()) {
		c.changedAt, c.repeats = c.now, 0
		c.queueMessages(c.config.Electorate.Members)
	} else {
		c.repeatState()
	}
	standings := c.currentStandings()
	if !slices.Equal(standings, c.standings) {
		c.standings, c.actions.Standings, c.actions.StandingsChanged = standings, standings, true
	}
	return c.actions
}

// knownHosts are those that anyone has something to say of, in the order of their names.
func (c *Voter) knownHosts() []outlier.Host {
	set := map[outlier.Host]bool{}
	for _, h := range c.evidence.Suspects(c.now, c.config.MaxEvidenceAge) {
		set[h] = true
	}
	for h := range c.own {
		set[h] = true
	}
	for h := range c.ejections {
		set[h] = true
	}
	for _, p := range c.peers {
		for h, v := range p.votes {
			if v.until > c.now && v.vote >= Suspect {
				set[h] = true
			}
		}
	}
	out := make([]outlier.Host, 0, len(set))
	for h := range set {
		out = append(out, h)
	}
	slices.SortFunc(out, compare)
	return out
}

func compare(a, b outlier.Host) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// tally counts the members that want a host ejected, and those that deny it, by what each
// said last.
func (c *Voter) tally(host outlier.Host) (inFavour, against int) {
	add := func(a Vote) {
		switch a {
		case Suspect, Grant:
			inFavour++
		case Deny:
			against++
		}
	}
	if m := c.own[host]; m != nil && c.isMember {
		add(m.vote)
	}
	for _, p := range c.peers {
		if v, ok := p.votes[host]; ok && v.until > c.now {
			add(v.vote)
		}
	}
	return inFavour, against
}

// liveGrants are the members whose grants for a host are live, and when so many have lapsed
// that no majority is left.
func (c *Voter) liveGrants(host outlier.Host) (names []string, until time.Duration) {
	var expiries []time.Duration
	for _, name := range c.config.Electorate.Members {
		expiry, live := time.Duration(0), false
		if p := c.peers[name]; p != nil {
			v, ok := p.votes[host]
			expiry, live = v.until, ok && v.vote == Grant
		} else if m := c.own[host]; m != nil {
			expiry, live = m.until, m.vote == Grant
		}
		if live && expiry > c.now {
			names, expiries = append(names, name), append(expiries, expiry)
		}
	}
	if quorum := c.config.Electorate.Quorum(); len(expiries) >= quorum {
		slices.Sort(expiries)
		until = expiries[len(expiries)-quorum]
	}
	return names, until
}

// updateOwnVote is this member's own answer on a host by what it saw; a grant comes later.
func (c *Voter) updateOwnVote(host outlier.Host, inPanic bool) {
	record, listed := c.evidence.Record(host, c.now)
	own := c.own[host]
	if own == nil {
		if !listed {
			return
		}
		own = &ownVote{grantedAt: -1}
		c.own[host] = own
	}
	own.record = record
	before := own.vote
	granted := own.vote == Grant && own.until > c.now
	switch {
	case !c.isMember:
		own.vote, own.reason = Abstain, ReasonNotInElectorate
	case c.quarantined():
		own.vote, own.reason = Abstain, ReasonQuarantine
	case inPanic:
		own.vote, own.reason = Abstain, ReasonPanic
	case !listed:
		own.vote, own.reason = Abstain, ReasonNoEvidence
	case record.Healthy(c.now, c.config.MaxEvidenceAge) && (own.grantedAt < 0 || record.LastSuccessSent > own.grantedAt):
		own.vote, own.reason = Deny, ReasonSuccess
	case granted: // as promised; a renewal is grant's
	case record.Unhealthy(c.now, c.config.MaxEvidenceAge) && (own.grantedAt < 0 || record.LastFailureSent > own.grantedAt):
		if own.vote != Suspect { // or it says ReasonEjectionCap, for which nothing has changed
			own.reason = reasonFor(record.LastFailure)
		}
		own.vote = Suspect
	default:
		own.vote, own.reason = Abstain, ReasonNoEvidence
	}
	if own.vote != before && own.vote != Abstain {
		c.trace(own.vote.String(), host, own)
	}
	if record.LastProbeSent > record.LastFailureAt && own.attemptRequested && own.owedSince > 0 && record.LastProbeSent > own.owedSince && !own.probeAnswered {
		own.attemptRequested, own.probeAnswered = false, true // that it runs is no evidence: it is to be tried, once
	}
	if record.Attempts > 0 && (record.Healthy(c.now, c.config.MaxEvidenceAge) || record.Unhealthy(c.now, c.config.MaxEvidenceAge)) {
		own.owedSince, own.attemptRequested, own.probeAnswered = 0, false, false
	}
}

func reasonFor(k outlier.Outcome) Reason {
	switch k {
	case outlier.NoAnswer:
		return ReasonNoAnswer
	case outlier.Slow:
		return ReasonSlowness
	}
	return ReasonFailures
}

// grantCandidates are the hosts that this member may grant or renew now, the most wanted first, so
// that voters whose bounds are near spend them on the same hosts.
func (c *Voter) grantCandidates() []outlier.Host {
	var out []outlier.Host
	votesFor := map[outlier.Host]int{}
	for h, own := range c.own {
		// A renewal needs evidence of its own that is not too old, and of anyone that is newer
		// than the grant: one trial that fails keeps a host out, where each member would have
		// to try it otherwise.
		record := own.record
		unhealthy := record.LastFailureAt > record.LastSuccessSent && c.now-record.LastFailureAt <= renewalAgeFactor*c.config.MaxLease
		renewalDue := own.vote == Grant && own.until > c.now && own.until-c.now < (own.until-own.grantedAt)/2 && unhealthy && c.newestEvidence(h) > own.grantedAt
		if own.vote != Suspect && !renewalDue {
			continue
		}
		if inFavour, _ := c.tally(h); inFavour >= c.config.Electorate.Quorum() {
			votesFor[h] = inFavour
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b outlier.Host) int {
		return cmp.Or(cmp.Compare(votesFor[b], votesFor[a]), cmp.Compare(hash(a, 0, ""), hash(b, 0, "")), compare(a, b))
	})
	return out
}

// newestEvidence is when the newest evidence of anyone against a host was met.
func (c *Voter) newestEvidence(h outlier.Host) time.Duration {
	at := time.Duration(-1)
	if m := c.own[h]; m != nil {
		at = m.record.LastFailureSent
	}
	for _, p := range c.peers {
		if v, ok := p.votes[h]; ok && v.vote >= Suspect && v.until > c.now {
			at = max(at, v.evidenceAt)
		}
	}
	return at
}

// nextLease is how long this member's next grant for a host lasts.
func (c *Voter) nextLease(m *ownVote) time.Duration {
	return min(c.config.Lease<<min(m.grants, 16), c.config.MaxLease)
}

// grantWithinCap promises, if the bound allows.
func (c *Voter) grantWithinCap(host outlier.Host) {
	own := c.own[host]
	weight, zone := c.evidence.Weight(host)
	quorum, members := float64(c.config.Electorate.Quorum()), float64(len(c.config.Electorate.Members))
	promised := weight
	for other, otherVote := range c.own {
		if other != host && otherVote.zone == zone && otherVote.promisedUntil > c.now {
			promised += otherVote.weight
		}
	}
	if weight <= 0 || promised > c.config.MaxEjectedFraction*quorum/members+1e-9 {
		if own.vote == Suspect && own.reason != ReasonEjectionCap {
			own.reason = ReasonEjectionCap
			c.trace("over_cap", host, own)
		}
		return
	}
	if c.config.PersistsPromises && c.now+c.config.MaxPromise() > c.persistedUntil {
		c.actions.PersistPromisesUntil = c.now + 2*c.config.MaxPromise() // so that the next promises need not wait
		if c.now+time.Duration(float64(c.nextLease(own))*(1+2*clockDrift)) > c.persistedUntil {
			return
		}
	}
	lease, kind := c.nextLease(own), "grant"
	if own.vote == Grant {
		kind = "renew"
	}
	own.grants++
	own.vote, own.reason = Grant, reasonFor(own.record.LastFailure)
	own.grantedAt, own.until = c.now, c.now+lease
	// Weights move with the list; a promise is counted at the most that it was.
	if own.promisedUntil <= c.now || own.zone != zone {
		own.weight = 0
	}
	own.weight, own.zone = max(own.weight, weight), zone
	own.promisedUntil = c.now + time.Duration(float64(lease)*(1+2*clockDrift))
	c.trace(kind, host, own)
}

// updateEjection sets a host's standing by the live grants.
func (c *Voter) updateEjection(host outlier.Host) {
	names, until := c.liveGrants(host)
	ejected := len(names) >= c.config.Electorate.Quorum()
	state := c.ejections[host]
	if state == nil {
		if !ejected {
			return
		}
		state = &ejection{}
		c.ejections[host] = state
	}
	if ejected && state.ejected && until > state.until {
		c.actions.Trace = append(c.actions.Trace, TraceEvent{At: c.now, Kind: "hold", Host: host, Electorate: c.config.Electorate.Number, Granters: names, Until: until})
	}
	if ejected && until > state.until {
		state.lease = until - c.now
	}
	state.until = until
	switch {
	case ejected && !state.ejected:
		state.ejected, state.since, state.trialRoundBegan = true, c.now, c.now
		c.actions.Trace = append(c.actions.Trace, TraceEvent{At: c.now, Kind: "eject", Host: host, Electorate: c.config.Electorate.Number, Granters: names, Until: until})
	case !ejected && state.ejected:
		state.ejected, state.since = false, c.now
		c.actions.Trace = append(c.actions.Trace, TraceEvent{At: c.now, Kind: "return", Host: host, Electorate: c.config.Electorate.Number, Granters: names})
	case !ejected && c.now-state.since < c.slowStartDuration():
		// No step is earned while the last that was seen here was bad.
		if m := c.own[host]; m != nil && m.vote == Suspect {
			state.since = c.now
		}
	}
}

// expire drops what nobody has anything to say of any more.
func (c *Voter) expire() {
	for host, own := range c.own {
		_, listed := c.evidence.Incarnation(host.ID)
		inFavour, _ := c.tally(host)
		if own.vote > Deny || own.promisedUntil > c.now || inFavour > 0 && listed {
			continue
		}
		if !listed || c.now-own.promisedUntil > c.config.EscalationWindow || own.grants == 0 {
			delete(c.own, host)
		}
	}
	for host, state := range c.ejections {
		if !state.ejected && c.now-state.since > c.slowStartDuration() {
			delete(c.ejections, host)
		}
	}
	for _, p := range c.peers {
		for host, v := range p.votes {
			if v.until <= c.now {
				delete(p.votes, host)
			}
		}
	}
}

// slowStartDuration is how long a host takes to get its whole share back.
func (c *Voter) slowStartDuration() time.Duration {
	return time.Duration(len(slowStartShares)-1) * c.config.SlowStartStep
}

// currentStandings is the table for the agent.
func (c *Voter) currentStandings() (out []Standing) {
	for _, host := range c.knownHosts() {
		if state := c.ejections[host]; state != nil && state.ejected {
			out = append(out, c.withRequestedAttempt(Standing{Host: host, Until: state.until}, c.trialDue(host, state)))
			continue
		} else if state != nil && c.now-state.since < c.slowStartDuration() {
			out = append(out, Standing{Host: host, Share: slowStartShares[(c.now-state.since)/c.config.SlowStartStep], Until: state.since + c.slowStartDuration()})
			continue
		}
		if c.owesAttempt(host) {
			out = append(out, c.withRequestedAttempt(Standing{Host: host, Share: 1}, true))
		}
	}
	return out
}

// withRequestedAttempt asks for an attempt, or for a probe where the host is said to be silent: nobody's
// request is lost to find that out. One that answers probes again is tried.
func (c *Voter) withRequestedAttempt(standing Standing, attemptDue bool) Standing {
	if !attemptDue {
		return standing
	}
	unanswered := false
	for _, p := range c.peers {
		v, ok := p.votes[standing.Host]
		unanswered = unanswered || ok && v.vote >= Suspect && v.reason == ReasonNoAnswer && v.until > c.now
	}
	own := c.own[standing.Host]
	if own != nil && own.vote >= Suspect {
		unanswered = own.record.LastFailure == outlier.NoAnswer
	}
	standing.Probe = unanswered && (own == nil || own.record.LastProbeSent <= own.record.LastFailureAt || c.now-own.record.LastProbeSent > c.config.MaxEvidenceAge)
	standing.Trial = !standing.Probe
	return standing
}

// trialDue tells whether this member is to try an ejected host now: one is drawn for each round,
// another for the next, trialRoundsPerLease in a lease. Once a third of the members deny, a majority
// is to try it in two rounds; fewer may be liars.
func (c *Voter) trialDue(host outlier.Host, state *ejection) bool {
	interval, voters := max(c.config.TrialInterval, state.lease/trialRoundsPerLease), 1
	if _, against := c.tally(host); 3*against >= len(c.config.Electorate.Members) {
		interval, voters = c.config.TrialInterval, (c.config.Electorate.Quorum()+1)/2
	}
	if c.now-state.trialRoundBegan < interval {
		return false
	}
	state.trialRound, state.trialRoundBegan = state.trialRound+1, c.now
	return c.rank(host, state.trialRound) < voters
}

// owesAttempt tells whether this member is to attempt a host that another moved and that it has not
// met of late: one after the other, until enough have voted or somebody denies.
func (c *Voter) owesAttempt(host outlier.Host) bool {
	own := c.own[host]
	if own == nil || own.attemptRequested || own.vote != Abstain || own.reason != ReasonNoEvidence {
		return false
	}
	inFavour, against := c.tally(host)
	if inFavour == 0 || inFavour >= c.config.Electorate.Quorum() || against >= 2*inFavour {
		own.owedSince = 0
		return false
	}
	if own.owedSince == 0 {
		own.owedSince = c.now
	}
	if c.now-own.owedSince < firstAttemptDelay+time.Duration(c.rank(host, -1))*attemptStagger {
		return false
	}
	own.attemptRequested = true
	return true
}

// rank is this member's place among all for a host and a round, the same at all.
func (c *Voter) rank(host outlier.Host, round int64) (rank int) {
	ownHash := hash(host, round, c.config.Self)
	for _, name := range c.config.Electorate.Members {
		if hash(host, round, name) < ownHash {
			rank++
		}
	}
	return rank
}

func hash(h outlier.Host, round int64, name string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%d\x00%s", h.ID, h.Incarnation, round, name))
}

// announcedVote is an answer as others are told it, without what changes with the clock.
type announcedVote struct {
	host   outlier.Host
	vote   Vote
	reason Reason
	until  time.Duration
}

// announcedVotes is what others are to know, in the order of names: what only this member cares for
// is not.
func (c *Voter) announcedVotes() (out []announcedVote) {
	for host, own := range c.own {
		if in, _ := c.tally(host); in == 0 {
			continue
		}
		announced := announcedVote{host, own.vote, own.reason, 0}
		if own.vote == Grant {
			announced.until = own.until
		}
		out = append(out, announced)
	}
	slices.SortFunc(out, func(a, b announcedVote) int {
		return cmp.Or(cmp.Compare(b.vote, a.vote), compare(a.host, b.host))
	})
	return out[:min(len(out), maxEntries)]
}

// queueMessages writes to members.
func (c *Voter) queueMessages(members []string) {
	var entries []Entry
	for _, announced := range c.announcedVotes() {
		own := c.own[announced.host]
		entry := Entry{Host: announced.host, Vote: own.vote, Reason: own.reason, Attempts: own.record.Attempts, Failures: own.record.Failures, ValidFor: c.config.MaxEvidenceAge}
		switch own.vote {
		case Grant:
			entry.ValidFor = max(own.until-c.now, 0)
		case Suspect:
			entry.ValidFor = max(c.config.MaxEvidenceAge-(c.now-own.record.LastFailureAt), 0)
		case Deny:
			entry.ValidFor = max(c.config.MaxEvidenceAge-(c.now-own.record.LastSuccessSent), 0)
		}
		entry.EvidenceAge = min(max(c.now-own.record.LastFailureSent, 0), maxLease)
		entries = append(entries, entry)
	}
	for _, name := range members {
		p := c.peers[name]
		if p == nil {
			continue
		}
		message := &VoteMessage{Version: Version, From: c.config.Self, Incarnation: c.config.Incarnation, Electorate: c.config.Electorate.Number, Sent: c.now, Entries: entries}
		if p.incarnation != 0 {
			message.EchoIncarnation, message.Echo, message.EchoAge = p.incarnation, p.newestSent, c.now-p.newestSentReceivedAt
		}
		c.actions.Messages[name] = message
	}
}

// repeatState sends the state once more: some times after a change to all, and in turn to one.
func (c *Voter) repeatState() {
	if c.repeats < len(repeatDelays) && c.now-c.changedAt >= repeatDelays[c.repeats] {
		c.repeats++
		c.queueMessages(c.config.Electorate.Members)
		return
	}
	members := len(c.config.Electorate.Members)
	if interval := time.Second / time.Duration(min(heartbeatsPerSecond, members)); c.now-c.lastHeartbeat >= interval {
		c.lastHeartbeat = c.now // and not later by one: after a pause no burst is owed
		c.queueMessages(c.config.Electorate.Members[c.nextHeartbeatPeer : c.nextHeartbeatPeer+1])
		c.nextHeartbeatPeer = (c.nextHeartbeatPeer + 1) % members
	}
}

func (c *Voter) trace(kind string, host outlier.Host, own *ownVote) {
	event := TraceEvent{At: c.now, Kind: kind, Host: host, Reason: own.reason, Electorate: c.config.Electorate.Number, Attempts: own.record.Attempts, Failures: own.record.Failures}
	if own.vote == Grant {
		event.Until = own.until
	}
	c.actions.Trace = append(c.actions.Trace, event)
}
