package rpc

import "storj.io/drpc"

// Encode encodes a message once, for SendEncoded on several streams.
func Encode(message any) ([]byte, error) { return msgpackEncoding{}.Marshal(message) }

// SendEncoded sends a message of Encode. The bytes are shared and may not be modified afterwards; a
// long message is written to the connection without another copy.
func (s *Stream[Out, In]) SendEncoded(message []byte) error {
	return s.stream.MsgSend(message, preEncoded{})
}

// preEncoded is the drpc.Encoding of messages that are already encoded.
type preEncoded struct{ msgpackEncoding }

// Marshal returns the message itself.
func (preEncoded) Marshal(message drpc.Message) ([]byte, error) { return message.([]byte), nil }

// MarshalAppend returns a long message itself: a stream only reads it, and retains no buffer of
// maxRetainedBuffer or more. A short one is copied into the stream's own buffer, which the stream
// writes to again.
func (preEncoded) MarshalAppend(buffer []byte, message drpc.Message) ([]byte, error) {
	encoded := message.([]byte)
	if len(encoded) >= maxRetainedBuffer {
		return encoded, nil
	}
	return append(buffer, encoded...), nil
}
