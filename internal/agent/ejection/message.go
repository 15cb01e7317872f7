package ejection

import (
	"fmt"
	"slices"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/outlier"
)

// Answer is what a voter says of a host.
type Answer uint8

// The answers. Suspect and Grant are in favour of an ejection, Deny is against; whoever
// abstains says why.
const (
	Abstain Answer = iota
	Deny           // the last that was seen of the host was good
	Suspect        // the last that was seen of it was bad; nothing is promised
	Grant          // the same, and a promise: the host counts against the voter's bound
)

// String names the answer as logs and traces have it.
func (a Answer) String() string { return [...]string{"abstain", "deny", "suspect", "grant"}[a] }

// Why is the reason of an answer.
type Why uint8

// The reasons: what kind of evidence there is, or why there is no vote.
const (
	ByFailures Why = iota
	BySilence
	BySlowness
	BySuccess
	NoEvidence
	OverCap    // the voter has granted as much as it may
	InPanic    // so much looks bad that the observer is the likelier fault
	Quarantine // an earlier life may have granted what this one does not know of
	NotInRoll
)

// String names the reason as logs and traces have it.
func (w Why) String() string {
	return [...]string{"failures", "silence", "slowness", "success", "no_evidence", "over_cap", "panic", "quarantine", "not_in_roll"}[w]
}

// Entry is a voter's answer on one host. It holds for Left from when it was sent.
type Entry struct {
	Host          outlier.Host
	Answer        Answer
	Why           Why
	Attempts, Bad int
	Seen          time.Duration // how old the newest evidence is that speaks against the host
	Left          time.Duration
}

const (
	// Version is that of the letters. Another is turned away.
	Version = 1
	// maxEntries bounds a letter, and so what a voter may be busy with at once.
	maxEntries = 24
	// maxName bounds the names of members and hosts.
	maxName = 128
)

// Letter is all that one voter says, to one other. It is the voter's whole state: the newest
// one makes all before it stale, so any may be lost, repeated or come late.
//
// Sent is the sender's clock. Echo gives back the newest Sent that the sender had from the
// addressee, of the life EchoBoot, and Kept for how long it had it by then. So the addressee
// knows, by its own clock alone, a time before which the letter was not sent: Echo + Kept.
type Letter struct {
	Version  int
	From     string
	Boot     uint64 // names the life of the sender's process
	Roll     uint64 // number of the roll that the sender votes by
	Sent     time.Duration
	EchoBoot uint64
	Echo     time.Duration
	Kept     time.Duration
	Entries  []Entry
}

// Check tells what is wrong with a letter of another process, by field.
func (l *Letter) Check() error {
	switch {
	case l.Version != Version:
		return fmt.Errorf("letter: version: %d, %d is spoken", l.Version, Version)
	case l.From == "" || len(l.From) > maxName:
		return fmt.Errorf("letter: from: a name of %d bytes", len(l.From))
	case len(l.Entries) > maxEntries:
		return fmt.Errorf("letter: entries: %d, at most %d are taken", len(l.Entries), maxEntries)
	case l.Sent < 0 || l.Echo < 0 || l.Kept < 0:
		return fmt.Errorf("letter: sent, echo and kept must not be negative, are %v, %v and %v", l.Sent, l.Echo, l.Kept)
	}
	for i, e := range l.Entries {
		switch {
		case e.Host.ID == "" || len(e.Host.ID) > maxName:
			return fmt.Errorf("letter: entries[%d].host: a name of %d bytes", i, len(e.Host.ID))
		case e.Answer > Grant || e.Why > NotInRoll:
			return fmt.Errorf("letter: entries[%d]: unknown answer %d or reason %d", i, e.Answer, e.Why)
		case e.Attempts < 0 || e.Bad < 0 || e.Bad > e.Attempts:
			return fmt.Errorf("letter: entries[%d].bad: %d of %d attempts", i, e.Bad, e.Attempts)
		case e.Left < 0 || e.Left > mostLease || e.Seen < 0 || e.Seen > mostLease:
			return fmt.Errorf("letter: entries[%d].left and seen: must be 0 to %v, are %v and %v", i, mostLease, e.Left, e.Seen)
		case slices.ContainsFunc(l.Entries[:i], func(o Entry) bool { return o.Host == e.Host }):
			return fmt.Errorf("letter: entries[%d].host: %s is named twice", i, e.Host.ID)
		}
	}
	return nil
}
