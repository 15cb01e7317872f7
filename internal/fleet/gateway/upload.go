package gateway

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// inlineBodyBytes is how much of a body is written together with the head, before anything is read:
// about what a connection takes without waiting for the server.
const inlineBodyBytes = 16 << 10

// upload is the sending of the part of a request that was not written together with its head. It runs
// while the response is read: a server may answer before it has read a long body. The zero upload is
// complete.
type upload struct {
	done chan struct{} // closed once nothing more is written; nil: all was written at once
	err  error         // why it is incomplete; written before done is closed, read after
}

// wait returns once nothing more is written. Closing the connection ends an upload, and so does its
// write deadline.
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

// send writes a request: its head and the start of its body at once, the remainder of a long body in a
// goroutine, for which pool.close waits. The error is nil if the head was written completely: from
// then on the server may execute the request, whether or not the remainder follows. An error proves
// that it can't, as no server executes half a head.
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

// delivered reports whether the server's host has received the complete request. Written bytes may
// still wait behind a body that the server, which has answered early, does not read, and another
// request would wait there, too. For a request that was written at once the response proves it.
func (c *conn) delivered() bool {
	if !c.upload.complete() {
		return false
	}
	if c.upload.done == nil {
		return true
	}
	unacknowledged, err := unacknowledgedBytes(c.Conn)
	return err == nil && unacknowledged == 0
}

// unacknowledgedBytes returns how many bytes were written to a connection and are not yet acknowledged
// by the peer's host (SIOCOUTQ, tcp(7)). It is 0 for a connection that is no socket.
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
