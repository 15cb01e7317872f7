// Package mesh emulates the network between the agents of a test fleet. It has one relay per
// agent, for UDP and TCP, at an address that the agent advertises. Each agent sends from an
// address of its own, by which a relay identifies the sender. So a relay can apply delays,
// losses and cuts to each pair of agents, and n agents need only n relays.
//
// While a link is cut, datagrams are lost, and streams stay open but transfer nothing.
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

// Quality is the state of the link from one agent to another.
type Quality struct {
	Delay time.Duration // one-way delay
	Loss  float64       // fraction of the datagrams that are lost, 0 to 1
	Cut   bool          // nothing passes
}

// Mesh is the network of a fleet. It is safe for concurrent use.
type Mesh struct {
	quality  atomic.Pointer[func(from, to string) Quality]
	randomMu sync.Mutex
	random   *rand.Rand

	mu         sync.Mutex
	names      map[string]string   // of agents, by their source addresses
	relays     map[string][]*relay // by the agent's name
	closed     bool
	goroutines sync.WaitGroup
}

// New returns a network without agents. Its links have no delays or losses.
func New(seed uint64) *Mesh {
	m := &Mesh{random: rand.New(rand.NewPCG(seed, 11)), names: map[string]string{}, relays: map[string][]*relay{}}
	m.Set(func(string, string) Quality { return Quality{} })
	return m
}

// Set sets the function that returns the quality of the link between two agents, by their names.
// The function must be safe for concurrent use.
func (m *Mesh) Set(quality func(from, to string) Quality) { m.quality.Store(&quality) }

// Stats counts what other agents have sent to an agent: the datagrams and the bytes that passed, and the datagrams that
// were lost.
type Stats struct{ Datagrams, Bytes, Lost int64 }

// relay forwards datagrams and streams to one port of an agent.
type relay struct {
	name      string
	udp       *net.UDPConn
	tcp       *net.TCPListener
	to        *net.UDPAddr // where the agent listens for datagrams and streams
	from      net.IP       // address of the relay
	datagrams atomic.Int64
	bytes     atomic.Int64
	lost      atomic.Int64
	conns     map[net.Conn]bool // guarded by the mesh's mu
}

// maxDelayed bounds the datagrams that a relay delays at the same time; further ones are lost.
const maxDelayed = 4096

// Join adds an agent that listens at ownAddr and sends from its IP address. It returns the address of its relay, on ip,
// at which the other agents reach it. An agent that listens at several ports joins once for each of them.
func (m *Mesh) Join(name, ownAddr string, ip net.IP) (string, error) {
	to, err := net.ResolveUDPAddr("udp", ownAddr)
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
	m.goroutines.Add(2)
	go func() {
		defer m.goroutines.Done()
		m.relayDatagrams(r)
	}()
	go func() {
		defer m.goroutines.Done()
		m.relayStreams(r)
	}()
	return net.JoinHostPort(ip.String(), strconv.Itoa(to.Port)), nil
}

// Stats returns the counters of an agent's relays.
func (m *Mesh) Stats(name string) Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	var s Stats
	for _, r := range m.relays[name] {
		s.Datagrams += r.datagrams.Load()
		s.Bytes += r.bytes.Load()
		s.Lost += r.lost.Load()
	}
	return s
}

// Close closes all relays and their connections.
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
	m.goroutines.Wait()
}

// qualityFrom returns the quality of the link from a source address to an agent; false if the address is not an
// agent's.
func (m *Mesh) qualityFrom(from net.IP, to string) (Quality, bool) {
	m.mu.Lock()
	name, ok := m.names[from.String()]
	m.mu.Unlock()
	if !ok {
		return Quality{}, false
	}
	return (*m.quality.Load())(name, to), true
}

// drawLoss draws whether a datagram is lost.
func (m *Mesh) drawLoss(share float64) bool {
	if share <= 0 {
		return false
	}
	m.randomMu.Lock()
	defer m.randomMu.Unlock()
	return m.random.Float64() < share
}

// relayDatagrams forwards datagrams to the agent until the relay is closed.
func (m *Mesh) relayDatagrams(r *relay) {
	buf := make([]byte, 64<<10)
	var delayed atomic.Int64
	for {
		n, from, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			return // closed
		}
		q, ok := m.qualityFrom(from.IP, r.name)
		if !ok || q.Cut || m.drawLoss(q.Loss) || delayed.Load() >= maxDelayed {
			r.lost.Add(1)
			continue
		}
		body := append([]byte(nil), buf[:n]...)
		r.datagrams.Add(1)
		r.bytes.Add(int64(n))
		if q.Delay <= 0 {
			_, _ = r.udp.WriteToUDP(body, r.to) // fails if the agent is down
			continue
		}
		delayed.Add(1)
		time.AfterFunc(q.Delay, func() {
			delayed.Add(-1)
			_, _ = r.udp.WriteToUDP(body, r.to)
		})
	}
}

// relayStreams accepts streams to the agent until the relay is closed.
func (m *Mesh) relayStreams(r *relay) {
	for {
		c, err := r.tcp.AcceptTCP()
		if err != nil {
			return // closed
		}
		from := c.RemoteAddr().(*net.TCPAddr).IP
		if _, ok := m.qualityFrom(from, r.name); !ok || !m.addConn(r, c) {
			c.Close()
			continue
		}
		m.goroutines.Add(1)
		go func() {
			defer m.goroutines.Done()
			defer m.removeConn(r, c)
			m.relayStream(r, c, from)
		}()
	}
}

// addConn adds a connection that Close closes; false if the mesh is closed already.
func (m *Mesh) addConn(r *relay, c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	r.conns[c] = true
	return true
}

// removeConn closes a connection and removes it from its relay.
func (m *Mesh) removeConn(r *relay, c net.Conn) {
	m.mu.Lock()
	delete(r.conns, c)
	m.mu.Unlock()
	c.Close()
}

// relayStream copies the bytes of one stream in both directions.
func (m *Mesh) relayStream(r *relay, c *net.TCPConn, from net.IP) {
	if !m.waitToPass(r, from) {
		return
	}
	d := net.Dialer{Timeout: time.Second}
	out, err := d.Dial("tcp", r.to.String())
	if err != nil {
		return
	}
	if !m.addConn(r, out) {
		out.Close()
		return
	}
	defer m.removeConn(r, out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.copy(r, out, c, from)
		_ = out.(*net.TCPConn).CloseWrite() // fails if the connection is closed already
	}()
	m.copy(r, c, out, from)
	_ = c.CloseWrite()
	<-done
}

// cutPollInterval is the pause between two checks whether a link is still cut.
const cutPollInterval = 20 * time.Millisecond

// waitToPass waits while the link is cut, and then for its delay; false if the mesh is closed meanwhile.
func (m *Mesh) waitToPass(r *relay, from net.IP) bool {
	for {
		q, _ := m.qualityFrom(from, r.name)
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
		time.Sleep(cutPollInterval)
	}
}

// copy copies one direction of a stream that the agent at sender has opened, until the stream ends or breaks.
func (m *Mesh) copy(r *relay, to io.Writer, from io.Reader, sender net.IP) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !m.waitToPass(r, sender) {
				return
			}
			r.bytes.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return // the stream has ended or is broken; the caller closes the other side
		}
	}
}
