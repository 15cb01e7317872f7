package rpc

import (
	"context"

	"github.com/go-faster/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
)

// Stream is one side of a call on which both sides may send messages at any time. It has a connection of
// its own. Only one goroutine at a time may call Send, and only one Recv.
type Stream[Out, In any] struct{ stream drpc.Stream }

// OpenStream opens a stream over TCP to the peer at an address. closeStream closes the stream and its
// connection.
func OpenStream[Out, In any](ctx context.Context, address, name string) (stream *Stream[Out, In], closeStream func(), err error) {
	return OpenStreamWithDialer[Out, In](ctx, TCPDialer{}, address, name)
}

// OpenStreamWithDialer opens a stream as OpenStream does, on a connection that a dialer opens.
func OpenStreamWithDialer[Out, In any](ctx context.Context, dialer Dialer, address, name string) (stream *Stream[Out, In], closeStream func(), err error) {
	netConn, err := dialer.Dial(ctx, address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "connect to agent %s", address)
	}
	conn := drpcconn.NewWithOptions(&countingConn{Conn: netConn}, drpcconn.Options{Manager: managerOptions()})
	drpcStream, err := conn.NewStream(ctx, name, msgpackEncoding{})
	if err != nil {
		conn.Close()
		return nil, nil, errors.Wrapf(err, "open %s at agent %s", name, address)
	}
	return &Stream[Out, In]{drpcStream}, func() { conn.Close() }, nil
}

// Send sends one message.
func (s *Stream[Out, In]) Send(message *Out) error {
	return s.stream.MsgSend(message, msgpackEncoding{})
}

// Recv waits for the next message.
func (s *Stream[Out, In]) Recv() (*In, error) {
	message := new(In)
	return message, decodeError(s.stream.MsgRecv(message, msgpackEncoding{}))
}

// IsPriority reports whether a priority caller of the server opened the stream, see ServerOptions.
func (s *Stream[Out, In]) IsPriority() bool { return isPriorityCall(s.stream.Context()) }

// Context returns a context that ends with the stream.
func (s *Stream[Out, In]) Context() context.Context { return s.stream.Context() }

// Close ends the stream and its connection at once, even while a Send is blocked by a peer that does not
// read. It may be called by any goroutine, and more than once.
func (s *Stream[Out, In]) Close() error {
	if transport, ok := drpcctx.Transport(s.stream.Context()); ok {
		return transport.Close()
	}
	return s.stream.Close()
}
