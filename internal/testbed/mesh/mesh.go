// Package mesh is the network between agents in the laboratory: one relay an agent, UDP and
// TCP, at an address that the laboratory owns and the agent advertises. A relay knows the
// sender by its source address, as each agent sends from an address of its own, and delays,
// loses, cuts or resets by pair. So n agents need n relays, and run as on a real network.
//
// A cut is silence: datagrams are lost, and streams stay open and bring nothing.
package mesh

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Quality is how one agent's way to another is at a moment.
type Quality struct {
	Delay time.Duration // one way
	Loss  float64       // of datagrams
	Cut   bool
}

// Mesh is the network of a fleet. It is safe for concurrent use.
type Mesh struct {
	quality atomic.Pointer[func(from, to string) Quality]
	rngMu   sync.Mutex
	rng     *rand.Rand

	mu     sync.Mutex
	names  map[string]string   // by source address
	relays map[string][]*relay // by name
	closed bool
	all    sync.WaitGroup
}

// New returns a network without agents, on which all is well.
func New(seed uint64) *Mesh {
	m := &Mesh{rng: rand.New(rand.NewPCG(seed, 11)), names: map[string]string{}, relays: map[string][]*relay{}}
	m.Set(func(string, string) Quality { return Quality{} })
	return m
}

// Set makes a function of the names the quality of each way from now on; it must be safe for
// concurrent use.
func (m *Mesh) Set(quality func(from, to string) Quality) { m.quality.Store(&quality) }

// Stats is what an agent was sent by others: datagrams and bytes that passed, datagrams that
// did not.
type Stats struct{ Datagrams, Bytes, Lost int64 }

// relay stands for one agent.
type relay struct {
	name    string
	udp     *net.UDPConn
	tcp     *net.TCPListener
	to      *net.UDPAddr // where the agent listens, datagrams and streams
	from    net.IP       // of the relay's own streams to it
	packets atomic.Int64
	bytes   atomic.Int64
	lost    atomic.Int64
	conns   map[net.Conn]bool // under the mesh's mu
}

// maxWaiting bounds the datagrams under way to one agent; over it they are lost.
const maxWaiting = 4096

// Join adds an agent that listens, and sends, at own, and returns the address at which others
// reach it, on ip. One that listens at several ports joins once for each.
func (m *Mesh) Join(name, own string, ip net.IP) (string, error) {
	to, err := net.ResolveUDPAddr("udp", own)
	if err != nil {
		return "", fmt.Errorf("mesh: %s: %w", name, err)
	}
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: to.Port})
	if err != nil {
		return "", fmt.Errorf("mesh: %s: %w", name, err)
	}
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip, Port: to.Port})
	if err != nil {
		udp.Close()
		return "", fmt.Errorf("mesh: %s: %w", name, err)
	}
	r := &relay{name: name, udp: udp, tcp: tcp, to: to, from: ip, conns: map[net.Conn]bool{}}
	m.mu.Lock()
	m.names[to.IP.String()], m.relays[name] = name, append(m.relays[name], r)
	m.mu.Unlock()
	m.all.Add(2)
	go func() {
		defer m.all.Done()
		m.datagrams(r)
	}()
	go func() {
		defer m.all.Done()
		m.streams(r)
	}()
	return net.JoinHostPort(ip.String(), strconv.Itoa(to.Port)), nil
}

// Stats is what has passed to an agent.
func (m *Mesh) Stats(name string) Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	var s Stats
	for _, r := range m.relays[name] {
		s.Datagrams += r.packets.Load()
		s.Bytes += r.bytes.Load()
		s.Lost += r.lost.Load()
	}
	return s
}

// Close ends all relays and what passes through them.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	for _, relays := range m.relays {
		for _, r := range relays {
			r.udp.Close()
			r.tcp.Close()
			for c := range r.conns {
				c.Close()
			}
		}
	}
	m.mu.Unlock()
	m.all.Wait()
}

// way is the quality from an address to an agent; false for a source that is no agent's.
func (m *Mesh) way(from net.IP, to string) (Quality, bool) {
	m.mu.Lock()
	name, ok := m.names[from.String()]
	m.mu.Unlock()
	if !ok {
		return Quality{}, false
	}
	return (*m.quality.Load())(name, to), true
}

func (m *Mesh) lost(part float64) bool {
	if part <= 0 {
		return false
	}
	m.rngMu.Lock()
	defer m.rngMu.Unlock()
	return m.rng.Float64() < part
}

func (m *Mesh) datagrams(r *relay) {
	buf := make([]byte, 64<<10)
	var waiting atomic.Int64
	for {
		n, from, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			return // closed
		}
		q, ok := m.way(from.IP, r.name)
		if !ok || q.Cut || m.lost(q.Loss) || waiting.Load() >= maxWaiting {
			r.lost.Add(1)
			continue
		}
		body := append([]byte(nil), buf[:n]...)
		r.packets.Add(1)
		r.bytes.Add(int64(n))
		if q.Delay <= 0 {
			_, _ = r.udp.WriteToUDP(body, r.to) // to an agent that may be down
			continue
		}
		waiting.Add(1)
		time.AfterFunc(q.Delay, func() {
			waiting.Add(-1)
			_, _ = r.udp.WriteToUDP(body, r.to)
		})
	}
}

func (m *Mesh) streams(r *relay) {
	for {
		c, err := r.tcp.AcceptTCP()
		if err != nil {
			return // closed
		}
		from := c.RemoteAddr().(*net.TCPAddr).IP
		if _, ok := m.way(from, r.name); !ok || !m.hold(r, c) {
			c.Close()
			continue
		}
		m.all.Add(1)
		go func() {
			defer m.all.Done()
			defer m.drop(r, c)
			m.stream(r, c, from)
		}()
	}
}

// hold keeps a connection to be closed with the mesh; false if that is closed already.
func (m *Mesh) hold(r *relay, c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	r.conns[c] = true
	return true
}

func (m *Mesh) drop(r *relay, c net.Conn) {
	m.mu.Lock()
	delete(r.conns, c)
	m.mu.Unlock()
	c.Close()
}

// stream carries one connection both ways.
func (m *Mesh) stream(r *relay, c *net.TCPConn, from net.IP) {
	if !m.passes(r, from) {
		return
	}
	d := net.Dialer{Timeout: time.Second}
	out, err := d.Dial("tcp", r.to.String())
	if err != nil {
		return
	}
	if !m.hold(r, out) {
		out.Close()
		return
	}
	defer m.drop(r, out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.copy(r, out, c, from)
		_ = out.(*net.TCPConn).CloseWrite() // of a connection that may be gone
	}()
	m.copy(r, c, out, from)
	_ = c.CloseWrite()
	<-done
}

// cutCheck is how often a stream that is cut looks whether it still is.
const cutCheck = 20 * time.Millisecond

// passes waits while the way is cut; false once the mesh is closed.
func (m *Mesh) passes(r *relay, from net.IP) bool {
	for {
		q, _ := m.way(from, r.name)
		if !q.Cut {
			time.Sleep(q.Delay)
			return true
		}
		m.mu.Lock()
		closed := m.closed
		m.mu.Unlock()
		if closed {
			return false
		}
		time.Sleep(cutCheck)
	}
}

func (m *Mesh) copy(r *relay, to io.Writer, from io.Reader, near net.IP) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !m.passes(r, near) {
				return
			}
			r.bytes.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return // its end, or a break: the other side is told the same
		}
	}
}
