package rpc

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens connections to other processes. Its connections have to fail on their own once the peer
// can no longer be reached.
type Dialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCPDialer is the Dialer that opens real TCP connections.
type TCPDialer struct{}

// Dial implements Dialer.
func (TCPDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	return DialTCP(ctx, address)
}

// keepAlive makes an idle connection detect a partition within three seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// DialTCP opens a TCP connection that fails on its own once the peer can no longer be reached.
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

// dialResult is the result of one connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// hedgeSchedule decides when another connect of a dial begins.
type hedgeSchedule struct{ next time.Time }

// due is called when the time for another connect has come, at now, and reports whether to begin it. It does not
// begin when it is called late: this process has had no processor, and its connects may have succeeded unnoticed.
func (h *hedgeSchedule) due(now time.Time) bool {
	inTime := now.Sub(h.next) <= maxHedgeLateness
	h.next = now.Add(connectHedgeDelay)
	return inTime
}

// dialHedged connects, and starts another connect after each connectHedgeDelay without a result: a SYN to
// a machine that is just starting is lost, and the kernel retransmits it only after a second. It returns
// the first result, or an error after connectTimeout.
func dialHedged(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	results := make(chan dialResult)
	start := func() {
		go func() {
			conn, err := dial(ctx)
			select {
			case results <- dialResult{conn, err}:
			case <-ctx.Done(): // another connect was faster, or the time is over
				if conn != nil {
					_ = conn.Close()
				}
			}
		}()
	}
	start()
	schedule := hedgeSchedule{time.Now().Add(connectHedgeDelay)}
	hedge := time.NewTimer(connectHedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case first := <-results:
			return first.conn, first.err
		case <-hedge.C:
			if schedule.due(time.Now()) {
				start()
			}
			hedge.Reset(connectHedgeDelay)
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
}

// partitionDetectingListener accepts connections that fail on their own once the peer can no longer be
// reached, as those of DialTCP do.
type partitionDetectingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l partitionDetectingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		configurePartitionDetection(conn)
	}
	return conn, err
}

// configurePartitionDetection sets the options that the connection supports, and ignores errors, since
// calls have time-outs as well.
func configurePartitionDetection(conn net.Conn) {
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
