// Package rpc carries the calls between the fleet's own processes over drpc. A process registers the
// handlers of its calls in a Mux. Messages are encoded as msgpack, so that fields may be added later
// without breaking older versions.
//
// A drpc connection carries one call at a time. Therefore a Pool keeps several connections to each
// peer, and a Stream has a connection of its own. The context of a call bounds its time. This package
// never retries a call, since a call that failed may have run. Network partitions that lose packets
// silently are detected by TCP_USER_TIMEOUT, and on idle connections by keep-alive probes. The caller
// receives a handler's error as text, except for ErrUnknownMethod.
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
	// connectTimeout bounds the time to establish a connection. It is short because the kernel
	// retransmits a lost SYN only after a second, and a caller that tries again is faster.
	connectTimeout = 300 * time.Millisecond
	// connectHedgeDelay is the time without a result after which another connect is started in parallel.
	connectHedgeDelay = 100 * time.Millisecond
	// maxHedgeLateness is how late a hedge may be: later ones show that this process is busy.
	maxHedgeLateness = 20 * time.Millisecond
	// maxIdlePerPeer bounds the idle connections to one peer.
	maxIdlePerPeer = 4
	// idleTimeout is how long a connection may be idle before it is no longer reused.
	idleTimeout = 20 * time.Second
	// maxMessageBytes bounds one message, and leaves room for more than a complete configuration.
	maxMessageBytes = 16 << 20
	// writeBufferBytes is the size of a connection's write buffer.
	writeBufferBytes = 4 << 10
	// maxRetainedBuffer bounds the message buffer that a stream retains for the next message.
	maxRetainedBuffer = 64 << 10
)

// The codes of errors that handlers return. An error with a code leaves its connection usable.
const (
	codeFailed        = 1
	codeBusy          = 2
	codeUnknownMethod = drpcerr.Unimplemented
)

// ErrUnknownMethod is the error of a call for which the peer has no handler, because it runs another
// version.
var ErrUnknownMethod = errors.New("the peer does not know the call: run the same version everywhere")

// decodeError returns ErrUnknownMethod for an error that arrived with its code, and other errors as they
// are.
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

// managerOptions returns options that bound the memory that a peer can make this process use.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writeBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:           drpcstream.Options{MaximumBufferSize: maxRetainedBuffer},
	}
}
