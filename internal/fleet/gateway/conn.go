package gateway

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpUserTimeout is how long sent bytes may stay unacknowledged: a server behind a network
	// partition neither answers nor resets the connection.
	tcpUserTimeout = 3 * time.Second
	// defaultKeepAlive is how long a connection may have been idle to be used again, if the server
	// does not say so. keepAliveMargin is subtracted from what it says.
	defaultKeepAlive, keepAliveMargin = 8 * time.Second, 500 * time.Millisecond
	// maxKeepAlive bounds the keep-alive of a server that is believed.
	maxKeepAlive = time.Hour
	// connBufferBytes is the size of the read buffer of a connection.
	connBufferBytes = 4 << 10
)

// conn is a connection to one server. It carries one request at a time.
type conn struct {
	net.Conn
	reader     *bufio.Reader
	instanceID string        // of the server
	keepAlive  time.Duration // how long the server keeps it open while idle
	idleSince  time.Time     // set while idle
	// usableUntil is when the server may close it; set while idle.
	usableUntil time.Time
	// idleBucket is how long it was idle before its current use, 0 if it is new; see
	// http1.ReuseStats.
	idleBucket int
	// upload is the sending of the current request.
	upload upload
}

// newConn returns a connection that was just opened to a server.
func newConn(netConn net.Conn, instanceID string) *conn {
	return &conn{
		Conn:       netConn,
		reader:     bufio.NewReaderSize(netConn, connBufferBytes),
		instanceID: instanceID,
		keepAlive:  defaultKeepAlive,
	}
}

// IdleSince returns when the connection was last returned to the pool.
func (c *conn) IdleSince() time.Time { return c.idleSince }

// setUserTimeout sets tcpUserTimeout on a socket, as net.Dialer.Control. It is best effort: the
// time-outs of requests bound the wait, too.
func setUserTimeout(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}

// parseKeepAlive returns for how long a server keeps an idle connection open, less the margin, from
// its Keep-Alive field: "timeout=SECONDS".
func parseKeepAlive(field string) time.Duration {
	for parameter := range strings.SplitSeq(field, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 && seconds < int(maxKeepAlive/time.Second) {
			return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
	return defaultKeepAlive
}
