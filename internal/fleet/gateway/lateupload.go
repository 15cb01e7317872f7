package gateway

import (
	"sync"
	"time"
)

const (
	// lateUploadTimeout is how long a server may take to read the remainder of a body after its response.
	lateUploadTimeout = 2 * time.Second
	// deliveryPollInterval is how often awaitDelivery checks whether the server's host has received the request.
	deliveryPollInterval = 5 * time.Millisecond
	// maxLateUploads bounds the connections with a late upload.
	maxLateUploads = 64
)

// lateUploads is the set of connections whose response has been read completely before the request was delivered: a
// server may respond early and read the rest of the body later. Once the rest is delivered, the connection carries the
// next request. If that takes longer than lateUploadTimeout, the connection is closed. The zero value is an empty set.
type lateUploads struct {
	mu     sync.Mutex
	conns  map[*conn]bool
	closed bool // no further connections are added
}

// add adds a connection. It reports false if the set is full or closed.
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

// closeAll closes all connections. From then on add rejects further ones.
func (l *lateUploads) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		c.Close()
	}
}

// finishUpload lets the rest of a body be sent after its response, and then returns the connection to the pool. It
// closes the connection instead if the upload fails, if there are too many late uploads, or if it can't reserve the
// memory that the body occupies until then.
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

// awaitDelivery waits, for at most timeout, until the server's host has received the complete request. It reports
// whether it has.
func (c *conn) awaitDelivery(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	_ = c.SetWriteDeadline(deadline) // writes to a closed connection fail anyway
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
