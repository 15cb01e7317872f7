package pipenetwork

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestConnectionCarriesBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := Network{}
		listener := network.Listen("a")
		accepted := make(chan net.Conn, 1)
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				accepted <- conn
			}
		}()
		conn, err := network.Dial(t.Context(), "a")
		require.NoError(t, err)
		peer := <-accepted
		go func() { _, _ = conn.Write([]byte("x")) }()
		received := make([]byte, 1)
		_, err = peer.Read(received)
		require.NoError(t, err)
		require.Equal(t, "x", string(received))
	})
}

func TestDialFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := Network{}
		_, err := network.Dial(t.Context(), "a")
		require.Error(t, err, "nobody listens")

		listener := network.Listen("a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = network.Dial(ctx, "a")
		require.ErrorIs(t, err, context.DeadlineExceeded, "nobody accepts")

		require.NoError(t, listener.Close())
		require.NoError(t, listener.Close())
		_, err = network.Dial(t.Context(), "a")
		require.ErrorIs(t, err, net.ErrClosed)
		_, err = listener.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
	})
}
