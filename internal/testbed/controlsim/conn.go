package controlsim

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// segment is a part of a stream on its way.
type segment struct {
	data []byte
	due  time.Time
	fin  bool
}

// conn is one end of a connection. Its fields belong to the network's lock.
type conn struct {
	network       *network
	local, remote *host
	peer          *conn
	cond          *sync.Cond

	inFlight      []segment // on their way to the peer
	inFlightBytes int       // bytes of them
	linkFreeAt    time.Time // when the link has sent all of them
	unackedSince  time.Time // since when sent bytes are not acknowledged; zero: all are
	lastReceived  time.Time // when something last came in

	received    []byte // not read yet
	receivedFIN bool   // the peer's end of the stream has arrived
	err         error  // broken, or closed here
	closed      bool   // by its own process
}

// Read waits for bytes.
func (c *conn) Read(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for {
		switch {
		case c.err != nil:
			return 0, c.err
		case c.local.paused:
		case len(c.received) > 0:
			n := copy(b, c.received)
			if c.received = c.received[n:]; len(c.received) == 0 {
				c.received = nil
			}
			c.peer.cond.Broadcast()
			return n, nil
		case c.receivedFIN:
			return 0, io.EOF
		}
		c.waitLocked()
	}
}

// waitLocked waits for a change of the connection, or for the end of a freeze.
func (c *conn) waitLocked() {
	if !c.local.paused {
		c.cond.Wait()
		return
	}
	thawed := c.local.resumed
	c.network.mu.Unlock()
	<-thawed
	c.network.mu.Lock()
}

// Write waits while the window is full.
func (c *conn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	done := 0
	for done < len(b) {
		room := windowBytes - c.inFlightBytes - len(c.peer.received)
		switch {
		case c.err != nil:
			return done, c.err
		case c.local.paused || room <= 0:
			c.waitLocked()
			continue
		}
		n := min(room, segmentBytes, len(b)-done)
		c.sendLocked(segment{data: append([]byte(nil), b[done:done+n]...)})
		done += n
	}
	return done, nil
}

// sendLocked puts a segment on its way.
func (c *conn) sendLocked(s segment) {
	now := time.Now()
	begin := now
	if c.linkFreeAt.After(begin) {
		begin = c.linkFreeAt
	}
	if c.network.bandwidth > 0 {
		begin = begin.Add(time.Duration(len(s.data)) * time.Second / time.Duration(c.network.bandwidth))
	}
	c.linkFreeAt = begin
	s.due = begin.Add(linkDelay)
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

// deliverLocked brings to the peer what is due, if the link is open.
func (c *conn) deliverLocked() {
	now := time.Now()
	for len(c.inFlight) > 0 && !c.inFlight[0].due.After(now) {
		switch c.network.links[direction{c.local.addr, c.remote.addr}] {
		case linkSilent:
			return
		case linkRejects:
			c.breakLocked(syscall.ECONNRESET)
			return
		}
		if !c.remote.powered {
			return
		}
		if c.peer.err != nil { // the other end knows of no such connection
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
			c.unackedSince = now // of what is left
		}
		c.peer.cond.Broadcast()
	}
	c.acknowledgeLocked()
}

// acknowledgeLocked notes that all that was sent has arrived and its acknowledgement, too.
func (c *conn) acknowledgeLocked() {
	if len(c.inFlight) == 0 && c.network.links[direction{c.remote.addr, c.local.addr}] == linkOpen {
		c.unackedSince = time.Time{}
		if c.closed {
			delete(c.network.conns, c)
		}
	}
}

// breakLocked ends this end at once: what it sent and has not arrived is lost. The other end learns
// it from the answer to its next segment.
func (c *conn) breakLocked(err error) {
	if c.err == nil {
		c.err = &net.OpError{Op: "read", Net: "sim", Addr: address(c.remote.addr), Err: err}
	}
	c.inFlight, c.inFlightBytes, c.received = nil, 0, nil
	delete(c.network.conns, c)
	c.cond.Broadcast()
}

// closeLocked is what the process's Close does, or the kernel after its end: what was sent goes on
// its way, and an end follows it. Where bytes were not read it is a reset.
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

// Close never waits, but that a frozen process can't close anything: its end follows the thaw.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if !c.local.paused {
		c.closeLocked()
		return nil
	}
	thawed := c.local.resumed
	go func() { // ends with the freeze, at the run's end at the latest
		<-thawed
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		c.closeLocked()
	}()
	return nil
}

func (c *conn) LocalAddr() net.Addr { return address(c.local.addr) }

func (c *conn) RemoteAddr() net.Addr { return address(c.remote.addr) }

// The calls of rpc set no deadlines.
func (c *conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

func (c *conn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

func (c *conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
