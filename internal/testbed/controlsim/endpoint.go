package controlsim

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// listener is the port of one process.
type listener struct {
	host    *host
	pending chan *conn
	once    sync.Once
	closed  chan struct{}
}

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

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.host.network.mu.Lock()
	defer l.host.network.mu.Unlock()
	if l.host.listener == l {
		l.host.listener = nil
	}
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.host.addr) }

// address is a net.Addr of the simulated network.
type address string

func (address) Network() string { return "sim" }

func (a address) String() string { return string(a) }

// dialer dials for one process.
type dialer struct {
	host *host
	done <-chan struct{} // of the process
}

// Dial connects to the port of another host. A silent path costs connectTimeout.
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
	if perr := d.sleep(ctx, linkDelay); err == nil && perr != nil {
		_ = c.Close()
		return nil, dialError(addr, perr)
	}
	if err != nil {
		return nil, dialError(addr, err)
	}
	return c, nil
}

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

// listen opens the port of a host for one process.
func (h *host) listen() *listener {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	l := &listener{host: h, pending: make(chan *conn, backlog), closed: make(chan struct{})}
	h.listener = l
	return l
}
