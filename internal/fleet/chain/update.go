package chain

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/go-faster/errors"
)

// Digest identifies an update.
type Digest [16]byte

// Update is a conditional change of the register that a client submits.
type Update struct {
	Patch   bool   `msgpack:"Patch"`   // merge Body into the configuration (PATCH) instead of replacing it (PUT)
	IfMatch int64  `msgpack:"IfMatch"` // the revision that it builds on, 0 for the first
	Body    []byte `msgpack:"Body"`    // as received
}

// Digest is the same for the same update: the same bytes in the body, the same revision (If-Match)
// and the same method (PUT or PATCH). Other white space or another order of keys make another
// update, even where the resulting configuration would be the same.
func (u *Update) Digest() (d Digest) {
	hash := sha256.New()
	header := make([]byte, 9)
	if u.Patch {
		header[0] = 1
	}
	binary.BigEndian.PutUint64(header[1:], uint64(u.IfMatch))
	hash.Write(header)
	hash.Write(u.Body)
	copy(d[:], hash.Sum(nil))
	return d
}

// Transition computes the next body and its revision from the current body, which is nil for the
// first update. An error means that the update is invalid, and says why. It must be deterministic
// and must modify neither argument.
type Transition func(current []byte, update *Update) (next []byte, revision int64, err error)

// Outcome is what became of an update.
type Outcome uint8

// The outcomes. Their numbers are part of the protocol.
const (
	OutcomeUnknown   Outcome = iota // the update may or may not be committed, now or later
	OutcomeCommitted                // it is committed
	OutcomeConflict                 // another update of the same revision was committed, or IfMatch is not current
	OutcomeInvalid                  // the update can't be applied to the current configuration
)

// String returns the outcome's name for logs and tests.
func (o Outcome) String() string {
	return [...]string{"unknown", "committed", "conflict", "invalid"}[o&3]
}

// Result answers an update.
type Result struct {
	Outcome  Outcome `msgpack:"Kind"`
	Revision int64   `msgpack:"Revision"` // OutcomeCommitted: the resulting revision; OutcomeConflict and OutcomeInvalid: the current one
	Reason   string  `msgpack:"Reason"`   // OutcomeInvalid: what is wrong with the update; OutcomeUnknown: what failed
	Final    bool    `msgpack:"Final"`    // OutcomeUnknown: every replica gives the same answer to a retry of the update
}

// reasonTooOld is the reason of an unknown outcome of an update that may have been committed before
// the recorded history begins.
const reasonTooOld = "the change builds on a revision that is older than the recorded history, so it may have been applied before: " +
	"read the configuration again, and submit the change on its newest revision if it is missing there"

// Apply evaluates an update against the current value. If final is true, the result is the answer to
// the update and there is nothing to commit. Otherwise the caller has to commit next, and may give
// the result as the answer once that is done.
func Apply(current *Value, update *Update, transition Transition) (next *Value, result Result, final bool) {
	digest := update.Digest()
	if revision, applied := current.RevisionOf(digest); applied {
		return nil, Result{Outcome: OutcomeCommitted, Revision: revision}, true
	}
	if update.IfMatch != current.Revision {
		if current.mayHaveApplied(update.IfMatch) {
			return nil, Result{Reason: reasonTooOld, Final: true}, true
		}
		return nil, Result{Outcome: OutcomeConflict, Revision: current.Revision}, true
	}
	body, revision, err := transition(current.Body, update)
	if err == nil && (len(body) > MaxBody || revision <= current.Revision) {
		err = errors.Errorf("revision: give one above %d, and a configuration of at most %d bytes", current.Revision, MaxBody)
	}
	if err != nil {
		return nil, Result{Outcome: OutcomeInvalid, Revision: current.Revision, Reason: err.Error()}, true
	}
	recent, older := current.historyWith(AppliedUpdate{Digest: digest, Revision: revision})
	next = &Value{Seq: current.Seq + 1, Revision: revision, Body: body, Recent: recent, Older: older}
	return next, Result{Outcome: OutcomeCommitted, Revision: revision}, false
}
