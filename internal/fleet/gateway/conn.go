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
	// defaultKeepAlive is how long an idle connection stays usable if the server does not give a time.
	// keepAliveMargin is subtracted from the time that a server gives.
	defaultKeepAlive, keepAliveMargin = 8 * time.Second, 500 * time.Millisecond
	// maxKeepAlive bounds the time that a server gives: a value at or above it is ignored.
	maxKeepAlive = time.Hour
	// connBufferBytes is the size of the read buffer of a connection.
	connBufferBytes = 4 << 10
)

// conn is a connection to one server. It carries one request at a time.
type conn struct {
	net.Conn
	reader     *bufio.Reader
	instanceID string        // of the server
	keepAlive  time.Duration // how long the connection stays usable while idle
	idleSince  time.Time     // when it was last returned to the pool
	// usableUntil is the time from which an idle connection may be closed by the server.
	usableUntil time.Time
	// idleBucket is the http1.IdleBucket of the time that the connection was idle before its current use;
	// 0 if it is new.
	idleBucket int
	// upload is the state of the current request's upload.
	upload upload
}

// newConn returns a conn for a connection that was just opened to a server.
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

// setUserTimeout is a net.Dialer.Control function that sets tcpUserTimeout on a socket. It ignores a failure
// to do so, as the timeouts of requests also bound the wait.
func setUserTimeout(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}

// parseKeepAlive returns how long an idle connection stays usable according to the server's Keep-Alive
// field, "timeout=SECONDS": that time minus keepAliveMargin, or defaultKeepAlive without a valid time.
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
