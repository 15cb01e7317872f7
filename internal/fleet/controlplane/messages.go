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

// heartbeat is both the request and the response of callHeartbeat. Voters exchange heartbeats with each
// other and with processes that ask to become voters.
type heartbeat struct {
	Peer view.Peer `msgpack:"p"` // the sender
	// View is the number of the learned view.
	View uint64 `msgpack:"v"`
	// Accepted is the number of the view that the sender has accepted without knowing whether it was
	// decided; 0 if there is none.
	Accepted uint64 `msgpack:"a,omitempty"`
	// Abandoned is true if the accepted view has been undecided for so long that its proposer must have
	// failed.
	Abandoned bool `msgpack:"k,omitempty"`
	// CommittedSeq and CommittedChecksum are the sequence number and the checksum of the newest value that
	// the sender knows as committed; CommittedSeq is 0 if there is none.
	CommittedSeq      uint64 `msgpack:"s"`
	CommittedChecksum uint64 `msgpack:"m"`
	// ConnectedTo lists the IDs of the voters that the sender is in contact with and can push to.
	ConnectedTo []string `msgpack:"h,omitempty"`
	// DiskUnhealthy is true if the sender's disk fails or stalls.
	DiskUnhealthy bool `msgpack:"x,omitempty"`
	// Leaving is true if the sender is shutting down.
	Leaving bool `msgpack:"e,omitempty"`
	// Complete is true if the sender holds every acknowledged update.
	Complete bool `msgpack:"c,omitempty"`
	// ContactAgeMs is the time since the sender was last in contact with the receiver, in ms; -1 if it
	// never was.
	ContactAgeMs int64 `msgpack:"t"`
	// UptimeMs is the time since the sender started or resumed, in ms.
	UptimeMs int64 `msgpack:"u"`
	// NewerView is the sender's learned view in a response to a process with an older one; nil otherwise.
	NewerView *view.View `msgpack:"n,omitempty"`
}

// announceRequest announces a process to a seed.
type announceRequest struct {
	Peer view.Peer `msgpack:"Peer"`
}

// prepareRequest asks an acceptor for a promise.
type prepareRequest struct {
	// To is the ID of the receiver's disk, as the machine may have another disk by now. For the first
	// view it is the address of the seed.
	To      string              `msgpack:"To"`
	Prepare view.PrepareRequest `msgpack:"Q"`
}

// acceptRequest asks an acceptor to accept a view.
type acceptRequest struct {
	To     string             `msgpack:"To"` // as in prepareRequest
	Accept view.AcceptRequest `msgpack:"Q"`
}

// viewRequest asks for a view that is newer than the view with the number Known.
type viewRequest struct {
	Known uint64 `msgpack:"Have"`
}

// viewResponse holds the newest view that the receiver knows; nil if the caller's view is not older.
type viewResponse struct {
	View *view.View `msgpack:"View"`
}

// pushRequest replicates a value to the next member of the chain.
type pushRequest struct {
	To   string     `msgpack:"To"` // the ID of the receiver's disk
	Push chain.Push `msgpack:"Q"`
}

// pushDiffRequest is a pushRequest that sends the value as a difference to one that the receiver has.
type pushDiffRequest struct {
	To   string    `msgpack:"To"`
	View view.View `msgpack:"View"`
	Diff valueDiff `msgpack:"Diff"`
}

// pushResponse acknowledges or rejects a push.
type pushResponse struct {
	// OK is true if the value is on disk at the receiver and at all members after it; for a direct
	// push, if it is on disk at the receiver.
	OK bool `msgpack:"OK"`
	// Newer is the view that has superseded the view of the push; nil if none has.
	Newer        *view.View `msgpack:"Newer"`
	RejectReason string     `msgpack:"Why"`
	// NeedsValue is true if the receiver can't apply the difference and needs the whole value.
	NeedsValue bool `msgpack:"Whole,omitempty"`
}

// submitResponse answers an update.
type submitResponse struct {
	Result chain.Result `msgpack:"Verdict"`
	// Newer is set if the receiver is not the head: the caller should ask the head of this view.
	Newer *view.View `msgpack:"Newer"`
}

// readResponse answers a read.
type readResponse struct {
	Value chain.Value `msgpack:"Value"` // set if OK
	OK    bool        `msgpack:"OK"`
	// Newer is set if the receiver is not the tail: the caller should ask the tail of this view.
	Newer  *view.View `msgpack:"Newer"`
	Reason string     `msgpack:"Why"` // set if not OK
}

// confirmResponse answers a confirmation: a read without the value.
type confirmResponse struct {
	// Seq is the sequence number of the newest acknowledged value, 0 if there is none. It is set if OK.
	Seq uint64 `msgpack:"s"`
	OK  bool   `msgpack:"o"`
	// Newer is as in readResponse.
	Newer  *view.View `msgpack:"n,omitempty"`
	Reason string     `msgpack:"w,omitempty"` // set if not OK
}

// valueRequest asks for the newest committed value.
type valueRequest struct {
	// KnownSeq is the sequence number of the sender's committed value; 0 if it has none or wants no
	// difference.
	KnownSeq uint64 `msgpack:"Have,omitempty"`
}

// valueResponse holds the newest value that the receiver knows as committed; its Seq is 0 if there is none.
type valueResponse struct {
	Value chain.Value `msgpack:"Value"`
	// Diff replaces Value: it is the difference between the requester's value and the newest one.
	Diff *valueDiff `msgpack:"Diff,omitempty"`
}

// RegisterHandlers adds the handlers of the calls between members to the process's table.
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

// interceptor carries out a call to an address by calling do, or makes it fail.
type interceptor func(ctx context.Context, addr, name string, do func() error) error

// call calls a method of the process at an address.
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
