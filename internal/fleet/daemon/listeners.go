package daemon

import (
	"context"
	"net"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

// listeners are the listening sockets of a process. A socket without an address in the settings is nil.
type listeners struct {
	peers     net.Listener // for other agents
	readiness net.Listener // for the entry
	control   net.Listener // for servers and operators
	front     net.Listener // for clients
}

// openListeners opens all sockets that have an address. If one cannot be opened, it closes the others
// and returns an error. It is called before any component is started, so that there is nothing else to
// stop in that case.
func openListeners(ctx context.Context, nodeSettings *settings.Settings) (*listeners, error) {
	sockets := new(listeners)
	for _, socket := range []struct {
		addr     string
		listener *net.Listener
	}{
		{nodeSettings.Listen.Readiness, &sockets.readiness},
		{peerAddr(nodeSettings), &sockets.peers},
		{nodeSettings.Listen.Control, &sockets.control},
		{nodeSettings.Listen.Front, &sockets.front},
	} {
		if socket.addr == "" {
			continue
		}
		listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", socket.addr)
		if err != nil {
			sockets.close()
			return nil, errors.Wrapf(err, "listen on %s", socket.addr)
		}
		*socket.listener = listener
	}
	return sockets, nil
}

// close closes all open sockets. It is called before any of them accepts connections.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.readiness, l.peers, l.control, l.front} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
