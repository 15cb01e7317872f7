package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

const (
	// acceptLinger is for how long connections still come after SIGTERM: the entry asks every second and
	// takes two misses for an end.
	acceptLinger = 2600 * time.Millisecond
	// departureReserve is what of the grace is kept for telling the others and closing the disk.
	departureReserve = 700 * time.Millisecond
	// readinessHeaderTimeout bounds the head of a question for readiness, readinessIdleTimeout the pause after one.
	readinessHeaderTimeout, readinessIdleTimeout = 5 * time.Second, 30 * time.Second
	// maxComponents is how many parts of a process may fail without one waiting for another.
	maxComponents = 8
)

// components are the parts of a process that run until its work ends. The first error of one ends all.
type components struct {
	wg   sync.WaitGroup
	errs chan error
}

// start starts a part; its error, if it has one, is reported under the part's name.
func (t *components) start(part string, fn func() error) {
	t.wg.Go(func() {
		if err := fn(); err != nil {
			t.errs <- errors.Wrap(err, part)
		}
	})
}

// listeners are the open sockets of a process. The optional ones are nil where the role doesn't
// serve them.
type listeners struct {
	peers     net.Listener
	readiness net.Listener
	control   net.Listener
	front     net.Listener
}

// Run serves until ctx ends, then ends within the grace. reload has the settings file read again.
func (d *Daemon) Run(ctx context.Context, reload <-chan struct{}) error {
	s := d.settings.Load()
	// What works on while the process ends stops by this one.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	open, err := openListeners(ctx, s)
	if err != nil {
		stop()
		_ = d.core.Run(work) // closes the state
		return err
	}
	parts := &components{errs: make(chan error, maxComponents)}
	d.startComponents(work, open, parts, reload)
	logevent.Started.Log("node", s.Name, "zone", s.Zone, "disk", s.HasDisk(), "first", s.FirstStart)
	select {
	case err = <-parts.errs:
		logevent.ComponentFailed.Error(err)
		d.abort(ctx)
	case <-ctx.Done():
		d.shutdown(s)
	}
	stop()
	d.peerPool.Close()
	parts.wg.Wait()
	return err
}

// openListeners opens all sockets before anything works, so that nothing is left behind where one can't be
// opened.
func openListeners(ctx context.Context, s *settings.Settings) (*listeners, error) {
	l := new(listeners)
	for _, want := range []struct {
		addr string
		to   *net.Listener
	}{
		{s.Listen.Readiness, &l.readiness},
		{peerAddr(s), &l.peers},
		{s.Listen.Control, &l.control},
		{s.Listen.Front, &l.front},
	} {
		if want.addr == "" {
			continue
		}
		ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", want.addr)
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "listen on %s", want.addr)
		}
		*want.to = ln
	}
	return l, nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.readiness, l.peers, l.control, l.front} {
		if ln != nil {
			_ = ln.Close() // nothing was accepted from it
		}
	}
}

// peerAddr is the address at which other agents call this one.
func peerAddr(s *settings.Settings) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort()))
}

// startComponents has all parts of the process work until ctx ends.
func (d *Daemon) startComponents(ctx context.Context, open *listeners, parts *components, reload <-chan struct{}) {
	if open.readiness != nil {
		parts.start("readiness", func() error { return d.serveReadiness(ctx, open.readiness) })
	}
	calls := rpc.NewMux()
	d.core.RegisterHandlers(calls)
	d.relay.RegisterHandlers(calls)
	parts.start("peers", func() error { return rpc.Serve(ctx, open.peers, calls) })
	parts.start("core", func() error { return d.core.Run(ctx) })
	parts.start("hub", func() error { return d.relay.Run(ctx) })
	parts.start("door", func() error { return d.gateway.Run(ctx) })
	parts.start("newest", func() error { d.loadNewestConfig(ctx); return nil })
	parts.start("settings", func() error { d.watchSettings(ctx, reload); return nil })
	if open.control != nil {
		parts.start("control", func() error { return d.controlServer.Serve(ctx, open.control) })
	}
	if open.front != nil {
		parts.start("front", func() error { return d.gateway.Serve(open.front) })
	}
}

// serveReadiness answers the entry's questions until ctx ends.
func (d *Daemon) serveReadiness(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{Handler: http.HandlerFunc(d.handleReadiness), ReadHeaderTimeout: readinessHeaderTimeout, IdleTimeout: readinessIdleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// handleReadiness answers the entry's question. A process that ends is not ready from that moment on, whatever
// its log, the feed or the door still waits for.
func (d *Daemon) handleReadiness(w http.ResponseWriter, r *http.Request) {
	if d.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.gateway.ServeReadiness(w, r)
}

// abort breaks off all that is held: a part of the process has failed.
func (d *Daemon) abort(ctx context.Context) {
	none, cancel := context.WithCancel(ctx)
	cancel()
	d.gateway.Shutdown(none, 0)
}

// shutdown serves to its end what is held, and tells the others.
func (d *Daemon) shutdown(s *settings.Settings) {
	d.draining.Store(true)
	logevent.ShutdownStarted.Log("node", s.Name)
	by := time.Now().Add(s.Grace() - departureReserve)
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	d.relay.AnnounceDraining()
	d.controlServer.Drain()
	var wg sync.WaitGroup
	wg.Go(func() { d.core.Handover(ctx) })
	d.gateway.Shutdown(ctx, acceptLinger)
	wg.Wait()
	bye, done := context.WithTimeout(context.Background(), departureReserve/2)
	defer done()
	d.relay.Depart(bye)
	logevent.ShutdownCompleted.Log("node", s.Name)
}
