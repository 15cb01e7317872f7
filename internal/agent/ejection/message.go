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

// The votes. Suspect and Grant are for the ejection, Deny is against it. The Reason of an Abstain vote is
// why the voter abstains.
const (
	Abstain Vote = iota
	Deny         // the voter's last attempt at the host succeeded
	Suspect      // its last attempt failed; nothing is promised
	Grant        // like Suspect, with a promise that counts against the cap until it expires
)

// String returns the name used in logs and traces.
func (v Vote) String() string { return [...]string{"abstain", "deny", "suspect", "grant"}[v] }

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
func (r Reason) String() string {
	return [...]string{"failures", "silence", "slowness", "success", "no_evidence", "over_cap", "panic",
		"quarantine", "not_in_roll"}[r]
}

// Entry is a voter's vote on one host.
type Entry struct {
	Host               outlier.Host
	Vote               Vote
	Reason             Reason
	Attempts, Failures int
	EvidenceAge        time.Duration // age of the newest evidence against the host
	ValidFor           time.Duration // how long the vote is valid from when the message was sent
}

const (
	// Version is the version of the protocol. Messages of other versions are rejected.
	Version = 1
	// maxEntries bounds the entries of a message, and thus the hosts that a voter can vote on at once.
	maxEntries = 24
	// maxName bounds the names of members and hosts, in bytes.
	maxName = 128
)

// VoteMessage carries all votes of one voter to one other. Each message holds the complete state: the
// newest one replaces all earlier ones, so any message may be lost, repeated or delayed.
//
// Sent is the send time on the sender's clock. Echo is the newest Sent that the sender has received from
// the run EchoIncarnation of the recipient, and EchoAge is the time since it received that. So the recipient
// knows, from its own clock alone, that the message was not sent before Echo + EchoAge.
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

// Validate returns an error that names the first invalid field of a message from another process.
func (message *VoteMessage) Validate() error {
	switch {
	case message.Version != Version:
		return fmt.Errorf("vote message: version: %d, want %d", message.Version, Version)
	case message.From == "" || len(message.From) > maxName:
		return fmt.Errorf("vote message: from: invalid name length %d", len(message.From))
	case len(message.Entries) > maxEntries:
		return fmt.Errorf("vote message: entries: %d, at most %d are allowed", len(message.Entries), maxEntries)
	case message.Sent < 0 || message.Echo < 0 || message.EchoAge < 0:
		return fmt.Errorf("vote message: sent, echo and echo age must not be negative, are %v, %v and %v",
			message.Sent, message.Echo, message.EchoAge)
	}
	for i, e := range message.Entries {
		switch {
		case e.Host.ID == "" || len(e.Host.ID) > maxName:
			return fmt.Errorf("vote message: entries[%d].host: invalid name length %d", i, len(e.Host.ID))
		case e.Vote > Grant || e.Reason > ReasonNotInElectorate:
			return fmt.Errorf("vote message: entries[%d]: unknown vote %d or reason %d", i, e.Vote, e.Reason)
		case e.Attempts < 0 || e.Failures < 0 || e.Failures > e.Attempts:
			return fmt.Errorf("vote message: entries[%d].failures: %d of %d attempts", i, e.Failures, e.Attempts)
		case e.ValidFor < 0 || e.ValidFor > maxLease || e.EvidenceAge < 0 || e.EvidenceAge > maxLease:
			return fmt.Errorf("vote message: entries[%d].valid-for and evidence age: must be 0 to %v, are %v and %v",
				i, maxLease, e.ValidFor, e.EvidenceAge)
		case slices.ContainsFunc(message.Entries[:i], func(o Entry) bool { return o.Host == e.Host }):
			return fmt.Errorf("vote message: entries[%d].host: %s is listed twice", i, e.Host.ID)
		}
	}
	return nil
}

// announcedVote holds what is sent of a vote, except for the fields that change with time. A change of
// any of them is sent at once.
type announcedVote struct {
	host        outlier.Host
	vote        Vote
	reason      Reason
	grantExpiry time.Duration // 0 if vote is not Grant
}

// announcedVotes returns the votes to send: grants first, then votes of Suspect, Deny and Abstain. Votes on
// hosts that no member votes to eject are omitted.
func (v *Voter) announcedVotes() (out []announcedVote) {
	for host, own := range v.own {
		if in, _ := v.tally(host); in == 0 {
			continue
		}
		announced := announcedVote{host, own.vote, own.reason, 0}
		if own.vote == Grant {
			announced.grantExpiry = own.grantExpiry
		}
		out = append(out, announced)
	}
	slices.SortFunc(out, func(a, b announcedVote) int {
		return cmp.Or(cmp.Compare(b.vote, a.vote), compareHosts(a.host, b.host))
	})
	return out[:min(len(out), maxEntries)]
}

// queueMessages adds a message with all announced votes for each of the given members.
func (v *Voter) queueMessages(members []string) {
	var entries []Entry
	for _, announced := range v.announcedVotes() {
		own := v.own[announced.host]
		entry := Entry{Host: announced.host, Vote: own.vote, Reason: own.reason, Attempts: own.record.Attempts,
			Failures: own.record.Failures, ValidFor: v.config.MaxEvidenceAge}
		switch own.vote {
		case Grant:
			entry.ValidFor = max(own.grantExpiry-v.now, 0)
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
		message := &VoteMessage{Version: Version, From: v.config.Self, Incarnation: v.config.Incarnation,
			Electorate: v.config.Electorate.Number, Sent: v.now, Entries: entries}
		if p.incarnation != 0 {
			message.EchoIncarnation, message.Echo, message.EchoAge = p.incarnation, p.newestSent,
				v.now-p.newestSentReceivedAt
		}
		v.actions.Messages[name] = message
	}
}

// repeatState sends the votes again: to all members at each of repeatDelays after a change, and otherwise
// to one member at a time, in turn.
func (v *Voter) repeatState() {
	if v.repeats < len(repeatDelays) && v.now-v.changedAt >= repeatDelays[v.repeats] {
		v.repeats++
		v.queueMessages(v.config.Electorate.Members)
		return
	}
	members := len(v.config.Electorate.Members)
	if interval := time.Second / time.Duration(min(heartbeatsPerSecond, members)); v.now-v.lastHeartbeat >= interval {
		v.lastHeartbeat = v.now // not advanced by the interval, which would cause a burst after a pause
		v.queueMessages(v.config.Electorate.Members[v.nextHeartbeatPeer : v.nextHeartbeatPeer+1])
		v.nextHeartbeatPeer = (v.nextHeartbeatPeer + 1) % members
	}
}
