// Package rpc carries the calls between the fleet's own processes over drpc. A process registers the
// handlers of its calls in a Mux; messages are msgpack, so that fields may be added later without
// breaking older versions.
//
// A drpc connection carries one call at a time, so a Pool keeps several connections to each peer, and
// a Stream has a connection of its own. A call is bounded by its context and never sent again by this
// package: one that failed may have run. Network partitions that lose packets silently are detected by
// TCP_USER_TIMEOUT, and by keep-alive probes on connections that are idle. Errors of a handler arrive
// as their text, except for ErrUnknownMethod.
package rpc

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before a connection is closed.
	tcpUserTimeout = 1500 * time.Millisecond
	// connectTimeout bounds one connect. The kernel repeats a lost SYN only after a second; a caller
	// that tries again is faster.
	connectTimeout = 300 * time.Millisecond
	// connectHedgeDelay is after how long without a result another connect is begun beside the first.
	connectHedgeDelay = 100 * time.Millisecond
	// maxIdlePerPeer bounds the idle connections to one peer.
	maxIdlePerPeer = 4
	// idleTimeout is how long a connection may be idle and be used again.
	idleTimeout = 20 * time.Second
	// maxMessageBytes bounds one message: a complete configuration and some more.
	maxMessageBytes = 16 << 20
	// writeBufferBytes is the size of a connection's write buffer.
	writeBufferBytes = 4 << 10
	// maxRetainedBuffer bounds the message buffer that a stream retains for the next message.
	maxRetainedBuffer = 64 << 10
	// maxConnections bounds the connections that are served at once; further ones wait.
	maxConnections = 2048
)

// The codes of errors that handlers return. An error with a code leaves its connection usable.
const (
	codeFailed        = 1
	codeUnknownMethod = drpcerr.Unimplemented
)

// ErrUnknownMethod is the error of a call that the peer has no handler for: it runs another version.
var ErrUnknownMethod = errors.New("the peer does not know the call: run the same version everywhere")

// decodeError gives an error that arrived as text its identity back.
func decodeError(err error) error {
	if err != nil && drpcerr.Code(err) == codeUnknownMethod {
		return ErrUnknownMethod
	}
	return err
}

// msgpackEncoding is the drpc.Encoding of all messages.
type msgpackEncoding struct{}

func (msgpackEncoding) Marshal(message drpc.Message) ([]byte, error) { return msgpack.Marshal(message) }
func (msgpackEncoding) Unmarshal(raw []byte, message drpc.Message) error {
	return msgpack.Unmarshal(raw, message)
}

// managerOptions bound the memory that a peer can make this process use.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writeBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:           drpcstream.Options{MaximumBufferSize: maxRetainedBuffer},
	}
}
