package mesh

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// patience bounds waits; none needs more than a part of it.
const patience = 20 * time.Second

// end is an agent's own socket, at an address of its own.
type end struct {
	udp *net.UDPConn
	tcp *net.TCPListener
	at  string // where others reach it
}

// ends joins agents a and b to a mesh at free ports.
func ends(t *testing.T, m *Mesh) (a, b *end) {
	out := [2]*end{}
	for i, name := range []string{"a", "b"} {
		own, relay := net.IPv4(127, 33, 1, byte(10+i)), net.IPv4(127, 33, 2, byte(10+i))
		tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: own})
		if err != nil {
			t.Fatal(err)
		}
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: own, Port: tcp.Addr().(*net.TCPAddr).Port})
		if err != nil {
			t.Fatal(err)
		}
		at, err := m.Join(name, tcp.Addr().String(), relay)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			udp.Close()
			tcp.Close()
		})
		out[i] = &end{udp, tcp, at}
	}
	t.Cleanup(m.Close)
	return out[0], out[1]
}

func (e *end) send(t *testing.T, to *end, text string) {
	addr, err := net.ResolveUDPAddr("udp", to.at)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.udp.WriteToUDP([]byte(text), addr); err != nil {
		t.Fatal(err)
	}
}

func (e *end) got(t *testing.T) string {
	t.Helper()
	buf := make([]byte, 100)
	if err := e.udp.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	n, _, err := e.udp.ReadFromUDP(buf)
	if err != nil {
		t.Fatal(err)
	}
	return string(buf[:n])
}

// What is sent on a way that is cut is lost, on that way only, and after it heals all passes.
func TestCutOneWay(t *testing.T) {
	m := New(1)
	a, b := ends(t, m)
	var cut atomic.Bool
	m.Set(func(from, to string) Quality { return Quality{Cut: cut.Load() && from == "a" && to == "b"} })
	a.send(t, b, "1")
	if got := b.got(t); got != "1" {
		t.Fatalf("got %q", got)
	}
	cut.Store(true)
	a.send(t, b, "2")
	b.send(t, a, "3")
	if got := a.got(t); got != "3" {
		t.Errorf("got %q on the way that is well", got)
	}
	for end := time.Now().Add(patience); m.Stats("b").Lost < 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the cut lost nothing")
		}
	}
	cut.Store(false)
	a.send(t, b, "4")
	if got := b.got(t); got != "4" {
		t.Errorf("got %q after the cut", got)
	}
	if s := m.Stats("b"); s.Bytes == 0 || s.Datagrams < 2 {
		t.Errorf("counted %+v", s)
	}
}

// A stream stays open while it is cut, and brings what was sent when it heals.
func TestStream(t *testing.T) {
	m := New(1)
	a, b := ends(t, m)
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: a.tcp.Addr().(*net.TCPAddr).IP}, Timeout: patience}
	c, err := d.Dial("tcp", b.at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	far, err := b.tcp.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	var cut atomic.Bool
	cut.Store(true)
	m.Set(func(string, string) Quality { return Quality{Cut: cut.Load()} })
	if _, err := fmt.Fprint(c, "hello"); err != nil {
		t.Fatal(err)
	}
	if err := far.SetReadDeadline(time.Now().Add(5 * cutCheck)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 5)
	if n, _ := far.Read(buf); n > 0 {
		t.Errorf("%q came over a stream that is cut", buf[:n])
	}
	cut.Store(false)
	if err := far.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(far, buf); err != nil || string(buf) != "hello" {
		t.Errorf("%q, %v after it healed", buf, err)
	}
}

// Who is no agent is not heard.
func TestStrangersAreNotHeard(t *testing.T) {
	m := New(1)
	a, b := ends(t, m)
	s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 33, 9, 9)})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	(&end{udp: s}).send(t, b, "who")
	a.send(t, b, "me")
	if got := b.got(t); got != "me" {
		t.Errorf("got %q", got)
	}
}
