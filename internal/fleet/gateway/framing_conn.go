package gateway

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
)

// malformedRemainder is what net/http reads after an ambiguous byte. It rejects these bytes in any part of a
// message: no line of a request may contain a NUL, and no line with a chunk size a bare line feed. It then
// answers 400 and closes the connection. A read error would also cancel the request before, so it is
// returned only after these bytes.
const malformedRemainder = "\x00\n\x00\r\n\r\n"

// framingListener accepts connections that reject requests with ambiguous framing.
type framingListener struct {
	net.Listener
	rejected *atomic.Int64 // counts the rejected requests
	clock    *atomic.Int64 // the clock of clientConns
	limits   func() clientLimits
	mayDeny  func() bool // see Gateway.limitMayDeny
}

// Accept waits for a connection.
func (l *framingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framingConn{Conn: conn, rejected: l.rejected, clock: l.clock, limits: l.limits, mayDeny: l.mayDeny}, nil
}

// framingConn passes on what it reads until the end of a request becomes ambiguous or its head is too long.
// What follows never reaches the server. Reads must not be concurrent: net/http reads one byte ahead while a
// handler runs, but never concurrently with another read.
type framingConn struct {
	net.Conn
	rejected   *atomic.Int64
	clock      *atomic.Int64
	limits     func() clientLimits
	mayDeny    func() bool
	times      clientTimes
	served     atomic.Uint64 // requests whose handler has returned
	scanner    framingScanner
	framingErr error  // the error of the scanner; nil if there is none
	remainder  string // the rest of malformedRemainder that has not been read yet
}

// Read reads from the connection. After a framing error it reads what replaces the rejected request. If net/http reads
// ahead while a handler runs, Read also waits for the end of the connection: net/http stops after one byte, and would
// not notice that a client that has sent a part of its next request disconnects.
func (c *framingConn) Read(p []byte) (int, error) {
	readsAhead := c.readsAhead(p)
	n, err := c.readFramed(p)
	if readsAhead && n > 0 && err == nil {
		err = c.awaitEnd()
	}
	return n, err
}

// readsAhead reports whether a read into p is one that net/http does while a handler runs: of a single byte, after a
// request that was read completely and whose handler has not returned.
func (c *framingConn) readsAhead(p []byte) bool {
	return len(p) == 1 && c.scanner.messages > c.served.Load()
}

// awaitEnd waits until the client has closed its side of the connection or reset it, and returns io.EOF. It reads
// nothing, so that further requests stay in the buffer of the kernel. It returns nil when net/http ends the read by a
// deadline, which it does after the response.
func (c *framingConn) awaitEnd() error {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	switch err = raw.Read(hasEnded); {
	case err == nil:
		return io.EOF
	case isTimeout(err):
		return nil
	}
	return err
}

// hasEnded reports whether the peer of a socket has closed its sending side or reset the connection, whether or not
// all bytes before that have been read.
func hasEnded(socket uintptr) bool {
	for {
		polled := []unix.PollFd{{Fd: int32(socket), Events: unix.POLLRDHUP}} // errors are always reported
		count, err := unix.Poll(polled, 0)
		if !errors.Is(err, unix.EINTR) {
			return count > 0
		}
	}
}

// readFramed reads from the connection, or what replaces a rejected request.
func (c *framingConn) readFramed(p []byte) (int, error) {
	if c.framingErr != nil {
		return c.readRemainder(p)
	}
	n, err := c.Conn.Read(p)
	accepted, framingErr := c.scanner.scan(p[:n], c.headerLimit(n))
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

// headerLimit returns the limit on the head of a request if n more bytes were received. It is maxHeaderBytes
// instead of the configuration's limit if that must not deny the request.
func (c *framingConn) headerLimit(n int) int64 {
	limit := c.limits().headerBytes
	if c.scanner.headBytes+int64(n) <= limit {
		return limit
	}
	if !c.mayDeny() {
		return maxHeaderBytes
	}
	return c.limits().headerBytes
}

// observeHead records when the head began that is being received, 0 if none is.
func (c *framingConn) observeHead() {
	if !c.scanner.inHead() {
		c.times.headSince.Store(0)
	} else if c.times.headSince.Load() == 0 {
		c.times.headSince.Store(c.clock.Load())
	}
}

// readRemainder reads what replaces a rejected request, and returns the framing error at its end. A head that
// is too long is continued without end, so that net/http rejects it with 431.
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

// CloseWrite closes the sending side if the connection supports it. net/http calls it so that the last
// response arrives before a reset.
func (c *framingConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
