package ejection

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// Vote is the position of a voter on the ejection of a host.
type Vote uint8

// The votes. Suspect and Grant are for the ejection, Deny is against it; an abstention has a Reason.
const (
	Abstain Vote = iota
	Deny         // the last attempt at the host succeeded
	Suspect      // the last attempt at it failed; nothing is promised
	Grant        // as Suspect, with a promise that counts against the cap until it expires
)

// String returns the name used in logs and traces.
func (a Vote) String() string { return [...]string{"abstain", "deny", "suspect", "grant"}[a] }

// Reason explains a vote.
type Reason uint8

// The reasons: the kind of evidence, or why the voter abstains.
const (
	ReasonFailures Reason = iota
	ReasonNoAnswer
	ReasonSlowness
	ReasonSuccess
	ReasonNoEvidence
	ReasonEjectionCap // the promises of the voter have reached the cap
	ReasonPanic       // most hosts look unhealthy, so the voter itself is probably at fault
	ReasonQuarantine  // grants of an earlier run, unknown to this one, may still stand
	ReasonNotInElectorate
)

// String returns the name used in logs and traces.
func (w Reason) String() string {
	return [...]string{"failures", "silence", "slowness", "success", "no_evidence", "over_cap", "panic", "quarantine", "not_in_roll"}[w]
}

// Entry is a voter's vote on one host. It is valid for ValidFor from when the message was sent.
type Entry struct {
	Host               outlier.Host
	Vote               Vote
	Reason             Reason
	Attempts, Failures int
	EvidenceAge        time.Duration // age of the newest evidence against the host
	ValidFor           time.Duration
}

const (
	// Version is the version of the protocol. Messages of another one are rejected.
	Version = 1
	// maxEntries bounds a message, and with it the hosts that a voter votes on at once.
	maxEntries = 24
	// maxName bounds the names of members and hosts.
	maxName = 128
)

// VoteMessage carries all votes of one voter to one other. Each message holds the complete state, so
// that the newest one replaces all earlier ones and any may be lost, repeated or delayed.
//
// Sent is a time on the sender's clock. Echo is the newest Sent that the sender had received from the
// addressee, of the run EchoIncarnation, and EchoAge is how long before it had received that. So the
// addressee knows, by its own clock alone, a time before which the message was not sent: Echo + EchoAge.
//
// It is encoded as an array, so the order of the fields is part of the protocol.
type VoteMessage struct {
	Version         int
	From            string
	Incarnation     uint64 // identifies the run of the sender's process
	Electorate      uint64 // number of the sender's electorate
	Sent            time.Duration
	EchoIncarnation uint64
	Echo            time.Duration
	EchoAge         time.Duration
	Entries         []Entry
}

// Validate returns an error that names the first invalid field of a message of another process.
func (message *VoteMessage) Validate() error {
	switch {
	case message.Version != Version:
		return fmt.Errorf("vote message: version: %d, this one is %d", message.Version, Version)
	case message.From == "" || len(message.From) > maxName:
		return fmt.Errorf("vote message: from: a name of %d bytes", len(message.From))
	case len(message.Entries) > maxEntries:
		return fmt.Errorf("vote message: entries: %d, at most %d are allowed", len(message.Entries), maxEntries)
	case message.Sent < 0 || message.Echo < 0 || message.EchoAge < 0:
		return fmt.Errorf("vote message: sent, echo and kept must not be negative, are %v, %v and %v", message.Sent, message.Echo, message.EchoAge)
	}
	for i, e := range message.Entries {
		switch {
		case e.Host.ID == "" || len(e.Host.ID) > maxName:
			return fmt.Errorf("vote message: entries[%d].host: a name of %d bytes", i, len(e.Host.ID))
		case e.Vote > Grant || e.Reason > ReasonNotInElectorate:
			return fmt.Errorf("vote message: entries[%d]: unknown answer %d or reason %d", i, e.Vote, e.Reason)
		case e.Attempts < 0 || e.Failures < 0 || e.Failures > e.Attempts:
			return fmt.Errorf("vote message: entries[%d].bad: %d of %d attempts", i, e.Failures, e.Attempts)
		case e.ValidFor < 0 || e.ValidFor > maxLease || e.EvidenceAge < 0 || e.EvidenceAge > maxLease:
			return fmt.Errorf("vote message: entries[%d].left and seen: must be 0 to %v, are %v and %v", i, maxLease, e.ValidFor, e.EvidenceAge)
		case slices.ContainsFunc(message.Entries[:i], func(o Entry) bool { return o.Host == e.Host }):
			return fmt.Errorf("vote message: entries[%d].host: %s is named twice", i, e.Host.ID)
		}
	}
	return nil
}

// announcedVote is a vote as it is sent, without the fields that change with the clock.
type announcedVote struct {
	host   outlier.Host
	vote   Vote
	reason Reason
	until  time.Duration
}

// announcedVotes returns the votes to send, the strongest first. Votes on hosts that no member wants
// ejected are left out.
func (v *Voter) announcedVotes() (out []announcedVote) {
	for host, own := range v.own {
		if in, _ := v.tally(host); in == 0 {
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

// queueMessages adds a message with all announced votes for each of the given members.
func (v *Voter) queueMessages(members []string) {
	var entries []Entry
	for _, announced := range v.announcedVotes() {
		own := v.own[announced.host]
		entry := Entry{Host: announced.host, Vote: own.vote, Reason: own.reason, Attempts: own.record.Attempts, Failures: own.record.Failures, ValidFor: v.config.MaxEvidenceAge}
		switch own.vote {
		case Grant:
			entry.ValidFor = max(own.until-v.now, 0)
		case Suspect:
			entry.ValidFor = max(v.config.MaxEvidenceAge-(v.now-own.record.LastFailureAt), 0)
		case Deny:
			entry.ValidFor = max(v.config.MaxEvidenceAge-(v.now-own.record.LastSuccessSent), 0)
		}
		entry.EvidenceAge = min(max(v.now-own.record.LastFailureSent, 0), maxLease)
		entries = append(entries, entry)
	}
	for _, name := range members {
		p := v.peers[name]
		if p == nil {
			continue
		}
		message := &VoteMessage{Version: Version, From: v.config.Self, Incarnation: v.config.Incarnation, Electorate: v.config.Electorate.Number, Sent: v.now, Entries: entries}
		if p.incarnation != 0 {
			message.EchoIncarnation, message.Echo, message.EchoAge = p.incarnation, p.newestSent, v.now-p.newestSentReceivedAt
		}
		v.actions.Messages[name] = message
	}
}

// repeatState repeats the votes: to all members at repeatDelays after a change, else to one in turn.
func (v *Voter) repeatState() {
	if v.repeats < len(repeatDelays) && v.now-v.changedAt >= repeatDelays[v.repeats] {
		v.repeats++
		v.queueMessages(v.config.Electorate.Members)
		return
	}
	members := len(v.config.Electorate.Members)
	if interval := time.Second / time.Duration(min(heartbeatsPerSecond, members)); v.now-v.lastHeartbeat >= interval {
		v.lastHeartbeat = v.now // not advanced by the interval: a pause must not be followed by a burst
		v.queueMessages(v.config.Electorate.Members[v.nextHeartbeatPeer : v.nextHeartbeatPeer+1])
		v.nextHeartbeatPeer = (v.nextHeartbeatPeer + 1) % members
	}
}
