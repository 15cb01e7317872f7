package http1

import (
	"bufio"
	"errors"
	"net"
	"syscall"
)

// IsNetworkError reports whether an error is, or wraps, a net.Error such as a timeout or a reset. io.EOF
// and ErrMalformed are not network errors.
func IsNetworkError(err error) bool {
	var networkError net.Error
	return errors.As(err, &networkError)
}

// IsIdle reports whether a connection without a request in flight is still open and has received
// nothing. No request may be sent on any other connection: it would end with a reset, or the received
// bytes would be taken for its response. IsIdle reads nothing from the connection. A connection that is
// not a socket counts as idle if nothing is buffered.
func IsIdle(conn net.Conn, reader *bufio.Reader) bool {
	if reader.Buffered() > 0 {
		return false
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
