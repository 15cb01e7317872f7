package ejection

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

const (
	// clockDrift bounds the relative difference between the rates of two clocks.
	clockDrift = 0.01
	// maxLease bounds a lease, and with it how long a restarted voter without stored state abstains.
	maxLease = 10 * time.Minute
	// minPanicObservations is the minimum number of hosts with recent attempts at which a voter that sees
	// most of them unhealthy assumes that it is at fault itself, and abstains.
	minPanicObservations = 4
	// heartbeatsPerSecond is the number of messages that a voter sends per second while its votes do not
	// change, but no more than one to each member.
	heartbeatsPerSecond = 10
	// renewalAgeFactor times MaxLease is the maximum age of the voter's own evidence for the renewal of a
	// grant; some voter must also have evidence newer than the grant.
	renewalAgeFactor = 4
	// trialRoundsPerLease is the number of trial rounds per lease.
	trialRoundsPerLease = 2
	// firstAttemptDelay is how long members without evidence wait before the first of them makes an
	// attempt at a host that others vote to eject; attemptStagger is the additional delay of each next
	// member.
	firstAttemptDelay, attemptStagger = 100 * time.Millisecond, 40 * time.Millisecond
)

// repeatDelays are the times after a change at which the votes are sent again, in case messages were lost.
var repeatDelays = [...]time.Duration{200 * time.Millisecond, time.Second}

// slowStartShares are the fractions of its usual share that a returning host gets in successive steps.
var slowStartShares = [...]float64{0.1, 0.3, 1}

// Standing tells the agent how to treat a host. A host without one gets its full share of requests.
type Standing struct {
	Host outlier.Host
	// Share is the fraction of its usual share of requests that the host gets, 0 if it is ejected. It
	// applies until Until; after that the host gets its full share.
	Share float64
	Until time.Duration
	// Trial asks for one attempt with an idempotent request, Probe for one health check.
	Trial, Probe bool
}

// TraceEvent describes a change of a vote or of an ejection, for traces and logs.
type TraceEvent struct {
	At         time.Duration
	Kind       string // "grant", "renew", "over_cap", "deny", "suspect", "eject", "hold", "return"
	Host       outlier.Host
	Reason     Reason
	Electorate uint64
	Attempts   int
	Failures   int
	Granters   []string      // members with live grants, for eject, hold and return
	Until      time.Duration // expiry, for grant, renew, eject and hold; otherwise 0
}

// Actions is what the voter asks its caller to do.
type Actions struct {
	// Messages are the messages to send, by the name of the recipient.
	Messages map[string]*VoteMessage
	// Standings replace all earlier standings if StandingsChanged is true.
	Standings        []Standing
	StandingsChanged bool
	Trace            []TraceEvent
	// PersistPromisesUntil, if not 0, is the time until which promises may stand. The caller stores it and
	// calls PromisesPersisted once it is durable.
	PersistPromisesUntil time.Duration
}

// Voter is the state machine of one member. It does no I/O and is not safe for concurrent use. All times
// are durations on the monotonic clock since a fixed start.
type Voter struct {
	config            Config
	evidence          *outlier.Log
	now               time.Duration
	startedAt         time.Duration
	started           bool
	persistedUntil    time.Duration // stored time until which promises may stand; 0 if none is stored
	isMember          bool          // whether this agent is in the electorate
	changedAt         time.Duration // when the announced votes last changed
	repeats           int           // index into repeatDelays
	lastHeartbeat     time.Duration
	nextHeartbeatPeer int // index into the electorate
	peers             map[string]*peer
	own               map[outlier.Host]*ownVote
	ejections         map[outlier.Host]*ejection
	standings         []Standing
	actions           *Actions
}

// peer is the last known state of another member.
type peer struct {
	incarnation          uint64
	newestSent           time.Duration // newest Sent of that incarnation
	newestSentReceivedAt time.Duration // when that message was received
	votes                map[outlier.Host]peerVote
}

// peerVote is the vote of another member on a host.
type peerVote struct {
	vote       Vote
	expiresAt  time.Duration
	reason     Reason
	evidenceAt time.Duration // lower bound of the time of its newest evidence against the host
}

// New returns a voter without votes. The caller records observations in evidence between calls.
func New(config Config, evidence *outlier.Log) (*Voter, error) {
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("ejection: %w", err)
	}
	voter := &Voter{config: config, evidence: evidence, peers: map[string]*peer{}, own: map[outlier.Host]*ownVote{},
		ejections: map[outlier.Host]*ejection{}}
	for _, member := range config.Electorate.Members {
		if member == config.Self {
			voter.isMember = true
		} else {
			voter.peers[member] = &peer{votes: map[outlier.Host]peerVote{}}
		}
	}
	return voter, nil
}

