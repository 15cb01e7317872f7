package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chalkdoor.example/chalkdoor/internal/fleet/assembly"
	"chalkdoor.example/chalkdoor/internal/fleet/logevent"
	"chalkdoor.example/chalkdoor/internal/fleet/rpc"
	"chalkdoor.example/chalkdoor/internal/fleet/settings"
)

const (
	// acceptLinger is for how long new connections still arrive after SIGTERM: the entry checks
	// readiness every second, and takes a process out after two failed checks.
	acceptLinger = 2600 * time.Millisecond
	// departureReserve is the part of the grace period that is reserved for announcing the departure
	// and for closing the state on disk.
	departureReserve = 700 * time.Millisecond
	// maxComponents bounds the components that can fail: none of them blocks on reporting its error.
	maxComponents = 9
)

// components are the parts of a process that run beside each other. The first error of one ends all.
type components struct {
	running sync.WaitGroup
	errs    chan error
}

// start starts a component; its error, if it has one, is wrapped with its name.
func (c *components) start(name string, run func() error) {
	c.running.Go(func() {
		if err := run(); err != nil {
			c.errs <- errors.Wrap(err, name)
		}
	})
}

// Run serves until ctx ends, then shuts down within the grace period and returns nil. It returns the
// error of the first component that fails. Each value from reload has the settings file read again.
func (d *Daemon) Run(ctx context.Context, reload <-chan struct{}) error {
	current := d.settings.Load()
	// The components run on while the process shuts down.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	opened, err := openListeners(ctx, current)
	if err != nil {
		stop()
		_ = d.core.Run(work) // closes the state
		return err
	}
	started := &components{errs: make(chan error, maxComponents)}
	d.startComponents(work, opened, started, reload)
	logevent.Started.Log("node", current.Name, "zone", current.Zone, "disk", current.HasDisk(), "first", current.FirstStart)
	select {
	case err = <-started.errs:
		logevent.ComponentFailed.Error(err)
		d.abort(ctx)
	case <-ctx.Done():
		d.shutdown(current)
	}
	stop()
	d.peerPool.Close()
	started.running.Wait()
	return err
}

// startComponents starts all components of the process; they run until ctx ends.
func (d *Daemon) startComponents(ctx context.Context, opened *listeners, started *components, reload <-chan struct{}) {
	if opened.readiness != nil {
		started.start("readiness", func() error { return d.serveReadiness(ctx, opened.readiness) })
	}
	handlers := rpc.NewMux()
	d.core.RegisterHandlers(handlers)
	d.relay.RegisterHandlers(handlers)
	if d.quotaBroker != nil {
		d.quotaBroker.RegisterHandlers(handlers)
		d.quotaClient.RegisterHandlers(handlers)
	}
	started.start("peers", func() error { return rpc.Serve(ctx, opened.peers, handlers) })
	if d.quotaBroker != nil {
		started.start("quotas", func() error { return d.quotaBroker.Run(ctx) })
	}
	started.start("core", func() error { return d.core.Run(ctx) })
	started.start("relay", func() error { return d.relay.Run(ctx) })
	started.start("gateway", func() error { return d.gateway.Run(ctx) })
	started.start("newest configuration", func() error { assembly.LoadNewestConfig(ctx, d.core, d.relay); return nil })
	started.start("settings", func() error { d.watchSettings(ctx, reload); return nil })
	if opened.control != nil {
		started.start("control", func() error { return d.controlServer.Serve(ctx, opened.control) })
	}
	if opened.front != nil {
		started.start("front", func() error { return d.gateway.Serve(opened.front) })
	}
}

// abort breaks off all requests: a component has failed.
func (d *Daemon) abort(ctx context.Context) {
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	d.gateway.Shutdown(canceled, 0)
}

// shutdown drains this process: it completes the requests in flight within the grace period, hands
// over its place in the core, and announces its departure.
func (d *Daemon) shutdown(current *settings.Settings) {
	d.draining.Store(true)
	logevent.ShutdownStarted.Log("node", current.Name)
	deadline := time.Now().Add(current.Grace() - departureReserve)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	d.relay.AnnounceDraining()
	d.controlServer.Drain()
	var handover sync.WaitGroup
	handover.Go(func() { d.core.Handover(ctx) })
	d.gateway.Shutdown(ctx, acceptLinger)
	handover.Wait()
	departure, cancelDeparture := context.WithTimeout(context.Background(), departureReserve/2)
	defer cancelDeparture()
	d.relay.Depart(departure)
	logevent.ShutdownCompleted.Log("node", current.Name)
}
