package chain

import (
	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// Record is the state that a replica persists.
type Record struct {
	View   uint64 `msgpack:"View"` // number of the view in which the value was received; 0 if none was received
	Value  Value  `msgpack:"Value"`
	Direct bool   `msgpack:"Direct"` // the value was transferred directly instead of along the chain
}

// Replica is the persistent state of one member of the chain. A change takes effect once it is on disk.
type Replica struct {
	ID     string // ID of the member
	View   view.View
	Record Record
}

// Complete reports whether the replica is a member of the chain that has everything that was acknowledged:
// it joined in view 1 or has received a value since it joined.
func (r *Replica) Complete() bool {
	position := r.View.Position(r.ID)
	return position >= 0 && (r.View.Chain[position].JoinedIn == 1 || r.Record.View >= r.View.Chain[position].JoinedIn)
}

// IsHead reports whether the replica is the head, which orders updates.
func (r *Replica) IsHead() bool { return r.View.Position(r.ID) == 0 }

// Push replicates a value along the chain of a view. A direct push transfers it from a complete
// replica to one that is not complete yet, and is not forwarded.
type Push struct {
	View   view.View `msgpack:"View"`
	Value  Value     `msgpack:"Value"`
	Direct bool      `msgpack:"Direct"`
}

// Receive handles a push. It returns the record to persist before the push is forwarded, and whether
// that differs from the current record. It rejects a push of another view, and any push to the head or to
// a replica outside of the chain.
func (r *Replica) Receive(push *Push) (record Record, changed bool, err error) {
	switch position := r.View.Position(r.ID); {
	case push.View.Number != r.View.Number:
		return r.Record, false, errors.Errorf("push of view %d in view %d", push.View.Number, r.View.Number)
	case position <= 0:
		return r.Record, false, errors.Errorf("push to position %d of the chain", position)
	case push.Direct:
		changed = !r.Complete()
	default:
		changed = r.Record.View != push.View.Number || r.Record.Direct || push.Value.Seq > r.Record.Value.Seq
	}
	if !changed {
		return r.Record, false, nil
	}
	return Record{View: push.View.Number, Value: push.Value, Direct: push.Direct}, true, nil
}

// CommittedValue returns the newest committed value if the replica is the tail and the first push of
// its view has arrived along the chain. Before the caller answers a read with the value, it must confirm
// with a quorum of the voters that the view is still the newest.
func (r *Replica) CommittedValue() (value Value, ok bool) {
	position := r.View.Position(r.ID)
	if position < 0 || position != len(r.View.Chain)-1 {
		return Value{}, false
	}
	return r.Record.Value, len(r.View.Chain) == 1 || r.Record.View == r.View.Number && !r.Record.Direct
}
