package controlplane

import (
	"context"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
)

// The names of the calls between members, as they are on the wire.
const (
	callHeartbeat = "core.ping"
	callPrepare   = "core.prepare"
	callAccept    = "core.accept"
	callLearn     = "core.learn"
	callView      = "core.view"
	callPush      = "core.push"
	callPushDiff  = "core.push-diff"
	callSubmit    = "core.order"
	callRead      = "core.read"
	callConfirm   = "core.confirm"
	callValue     = "core.value"
	callAnnounce  = "core.announce"
)

// The messages between members are encoded by msgpack. The keys in the tags are part of the protocol;
// they are older than the names of the fields.

// empty is a request without parameters, or an acknowledgement.
type empty struct{}

// heartbeat is exchanged between the voters, and between them and processes that ask to become one, as
// request and as answer.
type heartbeat struct {
	Peer view.Peer `msgpack:"p"` // the sender
	// View is the number of the learned view.
	View uint64 `msgpack:"v"`
	// Accepted is the number of a view that was accepted and whose decision is not known; 0: none.
	Accepted uint64 `msgpack:"a,omitempty"`
	// Abandoned tells that it has been undecided for so long that its proposer must have failed.
	Abandoned bool `msgpack:"k,omitempty"`
	// CommittedSeq is the sequence number of the newest value known as committed, 0: none, and
	// CommittedChecksum its checksum.
	CommittedSeq      uint64 `msgpack:"s"`
	CommittedChecksum uint64 `msgpack:"m"`
	// ConnectedTo are the IDs of the voters that the sender is in contact with and can push to.
	ConnectedTo []string `msgpack:"h,omitempty"`
	// DiskUnhealthy tells that the sender's disk fails or stalls.
	DiskUnhealthy bool `msgpack:"x,omitempty"`
	// Leaving tells that the sender is shutting down.
	Leaving bool `msgpack:"e,omitempty"`
	// Complete tells that the sender holds all that was acknowledged.
	Complete bool `msgpack:"c,omitempty"`
	// ContactAgeMs is the time since the sender was last in contact with the receiver, in ms; -1: never.
	ContactAgeMs int64 `msgpack:"t"`
	// UptimeMs is the time since the sender started or resumed, in ms.
	UptimeMs int64 `msgpack:"u"`
	// NewerView is the learned view, in an answer to a process that has an older one.
	NewerView *view.View `msgpack:"n,omitempty"`
}

// announceRequest announces a process to a seed.
type announceRequest struct {
	Peer view.Peer `msgpack:"Peer"`
}

// prepareRequest asks an acceptor for a promise.
type prepareRequest struct {
	// To is the ID of the disk that is meant: its machine may have another one by now. For the first
	// view it is the address of the seed.
	To      string              `msgpack:"To"`
	Prepare view.PrepareRequest `msgpack:"Q"`
}

// acceptRequest asks an acceptor to accept a view.
type acceptRequest struct {
	To     string             `msgpack:"To"` // as in prepareRequest
	Accept view.AcceptRequest `msgpack:"Q"`
}

// viewRequest asks for a newer view than that of a number.
type viewRequest struct {
	Known uint64 `msgpack:"Have"`
}

// viewResponse has a view if the receiver knows a newer one.
type viewResponse struct {
	View *view.View `msgpack:"View"`
}

// pushRequest replicates a value to the next member of the chain.
type pushRequest struct {
	To   string     `msgpack:"To"` // the ID of the disk that is meant
	Push chain.Push `msgpack:"Q"`
}

// pushDiffRequest is pushRequest for a value as what changed since one that the receiver has.
type pushDiffRequest struct {
	To   string    `msgpack:"To"`
	View view.View `msgpack:"View"`
	Diff valueDiff `msgpack:"Diff"`
}

// pushResponse acknowledges or rejects a push.
type pushResponse struct {
	// OK tells that the value is on disk at the receiver and at all members after it; after a direct
	// push, at the receiver.
	OK bool `msgpack:"OK"`
	// Newer is the view that has superseded that of the push.
	Newer        *view.View `msgpack:"Newer"`
	RejectReason string     `msgpack:"Why"`
	// NeedsValue tells that the whole value is to be sent: the receiver can't apply the difference.
	NeedsValue bool `msgpack:"Whole,omitempty"`
}

// submitResponse answers an update.
type submitResponse struct {
	Result chain.Result `msgpack:"Verdict"`
	// Newer, if not nil, tells that the receiver is not the head: that of this view is to be asked.
	Newer *view.View `msgpack:"Newer"`
}

// readResponse answers a read.
type readResponse struct {
	Value chain.Value `msgpack:"Value"` // if OK
	OK    bool        `msgpack:"OK"`
	// Newer, if not nil, tells that the receiver is not the tail: that of this view is to be asked.
	Newer  *view.View `msgpack:"Newer"`
	Reason string     `msgpack:"Why"` // if not OK
}

// confirmResponse answers a confirmation: a read without the value.
type confirmResponse struct {
	Seq uint64 `msgpack:"s"` // of the newest acknowledged value, 0: there is none; if OK
	OK  bool   `msgpack:"o"`
	// Newer is as in readResponse.
	Newer  *view.View `msgpack:"n,omitempty"`
	Reason string     `msgpack:"w,omitempty"` // if not OK
}

// valueRequest asks for the newest committed value.
type valueRequest struct {
	KnownSeq uint64 `msgpack:"Have,omitempty"` // of the one that the sender has; 0: none
}

// valueResponse has the newest value that the receiver knows as committed; Seq 0: none.
type valueResponse struct {
	Value chain.Value `msgpack:"Value"`
	// Diff is the value in place of Value, as what changed since the one that the request names.
	Diff *valueDiff `msgpack:"Diff,omitempty"`
}

// RegisterHandlers adds the calls between members to the process's table.
func (m *Member) RegisterHandlers(table *rpc.Mux) {
	rpc.HandleUnary(table, callHeartbeat, m.handleHeartbeat)
	rpc.HandleUnary(table, callPrepare, m.handlePrepare)
	rpc.HandleUnary(table, callAccept, m.handleAccept)
	rpc.HandleUnary(table, callLearn, m.handleLearn)
	rpc.HandleUnary(table, callView, m.handleView)
	rpc.HandleUnary(table, callPush, m.handlePush)
	rpc.HandleUnary(table, callPushDiff, m.handlePushDiff)
	rpc.HandleUnary(table, callSubmit, m.handleSubmit)
	rpc.HandleUnary(table, callRead, m.handleRead)
	rpc.HandleUnary(table, callConfirm, m.handleConfirm)
	rpc.HandleUnary(table, callValue, m.handleValue)
	rpc.HandleUnary(table, callAnnounce, m.handleAnnounce)
}

// interceptor carries out a call to an address by calling do, or fails it.
type interceptor func(ctx context.Context, addr, name string, do func() error) error

// call calls another process.
func call[Request, Response any](ctx context.Context, m *Member, addr, name string, request *Request) (*Response, error) {
	if m.intercept == nil {
		return rpc.Call[Request, Response](ctx, m.options.Pool, addr, name, request)
	}
	var response *Response
	err := m.intercept(ctx, addr, name, func() (err error) {
		response, err = rpc.Call[Request, Response](ctx, m.options.Pool, addr, name, request)
		return err
	})
	return response, err
}
