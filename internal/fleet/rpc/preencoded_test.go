package rpc

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Encoded messages arrive as sent ones do, long and short, and what is sent after them leaves the
// shared bytes as they were.
func TestSendEncoded(t *testing.T) {
	sizes := []int{0, 10, maxRetainedBuffer - 1, maxRetainedBuffer, 3 * maxRetainedBuffer, 2 << 20}
	var shared, kept [][]byte
	for _, size := range sizes {
		raw, err := Encode(&testResponse{strings.Repeat("x", size)})
		require.NoError(t, err)
		shared, kept = append(shared, raw), append(kept, bytes.Clone(raw))
	}
	table := NewMux()
	HandleStream(table, "shared", func(s *Stream[testResponse, testRequest]) error {
		for _, raw := range shared {
			if err := s.SendEncoded(raw); err != nil {
				return err
			}
			if err := s.Send(&testResponse{"between"}); err != nil {
				return err
			}
		}
		return nil
	})
	at := startServer(t, table)
	var streams []*Stream[testRequest, testResponse]
	for range 3 {
		s, hangUp, err := OpenStream[testRequest, testResponse](timeoutContext(t, 20*time.Second), at.address, "shared")
		require.NoError(t, err)
		defer hangUp()
		require.NoError(t, s.Send(&testRequest{}))
		streams = append(streams, s)
	}
	for _, s := range streams {
		for _, size := range sizes {
			long, err := s.Recv()
			require.NoError(t, err)
			require.Len(t, long.Text, size)
			require.Equal(t, size, strings.Count(long.Text, "x"))
			next, err := s.Recv()
			require.NoError(t, err)
			require.Equal(t, "between", next.Text)
		}
	}
	assert.Equal(t, kept, shared)
}
