// Package chain owns the replicated register that keeps the operator's configuration: one value
// with its version, passed along the chain of a view from head to tail. It is pure.
//
// The register is whole in each value, so a member has one record: the newest value it was given
// and the number of the view in which it was given. The head checks an order against its value,
// keeps the next value on disk and passes it on; each member keeps it on disk and passes it on;
// what the tail has kept is committed, and the word of it goes back up. One order is under way at
// a time.
//
// Guaranteed, with the views of package view:
//   - a member takes values of its own view only, and of one view only newer ones, so late words
//     of another life of the head change nothing;
//   - a complete member holds each value that was committed while it was in the chain, and those
//     from before it joined: in a view since it joined it was given the value of a complete
//     member, by the first push of the view or directly, and nothing is committed in a view
//     without each of its members;
//   - a value that came directly makes a joiner complete even while a member before it is dead. It
//     is no answer for readers, and gives way to whatever comes along the chain of the same view;
//   - of two orders on one version at most one is committed, and an order that was committed is
//     known by its digest as taken while it is among the last MaxRecentUpdates + MaxOlderUpdates. An order on a
//     revision from before those is left unclear, never refused.
//
// Not guaranteed: that an order without an answer is dropped. It may be committed with the first
// push of the next head, or be given up with the head's value where no member of the next chain
// had it.
package chain

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// MaxBody bounds the body of a value or an order, in bytes.
const MaxBody = 6 << 20

// Digest tells one order from another.
type Digest [16]byte

// Value is the register. Seq counts committed orders; 0 is the empty register.
type Value struct {
	Seq      uint64          `msgpack:"Seq"`
	Revision int64           `msgpack:"Revision"`
	Body     []byte          `msgpack:"Body"`            // immutable
	Recent   []AppliedUpdate `msgpack:"Past"`            // the last MaxRecentUpdates taken, oldest first; immutable
	Older    []byte          `msgpack:"Older,omitempty"` // up to MaxOlderUpdates taken before those, encoded; immutable
}