// Receive processes a message from another member. For a message that is stale, invalid, of another
// electorate or from a non-member it changes no vote and returns an error.
func (v *Voter) Receive(now time.Duration, message *VoteMessage) error {
	v.advanceClock(now)
	sender := v.peers[message.From]
	switch err := message.Validate(); {
	case err != nil:
		return err
	case sender == nil:
		return fmt.Errorf("vote message: from: %s is not in the electorate", message.From)
	case message.Electorate != v.config.Electorate.Number:
		return fmt.Errorf("vote message: electorate: %s votes in electorate %d, this voter in %d", message.From,
			message.Electorate, v.config.Electorate.Number)
	case message.Incarnation == sender.incarnation && message.Sent < sender.newestSent:
		return fmt.Errorf("vote message: sent: older than the last message from %s", message.From)
	}
	if message.Incarnation != sender.incarnation {
		// The sender restarted. Its earlier votes count until the send time of a message of its new run is
		// known.
		sender.incarnation = message.Incarnation
	}
	sender.newestSent, sender.newestSentReceivedAt = message.Sent, now
	if message.EchoIncarnation != v.config.Incarnation || message.Echo > now {
		return nil // its send time is unknown without an echo; the reply to our next message will have one
	}
	sent := min(message.Echo+time.Duration(float64(message.EchoAge)*(1-clockDrift)), now)
	votes := make(map[outlier.Host]peerVote, len(message.Entries))
	for _, entry := range message.Entries {
		votes[entry.Host] = peerVote{entry.Vote, sent + entry.ValidFor, entry.Reason, sent - entry.EvidenceAge}
	}
	sender.votes = votes
	return nil
}

// advanceClock sets the time of this call. The first call starts the quarantine.
func (v *Voter) advanceClock(now time.Duration) {
	if !v.started {
		v.started, v.startedAt, v.lastHeartbeat, v.changedAt = true, now, now, now
	}
	v.now = max(v.now, now)
}

// quarantined reports whether a promise of an earlier run may still stand.
func (v *Voter) quarantined() bool {
	if v.config.EarlierPromisesFor >= 0 {
		return v.now-v.startedAt < v.config.EarlierPromisesFor
	}
	return v.now-v.startedAt < v.config.MaxPromise()
}

// PromisesPersisted informs the voter that the time until which promises may stand is durably stored.
func (v *Voter) PromisesPersisted(until time.Duration) {
	v.persistedUntil = max(v.persistedUntil, until)
}

// Tick updates all votes and ejections with the messages and evidence received since the last call. Call
// it every few tens of milliseconds. The result is valid until the next call.
func (v *Voter) Tick(now time.Duration) *Actions {
	v.advanceClock(now)
	v.actions = &Actions{Messages: map[string]*VoteMessage{}}
	announced := v.announcedVotes()
	fraction, observed := v.evidence.UnhealthyFraction(v.now)
	inPanic := observed >= minPanicObservations && fraction > 0.5
	for _, host := range v.knownHosts() {
		v.updateOwnVote(host, inPanic)
	}
	for _, host := range v.grantCandidates() {
		v.grantWithinCap(host)
	}
	v.expire()
	for _, host := range v.knownHosts() {
		v.updateEjection(host)
	}
	if !slices.Equal(announced, v.announcedVotes()) {
		v.changedAt, v.repeats = v.now, 0
		v.queueMessages(v.config.Electorate.Members)
	} else {
		v.repeatState()
	}
	standings := v.currentStandings()
	if !slices.Equal(standings, v.standings) {
		v.standings, v.actions.Standings, v.actions.StandingsChanged = standings, standings, true
	}
	return v.actions
}

// knownHosts returns the hosts that are unhealthy by this member's evidence, that it has a vote on, that are
// ejected or in slow start, or that another member votes to eject, ordered by ID.
func (v *Voter) knownHosts() []outlier.Host {
	set := map[outlier.Host]bool{}
	for _, h := range v.evidence.Suspects(v.now, v.config.MaxEvidenceAge) {
		set[h] = true
	}
	for h := range v.own {
		set[h] = true
	}
	for h := range v.ejections {
		set[h] = true
	}
	for _, p := range v.peers {
		for h, vote := range p.votes {
			if vote.expiresAt > v.now && vote.vote >= Suspect {
				set[h] = true
			}
		}
	}
	out := make([]outlier.Host, 0, len(set))
	for h := range set {
		out = append(out, h)
	}
	slices.SortFunc(out, compareHosts)
	return out
}

// compareHosts orders hosts by ID, then by incarnation.
func compareHosts(a, b outlier.Host) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// trace adds an event about this member's vote on a host.
func (v *Voter) trace(kind string, host outlier.Host, own *ownVote) {
	event := TraceEvent{At: v.now, Kind: kind, Host: host, Reason: own.reason,
		Electorate: v.config.Electorate.Number, Attempts: own.record.Attempts, Failures: own.record.Failures}
	if own.vote == Grant {
		event.Until = own.grantExpiry
	}
	v.actions.Trace = append(v.actions.Trace, event)
}
