package controlplane

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/bindiff"
	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// Values travel as what changed since one that the receiver has, where that is shorter. A receiver that does not
// have it says so and is sent the whole value; one that runs an earlier program does not know the call.

// errUnknownBase reports a difference to a value that this process does not have.
var errUnknownBase = errors.New("difference to a value that is not known here")

// valueDiff is a value as what changed since another one.
type valueDiff struct {
	BaseSeq uint64       `msgpack:"b"` // sequence number of the other value
	Content bindiff.Diff `msgpack:"c"` // between their encodings
}

// storedAt is the value that another member of the chain is known to have on its disk.
type storedAt struct {
	id  string // of the member's disk
	seq uint64 // of the value
}

// diffValue returns the difference between two values, or nil where the whole value is better.
func diffValue(base, value *chain.Value) *valueDiff {
	if len(value.Body) < bindiff.MinBytes || len(base.Body) < bindiff.MinBytes {
		return nil
	}
	encodedBase, err := msgpack.Marshal(base)
	if err != nil {
		return nil
	}
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		return nil
	}
	content, ok := bindiff.Compute(encodedBase, encoded)
	if !ok {
		return nil
	}
	return &valueDiff{BaseSeq: base.Seq, Content: content}
}

// apply returns the value that a difference to one of some values leads to.
func (d *valueDiff) apply(candidates ...chain.Value) (value chain.Value, err error) {
	for i := range candidates {
		if candidates[i].Seq == d.BaseSeq && d.BaseSeq > 0 {
			return d.applyTo(&candidates[i])
		}
	}
	return chain.Value{}, errUnknownBase
}

func (d *valueDiff) applyTo(base *chain.Value) (value chain.Value, err error) {
	encodedBase, err := msgpack.Marshal(base)
	if err != nil {
		return chain.Value{}, err
	}
	encoded, err := d.Content.Apply(encodedBase)
	if err != nil {
		return chain.Value{}, err
	}
	err = msgpack.Unmarshal(encoded, &value)
	return value, err
}

// sendPush sends a push along the chain to the successor: what changed if the successor has the value before,
// else all.
func (m *Member) sendPush(ctx context.Context, successor view.Member, push chain.Push) (*pushResponse, error) {
	if diff := m.diffForSuccessor(successor.ID, &push.Value); diff != nil {
		response, err := call[pushDiffRequest, pushResponse](ctx, m, successor.Addr, callPushDiff,
			&pushDiffRequest{To: successor.ID, View: push.View, Diff: *diff})
		sent := err == nil && !response.NeedsValue
		if sent || err != nil && !errors.Is(err, rpc.ErrUnknownMethod) {
			return response, err
		}
	}
	return call[pushRequest, pushResponse](ctx, m, successor.Addr, callPush, &pushRequest{To: successor.ID, Push: push})
}

// diffForSuccessor returns the difference between the value that the successor has and another one, nil if that
// is not known here.
func (m *Member) diffForSuccessor(id string, value *chain.Value) *valueDiff {
	m.mu.Lock()
	stored, committed := m.register.successor, m.register.committed
	m.mu.Unlock()
	switch {
	case stored.id != id:
		return nil
	case stored.seq == value.Seq:
		return diffValue(value, value)
	case stored.seq == committed.Seq:
		return diffValue(&committed, value)
	}
	return nil
}

// recordStored notes which value the successor has stored.
func (m *Member) recordStored(id string, seq uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.register.successor = storedAt{id, seq}
}

// handlePushDiff restores a pushed value and handles the push.
func (m *Member) handlePushDiff(ctx context.Context, request *pushDiffRequest) (*pushResponse, error) {
	m.mu.Lock()
	record, committed := m.register.record, m.register.committed
	m.mu.Unlock()
	value, err := request.Diff.apply(record.Value, committed)
	if err != nil {
		return &pushResponse{NeedsValue: true, RejectReason: err.Error()}, nil
	}
	return m.handlePush(ctx, &pushRequest{To: request.To, Push: chain.Push{View: request.View, Value: value}})
}

// requestValue returns the newest value that a peer knows as committed. The peer sends only what changed if it
// has the one that is known here.
func (m *Member) requestValue(ctx context.Context, addr string) (chain.Value, error) {
	known, _ := m.Committed()
	response, err := call[valueRequest, valueResponse](ctx, m, addr, callValue, &valueRequest{KnownSeq: known.Seq})
	if err != nil {
		return chain.Value{}, err
	}
	if response.Diff == nil {
		return response.Value, nil
	}
	if value, err := response.Diff.apply(known); err == nil {
		return value, nil
	}
	return m.requestWholeValue(ctx, addr)
}

// requestWholeValue is requestValue for a value that must not rest on the one that is known here.
func (m *Member) requestWholeValue(ctx context.Context, addr string) (chain.Value, error) {
	response, err := call[valueRequest, valueResponse](ctx, m, addr, callValue, &valueRequest{})
	if err != nil {
		return chain.Value{}, err
	}
	return response.Value, nil
}

// handleValue answers with the newest value that is known here as committed.
func (m *Member) handleValue(_ context.Context, request *valueRequest) (*valueResponse, error) {
	m.mu.Lock()
	committed, previous := m.register.committed, m.register.previous
	m.mu.Unlock()
	if request.KnownSeq > 0 && request.KnownSeq == previous.Seq {
		if diff := diffValue(&previous, &committed); diff != nil {
			return &valueResponse{Diff: diff}, nil
		}
	}
	return &valueResponse{Value: committed}, nil
}
