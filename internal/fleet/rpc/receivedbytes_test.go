package rpc

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Both sides of a stream count the bytes of a message before it is complete.
func TestReceivedCountsIncompleteMessages(t *testing.T) {
	const size = 1 << 20
	mux := NewMux()
	served := make(chan uint64, 1)
	HandleStream(mux, "count", func(stream *Stream[testResponse, testRequest]) error {
		if _, err := stream.Recv(); err != nil {
			return err
		}
		served <- stream.Received()
		return stream.Send(&testResponse{strings.Repeat("x", size)})
	})
	server := startServer(t, mux)
	stream, closeStream, err := OpenStream[testRequest, testResponse](timeoutContext(t, 20*time.Second), server.address, "count")
	require.NoError(t, err)
	defer closeStream()
	require.Zero(t, stream.Received())
	require.NoError(t, stream.Send(&testRequest{Text: strings.Repeat("y", size)}))
	assert.GreaterOrEqual(t, <-served, uint64(size))
	require.Eventually(t, func() bool { return stream.Received() > 0 }, 20*time.Second, time.Millisecond,
		"received bytes are counted before Recv is called")
	_, err = stream.Recv()
	require.NoError(t, err)
	assert.GreaterOrEqual(t, stream.Received(), uint64(size))
}
