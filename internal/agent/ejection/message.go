package ejection

import (
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// Vote is what a voter says of a host.
type Vote uint8

// The answers. Suspect and Grant are in favour of an ejection, Deny is against; whoever
// abstains says why.
const (
	Abstain Vote = iota
	Deny         // the last that was seen of the host was good
	Suspect      // the last that was seen of it was bad; nothing is promised
	Grant        // the same, and a promise: the host counts against the voter's bound
)

// String names the answer as logs and traces have it.
func (a Vote) String() string { return [...]string{"abstain", "deny", "suspect", "grant"}[a] }

// Reason is the reason of an answer.
type Reason uint8

// The reasons: what kind of evidence there is, or why there is no vote.
const (
	ReasonFailures Reason = iota
	ReasonNoAnswer
	ReasonSlowness
	ReasonSuccess
	ReasonNoEvidence
	ReasonEjectionCap // the voter has granted as much as it may
	ReasonPanic       // so much looks bad that the observer is the likelier fault
	ReasonQuarantine  // an earlier life may have granted what this one does not know of
	ReasonNotInElectorate
)

// String names the reason as logs and traces have it.
func (w Reason) String() string {
	return [...]string{"failures", "silence", "slowness", "success", "no_evidence", "over_cap", "panic", "quarantine", "not_in_roll"}[w]
}

// Entry is a voter's answer on one host. It holds for Left from when it was sent.
type Entry struct {
	Host               outlier.Host
	Vote               Vote
	Reason             Reason
	Attempts, Failures int
	EvidenceAge        time.Duration // how old the newest evidence is that speaks against the host
	ValidFor           time.Duration
}

const (
	// Version is that of the letters. Another is turned away.
	Version = 1
	// maxEntries bounds a letter, and so what a voter may be busy with at once.
	maxEntries = 24
	// maxName bounds the names of members and hosts.
	maxName = 128
)

// VoteMessage is all that one voter says, to one other. It is the voter's whole state: the newest
// one makes all before it stale, so any may be lost, repeated or come late.
//
// Sent is the sender's clock. Echo gives back the newest Sent that the sender had from the
// addressee, of the life EchoIncarnation, and Kept for how long it had it by then. So the addressee
// knows, by its own clock alone, a time before which the letter was not sent: Echo + Kept.
type VoteMessage struct {
	Version         int
	From            string
	Incarnation     uint64 // names the life of the sender's process
	Electorate      uint64 // number of the roll that the sender votes by
	Sent            time.Duration
	EchoIncarnation uint64
	Echo            time.Duration
	EchoAge         time.Duration
	Entries         []Entry
}

// Validate tells what is wrong with a letter of another process, by field.
func (message *VoteMessage) Validate() error {
	switch {
	case message.Version != Version:
		return fmt.Errorf("letter: version: %d, %d is spoken", message.Version, Version)
	case message.From == "" || len(message.From) > maxName:
		return fmt.Errorf("letter: from: a name of %d bytes", len(message.From))
	case len(message.Entries) > maxEntries:
		return fmt.Errorf("letter: entries: %d, at most %d are taken", len(message.Entries), maxEntries)
	case message.Sent < 0 || message.Echo < 0 || message.EchoAge < 0:
		return fmt.Errorf("letter: sent, echo and kept must not be negative, are %v, %v and %v", message.Sent, message.Echo, message.EchoAge)
	}
	for i, e := range message.Entries {
		switch {
		case e.Host.ID == "" || len(e.Host.ID) > maxName:
			return fmt.Errorf("letter: entries[%d].host: a name of %d bytes", i, len(e.Host.ID))
		case e.Vote > Grant || e.Reason > ReasonNotInElectorate:
			return fmt.Errorf("letter: entries[%d]: unknown answer %d or reason %d", i, e.Vote, e.Reason)
		case e.Attempts < 0 || e.Failures < 0 || e.Failures > e.Attempts:
			return fmt.Errorf("letter: entries[%d].bad: %d of %d attempts", i, e.Failures, e.Attempts)
		case e.ValidFor < 0 || e.ValidFor > maxLease || e.EvidenceAge < 0 || e.EvidenceAge > maxLease:
			return fmt.Errorf("letter: entries[%d].left and seen: must be 0 to %v, are %v and %v", i, maxLease, e.ValidFor, e.EvidenceAge)
		case slices.ContainsFunc(message.Entries[:i], func(o Entry) bool { return o.Host == e.Host }):
			return fmt.Errorf("letter: entries[%d].host: %s is named twice", i, e.Host.ID)
		}
	}
	return nil
}
