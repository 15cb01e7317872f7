package rpc

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Both sides of a stream see how much of a message has come before it is whole.
func TestReceivedCountsIncompleteMessages(t *testing.T) {
	const size = 1 << 20
	table := NewMux()
	served := make(chan uint64, 1)
	HandleStream(table, "count", func(s *Stream[testResponse, testRequest]) error {
		if _, err := s.Recv(); err != nil {
			return err
		}
		served <- s.Received()
		return s.Send(&testResponse{strings.Repeat("x", size)})
	})
	at := startServer(t, table)
	s, hangUp, err := OpenStream[testRequest, testResponse](timeoutContext(t, 20*time.Second), at.address, "count")
	require.NoError(t, err)
	defer hangUp()
	require.Zero(t, s.Received())
	require.NoError(t, s.Send(&testRequest{Text: strings.Repeat("y", size)}))
	assert.GreaterOrEqual(t, <-served, uint64(size))
	require.Eventually(t, func() bool { return s.Received() > 0 }, 20*time.Second, time.Millisecond, "before it is asked for")
	_, err = s.Recv()
	require.NoError(t, err)
	assert.GreaterOrEqual(t, s.Received(), uint64(size))
}
