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
	// linger is for how long connections still come after SIGTERM: the entry asks every second and
	// takes two misses for an end.
	linger = 2600 * time.Millisecond
	// lastWords is what of the grace is kept for telling the others and closing the disk.
	lastWords = 700 * time.Millisecond
	// readyHeadWithin bounds the head of a question for readiness, readyIdle the pause after one.
	readyHeadWithin, readyIdle = 5 * time.Second, 30 * time.Second
	// maxFailures is how many parts of a process may fail without one waiting for another.
	maxFailures = 8
)

// tasks are the parts of a process that run until its work ends. The first error of one ends all.
type tasks struct {
	wg   sync.WaitGroup
	errs chan error
}

// run starts a part; its error, if it has one, is reported under the part's name.
func (t *tasks) run(part string, fn func() error) {
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
	s := d.set.Load()
	// What works on while the process ends stops by this one.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	open, err := listen(ctx, s)
	if err != nil {
		stop()
		_ = d.core.Run(work) // closes the state
		return err
	}
	parts := &tasks{errs: make(chan error, maxFailures)}
	d.start(work, open, parts, reload)
	logevent.Started.Log("node", s.Name, "zone", s.Zone, "disk", s.Disk(), "first", s.FirstStart)
	select {
	case err = <-parts.errs:
		logevent.PartFailed.Error(err)
		d.abort(ctx)
	case <-ctx.Done():
		d.end(s)
	}
	stop()
	d.pool.Close()
	parts.wg.Wait()
	return err
}

// listen opens all sockets before anything works, so that nothing is left behind where one can't be
// opened.
func listen(ctx context.Context, s *settings.Settings) (*listeners, error) {
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

// start has all parts of the process work until ctx ends.
func (d *Daemon) start(ctx context.Context, open *listeners, parts *tasks, reload <-chan struct{}) {
	if open.readiness != nil {
		parts.run("readiness", func() error { return d.serveReadiness(ctx, open.readiness) })
	}
	calls := rpc.NewTable()
	d.core.RegisterHandlers(calls)
	d.hub.RegisterHandlers(calls)
	parts.run("peers", func() error { return rpc.Serve(ctx, open.peers, calls) })
	parts.run("core", func() error { return d.core.Run(ctx) })
	parts.run("hub", func() error { return d.hub.Run(ctx) })
	parts.run("door", func() error { return d.door.Run(ctx) })
	parts.run("newest", func() error { d.newest(ctx); return nil })
	parts.run("settings", func() error { d.watch(ctx, reload); return nil })
	if open.control != nil {
		parts.run("control", func() error { return d.ctl.Serve(ctx, open.control) })
	}
	if open.front != nil {
		parts.run("front", func() error { return d.door.Serve(open.front) })
	}
}

// serveReadiness answers the entry's questions until ctx ends.
func (d *Daemon) serveReadiness(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{Handler: http.HandlerFunc(d.ready), ReadHeaderTimeout: readyHeadWithin, IdleTimeout: readyIdle}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ready answers the entry's question. A process that ends is not ready from that moment on, whatever
// its log, the feed or the door still waits for.
func (d *Daemon) ready(w http.ResponseWriter, r *http.Request) {
	if d.ending.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.door.Ready(w, r)
}

// abort breaks off all that is held: a part of the process has failed.
func (d *Daemon) abort(ctx context.Context) {
	none, cancel := context.WithCancel(ctx)
	cancel()
	d.door.Shutdown(none, 0)
}

// end serves to its end what is held, and tells the others.
func (d *Daemon) end(s *settings.Settings) {
	d.ending.Store(true)
	logevent.Ending.Log("node", s.Name)
	by := time.Now().Add(s.Grace() - lastWords)
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	d.hub.AnnounceDraining()
	d.ctl.Leave()
	var wg sync.WaitGroup
	wg.Go(func() { d.core.Handover(ctx) })
	d.door.Shutdown(ctx, linger)
	wg.Wait()
	bye, done := context.WithTimeout(context.Background(), lastWords/2)
	defer done()
	d.hub.Depart(bye)
	logevent.Ended.Log("node", s.Name)
}
