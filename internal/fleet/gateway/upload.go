package gateway

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// inlineBodyBytes is how much of a body is written together with the head, before the response is read. It
// is about as much as a connection takes without waiting for the server.
const inlineBodyBytes = 16 << 10

// upload writes the remainder of a body, which was not written together with the head of the request. It
// runs while the response is read, as a server may answer before it has read a long body. The zero upload
// is complete.
type upload struct {
	done chan struct{} // closed once nothing more is written; nil if all was written at once
	err  error         // why the upload is incomplete, nil if it is not; set before done is closed, read after
}

// wait waits until nothing more is written. An upload also ends when its connection is closed or the write
// deadline has passed.
func (u *upload) wait() {
	if u.done != nil {
		<-u.done
	}
}

// inProgress reports whether something is still being written.
func (u *upload) inProgress() bool {
	if u.done == nil {
		return false
	}
	select {
	case <-u.done:
		return false
	default:
		return true
	}
}

// complete reports whether the request was written completely.
func (u *upload) complete() bool { return !u.inProgress() && u.err == nil }

// send writes a request. It writes the head and the start of the body itself, and leaves the remainder of a
// long body to a goroutine, for which pool.close waits. The error is nil if the head was written completely:
// from then on the server may execute the request, whether or not the remainder follows. An error proves
// that the server does not execute the request, as its head is incomplete.
func (c *conn) send(head, body []byte) error {
	inline := min(len(body), inlineBodyBytes)
	n, err := c.Write(append(head, body[:inline]...))
	c.upload = upload{err: err}
	if n < len(head) {
		return err
	}
	if remainder := body[inline:]; err == nil && len(remainder) > 0 {
		c.upload.done = make(chan struct{})
		go c.sendRemainder(remainder)
	}
	return nil
}

// sendRemainder writes the remainder of a body.
func (c *conn) sendRemainder(remainder []byte) {
	_, c.upload.err = c.Write(remainder)
	close(c.upload.done)
}

// delivered reports whether the server's host has received the complete request. If the server has answered
// early and does not read the body, written bytes remain in the send buffer, and another request on the
// connection would be stuck behind them. For a request that was written at once, the response proves the
// delivery.
func (c *conn) delivered() bool {
	if !c.upload.complete() {
		return false
	}
	if c.upload.done == nil {
		return true
	}
	byteCount, err := unacknowledgedBytes(c.Conn)
	return err == nil && byteCount == 0
}

// unacknowledgedBytes returns how many of the bytes written to a connection the peer's host has not yet
// acknowledged (SIOCOUTQ, see tcp(7)). It is 0 for a connection that is not a socket.
func unacknowledgedBytes(netConn net.Conn) (n int, err error) {
	socket, ok := netConn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "access the socket of a connection")
	}
	controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err = errors.Join(err, controlErr); err != nil {
		return 0, errors.Wrap(err, "read the send queue of a socket")
	}
	return n, nil
}
