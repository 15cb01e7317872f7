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
	// minPanicObservations is how many hosts a voter must have attempts at before a majority of unhealthy
	// ones counts as a fault of its own.
	minPanicObservations = 4
	// heartbeatsPerSecond is the number of members that get the votes each second while nothing changes,
	// each of them at most once.
	heartbeatsPerSecond = 10
	// renewalAgeFactor times MaxLease is the age up to which own evidence suffices for a renewal, as long as
	// newer evidence of another voter supports it.
	renewalAgeFactor = 4
	// trialRoundsPerLease is the number of rounds of trials in a lease.
	trialRoundsPerLease = 2
	// firstAttemptDelay is how long members without evidence wait before the first of them makes an
	// attempt at a host that others vote to eject; attemptStagger is the delay of each next one.
	firstAttemptDelay, attemptStagger = 100 * time.Millisecond, 40 * time.Millisecond
)

// repeatDelays are the times after a change at which the votes are repeated, as messages get lost.
var repeatDelays = [...]time.Duration{200 * time.Millisecond, time.Second}

// slowStartShares are the fractions of its share that a returning host gets, step by step.
var slowStartShares = [...]float64{0.1, 0.3, 1}

// Standing tells the agent how to treat a host. A host without one gets its full share of requests.
type Standing struct {
	Host outlier.Host
	// Share is the fraction of its usual share, 0 for an ejected host. It holds until Until and is 1
	// afterwards.
	Share float64
	Until time.Duration
	// Trial requests one attempt with an idempotent request, Probe requests a health check.
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
	Granters   []string      // of eject, hold and return
	Until      time.Duration // of grant, eject and hold
}

// Actions is what the voter asks of its caller.
type Actions struct {
	// Messages are to be sent to members, by name.
	Messages map[string]*VoteMessage
	// Standings replaces all earlier standings if StandingsChanged is true.
	Standings        []Standing
	StandingsChanged bool
	Trace            []TraceEvent
	// PersistPromisesUntil, if not 0, asks the caller to store that promises may stand until that time, and to
	// call PromisesPersisted once the store is durable.
	PersistPromisesUntil time.Duration
}

// Voter is the state machine of one member. It does no I/O and is not safe for concurrent use. Times
// are durations since a fixed start on the monotonic clock.
type Voter struct {
	config            Config
	evidence          *outlier.Log
	now               time.Duration
	startedAt         time.Duration
	started           bool
	persistedUntil    time.Duration // until when promises may stand according to the disk
	isMember          bool
	changedAt         time.Duration
	repeats           int // index into repeatDelays
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
	until      time.Duration
	reason     Reason
	evidenceAt time.Duration // upper bound of the time of its newest evidence against the host
}

// New returns a voter without votes. The caller records observations in evidence between calls.
func New(config Config, evidence *outlier.Log) (*Voter, error) {
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("ejection: %w", err)
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

// Receive processes a message of another member. A message that is stale, invalid, of another
// electorate or of no member changes nothing and returns an error.
func (v *Voter) Receive(now time.Duration, message *VoteMessage) error {
	v.advanceClock(now)
	sender := v.peers[message.From]
	switch err := message.Validate(); {
	case err != nil:
		return err
	case sender == nil:
		return fmt.Errorf("vote message: from: %s is not in the electorate", message.From)
	case message.Electorate != v.config.Electorate.Number:
		return fmt.Errorf("vote message: roll: %s votes in electorate %d, this is %d", message.From, message.Electorate, v.config.Electorate.Number)
	case message.Incarnation == sender.incarnation && message.Sent < sender.newestSent:
		return fmt.Errorf("vote message: sent: older than the last one of %s", message.From)
	}
	if message.Incarnation != sender.incarnation {
		// The sender restarted. Its earlier votes stand until a message of this run can be dated.
		sender.incarnation = message.Incarnation
	}
	sender.newestSent, sender.newestSentReceivedAt = message.Sent, now
	if message.EchoIncarnation != v.config.Incarnation || message.Echo > now {
		return nil // without an echo it can't be dated; the reply to our next message will have one
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

// quarantined reports whether a grant of an earlier run may still stand.
func (v *Voter) quarantined() bool {
	if v.config.EarlierPromisesFor >= 0 {
		return v.now-v.startedAt < v.config.EarlierPromisesFor
	}
	return v.now-v.startedAt < v.config.MaxPromise()
}

// PromisesPersisted tells the voter that it is durably stored that promises may stand until a time.
func (v *Voter) PromisesPersisted(until time.Duration) {
	v.persistedUntil = max(v.persistedUntil, until)
}

// Tick reevaluates all votes and ejections with the messages and evidence received since the last
// call. It is to be called every few tens of milliseconds; the result is valid until the next call.
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

// knownHosts returns the hosts on which any member has a vote or evidence, ordered by ID.
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
			if vote.until > v.now && vote.vote >= Suspect {
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

func (v *Voter) trace(kind string, host outlier.Host, own *ownVote) {
	event := TraceEvent{At: v.now, Kind: kind, Host: host, Reason: own.reason, Electorate: v.config.Electorate.Number, Attempts: own.record.Attempts, Failures: own.record.Failures}
	if own.vote == Grant {
		event.Until = own.until
	}
	v.actions.Trace = append(v.actions.Trace, event)
}
