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

// testTimeout bounds the waits of these tests; each normally takes far less.
const testTimeout = 20 * time.Second

// endpoint has the sockets of an agent, at the agent's own address.
type endpoint struct {
	udp  *net.UDPConn
	tcp  *net.TCPListener
	addr string // of the relay, where others reach the agent
}

// joinAgents adds agents a and b, which listen at free ports, to a mesh.
func joinAgents(t *testing.T, m *Mesh) (a, b *endpoint) {
	out := [2]*endpoint{}
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
		addr, err := m.Join(name, tcp.Addr().String(), relay)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			udp.Close()
			tcp.Close()
		})
		out[i] = &endpoint{udp, tcp, addr}
	}
	t.Cleanup(m.Close)
	return out[0], out[1]
}

func (e *endpoint) send(t *testing.T, to *endpoint, text string) {
	addr, err := net.ResolveUDPAddr("udp", to.addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.udp.WriteToUDP([]byte(text), addr); err != nil {
		t.Fatal(err)
	}
}

func (e *endpoint) receive(t *testing.T) string {
	t.Helper()
	buf := make([]byte, 100)
	if err := e.udp.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	n, _, err := e.udp.ReadFromUDP(buf)
	if err != nil {
		t.Fatal(err)
	}
	return string(buf[:n])
}

// Datagrams on a link that is cut are lost, in that direction only; after the cut they pass again.
func TestCutOneWay(t *testing.T) {
	m := New(1)
	a, b := joinAgents(t, m)
	var cut atomic.Bool
	m.Set(func(from, to string) Quality { return Quality{Cut: cut.Load() && from == "a" && to == "b"} })
	a.send(t, b, "1")
	if got := b.receive(t); got != "1" {
		t.Fatalf("got %q", got)
	}
	cut.Store(true)
	a.send(t, b, "2")
	b.send(t, a, "3")
	if got := a.receive(t); got != "3" {
		t.Errorf("got %q on the link that is not cut", got)
	}
	for deadline := time.Now().Add(testTimeout); m.Stats("b").Lost < 1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no datagram was lost on the link that is cut")
		}
	}
	cut.Store(false)
	a.send(t, b, "4")
	if got := b.receive(t); got != "4" {
		t.Errorf("got %q after the cut", got)
	}
	if s := m.Stats("b"); s.Bytes == 0 || s.Datagrams < 2 {
		t.Errorf("got the counters %+v", s)
	}
}

// A stream stays open while its link is cut, and delivers what was sent when the cut ends.
func TestStream(t *testing.T) {
	m := New(1)
	a, b := joinAgents(t, m)
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: a.tcp.Addr().(*net.TCPAddr).IP}, Timeout: testTimeout}
	c, err := d.Dial("tcp", b.addr)
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
	if err := far.SetReadDeadline(time.Now().Add(5 * cutPollInterval)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 5)
	if n, _ := far.Read(buf); n > 0 {
		t.Errorf("got %q over a link that is cut", buf[:n])
	}
	cut.Store(false)
	if err := far.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(far, buf); err != nil || string(buf) != "hello" {
		t.Errorf("got %q, %v after the cut", buf, err)
	}
}

// Datagrams from addresses that are not an agent's are dropped.
func TestUnknownSendersAreIgnored(t *testing.T) {
	m := New(1)
	a, b := joinAgents(t, m)
	s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 33, 9, 9)})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	(&endpoint{udp: s}).send(t, b, "who")
	a.send(t, b, "me")
	if got := b.receive(t); got != "me" {
		t.Errorf("got %q", got)
	}
}
