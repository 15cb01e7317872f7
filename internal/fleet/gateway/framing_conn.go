package gateway

import (
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// malformedRemainder ends any part of a message in a way that net/http refuses: no line of a request
// contains a NUL, and no line of a chunk a bare line feed. net/http then answers 400 and closes the
// connection. It is given these bytes and no error, as an error would also end the request before.
const malformedRemainder = "\x00\n\x00\r\n\r\n"

// framingListener accepts connections that reject requests with ambiguous framing.
type framingListener struct {
	net.Listener
	rejected *atomic.Int64 // counts the rejected requests
	clock    *atomic.Int64 // of clientConns
	limits   func() clientLimits
}

// Accept waits for a connection.
func (l *framingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framingConn{Conn: conn, rejected: l.rejected, clock: l.clock, limits: l.limits}, nil
}

// framingConn passes on what it reads up to the first byte at which the end of a request is ambiguous, or its
// head longer than allowed; what follows never reaches the server. It relies on reads being sequential: net/http reads one byte
// ahead while a handler runs, but never concurrently with another read.
type framingConn struct {
	net.Conn
	rejected   *atomic.Int64
	clock      *atomic.Int64
	limits     func() clientLimits
	times      clientTimes
	scanner    framingScanner
	framingErr error  // that the scanner found; nil: none
	remainder  string // of malformedRemainder that is still to be read
}

// Read reads from the connection, or what replaces an ambiguous request.
func (c *framingConn) Read(p []byte) (int, error) {
	if c.framingErr != nil {
		return c.readRemainder(p)
	}
	n, err := c.Conn.Read(p)
	accepted, framingErr := c.scanner.scan(p[:n], c.limits().headerBytes)
	c.observeHead()
	if framingErr == nil {
		return n, err
	}
	c.framingErr, c.remainder = framingErr, malformedRemainder
	c.rejected.Add(1)
	if !errors.Is(framingErr, errHeadTooLong) {
		logevent.AmbiguousFraming.Log("client", c.RemoteAddr(), "err", framingErr)
	}
	if accepted > 0 {
		return accepted, nil
	}
	return c.readRemainder(p)
}

// observeHead records since when a head has been arriving.
func (c *framingConn) observeHead() {
	if !c.scanner.inHead() {
		c.times.headSince.Store(0)
	} else if c.times.headSince.Load() == 0 {
		c.times.headSince.Store(c.clock.Load())
	}
}

// readRemainder reads what replaces an ambiguous request, and after that the framing error. A head that is
// too long goes on until net/http refuses it as well, by 431.
func (c *framingConn) readRemainder(p []byte) (int, error) {
	if errors.Is(c.framingErr, errHeadTooLong) {
		for i := range p {
			p[i] = 'a'
		}
		return len(p), nil
	}
	if c.remainder == "" {
		return 0, c.framingErr
	}
	n := copy(p, c.remainder)
	c.remainder = c.remainder[n:]
	return n, nil
}

// CloseWrite closes the sending side, if the connection can do that. net/http uses it to let a last
// response arrive before a reset.
func (c *framingConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
