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

// wire is two hosts and a connection between them in a bubble.
type wire struct {
	t      *testing.T
	net    *network
	a, b   *host
	dialer dialer
	out    net.Conn // of a
	in     net.Conn // of b
}

func onWire(t *testing.T, test func(w *wire)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { n.run(ctx) })
		w := &wire{t: t, net: n, a: n.addHost(hostA), b: n.addHost(hostB)}
		w.dialer = dialer{host: w.a, end: ctx.Done()}
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

func (w *wire) send(text string) {
	_, err := w.out.Write([]byte(text))
	require.NoError(w.t, err)
}

func (w *wire) receive(n int) string {
	b := make([]byte, n)
	_, err := io.ReadFull(w.in, b)
	require.NoError(w.t, err)
	return string(b)
}

func TestSilentCutHoldsBytesUp(t *testing.T) {
	onWire(t, func(w *wire) {
		w.net.setLink(hostA, hostB, linkSilent)
		w.send("late")
		pause(context.Background(), time.Second)
		w.net.setLink(hostA, hostB, linkOpen)
		begun := time.Now()
		require.Equal(t, "late", w.receive(4))
		require.Zero(t, time.Since(begun))
	})
}

func TestUnacknowledgedBytesBreakAConnection(t *testing.T) {
	for name, way := range map[string]route{"lost": {hostA, hostB}, "not acknowledged": {hostB, hostA}} {
		t.Run(name, func(t *testing.T) {
			onWire(t, func(w *wire) {
				w.net.setLink(way.from, way.to, linkSilent)
				w.send("lost")
				begun := time.Now()
				_, err := w.out.Read(make([]byte, 1))
				require.ErrorIs(t, err, syscall.ETIMEDOUT)
				require.InDelta(t, userTimeout, time.Since(begun), float64(2*scanEvery))
				w.net.setLink(way.from, way.to, linkOpen)
				_, err = w.in.Write([]byte("answer"))
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, w.in)
				require.ErrorIs(t, err, syscall.ECONNRESET, "the other end learns it from its own bytes")
			})
		})
	}
}

func TestIdleConnectionNoticesACut(t *testing.T) {
	onWire(t, func(w *wire) {
		w.net.setLink(hostB, hostA, linkSilent)
		_, err := w.in.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ETIMEDOUT)
	})
}

func TestWindowHoldsTheWriterUp(t *testing.T) {
	onWire(t, func(w *wire) {
		sent := bytes.Repeat([]byte("x"), 3*window)
		var writer sync.WaitGroup
		writer.Go(func() { w.send(string(sent)) })
		pause(context.Background(), time.Second)
		w.net.mu.Lock()
		held := len(w.in.(*conn).arrived)
		w.net.mu.Unlock()
		require.Equal(t, window, held)
		require.Equal(t, string(sent), w.receive(len(sent)))
		writer.Wait()
	})
}

func TestEndsOfConnections(t *testing.T) {
	onWire(t, func(w *wire) {
		w.send("last")
		require.NoError(t, w.out.Close())
		require.Equal(t, "last", w.receive(4))
		_, err := w.in.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	})
	onWire(t, func(w *wire) {
		w.send("unread")
		pause(context.Background(), time.Second)
		w.net.endProcess(w.b)
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

func TestLoudCutRefusesAndResets(t *testing.T) {
	onWire(t, func(w *wire) {
		w.net.setLink(hostA, hostB, linkRefuses)
		_, err := w.dialer.Dial(context.Background(), hostB)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		w.send("refused")
		_, err = w.out.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}

func TestFrozenProcessReadsNothing(t *testing.T) {
	onWire(t, func(w *wire) {
		w.net.freeze(w.b)
		w.send("held")
		var reader sync.WaitGroup
		begun := time.Now()
		reader.Go(func() { w.receive(4) })
		pause(context.Background(), 5*time.Second)
		w.net.thaw(w.b)
		reader.Wait()
		require.Equal(t, 5*time.Second, time.Since(begun), "its kernel has acknowledged them meanwhile")
	})
}
