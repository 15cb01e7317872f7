package http1

import (
	"bufio"
	"errors"
	"net"
	"syscall"
)

// IsNetworkError reports whether an error is one of the connection, not of what was read from it.
func IsNetworkError(err error) bool {
	var networkError net.Error
	return errors.As(err, &networkError)
}

// IsIdle reports whether a connection without a request is still open and has received nothing. Any
// other must not carry a request: it would end as a reset, or take the received bytes for its
// response. Nothing is read from the connection. One that is no socket counts as idle if nothing is
// buffered.
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
