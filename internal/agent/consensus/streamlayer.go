package consensus

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer implements raft.StreamLayer. It dials from the address that it listens on. It tracks all open
// connections so that Close can close them, because the library leaves some open.
type streamLayer struct {
	net.Listener
	localAddr *net.TCPAddr
	mu        sync.Mutex        // guards the fields below
	openConns map[net.Conn]bool // connections that are open
	closed    bool
}

// Accept implements net.Listener.
func (s *streamLayer) Accept() (net.Conn, error) { return s.track(s.Listener.Accept()) }

// Dial implements raft.StreamLayer.
func (s *streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: s.localAddr}
	return s.track(d.Dial("tcp", string(addr)))
}

// Close implements net.Listener. It also closes all open connections.
func (s *streamLayer) Close() error {
	err := s.Listener.Close()
	s.mu.Lock()
	s.closed = true
	conns := slices.Collect(maps.Keys(s.openConns))
	s.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
	return err
}

// track starts to track a connection. If the stream layer is closed, it closes the connection.
func (s *streamLayer) track(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return nil, net.ErrClosed
	}
	tracked := &trackedConn{Conn: c, layer: s}
	s.openConns[tracked] = true
	return tracked, nil
}

// listen returns a stream layer that listens on an address.
func listen(bind string) (*streamLayer, error) {
	ln, err := net.Listen("tcp", bind)
	if err != nil {
		return nil, err
	}
	return &streamLayer{Listener: ln, localAddr: &net.TCPAddr{IP: ln.Addr().(*net.TCPAddr).IP},
		openConns: map[net.Conn]bool{}}, nil
}

// trackedConn is a connection that a streamLayer tracks until it is closed.
type trackedConn struct {
	net.Conn
	layer *streamLayer
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.layer.mu.Lock()
	delete(c.layer.openConns, c)
	c.layer.mu.Unlock()
	return c.Conn.Close()
}
