package relay

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
)

// BenchmarkFanOut measures sending one configuration of 1 MB to 100 sessions: the encoding alone, and the
// whole transfer over loopback including the readers.
func BenchmarkFanOut(b *testing.B) {
	const sessions, size = 100, 1 << 20
	m := &message{HasQuorum: true, Complete: true, Deltas: []deltasync.Delta{{Source: configSource, To: 1,
		Items: []deltasync.Item{{Key: configKey, Version: 1, Data: encode(&configItem{1, paddedDocument(1, size)})}}}}}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			for range sessions {
				encode(m)
			}
		}
	})
	b.Run("send", func(b *testing.B) {
		send := newBroadcast(b, sessions)
		b.ReportAllocs()
		for b.Loop() {
			send(func(st *stream) error { return st.Send(m) })
		}
	})
	b.Run("send-encoded", func(b *testing.B) {
		send := newBroadcast(b, sessions)
		b.ReportAllocs()
		for b.Loop() {
			shared, err := rpc.Encode(m)
			require.NoError(b, err)
			send(func(st *stream) error { return st.SendEncoded(shared) })
		}
	})
}

// newBroadcast returns a function that sends a message to all readers concurrently and waits until all have
// received it.
func newBroadcast(b *testing.B, readers int) func(func(*stream) error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	table := rpc.NewMux()
	var mu sync.Mutex
	var streams []*stream
	rpc.HandleStream(table, "bench", func(st *stream) error {
		if _, err := st.Recv(); err != nil {
			return err
		}
		mu.Lock()
		streams = append(streams, st)
		mu.Unlock()
		if err := st.Send(&message{}); err != nil {
			return err
		}
		<-st.Context().Done()
		return nil
	})
	var wg sync.WaitGroup
	wg.Go(func() { _ = rpc.Serve(b.Context(), ln, table, rpc.ServerOptions{}) })
	b.Cleanup(wg.Wait)
	received := make(chan struct{}, readers)
	for range readers {
		st, hangUp, err := rpc.OpenStream[message, message](b.Context(), ln.Addr().String(), "bench")
		require.NoError(b, err)
		b.Cleanup(hangUp)
		require.NoError(b, st.Send(&message{}))
		_, err = st.Recv()
		require.NoError(b, err)
		wg.Go(func() {
			for {
				if _, err := st.Recv(); err != nil {
					return
				}
				received <- struct{}{}
			}
		})
	}
	return func(send func(*stream) error) {
		for _, st := range streams {
			wg.Go(func() { _ = send(st) })
		}
		for range readers {
			<-received
		}
	}
}
