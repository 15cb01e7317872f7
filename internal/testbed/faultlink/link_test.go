package faultlink

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// testTimeout bounds every wait of the tests. Only a test that fails reaches it.
const testTimeout = 20 * time.Second

// newEchoLink returns a link whose far party sends back all it receives.
func newEchoLink(t *testing.T, firstDelay time.Duration) *Link {
	t.Helper()
	l, err := New(Config{IP: net.IPv4(127, 0, 0, 1), Seed: 1, FirstDelay: firstDelay})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-ended
	})
	return l
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", l.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// sendLine sends a line and returns the time until its echo arrived.
func sendLine(t *testing.T, c net.Conn) (time.Duration, error) {
	t.Helper()
	start := time.Now()
	if _, err := c.Write([]byte("x\n")); err != nil {
		return 0, err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return time.Since(start), err
}

func set(t *testing.T, l *Link, q Quality) {
	t.Helper()
	if err := l.Set(q); err != nil {
		t.Fatal(err)
	}
}

func TestDelayInBothDirectionsAndOfFirstMessage(t *testing.T) {
	l := newEchoLink(t, 30*time.Millisecond)
	set(t, l, Quality{Delay: 20 * time.Millisecond})
	c := dial(t, l)
	for i, minTime := range []time.Duration{70, 40} {
		if took, err := sendLine(t, c); err != nil || took < minTime*time.Millisecond {
			t.Errorf("message %d took %v, %v, want at least %v ms", i, took, err, minTime)
		}
	}
}

func TestStalledMessages(t *testing.T) {
	l := newEchoLink(t, 0)
	set(t, l, Quality{StallRate: 1, StallDelay: 25 * time.Millisecond})
	if took, err := sendLine(t, dial(t, l)); err != nil || took < 50*time.Millisecond {
		t.Errorf("took %v, %v, want at least 50 ms", took, err)
	}
}

// TestCutIsSilence checks that a cut link delivers nothing on open connections and prevents new ones, and that open and
// new connections work after the cut.
func TestCutIsSilence(t *testing.T) {
	for name, q := range map[string]Quality{"to": {CutTo: true}, "from": {CutFrom: true}, "both": {CutTo: true, CutFrom: true}} {
		t.Run(name, func(t *testing.T) {
			l := newEchoLink(t, 0)
			c := dial(t, l)
			if _, err := sendLine(t, c); err != nil {
				t.Fatal(err)
			}
			set(t, l, q)
			if _, err := c.Write([]byte("x\n")); err != nil {
				t.Fatal(err)
			}
			c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("on an open connection: %v, want silence", err)
			}
			if n, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond); err == nil {
				n.Close()
				t.Error("a new connection was established")
			} else if ne := net.Error(nil); !errors.As(err, &ne) || !ne.Timeout() {
				t.Errorf("a new connection: %v, want a timeout", err)
			}
			set(t, l, Quality{})
			c.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := c.Read(make([]byte, 2)); err != nil {
				t.Errorf("after the cut: %v", err)
			}
			if _, err := sendLine(t, dial(t, l)); err != nil {
				t.Errorf("a new connection after the cut: %v", err)
			}
		})
	}
}

// TestDownAndUp checks that a link that is down resets open connections and refuses new ones, and that it has the same
// address when it is up again.
func TestDownAndUp(t *testing.T) {
	l := newEchoLink(t, 0)
	c := dial(t, l)
	if _, err := sendLine(t, c); err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Down()
	if _, err := sendLine(t, c); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("an open connection: %v, want a reset", err)
	}
	if _, err := net.DialTimeout("tcp", addr, testTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v, want it refused", err)
	}
	if err := l.Up(); err != nil {
		t.Fatal(err)
	}
	if _, err := sendLine(t, dial(t, l)); err != nil || l.Addr().String() != addr {
		t.Errorf("after Up: %v at %v, was at %v", err, l.Addr(), addr)
	}
}

func TestReset(t *testing.T) {
	l := newEchoLink(t, 0)
	c := dial(t, l)
	if _, err := sendLine(t, c); err != nil {
		t.Fatal(err)
	}
	l.Reset()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want a reset", err)
	}
	if _, err := sendLine(t, dial(t, l)); err != nil {
		t.Errorf("a new connection: %v", err)
	}
}

// TestSentIgnoresDelay checks that Sent returns when a message was sent, not when it arrived after a cut.
func TestSentIgnoresDelay(t *testing.T) {
	l, err := New(Config{IP: net.IPv4(127, 0, 0, 1), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near := dial(t, l)
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Set(Quality{CutTo: true}); err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := far.Read(make([]byte, 8))
		read <- err
	}()
	if _, err := near.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	sent := far.(interface{ Sent() time.Time })
	for end := time.Now().Add(testTimeout); sent.Sent().IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("Sent is still zero")
		}
	}
	cutEnd := time.Now()
	if err := l.Set(Quality{}); err != nil {
		t.Fatal(err)
	}
	if err := <-read; err != nil || sent.Sent().After(cutEnd) {
		t.Errorf("%v, sent at %v, cut until %v", err, sent.Sent(), cutEnd)
	}
}
