package gateway

import (
	"net"
	"sync/atomic"

	logged "chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// malformedRemainder ends any part of a message in a way that net/http refuses: a NUL is part of no
// line of a request, and a bare line feed of no line of a chunk. net/http then answers 400 and
// closes. It gets bytes and no error, as an error would end the request ahead of this one, too.
const malformedRemainder = "\x00\n\x00\r\n\r\n"

// framingListener accepts connections whose requests' framing is watched.
type framingListener struct {
	net.Listener
	rejected *atomic.Int64 // doubtful requests
}

// Accept waits for a connection.
func (l *framingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framingConn{Conn: conn, rejected: l.rejected}, nil
}

// framingConn passes on what it reads up to the first doubt about where a request ends; what
// follows never reaches the server. net/http reads one byte ahead while a handler runs: all reads
// come one after the other.
type framingConn struct {
	net.Conn
	rejected   *atomic.Int64
	scanner    framingScanner
	framingErr error  // what was found
	remainder  string // of malformedRemainder
}

// Read reads from the connection, or what takes the place of a doubtful request.
func (c *framingConn) Read(p []byte) (int, error) {
	if c.framingErr != nil {
		return c.readRemainder(p)
	}
	n, err := c.Conn.Read(p)
	good, doubt := c.scanner.scan(p[:n])
	if doubt == nil {
		return n, err
	}
	c.framingErr, c.remainder = doubt, malformedRemainder
	c.rejected.Add(1)
	logged.DoubtfulFraming.Log("client", c.RemoteAddr(), "err", doubt)
	if good > 0 {
		return good, nil
	}
	return c.readRemainder(p)
}

func (c *framingConn) readRemainder(p []byte) (int, error) {
	if c.remainder == "" {
		return 0, c.framingErr
	}
	n := copy(p, c.remainder)
	c.remainder = c.remainder[n:]
	return n, nil
}

// CloseWrite closes the sending side, which net/http does ahead of a close where a last answer is
// to arrive before a reset.
func (c *framingConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
