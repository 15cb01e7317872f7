package controlsim

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// listener is an open port of a process. It implements net.Listener.
type listener struct {
	host    *host
	pending chan *conn
	once    sync.Once
	closed  chan struct{}
}

// Accept returns the next connection; net.ErrClosed after Close. It blocks while the process is paused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		select {
		case c := <-l.pending:
			if l.host.waitResumed(context.Background()) == nil {
				return c, nil
			}
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the port. Connections stay open.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.host.network.mu.Lock()
	defer l.host.network.mu.Unlock()
	if l.host.listener == l {
		l.host.listener = nil
	}
	if l.host.controlListener == l {
		l.host.controlListener = nil
	}
	return nil
}

// Addr returns the address of the host.
func (l *listener) Addr() net.Addr { return address(l.host.addr) }

// address is a net.Addr of the simulated network.
type address string

func (address) Network() string { return "sim" }

func (a address) String() string { return string(a) }

// dialer opens the connections of a process. It implements rpc.Dialer.
type dialer struct {
	host *host
	done <-chan struct{} // closed at the end of the process
}

// Dial connects to the port of another host. Its error is a *net.OpError with the errno of a real kernel. A refused
// connection fails at once, one without a response after connectTimeout.
func (d dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if err := d.sleep(ctx, linkDelay); err != nil {
		return nil, dialError(addr, err)
	}
	if err := d.host.waitResumed(ctx); err != nil {
		return nil, dialError(addr, syscall.ETIMEDOUT)
	}
	c, err := d.host.network.connect(d.host, addr)
	if errors.Is(err, errNoResponse) {
		<-ctx.Done()
		return nil, dialError(addr, syscall.ETIMEDOUT)
	}
	if sleepErr := d.sleep(ctx, linkDelay); err == nil && sleepErr != nil {
		_ = c.Close()
		return nil, dialError(addr, sleepErr)
	}
	if err != nil {
		return nil, dialError(addr, err)
	}
	return c, nil
}

// sleep waits for a duration, the end of the process or ctx.
func (d dialer) sleep(ctx context.Context, wait time.Duration) error {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-d.done:
		return syscall.ECANCELED
	case <-ctx.Done():
		return ctx.Err()
	}
}

func dialError(addr string, err error) error {
	return &net.OpError{Op: "dial", Net: "sim", Addr: address(addr), Err: err}
}

// listen opens the rpc port of a host for a process.
func (h *host) listen() *listener {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.listener = newListener(h)
	return h.listener
}

// listenControl opens the port of the control API of a host for a process.
func (h *host) listenControl(addr string) *listener {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.controlHosts[addr] = h
	h.controlListener = newListener(h)
	return h.controlListener
}

func newListener(h *host) *listener {
	return &listener{host: h, pending: make(chan *conn, acceptBacklog), closed: make(chan struct{})}
}
