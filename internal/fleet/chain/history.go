package chain

import (
	"bytes"
	"encoding/binary"
	"iter"

	"github.com/go-faster/errors"
)

const (
	// MaxRecentUpdates is the number of newest applied updates that a value records with full digests.
	MaxRecentUpdates = 64
	// MaxOlderUpdates is the number of applied updates before those, which it records with a prefix of
	// each digest.
	MaxOlderUpdates = 960
	// digestPrefix is the length of these prefixes in bytes. The probability that one of MaxOlderUpdates
	// updates has the same 8-byte prefix as a given other update is 5e-17.
	digestPrefix = 8
	// maxOlderBytes is the largest size of the encoded older updates.
	maxOlderBytes = MaxOlderUpdates * (digestPrefix + binary.MaxVarintLen64)
)

// AppliedUpdate records an update that was applied, and the revision that it led to.
type AppliedUpdate struct {
	Digest   Digest `msgpack:"Digest"`
	Revision int64  `msgpack:"Revision"`
}

// olderUpdate is one decoded entry of Value.Older.
type olderUpdate struct {
	prefix   []byte // prefix of the update's digest
	revision int64  // the revision that the update led to
	end      int    // offset of the first byte after the entry
}

// olderUpdates iterates over the updates in Older, newest first, up to the first malformed entry. Each
// entry consists of the prefix of the update's digest and the difference between the revision of the
// next newer update and its own, as a variable-length integer.
func (v *Value) olderUpdates() iter.Seq[olderUpdate] {
	return func(yield func(olderUpdate) bool) {
		if len(v.Recent) == 0 {
			return
		}
		revision := v.Recent[0].Revision
		for offset := 0; offset+digestPrefix < len(v.Older); {
			prefix := v.Older[offset : offset+digestPrefix]
			step, size := binary.Uvarint(v.Older[offset+digestPrefix:])
			if size <= 0 || step == 0 || step >= uint64(revision) {
				return
			}
			offset += digestPrefix + size
			revision -= int64(step)
			if !yield(olderUpdate{prefix: prefix, revision: revision, end: offset}) {
				return
			}
		}
	}
}

// RevisionOf returns the revision that an update led to. Applied is false if the update was not applied,
// or was applied before the recorded history begins.
func (v *Value) RevisionOf(digest Digest) (revision int64, applied bool) {
	for _, update := range v.Recent {
		if update.Digest == digest {
			return update.Revision, true
		}
	}
	for update := range v.olderUpdates() {
		if bytes.Equal(update.prefix, digest[:digestPrefix]) {
			return update.revision, true
		}
	}
	return 0, false
}

// mayHaveApplied reports whether an update that builds on the given revision may have been applied before
// the recorded history begins. Each update leads to a higher revision than the one it builds on, so such
// an update builds on a lower revision than the one that the oldest recorded update led to.
func (v *Value) mayHaveApplied(ifMatch int64) bool {
	if len(v.Recent) == 0 {
		return v.Seq > 0
	}
	recordedUpdates, oldestRevision := len(v.Recent), v.Recent[0].Revision
	for update := range v.olderUpdates() {
		recordedUpdates++
		oldestRevision = update.revision
	}
	return v.Seq > uint64(recordedUpdates) && ifMatch < oldestRevision
}

// historyWith returns the history of the next value, after an update was applied to v.
func (v *Value) historyWith(update AppliedUpdate) (recent []AppliedUpdate, older []byte) {
	recent = append(append(recent, v.Recent...), update)
	if len(recent) <= MaxRecentUpdates {
		return recent, v.Older
	}
	older = append(older, recent[0].Digest[:digestPrefix]...)
	older = binary.AppendUvarint(older, uint64(recent[1].Revision-recent[0].Revision))
	retained, entries := 0, 1
	for entry := range v.olderUpdates() {
		if entries == MaxOlderUpdates {
			break
		}
		entries++
		retained = entry.end
	}
	return recent[1:], append(older, v.Older[:retained]...)
}

// validateHistory returns an error if the history is malformed, so that no head can have recorded it.
func (v *Value) validateHistory() error {
	if len(v.Recent) > MaxRecentUpdates || len(v.Older) > maxOlderBytes || (v.Seq == 0) != (len(v.Recent) == 0) {
		return errors.Errorf("value %d records %d recent updates and %d bytes of older ones",
			v.Seq, len(v.Recent), len(v.Older))
	}
	entries, end := 0, 0
	for update := range v.olderUpdates() {
		entries++
		end = update.end
	}
	if end != len(v.Older) || entries > MaxOlderUpdates || uint64(len(v.Recent)+entries) > v.Seq {
		return errors.Errorf("value %d records %d recent updates and %d older ones in %d of %d bytes",
			v.Seq, len(v.Recent), entries, end, len(v.Older))
	}
	return nil
}
