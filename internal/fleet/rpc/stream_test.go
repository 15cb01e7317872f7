package rpc

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var errRejected = errors.New("too loud")

// uppercaseMux returns a mux with the call uppercase, which sends a greeting and then returns each text in
// upper case. It sends the error with which a stream ended to the channel, except for errRejected.
func uppercaseMux(ended chan<- error) *Mux {
	mux := NewMux()
	HandleStream(mux, "uppercase", func(stream *Stream[testResponse, testRequest]) error {
		err := answerInUppercase(stream)
		if err != errRejected {
			<-stream.Context().Done()
			ended <- err
		}
		return err
	})
	return mux
}

func answerInUppercase(stream *Stream[testResponse, testRequest]) error {
	if err := stream.Send(&testResponse{"welcome"}); err != nil {
		return err
	}
	for {
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		if request.Text == "fail" {
			return errRejected
		}
		if err := stream.Send(&testResponse{strings.ToUpper(request.Text)}); err != nil {
			return err
		}
	}
}

func openTestStream(t *testing.T, address, name string) (stream *Stream[testRequest, testResponse], closeStream func()) {
	t.Helper()
	stream, closeStream, err := OpenStream[testRequest, testResponse](timeoutContext(t, 20*time.Second), address, name)
	require.NoError(t, err, "a stream opens without an answer")
	return stream, closeStream
}

// Both sides of a stream may send at any time, and either side may end it.
func TestStreams(t *testing.T) {
	ended := make(chan error, 1)
	server := startServer(t, uppercaseMux(ended))
	open := func(t *testing.T) (*Stream[testRequest, testResponse], func()) {
		stream, closeStream := openTestStream(t, server.address, "uppercase")
		require.NoError(t, stream.Send(&testRequest{Text: "a"}))
		for _, want := range []string{"welcome", "A"} {
			response, err := stream.Recv()
			require.NoError(t, err)
			assert.Equal(t, want, response.Text)
		}
		return stream, closeStream
	}
	t.Run("the connection is closed", func(t *testing.T) {
		stream, closeStream := open(t)
		closeStream()
		require.Error(t, <-ended)
		_, err := stream.Recv()
		require.Error(t, err)
	})
	t.Run("the stream is closed", func(t *testing.T) {
		stream, closeStream := open(t)
		stream.Close()
		require.Error(t, <-ended)
		_, err := stream.Recv()
		require.Error(t, err)
		closeStream()
	})
	t.Run("the handler returns an error", func(t *testing.T) {
		stream, closeStream := open(t)
		defer closeStream()
		require.NoError(t, stream.Send(&testRequest{Text: "fail"}))
		_, err := stream.Recv()
		require.Error(t, err)
		assert.Contains(t, err.Error(), "too loud")
		assert.NotErrorIs(t, err, ErrUnknownMethod)
	})
	t.Run("the call is unknown", func(t *testing.T) {
		stream, closeStream := openTestStream(t, server.address, "other")
		defer closeStream()
		_, err := stream.Recv()
		assert.ErrorIs(t, err, ErrUnknownMethod)
	})
}

// Close ends a stream at once, even while a Send is blocked by a peer that does not read.
func TestCloseDuringBlockedSend(t *testing.T) {
	large := &testResponse{strings.Repeat("x", 8<<20)}
	mux := NewMux()
	sending := make(chan func() error, 1)
	sent := make(chan error, 1)
	HandleStream(mux, "flood", func(stream *Stream[testResponse, testRequest]) error {
		sending <- stream.Close
		err := stream.Send(large)
		sent <- err
		return err
	})
	server := startServer(t, mux)
	stream, closeStream := openTestStream(t, server.address, "flood")
	defer closeStream()
	require.NoError(t, stream.Send(&testRequest{}))
	closeByHandler := <-sending
	// The caller does not call Recv, so it buffers only one message.
	begin := time.Now()
	closed := make(chan struct{})
	go func() { closeByHandler(); close(closed) }()
	<-closed
	require.Error(t, <-sent)
	assert.Less(t, time.Since(begin), tcpUserTimeout/2, "ends before the kernel's time-out")
}

// Close unblocks a Send on the side that opened the stream as well.
func TestCloseDuringBlockedSendOfCaller(t *testing.T) {
	large := &testResponse{strings.Repeat("x", 8<<20)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	stream, closeStream, err := OpenStream[testResponse, testRequest](timeoutContext(t, 20*time.Second), listener.Addr().String(), "flood")
	require.NoError(t, err)
	defer closeStream()
	sent := make(chan error, 1)
	go func() { sent <- stream.Send(large) }()
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.ReadFull(conn, make([]byte, 64<<10)) // the message is being sent
	require.NoError(t, err)
	begin := time.Now()
	stream.Close()
	require.Error(t, <-sent)
	assert.Less(t, time.Since(begin), tcpUserTimeout/2)
}
