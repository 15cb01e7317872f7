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
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { setUserTimeout(int(fd)) })
		},
	}
	return dialHedged(ctx, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// dialed is the result of one connect.
type dialed struct {
	conn net.Conn
	err  error
}

// dialHedged connects, and begins another connect after each connectHedgeDelay without a result: a SYN to
// a machine that is just starting is lost, and the kernel repeats it only after a second. The first result
// counts. It returns after connectTimeout at the latest.
func dialHedged(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	results := make(chan dialed)
	begin := func() {
		go func() {
			conn, err := dial(ctx)
			select {
			case results <- dialed{conn, err}:
			case <-ctx.Done(): // another connect was first, or it is too late
				if conn != nil {
					_ = conn.Close()
				}
			}
		}()
	}
	begin()
	hedge := time.NewTicker(connectHedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case first := <-results:
			return first.conn, first.err
		case <-hedge.C:
			begin()
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
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
