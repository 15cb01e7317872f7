package rpc

import (
	"storj.io/drpc"
)

// Encode returns a message as Send encodes it, to be sent to several peers by SendEncoded.
func Encode(m any) ([]byte, error) { return msgpackEncoding{}.Marshal(m) }

// SendEncoded sends what Encode returned. The bytes are shared and not to be changed after; a long
// message is written to the connection without another copy.
func (s *Stream[Out, In]) SendEncoded(message []byte) error {
	return s.stream.MsgSend(message, preEncoded{})
}

// preEncoded is drpc's Encoding of messages that are encoded already.
type preEncoded struct{ msgpackEncoding }

// Marshal returns the message itself.
func (preEncoded) Marshal(msg drpc.Message) ([]byte, error) { return msg.([]byte), nil }

// MarshalAppend returns a long message itself: a stream reads it, and holds on to no buffer of
// maxRetainedBuffer or more. A short one is copied into the stream's buffer, which it writes to again.
func (preEncoded) MarshalAppend(buffer []byte, msg drpc.Message) ([]byte, error) {
	message := msg.([]byte)
	if len(message) >= maxRetainedBuffer {
		return message, nil
	}
	return append(buffer, message...), nil
}
