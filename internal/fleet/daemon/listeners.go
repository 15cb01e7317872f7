package daemon

import (
	"context"
	"net"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// listeners are the open sockets of a process. Those that its roles do not serve are nil.
type listeners struct {
	peers     net.Listener // for other agents
	readiness net.Listener // for the entry
	control   net.Listener // for servers and operators
	front     net.Listener // for clients
}

// openListeners opens all sockets, or none: it is called before anything runs, so that nothing is left
// behind if one cannot be opened.
func openListeners(ctx context.Context, current *settings.Settings) (*listeners, error) {
	opened := new(listeners)
	for _, socket := range []struct {
		addr     string
		listener *net.Listener
	}{
		{current.Listen.Readiness, &opened.readiness},
		{peerAddr(current), &opened.peers},
		{current.Listen.Control, &opened.control},
		{current.Listen.Front, &opened.front},
	} {
		if socket.addr == "" {
			continue
		}
		listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", socket.addr)
		if err != nil {
			opened.close()
			return nil, errors.Wrapf(err, "listen on %s", socket.addr)
		}
		*socket.listener = listener
	}
	return opened, nil
}

// close closes sockets from which nothing was accepted yet.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.readiness, l.peers, l.control, l.front} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
