package chain

import (
	"bytes"
	"encoding/binary"
	"iter"

	"github.com/go-faster/errors"
)

const (
	// MaxRecentUpdates is how many taken orders a value remembers with their whole digests.
	MaxRecentUpdates = 64
	// MaxOlderUpdates is how many taken orders before those it remembers by the first bytes of theirs.
	MaxOlderUpdates = 960
	// olderDigest is how many bytes those are. One of MaxOlderUpdates remembered orders has the same first
	// 8 bytes as a given other order with a chance of 5e-17.
	olderDigest = 8
	// maxOlderBytes bounds the encoding of the older orders.
	maxOlderBytes = MaxOlderUpdates * (olderDigest + binary.MaxVarintLen64)
)

// AppliedUpdate is an order that was taken, and the revision that it led to.
type AppliedUpdate struct {
	Digest   Digest `msgpack:"Digest"`
	Revision int64  `msgpack:"Revision"`
}

// olderOrder is an order of the older memory.
type olderOrder struct {
	digest   []byte // its first bytes
	revision int64
	end      int // of its encoding
}

// older yields the orders before those of Past, newest first, as far as they are well encoded. Each
// is encoded as the first bytes of its digest and, as a variable-length integer, how much lower its
// revision is than that of the order after it.
func (v *Value) older() iter.Seq[olderOrder] {
	return func(yield func(olderOrder) bool) {
		if len(v.Recent) == 0 {
			return
		}
		revision := v.Recent[0].Revision
		for at := 0; at+olderDigest < len(v.Older); {
			digest := v.Older[at : at+olderDigest]
			step, size := binary.Uvarint(v.Older[at+olderDigest:])
			if size <= 0 || step == 0 || step >= uint64(revision) {
				return
			}
			at += olderDigest + size
			revision -= int64(step)
			if !yield(olderOrder{digest: digest, revision: revision, end: at}) {
				return
			}
		}
	}
}

// RevisionOf tells the revision that an order led to, if it is one of those remembered.
func (v *Value) RevisionOf(d Digest) (revision int64, ok bool) {
	for _, p := range v.Recent {
		if p.Digest == d {
			return p.Revision, true
		}
	}
	for o := range v.older() {
		if bytes.Equal(o.digest, d[:olderDigest]) {
			return o.revision, true
		}
	}
	return 0, false
}

// mayHaveTaken tells whether an order on a revision may be one that was taken and is forgotten. An
// order leads to a higher revision than the one it builds on, so a forgotten one builds on a lower
// revision than the oldest remembered order led to.
func (v *Value) mayHaveTaken(ifMatch int64) bool {
	if len(v.Recent) == 0 {
		return v.Seq > 0
	}
	remembered, oldest := len(v.Recent), v.Recent[0].Revision
	for o := range v.older() {
		remembered++
		oldest = o.revision
	}
	return v.Seq > uint64(remembered) && ifMatch < oldest
}

// remember gives the memory of the value after v, which is the one that an order led to.
func (v *Value) remember(taken AppliedUpdate) (past []AppliedUpdate, older []byte) {
	past = append(append(past, v.Recent...), taken)
	if len(past) <= MaxRecentUpdates {
		return past, v.Older
	}
	older = append(older, past[0].Digest[:olderDigest]...)
	older = binary.AppendUvarint(older, uint64(past[1].Revision-past[0].Revision))
	kept, entries := 0, 1
	for o := range v.older() {
		if entries == MaxOlderUpdates {
			break
		}
		entries++
		kept = o.end
	}
	return past[1:], append(older, v.Older[:kept]...)
}

// checkMemory refuses a memory that no head can have made.
func (v *Value) checkMemory() error {
	if len(v.Recent) > MaxRecentUpdates || len(v.Older) > maxOlderBytes || (v.Seq == 0) != (len(v.Recent) == 0) {
		return errors.Errorf("value %d remembers %d orders and %d bytes of older ones", v.Seq, len(v.Recent), len(v.Older))
	}
	entries, end := 0, 0
	for o := range v.older() {
		entries++
		end = o.end
	}
	if end != len(v.Older) || entries > MaxOlderUpdates || uint64(len(v.Recent)+entries) > v.Seq {
		return errors.Errorf("value %d remembers %d orders and %d older ones in %d of %d bytes", v.Seq, len(v.Recent), entries, end, len(v.Older))
	}
	return nil
}
