package consensus

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer implements raft.StreamLayer. It dials from the address that it listens at, and tracks connections:
// the library leaves some open, and Close closes all.
type streamLayer struct {
	net.Listener
	localAddr *net.TCPAddr
	mu        sync.Mutex
	open      map[net.Conn]bool
	closed    bool
}

// Accept implements net.Listener.
func (s *streamLayer) Accept() (net.Conn, error) { return s.track(s.Listener.Accept()) }

// Dial implements raft.StreamLayer.
func (s *streamLayer) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within, LocalAddr: s.localAddr}
	return s.track(d.Dial("tcp", string(to)))
}

// Close implements net.Listener.
func (s *streamLayer) Close() error {
	err := s.Listener.Close()
	s.mu.Lock()
	s.closed = true
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
	return err
}

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
	h := &trackedConn{Conn: c, layer: s}
	s.open[h] = true
	return h, nil
}

func listen(bind string) (*streamLayer, error) {
	ln, err := net.Listen("tcp", bind)
	if err != nil {
		return nil, err
	}
	return &streamLayer{Listener: ln, localAddr: &net.TCPAddr{IP: ln.Addr().(*net.TCPAddr).IP}, open: map[net.Conn]bool{}}, nil
}

// trackedConn is a connection that its streamLayer tracks.
type trackedConn struct {
	net.Conn
	layer *streamLayer
}

// Close implements net.Conn.
func (h *trackedConn) Close() error {
	h.layer.mu.Lock()
	delete(h.layer.open, h)
	h.layer.mu.Unlock()
	return h.Conn.Close()
}
