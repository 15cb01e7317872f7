package rpc

import "storj.io/drpc"

// Encode encodes a message once, so that SendEncoded can send it on several streams.
func Encode(message any) ([]byte, error) { return msgpackEncoding{}.Marshal(message) }

// SendEncoded sends a message that Encode returned. The bytes may be shared by several streams, so they
// must not be modified afterwards. A long message is written to the connection without another copy.
func (s *Stream[Out, In]) SendEncoded(message []byte) error {
	return s.stream.MsgSend(message, preEncoded{})
}

// preEncoded is the drpc.Encoding of messages that are already encoded.
type preEncoded struct{ msgpackEncoding }

// Marshal returns the message itself.
func (preEncoded) Marshal(message drpc.Message) ([]byte, error) { return message.([]byte), nil }

// MarshalAppend returns a long message itself, because a stream only reads it and retains no buffer of
// maxRetainedBuffer or more. It copies a short message into the stream's own buffer, which the stream
// overwrites later.
func (preEncoded) MarshalAppend(buffer []byte, message drpc.Message) ([]byte, error) {
	encoded := message.([]byte)
	if len(encoded) >= maxRetainedBuffer {
		return encoded, nil
	}
	return append(buffer, encoded...), nil
}