// Checksum tells one value from another of the same Seq. Older is left out of it: a process that does
// not know it yet drops it, and its copy is as good.
func (v *Value) Checksum() uint64 {
	h := sha256.New()
	var n [16]byte
	binary.BigEndian.PutUint64(n[:], v.Seq)
	binary.BigEndian.PutUint64(n[8:], uint64(v.Revision))
	h.Write(n[:])
	h.Write(v.Body)
	for _, p := range v.Recent {
		h.Write(p.Digest[:])
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// Validate refuses a value that no head can have made.
func (v *Value) Validate() error {
	if len(v.Body) > MaxBody || v.Revision < 0 {
		return errors.Errorf("value %d has %d bytes and revision %d", v.Seq, len(v.Body), v.Revision)
	}
	return v.checkMemory()
}

// Record is what a member keeps on disk.
type Record struct {
	View   uint64 `msgpack:"View"` // number of the view in which the value was given; 0: never
	Value  Value  `msgpack:"Value"`
	Direct bool   `msgpack:"Direct"` // it did not come along the chain
}

// Update is one change that the operator asks for.
type Update struct {
	Patch   bool   `msgpack:"Patch"`
	IfMatch int64  `msgpack:"IfMatch"` // the revision it builds on, 0 for the first
	Body    []byte `msgpack:"Body"`
}

// Digest is the same for the same order: one with the same bytes in its body, on the same revision
// (If-Match) and by the same method (PUT or PATCH). Other white space or another order of keys make
// another order, even where the configuration would be the same.
func (o *Update) Digest() (d Digest) {
	h := sha256.New()
	head := make([]byte, 9)
	if o.Patch {
		head[0] = 1
	}
	binary.BigEndian.PutUint64(head[1:], uint64(o.IfMatch))
	h.Write(head)
	h.Write(o.Body)
	copy(d[:], h.Sum(nil))
	return d
}

// Transition makes the next body of an order and the current body, which is nil for the first, or tells
// why the order is invalid. It is pure and keeps both unchanged.
type Transition func(current []byte, o *Update) (next []byte, revision int64, err error)

// Outcome is what became of an order.
type Outcome uint8

// The kinds of verdicts. Unclear promises nothing: the order may be taken or not.
const (
	OutcomeUnknown Outcome = iota
	OutcomeCommitted
	OutcomeConflict
	OutcomeInvalid
)

// String is the kind's name.
func (k Outcome) String() string { return [...]string{"unclear", "taken", "conflict", "invalid"}[k&3] }

// Result answers an order.
type Result struct {
	Outcome  Outcome `msgpack:"Kind"`
	Revision int64   `msgpack:"Revision"` // Taken: the one it led to; Conflict: the current one
	Reason   string  `msgpack:"Reason"`   // Invalid: what is wrong; Unclear: what failed
	Final    bool    `msgpack:"Final"`    // Unclear: the same order gets the same answer again, at any process
}

// unknownOrder is the reason of an Unclear verdict on an order that may be one of the forgotten.
const unknownOrder = "the order builds on a revision so old that it may have been taken and forgotten since: " +
	"read the configuration again, and send the order on its newest revision if the change is not in it"

// Apply checks an order against the current value. Without a final verdict, next is the value to
// commit for it.
func Apply(cur *Value, o *Update, check Transition) (next *Value, v Result, final bool) {
	d := o.Digest()
	if rev, ok := cur.RevisionOf(d); ok {
		return nil, Result{Outcome: OutcomeCommitted, Revision: rev}, true
	}
	if o.IfMatch != cur.Revision {
		if cur.mayHaveTaken(o.IfMatch) {
			return nil, Result{Reason: unknownOrder, Final: true}, true
		}
		return nil, Result{Outcome: OutcomeConflict, Revision: cur.Revision}, true
	}
	body, rev, err := check(cur.Body, o)
	if err == nil && (len(body) > MaxBody || rev <= cur.Revision) {
		err = errors.Errorf("revision: give one above %d, and a configuration of at most %d bytes", cur.Revision, MaxBody)
	}
	if err != nil {
		return nil, Result{Outcome: OutcomeInvalid, Revision: cur.Revision, Reason: err.Error()}, true
	}
	past, older := cur.remember(AppliedUpdate{d, rev})
	return &Value{Seq: cur.Seq + 1, Revision: rev, Body: body, Recent: past, Older: older}, Result{Outcome: OutcomeCommitted, Revision: rev}, false
}

// Replica is one member's part in the chain: what is on its disk. A change counts once it is there.
type Replica struct {
	ID     string
	View   view.View
	Record Record
}

// Complete tells whether the member holds all that was acknowledged.
func (r *Replica) Complete() bool {
	i := r.View.Position(r.ID)
	return i >= 0 && (r.View.Chain[i].JoinedIn == 1 || r.Record.View >= r.View.Chain[i].JoinedIn)
}

// IsHead tells whether the member orders what is written.
func (r *Replica) IsHead() bool { return r.View.Position(r.ID) == 0 }

// Push is one value on its way along the chain of a view or, from a complete member to one that is
// not yet, directly.
type Push struct {
	View   view.View `msgpack:"View"`
	Value  Value     `msgpack:"Value"`
	Direct bool      `msgpack:"Direct"`
}

// Receive is what a member does with a push of its own view: the record to keep before the push is
// passed on, and whether that is a change. A push of another view is refused, as is one to a
// member that is the head or no member.
func (r *Replica) Receive(q *Push) (rec Record, change bool, err error) {
	switch i := r.View.Position(r.ID); {
	case q.View.Number != r.View.Number:
		return r.Record, false, errors.Errorf("push of view %d at view %d", q.View.Number, r.View.Number)
	case i <= 0:
		return r.Record, false, errors.Errorf("push to place %d of the chain", i)
	case q.Direct:
		change = !r.Complete()
	default:
		change = r.Record.View != q.View.Number || r.Record.Direct || q.Value.Seq > r.Record.Value.Seq
	}
	if !change {
		return r.Record, false, nil
	}
	return Record{View: q.View.Number, Value: q.Value, Direct: q.Direct}, true, nil
}

// CommittedValue is what the tail tells a reader, once a majority of the voters has confirmed its view: the
// newest committed value. It is not known before the first push of the view came through.
func (r *Replica) CommittedValue() (Value, bool) {
	if i := r.View.Position(r.ID); i < 0 || i != len(r.View.Chain)-1 {
		return Value{}, false
	}
	return r.Record.Value, len(r.View.Chain) == 1 || r.Record.View == r.View.Number && !r.Record.Direct
}
