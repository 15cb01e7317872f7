package gateway

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// inlineBodyBytes is how much of a body goes out in one write with the head, before anything is read:
// about what a connection takes without waiting for the server.
const inlineBodyBytes = 16 << 10

// upload is the sending of what did not go out with a request's head. It goes on while the answer
// is read: a server may answer before it has read a long body. The zero upload is complete.
type upload struct {
	done chan struct{} // closed once nothing more is written; nil: it was sent at once
	err  error         // why it is not complete; set before done is closed
}

// wait returns once nothing more is written. The end of the connection or of its time brings that about.
func (u *upload) wait() {
	if u.done != nil {
		<-u.done
	}
}

// inProgress tells whether there is still something being written.
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

// complete tells whether all was written.
func (u *upload) complete() bool { return !u.inProgress() && u.err == nil }

// send writes a request: its head and the start of its body at once, and what is left of a long
// body in a goroutine, which pool.close waits for. The error is nil where the head has left whole:
// from then on the server may run the request, whether or not the rest of the body follows. An
// error proves that it can't: no server can run half a head.
func (cn *conn) send(head, body []byte) error {
	first := min(len(body), inlineBodyBytes)
	n, err := cn.Write(append(head, body[:first]...))
	cn.upload = upload{err: err}
	if n < len(head) {
		return err
	}
	if rest := body[first:]; err == nil && len(rest) > 0 {
		cn.upload.done = make(chan struct{})
		go cn.sendRemainder(rest)
	}
	return nil
}

// sendRemainder writes what is left of a body.
func (cn *conn) sendRemainder(rest []byte) {
	_, cn.upload.err = cn.Write(rest)
	close(cn.upload.done)
}

// delivered tells whether the server's side has all of the request. What is written may still wait
// behind a body that the server, which has answered early, does not read: another request would
// wait there, too. Of a request that went out at once the answer says so.
func (cn *conn) delivered() bool {
	if !cn.upload.complete() {
		return false
	}
	if cn.upload.done == nil {
		return true
	}
	unacknowledged, err := unacknowledgedBytes(cn.Conn)
	return err == nil && unacknowledged == 0
}

// unacknowledgedBytes is how many bytes were written to a connection and are not acknowledged yet.
func unacknowledgedBytes(nc net.Conn) (n int, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "look at a connection")
	}
	cerr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err = errors.Join(err, cerr); err != nil {
		return 0, errors.Wrap(err, "ask for what is not acknowledged")
	}
	return n, nil
}
