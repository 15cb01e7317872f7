package gateway

import (
	"sync"
	"time"
)

const (
	// lateUploadTimeout is how long a server may take to read the remainder of a body after its response.
	lateUploadTimeout = 2 * time.Second
	// deliveryPollInterval is how often it is looked whether the server's host has received what was written.
	deliveryPollInterval = 5 * time.Millisecond
	// maxLateUploads bounds the connections whose server is waited for.
	maxLateUploads = 64
)

// lateUploads are the connections whose response has been read completely while a part of the request was still to be
// sent: a server may answer early and read on later. Such a connection carries the next request once the remainder of
// the body has been delivered, and is closed if that takes long. The zero value has none.
type lateUploads struct {
	mu     sync.Mutex
	conns  map[*conn]bool
	closed bool // no further ones are taken
}

// add takes a connection, and reports whether there was room for it.
func (l *lateUploads) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.conns) >= maxLateUploads {
		return false
	}
	if l.conns == nil {
		l.conns = map[*conn]bool{}
	}
	l.conns[c] = true
	return true
}

func (l *lateUploads) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// closeAll closes all connections, and those that come later.
func (l *lateUploads) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		c.Close()
	}
}

// finishUpload has the remainder of a body sent after its response, and returns the connection to the pool once that
// is delivered. Until then the body stays in memory.
func (g *Gateway) finishUpload(c *conn, bodyBytes int64) {
	if !g.bodyMemory.TryAcquire(bodyBytes) {
		g.pool.close(c)
		return
	}
	if !g.lateUploads.add(c) {
		g.bodyMemory.Release(bodyBytes)
		g.pool.close(c)
		return
	}
	go func() {
		defer g.bodyMemory.Release(bodyBytes)
		delivered := c.awaitDelivery(lateUploadTimeout)
		g.lateUploads.remove(c)
		if delivered {
			g.pool.put(c)
		} else {
			g.pool.close(c)
		}
	}()
}

// awaitDelivery waits for a time until the server's host has received the complete request, and reports whether it
// has.
func (c *conn) awaitDelivery(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	_ = c.SetWriteDeadline(deadline) // a closed connection fails its writes
	c.upload.wait()
	poll := time.NewTicker(deliveryPollInterval)
	defer poll.Stop()
	for c.upload.err == nil && time.Now().Before(deadline) {
		if c.delivered() {
			return true
		}
		<-poll.C
	}
	return false
}
