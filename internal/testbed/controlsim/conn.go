package controlsim

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// segment is a chunk of a stream in flight.
type segment struct {
	data []byte
	due  time.Time // time of its arrival if the link is open
	fin  bool      // whether it ends the stream
}

// conn is one end of a connection. It implements net.Conn without write deadlines. Its fields are guarded by the
// network's lock, which cond uses, too.
type conn struct {
	network       *network
	local, remote *host
	peer          *conn
	cond          *sync.Cond

	inFlight      []segment // segments to the peer, in order
	inFlightBytes int       // total size of inFlight
	linkFreeAt    time.Time // time at which the link has transmitted all of inFlight
	unackedSince  time.Time // time since when sent bytes are unacknowledged; zero if none are
	lastReceived  time.Time // time of the last arrival of a segment

	readDeadline  time.Time // zero if there is none
	deadlineTimer *time.Timer

	received    []byte // received bytes that were not read yet
	receivedFIN bool   // the peer has closed its end, and its last byte has arrived
	err         error  // reason why this end is broken or closed; nil while it is open
	closed      bool   // whether its process has closed it or has ended
}

// Read waits for bytes, the end of the stream or an error.
func (c *conn) Read(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for {
		switch {
		case c.err != nil:
			return 0, c.err
		case c.local.paused:
		case !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case len(c.received) > 0:
			n := copy(b, c.received)
			if c.received = c.received[n:]; len(c.received) == 0 {
				c.received = nil
			}
			c.peer.cond.Broadcast()
			c.local.workLocked(n)
			return n, nil
		case c.receivedFIN:
			return 0, io.EOF
		}
		c.waitLocked()
	}
}

// waitLocked waits for a change of the connection, or for the end of a pause. It releases the lock while it waits.
func (c *conn) waitLocked() {
	if !c.local.paused {
		c.cond.Wait()
		return
	}
	resumed := c.local.resumed
	c.network.mu.Unlock()
	<-resumed
	c.network.mu.Lock()
}

// Write sends bytes. It blocks while the window is full.
func (c *conn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.err == nil {
		c.local.workLocked(len(b))
	}
	done := 0
	for done < len(b) {
		available := windowBytes - c.inFlightBytes - len(c.peer.received)
		switch {
		case c.err != nil:
			return done, c.err
		case c.local.paused || available <= 0:
			c.waitLocked()
			continue
		}
		n := min(available, segmentBytes, len(b)-done)
		c.sendLocked(segment{data: append([]byte(nil), b[done:done+n]...)})
		done += n
	}
	return done, nil
}

// sendLocked sends a segment. Its arrival depends on the link's bandwidth, latency and losses.
func (c *conn) sendLocked(s segment) {
	now := time.Now()
	transmitted := now
	if c.linkFreeAt.After(now) {
		transmitted = c.linkFreeAt
	}
	link := direction{c.local.addr, c.remote.addr}
	if bandwidth := c.network.bandwidthOf(link); bandwidth > 0 {
		transmitted = transmitted.Add(time.Duration(len(s.data)) * time.Second / time.Duration(bandwidth))
	}
	c.linkFreeAt = transmitted
	s.due = transmitted.Add(linkDelay + c.network.qualities.retransmissionDelay(link))
	if c.unackedSince.IsZero() {
		c.unackedSince = now
	}
	c.inFlight = append(c.inFlight, s)
	c.inFlightBytes += len(s.data)
	time.AfterFunc(s.due.Sub(now), func() {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		c.deliverLocked()
	})
}

// deliverLocked delivers the segments that are due, if the link is open and the remote host has power.
func (c *conn) deliverLocked() {
	now := time.Now()
	for len(c.inFlight) > 0 && !c.inFlight[0].due.After(now) {
		switch c.network.links[direction{c.local.addr, c.remote.addr}] {
		case linkDrops:
			return
		case linkRejects:
			c.breakLocked(syscall.ECONNRESET)
			return
		}
		if !c.remote.powered {
			return
		}
		if c.peer.err != nil { // the remote host no longer has this connection
			c.breakLocked(syscall.ECONNRESET)
			return
		}
		s := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		c.inFlightBytes -= len(s.data)
		c.peer.received = append(c.peer.received, s.data...)
		c.peer.receivedFIN = c.peer.receivedFIN || s.fin
		c.peer.lastReceived = now
		c.network.notifyWatchesLocked(c.remote, s.data)
		if c.network.links[direction{c.remote.addr, c.local.addr}] == linkOpen {
			c.unackedSince = now // for the remaining segments
		}
		c.peer.cond.Broadcast()
	}
	c.acknowledgeLocked()
}

// acknowledgeLocked records the acknowledgement of all sent bytes, if they have arrived and the reverse link is open.
func (c *conn) acknowledgeLocked() {
	if len(c.inFlight) == 0 && c.network.links[direction{c.remote.addr, c.local.addr}] == linkOpen {
		c.unackedSince = time.Time{}
		if c.closed {
			delete(c.network.conns, c)
		}
	}
}

// breakLocked breaks this end: segments in flight are lost. The other end learns of it from the reset of its next
// segment.
func (c *conn) breakLocked(err error) {
	if c.err == nil {
		c.err = &net.OpError{Op: "read", Net: "sim", Addr: address(c.remote.addr), Err: err}
	}
	c.inFlight, c.inFlightBytes, c.received = nil, 0, nil
	delete(c.network.conns, c)
	c.cond.Broadcast()
}

// closeLocked closes this end, on behalf of the process or at the end of the process. Segments in flight are still
// delivered, followed by a FIN. If received bytes were not read, the connection is reset instead.
func (c *conn) closeLocked() {
	if c.err != nil || c.closed {
		c.closed = true
		return
	}
	unread := len(c.received) > 0
	c.closed, c.received, c.err = true, nil, net.ErrClosed
	if unread {
		c.breakLocked(net.ErrClosed)
		if c.network.links[direction{c.local.addr, c.remote.addr}] == linkOpen && c.peer.err == nil {
			c.peer.breakLocked(syscall.ECONNRESET)
		}
		return
	}
	c.sendLocked(segment{fin: true})
	c.cond.Broadcast()
}

// Close closes the connection without waiting. If the process is paused, it takes effect when the pause ends.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if !c.local.paused {
		c.closeLocked()
		return nil
	}
	resumed := c.local.resumed
	go func() { // ends with the pause, at the latest at the end of the run
		<-resumed
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		c.closeLocked()
	}()
	return nil
}

// LocalAddr returns the address of this end's host.
func (c *conn) LocalAddr() net.Addr { return address(c.local.addr) }

// RemoteAddr returns the address of the other end's host.
func (c *conn) RemoteAddr() net.Addr { return address(c.remote.addr) }

// SetDeadline sets the read deadline; see SetWriteDeadline.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the time at which reads begin to fail; they don't if it is zero.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.deadlineTimer != nil {
		c.deadlineTimer.Stop()
	}
	c.readDeadline = t
	if t.IsZero() {
		return nil
	}
	c.deadlineTimer = time.AfterFunc(time.Until(t), func() {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		c.cond.Broadcast()
	})
	return nil
}

// SetWriteDeadline has no effect. Writes don't block for ever, because the network breaks connections without
// acknowledgements.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
