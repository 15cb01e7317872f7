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

// A value is sent as a difference to one that the receiver has, if that is shorter. The whole value is sent if the
// receiver responds that it lacks the base of the difference, or runs an earlier version that does not know the call.

// errUnknownBase reports a difference whose base this process does not have.
var errUnknownBase = errors.New("difference to a value that is not known here")

// valueDiff is a value encoded as the difference to a base value.
type valueDiff struct {
	BaseSeq uint64       `msgpack:"b"` // sequence number of the base
	Content bindiff.Diff `msgpack:"c"` // difference between the encodings of the two values
}

// successorValue identifies the value that the next member of the chain is known to have on its disk.
type successorValue struct {
	id  string // ID of the member's disk; empty if nothing is known
	seq uint64 // sequence number of the value
}

// diffValue returns the difference from base to value, or nil if the whole value should be sent.
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

// apply returns the value that results from applying the difference to the candidate that is its base.
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

// sendPush sends a push along the chain to the successor: as a difference if the successor is known to have a
// suitable base, and with the whole value otherwise.
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

// diffForSuccessor returns the difference from the value that the successor has to another one, or nil if the
// successor's value is not known here or the whole value should be sent.
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

// recordStored records which value the successor has stored.
func (m *Member) recordStored(id string, seq uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.register.successor = successorValue{id, seq}
}

// handlePushDiff restores the value from its difference and handles it as a push of the whole value.
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

// requestValue returns the newest value that a peer knows as committed. The peer may send it as a difference to
// the committed value of this member.
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

// requestWholeValue is requestValue, but never uses a difference to the committed value of this member.
func (m *Member) requestWholeValue(ctx context.Context, addr string) (chain.Value, error) {
	response, err := call[valueRequest, valueResponse](ctx, m, addr, callValue, &valueRequest{})
	if err != nil {
		return chain.Value{}, err
	}
	return response.Value, nil
}

// handleValue responds with the newest value that this member knows as committed. It sends a difference if the
// caller has the committed value before that one.
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
