package controlsim

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const hostA, hostB = "10.0.0.1:1", "10.0.0.2:1"

// connectionTest has two hosts and a connection between them in a synctest bubble.
type connectionTest struct {
	t             *testing.T
	network       *network
	local, remote *host
	dialer        dialer
	localConn     net.Conn // end at local
	remoteConn    net.Conn // end at remote
}

func withConnection(t *testing.T, test func(w *connectionTest)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(rand.New(rand.NewPCG(1, 2)))
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { n.expireConns(ctx) })
		w := &connectionTest{t: t, network: n, local: n.addHost(hostA), remote: n.addHost(hostB)}
		w.dialer = dialer{host: w.local, done: ctx.Done()}
		listener := w.remote.listen()
		var err error
		w.localConn, err = w.dialer.Dial(ctx, hostB)
		require.NoError(t, err)
		w.remoteConn, err = listener.Accept()
		require.NoError(t, err)
		test(w)
		cancel()
		running.Wait()
	})
}

func (w *connectionTest) send(text string) {
	_, err := w.localConn.Write([]byte(text))
	require.NoError(w.t, err)
}

func (w *connectionTest) receive(n int) string {
	b := make([]byte, n)
	_, err := io.ReadFull(w.remoteConn, b)
	require.NoError(w.t, err)
	return string(b)
}

func TestSilentPartitionDelaysBytes(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.network.setLink(hostA, hostB, linkDrops)
		w.send("late")
		sleep(context.Background(), time.Second)
		w.network.setLink(hostA, hostB, linkOpen)
		startedAt := time.Now()
		require.Equal(t, "late", w.receive(4))
		require.Zero(t, time.Since(startedAt))
	})
}

func TestUnacknowledgedBytesBreakConnection(t *testing.T) {
	for name, link := range map[string]direction{"lost": {hostA, hostB}, "not acknowledged": {hostB, hostA}} {
		t.Run(name, func(t *testing.T) {
			withConnection(t, func(w *connectionTest) {
				w.network.setLink(link.from, link.to, linkDrops)
				w.send("lost")
				startedAt := time.Now()
				_, err := w.localConn.Read(make([]byte, 1))
				require.ErrorIs(t, err, syscall.ETIMEDOUT)
				require.InDelta(t, ackTimeout, time.Since(startedAt), float64(2*scanInterval))
				w.network.setLink(link.from, link.to, linkOpen)
				_, err = w.remoteConn.Write([]byte("answer"))
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, w.remoteConn)
				require.ErrorIs(t, err, syscall.ECONNRESET,
					"the other end learns of it from the reset of its own bytes")
			})
		})
	}
}

func TestKeepaliveDetectsPartition(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.network.setLink(hostB, hostA, linkDrops)
		_, err := w.remoteConn.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ETIMEDOUT)
	})
}

func TestFullWindowBlocksWriter(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		sent := bytes.Repeat([]byte("x"), 3*windowBytes)
		var writer sync.WaitGroup
		writer.Go(func() { w.send(string(sent)) })
		sleep(context.Background(), time.Second)
		w.network.mu.Lock()
		unread := len(w.remoteConn.(*conn).received)
		w.network.mu.Unlock()
		require.Equal(t, windowBytes, unread)
		require.Equal(t, string(sent), w.receive(len(sent)))
		writer.Wait()
	})
}

func TestConnectionClose(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.send("last")
		require.NoError(t, w.localConn.Close())
		require.Equal(t, "last", w.receive(4))
		_, err := w.remoteConn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	})
	withConnection(t, func(w *connectionTest) {
		w.send("unread")
		sleep(context.Background(), time.Second)
		w.network.closeProcess(w.remote)
		_, err := w.localConn.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = w.dialer.Dial(context.Background(), hostB)
		require.ErrorIs(t, err, syscall.ECONNREFUSED, "a closed port refuses connections")
		w.network.powerOff(w.remote)
		startedAt := time.Now()
		_, err = w.dialer.Dial(context.Background(), hostB)
		require.Error(t, err)
		require.NotErrorIs(t, err, syscall.ECONNREFUSED)
		require.Equal(t, connectTimeout, time.Since(startedAt), "a machine without power does not respond")
	})
}

func TestRejectingPartitionRefusesAndResets(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.network.setLink(hostA, hostB, linkRejects)
		_, err := w.dialer.Dial(context.Background(), hostB)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		w.send("refused")
		_, err = w.localConn.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}

func TestPausedProcessReadsNothing(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.network.pause(w.remote)
		w.send("late")
		var reader sync.WaitGroup
		startedAt := time.Now()
		reader.Go(func() { w.receive(4) })
		sleep(context.Background(), 5*time.Second)
		w.network.resume(w.remote)
		reader.Wait()
		require.Equal(t, 5*time.Second, time.Since(startedAt), "the kernel acknowledges the bytes during the pause")
	})
}

// A link that loses segments delivers all bytes in order, but later than a good link.
func TestLossyLinkDelaysBytes(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.network.setQuality(hostA, hostB, linkQuality{loss: 0.5})
		startedAt := time.Now()
		const text = "abcdefgh"
		for _, letter := range text {
			w.send(string(letter))
		}
		require.Equal(t, text, w.receive(len(text)))
		require.GreaterOrEqual(t, time.Since(startedAt), retransmissionTimeout)
		require.Less(t, time.Since(startedAt), ackTimeout)
	})
}

// A segment that is lost maxRetransmissions times arrives before its connection breaks.
func TestSegmentThatIsLostRepeatedlyArrives(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.network.setQuality(hostA, hostB, linkQuality{loss: 1})
		w.send("late")
		require.Equal(t, "late", w.receive(4))
		_, err := w.dialer.Dial(context.Background(), hostB)
		require.ErrorIs(t, err, syscall.ETIMEDOUT, "no connection is established")
		w.network.setQuality(hostA, hostB, linkQuality{})
		startedAt := time.Now()
		w.send("soon")
		require.Equal(t, "soon", w.receive(4))
		require.Equal(t, linkDelay, time.Since(startedAt))
	})
}

func TestLowBandwidthLink(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.network.setQuality(hostA, hostB, linkQuality{bandwidth: 1000})
		startedAt := time.Now()
		w.send("1234567890")
		require.Equal(t, "1234567890", w.receive(10))
		require.Equal(t, linkDelay+10*time.Millisecond, time.Since(startedAt))
	})
}
