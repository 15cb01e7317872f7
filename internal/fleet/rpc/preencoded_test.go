package rpc

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Encoded messages of any length arrive like others, and later messages do not modify the shared bytes.
func TestSendEncoded(t *testing.T) {
	sizes := []int{0, 10, maxRetainedBuffer - 1, maxRetainedBuffer, 3 * maxRetainedBuffer, 2 << 20}
	var shared, copies [][]byte
	for _, size := range sizes {
		raw, err := Encode(&testResponse{strings.Repeat("x", size)})
		require.NoError(t, err)
		shared, copies = append(shared, raw), append(copies, bytes.Clone(raw))
	}
	mux := NewMux()
	HandleStream(mux, "shared", func(stream *Stream[testResponse, testRequest]) error {
		for _, raw := range shared {
			if err := stream.SendEncoded(raw); err != nil {
				return err
			}
			if err := stream.Send(&testResponse{"between"}); err != nil {
				return err
			}
		}
		return nil
	})
	server := startServer(t, mux)
	var streams []*Stream[testRequest, testResponse]
	for range 3 {
		stream, closeStream, err := OpenStream[testRequest, testResponse](timeoutContext(t, 20*time.Second), server.address, "shared")
		require.NoError(t, err)
		defer closeStream()
		require.NoError(t, stream.Send(&testRequest{}))
		streams = append(streams, stream)
	}
	for _, stream := range streams {
		for _, size := range sizes {
			long, err := stream.Recv()
			require.NoError(t, err)
			require.Len(t, long.Text, size)
			require.Equal(t, size, strings.Count(long.Text, "x"))
			next, err := stream.Recv()
			require.NoError(t, err)
			require.Equal(t, "between", next.Text)
		}
	}
	assert.Equal(t, copies, shared)
}
