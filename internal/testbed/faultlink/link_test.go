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

const patience = 20 * time.Second

// echo serves a link: each line comes back.
func echo(t *testing.T, first time.Duration) *Link {
	t.Helper()
	l, err := New(Config{IP: net.IPv4(127, 0, 0, 1), Seed: 1, First: first})
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
	c, err := net.DialTimeout("tcp", l.Addr().String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// ask sends a line and returns how long its echo took.
func ask(t *testing.T, c net.Conn) (time.Duration, error) {
	t.Helper()
	from := time.Now()
	if _, err := c.Write([]byte("x\n")); err != nil {
		return 0, err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return time.Since(from), err
}

func set(t *testing.T, l *Link, q Quality) {
	t.Helper()
	if err := l.Set(q); err != nil {
		t.Fatal(err)
	}
}

func TestDelayBothWaysAndAtFirst(t *testing.T) {
	l := echo(t, 30*time.Millisecond)
	set(t, l, Quality{Delay: 20 * time.Millisecond})
	c := dial(t, l)
	for i, least := range []time.Duration{70, 40} {
		if took, err := ask(t, c); err != nil || took < least*time.Millisecond {
			t.Errorf("message %d took %v, %v, want %v ms at the least", i, took, err, least)
		}
	}
}

func TestStalledMessages(t *testing.T) {
	l := echo(t, 0)
	set(t, l, Quality{Stall: 1, Stalled: 25 * time.Millisecond})
	if took, err := ask(t, dial(t, l)); err != nil || took < 50*time.Millisecond {
		t.Errorf("took %v, %v", took, err)
	}
}

// A cut is silence both on open connections and for new ones, and ends as if it had not been.
func TestCutIsSilence(t *testing.T) {
	for name, q := range map[string]Quality{"to": {CutTo: true}, "from": {CutFrom: true}, "both": {CutTo: true, CutFrom: true}} {
		t.Run(name, func(t *testing.T) {
			l := echo(t, 0)
			c := dial(t, l)
			if _, err := ask(t, c); err != nil {
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
				t.Error("a new connection came up")
			} else if ne := net.Error(nil); !errors.As(err, &ne) || !ne.Timeout() {
				t.Errorf("a new connection: %v, want none that comes up", err)
			}
			set(t, l, Quality{})
			c.SetReadDeadline(time.Now().Add(patience))
			if _, err := c.Read(make([]byte, 2)); err != nil {
				t.Errorf("after the cut: %v", err)
			}
			if _, err := ask(t, dial(t, l)); err != nil {
				t.Errorf("a new connection after the cut: %v", err)
			}
		})
	}
}

// A process that died resets and refuses, and its next life has the same address.
func TestDownAndUp(t *testing.T) {
	l := echo(t, 0)
	c := dial(t, l)
	if _, err := ask(t, c); err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Down()
	if _, err := ask(t, c); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("an open connection: %v, want a reset", err)
	}
	if _, err := net.DialTimeout("tcp", addr, patience); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v, want it refused", err)
	}
	if err := l.Up(); err != nil {
		t.Fatal(err)
	}
	if _, err := ask(t, dial(t, l)); err != nil || l.Addr().String() != addr {
		t.Errorf("after its start: %v at %v, was at %v", err, l.Addr(), addr)
	}
}

func TestReset(t *testing.T) {
	l := echo(t, 0)
	c := dial(t, l)
	if _, err := ask(t, c); err != nil {
		t.Fatal(err)
	}
	l.Reset()
	c.SetReadDeadline(time.Now().Add(patience))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want a reset", err)
	}
	if _, err := ask(t, dial(t, l)); err != nil {
		t.Errorf("a new connection: %v", err)
	}
}

// A message that a cut holds up was sent when its first byte was, not when it comes through.
func TestAMessageIsDatedAsItWasSent(t *testing.T) {
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
	for end := time.Now().Add(patience); sent.Sent().IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never dated")
		}
	}
	healed := time.Now()
	if err := l.Set(Quality{}); err != nil {
		t.Fatal(err)
	}
	if err := <-read; err != nil || sent.Sent().After(healed) {
		t.Errorf("%v, sent at %v, healed at %v", err, sent.Sent(), healed)
	}
}
