package chain

import (
	"bytes"
	"encoding/binary"
	"iter"

	"github.com/go-faster/errors"
)

const (
	// MaxRecentUpdates is how many applied updates a value records with their full digests.
	MaxRecentUpdates = 64
	// MaxOlderUpdates is how many applied updates before those it records with a digest prefix.
	MaxOlderUpdates = 960
	// digestPrefix is the length of that prefix in bytes. The chance that one of MaxOlderUpdates
	// updates has the same prefix of 8 bytes as a given other update is 5e-17.
	digestPrefix = 8
	// maxOlderBytes is the largest size of the encoded older updates.
	maxOlderBytes = MaxOlderUpdates * (digestPrefix + binary.MaxVarintLen64)
)

// AppliedUpdate is an update that was applied, and the revision that it led to.
type AppliedUpdate struct {
	Digest   Digest `msgpack:"Digest"`
	Revision int64  `msgpack:"Revision"`
}

// olderUpdate is one decoded entry of Value.Older.
type olderUpdate struct {
	prefix   []byte // of its digest
	revision int64  // that it led to
	end      int    // offset of the first byte behind the entry
}

// olderUpdates iterates over the updates before those of Recent, newest first, up to the first entry
// that is malformed. Each entry is the prefix of the update's digest and, as a variable-length
// integer, by how much its revision is lower than that of the next update.
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

// RevisionOf returns the revision that an update led to. Applied is false if the update was not
// applied or is older than the recorded history.
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

// mayHaveApplied reports whether an update of the given revision may have been applied before the
// recorded history begins. An update leads to a higher revision than the one it builds on, so those
// from before the history build on a lower revision than its oldest update led to.
func (v *Value) mayHaveApplied(ifMatch int64) bool {
	if len(v.Recent) == 0 {
		return v.Seq > 0
	}
	recorded, oldest := len(v.Recent), v.Recent[0].Revision
	for update := range v.olderUpdates() {
		recorded++
		oldest = update.revision
	}
	return v.Seq > uint64(recorded) && ifMatch < oldest
}

// historyWith returns the history of the value that an update of v leads to.
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

// validateHistory returns an error for a history that no head can have recorded.
func (v *Value) validateHistory() error {
	if len(v.Recent) > MaxRecentUpdates || len(v.Older) > maxOlderBytes || (v.Seq == 0) != (len(v.Recent) == 0) {
		return errors.Errorf("value %d records %d recent updates and %d bytes of older ones", v.Seq, len(v.Recent), len(v.Older))
	}
	entries, end := 0, 0
	for update := range v.olderUpdates() {
		entries++
		end = update.end
	}
	if end != len(v.Older) || entries > MaxOlderUpdates || uint64(len(v.Recent)+entries) > v.Seq {
		return errors.Errorf("value %d records %d recent updates and %d older ones in %d of %d bytes", v.Seq, len(v.Recent), entries, end, len(v.Older))
	}
	return nil
}
