// Package pipenetwork connects processes of a test in memory, so that their connections can be used in the virtual
// time of testing/synctest.
package pipenetwork

import (
	"context"
	"net"
	"sync"
)

// Network holds the listeners by address. Listen must not be called concurrently with Dial.
type Network map[string]*Listener

// Listen returns the listener of an address.
func (n Network) Listen(addr string) *Listener {
	listener := &Listener{incoming: make(chan net.Conn), closed: make(chan struct{})}
	n[addr] = listener
	return listener
}

// Dial opens a connection to the listener of an address. It waits until the connection is accepted.
func (n Network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	listener := n[addr]
	if listener == nil {
		return nil, &net.AddrError{Err: "connection refused", Addr: addr}
	}
	near, far := net.Pipe()
	select {
	case listener.incoming <- far:
		return near, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Listener accepts the connections to one address.
type Listener struct {
	incoming  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
