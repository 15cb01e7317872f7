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

// Both sides of a stream send at any time, and either side ends it.
func TestStreams(t *testing.T) {
	mux := NewMux()
	ended := make(chan error, 1)
	HandleStream(mux, "shout", func(stream *Stream[testResponse, testRequest]) (err error) {
		defer func() {
			if err != errRejected {
				<-stream.Context().Done()
				ended <- err
			}
		}()
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
	})
	server := startServer(t, mux)
	open := func() (*Stream[testRequest, testResponse], func()) {
		stream, closeStream, err := OpenStream[testRequest, testResponse](timeoutContext(t, 20*time.Second), server.address, "shout")
		require.NoError(t, err)
		require.NoError(t, stream.Send(&testRequest{Text: "a"}))
		for _, want := range []string{"welcome", "A"} {
			response, err := stream.Recv()
			require.NoError(t, err)
			assert.Equal(t, want, response.Text)
		}
		return stream, closeStream
	}
	stream, closeStream := open()
	closeStream()
	require.Error(t, <-ended)
	_, err := stream.Recv()
	require.Error(t, err)

	stream, closeStream = open()
	stream.Close()
	require.Error(t, <-ended)
	closeStream()

	stream, closeStream = open()
	defer closeStream()
	require.NoError(t, stream.Send(&testRequest{Text: "fail"}))
	_, err = stream.Recv()
	require.Error(t, err)
	assert.Contains(t, err.Error(), "too loud")

	stream, closeStream, err = OpenStream[testRequest, testResponse](timeoutContext(t, 20*time.Second), server.address, "other")
	require.NoError(t, err)
	defer closeStream()
	_, err = stream.Recv()
	assert.ErrorIs(t, err, ErrUnknownMethod)
}

// Close ends a stream at once, also while a Send is blocked by a peer that does not read.
func TestCloseDuringBlockedSend(t *testing.T) {
	big := &testResponse{strings.Repeat("x", 8<<20)}
	mux := NewMux()
	sending := make(chan func() error, 1)
	sent := make(chan error, 1)
	HandleStream(mux, "flood", func(stream *Stream[testResponse, testRequest]) error {
		sending <- stream.Close
		err := stream.Send(big)
		sent <- err
		return err
	})
	server := startServer(t, mux)
	stream, closeStream, err := OpenStream[testRequest, testResponse](timeoutContext(t, 20*time.Second), server.address, "flood")
	require.NoError(t, err)
	defer closeStream()
	require.NoError(t, stream.Send(&testRequest{}))
	stop := <-sending
	// The receiver buffers one message only, as Recv is not called.
	begin := time.Now()
	closed := make(chan struct{})
	go func() { stop(); close(closed) }()
	<-closed
	require.Error(t, <-sent)
	assert.Less(t, time.Since(begin), tcpUserTimeout/2, "before the kernel times out")

	// The same on the side that opened the stream.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	upload, closeUpload, err := OpenStream[testResponse, testRequest](timeoutContext(t, 20*time.Second), listener.Addr().String(), "flood")
	require.NoError(t, err)
	defer closeUpload()
	go func() { sent <- upload.Send(big) }()
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.ReadFull(conn, make([]byte, 64<<10)) // the message is being sent
	require.NoError(t, err)
	begin = time.Now()
	upload.Close()
	require.Error(t, <-sent)
	assert.Less(t, time.Since(begin), tcpUserTimeout/2)
}
