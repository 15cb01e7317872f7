package rpc

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens connections to other processes. Its connections have to fail by themselves if the peer
// can no longer be reached.
type Dialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCPDialer is the Dialer of processes on real machines.
type TCPDialer struct{}

// Dial implements Dialer.
func (TCPDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	return DialTCP(ctx, address)
}

// keepAlive detects a partition on an idle connection, within three seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// DialTCP opens a TCP connection that fails by itself if the peer can no longer be reached.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { setUserTimeout(int(fd)) })
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// cutDetectingListener accepts connections that fail by themselves, as those of DialTCP do.
type cutDetectingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l cutDetectingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		configureCutDetection(conn)
	}
	return conn, err
}

// configureCutDetection does what the connection supports: calls have time-outs, too.
func configureCutDetection(conn net.Conn) {
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcpConn.SetKeepAliveConfig(keepAlive)
	if raw, err := tcpConn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { setUserTimeout(int(fd)) })
	}
}

func setUserTimeout(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
}
