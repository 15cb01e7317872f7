package rpc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// closeCountingConn counts how often it is closed.
type closeCountingConn struct {
	net.Conn
	closed *atomic.Int64
}

func (c *closeCountingConn) Close() error {
	c.closed.Add(1)
	return nil
}

// If the SYN of the first connect is lost because the machine is starting, the next connect succeeds.
func TestConnectToAMachineThatIsStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var connects atomic.Int64
		begin := time.Now()
		conn, err := dialHedged(t.Context(), func(ctx context.Context) (net.Conn, error) {
			if connects.Add(1) == 1 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return &closeCountingConn{}, nil
		})
		require.NoError(t, err)
		require.NotNil(t, conn)
		require.Equal(t, connectHedgeDelay, time.Since(begin))
	})
}

// No second connect is started if the first one succeeds within connectHedgeDelay.
func TestConnectIsHedgedOnlyAfterADelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var connects atomic.Int64
		_, err := dialHedged(t.Context(), func(context.Context) (net.Conn, error) {
			connects.Add(1)
			wait, stop := time.NewTimer(connectHedgeDelay/2), t.Context().Done()
			select {
			case <-wait.C:
			case <-stop:
			}
			return &closeCountingConn{}, nil
		})
		require.NoError(t, err)
		require.EqualValues(t, 1, connects.Load())
	})
}

// A refused connect fails at once, without another attempt, since it means that the process does not run.
func TestRefusedConnectFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("connection refused")
		begin := time.Now()
		_, err := dialHedged(t.Context(), func(context.Context) (net.Conn, error) { return nil, refused })
		require.ErrorIs(t, err, refused)
		require.Zero(t, time.Since(begin))
	})
}

// Connects without an answer end after connectTimeout, and connections that are established later are closed.
func TestConnectTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var connects, closed atomic.Int64
		begin := time.Now()
		_, err := dialHedged(t.Context(), func(ctx context.Context) (net.Conn, error) {
			connects.Add(1)
			<-ctx.Done()
			return &closeCountingConn{closed: &closed}, nil
		})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, connectTimeout, time.Since(begin))
		synctest.Wait()
		require.Equal(t, connects.Load(), closed.Load(), "every connection is closed")
		require.LessOrEqual(t, connects.Load(), int64(connectTimeout/connectHedgeDelay)+1)
	})
}

// A process that had no processor when a hedge was due waits once more, as its connect may have succeeded.
func TestLateHedgeIsPutOff(t *testing.T) {
	begin := time.Now()
	schedule := hedgeSchedule{begin}
	require.True(t, schedule.due(begin.Add(maxHedgeLateness)))
	late := begin.Add(maxHedgeLateness + connectHedgeDelay + maxHedgeLateness + 1)
	require.False(t, schedule.due(late))
	require.True(t, schedule.due(late.Add(connectHedgeDelay)))
}
