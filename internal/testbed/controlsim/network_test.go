package controlsim

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const hostA, hostB = "10.0.0.1:1", "10.0.0.2:1"

// connectionTest is two hosts and a connection between them in a bubble.
type connectionTest struct {
	t      *testing.T
	net    *network
	a, b   *host
	dialer dialer
	out    net.Conn // of a
	in     net.Conn // of b
}

func withConnection(t *testing.T, test func(w *connectionTest)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { n.expireConns(ctx) })
		w := &connectionTest{t: t, net: n, a: n.addHost(hostA), b: n.addHost(hostB)}
		w.dialer = dialer{host: w.a, done: ctx.Done()}
		listener := w.b.listen()
		var err error
		w.out, err = w.dialer.Dial(ctx, hostB)
		require.NoError(t, err)
		w.in, err = listener.Accept()
		require.NoError(t, err)
		test(w)
		cancel()
		running.Wait()
	})
}

func (w *connectionTest) send(text string) {
	_, err := w.out.Write([]byte(text))
	require.NoError(w.t, err)
}

func (w *connectionTest) receive(n int) string {
	b := make([]byte, n)
	_, err := io.ReadFull(w.in, b)
	require.NoError(w.t, err)
	return string(b)
}

func TestSilentPartitionDelaysBytes(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.net.setLink(hostA, hostB, linkSilent)
		w.send("late")
		sleep(context.Background(), time.Second)
		w.net.setLink(hostA, hostB, linkOpen)
		begun := time.Now()
		require.Equal(t, "late", w.receive(4))
		require.Zero(t, time.Since(begun))
	})
}

func TestUnacknowledgedBytesBreakConnection(t *testing.T) {
	for name, way := range map[string]direction{"lost": {hostA, hostB}, "not acknowledged": {hostB, hostA}} {
		t.Run(name, func(t *testing.T) {
			withConnection(t, func(w *connectionTest) {
				w.net.setLink(way.from, way.to, linkSilent)
				w.send("lost")
				begun := time.Now()
				_, err := w.out.Read(make([]byte, 1))
				require.ErrorIs(t, err, syscall.ETIMEDOUT)
				require.InDelta(t, ackTimeout, time.Since(begun), float64(2*scanInterval))
				w.net.setLink(way.from, way.to, linkOpen)
				_, err = w.in.Write([]byte("answer"))
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, w.in)
				require.ErrorIs(t, err, syscall.ECONNRESET, "the other end learns it from its own bytes")
			})
		})
	}
}

func TestKeepaliveDetectsPartition(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.net.setLink(hostB, hostA, linkSilent)
		_, err := w.in.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ETIMEDOUT)
	})
}

func TestFullWindowBlocksWriter(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		sent := bytes.Repeat([]byte("x"), 3*windowBytes)
		var writer sync.WaitGroup
		writer.Go(func() { w.send(string(sent)) })
		sleep(context.Background(), time.Second)
		w.net.mu.Lock()
		held := len(w.in.(*conn).received)
		w.net.mu.Unlock()
		require.Equal(t, windowBytes, held)
		require.Equal(t, string(sent), w.receive(len(sent)))
		writer.Wait()
	})
}

func TestConnectionClose(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.send("last")
		require.NoError(t, w.out.Close())
		require.Equal(t, "last", w.receive(4))
		_, err := w.in.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	})
	withConnection(t, func(w *connectionTest) {
		w.send("unread")
		sleep(context.Background(), time.Second)
		w.net.closeProcess(w.b)
		_, err := w.out.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = w.dialer.Dial(context.Background(), hostB)
		require.ErrorIs(t, err, syscall.ECONNREFUSED, "a dead port refuses")
		w.net.powerOff(w.b)
		begun := time.Now()
		_, err = w.dialer.Dial(context.Background(), hostB)
		require.Error(t, err)
		require.NotErrorIs(t, err, syscall.ECONNREFUSED)
		require.Equal(t, connectTimeout, time.Since(begun), "a machine without power is silent")
	})
}

func TestRejectingPartitionRefusesAndResets(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.net.setLink(hostA, hostB, linkRejects)
		_, err := w.dialer.Dial(context.Background(), hostB)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		w.send("refused")
		_, err = w.out.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}

func TestPausedProcessReadsNothing(t *testing.T) {
	withConnection(t, func(w *connectionTest) {
		w.net.pause(w.b)
		w.send("held")
		var reader sync.WaitGroup
		begun := time.Now()
		reader.Go(func() { w.receive(4) })
		sleep(context.Background(), 5*time.Second)
		w.net.resume(w.b)
		reader.Wait()
		require.Equal(t, 5*time.Second, time.Since(begun), "its kernel has acknowledged them meanwhile")
	})
}
